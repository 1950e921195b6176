/** @file scheduler_base.h Interface for running tasks later on one thread. */
#ifndef LABURNUMWEIR_CORE_SCHEDULER_BASE_H
#define LABURNUMWEIR_CORE_SCHEDULER_BASE_H

#include "core/clock_base.h"

#include <functional>
#include <memory>

namespace laburnumweir {

/** Runs tasks one at a time on one thread or strand. */
class Scheduler
{
public:
  virtual ~Scheduler() = default;
  /** Runs a task soon; may be called from any thread. @param aTask the task. */
  virtual void Post(std::function<void()> aTask) = 0;
  /**
   * Runs a task once after a delay; may be called from any thread.
   * @param aDelay the delay.
   * @param aTask the task.
   */
  virtual void After(Duration aDelay, std::function<void()> aTask) = 0;
};

/**
 * Runs a task again and again until the owner is gone.
 * @param aScheduler where to run it; must outlive the owner.
 * @param aInterval time between the end of a run and the next.
 * @param aOwner the task is dropped when this object is gone.
 * @param aTask the task.
 */
inline void
RepeatWhileAlive(Scheduler& aScheduler,
                 Duration aInterval,
                 const std::weak_ptr<void>& aOwner,
                 std::function<void()> aTask)
{
  aScheduler.After(aInterval,
                   [&aScheduler, aInterval, owner = aOwner, task = std::move(aTask)]() mutable {
                     if (owner.expired()) {
                       return;
                     }
                     task();
                     RepeatWhileAlive(aScheduler, aInterval, owner, std::move(task));
                   });
}

} // namespace laburnumweir

#endif
