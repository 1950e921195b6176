/** @file peer_table.cpp Other gateways as this host knows them. */
#include "fleet/peer_table.h"

#include "table/fleet_const.h"

#include <algorithm>

namespace laburnumweir {

void
PeerTable::OnRecorded(const HostId& aHost, const Endpoint& aEndpoint)
{
  if (aHost == host_) {
    return;
  }
  auto [position, isNew] = peers_.try_emplace(aHost);
  if (isNew) {
    position->second.endpoint_ = aEndpoint;
    position->second.since_ = clock_.Now();
  }
}

bool
PeerTable::OnHeard(const HostId& aHost,
                   const Endpoint& aEndpoint,
                   std::int64_t aLife,
                   std::uint64_t aNumber)
{
  if (aHost == host_) {
    return false;
  }
  auto [position, isNew] = peers_.try_emplace(aHost);
  auto& peer = position->second;
  if (isNew) {
    peer.since_ = clock_.Now();
  }
  if (aLife < peer.life_ || (aLife == peer.life_ && aNumber <= peer.number_)) {
    return false;
  }
  if (aLife > peer.life_) {
    peer.partitions_.clear();
    peer.generation_ = 0;
  }
  peer.life_ = aLife;
  peer.number_ = aNumber;
  peer.endpoint_ = aEndpoint;
  peer.heard_ = clock_.Now();
  return true;
}

void
PeerTable::OnPartitions(const HostId& aHost,
                        std::uint64_t aGeneration,
                        std::vector<std::uint32_t> aPartitions)
{
  if (const auto found = peers_.find(aHost); found != peers_.end()) {
    found->second.generation_ = aGeneration;
    found->second.partitions_ = std::move(aPartitions);
  }
}

void
PeerTable::Expire()
{
  const auto oldest = clock_.Now() - kPeerShareLife;
  std::erase_if(peers_, [oldest](const auto& aPeer) {
    return aPeer.second.heard_.value_or(aPeer.second.since_) < oldest;
  });
}

std::optional<Endpoint>
PeerTable::HolderOf(std::uint32_t aPartition) const
{
  const Peer* best = nullptr;
  const auto oldest = clock_.Now() - kPeerCountLife;
  for (const auto& [id, peer] : peers_) {
    const bool claims = std::find(peer.partitions_.begin(), peer.partitions_.end(), aPartition) !=
                        peer.partitions_.end();
    if (claims && peer.heard_ && *peer.heard_ >= oldest &&
        (best == nullptr || peer.generation_ > best->generation_)) {
      best = &peer;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->endpoint_);
}

std::vector<HostId>
PeerTable::Hosts() const
{
  std::vector<HostId> hosts{ host_ };
  for (const auto& [id, peer] : peers_) {
    if (peer.heard_) {
      hosts.push_back(id);
    }
  }
  return hosts;
}

std::size_t
PeerTable::Live() const
{
  const auto oldest = clock_.Now() - kPeerCountLife;
  return static_cast<std::size_t>(
    std::count_if(peers_.begin(), peers_.end(), [&](const auto& aPeer) {
      return aPeer.second.heard_ && *aPeer.second.heard_ >= oldest;
    }));
}

std::vector<Endpoint>
PeerTable::NextTargets(std::size_t aMost)
{
  std::vector<Endpoint> targets;
  auto position = peers_.upper_bound(lastTarget_);
  for (std::size_t i = 0; i < std::min(aMost, peers_.size()); ++i) {
    if (position == peers_.end()) {
      position = peers_.begin();
    }
    targets.push_back(position->second.endpoint_);
    lastTarget_ = position->first;
    ++position;
  }
  return targets;
}

} // namespace laburnumweir
