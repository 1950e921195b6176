/** @file software_history.h Software versions that may have begun the streams of callers. */
#ifndef LABURNUMWEIR_FLEET_SOFTWARE_HISTORY_H
#define LABURNUMWEIR_FLEET_SOFTWARE_HISTORY_H

#include "core/clock_base.h"
#include "fleet/fleet_state.h"
#include "fleet/fleet_store_base.h"
#include "fleet/upstream_table.h"

#include <map>
#include <optional>
#include <set>
#include <span>

namespace laburnumweir {

/**
 * @return the longest time after its start at which a stream of any of the routes may be resumed;
 * none if there is no such route, or one without a timeout.
 */
std::optional<Duration>
StreamPeriod(std::span<const Route> aRoutes);

/**
 * Software versions of the upstreams of each service, with the time at which each was last seen. If
 * only one version served for longer than any stream lasts, it began all streams. Not thread-safe.
 */
class SoftwareHistory
{
public:
  /**
   * @param aClock time source; must outlive this.
   * @param aIsFirstStart whether no upstream was used before this host started.
   */
  SoftwareHistory(const Clock& aClock, bool aIsFirstStart);

  /**
   * Records the versions in the entries of the upstreams.
   * @param aUpstreams the upstreams in their present state.
   * @param aSightings what was read since the last call.
   * @param aRequestedAt when the newest complete state was requested from the store.
   */
  void OnUpstreams(const UpstreamTable& aUpstreams,
                   const SoftwareSightings& aSightings,
                   TimePoint aRequestedAt);
  /** Applies what other hosts have stored. */
  void OnStored(std::span<const SoftwareRecord> aRecords);
  /** @return versions of a service that were seen within a period. */
  std::set<SoftwareVersion> Versions(const ServiceName& aService, Duration aPeriod) const;
  /** @return whether no version that served within a period is missing. */
  bool IsComplete(const ServiceName& aService, Duration aPeriod) const;
  std::set<ServiceName> Services() const;

private:
  const Clock& clock_;
  const TimePoint startedAt_; ///< Time from which the history of all services is complete.
  std::map<ServiceName, TimePoint> completeSince_; ///< If this is not startedAt_.
  std::map<ServiceName, std::map<SoftwareVersion, TimePoint>> lastSeen_;
  std::optional<TimePoint> requestedAt_; ///< When the last complete state was requested.
  ChangeCoverage coverage_ = ChangeCoverage::AllRecords; ///< Of the batches since then.
};

} // namespace laburnumweir

#endif
