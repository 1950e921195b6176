/** @file request_flow_answer.cpp Answers of upstreams, and attempts that end. */
#include "gateway/request_flow.h"

#include "gateway/request_flow_hedge.h"
#include "http/header_func.h"
#include "logging/logging_func.h"
#include "table/flow_const.h"
#include "table/quarantine_const.h"

#include <algorithm>
#include <array>
#include <utility>

namespace laburnumweir {

namespace http = boost::beast::http;
using detail::Milliseconds;
using BoostError = boost::system::error_code;
using std::chrono::milliseconds;

namespace {

/** @return the Content-Type without its parameters, in lower case; empty if there is none. */
std::string
MediaType(const http::fields& aFields)
{
  const auto value = aFields[http::field::content_type];
  const std::string_view text(value.data(), value.size());
  const auto type = text.substr(0, text.find(';'));
  return ToLower(type.substr(0, type.find_last_not_of(" \t") + 1));
}

/** @return whether callers take the status as a statement that the request was not run. */
bool
IsRefusalStatus(unsigned aStatus)
{
  return aStatus == unsigned(http::status::service_unavailable) ||
         aStatus == unsigned(http::status::too_many_requests) ||
         aStatus == unsigned(http::status::request_timeout);
}

} // namespace

void
RequestFlow::OnSending()
{
  // Checks again: the process may have been suspended since the upstream was chosen.
  if (IsConfigTooOld() || TimeLeft() <= Duration::zero()) {
    call_->Cancel();
    call_.reset();
    EndAttempt(AttemptHealth::Good);
    if (isBegun_ && TimeLeft() > Duration::zero()) {
      OnNotRun("configuration_not_proven"); // the store may confirm the configuration in time
    } else if (TimeLeft() <= Duration::zero()) {
      Reply(HasRun() ? 504 : 503, "deadline_before_send", kDefaultRetryAfter);
    } else {
      Reply(HasRun() ? 502 : 503, "configuration_not_proven", kDefaultRetryAfter);
    }
    return;
  }
  const auto* upstream = context_.fleet_.Upstreams().Find(attempt_.upstream_);
  // It may have left or asked for a pause, or its data centre may have been evacuated, while the
  // connection was established.
  const bool hasLeft = upstream == nullptr || !context_.fleet_.Upstreams().IsUsable(*upstream);
  if (hasLeft || IsVersionTooOld(attempt_)) {
    call_->Cancel();
    call_.reset();
    EndAttempt(AttemptHealth::Good);
    OnNotRun(hasLeft ? "upstream_left" : "old_version_not_begun");
    return;
  }
  attempt_.hasSent_ = true;
  sentTo_.insert(attempt_.endpoint_);
  ArmTimer();
}

RequestFlow::AnswerHead
RequestFlow::ReadHead(const UpstreamAttempt& aAttempt,
                      const UpstreamCall& aCall,
                      unsigned aStatus,
                      const http::fields& aFields)
{
  AnswerHead head;
  head.facts_ = context_.codec_.ReadAnswer(aStatus, aFields);
  const auto& facts = head.facts_;
  const auto& id = admitted_.facts_.id_;
  if (!facts.id_.IsEmpty() && facts.id_ != id) {
    LogEvent(LogLevel::Warn,
             "foreign_answer_skipped",
             { { "id", id.Value() },
               { "answer_id", facts.id_.Value() },
               { "upstream", aAttempt.upstream_.Value() } });
    head.isForeign_ = true;
    return head;
  }
  const bool isForThisRequest = id.IsEmpty() || facts.id_ == id;
  const bool isGenuine = facts.isSigned_ && isForThisRequest && !aFields.count("Content-Encoding");
  // A refusal without an id may be a late copy of one for an earlier request on the connection.
  const bool isProvenRefusal = facts.isNotRun_ && (isForThisRequest || !aCall.IsOnKeptConnection());
  if (isProvenRefusal) {
    head.class_ = AnswerClass::NotRun;
  } else if (!isGenuine) {
    head.class_ = AnswerClass::Invalid;
  } else {
    head.class_ = aStatus / 100 == 2 ? AnswerClass::Valid : AnswerClass::Error;
  }
  const bool isContinuation =
    aStatus == unsigned(http::status::ok) && MediaType(aFields) == MediaType(fields_);
  if (isBegun_ && head.class_ == AnswerClass::Valid && !isContinuation) {
    head.class_ = AnswerClass::Invalid;
  }
  auto& upstreams = context_.fleet_.Upstreams();
  if (facts.coldTimeLeft_) {
    upstreams.OnColdTime(aAttempt.upstream_, aAttempt.startedAt_, *facts.coldTimeLeft_);
  }
  if (isGenuine || isProvenRefusal) {
    upstreams.OnRequestLimit(aAttempt.upstream_, aAttempt.startedAt_, facts.requestLimit_);
  }
  // After a restart, another upstream may refuse the request at the same address.
  const bool isOfUpstream = facts.upstream_.IsEmpty() || facts.upstream_ == aAttempt.upstream_;
  if ((isGenuine || isProvenRefusal) && isOfUpstream) {
    if (facts.isLeaving_) {
      upstreams.OnLeaving(aAttempt.upstream_, aAttempt.startedAt_);
    }
    if (facts.pause_) {
      upstreams.OnPause(aAttempt.upstream_, aAttempt.startedAt_, *facts.pause_);
    }
  }
  return head;
}

HeadAction
RequestFlow::OnHead(unsigned aStatus,
                    std::string_view aReason,
                    const http::fields& aFields,
                    std::optional<std::uint64_t> aLength)
{
  const auto now = context_.clock_.Now();
  const auto head = ReadHead(attempt_, *call_, aStatus, aFields);
  answerFacts_ = head.facts_;
  if (head.isForeign_) {
    return HeadAction::Skip;
  }
  firstByte_ = firstByte_.value_or(now);
  lastByte_ = now;
  lastEvent_ = now;
  answerClass_ = head.class_;
  isStreaming_ = IsStream() && answerClass_ == AnswerClass::Valid;
  if (answerClass_ == AnswerClass::Error || (answerClass_ == AnswerClass::Valid && !isStreaming_)) {
    CountBegun(attempt_);
  }
  if (hedge_ && answerClass_ == AnswerClass::Valid && !isStreaming_) {
    DropHedge(AttemptHealth::Silent);
  }
  status_ = aStatus;
  if (!isBegun_) {
    reason_ = std::string(aReason);
    fields_ = aFields;
    length_ = aLength;
  }
  if (!answer_) {
    return HeadAction::Discard; // the caller left while a request that must not be cancelled ran
  }
  switch (answerClass_) {
    case AnswerClass::Invalid:
      return HeadAction::Reject;
    case AnswerClass::NotRun:
      // The caller may send the request again with the same id, and a copy of the refusal must not
      // end it.
      return MayRepeat() ? HeadAction::Discard : HeadAction::DiscardAndClose;
    case AnswerClass::Error:
      // The caller has received a part of another answer, which an error cannot continue.
      return isBegun_                   ? HeadAction::Reject
             : IsRefusalStatus(status_) ? HeadAction::Discard
                                        : HeadAction::Accept;
    default:
      return HeadAction::Accept;
  }
}

bool
RequestFlow::OnBody(std::string_view aBytes)
{
  if (!answer_) {
    if (isStreaming_) {
      CountBegun(attempt_); // its events are not read any more
    }
    return true;
  }
  const auto now = context_.clock_.Now();
  if (isBegun_) {
    longestPause_ = std::max(longestPause_, now - lastByte_);
  }
  lastByte_ = now;
  std::string output;
  bool isValid = true;
  if (isStreaming_) {
    const auto eventsBefore = events_.Events();
    isValid = events_.Add(aBytes, output);
    if (events_.Events() > eventsBefore) {
      lastEvent_ = now;
      isSilenceHandled_ = false;
      CountBegun(attempt_);
      if (hedge_) {
        DropHedge(AttemptHealth::Silent); // it was asked to continue after an earlier event
        ArmTimer();
      }
      const auto begunAt = eventsBefore_ + kBegunEvents;
      if (eventsBefore < begunAt && events_.Events() >= begunAt) {
        RecordBegun();
      }
    }
  } else if (isBegun_) {
    output = std::string(aBytes);
  } else {
    body_.append(aBytes);
    if (body_.size() > kMaxBufferedAnswerBytes) {
      if (answerClass_ == AnswerClass::Error && status_ / 100 == 5 && MayRepeat()) {
        EndCall(AnswerClass::Error);
        return true;
      }
      output = std::move(body_);
      body_.clear();
    }
  }
  if (!output.empty()) {
    if (!isBegun_) {
      isBegun_ = true;
      RecordOrigin();
      RecordServed();
      answer_->Begin(
        status_, reason_, fields_, isStreaming_ ? std::optional<std::uint64_t>() : length_);
    }
    answer_->Data(output);
  }
  if (!isValid && call_) {
    EndCall(AnswerClass::Invalid);
    return true;
  }
  if (answer_ && answer_->UnsentBytes() > kMaxUnsentBytes) {
    isCallerSlow_ = true;
    answer_->NotifyWhenSent([weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->call_) {
        self->lastByte_ = self->context_.clock_.Now();
        self->lastEvent_ = self->lastByte_;
        self->isCallerSlow_ = false;
        self->call_->Resume();
        self->ArmTimer();
      }
    });
    return false;
  }
  return true;
}

