/** @file fleet_state.h What this host knows of the fleet from the store. */
#ifndef LABURNUMWEIR_FLEET_FLEET_STATE_H
#define LABURNUMWEIR_FLEET_FLEET_STATE_H

#include "fleet/fleet_store_base.h"
#include "fleet/route_table.h"
#include "fleet/upstream_changes.h"
#include "fleet/upstream_table.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace laburnumweir {

/** Version of an adapter that requests should get. */
struct ReleaseState
{
  std::int64_t version_ = 0; ///< Announced version.
  TimePoint learned_;        ///< When this host learned of it.
};

/** Configuration, releases and upstreams, folded from the store. Not thread-safe. */
class FleetState
{
public:
  /** @param aClock time source; must outlive this. @param aHost this host. */
  FleetState(const Clock& aClock, const HostId& aHost, const DataCentreId& aDataCentre);

  /** Folds a batch of the operators' stream. @return whether the configuration changed. */
  bool ApplyOperators(const ChangeBatch& aBatch);
  /**
   * Folds a batch of the upstreams' stream.
   * @param aBatch the batch.
   * @param aHoldRemovals removals count only after FlushRemovals(): the store was away, and entries
   *        may have lapsed of upstreams that live.
   */
  void ApplyUpstreams(const ChangeBatch& aBatch, bool aHoldRemovals);
  /** Lets the removals that were held take effect. */
  void FlushRemovals();
  /** Notes that everything up to this moment is known. @param aAsked when the store was asked. */
  void NoteProof(TimePoint aAsked) { proof_ = std::max(proof_.value_or(aAsked), aAsked); }

  /** @return time since the store last proved that the configuration is the newest. */
  Duration ProofAge() const;
  /** @return routes, or nullptr before the first configuration. */
  const std::shared_ptr<const RouteTable>& Routes() const { return routes_; }
  /** @return upstreams. */
  UpstreamTable& Upstreams() { return upstreams_; }
  /** @return upstreams. */
  const UpstreamTable& Upstreams() const { return upstreams_; }
  /** @return what changed of the upstreams, for hosts that this host tells. */
  const UpstreamChanges& Changes() const { return changes_; }
  /** @return whether upstreams were read at least once. */
  bool HasUpstreams() const { return hasUpstreams_; }
  /** @return the announced version of an adapter, or nullptr. */
  const ReleaseState* FindRelease(const std::string& aModel, const std::string& aAdapter) const;

private:
  void Remove(const UpstreamId& aId, std::string_view aWhy);
  void ApplyUpstream(const UpstreamChange& aChange, LogOffset aNext, bool aHoldRemovals);

  const Clock& clock_;                       ///< Time source.
  std::shared_ptr<const RouteTable> routes_; ///< Configuration in force.
  UpstreamTable upstreams_;                  ///< Upstreams.
  UpstreamChanges changes_;                  ///< Entries as the store holds them.
  LogOffset next_ = 0;                       ///< Offset of the state of the upstreams.
  std::set<DataCentreId> evacuated_;         ///< Data centres that get nothing.
  std::set<UpstreamId> held_;                ///< Upstreams whose removal is held.
  std::map<std::pair<std::string, std::string>, ReleaseState> releases_; ///< By model and adapter.
  std::optional<TimePoint> proof_; ///< When the store was last asked with success.
  bool hasUpstreams_ = false;      ///< Upstreams were read.
};

} // namespace laburnumweir

#endif
