/** @file relay_connector.h Connects to upstreams through other hosts where the own link is lost. */
#ifndef LABURNUMWEIR_GATEWAY_RELAY_CONNECTOR_H
#define LABURNUMWEIR_GATEWAY_RELAY_CONNECTOR_H

#include "gateway/relay_attempt.h"

#include <boost/asio/steady_timer.hpp>

namespace laburnumweir {

/**
 * Connects to upstreams over this host's own link, and through other hosts where that does not work
 * within kRelayDelay. Where the link is known to be lost, other hosts are asked first.
 */
class RelayConnector : public UpstreamConnector
{
public:
  explicit RelayConnector(RelayContext aContext);
  ~RelayConnector() override;
  RelayConnector(const RelayConnector&) = delete;
  RelayConnector& operator=(const RelayConnector&) = delete;

  /** Starts to try the links that are lost, at kLinkProbeInterval. */
  void Start();
  std::shared_ptr<ConnectAttempt> Connect(const Endpoint& aEndpoint, Callback aCallback) override;
  bool IsRelayed(const Endpoint& aEndpoint) const override
  {
    return context_.paths_.IsRelayed(aEndpoint);
  }
  bool IsLinkLost(const Endpoint& aEndpoint) const override
  {
    return context_.paths_.IsLinkLost(aEndpoint);
  }

private:
  void Probe();

  RelayContext context_;
  boost::asio::steady_timer probeTimer_;
  std::shared_ptr<ConnectAttempt> probe_; ///< Running try of a lost link; empty if none.
};

} // namespace laburnumweir

#endif
