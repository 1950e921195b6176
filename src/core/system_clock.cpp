/** @file system_clock.cpp Clock based on CLOCK_BOOTTIME. */
#include "core/system_clock.h"

#include <ctime>

namespace laburnumweir {

TimePoint
SystemClock::Now() const
{
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

WallTime
SystemClock::WallNow() const
{
  return std::chrono::system_clock::now();
}

} // namespace laburnumweir
