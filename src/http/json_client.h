/** @file json_client.h Asynchronous HTTP client for short requests with whole answers. */
#ifndef LABURNUMWEIR_HTTP_JSON_CLIENT_H
#define LABURNUMWEIR_HTTP_JSON_CLIENT_H

#include "core/upstream_client_base.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace boost::asio {
class io_context;
}

namespace laburnumweir {

/** Errors of the HTTP client. */
enum class HttpError
{
  ConnectFailed = 1, ///< No connection, or withdrawn; nothing was sent.
  AnswerLost,        ///< Sent, but no whole answer came in time; it may have taken effect.
};

/** @return the category of HttpError. */
const std::error_category&
HttpCategory();
/** @return the error as a std::error_code. */
std::error_code
make_error_code(HttpError aError);

/** A short request. */
struct HttpExchange
{
  std::string method_ = "GET";                ///< HTTP method.
  std::string target_;                        ///< Path and query.
  HeaderList headers_;                        ///< Further fields.
  std::string body_;                          ///< Body; JSON text where there is one.
  std::chrono::milliseconds timeout_{ 2000 }; ///< Longest time from start to whole answer.
  std::size_t maxAnswerBytes_ = std::size_t{ 64 } << 20; ///< A longer body counts as lost.
  /** Asked when there is a connection, right before the request is written. If it returns false,
   * nothing is sent and the exchange ends with ConnectFailed. May be empty. */
  std::function<bool()> maySend_ = {};
};

/** A whole answer. */
struct HttpAnswer
{
  int status_ = 0;     ///< HTTP status.
  HeaderList headers_; ///< Header fields, names in lower case.
  std::string body_;   ///< Body.
};

/**
 * Sends short requests to one endpoint over pooled connections. All calls and callbacks run on the
 * thread of the io_context. A pooled connection that fails before a byte of the answer came counts
 * as AnswerLost: the peer may have acted.
 */
class JsonClient
{
public:
  using Callback = std::function<void(std::error_code, HttpAnswer)>;

  /**
   * @param aContext runs the client; must outlive it. @param aEndpoint where to connect.
   * @param aMaxIdle time for which an idle connection may be used again. It may have gone silent
   * since, which costs a timeout.
   */
  JsonClient(boost::asio::io_context& aContext,
             Endpoint aEndpoint,
             std::chrono::milliseconds aMaxIdle = std::chrono::seconds(20));
  ~JsonClient();
  JsonClient(const JsonClient&) = delete;
  JsonClient& operator=(const JsonClient&) = delete;

  /** Sends a request. @param aExchange the request. @param aCallback receives the answer. */
  void Send(HttpExchange aExchange, Callback aCallback);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_; ///< Connections and state.
};

} // namespace laburnumweir

template<>
struct std::is_error_code_enum<laburnumweir::HttpError> : std::true_type
{
};

#endif
