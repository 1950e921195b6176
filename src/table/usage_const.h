/** @file usage_const.h Constants of the usage reports. */
#ifndef LABURNUMWEIR_TABLE_USAGE_CONST_H
#define LABURNUMWEIR_TABLE_USAGE_CONST_H

#include "core/clock_base.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace laburnumweir {

/** Partition of the group whose holder has the duty. */
constexpr std::uint32_t kUsagePartition = 0;
/** Time after the end of a window from which its report is neither decided nor sent. The platform
 * wants no report that is a minute old; the margin covers clock errors and the call. */
constexpr Duration kUsageMaxAge = std::chrono::seconds(55);
/** Windows that are kept in addition to those of kUsageMaxAge: the open one, and as many as a wall
 * clock may be ahead. */
constexpr std::int64_t kUsageSpareWindows = 3;
/** Maximum number of workspaces that are counted in one window. */
constexpr std::size_t kMaxUsageWorkspaces = 4096;
/** Interval at which a host sends its counts; the most that a killed host loses. */
constexpr Duration kUsageSendInterval = std::chrono::seconds(1);
/** Estimated size of the counts in one datagram. A UDP datagram holds 64 KB, but those with many
 * fragments are lost more often. */
constexpr std::size_t kMaxUsageBytes = std::size_t{ 8 } << 10;
/** Datagrams that a host sends in one interval. After a takeover the hosts send all counts of the
 * undecided windows at the same time, which must fit into the receive buffer of the holder. */
constexpr std::size_t kMaxUsageDatagrams = 4;
/** Sent messages whose confirmation is still accepted; those of two intervals. */
constexpr std::size_t kMaxOpenUsageMessages = 2 * kMaxUsageDatagrams;
/** Age at which the wall clock that a host reported is no longer used. */
constexpr Duration kFleetTimeTtl = std::chrono::seconds(30);
/** Most by which the clock of the holder is taken to be right if it is ahead of the time of the
 * fleet. Windows that are passed over are lost for good. */
constexpr Duration kUsageMaxClockLead = std::chrono::seconds(10);
/** Interval at which the holder checks whether a report is due. */
constexpr Duration kUsageTickInterval = std::chrono::milliseconds(100);
/** Fraction of the time until a report is due after which it is decided. At 10 s, 5 s leave late
 * counts four intervals, and 5 s remain for a takeover, the store, the call and some retries. */
constexpr double kUsageDecideFraction = 0.5;
/** Time from getting the partition to the first decision. Hosts learn of a new holder within about
 * a second, and then send all counts of the undecided windows; the rest covers two lost datagrams.
 */
constexpr Duration kUsageCollectTime = std::chrono::milliseconds(3500);
/** Processes whose counts a host keeps in case they are killed while they are the holder. */
constexpr std::size_t kMaxUsageBackups = 8;
/** Time from getting the partition to the first call where the platform does not check tokens: a
 * call of the previous holder may be executed some seconds after its lease has ended. */
constexpr Duration kUnfencedCallDelay = std::chrono::seconds(10);
/** First and longest delay after a failed call of the store or the platform; it doubles. */
constexpr Duration kMinUsageBackoff = std::chrono::milliseconds(250);
constexpr Duration kMaxUsageBackoff = std::chrono::seconds(4);
/** Fraction of the calls that the platform accepts per second that the usage reports may take. */
constexpr double kUsageCallFraction = 0.5;

} // namespace laburnumweir

#endif
