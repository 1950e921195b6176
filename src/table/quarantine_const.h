/** @file quarantine_const.h Constants of the quarantine of requests that crash upstreams. */
#ifndef LABURNUMWEIR_TABLE_QUARANTINE_CONST_H
#define LABURNUMWEIR_TABLE_QUARANTINE_CONST_H

#include "core/clock_base.h"

#include <chrono>
#include <cstddef>

namespace laburnumweir {

/**
 * Number of upstream processes that must have crashed on a content before it is quarantined. A
 * sound content is rarely at two crashes without beginning anywhere in between.
 */
constexpr std::size_t kMinCrashes = 3;
/**
 * Number of different requests that must have been at these crashes for a quarantine of the parts
 * that they share. A request that crashes several upstreams may do so by what it does not share.
 */
constexpr std::size_t kMinCrashingRequests = 2;
/**
 * Crashes closer together than this count as one. A power loss or a lost link ends many upstreams
 * at once, and a content that many requests share is then at several of them by chance.
 */
constexpr Duration kMinCrashGap = std::chrono::milliseconds(100);
/** Duration of a quarantine. After it, the content must crash kMinCrashes upstreams anew. */
constexpr Duration kQuarantineTime = std::chrono::minutes(10);
/**
 * Minimum time left of a quarantine that is sent to the other hosts. It exceeds the delay of
 * messages: a host whose quarantine has ended would learn it again from one whose quarantine ends a
 * moment later.
 */
constexpr Duration kMinReportedQuarantine = std::chrono::seconds(5);
/** Time for which a suspected crash counts. */
constexpr Duration kCrashSuspectTtl = std::chrono::minutes(10);
/**
 * Time for which crash suspects and begins of answers are sent to the other hosts; many gossip
 * intervals, so that lost datagrams do no harm.
 */
constexpr Duration kCrashReportTime = std::chrono::seconds(5);
/**
 * Minimum time from the crash of an upstream until it serves again under the same id. An answer to
 * a request that was sent to the same process within this time after a suspected crash shows that
 * there was none.
 */
constexpr Duration kMinRestartTime = std::chrono::seconds(1);
/** Time after which a failed write of a quarantine to the store is repeated. */
constexpr Duration kQuarantineWriteRetryDelay = std::chrono::milliseconds(500);
/** A stream of fewer complete events than this has only begun. */
constexpr std::size_t kBegunEvents = 2;
/** Maximum number of crash suspects that are kept, about 200 bytes each beside their parts. */
constexpr std::size_t kMaxCrashSuspects = 128;
/** Maximum number of crash suspects of one upstream process; one that is cut off has many. */
constexpr std::size_t kMaxSuspectsPerUpstream = 8;
/** Maximum number of parts of all crash suspects, about 100 bytes each. */
constexpr std::size_t kMaxSuspectParts = 65536;
/** Maximum number of crash suspects that are reported to other hosts, of short and of long prompts
 * each; those with parts of prompts go first. */
constexpr std::size_t kMaxReportedSuspects = 16;
/** Maximum number of parts in one row of a report; longer prompts take several rows. */
constexpr std::size_t kMaxPartsOfRow = 128;
/** Maximum size of the rows in one message, of short and of long prompts each. Hosts and changes of
 * upstreams share the message, which must fit into a datagram. */
constexpr std::size_t kMaxReportedBytes = std::size_t{ 6 } << 10;
/** Maximum size of a quarantine in a message. Hosts learn longer ones from the suspects, or from
 * the store when they start. */
constexpr std::size_t kMaxLongRowBytes = std::size_t{ 16 } << 10;
/** Time for which the crash suspects of long prompts are reported, which take many messages. */
constexpr Duration kLongCrashReportTime = std::chrono::seconds(15);
/** Gossip rounds between two reports of long quarantines, which are reported as long as they last.
 */
constexpr std::size_t kLongQuarantineTurns = 16;
/** Maximum number of begins of answers that are kept for crashes which are reported late, about 100
 * bytes each. */
constexpr std::size_t kMaxRecentBegins = 32768;
/** Maximum number of begins of answers that are reported. */
constexpr std::size_t kMaxReportedBegins = 1024;
/** Maximum number of quarantines; the oldest is dropped for a further one. */
constexpr std::size_t kMaxQuarantines = 64;
/** Maximum number of contents of all quarantines, about 150 bytes each; the oldest is dropped. */
constexpr std::size_t kMaxQuarantinedContents = 32768;
/** Maximum number of contents of quarantines that ended and may have to be removed from a restored
 * store, and of those whose records are still to be removed. */
constexpr std::size_t kMaxEndedContents = 16384;
/** Maximum number of contents that a log line names. */
constexpr std::size_t kMaxLoggedContents = 16;
/** Longest content that is kept and sent as callers sent it; a longer one is kept as its digest. */
constexpr std::size_t kMaxContentBytes = 64;

} // namespace laburnumweir

#endif
