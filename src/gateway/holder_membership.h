/** @file holder_membership.h Membership of this host in the group of engine holders. */
#ifndef LABURNUMWEIR_GATEWAY_HOLDER_MEMBERSHIP_H
#define LABURNUMWEIR_GATEWAY_HOLDER_MEMBERSHIP_H

#include "core/scheduler_base.h"
#include "fleet/fleet_store_base.h"
#include "fleet/holder_lease.h"

#include <chrono>
#include <functional>
#include <memory>

namespace laburnumweir {

/** Settings of the holder service. */
struct HolderSettings
{
  HostId memberId_; ///< This host process as member of the group; new after a restart.
  HostId host_;     ///< This host, as named in orders to engines.
  /** A member that does not join again within this time loses its partitions. */
  std::chrono::milliseconds memberTimeout_{ 3000 };
  std::chrono::milliseconds joinInterval_{ 1000 }; ///< Time between joins; a third of that time.
  /** From getting a partition to the first order, if it exceeds memberTimeout_. */
  std::chrono::milliseconds lease_{ 3000 };
  std::uint32_t partitions_ = 12; ///< Number of partitions of the group's topic.
};

/** What a HolderMembership works with. All references must outlive it. */
struct HolderMembershipContext
{
  FleetStore& store_;
  const Clock& clock_;
  Scheduler& scheduler_;
  HolderLease& lease_; ///< Updated with each answer of the group.
  /** Called each time that the store may have been restored from a copy since the previous join. */
  std::function<void()> onStoreRestored_;
};

/** Joins the group of engine holders and renews the membership. Not thread-safe. */
class HolderMembership : public std::enable_shared_from_this<HolderMembership>
{
public:
  HolderMembership(HolderMembershipContext aContext, const HolderSettings& aSettings)
    : context_(std::move(aContext))
    , settings_(aSettings)
  {
  }

  /** Joins the group now, and again at each join interval. */
  void Start() { Join(); }
  /** Leaves the group for good. */
  void Leave();
  /** Leaves the group, or joins it again after that. */
  void SetAway(bool aIsAway);
  /** @return whether Leave() was called. */
  bool IsLeaving() const { return isLeaving_; }

private:
  void LeaveGroup();
  void Join();
  void ScheduleJoin();
  void OnJoined(TimePoint aSentAt, std::error_code aError, const GroupMembership& aMembership);
  void OnEra(StoreEra aEra);

  const HolderMembershipContext context_;
  const HolderSettings settings_;
  bool isLeaving_ = false;
  bool isAway_ = false;
  bool isJoined_ = false;     ///< The last join succeeded.
  bool hasTriedJoin_ = false; ///< A join was answered or lost.
  std::uint64_t term_ = 0;    ///< Rises when the membership is given up.
};

} // namespace laburnumweir

#endif
