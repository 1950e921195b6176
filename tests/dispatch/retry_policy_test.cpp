/** @file retry_policy_test.cpp Tests of which attempts are repeated. */
#include "dispatch/retry_policy.h"

#include "dispatch/fake_clock.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using std::chrono::seconds;

AttemptResult
Result(UpstreamError aError, RunState aRun)
{
  AttemptResult result;
  result.error_ = make_error_code(aError);
  result.run_ = aRun;
  return result;
}

struct RetryCase
{
  UpstreamError error_;      ///< How the attempt ended.
  RunState run_;             ///< What the client knows.
  bool repeatsOnce_;         ///< Whether a request that may run only once is repeated.
  bool repeatsIdempotent_;   ///< Whether an idempotent one is repeated.
  bool goesToOtherUpstream_; ///< Where the repeated attempt goes.
};

void
PrintTo(const RetryCase& aCase, std::ostream* aStream)
{
  *aStream << make_error_code(aCase.error_).message();
}

class RetryCases : public testing::TestWithParam<RetryCase>
{
protected:
  RetryContext Context(bool aIsIdempotent)
  {
    return { aIsIdempotent, false, 1, 100, clock_.Now() + seconds(60) };
  }
  FakeClock clock_;
  SeededRandom random_{ 1 };
  RetryPolicy policy_{ clock_, random_ };
};

/** Guards against a second run of a request that may run only once, and against lost retries. */
TEST_P(RetryCases, RepeatsOnlyWhatIsHarmless)
{
  const AttemptResult result = Result(GetParam().error_, GetParam().run_);
  const RetryDecision once = policy_.Decide(Context(false), result);
  const RetryDecision idempotent = policy_.Decide(Context(true), result);
  EXPECT_EQ(GetParam().repeatsOnce_, once.denial_ == RetryDenial::None);
  EXPECT_EQ(GetParam().repeatsIdempotent_, idempotent.denial_ == RetryDenial::None);
  if (GetParam().repeatsIdempotent_) {
    EXPECT_EQ(GetParam().goesToOtherUpstream_, idempotent.otherUpstream_);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Errors,
  RetryCases,
  testing::Values(
    RetryCase{ UpstreamError::ConnectFailed, RunState::NotRun, true, true, true },
    RetryCase{ UpstreamError::RefusedNotRun, RunState::NotRun, true, true, true },
    RetryCase{ UpstreamError::Overloaded, RunState::NotRun, true, true, true },
    RetryCase{ UpstreamError::AdapterMissing, RunState::NotRun, true, true, false },
    RetryCase{ UpstreamError::RefusedNotRun, RunState::Unknown, false, true, true },
    RetryCase{ UpstreamError::ConnectionLost, RunState::NotRun, false, true, true },
    RetryCase{ UpstreamError::ConnectionLost, RunState::Unknown, false, true, true },
    RetryCase{ UpstreamError::Silent, RunState::Unknown, false, true, true },
    RetryCase{ UpstreamError::WrongAnswer, RunState::Unknown, false, true, true },
    RetryCase{ UpstreamError::Truncated, RunState::Unknown, false, true, true },
    RetryCase{ UpstreamError::InvalidAnswer, RunState::Unknown, false, true, true },
    RetryCase{ UpstreamError::Failed, RunState::Ran, false, true, true },
    RetryCase{ UpstreamError::DeadlineExceeded, RunState::Unknown, false, false, false },
    RetryCase{ UpstreamError::Cancelled, RunState::NotRun, false, false, false }));

/** Guards against an error of another layer being taken for a refusal with the same number. */
TEST_F(RetryCases, UnknownCategoryMayHaveRun)
{
  AttemptResult result;
  result.error_ = std::error_code(1, std::generic_category());
  EXPECT_EQ(RetryDenial::MayHaveRun, policy_.Decide(Context(false), result).denial_);
  EXPECT_EQ(RetryDenial::None, policy_.Decide(Context(true), result).denial_);
}

/** Guards against an answer that is spliced from two runs. */
TEST_F(RetryCases, NeverRepeatsAfterBytesWereSent)
{
  RetryContext context = Context(true);
  context.sentBytes_ = true;
  const AttemptResult result = Result(UpstreamError::ConnectionLost, RunState::Unknown);
  EXPECT_EQ(RetryDenial::BytesSent, policy_.Decide(context, result).denial_);
}

/** Guards against retries that multiply the load while everything fails. */
TEST_F(RetryCases, KeepsToATenthOfTheTraffic)
{
  const AttemptResult result = Result(UpstreamError::Overloaded, RunState::NotRun);
  TokenCount first = 0;
  TokenCount retried = 0;
  for (int i = 0; i < 10000; ++i) {
    policy_.OnFirstAttempt(100);
    first += 100;
    for (std::uint32_t attempt = 1; attempt < 10; ++attempt) {
      RetryContext context = Context(true);
      context.attempts_ = attempt;
      retried += policy_.Decide(context, result).denial_ == RetryDenial::None ? 100 : 0;
    }
  }
  EXPECT_LE(retried, first / 10 + kRetryBudgetInitial);
  EXPECT_GE(retried, first / 10);
}

/** Guards against retries that start after the caller gave up, and against endless ones. */
TEST_F(RetryCases, EndsAtTheDeadlineAndAfterSomeAttempts)
{
  const AttemptResult result = Result(UpstreamError::Overloaded, RunState::NotRun);
  RetryContext context = Context(true);
  context.attempts_ = kMaxAttempts;
  EXPECT_EQ(RetryDenial::TooOften, policy_.Decide(context, result).denial_);
  context.attempts_ = 1;
  context.deadline_ = clock_.Now();
  EXPECT_EQ(RetryDenial::TooLate, policy_.Decide(context, result).denial_);
}

/** Guards against retries of many requests that come at one moment. */
TEST_F(RetryCases, DelaysHaveFullJitter)
{
  const AttemptResult result = Result(UpstreamError::Overloaded, RunState::NotRun);
  Duration shortest = kRetryDelayMax;
  Duration longest{};
  for (int i = 0; i < 200; ++i) {
    RetryContext context = Context(true);
    context.attempts_ = 3;
    context.tokens_ = 1;
    const RetryDecision decision = policy_.Decide(context, result);
    ASSERT_EQ(RetryDenial::None, decision.denial_);
    shortest = std::min(shortest, decision.delay_);
    longest = std::max(longest, decision.delay_);
  }
  EXPECT_LT(shortest, kRetryDelayInitial * 4 / 10);
  EXPECT_GT(longest, kRetryDelayInitial * 4 * 9 / 10);
  EXPECT_LE(longest, kRetryDelayInitial * 4);
}

} // namespace
} // namespace laburnumweir
