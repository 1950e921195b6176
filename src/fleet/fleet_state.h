/** @file fleet_state.h State of the fleet that this host has read from the store. */
#ifndef LABURNUMWEIR_FLEET_FLEET_STATE_H
#define LABURNUMWEIR_FLEET_FLEET_STATE_H

#include "fleet/fleet_store_base.h"
#include "fleet/release_history.h"
#include "fleet/route_table.h"
#include "fleet/upstream_changes.h"
#include "fleet/upstream_table.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace laburnumweir {

/** What batches of the upstreams' stream leave out, the most complete first. */
enum class ChangeCoverage : std::uint8_t
{
  AllRecords,    ///< Nothing.
  NewestChanges, ///< Entries that were replaced or removed again; removals are named.
  NewestState    ///< Also the removals.
};

/** What batches of the upstreams' stream show of the software versions of services. */
struct SoftwareSightings
{
  std::set<std::pair<ServiceName, SoftwareVersion>> versions_; ///< Named by entries.
  ChangeCoverage coverage_ = ChangeCoverage::AllRecords;       ///< Of all batches together.
  /** Whether an upstream came and went without an entry in any batch, or may have, since the store
   * has lost records. */
  bool hasUnseenUpstream_ = false;
};

/** Configuration, releases and upstreams, applied from the store's streams. Not thread-safe. */
class FleetState
{
public:
  /** @param aClock time source; must outlive this. @param aHost this host. */
  FleetState(const Clock& aClock, const HostId& aHost, const DataCentreId& aDataCentre);

  /**
   * Applies a batch of the operators' stream. What is new in it was written after the time up to
   * which all changes are known; the batch must be applied before its own confirmation.
   * @param aKeepEvacuations keep evacuations that a snapshot does not name until
   * EndUnnamedEvacuations(). Set after the store has lost records, which operators write again.
   * @return whether the configuration changed.
   */
  bool ApplyOperators(const ChangeBatch& aBatch, bool aKeepEvacuations = false);
  /** Ends the evacuations that were kept although a snapshot does not name them. */
  void EndUnnamedEvacuations();
  /**
   * Applies a batch of the upstreams' stream.
   * @param aDeferRemovals defer the effect of removals on the upstreams of this host until
   * ApplyDeferredRemovals(). Set after an outage of the store, when entries of running upstreams
   * may have expired, or after it has lost records. Changes() tells them at once: each host decides
   * for itself.
   */
  void ApplyUpstreams(const ChangeBatch& aBatch, bool aDeferRemovals);
  /** Applies the deferred removals. */
  void ApplyDeferredRemovals();
  /** @return what the batches since the last call show. */
  SoftwareSightings TakeSoftwareSightings() { return std::exchange(sightings_, {}); }
  /** Records a confirmation by the store. @param aUpTo time up to which all changes are known. */
  void OnConfigConfirmed(TimePoint aUpTo)
  {
    confirmedAt_ = std::max(confirmedAt_.value_or(aUpTo), aUpTo);
  }

  /** Sets the newest configuration that is in force at a live peer. */
  void SetPeerConfig(const ConfigInForce& aConfig);

  /**
   * Records that a live peer has seen the store come back from an older copy.
   * @param aEra era after it.
   * @param aSeenAt when the peer saw that era.
   * @param aHoldTime time within which operators write again what the copy lacks.
   */
  void OnPeerRestore(StoreEra aEra, TimePoint aSeenAt, Duration aHoldTime);

