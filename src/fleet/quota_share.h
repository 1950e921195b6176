/** @file quota_share.h Share of this host in the quotas of the workspaces. */
#ifndef LABURNUMWEIR_FLEET_QUOTA_SHARE_H
#define LABURNUMWEIR_FLEET_QUOTA_SHARE_H

#include "core/clock_base.h"
#include "fleet/fleet_type.h"

#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumweir {

/** Demand of one workspace at one host. */
struct WorkspaceDemand
{
  WorkspaceId workspace_;      ///< Workspace.
  double tokensPerSecond_ = 0; ///< Average of what its callers ask for.
};

/**
 * Divides each workspace's rate and burst between the hosts in proportion to their demand, which
 * hosts tell each other. While all demand together is below the rate, the rest is divided equally,
 * so that a host whose demand rises is not refused before its peers hear of it. The shares of all
 * hosts add up to the quota as long as the demand told is current. Not thread-safe.
 */
class QuotaShare
{
public:
  /** @param aClock time source; must outlive this. */
  explicit QuotaShare(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /**
   * Sets the number of hosts among which the rest of a quota is divided.
   * @param aHosts live hosts, this one included.
   */
  void SetHosts(std::size_t aHosts) { hosts_ = aHosts == 0 ? 1 : aHosts; }
  /**
   * Notes the demand at a peer; replaces what it told before.
   * @param aPeer the peer. @param aDemand its demand.
   */
  void OnPeerDemand(const HostId& aPeer, std::span<const WorkspaceDemand> aDemand);
  /**
   * Notes demand without taking tokens: requests that are refused count as demand too.
   * @param aWorkspace workspace. @param aTokens tokens asked for.
   */
  void NoteDemand(const Workspace& aWorkspace, TokenCount aTokens);
  /**
   * Takes tokens of a request if this host's share allows it.
   * @param aWorkspace workspace with its present quota.
   * @param aTokens tokens of the request.
   * @return zero if they were taken, or else the time after which they are likely to be there.
   */
  Duration Take(const Workspace& aWorkspace, TokenCount aTokens);
  /** Gives tokens back of a request that did not run. */
  void Return(const WorkspaceId& aWorkspace, TokenCount aTokens);
  /** @return the demand at this host, for its peers. */
  std::vector<WorkspaceDemand> Demand() const;
  /** @return tokens per second that this host may use of a workspace's rate. */
  double RateShare(const Workspace& aWorkspace) const;

private:
  struct Bucket
  {
    double level_ = 0;   ///< Tokens at hand; negative after a request larger than them.
    TimePoint filled_;   ///< When the level was computed.
    double demand_ = 0;  ///< Average demand in tokens per second.
    TimePoint demandAt_; ///< When the average was computed.
    bool isNew_ = true;  ///< No request was seen yet.
  };
  struct Peer
  {
    TimePoint heard_;                      ///< When it last told its demand.
    std::map<WorkspaceId, double> demand_; ///< Its demand.
  };

  double DemandNow(const Bucket& aBucket) const;
  double PeerDemand(const WorkspaceId& aWorkspace) const;
  void Fill(const Workspace& aWorkspace, Bucket& aBucket);

  const Clock& clock_;                              ///< Time source.
  std::size_t hosts_ = 1;                           ///< Live hosts.
  std::unordered_map<WorkspaceId, Bucket> buckets_; ///< Buckets of this host.
  std::map<HostId, Peer> peers_;                    ///< Demand of the peers.
};

} // namespace laburnumweir

#endif
