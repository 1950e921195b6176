/** @file holder_lease.h Lease of this host on the partitions of engines that it holds. */
#ifndef LABURNUMWEIR_FLEET_HOLDER_LEASE_H
#define LABURNUMWEIR_FLEET_HOLDER_LEASE_H

#include "core/clock_base.h"
#include "fleet/fleet_store_base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace laburnumweir {

/** @param aPartitions number of partitions into which the engines are divided.
 * @return the partition of an engine. */
std::uint32_t
PartitionOf(const UpstreamId& aEngine, std::uint32_t aPartitions);

/**
 * Partitions that this host holds, with their lease. Hosts that hold engines form a group in the
 * store, which assigns the partitions to its members. A host sends orders to the engines of a
 * partition only while its membership of the group cannot have expired. After it gets a partition,
 * it first waits until the orders of the previous holder have taken effect; that host may be cut
 * off from the store and then stops when its own membership expires. Not thread-safe.
 */
class HolderLease
{
public:
  /**
   * @param aClock must also advance while the host is suspended; must outlive this object.
   * @param aTimeout time after which the group reassigns the partitions of a silent member.
   * @param aSettleTime time from getting a partition to the first order, if it exceeds aTimeout.
   */
  HolderLease(const Clock& aClock, Duration aTimeout, Duration aSettleTime)
    : clock_(aClock)
    , timeout_(aTimeout)
    , settleTime_(aSettleTime)
  {
  }

  /**
   * Records an answer of the group.
   * @param aSentAt when the call was sent, from which the lease counts.
   * @return whether the partitions or the generation changed; false if the answer is of an older
   * era, and ignored.
   */
  bool OnMembership(TimePoint aSentAt, const GroupMembership& aMembership);
  /** Changes the time from getting a partition to the first order. */
  void SetSettleTime(Duration aSettleTime);
  /** Records that this host is not a member of the group. */
  void OnMembershipLost();
  /** Records the era of an answer of the store. A newer one ends the membership of this host. */
  void OnEra(StoreEra aEra);
  /** @return the newest era that was recorded. */
  StoreEra Era() const { return era_; }
  /** @return whether this host may send orders to the engines of a partition now. */
  bool MayOrder(std::uint32_t aPartition) const;
  /** @return since when this host holds a partition; none if it does not. */
  std::optional<TimePoint> HeldSince(std::uint32_t aPartition) const;
  /** @return the generation of the group in the last answer, which also rises with each era. */
  std::uint64_t Generation() const { return OrderedGeneration(era_, generation_); }
  /** @return the generation in the last answer of this era, as the store counts it; 0 if none. */
  std::uint64_t GroupGeneration() const { return generation_; }
  /**
   * @return the fencing token for the engines of a partition: the ordered generation in which this
   * host got it, so that orders that overtake each other bear the same token; none if it is not
   * held.
   */
  std::optional<std::uint64_t> TokenOf(std::uint32_t aPartition) const;
  /**
   * Records that an engine of a partition has seen a higher token. The partition gets a new token
   * with the next generation.
   * @param aToken token of the refused order; ignored unless it is still the partition's.
   */
  void OnFenced(std::uint32_t aPartition, std::uint64_t aToken);
  /** @return partitions held, including those whose settle time has not ended; empty if the
   * membership may have expired. */
  std::vector<std::uint32_t> Partitions() const;

private:
  struct HeldPartition
  {
    TimePoint since_;         ///< When this host got it.
    TimePoint settledAt_;     ///< When the first order may be sent.
    std::uint64_t token_ = 0; ///< Fencing token of its orders.
    /** Generation in which an engine refused the token; none if none did. */
    std::optional<std::uint64_t> fencedIn_;
  };

  bool IsValid() const;
  /** @return a number that orders generations by era first; in era 0 it is the generation. */
  static std::uint64_t OrderedGeneration(StoreEra aEra, std::uint64_t aGeneration);

  const Clock& clock_;
  const Duration timeout_;       ///< Time after which a silent member is removed.
  Duration settleTime_;          ///< Time from getting a partition to the first order.
  StoreEra era_ = 0;             ///< Newest era that an answer of the store named.
  std::uint64_t generation_ = 0; ///< Generation of the last answer of this era; 0 if none.
  TimePoint sentAt_;             ///< When the call of the last answer was sent.
  bool isMember_ = false;        ///< Whether this host is a member according to the last answer.
  std::map<std::uint32_t, HeldPartition> held_; ///< Partitions of the last answer.
};

} // namespace laburnumweir

#endif
