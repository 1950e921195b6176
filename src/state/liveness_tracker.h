/** @file liveness_tracker.h Decides which silent hosts to propose for removal. */
#ifndef LABURNUMWEIR_STATE_LIVENESS_TRACKER_H
#define LABURNUMWEIR_STATE_LIVENESS_TRACKER_H

#include "core/clock_base.h"
#include "state/config_record_type.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace laburnumweir {

/** Settings of the heartbeats. */
struct LivenessSettings
{
  Duration interval_ = std::chrono::milliseconds(250); ///< Time between questions to a host.
  Duration silence_ = std::chrono::milliseconds(1500); ///< Silence after which a host is proposed.
  std::size_t meshLimit_ = 12; ///< Most members with which each host asks each other one.
  std::size_t successors_ = 4; ///< Ring successors that a host asks above that.
};

/** How long a host has not heard those that it asks. Part of its answer to a heartbeat. */
using SilenceReport = std::vector<std::pair<HostLife, Duration>>;

/**
 * Collects who hears whom. A host is proposed for removal if more than half of the members that ask
 * it report silence and none of them reports to have heard it, so that a cut between some hosts,
 * also in one direction, removes nobody that others reach. With a minority left, nobody is removed.
 */
class LivenessTracker
{
public:
  /**
   * @param aSelf this life of this host.
   * @param aSettings settings.
   */
  LivenessTracker(HostLife aSelf, LivenessSettings aSettings);

  /** The host joins with another incarnation. */
  void SetSelf(HostLife aSelf) { self_ = std::move(aSelf); }
  /**
   * The members changed.
   * @param aMembers members of the folded state.
   * @param aNow the time; the silence of a new member counts from here.
   */
  void SetMembers(const std::map<HostId, Member>& aMembers, TimePoint aNow);
  /** @return the members that this host asks, in ring sequence. */
  std::vector<HostLife> Targets() const { return TargetsOf(self_.host_); }
  /**
   * To be called at least once per interval. After a pause of this host its own silences start
   * anew, because the host asked nobody meanwhile.
   */
  void Tick(TimePoint aNow);
  /**
   * A host answered a question of this host.
   * @param aLife who answered.
   * @param aAsked when the question was sent.
   * @param aReport the report in its answer.
   */
  void OnAnswer(const HostLife& aLife, TimePoint aAsked, const SilenceReport& aReport);
  /** @return the silences of the hosts that this host asks. */
  SilenceReport Report(TimePoint aNow) const;
  /** @return lives to propose for removal now; lower-ranked proposers wait longer. */
  std::vector<HostLife> Removals(TimePoint aNow) const;

private:
  struct Received
  {
    TimePoint asked_;      ///< When the question was sent.
    SilenceReport report_; ///< Report of the host.
  };

  bool IsRing() const { return ring_.size() > settings_.meshLimit_; }
  std::vector<HostLife> TargetsOf(const HostId& aHost) const;
  std::vector<HostId> AskersOf(const HostId& aHost) const;
  std::optional<Duration> ReportedSilence(const HostId& aAsker,
                                          const HostLife& aLife,
                                          TimePoint aNow) const;

  HostLife self_;                       ///< This life of this host.
  LivenessSettings settings_;           ///< Settings.
  std::vector<HostLife> ring_;          ///< Members in ring sequence.
  std::map<HostLife, TimePoint> heard_; ///< When each was last heard, or asked for first.
  std::map<HostId, Received> reports_;  ///< Newest report of each host.
  std::optional<TimePoint> lastTick_;   ///< Last call of Tick.
};

} // namespace laburnumweir

#endif
