/** @file drain.h Graceful shutdown of a host. */
#ifndef LABURNUMWEIR_SERVE_DRAIN_H
#define LABURNUMWEIR_SERVE_DRAIN_H

#include "core/clock_base.h"

#include <functional>
#include <memory>

namespace laburnumweir {

/** Stage of a shutdown; the order is that of the states in drain_sm.h. */
enum class DrainStage
{
  Serving,  ///< Normal service.
  Draining, ///< Not ready; open requests end.
  Leaving,  ///< Tokens are given back and the membership is ended.
  Stopped   ///< The process can end.
};

/** What a shutdown does at each stage. */
struct DrainActions
{
  std::function<void()> startDrain_;                       ///< Stop being ready.
  std::function<bool()> isIdle_;                           ///< No request is open.
  std::function<void(std::function<void()> aDone)> leave_; ///< Give everything back and leave.
  std::function<void()> stop_;                             ///< End the process's loops.
};

/** Carries a shutdown out. Control thread only. */
class Drain
{
public:
  /**
   * @param aClock time source.
   * @param aLimit longest time for open requests.
   * @param aActions what to do.
   */
  Drain(const Clock& aClock, Duration aLimit, DrainActions aActions);
  ~Drain();
  Drain(const Drain&) = delete;
  Drain& operator=(const Drain&) = delete;

  /** The host is asked to end; asked again, it does not wait for requests any longer. */
  void Ask();
  /** Goes on if the present stage is done; to be called some times a second. */
  void Tick();
  /** @return the present stage. */
  DrainStage Stage() const;
  /** @return whether requests were open when the time limit passed. */
  bool WasCut() const { return wasCut_; }

private:
  struct Machine;

  void Enter(DrainStage aBefore);

  const Clock& clock_;               ///< Time source.
  Duration limit_;                   ///< Longest time for open requests.
  DrainActions actions_;             ///< What to do.
  std::unique_ptr<Machine> machine_; ///< State machine.
  TimePoint since_;                  ///< Start of the present stage.
  bool wasCut_ = false;              ///< Requests were open at the time limit.
};

} // namespace laburnumweir

#endif
