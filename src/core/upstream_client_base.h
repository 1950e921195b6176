/** @file upstream_client_base.h Interface for sending a request to an upstream. */
#ifndef LABURNUMWEIR_CORE_UPSTREAM_CLIENT_BASE_H
#define LABURNUMWEIR_CORE_UPSTREAM_CLIENT_BASE_H

#include "core/request_type.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace laburnumweir {

/** IP address and TCP port. */
struct Endpoint
{
  std::string address_; ///< IP address in text form, without brackets.
  std::uint16_t port_ = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/** A request as sent to an upstream. It never contains the caller's key. */
struct UpstreamRequest
{
  RequestId id_; ///< Sent as X-Request-Id; the answer must contain the same value.
  std::string method_;
  std::string target_; ///< Path and query.
  HeaderList headers_; ///< Other header fields.
  std::string body_;
  AdapterRef adapter_;         ///< Adapter that must serve the request; empty for plain services.
  bool stream_ = false;        ///< Whether server-sent events are expected.
  int priority_ = 0;           ///< Sent as X-Priority to engines; lower runs first.
  TimePoint deadline_;         ///< When the attempt is ended.
  Duration progressTimeout_{}; ///< Maximum time without a byte written or read; 0 for no limit.
};

/** Why an attempt to have an upstream serve a request failed. */
enum class UpstreamError
{
  ConnectFailed = 1, ///< No connection was made; nothing was sent.
  RefusedNotRun,     ///< The upstream reported that it refused the request before starting it.
  Overloaded,        ///< Refused before the start because of load.
  AdapterMissing,    ///< Refused before the start because the adapter is not loaded.
  ConnectionLost,    ///< The connection ended before the answer was complete.
  Silent,            ///< No byte was transferred within the progress timeout.
  DeadlineExceeded,  ///< The deadline of the request passed.
  WrongAnswer,       ///< The answer names another request, adapter or version.
  Truncated,         ///< The answer ended before it was complete.
  InvalidAnswer,     ///< The answer is not valid HTTP or not a valid event stream.
  Cancelled,         ///< Attempt::Cancel() was called.
  Failed,            ///< The upstream answered with a server error after starting the request.
};

const std::error_category&
UpstreamCategory();
std::error_code
make_error_code(UpstreamError aError);

/** Outcome of an attempt. */
struct AttemptResult
{
  std::error_code error_;           ///< No error if the answer is complete and valid.
  RunState run_ = RunState::NotRun; ///< Whether the upstream ran the request.
  TokenCount promptTokens_ = 0;     ///< As counted by the engine; 0 if unknown.
  TokenCount completionTokens_ = 0; ///< As counted by the engine, else number of events received.
  std::string engineEpoch_;         ///< Process instance of the engine; changes when it restarts.
};

/** Receives the answer of an upstream. It is called by one thread at a time, on the executor of the
 * client. */
class UpstreamSink
{
public:
  virtual ~UpstreamSink() = default;
  /** Called once, after the status and the header fields were received and checked. */
  virtual void OnHead(int aStatus, HeaderList aHeaders) = 0;
  /**
   * Called for each part of the body after it was checked.
   * @param aBytes the part; whole events if the body is an event stream.
   * @param aContinue must be called when the next part may be read.
   */
  virtual void OnData(std::string aBytes, std::function<void()> aContinue) = 0;
  /** Called once at the end of the attempt; no other call follows. */
  virtual void OnEnd(const AttemptResult& aResult) = 0;
};

/** A running attempt. */
class Attempt
{
public:
  virtual ~Attempt() = default;
  /** Ends the attempt and, where possible, stops the run at the upstream. */
  virtual void Cancel() = 0;
};

/** Sends requests to upstreams of one kind. */
class UpstreamClient
{
public:
  virtual ~UpstreamClient() = default;
  /**
   * Starts an attempt to have an upstream serve a request.
   * @param aSink receives the answer or the error.
   * @return the attempt, which can be cancelled.
   */
  virtual std::shared_ptr<Attempt> Send(const Endpoint& aEndpoint,
                                        UpstreamRequest aRequest,
                                        std::shared_ptr<UpstreamSink> aSink) = 0;
};

} // namespace laburnumweir

template<>
struct std::is_error_code_enum<laburnumweir::UpstreamError> : std::true_type
{
};

#endif
