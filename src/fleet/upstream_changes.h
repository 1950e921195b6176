/** @file upstream_changes.h Entries of upstreams as the store holds them, by their last change. */
#ifndef LABURNUMWEIR_FLEET_UPSTREAM_CHANGES_H
#define LABURNUMWEIR_FLEET_UPSTREAM_CHANGES_H

#include "core/clock_base.h"
#include "fleet/fleet_store_base.h"

#include <map>
#include <optional>
#include <vector>

namespace laburnumweir {

/**
 * Entries of upstreams with the offset of the store at which they last changed, so that a host that
 * knows the state at an offset can be told what changed since. A heartbeat alone is no change. Not
 * thread-safe.
 */
class UpstreamChanges
{
public:
  /** @param aClock time source; must outlive this. */
  explicit UpstreamChanges(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /** Notes an entry that was read. @param aNext offset after the batch that held it. */
  void OnEntry(const UpstreamEntry& aEntry, LogOffset aNext);
  /** Notes that an upstream is gone. @param aNext offset after which this is news. */
  void OnRemoved(const UpstreamId& aId, LogOffset aNext);
  /** Notes that everything was read. @param aNext offset of the state that was read. */
  void OnSnapshot(LogOffset aNext);

  /**
   * @param aFrom offset up to which a host knows all changes.
   * @return what changed since, perhaps with some earlier changes; none if that is not known.
   */
  std::optional<std::vector<UpstreamChange>> Since(LogOffset aFrom) const;

private:
  struct Known
  {
    UpstreamEntry entry_;   ///< Newest entry.
    LogOffset changed_ = 0; ///< Offset after its last change.
    TimePoint modelsAt_;    ///< When its models last changed.
  };

  const Clock& clock_;                      ///< Time source.
  std::map<UpstreamId, Known> entries_;     ///< Entries that exist.
  std::map<UpstreamId, LogOffset> removed_; ///< Upstreams that are gone, with the offset.
  LogOffset floor_ = 0;                     ///< Removals before this offset are not known any more.
};

} // namespace laburnumweir

#endif
