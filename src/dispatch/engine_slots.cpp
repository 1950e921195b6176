/** @file engine_slots.cpp Grants, pins and loads of one engine. */
#include "dispatch/engine_slots.h"

#include "dispatch/clock_error_func.h"

#include <algorithm>
#include <utility>

namespace laburnumweir {

EngineSlots::EngineSlots(const Clock& aClock, SlotSettings aSettings)
  : clock_(aClock)
  , settings_(aSettings)
  , window_({ aSettings.windowInitial_, kColdWindowGrowth, aSettings.maxRunning_ })
  , popularity_(aClock.Now(), aSettings.halfLife_)
{
  TakeOver(aClock.Now());
}

void
EngineSlots::TakeOver(TimePoint aOldAuthorityEnds)
{
  isReady_ = false;
  readyAfter_ = aOldAuthorityEnds + settings_.reportLag_;
  lastAsked_ = TimePoint{};
  epochSince_ = TimePoint{};
  epoch_.clear();
  oldEpochs_.clear();
  pins_.clear();
  residents_.clear();
  loads_.clear();
  evicted_.clear();
  notices_.clear();
  ResetWindow();
}

void
EngineSlots::SetLimits(std::uint32_t aSlots, std::uint32_t aMaxRunning)
{
  settings_.slots_ = aSlots;
  settings_.maxRunning_ = aMaxRunning;
  window_.SetLimit(aMaxRunning);
}

SlotAnswer
EngineSlots::Busy(SlotReason aReason, Duration aEstimate) const
{
  return { SlotVerdict::Busy, aReason, aEstimate };
}

std::uint32_t
EngineSlots::InUse() const
{
  std::uint32_t count = 0;
  for (const auto& [key, pin] : pins_) {
    count += pin.state_ != PinState::Waiting ? 1 : 0;
  }
  for (const auto& [adapter, resident] : residents_) {
    count += static_cast<std::uint32_t>(resident.orphanEnds_.size());
  }
  return count;
}

std::uint32_t
EngineSlots::Waiting() const
{
  return static_cast<std::uint32_t>(
    std::count_if(pins_.begin(), pins_.end(), [](const auto& aItem) {
      return aItem.second.state_ == PinState::Waiting;
    }));
}

bool
EngineSlots::IsEvictable(const AdapterRef& aAdapter) const
{
  const auto found = residents_.find(aAdapter);
  return found != residents_.end() && found->second.pins_ == 0 && !found->second.hasOrphans_ &&
         clock_.Now() >= found->second.keepUntil_;
}

std::size_t
EngineSlots::OrderedLoads() const
{
  return static_cast<std::size_t>(
    std::count_if(loads_.begin(), loads_.end(), [](const auto& aItem) {
      return aItem.second.state_ != LoadState::Pending;
    }));
}

std::size_t
EngineSlots::FreeSlots() const
{
  const std::size_t used = residents_.size() + OrderedLoads();
  return used < settings_.slots_ ? settings_.slots_ - used : 0;
}

bool
EngineSlots::HasSlotForLoad() const
{
  std::size_t available = FreeSlots();
  for (const auto& [adapter, resident] : residents_) {
    available += IsEvictable(adapter) ? 1 : 0;
  }
  return available > loads_.size() - OrderedLoads();
}

Duration
EngineSlots::LoadEstimate(const Load& aLoad) const
{
  // Loads of one engine that are not ordered yet are assumed to follow each other.
  Duration estimate = kExpectedLoadTime;
  for (const auto& [adapter, load] : loads_) {
    const bool isBefore = load.state_ == LoadState::Pending && load.number_ < aLoad.number_;
    estimate += aLoad.state_ == LoadState::Pending && isBefore ? kExpectedLoadTime : Duration{};
  }
  return estimate;
}

SlotAnswer
EngineSlots::Acquire(const SlotRequest& aRequest)
{
  auto pin = pins_.find(aRequest.key_);
  if (pin != pins_.end() && pin->second.state_ == PinState::Ghost) {
    RemovePin(pin);
    pin = pins_.end();
  } else if (pin != pins_.end() && pin->second.state_ == PinState::Uncertain) {
    // A late copy of the question says nothing about the run.
    MakeOrphan(pin);
    pin = pins_.end();
  }
  if (pin != pins_.end()) {
    return AcquireAgain(pin, aRequest);
  }
  const TimePoint now = clock_.Now();
  if (!isReady_) {
    return Busy(SlotReason::TakingOver, std::max(Duration{}, readyAfter_ - now));
  }
  if (now >= aRequest.deadline_) {
    return { SlotVerdict::Refused, SlotReason::TooLate, {} };
  }
  popularity_.Add(aRequest.adapter_, now);
  if (const auto resident = residents_.find(aRequest.adapter_); resident != residents_.end()) {
    return AcquireResident(aRequest, resident->second);
  }
  if (const auto load = loads_.find(aRequest.adapter_); load != loads_.end()) {
    return AcquireLoading(aRequest, load->second);
  }
  return AcquireAbsent(aRequest);
}

SlotAnswer
EngineSlots::AcquireAgain(Pins::iterator aPin, const SlotRequest& aRequest)
{
  Pin& pin = aPin->second;
  if (pin.adapter_ != aRequest.adapter_) {
    return { SlotVerdict::Refused, SlotReason::KeyInUse, {} };
  }
  if (pin.state_ == PinState::Waiting) {
    pin.lapses_ = clock_.Now() + WithClockError(settings_.lease_);
    const auto load = loads_.find(pin.adapter_);
    return { SlotVerdict::Wait,
             load == loads_.end() ? SlotReason::WindowFull : SlotReason::None,
             load == loads_.end() ? Duration{} : LoadEstimate(load->second) };
  }
  Grant(pin);
  return { SlotVerdict::Granted, SlotReason::None, {} };
}

SlotAnswer
EngineSlots::AcquireResident(const SlotRequest& aRequest, Resident& aResident)
{
  // Requests that waited for a load and now wait for the window go first.
  std::uint32_t ahead = 0;
  for (const auto& [key, pin] : pins_) {
    ahead += pin.state_ == PinState::Waiting && residents_.contains(pin.adapter_) ? 1 : 0;
  }
  if (InUse() + ahead >= window_.Size()) {
    return Busy(SlotReason::WindowFull);
  }
  aResident.lastUse_ = clock_.Now();
  Grant(AddPin(aRequest, PinState::Granted));
  return { SlotVerdict::Granted, SlotReason::None, {} };
}

SlotAnswer
EngineSlots::AcquireLoading(const SlotRequest& aRequest, Load& aLoad)
{
  const Duration estimate = LoadEstimate(aLoad);
  if (clock_.Now() + estimate >= aRequest.deadline_) {
    return { SlotVerdict::Refused, SlotReason::TooLate, estimate };
  }
  if (aLoad.waiters_ >= kMaxWaitersPerLoad || Waiting() >= window_.Size()) {
    return Busy(SlotReason::WaitersFull, estimate);
  }
  AddPin(aRequest, PinState::Waiting);
  ++aLoad.waiters_;
  aLoad.isSpeculative_ = false;
  return { SlotVerdict::Wait, SlotReason::None, estimate };
}

SlotAnswer
EngineSlots::AcquireAbsent(const SlotRequest& aRequest)
{
  const TimePoint now = clock_.Now();
  if (const auto failure = failures_.find(aRequest.adapter_);
      failure != failures_.end() && now < failure->second.retryAt_) {
    return { SlotVerdict::Refused, SlotReason::LoadBackoff, failure->second.retryAt_ - now };
  }
  if (InUse() + Waiting() >= window_.Size()) {
    return Busy(SlotReason::WindowFull);
  }
  // A speculative load that was not ordered yet gives way to a request.
  std::erase_if(loads_, [](const auto& aItem) {
    return aItem.second.state_ == LoadState::Pending && aItem.second.isSpeculative_;
  });
  if (!HasSlotForLoad()) {
    return Busy(SlotReason::SlotsInUse);
  }
  Load& load = loads_[aRequest.adapter_];
  load.number_ = nextNumber_++;
  load.since_ = now;
  load.waiters_ = 1;
  AddPin(aRequest, PinState::Waiting);
  return { SlotVerdict::Load, SlotReason::None, LoadEstimate(load) };
}

EngineSlots::Pin&
EngineSlots::AddPin(const SlotRequest& aRequest, PinState aState)
{
  Pin& pin = pins_[aRequest.key_];
  pin.state_ = aState;
  pin.adapter_ = aRequest.adapter_;
  pin.epoch_ = epoch_;
  pin.lapses_ = clock_.Now() + WithClockError(settings_.lease_);
  pin.deadline_ = aRequest.deadline_;
  pin.sequence_ = nextNumber_++;
  if (const auto resident = residents_.find(aRequest.adapter_); resident != residents_.end()) {
    ++resident->second.pins_;
  }
  return pin;
}

void
EngineSlots::Grant(Pin& aPin)
{
  aPin.state_ = PinState::Granted;
  aPin.lapses_ = clock_.Now() + WithClockError(settings_.lease_);
}

EngineSlots::Pins::iterator
EngineSlots::RemovePin(Pins::iterator aPin)
{
  const Pin& pin = aPin->second;
  if (pin.state_ != PinState::Ghost) {
    if (const auto resident = residents_.find(pin.adapter_); resident != residents_.end()) {
      --resident->second.pins_;
      resident->second.quietSince_ = clock_.Now();
      resident->second.releases_.push_back(clock_.Now());
      if (resident->second.releases_.size() > kMaxReleaseEntries) {
        resident->second.releases_.pop_front();
      }
    } else if (const auto load = loads_.find(pin.adapter_);
               load != loads_.end() && pin.state_ == PinState::Waiting) {
      --load->second.waiters_;
    }
  }
  return pins_.erase(aPin);
}

void
EngineSlots::MakeUncertain(Pin& aPin)
{
  aPin.state_ = PinState::Uncertain;
  aPin.since_ = clock_.Now();
}

EngineSlots::Pins::iterator
EngineSlots::MakeOrphan(Pins::iterator aPin)
{
  if (const auto resident = residents_.find(aPin->second.adapter_); resident != residents_.end()) {
    resident->second.hasOrphans_ = true;
    resident->second.orphanEnds_.push_back(aPin->second.deadline_ + kOrphanedRunGrace);
    --resident->second.pins_;
  }
  return pins_.erase(aPin);
}

void
EngineSlots::Renew(const HostId& aHost, std::span<const PinRenewal> aPins)
{
  const TimePoint lapses = clock_.Now() + WithClockError(settings_.lease_);
  for (const PinRenewal& renewal : aPins) {
    const PinKey key{ aHost, renewal.request_ };
    if (const auto found = pins_.find(key); found != pins_.end()) {
      Pin& pin = found->second;
      if (pin.adapter_ == renewal.adapter_ && pin.state_ != PinState::Ghost) {
        pin.state_ = pin.state_ == PinState::Uncertain ? PinState::Granted : pin.state_;
        pin.lapses_ = lapses;
      }
      continue;
    }
    // A holder lists only grants that it may use or that run, so an unknown one is counted.
    const bool isSameEpoch = epoch_.empty() || renewal.epoch_ == epoch_;
    if (isSameEpoch && (!isReady_ || residents_.contains(renewal.adapter_))) {
      AddPin({ key, renewal.adapter_, renewal.deadline_ }, PinState::Granted).epoch_ =
        renewal.epoch_;
    }
  }
}

void
EngineSlots::Release(const PinKey& aKey, RunEnd aEnd)
{
  const auto found = pins_.find(aKey);
  if (found == pins_.end()) {
    return;
  }
  const bool mayRun = found->second.state_ != PinState::Waiting;
  if (mayRun && aEnd == RunEnd::Uncertain && found->second.state_ != PinState::Ghost) {
    MakeUncertain(found->second);
    return;
  }
  RemovePin(found);
  Promote();
}

void
EngineSlots::Promote()
{
  std::vector<Pins::iterator> waiting;
  for (auto pin = pins_.begin(); pin != pins_.end(); ++pin) {
    if (pin->second.state_ == PinState::Waiting && residents_.contains(pin->second.adapter_)) {
      waiting.push_back(pin);
    }
  }
  std::sort(waiting.begin(), waiting.end(), [](auto aLeft, auto aRight) {
    return aLeft->second.sequence_ < aRight->second.sequence_;
  });
  std::uint32_t inUse = InUse();
  for (const auto pin : waiting) {
    if (inUse >= window_.Size()) {
      return;
    }
    ++inUse;
    Grant(pin->second);
    residents_[pin->second.adapter_].lastUse_ = clock_.Now();
    notices_.push_back({ pin->first, { SlotVerdict::Granted, SlotReason::None, {} } });
  }
}

std::vector<AdapterRef>
EngineSlots::PendingLoads() const
{
  std::vector<std::pair<std::uint64_t, AdapterRef>> pending;
  for (const auto& [adapter, load] : loads_) {
    if (load.state_ == LoadState::Pending) {
      pending.emplace_back(load.number_, adapter);
    }
  }
  std::sort(pending.begin(), pending.end());
  std::vector<AdapterRef> adapters;
  adapters.reserve(pending.size());
  for (auto& [number, adapter] : pending) {
    adapters.push_back(std::move(adapter));
  }
  return adapters;
}

bool
EngineSlots::TestPrefetch(const AdapterRef& aAdapter) const
{
  const auto failure = failures_.find(aAdapter);
  return isReady_ && loads_.empty() && FreeSlots() > 0 && !residents_.contains(aAdapter) &&
         (failure == failures_.end() || clock_.Now() >= failure->second.retryAt_);
}

bool
EngineSlots::ExecPrefetch(const AdapterRef& aAdapter)
{
  if (!TestPrefetch(aAdapter)) {
    return false;
  }
  Load& load = loads_[aAdapter];
  load.number_ = nextNumber_++;
  load.since_ = clock_.Now();
  load.isSpeculative_ = true;
  return true;
}

std::optional<AdapterRef>
EngineSlots::Victim() const
{
  const TimePoint now = clock_.Now();
  std::optional<AdapterRef> victim;
  std::pair<double, TimePoint> lowest;
  for (const auto& [adapter, resident] : residents_) {
    if (!IsEvictable(adapter)) {
      continue;
    }
    const bool byCount = settings_.eviction_ == EvictionKind::FrequencyAware;
    const std::pair<double, TimePoint> value{ byCount ? popularity_.Get(adapter, now) : 0.0,
                                              resident.lastUse_ };
    if (!victim || value < lowest) {
      victim = adapter;
      lowest = value;
    }
  }
  return victim;
}

std::optional<LoadOrder>
EngineSlots::StartLoad(const AdapterRef& aAdapter)
{
  const auto found = loads_.find(aAdapter);
  if (!isReady_ || found == loads_.end() || found->second.state_ != LoadState::Pending) {
    return std::nullopt;
  }
  Load& load = found->second;
  if (load.waiters_ == 0 && !load.isSpeculative_) {
    loads_.erase(found);
    return std::nullopt;
  }
  const TimePoint now = clock_.Now();
  // Orders may overtake each other: a late eviction would remove what was just loaded.
  const bool isVictim = std::any_of(loads_.begin(), loads_.end(), [&](const auto& aItem) {
    return aItem.second.state_ != LoadState::Pending && aItem.second.evict_ == aAdapter;
  });
  if (isVictim || !window_.MayLoad(now)) {
    return std::nullopt;
  }
  LoadOrder order{ nextNumber_, aAdapter, {} };
  if (FreeSlots() == 0) {
    const auto victim = Victim();
    if (!victim) {
      return std::nullopt;
    }
    order.evict_ = *victim;
    residents_.erase(*victim);
  }
  ++nextNumber_;
  load.state_ = LoadState::Ordered;
  load.number_ = order.number_;
  load.evict_ = order.evict_;
  load.since_ = now;
  window_.OnLoad(now);
  return order;
}

void
EngineSlots::BecomeResident(const AdapterRef& aAdapter)
{
  const TimePoint now = clock_.Now();
  Resident& resident = residents_[aAdapter];
  resident.loadedAt_ = now;
  resident.lastUse_ = now;
  resident.quietSince_ = now;
  resident.keepUntil_ = now + kLoadGrace;
  resident.pins_ =
    static_cast<std::uint32_t>(std::count_if(pins_.begin(), pins_.end(), [&](const auto& aItem) {
      return aItem.second.state_ != PinState::Ghost && aItem.second.adapter_ == aAdapter;
    }));
}

void
EngineSlots::NoteFailure(const AdapterRef& aAdapter)
{
  const TimePoint now = clock_.Now();
  if (failures_.size() >= kMaxLoadFailureEntries && !failures_.contains(aAdapter)) {
    failures_.erase(std::min_element(
      failures_.begin(), failures_.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.retryAt_ < aRight.second.retryAt_;
      }));
  }
  Failure& failure = failures_[aAdapter];
  const Duration backoff = kLoadBackoffInitial * (1LL << std::min(failure.count_, 20U));
  failure.retryAt_ = now + std::min<Duration>(backoff, kLoadBackoffMax);
  ++failure.count_;
}