bool
RequestFlow::IsSoftwareUncertain() const
{
  const auto* upstream = context_.fleet_.Upstreams().Find(attempt_.upstream_);
  if (upstream == nullptr || upstream->entry_.startedAt_ <= attempt_.startedAt_ ||
      upstream->entry_.software_ == attempt_.software_) {
    return false;
  }
  const auto sinceSent = context_.clock_.Now() - attempt_.sent_;
  const auto sentAt = context_.clock_.WallNow().time_since_epoch() - sinceSent;
  return upstream->entry_.startedAt_ <=
         std::chrono::duration_cast<milliseconds>(sentAt + kMaxClockDifference).count();
}

void
RequestFlow::RecordOrigin()
{
  if (!isStreaming_ || !MayRepeat()) {
    return;
  }
  if (!origin_) {
    origin_ = StreamOrigin{ admitted_.service_, attempt_.software_, IsSoftwareUncertain() };
  }
  ShareOrigin();
}

void
RequestFlow::RecordServed()
{
  // The target counts from the caller's first attempt, which a resumption does not tell.
  if (answerClass_ != AnswerClass::Valid || IsResumption()) {
    return;
  }
  const auto now = context_.clock_.Now();
  const auto target = admitted_.route_->targetLatency_;
  const bool isInTime = target.count() == 0 || now - admitted_.arrived_ <= target;
  context_.queue_.RecordAnswer(admitted_.service_, Rank(), now - attempt_.sent_);
  context_.metrics_
    .GetCounter("laburnumweir_gateway_answers_total",
                "rank_result",
                std::to_string(Rank()) + (isInTime ? ":in_time" : ":late"))
    .Add();
}

