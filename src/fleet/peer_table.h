/** @file peer_table.h Other gateways as this host knows them. */
#ifndef LABURNUMWEIR_FLEET_PEER_TABLE_H
#define LABURNUMWEIR_FLEET_PEER_TABLE_H

#include "core/clock_base.h"
#include "core/id_type.h"
#include "core/upstream_client_base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace laburnumweir {

/** Peers, learned from the store at the start and from their gossip after it. Not thread-safe. */
class PeerTable
{
public:
  /** @param aClock time source; must outlive this. @param aHost this host. */
  PeerTable(const Clock& aClock, HostId aHost)
    : clock_(aClock)
    , host_(std::move(aHost))
  {
  }

  /** Notes a host that the store records; it may be gone. */
  void OnRecorded(const HostId& aHost, const Endpoint& aEndpoint);
  /**
   * Notes a message.
   * @param aHost sender. @param aEndpoint where it receives gossip.
   * @param aLife start of its process. @param aNumber number of the message.
   * @return false if a newer message came before.
   */
  bool OnHeard(const HostId& aHost,
               const Endpoint& aEndpoint,
               std::int64_t aLife,
               std::uint64_t aNumber);
  /** Notes the partitions that a peer says it holds. */
  void OnPartitions(const HostId& aHost,
                    std::uint64_t aGeneration,
                    std::vector<std::uint32_t> aPartitions);
  /** Forgets peers that have been silent for long. */
  void Expire();

  /** @return where the holder of a partition receives gossip; none if no peer claims it. */
  std::optional<Endpoint> HolderOf(std::uint32_t aPartition) const;
  /** @return hosts among which shares are divided, this one included. */
  std::vector<HostId> Hosts() const;
  /** @return number of peers that were heard lately. */
  std::size_t Live() const;
  /**
   * Chooses peers to tell in this turn; each peer gets its turn.
   * @param aMost most peers.
   * @return where they receive gossip.
   */
  std::vector<Endpoint> NextTargets(std::size_t aMost);

private:
  struct Peer
  {
    Endpoint endpoint_;                     ///< Where it receives gossip.
    std::optional<TimePoint> heard_;        ///< When it was last heard.
    TimePoint since_;                       ///< When it was first known.
    std::int64_t life_ = 0;                 ///< Start of its process.
    std::uint64_t number_ = 0;              ///< Number of its last message.
    std::uint64_t generation_ = 0;          ///< Generation at which it holds its partitions.
    std::vector<std::uint32_t> partitions_; ///< Partitions it says it holds.
  };

  const Clock& clock_;           ///< Time source.
  const HostId host_;            ///< This host.
  std::map<HostId, Peer> peers_; ///< Peers.
  HostId lastTarget_;            ///< Last peer that had its turn.
};

} // namespace laburnumweir

#endif
