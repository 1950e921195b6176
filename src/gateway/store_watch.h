/** @file store_watch.h Updates the state of the fleet from the store. */
#ifndef LABURNUMWEIR_GATEWAY_STORE_WATCH_H
#define LABURNUMWEIR_GATEWAY_STORE_WATCH_H

#include "core/scheduler_base.h"
#include "fleet/fleet_state.h"
#include "fleet/fleet_store_base.h"

#include <functional>
#include <memory>
#include <optional>

namespace laburnumweir {

/** Positions up to which a host has read the store's streams; sent to the hosts that query it. */
struct WatchPosition
{
  std::optional<StorePosition> operators_; ///< In the operators' stream; none if unknown.
  std::optional<StorePosition> upstreams_; ///< In the upstreams' stream; none if unknown.
  Duration upstreamAge_{}; ///< Time since the newest state of the entries was requested.
};

/** Intervals of the store watch. */
struct WatchSettings
{
  /** Duration of a long poll of the operators' stream. */
  std::chrono::milliseconds configWait_{ 1400 };
  std::chrono::milliseconds upstreamInterval_{ 400 }; ///< Between reads of upstream entries.
  std::chrono::milliseconds retryDelay_{ 150 };       ///< Delay after a failed call.
  /** Delay until the next read while the store has no configuration; all hosts of a new fleet wait
   * for it at the same time. */
  std::chrono::milliseconds noConfigDelay_{ 500 };
  /** Minimum time between reads of changes that a store reader announced, so that a series of
   * configurations costs each host a few reads. A fraction of the time in which a change has to be
   * in force. */
  std::chrono::milliseconds relayedReadInterval_{ 400 };
  /** Delay after a failed call while a store reader answers, since the store reader retries itself.
   * With the short delay, the number of failing calls in an outage would grow with the number of
   * hosts. */
  std::chrono::milliseconds relayedRetryDelay_{ 1000 };
  /** Time after an outage, or after a loss of records, within which live upstreams have written
   * their entries again and operators their evacuations; removals are deferred until then. */
  std::chrono::milliseconds removalHoldTime_{ 2300 };
  /** Interval of the checks whether a store reader still relays. */
  std::chrono::milliseconds relayCheckInterval_{ 100 };
};

/**
 * Reads the operators' stream by long polls and the upstreams' stream at an interval. Engines write
 * an entry with every heartbeat, so a long poll of the entries would return for each heartbeat. The
 * host does not read the store while a store reader relays its content and the relayed state is
 * recent enough.
 */
class StoreWatch : public std::enable_shared_from_this<StoreWatch>
{
public:
  /**
   * All references must outlive this object.
   * @param aOnChange called after each batch that was applied to the state.
   * @param aOnRestored called once for each newer era, after the first snapshot of it was applied;
   * not for the first snapshot after the start. What this host wrote to the store may be lost.
   */
  StoreWatch(FleetStore& aStore,
             FleetState& aState,
             const Clock& aClock,
             Scheduler& aScheduler,
             WatchSettings aSettings,
             std::function<void()> aOnChange,
             std::function<void()> aOnRestored = {});

