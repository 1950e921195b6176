/** @file request_flow_end.cpp End of a request: its answer, or the departure of its caller. */
#include "gateway/request_flow.h"

#include "logging/logging_func.h"

#include <array>
#include <cstdio>

namespace laburnumweir {

namespace http = boost::beast::http;
using detail::Milliseconds;

void
RequestFlow::ForwardAnswer()
{
  if (!isBegun_) {
    RecordServed();
    answer_->Begin(status_, reason_, fields_, body_.size());
    answer_->Data(body_);
  }
  answer_->End();
  Finish(status_, "answered");
}

void
RequestFlow::OnCallerGone()
{
  answer_.reset();
  LeaveQueue(false);
  DropHedge(AttemptHealth::Silent);
  if (call_ && (admitted_.route_->repeat_ != RepeatRule::Once || !attempt_.hasSent_)) {
    call_->Cancel();
    call_.reset();
    EndAttempt(isSilenceHandled_ ? AttemptHealth::Silent : AttemptHealth::Good);
  }
  if (!call_) {
    Finish(0, "caller_gone");
  } else {
    ArmTimer();
  }
}

void
RequestFlow::OnStopping()
{
  if (!answer_ || isBegun_) {
    return;
  }
  DropHedge(AttemptHealth::Silent);
  if (call_) {
    if (attempt_.hasSent_) {
      ranAt_.insert(attempt_.upstream_);
    }
    call_->Cancel();
    call_.reset();
    EndAttempt(AttemptHealth::Good);
  }
  Reply(HasRun() ? 502 : 503, "stopping", std::chrono::milliseconds(0));
}

/**
 * Ends the request with an answer of this host, or aborts the connection if the head of an answer
 * was already sent.
 * @param aStatus 503 and 401 say that the request did not run; 502 and 504 that it may have run.
 * @param aReason body of the answer and outcome in the log and the metrics.
 * @param aRetryAfter sent as Retry-After with status 503; none for no such field.
 */
void
RequestFlow::Reply(unsigned aStatus, std::string_view aReason, std::optional<Duration> aRetryAfter)
{
  LeaveQueue(false);
  if (isBegun_) {
    // The caller has received a part of the answer; only an aborted connection shows that the rest
    // is missing.
    answer_->Abort();
    Finish(0, aReason);
    return;
  }
  http::fields fields;
  fields.set(http::field::content_type, "text/plain");
  if (aRetryAfter && aStatus == 503) {
    std::array<char, 32> text{};
    std::snprintf(
      text.data(), text.size(), "%.3f", std::chrono::duration<double>(*aRetryAfter).count());
    fields.set(http::field::retry_after, text.data());
  }
  context_.codec_.MarkOwnAnswer(fields, admitted_.facts_.id_);
  const std::string body = std::string(aReason) + "\n";
  answer_->Begin(aStatus, {}, fields, body.size());
  answer_->Data(body);
  answer_->End();
  Finish(aStatus, aReason);
}

void
RequestFlow::Finish(unsigned aStatus, std::string_view aReason)
{
  LeaveQueue(false);
  DropHedge(AttemptHealth::Silent);
  timer_.cancel();
  const auto elapsed = context_.clock_.Now() - admitted_.arrived_;
  const bool hasRun =
    HasRun() || aReason == "answered" || (aReason == "caller_gone" && attempt_.hasSent_);
  if (!hasRun && admitted_.workspace_ != nullptr) {
    context_.quota_.Return(admitted_.workspace_->id_, admitted_.tokens_);
  }
  LogEvent(
    LogLevel::Info,
    "request_done",
    { { "id", admitted_.facts_.id_.Value() },
      { "route", admitted_.route_->name_ },
      { "workspace", admitted_.workspace_ == nullptr ? "" : admitted_.workspace_->id_.Value() },
      { "outcome", std::string(aReason) },
      { "status", std::to_string(aStatus) },
      { "upstream", attempts_ > 0 ? attempt_.upstream_.Value() : "" },
      { "attempts", std::to_string(attempts_) },
      { "events", std::to_string(events_.Events()) },
      { "first_byte_ms",
        firstByte_ ? std::to_string(Milliseconds(*firstByte_ - admitted_.arrived_)) : "" },
      { "longest_pause_ms", std::to_string(Milliseconds(longestPause_)) },
      { "took_ms", std::to_string(Milliseconds(elapsed)) } });
  context_.metrics_.GetCounter("laburnumweir_gateway_requests_total", "outcome", aReason).Add();
  context_.metrics_.GetHistogram("laburnumweir_gateway_request_seconds").Record(elapsed);
  answer_.reset();
}

} // namespace laburnumweir
