/** @file upstream_table.h Upstreams with their load, health and adapters as this host knows them.
 */
#ifndef LABURNUMWEIR_FLEET_UPSTREAM_TABLE_H
#define LABURNUMWEIR_FLEET_UPSTREAM_TABLE_H

#include "core/clock_base.h"
#include "fleet/fleet_type.h"

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

/** Requests that a peer has running at an upstream. */
struct PeerLoad
{
  UpstreamId upstream_;       ///< Upstream.
  std::uint32_t running_ = 0; ///< Requests sent and not ended.
};

/** Adapters of an engine, as its holder knows them right after an order. */
struct EngineResidency
{
  UpstreamId engine_;                 ///< Engine.
  std::int64_t startedAt_ = 0;        ///< Life of the engine to which this applies.
  std::uint64_t orders_ = 0;          ///< Orders accepted in that life.
  std::vector<ResidentModel> models_; ///< Models with their adapters.
};

/** How an attempt at an upstream ended, as far as its health is concerned. */
enum class AttemptHealth : std::uint8_t
{
  Good,        ///< A proper answer.
  Failed,      ///< An error of its own or a spoiled answer.
  Unreachable, ///< No connection, or silence.
  Busy         ///< It refused for load.
};

/** An upstream as this host knows it. */
struct Upstream
{
  UpstreamEntry entry_;            ///< What it says of itself, with adapters from its holder.
  std::uint32_t running_ = 0;      ///< Requests of this host that run there.
  std::uint32_t peersRunning_ = 0; ///< Requests of the peers that run there.
  std::uint32_t failures_ = 0;     ///< Consecutive times it was unreachable.
  double failureAverage_ = 0;      ///< Moving part of failed answers, 0 to 1.
  double latencyAverage_ = 0;      ///< Moving mean of the time to its first byte in seconds.
  TimePoint pausedUntil_;          ///< It gets no work before.
  TimePoint coldUntil_;            ///< It is cold until then.
  TimePoint coldTick_;             ///< When coldTokens_ was computed.
  double coldTokens_ = 0;          ///< Requests that this host may send it now while it is cold.
  std::uint64_t orders_ = 0;       ///< Orders that an engine has accepted, as its holder tells.
  bool differsFromHolder_ = false; ///< Its entry shows other models than its holder told.
  std::optional<TimePoint> residencyTold_; ///< When its holder last told what it holds.
  bool isMissing_ = false;                 ///< Another upstream answers at its address.
};

/** What a request needs of an upstream. */
struct UpstreamNeed
{
  ServiceName service_;                         ///< Service.
  std::string_view model_;                      ///< Model; empty for plain services.
  std::string_view adapter_;                    ///< Adapter; empty for the base model.
  std::int64_t minVersion_ = 0;                 ///< Oldest version of the adapter that may serve.
  const std::set<UpstreamId>* tried_ = nullptr; ///< Upstreams that had the request already.
  const std::set<UpstreamId>* notLoading_ = nullptr; ///< Engines that did not load it in time.
};

/** Answer of UpstreamTable::Choose(). */
struct UpstreamChoice
{
  Upstream* upstream_ = nullptr;     ///< Where to send the request; nullptr if it must wait.
  std::int64_t adapterVersion_ = 0;  ///< Version of the adapter there; 0 without an adapter.
  std::optional<UpstreamId> loadAt_; ///< Engine that should load what the request needs.
  bool isCopy_ = false;              ///< Another engine holds it already, and is busy.
  bool isAnyUntried_ = false;        ///< Some usable upstream has not had the request yet.
};

/** Upstreams of all services. Not thread-safe. */
class UpstreamTable
{
public:
  /**
   * @param aClock time source; must outlive this.
   * @param aHost this host, for its rank in the use of cold upstreams.
   * @param aDataCentre data centre of this host, whose upstreams are preferred.
   */
  UpstreamTable(const Clock& aClock, HostId aHost, DataCentreId aDataCentre);

