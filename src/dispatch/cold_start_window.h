/** @file cold_start_window.h Concurrent requests that an engine gets while it warms up. */
#ifndef LABURNUMWEIR_DISPATCH_COLD_START_WINDOW_H
#define LABURNUMWEIR_DISPATCH_COLD_START_WINDOW_H

#include "core/clock_base.h"
#include "table/dispatch_const.h"

#include <cstdint>

namespace laburnumweir {

/** Settings of a window. */
struct ColdStartSettings
{
  std::uint32_t initial_ = kColdWindowInitial; ///< Size after a (re)start.
  std::uint32_t growth_ = kColdWindowGrowth;   ///< Growth for each window's worth of successes.
  std::uint32_t limit_ = 32;                   ///< Largest size; the engine's max-running.
};

/**
 * Window of concurrent requests of one engine, over all hosts. It starts small, grows additively
 * while answers succeed, and returns to its starting size when the engine refuses for load, fails,
 * restarts or suddenly becomes slow. The first loads after a (re)start are spread over time.
 */
class ColdStartWindow
{
public:
  /** @param aSettings sizes. */
  explicit ColdStartWindow(ColdStartSettings aSettings);

  /** @return most concurrent requests now. */
  std::uint32_t Size() const;
  /** @return whether the window has grown to its limit. */
  bool IsFull() const { return Size() >= settings_.limit_; }
  /** Sets the limit when a rule changes it. */
  void SetLimit(std::uint32_t aLimit);
  /**
   * Starts with what the engine was found to carry when its owner changed.
   * @param aRunning requests that ran there.
   */
  void Adopt(std::uint32_t aRunning);
  /**
   * Notes a complete answer.
   * @param aLatency time to the first token.
   * @param aInUse requests in the window when it ended; a window that is not used does not grow.
   * @return true if this answer shows a latency jump, which resets the window.
   */
  bool OnSuccess(Duration aLatency, std::uint32_t aInUse);
  /** Notes a refusal for load, a crash, a failure or a new epoch. */
  void Reset();

  /** @return whether a load may be started now, given that the first loads are spread. */
  bool MayLoad(TimePoint aNow) const;
  /** Notes that a load was started. */
  void OnLoad(TimePoint aNow);

private:
  ColdStartSettings settings_; ///< Sizes.
  double size_ = 0;            ///< Current size; whole windows of successes add to it.
  double meanLatency_ = 0;     ///< Moving mean in seconds.
  std::uint32_t samples_ = 0;  ///< Answers in the mean, up to the minimum.
  std::uint32_t slow_ = 0;     ///< Successive slow answers.
  std::uint32_t loads_ = 0;    ///< Loads since the last reset.
  TimePoint lastLoad_;         ///< Start of the last load.
};

} // namespace laburnumweir

#endif
