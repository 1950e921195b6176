/** @file usage_collection.cpp Counts of all hosts at the holder, and the time of the fleet. */
#include "fleet/usage_collection.h"

#include "table/usage_const.h"

#include <algorithm>
#include <limits>

namespace laburnumweir {

void
UsageCollection::Add(const UsageProcess& aProcess,
                     std::span<const UsageCell> aCells,
                     WindowId aFirst,
                     WindowId aLast)
{
  for (const auto& cell : aCells) {
    if (cell.window_ < aFirst || cell.window_ > aLast) {
      continue;
    }
    auto index = indices_.find(cell.workspace_);
    if (index == indices_.end()) {
      if (names_.size() >= kMaxUsageWorkspaces) {
        continue;
      }
      index = indices_.emplace(cell.workspace_, static_cast<std::uint32_t>(names_.size())).first;
      names_.push_back(cell.workspace_);
    }
    auto& counts = windows_[cell.window_][aProcess];
    const auto position = std::lower_bound(
      counts.begin(), counts.end(), index->second, [](const Count& aCount, auto aIndex) {
        return aCount.workspace_ < aIndex;
      });
    const auto value = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(cell.count_, std::numeric_limits<std::uint32_t>::max()));
    if (position == counts.end() || position->workspace_ != index->second) {
      counts.insert(position, { index->second, value });
    } else {
      position->value_ = std::max(position->value_, value);
    }
  }
}

UsageCounts
UsageCollection::Totals(WindowId aWindow) const
{
  UsageCounts totals;
  const auto window = windows_.find(aWindow);
  if (window == windows_.end()) {
    return totals;
  }
  for (const auto& [process, counts] : window->second) {
    for (const auto& count : counts) {
      totals[names_[count.workspace_]] += count.value_;
    }
  }
  return totals;
}

void
UsageCollection::EraseBefore(WindowId aWindow)
{
  windows_.erase(windows_.begin(), windows_.lower_bound(aWindow));
}

void
UsageCollection::Clear()
{
  windows_.clear();
  indices_.clear();
  names_.clear();
}

void
FleetTime::OnWallTime(const HostId& aHost, WallTime aTime)
{
  const auto now = clock_.Now();
  samples_[aHost] = { aTime.time_since_epoch() - now.time_since_epoch(), now };
}

void
FleetTime::Expire()
{
  const auto now = clock_.Now();
  std::erase_if(samples_, [&](const auto& aSample) {
    return now - aSample.second.receivedAt_ >= kFleetTimeTtl;
  });
}

WallTime
FleetTime::Now() const
{
  if (samples_.empty()) {
    return clock_.WallNow();
  }
  std::vector<Duration> offsets;
  offsets.reserve(samples_.size());
  for (const auto& [host, sample] : samples_) {
    offsets.push_back(sample.offset_);
  }
  // Of two middle values the lower one is taken: a late decision does less harm than an early one.
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return WallTime(
    std::chrono::duration_cast<WallTime::duration>(clock_.Now().time_since_epoch() + *middle));
}

} // namespace laburnumweir
