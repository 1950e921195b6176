/** @file quota_share.h Share of this host in the quotas of the workspaces. */
#ifndef LABURNUMWEIR_FLEET_QUOTA_SHARE_H
#define LABURNUMWEIR_FLEET_QUOTA_SHARE_H

#include "core/clock_base.h"
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
  WorkspaceId workspace_;     ///< Workspace.
  double askedPerSecond_ = 0; ///< Average tokens/s that its callers ask for.
  double takenPerSecond_ = 0; ///< Average tokens/s that were granted.
  double surgePerSecond_ = 0; ///< Tokens/s asked for just now, by a short average.
};

/** Answer to QuotaShare::Take(), with what decided it. */
struct QuotaDecision
{
  bool isGranted_ = true;    ///< The tokens were taken.
  Duration wait_{};          ///< Time after which they are likely to be there, if not granted.
  bool isContended_ = false; ///< The host keeps to its share.
  double level_ = 0;         ///< Tokens that were at hand.
  double needed_ = 0;        ///< Tokens that had to be at hand.
  double perSecond_ = 0;     ///< Rate at which tokens come.
};

/**
 * Keeps workspaces within their rate and burst over all hosts, without a question for each request.
 * Hosts tell each other what is asked and granted. Each host charges one bucket for the whole
 * fleet, which the peers' grants drain at the rate they tell; while it holds enough for what all
 * hosts may grant before they hear of each other, nothing is refused. Once it does not, each host
 * charges its own bucket, with a share of rate and burst in proportion to its demand. The demand of
 * the peers is known with a delay, so a host uses its own of the same age: the shares then add up
 * to the quota also while demand rises everywhere. Not thread-safe.
 */
class QuotaShare
{
public:
  /** @param aClock time source; must outlive this. */
  explicit QuotaShare(const Clock& aClock)
    : clock_(aClock)
    , started_(aClock.Now())
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
   * Takes tokens of a request if the quota allows it.
   * @param aWorkspace workspace with its present quota.
   * @param aTokens tokens of the request.
   * @return whether they were taken, and why.
   */
  QuotaDecision Take(const Workspace& aWorkspace, TokenCount aTokens);
  /** Gives tokens back of a request that did not run. */
  void Return(const WorkspaceId& aWorkspace, TokenCount aTokens);
  /** @return the demand at this host, for its peers. */
  std::vector<WorkspaceDemand> Demand() const;
  /** @return tokens per second that this host may use of a workspace's rate under contention. */
  double RateShare(const Workspace& aWorkspace) const;

private:
  /** Exponential moving average of tokens per second. */
  struct Average
  {
    Duration time_ = kDemandAverage; ///< Time constant.
    double perSecond_ = 0;           ///< Average when it was computed.
    TimePoint computed_;             ///< When that was.
    double At(TimePoint aNow) const;
    void Add(TimePoint aNow, double aTokens);
  };
  /** Averages of the recent past. */
  class History
  {
  public:
    void Add(TimePoint aNow, double aPerSecond);
    /** @return the average kShareDelay ago. */
    double Delayed(TimePoint aNow) const;

  private:
    std::deque<std::pair<TimePoint, double>> samples_; ///< Times and averages, oldest first.
  };
  struct Bucket
  {
    double rate_ = 0;  ///< Tokens/s of the workspace.
    double burst_ = 0; ///< Tokens beyond the rate.
    double fleet_ = 0; ///< Tokens at hand over all hosts; negative after a large request.
    double own_ = 0;   ///< Tokens at hand of this host's share.
    std::optional<TimePoint> fleetFilled_;  ///< When fleet_ was computed.
    std::optional<TimePoint> filled_;       ///< When own_ was computed.
    Average asked_;                         ///< Tokens that callers ask for.
    Average surge_{ kSurgeAverage, 0, {} }; ///< The same by a short average.
    Average taken_;                         ///< Tokens that were granted.
    History history_;                       ///< Past values of asked_.
  };
  struct Peer
  {
    TimePoint heard_;                               ///< When it last told its demand.
    std::map<WorkspaceId, WorkspaceDemand> demand_; ///< Its demand.
  };

  /** A host's part of the burst. Where a host has a request every few seconds, its share of the
   * rate is near zero between them, and what it has saved must not be lost then. */
  double Capacity(const Workspace& aWorkspace, double aShare) const;
  WorkspaceDemand PeerDemand(const WorkspaceId& aWorkspace) const;
  double SurgePerSecond(const WorkspaceId& aWorkspace) const;
  void FillFleet(const WorkspaceId& aWorkspace, Bucket& aBucket);
  void Fill(const Workspace& aWorkspace, Bucket& aBucket);

  const Clock& clock_; ///< Time source.
  /** Buckets are empty then: what was used before is not known, and all hosts may start together.
   */
  const TimePoint started_;
  std::size_t hosts_ = 1;                           ///< Live hosts.
  std::unordered_map<WorkspaceId, Bucket> buckets_; ///< Buckets of this host.
  std::map<HostId, Peer> peers_;                    ///< Demand of the peers.
};

} // namespace laburnumweir

#endif
