/** @file retry_policy.h Decides whether an attempt may be repeated. */
#ifndef LABURNUMWEIR_DISPATCH_RETRY_POLICY_H
#define LABURNUMWEIR_DISPATCH_RETRY_POLICY_H

#include "core/clock_base.h"
#include "core/random_base.h"
#include "core/upstream_client_base.h"
#include "table/dispatch_const.h"

#include <cstdint>

namespace laburnumweir {

/** What the policy needs to know of a request whose attempt failed. */
struct RetryContext
{
  bool isIdempotent_ = false;  ///< Running it twice does no harm.
  bool sentBytes_ = false;     ///< The caller has already received a part of the answer.
  std::uint32_t attempts_ = 1; ///< Attempts so far.
  TokenCount tokens_ = 1;      ///< Upper bound of its tokens.
  TimePoint deadline_;         ///< When the caller's wait ends.
};

/** Why an attempt is not repeated. */
enum class RetryDenial : std::uint8_t
{
  None,       ///< It is repeated.
  MayHaveRun, ///< It may have run and is not idempotent.
  BytesSent,  ///< The caller has a part of the answer.
  NoBudget,   ///< Retries have used up their share of the traffic.
  TooLate,    ///< The deadline comes before the retry could start.
  TooOften,   ///< The most attempts were made.
  NotUseful,  ///< Another attempt would end the same way.
};

/** Answer of the policy. */
struct RetryDecision
{
  RetryDenial denial_ = RetryDenial::None; ///< None if the attempt is repeated.
  Duration delay_{};                       ///< Wait before the next attempt.
  bool otherUpstream_ = false;             ///< The next attempt goes to another upstream.
};

/** @return whether an attempt that ended so has certainly not run. */
bool
CertainlyNotRun(const AttemptResult& aResult);

/**
 * Decides on retries at the entry host, the only place that retries. Retries may add a tenth of the
 * tokens of first attempts, delays have full jitter, and none starts after the deadline.
 */
class RetryPolicy
{
public:
  /** @param aClock time source. @param aRandom source of jitter. Both must outlive the policy. */
  RetryPolicy(const Clock& aClock, RandomSource& aRandom);

  /** Notes a first attempt, which adds to the budget. @param aTokens upper bound of its tokens. */
  void OnFirstAttempt(TokenCount aTokens);
  /**
   * Decides whether a failed attempt is repeated; a retry is paid for from the budget.
   * @param aContext the request.
   * @param aResult how the attempt ended.
   * @return the decision.
   */
  RetryDecision Decide(const RetryContext& aContext, const AttemptResult& aResult);
  /** @return tokens that retries may use now. */
  TokenCount Budget() const { return static_cast<TokenCount>(budget_); }

private:
  const Clock& clock_;                            ///< Time source.
  RandomSource& random_;                          ///< Source of jitter.
  double budget_ = double{ kRetryBudgetInitial }; ///< Tokens that retries may use.
};

} // namespace laburnumweir

#endif
