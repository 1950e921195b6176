/** @file peer_table.cpp Peers of this host, their partitions and the choice of store readers. */
#include "fleet/peer_table.h"

#include "core/hash_func.h"
#include "table/fleet_const.h"

#include <algorithm>
#include <set>

namespace laburnumweir {

PeerTable::Peer&
PeerTable::FindOrAdd(const HostRecord& aHost)
{
  auto [position, isNew] = peers_.try_emplace(aHost.id_);
  if (isNew) {
    position->second.hostPartitions_.host_ = aHost;
    position->second.firstKnown_ = clock_.Now();
  }
  return position->second;
}

void
PeerTable::OnStoreRecord(const HostRecord& aHost)
{
  if (aHost.id_ != self_.id_) {
    FindOrAdd(aHost);
  }
}

bool
PeerTable::OnMessage(const HostRecord& aHost, std::int64_t aStartTime, std::uint64_t aSequence)
{
  if (aHost.id_ == self_.id_) {
    return false;
  }
  auto& peer = FindOrAdd(aHost);
  if (aStartTime < peer.startTime_ ||
      (aStartTime == peer.startTime_ && aSequence <= peer.sequence_)) {
    return false;
  }
  if (aStartTime > peer.startTime_) {
    peer.hostPartitions_.partitions_.clear();
    peer.hostPartitions_.generation_ = 0;
  }
  peer.startTime_ = aStartTime;
  peer.sequence_ = aSequence;
  peer.hostPartitions_.host_ = aHost;
  peer.lastReported_ = clock_.Now();
  peer.unresponsiveUntil_.reset();
  return true;
}

void
PeerTable::OnPartitions(const HostId& aHost,
                        std::uint64_t aGeneration,
                        std::vector<std::uint32_t> aPartitions)
{
  if (const auto found = peers_.find(aHost); found != peers_.end()) {
    found->second.hostPartitions_.generation_ = aGeneration;
    found->second.hostPartitions_.partitions_ = std::move(aPartitions);
  }
}

void
PeerTable::OnRelayedHosts(std::span<const HostPartitions> aHosts)
{
  for (const auto& claim : aHosts) {
    if (claim.host_.id_ == self_.id_) {
      continue;
    }
    auto& peer = FindOrAdd(claim.host_);
    peer.lastReported_ = clock_.Now();
    if (claim.generation_ >= peer.hostPartitions_.generation_) {
      peer.hostPartitions_ = claim;
    }
  }
}

void
PeerTable::OnNoAnswer(const HostId& aHost)
{
  if (const auto found = peers_.find(aHost); found != peers_.end()) {
    found->second.unresponsiveUntil_ = clock_.Now() + kReaderRetryDelay;
  }
}

void
PeerTable::Expire()
{
  const auto oldest = clock_.Now() - kPeerShareTtl;
  std::erase_if(peers_, [oldest](const auto& aPeer) {
    return aPeer.second.lastReported_.value_or(aPeer.second.firstKnown_) < oldest;
  });
}

bool
PeerTable::IsLive(const Peer& aPeer) const
{
  return aPeer.lastReported_ && clock_.Now() - *aPeer.lastReported_ <= kPeerLoadTtl;
}

std::optional<Endpoint>
PeerTable::HolderOf(std::uint32_t aPartition) const
{
  const HostPartitions* newest = nullptr;
  for (const auto& [id, peer] : peers_) {
    const auto& claim = peer.hostPartitions_;
    const bool claims = std::find(claim.partitions_.begin(), claim.partitions_.end(), aPartition) !=
                        claim.partitions_.end();
    if (claims && IsLive(peer) && (newest == nullptr || claim.generation_ > newest->generation_)) {
      newest = &claim;
    }
  }
  return newest == nullptr ? std::nullopt : std::optional(newest->host_.gossip_);
}

std::vector<HostId>
PeerTable::Hosts() const
{
  std::vector<HostId> hosts{ self_.id_ };
  for (const auto& [id, peer] : peers_) {
    if (peer.lastReported_) {
      hosts.push_back(id);
    }
  }
  return hosts;
}

std::vector<HostId>
PeerTable::KnownHosts() const
{
  std::vector<HostId> hosts{ self_.id_ };
  for (const auto& [id, peer] : peers_) {
    hosts.push_back(id);
  }
  return hosts;
}

std::vector<HostPartitions>
PeerTable::LivePeers() const
{
  std::vector<HostPartitions> live;
  for (const auto& [id, peer] : peers_) {
    if (IsLive(peer)) {
      live.push_back(peer.hostPartitions_);
    }
  }
  return live;
}

std::vector<HostRecord>
PeerTable::ReadersOf(const DataCentreId& aDataCentre) const
{
  std::vector<std::pair<std::uint64_t, HostRecord>> ranked;
  const auto add = [&](const HostRecord& aHost) {
    if (aHost.dataCentre_ == aDataCentre) {
      ranked.emplace_back(RendezvousWeight(aHost.id_.Value(), "reader"), aHost);
    }
  };
  add(self_);
  const auto now = clock_.Now();
  for (const auto& [id, peer] : peers_) {
    // A host that was just read from the store counts as live until its first message is due.
    const bool isNew = !peer.lastReported_ && now - peer.firstKnown_ <= kPeerLoadTtl;
    if ((isNew || IsLive(peer)) && !(peer.unresponsiveUntil_ && now < *peer.unresponsiveUntil_)) {
      add(peer.hostPartitions_.host_);
    }
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first > aRight.first;
  });
  std::vector<HostRecord> readers;
  for (std::size_t i = 0; i < std::min(ranked.size(), kStoreReadersPerDataCentre); ++i) {
    readers.push_back(ranked[i].second);
  }
  return readers;
}

bool
PeerTable::IsStoreReader() const
{
  const auto readers = ReadersOf(self_.dataCentre_);
  return std::any_of(readers.begin(), readers.end(), [&](const HostRecord& aReader) {
    return aReader.id_ == self_.id_;
  });
}

std::vector<HostRecord>
PeerTable::OtherStoreReaders() const
{
  std::set<DataCentreId> dataCentres{ self_.dataCentre_ };
  for (const auto& [id, peer] : peers_) {
    dataCentres.insert(peer.hostPartitions_.host_.dataCentre_);
  }
  std::vector<HostRecord> result;
  for (const auto& dataCentre : dataCentres) {
    for (auto& reader : ReadersOf(dataCentre)) {
      if (reader.id_ != self_.id_) {
        result.push_back(std::move(reader));
      }
    }
  }
  return result;
}

std::optional<HostRecord>
PeerTable::AssignedReader() const
{
  if (IsStoreReader()) {
    return std::nullopt;
  }
  auto readers = ReadersOf(self_.dataCentre_);
  // Rendezvous hashing spreads the hosts over the store readers, and a host keeps the same store
  // reader as long as that one answers.
  return *std::max_element(
    readers.begin(), readers.end(), [&](const HostRecord& aLeft, const HostRecord& aRight) {
      return RendezvousWeight(aLeft.id_.Value(), self_.id_.Value()) <
             RendezvousWeight(aRight.id_.Value(), self_.id_.Value());
    });
}

} // namespace laburnumweir
