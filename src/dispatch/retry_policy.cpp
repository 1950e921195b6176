/** @file retry_policy.cpp Decides whether an attempt may be repeated. */
#include "dispatch/retry_policy.h"

#include <algorithm>

namespace laburnumweir {

namespace {

/** @return whether the error says by itself that nothing ran. */
bool
IsRefusal(UpstreamError aError)
{
  return aError == UpstreamError::ConnectFailed || aError == UpstreamError::RefusedNotRun ||
         aError == UpstreamError::Overloaded || aError == UpstreamError::AdapterMissing;
}

bool
IsUseful(UpstreamError aError)
{
  return aError != UpstreamError::DeadlineExceeded && aError != UpstreamError::Cancelled;
}

} // namespace

bool
CertainlyNotRun(const AttemptResult& aResult)
{
  // Both must agree: a client that reports NotRun for a lost connection is not believed.
  return aResult.run_ == RunState::NotRun && aResult.error_.category() == UpstreamCategory() &&
         IsRefusal(static_cast<UpstreamError>(aResult.error_.value()));
}

RetryPolicy::RetryPolicy(const Clock& aClock, RandomSource& aRandom)
  : clock_(aClock)
  , random_(aRandom)
{
}

void
RetryPolicy::OnFirstAttempt(TokenCount aTokens)
{
  budget_ =
    std::min(budget_ + kRetryTokenRatio * static_cast<double>(std::max<TokenCount>(aTokens, 0)),
             double{ kRetryBudgetMax });
}

RetryDecision
RetryPolicy::Decide(const RetryContext& aContext, const AttemptResult& aResult)
{
  const auto deny = [](RetryDenial aReason) { return RetryDecision{ aReason, {}, false }; };
  if (!aResult.error_) {
    return deny(RetryDenial::NotUseful);
  }
  if (aContext.sentBytes_) {
    return deny(RetryDenial::BytesSent);
  }
  if (!aContext.isIdempotent_ && !CertainlyNotRun(aResult)) {
    return deny(RetryDenial::MayHaveRun);
  }
  const bool isUpstream = aResult.error_.category() == UpstreamCategory();
  const auto error = static_cast<UpstreamError>(aResult.error_.value());
  if (isUpstream && !IsUseful(error)) {
    return deny(RetryDenial::NotUseful);
  }
  if (aContext.attempts_ >= kMaxAttempts) {
    return deny(RetryDenial::TooOften);
  }
  const Duration longest = std::min<Duration>(
    kRetryDelayMax, kRetryDelayInitial * (1LL << std::min(aContext.attempts_ - 1, 10U)));
  const Duration delay(
    static_cast<Duration::rep>(random_.Below(static_cast<std::uint64_t>(longest.count()) + 1)));
  if (clock_.Now() + delay >= aContext.deadline_) {
    return deny(RetryDenial::TooLate);
  }
  const auto tokens = static_cast<double>(std::max<TokenCount>(aContext.tokens_, 1));
  if (budget_ < tokens) {
    return deny(RetryDenial::NoBudget);
  }
  budget_ -= tokens;
  // An engine that merely lacks the adapter loads it; every other failure speaks against the
  // engine.
  return { RetryDenial::None, delay, !isUpstream || error != UpstreamError::AdapterMissing };
}

} // namespace laburnumweir
