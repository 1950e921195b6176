/** @file dispatch_const.h Constants of queueing, placement, engine slots and retries. */
#ifndef LABURNUMWEIR_TABLE_DISPATCH_CONST_H
#define LABURNUMWEIR_TABLE_DISPATCH_CONST_H

#include "core/clock_base.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace laburnumweir {

/**
 * Tokens that a workspace may start in one round of the queue; about two prompts with their
 * answers.
 */
constexpr std::int64_t kQueueQuantum = 4096;
/**
 * Maximum number of queued requests of one workspace in one class; bounds the memory that one
 * workspace can use.
 */
constexpr std::size_t kQueueMaxPerWorkspace = 256;
/**
 * Maximum number of requests in all queues of a host; at 1 MB a body they are the largest share of
 * its memory.
 */
constexpr std::size_t kQueueMaxTotal = 2048;
/**
 * A deadline class is raised when the time left is below this multiple of the estimated service
 * time.
 */
constexpr double kDeadlineMargin = 1.5;
/**
 * Service rate in tokens per second that is assumed until the queue has measured one. It is low,
 * so that deadline classes are raised early.
 */
constexpr double kQueueInitialRate = 1000.0;
/** Half-life of the measured service rate; only time during which requests are queued counts. */
constexpr Duration kQueueRateHalfLife = std::chrono::seconds(10);

/** An engine whose load exceeds the mean by this factor ranks behind the others. */
constexpr double kPlacementLoadBound = 1.25;
/** Maximum number of engines that are tried for a request, in order of preference. */
constexpr std::size_t kPlacementCandidates = 8;
/** Maximum number of adapters whose last engine is remembered; 16 bytes each. */
constexpr std::size_t kPlacementResidencyHints = 16384;
/** Virtual nodes of an engine on the ring of plain consistent hashing. */
constexpr std::size_t kRingPoints = 64;

/** Time for which a pin is valid without renewal; six heartbeats of 250 ms. */
constexpr Duration kPinLease = std::chrono::milliseconds(1500);
/** Freshness bound F: maximum age of the information on which a host acts. */
constexpr Duration kFreshnessBound = std::chrono::seconds(2);
/** Relative error of a host's clock, as a fraction of the measured time. */
constexpr double kClockErrorShare = 0.05;
/** Constant part of a host's clock error. */
constexpr Duration kClockErrorOffset = std::chrono::milliseconds(50);
/** Maximum time by which the state in an engine's report may precede the request for the report. */
constexpr Duration kReportLag = std::chrono::milliseconds(500);
/** A run whose holder is gone ends at most this long after the deadline of its request. */
constexpr Duration kOrphanedRunGrace = std::chrono::seconds(5);
/** Longest run that is assumed where the deadline of its request is not known. */
constexpr Duration kMaxRunTime = std::chrono::minutes(2);
/**
 * Maximum number of released runs of an adapter that are remembered. They are kept until no report
 * can show the runs any more.
 */
constexpr std::size_t kMaxReleaseEntries = 256;
/** Maximum number of requests that wait for one load; further ones go to the next candidate. */
constexpr std::size_t kMaxWaitersPerLoad = 64;
/** Expected duration of one load while at most kMaxFullSpeedLoads are in flight. */
constexpr Duration kExpectedLoadTime = std::chrono::milliseconds(250);
/** Time for which an engine may still be loading after the answer to a load order was lost. */
constexpr Duration kUnconfirmedLoadTime = std::chrono::seconds(5);
/** Back-off after the first failed load of an adapter; doubles with each further failure. */
constexpr Duration kLoadBackoffInitial = std::chrono::milliseconds(500);
/** Maximum back-off after failed loads of an adapter. */
constexpr Duration kLoadBackoffMax = std::chrono::seconds(60);
/** Maximum number of adapters with failed loads that are remembered for one engine. */
constexpr std::size_t kMaxLoadFailureEntries = 256;
/**
 * A loaded adapter is not evicted within this time, so that the requests that waited for it can
 * start.
 */
