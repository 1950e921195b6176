/** @file snapshot_scheduler.h Decides when a host appends a snapshot. */
#ifndef LABURNUMWEIR_STATE_SNAPSHOT_SCHEDULER_H
#define LABURNUMWEIR_STATE_SNAPSHOT_SCHEDULER_H

#include "core/clock_base.h"
#include "core/random_base.h"
#include "state/config_state.h"

#include <optional>

namespace laburnumweir {

/** Settings of the snapshots. */
struct SnapshotSettings
{
  std::chrono::milliseconds retention_ = std::chrono::hours(24); ///< Retention of the log.
  std::uint64_t records_ = 500;             ///< Records after which a new one is due.
  Duration step_ = std::chrono::seconds(2); ///< Delay per rank, so that one host goes first.
};

/**
 * Appends come from the lowest-ranked live host first: each host waits its rank times the step and
 * a random part of one step. A snapshot of another host that is folded meanwhile ends the wait.
 */
class SnapshotScheduler
{
public:
  explicit SnapshotScheduler(SnapshotSettings aSettings)
    : settings_(aSettings)
  {
  }

  /**
   * @param aState folded state.
   * @param aWall wall-clock time.
   * @return whether the newest snapshot is missing, too old or too many records back.
   */
  bool IsDue(const ConfigState& aState, WallTime aWall) const;

  /**
   * Decides whether this host appends a snapshot now. Call it at each heartbeat.
   * @param aState folded state.
   * @param aSelf this host.
   * @param aNow the time.
   * @param aWall wall-clock time.
   * @param aRandom source of the random delay.
   * @return whether to append one.
   */
  bool ShouldAppend(const ConfigState& aState,
                    const HostId& aSelf,
                    TimePoint aNow,
                    WallTime aWall,
                    RandomSource& aRandom);

private:
  SnapshotSettings settings_;         ///< Settings.
  std::optional<TimePoint> appendAt_; ///< End of the delay.
};

/**
 * @param aState folded state.
 * @param aWall wall-clock time.
 * @return the snapshot record of the state.
 */
SnapshotRecord
MakeSnapshot(const ConfigState& aState, WallTime aWall);

} // namespace laburnumweir

#endif
