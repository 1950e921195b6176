/** @file load_budget.cpp Share of one host in the adapter loads in flight across the fleet. */
#include "dispatch/load_budget.h"

#include <algorithm>

namespace laburnumweir {

LoadBudget::LoadBudget(const Clock& aClock, std::uint32_t aFleetLoads)
  : clock_(aClock)
  , fleetLoads_(std::max<std::uint32_t>(aFleetLoads, 1))
  , limit_(fleetLoads_)
  , nextStart_(aClock.Now())
{
}

void
LoadBudget::SetShare(std::uint32_t aRank, std::uint32_t aOwners)
{
  const std::uint32_t owners = std::max<std::uint32_t>(aOwners, 1);
  const std::uint32_t share = fleetLoads_ / owners + (aRank < fleetLoads_ % owners ? 1 : 0);
  limit_ = std::max<std::uint32_t>(share, 1);
  // Hosts without a whole load of their own share the rate of the whole fleet evenly.
  gap_ = owners > fleetLoads_ ? kExpectedLoadTime * owners / fleetLoads_ : Duration{};
}

void
LoadBudget::Request(const LoadKey& aKey, LoadKind aKind)
{
  if (inFlight_.contains(aKey)) {
    return;
  }
  const auto found = std::find_if(
    waiting_.begin(), waiting_.end(), [&](const Entry& aEntry) { return aEntry.key_ == aKey; });
  if (found != waiting_.end()) {
    found->kind_ = aKind == LoadKind::Demand ? aKind : found->kind_;
    return;
  }
  waiting_.push_back({ aKey, aKind, nextSequence_++, clock_.Now() });
}

void
LoadBudget::Cancel(const LoadKey& aKey)
{
  std::erase_if(waiting_, [&](const Entry& aEntry) { return aEntry.key_ == aKey; });
}

std::optional<LoadKey>
LoadBudget::Next()
{
  const TimePoint now = clock_.Now();
  // The end of a load may never be told; after the longest time of an order its place is free.
  std::erase_if(inFlight_, [&](const auto& aItem) {
    return aItem.second.notBefore_ + kUnconfirmedLoadTime <= now;
  });
  if (inFlight_.size() >= limit_ || now < nextStart_) {
    return std::nullopt;
  }
  const bool demandWaits = std::any_of(waiting_.begin(), waiting_.end(), [](const Entry& aEntry) {
    return aEntry.kind_ == LoadKind::Demand;
  });
  const auto next = std::find_if(waiting_.begin(), waiting_.end(), [&](const Entry& aEntry) {
    return aEntry.notBefore_ <= now && (aEntry.kind_ == LoadKind::Demand || !demandWaits);
  });
  if (next == waiting_.end()) {
    return std::nullopt;
  }
  Entry entry = *next;
  waiting_.erase(next);
  entry.notBefore_ = now;
  nextStart_ = now + gap_;
  inFlight_[entry.key_] = entry;
  return entry.key_;
}

void
LoadBudget::Postpone(const LoadKey& aKey, Duration aWait)
{
  const auto found = inFlight_.find(aKey);
  if (found == inFlight_.end()) {
    return;
  }
  Entry entry = found->second;
  inFlight_.erase(found);
  nextStart_ = clock_.Now();
  entry.notBefore_ = clock_.Now() + aWait;
  const auto place = std::find_if(waiting_.begin(), waiting_.end(), [&](const Entry& aOther) {
    return aOther.sequence_ > entry.sequence_;
  });
  waiting_.insert(place, entry);
}

} // namespace laburnumweir