constexpr Duration kLoadGrace = std::chrono::milliseconds(500);
/** Half-life of the popularity of an adapter. */
constexpr Duration kPopularityHalfLife = std::chrono::seconds(120);
/** Columns of the popularity sketch; with 4 rows of float it takes 16 KB for each engine. */
constexpr std::size_t kPopularityColumns = 1024;

/** Number of loads in flight across all engines up to which each load runs at full speed. */
constexpr std::uint32_t kMaxFullSpeedLoads = 8;

/** Concurrent requests allowed right after an engine has (re)started. */
constexpr std::uint32_t kColdWindowInitial = 4;
/** Requests by which the window grows after as many successes as it admits. */
constexpr std::uint32_t kColdWindowGrowth = 1;
/**
 * Time after a (re)start or an overload during which the window does not grow. When it grew with
 * each success, it passed the limit of an engine within 100 ms, while the engine was cold for 3 s,
 * and the engine crashed again.
 */
constexpr Duration kColdWindowHoldTime = std::chrono::seconds(5);
/** Minimum time between the first loads after a (re)start. */
constexpr Duration kColdLoadGap = std::chrono::milliseconds(250);
/** Number of loads after a (re)start that are kept kColdLoadGap apart. */
constexpr std::uint32_t kColdLoadCount = 4;
/** An answer whose latency exceeds the mean by this factor counts as slow. */
constexpr double kLatencyJumpFactor = 4.0;
/** Number of consecutive slow answers that count as a latency jump. */
constexpr std::uint32_t kLatencyJumpCount = 3;
/** Number of answers before the latency mean is used. */
constexpr std::uint32_t kLatencyMinSamples = 16;

/** Tokens that retries may add, as a fraction of the tokens of all requests. */
constexpr double kRetryTokenRatio = 0.10;
/** Maximum number of tokens that an unused retry budget accumulates. */
constexpr std::int64_t kRetryBudgetMax = 100000;
/** Retry budget in tokens at start, so that the first failures after a start may be retried. */
constexpr std::int64_t kRetryBudgetInitial = 20000;
/** Maximum number of attempts of one request. */
constexpr std::uint32_t kMaxAttempts = 4;
/** Upper bound of the delay before the first retry; doubles with each further one. */
constexpr Duration kRetryDelayInitial = std::chrono::milliseconds(20);
/** Upper bound of the delay before any retry. */
constexpr Duration kRetryDelayMax = std::chrono::seconds(1);

/** Time for which marks count and a suspect request is refused. */
constexpr Duration kSuspectMarkTtl = std::chrono::minutes(10);
/**
 * Maximum number of engines on which one request may run within kSuspectMarkTtl, and thus the
 * maximum that it can crash.
 */
constexpr std::size_t kMaxSuspectEngines = 3;
/**
 * Maximum number of requests with one mark that an engine runs at once. After a crash that marked
 * 32 requests, a second crash then leaves 4 candidates.
 */
constexpr std::size_t kMaxConcurrentOneMark = 4;
/**
 * Maximum number of requests with two marks that an engine runs at once; a third crash then
 * identifies the cause.
 */
constexpr std::size_t kMaxConcurrentTwoMarks = 1;
/** Maximum number of request digests with marks that are kept; about 300 bytes each. */
constexpr std::size_t kMaxSuspectEntries = 4096;

/** Number of consecutive failed attempts after which an upstream is suspect. */
constexpr std::uint32_t kUpstreamSuspectFailures = 3;
/**
 * Number of consecutive failed reports after which an upstream is suspect. It is higher than
 * kUpstreamSuspectFailures, as a failed report is only a hint.
 */
constexpr std::uint32_t kUpstreamSuspectReports = 4;
/** Number of consecutive failed probes after which an upstream is down. */
constexpr std::uint32_t kDownProbes = 2;
/** Number of successes after which a warming upstream counts as healthy. */
constexpr std::uint32_t kWarmSuccesses = 32;
/** Mean time between probes; each wait is drawn from 0.5 to 1.5 times this value. */
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
/** Maximum mean time between probes of an upstream that stays down. */
constexpr Duration kProbeIntervalMax = std::chrono::seconds(4);

} // namespace laburnumweir

#endif
