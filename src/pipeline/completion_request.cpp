/** @file completion_request.cpp A completion on its way through the host. */
#include "pipeline/completion_request.h"

#include "rules/class_order_func.h"

#include <algorithm>

namespace laburnumweir {

namespace {

using namespace std::chrono_literals;

// A healthy engine sends a token at least this often, also at its largest batch.
constexpr Duration kProgressTimeout = 10s;

} // namespace

/** Brings the calls of the upstream client to the strand of the pipeline. */
class CompletionRequest::Relay : public UpstreamSink
{
public:
  Relay(std::shared_ptr<CompletionRequest> aOwner, std::uint32_t aAttempt)
    : owner_(std::move(aOwner))
    , number_(aAttempt)
  {
  }

  void OnHead(int aStatus, HeaderList aHeaders) override
  {
    Post([aStatus, headers = std::move(aHeaders)](CompletionRequest& aRequest) mutable {
      aRequest.OnHead(aStatus, std::move(headers));
    });
  }

  void OnData(std::string aBytes, std::function<void()> aContinue) override
  {
    Post([bytes = std::move(aBytes), aContinue](CompletionRequest& aRequest) mutable {
      aRequest.OnData(std::move(bytes), aContinue);
    });
  }

  void OnEnd(const AttemptResult& aResult) override
  {
    Post([aResult](CompletionRequest& aRequest) { aRequest.OnEnd(aResult); });
  }

private:
  template<typename Task>
  void Post(Task aTask)
  {
    owner_->context_.scheduler_.Post(
      [owner = owner_, number = number_, task = std::move(aTask)]() mutable {
        // Late calls of an attempt that was given up must not touch a later one.
        if (owner->attempts_ == number) {
          task(*owner);
        }
      });
  }

