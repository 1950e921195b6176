/** @file usage_reporter.cpp Decides and sends the usage reports while this host has the duty. */
#include "gateway/usage_reporter.h"

#include "logging/logging_func.h"
#include "table/usage_const.h"

#include <algorithm>
#include <utility>

namespace laburnumweir {

void
UsageReporter::Backoff::OnFailure(TimePoint aNow)
{
  delay_ = std::clamp(2 * delay_, kMinUsageBackoff, kMaxUsageBackoff);
  until_ = aNow + delay_;
}

UsageReporter::UsageReporter(const UsageReporterContext& aContext, UsageSettings aSettings)
  : context_(aContext)
  , settings_(std::move(aSettings))
  , scale_(settings_.window_)
  , decideDelay_(std::chrono::duration_cast<Duration>(settings_.dueTime_ * kUsageDecideFraction))
  , startWindow_(scale_.WindowAt(aContext.clock_.WallNow()))
{
}

void
UsageReporter::Start()
{
  RepeatWhileAlive(context_.scheduler_, kUsageTickInterval, weak_from_this(), [this] { Tick(); });
}

WindowId
UsageReporter::FirstOpen() const
{
  const auto oldest =
    context_.time_.Now() - std::chrono::duration_cast<WallTime::duration>(kUsageMaxAge);
  return std::max(next_, scale_.WindowAt(oldest));
}

void
UsageReporter::Tick()
{
  const auto heldSince = context_.lease_.HeldSince();
  if (heldSince != heldSince_) {
    Reset(heldSince);
  }
  if (!heldSince_) {
    return;
  }
  context_.counts_.EraseBefore(FirstOpen());
  ExpirePending();
  if (!isLogCallPending_ && context_.clock_.Now() >= logBackoff_.until_) {
    if (!isLogKnown_) {
      ReadLog();
    } else if (!context_.lease_.MayAct() ||
               context_.clock_.Now() - *heldSince_ < kUsageCollectTime) {
      // The next tick checks again.
    } else if (!hasEraRecord_) {
      PassOver();
    } else {
      DecideNext();
    }
  }
  SendNext();
}

void
UsageReporter::Reset(std::optional<TimePoint> aHeldSince)
{
  ++term_;
  heldSince_ = aHeldSince;
  context_.counts_.Clear();
  ForgetLog();
  pending_.clear();
  isLogCallPending_ = false;
  isCallPending_ = false;
  isFailing_ = false;
  logBackoff_ = {};
  callBackoff_ = {};
  LogEvent(LogLevel::Info,
           aHeldSince ? "usage_duty_taken" : "usage_duty_lost",
           { { "token", std::to_string(context_.lease_.Token().value_or(0)) } });
}

void
UsageReporter::ForgetLog()
{
  end_.reset();
  isLogKnown_ = false;
  hasEraRecord_ = false;
  logNext_ = 0;
  doneBefore_ = 0;
}

void
UsageReporter::ReadLog()
{
  isLogCallPending_ = true;
  context_.log_.ReadUsage(
    end_,
    [weak = weak_from_this(), term = term_](std::error_code aError, const UsageLogBatch& aBatch) {
      const auto self = weak.lock();
      if (self && self->term_ == term) {
        self->OnRead(aError, aBatch);
      }
    });
}

void
UsageReporter::OnRead(std::error_code aError, const UsageLogBatch& aBatch)
{
  isLogCallPending_ = false;
  if (aError) {
    if (aError == make_error_code(StoreError::HistoryLost)) {
      ForgetLog();
    }
    logBackoff_.OnFailure(context_.clock_.Now());
    return;
  }
  logBackoff_.OnSuccess();
  if (end_ && end_->era_ != aBatch.next_.era_) {
    ForgetLog();
    return;
  }
  end_ = aBatch.next_;
  for (const auto& record : aBatch.records_) {
    Apply(record);
  }
  isLogKnown_ = aBatch.isComplete_;
  logReadAt_ = context_.clock_.Now();
  if (!isLogKnown_) {
    ReadLog();
  } else if (*end_ == StorePosition()) {
    // Nothing was ever decided. Windows before the start of this process are left out, since the
    // counts of hosts that ran then may be lost.
    hasEraRecord_ = true;
    next_ = std::max(next_, startWindow_);
  }
}

void
UsageReporter::Apply(const UsageLogRecord& aRecord)
{
  if (aRecord.era_ != end_->era_) {
    // The store may have lost records that followed it, or it was appended by a call that was
    // executed after the restore. Other hosts may have decided its window otherwise.
    next_ = std::max(next_, aRecord.next_);
    return;
  }
  hasEraRecord_ = true;
  doneBefore_ = std::max(doneBefore_, aRecord.doneBefore_);
  std::erase_if(pending_, [this](const auto& aItem) { return aItem.first < doneBefore_; });
  if (aRecord.report_ && aRecord.report_->window_ >= logNext_ &&
      aRecord.report_->window_ >= doneBefore_) {
    pending_.try_emplace(aRecord.report_->window_, PendingReport{ *aRecord.report_ });
  }
  logNext_ = std::max(logNext_, aRecord.next_);
  next_ = std::max(next_, logNext_);
}

WindowId
UsageReporter::WindowAtRead() const
{
  const auto elapsed =
    std::chrono::duration_cast<WallTime::duration>(context_.clock_.Now() - logReadAt_);
  const auto time = context_.time_.Now();
  const auto latest = time + std::chrono::duration_cast<WallTime::duration>(kUsageMaxClockLead);
  return scale_.WindowAt(std::max(time, std::min(context_.clock_.WallNow(), latest)) - elapsed);
}

void
UsageReporter::PassOver()
{
  // The earlier decisions were made before the stream was read, on windows that had ended
  // decideDelay_ before by the clocks of the hosts. One more window covers differences of these.
  const auto next = std::max(next_, WindowAtRead() + 1);
  LogEvent(LogLevel::Warn,
           "usage_windows_passed_over",
           { { "before", std::to_string(next) }, { "era", std::to_string(end_->era_) } });
  Append({ end_->era_, std::nullopt, next, 0 });
}

void
UsageReporter::DecideNext()
{
  const auto decidedUntil = scale_.WindowAt(
    context_.time_.Now() - std::chrono::duration_cast<WallTime::duration>(decideDelay_));
  const auto window = FirstOpen();
  if (window >= decidedUntil) {
    return; // it has not ended, or late counts may still come
  }
  if (window > next_) {
    LogEvent(LogLevel::Warn,
             "usage_windows_too_old",
             { { "first", std::to_string(next_) }, { "before", std::to_string(window) } });
  }
  Append({ end_->era_,
           UsageReport{ window, context_.counts_.Totals(window) },
           window + 1,
           DoneBefore() });
}

WindowId
UsageReporter::DoneBefore() const
{
  return pending_.empty() ? next_ : std::min(next_, pending_.begin()->first);
}

void
UsageReporter::Append(const UsageLogRecord& aRecord)
{
  isLogCallPending_ = true;
  context_.log_.AppendUsage(
    aRecord,
    *end_,
    [weak = weak_from_this(), term = term_, aRecord](std::error_code aError, StorePosition aEnd) {
      const auto self = weak.lock();
      if (self && self->term_ == term) {
        self->OnAppended(aRecord, aError, aEnd);
      }
    });
}

void
UsageReporter::OnAppended(const UsageLogRecord& aRecord, std::error_code aError, StorePosition aEnd)
{
  isLogCallPending_ = false;
  if (aError) {
    // The record may be in the stream, or may still be appended; reading shows which comes first.
    isLogKnown_ = false;
    logBackoff_.OnFailure(context_.clock_.Now());
    if (aError != make_error_code(StoreError::Conflict)) {
      Count("not_decided");
    }
    return;
  }
  if (aEnd.era_ != aRecord.era_) {
    ForgetLog();
    return;
  }
  logBackoff_.OnSuccess();
  end_ = aEnd;
  Apply(aRecord);
  if (const auto& report = aRecord.report_) {
    std::uint64_t requests = 0;
    for (const auto& [workspace, count] : report->counts_) {
      requests += count;
    }
    LogEvent(LogLevel::Info,
             "usage_decided",
             { { "window", std::to_string(report->window_) },
               { "workspaces", std::to_string(report->counts_.size()) },
               { "requests", std::to_string(requests) } });
    Count("decided");
  }
}

void
UsageReporter::ExpirePending()
{
  const auto oldest =
    context_.time_.Now() - std::chrono::duration_cast<WallTime::duration>(kUsageMaxAge);
  while (!pending_.empty() && scale_.EndOf(pending_.begin()->first) <= oldest) {
    const auto& [window, pending] = *pending_.begin();
    LogEvent(LogLevel::Warn,
             "usage_not_sent",
             { { "window", std::to_string(window) }, { "calls", std::to_string(pending.calls_) } });
    Count("given_up");
    pending_.erase(pending_.begin());
  }
}

bool
UsageReporter::MaySend(std::uint64_t aToken) const
{
  if (!context_.lease_.MayAct() || context_.lease_.Token() != aToken ||
      (fencedToken_ && aToken <= *fencedToken_)) {
    return false;
  }
  const auto heldSince = context_.lease_.HeldSince();
  return settings_.isFencingEnforced_ ||
         (heldSince && context_.clock_.Now() - *heldSince >= kUnfencedCallDelay);
}

void
UsageReporter::SendNext()
{
  const auto now = context_.clock_.Now();
  const auto token = context_.lease_.Token();
  if (isCallPending_ || pending_.empty() || now < callBackoff_.until_ || now < nextCallAt_ ||
      !token || !MaySend(*token)) {
    return;
  }
  // A report that fails again and again must not hold up the others.
  const auto next =
    std::min_element(pending_.begin(), pending_.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.calls_ < aRight.second.calls_;
    });
  ++next->second.calls_;
  isCallPending_ = true;
  nextCallAt_ = now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                        1 / std::max(1.0, settings_.callsPerSecond_ * kUsageCallFraction)));
  const auto maySend = [weak = weak_from_this(), token = *token] {
    const auto self = weak.lock();
    return self && self->MaySend(token);
  };
  context_.client_.SendUsage(
    { settings_.host_, *token, maySend },
    next->second.report_,
    [weak = weak_from_this(), window = next->first, token = *token, term = term_](
      DutyAnswer aAnswer) {
      if (const auto self = weak.lock()) {
        self->OnAnswer(window, token, term, aAnswer);
      }
    });
}

