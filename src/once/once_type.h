/** @file once_type.h Values and messages for requests that may not be repeated. */
#ifndef LABURNUMWEIR_ONCE_ONCE_TYPE_H
#define LABURNUMWEIR_ONCE_ONCE_TYPE_H

#include "core/clock_base.h"
#include "core/id_type.h"
#include "core/request_type.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnumweir {

/** Digest of a workspace and an idempotency key, 32 hex digits. */
using OnceKey = StringId<struct OnceKeyTag>;
/** One attempt at a request: `host/incarnation/number`; never used twice. */
using AttemptId = StringId<struct AttemptTag>;
/** One tenure of a partition's reader. */
using ReaderId = StringId<struct ReaderTag>;

/** Settings; window and limits must be the same on all hosts. */
struct OnceSettings
{
  std::uint32_t partitions_ = 16; ///< Number of partitions.
  /// Dedupe window. It must be shorter than the retention of the log by a margin that covers the
  /// error of the log's clock, since a reader starts from what is retained.
  std::chrono::seconds window_ = std::chrono::hours(24);
  std::size_t maxBody_ = 2048;                            ///< Largest body kept, in bytes.
  std::size_t maxBatch_ = 64;                             ///< Most records in one append.
  Duration batchWait_ = std::chrono::milliseconds(5);     ///< Longest wait for more records.
  Duration readBack_ = std::chrono::milliseconds(500);    ///< Time after which an append whose
                                                          ///< answer was lost is repeated.
  Duration backoff_ = std::chrono::milliseconds(100);     ///< Pause after a refused append.
  Duration maxWait_ = std::chrono::seconds(2);            ///< Longest wait for a decision.
  Duration permitValidity_ = std::chrono::seconds(3);     ///< Counted from the request.
  Duration resendAfter_ = std::chrono::milliseconds(500); ///< When a message is sent again.
  std::size_t maxPending_ = 4096;                         ///< Most undecided attempts.
};

/** What an upstream answered. */
struct OnceOutcome
{
  int status_ = 0;         ///< HTTP status.
  HeaderList headers_;     ///< Header fields.
  std::string body_;       ///< Body; empty if it was not kept.
  bool isBodyKept_ = true; ///< False if the body was larger than the limit.

  bool operator==(const OnceOutcome&) const = default;
};

/** Host to reader: asks for leave to run a request once. */
struct OnceBegin
{
  OnceKey key_;                      ///< Workspace and idempotency key.
  std::string requestDigest_;        ///< Digest of method, target and body.
  AttemptId attempt_;                ///< Attempt.
  std::vector<AttemptId> abandoned_; ///< Earlier attempts of this host that were never sent.
};

/** Host to reader: how an attempt ended. */
struct OnceReport
{
  OnceKey key_;             ///< Workspace and idempotency key.
  AttemptId attempt_;       ///< Attempt.
  bool isReleased_ = false; ///< The request was certainly not sent and will not be.
  OnceOutcome outcome_;     ///< Outcome, unless released.
};

/** Reader's decision. */
enum class OnceDecision : std::uint8_t
{
  Wait,             ///< No decision yet; an answer follows.
  Permit,           ///< The attempt may be sent once.
  Replay,           ///< It ran; the outcome is attached.
  Unknown,          ///< Another attempt may have run; no outcome is recorded.
  OtherRequest,     ///< The key was used for another request; not run.
  NotRun,           ///< Nothing was permitted for this attempt, and nothing will be.
  AlreadyPermitted, ///< A permit may have been issued for this attempt before, or the key is just
                    ///< being
  ///< released; the host gives this attempt up and begins a new one.
};

/** Reader to host. */
struct OnceAnswer
{
  OnceKey key_;                                ///< Key asked about.
  AttemptId attempt_;                          ///< Attempt asked about.
  OnceDecision decision_ = OnceDecision::Wait; ///< Decision.
  Duration validity_{};                        ///< Permit: counted from the host's first sending.
  OnceOutcome outcome_;                        ///< Replay: the outcome.
  std::string message_;                        ///< NotRun: reason.
};

/** Reader to host: the report is in the log. */
struct OnceStored
{
  AttemptId attempt_; ///< Attempt.
};

} // namespace laburnumweir

#endif
