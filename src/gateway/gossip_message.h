/** @file gossip_message.h What gateways tell each other, and its encoding. */
#ifndef LABURNUMWEIR_GATEWAY_GOSSIP_MESSAGE_H
#define LABURNUMWEIR_GATEWAY_GOSSIP_MESSAGE_H

#include "fleet/engine_orders.h"
#include "fleet/quota_share.h"
#include "fleet/upstream_table.h"

#include <optional>
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

/** One datagram. All lists may be empty. */
struct GossipMessage
{
  HostId host_;                            ///< Sender.
  Endpoint reply_;                         ///< Where the sender receives gossip.
  std::uint64_t number_ = 0;               ///< Rises with each message of a life of the sender.
  std::int64_t life_ = 0;                  ///< Start of the sender's process, Unix ms.
  bool hasCounts_ = false;                 ///< Whether demand_ and load_ are given.
  std::vector<WorkspaceDemand> demand_;    ///< Demand at the sender.
  std::vector<PeerLoad> load_;             ///< Requests of the sender that run.
  std::uint64_t generation_ = 0;           ///< Generation of the group at the sender.
  std::vector<std::uint32_t> partitions_;  ///< Partitions that the sender holds.
  std::vector<EngineResidency> residency_; ///< Adapters of engines that the sender holds.
  std::vector<AdapterUse> uses_;           ///< Uses of adapters that started.
  std::vector<AdapterUse> running_;        ///< Uses of adapters that started earlier and run.
  std::vector<EngineWant> wants_;          ///< What requests at the sender wait for.
};

/** @return the message as the payload of a datagram. */
std::string
EncodeGossip(const GossipMessage& aMessage);
/** @return the message; none if the payload is malformed. */
std::optional<GossipMessage>
DecodeGossip(std::string_view aPayload);

} // namespace laburnumweir

#endif