void
RequestFlow::ShareOrigin()
{
  context_.origins_.Record(admitted_.facts_.id_, *origin_);
  if (!admitted_.facts_.resumes_.IsEmpty()) {
    context_.origins_.Record(admitted_.facts_.resumes_, *origin_);
  }
}

void
RequestFlow::EndCall(AnswerClass aClass)
{
  answerClass_ = aClass;
  call_->Cancel();
  OnEnd(CallEnd::Malformed);
}

void
RequestFlow::CountBegun(UpstreamAttempt& aAttempt)
{
  if (admitted_.workspace_ != nullptr && context_.onBegun_ &&
      !std::exchange(aAttempt.isCounted_, true)) {
    context_.onBegun_(admitted_.workspace_->id_);
  }
}

void
RequestFlow::RecordBegun()
{
  context_.quarantine_.OnBegun(
    { attempt_.upstream_, attempt_.startedAt_ }, attempt_.sent_, contents_);
}

void
RequestFlow::RecordCut()
{
  if (answerClass_ == AnswerClass::Valid) {
    if (!isStreaming_ || events_.Events() < eventsBefore_ + kBegunEvents) {
      context_.quarantine_.OnCut({ attempt_.upstream_, attempt_.startedAt_ }, contents_);
    }
  } else if (answerClass_ == AnswerClass::None) {
    // Many requests may have waited at the upstream or run without an answer yet. Of these, only
    // one that is sent again is told from the others.
    context_.quarantine_.OnCut({ attempt_.upstream_, attempt_.startedAt_ },
                               { {}, contents_.request_ });
  }
}

void
RequestFlow::EndAttempt(AttemptHealth aHealth)
{
  isCallerSlow_ = false;
  EndAttempt(attempt_, aHealth, firstByte_ ? *firstByte_ - attempt_.sent_ : Duration::zero());
}

void
RequestFlow::EndAttempt(const UpstreamAttempt& aAttempt, AttemptHealth aHealth, Duration aFirstByte)
{
  if (aHealth == AttemptHealth::Unreachable && context_.link_.IsLinkLost(aAttempt.endpoint_)) {
    aHealth = AttemptHealth::Silent; // no failure of the upstream
  }
  context_.fleet_.Upstreams().OnAttemptEnded(aAttempt.upstream_, aHealth, aFirstByte);
  if (!admitted_.facts_.adapter_.empty()) {
    context_.onUseEnded_(
      { aAttempt.upstream_, admitted_.facts_.model_, admitted_.facts_.adapter_ });
  }
  if (aHealth == AttemptHealth::Unreachable) {
    context_.link_.DropIdle(aAttempt.endpoint_);
  }
  if (aAttempt.slot_) {
    const bool isFailure =
      aHealth == AttemptHealth::Failed || aHealth == AttemptHealth::Unreachable;
    context_.slots_.Return(admitted_.service_,
                           { aAttempt.slot_->id_,
                             aHealth == AttemptHealth::Busy ? SlotOutcome::Refused
                             : isFailure                    ? SlotOutcome::Failed
                                                            : SlotOutcome::Done });
  }
  context_.onSlotFree_();
}

