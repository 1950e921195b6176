/** @file caller_server.h HTTP server for callers. */
#ifndef LABURNUMWEIR_CALLER_CALLER_SERVER_H
#define LABURNUMWEIR_CALLER_CALLER_SERVER_H

#include "caller/completion_parse.h"
#include "caller/request_handler_base.h"
#include "core/upstream_client_base.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <system_error>

namespace boost::asio {
class io_context;
}

namespace laburnumweir {

/** Limits of the callers' server. */
struct CallerSettings
{
  std::size_t maxHeadBytes_ = std::size_t{ 16 } << 10; ///< Request line and fields; more gives 431.
  std::size_t maxBodyBytes_ = std::size_t{ 1 } << 20;  ///< Body; more gives 413.
  std::size_t maxBodyBytesInAll_ = std::size_t{ 64 } << 20; ///< Bodies being read; more gives 503.
  std::size_t maxConnections_ = 4096;                       ///< Beyond it, requests get 503.
  std::size_t sendBufferBytes_ = std::size_t{ 64 } << 10;   ///< Unsent bytes that hold up aWritten.
  std::size_t maxUnsentBytes_ = std::size_t{ 32 } << 20;    ///< Unsent bytes that end a connection.
  std::chrono::milliseconds headTime_{ 10000 };     ///< From the first byte to the whole head.
  std::chrono::milliseconds bodyTime_{ 30000 };     ///< From the head to the whole body.
  std::chrono::milliseconds idleTime_{ 60000 };     ///< Without a request.
  std::chrono::milliseconds writeStall_{ 30000 };   ///< Without a byte taken by the caller.
  std::chrono::milliseconds lingerTime_{ 2000 };    ///< Reading on after the last answer.
  std::chrono::milliseconds requestTime_{ 120000 }; ///< From the whole request to its deadline.
  TokenSettings tokens_;                            ///< Limits of completions.
};

/**
 * Accepts connections from callers and gives each request to a handler. One connection serves its
 * pipelined requests one at a time. A caller that closes its side, even half of it, has gone away:
 * its request is cancelled.
 */
class CallerServer
{
public:
  /** Answers GET /v1/models; the request carries the digest of the key. */
  using ModelsCallback = std::function<void(CallerRequest, std::shared_ptr<ResponseSink>)>;

  /**
   * @param aContext runs the server, on one or several threads.
   * @param aClock for the deadlines of requests.
   * @param aSettings limits.
   * @param aHandler serves requests.
   * @param aModels lists models.
   * All must outlive the run of the io_context.
   */
  CallerServer(boost::asio::io_context& aContext,
               const Clock& aClock,
               CallerSettings aSettings,
               RequestHandler& aHandler,
               ModelsCallback aModels);
  /** Stops the server. */
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /** Starts to listen. @param aEndpoint where; port 0 takes any. @return why it failed. */
  std::error_code Listen(const Endpoint& aEndpoint);
  /** @return where the server listens. */
  Endpoint LocalEndpoint() const;
  /** Answers with `Connection: close` from now on, and goes on accepting. */
  void StartDrain();
  /** @return number of requests from their first byte to the last byte of their answer. */
  std::size_t InFlight() const;
  /** @return number of open connections. */
  std::size_t Connections() const;
  /** Closes the listener and all connections, and cancels their requests. */
  void Stop();

private:
  struct Impl;
  std::shared_ptr<Impl> impl_; ///< Listener and connections.
};

} // namespace laburnumweir

#endif
