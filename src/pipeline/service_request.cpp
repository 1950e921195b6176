/** @file service_request.cpp A request to a plain service on its way through the host. */
#include "pipeline/service_request.h"

#include "once/once_record_func.h"

#include <algorithm>

namespace laburnumweir {

namespace {

using namespace std::chrono_literals;

constexpr Duration kProgressTimeout = 10s;
// A plain service generates no tokens; one token lets the rate limit its calls.
constexpr TokenCount kServiceTokens = 1;
// While the log is down the caller gets its answer after this time, although a second try would
// not.
constexpr Duration kStoreLimit = 1s;
// Answers of never-repeat routes are held back until their end, so that a second try can get them.
constexpr std::size_t kMaxHeldBody = 4U << 20;

bool
IsSafeMethod(std::string_view aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "OPTIONS";
}

} // namespace

/** Brings the calls of the upstream client to the strand of the pipeline. */
class ServiceRequest::Relay : public UpstreamSink
{
public:
  Relay(std::shared_ptr<ServiceRequest> aOwner, std::uint32_t aAttempt)
    : owner_(std::move(aOwner))
    , number_(aAttempt)
  {
  }

  void OnHead(int aStatus, HeaderList aHeaders) override
  {
    Post([aStatus, headers = std::move(aHeaders)](ServiceRequest& aRequest) mutable {
      aRequest.OnHead(aStatus, std::move(headers));
    });
  }

  void OnData(std::string aBytes, std::function<void()> aContinue) override
  {
    Post([bytes = std::move(aBytes), aContinue](ServiceRequest& aRequest) mutable {
      aRequest.OnData(std::move(bytes), aContinue);
    });
  }

  void OnEnd(const AttemptResult& aResult) override
  {
    Post([aResult](ServiceRequest& aRequest) { aRequest.OnEnd(aResult); });
  }

private:
  template<typename Task>
  void Post(Task aTask)
  {
    owner_->context_.scheduler_.Post(
      [owner = owner_, number = number_, task = std::move(aTask)]() mutable {
        if (owner->attempts_ == number) {
          task(*owner);
        }
      });
  }