CallEnd
RequestFlow::EndOfContent(CallEnd aEnd) const
{
  if (aEnd != CallEnd::Complete && aEnd != CallEnd::Closed) {
    return aEnd;
  }
  // An upstream that stops after its head leaves a body without framing empty. For a stream, that
  // is also an end between two events.
  const bool hasBody = isStreaming_ ? events_.Events() > eventsBefore_ : isBegun_ || !body_.empty();
  const bool isEmpty =
    aEnd == CallEnd::Closed && answer_ && answerClass_ == AnswerClass::Valid && !hasBody;
  return events_.HasPart() || isEmpty ? CallEnd::Lost : CallEnd::Complete;
}

void
RequestFlow::OnEnd(CallEnd aEnd)
{
  const auto self = shared_from_this();
  call_.reset();
  const auto end = EndOfContent(aEnd);
  if (attempt_.hasSent_ && end == CallEnd::Lost && !context_.link_.IsLinkLost(attempt_.endpoint_)) {
    RecordCut();
  }
  if (!answer_) {
    // The caller left while a request that must not be cancelled was running.
    EndAttempt(end == CallEnd::Complete ? AttemptHealth::Good : AttemptHealth::Failed);
    Finish(0, "caller_gone");
    return;
  }
  if (end == CallEnd::NotSent || !attempt_.hasSent_) {
    EndAttempt(AttemptHealth::Unreachable);
    OnNotRun("no_connection");
    return;
  }
  if (answerClass_ == AnswerClass::NotRun && (end == CallEnd::Complete || status_ == 421)) {
    EndAttempt(answerFacts_.isMisdirected_ ? AttemptHealth::Good : AttemptHealth::Busy);
    OnNotRun(answerFacts_.isMisdirected_ ? "misdirected" : "refused_by_upstream");
    return;
  }
  const bool isComplete = end == CallEnd::Complete;
  if (isComplete && answerClass_ == AnswerClass::Valid) {
    EndAttempt(AttemptHealth::Good);
    RecordBegun();
    ForwardAnswer();
  } else if (isComplete && answerClass_ == AnswerClass::Error) {
    const bool isFailure = status_ / 100 == 5;
    EndAttempt(answerFacts_.pause_ ? AttemptHealth::Busy
               : isFailure         ? AttemptHealth::Failed
                                   : AttemptHealth::Good);
    if (IsRefusalStatus(status_)) {
      OnFailed("upstream_error", false);
    } else if (isFailure && MayRepeat()) {
      OnFailed("upstream_error", true);
    } else {
      ForwardAnswer();
    }
  } else {
    // If the connection closed before any byte of an answer, the upstream itself may have ended.
    EndAttempt(answerClass_ == AnswerClass::None && end == CallEnd::Lost
                 ? AttemptHealth::Unreachable
                 : AttemptHealth::Failed);
    OnFailed(answerClass_ == AnswerClass::Invalid             ? "answer_not_genuine"
             : isBegun_ && answerClass_ == AnswerClass::Error ? "upstream_error"
             : end == CallEnd::Malformed                      ? "answer_malformed"
                                                              : "answer_cut",
             false);
  }
}

void
RequestFlow::RecordNotRun(const UpstreamAttempt& aAttempt,
                          const AnswerFacts& aFacts,
                          std::string_view aReason,
                          unsigned aStatus)
{
  auto& upstreams = context_.fleet_.Upstreams();
  const auto& facts = admitted_.facts_;
  if (aFacts.isMisdirected_ && aAttempt.hasSent_) {
    if (!aFacts.upstream_.IsEmpty() && aFacts.upstream_ != aAttempt.upstream_) {
      upstreams.OnMisdirected(aAttempt.upstream_);
    } else {
      upstreams.OnAdapterMissing(aAttempt.upstream_, facts.model_, facts.adapter_);
    }
  }
  LogEvent(LogLevel::Info,
           "attempt_not_run",
           { { "id", facts.id_.Value() },
             { "upstream", aAttempt.upstream_.Value() },
             { "reason", std::string(aReason) },
             { "status", std::to_string(aAttempt.hasSent_ ? aStatus : 0) },
             { "attempt", std::to_string(attempts_) } });
  const bool isUnreachable = aReason == "no_connection" || aReason == "connect_timeout";
  // A stream that goes on at one software version may have no other upstream, and this one may be
  // starting again.
  if (isUnreachable && !isBegun_ && !origin_) {
    failed_.insert(aAttempt.upstream_);
  } else if (isUnreachable || aAttempt.hasSent_) {
    BackOff(aAttempt.upstream_);
  }
}

