/** @file flow_const.h Time limits and sizes on the path of a request through a gateway. */
#ifndef LABURNUMWEIR_TABLE_FLOW_CONST_H
#define LABURNUMWEIR_TABLE_FLOW_CONST_H

#include "core/clock_base.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace laburnumweir {

/**
 * Connect timeout. A connection within the deployment takes a few milliseconds; a lost packet is
 * sent again after a second, by when another upstream has answered.
 */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
/**
 * Time after the deadline for which the answer of the upstream is awaited, as it may still be on
 * its way.
 */
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(80);
/** Minimum time in which an upstream can answer; a request with less time left is not sent. */
constexpr Duration kMinAnswerTime = std::chrono::milliseconds(40);
/** Minimum time left at which a waiting request for an event stream is still sent. */
constexpr Duration kMinStreamTime = std::chrono::milliseconds(200);
/**
 * An upstream is considered silent if no first byte arrives within this multiple of the target
 * latency.
 */
constexpr int kSilenceLatencyMultiple = 3;
/** Minimum time before an upstream without a first byte is considered silent. */
constexpr Duration kMinSilenceTimeout = std::chrono::milliseconds(400);
/**
 * Time within which the second attempt of a stream that has begun must deliver an event. After a
 * longer time, the platform takes both upstreams to work on the same stream.
 */
constexpr Duration kContinuationHedgeTime = std::chrono::milliseconds(300);
/** Interval at which a second attempt is tried while the first one is silent. */
constexpr Duration kHedgeInterval = std::chrono::milliseconds(150);
/**
 * A resumable stream is silent after a pause of this multiple of the target pause; another upstream
 * is then asked to continue it.
 */
constexpr int kStreamSilencePauseMultiple = 5;
/** Minimum pause after which a resumable stream is silent. */
constexpr Duration kMinStreamSilenceTimeout = std::chrono::milliseconds(1200);
/**
 * Callers abandon a stream without a first event after the longest of these three times: this one,
 * kCallerTimeoutLatencyMultiple target latencies and kCallerTimeoutPauseMultiple target pauses.
 */
constexpr Duration kMinCallerTimeout = std::chrono::seconds(2);
/** See kMinCallerTimeout; a multiple of the target latency. */
constexpr int kCallerTimeoutLatencyMultiple = 4;
/** See kMinCallerTimeout; a multiple of the target pause. */
constexpr int kCallerTimeoutPauseMultiple = 8;
/**
 * Time before the caller would abandon the stream at which a waiting stream is refused, so that
 * the caller retries instead. It covers the network delay of the refusal and the start of another
 * attempt.
 */
constexpr Duration kRefusalLeadTime = std::chrono::milliseconds(500);
/**
 * A process that started up to this long after a request was sent, by the clocks of two machines,
 * may have answered it.
 */
constexpr Duration kMaxClockDifference = std::chrono::seconds(2);
/** Interval at which a load request is repeated, since datagrams may be lost. */
constexpr Duration kLoadRequestInterval = std::chrono::milliseconds(150);
/** Maximum wait for an engine to load an adapter. */
constexpr Duration kLoadTimeout = std::chrono::milliseconds(3000);
/**
 * Back-off of a request at an upstream that refused it, doubled with each attempt up to 0.8 s. A
 * refusal lasts while an adapter is replaced or until a run ends, both some tenths of a second.
 */
constexpr Duration kInitialRefusalPause = std::chrono::milliseconds(100);
/** Maximum number of doublings of kInitialRefusalPause. */
constexpr std::uint32_t kMaxRefusalDoublings = 3;
/** Retry-After of a request whose adapter is being loaded. */
constexpr Duration kLoadRetryAfter = std::chrono::milliseconds(150);
/** Retry-After if the wait cannot be estimated. */
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(300);
/**
 * Maximum size of an answer that is buffered and checked as a whole before it is sent to the
 * caller.
 */
constexpr std::size_t kMaxBufferedAnswerBytes = std::size_t{ 256 } << 10;
/** Unsent bytes to a slow caller at which reading from the upstream pauses. */
constexpr std::size_t kMaxUnsentBytes = std::size_t{ 256 } << 10;
/** Number of route priorities within one workspace priority; engines know ten priorities in all. */
constexpr std::uint32_t kRouteRanksPerWorkspaceRank = 4;
/** Lowest priority that engines know; 0 is the highest. */
constexpr std::uint32_t kMaxEngineRank = 9;
/** Margin for clock errors and the delay of the last message; part of the revocation bound. */
constexpr Duration kRevocationMargin = std::chrono::milliseconds(700);

} // namespace laburnumweir

#endif
