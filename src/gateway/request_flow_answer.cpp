/** @file request_flow_answer.cpp Answers of upstreams, time limits, and the end of a request. */
#include "gateway/request_flow.h"

#include "logging/logging_func.h"
#include "table/flow_const.h"

#include <algorithm>
#include <array>

namespace laburnumweir {

namespace http = boost::beast::http;
using detail::Milliseconds;
using BoostError = boost::system::error_code;
using std::chrono::milliseconds;

void
RequestFlow::OnSending()
{
  // The process may have been suspended since the upstream was chosen.
  if (IsProofTooOld() || TimeLeft() <= Duration::zero()) {
    call_->Cancel();
    call_.reset();
    EndAttempt(AttemptHealth::Good);
    if (TimeLeft() <= Duration::zero()) {
      Reply(runs_ > 0 ? 504 : 503, "deadline_before_send", kDefaultRetryAfter);
    } else {
      Reply(runs_ > 0 ? 502 : 503, "configuration_not_proven", kDefaultRetryAfter);
    }
    return;
  }
  hasSent_ = true;
  ArmTimer();
}

HeadAction
RequestFlow::OnHead(unsigned aStatus,
                    std::string_view aReason,
                    const http::fields& aFields,
                    std::optional<std::uint64_t> aLength)
{
  const auto now = context_.clock_.Now();
  answerFacts_ = context_.codec_.ReadAnswer(aStatus, aFields);
  const auto& id = admitted_.facts_.id_;
  if (!answerFacts_.id_.IsEmpty() && answerFacts_.id_ != id) {
    LogEvent(LogLevel::Warn,
             "foreign_answer_skipped",
             { { "id", id.Value() },
               { "answer_id", answerFacts_.id_.Value() },
               { "upstream", upstream_.Value() } });
    return HeadAction::Skip;
  }
  firstByte_ = firstByte_.value_or(now);
  lastByte_ = now;
  const bool isOwn = id.IsEmpty() || answerFacts_.id_ == id;
  const bool isProper = answerFacts_.isSigned_ && isOwn && !aFields.count("Content-Encoding");
  if (answerFacts_.isNotRun_) {
    verdict_ = Verdict::NotRun;
  } else if (!isProper) {
    verdict_ = Verdict::Spoiled;
  } else {
    verdict_ = aStatus / 100 == 2 ? Verdict::Good : Verdict::Error;
  }
  if (answerFacts_.coldFor_) {
    context_.fleet_.Upstreams().OnCold(upstream_, *answerFacts_.coldFor_);
  }
  isStreaming_ = IsStream() && verdict_ == Verdict::Good;
  status_ = aStatus;
  if (!isBegun_) {
    reason_ = std::string(aReason);
    fields_ = aFields;
    length_ = aLength;
  }
  return HeadAction::Accept;
}

bool
RequestFlow::OnBody(std::string_view aBytes)
{
  const auto now = context_.clock_.Now();
  if (isBegun_) {
    longestPause_ = std::max(longestPause_, now - lastByte_);
  }
  lastByte_ = now;
  if (verdict_ == Verdict::NotRun || verdict_ == Verdict::Spoiled) {
    return true;
  }
  std::string whole;
  if (isStreaming_) {
    if (!events_.Add(aBytes, whole)) {
      verdict_ = Verdict::Spoiled;
      return true;
    }
  } else if (isBegun_) {
    whole = std::string(aBytes);
  } else {
    body_.append(aBytes);
    if (body_.size() > kHoldBytes && verdict_ == Verdict::Good) {
      whole = std::move(body_);
      body_.clear();
    }
  }
  if (whole.empty()) {
    return true;
  }
  if (!isBegun_) {
    isBegun_ = true;
    answer_->Begin(
      status_, reason_, fields_, isStreaming_ ? std::optional<std::uint64_t>() : length_);
  }
  answer_->Data(whole);
  if (answer_ && answer_->UnsentBytes() > kMaxUnsentBytes) {
    answer_->NotifyWhenSent([weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->call_) {
        self->lastByte_ = self->context_.clock_.Now();
        self->call_->Resume();
      }
    });
    return false;
  }
  return true;
}

