/** @file bucket_test.cpp Fault cases of one owner and its holders, step by step. */
#include "limits/bucket_owner.h"
#include "limits/token_holder.h"

#include <gtest/gtest.h>
#include <optional>

namespace laburnumweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FakeClock : public Clock
{
public:
  TimePoint Now() const override { return now_; }
  WallTime WallNow() const override { return WallTime(); }
  void Advance(Duration aTime) { now_ += aTime; }

private:
  TimePoint now_{ seconds(1000) };
};

/** One owner and one holder with the rule 1000 tokens/s, burst 4000. */
class Bucket : public ::testing::Test
{
protected:
  Bucket()
    : owner_(kWorkspace, kRule, 1, clock_, settings_)
    , holder_(kSelf, clock_, settings_)
  {
    holder_.SetRule(kWorkspace, kRule);
    Advance(seconds(10));
  }

  void Advance(Duration aTime)
  {
    clock_.Advance(aTime);
    KnowEpoch(epoch_);
  }
  void KnowEpoch(LogOffset aEpoch)
  {
    epoch_ = aEpoch;
    owner_.SetMembership(aEpoch, clock_.Now());
    holder_.SetMembership(aEpoch, clock_.Now(), 2);
  }
  /** Reserves and returns the request that the holder sends, if any. */
  std::optional<GrantRequest> Reserve(TokenCount aTokens)
  {
    LimitOutput output;
    result_ = holder_.Reserve(kWorkspace, aTokens, output);
    return Last(output);
  }
  std::optional<GrantRequest> Tick()
  {
    LimitOutput output;
    holder_.Tick(output);
    decisions_ = output.decisions_;
    return Last(output);
  }
  void Receive(const GrantAnswer& aAnswer)
  {
    LimitOutput output;
    holder_.Receive(aAnswer, output);
    decisions_ = output.decisions_;
  }
  /** Lets the holder obtain a chunk of about aTokens and returns the answer that brought it. */
  GrantAnswer Stock(TokenCount aTokens)
  {
    const auto request = Reserve(aTokens);
    EXPECT_TRUE(request.has_value());
    GrantAnswer answer = owner_.Handle(*request);
    Receive(answer);
    LimitOutput output;
    holder_.Settle(result_.id_, 0, output);
    return answer;
  }

  static std::optional<GrantRequest> Last(const LimitOutput& aOutput)
  {
    if (aOutput.messages_.empty()) {
      return std::nullopt;
    }
    return std::get<GrantRequest>(aOutput.messages_.back());
  }

  inline static const WorkspaceId kWorkspace{ "w" };    // NOLINT
  inline static const HolderId kSelf{ HostId("a"), 1 }; // NOLINT
  static constexpr BucketRule kRule{ 1000, 4000 };
  FakeClock clock_;
  LimitSettings settings_;
  LogOffset epoch_ = 1;
  BucketOwner owner_;
  TokenHolder holder_;
  LocalReservation result_;
  std::vector<LocalReservation> decisions_;
};

/** Guards against a request that can never be granted being kept waiting. */
TEST_F(Bucket, RefusesMoreThanTheBurstAtOnce)
{
  EXPECT_FALSE(Reserve(4001).has_value());
  EXPECT_EQ(ReserveStatus::Refused, result_.status_);
  EXPECT_EQ(LimitRefusal::LargerThanBurst, result_.refusal_);
  EXPECT_EQ("the request may use 4001 tokens, more than the workspace's burst of 4000",
            result_.message_);
}

/** Guards against grants by an owner whose predecessor's chunks may still be in use. */
TEST_F(Bucket, NewOwnerWaitsForTheFreshnessBoundAndClockError)
{
  BucketOwner next(kWorkspace, kRule, 1, clock_, settings_);
  Advance(milliseconds(2149));
  EXPECT_EQ(0, next.Level());
  Advance(milliseconds(1001));
  EXPECT_EQ(1000, next.Level());
}

/** Guards against an owner that follows an outdated rule because it is cut off from the log. */
TEST_F(Bucket, OwnerWithoutFreshEvidenceGrantsNothing)
{
  const auto request = Reserve(100);
  clock_.Advance(milliseconds(2000));
  EXPECT_EQ(GrantStatus::WrongEpoch, owner_.Handle(*request).status_);
  EXPECT_EQ(0, owner_.Outstanding());
}

/** Guards against a lease that outlives the owner's count of it because the answer was slow. */
TEST_F(Bucket, LeaseCountsFromTheSendingOfTheRequest)
{
  const auto request = Reserve(1000);
  const GrantAnswer answer = owner_.Handle(*request);
  Advance(milliseconds(400));
  Receive(answer);
  ASSERT_GT(holder_.Usable(kWorkspace), 0);
  Advance(settings_.lease_ - milliseconds(401));
  EXPECT_GT(holder_.Usable(kWorkspace), 0);
  Advance(milliseconds(1));
  EXPECT_EQ(0, holder_.Usable(kWorkspace));
}

