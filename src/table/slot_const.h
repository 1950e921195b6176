/** @file slot_const.h Constants of the slots that an issuer assigns to hosts. */
#ifndef LABURNUMWEIR_TABLE_SLOT_CONST_H
#define LABURNUMWEIR_TABLE_SLOT_CONST_H

#include "core/clock_base.h"

#include <chrono>
#include <cstdint>

namespace laburnumweir {

/**
 * Requests beyond its slots that an upstream gets, which wait in its queue. They keep a slot busy
 * while the end of a request is reported and the next one is sent.
 */
constexpr std::uint32_t kQueuedPerUpstream = 2;
/** Time in which a grant reaches its host and the next message of the host names it. */
constexpr Duration kSlotDeliveryTime = std::chrono::milliseconds(60);
/** Time without a message after which the slots of a host are free. */
constexpr Duration kSlotHostTtl = std::chrono::milliseconds(500);
/** Interval at which a host repeats what it holds and wants; several per kSlotHostTtl. */
constexpr Duration kSlotRepeatInterval = std::chrono::milliseconds(100);
/** Time after which a host returns a slot that none of its requests can use. */
constexpr Duration kUnusedSlotTime = std::chrono::milliseconds(100);
/** Time without an answer of the issuer after which a host chooses upstreams by itself. */
constexpr Duration kSlotIssuerTimeout = std::chrono::milliseconds(250);
/** Time for which it does so before it asks the issuer again; doubled while it stays silent. */
constexpr Duration kSlotFallbackTime = std::chrono::seconds(1);
/** Limit of the doubled time; an older program may run at the issuer for long. */
constexpr Duration kMaxSlotFallbackTime = std::chrono::seconds(16);
/** Time for which a slot counts as used after an upstream that should have had one refused. */
constexpr Duration kRefusedSlotTime = std::chrono::milliseconds(50);
/** Time from a grant to the answer, within which a request can still be in time. */
constexpr Duration kSlotAnswerTime = std::chrono::milliseconds(80);
/** Weight of the newest outcome in the moving average of failures. */
constexpr double kSlotFailureWeight = 0.1;
/** Cost of a failing upstream; a full one costs 1. */
constexpr double kSlotFailurePenalty = 3.0;
/** Wishes in one message; a datagram holds at most 64 KB. */
constexpr std::size_t kMaxSlotWishes = 64;

} // namespace laburnumweir

#endif
