/** @file attempt_record.h Outcome of the last attempts at an upstream. */
#ifndef LABURNUMWEIR_FLEET_ATTEMPT_RECORD_H
#define LABURNUMWEIR_FLEET_ATTEMPT_RECORD_H

#include "core/clock_base.h"

#include <cstdint>

namespace laburnumweir {

/** Outcome of an attempt, as it counts for the health of the upstream. */
enum class AttemptHealth : std::uint8_t
{
  Good,        ///< A valid answer.
  Failed,      ///< An error of the upstream or an invalid answer.
  Unreachable, ///< No connection, or no answer in time.
  Busy,        ///< Refused because of overload.
  Silent       ///< No answer in time, which was counted when the time was over.
};

/** Outcome of the last attempts at an upstream, and how long it gets no requests after failures. */
struct AttemptRecord
{
  /** Records the end of an attempt. @param aFirstByte time to the first byte; zero for none. */
  void OnEnded(AttemptHealth aHealth, Duration aFirstByte, TimePoint aNow);
  /** Records a failure, of an attempt that has ended or goes on. */
  void OnFailure(AttemptHealth aHealth, TimePoint aNow);

  /** Forgets the failures, which were not those of the upstream. */
  void ForgetFailures();

  std::uint32_t failures_ = 0; ///< Consecutive unreachable attempts.
  double failureAverage_ = 0;  ///< Moving average of the fraction of failures, 0 to 1.
  double latencyAverage_ = 0;  ///< Moving average of the time to the first byte, s.
  TimePoint backoffUntil_;     ///< The upstream gets no requests before this time.
};

} // namespace laburnumweir

#endif