/** Guards against a chunk of an earlier epoch in use after a new owner may have begun. */
TEST_F(Bucket, ChunkEndsWithTheEvidenceForItsEpoch)
{
  Stock(1000);
  ASSERT_GT(holder_.Usable(kWorkspace), 0);
  holder_.SetMembership(2, clock_.Now() + milliseconds(100), 2);
  clock_.Advance(milliseconds(1999));
  holder_.SetMembership(2, clock_.Now(), 2);
  EXPECT_GT(holder_.Usable(kWorkspace), 0);
  clock_.Advance(milliseconds(1));
  holder_.SetMembership(2, clock_.Now(), 2);
  EXPECT_EQ(0, holder_.Usable(kWorkspace));
}

/** Guards against a holder cut off from the log that uses its chunk while a new owner grants. */
TEST_F(Bucket, ChunkEndsWithoutFreshEvidence)
{
  Stock(1000);
  clock_.Advance(milliseconds(1999));
  EXPECT_GT(holder_.Usable(kWorkspace), 0);
  clock_.Advance(milliseconds(1));
  EXPECT_EQ(0, holder_.Usable(kWorkspace));
  Reserve(1);
  EXPECT_EQ(ReserveStatus::Waiting, result_.status_);
}

/** Guards against a grant of an epoch that the holder has no evidence for. */
TEST_F(Bucket, IgnoresAnAnswerOfAnotherEpoch)
{
  for (const LogOffset epoch : { LogOffset(2), LogOffset(0) }) {
    const auto request = Reserve(1000);
    if (!request) {
      continue;
    }
    GrantAnswer answer = owner_.Handle(*request);
    answer.epoch_ = epoch;
    Receive(answer);
    EXPECT_EQ(0, holder_.Usable(kWorkspace)) << epoch;
  }
}

/** Guards against a late copy of an old answer that renews a lease which the owner did not renew.
 */
TEST_F(Bucket, IgnoresARepeatedAnswerToAnEarlierRequest)
{
  const GrantAnswer old = Stock(1000);
  Advance(settings_.lease_ - milliseconds(100));
  ASSERT_TRUE(Tick().has_value()); // This request is lost.
  Receive(old);
  Advance(milliseconds(100));
  EXPECT_EQ(0, holder_.Usable(kWorkspace));
}

/** Guards against a late copy of a request that closes the account which replaced its own. */
TEST_F(Bucket, IgnoresALateRequestOfAnEarlierAccount)
{
  const auto first = Reserve(1000);
  Receive(owner_.Handle(*first));
  Advance(settings_.lease_ * 2); // The account lapses.
  const auto second = Tick();
  ASSERT_TRUE(second.has_value());
  const GrantAnswer unknown = owner_.Handle(*second);
  ASSERT_EQ(GrantStatus::UnknownAccount, unknown.status_);
  Receive(unknown);
  const auto third = Reserve(4000) ? std::nullopt : Tick();
  Advance(settings_.answerTimeout_);
  const auto fourth = Tick();
  ASSERT_TRUE(fourth.has_value());
  EXPECT_NE(first->account_, fourth->account_);
  Receive(owner_.Handle(*fourth));
  const TokenCount outstanding = owner_.Outstanding();
  ASSERT_GT(outstanding, 0);
  EXPECT_EQ(GrantStatus::Stale, owner_.Handle(*first).status_);
  EXPECT_EQ(outstanding, owner_.Outstanding());
}

/** Guards against a repeated request that is granted twice. */
TEST_F(Bucket, ARepeatedRequestGetsTheSameAnswer)
{
  const auto request = Reserve(1000);
  const GrantAnswer first = owner_.Handle(*request);
  const TokenCount outstanding = owner_.Outstanding();
  const GrantAnswer second = owner_.Handle(*request);
  EXPECT_EQ(first.granted_, second.granted_);
  EXPECT_EQ(outstanding, owner_.Outstanding());
}

/** Guards against tokens that came back after the bucket had been refilled in their place. */
TEST_F(Bucket, TokensThatComeBackLateAreLost)
{
  Receive(owner_.Handle(*Reserve(4000)));
  const ReservationId id = result_.id_;
  ASSERT_EQ(1U, decisions_.size());
  Advance(settings_.renewEvery_);
  Receive(owner_.Handle(*Tick())); // Reports the 4000 as taken.
  EXPECT_EQ(4000, owner_.Refundable());
  Advance(milliseconds(3000));
  EXPECT_EQ(3000, owner_.Level());
  EXPECT_EQ(1000, owner_.Refundable());
  LimitOutput output;
  holder_.Settle(id, 0, output);
  Receive(owner_.Handle(*Tick()));
  EXPECT_EQ(4000, owner_.Level() + owner_.Outstanding());
  EXPECT_EQ(0, owner_.Refundable());
}

/** Guards against the tokens of a lapsed chunk being granted again although they may be spent. */
TEST_F(Bucket, ALapsedChunkCountsAsSpent)
{
  owner_.Handle(*Reserve(4000));
  EXPECT_EQ(4000, owner_.Outstanding());
  Advance(settings_.WithClockError(settings_.lease_));
  EXPECT_EQ(0, owner_.Outstanding());
  EXPECT_EQ(0, owner_.Level());
}