void
UsageReporter::OnAnswer(WindowId aWindow,
                        std::uint64_t aToken,
                        std::uint64_t aTerm,
                        DutyAnswer aAnswer)
{
  if (aAnswer == DutyAnswer::Fenced) {
    fencedToken_ = std::max(fencedToken_.value_or(0), aToken);
    context_.lease_.OnFenced(aToken);
    LogEvent(LogLevel::Warn,
             "usage_fenced",
             { { "window", std::to_string(aWindow) }, { "token", std::to_string(aToken) } });
    Count("fenced");
  }
  if (aTerm != term_) {
    return;
  }
  isCallPending_ = false;
  const auto found = pending_.find(aWindow);
  if (aAnswer == DutyAnswer::Accepted || aAnswer == DutyAnswer::Refused) {
    const bool isAccepted = aAnswer == DutyAnswer::Accepted;
    callBackoff_.OnSuccess();
    isFailing_ = false;
    Count(isAccepted ? "sent" : "refused");
    if (found != pending_.end()) {
      const auto age = context_.time_.Now() - scale_.EndOf(aWindow);
      LogEvent(isAccepted ? LogLevel::Info : LogLevel::Error,
               isAccepted ? "usage_sent" : "usage_refused",
               { { "window", std::to_string(aWindow) },
                 { "token", std::to_string(aToken) },
                 { "calls", std::to_string(found->second.calls_) },
                 { "age_ms", std::to_string(age / std::chrono::milliseconds(1)) } });
      pending_.erase(found);
    }
  } else if (aAnswer != DutyAnswer::Fenced) {
    callBackoff_.OnFailure(context_.clock_.Now());
    Count("call_failed");
    if (!std::exchange(isFailing_, true)) {
      LogEvent(LogLevel::Warn,
               "usage_calls_failing",
               { { "window", std::to_string(aWindow) },
                 { "answer",
                   aAnswer == DutyAnswer::Busy      ? "busy"
                   : aAnswer == DutyAnswer::NotSent ? "not_sent"
                                                    : "none" } });
    }
  }
}

void
UsageReporter::Count(std::string_view aResult)
{
  context_.metrics_.GetCounter("laburnumweir_gateway_usage_total", "result", aResult).Add();
}

} // namespace laburnumweir
