/** @file once_reader.h Decides for one partition which attempts may run. */
#ifndef LABURNUMWEIR_ONCE_ONCE_READER_H
#define LABURNUMWEIR_ONCE_ONCE_READER_H

#include "once/once_ledger.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace laburnumweir {

/** Result of an append, as far as it is known. */
enum class AppendResult : std::uint8_t
{
  Done,     ///< The records are in the log.
  NoEffect, ///< The log certainly took nothing (LogError::Refused, LogError::Unreachable).
  InDoubt,  ///< The records may be in the log, now or later (any other error).
};

/** Messages that a call led to. */
struct OnceOutput
{
  std::vector<OnceAnswer> answers_; ///< To the hosts of the attempts.
  std::vector<OnceStored> stored_;  ///< To the hosts of the attempts.
};

/**
 * Reader of one partition during one tenure.
 *
 * It issues a permit only for a begin that it appended itself in this tenure and then read back as
 * the winner, and only while the attempt still waits here. So two readers that both believe to own
 * the partition never permit two attempts of one key, and no attempt gets two permits.
 *
 * The caller reads the stream from NextOffset() all the time and passes the results to OnRead(),
 * and carries out at most one append at a time: TakeAppend() gives the records, OnAppend() takes
 * the result. Not thread-safe.
 */
class OnceReader
{
public:
  /**
   * @param aId tenure; must differ from that of every earlier reader.
   * @param aClock time source.
   * @param aSettings settings.
   */
  OnceReader(ReaderId aId, const Clock& aClock, const OnceSettings& aSettings);

  /**
   * Takes a host's request.
   * @param aBegin request.
   * @param aOutput receives the answer, now or in a later call.
   */
  void Begin(const OnceBegin& aBegin, OnceOutput& aOutput);
  /**
   * Takes the end of an attempt.
   * @param aReport outcome or release.
   * @param aOutput receives the confirmation once it is in the log, in a later call.
   */
  void Report(const OnceReport& aReport, OnceOutput& aOutput);
  /** @return records to append now; empty if nothing is due or an append is under way. */
  std::vector<NewRecord> TakeAppend();
  /**
   * Takes the result of the append under way.
   * @param aResult result.
   * @param aOutput receives answers.
   */
  void OnAppend(AppendResult aResult, OnceOutput& aOutput);
  /**
   * Takes the result of a read from NextOffset().
   * @param aResult result.
   * @param aOutput receives answers.
   */
  void OnRead(const ReadResult& aResult, OnceOutput& aOutput);
  /**
   * Does what is due: time limits and repeated appends. To be called about every 20 ms.
   * @param aOutput receives answers.
   */
  void Tick(OnceOutput& aOutput);

  /** @return offset to read from. */
  LogOffset NextOffset() const { return ledger_.NextOffset(); }
  /** @return whether the stream was folded up to its end once. */
  bool IsReady() const { return isReady_; }
  /** @return the fold. */
  const OnceLedger& Ledger() const { return ledger_; }

private:
  /** Where a record stands. */
  enum class Stage : std::uint8_t
  {
    Queued,    ///< To be appended.
    Appending, ///< In the append under way.
    InDoubt,   ///< The answer was lost; it may be in the log.
    Appended,  ///< In the log, not read back yet.
  };
  /** A record on its way into the log. */
  struct Outgoing
  {
    OnceRecord record_;           ///< Record.
    Stage stage_ = Stage::Queued; ///< Stage.
    TimePoint since_;             ///< Start of the stage.
  };
  /** An attempt that waits for a decision. */
  struct Pending
  {
    OnceBegin begin_; ///< Request.
    TimePoint since_; ///< Start of the wait.
  };

  void Decide(const Pending& aPending, OnceOutput& aOutput);
  void Enqueue(OnceRecord aRecord);
  void Answer(const OnceBegin& aBegin, OnceAnswer aAnswer, OnceOutput& aOutput);
  void Finish(const AttemptId& aAttempt, OnceAnswer aAnswer, OnceOutput& aOutput);
  void WakeFollowers(const OnceKey& aKey, OnceOutput& aOutput);
  void Apply(const OnceFold& aFold, OnceOutput& aOutput);
  bool IsBeingReleased(const OnceEntry& aEntry) const;
  OnceAnswer FromEntry(const OnceEntry& aEntry, const OnceBegin& aBegin) const;

  ReaderId id_;                              ///< Tenure.
  const Clock& clock_;                       ///< Time source.
  OnceSettings settings_;                    ///< Settings.
  OnceLedger ledger_;                        ///< Fold.
  bool isReady_ = false;                     ///< Folded up to the end once.
  bool isAppending_ = false;                 ///< An append is under way.
  TimePoint appendAfter_;                    ///< End of the pause after a refused append.
  std::map<std::string, Outgoing> outgoing_; ///< Records by identifier.
  std::deque<std::string> queue_;            ///< Identifiers of queued records, in sequence.
  std::vector<std::string> appending_;       ///< Identifiers in the append under way.
  std::map<AttemptId, Pending> pending_;     ///< Undecided attempts.
  std::map<OnceKey, AttemptId> leaders_;     ///< Attempt that was appended for a key.
  std::map<OnceKey, std::set<AttemptId>> followers_; ///< Attempts that wait for the leader.
};

} // namespace laburnumweir

#endif