  /** Notes an entry, new or changed. @return whether this is a new life of the upstream. */
  bool OnEntry(const UpstreamEntry& aEntry);
  /** Notes that an upstream is gone. @return whether it was known. */
  bool OnRemoved(const UpstreamId& aId);
  /** Sets the data centres that get nothing. */
  void SetEvacuated(std::set<DataCentreId> aDataCentres) { evacuated_ = std::move(aDataCentres); }
  /** Sets the settings of the services. */
  void SetServices(std::span<const ServiceSpec> aServices);
  /** Sets the live hosts, this one included. */
  void SetHosts(std::vector<HostId> aHosts);
  /** Notes what the holder of an engine tells. @return whether it was news. */
  bool OnResidency(const EngineResidency& aResidency);
  /** Notes the load that a peer tells; replaces what it told before. */
  void OnPeerLoad(const HostId& aPeer, std::span<const PeerLoad> aLoad);
  /** Forgets the load of peers that have not been heard for a while. */
  void ExpirePeers();

  /**
   * Chooses an upstream for a request. Nothing is reserved; see OnSent().
   * @param aNeed what the request needs.
   * @return the choice.
   */
  UpstreamChoice Choose(const UpstreamNeed& aNeed);
  /** Notes that a request was sent. */
  void OnSent(const UpstreamId& aId);
  /**
   * Notes the end of an attempt that was noted as sent.
   * @param aId upstream. @param aHealth how it ended.
   * @param aFirstByte time to the first byte; zero if there was none.
   */
  void OnEnded(const UpstreamId& aId, AttemptHealth aHealth, Duration aFirstByte);
  /** Notes that an engine answered that it lacks an adapter (or model, if empty). */
  void OnLacking(const UpstreamId& aId, std::string_view aModel, std::string_view aAdapter);
  /** Notes that another upstream answers at the address. */
  void OnMisdirected(const UpstreamId& aId);
  /** Notes how much longer an upstream says that it is cold. */
  void OnCold(const UpstreamId& aId, Duration aFor);

  /** @return an upstream, or nullptr. */
  Upstream* Find(const UpstreamId& aId);
  /** @return all upstreams. */
  const std::map<UpstreamId, Upstream>& All() const { return upstreams_; }
  /** @return requests of this host that run, by upstream, for its peers. */
  std::vector<PeerLoad> OwnLoad() const;
  /** @return whether an upstream may get new work apart from its load. */
  bool IsUsable(const Upstream& aUpstream) const { return IsUsableAt(aUpstream, clock_.Now()); }
  /** @return the version of an adapter at an upstream; none if it is not resident. */
  static std::optional<std::int64_t> VersionAt(const Upstream& aUpstream,
                                               std::string_view aModel,
                                               std::string_view aAdapter);

private:
  struct PeerLoads
  {
    TimePoint heard_;                                       ///< When it told its load.
    std::unordered_map<UpstreamId, std::uint32_t> running_; ///< Its load.
  };

  // These take the present time: reading the clock for each of some hundred engines took most of
  // the time of a choice.
  bool IsUsableAt(const Upstream& aUpstream, TimePoint aNow) const;
  bool HasPlace(const Upstream& aUpstream) const;
  bool MayUseCold(Upstream& aUpstream, TimePoint aNow);
  double ScoreOf(const Upstream& aUpstream) const;
  double MeanRunning(const ServiceName& aService, TimePoint aNow) const;
  std::optional<UpstreamId> HomeFor(const UpstreamNeed& aNeed, double aBusy, TimePoint aNow) const;
  void SumPeers();

  const Clock& clock_;                          ///< Time source.
  const HostId host_;                           ///< This host.
  const DataCentreId dataCentre_;               ///< Its data centre.
  std::map<UpstreamId, Upstream> upstreams_;    ///< All upstreams.
  std::map<ServiceName, ServiceSpec> services_; ///< Settings of services.
  std::set<DataCentreId> evacuated_;            ///< Data centres that get nothing.
  std::vector<HostId> hosts_;                   ///< Live hosts.
  std::map<HostId, PeerLoads> peers_;           ///< Load told by peers.
};

} // namespace laburnumweir

#endif
