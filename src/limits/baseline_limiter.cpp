/** @file baseline_limiter.cpp The ways to limit that the leased chunks are compared with. */
#include "limits/baseline_limiter.h"

#include <algorithm>
#include <utility>

namespace laburnumweir {

namespace {

LocalReservation
Refused(LimitRefusal aReason, Duration aRetryAfter, std::string aMessage)
{
  LocalReservation result;
  result.refusal_ = aReason;
  result.retryAfter_ = aRetryAfter;
  result.message_ = std::move(aMessage);
  return result;
}

} // namespace

StaticSplitLimiter::StaticSplitLimiter(const Clock& aClock, const LimitSettings& aSettings)
  : clock_(aClock)
  , settings_(aSettings)
{
}

void
StaticSplitLimiter::SetRule(const WorkspaceId& aWorkspace, const BucketRule& aRule)
{
  const auto [entry, isNew] = buckets_.try_emplace(aWorkspace);
  Refill(entry->second);
  entry->second.rule_ = aRule;
  entry->second.filled_ = clock_.Now();
}

void
StaticSplitLimiter::RemoveRule(const WorkspaceId& aWorkspace)
{
  buckets_.erase(aWorkspace);
}

void
StaticSplitLimiter::SetMembership(LogOffset /*aEpoch*/,
                                  TimePoint /*aEvidence*/,
                                  std::size_t aMembers)
{
  members_ = std::max<std::size_t>(1, aMembers);
}

void
StaticSplitLimiter::Refill(Bucket& aBucket) const
{
  const TimePoint now = clock_.Now();
  const double elapsed = std::chrono::duration<double>(now - aBucket.filled_).count();
  const auto members = static_cast<double>(members_);
  aBucket.level_ =
    std::min(static_cast<double>(aBucket.rule_.burst_) / members,
             aBucket.level_ + elapsed * static_cast<double>(aBucket.rule_.rate_) / members);
  aBucket.filled_ = now;
}

LocalReservation
StaticSplitLimiter::Reserve(const WorkspaceId& aWorkspace,
                            TokenCount aTokens,
                            LimitOutput& /*aOutput*/)
{
  const auto found = buckets_.find(aWorkspace);
  if (found == buckets_.end()) {
    return Refused(LimitRefusal::UnknownWorkspace, {}, "no rule names the workspace");
  }
  Bucket& bucket = found->second;
  if (isDraining_) {
    return Refused(LimitRefusal::Draining, {}, "the host is draining");
  }
  Refill(bucket);
  const auto tokens = static_cast<double>(aTokens);
  const auto members = static_cast<double>(members_);
  if (tokens > static_cast<double>(bucket.rule_.burst_) / members) {
    return Refused(
      LimitRefusal::LargerThanBurst, {}, "the request is larger than the host's part of the burst");
  }
  if (tokens > bucket.level_) {
    const double wait =
      (tokens - bucket.level_) * members / std::max(1.0, static_cast<double>(bucket.rule_.rate_));
    return Refused(LimitRefusal::OverRate,
                   std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)),
                   "the workspace has used up the host's part of its rate");
  }
  bucket.level_ -= tokens;
  LocalReservation result;
  result.id_ = nextId_++;
  result.status_ = ReserveStatus::Granted;
  granted_.emplace(result.id_, Granted{ aWorkspace, aTokens });
  return result;
}

void
StaticSplitLimiter::Settle(ReservationId aId, TokenCount aSpent, LimitOutput& /*aOutput*/)
{
  const auto found = granted_.find(aId);
  if (found == granted_.end()) {
    return;
  }
  const auto bucket = buckets_.find(found->second.workspace_);
  if (bucket != buckets_.end() && aSpent > found->second.tokens_) {
    bucket->second.level_ -= static_cast<double>(aSpent - found->second.tokens_);
  }
  granted_.erase(found);
}

void
StaticSplitLimiter::Cancel(ReservationId /*aId*/)
{
}

void
StaticSplitLimiter::Tick(LimitOutput& /*aOutput*/)
{
}

void
StaticSplitLimiter::Receive(const GrantAnswer& /*aAnswer*/, LimitOutput& /*aOutput*/)
{
}

void
StaticSplitLimiter::Receive(const SingleAnswer& /*aAnswer*/, LimitOutput& /*aOutput*/)
{
}

void
StaticSplitLimiter::Drain(LimitOutput& /*aOutput*/)
{
  isDraining_ = true;
}

SingleGrantLimiter::SingleGrantLimiter(HolderId aSelf,
                                       const Clock& aClock,
                                       const LimitSettings& aSettings)
  : self_(std::move(aSelf))
  , clock_(aClock)
  , settings_(aSettings)
{
}

void
SingleGrantLimiter::SetRule(const WorkspaceId& aWorkspace, const BucketRule& aRule)
{
  rules_[aWorkspace] = aRule;
}

void
SingleGrantLimiter::RemoveRule(const WorkspaceId& aWorkspace)
{
  rules_.erase(aWorkspace);
}

