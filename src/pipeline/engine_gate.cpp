/** @file engine_gate.cpp Finds an engine for a request and holds its pin. */
#include "pipeline/engine_gate.h"

#include "core/hash_func.h"
#include "peer/wire.pb.h"

#include <algorithm>
#include <array>

namespace laburnumweir {

namespace {

using namespace std::chrono_literals;

// Longer than the time for which an owner holds a request back.
constexpr Duration kAskTimeout = 2s;
constexpr Duration kBusyRetry = 20ms;
// Each further candidate costs a round trip and spreads the adapter over more engines.
constexpr std::size_t kMaxCandidates = 4;
constexpr int kReleaseTries = 3;
constexpr std::size_t kProcessNameBytes = 4;

wire::SlotRelease::Feedback
ToWireKind(EngineFeedback::Kind aKind)
{
  switch (aKind) {
    case EngineFeedback::Kind::Success:
      return wire::SlotRelease::SUCCESS;
    case EngineFeedback::Kind::Overload:
      return wire::SlotRelease::OVERLOAD;
    case EngineFeedback::Kind::Missing:
      return wire::SlotRelease::MISSING;
    case EngineFeedback::Kind::None:
      break;
  }
  return wire::SlotRelease::NONE;
}

} // namespace

/** One search for an engine. */
struct EngineGate::Search
{
  EngineQuery query_;                  ///< The request.
  RequestId attempt_;                  ///< Name of the attempt.
  std::vector<UpstreamId> candidates_; ///< Engines not asked yet, best first.
  std::size_t next_ = 0;               ///< Position in candidates_.
  Duration retryAfter_ = 0ns;          ///< Shortest wait that an owner named.
  TimePoint startedAt_;                ///< Start of the search.
  bool waited_ = false;                ///< An owner made it wait.
  GrantCallback granted_;              ///< Called with the engine.
  RefusalCallback refused_;            ///< Called if there is none.
  StepCallback step_;                  ///< Called with each step.
};

EngineGate::EngineGate(HostId aSelf,
                       const Clock& aClock,
                       std::unique_ptr<Placement> aPlacement,
                       ControlPort& aPort)
  : self_(std::move(aSelf))
  , clock_(aClock)
  , placement_(std::move(aPlacement))
  , port_(aPort)
  , pins_(aClock)
  , state_(std::make_shared<PublishedState>())
  , process_(SecureRandomHex(kProcessNameBytes))
{
}

void
EngineGate::Follow(const std::shared_ptr<const PublishedState>& aState)
{
  const bool hasNewRules = aState->config_ != state_->config_;
  state_ = aState;
  if (hasNewRules && state_->config_) {
    SetEngines();
  }
}

void
EngineGate::SetEngines()
{
  const auto rules = state_->config_->Rules();
  std::vector<PlacementEngine> engines;
  for (const auto& [id, rule] : rules->upstreams_) {
    if (rule.kind_ != UpstreamKind::Engine) {
      continue;
    }
    const auto dataCentre = rules->dataCentres_.find(rule.dataCentre_);
    const bool isInService =
      dataCentre != rules->dataCentres_.end() && dataCentre->second.inService_;
    PlacementEngine engine;
    engine.id_ = id;
    engine.model_ = rule.model_;
    engine.takesNewWork_ = isInService && !rule.isLeaving_;
    engine.capacity_ = std::max(1U, rule.maxRunning_);
    engines.push_back(std::move(engine));
  }
  placement_->SetEngines(engines);
}

bool
EngineGate::HasModel(const std::string& aModel) const
{
  for (EngineIndex i = 0; i < placement_->Size(); ++i) {
    const auto& engine = placement_->Engine(i);
    if (engine.takesNewWork_ && engine.model_ == aModel) {
      return true;
    }
  }
  return false;
}

const UpstreamRule*
EngineGate::FindRule(const UpstreamId& aEngine) const
{
  if (!state_->config_) {
    return nullptr;
  }
  const auto& upstreams = state_->config_->Rules()->upstreams_;
  const auto found = upstreams.find(aEngine);
  return found == upstreams.end() ? nullptr : &found->second;
}

void
EngineGate::Acquire(EngineQuery aQuery,
                    GrantCallback aGranted,
                    RefusalCallback aRefused,
                    StepCallback aStep)
{
  auto search = std::make_shared<Search>();
  search->query_ = std::move(aQuery);
  search->attempt_ = RequestId(search->query_.request_.Value() + "." + self_.Value() + "-" +
                               process_ + "-" + std::to_string(++lastAttempt_));
  search->startedAt_ = clock_.Now();
  search->granted_ = std::move(aGranted);
  search->refused_ = std::move(aRefused);
  search->step_ = std::move(aStep);
  std::array<EngineIndex, kMaxCandidates + 4> ranked{};
  const PlacementQuery query{ search->query_.adapter_, search->query_.model_, 0 };
  const std::size_t count = placement_->Rank(query, ranked);
  for (std::size_t i = 0; i < count; ++i) {
    const UpstreamId& id = placement_->Engine(ranked[i]).id_;
    if (!search->query_.avoid_.contains(id) && search->candidates_.size() < kMaxCandidates) {
      search->candidates_.push_back(id);
    }
  }
  if (search->candidates_.empty() && count > 0) {
    // Every engine failed it before; the best one may have recovered.
    search->candidates_.push_back(placement_->Engine(ranked[0]).id_);
  }
  AskNext(search);
}

void
EngineGate::AskNext(const SearchPointer& aSearch)
{
  if (aSearch->candidates_.empty()) {
    aSearch->refused_(EngineRefusal::NoEngine, kBusyRetry);
    return;
  }
  if (clock_.Now() >= aSearch->query_.deadline_) {
    aSearch->refused_(EngineRefusal::TooLate, 0ns);
    return;
  }
  if (aSearch->next_ >= aSearch->candidates_.size()) {
    aSearch->refused_(EngineRefusal::AllBusy,
                      aSearch->retryAfter_ > 0ns ? aSearch->retryAfter_ : kBusyRetry);
    return;
  }
  AskOwner(aSearch, aSearch->candidates_[aSearch->next_]);
}

void
EngineGate::AskOwner(const SearchPointer& aSearch, const UpstreamId& aEngine)
{
  const TimePoint now = clock_.Now();
  const std::uint64_t fencing = state_->config_->FencingToken();
  wire::Envelope message;
  auto& body = *message.mutable_slot_request();
  body.set_upstream(aEngine.Value());
  body.set_request(aSearch->attempt_.Value());
  body.set_adapter(aSearch->query_.adapter_.ToString());
  body.set_time_left_ns((aSearch->query_.deadline_ - now).count());
  body.set_fencing(fencing);
  port_.Ask(
    state_->config_->OwnerOf(aEngine),
    std::move(message),
    kAskTimeout,
    [this, aSearch, aEngine, now, fencing](std::error_code aError, const wire::Envelope& aAnswer) {
      OnAnswer(aSearch, aEngine, now, fencing, aError, aAnswer);
    });
}

void
EngineGate::OnAnswer(const SearchPointer& aSearch,
                     const UpstreamId& aEngine,
                     TimePoint aAskedAt,
                     std::uint64_t aFencing,
                     std::error_code aError,
                     const wire::Envelope& aAnswer)
{
  if (aError || !aAnswer.has_slot_answer()) {
    // The owner may have granted it: the pin lapses there, or is given back now.
    aSearch->step_("engine=" + aEngine.Value() + " owner did not answer: " + aError.message());
    SendRelease(aEngine, aSearch->attempt_, aSearch->query_.adapter_, {}, kReleaseTries);
    ++aSearch->next_;
    AskNext(aSearch);
    return;
  }
  const auto& body = aAnswer.slot_answer();
  switch (body.kind()) {
    case wire::SlotAnswer::GRANTED:
      Grant(aSearch, aEngine, aAskedAt, aFencing, aAnswer);
      return;
    case wire::SlotAnswer::WAIT:
      aSearch->waited_ = true;
      if (clock_.Now() < aSearch->query_.deadline_) {
        AskOwner(aSearch, aEngine);
        return;
      }
      SendRelease(aEngine, aSearch->attempt_, aSearch->query_.adapter_, {}, kReleaseTries);
      break;
    case wire::SlotAnswer::NOT_OWNER:
      aSearch->step_("engine=" + aEngine.Value() + " owner is changing");
      break;
    default:
      aSearch->step_("engine=" + aEngine.Value() + " busy reason=" + std::to_string(body.reason()));
      if (body.estimate_ns() > 0) {
        const Duration estimate(body.estimate_ns());
        aSearch->retryAfter_ =
          aSearch->retryAfter_ > 0ns ? std::min(aSearch->retryAfter_, estimate) : estimate;
      }
      break;
  }
  const EngineIndex index = placement_->IndexOf(aEngine);
  if (index < placement_->Size()) {
    placement_->SetLoad(index, std::max(body.in_use(), placement_->Engine(index).capacity_));
  }
  ++aSearch->next_;
  AskNext(aSearch);
}

void
EngineGate::Grant(const SearchPointer& aSearch,
                  const UpstreamId& aEngine,
                  TimePoint aAskedAt,
                  std::uint64_t aFencing,
                  const wire::Envelope& aAnswer)
{
  const auto& body = aAnswer.slot_answer();
  const UpstreamRule* rule = FindRule(aEngine);
  if (rule == nullptr) {
    SendRelease(aEngine, aSearch->attempt_, aSearch->query_.adapter_, {}, kReleaseTries);
    ++aSearch->next_;
    AskNext(aSearch);
    return;
  }
  HeldPin pin;
  pin.engine_ = aEngine;
  pin.adapter_ = aSearch->query_.adapter_;
  pin.epoch_ = body.engine_epoch();
  pin.fencing_ = aFencing;
  pin.deadline_ = aSearch->query_.deadline_;
  pins_.Add(aSearch->attempt_, pin, aAskedAt);
  adapters_[aSearch->attempt_] = aSearch->query_.adapter_;
  const EngineIndex index = placement_->IndexOf(aEngine);
  if (index < placement_->Size()) {
    placement_->SetLoad(index, body.in_use());
    placement_->NoteResident(aSearch->query_.adapter_, index, true);
  }
  EngineGrant grant;
  grant.engine_ = aEngine;
  grant.endpoint_ = { rule->address_, rule->port_ };
  grant.attempt_ = aSearch->attempt_;
  grant.waitedForLoad_ = aSearch->waited_ || body.loaded();
  grant.loadWait_ = grant.waitedForLoad_ ? clock_.Now() - aSearch->startedAt_ : Duration(0);
  aSearch->step_("engine=" + aEngine.Value() + " granted" +
                 (grant.waitedForLoad_ ? " after a load" : " resident"));
  aSearch->granted_(std::move(grant));
}

bool
EngineGate::BeginSend(const EngineGrant& aGrant)
{
  const UpstreamRule* rule = FindRule(aGrant.engine_);
  if (rule == nullptr || rule->isLeaving_ || !state_->MayAdmit(clock_.Now())) {
    return false;
  }
  const auto& dataCentres = state_->config_->Rules()->dataCentres_;
  const auto dataCentre = dataCentres.find(rule->dataCentre_);
  if (dataCentre == dataCentres.end() || !dataCentre->second.inService_) {
    return false;
  }
  return pins_.ExecSend(aGrant.attempt_, state_->config_->FencingToken());
}

void
EngineGate::Release(const EngineGrant& aGrant, const EngineFeedback& aFeedback)
{
  const auto adapter = adapters_.find(aGrant.attempt_);
  if (adapter == adapters_.end()) {
    return;
  }
  const EngineIndex index = placement_->IndexOf(aGrant.engine_);
  if (aFeedback.kind_ == EngineFeedback::Kind::Missing && index < placement_->Size()) {
    placement_->NoteResident(adapter->second, index, false);
  }
  SendRelease(aGrant.engine_, aGrant.attempt_, adapter->second, aFeedback, kReleaseTries);
  pins_.Remove(aGrant.attempt_);
  adapters_.erase(adapter);
}

void
EngineGate::SendRelease(const UpstreamId& aEngine,
                        const RequestId& aAttempt,
                        const AdapterRef& aAdapter,
                        const EngineFeedback& aFeedback,
                        int aTriesLeft)
{
  if (!state_->config_) {
    return;
  }
  wire::Envelope message;
  auto& body = *message.mutable_slot_release();
  body.set_upstream(aEngine.Value());
  body.set_request(aAttempt.Value());
  body.set_adapter(aAdapter.ToString());
  body.set_is_certain(aFeedback.isCertain_);
  body.set_feedback(ToWireKind(aFeedback.kind_));
  body.set_latency_ns(aFeedback.latency_.count());
  body.set_engine_epoch(aFeedback.engineEpoch_);
  body.set_sent_age_ns(
    aFeedback.sentAt_ == TimePoint() ? 0 : (clock_.Now() - aFeedback.sentAt_).count());
  port_.Ask(state_->config_->OwnerOf(aEngine),
            std::move(message),
            kAskTimeout,
            [this, aEngine, aAttempt, aAdapter, aFeedback, aTriesLeft](std::error_code aError,
                                                                       const wire::Envelope&) {
              // A pin that is not given back lapses, but its place is free only after a report.
              if (aError && aTriesLeft > 1) {
                SendRelease(aEngine, aAttempt, aAdapter, aFeedback, aTriesLeft - 1);
              }
            });
}

std::map<HostId, std::vector<std::pair<UpstreamId, PinRenewal>>>
EngineGate::Renewals() const
{
  std::map<HostId, std::vector<std::pair<UpstreamId, PinRenewal>>> result;
  if (!state_->config_) {
    return result;
  }
  for (EngineIndex i = 0; i < placement_->Size(); ++i) {
    const UpstreamId& id = placement_->Engine(i).id_;
    auto renewals = pins_.Renewals(id, state_->config_->FencingToken());
    if (renewals.empty()) {
      continue;
    }
    auto& list = result[state_->config_->OwnerOf(id)];
    for (auto& renewal : renewals) {
      list.emplace_back(id, std::move(renewal));
    }
  }
  return result;
}

} // namespace laburnumweir
