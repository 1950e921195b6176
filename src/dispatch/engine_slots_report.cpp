/** @file engine_slots_report.cpp Reports, epochs and leases of one engine. */
#include "dispatch/clock_error_func.h"
#include "dispatch/engine_slots.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace laburnumweir {

namespace {

constexpr std::size_t kOldEpochsKept = 8; ///< Late answers come from the last lives only.

} // namespace

void
EngineSlots::NewEpoch(const std::string& aEpoch)
{
  if (!epoch_.empty()) {
    oldEpochs_.push_back(epoch_);
    if (oldEpochs_.size() > kOldEpochsKept) {
      oldEpochs_.pop_front();
    }
  }
  const bool isRestart = !epoch_.empty();
  epoch_ = aEpoch;
  residents_.clear();
  evicted_.clear();
  // An order under way may reach the new process, so its victim must not be used yet.
  std::erase_if(loads_,
                [](const auto& aItem) { return aItem.second.state_ == LoadState::Pending; });
  for (auto& [adapter, load] : loads_) {
    load.state_ = LoadState::Unknown;
    load.since_ = clock_.Now();
    load.isOldEpoch_ = true;
    load.waiters_ = 0;
  }
  for (auto pin = pins_.begin(); pin != pins_.end();) {
    if (pin->second.state_ == PinState::Waiting) {
      notices_.push_back({ pin->first, { SlotVerdict::Busy, SlotReason::Restarted, {} } });
      pin = pins_.erase(pin);
    } else {
      // A grant that was not used yet would reach the new process on top of its window.
      if (pin->second.epoch_ != aEpoch) {
        pin->second.state_ = PinState::Ghost;
      }
      ++pin;
    }
  }
  if (isRestart) {
    ResetWindow();
  }
}

void
EngineSlots::OnEpoch(const std::string& aEpoch, TimePoint aSentAt)
{
  const bool isOld = std::find(oldEpochs_.begin(), oldEpochs_.end(), aEpoch) != oldEpochs_.end();
  if (aEpoch.empty() || isOld) {
    return;
  }
  if (aEpoch != epoch_ && aSentAt >= epochSince_) {
    NewEpoch(aEpoch);
  }
  if (aEpoch == epoch_) {
    epochSince_ = std::max(epochSince_, aSentAt);
  }
}

void
EngineSlots::OnReport(const EngineReport& aReport, TimePoint aAskedAt)
{
  if (aAskedAt < lastAsked_) {
    return;
  }
  OnEpoch(aReport.epoch_, aAskedAt);
  if (aReport.epoch_ != epoch_) {
    return;
  }
  lastAsked_ = aAskedAt;
  const bool endsTakeOver = !isReady_ && aAskedAt >= readyAfter_;
  if (!isReady_ && !endsTakeOver) {
    return;
  }
  ReadResidents(aReport, aAskedAt);
  if (endsTakeOver) {
    isReady_ = true;
    window_.Adopt(aReport.running_);
  }
  SettleUnknownLoads(aReport, aAskedAt);
  SettlePins(aAskedAt);
  std::erase_if(evicted_, [&](const Evicted& aEvicted) {
    return aEvicted.at_ + settings_.reportLag_ <= aAskedAt;
  });
  Promote();
}

bool
EngineSlots::IsBeingEvicted(const AdapterRef& aAdapter, TimePoint aAskedAt) const
{
  return std::any_of(loads_.begin(),
                     loads_.end(),
                     [&](const auto& aItem) {
                       return aItem.second.state_ != LoadState::Pending &&
                              aItem.second.evict_ == aAdapter;
                     }) ||
         std::any_of(evicted_.begin(), evicted_.end(), [&](const Evicted& aEvicted) {
           return aEvicted.adapter_ == aAdapter && aAskedAt < aEvicted.at_ + settings_.reportLag_;
         });
}

void
EngineSlots::ReadResidents(const EngineReport& aReport, TimePoint aAskedAt)
{
  std::map<AdapterRef, std::uint32_t> reported;
  for (const ResidentAdapter& item : aReport.resident_) {
    reported[item.adapter_] = item.running_;
  }
  // A report may not show yet what was loaded shortly before it was asked for.
  std::erase_if(residents_, [&](const auto& aItem) {
    return !reported.contains(aItem.first) &&
           aItem.second.loadedAt_ + settings_.reportLag_ <= aAskedAt;
  });
  for (const auto& [adapter, running] : reported) {
    if (!residents_.contains(adapter)) {
      const auto load = loads_.find(adapter);
      const bool mayPredate = load != loads_.end() && load->second.state_ != LoadState::Pending &&
                              aAskedAt < load->second.since_ + settings_.reportLag_;
      if (mayPredate || IsBeingEvicted(adapter, aAskedAt)) {
        continue;
      }
      if (load != loads_.end()) {
        FinishEviction(load->second.evict_);
        loads_.erase(load);
      }
      BecomeResident(adapter);
    }
    Resident& resident = residents_[adapter];
    resident.running_ = running;
    const TimePoint shows = aAskedAt - settings_.reportLag_;
    std::erase_if(resident.releases_, [&](TimePoint aReleased) { return aReleased < shows; });
    CountRuns(resident, running, clock_.Now());
    // At a takeover a run may be that of an adopted pin or of one that nobody renews.
    if (!resident.orphanEnds_.empty() || (!isReady_ && running > 0)) {
      resident.hasOrphans_ = true;
    } else if (running == 0 && resident.quietSince_ <= shows) {
      resident.hasOrphans_ = false;
    }
  }
}

