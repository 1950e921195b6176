/** @file relay_server.h Relays connections of other hosts to upstreams. */
#ifndef LABURNUMWEIR_GATEWAY_RELAY_SERVER_H
#define LABURNUMWEIR_GATEWAY_RELAY_SERVER_H

#include "core/clock_base.h"
#include "gateway/upstream_connector_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <system_error>
#include <unordered_set>

namespace laburnumweir {

class RelayedConnection;

/** What a RelayServer works with. All references must outlive it. */
struct RelayServerContext
{
  boost::asio::io_context& context_;
  const Clock& clock_;
  UpstreamConnector& direct_; ///< Never one that relays, so that there are no loops.
  /** @return whether an address is that of an upstream; others are not connected to. */
  std::function<bool(const Endpoint&)> isUpstream_;
  /** @return whether this host may relay now: its links work. */
  std::function<bool()> mayRelay_;
  std::size_t maxConnections_ = 0; ///< Further ones are refused.
};

/**
 * Relays connections of hosts that have lost their links to upstreams. A host names the upstream
 * with the CONNECT method of HTTP; bytes are passed on unchanged from then on. Not thread-safe.
 */
class RelayServer
{
public:
  explicit RelayServer(RelayServerContext aContext);
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  /** Binds the address. @return error of the first socket operation that failed. */
  std::error_code Listen(const Endpoint& aEndpoint);
  /** Refuses further connections. */
  void StartDrain() { isDraining_ = true; }
  /** Closes the listening socket and all connections. */
  void Stop();
  /** @return number of connections that are relayed. */
  std::size_t Connections() const { return connections_.size(); }
  /** @return whether a connection has passed on bytes within kRelayQuietTime. */
  bool IsBusy() const;

private:
  friend class RelayedConnection;

  void Accept();

  RelayServerContext context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptTimer_; ///< Delay after a failed accept.
  std::unordered_set<std::shared_ptr<RelayedConnection>> connections_;
  bool isDraining_ = false;
};

} // namespace laburnumweir

#endif