  std::shared_ptr<CompletionRequest> owner_; ///< The request.
  std::uint32_t number_;                     ///< Number of the attempt.
};

CompletionRequest::CompletionRequest(PipelineContext& aContext,
                                     CallerRequest aRequest,
                                     std::shared_ptr<ResponseSink> aSink,
                                     PushCallback aPush)
  : context_(aContext)
  , request_(std::move(aRequest))
  , sink_(std::move(aSink))
  , push_(std::move(aPush))
  , startedAt_(aContext.clock_.Now())
{
}

void
CompletionRequest::Start()
{
  CallerError error;
  if (!Admit(*context_.state_.Get(),
             request_,
             ClassId(),
             context_.clock_.Now(),
             context_.clock_.WallNow(),
             admission_,
             error)) {
    Fail(std::move(error));
    return;
  }
  Explain("admitted workspace=" + admission_.workspace_.Value() +
          " class=" + admission_.class_.id_.Value() + " adapter=" + request_.adapter_.ToString());
  context_.metrics_
    .GetCounter("laburnumweir_requests_total", "workspace", admission_.workspace_.Value())
    .Add();
  context_.adapters_.Find(
    request_.adapter_,
    [self = shared_from_this()](std::error_code aError, const AdapterInfo& aInfo) {
      self->OnAdapter(aError, aInfo);
    });
}

void
CompletionRequest::OnAdapter(std::error_code aError, const AdapterInfo& aInfo)
{
  if (isDone_) {
    return;
  }
  if (aError) {
    const bool isMissing = aError == WeightStoreError::NotFound;
    CallerError error;
    error.status_ = isMissing ? 404 : 503;
    error.code_ = isMissing ? "model_not_found" : "weight_store_unavailable";
    error.message_ = isMissing ? "the weight store has no adapter " + request_.adapter_.ToString()
                               : "the weight store could not be asked: " + aError.message();
    Fail(std::move(error));
    return;
  }
  model_ = aInfo.model_;
  const TokenCount tokens = request_.promptTokens_ + request_.maxTokens_;
  reservation_ = context_.tokens_.Reserve(
    admission_.workspace_, tokens, [self = shared_from_this()](const LocalReservation& aResult) {
      self->OnTokens(aResult);
    });
}

void
CompletionRequest::OnTokens(const LocalReservation& aReservation)
{
  reservation_ = aReservation.id_;
  if (aReservation.status_ == ReserveStatus::Refused) {
    context_.metrics_
      .GetCounter("laburnumweir_token_refusals_total", "workspace", admission_.workspace_.Value())
      .Add();
    Fail(ErrorOf(aReservation));
    return;
  }
  isReserved_ = true;
  if (isDone_) {
    Finish();
    return;
  }
  Explain("tokens reserved=" + std::to_string(request_.promptTokens_ + request_.maxTokens_));
  push_(shared_from_this());
}

QueueEntry
CompletionRequest::MakeQueueEntry() const
{
  QueueEntry entry;
  entry.class_ = admission_.class_.id_;
  entry.workspace_ = admission_.workspace_;
  entry.tokens_ = std::max<TokenCount>(1, request_.promptTokens_ + request_.maxTokens_);
  const auto deadline = NextDeadline(admission_.class_, context_.clock_.WallNow());
  const TimePoint now = context_.clock_.Now();
  if (deadline) {
    entry.deadline_ = now + (*deadline - context_.clock_.WallNow());
  }
  entry.startBy_ = std::min(request_.deadline_, startedAt_ + admission_.class_.maxWait_);
  return entry;
}

void
CompletionRequest::FindEngine(const QueueEntry& aEntry,
                              const BusyCallback& aBusy,
                              const std::function<void()>& aSettled)
{
  SetTicket(0);
  if (isDone_) {
    aSettled();
    return;
  }
  EngineQuery query{ request_.id_, request_.adapter_, model_, request_.deadline_, avoid_ };
  const auto self = shared_from_this();
  context_.engines_.Acquire(
    std::move(query),
    [self, aSettled](EngineGrant aGrant) {
      self->OnGrant(std::move(aGrant));
      aSettled();
    },
    [self, aEntry, aBusy, aSettled](EngineRefusal aRefusal, Duration aRetryAfter) {
      if (aRefusal == EngineRefusal::AllBusy && !self->isDone_) {
        self->Explain("all candidates busy, queued again");
        aBusy(aEntry, aRetryAfter);
      } else if (!self->isDone_) {
        CallerError error;
        error.status_ = 503;
        error.code_ = "no_engine";
        error.message_ = aRefusal == EngineRefusal::TooLate
                           ? "no engine was free before the request's deadline"
                           : "no engine in service has the base model " + self->model_;
        error.retryAfter_ = 1s;
        self->Fail(std::move(error));
      }
      aSettled();
    },
    [self](std::string aStep) { self->Explain(std::move(aStep)); });
}

void
CompletionRequest::OnGrant(EngineGrant aGrant)
{
  grant_ = std::move(aGrant);
  if (grant_.waitedForLoad_) {
    context_.metrics_
      .GetHistogram("laburnumweir_load_wait_seconds", "workspace", admission_.workspace_.Value())
      .Record(grant_.loadWait_);
  }
  if (isDone_) {
    context_.engines_.Release(grant_, {});
    return;
  }
  Send();
}

void
CompletionRequest::Send()
{
  // The rules may have changed while the request waited: the key and the engine are checked again
  // right before the request leaves.
  CallerError error;
  Admission now;
  if (!Admit(*context_.state_.Get(),
             request_,
             ClassId(),
             context_.clock_.Now(),
             context_.clock_.WallNow(),
             now,
             error)) {
    context_.engines_.Release(grant_, {});
    error.run_ = WorstRun();
    Fail(std::move(error));
    return;
  }
  context_.engines_.Follow(context_.state_.Get());
  if (!context_.engines_.BeginSend(grant_)) {
    Explain("engine=" + grant_.engine_.Value() + " may no longer be used, queued again");
    context_.engines_.Release(grant_, {});
    push_(shared_from_this());
    return;
  }
  ++attempts_;
  body_.clear();
  firstByteAt_ = TimePoint();
  sentAt_ = context_.clock_.Now();
  if (attempts_ == 1) {
    context_.retries_.OnFirstAttempt(request_.promptTokens_ + request_.maxTokens_);
    context_.metrics_
      .GetHistogram("laburnumweir_start_wait_seconds", "workspace", admission_.workspace_.Value())
      .Record(sentAt_ - startedAt_);
  }
  sink_->Started();
  UpstreamRequest upstream;
  upstream.id_ = grant_.attempt_;
  upstream.method_ = request_.method_;
  upstream.target_ = request_.target_;
  upstream.headers_ = request_.headers_;
  upstream.body_ = request_.body_;
  upstream.adapter_ = request_.adapter_;
  upstream.stream_ = request_.stream_;
  upstream.priority_ = admission_.priority_;
  upstream.deadline_ = request_.deadline_;
  upstream.progressTimeout_ = kProgressTimeout;
  Explain("sent engine=" + grant_.engine_.Value() + " attempt=" + grant_.attempt_.Value());
  attempt_ = context_.engineClient_.Send(
    grant_.endpoint_, std::move(upstream), std::make_shared<Relay>(shared_from_this(), attempts_));
}

void
CompletionRequest::OnHead(int aStatus, HeaderList aHeaders)
{
  status_ = aStatus;
  headers_ = std::move(aHeaders);
}

HeaderList
CompletionRequest::AnswerHeaders() const
{
  HeaderList headers = headers_;
  headers.emplace_back("X-Served-Adapter", request_.adapter_.ToString());
  headers.emplace_back("X-Served-Upstream", grant_.engine_.Value());
  return headers;
}

void
CompletionRequest::OnData(std::string aBytes, std::function<void()> aContinue)
{
  if (firstByteAt_ == TimePoint()) {
    firstByteAt_ = context_.clock_.Now();
    context_.metrics_
      .GetHistogram("laburnumweir_first_token_seconds", "workspace", admission_.workspace_.Value())
      .Record(firstByteAt_ - startedAt_);
    context_.metrics_
      .GetHistogram(
        "laburnumweir_class_first_token_seconds", "class", admission_.class_.id_.Value())
      .Record(firstByteAt_ - startedAt_);
  }
  if (isDone_) {
    aContinue();
    return;
  }
  if (!request_.stream_) {
    body_ += aBytes;
    aContinue();
    return;
  }
  if (!hasBegun_) {
    hasBegun_ = true;
    sink_->Begin(status_, AnswerHeaders());
  }
  sink_->Chunk(std::move(aBytes), std::move(aContinue));
}

EngineFeedback
CompletionRequest::FeedbackOf(const AttemptResult& aResult) const
{
  EngineFeedback feedback;
  feedback.engineEpoch_ = aResult.engineEpoch_;
  feedback.sentAt_ = sentAt_;
  feedback.isCertain_ = !aResult.error_ || aResult.run_ != RunState::Unknown;
  if (!aResult.error_) {
    feedback.kind_ = EngineFeedback::Kind::Success;
    feedback.latency_ = firstByteAt_ - sentAt_;
  } else if (aResult.error_ == UpstreamError::AdapterMissing) {
    feedback.kind_ = EngineFeedback::Kind::Missing;
  } else if (aResult.error_ == UpstreamError::ConnectFailed ||
             aResult.error_ == UpstreamError::Overloaded ||
             aResult.error_ == UpstreamError::ConnectionLost ||
             aResult.error_ == UpstreamError::Silent || aResult.error_ == UpstreamError::Failed) {
    feedback.kind_ = EngineFeedback::Kind::Overload;
  }
  return feedback;
}

void
CompletionRequest::OnEnd(const AttemptResult& aResult)
{
  attempt_.reset();
  if (aResult.run_ == RunState::Ran) {
    spent_ += aResult.promptTokens_ + aResult.completionTokens_;
  } else if (aResult.run_ == RunState::Unknown) {
    // It is not known how far it ran, so the whole bound counts.
    spent_ += request_.promptTokens_ + request_.maxTokens_;
    mayHaveRun_ = true;
  }
  context_.engines_.Release(grant_, FeedbackOf(aResult));
  Explain("ended engine=" + grant_.engine_.Value() + " " +
          (aResult.error_ ? "error=" + aResult.error_.message() : "complete"));
  if (isDone_) {
    Finish();
    return;
  }
  if (aResult.error_) {
    RetryOrFail(aResult);
    return;
  }
  Succeed(aResult);
}

void
CompletionRequest::Succeed(const AttemptResult& aResult)
{
  isDone_ = true;
  if (request_.stream_ && status_ == 200) {
    if (!hasBegun_) {
      sink_->Begin(status_, AnswerHeaders());
    }
    sink_->End();
  } else {
    sink_->Complete(status_, AnswerHeaders(), std::move(body_));
  }
  context_.metrics_
    .GetCounter("laburnumweir_tokens_total", "workspace", admission_.workspace_.Value())
    .Add(static_cast<std::uint64_t>(aResult.promptTokens_ + aResult.completionTokens_));
  context_.metrics_
    .GetHistogram("laburnumweir_request_seconds", "workspace", admission_.workspace_.Value())
    .Record(context_.clock_.Now() - startedAt_);
  Finish();
}

void
CompletionRequest::RetryOrFail(const AttemptResult& aResult)
{
  RetryContext retry;
  // A completion has no effect besides its answer.
  retry.isIdempotent_ = true;
  retry.sentBytes_ = hasBegun_;
  retry.attempts_ = attempts_;
  retry.tokens_ = request_.promptTokens_ + request_.maxTokens_;
  retry.deadline_ = request_.deadline_;
  const RetryDecision decision = context_.retries_.Decide(retry, aResult);
  if (decision.denial_ != RetryDenial::None) {
    CallerError error = ErrorOf(aResult);
    if (error.run_ == RunState::NotRun) {
      error.run_ = WorstRun();
    }
    Fail(std::move(error));
    return;
  }
  if (decision.otherUpstream_) {
    avoid_.insert(grant_.engine_);
  }
  context_.metrics_.GetCounter("laburnumweir_retries_total").Add();
  Explain("retry");
  context_.scheduler_.After(decision.delay_, [self = shared_from_this()] {
    if (!self->isDone_) {
      self->push_(self);
    }
  });
}

void
CompletionRequest::Refuse(QueueRefusal aRefusal)
{
  SetTicket(0);
  CallerError error = ErrorOf(aRefusal);
  error.run_ = WorstRun();
  Fail(std::move(error));
}

void
CompletionRequest::Fail(CallerError aError)
{
  if (!isDone_) {
    isDone_ = true;
    context_.metrics_.GetCounter("laburnumweir_refusals_total", "code", aError.code_).Add();
    Explain("refused code=" + aError.code_ + " status=" + std::to_string(aError.status_) + " " +
            aError.message_);
    sink_->Fail(std::move(aError));
  }
  Finish();
}

void
CompletionRequest::Finish()
{
  if (isReserved_) {
    isReserved_ = false;
    context_.tokens_.Settle(reservation_, spent_);
  }
}

void
CompletionRequest::Cancel()
{
  if (isDone_) {
    return;
  }
  isDone_ = true;
  Explain("caller went away");
  if (attempt_) {
    // OnEnd() gives the slot back and settles the tokens.
    attempt_->Cancel();
    return;
  }
  if (ticket_ != 0) {
    context_.queue_.Cancel(ticket_);
    ticket_ = 0;
  }
  if (reservation_ != 0 && !isReserved_) {
    context_.tokens_.Cancel(reservation_);
  }
  Finish();
}

void
CompletionRequest::Explain(std::string aStep)
{
  context_.explain_.Add(request_.id_, std::move(aStep));
}

} // namespace laburnumweir
