/** @file upstream_health.cpp Health of an upstream as one host sees it. */
#include "dispatch/upstream_health.h"

#include "dispatch/retry_policy.h"
#include "dispatch/upstream_health_sm.h"
#include "table/dispatch_const.h"

#include <algorithm>

namespace laburnumweir {

struct UpstreamHealth::Impl
{
  detail::UpstreamHealthMachine machine_; ///< State machine.
};

std::string_view
NameOf(HealthState aState)
{
  switch (aState) {
    case HealthState::Cold:
      return "cold";
    case HealthState::Warming:
      return "warming";
    case HealthState::Healthy:
      return "healthy";
    case HealthState::Suspect:
      return "suspect";
    case HealthState::Down:
      return "down";
    case HealthState::Leaving:
      return "leaving";
  }
  return "unknown";
}

UpstreamHealth::UpstreamHealth(const Clock& aClock, RandomSource& aRandom)
  : clock_(aClock)
  , random_(aRandom)
  , impl_(std::make_unique<Impl>())
{
  impl_->machine_.start();
  ScheduleProbe();
}

UpstreamHealth::~UpstreamHealth() = default;

HealthState
UpstreamHealth::State() const
{
  return impl_->machine_.state_;
}

bool
UpstreamHealth::TakesNewWork() const
{
  return State() == HealthState::Cold || State() == HealthState::Warming ||
         State() == HealthState::Healthy;
}

void
UpstreamHealth::OnAttempt(const AttemptResult& aResult)
{
  OnEpoch(aResult.engineEpoch_);
  const bool isRefusal = CertainlyNotRun(aResult) && aResult.error_ != UpstreamError::ConnectFailed;
  const bool isOurs =
    aResult.error_ == UpstreamError::Cancelled || aResult.error_ == UpstreamError::DeadlineExceeded;
  if (isRefusal || isOurs) {
    return;
  }
  if (aResult.error_) {
    if (++failures_ >= kUpstreamSuspectFailures) {
      impl_->machine_.process_event(detail::FailedOften{});
    }
    return;
  }
  failures_ = 0;
  reports_ = 0;
  // An answer of an attempt that began earlier does not prove that a failing upstream is back.
  if (State() == HealthState::Suspect || State() == HealthState::Down) {
    return;
  }
  impl_->machine_.process_event(detail::Answered{});
  if (++successes_ >= kWarmSuccesses) {
    impl_->machine_.process_event(detail::Warmed{});
  }
}

void
UpstreamHealth::OnEpoch(std::string_view aEpoch)
{
  if (aEpoch.empty() || aEpoch == epoch_) {
    return;
  }
  if (!epoch_.empty()) {
    OnLatencyJump();
  }
  epoch_ = aEpoch;
}

void
UpstreamHealth::OnLatencyJump()
{
  successes_ = 0;
  failures_ = 0;
  impl_->machine_.process_event(detail::Restarted{});
}

void
UpstreamHealth::OnReport(bool aWasRead)
{
  reports_ = aWasRead ? 0 : reports_ + 1;
  if (reports_ >= kUpstreamSuspectReports) {
    impl_->machine_.process_event(detail::FailedOften{});
  }
}

void
UpstreamHealth::OnProbe(bool aSucceeded)
{
  if (!aSucceeded) {
    if (++probes_ >= kDownProbes) {
      impl_->machine_.process_event(detail::Unreachable{});
    }
    return;
  }
  probes_ = 0;
  if (State() == HealthState::Suspect || State() == HealthState::Down) {
    failures_ = 0;
    reports_ = 0;
    successes_ = 0;
    impl_->machine_.process_event(detail::Answered{});
  }
}

void
UpstreamHealth::SetLeaving(bool aIsLeaving)
{
  if (aIsLeaving) {
    impl_->machine_.process_event(detail::LeaveOrdered{});
  } else if (State() == HealthState::Leaving) {
    successes_ = 0;
    failures_ = 0;
    impl_->machine_.process_event(detail::LeaveCancelled{});
  }
}

void
UpstreamHealth::ScheduleProbe()
{
  const std::uint32_t doublings = std::min(probes_, 8U);
  const Duration mean = std::min<Duration>(kProbeInterval * (1LL << doublings), kProbeIntervalMax);
  const auto jitter = random_.Below(static_cast<std::uint64_t>(mean.count()));
  nextProbe_ = clock_.Now() + mean / 2 + Duration(static_cast<Duration::rep>(jitter));
}

bool
UpstreamHealth::TakeProbe()
{
  const bool isProbed = State() == HealthState::Suspect || State() == HealthState::Down;
  if (!isProbed || clock_.Now() < nextProbe_) {
    return false;
  }
  ScheduleProbe();
  return true;
}

} // namespace laburnumweir
