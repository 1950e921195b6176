/** @file clock_error_func.h Bounds on time measured by the clocks of two hosts. */
#ifndef LABURNUMWEIR_DISPATCH_CLOCK_ERROR_FUNC_H
#define LABURNUMWEIR_DISPATCH_CLOCK_ERROR_FUNC_H

#include "table/dispatch_const.h"

namespace laburnumweir {

/**
 * @param aTime a time limit that another host keeps by its own clock.
 * @return the time after which the limit has certainly passed there.
 */
constexpr Duration
WithClockError(Duration aTime)
{
  return aTime + std::chrono::duration_cast<Duration>(aTime * kClockErrorShare) + kClockErrorOffset;
}

} // namespace laburnumweir

#endif
