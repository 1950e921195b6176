/** @file usage_type.h Windows, counts and reports of the requests that began to run. */
#ifndef LABURNUMWEIR_FLEET_USAGE_TYPE_H
#define LABURNUMWEIR_FLEET_USAGE_TYPE_H

#include "core/clock_base.h"
#include "core/id_type.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace laburnumweir {

/** Number of a window: it begins this number times the length of a window after the start of 1970.
 */
using WindowId = std::int64_t;

/** Division of the time into windows of equal length. */
class WindowScale
{
public:
  /** @param aLength length of a window; at least 1 ms. */
  explicit WindowScale(std::chrono::milliseconds aLength)
    : length_(aLength)
  {
  }

  std::chrono::milliseconds Length() const { return length_; }
  /** @return the window that contains a time. */
  WindowId WindowAt(WallTime aTime) const
  {
    const auto time = std::chrono::floor<std::chrono::milliseconds>(aTime.time_since_epoch());
    const auto quotient = time / length_;
    return time < quotient * length_ ? quotient - 1 : quotient;
  }
  /** @return the time at which a window ends. */
  WallTime EndOf(WindowId aWindow) const { return WallTime((aWindow + 1) * length_); }

private:
  std::chrono::milliseconds length_;
};

/** Number of requests by workspace. */
using UsageCounts = std::map<WorkspaceId, std::uint64_t>;

/** Requests that began to run in a window, over all hosts. */
struct UsageReport
{
  WindowId window_ = 0;
  UsageCounts counts_;

  bool operator==(const UsageReport&) const = default;
};

/** Requests of a workspace that began to run in a window at one host process. It only rises. */
struct UsageCell
{
  WindowId window_ = 0;
  WorkspaceId workspace_;
  std::uint64_t count_ = 0;

  bool operator==(const UsageCell&) const = default;
};

/** One process of a host. A restarted host counts from 0 again. */
struct UsageProcess
{
  HostId host_;
  std::int64_t startedAt_ = 0; ///< Start time of the process, Unix ms.

  auto operator<=>(const UsageProcess&) const = default;
};

} // namespace laburnumweir

#endif
