/** @file acceptance_tracker.h Decides when a change is in force everywhere. */
#ifndef LABURNUMWEIR_STATE_ACCEPTANCE_TRACKER_H
#define LABURNUMWEIR_STATE_ACCEPTANCE_TRACKER_H

#include "core/clock_base.h"
#include "state/config_state.h"
#include "state/freshness_tracker.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumweir {

/**
 * What a host knows of the progress of all lives of hosts. Kept from the start of the process on,
 * so that the last known position of a host that fell silent is at hand when a change comes.
 */
class HostProgress
{
public:
  /** What is known of one life. */
  struct Entry
  {
    LogOffset next_ = 0;               ///< Greatest position heard from it.
    std::optional<TimePoint> endSeen_; ///< When this host learned of its removal.
  };

  /**
   * Learns of joins and removals. Call it after each fold.
   * @param aState the folded state.
   * @param aNow the time.
   */
  void OnState(const ConfigState& aState, TimePoint aNow);
  /**
   * A host said how far it has folded and published its state to the threads that admit requests.
   * @param aLife who said it.
   * @param aNext next offset it would fold.
   */
  void OnHeard(const HostLife& aLife, LogOffset aNext);
  /** @return what is known of a life; an empty entry if nothing is. */
  Entry Find(const HostLife& aLife) const;

private:
  std::map<HostLife, Entry> entries_;  ///< What is known, by life.
  std::optional<LogOffset> seenUntil_; ///< Membership record that was seen last.
};

/** What became of a change. */
enum class AcceptanceStatus : std::uint8_t
{
  Pending,  ///< Not in force everywhere yet.
  Accepted, ///< In force on every host that admits requests.
  Rejected, ///< Another change won.
  Unknown   ///< The time limit passed first.
};

/** What holds for one life of a host. */
enum class HostChangeStatus : std::uint8_t
{
  Folded, ///< It said that it has folded the change.
  Lapsed, ///< It certainly admits no requests under the state before the change.
  Waiting ///< Neither is certain yet.
};

/** @return name of the status for logs and answers to operators. */
std::string_view
ToString(AcceptanceStatus aStatus);
/** @return name of the status for logs and answers to operators. */
std::string_view
ToString(HostChangeStatus aStatus);

/** Status line of one host. */
struct HostChangeLine
{
  HostLife life_;                                       ///< Host and incarnation.
  HostChangeStatus status_ = HostChangeStatus::Waiting; ///< What holds for it.
  TimePoint certainAt_;                                 ///< With Waiting: latest end of the wait.
};

/** Result of an evaluation. */
struct AcceptanceResult
{
  AcceptanceStatus status_ = AcceptanceStatus::Pending; ///< What became of the change.
  LogOffset revision_ = kNoRevision;                    ///< Own revision, or the one that won.
  std::vector<HostChangeLine> hosts_;                   ///< Every host that matters.
};

/**
 * Follows one change until it is in force everywhere. A host matters if it may admit requests under
 * a state before the change: the members, and also hosts that were removed, since a removed host
 * that is cut off does not know it and can go on with others that were removed until the outage
 * bound.
 */
class AcceptanceTracker
{
public:
  /**
   * @param aChangeId identifier of the change.
   * @param aSelf this life of this host.
   * @param aSettings bounds of freshness.
   * @param aLimit when to give up waiting.
   */
  AcceptanceTracker(std::string aChangeId,
                    HostLife aSelf,
                    FreshnessSettings aSettings,
                    TimePoint aLimit);

  /**
   * Evaluates what is known. Call it after each fold and each heartbeat.
   * @param aState folded state of this host; nullptr if it has none.
   * @param aProgress progress of the hosts.
   * @param aNow the time.
   * @return the result; once accepted or rejected it stays so.
   */
  AcceptanceResult Update(const ConfigState* aState, const HostProgress& aProgress, TimePoint aNow);

private:
  struct Life
  {
    HostLife life_;                ///< Host and incarnation.
    LogOffset joined_ = 0;         ///< Offset of its join record.
    bool isMember_ = false;        ///< Whether it is a member at the folded state.
    std::optional<LogOffset> end_; ///< Offset at which its membership ended.
  };

  std::vector<Life> ListLives(const ConfigImage& aImage) const;
  void NoteAcks(const std::vector<Life>& aLives,
                const ConfigState& aState,
                const HostProgress& aProgress,
                TimePoint aNow);
  HostChangeLine Judge(const Life& aLife,
                       const std::vector<Life>& aLives,
                       const ConfigImage& aImage,
                       const HostProgress& aProgress,
                       TimePoint aNow) const;
  std::optional<TimePoint> MajorityLapse(const Life& aLife,
                                         const std::vector<Life>& aLives,
                                         const ConfigImage& aImage,
                                         LogOffset aKnownNext) const;

  std::string changeId_;                  ///< Identifier of the change.
  HostLife self_;                         ///< This life of this host.
  FreshnessSettings settings_;            ///< Bounds of freshness.
  TimePoint limit_;                       ///< When to give up waiting.
  LogOffset offset_ = 0;                  ///< Offset of the change.
  std::optional<TimePoint> known_;        ///< When this host had folded the change.
  std::map<HostLife, TimePoint> acks_;    ///< When each life was first known to have folded it.
  std::optional<AcceptanceResult> final_; ///< Accepted or rejected.
};

/**
 * Greatest number of members over the states between two positions.
 * @param aImage folded state.
 * @param aFrom first position: the state before the record at this offset.
 * @param aTo last position.
 * @return the number, or nothing if the recorded history begins later.
 */
std::optional<std::uint64_t>
LargestMembership(const ConfigImage& aImage, LogOffset aFrom, LogOffset aTo);

} // namespace laburnumweir

#endif
