/** @file limit_settings_type.h Settings of the bucket owners and token holders. */
#ifndef LABURNUMWEIR_LIMITS_LIMIT_SETTINGS_TYPE_H
#define LABURNUMWEIR_LIMITS_LIMIT_SETTINGS_TYPE_H

#include "core/clock_base.h"
#include "core/id_type.h"

#include <chrono>
#include <cstddef>

namespace laburnumweir {

/** Rate and burst of a workspace across all hosts. */
struct BucketRule
{
  TokenCount rate_ = 0;  ///< Tokens per second.
  TokenCount burst_ = 0; ///< Most tokens at once.

  bool operator==(const BucketRule&) const = default;
};

/** Settings; they must be the same on all hosts. */
struct LimitSettings
{
  Duration freshnessBound_ = std::chrono::seconds(2);        ///< Longest age of evidence (F).
  int clockErrorPercent_ = 5;                                ///< Bound on clock rate error.
  Duration clockErrorFixed_ = std::chrono::milliseconds(50); ///< Constant part of the error.
  /// A chunk has to last until a new owner may grant: 1.5 s to notice a dead owner, the append and
  /// fold of its removal, then F and the clock error. 1.5 s left a gap of about 2.7 s.
  Duration lease_ = std::chrono::seconds(5);
  Duration renewEvery_ = std::chrono::milliseconds(500);    ///< Interval of reports and renewals.
  Duration renewEveryMany_ = std::chrono::seconds(2);       ///< The same with many holders.
  std::size_t manyHolders_ = 32;                            ///< More active holders are "many".
  Duration minPoll_ = std::chrono::milliseconds(25);        ///< Shortest interval while waiting.
  Duration answerTimeout_ = std::chrono::milliseconds(500); ///< When an answer counts as lost.
  Duration maxWait_ = std::chrono::milliseconds(1500);      ///< Longest wait for a grant.
  std::size_t maxQueued_ = 1024;                            ///< Most waiting requests a workspace.
  Duration ahead_ = std::chrono::seconds(5);                ///< Demand that a holder stocks.
  Duration demandWindow_ = std::chrono::seconds(1);         ///< Time constant of the demand.
  bool isPrefetching_ = true;                               ///< Whether chunks are stocked at all.

  /**
   * @param aNominal a duration on another host's clock.
   * @return the longest that it may seem on this host's clock.
   */
  Duration WithClockError(Duration aNominal) const
  {
    return aNominal + aNominal * clockErrorPercent_ / 100 + clockErrorFixed_;
  }
};

} // namespace laburnumweir

#endif
