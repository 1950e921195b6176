/** @file direct_connector.h Connects to upstreams over this host's own link. */
#ifndef LABURNUMWEIR_GATEWAY_DIRECT_CONNECTOR_H
#define LABURNUMWEIR_GATEWAY_DIRECT_CONNECTOR_H

#include "gateway/upstream_connector_base.h"

#include <boost/asio/io_context.hpp>

namespace laburnumweir {

/** Connects to upstreams over this host's own link. */
class DirectConnector : public UpstreamConnector
{
public:
  /** @param aContext must outlive the connector. */
  explicit DirectConnector(boost::asio::io_context& aContext)
    : context_(aContext)
  {
  }
  std::shared_ptr<ConnectAttempt> Connect(const Endpoint& aEndpoint, Callback aCallback) override;
  bool IsRelayed(const Endpoint&) const override { return false; }
  bool IsLinkLost(const Endpoint&) const override { return false; }

private:
  boost::asio::io_context& context_;
};

} // namespace laburnumweir

#endif
