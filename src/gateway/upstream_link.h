/** @file upstream_link.h HTTP/1.1 client of a gateway with a pool of connections to upstreams. */
#ifndef LABURNUMWEIR_GATEWAY_UPSTREAM_LINK_H
#define LABURNUMWEIR_GATEWAY_UPSTREAM_LINK_H

#include "core/upstream_client_base.h"
#include "gateway/caller_session.h"
#include "gateway/upstream_connector_base.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumweir {

/** How a call ended. */
enum class CallEnd : std::uint8_t
{
  Complete, ///< The complete answer was received.
  /** The connection was closed in order, which is the end of an answer with neither length nor
   * chunks. Only the content can show whether it is complete. */
  Closed,
  NotSent,   ///< No connection was established, so nothing was sent.
  Lost,      ///< The connection ended after the start of sending and before the end of the answer.
  Malformed, ///< Received bytes are not an HTTP answer, or too many answers were skipped.
};

/** What to do with an answer whose head was received. */
enum class HeadAction : std::uint8_t
{
  Accept, ///< Pass its body to the handler.
  Skip,   ///< It belongs to an earlier request on the connection; discard it and read the next one.
  Discard, ///< It is the answer, but its body is not needed: read to its end without OnBody().
  DiscardAndClose, ///< As Discard; the connection is not used again.
  Reject,          ///< It is no valid answer; end the call with CallEnd::Malformed.
};

/** Whether a request may be sent over a connection that has carried other requests. */
enum class ConnectionReuse : std::uint8_t
{
  Allowed,
  Forbidden, ///< A late copy of an earlier answer would be taken for the answer to this request.
};

/** Receives the answer to one call. Its functions run on the thread of the link. */
class CallHandler
{
public:
  virtual ~CallHandler() = default;
  /** Called when the connection is established, just before the request is written. */
  virtual void OnSending() = 0;
  /**
   * Called when the head of an answer was received. Interim answers (1xx) are skipped without a
   * call.
   * @param aStatus HTTP status.
   * @param aReason reason phrase.
   * @param aFields header fields.
   * @param aLength length of the body in bytes; none if not announced.
   * @return whether this is the answer to the request.
   */
  virtual HeadAction OnHead(unsigned aStatus,
                            std::string_view aReason,
                            const boost::beast::http::fields& aFields,
                            std::optional<std::uint64_t> aLength) = 0;
  /**
   * Called with the next bytes of the body.
   * @return false to stop reading until UpstreamCall::Resume() is called.
   */
  virtual bool OnBody(std::string_view aBytes) = 0;
  /** Called once at the end of the call, unless it was cancelled; nothing is called afterwards. */
  virtual void OnEnd(CallEnd aEnd) = 0;
};

/** Handle of a running call. */
class UpstreamCall
{
public:
  virtual ~UpstreamCall() = default;
  /** Closes the connection, so that the upstream stops. The handler is not called afterwards. */
  virtual void Cancel() = 0;
  /** Continues to read after CallHandler::OnBody() returned false; otherwise does nothing. */
  virtual void Resume() = 0;
  /** @return whether the connection has carried other requests before this one. */
  virtual bool IsOnKeptConnection() const = 0;
};

struct UpstreamConnection;

/** Sends requests to upstreams and pools idle connections to them. Not thread-safe. */
class UpstreamLink
{
public:
  /** @param aContext must outlive the link. */
  explicit UpstreamLink(boost::asio::io_context& aContext);
  /** @param aConnector opens the connections; must outlive the link. */
  UpstreamLink(boost::asio::io_context& aContext, UpstreamConnector& aConnector);
  ~UpstreamLink();
  UpstreamLink(const UpstreamLink&) = delete;
  UpstreamLink& operator=(const UpstreamLink&) = delete;

  /**
   * Sends a request over an idle connection or, if there is none, over a new one.
   * @param aEndpoint address of the upstream.
   * @param aRequest complete request, including its connection fields.
   * @param aHandler receives the answer; kept until the end of the call.
   * @param aReuse whether an idle connection may be used.
   * @return handle to cancel or resume the call.
   */
  std::shared_ptr<UpstreamCall> Send(const Endpoint& aEndpoint,
                                     HttpRequest aRequest,
                                     std::shared_ptr<CallHandler> aHandler,
                                     ConnectionReuse aReuse);
  /** Closes the idle connections to an upstream that is unreachable or was removed. */
  void DropIdle(const Endpoint& aEndpoint);
  /** Closes the idle connections over links that are lost. */
  void DropIdleOverLostLinks();
  /** @return whether a failure at an upstream is one of this host's link to it. */
  bool IsLinkLost(const Endpoint& aEndpoint) const { return connector_.IsLinkLost(aEndpoint); }
  /** @return whether there is an idle connection to an upstream that may still be reused. */
  bool HasIdle(const Endpoint& aEndpoint) const;
  /** @return number of connections that were started since the start of the process. */
  std::uint64_t Connects() const { return connects_; }

private:
  friend class LinkCall;

  std::shared_ptr<UpstreamConnection> TakeIdle(const Endpoint& aEndpoint);
  /** @return whether a connection takes the path that a new one to the upstream would take, or one
   * that has proved to work. */
  bool IsOnUsedPath(const Endpoint& aEndpoint, const UpstreamConnection& aConnection) const;
  void PutIdle(const Endpoint& aEndpoint, std::shared_ptr<UpstreamConnection> aConnection);

  boost::asio::io_context& context_;
  std::unique_ptr<UpstreamConnector> ownConnector_; ///< Empty if one was given.
  UpstreamConnector& connector_;
  /** Idle connections by address; the one that was added last is reused first. */
  std::map<Endpoint, std::vector<std::shared_ptr<UpstreamConnection>>> idle_;
  std::uint64_t connects_ = 0;
};

} // namespace laburnumweir

#endif
