/** @file request_flow_timer.cpp Time limits of a request. */
#include "gateway/request_flow.h"

#include "gateway/request_flow_hedge.h"
#include "logging/logging_func.h"
#include "table/flow_const.h"

#include <algorithm>

namespace laburnumweir {

using detail::Milliseconds;
using BoostError = boost::system::error_code;
using std::chrono::milliseconds;

void
RequestFlow::ArmTimer()
{
  if (!answer_ && !call_) {
    timer_.cancel();
    return;
  }
  const auto now = context_.clock_.Now();
  auto next = deadline_;
  if (call_ || hedge_) {
    next += kDeadlineGrace;
  }
  if (((call_ && !firstByte_) || hedge_) && !admitted_.facts_.adapter_.empty()) {
    // A release may come at any time.
    next = std::min(next,
                    now + std::chrono::duration_cast<Duration>(kOldVersionCheckFraction *
                                                               context_.bounds_.maxVersionDelay_));
  }
  if (call_ && answer_ && !attempt_.hasSent_) {
    next = std::min(next, attempt_.sent_ + kConnectTimeout);
  }
  if (const auto silentAt = SilentAt()) {
    if (!isSilenceHandled_ || now < *silentAt) {
      next = std::min(next, *silentAt);
    } else if (MayHedge()) {
      next = std::min<TimePoint>(next, now + kHedgeInterval);
    }
  }
  if (hedge_) {
    next = std::min(next, hedge_->EndsAt());
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
  const auto now = context_.clock_.Now();
  const bool isTooOld = call_ && attempt_.hasSent_ && !firstByte_ && IsVersionTooOld(attempt_);
  if (!answer_) {
    if (call_ && (isTooOld || now >= deadline_ + kDeadlineGrace)) {
      call_->Cancel();
      call_.reset();
      EndAttempt(isTooOld ? AttemptHealth::Good : AttemptHealth::Unreachable);
      Finish(0, "caller_gone");
    } else if (call_) {
      ArmTimer();
    }
    return;
  }
  if (now >= deadline_ + (call_ || hedge_ ? kDeadlineGrace : Duration::zero())) {
    DropHedge(AttemptHealth::Silent);
    if (call_) {
      const bool mayHaveRun = attempt_.hasSent_;
      call_->Cancel();
      call_.reset();
      EndAttempt(isSilenceHandled_ ? AttemptHealth::Silent
                 : firstByte_      ? AttemptHealth::Good
                                   : AttemptHealth::Unreachable);
      if (mayHaveRun) {
        ranAt_.insert(attempt_.upstream_);
      }
    }
    if (hasError_) {
      ForwardAnswer();
      return;
    }
    Reply(HasRun() ? 504 : 503, "deadline", std::nullopt);
    return;
  }
  if (call_ && !attempt_.hasSent_ && now - attempt_.sent_ >= kConnectTimeout) {
    call_->Cancel();
    call_.reset();
    EndAttempt(AttemptHealth::Unreachable);
    OnNotRun("connect_timeout");
    return;
  }
  if (isTooOld) {
    call_->Cancel();
    call_.reset();
    EndAttempt(AttemptHealth::Good);
    OnFailed("old_version_not_begun", false);
    return;
  }
  if (hedge_ && (now >= hedge_->EndsAt() || IsVersionTooOld(hedge_->attempt_))) {
    OnHedgeTimeout();
  }
  if (answer_) {
    OnSilence();
    ArmTimer();
  }
}

std::optional<TimePoint>
RequestFlow::SilentAt() const
{
  if (!call_ || !answer_ || !attempt_.hasSent_ || isCallerSlow_) {
    return std::nullopt;
  }
  if (!firstByte_) {
    return attempt_.sent_ + FirstByteLimit();
  }
  if (!isStreaming_ || !MayRepeat()) {
    return std::nullopt;
  }
  return lastEvent_ +
         std::max<Duration>(kStreamSilencePauseMultiple * admitted_.route_->targetPause_,
                            kMinStreamSilenceTimeout);
}

Duration
RequestFlow::FirstByteLimit() const
{
  return std::max<Duration>(kSilenceLatencyMultiple * admitted_.route_->targetLatency_,
                            kMinSilenceTimeout);
}

void
RequestFlow::OnSilence()
{
  const auto now = context_.clock_.Now();
  const auto silentAt = SilentAt();
  if (!silentAt || now < *silentAt) {
    return;
  }
  if (!isSilenceHandled_) {
    isSilenceHandled_ = true;
    LogEvent(LogLevel::Info,
             "upstream_silent",
             { { "id", admitted_.facts_.id_.Value() },
               { "upstream", attempt_.upstream_.Value() },
               { "since_ms", std::to_string(Milliseconds(now - attempt_.sent_)) } });
    if (MayRepeat() && !context_.link_.IsLinkLost(attempt_.endpoint_)) {
      context_.fleet_.Upstreams().OnSilent(attempt_.upstream_);
    }
  }
  TryHedge();
}

} // namespace laburnumweir
