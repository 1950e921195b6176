/** @file release_history.cpp Versions of an adapter that operators released. */
#include "fleet/release_history.h"

#include "table/fleet_const.h"

#include <algorithm>
#include <iterator>

namespace laburnumweir {

bool
ReleaseHistory::OnReleased(std::int64_t aVersion, TimePoint aAfter)
{
  if (aVersion <= Newest()) {
    return false;
  }
  releases_.push_back({ aVersion, aAfter });
  // A version matters until no request can run that began before the next one was released.
  const auto isOutdated = [&](const Release& aNext) {
    return aNext.after_ + kReleaseRetention <= aAfter;
  };
  const auto firstKept =
    std::find_if_not(std::next(releases_.begin()), releases_.end(), isOutdated);
  releases_.erase(releases_.begin(), std::prev(firstKept));
  return true;
}

std::int64_t
ReleaseHistory::OldestUsable(TimePoint aNow, Duration aPeriod) const
{
  const auto required =
    std::find_if(releases_.rbegin(), releases_.rend(), [&](const Release& aRelease) {
      return aRelease.after_ + aPeriod <= aNow;
    });
  return required == releases_.rend() ? 0 : required->version_;
}

std::optional<TimePoint>
ReleaseHistory::ReplacedAfter(std::int64_t aVersion) const
{
  const auto next = std::upper_bound(
    releases_.begin(), releases_.end(), aVersion, [](std::int64_t aValue, const Release& aRelease) {
      return aValue < aRelease.version_;
    });
  return next == releases_.end() ? std::nullopt : std::optional(next->after_);
}

} // namespace laburnumweir