void
RequestFlow::EndAttempt(AttemptHealth aHealth)
{
  const auto firstByte = firstByte_ ? *firstByte_ - sent_ : Duration::zero();
  context_.fleet_.Upstreams().OnEnded(upstream_, aHealth, firstByte);
  if (!admitted_.facts_.adapter_.empty()) {
    context_.release_({ upstream_, admitted_.facts_.model_, admitted_.facts_.adapter_ });
  }
  if (aHealth == AttemptHealth::Unreachable) {
    context_.link_.DropIdle(endpoint_);
  }
  context_.pump_();
}

void
RequestFlow::OnEnd(CallEnd aEnd)
{
  const auto self = shared_from_this();
  call_.reset();
  if (!answer_) {
    // The caller left while a request that may not be broken off was running.
    EndAttempt(aEnd == CallEnd::Complete ? AttemptHealth::Good : AttemptHealth::Failed);
    Finish(0, "caller_gone");
    return;
  }
  if (aEnd == CallEnd::NotSent || !hasSent_) {
    EndAttempt(AttemptHealth::Unreachable);
    failed_.insert(upstream_);
    OnNotRun("no_connection");
    return;
  }
  if (verdict_ == Verdict::NotRun && (aEnd == CallEnd::Complete || status_ == 421)) {
    EndAttempt(answerFacts_.isMisdirected_ ? AttemptHealth::Good : AttemptHealth::Busy);
    OnNotRun(answerFacts_.isMisdirected_ ? "misdirected" : "refused_by_upstream");
    return;
  }
  const bool isWhole = aEnd == CallEnd::Complete && !events_.HasPart();
  if (isWhole && verdict_ == Verdict::Good) {
    EndAttempt(AttemptHealth::Good);
    PassOn();
  } else if (isWhole && verdict_ == Verdict::Error) {
    const bool isFailure = status_ / 100 == 5;
    EndAttempt(isFailure ? AttemptHealth::Failed : AttemptHealth::Good);
    if (isBegun_ || (isFailure && MayRepeat())) {
      OnFailed("upstream_error");
    } else {
      PassOn();
    }
  } else {
    // A connection that ends before any byte may be the end of the upstream itself.
    EndAttempt(verdict_ == Verdict::None && aEnd == CallEnd::Lost ? AttemptHealth::Unreachable
                                                                  : AttemptHealth::Failed);
    OnFailed(verdict_ == Verdict::Spoiled ? "answer_not_genuine"
             : aEnd == CallEnd::Malformed ? "answer_malformed"
                                          : "answer_cut");
  }
}

void
RequestFlow::OnNotRun(std::string_view aWhy)
{
  auto& upstreams = context_.fleet_.Upstreams();
  const auto& facts = admitted_.facts_;
  if (answerFacts_.isMisdirected_ && hasSent_) {
    if (!answerFacts_.upstream_.IsEmpty() && answerFacts_.upstream_ != upstream_) {
      upstreams.OnMisdirected(upstream_);
    } else {
      upstreams.OnLacking(upstream_, facts.model_, facts.adapter_);
    }
  }
  LogEvent(LogLevel::Info,
           "attempt_not_run",
           { { "id", facts.id_.Value() },
             { "upstream", upstream_.Value() },
             { "reason", std::string(aWhy) },
             { "status", std::to_string(hasSent_ ? status_ : 0) },
             { "attempt", std::to_string(attempts_) } });
  if (hasSent_) {
    const auto doublings = std::min<std::uint32_t>(attempts_ - 1, kMaxRefusalDoublings);
    refusedUntil_[upstream_] = context_.clock_.Now() + kFirstRefusalPause * (1 << doublings);
  }
  if (TimeLeft() <= kLeastAnswerTime || (hasSent_ && !MayTryAgain(false))) {
    Reply(runs_ > 0 ? 502 : 503, aWhy, RetryDelay());
    return;
  }
  if (!TryStart() && answer_) {
    Wait();
  }
  ArmTimer();
}