void
EngineSlots::FinishEviction(const AdapterRef& aVictim)
{
  if (!aVictim.name_.empty()) {
    evicted_.push_back({ aVictim, clock_.Now() });
  }
}

void
EngineSlots::DropWaiters(const AdapterRef& aAdapter, SlotReason aReason)
{
  for (auto pin = pins_.begin(); pin != pins_.end();) {
    if (pin->second.state_ == PinState::Waiting && pin->second.adapter_ == aAdapter) {
      notices_.push_back({ pin->first, { SlotVerdict::Refused, aReason, {} } });
      pin = RemovePin(pin);
    } else {
      ++pin;
    }
  }
}

void
EngineSlots::LoadFinished(std::uint64_t aNumber, LoadOutcome aOutcome)
{
  const auto found = std::find_if(loads_.begin(), loads_.end(), [&](const auto& aItem) {
    const bool isUnderWay = aItem.second.state_ == LoadState::Ordered || aItem.second.isOldEpoch_;
    return isUnderWay && aItem.second.number_ == aNumber;
  });
  if (found == loads_.end()) {
    return;
  }
  if (found->second.isOldEpoch_) {
    // Which process carried the order out is not known; a report shows what is resident.
    if (aOutcome != LoadOutcome::Unknown) {
      FinishEviction(found->second.evict_);
      DropWaiters(AdapterRef(found->first), SlotReason::Restarted);
      loads_.erase(found);
    }
    return;
  }
  const AdapterRef adapter = found->first;
  const Load load = found->second;
  switch (aOutcome) {
    case LoadOutcome::Loaded:
      loads_.erase(found);
      failures_.erase(adapter);
      FinishEviction(load.evict_);
      BecomeResident(adapter);
      Promote();
      break;
    case LoadOutcome::Failed:
      FinishEviction(load.evict_);
      NoteFailure(adapter);
      DropWaiters(adapter, SlotReason::LoadBackoff);
      loads_.erase(adapter);
      break;
    case LoadOutcome::InUse:
      // The victim stays, and only a report can show that it runs nothing.
      found->second.state_ = LoadState::Pending;
      found->second.evict_ = AdapterRef{};
      if (!load.evict_.name_.empty()) {
        BecomeResident(load.evict_);
        residents_[load.evict_].hasOrphans_ = true;
        residents_[load.evict_].orphanEnds_.push_back(clock_.Now() + kMaxRunTime);
      }
      break;
    case LoadOutcome::Unknown:
      found->second.state_ = LoadState::Unknown;
      found->second.since_ = clock_.Now();
      break;
  }
}

std::vector<SlotNotice>
EngineSlots::TakeNotices()
{
  return std::exchange(notices_, {});
}

} // namespace laburnumweir
