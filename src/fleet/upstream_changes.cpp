/** @file upstream_changes.cpp Entries of upstreams as the store holds them, by their last change.
 */
#include "fleet/upstream_changes.h"

#include "table/fleet_const.h"

#include <algorithm>

namespace laburnumweir {

namespace {

// Removals kept; hosts ask several times a second, and far fewer upstreams leave in that time.
constexpr std::size_t kMaxRemovals = 1024;
// An entry is told again with each heartbeat for this long after its models changed. Hosts take an
// entry for older than its holder's word for kEntryLag, so a difference must be told after that.
constexpr Duration kRepeatTime = 2 * kEntryLag;

bool
IsSame(const UpstreamEntry& aLeft, const UpstreamEntry& aRight)
{
  return aLeft.service_ == aRight.service_ && aLeft.endpoint_ == aRight.endpoint_ &&
         aLeft.dataCentre_ == aRight.dataCentre_ && aLeft.slots_ == aRight.slots_ &&
         aLeft.isDraining_ == aRight.isDraining_ && aLeft.coldFor_ == aRight.coldFor_ &&
         aLeft.startedAt_ == aRight.startedAt_ && aLeft.listsModels_ == aRight.listsModels_ &&
         aLeft.models_ == aRight.models_;
}

} // namespace

void
UpstreamChanges::OnEntry(const UpstreamEntry& aEntry, LogOffset aNext)
{
  removed_.erase(aEntry.id_);
  auto [position, isNew] = entries_.try_emplace(aEntry.id_);
  auto& known = position->second;
  const bool isOlder =
    !isNew &&
    (aEntry.startedAt_ < known.entry_.startedAt_ ||
     (aEntry.startedAt_ == known.entry_.startedAt_ && aEntry.heartbeat_ < known.entry_.heartbeat_));
  if (isOlder) {
    return;
  }
  const auto now = clock_.Now();
  if (isNew || known.entry_.models_ != aEntry.models_) {
    known.modelsAt_ = now;
  }
  if (isNew || !IsSame(known.entry_, aEntry) || now - known.modelsAt_ < kRepeatTime) {
    known.changed_ = aNext;
  }
  known.entry_ = aEntry;
}

void
UpstreamChanges::OnRemoved(const UpstreamId& aId, LogOffset aNext)
{
  entries_.erase(aId);
  removed_[aId] = aNext;
  if (removed_.size() > kMaxRemovals) {
    const auto oldest =
      std::min_element(removed_.begin(), removed_.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
    floor_ = std::max(floor_, oldest->second);
    removed_.erase(oldest);
  }
}

void
UpstreamChanges::OnSnapshot(LogOffset aNext)
{
  // What was removed before the snapshot is not in it.
  floor_ = std::max(floor_, aNext);
}

std::optional<std::vector<UpstreamChange>>
UpstreamChanges::Since(LogOffset aFrom) const
{
  if (aFrom < floor_) {
    return std::nullopt;
  }
  std::vector<UpstreamChange> changes;
  for (const auto& [id, known] : entries_) {
    if (known.changed_ > aFrom) {
      changes.push_back({ id, known.entry_ });
    }
  }
  for (const auto& [id, offset] : removed_) {
    if (offset > aFrom) {
      changes.push_back({ id, std::nullopt });
    }
  }
  return changes;
}

} // namespace laburnumweir
