/** @file shared_slots.cpp Use of the slots that the issuer of a service assigns to this host. */
#include "gateway/shared_slots.h"

#include "core/hash_func.h"
#include "logging/logging_func.h"
#include "table/slot_const.h"

#include <algorithm>

namespace laburnumweir {

using std::chrono::milliseconds;

namespace {

constexpr Duration kTickInterval = milliseconds(50);
// First ids of grants of different processes are below this; JSON numbers stay exact.
constexpr SlotGrantId kFirstIdRange = SlotGrantId{ 1 } << 52;

milliseconds
Left(TimePoint aUntil, TimePoint aNow)
{
  return std::chrono::duration_cast<milliseconds>(aUntil - aNow);
}

} // namespace

SharedSlots::SharedSlots(SharedSlotsContext aContext, HostRecord aSelf, std::int64_t aStartTime)
  : context_(std::move(aContext))
  , self_(std::move(aSelf))
  , startTime_(aStartTime)
  , issuer_(context_.clock_,
            RendezvousWeight(self_.id_.Value(), std::to_string(aStartTime)) % kFirstIdRange)
{
}

void
SharedSlots::Start()
{
  RepeatWhileAlive(context_.scheduler_, kTickInterval, weak_from_this(), [this] { Tick(); });
}

bool
SharedSlots::IsShared(const ServiceName& aService) const
{
  const auto& routes = context_.fleet_.Routes();
  const auto* service = routes ? routes->FindService(aService) : nullptr;
  // Engines are chosen by their adapters, and cold upstreams have limits of their own.
  if (service == nullptr || service->engine_ || service->coldPerSecond_ > 0 ||
      !context_.sender_.HasLivePeers()) {
    return false;
  }
  const auto found = services_.find(aService);
  return found == services_.end() ||
         (!found->second.hasRequestLimit_ && context_.clock_.Now() >= found->second.fallbackUntil_);
}

std::optional<SlotGrant>
SharedSlots::Take(const ServiceName& aService, const std::set<UpstreamId>& aExcluded)
{
  auto& state = services_[aService];
  const auto isUsable = [&](const Unused& aUnused) {
    const auto* upstream = context_.fleet_.Upstreams().Find(aUnused.grant_.upstream_);
    return upstream != nullptr && !aExcluded.contains(aUnused.grant_.upstream_) &&
           context_.fleet_.Upstreams().IsUsable(*upstream);
  };
  while (!state.unused_.empty()) {
    const auto unused = state.unused_.front();
    state.unused_.erase(state.unused_.begin());
    if (isUsable(unused)) {
      state.used_[unused.grant_.id_] = unused.grant_.upstream_;
      return unused.grant_;
    }
    // As if it had refused, so that the issuer prefers another upstream next.
    Return(aService, { unused.grant_.id_, SlotOutcome::Refused });
  }
  return std::nullopt;
}

void
SharedSlots::Return(const ServiceName& aService, SlotReturn aReturn)
{
  auto& state = services_[aService];
  state.used_.erase(aReturn.id_);
  state.returned_.push_back(aReturn);
  ScheduleDemand(aService);
}

void
SharedSlots::ScheduleDemand(const ServiceName& aService)
{
  auto& state = services_[aService];
  if (std::exchange(state.isScheduled_, true)) {
    return;
  }
  context_.scheduler_.After(Duration::zero(), [weak = weak_from_this(), aService] {
    if (const auto self = weak.lock()) {
      auto& found = self->services_[aService];
      found.isScheduled_ = false;
      self->SendDemand(aService, found);
    }
  });
}

void
SharedSlots::SendDemand(const ServiceName& aService, ServiceState& aState)
{
  const auto now = context_.clock_.Now();
  SlotDemand demand;
  demand.service_ = aService;
  if (IsShared(aService)) {
    for (const auto& request : context_.queue_.FirstInOrder(aService, kMaxSlotWishes)) {
      if (!request.isBlocked_) {
        demand.wishes_.push_back(
          { request.rank_, Left(request.target_, now), Left(request.latestStart_, now) });
      }
    }
    // Slots that are here already serve the first wishes.
    const auto covered = std::min(aState.unused_.size(), demand.wishes_.size());
    demand.wishes_.erase(demand.wishes_.begin(),
                         demand.wishes_.begin() + static_cast<std::ptrdiff_t>(covered));
  }
  for (const auto& unused : aState.unused_) {
    demand.held_.push_back(unused.grant_);
  }
  for (const auto& [id, upstream] : aState.used_) {
    demand.held_.push_back({ id, upstream });
  }
  demand.returned_ = std::exchange(aState.returned_, {});
  aState.sentAt_ = now;
  if (demand.wishes_.empty()) {
    aState.unansweredAt_.reset();
  } else {
    aState.unansweredAt_ = aState.unansweredAt_.value_or(now);
  }
  const auto issuer = context_.sender_.SlotIssuerOf(aService);
  if (issuer.id_ == self_.id_) {
    OnDemand(self_, startTime_, ++number_, demand);
  } else {
    context_.sender_.SendSlots(issuer.gossip_, demand);
  }
}

void
SharedSlots::OnDemand(const HostRecord& aFrom,
                      std::int64_t aStartedAt,
                      std::uint64_t aNumber,
                      const SlotDemand& aDemand)
{
  clients_[aFrom.id_] = aFrom.gossip_;
  const auto& table = context_.fleet_.Upstreams();
  std::vector<SlotUpstream> upstreams;
  for (const auto& [id, upstream] : table.All()) {
    // Failures and pauses that only this host has seen do not count for the others.
    if (upstream.entry_.service_ == aDemand.service_ && table.IsMember(upstream)) {
      upstreams.push_back({ id, upstream.entry_.slots_ });
    }
  }
  issuer_.SetUpstreams(aDemand.service_, upstreams);
  if (!issuer_.OnDemand(aFrom.id_, aStartedAt, aNumber, aDemand)) {
    return;
  }
  auto offers = issuer_.Assign(aDemand.service_);
  if (!aDemand.wishes_.empty() && !upstreams.empty()) {
    offers[aFrom.id_].service_ = aDemand.service_; // shows that the issuer lives
  }
  SendOffers(offers);
}

void
SharedSlots::OnOffer(const SlotOffer& aOffer)
{
  auto& state = services_[aOffer.service_];
  state.unansweredAt_.reset();
  state.fallbackTime_ = Duration::zero();
  std::uint64_t added = 0;
  for (const auto& grant : aOffer.grants_) {
    const bool isKnown =
      state.used_.contains(grant.id_) ||
      std::any_of(state.unused_.begin(), state.unused_.end(), [&](const Unused& aUnused) {
        return aUnused.grant_.id_ == grant.id_;
      });
    if (!isKnown) { // a datagram may come twice
      state.unused_.push_back({ grant, context_.clock_.Now() });
      ++added;
    }
  }
  if (added > 0) {
    context_.metrics_.GetCounter("laburnumweir_gateway_slots_granted_total").Add(added);
    context_.onSlots_();
  }
}

void
SharedSlots::SendOffers(const std::map<HostId, SlotOffer>& aOffers)
{
  for (const auto& [host, offer] : aOffers) {
    if (host == self_.id_) {
      OnOffer(offer);
    } else if (const auto client = clients_.find(host); client != clients_.end()) {
      context_.sender_.SendSlots(client->second, offer);
    }
  }
}

void
SharedSlots::UpdateRequestLimits()
{
  for (auto& [service, state] : services_) {
    state.hasRequestLimit_ = false;
  }
  for (const auto& [id, upstream] : context_.fleet_.Upstreams().All()) {
    if (const auto found = services_.find(upstream.entry_.service_); found != services_.end()) {
      found->second.hasRequestLimit_ =
        found->second.hasRequestLimit_ || context_.fleet_.Upstreams().RequestLimit(id).has_value();
    }
  }
}

void
SharedSlots::Tick()
{
  const auto now = context_.clock_.Now();
  for (const auto& service : issuer_.Expire()) {
    SendOffers(issuer_.Assign(service));
  }
  UpdateRequestLimits();
  for (auto& [service, state] : services_) {
    for (const auto& unused : state.unused_) {
      if (now - unused.receivedAt_ > kUnusedSlotTime) {
        state.returned_.push_back({ unused.grant_.id_, SlotOutcome::Done });
      }
    }
    std::erase_if(state.unused_, [now](const Unused& aUnused) {
      return now - aUnused.receivedAt_ > kUnusedSlotTime;
    });
    if (state.unansweredAt_ && now - *state.unansweredAt_ > kSlotIssuerTimeout) {
      state.unansweredAt_.reset();
      state.fallbackTime_ =
        std::clamp<Duration>(2 * state.fallbackTime_, kSlotFallbackTime, kMaxSlotFallbackTime);
      state.fallbackUntil_ = now + state.fallbackTime_;
      LogEvent(LogLevel::Warn,
               "slot_issuer_silent",
               { { "service", service.Value() },
                 { "issuer", context_.sender_.SlotIssuerOf(service).id_.Value() } });
      context_.onSlots_();
    }
    const bool hasState = !state.used_.empty() || !state.returned_.empty() ||
                          !state.unused_.empty() ||
                          (IsShared(service) && !context_.queue_.FirstInOrder(service, 1).empty());
    if (hasState && now - state.sentAt_ >= kSlotRepeatInterval) {
      ScheduleDemand(service);
    }
  }
}

} // namespace laburnumweir