/** Guards against tokens spent beyond the reservation being forgotten, also when a message is lost.
 */
TEST_F(Bucket, SpendingMoreThanReservedBecomesDebt)
{
  Receive(owner_.Handle(*Reserve(4000)));
  LimitOutput output;
  holder_.Settle(result_.id_, 6500, output);
  Advance(settings_.renewEvery_);
  const auto lost = Tick();
  ASSERT_TRUE(lost.has_value());
  EXPECT_EQ(2500, lost->debt_);
  Advance(settings_.answerTimeout_);
  const auto repeated = Tick();
  ASSERT_TRUE(repeated.has_value());
  Receive(owner_.Handle(*repeated));
  EXPECT_EQ(-2500, owner_.Level());
  Advance(milliseconds(2500));
  EXPECT_EQ(0, owner_.Level());
}

/** Guards against debt that is lost when the owner changes before it heard of it. */
TEST_F(Bucket, DebtFollowsToANewOwner)
{
  Receive(owner_.Handle(*Reserve(4000)));
  LimitOutput output;
  holder_.Settle(result_.id_, 5000, output);
  BucketOwner next(kWorkspace, kRule, 2, clock_, settings_);
  KnowEpoch(2);
  next.SetMembership(2, clock_.Now());
  Advance(settings_.renewEvery_);
  Receive(next.Handle(*Tick()));
  next.SetMembership(2, clock_.Now());
  Advance(seconds(1));
  next.SetMembership(2, clock_.Now());
  const auto request = Tick();
  ASSERT_TRUE(request.has_value());
  EXPECT_EQ(1000, request->debt_);
  next.Handle(*request);
  EXPECT_EQ(-1000, next.Level());
}

/** Guards against a host that keeps tokens which nobody can use after it has drained. */
TEST_F(Bucket, DrainReturnsWhatIsNotSpent)
{
  Stock(2000);
  ASSERT_GT(owner_.Outstanding(), 0);
  LimitOutput output;
  holder_.Drain(output);
  const auto request = Last(output);
  ASSERT_TRUE(request.has_value());
  Receive(owner_.Handle(*request));
  EXPECT_EQ(0, owner_.Outstanding());
  EXPECT_EQ(4000, owner_.Level());
  EXPECT_TRUE(holder_.IsDrained());
  Reserve(10);
  EXPECT_EQ(LimitRefusal::Draining, result_.refusal_);
}

/** Guards against a lowered burst that lets tokens above it be granted. */
TEST_F(Bucket, ALoweredBurstHoldsForWhatIsNotGrantedYet)
{
  owner_.SetRule(BucketRule{ 1000, 500 });
  EXPECT_EQ(500, owner_.Level());
  owner_.SetRule(BucketRule{ 1000, 5000 });
  EXPECT_EQ(500, owner_.Level());
  Advance(milliseconds(100));
  EXPECT_EQ(600, owner_.Level());
}

/** Guards against a wait without end, and against a reason and a time that are not true. */
TEST_F(Bucket, ARequestWithoutAnAnswerIsRefusedAfterTheLongestWait)
{
  Reserve(100);
  EXPECT_EQ(ReserveStatus::Waiting, result_.status_);
  Advance(settings_.maxWait_ - milliseconds(1));
  Tick();
  EXPECT_TRUE(decisions_.empty());
  Advance(milliseconds(1));
  Tick();
  ASSERT_EQ(1U, decisions_.size());
  EXPECT_EQ(LimitRefusal::NoGrant, decisions_[0].refusal_);
  EXPECT_GT(decisions_[0].retryAfter_, Duration::zero());
}

/** Guards against a retry time after which the tokens are still not there. */
TEST_F(Bucket, TokensAreThereAfterTheRetryTime)
{
  Receive(owner_.Handle(*Reserve(4000)));
  Advance(settings_.renewEvery_);
  Receive(owner_.Handle(*Tick()));
  Reserve(4000);
  for (int i = 0; i < 100 && decisions_.empty(); ++i) {
    Advance(milliseconds(20));
    if (const auto request = Tick()) {
      const auto before = decisions_;
      Receive(owner_.Handle(*request));
      decisions_.insert(decisions_.end(), before.begin(), before.end());
    }
  }
  ASSERT_EQ(1U, decisions_.size());
  ASSERT_EQ(LimitRefusal::OverRate, decisions_[0].refusal_);
  Advance(decisions_[0].retryAfter_);
  EXPECT_GE(owner_.Level() + owner_.Outstanding(), 3999);
}

/** Guards against small requests that overtake a large one until it times out. */
TEST_F(Bucket, ServesWaitingRequestsInSequence)
{
  Reserve(3000);
  const ReservationId first = result_.id_;
  Advance(settings_.answerTimeout_);
  const auto request = Reserve(10);
  const ReservationId second = result_.id_;
  ASSERT_TRUE(request.has_value());
  Receive(owner_.Handle(*request));
  ASSERT_EQ(2U, decisions_.size());
  EXPECT_EQ(first, decisions_[0].id_);
  EXPECT_EQ(second, decisions_[1].id_);
}

} // namespace
} // namespace laburnumweir
