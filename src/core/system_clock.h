/** @file system_clock.h Clock based on CLOCK_BOOTTIME. */
#ifndef LABURNUMWEIR_CORE_SYSTEM_CLOCK_H
#define LABURNUMWEIR_CORE_SYSTEM_CLOCK_H

#include "core/clock_base.h"

namespace laburnumweir {

/** Clock of the operating system. Now() reads CLOCK_BOOTTIME, which also counts suspended time. */
class SystemClock : public Clock
{
public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

} // namespace laburnumweir

#endif
