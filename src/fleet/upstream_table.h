/** @file upstream_table.h Upstreams with the load, health and resident adapters that are known to
 * this host.
 */
#ifndef LABURNUMWEIR_FLEET_UPSTREAM_TABLE_H
#define LABURNUMWEIR_FLEET_UPSTREAM_TABLE_H

#include "core/clock_base.h"
#include "fleet/removed_upstreams.h"
#include "fleet/upstream_type.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laburnumweir {

/** Upstreams of all services with the choice between them. Not thread-safe. */
class UpstreamTable
{
public:
  /**
   * @param aClock time source; must outlive this.
   * @param aHost this host; ranked against the others when cold upstreams are rationed.
   * @param aDataCentre data centre of this host, whose upstreams are preferred.
   */
  UpstreamTable(const Clock& aClock, HostId aHost, DataCentreId aDataCentre);

  /**
   * Applies an entry unless it is older than the known one.
   * @return whether the upstream is new or its process was started anew.
   */
  bool OnEntry(const UpstreamEntry& aEntry);
  /** Removes an upstream. @return whether it was known. */
  bool OnRemoved(const UpstreamId& aId);
  /** Sets the evacuated data centres; their upstreams get no requests. */
  void SetEvacuated(std::set<DataCentreId> aDataCentres) { evacuated_ = std::move(aDataCentres); }
  /** Replaces the settings of all services. */
  void SetServices(std::span<const ServiceSpec> aServices);
  /** Sets the live hosts, this one included. */
  void SetHosts(std::vector<HostId> aHosts);
  /** Sets the function that tells whether this host has an idle connection to an address. */
  void SetHasIdleConnection(std::function<bool(const Endpoint&)> aFunction)
  {
    hasIdleConnection_ = std::move(aFunction);
  }
  /**
   * Applies the residency that the holder of an engine sent.
   * @return false if it is of an unknown engine, of another process, or older than the known one.
   */
  bool OnResidency(const EngineResidency& aResidency);
  /** Replaces the load report of a peer. */
  void OnPeerLoad(const HostId& aPeer, std::span<const UpstreamLoad> aLoad);
  /** Drops the load reports of peers that have not sent one within kPeerLoadTtl. */
  void ExpirePeers();

  /**
   * Chooses an upstream for a request, and perhaps an engine that should load its adapter. Reserves
   * nothing; the caller calls OnAttemptSent() if it sends the request.
   */
  UpstreamChoice Choose(const UpstreamNeed& aNeed);
  /** Counts an attempt that has no answer in time as a failure, though it goes on. It ends with
   * AttemptHealth::Silent if no answer comes. */
  void OnSilent(const UpstreamId& aId);
  /** Forgets the failures at upstreams to which this host has lost its link. */
  void ForgetFailures(const std::function<bool(const Endpoint&)>& aIsLinkLost);
  /** Counts a request that was sent, and its token if the upstream is cold. */
  void OnAttemptSent(const UpstreamId& aId);
  /**
   * Updates load and health at the end of an attempt that OnAttemptSent() counted.
   * @param aFirstByte time to the first byte; zero if there was none.
   */
  void OnAttemptEnded(const UpstreamId& aId, AttemptHealth aHealth, Duration aFirstByte);
  /**
   * Removes an adapter that is not resident, according to an answer of its engine.
   * @param aAdapter adapter; if empty, the whole model is removed.
   */
  void OnAdapterMissing(const UpstreamId& aId, std::string_view aModel, std::string_view aAdapter);
  /** Excludes an upstream until its next entry, as another one answers at its endpoint. */
  void OnMisdirected(const UpstreamId& aId);
  /**
   * Extends the cold phase of a process.
   * @param aStartedAt start time of the process. @param aFor remaining time, from an answer.
   */
  void OnColdTime(const UpstreamId& aId, std::int64_t aStartedAt, Duration aFor);
  /**
   * Applies the limit that an answer of an upstream names.
   * @param aStartedAt start time of its process. @param aLimit requests/s; none if it names none.
   */
  void OnRequestLimit(const UpstreamId& aId, std::int64_t aStartedAt, std::optional<double> aLimit);
  /**
   * Excludes the process of an upstream for good, as an answer said that it leaves the fleet.
   * @param aStartedAt start time of the process; a later one under the same id may get requests.
   */
  void OnLeaving(const UpstreamId& aId, std::int64_t aStartedAt);
  /**
   * Excludes an upstream for a while, as it asked this host in a refusal. Its health is not
   * changed. A process that started in place before the answer was received, and whose entry is
   * read later, counts as the one that asked.
   * @param aStartedAt start time of its process. @param aFor at most kMaxUpstreamPause.
   */
  void OnPause(const UpstreamId& aId, std::int64_t aStartedAt, Duration aFor);
  /**
   * @param aNeed its excluded upstreams are not used again.
   * @return the first moment at which another upstream may get requests; none if none of them is
   * paused, since new entries may come at any time.
   */
  std::optional<TimePoint> PauseEnd(const UpstreamNeed& aNeed) const;
  /** @return whether an upstream meets the needed service and software, is not excluded and does
   * not leave; it may be full, paused or unreachable now. */
  bool IsServed(const UpstreamNeed& aNeed) const;
  /** @return requests/s that an upstream takes from all hosts; none if it has no limit. */
  std::optional<double> RequestLimit(const UpstreamId& aId) const;
  /** Applies the answer to a request for a permit. A permit is valid for kPermitTtl. */
  void OnPermit(const UpstreamId& aId, const Permit& aPermit);

