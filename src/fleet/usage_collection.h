/** @file usage_collection.h Counts of all hosts at the holder, and the time of the fleet. */
#ifndef LABURNUMWEIR_FLEET_USAGE_COLLECTION_H
#define LABURNUMWEIR_FLEET_USAGE_COLLECTION_H

#include "fleet/usage_type.h"

#include <map>
#include <span>
#include <vector>

namespace laburnumweir {

/** Counts that the processes of all hosts sent to the holder. Counts of one process only rise, so
 * lost, repeated and overtaken messages do no harm. Not thread-safe. */
class UsageCollection
{
public:
  /**
   * Adds counts of a process; each replaces a lower one of the same process.
   * @param aFirst oldest window that is collected. @param aLast newest one.
   */
  void Add(const UsageProcess& aProcess,
           std::span<const UsageCell> aCells,
           WindowId aFirst,
           WindowId aLast);
  /** @return the sum over all processes in a window. */
  UsageCounts Totals(WindowId aWindow) const;
  /** Removes the windows before one. */
  void EraseBefore(WindowId aWindow);
  void Clear();

private:
  /** Memory is bounded by these: 370 hosts may each send several hundred in each of 14 windows. */
  struct Count
  {
    std::uint32_t workspace_ = 0; ///< Index in names_.
    std::uint32_t value_ = 0;
  };

  std::map<WindowId, std::map<UsageProcess, std::vector<Count>>> windows_; ///< By workspace.
  std::map<WorkspaceId, std::uint32_t> indices_; ///< Index of each workspace in names_.
  std::vector<WorkspaceId> names_;
};

/**
 * True time as most hosts know it: the median of their wall clocks. The clock of a single host may
 * jump by seconds, and a report that is decided too early lacks counts for good.
 */
class FleetTime
{
public:
  /** @param aClock must outlive this object. */
  explicit FleetTime(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /** Records the wall clock that a host has just reported. */
  void OnWallTime(const HostId& aHost, WallTime aTime);
  /** Removes old values. */
  void Expire();
  /** @return the median; the wall clock of this host if none was recorded. */
  WallTime Now() const;

private:
  struct Sample
  {
    Duration offset_{ 0 }; ///< Wall clock less the monotonic clock of this host.
    TimePoint receivedAt_;
  };

  const Clock& clock_;
  std::map<HostId, Sample> samples_;
};

} // namespace laburnumweir

#endif
