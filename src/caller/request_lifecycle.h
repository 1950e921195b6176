/** @file request_lifecycle.h Stage of a caller's request; lets exactly one final answer through. */
#ifndef LABURNUMWEIR_CALLER_REQUEST_LIFECYCLE_H
#define LABURNUMWEIR_CALLER_REQUEST_LIFECYCLE_H

#include <cstdint>
#include <memory>

namespace laburnumweir {

/** Stage of a request; the order is that of the states in request_sm.h. */
enum class RequestStage : std::uint8_t
{
  Reading,   ///< Head and body are being read.
  Admitting, ///< The handler decides on it.
  Queued,    ///< The handler holds it.
  Running,   ///< An upstream was asked.
  Streaming, ///< A streamed answer has begun.
  Done,      ///< A whole answer was given.
  Failed,    ///< An error was given.
  Cancelled  ///< The caller went away first.
};

/** What happens to a request. */
enum class RequestEvent : std::uint8_t
{
  Read,       ///< Head and body were read.
  HandedOver, ///< The handler took it.
  Sent,       ///< It is being sent to an upstream.
  Begin,      ///< A streamed answer begins.
  End,        ///< A streamed answer is complete.
  Complete,   ///< A whole answer is given.
  Fail,       ///< An error is given.
  Disconnect  ///< The caller went away.
};

/** State machine of one request; used by one thread at a time. */
class RequestLifecycle
{
public:
  RequestLifecycle();
  ~RequestLifecycle();
  RequestLifecycle(RequestLifecycle&&) noexcept;
  RequestLifecycle& operator=(RequestLifecycle&&) noexcept;

  /** @return whether the event is allowed in the present stage; if not, nothing changes. */
  bool Apply(RequestEvent aEvent);
  /** @return the present stage. */
  RequestStage Stage() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_; ///< State machine.
};

} // namespace laburnumweir

#endif
