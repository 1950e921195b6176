/** @file upstream_exchange.cpp Requests to upstreams over pooled connections, with checked answers.
 */
#include "http/upstream_exchange.h"

#include "http/answer_rule_func.h"
#include "http/header_func.h"
#include "http/message_parser.h"

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace laburnumweir {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using BoostError = boost::system::error_code;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::size_t kReadBytes = std::size_t{ 64 } << 10;
constexpr std::chrono::seconds kSweepInterval{ 5 };

struct Connection
{
  explicit Connection(asio::io_context& aContext)
    : strand_(asio::make_strand(aContext))
    , socket_(strand_)
  {
  }
  asio::strand<asio::io_context::executor_type> strand_; ///< Runs all that concerns the socket.
  tcp::socket socket_;                                   ///< The connection.
  beast::flat_buffer buffer_;                            ///< Bytes read but not parsed.
  SteadyTime idleSince_;                                 ///< When it was pooled.
};

/** @return whether the peer closed an idle connection, or sent bytes that nobody asked for. */
bool
IsUnusable(Connection& aConnection)
{
  BoostError error;
  char byte = 0;
  aConnection.socket_.non_blocking(true, error);
  aConnection.socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

} // namespace

/** Idle connections of all endpoints. */
class ConnectionPool
{
public:
  ConnectionPool(asio::io_context& aContext, const Clock& aClock, ExchangeSettings aSettings)
    : context_(aContext)
    , clock_(aClock)
    , settings_(aSettings)
  {
  }

  std::shared_ptr<Connection> Take(const Endpoint& aEndpoint)
  {
    const auto oldest = std::chrono::steady_clock::now() - settings_.maxIdle_;
    const std::lock_guard lock(mutex_);
    const auto entry = idle_.find(aEndpoint);
    while (entry != idle_.end() && !entry->second.empty()) {
      auto connection = std::move(entry->second.back());
      entry->second.pop_back();
      if (connection->idleSince_ >= oldest && !IsUnusable(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  void Put(const Endpoint& aEndpoint, std::shared_ptr<Connection> aConnection)
  {
    const auto now = std::chrono::steady_clock::now();
    aConnection->idleSince_ = now;
    const std::lock_guard lock(mutex_);
    if (now - swept_ > kSweepInterval) {
      swept_ = now;
      Sweep(now);
    }
    auto& connections = idle_[aEndpoint];
    if (connections.size() < settings_.maxIdleConnections_) {
      connections.push_back(std::move(aConnection));
    }
  }

  std::size_t Size() const
  {
    const std::lock_guard lock(mutex_);
    std::size_t size = 0;
    for (const auto& [endpoint, connections] : idle_) {
      size += connections.size();
    }
    return size;
  }

  void Clear()
  {
    const std::lock_guard lock(mutex_);
    idle_.clear();
  }

  asio::io_context& Context() { return context_; }
  const Clock& GetClock() const { return clock_; }
  const ExchangeSettings& Settings() const { return settings_; }

private:
  /** Closes connections that idled too long, and forgets endpoints without any. */
  void Sweep(SteadyTime aNow)
  {
    for (auto entry = idle_.begin(); entry != idle_.end();) {
      std::erase_if(entry->second, [this, aNow](const auto& aConnection) {
        return aNow - aConnection->idleSince_ > settings_.maxIdle_;
      });
      entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
    }
  }

  asio::io_context& context_;                                         ///< Runs the connections.
  const Clock& clock_;                                                ///< For deadlines.
  const ExchangeSettings settings_;                                   ///< Limits.
  mutable std::mutex mutex_;                                          ///< Guards the fields below.
  std::map<Endpoint, std::vector<std::shared_ptr<Connection>>> idle_; ///< Idle connections.
  SteadyTime swept_;                                                  ///< Last sweep.
};

namespace {

/** One request and its answer. Everything but Cancel() runs on the connection's strand. */
class ExchangeAttempt
  : public Attempt
  , public std::enable_shared_from_this<ExchangeAttempt>
{
public:
  ExchangeAttempt(std::shared_ptr<ConnectionPool> aPool, ExchangeRequest aRequest)
    : pool_(std::move(aPool))
    , exchange_(std::move(aRequest))
    , connection_(pool_->Take(exchange_.endpoint_))
    , isPooled_(connection_ != nullptr)
  {
    if (!connection_) {
      connection_ = std::make_shared<Connection>(pool_->Context());
    }
    timer_.emplace(connection_->strand_);
  }

  void Start()
  {
    asio::post(connection_->strand_, [self = shared_from_this()] { self->Run(); });
  }

  void Cancel() override
  {
    asio::post(connection_->strand_,
               [self = shared_from_this()] { self->Finish(UpstreamError::Cancelled); });
  }

private:
  enum class Phase : std::uint8_t
  {
    Connecting,
    Exchanging,
    Ended
  };

  void Run()
  {
    if (phase_ == Phase::Ended) {
      return;
    }
    lastProgress_ = Now();
    if (IsPast(exchange_.request_.deadline_)) {
      Finish(UpstreamError::DeadlineExceeded);
      return;
    }
    ArmTimer();
    if (isPooled_) {
      Exchange();
    } else {
      Connect();
    }
  }

  void Connect()
  {
    BoostError error;
    const auto address = asio::ip::make_address(exchange_.endpoint_.address_, error);
    if (error) {
      Finish(UpstreamError::ConnectFailed);
      return;
    }
    connection_->socket_.async_connect(tcp::endpoint(address, exchange_.endpoint_.port_),
                                       [self = shared_from_this()](BoostError aError) {
                                         if (self->phase_ == Phase::Ended) {
                                           return;
                                         }
                                         if (aError) {
                                           self->Finish(UpstreamError::ConnectFailed);
                                           return;
                                         }
                                         BoostError ignored;
                                         self->connection_->socket_.set_option(tcp::no_delay(true),
                                                                               ignored);
                                         self->lastProgress_ = self->Now();
                                         self->Exchange();
                                       });
  }

  void Exchange()
  {
    phase_ = Phase::Exchanging;
    BuildRequest();
    ResetParser();
    isWriting_ = true;
    http::async_write(connection_->socket_,
                      message_,
                      [self = shared_from_this()](BoostError aError, std::size_t aBytes) {
                        self->OnWritten(aError, aBytes);
                      });
    Read();
  }

  void BuildRequest()
  {
    auto& request = exchange_.request_;
    message_.version(11);
    message_.method_string(request.method_);
    message_.target(request.target_);
    message_.set(http::field::host,
                 exchange_.endpoint_.address_ + ":" + std::to_string(exchange_.endpoint_.port_));
    const auto connection = FindField(request.headers_, "connection");
    for (const auto& [name, value] : request.headers_) {
      if (!IsHopByHop(name, connection) && !IsCallerSecret(name) &&
          !EqualsIgnoreCase(name, "host") && !EqualsIgnoreCase(name, "content-length")) {
        message_.insert(name, value);
      }
    }
    message_.set("X-Request-Id", request.id_.Value());
    message_.body() = std::move(request.body_);
    message_.prepare_payload();
  }

  void ResetParser()
  {
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(pool_->Settings().maxHeadBytes_));
    parser_->body_limit(boost::none);
    parser_->skip(exchange_.request_.method_ == "HEAD");
    headSeen_ = false;
  }

  void OnWritten(BoostError aError, std::size_t aBytes)
  {
    isWriting_ = false;
    wroteNothing_ = aBytes == 0;
    if (phase_ == Phase::Ended) {
      if (pendingError_) {
        if (keepAfterWrite_) {
          timer_->cancel();
          Release(!aError && connection_->socket_.is_open());
        }
        Report(*std::exchange(pendingError_, std::nullopt));
      }
      return;
    }
    if (aError && wroteNothing_) {
      Finish(UpstreamError::ConnectFailed);
      return;
    }
    // After a partial write the read reports the failure, or an early answer such as a refusal.
    writeFailed_ = aError.failed();
    lastProgress_ = Now();
  }

  void Read()
  {
    connection_->socket_.async_read_some(
      connection_->buffer_.prepare(kReadBytes),
      [self = shared_from_this()](BoostError aError, std::size_t aBytes) {
        if (self->phase_ == Phase::Ended) {
          return;
        }
        self->connection_->buffer_.commit(aBytes);
        self->lastProgress_ = self->Now();
        self->OnRead(aError);
      });
  }

  void OnRead(BoostError aError)
  {
    if (IsPast(exchange_.request_.deadline_)) {
      Finish(UpstreamError::DeadlineExceeded);
      return;
    }
    if (aError == asio::error::eof) {
      Finish(receivedBytes_ ? UpstreamError::Truncated : UpstreamError::ConnectionLost);
      return;
    }
    if (aError) {
      Finish(UpstreamError::ConnectionLost);
      return;
    }
    receivedBytes_ = true;
    Parse();
  }

  void Parse()
  {
    auto& buffer = connection_->buffer_;
    while (buffer.size() > 0 && !parser_->is_done()) {
      const auto error = parser_->Parse(buffer);
      if (error == http::error::need_more) {
        break;
      }
      if (error) {
        Finish(UpstreamError::InvalidAnswer);
        return;
      }
      if (parser_->is_done() && IsInterim() && !SkipInterim()) {
        return;
      }
    }
    if (!headSeen_ && parser_->is_header_done()) {
      headSeen_ = true;
      if (!OnHead()) {
        return;
      }
    }
    if (headSeen_) {
      DeliverBody();
    } else {
      Read();
    }
  }

  bool IsInterim() const { return IsInterimStatus(static_cast<int>(parser_->Get().result_int())); }

  /** Discards an interim (1xx) answer. @return false if the attempt ended. */
  bool SkipInterim()
  {
    if (++interimAnswers_ > kMaxInterimAnswers) {
      Finish(UpstreamError::InvalidAnswer);
      return false;
    }
    ResetParser();
    return true;
  }

  /** Checks the head. @return false if the attempt ended. */
  bool OnHead()
  {
    const auto& message = parser_->Get();
    status_ = static_cast<int>(message.result_int());
    const std::string connection(message[http::field::connection]);
    HeaderList fields;
    for (const auto& field : message) {
      fields.emplace_back(ToLower(std::string_view(field.name_string())), field.value());
    }
    auto verdict = exchange_.check_->CheckHead(status_, fields, result_);
    if (verdict.notRun_ && !verdict.hasId_ && isPooled_) {
      verdict = { UpstreamError::WrongAnswer };
    }
    refused_ = verdict.notRun_;
    mode_ = verdict.body_;
    if (verdict.error_) {
      Finish(verdict.error_);
      return false;
    }
    if (!parser_->is_done() && parser_->need_eof()) {
      // Without a length or chunks, a lost connection looks like the end of the body.
      Finish(UpstreamError::InvalidAnswer);
      return false;
    }
    if (mode_ == BodyMode::Hold && parser_->content_length() &&
        *parser_->content_length() > pool_->Settings().maxAnswerBytes_ && !parser_->is_done()) {
      Finish(UpstreamError::InvalidAnswer);
      return false;
    }
    std::erase_if(
      fields, [&connection](const auto& aField) { return IsHopByHop(aField.first, connection); });
    headers_ = std::move(fields);
    if (mode_ == BodyMode::Pass) {
      exchange_.sink_->OnHead(status_, std::move(headers_));
    }
    return phase_ != Phase::Ended;
  }

  void DeliverBody()
  {
    if (mode_ == BodyMode::Hold) {
      DeliverHeldBody();
    } else {
      DeliverPart();
    }
  }

  void DeliverHeldBody()
  {
    if (parser_->Get().body().size() > pool_->Settings().maxAnswerBytes_) {
      Finish(UpstreamError::InvalidAnswer);
      return;
    }
    if (!parser_->is_done()) {
      Read();
      return;
    }
    std::string body = parser_->TakeBody();
    if (const auto error = exchange_.check_->CheckWhole(body, result_)) {
      FinishUsed(error);
      return;
    }
    exchange_.sink_->OnHead(status_, std::move(headers_));
    if (!body.empty()) {
      exchange_.sink_->OnData(std::move(body), [] {});
    }
    FinishUsed({});
  }

  void DeliverPart()
  {
    std::string part = parser_->TakeBody();
    if (const auto error = exchange_.check_->CheckPart(part, result_)) {
      Finish(error);
      return;
    }
    const bool isDone = parser_->is_done();
    if (isDone) {
      std::string rest;
      if (const auto error = exchange_.check_->CheckEnd(rest)) {
        if (!part.empty()) {
          exchange_.sink_->OnData(std::move(part), [] {});
        }
        Finish(error);
        return;
      }
      part += rest;
    }
    if (part.empty()) {
      if (isDone) {
        FinishUsed({});
      } else {
        Read();
      }
      return;
    }
    if (isDone) {
      exchange_.sink_->OnData(std::move(part), [] {});
      FinishUsed({});
      return;
    }
    isWaiting_ = true;
    exchange_.sink_->OnData(std::move(part), [self = shared_from_this(), part = ++parts_] {
      asio::dispatch(self->connection_->strand_, [self, part] { self->Continue(part); });
    });
  }

  void Continue(std::uint64_t aPart)
  {
    if (phase_ == Phase::Ended || !isWaiting_ || aPart != parts_) {
      return;
    }
    isWaiting_ = false;
    lastProgress_ = Now();
    Read();
  }

  /** Ends an attempt whose answer was read to its end; pools the connection if it can be used. */
  void FinishUsed(std::error_code aError)
  {
    const bool isTrusted = !aError || refused_ || aError == UpstreamError::Failed;
    keepConnection_ = isTrusted && phase_ != Phase::Ended && parser_->keep_alive() &&
                      !writeFailed_ && connection_->buffer_.size() == 0;
    if (keepConnection_ && isWriting_) {
      WaitForWrite(aError);
    } else {
      Finish(aError);
    }
  }

  /** Ends the attempt after the write. The handler of a write that is complete may run after that
   * of the read, so that the connection cannot be judged before. */
  void WaitForWrite(std::error_code aError)
  {
    phase_ = Phase::Ended;
    pendingError_ = aError;
    keepAfterWrite_ = true;
    timer_->expires_after(pool_->Settings().maxWriteDelay_);
    timer_->async_wait([self = shared_from_this()](BoostError aTimerError) {
      if (!aTimerError && self->isWriting_) {
        // Ends the write.
        self->Release(false);
      }
    });
  }

  /** Pools the connection, or closes it. */
  void Release(bool aIsKept)
  {
    if (aIsKept) {
      connection_->buffer_.shrink_to_fit();
      pool_->Put(exchange_.endpoint_, connection_);
    } else {
      BoostError ignored;
      connection_->socket_.close(ignored);
    }
  }

  void Finish(std::error_code aError)
  {
    if (phase_ == Phase::Ended) {
      return;
    }
    const bool wasExchanging = phase_ == Phase::Exchanging;
    phase_ = Phase::Ended;
    timer_->cancel();
    Release(keepConnection_);
    if (wasExchanging && isWriting_) {
      // The write's handler knows whether a byte was written.
      pendingError_ = aError;
      return;
    }
    if (!wasExchanging) {
      wroteNothing_ = true;
    }
    Report(aError);
  }

  void Report(std::error_code aError)
  {
    result_.error_ = aError;
    if (!aError) {
      result_.run_ = RunState::Ran;
    } else if (wroteNothing_ || refused_) {
      result_.run_ = RunState::NotRun;
    } else {
      result_.run_ = RunState::Unknown;
      const bool isAbandoned = aError == UpstreamError::Cancelled ||
                               aError == UpstreamError::DeadlineExceeded ||
                               aError == UpstreamError::Silent;
      if (isAbandoned && exchange_.onAbandon_) {
        exchange_.onAbandon_();
      }
    }
    const auto sink = std::move(exchange_.sink_);
    exchange_.onAbandon_ = nullptr;
    sink->OnEnd(result_);
  }

  TimePoint Now() const { return pool_->GetClock().Now(); }
  bool IsPast(TimePoint aTime) const { return aTime != TimePoint{} && Now() >= aTime; }

  /** @return when silence ends the attempt; the maximum if it does not now. */
  TimePoint ProgressLimit() const
  {
    if (phase_ == Phase::Connecting) {
      return lastProgress_ + pool_->Settings().connectTimeout_;
    }
    const auto timeout = exchange_.request_.progressTimeout_;
    return isWaiting_ || timeout == Duration{} ? TimePoint::max() : lastProgress_ + timeout;
  }

  /** Waits for the next time limit. Progress moves the limit without touching the timer; the wait
   * is extended when it ends. */
  void ArmTimer()
  {
    auto limit = ProgressLimit();
    if (limit == TimePoint::max() && exchange_.request_.progressTimeout_ != Duration{}) {
      limit = Now() + exchange_.request_.progressTimeout_;
    }
    if (exchange_.request_.deadline_ != TimePoint{}) {
      limit = std::min(limit, exchange_.request_.deadline_);
    }
    if (phase_ == Phase::Connecting && exchange_.request_.progressTimeout_ != Duration{}) {
      limit = std::min(limit, Now() + exchange_.request_.progressTimeout_);
    }
    if (limit == TimePoint::max()) {
      return;
    }
    timer_->expires_after(std::max(limit - Now(), Duration{}));
    timer_->async_wait([self = shared_from_this()](BoostError aError) {
      if (!aError && self->phase_ != Phase::Ended) {
        self->OnTimer();
      }
    });
  }

  void OnTimer()
  {
    if (IsPast(exchange_.request_.deadline_)) {
      Finish(UpstreamError::DeadlineExceeded);
    } else if (IsPast(ProgressLimit())) {
      Finish(phase_ == Phase::Connecting ? UpstreamError::ConnectFailed : UpstreamError::Silent);
    } else {
      ArmTimer();
    }
  }

  std::shared_ptr<ConnectionPool> pool_;        ///< Where the connection came from.
  ExchangeRequest exchange_;                    ///< What to send and who hears of it.
  std::shared_ptr<Connection> connection_;      ///< Used by this attempt alone.
  const bool isPooled_;                         ///< Whether the connection was open before.
  std::optional<asio::steady_timer> timer_;     ///< Next time limit.
  http::request<http::string_body> message_;    ///< What is written.
  std::optional<AnswerParser> parser_;          ///< What is read.
  AttemptResult result_;                        ///< What is known so far.
  HeaderList headers_;                          ///< Fields to pass on.
  std::optional<std::error_code> pendingError_; ///< Set while the end waits for the write.
  TimePoint lastProgress_{};                    ///< When a byte was last written or read.
  std::uint64_t parts_ = 0;                     ///< Parts passed on.
  int status_ = 0;                              ///< Status of the answer.
  int interimAnswers_ = 0;                      ///< 1xx answers seen.
  Phase phase_ = Phase::Connecting;             ///< Progress of the attempt.
  BodyMode mode_ = BodyMode::Hold;              ///< How the body is treated.
  bool headSeen_ = false;                       ///< The head was parsed.
  bool receivedBytes_ = false;                  ///< Any byte of the answer came.
  bool isWriting_ = false;                      ///< The write is under way.
  bool writeFailed_ = false;                    ///< The request was written in part.
  bool wroteNothing_ = false;                   ///< Certainly no byte was written.
  bool refused_ = false;                        ///< Refused before the start.
  bool isWaiting_ = false;                      ///< Waits for aContinue.
  bool keepConnection_ = false;                 ///< The connection can be used again.
  bool keepAfterWrite_ = false;                 ///< The same, once the write has ended.
};

} // namespace

UpstreamExchange::UpstreamExchange(asio::io_context& aContext,
                                   const Clock& aClock,
                                   ExchangeSettings aSettings)
  : pool_(std::make_shared<ConnectionPool>(aContext, aClock, aSettings))
{
}

UpstreamExchange::~UpstreamExchange()
{
  pool_->Clear();
}

std::shared_ptr<Attempt>
UpstreamExchange::Send(ExchangeRequest aRequest)
{
  auto attempt = std::make_shared<ExchangeAttempt>(pool_, std::move(aRequest));
  attempt->Start();
  return attempt;
}

std::size_t
UpstreamExchange::IdleConnections() const
{
  return pool_->Size();
}

} // namespace laburnumweir
