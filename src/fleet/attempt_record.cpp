/** @file attempt_record.cpp Outcome of the last attempts at an upstream. */
#include "fleet/attempt_record.h"

#include "table/fleet_const.h"

#include <algorithm>

namespace laburnumweir {

namespace {

constexpr double kLatencyWeight = 0.1; // weight of the newest sample in the moving average

} // namespace

void
AttemptRecord::OnEnded(AttemptHealth aHealth, Duration aFirstByte, TimePoint aNow)
{
  if (aFirstByte > Duration::zero()) {
    const double seconds = std::chrono::duration<double>(aFirstByte).count();
    latencyAverage_ += kLatencyWeight * (seconds - latencyAverage_);
  }
  if (aHealth == AttemptHealth::Silent) {
    return;
  }
  if (aHealth == AttemptHealth::Failed || aHealth == AttemptHealth::Unreachable) {
    OnFailure(aHealth, aNow);
  } else {
    failureAverage_ -= kFailureAverageWeight * failureAverage_;
    failures_ = 0;
  }
}

void
AttemptRecord::OnFailure(AttemptHealth aHealth, TimePoint aNow)
{
  failureAverage_ += kFailureAverageWeight * (1.0 - failureAverage_);
  if (aHealth != AttemptHealth::Unreachable) {
    failures_ = 0;
    return;
  }
  if (++failures_ >= kFailuresBeforePause) {
    const auto doublings = std::min<std::uint32_t>(failures_ - kFailuresBeforePause, 5);
    backoffUntil_ =
      aNow + std::min(kUpstreamBackoffInitial * (1 << doublings), kUpstreamBackoffMax);
  }
}

void
AttemptRecord::ForgetFailures()
{
  failures_ = 0;
  failureAverage_ = 0;
  backoffUntil_ = {};
}

} // namespace laburnumweir
