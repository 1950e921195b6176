/** @file store_watch.h Keeps the state of the fleet current from the store. */
#ifndef LABURNUMWEIR_GATEWAY_STORE_WATCH_H
#define LABURNUMWEIR_GATEWAY_STORE_WATCH_H

#include "core/scheduler_base.h"
#include "fleet/fleet_state.h"
#include "fleet/fleet_store_base.h"

#include <functional>
#include <memory>
#include <optional>

namespace laburnumweir {

/** What a host knows of the store's streams, for the hosts that it tells. */
struct WatchPosition
{
  std::optional<LogOffset> operators_; ///< Next offset of the operators' stream.
  std::optional<LogOffset> upstreams_; ///< Next offset of the upstreams' stream.
  Duration upstreamAge_{};             ///< Time since the upstreams' stream was read.
};

/** Intervals of the watch. */
struct WatchSettings
{
  std::chrono::milliseconds configWait_{ 1400 };      ///< Long poll of the operators' stream.
  std::chrono::milliseconds upstreamInterval_{ 400 }; ///< Between reads of upstream entries.
  std::chrono::milliseconds retryDelay_{ 150 };       ///< After a call that failed.
  /** The same while a reader answers, which tries again itself: in an outage, calls that cannot
   * succeed would otherwise grow with the number of hosts. */
  std::chrono::milliseconds relayedRetryDelay_{ 1000 };
  std::chrono::milliseconds returnGrace_{ 2300 }; ///< Lapsed entries are back by then.
  std::chrono::milliseconds relayCheck_{ 100 };   ///< Between checks whether a reader still tells.
};

/**
 * Reads the operators' stream by long polls and the upstreams' stream at an interval. Engines write
 * every heartbeat, so a long poll of their entries would return for each of them. While a reader
 * tells what the store holds, and that is fresh enough, nothing is read.
 */
class StoreWatch : public std::enable_shared_from_this<StoreWatch>
{
public:
  /** All must outlive this. @param aOnChange called after each change of the state. */
  StoreWatch(FleetStore& aStore,
             FleetState& aState,
             const Clock& aClock,
             Scheduler& aScheduler,
             WatchSettings aSettings,
             std::function<void()> aOnChange);

  /** Starts both loops. */
  void Start();
  /**
   * Takes in what a reader knows of the operators' stream.
   * @param aAsked when it was asked.
   * @param aNext its next offset; the same offset here means the same configuration.
   * @param aProofAge age of its proof, when it answered, that nothing newer exists.
   */
  void OnRelayedProof(TimePoint aAsked, LogOffset aNext, Duration aProofAge);
  /**
   * Takes in changes of the upstreams' stream that a reader tells.
   * @param aAsked when it was asked.
   * @param aBatch changes since the offset that it was asked from.
   * @param aAge time since it read them, when it answered.
   */
  void OnRelayedUpstreams(TimePoint aAsked, const ChangeBatch& aBatch, Duration aAge);
  /** Reads the upstreams' stream at the next check: a reader cannot tell what changed. */
  void OnRelayGap() { isUpstreamReadDue_ = true; }
  /** Sets whether a reader tells this host what the store holds. */
  void SetRelayed(bool aIsRelayed) { isRelayed_ = aIsRelayed; }
  /** @return what this host knows of the streams. */
  WatchPosition Position() const;
  /** @return whether the last call of the operators' stream succeeded. */
  bool IsConnected() const { return isConnected_; }

private:
  void PollOperators();
  void OnOperators(TimePoint aAsked, std::error_code aError, const ChangeBatch& aBatch);
  void PollUpstreams();
  void OnUpstreams(TimePoint aAsked, std::error_code aError, const ChangeBatch& aBatch);
  void FoldUpstreams(TimePoint aAsked, const ChangeBatch& aBatch);
  bool AreUpstreamsRelayed() const;
  void After(Duration aDelay, void (StoreWatch::*aStep)());
  Duration RetryDelay() const
  {
    return isRelayed_ ? settings_.relayedRetryDelay_ : settings_.retryDelay_;
  }

  FleetStore& store_;                   ///< The store.
  FleetState& state_;                   ///< What is kept current.
  const Clock& clock_;                  ///< Time source.
  Scheduler& scheduler_;                ///< Delays.
  const WatchSettings settings_;        ///< Intervals.
  std::function<void()> onChange_;      ///< Called after changes.
  std::chrono::milliseconds wait_{ 0 }; ///< Wait of the present poll.
  std::optional<LogOffset> operators_;  ///< Next offset; none to read everything.
  std::optional<LogOffset> upstreams_;  ///< Next offset; none to read everything.
  TimePoint upstreamsRead_;             ///< Last successful read of entries.
  TimePoint upstreamsAsked_;            ///< When the newest state of the entries was asked for.
  bool isRelayed_ = false;              ///< A reader tells what the store holds.
  bool isOperatorReadDue_ = false;      ///< A reader knows a newer configuration.
  bool isUpstreamReadDue_ = false;      ///< A reader cannot tell what changed.
  std::optional<TimePoint> flushAt_;    ///< When held removals take effect.
  bool isConnected_ = false;            ///< The store answered last time.
};

} // namespace laburnumweir

#endif
