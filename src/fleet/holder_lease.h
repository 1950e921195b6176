/** @file holder_lease.h Which engines this host may give orders to. */
#ifndef LABURNUMWEIR_FLEET_HOLDER_LEASE_H
#define LABURNUMWEIR_FLEET_HOLDER_LEASE_H

#include "core/clock_base.h"
#include "fleet/fleet_store_base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace laburnumweir {

/** @return the partition of the group that an engine belongs to. */
std::uint32_t
PartitionOf(const UpstreamId& aEngine, std::uint32_t aPartitions);

/**
 * Partitions that this host holds, with their lease. A host orders only while its membership cannot
 * have expired, and after it got a partition only once the orders of the holder before are settled.
 * Not thread-safe.
 */
class HolderLease
{
public:
  /**
   * @param aClock time source that counts suspended time; must outlive this.
   * @param aLife time after which the group gives the partitions of a silent member away.
   * @param aSettle time from getting a partition to the first order.
   */
  HolderLease(const Clock& aClock, Duration aLife, Duration aSettle)
    : clock_(aClock)
    , life_(aLife)
    , settle_(aSettle)
  {
  }

  /**
   * Notes an answer of the group.
   * @param aAsked when the call was sent. @param aMembership the answer.
   * @return whether the partitions or the generation changed.
   */
  bool OnMembership(TimePoint aAsked, const GroupMembership& aMembership);
  /** Notes that the group does not know this host. */
  void OnLost();
  /** @return whether this host may order engines of a partition now. */
  bool MayOrder(std::uint32_t aPartition) const;
  /** @return since when this host holds a partition; none if it does not. */
  std::optional<TimePoint> HeldSince(std::uint32_t aPartition) const;
  /** @return fencing token; the generation of the group. */
  std::uint64_t Token() const { return generation_; }
  /** @return partitions held, settled or not; none if the membership may have expired. */
  std::vector<std::uint32_t> Partitions() const;

private:
  bool IsValid() const;

  const Clock& clock_;                           ///< Time source.
  const Duration life_;                          ///< Life of a silent member.
  const Duration settle_;                        ///< From getting a partition to the first order.
  std::uint64_t generation_ = 0;                 ///< Generation of the last answer.
  TimePoint asked_;                              ///< When the last answered call was sent.
  bool isMember_ = false;                        ///< An answer came and was not revoked.
  std::map<std::uint32_t, TimePoint> heldSince_; ///< Partitions with the time they were got.
};

} // namespace laburnumweir

#endif
