/** @file gossip_message.h Messages between hosts, and their encoding. */
#ifndef LABURNUMWEIR_GATEWAY_GOSSIP_MESSAGE_H
#define LABURNUMWEIR_GATEWAY_GOSSIP_MESSAGE_H

#include "fleet/count_table.h"
#include "fleet/engine_orders.h"
#include "fleet/peer_table.h"
#include "fleet/permit_issuer.h"
#include "fleet/quarantine.h"
#include "fleet/slot_type.h"
#include "fleet/stream_origin.h"
#include "fleet/usage_type.h"

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumweir {

/** A request that uses an adapter at an engine; reported to the holder of the engine. */
struct AdapterUse
{
  UpstreamId engine_;
  std::string model_;
  std::string adapter_;

  auto operator<=>(const AdapterUse&) const = default;
};

/** Load request for a model or adapter that requests wait for; sent to the holder of the engine. */
struct EngineLoadRequest
{
  UpstreamId engine_; ///< Engine that should load it.
  LoadRequest request_;
};

/** Request for a permit, sent to the host that issues those of the upstream. */
struct PermitRequest
{
  UpstreamId upstream_;
  double limit_ = 0; ///< Requests/s that the upstream takes from all hosts, as known to the sender.
};

/** Answer to a PermitRequest. */
struct PermitAnswer
{
  UpstreamId upstream_;
  Permit permit_;
};

/** Query of a host to a store reader. The message also carries the load report of the host. */
struct RelayQuery
{
  StorePosition upstreams_;       ///< Position of the sender in the upstreams' stream.
  std::uint64_t hostsDigest_ = 0; ///< Digest of the last list of live hosts received; 0 if none.
};

/**
 * Answer of a store reader. The message also carries the sum of the load reports of all hosts
 * except the one that sent the query.
 */
struct RelayReply
{
  std::uint64_t query_ = 0;                ///< Number of the message with the query.
  std::optional<StorePosition> operators_; ///< In the operators' stream; none if unknown.
  /** Time since the store confirmed that the operators' stream ends at that position. */
  std::chrono::milliseconds configAge_{ 0 };
  std::optional<StorePosition> upstreams_; ///< In the upstreams' stream; none if unknown.
  /** Time since the entries were requested; kIncompletePageAge if a part of the changes did not
   * fit, so that the entries of the receiver do not count as newer than before. */
  std::chrono::milliseconds upstreamAge_{ 0 };
  /** Changes since the position in the query; none if unknown. */
  std::optional<std::vector<UpstreamChange>> changes_;
  /** Digest of the live hosts. The message lists them if it differs from the digest in the query.
   */
  std::uint64_t hostsDigest_ = 0;
};

/** Value of RelayReply::upstreamAge_ with which the receiver queries the store reader again at
 * once. */
constexpr std::chrono::milliseconds kIncompletePageAge = std::chrono::hours(1);

/** What hosts tell and ask each other of the origins of streams. */
struct StreamOriginMessage
{
  std::vector<StreamOriginRecord> records_; ///< To be kept; also the answer to a query.
  std::vector<RequestId> queries_;          ///< Streams whose origins the sender asks for.
  std::vector<RequestId> unknown_;          ///< Answer to queries: the sender does not know these.
};

/** Confirmation that the holder of the usage reports has received a message with counts. */
struct UsageConfirmation
{
  std::uint64_t number_ = 0; ///< UsageMessage::number_ of the message.
  std::uint64_t term_ = 0;   ///< Changes when the holder has lost the counts received before.
  WindowId firstOpen_ = 0;   ///< First window whose counts the holder still needs.
};

/** Counts of requests for the holder of the usage reports, or its confirmation. */
struct UsageMessage
{
  std::uint64_t number_ = 0; ///< Increases with each message with counts; 0 if there are none.
  WallTime wallTime_;        ///< Wall clock of the sender, if there are counts.
  std::vector<UsageCell> cells_;
  /** The sender is the holder, and the receiver is to keep its counts for the next holder. */
  bool isBackup_ = false;
  std::optional<UsageProcess> origin_; ///< Process whose counts they are; none for the sender.
  std::optional<UsageConfirmation> confirmation_;
};

/** One gossip datagram. All lists may be empty. */
struct GossipMessage
{
  HostRecord host_;                        ///< Sender.
  std::uint64_t number_ = 0;               ///< Increases with each message of one sender process.
  std::int64_t startedAt_ = 0;             ///< Start time of the sender's process, Unix ms.
  std::optional<HostLoad> hostLoad_;       ///< Load report of the sender, or a sum of several.
  std::uint64_t generation_ = 0;           ///< Generation of the group as known to the sender.
  std::vector<std::uint32_t> partitions_;  ///< Partitions that the sender holds.
  std::optional<RelayQuery> query_;        ///< Set in a message to a store reader.
  std::optional<RelayReply> reply_;        ///< Set in the answer of a store reader.
  std::vector<HostPartitions> hosts_;      ///< Live hosts known to the sender.
  std::vector<EngineResidency> residency_; ///< Resident adapters of engines that the sender holds.
  std::vector<AdapterUse> startedUses_;    ///< Uses that started since the last message.
  std::vector<AdapterUse> runningUses_;    ///< Uses that started earlier and still run.
  std::vector<EngineLoadRequest> loadRequests_; ///< Load requests of the sender.
  QuarantineReport quarantine_;                 ///< Crashes known to the sender.
  std::vector<PermitRequest> permitRequests_;
  std::vector<PermitAnswer> permitAnswers_;
  StreamOriginMessage origins_;
  std::optional<UsageMessage> usage_;
  std::vector<SlotDemand> slotDemands_;
  std::vector<SlotOffer> slotOffers_;
};

/** @return digest of the hosts and their partitions; depends on the order of the hosts. */
std::uint64_t
DigestOfHosts(std::span<const HostPartitions> aHosts);
/** @return the message as the payload of a datagram, in JSON. */
std::string
EncodeGossip(const GossipMessage& aMessage);
/** @return the message; none if the payload is not JSON or the sender's fields are missing. */
std::optional<GossipMessage>
DecodeGossip(std::string_view aPayload);

} // namespace laburnumweir

#endif
