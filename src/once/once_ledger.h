/** @file once_ledger.h Fold of one `once` stream: which attempt holds a key, and its outcome. */
#ifndef LABURNUMWEIR_ONCE_ONCE_LEDGER_H
#define LABURNUMWEIR_ONCE_ONCE_LEDGER_H

#include "log/log_client_base.h"
#include "once/once_record_func.h"
#include "once/once_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace laburnumweir {

/** State of a key. */
enum class OnceState : std::uint8_t
{
  Begun,   ///< An attempt holds the key; it may have run.
  Done,    ///< The outcome is recorded.
  Released ///< The attempt that held the key was never sent.
};

/** What is known of a key. */
struct OnceEntry
{
  OnceState state_ = OnceState::Begun; ///< State.
  std::string requestDigest_;          ///< Digest of the request.
  AttemptId attempt_;                  ///< Attempt that holds the key.
  WallTime lastBegin_;                 ///< Time of the newest begin, also of one that lost.
  OnceOutcome outcome_;                ///< Outcome, if Done.
};

/** What folding a record did. */
struct OnceFold
{
  /** Kind of effect. */
  enum class Effect : std::uint8_t
  {
    None,     ///< Nothing.
    Won,      ///< A begin took the key.
    Lost,     ///< A begin found the key taken.
    Stored,   ///< An outcome was recorded, now or before.
    Released, ///< A release is recorded, now or before.
  };
  Effect effect_ = Effect::None; ///< Effect.
  OnceRecord record_;            ///< The record.
};

/**
 * Ledger of one partition.
 *
 * A begin takes its key if no begin of the key was appended within the dedupe window before it,
 * apart from attempts that were released. That a losing begin extends the window makes the result
 * depend on nothing older than the window: a reader that starts when the log has already dropped
 * the first begin of a key would otherwise take a loser for the winner, and let the key be used
 * again while the true winner's window still runs.
 */
class OnceLedger
{
public:
  explicit OnceLedger(const OnceSettings& aSettings)
    : settings_(aSettings)
  {
  }

  /**
   * Folds the next record.
   * @param aRecord record; its offset must be NextOffset().
   * @return what it did.
   */
  OnceFold Fold(const LogRecord& aRecord);
  /**
   * Forgets everything, because records before an offset can no longer be read.
   * @param aFirst earliest offset that can be read.
   */
  void Restart(LogOffset aFirst);
  /** @return offset of the next record to fold. */
  LogOffset NextOffset() const { return next_; }
  /**
   * @param aKey key.
   * @param aNow time; an entry whose window ended before it is not returned.
   * @return the entry, or null if the key is free.
   */
  const OnceEntry* Find(const OnceKey& aKey, WallTime aNow) const;
  /**
   * @param aAttempt attempt.
   * @return whether it lost or was released, so that it will never hold a key.
   */
  bool IsClosed(const AttemptId& aAttempt) const { return closed_.contains(aAttempt); }
  /** @return number of keys held in memory. */
  std::size_t Size() const { return entries_.size(); }

private:
  OnceFold::Effect FoldBegin(const OnceRecord& aRecord, WallTime aTime);
  OnceFold::Effect FoldOutcome(const OnceRecord& aRecord);
  OnceFold::Effect FoldRelease(const OnceRecord& aRecord, WallTime aTime);
  void Expire(WallTime aTime);

  OnceSettings settings_;                               ///< Settings.
  LogOffset next_ = 0;                                  ///< Next offset.
  WallTime newest_;                                     ///< Newest time of a record.
  std::map<OnceKey, OnceEntry> entries_;                ///< Keys in use.
  std::map<AttemptId, WallTime> closed_;                ///< Attempts that lost or were released.
  std::deque<std::pair<WallTime, OnceKey>> keysByTime_; ///< For expiry.
  std::deque<std::pair<WallTime, AttemptId>> closedByTime_; ///< For expiry.
};

} // namespace laburnumweir

#endif
