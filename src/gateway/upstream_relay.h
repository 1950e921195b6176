/** @file upstream_relay.h Connections between hosts for upstreams that some of them do not reach.
 */
#ifndef LABURNUMWEIR_GATEWAY_UPSTREAM_RELAY_H
#define LABURNUMWEIR_GATEWAY_UPSTREAM_RELAY_H

#include "fleet/fleet_state.h"
#include "fleet/peer_table.h"
#include "gateway/direct_connector.h"
#include "gateway/relay_connector.h"
#include "gateway/relay_server.h"
#include "metrics/metrics.h"

#include <set>
#include <vector>

namespace laburnumweir {

/** Settings of the relay of a host. */
struct UpstreamRelaySettings
{
  HostRecord self_;
  Endpoint endpoint_; ///< Where it relays, at the same port as all hosts; port 0 for no relay.
  std::size_t maxConnections_ = 0;           ///< Connections that it relays at most.
  std::set<DataCentreId> regionDataCentres_; ///< Only hosts of these relay for this one.
  /** See RelayContext::onLinkLost_. */
  std::function<void(bool)> onLinkLost_;
};

/** What a host does so that callers are served where its links, or those of others, are lost. */
class UpstreamRelay
{
public:
  /**
   * All references must outlive this object.
   * @param aFleet knows the upstreams, to which connections are relayed.
   * @param aPeers knows the hosts that may relay.
   */
  UpstreamRelay(boost::asio::io_context& aContext,
                const Clock& aClock,
                Metrics& aMetrics,
                const FleetState& aFleet,
                const PeerTable& aPeers,
                UpstreamRelaySettings aSettings);

  /** Starts to relay, and to try links that are lost. @return error if the address is not bound. */
  std::error_code Start();
  void StartDrain() { server_.StartDrain(); }
  void Stop() { server_.Stop(); }
  /** @return whether other hosts use connections that it relays. */
  bool IsBusy() const { return server_.IsBusy(); }
  UpstreamConnector& Connector() { return connector_; }
  UpstreamPaths& Paths() { return paths_; }

private:
  std::vector<HostRecord> PeersOfRegion() const;
  bool IsUpstream(const Endpoint& aEndpoint) const;

  const FleetState& fleet_;
  const PeerTable& peers_;
  const UpstreamRelaySettings settings_;
  DirectConnector direct_;
  UpstreamPaths paths_;
  RelayHosts hosts_;
  RelayConnector connector_;
  RelayServer server_;
};

} // namespace laburnumweir

#endif
