/** @file retry_share.cpp Share of this host in the retries that are allowed for a service. */
#include "fleet/retry_share.h"

#include "table/fleet_const.h"

#include <algorithm>

namespace laburnumweir {

void
RetryShare::Expire(Window& aWindow) const
{
  const auto oldest = clock_.Now() - bounds_.window_;
  for (auto* times : { &aWindow.requests_, &aWindow.retries_ }) {
    while (!times->empty() && times->front() < oldest) {
      times->pop_front();
    }
  }
}

void
RetryShare::OnRequest(const ServiceName& aService)
{
  auto& window = windows_[aService];
  Expire(window);
  window.requests_.push_back(clock_.Now());
}

void
RetryShare::SetHostCount(std::size_t aHostCount)
{
  const auto now = clock_.Now();
  const auto count = std::max<std::size_t>(aHostCount, 1);
  isFleetKnown_ = isFleetKnown_ || count > 1;
  if (count >= hostCount_ || now - hostCountAt_ >= kHostCountTtl) {
    hostCount_ = count;
    hostCountAt_ = now;
  }
}

RetryUse
RetryShare::Use(const ServiceName& aService)
{
  auto& window = windows_[aService];
  Expire(window);
  const double slack = isFleetKnown_ && clock_.Now() >= slackFrom_
                         ? bounds_.slack_ / static_cast<double>(hostCount_)
                         : 0.0;
  const double allowed =
    kRetrySafetyFactor * (bounds_.ratio_ * static_cast<double>(window.requests_.size()) + slack);
  return { window.retries_.size(), allowed, hostCount_ };
}

bool
RetryShare::CanTake(const ServiceName& aService)
{
  const auto use = Use(aService);
  return static_cast<double>(use.used_) + 1 <= use.allowed_;
}

bool
RetryShare::TakeRetry(const ServiceName& aService)
{
  if (!CanTake(aService)) {
    return false;
  }
  windows_[aService].retries_.push_back(clock_.Now());
  return true;
}

} // namespace laburnumweir
