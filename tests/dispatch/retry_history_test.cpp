/** @file retry_history_test.cpp Random histories of attempts against an account of true runs. */
#include "dispatch/retry_policy.h"

#include "dispatch/fake_clock.h"
#include "dispatch/history.h"

namespace laburnumweir {
namespace {

/** One request after the other meets an upstream that fails in every way. */
class RetryWorld
{
public:
  static constexpr std::uint32_t kActions = 14;
  static std::string NameOf(std::uint32_t aAction) { return "error-" + std::to_string(aAction); }

  void Run(std::uint32_t aAction, std::uint32_t aFirst, std::uint32_t aSecond)
  {
    if (aAction == 0 || aAction == 13) {
      context_ = { aFirst % 2 == 0, false, 1, 1 + aSecond % 2000, clock_.Now() + kLimit };
      runs_ = 0;
      mayAttempt_ = true;
      policy_.OnFirstAttempt(context_.tokens_);
      first_ += context_.tokens_;
      return;
    }
    if (!mayAttempt_) {
      return;
    }
    const auto error = static_cast<UpstreamError>(aAction);
    const bool isRefusal =
      error == UpstreamError::ConnectFailed || error == UpstreamError::RefusedNotRun ||
      error == UpstreamError::Overloaded || error == UpstreamError::AdapterMissing;
    // Whether it truly ran is hidden from the policy; only refusals exclude it.
    runs_ += !isRefusal && aFirst % 3 != 0 ? 1 : 0;
    RC_ASSERT(runs_ <= 1 || context_.isIdempotent_);
    AttemptResult result;
    result.error_ = make_error_code(error);
    // Some clients report NotRun although the bytes were written.
    result.run_ = isRefusal || aSecond % 4 == 0 ? RunState::NotRun : RunState::Unknown;
    context_.sentBytes_ = !isRefusal && aSecond % 5 == 0;
    const RetryDecision decision = policy_.Decide(context_, result);
    mayAttempt_ = decision.denial_ == RetryDenial::None;
    if (mayAttempt_) {
      RC_ASSERT(!context_.sentBytes_);
      clock_.Advance(decision.delay_);
      RC_ASSERT(clock_.Now() < context_.deadline_);
      ++context_.attempts_;
      RC_ASSERT(context_.attempts_ <= kMaxAttempts);
      retried_ += context_.tokens_;
      RC_ASSERT(retried_ * 10 <= first_ + 10 * kRetryBudgetInitial);
    }
  }
  void Finish() {}

private:
  static constexpr Duration kLimit = std::chrono::milliseconds(80);

  FakeClock clock_;
  SeededRandom random_{ 1 };
  RetryPolicy policy_{ clock_, random_ };
  RetryContext context_;
  int runs_ = 0;
  bool mayAttempt_ = false;
  TokenCount first_ = 0;
  TokenCount retried_ = 0;
};

/** Guards against a second run of a request that may run only once, and against a retry storm. */
TEST(RetryHistory, NeverRepeatsWhatMayHaveRun)
{
  RunHistories<RetryWorld>(1500, 20240603, 150);
}

} // namespace
} // namespace laburnumweir