void
SingleGrantLimiter::SetMembership(LogOffset aEpoch, TimePoint aEvidence, std::size_t /*aMembers*/)
{
  if (aEpoch > epoch_) {
    epoch_ = aEpoch;
    evidence_ = aEvidence;
  } else if (aEpoch == epoch_) {
    evidence_ = std::max(evidence_, aEvidence);
  }
}

bool
SingleGrantLimiter::IsFresh() const
{
  return clock_.Now() < evidence_ + settings_.freshnessBound_;
}

LocalReservation
SingleGrantLimiter::Reserve(const WorkspaceId& aWorkspace, TokenCount aTokens, LimitOutput& aOutput)
{
  const auto rule = rules_.find(aWorkspace);
  if (rule == rules_.end()) {
    return Refused(LimitRefusal::UnknownWorkspace, {}, "no rule names the workspace");
  }
  if (aTokens > rule->second.burst_) {
    return Refused(
      LimitRefusal::LargerThanBurst, {}, "the request is larger than the workspace's burst");
  }
  if (isDraining_) {
    return Refused(LimitRefusal::Draining, {}, "the host is draining");
  }
  LocalReservation result;
  result.id_ = nextId_++;
  result.status_ = ReserveStatus::Waiting;
  Waiting& waiting = waiting_[result.id_];
  waiting.workspace_ = aWorkspace;
  waiting.tokens_ = aTokens;
  waiting.since_ = clock_.Now();
  SendIfDue(waiting, aOutput);
  if (waiting.sequence_ != 0) {
    bySequence_.emplace(waiting.sequence_, result.id_);
  }
  return result;
}

void
SingleGrantLimiter::SendIfDue(Waiting& aWaiting, LimitOutput& aOutput)
{
  const TimePoint now = clock_.Now();
  const bool isOpen = aWaiting.sequence_ != 0;
  if (isOpen ? now < aWaiting.sentAt_ + settings_.answerTimeout_ : now < aWaiting.nextSend_) {
    return;
  }
  bySequence_.erase(aWaiting.sequence_);
  aWaiting.sequence_ = nextSequence_++;
  aWaiting.sentAt_ = now;
  aOutput.messages_.emplace_back(
    SingleRequest{ aWaiting.workspace_, self_, aWaiting.sequence_, epoch_, aWaiting.tokens_ });
}

void
SingleGrantLimiter::Settle(ReservationId /*aId*/, TokenCount /*aSpent*/, LimitOutput& /*aOutput*/)
{
}

void
SingleGrantLimiter::Cancel(ReservationId aId)
{
  if (const auto found = waiting_.find(aId); found != waiting_.end()) {
    bySequence_.erase(found->second.sequence_);
    waiting_.erase(found);
  }
}

void
SingleGrantLimiter::Tick(LimitOutput& aOutput)
{
  const TimePoint now = clock_.Now();
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    Waiting& waiting = it->second;
    if (waiting.since_ + settings_.maxWait_ <= now) {
      LocalReservation decision = Refused(
        LimitRefusal::OverRate, waiting.availableIn_, "the owner granted no tokens in time");
      decision.id_ = it->first;
      aOutput.decisions_.push_back(std::move(decision));
      bySequence_.erase(waiting.sequence_);
      it = waiting_.erase(it);
      continue;
    }
    SendIfDue(waiting, aOutput);
    bySequence_.emplace(waiting.sequence_, it->first);
    ++it;
  }
  bySequence_.erase(0);
}

void
SingleGrantLimiter::Receive(const GrantAnswer& /*aAnswer*/, LimitOutput& /*aOutput*/)
{
}

void
SingleGrantLimiter::Receive(const SingleAnswer& aAnswer, LimitOutput& aOutput)
{
  const auto open = bySequence_.find(aAnswer.sequence_);
  if (open == bySequence_.end() || aAnswer.holder_ != self_) {
    return;
  }
  const ReservationId id = open->second;
  bySequence_.erase(open);
  Waiting& waiting = waiting_.at(id);
  waiting.sequence_ = 0;
  const TimePoint now = clock_.Now();
  const bool isInTime = now < waiting.sentAt_ + settings_.answerTimeout_;
  if (aAnswer.isGranted_ && isInTime && aAnswer.epoch_ == epoch_ && IsFresh()) {
    LocalReservation decision;
    decision.id_ = id;
    decision.status_ = ReserveStatus::Granted;
    aOutput.decisions_.push_back(std::move(decision));
    waiting_.erase(id);
    return;
  }
  waiting.availableIn_ = aAnswer.availableIn_;
  waiting.nextSend_ = now + std::max(settings_.minPoll_, aAnswer.availableIn_);
}

void
SingleGrantLimiter::Drain(LimitOutput& aOutput)
{
  isDraining_ = true;
  for (const auto& [id, waiting] : waiting_) {
    LocalReservation decision = Refused(LimitRefusal::Draining, {}, "the host is draining");
    decision.id_ = id;
    aOutput.decisions_.push_back(std::move(decision));
  }
  waiting_.clear();
  bySequence_.clear();
}

} // namespace laburnumweir
