/** @file fleet_const.h Constants of quotas, retries, health and placement in a gateway. */
#ifndef LABURNUMWEIR_TABLE_FLEET_CONST_H
#define LABURNUMWEIR_TABLE_FLEET_CONST_H

#include "core/clock_base.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace laburnumweir {

/** Interval of gossip; a quota's overshoot grows with it, messages and bytes shrink. */
constexpr Duration kGossipInterval = std::chrono::milliseconds(250);
/** Hosts of a data centre that read the store and tell the others; a second one, so that the loss
 * of one costs no more than a time limit. */
constexpr std::size_t kReadersPerCentre = 2;
/** A reader that has not answered for this long is taken for silent; three intervals of gossip, so
 * single losses do no harm. */
constexpr Duration kReaderSilence = std::chrono::milliseconds(800);
/** A silent reader is not asked for this long; by then the other hosts have dropped it if it is
 * gone. */
constexpr Duration kReaderAvoidance = std::chrono::seconds(6);
/** A host whose relayed proof of the configuration is older reads the store itself. A reader's
 * proof is up to one long poll old. */
constexpr Duration kRelayedProofAge = std::chrono::milliseconds(2200);
/** Largest answer of a reader; a host that is further behind reads the store itself. A datagram
 * holds 64 KB. */
constexpr std::size_t kMaxRelayedBytes = std::size_t{ 24 } << 10;
/** Counts of a peer expire after this time; twelve intervals, so single losses do no harm. */
constexpr Duration kPeerCountLife = std::chrono::seconds(3);
/** A peer counts as a host for equal shares for this long: a partition must not raise the shares.
 */
constexpr Duration kPeerShareLife = std::chrono::seconds(20);
/** Demand of a silent peer stays reserved for this long; after it, its callers are elsewhere. */
constexpr Duration kPeerDemandLife = std::chrono::seconds(5);
/** Time constant of the demand average; shorter follows bursts of single large requests. */
constexpr Duration kDemandAverage = std::chrono::seconds(2);

/** Age of the demand of the other hosts as a host knows it: up to one interval each to a reader,
 * between readers and back, half of that on average, and the way. */
constexpr Duration kShareDelay = 2 * kGossipInterval;
/** Between samples of past demand; a fraction of kShareDelay. */
constexpr Duration kShareSampling = kShareDelay / 5;

/** Time constant of the average that shows a jump of demand; shorter would take single requests for
 * one. */
constexpr Duration kSurgeAverage = std::chrono::milliseconds(500);
/** Time for which hosts grant tokens that the others do not know of: kShareDelay, and most of the
 * time constant of the average by which grants are told. */
constexpr Duration kUnseenTime = kShareDelay + kDemandAverage * 3 / 4;
/** Tokens by which a level may fall short through rounding. */
constexpr double kRoundingTokens = 1e-6;

/** Part of the allowed retries that is used; the rest covers arrivals counted differently. */
constexpr double kRetryShare = 0.7;
/** Part of the allowed rate of cold upstreams that is used; the rest covers bunching on the way. */
constexpr double kColdShare = 0.8;

/** Consecutive failures after which an upstream gets no work for a while. */
constexpr std::uint32_t kFailuresToAvoid = 2;
/** First pause of an upstream that fails; doubles with each further failure. */
constexpr Duration kFirstPause = std::chrono::milliseconds(300);
/** Longest pause of an upstream that fails; its entry expires after three missed heartbeats. */
constexpr Duration kLongestPause = std::chrono::seconds(3);
/** Weight of the newest answer in the failure average of an upstream. */
constexpr double kFailureWeight = 0.1;

/** An entry read this long after its holder told of an engine may have been written before that: a
 * heartbeat of up to 2 s and an interval of reading. */
constexpr Duration kEntryLag = std::chrono::milliseconds(2500);
/** An adapter counts as in use for this long after a host last told that a request with it runs;
 * four intervals of gossip. An engine takes no orders while it waits for the runs of an adapter
 * that is unloaded. */
constexpr Duration kAdapterInUse = std::chrono::milliseconds(1000);
/** A want that was not repeated for this long is dropped; requesters repeat it while they wait. */
constexpr Duration kWantLife = std::chrono::milliseconds(700);
/** A reason for a want holds this long; twice the interval at which requesters repeat it. */
constexpr Duration kWantReasonLife = std::chrono::milliseconds(300);
/** Old versions of an adapter may serve for this part of the bound after a release, while the new
 * one is loaded; the rest covers the way of the release to this host. */
constexpr double kOldVersionShare = 0.5;

} // namespace laburnumweir

#endif
