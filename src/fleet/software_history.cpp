/** @file software_history.cpp Software versions that may have begun the streams of callers. */
#include "fleet/software_history.h"

#include "table/stream_const.h"

#include <algorithm>

namespace laburnumweir {

namespace {

/** @return the longest time between two complete states in which no upstream is taken to have come
 * and gone unseen. */
Duration
MaxGap(ChangeCoverage aCoverage)
{
  switch (aCoverage) {
    case ChangeCoverage::AllRecords:
      return Duration::max();
    case ChangeCoverage::NewestChanges:
      return kMaxChangesGap;
    default:
      return kMaxStateGap;
  }
}

} // namespace

std::optional<Duration>
StreamPeriod(std::span<const Route> aRoutes)
{
  std::chrono::milliseconds longest{ 0 };
  for (const auto& route : aRoutes) {
    if (route.repeat_ == RepeatRule::Stream && route.isResumable_) {
      if (route.timeout_.count() <= 0) {
        return std::nullopt;
      }
      longest = std::max(longest, route.timeout_);
    }
  }
  return longest.count() == 0
           ? std::nullopt
           : std::optional<Duration>(kStreamLifetimeTimeouts * longest + kSoftwareUseLag);
}

SoftwareHistory::SoftwareHistory(const Clock& aClock, bool aIsFirstStart)
  : clock_(aClock)
  , startedAt_(aIsFirstStart ? TimePoint::min() : aClock.Now())
{
}

void
SoftwareHistory::OnUpstreams(const UpstreamTable& aUpstreams,
                             const SoftwareSightings& aSightings,
                             TimePoint aRequestedAt)
{
  const auto now = clock_.Now();
  const auto gap = requestedAt_ ? aRequestedAt - *requestedAt_ : Duration::zero();
  coverage_ = std::max(coverage_, aSightings.coverage_);
  const bool isGap = aSightings.hasUnseenUpstream_ || gap > MaxGap(coverage_);
  if (!requestedAt_ || gap > Duration::zero()) {
    requestedAt_ = aRequestedAt;
    coverage_ = ChangeCoverage::AllRecords;
  }
  for (const auto& [service, software] : aSightings.versions_) {
    lastSeen_[service][software] = now;
  }
  for (const auto& [id, upstream] : aUpstreams.All()) {
    lastSeen_[upstream.entry_.service_][upstream.entry_.software_] = now;
  }
  if (isGap) {
    for (const auto& [service, versions] : lastSeen_) {
      completeSince_[service] = now;
    }
  }
}

void
SoftwareHistory::OnStored(std::span<const SoftwareRecord> aRecords)
{
  for (const auto& record : aRecords) {
    for (const auto& version : record.versions_) {
      lastSeen_[record.service_][version] = clock_.Now();
    }
    if (record.isComplete_) {
      completeSince_[record.service_] = TimePoint::min();
    }
  }
}

std::set<SoftwareVersion>
SoftwareHistory::Versions(const ServiceName& aService, Duration aPeriod) const
{
  std::set<SoftwareVersion> result;
  if (const auto versions = lastSeen_.find(aService); versions != lastSeen_.end()) {
    const auto oldest = clock_.Now() - aPeriod;
    for (const auto& [version, lastSeen] : versions->second) {
      if (lastSeen >= oldest) {
        result.insert(version);
      }
    }
  }
  return result;
}

bool
SoftwareHistory::IsComplete(const ServiceName& aService, Duration aPeriod) const
{
  const auto own = completeSince_.find(aService);
  const auto since = own == completeSince_.end() ? startedAt_ : own->second;
  return since <= clock_.Now() - aPeriod;
}

std::set<ServiceName>
SoftwareHistory::Services() const
{
  std::set<ServiceName> services;
  for (const auto& [service, versions] : lastSeen_) {
    services.insert(service);
  }
  return services;
}

} // namespace laburnumweir
