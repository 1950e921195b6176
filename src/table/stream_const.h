/** @file stream_const.h Constants of the continuation of streams. */
#ifndef LABURNUMWEIR_TABLE_STREAM_CONST_H
#define LABURNUMWEIR_TABLE_STREAM_CONST_H

#include "core/clock_base.h"

#include <chrono>
#include <cstddef>

namespace laburnumweir {

/** Time for which the origin of a stream is kept after it was last recorded. */
constexpr Duration kStreamOriginTtl = std::chrono::minutes(5);
/** Maximum number of origins that a host keeps. */
constexpr std::size_t kMaxStreamOrigins = std::size_t{ 1 } << 16;
/** Maximum length of the id of a stream whose origin is kept. */
constexpr std::size_t kMaxStreamIdBytes = 128;
/** Hosts that keep the origin of a stream, besides the one that serves it. With three, most are
 * left when a third of the hosts is killed. */
constexpr std::size_t kStreamOriginHosts = 3;
/** Hosts that are asked for an origin: one more, since a host that has just started may have taken
 * the place of one of them. */
constexpr std::size_t kStreamOriginAskedHosts = kStreamOriginHosts + 1;
/** Interval of the checks of a search for an origin. */
constexpr Duration kOriginCheckInterval = std::chrono::milliseconds(25);
/** Time after which an unanswered query is repeated, as datagrams may be lost. */
constexpr Duration kOriginRepeatInterval = std::chrono::milliseconds(100);
/** Time for which other hosts are asked; three queries. */
constexpr Duration kOriginQueryTime = std::chrono::milliseconds(350);
/** Maximum duration of a search, with a read of the upstreams' entries. */
constexpr Duration kOriginSearchTime = std::chrono::seconds(1);
/** Interval at which a host stores the origins of its new streams. */
constexpr Duration kOriginWriteInterval = std::chrono::milliseconds(250);
/** Maximum number of origins that are stored in one call. */
constexpr std::size_t kMaxStoredOrigins = 1000;
/** Callers resume a stream until their deadline, which counts from their first attempt and is at
 * most about the timeout of the route. The factor covers a timeout that was lowered since. */
constexpr int kStreamLifetimeTimeouts = 2;
/** Time for which a host that is out of touch with the store may send requests to upstreams that
 * the others have removed. */
constexpr Duration kSoftwareUseLag = std::chrono::seconds(10);
/** If the last complete state of the upstreams is older than this, the next one may lack a software
 * version that has come and gone. An upstream is in use for longer: it is removed after three
 * missed heartbeats, or serves for the drain time after its entry is gone. */
constexpr Duration kMaxStateGap = std::chrono::seconds(2);
/** The same for changes, which name the removed upstreams; one may have been started twice in
 * place, with another version the first time. */
constexpr Duration kMaxChangesGap = std::chrono::seconds(5);

} // namespace laburnumweir

#endif