  /** @return the upstream, or nullptr if it is unknown. */
  Upstream* Find(const UpstreamId& aId);
  /** @return whether an upstream takes new requests, whatever this host has seen of its health. */
  bool IsMember(const Upstream& aUpstream) const
  {
    return !IsLeaving(aUpstream) && !aUpstream.isMisdirected_ &&
           !evacuated_.contains(aUpstream.entry_.dataCentre_);
  }
  const std::map<UpstreamId, Upstream>& All() const { return upstreams_; }
  /**
   * @return the load report of this host: upstreams with running requests or a limit that was named
   * recently, including those whose entry went.
   */
  std::vector<UpstreamLoad> OwnLoad() const;
  /** @return whether an upstream leaves the fleet, by its entry or by one of its answers. */
  static bool IsLeaving(const Upstream& aUpstream)
  {
    return aUpstream.entry_.isDraining_ || aUpstream.isLeaving_;
  }
  /** @return whether an upstream may get requests as far as its load permits. */
  bool IsUsable(const Upstream& aUpstream) const { return IsUsableAt(aUpstream, clock_.Now()); }
  /**
   * @return the version of an adapter at an upstream, 0 for the base model (empty aAdapter); none
   * if it is not resident.
   */
  static std::optional<std::int64_t> ResidentVersion(const Upstream& aUpstream,
                                                     std::string_view aModel,
                                                     std::string_view aAdapter);

private:
  struct LoadReport
  {
    TimePoint receivedAt_;
    std::vector<UpstreamLoad> loads_;
  };

  static bool MeetsNeed(const Upstream& aUpstream, const UpstreamNeed& aNeed)
  {
    return aUpstream.entry_.service_ == aNeed.service_ &&
           (!aNeed.software_ || aUpstream.entry_.software_ == *aNeed.software_) &&
           (aNeed.allowed_ == nullptr || aNeed.allowed_->contains(aUpstream.entry_.id_));
  }

  // These functions get the current time as a parameter, because reading the clock for each of some
  // hundred engines took most of the time of Choose().
  bool IsUsableAt(const Upstream& aUpstream, TimePoint aNow) const;
  bool HasFreeSlot(const Upstream& aUpstream) const;
  bool MaySendIfCold(Upstream& aUpstream, TimePoint aNow);
  /** Sets the end of the cold phase unless it is known to end later. */
  static void ExtendColdPhase(Upstream& aUpstream, Duration aFor, TimePoint aNow);
  static std::optional<double> LimitOf(const Upstream& aUpstream, TimePoint aNow);
  /** @return whether a limit and the lack of a permit forbid to send a request. */
  static bool NeedsPermit(const Upstream& aUpstream, TimePoint aNow);
  double CostOf(const Upstream& aUpstream) const;
  double MeanRunning(const ServiceName& aService, TimePoint aNow) const;
  std::optional<UpstreamId> ChooseEngineToLoad(const UpstreamNeed& aNeed,
                                               double aBusyThreshold,
                                               TimePoint aNow) const;
  void SumPeerLoads();
  /**
   * @return where to record what an answer of a process says; nullptr if its upstream is unknown or
   * has another process.
   */
  UpstreamNotice* NoticeOf(const UpstreamId& aId, std::int64_t aStartedAt);

  const Clock& clock_;
  const HostId host_;
  const DataCentreId dataCentre_; ///< Data centre of this host.
  std::map<UpstreamId, Upstream> upstreams_;
  RemovedUpstreams removed_; ///< Upstreams without an entry.
  std::map<ServiceName, ServiceSpec> services_;
  std::set<DataCentreId> evacuated_; ///< Data centres whose upstreams get no requests.
  std::vector<HostId> hosts_;        ///< Live hosts, this one included.
  std::function<bool(const Endpoint&)> hasIdleConnection_; ///< Empty if not set.
  std::map<HostId, LoadReport> peers_;                     ///< Newest load report of each peer.
};

} // namespace laburnumweir

#endif
