/** @file upstream_changes.cpp Entries of upstreams in the store, with the offset of their last
 * change.
 */
#include "fleet/upstream_changes.h"

#include "table/fleet_const.h"

#include <algorithm>

namespace laburnumweir {

namespace {

// Maximum number of removals that are kept. Hosts request changes several times a second, and far
// fewer upstreams are removed in that time.
constexpr std::size_t kMaxRemovals = 1024;
// With the first heartbeat between these times since its models changed, an entry is sent once
// more: hosts ignore the models of an entry for kMaxEntryAge after its holder sent the residency.
constexpr Duration kModelsRepeatDelay = kMaxEntryAge;
constexpr Duration kModelsRepeatEnd = 2 * kMaxEntryAge;

bool
IsSameExceptHeartbeat(const UpstreamEntry& aLeft, const UpstreamEntry& aRight)
{
  return aLeft.service_ == aRight.service_ && aLeft.endpoint_ == aRight.endpoint_ &&
         aLeft.dataCentre_ == aRight.dataCentre_ && aLeft.software_ == aRight.software_ &&
         aLeft.slots_ == aRight.slots_ && aLeft.isDraining_ == aRight.isDraining_ &&
         aLeft.coldTimeLeft_ == aRight.coldTimeLeft_ && aLeft.startedAt_ == aRight.startedAt_ &&
         aLeft.listsModels_ == aRight.listsModels_ && aLeft.models_ == aRight.models_;
}

} // namespace

void
UpstreamChanges::OnEntry(const UpstreamEntry& aEntry, LogOffset aNext)
{
  removed_.erase(aEntry.id_);
  auto [position, isNew] = entries_.try_emplace(aEntry.id_);
  auto& known = position->second;
  const bool isOutdated =
    !isNew &&
    (aEntry.startedAt_ < known.entry_.startedAt_ ||
     (aEntry.startedAt_ == known.entry_.startedAt_ && aEntry.heartbeat_ < known.entry_.heartbeat_));
  if (isOutdated) {
    return;
  }
  const auto now = clock_.Now();
  const auto sinceChange = now - known.modelsChangedAt_;
  const bool isRepeated =
    known.isRepeatDue_ && sinceChange >= kModelsRepeatDelay && sinceChange < kModelsRepeatEnd;
  if (isNew || known.entry_.models_ != aEntry.models_) {
    known.modelsChangedAt_ = now;
    known.isRepeatDue_ = true;
  } else if (isRepeated) {
    known.isRepeatDue_ = false;
  }
  if (isNew || isRepeated || !IsSameExceptHeartbeat(known.entry_, aEntry)) {
    known.changeOffset_ = aNext;
  }
  known.entry_ = aEntry;
}

void
UpstreamChanges::OnRemoved(const UpstreamId& aId, LogOffset aNext, EntryStamp aLastStamp)
{
  entries_.erase(aId);
  removed_[aId] = { aNext, aLastStamp };
  if (removed_.size() > kMaxRemovals) {
    const auto oldest =
      std::min_element(removed_.begin(), removed_.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.offset_ < aRight.second.offset_;
      });
    removalsKnownFrom_ = std::max(removalsKnownFrom_, oldest->second.offset_);
    removed_.erase(oldest);
  }
}

void
UpstreamChanges::OnSnapshot(StorePosition aNext)
{
  if (aNext.era_ != era_) {
    entries_.clear();
    removed_.clear();
    removalsKnownFrom_ = 0;
    era_ = aNext.era_;
  }
  // A snapshot does not list upstreams that were removed before it.
  removalsKnownFrom_ = std::max(removalsKnownFrom_, aNext.next_);
}

std::optional<std::vector<UpstreamChange>>
UpstreamChanges::Since(StorePosition aFrom) const
{
  if (!KnowsChangesSince(aFrom)) {
    return std::nullopt;
  }
  std::vector<UpstreamChange> changes;
  for (const auto& [id, known] : entries_) {
    if (known.changeOffset_ > aFrom.next_) {
      changes.push_back({ id, known.entry_ });
    }
  }
  for (const auto& [id, removal] : removed_) {
    if (removal.offset_ > aFrom.next_) {
      changes.push_back({ id, std::nullopt, removal.lastStamp_ });
    }
  }
  return changes;
}

std::optional<UpstreamChangePage>
UpstreamChanges::PageSince(StorePosition aFrom,
                           std::size_t aMaxSize,
                           const std::function<std::size_t(const UpstreamChange&)>& aSizeOf) const
{
  if (!KnowsChangesSince(aFrom)) {
    return std::nullopt;
  }
  std::multimap<LogOffset, UpstreamChange> changes;
  for (const auto& [id, known] : entries_) {
    if (known.changeOffset_ > aFrom.next_) {
      changes.emplace(known.changeOffset_, UpstreamChange{ id, known.entry_ });
    }
  }
  for (const auto& [id, removal] : removed_) {
    if (removal.offset_ > aFrom.next_) {
      changes.emplace(removal.offset_, UpstreamChange{ id, std::nullopt, removal.lastStamp_ });
    }
  }
  UpstreamChangePage page;
  std::size_t size = 0;
  for (auto group = changes.begin(); group != changes.end();) {
    const auto end = changes.upper_bound(group->first);
    std::for_each(group, end, [&](const auto& aChange) { size += aSizeOf(aChange.second); });
    if (size > aMaxSize) {
      if (page.changes_.empty()) {
        return std::nullopt;
      }
      page.next_ = std::prev(group)->first;
      return page;
    }
    for (; group != end; ++group) {
      page.changes_.push_back(std::move(group->second));
    }
  }
  return page;
}

} // namespace laburnumweir
