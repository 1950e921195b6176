/** @file gossip_message.h What gateways tell each other, and its encoding. */
#ifndef LABURNUMWEIR_GATEWAY_GOSSIP_MESSAGE_H
#define LABURNUMWEIR_GATEWAY_GOSSIP_MESSAGE_H

#include "fleet/count_table.h"
#include "fleet/engine_orders.h"
#include "fleet/peer_table.h"

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumweir {

/** A use of an adapter at an engine, for the holder of the engine. */
struct AdapterUse
{
  UpstreamId engine_;   ///< Engine.
  std::string model_;   ///< Model.
  std::string adapter_; ///< Adapter.

  auto operator<=>(const AdapterUse&) const = default;
};

/** Something that requests wait for at an engine, for the holder of the engine. */
struct EngineWant
{
  UpstreamId engine_; ///< Engine that should load it.
  AdapterWant want_;  ///< What it should load.
};

/** Question of a host to a reader; the message holds the counts of the host. */
struct RelayQuestion
{
  LogOffset upstreams_ = 0;       ///< Offset up to which it knows the upstreams' stream.
  std::uint64_t hostsDigest_ = 0; ///< Digest of the live hosts that it was told of last.
};

/** Answer of a reader; the message holds the sum of the counts of all hosts but the one that asked.
 */
struct RelayAnswer
{
  std::uint64_t question_ = 0;                 ///< Number of the message that asked.
  std::optional<LogOffset> operators_;         ///< Offset of the operators' stream; none before it.
  std::chrono::milliseconds proofAge_{ 0 };    ///< Age of the proof that this is its end.
  std::optional<LogOffset> upstreams_;         ///< Offset of the upstreams' stream; none before it.
  std::chrono::milliseconds upstreamAge_{ 0 }; ///< Time since the upstreams' stream was read.
  std::optional<std::vector<UpstreamChange>>
    changes_;                     ///< Changes since the offset of the question; none if too many.
  std::uint64_t hostsDigest_ = 0; ///< Digest of the live hosts, which are listed if it differs.
};

/** One datagram. All lists may be empty. */
struct GossipMessage
{
  HostRecord host_;                        ///< Sender.
  std::uint64_t number_ = 0;               ///< Rises with each message of a life of the sender.
  std::int64_t life_ = 0;                  ///< Start of the sender's process, Unix ms.
  std::optional<HostCounts> counts_;       ///< Counts of the sender, or a sum.
  std::uint64_t generation_ = 0;           ///< Generation of the group at the sender.
  std::vector<std::uint32_t> partitions_;  ///< Partitions that the sender holds.
  std::optional<RelayQuestion> question_;  ///< Set if the sender asks a reader.
  std::optional<RelayAnswer> answer_;      ///< Set if a reader answers.
  std::vector<HostClaim> hosts_;           ///< Live hosts that the sender tells of.
  std::vector<EngineResidency> residency_; ///< Adapters of engines that the sender holds.
  std::vector<AdapterUse> uses_;           ///< Uses of adapters that started.
  std::vector<AdapterUse> running_;        ///< Uses of adapters that started earlier and run.
  std::vector<EngineWant> wants_;          ///< What requests at the sender wait for.
};

/** @return a digest of hosts and their partitions. */
std::uint64_t
DigestOfHosts(std::span<const HostClaim> aHosts);
/** @return the message as the payload of a datagram. */
std::string
EncodeGossip(const GossipMessage& aMessage);
/** @return the message; none if the payload is malformed. */
std::optional<GossipMessage>
DecodeGossip(std::string_view aPayload);

} // namespace laburnumweir

#endif
