/** @file relay_const.h Time limits and sizes of connections to upstreams through other hosts. */
#ifndef LABURNUMWEIR_TABLE_RELAY_CONST_H
#define LABURNUMWEIR_TABLE_RELAY_CONST_H

#include "core/clock_base.h"

#include <chrono>
#include <cstddef>

namespace laburnumweir {

/**
 * Time for which a host waits for its own connection to an upstream before it also connects through
 * another host; a fraction of kConnectTimeout, in which both must end.
 */
constexpr Duration kRelayDelay = std::chrono::milliseconds(100);
/** Time in which a relaying host must have connected to the upstream; less than kRelayTimeout. */
constexpr Duration kRelayConnectTimeout = std::chrono::milliseconds(100);
/** Time in which a relaying host must have answered. */
constexpr Duration kRelayTimeout = std::chrono::milliseconds(120);
/** Time in which a host that wants a connection relayed must have named the upstream. */
constexpr Duration kRelayHeadTimeout = std::chrono::seconds(1);
/** Hosts that are asked for one connection at most. Most of them may have lost their links too. */
constexpr int kMaxRelayTries = 10;
/** Relaying hosts that must have failed to reach an upstream before it counts as unreachable; one
 * host may not know yet that it has lost its links. */
constexpr int kMinRelayFailures = 2;
/** Hosts among which a host spreads its connections. */
constexpr std::size_t kPreferredRelays = 3;
/** Time for which a host that refused to relay is not asked again. */
constexpr Duration kRelayRefusalTime = std::chrono::seconds(2);
/**
 * Upstreams that only other hosts can reach, with no connection of this host's own since, from
 * which it follows that this host has lost its links.
 */
constexpr std::size_t kMinLostUpstreams = 2;
/** Interval at which a host tries its own link to upstreams that it reaches through other hosts. */
constexpr Duration kLinkProbeInterval = std::chrono::milliseconds(250);
/** Time after which an upstream that was reached through other hosts, and is not used any more, is
 * forgotten. */
constexpr Duration kRelayedUpstreamTtl = std::chrono::seconds(10);
/** Time for which an upstream that relaying hosts could not reach counts as unreachable. */
constexpr Duration kUnreachableTtl = std::chrono::seconds(1);
/** Time for which links must be lost, or back, before a host gives up its duties at engines, or
 * takes them again. Each change makes the duties rest for a lease. */
constexpr Duration kLinkSettleTime = std::chrono::milliseconds(700);
/** Delay after a connection of another host could not be accepted. */
constexpr Duration kRelayAcceptDelay = std::chrono::milliseconds(50);
/** Part of a host's descriptors for connections that it relays. */
constexpr std::size_t kRelayDescriptorDivisor = 8;
/** Bytes of a relayed connection that are held in each direction. */
constexpr std::size_t kRelayBufferBytes = std::size_t{ 8 } << 10;
/** Longest request for a relayed connection. */
constexpr std::size_t kMaxRelayHeadBytes = 512;
/** Time without a byte after which a relayed connection does not delay the stop of its host. */
constexpr Duration kRelayQuietTime = std::chrono::seconds(2);

} // namespace laburnumweir

#endif
