/** @file usage_counter.h Counts the requests that began to run at this host. */
#ifndef LABURNUMWEIR_FLEET_USAGE_COUNTER_H
#define LABURNUMWEIR_FLEET_USAGE_COUNTER_H

#include "fleet/usage_type.h"

#include <map>
#include <span>
#include <vector>

namespace laburnumweir {

/** Requests of a process that began to run, by window and workspace, and which of these counts
 * the holder has confirmed. Keeps the last windows only. Not thread-safe. */
class UsageCounter
{
public:
  explicit UsageCounter(WindowScale aScale)
    : scale_(aScale)
  {
  }

  /** Counts a request that began to run. @param aNow wall-clock time. */
  void Record(const WorkspaceId& aWorkspace, WallTime aNow);
  /** Raises counts to those that another process reports of itself. */
  void Raise(std::span<const UsageCell> aCells, WallTime aNow);
  /** Removes the windows that are too old, and those that are in the future since the wall clock
   * was set back. */
  void Expire(WallTime aNow);
  /** @return the counts from a window on, oldest window first. */
  std::vector<UsageCell> Counts(WindowId aFirst) const;
  /** @return the counts from a window on that have risen since they were confirmed. */
  std::vector<UsageCell> Unconfirmed(WindowId aFirst) const;
  /** Records that the holder has received these counts. */
  void Confirm(std::span<const UsageCell> aCells);
  /** Regards all counts as unconfirmed, for another holder. */
  void ForgetConfirmed();

private:
  struct Count
  {
    std::uint64_t value_ = 0;
    std::uint64_t confirmed_ = 0; ///< Highest value that the holder has received.
  };

  const WindowScale scale_;
  std::map<WindowId, std::map<WorkspaceId, Count>> windows_;
};

} // namespace laburnumweir

#endif