  std::shared_ptr<ServiceRequest> owner_; ///< The request.
  std::uint32_t number_;                  ///< Number of the attempt.
};

ServiceRequest::ServiceRequest(PipelineContext& aContext,
                               ServiceBalancer& aBalancer,
                               CallerRequest aRequest,
                               std::shared_ptr<ResponseSink> aSink)
  : context_(aContext)
  , balancer_(aBalancer)
  , request_(std::move(aRequest))
  , sink_(std::move(aSink))
  , startedAt_(aContext.clock_.Now())
{
}

void
ServiceRequest::Start()
{
  if (!FindRouteRule()) {
    return;
  }
  CallerError error;
  if (!Admit(*context_.state_.Get(),
             request_,
             route_.class_,
             context_.clock_.Now(),
             context_.clock_.WallNow(),
             admission_,
             error)) {
    Fail(std::move(error));
    return;
  }
  Explain("admitted workspace=" + admission_.workspace_.Value() + " route=" + route_.prefix_);
  if (!TestNeverRepeat()) {
    return;
  }
  context_.metrics_
    .GetCounter("laburnumweir_requests_total", "workspace", admission_.workspace_.Value())
    .Add();
  if (admission_.workspace_.IsEmpty()) {
    Send();
    return;
  }
  reservation_ = context_.tokens_.Reserve(
    admission_.workspace_,
    kServiceTokens,
    [self = shared_from_this()](const LocalReservation& aResult) { self->OnTokens(aResult); });
}

bool
ServiceRequest::FindRouteRule()
{
  const auto state = context_.state_.Get();
  if (!state->MayAdmit(context_.clock_.Now())) {
    Refuse(503, "not_ready", "this host has no fresh configuration");
    return false;
  }
  const RouteRule* route = FindRoute(*state->config_->Rules(), request_.target_);
  if (route == nullptr) {
    Refuse(404, "route_not_found", "no rule routes this path");
    return false;
  }
  route_ = *route;
  return true;
}

bool
ServiceRequest::TestNeverRepeat()
{
  if (!route_.neverRepeat_ || IsSafeMethod(request_.method_)) {
    return true;
  }
  if (request_.idempotencyKey_.empty()) {
    Refuse(400, "idempotency_key_missing", "this route needs the header Idempotency-Key");
    return false;
  }
  isOnce_ = true;
  onceKey_ = MakeOnceKey(admission_.workspace_, request_.idempotencyKey_);
  return true;
}

void
ServiceRequest::OnTokens(const LocalReservation& aReservation)
{
  reservation_ = aReservation.id_;
  if (aReservation.status_ == ReserveStatus::Refused) {
    Fail(ErrorOf(aReservation));
    return;
  }
  isReserved_ = true;
  if (isDone_) {
    Finish();
  } else if (isOnce_) {
    AskForPermit();
  } else {
    Send();
  }
}

void
ServiceRequest::AskForPermit()
{
  onceTicket_ = context_.once_.Start(
    onceKey_,
    MakeRequestDigest(request_.method_, request_.target_, request_.body_),
    [self = shared_from_this()](OnceVerdict aVerdict) { self->OnVerdict(std::move(aVerdict)); });
}

void
ServiceRequest::OnVerdict(OnceVerdict aVerdict)
{
  onceTicket_ = 0;
  switch (aVerdict.decision_) {
    case OnceDecision::Permit:
      permit_ = std::move(aVerdict.permit_);
      Explain("permit attempt=" + permit_.Attempt().Value());
      if (isDone_) {
        GivePermitBack();
        Finish();
        return;
      }
      Send();
      return;
    case OnceDecision::Replay:
      Replay(std::move(aVerdict));
      return;
    case OnceDecision::OtherRequest:
      Refuse(422, "idempotency_key_reused", "the idempotency key was used for another request");
      return;
    case OnceDecision::Unknown:
    case OnceDecision::AlreadyPermitted: {
      CallerError error;
      error.status_ = 409;
      error.code_ = "outcome_unknown";
      error.message_ = "a request with this idempotency key may have run; its outcome is not known";
      error.run_ = RunState::Unknown;
      Fail(std::move(error));
      return;
    }
    default:
      Refuse(503, "once_unavailable", "leave to run once was not given: " + aVerdict.message_);
      return;
  }
}

void
ServiceRequest::Replay(OnceVerdict aVerdict)
{
  Explain("answered with the recorded outcome");
  if (isDone_) {
    Finish();
    return;
  }
  if (!aVerdict.outcome_.isBodyKept_) {
    CallerError error;
    error.status_ = 409;
    error.code_ = "outcome_not_kept";
    error.message_ = "the request ran before with status " +
                     std::to_string(aVerdict.outcome_.status_) +
                     "; its answer was too large to keep";
    error.run_ = RunState::Ran;
    Fail(std::move(error));
    return;
  }
  isDone_ = true;
  HeaderList headers = std::move(aVerdict.outcome_.headers_);
  headers.emplace_back("Idempotent-Replayed", "true");
  sink_->Complete(
    aVerdict.outcome_.status_, std::move(headers), std::move(aVerdict.outcome_.body_));
  Finish();
}

bool
ServiceRequest::CheckBeforeSend()
{
  CallerError error;
  Admission now;
  const auto state = context_.state_.Get();
  if (!Admit(*state,
             request_,
             route_.class_,
             context_.clock_.Now(),
             context_.clock_.WallNow(),
             now,
             error)) {
    GivePermitBack();
    error.run_ = mayHaveRun_ ? RunState::Unknown : RunState::NotRun;
    Fail(std::move(error));
    return false;
  }
  const auto upstream = balancer_.Choose(*state->config_->Rules(), route_.service_, avoid_);
  if (!upstream) {
    GivePermitBack();
    Refuse(503, "no_upstream", "no upstream of the service is in service");
    return false;
  }
  upstream_ = *upstream;
  if (isOnce_ && !permit_.Use(context_.clock_, context_.incarnation_)) {
    GivePermitBack();
    Refuse(503, "permit_expired", "the permit to run once ended before the request was sent");
    return false;
  }
  return true;
}

void
ServiceRequest::Send()
{
  if (!CheckBeforeSend()) {
    return;
  }
  ++attempts_;
  if (attempts_ == 1) {
    context_.retries_.OnFirstAttempt(kServiceTokens);
  }
  sink_->Started();
  UpstreamRequest upstream;
  upstream.id_ = RequestId(request_.id_.Value() + "." + context_.self_.Value() + "-" +
                           std::to_string(context_.incarnation_) + "-" +
                           std::to_string(++context_.lastAttempt_));
  upstream.method_ = request_.method_;
  upstream.target_ = request_.target_;
  upstream.headers_ = request_.headers_;
  if (isOnce_) {
    upstream.headers_.emplace_back("Idempotency-Key", request_.idempotencyKey_);
  }
  upstream.body_ = request_.body_;
  upstream.deadline_ = request_.deadline_;
  upstream.progressTimeout_ = kProgressTimeout;
  balancer_.OnSent(upstream_.id_);
  Explain("sent upstream=" + upstream_.id_.Value());
  attempt_ = context_.serviceClient_.Send({ upstream_.address_, upstream_.port_ },
                                          std::move(upstream),
                                          std::make_shared<Relay>(shared_from_this(), attempts_));
}

void
ServiceRequest::OnHead(int aStatus, HeaderList aHeaders)
{
  status_ = aStatus;
  headers_ = std::move(aHeaders);
  headers_.emplace_back("X-Served-Upstream", upstream_.id_.Value());
}

void
ServiceRequest::OnData(std::string aBytes, std::function<void()> aContinue)
{
  if (isOnce_ && !hasBegun_ && body_.size() + aBytes.size() <= kMaxHeldBody) {
    body_ += aBytes;
    aContinue();
    return;
  }
  if (isDone_) {
    aContinue();
    return;
  }
  if (!hasBegun_) {
    hasBegun_ = true;
    sink_->Begin(status_, headers_);
    aBytes.insert(0, body_);
  }
  sink_->Chunk(std::move(aBytes), std::move(aContinue));
}

void
ServiceRequest::OnEnd(const AttemptResult& aResult)
{
  attempt_.reset();
  mayHaveRun_ = mayHaveRun_ || aResult.run_ == RunState::Unknown;
  balancer_.OnEnd(upstream_.id_, !aResult.error_ || aResult.error_ == UpstreamError::Cancelled);
  Explain(
    "ended upstream=" + upstream_.id_.Value() + " " +
    (aResult.error_ ? "error=" + aResult.error_.message() : "status=" + std::to_string(status_)));
  if (isOnce_ && !aResult.error_) {
    StoreOutcome();
    return;
  }
  if (isOnce_ && aResult.run_ == RunState::NotRun) {
    context_.once_.Finish(onceKey_, permit_.Attempt(), std::nullopt);
  }
  if (isDone_) {
    Finish();
  } else if (aResult.error_) {
    // A once request that may have run gets no outcome: it stays unknown.
    RetryOrFail(aResult);
  } else {
    Succeed();
  }
}

void
ServiceRequest::StoreOutcome()
{
  // The caller hears of the answer once it is in the log, so that a second try finds it there.
  const auto self = shared_from_this();
  const auto succeed = [self] {
    if (self->isDone_) {
      self->Finish();
    } else {
      self->Succeed();
    }
  };
  context_.once_.Finish(
    onceKey_, permit_.Attempt(), OnceOutcome{ status_, headers_, body_, !hasBegun_ }, succeed);
  context_.scheduler_.After(kStoreLimit, succeed);
}

void
ServiceRequest::GivePermitBack()
{
  if (isOnce_ && !permit_.Attempt().IsEmpty() && attempts_ == 0) {
    context_.once_.Finish(onceKey_, permit_.Attempt(), std::nullopt);
  }
}

void
ServiceRequest::Succeed()
{
  isDone_ = true;
  if (hasBegun_) {
    sink_->End();
  } else {
    sink_->Complete(status_, headers_, std::move(body_));
  }
  context_.metrics_
    .GetHistogram("laburnumweir_request_seconds", "workspace", admission_.workspace_.Value())
    .Record(context_.clock_.Now() - startedAt_);
  Finish();
}

void
ServiceRequest::RetryOrFail(const AttemptResult& aResult)
{
  RetryContext retry;
  retry.isIdempotent_ = !route_.neverRepeat_;
  retry.sentBytes_ = hasBegun_;
  retry.attempts_ = attempts_;
  retry.tokens_ = kServiceTokens;
  retry.deadline_ = request_.deadline_;
  // The permit of a once request is spent with its attempt; the caller tries again with its key.
  if (!route_.neverRepeat_) {
    const RetryDecision decision = context_.retries_.Decide(retry, aResult);
    if (decision.denial_ == RetryDenial::None) {
      avoid_.insert(upstream_.id_);
      context_.metrics_.GetCounter("laburnumweir_retries_total").Add();
      Explain("retry");
      context_.scheduler_.After(decision.delay_, [self = shared_from_this()] {
        if (!self->isDone_) {
          self->Send();
        }
      });
      return;
    }
  }
  CallerError error = ErrorOf(aResult);
  if (mayHaveRun_) {
    error.run_ = RunState::Unknown;
  }
  Fail(std::move(error));
}

void
ServiceRequest::Refuse(int aStatus, std::string aCode, std::string aMessage)
{
  CallerError error;
  error.status_ = aStatus;
  error.code_ = std::move(aCode);
  error.message_ = std::move(aMessage);
  error.run_ = mayHaveRun_ ? RunState::Unknown : RunState::NotRun;
  if (aStatus == 503) {
    error.retryAfter_ = 1s;
  }
  Fail(std::move(error));
}

void
ServiceRequest::Fail(CallerError aError)
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
ServiceRequest::Finish()
{
  if (isReserved_) {
    isReserved_ = false;
    context_.tokens_.Settle(reservation_, attempts_ > 0 ? kServiceTokens : 0);
  }
}

void
ServiceRequest::Cancel()
{
  if (isDone_) {
    return;
  }
  isDone_ = true;
  Explain("caller went away");
  if (attempt_) {
    // A request that may not be repeated runs on, so that its outcome is recorded for a second try.
    if (!isOnce_) {
      attempt_->Cancel();
    }
    return;
  }
  if (onceTicket_ != 0) {
    context_.once_.Cancel(onceTicket_);
    onceTicket_ = 0;
  }
  if (reservation_ != 0 && !isReserved_) {
    context_.tokens_.Cancel(reservation_);
  }
  Finish();
}

void
ServiceRequest::Explain(std::string aStep)
{
  context_.explain_.Add(request_.id_, std::move(aStep));
}

} // namespace laburnumweir
