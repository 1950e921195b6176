/** @file request_lifecycle.cpp Stage of a caller's request; lets exactly one final answer through.
 */
#include "caller/request_lifecycle.h"

#include "caller/request_sm.h"

namespace laburnumweir {

struct RequestLifecycle::Impl
{
  template<class Event>
  bool Process(const Event& aEvent)
  {
    return machine_.process_event(aEvent) == boost::msm::back::HANDLED_TRUE;
  }

  bool Apply(RequestEvent aEvent)
  {
    switch (aEvent) {
      case RequestEvent::Read:
        return Process(detail::HeadAndBodyRead{});
      case RequestEvent::HandedOver:
        return Process(detail::HandedOver{});
      case RequestEvent::Sent:
        return Process(detail::SentUpstream{});
      case RequestEvent::Begin:
        return Process(detail::AnswerBegun{});
      case RequestEvent::End:
        return Process(detail::AnswerEnded{});
      case RequestEvent::Complete:
        return Process(detail::AnswerCompleted{});
      case RequestEvent::Fail:
        return Process(detail::AnswerFailed{});
      case RequestEvent::Disconnect:
        return Process(detail::CallerLeft{});
    }
    return false;
  }

  /** @return whether the machine is in a state. */
  template<class State>
  bool IsIn() const
  {
    constexpr int kId = boost::msm::back::get_state_id<detail::RequestSm::stt, State>::type::value;
    return machine_.current_state()[0] == kId;
  }

  RequestStage Stage() const
  {
    using Def = detail::RequestSmDef;
    if (IsIn<Def::Reading>()) {
      return RequestStage::Reading;
    }
    if (IsIn<Def::Admitting>()) {
      return RequestStage::Admitting;
    }
    if (IsIn<Def::Queued>()) {
      return RequestStage::Queued;
    }
    if (IsIn<Def::Running>()) {
      return RequestStage::Running;
    }
    if (IsIn<Def::Streaming>()) {
      return RequestStage::Streaming;
    }
    if (IsIn<Def::Done>()) {
      return RequestStage::Done;
    }
    return IsIn<Def::Failed>() ? RequestStage::Failed : RequestStage::Cancelled;
  }

  detail::RequestSm machine_; ///< Runs the table.
};

RequestLifecycle::RequestLifecycle()
  : impl_(std::make_unique<Impl>())
{
  impl_->machine_.start();
}

RequestLifecycle::~RequestLifecycle() = default;
RequestLifecycle::RequestLifecycle(RequestLifecycle&&) noexcept = default;
RequestLifecycle&
RequestLifecycle::operator=(RequestLifecycle&&) noexcept = default;

bool
RequestLifecycle::Apply(RequestEvent aEvent)
{
  return impl_->Apply(aEvent);
}

RequestStage
RequestLifecycle::Stage() const
{
  return impl_->Stage();
}

} // namespace laburnumweir
