/** @file flow_const.h Time limits and sizes on the path of a request through a gateway. */
#ifndef LABURNUMWEIR_TABLE_FLOW_CONST_H
#define LABURNUMWEIR_TABLE_FLOW_CONST_H

#include "core/clock_base.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace laburnumweir {

// A connection within the deployment takes a few milliseconds; a lost packet is sent again after a
// second, which another upstream beats.
constexpr Duration kConnectLimit = std::chrono::milliseconds(250);
// After the deadline the upstream's own answer may still be on its way.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(80);
// Least time in which an upstream can answer; a request with less left is not sent.
constexpr Duration kLeastAnswerTime = std::chrono::milliseconds(40);
constexpr Duration kLeastStreamTime = std::chrono::milliseconds(200);
// An upstream without a first byte after this multiple of the target latency is taken as silent.
constexpr int kSilentTargets = 3;
constexpr Duration kLeastSilence = std::chrono::milliseconds(400);
// A resumable stream goes on elsewhere after a pause of this multiple of the target pause.
constexpr int kSilentPauses = 5;
constexpr Duration kLeastStreamSilence = std::chrono::milliseconds(1200);
// Callers leave a stream without a first event after the longest of these: a time, multiples of the
// target latency and of the target pause.
constexpr Duration kCallerPatience = std::chrono::seconds(2);
constexpr int kPatienceTargets = 4;
constexpr int kPatiencePauses = 8;
// Time before that at which a waiting stream is refused, so that its caller can come back instead
// of giving up: the way of the refusal and the start of another attempt.
constexpr Duration kRefusalLead = std::chrono::milliseconds(500);
// A want is told again at this interval, since datagrams may be lost.
constexpr Duration kWantInterval = std::chrono::milliseconds(150);
// An engine that has not loaded an adapter after this time is not waited for any longer.
constexpr Duration kLoadPatience = std::chrono::milliseconds(3000);
// Pause of a request at an upstream that refused it, doubled with each attempt up to 0.8 s. A
// refusal lasts while an adapter is replaced or until a run ends, both some tenths of a second.
constexpr Duration kFirstRefusalPause = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaxRefusalDoublings = 3;
// Retry-After of a request whose adapter is on its way.
constexpr Duration kLoadRetryAfter = std::chrono::milliseconds(150);
// Retry-After when the wait cannot be estimated.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(300);
// Answers up to this size are checked as a whole before they are passed on.
constexpr std::size_t kHoldBytes = std::size_t{ 256 } << 10;
// Unsent bytes of a slow caller at which reading from the upstream pauses.
constexpr std::size_t kMaxUnsentBytes = std::size_t{ 256 } << 10;
// Ranks of routes within one rank of workspaces; engines know ten ranks in all.
constexpr std::uint32_t kRouteRanks = 4;
constexpr std::uint32_t kLastEngineRank = 9;
// Clock errors and the way of the last message; part of the revocation bound.
constexpr Duration kRevocationMargin = std::chrono::milliseconds(700);

} // namespace laburnumweir

#endif