void
EngineSlots::CountRuns(Resident& aResident, std::uint32_t aRunning, TimePoint aNow)
{
  // No run begins without a pin, so runs without one only become fewer. Which of the runs they are
  // is not known, so those that may last longest are kept.
  std::vector<TimePoint>& ends = aResident.orphanEnds_;
  std::sort(ends.begin(), ends.end(), std::greater<>());
  ends.resize(std::min<std::size_t>(ends.size(), aRunning));
  const std::size_t known = aResident.pins_ + aResident.releases_.size() + ends.size();
  for (std::size_t i = known; i < aRunning; ++i) {
    ends.push_back(aNow + kMaxRunTime);
  }
}

void
EngineSlots::SettleUnknownLoads(const EngineReport& aReport, TimePoint aAskedAt)
{
  const auto isReported = [&](const AdapterRef& aAdapter) {
    return std::any_of(aReport.resident_.begin(),
                       aReport.resident_.end(),
                       [&](const ResidentAdapter& aItem) { return aItem.adapter_ == aAdapter; });
  };
  std::vector<std::pair<AdapterRef, AdapterRef>> ended;
  for (const auto& [adapter, load] : loads_) {
    // The engine may go on with an order whose answer was lost, and evict late.
    if (load.state_ == LoadState::Unknown &&
        aAskedAt >= load.since_ + kUnconfirmedLoadTime + settings_.reportLag_) {
      ended.emplace_back(adapter, load.evict_);
    }
  }
  for (const auto& [adapter, victim] : ended) {
    if (!loads_.at(adapter).isOldEpoch_) {
      NoteFailure(adapter);
    }
    DropWaiters(adapter, SlotReason::LoadBackoff);
    loads_.erase(adapter);
    if (!victim.name_.empty() && isReported(victim)) {
      BecomeResident(victim);
    }
  }
}

void
EngineSlots::SettlePins(TimePoint aAskedAt)
{
  // The report counts runs without naming them, so as many lapsed pins as it shows runs are kept as
  // runs without a pin, until they have certainly ended.
  for (auto pin = pins_.begin(); pin != pins_.end();) {
    const bool isSettled = pin->second.state_ == PinState::Uncertain &&
                           aAskedAt >= pin->second.since_ + settings_.reportLag_;
    if (!isSettled) {
      ++pin;
      continue;
    }
    const auto resident = residents_.find(pin->second.adapter_);
    const bool mayRun = resident != residents_.end() && resident->second.running_ > 0;
    pin = mayRun ? MakeOrphan(pin) : RemovePin(pin);
  }
  for (auto& [adapter, resident] : residents_) {
    CountRuns(resident, resident.running_, clock_.Now());
  }
}

void
EngineSlots::OnSuccess(Duration aLatency)
{
  // A window that counts as unused does not grow.
  const bool mayGrow = clock_.Now() >= growAfter_;
  window_.OnSuccess(aLatency, mayGrow ? InUse() + 1 : 0);
  Promote();
}

void
EngineSlots::ResetWindow()
{
  window_.Reset();
  growAfter_ = clock_.Now() + kColdWindowHoldTime;
}

void
EngineSlots::OnOverload()
{
  ResetWindow();
}

void
EngineSlots::Tick()
{
  const TimePoint now = clock_.Now();
  for (auto pin = pins_.begin(); pin != pins_.end();) {
    Pin& item = pin->second;
    const bool hasLapsed = now >= item.lapses_;
    const bool isTooLate = item.state_ == PinState::Waiting && now >= item.deadline_;
    if (isTooLate) {
      notices_.push_back({ pin->first, { SlotVerdict::Refused, SlotReason::TooLate, {} } });
    }
    if (isTooLate ||
        (hasLapsed && (item.state_ == PinState::Waiting || item.state_ == PinState::Ghost))) {
      pin = RemovePin(pin);
      continue;
    }
    if (hasLapsed && item.state_ == PinState::Granted) {
      MakeUncertain(item);
    }
    ++pin;
  }
  for (auto& [adapter, resident] : residents_) {
    std::erase_if(resident.orphanEnds_, [&](TimePoint aEnd) { return aEnd <= now; });
  }
  std::erase_if(loads_, [](const auto& aItem) {
    return aItem.second.state_ == LoadState::Pending && aItem.second.waiters_ == 0 &&
           !aItem.second.isSpeculative_;
  });
  Promote();
}

} // namespace laburnumweir
