/** @file release_history.h Versions of an adapter that operators released. */
#ifndef LABURNUMWEIR_FLEET_RELEASE_HISTORY_H
#define LABURNUMWEIR_FLEET_RELEASE_HISTORY_H

#include "core/clock_base.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace laburnumweir {

/**
 * Released versions of one adapter, each with a time at which it was not yet released. Every
 * version has its own period in which older ones may still be used, so that a release does not
 * extend the period of the one before it. Not thread-safe.
 */
class ReleaseHistory
{
public:
  /**
   * Records a release unless this version or a newer one is known.
   * @param aAfter latest time at which the version was not yet released, as far as this host knows.
   * @return whether it was recorded.
   */
  bool OnReleased(std::int64_t aVersion, TimePoint aAfter);
  /** @return the newest version; 0 if there is none. */
  std::int64_t Newest() const { return releases_.empty() ? 0 : releases_.back().version_; }
  /**
   * @param aPeriod time after a release in which older versions may still be used.
   * @return the oldest version that may be used; 0 if any may.
   */
  std::int64_t OldestUsable(TimePoint aNow, Duration aPeriod) const;
  /** @return earliest time at which a version may have been replaced; none if it is the newest. */
  std::optional<TimePoint> ReplacedAfter(std::int64_t aVersion) const;

private:
  struct Release
  {
    std::int64_t version_ = 0;
    TimePoint after_; ///< It was released after this time.
  };

  std::vector<Release> releases_; ///< Versions rise, times do not fall.
};

} // namespace laburnumweir

#endif
