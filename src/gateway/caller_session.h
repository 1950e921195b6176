/** @file caller_session.h HTTP/1.1 server of a gateway: listener, connections and answers. */
#ifndef LABURNUMWEIR_GATEWAY_CALLER_SESSION_H
#define LABURNUMWEIR_GATEWAY_CALLER_SESSION_H

#include "core/upstream_client_base.h"
#include "gateway/rejection_log.h"
#include "gateway/request_memory.h"
#include "http/shared_body.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

namespace laburnumweir {

/** A request with its complete body, which all copies of the request share. */
using HttpRequest = boost::beast::http::request<SharedBody>;

/** Receives the answer to one request. Calls after End(), Abort() or a disconnect do nothing. */
class AnswerStream
{
public:
  virtual ~AnswerStream() = default;
  /**
   * Sends the head of the answer. Must be called before Data() and End().
   * @param aStatus HTTP status.
   * @param aReason reason phrase; the standard phrase of the status if empty.
   * @param aFields header fields; hop-by-hop fields and Content-Length are replaced.
   * @param aLength length of the body in bytes; none if unknown, so that the body is sent chunked
   * or, to an HTTP/1.0 caller, ended by the close of the connection.
   */
  virtual void Begin(unsigned aStatus,
                     std::string_view aReason,
                     const boost::beast::http::fields& aFields,
                     std::optional<std::uint64_t> aLength) = 0;
  /** Sends the next bytes of the body. More bytes than announced close the connection. */
  virtual void Data(std::string_view aBytes) = 0;
  /** Completes the answer. Fewer bytes than announced close the connection. */
  virtual void End() = 0;
  /** Closes the connection so that the caller can tell that the answer is truncated. */
  virtual void Abort() = 0;
  /** @return bytes that have not been written to the socket yet. */
  virtual std::size_t UnsentBytes() const = 0;
  /** Sets a function that is called once, when a write leaves few unsent bytes. */
  virtual void NotifyWhenSent(std::function<void()> aFunction) = 0;
  /** Sets a function that is called once if the connection closes before the answer ends. */
  virtual void NotifyWhenGone(std::function<void()> aFunction) = 0;
  /** Sets a function that is called once if the process stops soon: what was not begun must be
   * answered now. */
  virtual void NotifyWhenStopping(std::function<void()> aFunction) = 0;
};

/** Answers the requests that an HttpListener has read. */
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;
  /** @param aAnswer receives the answer, during this call or later. */
  virtual void OnRequest(HttpRequest aRequest, std::shared_ptr<AnswerStream> aAnswer) = 0;
  /**
   * Completes the answer to a request that is rejected before OnRequest().
   * @param aRequest head of the request.
   * @param aAnswer fields of the answer.
   */
  virtual void OnRejected(const boost::beast::http::fields& /*aRequest*/,
                          boost::beast::http::fields& /*aAnswer*/)
  {
  }
};

/** Limits of a listener and its connections. */
struct SessionLimits
{
  std::size_t maxHeadBytes_ = 16384;   ///< Request line and header fields; status 431 beyond.
  std::size_t maxBodyBytes_ = 4194304; ///< Request body; status 413 beyond.
  /** Time to receive the head, and again to receive the body; status 408 beyond. */
  std::chrono::milliseconds headTimeout_{ 3000 };
  /** Time between two requests after which the connection is closed. */
  std::chrono::milliseconds idleTimeout_{ 15000 };
  std::size_t maxSessions_ = 2000; ///< Further connections are closed immediately.
};

/** What the listeners of a process share. */
struct ListenerServices
{
  std::shared_ptr<RequestMemory> memory_ = std::make_shared<RequestMemory>();
  std::shared_ptr<RejectionLog> rejections_ = std::make_shared<RejectionLog>();
};

class CallerSession;

/** Accepts connections and owns their sessions. Not thread-safe. */
class HttpListener
{
public:
  /** @param aContext must outlive the listener. @param aHandler must outlive the listener. */
  HttpListener(boost::asio::io_context& aContext,
               HttpHandler& aHandler,
               SessionLimits aLimits,
               ListenerServices aServices = {});
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /**
   * Binds the address and starts to accept connections.
   * @return error of the first socket operation that failed; no error on success.
   */
  std::error_code Listen(const Endpoint& aEndpoint);
  /** Sets limits. Size limits apply to requests that start later; time limits apply at once. */
  void SetLimits(const SessionLimits& aLimits) { limits_ = aLimits; }
  /**
   * Closes idle connections, except those on which a request has arrived. Answers that start later
   * carry `Connection: close`.
   */
  void StartDrain();
  /** @return whether a connection waits to be accepted or holds bytes that were not read yet. */
  bool HasUnreadInput();
  /** Asks the handlers of all requests without an answer to answer them now. */
  void EndAnswers();
  /** Closes the listening socket and all connections, including those with running requests. */
  void Stop();
  /** @return number of open connections. */
  std::size_t Sessions() const { return sessions_.size(); }
  /** @return number of connections with a request that is being read or answered. */
  std::size_t BusySessions() const;

private:
  friend class CallerSession;

  void Accept();
  void CheckTimeouts();

  boost::asio::io_context& context_;
  HttpHandler& handler_;
  SessionLimits limits_;
  ListenerServices services_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_; ///< Next check of the connections' time limits.
  std::unordered_set<std::shared_ptr<CallerSession>> sessions_;
  bool isDraining_ = false;
  bool isStopped_ = false;
};

} // namespace laburnumweir

#endif
