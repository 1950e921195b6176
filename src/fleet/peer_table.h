/** @file peer_table.h Other gateways as this host knows them. */
#ifndef LABURNUMWEIR_FLEET_PEER_TABLE_H
#define LABURNUMWEIR_FLEET_PEER_TABLE_H

#include "core/clock_base.h"
#include "fleet/fleet_store_base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace laburnumweir {

/** A live host and the partitions that it says it holds. */
struct HostClaim
{
  HostRecord host_;                       ///< The host.
  std::uint64_t generation_ = 0;          ///< Generation at which it holds its partitions.
  std::vector<std::uint32_t> partitions_; ///< Partitions it says it holds.
};

/**
 * Peers, learned from the store at the start, and after it from their messages and from readers.
 * Each data centre has a few readers: the first of its live hosts by rendezvous rank. They read the
 * store and exchange counts with each other; every other host asks a reader of its data centre.
 * Hosts may disagree on who is a reader for some seconds, which costs messages and does no harm.
 * Not thread-safe.
 */
class PeerTable
{
public:
  /** @param aClock time source; must outlive this. @param aSelf this host. */
  PeerTable(const Clock& aClock, HostRecord aSelf)
    : clock_(aClock)
    , self_(std::move(aSelf))
  {
  }

  /** Notes a host that the store records; it may be gone. */
  void OnRecorded(const HostRecord& aHost);
  /**
   * Notes a message.
   * @param aHost sender.
   * @param aLife start of its process. @param aNumber number of the message.
   * @return false if a newer message came before.
   */
  bool OnHeard(const HostRecord& aHost, std::int64_t aLife, std::uint64_t aNumber);
  /** Notes the partitions that a peer says it holds. */
  void OnPartitions(const HostId& aHost,
                    std::uint64_t aGeneration,
                    std::vector<std::uint32_t> aPartitions);
  /** Notes live hosts that a reader tells of. */
  void OnTold(std::span<const HostClaim> aHosts);
  /** Notes that a peer does not answer. */
  void OnSilent(const HostId& aHost);
  /** Forgets peers that have been silent for long. */
  void Expire();

  /** @return where the holder of a partition receives gossip; none if no peer claims it. */
  std::optional<Endpoint> HolderOf(std::uint32_t aPartition) const;
  /** @return hosts among which shares are divided, this one included. */
  std::vector<HostId> Hosts() const;
  /** @return peers that were heard or told of lately, with their partitions. */
  std::vector<HostClaim> Live() const;
  /** @return whether this host is a reader of its data centre. */
  bool IsReader() const;
  /** @return all readers but this host. */
  std::vector<HostRecord> OtherReaders() const;
  /** @return the reader that this host should ask; none if it is a reader. */
  std::optional<HostRecord> ReaderToAsk() const;

private:
  struct Peer
  {
    HostClaim claim_;                      ///< Address and partitions.
    std::optional<TimePoint> heard_;       ///< When it was last heard or told of.
    TimePoint since_;                      ///< When it was first known.
    std::optional<TimePoint> silentUntil_; ///< It did not answer; it is no reader until then.
    std::int64_t life_ = 0;                ///< Start of its process.
    std::uint64_t number_ = 0;             ///< Number of its last message.
  };

  Peer& Note(const HostRecord& aHost);
  bool IsLive(const Peer& aPeer) const;
  std::vector<HostRecord> ReadersOf(const DataCentreId& aDataCentre) const;

  const Clock& clock_;           ///< Time source.
  const HostRecord self_;        ///< This host.
  std::map<HostId, Peer> peers_; ///< Peers.
};

} // namespace laburnumweir

#endif
