/** @file token_holder.cpp Tokens of all workspaces at one host, in chunks leased from their owners.
 */
#include "limits/token_holder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace laburnumweir {

namespace {

constexpr std::int64_t kNanos = 1'000'000'000;
/** Wait before asking again when the two sides have folded different memberships. */
constexpr Duration kEpochRetry = std::chrono::milliseconds(50);

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

TokenHolder::TokenHolder(HolderId aSelf, const Clock& aClock, const LimitSettings& aSettings)
  : self_(std::move(aSelf))
  , clock_(aClock)
  , settings_(aSettings)
{
}

void
TokenHolder::SetRule(const WorkspaceId& aWorkspace, const BucketRule& aRule)
{
  Workspace& workspace = workspaces_[aWorkspace];
  if (workspace.account_.number_ == 0) {
    workspace.account_.number_ = 1;
  }
  workspace.rule_ = aRule;
  std::deque<Waiting> kept;
  for (const Waiting& waiting : workspace.queue_) {
    if (waiting.tokens_ > aRule.burst_) {
      refused_.push_back(
        Refusal(workspace, waiting.id_, waiting.tokens_, LimitRefusal::LargerThanBurst));
      workspace.queued_ -= waiting.tokens_;
    } else {
      kept.push_back(waiting);
    }
  }
  workspace.queue_ = std::move(kept);
}

void
TokenHolder::RemoveRule(const WorkspaceId& aWorkspace)
{
  const auto found = workspaces_.find(aWorkspace);
  if (found == workspaces_.end()) {
    return;
  }
  RefuseAll(found->second, LimitRefusal::UnknownWorkspace);
  workspaces_.erase(found);
}

void
TokenHolder::SetMembership(LogOffset aEpoch, TimePoint aEvidence, std::size_t /*aMembers*/)
{
  if (aEpoch < epoch_) {
    return;
  }
  epoch_ = aEpoch;
  TimePoint& evidence = evidence_[aEpoch];
  evidence = std::max(evidence, aEvidence);
  const TimePoint now = clock_.Now();
  std::erase_if(evidence_, [&](const auto& aEntry) {
    return aEntry.first != epoch_ && aEntry.second + settings_.freshnessBound_ <= now;
  });
}

bool
TokenHolder::IsUsable(const Account& aAccount) const
{
  const TimePoint now = clock_.Now();
  const auto evidence = evidence_.find(aAccount.epoch_);
  return now < aAccount.leaseEnd_ && evidence != evidence_.end() &&
         now < evidence->second + settings_.freshnessBound_;
}

TokenHolder::Part
TokenHolder::TakeFrom(Account& aAccount, TokenCount aTokens)
{
  Batch& batch = aAccount.batches_[aAccount.openBatch_];
  batch.report_.batch_ = aAccount.openBatch_;
  batch.report_.taken_ += aTokens;
  aAccount.chunk_ -= aTokens;
  return Part{ aAccount.number_, aAccount.openBatch_, aTokens };
}

bool
TokenHolder::Take(const WorkspaceId& aId,
                  Workspace& aWorkspace,
                  TokenCount aTokens,
                  ReservationId aFor)
{
  const TokenCount old =
    aWorkspace.previous_ && IsUsable(*aWorkspace.previous_) ? aWorkspace.previous_->chunk_ : 0;
  const TokenCount current = IsUsable(aWorkspace.account_) ? aWorkspace.account_.chunk_ : 0;
  if (old + current < aTokens) {
    return false;
  }
  Granted granted{ aId, {} };
  // The old chunk lapses first.
  const TokenCount fromOld = std::min(old, aTokens);
  if (fromOld > 0) {
    granted.parts_.push_back(TakeFrom(*aWorkspace.previous_, fromOld));
  }
  if (aTokens > fromOld) {
    granted.parts_.push_back(TakeFrom(aWorkspace.account_, aTokens - fromOld));
  }
  granted_.emplace(aFor, std::move(granted));
  return true;
}

void
TokenHolder::NoteDemand(Workspace& aWorkspace, TokenCount aTokens)
{
  const TimePoint now = clock_.Now();
  const double window = Seconds(settings_.demandWindow_);
  aWorkspace.demand_ *= std::exp(-Seconds(now - aWorkspace.demandTime_) / window);
  aWorkspace.demand_ += static_cast<double>(aTokens) / window;
  aWorkspace.demandTime_ = now;
}

Duration
TokenHolder::RetryAfter(const Workspace& aWorkspace, TokenCount aTokens) const
{
  if (aWorkspace.rule_.rate_ <= 0) {
    return std::chrono::hours(1);
  }
  const Duration alone(aTokens * kNanos / aWorkspace.rule_.rate_);
  const Duration left = aWorkspace.availableIn_ - (clock_.Now() - aWorkspace.availableAsOf_);
  return std::max(alone, left);
}

LocalReservation
TokenHolder::Refusal(const Workspace& aWorkspace,
                     ReservationId aId,
                     TokenCount aTokens,
                     LimitRefusal aReason) const
{
  LocalReservation result;
  result.id_ = aId;
  result.status_ = ReserveStatus::Refused;
  result.refusal_ = aReason;
  switch (aReason) {
    case LimitRefusal::LargerThanBurst:
      result.message_ = "the request may use " + std::to_string(aTokens) +
                        " tokens, more than the workspace's burst of " +
                        std::to_string(aWorkspace.rule_.burst_);
      return result;
    case LimitRefusal::UnknownWorkspace:
      result.message_ = "no rule names the workspace";
      return result;
    case LimitRefusal::OverRate:
      result.message_ = "the workspace has used up its rate of " +
                        std::to_string(aWorkspace.rule_.rate_) + " tokens/s and its burst";
      break;
    case LimitRefusal::QueueFull:
      result.message_ = "too many requests of the workspace wait for tokens";
      break;
    case LimitRefusal::NoGrant:
      result.message_ = "the owner of the workspace's bucket did not answer in time";
      break;
    case LimitRefusal::NotFresh:
      result.message_ = "the host has no fresh view of the membership";
      break;
    case LimitRefusal::Draining:
      result.message_ = "the host is draining";
      break;
    case LimitRefusal::None:
      break;
  }
  result.retryAfter_ = RetryAfter(aWorkspace, aTokens);
  return result;
}

LimitRefusal
TokenHolder::WhyNotServed(const Workspace& aWorkspace) const
{
  const TimePoint now = clock_.Now();
  const auto evidence = evidence_.find(epoch_);
  if (evidence == evidence_.end() || evidence->second + settings_.freshnessBound_ <= now) {
    return LimitRefusal::NotFresh;
  }
  const Duration patience = settings_.answerTimeout_ + settings_.renewEvery_;
  return aWorkspace.answered_ + patience <= now ? LimitRefusal::NoGrant : LimitRefusal::OverRate;
}

LocalReservation
TokenHolder::Reserve(const WorkspaceId& aWorkspace, TokenCount aTokens, LimitOutput& aOutput)
{
  const TokenCount tokens = std::max<TokenCount>(0, aTokens);
  const auto found = workspaces_.find(aWorkspace);
  if (found == workspaces_.end()) {
    return Refusal(Workspace(), 0, tokens, LimitRefusal::UnknownWorkspace);
  }
  Workspace& workspace = found->second;
  if (tokens > workspace.rule_.burst_) {
    return Refusal(workspace, 0, tokens, LimitRefusal::LargerThanBurst);
  }
  if (isDraining_) {
    return Refusal(workspace, 0, tokens, LimitRefusal::Draining);
  }
  NoteDemand(workspace, tokens);
  LocalReservation result;
  if (workspace.queue_.empty() && Take(aWorkspace, workspace, tokens, nextId_)) {
    result.id_ = nextId_++;
    result.status_ = ReserveStatus::Granted;
    SendIfDue(aWorkspace, workspace, aOutput);
    return result;
  }
  if (workspace.queue_.size() >= settings_.maxQueued_) {
    return Refusal(workspace, 0, tokens, LimitRefusal::QueueFull);
  }
  const auto reachable = static_cast<TokenCount>(static_cast<double>(workspace.rule_.rate_) *
                                                 Seconds(settings_.maxWait_)) +
                         workspace.rule_.burst_;
  if (workspace.queued_ + tokens > reachable) {
    return Refusal(workspace, 0, workspace.queued_ + tokens, LimitRefusal::OverRate);
  }
  result.id_ = nextId_++;
  result.status_ = ReserveStatus::Waiting;
  const bool isFirst = workspace.queue_.empty();
  workspace.queue_.push_back(Waiting{ result.id_, tokens, clock_.Now() });
  workspace.queued_ += tokens;
  if (isFirst) {
    workspace.nextSend_ = std::min(workspace.nextSend_, clock_.Now());
  }
  SendIfDue(aWorkspace, workspace, aOutput);
  return result;
}

TokenHolder::Account*
TokenHolder::Find(Workspace& aWorkspace, std::uint64_t aNumber)
{
  if (aWorkspace.account_.number_ == aNumber) {
    return &aWorkspace.account_;
  }
  if (aWorkspace.previous_ && aWorkspace.previous_->number_ == aNumber) {
    return &*aWorkspace.previous_;
  }
  return nullptr;
}

void
TokenHolder::SettlePart(Workspace& aWorkspace, const Part& aPart, TokenCount aSpent)
{
  Account* account = Find(aWorkspace, aPart.account_);
  if (account == nullptr) {
    return;
  }
  const auto found = account->batches_.find(aPart.batch_);
  if (found == account->batches_.end()) {
    return;
  }
  Batch& batch = found->second;
  const TokenCount back = aPart.tokens_ - aSpent;
  if (aPart.batch_ == account->openBatch_) {
    // The owner still counts these tokens as part of the chunk.
    batch.report_.taken_ -= back;
    account->chunk_ += back;
  } else {
    batch.report_.returned_ += back;
  }
  batch.report_.spent_ += aSpent;
  batch.sent_ = 0;
}

void
TokenHolder::Settle(ReservationId aId, TokenCount aSpent, LimitOutput& aOutput)
{
  const auto found = granted_.find(aId);
  if (found == granted_.end()) {
    return;
  }
  const Granted granted = std::move(found->second);
  granted_.erase(found);
  const auto entry = workspaces_.find(granted.workspace_);
  if (entry == workspaces_.end()) {
    return;
  }
  Workspace& workspace = entry->second;
  TokenCount spent = std::max<TokenCount>(0, aSpent);
  for (const Part& part : granted.parts_) {
    const TokenCount here = std::min(spent, part.tokens_);
    SettlePart(workspace, part, here);
    spent -= here;
  }
  workspace.account_.debt_ += spent;
  Serve(granted.workspace_, workspace, aOutput);
}

void
TokenHolder::Cancel(ReservationId aId)
{
  for (auto& [id, workspace] : workspaces_) {
    const auto found = std::find_if(workspace.queue_.begin(),
                                    workspace.queue_.end(),
                                    [&](const Waiting& aWaiting) { return aWaiting.id_ == aId; });
    if (found != workspace.queue_.end()) {
      workspace.queued_ -= found->tokens_;
      workspace.queue_.erase(found);
      return;
    }
  }
}

void
TokenHolder::Serve(const WorkspaceId& aId, Workspace& aWorkspace, LimitOutput& aOutput)
{
  while (!aWorkspace.queue_.empty()) {
    const Waiting& first = aWorkspace.queue_.front();
    if (!Take(aId, aWorkspace, first.tokens_, first.id_)) {
      return;
    }
    LocalReservation decision;
    decision.id_ = first.id_;
    decision.status_ = ReserveStatus::Granted;
    aOutput.decisions_.push_back(std::move(decision));
    aWorkspace.queued_ -= first.tokens_;
    aWorkspace.queue_.pop_front();
  }
}

void
TokenHolder::RefuseAll(Workspace& aWorkspace, LimitRefusal aReason)
{
  for (const Waiting& waiting : aWorkspace.queue_) {
    refused_.push_back(Refusal(aWorkspace, waiting.id_, waiting.tokens_, aReason));
  }
  aWorkspace.queue_.clear();
  aWorkspace.queued_ = 0;
}

bool
TokenHolder::HasNews(const Workspace& aWorkspace) const
{
  const Account& account = aWorkspace.account_;
  if (!aWorkspace.queue_.empty() || account.chunk_ > 0 || account.debt_ > account.debtKnown_) {
    return true;
  }
  const double elapsed = Seconds(clock_.Now() - aWorkspace.demandTime_);
  const double demand = aWorkspace.demand_ * std::exp(-elapsed / Seconds(settings_.demandWindow_));
  if (settings_.isPrefetching_ && !isDraining_ && demand >= 1) {
    return true;
  }
  return std::any_of(account.batches_.begin(), account.batches_.end(), [](const auto& aEntry) {
    return aEntry.second.sent_ == 0;
  });
}

GrantRequest
TokenHolder::MakeRequest(const WorkspaceId& aId, Workspace& aWorkspace)
{
  Account& account = aWorkspace.account_;
  NoteDemand(aWorkspace, 0);
  const TokenCount keep = isDraining_ ? 0 : aWorkspace.keep_;
  // The margin keeps small changes of the demand from sending tokens back and forth.
  if (account.chunk_ > keep + keep / 4) {
    const Part part = TakeFrom(account, account.chunk_ - keep);
    account.batches_[part.batch_].report_.returned_ += part.tokens_;
  }
  GrantRequest request;
  request.workspace_ = aId;
  request.holder_ = self_;
  request.epoch_ = epoch_;
  request.account_ = account.number_;
  request.sequence_ = nextSequence_++;
  request.granted_ = account.granted_;
  request.debt_ = account.debt_;
  account.debtSent_ = account.debt_;
  request.demand_ = isDraining_ ? 0 : static_cast<TokenCount>(aWorkspace.demand_);
  request.queued_ = aWorkspace.queued_;
  request.head_ = aWorkspace.queue_.empty() ? 0 : aWorkspace.queue_.front().tokens_;
  request.isClosing_ = isDraining_;
  for (auto& [number, batch] : account.batches_) {
    if (batch.sent_ == 0) {
      batch.sent_ = request.sequence_;
      request.batches_.push_back(batch.report_);
    }
  }
  if (account.batches_.contains(account.openBatch_)) {
    ++account.openBatch_;
  }
  return request;
}

void
TokenHolder::SendIfDue(const WorkspaceId& aId, Workspace& aWorkspace, LimitOutput& aOutput)
{
  const TimePoint now = clock_.Now();
  if (aWorkspace.pending_ != 0) {
    if (now < aWorkspace.sentAt_ + settings_.answerTimeout_) {
      return;
    }
    // The request may be lost, so the next one repeats what it reported.
    for (auto& [number, batch] : aWorkspace.account_.batches_) {
      batch.sent_ = 0;
    }
    aWorkspace.pending_ = 0;
  } else if (now < aWorkspace.nextSend_) {
    return;
  }
  if (!HasNews(aWorkspace)) {
    return;
  }
  GrantRequest request = MakeRequest(aId, aWorkspace);
  aWorkspace.pending_ = request.sequence_;
  aWorkspace.sentAt_ = now;
  aOutput.messages_.emplace_back(std::move(request));
}

void
TokenHolder::Tick(LimitOutput& aOutput)
{
  const TimePoint now = clock_.Now();
  for (auto& [id, workspace] : workspaces_) {
    if (workspace.previous_ && workspace.previous_->leaseEnd_ <= now) {
      workspace.previous_.reset();
    }
    Serve(id, workspace, aOutput);
    while (!workspace.queue_.empty() &&
           workspace.queue_.front().since_ + settings_.maxWait_ <= now) {
      const Waiting waiting = workspace.queue_.front();
      workspace.queue_.pop_front();
      workspace.queued_ -= waiting.tokens_;
      aOutput.decisions_.push_back(
        Refusal(workspace, waiting.id_, waiting.tokens_, WhyNotServed(workspace)));
      Serve(id, workspace, aOutput);
    }
    SendIfDue(id, workspace, aOutput);
  }
  for (LocalReservation& refusal : refused_) {
    aOutput.decisions_.push_back(std::move(refusal));
  }
  refused_.clear();
}

void
TokenHolder::Confirm(Account& aAccount, std::uint64_t aSequence)
{
  std::erase_if(aAccount.batches_, [&](const auto& aEntry) {
    const BatchReport& report = aEntry.second.report_;
    return aEntry.second.sent_ == aSequence && report.taken_ == report.returned_ + report.spent_;
  });
  aAccount.debtKnown_ = std::max(aAccount.debtKnown_, aAccount.debtSent_);
}

void
TokenHolder::Rotate(Workspace& aWorkspace)
{
  Account next;
  next.number_ = aWorkspace.account_.number_ + 1;
  next.debt_ = aWorkspace.account_.debt_ - aWorkspace.account_.debtKnown_;
  if (IsUsable(aWorkspace.account_) && aWorkspace.account_.chunk_ > 0) {
    aWorkspace.previous_ = std::move(aWorkspace.account_);
  }
  aWorkspace.account_ = std::move(next);
  aWorkspace.keep_ = 0;
}

void
TokenHolder::Receive(const GrantAnswer& aAnswer, LimitOutput& aOutput)
{
  const auto found = workspaces_.find(aAnswer.workspace_);
  if (found == workspaces_.end() || aAnswer.holder_ != self_) {
    return;
  }
  Workspace& workspace = found->second;
  Account& account = workspace.account_;
  // Only the newest request counts: the owner may take back what an older answer granted.
  if (workspace.pending_ == 0 || workspace.pending_ != aAnswer.sequence_ ||
      account.number_ != aAnswer.account_) {
    return;
  }
  const TimePoint now = clock_.Now();
  const TimePoint sentAt = workspace.sentAt_;
  workspace.pending_ = 0;
  const bool isSameEpoch = aAnswer.epoch_ == epoch_;
  if (!isSameEpoch || aAnswer.status_ == GrantStatus::WrongEpoch ||
      aAnswer.status_ == GrantStatus::Stale) {
    for (auto& [number, batch] : account.batches_) {
      batch.sent_ = 0;
    }
    workspace.nextSend_ = now + kEpochRetry;
    return;
  }
  if (aAnswer.status_ == GrantStatus::UnknownAccount) {
    Rotate(workspace);
    workspace.nextSend_ = now;
    SendIfDue(aAnswer.workspace_, workspace, aOutput);
    return;
  }
  Confirm(account, aAnswer.sequence_);
  account.chunk_ += aAnswer.granted_ - account.granted_;
  account.granted_ = aAnswer.granted_;
  account.epoch_ = aAnswer.epoch_;
  account.leaseEnd_ = sentAt + aAnswer.lease_;
  workspace.answered_ = now;
  workspace.keep_ = aAnswer.keep_;
  workspace.availableIn_ = aAnswer.availableIn_;
  workspace.availableAsOf_ = now;
  workspace.nextSend_ = now + aAnswer.renewAfter_;
  Serve(aAnswer.workspace_, workspace, aOutput);
}

void
TokenHolder::Receive(const SingleAnswer& /*aAnswer*/, LimitOutput& /*aOutput*/)
{
}

void
TokenHolder::Drain(LimitOutput& aOutput)
{
  isDraining_ = true;
  for (auto& [id, workspace] : workspaces_) {
    RefuseAll(workspace, LimitRefusal::Draining);
    workspace.nextSend_ = clock_.Now();
  }
  Tick(aOutput);
}

TokenCount
TokenHolder::Usable(const WorkspaceId& aWorkspace) const
{
  const auto found = workspaces_.find(aWorkspace);
  if (found == workspaces_.end()) {
    return 0;
  }
  const Workspace& workspace = found->second;
  TokenCount usable = IsUsable(workspace.account_) ? workspace.account_.chunk_ : 0;
  if (workspace.previous_ && IsUsable(*workspace.previous_)) {
    usable += workspace.previous_->chunk_;
  }
  return usable;
}

TokenCount
TokenHolder::Queued(const WorkspaceId& aWorkspace) const
{
  const auto found = workspaces_.find(aWorkspace);
  return found == workspaces_.end() ? 0 : found->second.queued_;
}

bool
TokenHolder::IsDrained() const
{
  return isDraining_ && granted_.empty() &&
         std::all_of(workspaces_.begin(), workspaces_.end(), [&](const auto& aEntry) {
           return aEntry.second.pending_ == 0 && !HasNews(aEntry.second);
         });
}

} // namespace laburnumweir
