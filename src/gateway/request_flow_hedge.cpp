/** @file request_flow_hedge.cpp Hedging of a request whose upstream is silent: a second attempt
 * runs beside the first one, and the first of the two that answers goes on.
 */
#include "gateway/request_flow_hedge.h"

#include "logging/logging_func.h"
#include "table/flow_const.h"

#include <algorithm>

namespace laburnumweir {

TimePoint
RequestFlow::Hedge::EndsAt() const
{
  if (!attempt_.hasSent_) {
    return attempt_.sent_ + kConnectTimeout;
  }
  // Two upstreams must not generate the same stream for long.
  return attempt_.sent_ + (flow_->isBegun_ ? kContinuationHedgeTime : flow_->FirstByteLimit());
}

bool
RequestFlow::MayHedge() const
{
  return MayRepeat() && call_ && !hedge_ && answer_ &&
         (isBegun_ || UsedUpstreams().size() < admitted_.route_->maxUpstreams_);
}

void
RequestFlow::TryHedge()
{
  const auto& workspace = admitted_.workspace_;
  if (!MayHedge() || !context_.retries_.CanTake(admitted_.service_) ||
      context_.clock_.Now() >= LatestStart() || IsConfigTooOld() || !CanContinue() ||
      context_.quarantine_.TimeLeft(contents_) ||
      (workspace != nullptr &&
       context_.fleet_.Routes()->FindWorkspace(admitted_.facts_.key_) == nullptr)) {
    return;
  }
  const auto choice = ChooseUpstream();
  if (choice.upstream_ == nullptr) {
    return;
  }
  context_.retries_.TakeRetry(admitted_.service_);
  LogRetry({});
  hedge_ = std::make_shared<Hedge>(shared_from_this());
  hedge_->call_ = StartCall(choice, hedge_, hedge_->attempt_);
}

void
RequestFlow::OnHedgeSending()
{
  auto& attempt = hedge_->attempt_;
  const auto* upstream = context_.fleet_.Upstreams().Find(attempt.upstream_);
  if (IsConfigTooOld() || TimeLeft() <= Duration::zero() || upstream == nullptr ||
      !context_.fleet_.Upstreams().IsUsable(*upstream) || IsVersionTooOld(attempt)) {
    DropHedge(AttemptHealth::Silent);
    OnHedgeGone();
    return;
  }
  attempt.sent_ = context_.clock_.Now();
  attempt.hasSent_ = true;
  sentTo_.insert(attempt.endpoint_);
  ArmTimer();
}

HeadAction
RequestFlow::OnHedgeHead(unsigned aStatus,
                         std::string_view aReason,
                         const boost::beast::http::fields& aFields,
                         std::optional<std::uint64_t> aLength)
{
  auto& hedge = *hedge_;
  hedge.head_ = ReadHead(hedge.attempt_, *hedge.call_, aStatus, aFields);
  if (hedge.head_.isForeign_) {
    return HeadAction::Skip;
  }
  hedge.status_ = aStatus;
  hedge.reason_ = std::string(aReason);
  hedge.fields_ = aFields;
  hedge.length_ = aLength;
  const bool isValid = hedge.head_.class_ == AnswerClass::Valid;
  const bool isFinalError =
    hedge.head_.class_ == AnswerClass::Error && aStatus / 100 == 4 && !isBegun_;
  if (isValid && IsStream()) {
    return HeadAction::Accept; // it may break off before its first event
  }
  if (isValid || isFinalError) {
    return TakeHedge();
  }
  if (hedge.head_.class_ == AnswerClass::Error) {
    CountBegun(hedge.attempt_);
  }
  return hedge.head_.class_ == AnswerClass::Invalid ? HeadAction::Reject : HeadAction::Discard;
}

bool
RequestFlow::OnHedgeBody(std::string_view aBytes)
{
  hedge_->body_.append(aBytes);
  EventSplitter events;
  std::string complete;
  const bool isEventStream = events.Add(hedge_->body_, complete);
  if (isEventStream && events.Events() == 0) {
    return true;
  }
  const auto hedge = hedge_;
  TakeHedge();
  return OnBody(hedge->body_);
}

HeadAction
RequestFlow::TakeHedge()
{
  if (call_) {
    call_->Cancel();
    EndAttempt(AttemptHealth::Silent);
    ranAt_.insert(attempt_.upstream_);
    failed_.insert(attempt_.upstream_);
    LogEvent(LogLevel::Info,
             "attempt_failed",
             { { "id", admitted_.facts_.id_.Value() },
               { "upstream", attempt_.upstream_.Value() },
               { "reason", "silent" },
               { "attempt", std::to_string(attempts_) },
               { "events", std::to_string(events_.Events()) } });
    events_.Resume();
  }
  const auto hedge = std::exchange(hedge_, nullptr);
  hedge->isTaken_ = true;
  attempt_ = hedge->attempt_;
  call_ = std::move(hedge->call_);
  eventsBefore_ = events_.Events();
  firstByte_.reset();
  isSilenceHandled_ = false;
  hasError_ = false;
  body_.clear();
  const auto action = OnHead(hedge->status_, hedge->reason_, hedge->fields_, hedge->length_);
  ArmTimer();
  return action;
}

void
RequestFlow::DropHedge(AttemptHealth aHealth)
{
  if (const auto hedge = std::exchange(hedge_, nullptr)) {
    hedge->call_->Cancel();
    if (hedge->attempt_.hasSent_) {
      ranAt_.insert(hedge->attempt_.upstream_);
    }
    EndAttempt(hedge->attempt_, aHealth, Duration::zero());
  }
}

void
RequestFlow::OnHedgeTimeout()
{
  const auto attempt = hedge_->attempt_;
  if (attempt.hasSent_) {
    DropHedge(AttemptHealth::Silent);
    BackOff(attempt.upstream_);
  } else {
    DropHedge(AttemptHealth::Unreachable);
    RecordNotRun(attempt, {}, "connect_timeout", 0);
  }
  OnHedgeGone();
}

void
RequestFlow::OnHedgeEnd(CallEnd aEnd)
{
  const auto hedge = std::exchange(hedge_, nullptr);
  const auto& attempt = hedge->attempt_;
  const auto& head = hedge->head_;
  const bool isRefused =
    head.class_ == AnswerClass::NotRun && (aEnd == CallEnd::Complete || hedge->status_ == 421);
  if (aEnd == CallEnd::NotSent || !attempt.hasSent_) {
    EndAttempt(attempt, AttemptHealth::Unreachable, Duration::zero());
    RecordNotRun(attempt, {}, "no_connection", 0);
  } else if (isRefused) {
    EndAttempt(attempt,
               head.facts_.isMisdirected_ ? AttemptHealth::Good : AttemptHealth::Busy,
               Duration::zero());
    RecordNotRun(attempt,
                 head.facts_,
                 head.facts_.isMisdirected_ ? "misdirected" : "refused_by_upstream",
                 hedge->status_);
  } else {
    if (aEnd == CallEnd::Lost && !context_.link_.IsLinkLost(attempt.endpoint_)) {
      // As in RecordCut(): many requests may have waited at the upstream.
      context_.quarantine_.OnCut({ attempt.upstream_, attempt.startedAt_ },
                                 { {}, contents_.request_ });
    }
    EndAttempt(attempt, AttemptHealth::Failed, Duration::zero());
    ranAt_.insert(attempt.upstream_);
    failed_.insert(attempt.upstream_);
    BackOff(attempt.upstream_);
  }
  OnHedgeGone();
}

void
RequestFlow::OnHedgeGone()
{
  if (call_ || !answer_) {
    ArmTimer();
  } else if (CanContinue() && MayRetry(HasRun())) {
    Continue();
  } else if (hasError_) {
    ForwardAnswer();
  } else {
    Reply(HasRun() ? 502 : 503, "no_other_upstream", RetryDelay());
  }
}

} // namespace laburnumweir
