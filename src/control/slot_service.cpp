/** @file slot_service.cpp Slots, loads and windows of the engines that this host owns. */
#include "control/slot_service.h"

#include "logging/logging_func.h"

#include <algorithm>

namespace laburnumweir {

namespace {

using namespace std::chrono_literals;

constexpr Duration kTickInterval = 20ms;
constexpr Duration kReportInterval = 500ms;
// Until the first report nothing can be granted, so it is asked for sooner.
constexpr Duration kFirstReportInterval = 100ms;
// Shorter than the sender's limit, so that it hears `wait` before it gives the connection up.
constexpr Duration kLongestHold = 1500ms;

SlotSettings
SettingsOf(const UpstreamRule& aRule)
{
  SlotSettings settings;
  settings.slots_ = aRule.slots_;
  settings.maxRunning_ = aRule.maxRunning_;
  return settings;
}

LoadOutcome
OutcomeOf(std::error_code aError)
{
  if (!aError) {
    return LoadOutcome::Loaded;
  }
  if (aError == EngineError::InUse) {
    return LoadOutcome::InUse;
  }
  if (aError == EngineError::AnswerLost || aError == EngineError::InvalidAnswer) {
    return LoadOutcome::Unknown;
  }
  return LoadOutcome::Failed;
}

wire::SlotAnswer::Kind
KindOf(SlotVerdict aVerdict)
{
  switch (aVerdict) {
    case SlotVerdict::Granted:
      return wire::SlotAnswer::GRANTED;
    case SlotVerdict::Load:
    case SlotVerdict::Wait:
      return wire::SlotAnswer::WAIT;
    case SlotVerdict::Busy:
      return wire::SlotAnswer::BUSY;
    case SlotVerdict::Refused:
      break;
  }
  return wire::SlotAnswer::REFUSED;
}

/** @return whether the newest record of the state ended the membership of a host by its own wish.
 */
bool
IsAfterLeave(const ConfigState& aState)
{
  const auto& history = aState.Image().history_;
  return !history.empty() && history.back().kind_ == MembershipKind::Leave &&
         history.back().offset_ + 1 == aState.NextOffset();
}

bool
IsWaiting(SlotVerdict aVerdict)
{
  return aVerdict == SlotVerdict::Load || aVerdict == SlotVerdict::Wait;
}

} // namespace

SlotService::SlotService(PeerRouter& aRouter,
                         const ConfigView& aView,
                         const Clock& aClock,
                         Scheduler& aScheduler,
                         EngineAdmin& aAdmin,
                         Metrics& aMetrics,
                         Duration aAuthorityLapse)
  : router_(aRouter)
  , view_(aView)
  , clock_(aClock)
  , scheduler_(aScheduler)
  , admin_(aAdmin)
  , metrics_(aMetrics)
  , authorityLapse_(aAuthorityLapse)
{
  router_.Handle(wire::Envelope::kSlotRequest,
                 [this](const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond) {
                   ServeRequest(aRequest, aRespond);
                 });
  router_.Handle(wire::Envelope::kSlotRelease,
                 [this](const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond) {
                   ServeRelease(aRequest, aRespond);
                 });
}

void
SlotService::Start()
{
  RepeatWhileAlive(scheduler_, kTickInterval, weak_from_this(), [this] { Tick(); });
}

void
SlotService::OnRecord(const ConfigState& aState)
{
  const auto rules = aState.Rules();
  std::erase_if(engines_, [&](const auto& aEntry) {
    return !rules->upstreams_.contains(aEntry.first) ||
           aState.OwnerOf(aEntry.first) != router_.Self();
  });
  for (const auto& [id, rule] : rules->upstreams_) {
    if (rule.kind_ != UpstreamKind::Engine || aState.OwnerOf(id) != router_.Self()) {
      continue;
    }
    EnginePointer& engine = engines_[id];
    const Endpoint endpoint{ rule.address_, rule.port_ };
    if (!engine || engine->endpoint_ != endpoint) {
      engine = TakeOver(rule, aState);
    } else {
      engine->slots_.SetLimits(rule.slots_, rule.maxRunning_);
    }
  }
}

void
SlotService::OnJump(const ConfigState& aState)
{
  // Another host may have owned an engine in between, so each is taken over anew.
  engines_.clear();
  OnRecord(aState);
  for (const auto& [id, engine] : engines_) {
    engine->isHandover_ = false;
  }
}

void
SlotService::OnTick(const ConfigState&)
{
  for (const auto& [id, engine] : engines_) {
    if (!engine->isTakenOver_ && view_.IsMembershipKnown(engine->fencing_)) {
      engine->isTakenOver_ = true;
      // A host that left gives out no grants any more, and those that were not used are void at
      // members that know of the change. Other former owners may act until their authority lapses.
      const Duration lapse = engine->isHandover_ ? Duration(0) : authorityLapse_;
      engine->slots_.TakeOver(clock_.Now() + lapse);
    }
  }
}

SlotService::EnginePointer
SlotService::TakeOver(const UpstreamRule& aRule, const ConfigState& aState)
{
  auto engine = std::make_shared<Engine>(clock_, SettingsOf(aRule));
  engine->endpoint_ = { aRule.address_, aRule.port_ };
  engine->fencing_ = aState.FencingToken();
  engine->isHandover_ = IsAfterLeave(aState);
  LogEvent(LogLevel::Info,
           "engine_owned",
           { { "upstream", aRule.id_.Value() }, { "fencing", std::to_string(engine->fencing_) } });
  return engine;
}

void
SlotService::ServeRequest(const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond)
{
  const auto& body = aRequest.slot_request();
  const auto found = engines_.find(UpstreamId(body.upstream()));
  AdapterRef adapter;
  const bool isValid = AdapterRef::Parse(body.adapter(), adapter);
  if (found == engines_.end() || !view_.MayAct() || !isValid ||
      body.fencing() != view_.State()->FencingToken()) {
    wire::Envelope answer;
    answer.mutable_slot_answer()->set_kind(wire::SlotAnswer::NOT_OWNER);
    aRespond(std::move(answer));
    return;
  }
  const EnginePointer engine = found->second;
  const PinKey key{ HostId(aRequest.sender()), RequestId(body.request()) };
  const TimePoint now = clock_.Now();
  const SlotAnswer answer =
    engine->slots_.Acquire({ key, adapter, now + Duration(body.time_left_ns()) });
  if (IsWaiting(answer.verdict_)) {
    engine->waiters_[key] = { aRespond, now + kLongestHold };
    StartLoads(found->first, engine);
    return;
  }
  Answer(*engine, answer, false, aRespond);
}

void
SlotService::Answer(const Engine& aEngine,
                    const SlotAnswer& aAnswer,
                    bool aWaited,
                    const PeerTransport::Responder& aRespond) const
{
  wire::Envelope envelope;
  auto& body = *envelope.mutable_slot_answer();
  body.set_kind(KindOf(aAnswer.verdict_));
  body.set_reason(static_cast<std::uint32_t>(aAnswer.reason_));
  body.set_estimate_ns(aAnswer.estimate_.count());
  body.set_engine_epoch(aEngine.slots_.Epoch());
  body.set_loaded(aWaited);
  body.set_in_use(aEngine.slots_.InUse());
  aRespond(std::move(envelope));
}

void
SlotService::ServeRelease(const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond)
{
  const auto& body = aRequest.slot_release();
  const UpstreamId id(body.upstream());
  const auto found = engines_.find(id);
  if (found != engines_.end()) {
    Engine& engine = *found->second;
    const PinKey key{ HostId(aRequest.sender()), RequestId(body.request()) };
    engine.waiters_.erase(key);
    Feedback(engine, body);
    engine.slots_.Release(key, body.is_certain() ? RunEnd::Certain : RunEnd::Uncertain);
    Advance(id, found->second);
  }
  wire::Envelope answer;
  answer.mutable_done();
  aRespond(std::move(answer));
}

void
SlotService::Feedback(Engine& aEngine, const wire::SlotRelease& aRelease)
{
  if (!aRelease.engine_epoch().empty()) {
    aEngine.slots_.OnEpoch(aRelease.engine_epoch(),
                           clock_.Now() - Duration(aRelease.sent_age_ns()));
  }
  switch (aRelease.feedback()) {
    case wire::SlotRelease::SUCCESS:
      aEngine.slots_.OnSuccess(Duration(aRelease.latency_ns()));
      break;
    case wire::SlotRelease::OVERLOAD:
      aEngine.slots_.OnOverload();
      aEngine.nextReport_ = clock_.Now();
      break;
    case wire::SlotRelease::MISSING:
      // The engine's list differs from this host's: ask for it at once.
      aEngine.nextReport_ = clock_.Now();
      break;
    default:
      break;
  }
}

void
SlotService::RenewPins(const wire::Envelope& aRequest)
{
  const TimePoint now = clock_.Now();
  std::map<UpstreamId, std::vector<PinRenewal>> renewals;
  for (const auto& pin : aRequest.heartbeat().pins()) {
    PinRenewal renewal;
    if (!AdapterRef::Parse(pin.adapter(), renewal.adapter_)) {
      continue;
    }
    renewal.request_ = RequestId(pin.request());
    renewal.epoch_ = pin.engine_epoch();
    renewal.deadline_ = now + Duration(pin.time_left_ns());
    renewals[UpstreamId(pin.upstream())].push_back(std::move(renewal));
  }
  for (const auto& [id, pins] : renewals) {
    const auto found = engines_.find(id);
    if (found != engines_.end()) {
      found->second->slots_.Renew(HostId(aRequest.sender()), pins);
    }
  }
}

void
SlotService::Tick()
{
  const auto engines = engines_;
  for (const auto& [id, engine] : engines) {
    engine->slots_.Tick();
    Advance(id, engine);
    // Without a takeover a report must not make the engine ready.
    if (engine->isTakenOver_ && clock_.Now() >= engine->nextReport_ && !engine->isReporting_) {
      AskForReport(engine);
    }
  }
}

void
SlotService::Advance(const UpstreamId& aId, const EnginePointer& aEngine)
{
  StartLoads(aId, aEngine);
  for (const auto& notice : aEngine->slots_.TakeNotices()) {
    const auto waiter = aEngine->waiters_.find(notice.key_);
    if (waiter == aEngine->waiters_.end() || IsWaiting(notice.answer_.verdict_)) {
      continue;
    }
    const auto respond = waiter->second.respond_;
    aEngine->waiters_.erase(waiter);
    Answer(*aEngine, notice.answer_, true, respond);
  }
  const TimePoint now = clock_.Now();
  std::erase_if(aEngine->waiters_, [&](const auto& aEntry) {
    if (now < aEntry.second.until_) {
      return false;
    }
    Answer(*aEngine, { SlotVerdict::Wait, SlotReason::None, {} }, true, aEntry.second.respond_);
    return true;
  });
}

void
SlotService::StartLoads(const UpstreamId& aId, const EnginePointer& aEngine)
{
  for (const AdapterRef& adapter : aEngine->slots_.PendingLoads()) {
    if (loadsInFlight_ >= LoadShare() || !view_.MayAct()) {
      return;
    }
    const auto order = aEngine->slots_.StartLoad(adapter);
    if (!order) {
      continue;
    }
    ++loadsInFlight_;
    metrics_.GetCounter("laburnumweir_loads_total", "upstream", aId.Value()).Add();
    admin_.Load(
      aEngine->endpoint_,
      order->adapter_,
      order->evict_,
      aEngine->fencing_,
      [this,
       weak = weak_from_this(),
       aId,
       aEngine,
       adapter = order->adapter_,
       number = order->number_](std::error_code aError) {
        if (weak.expired()) {
          return;
        }
        --loadsInFlight_;
        if (aError) {
          metrics_.GetCounter("laburnumweir_load_failures_total", "upstream", aId.Value()).Add();
          LogEvent(LogLevel::Warn,
                   "load_failed",
                   { { "upstream", aId.Value() },
                     { "adapter", adapter.ToString() },
                     { "error", aError.message() } });
        }
        aEngine->slots_.LoadFinished(number, OutcomeOf(aError));
        Advance(aId, aEngine);
      });
  }
}

void
SlotService::AskForReport(const EnginePointer& aEngine)
{
  aEngine->isReporting_ = true;
  const TimePoint askedAt = clock_.Now();
  admin_.Report(aEngine->endpoint_,
                [this, weak = weak_from_this(), aEngine, askedAt](std::error_code aError,
                                                                  const EngineReport& aReport) {
                  if (weak.expired()) {
                    return;
                  }
                  aEngine->isReporting_ = false;
                  if (!aError) {
                    aEngine->slots_.OnReport(aReport, askedAt);
                  }
                  aEngine->nextReport_ =
                    clock_.Now() +
                    (aEngine->slots_.IsReady() ? kReportInterval : kFirstReportInterval);
                });
}

std::uint32_t
SlotService::LoadShare() const
{
  const ConfigState* state = view_.State();
  const auto members = state == nullptr ? 1U : static_cast<std::uint32_t>(state->Members().size());
  return std::max(1U, kMaxFullSpeedLoads / std::max(1U, members));
}

std::vector<OwnedEngineStatus>
SlotService::Status() const
{
  std::vector<OwnedEngineStatus> result;
  for (const auto& [id, engine] : engines_) {
    result.push_back({ id,
                       engine->slots_.Epoch(),
                       engine->slots_.IsReady(),
                       engine->slots_.InUse(),
                       engine->slots_.WindowSize(),
                       engine->slots_.Waiting(),
                       engine->slots_.Residents() });
  }
  return result;
}

} // namespace laburnumweir
