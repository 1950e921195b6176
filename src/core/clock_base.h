/** @file clock_base.h Interface for reading the monotonic and the wall-clock time. */
#ifndef LABURNUMWEIR_CORE_CLOCK_BASE_H
#define LABURNUMWEIR_CORE_CLOCK_BASE_H

#include <chrono>

namespace laburnumweir {

using Duration = std::chrono::nanoseconds;

/** Monotonic clock that also counts time during which the machine or process was suspended. */
struct BootClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using TimePoint = BootClock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/** Source of time. Tests supply an implementation whose time they set. */
class Clock
{
public:
  virtual ~Clock() = default;
  /** @return the monotonic time, which includes time during which the machine was suspended. */
  virtual TimePoint Now() const = 0;
  /** @return the wall-clock time. It is used only for rules that name hours of the day, and for
   * times that are stored for or by other processes. */
  virtual WallTime WallNow() const = 0;
};

} // namespace laburnumweir

#endif
