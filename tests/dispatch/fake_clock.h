/** @file fake_clock.h Clock that tests advance. */
#ifndef LABURNUMWEIR_TESTS_DISPATCH_FAKE_CLOCK_H
#define LABURNUMWEIR_TESTS_DISPATCH_FAKE_CLOCK_H

#include "core/clock_base.h"

namespace laburnumweir {

/** Clock that stands still until it is advanced. */
class FakeClock : public Clock
{
public:
  TimePoint Now() const override { return now_; }
  WallTime WallNow() const override { return wallNow_; }
  /** Moves time on. */
  void Advance(Duration aTime) { now_ += aTime; }
  /** Sets the wall-clock time, which Advance() does not change. */
  void SetWallNow(WallTime aTime) { wallNow_ = aTime; }

private:
  TimePoint now_{ std::chrono::hours(1) }; ///< Current time.
  WallTime wallNow_{};
};

} // namespace laburnumweir

#endif
