/** @file limit_world.h Hosts with drifting clocks, a faulty network and a membership log, in fake
 * time. */
#ifndef LABURNUMWEIR_TESTS_LIMITS_LIMIT_WORLD_H
#define LABURNUMWEIR_TESTS_LIMITS_LIMIT_WORLD_H

#include "core/clock_base.h"
#include "core/random_base.h"
#include "limits/bucket_owner.h"
#include "limits/token_limiter_base.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnumweir::testing {

/** Way to limit. */
enum class LimitWay : std::uint8_t
{
  Chunks, ///< Leased chunks (TokenHolder).
  Split,  ///< Static split.
  Single  ///< Grant per request.
};

/** Faults of the network, in percent of messages. */
struct NetworkFaults
{
  int lost_ = 0;                                ///< Lost.
  int duplicated_ = 0;                          ///< Delivered twice.
  int delayed_ = 0;                             ///< Late, by up to maxDelay_; others may overtake.
  Duration maxDelay_ = std::chrono::seconds(4); ///< Longest delay.
};

/** How a world starts. */
struct WorldOptions
{
  std::size_t hosts_ = 3;                                ///< Number of hosts.
  std::size_t workspaces_ = 1;                           ///< Number of workspaces.
  BucketRule rule_{ 1000, 4000 };                        ///< Rule of each.
  LimitSettings settings_;                               ///< Settings.
  LimitWay way_ = LimitWay::Chunks;                      ///< Way.
  std::uint64_t seed_ = 1;                               ///< Seed of latency and faults.
  double clockError_ = 0;                                ///< Largest clock rate error.
  Duration tick_ = std::chrono::milliseconds(20);        ///< Interval of Tick().
  Duration latency_ = std::chrono::milliseconds(1);      ///< Least one-way latency.
  Duration detection_ = std::chrono::milliseconds(1800); ///< From a kill to its record in the log.
};

/** An admitted request. */
struct Admission
{
  Duration at_{};             ///< True time.
  std::size_t workspace_ = 0; ///< Workspace.
  TokenCount tokens_ = 0;     ///< Tokens that it spent within its reservation.
};

/** Counts of a run. */
struct WorldCounts
{
  std::uint64_t submitted_ = 0; ///< Requests that reached a live host.
  std::uint64_t granted_ = 0;   ///< Admitted.
  std::uint64_t refused_ = 0;   ///< Refused.
  std::uint64_t lost_ = 0;      ///< Ended with their host.
  std::uint64_t messages_ = 0;  ///< Messages sent, requests and answers.
  std::uint64_t bytes_ = 0;     ///< Estimated bytes on the wire.
  std::vector<Duration> waits_; ///< Waits of admitted requests.
};

/** Simulates one fleet. */
class LimitWorld
{
public:
  explicit LimitWorld(const WorldOptions& aOptions);
  ~LimitWorld();

  /** Lets time pass. @param aTime how long. */
  void Run(Duration aTime);
  /** @return true time since the start. */
  Duration Now() const { return now_; }
  /**
   * Submits a request now.
   * @param aHost host.
   * @param aWorkspace workspace.
   * @param aTokens upper bound.
   * @param aSpent true count.
   * @param aRuns time until it is settled.
   */
  void Submit(std::size_t aHost,
              std::size_t aWorkspace,
              TokenCount aTokens,
              TokenCount aSpent,
              Duration aRuns);
  /** Ends a host's process. @param aHost host. */
  void Kill(std::size_t aHost);
  /** Starts it again with empty memory and a new incarnation. @param aHost host. */
  void Start(std::size_t aHost);
  /** Stops a host's process for a time. @param aHost host. @param aTime how long. */
  void Pause(std::size_t aHost, Duration aTime);
  /** Cuts a host off from the log. @param aHost host. @param aTime how long. */
  void CutLog(std::size_t aHost, Duration aTime);
  /** Cuts a host off from its peers. @param aHost host. @param aTime how long. */
  void CutPeers(std::size_t aHost, Duration aTime);
  /** Removes a live host from the membership, as its peers do when they cannot hear it. */
  void Remove(std::size_t aHost);
  /** Drains a host. @param aHost host. */
  void Drain(std::size_t aHost);
  /** Sets the faults of the network. @param aFaults faults. */
  void SetFaults(const NetworkFaults& aFaults) { faults_ = aFaults; }
  /** Changes the rule of all workspaces. @param aRule rule. */
  void SetRule(const BucketRule& aRule);
  /** @return host that owns a workspace by the newest membership. */
  std::size_t OwnerOf(std::size_t aWorkspace) const;
  /** @return admissions in sequence. */
  const std::vector<Admission>& Admissions() const { return admissions_; }
  /** @return tokens spent beyond reservations. */
  TokenCount Excess() const { return excess_; }
  /** @return counts. */
  WorldCounts& Counts() { return counts_; }
  /** @return whether a host's process runs. @param aHost host. */
  bool IsAlive(std::size_t aHost) const;
  /**
   * Compares all windows that begin and end at an admission with rate*t + burst.
   * @return largest number of tokens above it in any window, at least 0.
   */
  double Overspend() const;

private:
  struct Host;
  struct Membership;

  void At(Duration aTime, std::function<void()> aAction);
  void TickHost(std::size_t aHost, std::uint64_t aLife);
  void Refresh(std::size_t aHost, std::uint64_t aLife);
  void Fold(std::size_t aHost, std::size_t aRecords, std::size_t aRules, TimePoint aEvidence);
  void Handle(std::size_t aHost, LimitOutput& aOutput);
  void Transmit(std::size_t aFrom, std::size_t aTo, const std::function<void()>& aDeliver);
  void Deliver(std::size_t aHost, std::function<void()> aAction);
  void SendRequest(std::size_t aFrom, const LimitMessage& aMessage);
  void Decided(std::size_t aHost, const LocalReservation& aDecision);
  void Append(std::vector<std::optional<std::uint64_t>> aIncarnations);
  HostId OwnerAt(std::size_t aRecord, std::size_t aWorkspace) const;

  WorldOptions options_;        ///< Options.
  SeededRandom random_;         ///< Latency and faults.
  Duration now_{};              ///< True time.
  std::uint64_t nextEvent_ = 0; ///< Breaks ties.
  std::map<std::pair<Duration, std::uint64_t>, std::function<void()>> events_; ///< Future.
  std::vector<std::unique_ptr<Host>> hosts_;                                   ///< Hosts.
  std::vector<Membership> log_;                        ///< Membership records.
  std::vector<std::pair<Duration, BucketRule>> rules_; ///< Rules by time.
  std::vector<WorkspaceId> names_;                     ///< Workspaces.
  NetworkFaults faults_;                               ///< Faults.
  std::vector<Admission> admissions_;                  ///< Admissions.
  TokenCount excess_ = 0;                              ///< Spent beyond reservations.
  WorldCounts counts_;                                 ///< Counts.
};

} // namespace laburnumweir::testing

#endif
