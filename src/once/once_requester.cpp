/** @file once_requester.cpp A host's side of requests that may not be repeated. */
#include "once/once_requester.h"

#include <utility>

namespace laburnumweir {

OnceRequester::OnceRequester(HostId aHost,
                             std::uint64_t aIncarnation,
                             const Clock& aClock,
                             const OnceSettings& aSettings)
  : host_(std::move(aHost))
  , incarnation_(aIncarnation)
  , clock_(aClock)
  , settings_(aSettings)
{
}

AttemptId
OnceRequester::NewAttempt()
{
  return AttemptId(host_.Value() + "/" + std::to_string(incarnation_) + "/" +
                   std::to_string(nextAttempt_++));
}

void
OnceRequester::Send(Request& aRequest, OnceRequesterOutput& aOutput)
{
  aRequest.lastSent_ = clock_.Now();
  aOutput.messages_.emplace_back(aRequest.begin_);
}

OnceTicket
OnceRequester::Start(const OnceKey& aKey, std::string aRequestDigest, OnceRequesterOutput& aOutput)
{
  const OnceTicket ticket = nextTicket_++;
  Request& request = requests_[ticket];
  request.begin_ = OnceBegin{ aKey, std::move(aRequestDigest), NewAttempt(), {} };
  request.since_ = clock_.Now();
  request.firstSent_ = request.since_;
  byAttempt_.emplace(request.begin_.attempt_, ticket);
  Send(request, aOutput);
  return ticket;
}

void
OnceRequester::SendReport(OnceReport aReport, OnceRequesterOutput& aOutput)
{
  const TimePoint now = clock_.Now();
  aOutput.messages_.emplace_back(aReport);
  const AttemptId attempt = aReport.attempt_;
  reports_.insert_or_assign(attempt, Unstored{ std::move(aReport), now, now });
}

void
OnceRequester::GiveUp(const OnceBegin& aBegin, OnceRequesterOutput& aOutput)
{
  byAttempt_.erase(aBegin.attempt_);
  SendReport(OnceReport{ aBegin.key_, aBegin.attempt_, true, {} }, aOutput);
}

void
OnceRequester::Cancel(OnceTicket aTicket, OnceRequesterOutput& aOutput)
{
  if (const auto found = requests_.find(aTicket); found != requests_.end()) {
    GiveUp(found->second.begin_, aOutput);
    requests_.erase(found);
  }
}

void
OnceRequester::Finish(const OnceKey& aKey,
                      const AttemptId& aAttempt,
                      std::optional<OnceOutcome> aOutcome,
                      OnceRequesterOutput& aOutput)
{
  OnceReport report{ aKey, aAttempt, !aOutcome.has_value(), {} };
  if (aOutcome) {
    report.outcome_ = std::move(*aOutcome);
    if (report.outcome_.body_.size() > settings_.maxBody_) {
      report.outcome_.body_.clear();
      report.outcome_.isBodyKept_ = false;
    }
  }
  SendReport(std::move(report), aOutput);
}

void
OnceRequester::Receive(const OnceAnswer& aAnswer, OnceRequesterOutput& aOutput)
{
  const auto attempt = byAttempt_.find(aAnswer.attempt_);
  if (attempt == byAttempt_.end() || aAnswer.decision_ == OnceDecision::Wait) {
    return;
  }
  const OnceTicket ticket = attempt->second;
  Request& request = requests_.at(ticket);
  if (aAnswer.decision_ == OnceDecision::AlreadyPermitted) {
    // The permit was lost, or comes later and is then ignored; this attempt is never sent.
    GiveUp(request.begin_, aOutput);
    request.begin_.abandoned_.push_back(request.begin_.attempt_);
    request.begin_.attempt_ = NewAttempt();
    request.firstSent_ = clock_.Now();
    byAttempt_.emplace(request.begin_.attempt_, ticket);
    Send(request, aOutput);
    return;
  }
  OnceVerdict verdict;
  verdict.ticket_ = ticket;
  verdict.decision_ = aAnswer.decision_;
  verdict.outcome_ = aAnswer.outcome_;
  verdict.message_ = aAnswer.message_;
  if (aAnswer.decision_ == OnceDecision::Permit) {
    verdict.permit_ =
      OncePermit(aAnswer.attempt_, incarnation_, request.firstSent_ + aAnswer.validity_);
    byAttempt_.erase(attempt);
  } else if (aAnswer.decision_ == OnceDecision::NotRun) {
    // Its begin may be in the log or still arrive there, and would block the key.
    GiveUp(request.begin_, aOutput);
  } else {
    byAttempt_.erase(attempt);
  }
  requests_.erase(ticket);
  aOutput.verdicts_.push_back(std::move(verdict));
}

void
OnceRequester::Receive(const OnceStored& aStored)
{
  reports_.erase(aStored.attempt_);
}

void
OnceRequester::Tick(OnceRequesterOutput& aOutput)
{
  const TimePoint now = clock_.Now();
  for (auto it = requests_.begin(); it != requests_.end();) {
    Request& request = it->second;
    if (request.since_ + settings_.maxWait_ <= now) {
      OnceVerdict verdict;
      verdict.ticket_ = it->first;
      verdict.message_ = "no decision in time";
      aOutput.verdicts_.push_back(std::move(verdict));
      GiveUp(request.begin_, aOutput);
      it = requests_.erase(it);
      continue;
    }
    if (request.lastSent_ + settings_.resendAfter_ <= now) {
      Send(request, aOutput);
    }
    ++it;
  }
  for (auto it = reports_.begin(); it != reports_.end();) {
    Unstored& unstored = it->second;
    if (unstored.since_ + settings_.window_ <= now) {
      it = reports_.erase(it);
      continue;
    }
    if (unstored.lastSent_ + settings_.resendAfter_ <= now) {
      unstored.lastSent_ = now;
      aOutput.messages_.emplace_back(unstored.report_);
    }
    ++it;
  }
}

} // namespace laburnumweir