bool
RequestFlow::MayTryAgain(bool aHasRun)
{
  if (TimeLeft() <= kLeastAnswerTime || (aHasRun && runs_ >= admitted_.route_->maxUpstreams_)) {
    return false;
  }
  return context_.retries_.TakeRetry(admitted_.service_);
}

void
RequestFlow::OnFailed(std::string_view aWhy)
{
  ++runs_;
  failed_.insert(upstream_);
  LogEvent(LogLevel::Info,
           "attempt_failed",
           { { "id", admitted_.facts_.id_.Value() },
             { "upstream", upstream_.Value() },
             { "reason", std::string(aWhy) },
             { "attempt", std::to_string(attempts_) },
             { "status", std::to_string(verdict_ == Verdict::None ? 0 : status_) },
             { "events", std::to_string(events_.Events()) } });
  const bool canResume = !isBegun_ || (isStreaming_ && !events_.LastId().empty());
  const bool isErrorOfUpstream = verdict_ == Verdict::Error && !isBegun_;
  if (MayRepeat() && canResume && MayTryAgain(true)) {
    events_.DropPart();
    if (!TryStart() && answer_) {
      Wait();
    }
    ArmTimer();
  } else if (isErrorOfUpstream) {
    PassOn();
  } else {
    Reply(502, aWhy, std::nullopt);
  }
}

void
RequestFlow::PassOn()
{
  if (!isBegun_) {
    answer_->Begin(status_, reason_, fields_, body_.size());
    answer_->Data(body_);
  }
  answer_->End();
  Finish(status_, "answered");
}

void
RequestFlow::OnGone()
{
  answer_.reset();
  LeaveQueue(false);
  if (call_ && (admitted_.route_->repeat_ != RepeatRule::Once || !hasSent_)) {
    call_->Cancel();
    call_.reset();
    EndAttempt(AttemptHealth::Good);
  }
  if (!call_) {
    Finish(0, "caller_gone");
  }
}

void
RequestFlow::ArmTimer()
{
  if (!answer_) {
    timer_.cancel();
    return;
  }
  const auto now = context_.clock_.Now();
  auto next = deadline_;
  if (call_) {
    next += kDeadlineGrace;
    if (!hasSent_) {
      next = std::min(next, sent_ + kConnectLimit);
    } else if (!firstByte_ && !isSilenceNoted_) {
      next = std::min<TimePoint>(
        next,
        sent_ +
          std::max<Duration>(kSilentTargets * admitted_.route_->targetLatency_, kLeastSilence));
    } else if (isStreaming_ && MayRepeat()) {
      next = std::min<TimePoint>(
        next,
        lastByte_ +
          std::max<Duration>(kSilentPauses * admitted_.route_->targetPause_, kLeastStreamSilence));
    }
  }
  timer_.expires_after(std::max<Duration>(next - now, milliseconds(1)));
  timer_.async_wait([weak = weak_from_this()](BoostError aError) {
    const auto self = weak.lock();
    if (!aError && self) {
      self->OnTimer();
    }
  });
}

void
RequestFlow::OnTimer()
{
  if (!answer_) {
    return;
  }
  const auto now = context_.clock_.Now();
  if (now >= deadline_ + (call_ ? kDeadlineGrace : Duration::zero())) {
    if (call_) {
      const bool mayHaveRun = hasSent_;
      call_->Cancel();
      call_.reset();
      EndAttempt(firstByte_ ? AttemptHealth::Good : AttemptHealth::Unreachable);
      runs_ += mayHaveRun ? 1 : 0;
    }
    Reply(runs_ > 0 ? 504 : 503, "deadline", std::nullopt);
    return;
  }
  if (call_ && !hasSent_ && now - sent_ >= kConnectLimit) {
    call_->Cancel();
    call_.reset();
    EndAttempt(AttemptHealth::Unreachable);
    failed_.insert(upstream_);
    OnNotRun("connect_timeout");
    return;
  }
  if (call_ && hasSent_) {
    OnSilence();
  }
  ArmTimer();
}

