/** @file upstream_link.h Requests of a gateway to upstreams over pooled connections. */
#ifndef LABURNUMWEIR_GATEWAY_UPSTREAM_LINK_H
#define LABURNUMWEIR_GATEWAY_UPSTREAM_LINK_H

#include "core/upstream_client_base.h"
#include "gateway/caller_session.h"

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
  Complete,  ///< The whole answer came.
  NotSent,   ///< No connection; nothing was sent.
  Lost,      ///< Sent, and the connection ended before the answer did.
  Malformed, ///< The upstream sent bytes that are no answer.
};

/** What to do with an answer whose head came. */
enum class HeadAction : std::uint8_t
{
  Accept, ///< Deliver its body.
  Skip,   ///< It belongs to an earlier request; the next answer is the one awaited.
};

/** Receives the answer to one call. */
class CallHandler
{
public:
  virtual ~CallHandler() = default;
  /** The connection is ready, and the request is being written. */
  virtual void OnSending() = 0;
  /**
   * The head of an answer came.
   * @param aStatus HTTP status. @param aReason reason phrase. @param aFields fields.
   * @param aLength length of the body; none if not announced.
   */
  virtual HeadAction OnHead(unsigned aStatus,
                            std::string_view aReason,
                            const boost::beast::http::fields& aFields,
                            std::optional<std::uint64_t> aLength) = 0;
  /** A part of the body. @return false to pause; see UpstreamCall::Resume(). */
  virtual bool OnBody(std::string_view aBytes) = 0;
  /** The call ended; nothing follows. */
  virtual void OnEnd(CallEnd aEnd) = 0;
};

/** One call under way. */
class UpstreamCall
{
public:
  virtual ~UpstreamCall() = default;
  /** Closes the connection, so that the upstream stops; the handler hears nothing more. */
  virtual void Cancel() = 0;
  /** Goes on reading after OnBody() returned false. */
  virtual void Resume() = 0;
};

struct UpstreamConnection;

/** Connections to all upstreams. Runs on one thread. */
class UpstreamLink
{
public:
  /** @param aContext runs the connections; must outlive this. */
  explicit UpstreamLink(boost::asio::io_context& aContext);
  ~UpstreamLink();
  UpstreamLink(const UpstreamLink&) = delete;
  UpstreamLink& operator=(const UpstreamLink&) = delete;

  /**
   * Sends a request.
   * @param aEndpoint where to. @param aRequest what to send. @param aHandler receives the answer.
   * @return handle of the call.
   */
  std::shared_ptr<UpstreamCall> Send(const Endpoint& aEndpoint,
                                     HttpRequest aRequest,
                                     std::shared_ptr<CallHandler> aHandler);
  /** Closes idle connections to an upstream that does not answer or has left. */
  void DropIdle(const Endpoint& aEndpoint);
  /** @return connections made so far. */
  std::uint64_t Connects() const { return connects_; }

private:
  friend class LinkCall;

  std::shared_ptr<UpstreamConnection> TakeIdle(const Endpoint& aEndpoint);
  void PutIdle(const Endpoint& aEndpoint, std::shared_ptr<UpstreamConnection> aConnection);

  boost::asio::io_context& context_; ///< Runs the connections.
  std::map<Endpoint, std::vector<std::shared_ptr<UpstreamConnection>>> idle_; ///< By upstream.
  std::uint64_t connects_ = 0;                                                ///< Connections made.
};

} // namespace laburnumweir

#endif