void
RequestFlow::BackOff(const UpstreamId& aUpstream)
{
  const auto doublings = std::min<std::uint32_t>(attempts_ - 1, kMaxRefusalDoublings);
  refusedUntil_[aUpstream] = context_.clock_.Now() + kInitialRefusalPause * (1 << doublings);
}

void
RequestFlow::OnNotRun(std::string_view aReason)
{
  RecordNotRun(attempt_, answerFacts_, aReason, status_);
  if (hedge_) {
    ArmTimer();
    return;
  }
  if (TimeLeft() <= kMinAnswerTime || (attempt_.hasSent_ && !MayRetry(false))) {
    Reply(HasRun() ? 502 : 503, aReason, RetryDelay());
    return;
  }
  Continue();
}

void
RequestFlow::Continue()
{
  if (!TryStart() && answer_) {
    Enqueue();
  }
  ArmTimer();
}

void
RequestFlow::LogRetry(std::string_view aDenial)
{
  const auto use = context_.retries_.Use(admitted_.service_);
  LogEvent(LogLevel::Info,
           aDenial.empty() ? "retry_taken" : "retry_denied",
           { { "id", admitted_.facts_.id_.Value() },
             { "cause", std::string(aDenial) },
             { "runs", std::to_string(ranAt_.size()) },
             { "retries_used", std::to_string(use.used_) },
             { "retries_allowed", std::to_string(use.allowed_) },
             { "hosts", std::to_string(use.hostCount_) } });
  context_.metrics_
    .GetCounter("laburnumweir_gateway_retries_total", "result", aDenial.empty() ? "taken" : aDenial)
    .Add();
}

bool
RequestFlow::HasUpstreamLeft() const
{
  return ranAt_.size() < admitted_.route_->maxUpstreams_ || isBegun_;
}

bool
RequestFlow::MayRetry(bool aHasRun)
{
  const bool isLate = TimeLeft() <= kMinAnswerTime;
  if (isLate || (aHasRun && !HasUpstreamLeft())) {
    LogRetry(isLate ? "deadline" : "upstream_limit");
    return false;
  }
  needsRetry_ = isBegun_ || context_.retries_.CanTake(admitted_.service_);
  if (!context_.retries_.CanTake(admitted_.service_)) {
    LogRetry("retry_budget");
  }
  return needsRetry_;
}

bool
RequestFlow::CanContinue()
{
  if (origin_ && isBegun_ && !origin_->isAmbiguous_ && IsSoftwareUncertain()) {
    origin_->isAmbiguous_ = true;
    ShareOrigin();
  }
  const bool isAmbiguous = origin_ && origin_->isAmbiguous_;
  return MayRepeat() && (!isBegun_ || (!events_.LastEventId().empty() && !isAmbiguous));
}

void
RequestFlow::OnFailed(std::string_view aReason, bool aIsAnswerComplete)
{
  ranAt_.insert(attempt_.upstream_);
  failed_.insert(attempt_.upstream_);
  BackOff(attempt_.upstream_); // what has begun may return there, if no other upstream is left
  LogEvent(LogLevel::Info,
           "attempt_failed",
           { { "id", admitted_.facts_.id_.Value() },
             { "upstream", attempt_.upstream_.Value() },
             { "reason", std::string(aReason) },
             { "attempt", std::to_string(attempts_) },
             { "status", std::to_string(answerClass_ == AnswerClass::None ? 0 : status_) },
             { "events", std::to_string(events_.Events()) } });
  const bool canContinue = CanContinue();
  hasError_ = aIsAnswerComplete && answerClass_ == AnswerClass::Error && !isBegun_;
  if (hedge_ && canContinue) {
    events_.Resume();
    ArmTimer();
    return;
  }
  if (canContinue && MayRetry(true)) {
    events_.Resume();
    Continue();
  } else if (hasError_) {
    ForwardAnswer();
  } else {
    Reply(502, aReason, std::nullopt);
  }
}

} // namespace laburnumweir
