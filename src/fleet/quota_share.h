/** @file quota_share.h Applies the quotas of workspaces at this host, in agreement with its peers.
 */
#ifndef LABURNUMWEIR_FLEET_QUOTA_SHARE_H
#define LABURNUMWEIR_FLEET_QUOTA_SHARE_H

#include "core/clock_base.h"
#include "core/random_base.h"
#include "fleet/fleet_type.h"
#include "table/fleet_const.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumweir {

/** Demand of one workspace at one host. */
struct WorkspaceDemand
{
  WorkspaceId workspace_;
  double requestedPerSecond_ = 0; ///< Average tokens/s that its callers request.
  double grantedPerSecond_ = 0;   ///< Average tokens/s that the host granted.
  double recentPerSecond_ = 0;    ///< Tokens/s requested, averaged over kSurgeTimeConstant.
};

/** Result of QuotaShare::TryTake() with the values that it was based on. */
struct QuotaDecision
{
  bool isGranted_ = true;    ///< Whether the tokens were taken.
  Duration wait_{};          ///< If refused, estimated time until the tokens are available.
  bool isContended_ = false; ///< Whether the bucket with this host's share decided.
  double level_ = 0;         ///< Tokens in the bucket that decided.
  double needed_ = 0;        ///< Tokens that the bucket had to hold.
  double perSecond_ = 0;     ///< Tokens/s at which the bucket is filled.
};

/**
 * Limits each workspace to its rate and burst over all hosts, without a remote call for each
 * request. Hosts exchange the rates of requested and granted tokens. Each host keeps a token bucket
 * for the whole fleet, and subtracts from it its own grants and the grant rate that its peers
 * report. While this bucket holds enough for what all hosts may grant before they receive each
 * other's reports, no request is refused. Once it does not, a second bucket decides, which is
 * filled with the host's share of the rate in proportion to its demand. The demand of the peers is
 * known with a delay, so a host computes its share from its own demand of the same age: the shares
 * then add up to the rate even while demand rises on all hosts. What was granted beyond the quota
 * meanwhile leaves a debt in the fleet's bucket, and lowers the rate that is shared until it is
 * repaid.
 *
 * With many hosts a host's share of the burst is smaller than a request. The host then grants a
 * request from a full bucket and repays it from its share before it grants the next one. Its bucket
 * starts at a random level within the size of a request, so that the hosts do not all grant one
 * when the workspace exceeds its quota. Not thread-safe.
 */
class QuotaShare
{
public:
  /**
   * @param aClock must outlive this object.
   * @param aSeed for random initial levels; should differ by host.
   */
  explicit QuotaShare(const Clock& aClock, std::uint64_t aSeed = 1)
    : clock_(aClock)
    , startedAt_(aClock.Now())
    , random_(aSeed)
  {
  }

  /**
   * Sets the number of hosts among which the unused rate of a workspace is divided.
   * @param aHostCount number of live hosts, including this one; 0 counts as 1.
   */
  void SetHostCount(std::size_t aHostCount) { hostCount_ = aHostCount == 0 ? 1 : aHostCount; }
  /** Records the demand that a peer reports; replaces its previous report. */
  void OnPeerDemand(const HostId& aPeer, std::span<const WorkspaceDemand> aDemand);
  /**
   * Records the tokens of a request as demand, without taking them. Called for each request before
   * TryTake(), so that refused requests count as demand too.
   */
  void RecordDemand(const Workspace& aWorkspace, TokenCount aTokens);
  /**
   * Takes the tokens of a request if the quota allows it.
   * @param aWorkspace workspace with its current quota; a rate of 0 or less is no limit.
   * @return whether the tokens were taken, and the values that decided.
   */
  QuotaDecision TryTake(const Workspace& aWorkspace, TokenCount aTokens);
  /** Returns the tokens of a request that did not run. */
  void Return(const WorkspaceId& aWorkspace, TokenCount aTokens);
  /** @return the demand at this host by workspace, to be sent to its peers. */
  std::vector<WorkspaceDemand> Demand() const;

private:
  /** Exponential moving average of tokens per second. */
  struct Average
  {
    Duration timeConstant_ = kDemandTimeConstant;
    double perSecond_ = 0; ///< Value of the average at computedAt_.
    TimePoint computedAt_;
    double At(TimePoint aNow) const;
    void Add(TimePoint aNow, double aTokens);
  };
  /** Past values of an average; covers at least the last kPeerDemandDelay. */
  class History
  {
  public:
    void Add(TimePoint aNow, double aPerSecond);
    /** @return the value kPeerDemandDelay before aNow; 0 if there was none yet. */
    double Delayed(TimePoint aNow) const;

  private:
    std::deque<std::pair<TimePoint, double>> samples_; ///< Times and values, oldest first.
  };
  struct Bucket
  {
    double rate_ = 0;          ///< Rate of the workspace in tokens/s.
    double burst_ = 0;         ///< Burst of the workspace in tokens.
    double requestTokens_ = 0; ///< Tokens of the last request.
    double fleetTokens_ = 0; ///< Tokens left for all hosts; negative after grants beyond the quota.
    double ownTokens_ = 0;   ///< Tokens left of this host's share; may be negative too.
    bool isContended_ = false;            ///< Whether ownTokens_ decided when it was computed.
    std::optional<TimePoint> computedAt_; ///< When the levels were computed.
    Average requested_;
    Average surge_{ kSurgeTimeConstant, 0, {} }; ///< As requested_, averaged over a shorter time.
    /** Peers subtract this from their bucket of the fleet, so a long time constant would add to the
     * delay at which they know of grants. */
    Average granted_{ kSurgeTimeConstant, 0, {} };
    History history_; ///< Past values of requested_.
  };
  struct Peer
  {
    TimePoint receivedAt_; ///< When its last report was received.
    std::map<WorkspaceId, WorkspaceDemand> demand_;
  };

  WorkspaceDemand PeerDemand(const WorkspaceId& aWorkspace) const;
  /** @return this host's share in tokens/s of the rate, lowered while the fleet is in debt. */
  double RateShare(const Bucket& aBucket, const WorkspaceDemand& aPeers) const;
  /**
   * Returns the fraction of the burst that this host's own bucket holds: its fraction of the rate,
   * but not less than an equal one. A host that gets a request every few seconds has a share of the
   * rate near zero between them, and must not lose the tokens that it has saved.
   * @param aShare this host's share of the rate in tokens/s.
   */
  double BurstFraction(const Bucket& aBucket, double aShare) const;
  /** @return estimated tokens that the hosts grant before they know of each other's grants. */
  double UnreportedTokens(const Bucket& aBucket, const WorkspaceDemand& aPeers) const;
  /** @return whether the bucket of the fleet lacks the tokens for a request. */
  bool IsContended(const Bucket& aBucket, const WorkspaceDemand& aPeers, double aTokens) const;
  /** Sets the levels at the first request of a workspace. */
  void Start(Bucket& aBucket, const WorkspaceDemand& aPeers);
  void Fill(Bucket& aBucket, const WorkspaceDemand& aPeers);

  const Clock& clock_;
  /** All buckets start empty at this time: the use of tokens before it is not known, and full
   * buckets would grant a second burst if all hosts restart at once. */
  const TimePoint startedAt_;
  std::size_t hostCount_ = 1;
  SeededRandom random_;
  std::unordered_map<WorkspaceId, Bucket> buckets_;
  std::map<HostId, Peer> peers_;
};

} // namespace laburnumweir

#endif
