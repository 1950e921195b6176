/** @file scheduler_base.h Interface for running tasks later, one at a time. */
#ifndef LABURNUMWEIR_CORE_SCHEDULER_BASE_H
#define LABURNUMWEIR_CORE_SCHEDULER_BASE_H

#include "core/clock_base.h"

#include <functional>
#include <memory>

namespace laburnumweir {

/** Runs tasks one at a time on a single thread or strand. */
class Scheduler
{
public:
  virtual ~Scheduler() = default;
  /** Queues a task to run as soon as possible. May be called from any thread. */
  virtual void Post(std::function<void()> aTask) = 0;
  /** Runs a task once after a delay. May be called from any thread. */
  virtual void After(Duration aDelay, std::function<void()> aTask) = 0;
};

/**
 * Runs a task periodically until its owner is destroyed. The first run is after one interval.
 * @param aScheduler runs the task; must outlive the owner.
 * @param aInterval time from the end of one run to the start of the next.
 * @param aOwner the task is not run again once this object has been destroyed.
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
