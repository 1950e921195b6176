/** @file snapshot_scheduler.cpp Decides when a host appends a snapshot. */
#include "state/snapshot_scheduler.h"

#include <algorithm>
#include <iterator>

namespace laburnumweir {

namespace {

std::chrono::milliseconds
SinceEpoch(WallTime aWall)
{
  return std::chrono::floor<std::chrono::milliseconds>(aWall.time_since_epoch());
}

} // namespace

bool
SnapshotScheduler::IsDue(const ConfigState& aState, WallTime aWall) const
{
  const std::optional<SnapshotMark>& mark = aState.Image().snapshot_;
  if (!mark) {
    return aState.NextOffset() > 0;
  }
  if (aState.NextOffset() - mark->offset_ > settings_.records_) {
    return true;
  }
  // A snapshot alone on the stream still expires, so age counts without new records as well.
  return SinceEpoch(aWall) - mark->written_ >= settings_.retention_ / 3;
}

bool
SnapshotScheduler::ShouldAppend(const ConfigState& aState,
                                const HostId& aSelf,
                                TimePoint aNow,
                                WallTime aWall,
                                RandomSource& aRandom)
{
  const auto& members = aState.Members();
  const auto self = members.find(aSelf);
  if (self == members.end() || !IsDue(aState, aWall)) {
    appendAt_.reset();
    return false;
  }
  if (!appendAt_) {
    const auto rank = std::distance(members.begin(), self);
    const Duration jitter(aRandom.Below(
      static_cast<std::uint64_t>(std::max<Duration::rep>(settings_.step_.count(), 1))));
    appendAt_ = aNow + settings_.step_ * rank + jitter;
  }
  if (aNow < *appendAt_) {
    return false;
  }
  appendAt_.reset();
  return true;
}

SnapshotRecord
MakeSnapshot(const ConfigState& aState, WallTime aWall)
{
  return SnapshotRecord{ aState.Image(), SinceEpoch(aWall) };
}

} // namespace laburnumweir