  /** Starts to read both streams. */
  void Start();
  /** Changes the interval between reads of upstream entries; a shorter one applies at once. */
  void SetUpstreamInterval(std::chrono::milliseconds aInterval);
  /**
   * Processes the position of a store reader in the operators' stream.
   * @param aSentAt when the query was sent.
   * @param aNext position of the store reader; if equal to that of this host, both have the same
   * configuration.
   * @param aConfigAge age of the configuration at the store reader when it answered.
   */
  void OnRelayedConfigAge(TimePoint aSentAt, StorePosition aNext, Duration aConfigAge);
  /**
   * Applies changes of the upstreams' stream that a store reader relayed.
   * @param aSentAt when the query was sent.
   * @param aBatch changes since the offset in the query.
   * @param aAge time since the store reader requested them from the store, when it answered;
   * kIncompletePageAge if they are only the first ones of its state.
   */
  void OnRelayedUpstreams(TimePoint aSentAt, const ChangeBatch& aBatch, Duration aAge);
  /**
   * Reads both streams soon if a peer has read the store in a newer era than this host.
   * @param aEra newest era in a message of the peer.
   */
  void OnPeerEra(StoreEra aEra);
  /** Applies a restore of the store that a peer has seen. */
  void OnPeerRestore(const StoreRestore& aRestore);
  /** @return the restore that this host saw within the hold time; none if there was none. */
  std::optional<StoreRestore> Restore() const;
  /** Reads the upstreams' stream at the next check, as a store reader lacks the changes or newer
   * ones are needed. */
  void ReadUpstreamsSoon() { isUpstreamReadDue_ = true; }
  /** Sets whether a store reader relays the content of the store to this host. */
  void SetRelayed(bool aIsRelayed) { isRelayed_ = aIsRelayed; }
  WatchPosition Position() const;
  /** @return whether the last read of the operators' stream succeeded. */
  bool IsConnected() const { return isConnected_; }

private:
  /** Reads the operators' stream now, or later if the relayed configuration is recent enough. */
  void PollOperators();
  /** Starts a read of the operators' stream. */
  void ReadOperators();
  /** Calls PollOperators() later, unless a read is started before. */
  void PollOperatorsAfter(Duration aDelay);
  /** Reads the operators' stream at once, in place of the running or next poll, unless it was read
   * in that era or this was called for it before. */
  void ReadOperatorsInNewEra(StoreEra aEra);
  /** @param aKnownNext end of the operators' stream that was known when the read was sent. */
  void OnOperators(TimePoint aSentAt,
                   StorePosition aKnownNext,
                   std::error_code aError,
                   const ChangeBatch& aBatch);
  void EndUnnamedEvacuations();
  void PollUpstreams();
  /** Waits for the next read of the upstreams' stream. */
  void AwaitUpstreamRead();
  void OnUpstreams(TimePoint aSentAt, std::error_code aError, const ChangeBatch& aBatch);
  /** @param aRequestedAt when the state was requested from the store; none if it is incomplete, so
   * that the age of its changes is not known. */
  void ApplyUpstreams(std::optional<TimePoint> aRequestedAt, const ChangeBatch& aBatch);
  /** Sets the end of the hold time if the store was away, or came back from an older copy, between
   * the newest state and one that was requested at the given time. */
  void HoldRemovals(TimePoint aRequestedAt, StoreEra aEra);
  bool AreUpstreamsRelayed() const;
  /** Reports a newer era, whichever stream was read first in it. */
  void OnEra(StoreEra aEra);
  void RunAfter(Duration aDelay, void (StoreWatch::*aFunction)());
  Duration RetryDelay() const
  {
    return isRelayed_ ? settings_.relayedRetryDelay_ : settings_.retryDelay_;
  }

  FleetStore& store_;
  FleetState& state_; ///< Updated from the store.
  const Clock& clock_;
  Scheduler& scheduler_;
  WatchSettings settings_; ///< Only upstreamInterval_ may change.
  /** Longest upstreamInterval_ since entries were last read or relayed. */
  std::chrono::milliseconds longestInterval_;
  std::function<void()> onChange_;          ///< Called after each batch that was applied.
  std::function<void()> onRestored_;        ///< Called after the first snapshot of a newer era.
  std::optional<StoreEra> era_;             ///< Newest era that a stream was read in.
  std::optional<TimePoint> restoredAt_;     ///< When that era replaced another one.
  std::chrono::milliseconds pollWait_{ 0 }; ///< Wait of the current or next long poll.
  std::optional<StorePosition> operators_;  ///< Next position; if none, a snapshot is read.
  StorePosition relayedOperators_;          ///< Newest position that a store reader had.
  std::optional<StoreEra> operatorsEra_;    ///< Newest era that the operators' stream was read in.
  StoreEra announcedEra_ = 0; ///< Newest era for which the operators' stream was read at once.
  /** Rises when a read of the operators' stream is started in place of the one before, whose answer
   * is then not used. */
  std::uint64_t operatorsPoll_ = 0;
  /** When evacuations end that the last snapshot does not name. */
  std::optional<TimePoint> endEvacuationsAt_;
  std::optional<StorePosition> upstreams_; ///< Next position; if none, a snapshot is read.
  std::optional<StoreEra> upstreamsEra_;   ///< Newest era that the upstreams' stream was read in.
  TimePoint operatorsReadAt_;              ///< When the operators' stream was last read.
  TimePoint upstreamsReadAt_;              ///< When a read of entries was last answered.
  TimePoint upstreamsRequestedAt_;         ///< When the newest state of the entries was requested.
  bool isRelayed_ = false;                 ///< A store reader relays the content of the store.
  bool isOperatorReadDue_ = false;         ///< A store reader has a newer configuration.
  bool isUpstreamReadDue_ = false;         ///< See ReadUpstreamsSoon().
  /** End of the hold time; deferred removals take effect with a state requested after it. */
  std::optional<TimePoint> removalHoldEnd_;
  bool isConnected_ = false; ///< The last read of the operators' stream succeeded.
};

} // namespace laburnumweir

#endif
