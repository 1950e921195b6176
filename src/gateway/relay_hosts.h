/** @file relay_hosts.h Choice of the host through which a connection is relayed. */
#ifndef LABURNUMWEIR_GATEWAY_RELAY_HOSTS_H
#define LABURNUMWEIR_GATEWAY_RELAY_HOSTS_H

#include "core/clock_base.h"
#include "fleet/fleet_store_base.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace laburnumweir {

/**
 * Choice of the hosts that relay connections of this host. It keeps to a few hosts that have
 * relayed before, so that hosts without links are not asked all the time; which hosts are asked
 * first differs from host to host. Not thread-safe.
 */
class RelayHosts
{
public:
  using PeersFunction = std::function<std::vector<HostRecord>()>;

  /**
   * @param aClock must outlive this object. @param aSelf this host.
   * @param aPeers returns the live peers.
   */
  RelayHosts(const Clock& aClock, HostRecord aSelf, PeersFunction aPeers)
    : clock_(aClock)
    , self_(std::move(aSelf))
    , peers_(std::move(aPeers))
  {
  }

  /**
   * Chooses a host.
   * @param aTried hosts that were asked for this connection before.
   * @return the host; none if there is no other that may relay.
   */
  std::optional<HostRecord> Choose(const std::set<HostId>& aTried);
  /** Records that a host has relayed a connection. */
  void OnRelayed(const HostId& aHost);
  /** Records that a host did not answer, or does not relay now. */
  void OnRefused(const HostId& aHost);

private:
  const Clock& clock_;
  const HostRecord self_;
  PeersFunction peers_;
  std::map<HostId, std::uint64_t> preferred_; ///< Hosts that relay, with their last use.
  std::map<HostId, TimePoint> refusedUntil_;
  std::uint64_t uses_ = 0; ///< Number of connections that were relayed.
};

} // namespace laburnumweir

#endif
