/** @file freshness_tracker.h Decides until when a host may admit requests. */
#ifndef LABURNUMWEIR_STATE_FRESHNESS_TRACKER_H
#define LABURNUMWEIR_STATE_FRESHNESS_TRACKER_H

#include "core/clock_base.h"
#include "state/config_record_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace laburnumweir {

/** Bounds of freshness and of the clocks. */
struct FreshnessSettings
{
  Duration bound_ = std::chrono::seconds(2);                 ///< F: greatest age of evidence.
  Duration outageBound_ = std::chrono::minutes(15);          ///< G: longest time without the log.
  std::int64_t clockErrorPercent_ = 5;                       ///< Greatest error of a clock's rate.
  Duration clockErrorFixed_ = std::chrono::milliseconds(50); ///< Greatest fixed error.

  /** @return the time measured here that certainly lies within the bound. */
  Duration Within(Duration aBound) const
  {
    return (aBound - clockErrorFixed_) * 100 / (100 + clockErrorPercent_);
  }
  /** @return the time measured here after which the bound has certainly passed elsewhere. */
  Duration Beyond(Duration aBound) const
  {
    return aBound * (100 + clockErrorPercent_) / 100 + clockErrorFixed_;
  }
};

/** Whether and why a host may admit requests. */
enum class FreshnessMode : std::uint8_t
{
  NoState,    ///< There is no state.
  NotAMember, ///< The folded state does not have this life of the host as a member.
  Fresh,      ///< The log's end is known by this host or through a peer.
  OutageMode, ///< The log is out of reach and a majority agrees on the state.
  Lapsed      ///< The evidence is too old.
};

/** @return name of the mode for logs and answers to operators. */
std::string_view
ToString(FreshnessMode aMode);

/** What a peer said about its state. */
struct PeerAnswer
{
  HostLife life_;                  ///< Who answered.
  TimePoint asked_;                ///< When this host *sent* the question.
  bool hasState_ = false;          ///< Whether the peer has a state.
  LogOffset next_ = 0;             ///< Next offset the peer would fold.
  bool hasPendingAppend_ = false;  ///< Whether an append of the peer has no known outcome.
  std::optional<Duration> logAge_; ///< Age of the peer's evidence from the log, if it has any.
};

/**
 * Holds the evidence that the folded state was the newest one. Three kinds count: the log answered
 * (a), a peer whose evidence comes from the log answered (b), a majority answered while the log is
 * out of reach (c). Evidence of kind (c) is never passed on as (b), because hosts would renew each
 * other's outage bound forever.
 */
class FreshnessTracker
{
public:
  /**
   * @param aSelf this life of this host.
   * @param aSettings bounds.
   */
  FreshnessTracker(HostLife aSelf, FreshnessSettings aSettings);
  ~FreshnessTracker();
  FreshnessTracker(FreshnessTracker&&) noexcept;
  FreshnessTracker& operator=(FreshnessTracker&&) noexcept;

  /**
   * The state was folded or taken from a peer.
   * @param aNext next offset to fold.
   * @param aMembers members of the folded state.
   */
  void OnState(LogOffset aNext, const std::map<HostId, Member>& aMembers);
  /** The state was dropped; all evidence is void. */
  void OnStateLost();
  /** The host joins with another incarnation; all evidence is void. */
  void OnNewLife(HostLife aSelf);
  /**
   * The log answered a read.
   * @param aAsked when the read was sent.
   * @param aEnd end of the stream in the answer.
   */
  void OnLogAnswer(TimePoint aAsked, LogOffset aEnd);
  /** A peer answered. */
  void OnPeerAnswer(const PeerAnswer& aAnswer);
  /** An append of this host has, or no longer has, an unknown outcome. */
  void SetPendingAppend(bool aIsPending) { hasPendingAppend_ = aIsPending; }

  /**
   * Evaluates the evidence. Call it after each event and at each heartbeat.
   * @param aNow the time.
   * @return time until which requests may be admitted; in the past if none may be.
   */
  TimePoint Update(TimePoint aNow);
  /** @return the mode at the last Update. */
  FreshnessMode Mode() const;
  /** @return age of the newest evidence from the log, for answers to peers; nothing without any. */
  std::optional<Duration> LogAge(TimePoint aNow) const;

private:
  struct Machine;
  struct Pending
  {
    TimePoint time_;     ///< Time of the evidence.
    LogOffset next_ = 0; ///< Position to which the state must be folded for it.
  };
  struct Agreement
  {
    Incarnation incarnation_ = 0;   ///< Incarnation that answered.
    TimePoint asked_;               ///< When it was asked.
    LogOffset next_ = 0;            ///< Its position.
    bool hasPendingAppend_ = false; ///< Whether its append has no known outcome.
  };

  void AddLogEvidence(TimePoint aTime, LogOffset aNext);
  std::optional<TimePoint> MajorityTime(TimePoint aNow) const;
  void Clear();

  HostLife self_;                          ///< This life.
  FreshnessSettings settings_;             ///< Bounds.
  bool hasState_ = false;                  ///< Whether there is a state.
  LogOffset next_ = 0;                     ///< Next offset to fold.
  std::map<HostId, Incarnation> members_;  ///< Members of the folded state.
  bool hasPendingAppend_ = false;          ///< Whether an own append has no known outcome.
  std::optional<TimePoint> logTime_;       ///< Newest evidence that comes from the log.
  std::deque<Pending> pending_;            ///< Evidence that waits for the fold.
  std::map<HostId, Agreement> agreements_; ///< Newest answer of each peer.
  std::unique_ptr<Machine> machine_;       ///< State machine of the mode.
};

} // namespace laburnumweir

#endif
