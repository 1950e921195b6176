/** @file fleet_const.h Constants of quotas, retries, health and placement in a gateway. */
#ifndef LABURNUMWEIR_TABLE_FLEET_CONST_H
#define LABURNUMWEIR_TABLE_FLEET_CONST_H

#include "core/clock_base.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace laburnumweir {

/**
 * Interval of gossip. A longer one needs fewer messages and bytes, but lets requests exceed a
 * quota further.
 */
constexpr Duration kGossipInterval = std::chrono::milliseconds(250);
/**
 * Number of hosts of a data centre that read the store and send its changes to the others. There
 * are two, so that the loss of one costs no more than a time-out.
 */
constexpr std::size_t kStoreReadersPerDataCentre = 2;
/**
 * A store reader that has not answered for this long is considered silent; three gossip intervals,
 * so that single lost datagrams do no harm.
 */
constexpr Duration kReaderTimeout = std::chrono::milliseconds(800);
/**
 * Time for which a silent store reader gets no requests. If it is gone, the other hosts have
 * removed it from their tables by then.
 */
constexpr Duration kReaderRetryDelay = std::chrono::seconds(6);
/**
 * A host that has only a relayed confirmation of the configuration older than this reads the store
 * itself. The confirmation that a store reader sends is up to one long poll old. If the reader has
 * lost the store, a change must still be in force here within 2 s.
 */
constexpr Duration kMaxRelayedConfigAge = std::chrono::milliseconds(1750);
/**
 * Maximum size of the changes in an answer of a store reader; a host that needs more queries again
 * at once. A datagram holds at most 64 KB, with the sums and the live hosts.
 */
constexpr std::size_t kMaxRelayedBytes = std::size_t{ 24 } << 10;
/**
 * Average time between the hosts of the fleet that write their records again after the store was
 * restored from a copy. The store accepts some hundred writes a second.
 */
constexpr Duration kRestoreWriteInterval = std::chrono::milliseconds(10);
/**
 * Timeout of the load report of a peer; twelve gossip intervals, so that single lost datagrams do
 * no harm.
 */
constexpr Duration kPeerLoadTtl = std::chrono::seconds(3);
/**
 * Time for which a silent peer still counts as a host when quotas are divided equally. It is long,
 * since a network partition must not raise the shares.
 */
constexpr Duration kPeerShareTtl = std::chrono::seconds(20);
/**
 * Time for which the demand of a silent peer stays reserved; after it, the callers of the peer
 * have moved to other hosts.
 */
constexpr Duration kPeerDemandTtl = std::chrono::seconds(5);
/** Time constant of the demand average; a shorter one follows bursts of single large requests. */
constexpr Duration kDemandTimeConstant = std::chrono::seconds(2);

/**
 * Age of the demand of the other hosts as a host knows it. It is sent to a store reader, between
 * the readers and back, with up to one interval for each step, half of that on average, plus the
 * network delay.
 */
constexpr Duration kPeerDemandDelay = 2 * kGossipInterval;
/** Interval between samples of past demand; a fraction of kPeerDemandDelay. */
constexpr Duration kDemandSampleInterval = kPeerDemandDelay / 5;

/**
 * Time constant of the average that detects a jump of demand; a shorter one would take single
 * requests for a jump.
 */
constexpr Duration kSurgeTimeConstant = std::chrono::milliseconds(500);
/**
 * Time for which hosts grant tokens that the other hosts do not know of yet: kPeerDemandDelay, and
 * most of the time constant of the average in which grants are sent.
 */
constexpr Duration kUnreportedGrantTime = kPeerDemandDelay + kSurgeTimeConstant * 3 / 4;
/**
 * Time in which hosts take back what they granted beyond a quota; a few times the delay at which
 * grants are known, since a shorter one would overshoot.
 */
constexpr Duration kQuotaBalanceTime = std::chrono::milliseconds(2500);
/** Lowest part of a workspace's rate that is granted while hosts take back such grants. */
constexpr double kMinRateInDebt = 0.1;
/** Standard deviations by which measured demand must exceed a rate to count as higher. */
constexpr double kDemandDeviations = 2;
/** Requests whose tokens raise the shared rate of a workspace at most while they are unused. */
constexpr double kUnusedRequestCount = 4;
/** Requests for which a host may save tokens of its share. */
constexpr double kSavedRequestCount = 2;
/** Tokens by which the token bucket's level may fall short through rounding. */
constexpr double kRoundingTokens = 1e-6;

