/** @file request_pipeline.h The path of callers' requests through a host. */
#ifndef LABURNUMWEIR_PIPELINE_REQUEST_PIPELINE_H
#define LABURNUMWEIR_PIPELINE_REQUEST_PIPELINE_H

#include "pipeline/completion_request.h"
#include "pipeline/service_request.h"

#include <map>
#include <memory>

namespace laburnumweir {

/** Starts requests, runs the queue and the timers. Start() is safe from any thread. */
class RequestPipeline
  : public RequestHandler
  , public std::enable_shared_from_this<RequestPipeline>
{
public:
  /**
   * @param aContext shared parts; must outlive the pipeline.
   * @param aRandom decides between equal upstreams.
   */
  RequestPipeline(PipelineContext& aContext, RandomSource& aRandom);

  /** Starts the timer; call once, after the object is owned by a shared pointer. */
  void StartTimers();
  std::shared_ptr<RunningRequest> Start(CallerRequest aRequest,
                                        std::shared_ptr<ResponseSink> aSink) override;
  /** @return number of queued requests. */
  std::size_t QueueSize() const { return context_.queue_.Size(); }

private:
  using CompletionPointer = std::shared_ptr<CompletionRequest>;

  void Push(const CompletionPointer& aRequest);
  void Pump();
  void Tick();
  std::vector<ClassId> Order() const;

  PipelineContext& context_;                        ///< Shared parts.
  ServiceBalancer balancer_;                        ///< Chooses upstreams of plain services.
  std::map<QueueTicket, CompletionPointer> queued_; ///< Requests in the queue.
  std::size_t searching_ = 0;                       ///< Requests that look for an engine.
};

} // namespace laburnumweir

#endif