void
RequestFlow::OnSilence()
{
  const auto now = context_.clock_.Now();
  const auto& route = *admitted_.route_;
  const Duration firstLimit =
    std::max<Duration>(kSilentTargets * route.targetLatency_, kLeastSilence);
  const Duration pauseLimit =
    std::max<Duration>(kSilentPauses * route.targetPause_, kLeastStreamSilence);
  const bool isSilent = firstByte_ ? isStreaming_ && MayRepeat() && now - lastByte_ >= pauseLimit
                                   : !isSilenceNoted_ && now - sent_ >= firstLimit;
  if (!isSilent) {
    return;
  }
  isSilenceNoted_ = true;
  if (!MayRepeat() || runs_ + 1 >= route.maxUpstreams_) {
    LogEvent(LogLevel::Info,
             "upstream_silent",
             { { "id", admitted_.facts_.id_.Value() },
               { "upstream", upstream_.Value() },
               { "since_ms", std::to_string(Milliseconds(now - sent_)) } });
    return;
  }
  call_->Cancel();
  call_.reset();
  EndAttempt(AttemptHealth::Unreachable);
  OnFailed("silent");
}

/** Ends the request with an answer of this host's own, or cuts a stream that has begun. */
void
RequestFlow::Reply(unsigned aStatus, std::string_view aWhy, std::optional<Duration> aRetryAfter)
{
  LeaveQueue(false);
  if (isBegun_) {
    // The caller has a part of a stream; only a cut connection says that the rest is missing.
    answer_->Abort();
    Finish(0, aWhy);
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
  const std::string body = std::string(aWhy) + "\n";
  answer_->Begin(aStatus, {}, fields, body.size());
  answer_->Data(body);
  answer_->End();
  Finish(aStatus, aWhy);
}

void
RequestFlow::Finish(unsigned aStatus, std::string_view aWhy)
{
  LeaveQueue(false);
  timer_.cancel();
  const auto took = context_.clock_.Now() - admitted_.arrived_;
  const bool hasRun = runs_ > 0 || aWhy == "answered" || (aWhy == "caller_gone" && hasSent_);
  if (!hasRun && admitted_.workspace_ != nullptr) {
    context_.quota_.Return(admitted_.workspace_->id_, admitted_.tokens_);
  }
  LogEvent(
    LogLevel::Info,
    "request_done",
    { { "id", admitted_.facts_.id_.Value() },
      { "route", admitted_.route_->name_ },
      { "workspace", admitted_.workspace_ == nullptr ? "" : admitted_.workspace_->id_.Value() },
      { "outcome", std::string(aWhy) },
      { "status", std::to_string(aStatus) },
      { "upstream", attempts_ > 0 ? upstream_.Value() : "" },
      { "attempts", std::to_string(attempts_) },
      { "events", std::to_string(events_.Events()) },
      { "first_byte_ms",
        firstByte_ ? std::to_string(Milliseconds(*firstByte_ - admitted_.arrived_)) : "" },
      { "longest_pause_ms", std::to_string(Milliseconds(longestPause_)) },
      { "took_ms", std::to_string(Milliseconds(took)) } });
  context_.metrics_.GetCounter("laburnumweir_gateway_requests_total", "outcome", aWhy).Add();
  context_.metrics_.GetHistogram("laburnumweir_gateway_request_seconds").Record(took);
  answer_.reset();
}

} // namespace laburnumweir
