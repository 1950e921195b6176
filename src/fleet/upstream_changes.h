/** @file upstream_changes.h Entries of upstreams in the store, with the offset of their last
 * change. */
#ifndef LABURNUMWEIR_FLEET_UPSTREAM_CHANGES_H
#define LABURNUMWEIR_FLEET_UPSTREAM_CHANGES_H

#include "core/clock_base.h"
#include "fleet/fleet_store_base.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace laburnumweir {

/** Changes of upstreams in ascending order of their offsets. */
struct UpstreamChangePage
{
  std::vector<UpstreamChange> changes_;
  std::optional<LogOffset> next_; ///< All changes before this offset are in; none if all are.
};

/**
 * Keeps the entries of upstreams with the store offset of their last change, all in one era. A
 * store reader uses it to send another host the changes since the position that this host has. An
 * entry that differs only in its heartbeat is not a change. Not thread-safe.
 */
class UpstreamChanges
{
public:
  /** @param aClock time source; must outlive this. */
  explicit UpstreamChanges(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /** Applies an entry that was read. @param aNext offset after its record, or a later one. */
  void OnEntry(const UpstreamEntry& aEntry, LogOffset aNext);
  /**
   * Applies a removal.
   * @param aNext hosts at a lower offset do not know of it yet.
   * @param aLastStamp of the last entry before, if known.
   */
  void OnRemoved(const UpstreamId& aId, LogOffset aNext, EntryStamp aLastStamp = {});
  /**
   * Starts a snapshot; earlier removals are unknown. One of another era replaces all entries.
   * @param aNext position of its end.
   */
  void OnSnapshot(StorePosition aNext);

  /**
   * @param aFrom position up to which a host has all changes.
   * @return the changes since, perhaps with some earlier ones; none if the position is of another
   *         era or removals since then are not known any more, so that the host needs the whole
   *         state.
   */
  std::optional<std::vector<UpstreamChange>> Since(StorePosition aFrom) const;
  /**
   * @param aFrom position up to which a host has all changes.
   * @param aMaxSize limit of the sum of the sizes.
   * @param aSizeOf size of a change.
   * @return the oldest changes since that fit into the limit; none if Since() returns none, or if
   *         the first changes, which have the same offset, do not fit.
   */
  std::optional<UpstreamChangePage> PageSince(
    StorePosition aFrom,
    std::size_t aMaxSize,
    const std::function<std::size_t(const UpstreamChange&)>& aSizeOf) const;

private:
  bool KnowsChangesSince(StorePosition aFrom) const
  {
    return aFrom.era_ == era_ && aFrom.next_ >= removalsKnownFrom_;
  }

  struct KnownEntry
  {
    UpstreamEntry entry_;
    LogOffset changeOffset_ = 0; ///< Offset after its last change.
    TimePoint modelsChangedAt_;  ///< When its models last changed.
    bool isRepeatDue_ = false;   ///< Its models were not sent again since they changed.
  };

  struct Removal
  {
    LogOffset offset_ = 0; ///< Hosts at a lower offset do not know of it yet.
    EntryStamp lastStamp_; ///< Of the last entry before.
  };

  const Clock& clock_;
  StoreEra era_ = 0; ///< Era of all offsets.
  std::map<UpstreamId, KnownEntry> entries_;
  std::map<UpstreamId, Removal> removed_;
  LogOffset removalsKnownFrom_ = 0; ///< Removals before this offset are not known any more.
};

} // namespace laburnumweir

#endif
