/** @file request_pipeline.cpp The path of callers' requests through a host. */
#include "pipeline/request_pipeline.h"

#include "rules/class_order_func.h"

namespace laburnumweir {

namespace {

using namespace std::chrono_literals;

constexpr Duration kTickInterval = 20ms;
// Requests that look for an engine at the same time. They include those that wait for a load, so a
// small number would let rare adapters hold up popular ones.
constexpr std::size_t kMaxSearching = 256;

/** Brings a caller's cancellation to the strand. */
template<typename Request>
class Handle : public RunningRequest
{
public:
  Handle(Scheduler& aScheduler, std::shared_ptr<Request> aRequest)
    : scheduler_(aScheduler)
    , request_(std::move(aRequest))
  {
  }

  void Cancel() override
  {
    scheduler_.Post([request = request_.lock()] {
      if (request) {
        request->Cancel();
      }
    });
  }

private:
  Scheduler& scheduler_;           ///< Strand of the pipeline.
  std::weak_ptr<Request> request_; ///< The request, while it is served.
};

} // namespace

RequestPipeline::RequestPipeline(PipelineContext& aContext, RandomSource& aRandom)
  : context_(aContext)
  , balancer_(aContext.clock_, aRandom)
{
}

void
RequestPipeline::StartTimers()
{
  RepeatWhileAlive(context_.scheduler_, kTickInterval, weak_from_this(), [this] { Tick(); });
}

std::shared_ptr<RunningRequest>
RequestPipeline::Start(CallerRequest aRequest, std::shared_ptr<ResponseSink> aSink)
{
  if (aRequest.kind_ == RequestKind::Service) {
    auto request =
      std::make_shared<ServiceRequest>(context_, balancer_, std::move(aRequest), std::move(aSink));
    context_.scheduler_.Post([request] { request->Start(); });
    return std::make_shared<Handle<ServiceRequest>>(context_.scheduler_, request);
  }
  auto request = std::make_shared<CompletionRequest>(
    context_, std::move(aRequest), std::move(aSink), [this](const CompletionPointer& aReady) {
      Push(aReady);
    });
  context_.scheduler_.Post([request] { request->Start(); });
  return std::make_shared<Handle<CompletionRequest>>(context_.scheduler_, request);
}

std::vector<ClassId>
RequestPipeline::Order() const
{
  const auto state = context_.state_.Get();
  return state->config_ ? ClassOrderAt(*state->config_->Rules(), context_.clock_.WallNow())
                        : std::vector<ClassId>();
}

void
RequestPipeline::Push(const CompletionPointer& aRequest)
{
  const PushResult result = context_.queue_.Push(aRequest->MakeQueueEntry(), Order());
  if (result.displaced_) {
    const auto found = queued_.find(result.displaced_->entry_.ticket_);
    if (found != queued_.end()) {
      const CompletionPointer displaced = found->second;
      queued_.erase(found);
      displaced->Refuse(result.displaced_->reason_);
    }
  }
  if (result.refusal_ != QueueRefusal::None) {
    aRequest->Refuse(result.refusal_);
    return;
  }
  aRequest->SetTicket(result.ticket_);
  queued_[result.ticket_] = aRequest;
  Pump();
}

void
RequestPipeline::Pump()
{
  while (searching_ < kMaxSearching && context_.queue_.Size() > 0) {
    const auto entry = context_.queue_.Pop(Order());
    if (!entry) {
      return;
    }
    const auto found = queued_.find(entry->ticket_);
    if (found == queued_.end()) {
      continue;
    }
    const CompletionPointer request = found->second;
    // While it looks for an engine it is not in the queue.
    queued_.erase(found);
    ++searching_;
    request->FindEngine(
      *entry,
      [this, request](QueueEntry aEntry, Duration aRetryAfter) {
        request->SetTicket(aEntry.ticket_);
        queued_[aEntry.ticket_] = request;
        context_.queue_.Return(std::move(aEntry), context_.clock_.Now() + aRetryAfter);
      },
      [this] {
        --searching_;
        context_.scheduler_.Post([self = shared_from_this()] { self->Pump(); });
      });
  }
}

void
RequestPipeline::Tick()
{
  const auto state = context_.state_.Get();
  context_.tokens_.Follow(*state);
  context_.once_.Follow(*state);
  context_.engines_.Follow(state);
  context_.tokens_.Tick();
  context_.once_.Tick();
  for (const auto& refused : context_.queue_.TakeExpired()) {
    const auto found = queued_.find(refused.entry_.ticket_);
    if (found != queued_.end()) {
      const CompletionPointer request = found->second;
      queued_.erase(found);
      request->Refuse(refused.reason_);
    }
  }
  Pump();
}

} // namespace laburnumweir
