/** @file relay_hosts.cpp Choice of the host through which a connection is relayed. */
#include "gateway/relay_hosts.h"

#include "core/hash_func.h"
#include "table/relay_const.h"

#include <tuple>

namespace laburnumweir {

std::optional<HostRecord>
RelayHosts::Choose(const std::set<HostId>& aTried)
{
  const auto now = clock_.Now();
  std::erase_if(refusedUntil_, [now](const auto& aEntry) { return aEntry.second <= now; });
  const bool hasEnough =
    preferred_.size() >= kPreferredRelays || (!aTried.empty() && !preferred_.empty());
  std::optional<HostRecord> best;
  std::tuple<bool, std::uint64_t, bool, std::uint64_t> bestRank;
  for (auto& peer : peers_()) {
    if (peer.id_ == self_.id_ || aTried.contains(peer.id_) || refusedUntil_.contains(peer.id_)) {
      continue;
    }
    // Hosts that relay go first, the one that was used least recently before the others. While
    // there are too few of them, one other host is tried before.
    const auto preferred = preferred_.find(peer.id_);
    const bool isPreferred = preferred != preferred_.end();
    const std::uint64_t unused = isPreferred ? ~preferred->second : 0;
    const std::tuple rank{ isPreferred == hasEnough,
                           unused,
                           peer.dataCentre_ == self_.dataCentre_,
                           RendezvousWeight(peer.id_.Value(), self_.id_.Value()) };
    if (!best || rank > bestRank) {
      bestRank = rank;
      best = std::move(peer);
    }
  }
  return best;
}

void
RelayHosts::OnRelayed(const HostId& aHost)
{
  preferred_[aHost] = ++uses_;
}

void
RelayHosts::OnRefused(const HostId& aHost)
{
  preferred_.erase(aHost);
  refusedUntil_[aHost] = clock_.Now() + kRelayRefusalTime;
}

} // namespace laburnumweir
