/** @file limit_const.h Constants of the request limits that upstreams name. */
#ifndef LABURNUMWEIR_TABLE_LIMIT_CONST_H
#define LABURNUMWEIR_TABLE_LIMIT_CONST_H

#include "core/clock_base.h"
#include "table/fleet_const.h"

#include <chrono>

namespace laburnumweir {

/** Time for which a host reports a limit that an answer named. */
constexpr Duration kLimitReportTime = std::chrono::seconds(2);
/**
 * Time for which the last answer of an upstream to this host says more of its limit than the
 * reports of the other hosts. After it, a report that names a limit is of a later answer, since it
 * takes up to three rounds of gossip.
 */
constexpr Duration kOwnLimitTtl = kLimitReportTime + 3 * kGossipInterval;
/** Minimum rate at which permits are issued, requests/s; only an answer shows that a limit has
 * ended. */
constexpr double kMinPermitRate = 0.25;
/** Permits that may be issued at once, as the number for this time, and one at least. */
constexpr Duration kPermitBurstTime = std::chrono::milliseconds(500);
/** Time after the last request for a permit until the issuer forgets the upstream. */
constexpr Duration kPermitBucketTtl = std::chrono::seconds(30);
/** Time for which a permit is valid; it covers one round of the wait queue. */
constexpr Duration kPermitTtl = std::chrono::milliseconds(200);
/** Time after which an unanswered permit request is sent again. */
constexpr Duration kPermitTimeout = std::chrono::milliseconds(100);
/** Bounds of the time after a denial until a host asks again. */
constexpr Duration kMinPermitDelay = std::chrono::milliseconds(50);
/** See kMinPermitDelay. */
constexpr Duration kMaxPermitDelay = std::chrono::milliseconds(500);

} // namespace laburnumweir

#endif
