/** @file caller_session.h HTTP connections of callers to a gateway. */
#ifndef LABURNUMWEIR_GATEWAY_CALLER_SESSION_H
#define LABURNUMWEIR_GATEWAY_CALLER_SESSION_H

#include "core/upstream_client_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
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

/** A request as read from a connection, with its whole body. */
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** Receives the answer to one request. Calls after the end of the answer have no effect. */
class AnswerStream
{
public:
  virtual ~AnswerStream() = default;
  /**
   * Starts an answer.
   * @param aStatus HTTP status. @param aReason reason phrase.
   * @param aFields fields; those of the connection are replaced.
   * @param aLength length of the body; none if it is not known.
   */
  virtual void Begin(unsigned aStatus,
                     std::string_view aReason,
                     const boost::beast::http::fields& aFields,
                     std::optional<std::uint64_t> aLength) = 0;
  /** Sends a part of the body. */
  virtual void Data(std::string_view aBytes) = 0;
  /** Ends the answer; it is complete. */
  virtual void End() = 0;
  /** Closes the connection: the answer must not look complete. */
  virtual void Abort() = 0;
  /** @return bytes that the caller has not taken yet. */
  virtual std::size_t UnsentBytes() const = 0;
  /** Sets what is called once UnsentBytes() has become small. */
  virtual void NotifyWhenSent(std::function<void()> aFunction) = 0;
  /** Sets what is called when the caller closes the connection before the answer ends. */
  virtual void NotifyWhenGone(std::function<void()> aFunction) = 0;
};

/** Serves requests. */
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;
  /** @param aRequest the request. @param aAnswer receives the answer, now or later. */
  virtual void OnRequest(HttpRequest aRequest, std::shared_ptr<AnswerStream> aAnswer) = 0;
};

/** Limits of connections. */
struct SessionLimits
{
  std::size_t maxHeadBytes_ = 16384;               ///< Request line and fields; more gives 431.
  std::size_t maxBodyBytes_ = 4194304;             ///< Body; more gives 413.
  std::chrono::milliseconds headTimeout_{ 3000 };  ///< From the first byte to the whole head.
  std::chrono::milliseconds idleTimeout_{ 15000 }; ///< Without a request.
  std::size_t maxSessions_ = 2000;                 ///< Further connections are closed at once.
};

class CallerSession;

/** Listens for callers. Runs on one thread. */
class HttpListener
{
public:
  /** @param aContext runs the listener. @param aHandler serves requests. Both must outlive it. */
  HttpListener(boost::asio::io_context& aContext, HttpHandler& aHandler, SessionLimits aLimits);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /** Starts to listen. @param aEndpoint where. @return why it failed. */
  std::error_code Listen(const Endpoint& aEndpoint);
  /** Sets the limits for requests that start from now on. */
  void SetLimits(const SessionLimits& aLimits) { limits_ = aLimits; }
  /** Closes idle connections; answers carry `Connection: close` from now on. */
  void StartDrain();
  /** Closes the listener and all connections. */
  void Stop();
  /** @return open connections. */
  std::size_t Sessions() const { return sessions_.size(); }
  /** @return connections with a request that is being read or answered. */
  std::size_t BusySessions() const;

private:
  friend class CallerSession;

  void Accept();
  void Sweep();

  boost::asio::io_context& context_;        ///< Runs all connections.
  HttpHandler& handler_;                    ///< Serves requests.
  SessionLimits limits_;                    ///< Limits of connections.
  boost::asio::ip::tcp::acceptor acceptor_; ///< Listening socket.
  boost::asio::steady_timer timer_;         ///< Next sweep, or next try to accept.
  std::unordered_set<std::shared_ptr<CallerSession>> sessions_; ///< Open connections.
  bool isDraining_ = false;                                     ///< StartDrain() was called.
  bool isStopped_ = false;                                      ///< Stop() was called.
};

/** @return the text of an answer's head. */
std::string
AnswerHeadText(unsigned aStatus,
               std::string_view aReason,
               const boost::beast::http::fields& aFields);

} // namespace laburnumweir

#endif
