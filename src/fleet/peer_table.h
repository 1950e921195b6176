/** @file peer_table.h Peers of this host, their partitions and the choice of store readers. */
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

/** A host and the partitions of engines that it reports to hold. */
struct HostPartitions
{
  HostRecord host_;
  std::uint64_t generation_ = 0; ///< Generation of the group of holders in which it holds them.
  std::vector<std::uint32_t> partitions_;
};

/**
 * Peers of this host. They are read from the store at the start, and later learned from their own
 * messages and from store readers. Each data centre has kStoreReadersPerDataCentre store readers:
 * the first of its live hosts by rendezvous rank. Store readers read the store and exchange load
 * reports with each other; every other host queries one store reader of its data centre. Hosts may
 * disagree for some seconds on which hosts are store readers; this costs additional messages but is
 * otherwise harmless. Not thread-safe.
 */
class PeerTable
{
public:
  /** @param aClock must outlive this object. @param aSelf record of this host. */
  PeerTable(const Clock& aClock, HostRecord aSelf)
    : clock_(aClock)
    , self_(std::move(aSelf))
  {
  }

  /** Adds a host that is recorded in the store; it may no longer be running. */
  void OnStoreRecord(const HostRecord& aHost);
  /**
   * Records that a message was received.
   * @param aHost sender.
   * @param aStartTime start time of the sender's process.
   * @param aSequence sequence number of the message, which rises within a process.
   * @return false if this or a newer message was received before, or the sender is this host.
   */
  bool OnMessage(const HostRecord& aHost, std::int64_t aStartTime, std::uint64_t aSequence);
  /** Records the partitions that a peer reports to hold. */
  void OnPartitions(const HostId& aHost,
                    std::uint64_t aGeneration,
                    std::vector<std::uint32_t> aPartitions);
  /** Records the live hosts that a store reader reports. */
  void OnRelayedHosts(std::span<const HostPartitions> aHosts);
  /** Records that a peer does not answer. It is not chosen as a store reader for kReaderRetryDelay
   * or until it sends a message. */
  void OnNoAnswer(const HostId& aHost);
  /** Removes peers that have not been reported for kPeerShareTtl. */
  void Expire();

  /** @return where the holder of a partition receives gossip; none if no live peer reports it. */
  std::optional<Endpoint> HolderOf(std::uint32_t aPartition) const;
  /** @return hosts among which quotas and other limits are divided, including this one. */
  std::vector<HostId> Hosts() const;
  /** @return hosts that messages or the store have named of late, including this one and some that
   * may be gone. Limits that must hold over all hosts are divided among them. */
  std::vector<HostId> KnownHosts() const;
  /** @return peers that were reported within kPeerLoadTtl, with their partitions. */
  std::vector<HostPartitions> LivePeers() const;
  /** @return whether this host is a store reader of its data centre. */
  bool IsStoreReader() const;
  /** @return store readers of all data centres, except this host. */
  std::vector<HostRecord> OtherStoreReaders() const;
  /** @return the store reader that this host queries; none if this host is one. */
  std::optional<HostRecord> AssignedReader() const;

private:
  struct Peer
  {
    HostPartitions hostPartitions_;         ///< Address and partitions.
    std::optional<TimePoint> lastReported_; ///< When the peer or a store reader last reported it.
    TimePoint firstKnown_;                  ///< When this host first learned of it.
    std::optional<TimePoint> unresponsiveUntil_; ///< Not chosen as a store reader until then.
    std::int64_t startTime_ = 0;                 ///< Start time of its process.
    std::uint64_t sequence_ = 0;                 ///< Sequence number of its last message.
  };

  Peer& FindOrAdd(const HostRecord& aHost);
  bool IsLive(const Peer& aPeer) const;
  std::vector<HostRecord> ReadersOf(const DataCentreId& aDataCentre) const;

  const Clock& clock_;
  const HostRecord self_;
  std::map<HostId, Peer> peers_;
};

} // namespace laburnumweir

#endif
