/** @file relay_attempt.h Asks other hosts for a connection to an upstream. */
#ifndef LABURNUMWEIR_GATEWAY_RELAY_ATTEMPT_H
#define LABURNUMWEIR_GATEWAY_RELAY_ATTEMPT_H

#include "gateway/relay_hosts.h"
#include "gateway/upstream_connector_base.h"
#include "gateway/upstream_paths.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <string>

namespace laburnumweir {

/** What a RelayConnector works with. All references must outlive it. */
struct RelayContext
{
  boost::asio::io_context& context_;
  const Clock& clock_;
  UpstreamConnector& direct_; ///< Connects over this host's own link.
  UpstreamPaths& paths_;
  RelayHosts& hosts_;
  std::uint16_t port_ = 0; ///< Port at which all hosts relay.
  /** Called when a link is found to be lost, with whether connections over it hang; otherwise those
   * that are open may go on. */
  std::function<void(bool)> onLinkLost_ = {};
};

namespace detail {

/** A connection that is being opened, with its limit of time. */
class TimedConnectAttempt : public ConnectAttempt
{
protected:
  TimedConnectAttempt(RelayContext& aContext,
                      Endpoint aEndpoint,
                      UpstreamConnector::Callback aCallback)
    : context_(aContext)
    , endpoint_(std::move(aEndpoint))
    , timer_(aContext.context_)
    , callback_(std::move(aCallback))
  {
  }

  /** @return whether the callback was called, or the attempt was given up. */
  bool IsOver() const { return !callback_; }
  /** Ends the attempt without a call of the callback. */
  void Drop() { callback_ = nullptr; }
  /** Ends the attempt and calls the callback, unless that was done before. */
  void Report(boost::system::error_code aError, std::unique_ptr<OpenedConnection> aConnection);

  RelayContext& context_;
  const Endpoint endpoint_; ///< Address of the upstream.
  boost::asio::steady_timer timer_;

private:
  UpstreamConnector::Callback callback_; ///< Empty once called or dropped.
};

} // namespace detail

/** Asks one host after another to relay a connection. */
class RelayAttempt
  : public detail::TimedConnectAttempt
  , public std::enable_shared_from_this<RelayAttempt>
{
public:
  RelayAttempt(RelayContext& aContext, Endpoint aEndpoint, UpstreamConnector::Callback aCallback)
    : TimedConnectAttempt(aContext, std::move(aEndpoint), std::move(aCallback))
  {
  }

  /** Asks the next host. The callback may be called before this returns; it gets host_unreachable
   * if other hosts do not reach the upstream either. */
  void Start();
  void Cancel() override;

private:
  /** A host that is asked, and the connection to it. */
  struct Query;
  using QueryPointer = std::shared_ptr<Query>;

  /** @return whether another host is asked by now, or none. */
  bool IsPast(const QueryPointer& aQuery) const { return IsOver() || query_ != aQuery; }
  void SendHead(const QueryPointer& aQuery);
  /** Called with the head of the host's answer. */
  void OnHead(const QueryPointer& aQuery);
  void OnRefused(const QueryPointer& aQuery);
  void Next();
  void Fail(boost::system::error_code aError);
  void Close();

  std::set<HostId> tried_; ///< Hosts that were asked.
  int failures_ = 0;       ///< Hosts that did not reach the upstream.
  QueryPointer query_;     ///< The host that is asked now; empty if none is.
};

} // namespace laburnumweir

#endif
