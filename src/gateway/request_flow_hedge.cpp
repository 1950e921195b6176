/** @file request_flow_hedge.cpp Hedging of a request whose upstream is silent: a second attempt
 * runs beside the first one, and the first of the two that answers goes on.
 */
#include "gateway/request_flow_hedge.h"

#include "logging/logging_func.h"
#include "table/flow_const.h"

namespace laburnumweir {

TimePoint
RequestFlow::Hedge::EndsAt() const
{
  return attempt_.sent_ + (attempt_.hasSent_ ? flow_->FirstByteLimit() : kConnectTimeout);
}

bool
RequestFlow::MayHedge() const
{
  return MayRepeat() && call_ && !hedge_ && answer_ && runs_ + 1 < admitted_.route_->maxUpstreams_;
}

void
RequestFlow::TryHedge()
{
  const auto& workspace = admitted_.workspace_;
  if (!MayHedge() || context_.clock_.Now() >= LatestStart() || IsConfigTooOld() || !CanContinue() ||
      context_.quarantine_.TimeLeft(contents_) ||
      (workspace != nullptr &&
       context_.fleet_.Routes()->FindWorkspace(admitted_.facts_.key_) == nullptr)) {
    return;
  }
  const auto choice = ChooseUpstream();
  if (choice.upstream_ == nullptr || !context_.retries_.TakeRetry(admitted_.service_)) {
    return;
  }
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
    DropHedge(AttemptHealth::Good);
    return;
  }
  attempt.hasSent_ = true;
  sentTo_.insert(attempt.endpoint_);
  ArmTimer();
}

HeadAction
RequestFlow::OnHedgeHead(unsigned aStatus, const boost::beast::http::fields& aFields)
{
  auto head = ReadHead(hedge_->attempt_, *hedge_->call_, aStatus, aFields);
  if (head.isForeign_) {
    return HeadAction::Skip;
  }
  if (head.class_ == AnswerClass::Valid) {
    TakeHedge();
    return HeadAction::Accept;
  }
  hedge_->head_ = std::move(head);
  hedge_->status_ = aStatus;
  if (hedge_->head_.class_ == AnswerClass::Error) {
    CountBegun(hedge_->attempt_);
  }
  return hedge_->head_.class_ == AnswerClass::Invalid ? HeadAction::Reject : HeadAction::Discard;
}

void
RequestFlow::TakeHedge()
{
  if (call_) {
    call_->Cancel();
    EndAttempt(AttemptHealth::Silent);
    ++runs_;
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
}

void
RequestFlow::DropHedge(AttemptHealth aHealth)
{
  if (const auto hedge = std::exchange(hedge_, nullptr)) {
    hedge->call_->Cancel();
    runs_ += hedge->attempt_.hasSent_ ? 1 : 0;
    EndAttempt(hedge->attempt_, aHealth, Duration::zero());
  }
}

void
RequestFlow::OnHedgeTimeout()
{
  const auto attempt = hedge_->attempt_;
  DropHedge(AttemptHealth::Unreachable);
  if (attempt.hasSent_) {
    failed_.insert(attempt.upstream_);
  } else {
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
    EndAttempt(attempt, AttemptHealth::Failed, Duration::zero());
    ++runs_;
    failed_.insert(attempt.upstream_);
  }
  OnHedgeGone();
}

void
RequestFlow::OnHedgeGone()
{
  if (call_ || !answer_) {
    ArmTimer();
  } else if (CanContinue() && AcquireRetry(true)) {
    Continue();
  } else if (hasError_) {
    ForwardAnswer();
  } else {
    Reply(502, "no_other_upstream", std::nullopt);
  }
}

} // namespace laburnumweir
