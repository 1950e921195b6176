/** @file upstream_relay.cpp Connections between hosts for upstreams that some of them do not reach.
 */
#include "gateway/upstream_relay.h"

#include <algorithm>

namespace laburnumweir {

UpstreamRelay::UpstreamRelay(boost::asio::io_context& aContext,
                             const Clock& aClock,
                             Metrics& aMetrics,
                             const FleetState& aFleet,
                             const PeerTable& aPeers,
                             UpstreamRelaySettings aSettings)
  : fleet_(aFleet)
  , peers_(aPeers)
  , settings_(std::move(aSettings))
  , direct_(aContext)
  , paths_(aClock)
  , hosts_(aClock, settings_.self_, [this] { return PeersOfRegion(); })
  , connector_(RelayContext{ aContext,
                             aClock,
                             direct_,
                             paths_,
                             hosts_,
                             settings_.endpoint_.port_,
                             settings_.onLinkLost_ })
  , server_(RelayServerContext{ aContext,
                                aClock,
                                direct_,
                                [this](const Endpoint& aEndpoint) { return IsUpstream(aEndpoint); },
                                [this] { return !paths_.AreLinksLost(); },
                                settings_.maxConnections_ })
{
  aMetrics.SetGauge("laburnumweir_gateway_relayed_connections",
                    [this] { return static_cast<double>(server_.Connections()); });
  aMetrics.SetGauge("laburnumweir_gateway_links_lost",
                    [this] { return paths_.AreLinksLost() ? 1.0 : 0.0; });
}

std::error_code
UpstreamRelay::Start()
{
  connector_.Start();
  return settings_.endpoint_.port_ == 0 ? std::error_code() : server_.Listen(settings_.endpoint_);
}

std::vector<HostRecord>
UpstreamRelay::PeersOfRegion() const
{
  std::vector<HostRecord> hosts;
  if (settings_.endpoint_.port_ == 0) {
    return hosts;
  }
  for (auto& peer : peers_.LivePeers()) {
    if (settings_.regionDataCentres_.contains(peer.host_.dataCentre_)) {
      hosts.push_back(std::move(peer.host_));
    }
  }
  return hosts;
}

bool
UpstreamRelay::IsUpstream(const Endpoint& aEndpoint) const
{
  const auto& upstreams = fleet_.Upstreams().All();
  return std::any_of(upstreams.begin(), upstreams.end(), [&](const auto& aUpstream) {
    return aUpstream.second.entry_.endpoint_ == aEndpoint;
  });
}

} // namespace laburnumweir