  /**
   * @return time since the store last confirmed that the configuration is the newest;
   *         Duration::max() if it never did, or if IsConfigOutdated() or IsConfigUnsettled().
   */
  Duration ConfigAge() const;
  /** @return whether a live peer has a newer configuration, which the store has lost: it is not in
   * the store up to the position where this peer got it. Ends after kLostConfigTtl, as operators
   * may never have got the store's answer and never write it again. */
  bool IsConfigOutdated() const;
  /** @return since when a peer has had a newer configuration that this host has yet to read; none
   * if no peer has reported one. Ends when this host has read up to it, whether it found it there
   * or not. */
  std::optional<TimePoint> BehindPeersSince() const;
  /** @return whether this host knows only an older copy of the store, and operators may not yet
   * have written again what it lacks. */
  bool IsConfigUnsettled() const;
  /** @return the configuration in force at this host. */
  const ConfigInForce& Config() const { return config_; }
  /** @return the newest configuration that is in force at a live peer. */
  const ConfigInForce& PeerConfig() const { return peerConfig_; }
  /** @return the routes in force, or nullptr before the first configuration. */
  const std::shared_ptr<const RouteTable>& Routes() const { return routes_; }
  UpstreamTable& Upstreams() { return upstreams_; }
  const UpstreamTable& Upstreams() const { return upstreams_; }
  /** @return changes of upstreams, from which this host answers others as a store reader. */
  const UpstreamChanges& Changes() const { return changes_; }
  /** @return whether the upstreams' stream was read at least once. */
  bool HasUpstreams() const { return hasUpstreams_; }
  /** @return the released versions of an adapter, or nullptr if none was released. */
  const ReleaseHistory* FindReleases(const std::string& aModel, const std::string& aAdapter) const;

private:
  /** Last entry of a removed upstream. */
  struct RemovedUpstream
  {
    EntryStamp stamp_;
    TimePoint removedAt_;
  };

  /** A configuration of a peer that this host has not read. */
  struct UnreadConfig
  {
    ConfigInForce config_;
    TimePoint reportedAt_; ///< When a peer first reported it.
  };

  struct PeerRestore
  {
    StoreEra era_ = 0;
    TimePoint seenAt_;
    Duration holdTime_{};
  };

  void OnRelease(const AdapterRelease& aRelease);
  void DropReadConfigs();
  void SetEvacuated(std::set<DataCentreId> aEvacuated);
  /** @return the newest known stamp of the entries of an upstream. */
  EntryStamp LastStamp(const UpstreamId& aId) const;
  /** @param aLastStamp of the last entry before, as far as known. */
  void Remove(const UpstreamId& aId, EntryStamp aLastStamp, std::string_view aReason);
  void ApplyUpstream(const UpstreamChange& aChange, LogOffset aNext, bool aDeferRemovals);
  /** Updates sightings_ from a batch that is not applied yet. */
  void SightSoftware(const ChangeBatch& aBatch);

  const Clock& clock_;
  std::shared_ptr<const RouteTable> routes_; ///< Configuration in force.
  ConfigInForce config_;                     ///< Its version, and where it was read.
  ConfigInForce peerConfig_;                 ///< Newest configuration of the live peers.
  TimePoint peerConfigSince_;                ///< When a peer was first known to have it.
  std::vector<UnreadConfig> unreadConfigs_;  ///< Oldest first.
  std::optional<StoreEra> firstEra_;         ///< Era of the first batch of the operators' stream.
  TimePoint firstReadAt_;                    ///< When that batch was applied.
  std::optional<PeerRestore> peerRestore_;   ///< Last restore that a peer has seen.
  StorePosition operatorsNext_; ///< Position up to which the operators' stream was applied.
  UpstreamTable upstreams_;
  UpstreamChanges changes_;                   ///< Entries as the store holds them.
  std::set<DataCentreId> evacuated_;          ///< Data centres whose upstreams get no requests.
  std::set<DataCentreId> unnamedEvacuations_; ///< Evacuated, but not named by the last snapshot.
  std::map<UpstreamId, RemovedUpstream>
    removed_; ///< Kept for kRemovedUpstreamTtl after the removal.
  /** Upstreams whose removal is deferred, with the stamps of their last entries. */
  std::map<UpstreamId, EntryStamp> deferredRemovals_;
  /** Released versions by model and adapter. */
  std::map<std::pair<std::string, std::string>, ReleaseHistory> releases_;
  std::optional<TimePoint> confirmedAt_; ///< Time up to which all changes are known.
  StoreEra upstreamsEra_ = 0;            ///< Of the last batch of the upstreams' stream.
  SoftwareSightings sightings_;          ///< Since the last call of TakeSoftwareSightings().
  bool hasUpstreams_ = false;
};

} // namespace laburnumweir

#endif
