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

/** Intervals of the watch. */
struct WatchSettings
{
  std::chrono::milliseconds configWait_{ 1400 };      ///< Long poll of the operators' stream.
  std::chrono::milliseconds upstreamInterval_{ 400 }; ///< Between reads of upstream entries.
  std::chrono::milliseconds retryDelay_{ 150 };       ///< After a call that failed.
  std::chrono::milliseconds returnGrace_{ 2300 };     ///< Lapsed entries are back by then.
};

/**
 * Reads the operators' stream by long polls and the upstreams' stream at an interval. Engines write
 * every heartbeat, so a long poll of their entries would return for each of them.
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
  /** @return whether the last call of the operators' stream succeeded. */
  bool IsConnected() const { return isConnected_; }

private:
  void PollOperators();
  void OnOperators(TimePoint aAsked, std::error_code aError, const ChangeBatch& aBatch);
  void PollUpstreams();
  void OnUpstreams(std::error_code aError, const ChangeBatch& aBatch);
  void After(Duration aDelay, void (StoreWatch::*aStep)());

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
  std::optional<TimePoint> flushAt_;    ///< When held removals take effect.
  bool isConnected_ = false;            ///< The store answered last time.
};

} // namespace laburnumweir

#endif
