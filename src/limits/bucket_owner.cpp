/** @file bucket_owner.cpp Token bucket of one workspace at the host that owns it. */
#include "limits/bucket_owner.h"

#include <algorithm>
#include <utility>

namespace laburnumweir {

namespace {

constexpr std::int64_t kNanos = 1'000'000'000;

} // namespace

BucketOwner::BucketOwner(WorkspaceId aWorkspace,
                         const BucketRule& aRule,
                         LogOffset aEpoch,
                         const Clock& aClock,
                         const LimitSettings& aSettings)
  : workspace_(std::move(aWorkspace))
  , rule_(aRule)
  , epoch_(aEpoch)
  , clock_(aClock)
  , settings_(aSettings)
  , evidence_(aClock.Now())
  , grantsFrom_(aClock.Now() + aSettings.WithClockError(aSettings.freshnessBound_))
  , filled_(grantsFrom_)
{
}

void
BucketOwner::StartFull()
{
  grantsFrom_ = clock_.Now();
  filled_ = grantsFrom_;
  level_ = rule_.burst_;
}

void
BucketOwner::SetMembership(LogOffset aEpoch, TimePoint aEvidence)
{
  epoch_ = std::max(epoch_, aEpoch);
  evidence_ = std::max(evidence_, aEvidence);
}

void
BucketOwner::SetRule(const BucketRule& aRule)
{
  Refill();
  rule_ = aRule;
  level_ = std::min(level_, std::max<TokenCount>(0, rule_.burst_ - chunks_));
  Reduce(level_ + chunks_ + refundable_ - rule_.burst_);
}

void
BucketOwner::Refill()
{
  const TimePoint now = clock_.Now();
  // A chunk keeps the bucket from being refilled until it lapses, however late that is noticed.
  for (;;) {
    Holder* first = nullptr;
    for (auto& [id, holder] : holders_) {
      if (holder.hasAccount_ &&
          (first == nullptr || holder.account_.leaseEnd_ < first->account_.leaseEnd_)) {
        first = &holder;
      }
    }
    const bool isSingle = !singles_.empty() && (first == nullptr || singles_.front().leaseEnd_ <
                                                                      first->account_.leaseEnd_);
    if (isSingle && singles_.front().leaseEnd_ <= now) {
      RefillUntil(singles_.front().leaseEnd_);
      chunks_ -= singles_.front().tokens_;
      singles_.pop_front();
    } else if (!isSingle && first != nullptr && first->account_.leaseEnd_ <= now) {
      RefillUntil(first->account_.leaseEnd_);
      CloseAccount(*first);
    } else {
      break;
    }
  }
  RefillUntil(now);
  std::erase_if(holders_, [&](const auto& aEntry) {
    return !aEntry.second.hasAccount_ && aEntry.second.heard_ + settings_.lease_ * 2 <= now;
  });
  // A holder that stopped asking must not keep others from the tokens.
  const Duration patience = std::max(settings_.maxWait_, settings_.renewEveryMany_);
  std::erase_if(waiters_, [&](const Waiter& aWaiter) { return aWaiter.heard_ + patience <= now; });
}

void
BucketOwner::RefillUntil(TimePoint aTime)
{
  if (aTime <= filled_) {
    return;
  }
  const TokenCount room = std::max<TokenCount>(0, rule_.burst_ - level_ - chunks_);
  // Bounds the product below; longer times fill the bucket anyway.
  const std::int64_t longest =
    rule_.rate_ == 0 ? 0 : (rule_.burst_ - std::min<TokenCount>(level_, 0) + 1) / rule_.rate_ + 1;
  const std::int64_t elapsed = std::min((aTime - filled_).count(), longest * kNanos);
  filled_ = aTime;
  remainder_ += elapsed * rule_.rate_;
  const TokenCount added = remainder_ / kNanos;
  remainder_ %= kNanos;
  if (added >= room) {
    remainder_ = 0;
  }
  level_ += std::min(added, room);
  Reduce(level_ + chunks_ + refundable_ - rule_.burst_);
}

void
BucketOwner::Reduce(TokenCount aTokens)
{
  auto it = batches_.begin();
  while (aTokens > 0 && it != batches_.end()) {
    const TokenCount part = std::min(aTokens, it->second.refundable_);
    it->second.refundable_ -= part;
    refundable_ -= part;
    aTokens -= part;
    it = it->second.refundable_ == 0 ? batches_.erase(it) : std::next(it);
  }
}

void
BucketOwner::EraseBatch(Account& aAccount, std::uint64_t aNumber)
{
  const auto key = aAccount.batches_.find(aNumber);
  if (const auto batch = batches_.find(key->second); batch != batches_.end()) {
    refundable_ -= batch->second.refundable_;
    batches_.erase(batch);
  }
  aAccount.batches_.erase(key);
}

void
BucketOwner::CloseAccount(Holder& aHolder)
{
  Account& account = aHolder.account_;
  // The chunk may have been spent without a report, so it is not added to the level.
  chunks_ -= account.chunk_;
  while (!account.batches_.empty()) {
    EraseBatch(account, account.batches_.begin()->first);
  }
  account = Account();
  aHolder.hasAccount_ = false;
}

bool
BucketOwner::ApplyBatch(Account& aAccount, const BatchReport& aReport)
{
  const TokenCount open = aReport.taken_ - aReport.returned_ - aReport.spent_;
  if (open < 0 || aReport.returned_ < 0 || aReport.spent_ < 0) {
    return false;
  }
  if (aReport.batch_ > aAccount.lastBatch_) {
    if (aReport.taken_ > aAccount.chunk_) {
      return false;
    }
    aAccount.lastBatch_ = aReport.batch_;
    aAccount.chunk_ -= aReport.taken_;
    chunks_ -= aReport.taken_;
    // Until now all of it counted as chunk, so what comes back was not reduced.
    level_ += aReport.returned_;
    if (open > 0) {
      const std::uint64_t key = nextBatch_++;
      aAccount.batches_.emplace(aReport.batch_, key);
      batches_.emplace(key, Batch{ open, aReport.returned_ });
      refundable_ += open;
    }
    return true;
  }
  const auto key = aAccount.batches_.find(aReport.batch_);
  if (key == aAccount.batches_.end()) {
    return true;
  }
  const auto found = batches_.find(key->second);
  if (found == batches_.end()) {
    aAccount.batches_.erase(key);
    return true;
  }
  Batch& batch = found->second;
  const TokenCount credit =
    std::min(std::max<TokenCount>(0, aReport.returned_ - batch.returned_), batch.refundable_);
  batch.returned_ = std::max(batch.returned_, aReport.returned_);
  level_ += credit;
  const TokenCount left = std::min(batch.refundable_ - credit, open);
  refundable_ -= batch.refundable_ - left;
  batch.refundable_ = left;
  if (left == 0) {
    EraseBatch(aAccount, aReport.batch_);
  }
  return true;
}

bool
BucketOwner::Report(Holder& aHolder, const GrantRequest& aRequest)
{
  if (aRequest.granted_ > aHolder.account_.granted_) {
    return false;
  }
  for (const BatchReport& batch : aRequest.batches_) {
    if (!ApplyBatch(aHolder.account_, batch)) {
      return false;
    }
  }
  const TokenCount newDebt = std::max<TokenCount>(0, aRequest.debt_ - aHolder.account_.debt_);
  level_ -= newDebt;
  aHolder.account_.debt_ += newDebt;
  // Matters only after the burst was lowered below what holders held.
  level_ = std::min(level_, std::max<TokenCount>(0, rule_.burst_ - chunks_));
  aHolder.demand_ = aRequest.demand_;
  aHolder.queued_ = aRequest.queued_;
  return true;
}

Duration
BucketOwner::TimeFor(TokenCount aTokens) const
{
  if (aTokens <= 0) {
    return Duration::zero();
  }
  if (rule_.rate_ == 0) {
    return std::chrono::hours(1);
  }
  return Duration(aTokens / rule_.rate_ * kNanos + aTokens % rule_.rate_ * kNanos / rule_.rate_);
}

TokenCount
BucketOwner::Wanted(const Holder& aHolder, const GrantRequest& aRequest) const
{
  if (aRequest.isClosing_) {
    return 0;
  }
  TokenCount stock = 0;
  if (settings_.isPrefetching_) {
    TokenCount demand = 0;
    for (const auto& [id, holder] : holders_) {
      demand += holder.demand_;
    }
    const auto ahead = std::chrono::duration<double>(settings_.ahead_).count();
    const double share = demand == 0
                           ? 0.0
                           : static_cast<double>(rule_.burst_) *
                               static_cast<double>(aHolder.demand_) / static_cast<double>(demand);
    stock = static_cast<TokenCount>(std::min(static_cast<double>(aHolder.demand_) * ahead, share));
  }
  return std::min(rule_.burst_, aRequest.queued_ + stock);
}

bool
BucketOwner::Queue(const GrantRequest& aRequest, TokenCount aNeeds, TimePoint aNow)
{
  const auto mine = std::find_if(waiters_.begin(), waiters_.end(), [&](const Waiter& aWaiter) {
    return aWaiter.holder_ == aRequest.holder_;
  });
  if (aNeeds <= 0) {
    if (mine != waiters_.end()) {
      waiters_.erase(mine);
    }
    return true;
  }
  TokenCount before = 0;
  for (auto it = waiters_.begin(); it != mine; ++it) {
    before += it->needs_;
  }
  if (before + aNeeds <= level_) {
    if (mine != waiters_.end()) {
      waiters_.erase(mine);
    }
    return true;
  }
  if (mine != waiters_.end()) {
    mine->needs_ = aNeeds;
    mine->heard_ = aNow;
  } else {
    waiters_.push_back(Waiter{ aRequest.holder_, aNeeds, aNow });
  }
  return false;
}

void
BucketOwner::Give(Holder& aHolder, const GrantRequest& aRequest, GrantAnswer& aAnswer)
{
  const TimePoint now = clock_.Now();
  Account& account = aHolder.account_;
  const TokenCount needs = aRequest.isClosing_ ? 0 : aRequest.head_ - account.chunk_;
  const bool isServed = Queue(aRequest, needs, now);
  const TokenCount wanted = Wanted(aHolder, aRequest);
  TokenCount given = 0;
  if (isServed) {
    TokenCount before = 0;
    for (const Waiter& waiter : waiters_) {
      before += waiter.needs_;
    }
    given =
      std::clamp<TokenCount>(wanted - account.chunk_, 0, std::max<TokenCount>(0, level_ - before));
    // The first request was found to fit in front of those that wait behind it.
    given = std::max(given, std::max<TokenCount>(0, std::min(needs, level_)));
    aAnswer.keep_ = wanted;
  } else {
    const bool isFirst = waiters_.front().holder_ == aRequest.holder_;
    // Its requests wait in sequence, so it cannot use its chunk before its first request is served.
    // Giving it back keeps several holders from each waiting for what the others hold.
    aAnswer.keep_ = isFirst ? wanted : 0;
  }
  level_ -= given;
  account.chunk_ += given;
  chunks_ += given;
  account.granted_ += given;
  account.leaseEnd_ = now + settings_.WithClockError(settings_.lease_);

  TokenCount queued = 0;
  for (const auto& [id, holder] : holders_) {
    queued += holder.queued_;
  }
  aAnswer.availableIn_ = TimeFor(queued - level_ - chunks_);
  const Duration regular =
    holders_.size() > settings_.manyHolders_ ? settings_.renewEveryMany_ : settings_.renewEvery_;
  aAnswer.renewAfter_ =
    isServed && account.chunk_ >= aRequest.queued_
      ? regular
      : std::clamp(TimeFor(aRequest.head_ - account.chunk_ - level_), settings_.minPoll_, regular);
  aAnswer.granted_ = account.granted_;
  aAnswer.lease_ = settings_.lease_;
}

GrantAnswer
BucketOwner::MakeAnswer(const GrantRequest& aRequest, GrantStatus aStatus) const
{
  GrantAnswer answer;
  answer.workspace_ = workspace_;
  answer.holder_ = aRequest.holder_;
  answer.epoch_ = epoch_;
  answer.account_ = aRequest.account_;
  answer.sequence_ = aRequest.sequence_;
  answer.status_ = aStatus;
  return answer;
}

GrantAnswer
BucketOwner::Handle(const GrantRequest& aRequest)
{
  const TimePoint now = clock_.Now();
  if (aRequest.epoch_ != epoch_ || evidence_ + settings_.freshnessBound_ <= now) {
    return MakeAnswer(aRequest, GrantStatus::WrongEpoch);
  }
  Refill();
  Holder& holder = holders_[aRequest.holder_];
  if (aRequest.sequence_ <= holder.sequence_) {
    return aRequest.sequence_ == holder.sequence_ ? holder.answer_
                                                  : MakeAnswer(aRequest, GrantStatus::Stale);
  }
  holder.sequence_ = aRequest.sequence_;
  holder.heard_ = now;
  if (holder.hasAccount_ && holder.account_.number_ != aRequest.account_) {
    CloseAccount(holder);
  }
  const bool isNew = aRequest.granted_ == 0 && aRequest.batches_.empty();
  if (!holder.hasAccount_ && isNew) {
    holder.hasAccount_ = true;
    holder.account_.number_ = aRequest.account_;
  }
  // An account with other counts than the holder's was opened by a late copy of an old request.
  if (!holder.hasAccount_ || !Report(holder, aRequest)) {
    if (holder.hasAccount_) {
      CloseAccount(holder);
    }
    holder.answer_ = MakeAnswer(aRequest, GrantStatus::UnknownAccount);
    return holder.answer_;
  }
  GrantAnswer answer = MakeAnswer(aRequest, GrantStatus::Ok);
  if (now < grantsFrom_) {
    holder.account_.leaseEnd_ = now + settings_.WithClockError(settings_.lease_);
    answer.lease_ = settings_.lease_;
    answer.renewAfter_ = std::clamp(grantsFrom_ - now, settings_.minPoll_, settings_.renewEvery_);
    answer.availableIn_ = grantsFrom_ - now + TimeFor(holder.queued_);
    answer.keep_ = rule_.burst_;
  } else {
    Give(holder, aRequest, answer);
  }
  holder.answer_ = answer;
  return answer;
}

SingleAnswer
BucketOwner::Handle(const SingleRequest& aRequest)
{
  SingleAnswer answer;
  answer.workspace_ = workspace_;
  answer.holder_ = aRequest.holder_;
  answer.sequence_ = aRequest.sequence_;
  answer.epoch_ = epoch_;
  Refill();
  const TimePoint now = clock_.Now();
  if (aRequest.epoch_ != epoch_ || aRequest.tokens_ < 0 || now < grantsFrom_ ||
      evidence_ + settings_.freshnessBound_ <= now) {
    answer.availableIn_ = std::max(Duration::zero(), grantsFrom_ - now);
    return answer;
  }
  answer.isGranted_ = aRequest.tokens_ <= level_;
  if (answer.isGranted_) {
    level_ -= aRequest.tokens_;
    chunks_ += aRequest.tokens_;
    const Duration lease = settings_.WithClockError(settings_.answerTimeout_);
    singles_.push_back(Single{ aRequest.tokens_, now + lease });
  } else {
    answer.availableIn_ = TimeFor(aRequest.tokens_ - level_);
  }
  return answer;
}

TokenCount
BucketOwner::Level()
{
  Refill();
  return level_;
}

TokenCount
BucketOwner::Outstanding()
{
  Refill();
  return chunks_;
}

} // namespace laburnumweir
