/** @file upstream_exchange.h Requests to upstreams over pooled connections, with checked answers.
 */
#ifndef LABURNUMWEIR_HTTP_UPSTREAM_EXCHANGE_H
#define LABURNUMWEIR_HTTP_UPSTREAM_EXCHANGE_H

#include "core/clock_base.h"
#include "core/upstream_client_base.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace boost::asio {
class io_context;
}

namespace laburnumweir {

/** Limits of the exchanges with upstreams. */
struct ExchangeSettings
{
  std::chrono::milliseconds connectTimeout_{ 1000 };   ///< Longest time to connect.
  std::chrono::milliseconds maxIdle_{ 20000 };         ///< Longest time a pooled connection idles.
  std::size_t maxIdleConnections_ = 64;                ///< Pooled connections for each endpoint.
  std::size_t maxHeadBytes_ = std::size_t{ 16 } << 10; ///< Status line and header fields.
  std::size_t maxAnswerBytes_ = std::size_t{ 16 } << 20; ///< Body that is held to be checked.
  /** Longest time from the end of an answer to the end of the request's write. */
  std::chrono::milliseconds maxWriteDelay_{ 50 };
};

/** What to do with the body of an answer. */
enum class BodyMode : std::uint8_t
{
  Hold, ///< Hold the whole body, check it, then pass it on.
  Pass  ///< Pass parts on as they are checked.
};

/** Result of checking the head of an answer. */
struct HeadVerdict
{
  std::error_code error_;          ///< Why the answer is refused; empty if it may go on.
  BodyMode body_ = BodyMode::Hold; ///< How to treat the body.
  bool notRun_ = false;            ///< The upstream says that it did not start the request.
  bool hasId_ = true; ///< The answer names the request; without an id it may be a late copy.
};

/** Checks one answer. There is one object for each attempt, used by one thread at a time. */
class AnswerCheck
{
public:
  virtual ~AnswerCheck() = default;
  /**
   * Checks status and header fields.
   * @param aStatus HTTP status.
   * @param aHeaders fields, names in lower case.
   * @param aResult receives what the fields tell.
   */
  virtual HeadVerdict CheckHead(int aStatus,
                                const HeaderList& aHeaders,
                                AttemptResult& aResult) = 0;
  /** Checks a whole body that was held. @param aBody the body. @param aResult receives counts. */
  virtual std::error_code CheckWhole(std::string_view aBody, AttemptResult& aResult) = 0;
  /**
   * Checks a part of a body that is passed on.
   * @param aBytes the part; on return, the bytes that may be passed on (perhaps none).
   * @param aResult receives counts.
   */
  virtual std::error_code CheckPart(std::string& aBytes, AttemptResult& aResult) = 0;
  /** The HTTP body is complete. @param aRest receives bytes held back until now. */
  virtual std::error_code CheckEnd(std::string& aRest) = 0;
};

/** A request together with what the exchange needs to run it. */
struct ExchangeRequest
{
  Endpoint endpoint_;                  ///< Where to send it.
  UpstreamRequest request_;            ///< What to send.
  std::shared_ptr<AnswerCheck> check_; ///< Checks the answer.
  std::shared_ptr<UpstreamSink> sink_; ///< Receives the answer.
  std::function<void()> onAbandon_;    ///< Called if the upstream may still run it unwanted.
};

/**
 * Keeps connections to upstreams and runs exchanges on them. The io_context may be run by several
 * threads: each attempt has a strand, on which the sink is called. A request is written at most
 * once, to one connection; it is never sent again. The run state of a failed attempt is NotRun if
 * no byte was written or the upstream refused this request before starting, and Unknown otherwise.
 */
class UpstreamExchange
{
public:
  /** @param aContext runs the exchanges. @param aClock for deadlines. Both must outlive this. */
  UpstreamExchange(boost::asio::io_context& aContext,
                   const Clock& aClock,
                   ExchangeSettings aSettings);
  ~UpstreamExchange();
  UpstreamExchange(const UpstreamExchange&) = delete;
  UpstreamExchange& operator=(const UpstreamExchange&) = delete;

  /**
   * Starts an exchange. OnEnd() may follow the last OnData() before its aContinue was called.
   * @return a handle to cancel it, from any thread.
   */
  std::shared_ptr<Attempt> Send(ExchangeRequest aRequest);
  /** @return number of pooled connections. */
  std::size_t IdleConnections() const;

private:
  std::shared_ptr<class ConnectionPool> pool_; ///< Connections and settings.
};

} // namespace laburnumweir

#endif
