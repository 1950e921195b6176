/** @file dispatch_const.h Constants of queueing, placement, engine slots and retries. */
#ifndef LABURNUMWEIR_TABLE_DISPATCH_CONST_H
#define LABURNUMWEIR_TABLE_DISPATCH_CONST_H

#include "core/clock_base.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace laburnumweir {

/** Tokens that a workspace may start in one round; about two prompts with their answers. */
constexpr std::int64_t kQueueQuantum = 4096;
/** Most requests of one workspace in one class; bounds the memory that one workspace can take. */
constexpr std::size_t kQueueMaxPerWorkspace = 256;
/** Most requests in all queues of a host; at 1 MB a body this is the largest part of its memory. */
constexpr std::size_t kQueueMaxTotal = 2048;
/** A deadline class is raised when the time left is below this multiple of the time its work takes.
 */
constexpr double kDeadlineMargin = 1.5;
/** Rate assumed until the queue has measured one. Low, so that deadline classes are raised early.
 */
constexpr double kQueueInitialRate = 1000.0;
/** Backlogged time over which the measured rate forgets half of what it saw. */
constexpr Duration kQueueRateHalfLife = std::chrono::seconds(10);

/** Load above this multiple of the mean moves an engine behind the others in the ranking. */
constexpr double kPlacementLoadBound = 1.25;
/** Engines that a request tries at most, in order of preference. */
constexpr std::size_t kPlacementCandidates = 8;
/** Adapters whose last engine is remembered; 16 bytes each. */
constexpr std::size_t kPlacementResidencyHints = 16384;
/** Points of an engine on the ring of plain consistent hashing. */
constexpr std::size_t kRingPoints = 64;

/** Time for which a pin holds without renewal; six heartbeats of 250 ms. */
constexpr Duration kPinLease = std::chrono::milliseconds(1500);
/** Freshness bound F: a host acts on what it knew at most this long ago. */
constexpr Duration kFreshnessBound = std::chrono::seconds(2);
/** Relative error of a host's clock. */
constexpr double kClockErrorShare = 0.05;
/** Constant part of the clock error. */
constexpr Duration kClockErrorOffset = std::chrono::milliseconds(50);
/** How far the state in an engine's report may lie before the time it was asked for. */
constexpr Duration kReportLag = std::chrono::milliseconds(500);
/** A run whose holder is gone ends at most this long after the deadline of its request. */
constexpr Duration kUncertainRunTime = std::chrono::seconds(5);
/** Longest run that is assumed where the deadline of its request is not known. */
constexpr Duration kMaxRunTime = std::chrono::minutes(2);
/** Releases of an adapter that are remembered until a report cannot show their runs any more. */
constexpr std::size_t kReleasesKept = 256;
/** Most requests that wait for one load; more go to the next candidate. */
constexpr std::size_t kMaxWaitersPerLoad = 64;
/** Time of one load while at most kFleetLoads are in flight. */
constexpr Duration kLoadTime = std::chrono::milliseconds(250);
/** After a lost answer to a load order the engine may still be loading for this long. */
constexpr Duration kUnknownLoadTime = std::chrono::seconds(5);
/** Wait after the first failed load of an adapter; doubles with each further failure. */
constexpr Duration kLoadBackoffFirst = std::chrono::milliseconds(500);
/** Longest wait after failed loads of an adapter. */
constexpr Duration kLoadBackoffMax = std::chrono::seconds(60);
/** Adapters with failed loads that are remembered for one engine. */
constexpr std::size_t kLoadFailuresKept = 256;
/** A loaded adapter is not evicted within this time, so that the requests that waited can start. */
constexpr Duration kLoadGrace = std::chrono::milliseconds(500);
/** Time over which the popularity of an adapter halves. */
constexpr Duration kPopularityHalfLife = std::chrono::seconds(120);
/** Columns of the popularity sketch; with 4 rows of float this takes 16 KB for each engine. */
constexpr std::size_t kPopularityColumns = 1024;

/** Loads in flight across all engines up to which each runs at full speed. */
constexpr std::uint32_t kFleetLoads = 8;

/** Concurrent requests allowed right after an engine (re)started. */
constexpr std::uint32_t kColdWindowInitial = 4;
/** Growth of the window for each window's worth of successes. */
constexpr std::uint32_t kColdWindowGrowth = 1;
/**
 * Time after a (re)start or an overload during which the window does not grow. Growth with each
 * success passed the limit of an engine that was cold for 3 s within 100 ms, and it crashed again.
 */
constexpr Duration kColdHold = std::chrono::seconds(5);
/** Time between the first loads after a (re)start. */
constexpr Duration kColdLoadGap = std::chrono::milliseconds(250);
/** Loads after a (re)start that keep this gap. */
constexpr std::uint32_t kColdLoadCount = 4;
/** Latency above this multiple of its mean counts towards a jump. */
constexpr double kLatencyJumpFactor = 4.0;
/** Successive slow answers that make a latency jump. */
constexpr std::uint32_t kLatencyJumpCount = 3;
/** Answers before a latency mean is trusted. */
constexpr std::uint32_t kLatencyMinSamples = 16;

/** Share of the traffic, in tokens, that retries may add. */
constexpr double kRetryShare = 0.10;
/** Most tokens that an unused retry budget accumulates. */
constexpr std::int64_t kRetryBudgetMax = 100000;
/** Budget at start, so that the first failures after a start may be retried. */
constexpr std::int64_t kRetryBudgetInitial = 20000;
/** Most attempts of one request. */
constexpr std::uint32_t kMaxAttempts = 4;
/** Upper end of the delay before the first retry; doubles with each further one. */
constexpr Duration kRetryDelayFirst = std::chrono::milliseconds(20);
/** Upper end of the delay before any retry. */
constexpr Duration kRetryDelayMax = std::chrono::seconds(1);

/** Time for which marks count and a suspect is refused. */
constexpr Duration kSuspectTime = std::chrono::minutes(10);
/** Engines on which one request may run within that time, and thus the most that it can crash. */
constexpr std::size_t kSuspectEngines = 3;
/** Requests with one mark that an engine runs at once; after 32 victims, a next crash leaves 4. */
constexpr std::size_t kMarkedOnceTogether = 4;
/** Requests with two marks that an engine runs at once; a third crash then names the cause. */
constexpr std::size_t kMarkedTwiceTogether = 1;
/** Digests with marks that are kept; about 300 bytes each. */
constexpr std::size_t kSuspectsKept = 4096;

/** Successive failed attempts after which an upstream is suspect. */
constexpr std::uint32_t kSuspectFailures = 3;
/** Successive failed reports that make an upstream suspect; a report is only a hint. */
constexpr std::uint32_t kSuspectReports = 4;
/** Successive failed probes after which an upstream is down. */
constexpr std::uint32_t kDownProbes = 2;
/** Successes that warm an upstream up. */
constexpr std::uint32_t kWarmSuccesses = 32;
/** Mean time between probes; each wait is drawn from half to one and a half of it. */
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
/** Longest mean time between probes of an upstream that stays down. */
constexpr Duration kProbeIntervalMax = std::chrono::seconds(4);

} // namespace laburnumweir

#endif
