/** @file strand_scheduler.cpp Scheduler on a strand of an io_context. */
#include "http/strand_scheduler.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace laburnumweir {

namespace asio = boost::asio;

struct StrandScheduler::Impl
{
  explicit Impl(asio::io_context& aContext)
    : strand_(asio::make_strand(aContext))
  {
  }

  asio::strand<asio::io_context::executor_type> strand_; ///< Runs the tasks one at a time.
};

StrandScheduler::StrandScheduler(asio::io_context& aContext)
  : impl_(std::make_unique<Impl>(aContext))
{
}

StrandScheduler::~StrandScheduler() = default;

void
StrandScheduler::Post(std::function<void()> aTask)
{
  asio::post(impl_->strand_, std::move(aTask));
}

void
StrandScheduler::After(Duration aDelay, std::function<void()> aTask)
{
  auto timer = std::make_shared<asio::steady_timer>(impl_->strand_, aDelay);
  timer->async_wait([timer, task = std::move(aTask)](boost::system::error_code aError) {
    if (!aError) {
      task();
    }
  });
}

} // namespace laburnumweir