/**
 * Fraction of the allowed retries that is used; the rest covers hosts that count the same arrivals
 * differently.
 */
constexpr double kRetrySafetyFactor = 0.7;
/**
 * Time for which silent hosts still count when the slack of the retry budget is divided; longer
 * than any partition of the network is left alone.
 */
constexpr Duration kHostCountTtl = std::chrono::minutes(10);
/**
 * Fraction of the allowed rate of cold upstreams that is used; the rest covers requests that bunch
 * on the way.
 */
constexpr double kColdRateSafetyFactor = 0.8;

/** Longest cold phase that an upstream may name; a larger number is an error. */
constexpr std::chrono::milliseconds kMaxColdTime = std::chrono::hours(24);

/** Tokens charged at most for a request; more than any engine can hold. */
constexpr std::int64_t kMaxRequestTokens = 1'000'000'000'000;
/** Longest deadline of a caller that is told apart; longer ones count as this. */
constexpr std::chrono::milliseconds kMaxCallerDeadline = std::chrono::hours(24);

/** Number of consecutive failures after which an upstream gets no requests for a while. */
constexpr std::uint32_t kFailuresBeforePause = 2;
/** Back-off after the first of these failures of an upstream; doubles with each further failure. */
constexpr Duration kUpstreamBackoffInitial = std::chrono::milliseconds(300);
/**
 * Maximum back-off of a failing upstream; if it is gone, its entry expires after three missed
 * heartbeats.
 */
constexpr Duration kUpstreamBackoffMax = std::chrono::seconds(3);
/**
 * Longest pause that an upstream may ask for. A wrong value, such as one in milliseconds, must not
 * take it out of service until its next start.
 */
constexpr Duration kMaxUpstreamPause = std::chrono::minutes(5);
/**
 * Time for which it is remembered what an upstream without an entry has asked for. Its entry may
 * come back after an outage of the store.
 */
constexpr Duration kUpstreamNoticeTtl = std::chrono::minutes(10);
/** Weight of the newest answer in the moving average of failures of an upstream. */
constexpr double kFailureAverageWeight = 0.1;

/**
 * An entry that is read up to this long after the holder of an engine sent its residency may have
 * been written before that: a heartbeat of up to 2 s and one interval between reads.
 */
constexpr Duration kMaxEntryAge = std::chrono::milliseconds(2500);
/**
 * Time for which the last entry of a removed upstream stays known. The store may come back from a
 * copy that still has this entry or an older one; such copies are some seconds old.
 */
constexpr Duration kRemovedUpstreamTtl = std::chrono::seconds(60);
/**
 * Time for which an adapter counts as in use after a host last reported a running request for it;
 * four gossip intervals. Unloading an adapter in use blocks the engine: it processes no orders
 * while it waits for the adapter's runs.
 */
constexpr Duration kAdapterInUseTime = std::chrono::milliseconds(1000);
/** Timeout of a load request that is not repeated; requesters repeat it while they wait. */
constexpr Duration kLoadRequestTtl = std::chrono::milliseconds(700);
/** Timeout of the priority of a load request; twice the interval at which requesters repeat it. */
constexpr Duration kLoadPriorityTtl = std::chrono::milliseconds(300);
/**
 * Fraction of the release bound for which old versions of an adapter may serve after a release,
 * while the new one is loaded.
 */
constexpr double kOldVersionFraction = 0.6;
/**
 * Fraction of the release bound after which a request that was sent to an old version is withdrawn
 * if it has not begun: it waits in the queue of its engine. The rest covers the close of the
 * connection.
 */
constexpr double kOldVersionBeginFraction = 0.8;
/**
 * Interval of the checks whether the version for which a request was sent has been replaced, as a
 * fraction of the release bound. Requests that are not answered yet are checked.
 */
constexpr double kOldVersionCheckFraction = 0.05;
/**
 * Time for which a configuration that the store has lost and a peer still has keeps this host from
 * confirming an older one. Operators write what the store has lost again within seconds.
 */
constexpr Duration kLostConfigTtl = std::chrono::seconds(10);
/** Time for which replaced versions of an adapter are remembered; requests that began before end
 * long before. */
constexpr Duration kReleaseRetention = std::chrono::hours(1);

} // namespace laburnumweir

#endif
