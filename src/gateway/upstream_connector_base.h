/** @file upstream_connector_base.h Interface that opens connections to upstreams. */
#ifndef LABURNUMWEIR_GATEWAY_UPSTREAM_CONNECTOR_BASE_H
#define LABURNUMWEIR_GATEWAY_UPSTREAM_CONNECTOR_BASE_H

#include "core/upstream_client_base.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>

namespace laburnumweir {

/** A connection that was opened to an upstream. */
struct OpenedConnection
{
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_; ///< Bytes of the upstream that were received already.
  bool isRelayed_ = false;           ///< It goes through another host.
};

/** Handle of a connection that is being opened. */
class ConnectAttempt
{
public:
  virtual ~ConnectAttempt() = default;
  /** Gives up; the callback is not called afterwards. */
  virtual void Cancel() = 0;
};

/** Opens connections to upstreams. Not thread-safe. */
class UpstreamConnector
{
public:
  /** Called once, never during Connect(). The connection is empty after an error. */
  using Callback =
    std::function<void(boost::system::error_code, std::unique_ptr<OpenedConnection>)>;

  virtual ~UpstreamConnector() = default;
  /**
   * Opens a connection.
   * @param aEndpoint address of the upstream. @param aCallback receives the connection.
   * @return handle to give up.
   */
  virtual std::shared_ptr<ConnectAttempt> Connect(const Endpoint& aEndpoint,
                                                  Callback aCallback) = 0;
  /** @return whether new connections to an upstream go through other hosts. */
  virtual bool IsRelayed(const Endpoint& aEndpoint) const = 0;
  /** @return whether a failure at an upstream is one of this host's link to it. */
  virtual bool IsLinkLost(const Endpoint& aEndpoint) const = 0;
};

} // namespace laburnumweir

#endif
