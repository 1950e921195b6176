/** @file strand_scheduler.h Scheduler on a strand of an io_context. */
#ifndef LABURNUMWEIR_HTTP_STRAND_SCHEDULER_H
#define LABURNUMWEIR_HTTP_STRAND_SCHEDULER_H

#include "core/scheduler_base.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace laburnumweir {

/** Scheduler on a strand of an io_context. */
class StrandScheduler : public Scheduler
{
public:
  /** @param aContext runs the tasks; must outlive the scheduler. */
  explicit StrandScheduler(boost::asio::io_context& aContext);
  ~StrandScheduler() override;
  StrandScheduler(const StrandScheduler&) = delete;
  StrandScheduler& operator=(const StrandScheduler&) = delete;

  void Post(std::function<void()> aTask) override;
  void After(Duration aDelay, std::function<void()> aTask) override;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_; ///< Strand.
};

} // namespace laburnumweir

#endif
