/** @file upstream_link.cpp HTTP/1.1 client of a gateway with a pool of connections to upstreams. */
#include "gateway/upstream_link.h"

#include "gateway/direct_connector.h"
#include "http/answer_rule_func.h"
#include "http/header_func.h"
#include "http/message_framing.h"
#include "http/message_parser.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace laburnumweir {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using BoostError = boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kReadBytes = std::size_t{ 8 } << 10;
constexpr std::uint32_t kMaxHeadBytes = 32768;
// Limit of skipped answers (interim ones and those to earlier requests); one more fails the call.
constexpr int kMaxSkippedAnswers = 4;
// Limit of the bodies that one call reads without passing them on; beyond it, closing the
// connection costs less than reading on.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{ 256 } << 10;
// Limit for each upstream; a further connection is closed when its answer is complete.
constexpr std::size_t kMaxIdleConnections = 64;
// Idle time after which a connection is not reused if the upstream sends no Keep-Alive timeout.
constexpr std::chrono::seconds kDefaultIdleTimeout{ 4 };
// The upstream starts to measure the idle time earlier than this host does.
constexpr std::chrono::milliseconds kIdleTimeoutMargin{ 800 };

/**
 * @param aKeepAlive value of the Keep-Alive field; may be empty.
 * @return time for which the connection may be reused: N seconds of `timeout=N` less the margin, or
 * the default without such a parameter; not positive if it must not be reused.
 */
SteadyClock::duration
ParseIdleTimeout(std::string_view aKeepAlive)
{
  const std::string text = ToLower(aKeepAlive);
  const auto start = text.find("timeout=");
  int seconds = 0;
  if (start == std::string::npos) {
    return kDefaultIdleTimeout;
  }
  const char* first = text.data() + start + std::string_view("timeout=").size();
  std::from_chars(first, text.data() + text.size(), seconds);
  return std::chrono::seconds(seconds) - kIdleTimeoutMargin;
}

} // namespace

struct UpstreamConnection
{
  explicit UpstreamConnection(OpenedConnection aOpened)
    : socket_(std::move(aOpened.socket_))
    , buffer_(std::move(aOpened.buffer_))
    , isRelayed_(aOpened.isRelayed_)
  {
  }
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;    ///< Received bytes that have not been parsed.
  SteadyClock::time_point usableUntil_; ///< Later, the upstream may close it as idle.
  const bool isRelayed_;                ///< It goes through another host.
};

/** One request and its answer on one connection. */
class LinkCall
  : public UpstreamCall
  , public std::enable_shared_from_this<LinkCall>
{
public:
  LinkCall(UpstreamLink& aLink,
           Endpoint aEndpoint,
           HttpRequest aRequest,
           std::shared_ptr<CallHandler> aHandler)
    : link_(aLink)
    , endpoint_(std::move(aEndpoint))
    , request_(std::move(aRequest))
    , handler_(std::move(aHandler))
  {
  }

  void Start(ConnectionReuse aReuse)
  {
    if (aReuse == ConnectionReuse::Allowed) {
      connection_ = link_.TakeIdle(endpoint_);
    }
    if (connection_) {
      isOnKeptConnection_ = true;
      asio::post(link_.context_, [self = shared_from_this()] { self->Exchange(); });
      return;
    }
    ++link_.connects_;
    connecting_ = link_.connector_.Connect(
      endpoint_,
      [self = shared_from_this()](BoostError aError, std::unique_ptr<OpenedConnection> aOpened) {
        self->connecting_.reset();
        if (aError) {
          self->Finish(CallEnd::NotSent);
          return;
        }
        self->connection_ = std::make_shared<UpstreamConnection>(std::move(*aOpened));
        self->Exchange();
      });
  }

  void Cancel() override
  {
    handler_.reset();
    if (connecting_) {
      std::exchange(connecting_, nullptr)->Cancel();
    }
    CloseConnection();
  }

  void Resume() override
  {
    if (isPaused_) {
      isPaused_ = false;
      Deliver();
    }
  }

  bool IsOnKeptConnection() const override { return isOnKeptConnection_; }

private:
  void Exchange()
  {
    if (!handler_) {
      return;
    }
    ResetParser();
    isWriting_ = true;
    const auto handler = handler_;
    handler->OnSending();
    if (!handler_) {
      return;
    }
    http::async_write(
      connection_->socket_, request_, [self = shared_from_this()](BoostError aError, std::size_t) {
        // After a failed write, the pending read reports the failure or an early answer.
        self->isWriting_ = aError.failed();
        self->writeError_ = aError;
      });
    Read();
  }

  void ResetParser()
  {
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(kMaxHeadBytes);
    parser_->body_limit(boost::none);
    parser_->skip(request_.method() == http::verb::head);
    isHeadSeen_ = false;
  }

  void Read()
  {
    connection_->socket_.async_read_some(
      connection_->buffer_.prepare(kReadBytes),
      [self = shared_from_this()](BoostError aError, std::size_t aBytes) {
        if (!self->handler_) {
          return;
        }
        self->connection_->buffer_.commit(aBytes);
        self->OnRead(aError);
      });
  }

  void OnRead(BoostError aError)
  {
    // The end of a relayed connection may be that of the host that relays it.
    if (IsOrderlyEnd(aError, writeError_) && isHeadSeen_ && !parser_->is_done() &&
        !connection_->isRelayed_) {
      // It completes a body without a length and truncates any other.
      BoostError parseError;
      parser_->put_eof(parseError);
      if (!parseError && parser_->is_done()) {
        isClosedByUpstream_ = true;
        Deliver();
        return;
      }
    }
    if (aError) {
      Finish(CallEnd::Lost);
      return;
    }
    Parse();
  }

  void Parse()
  {
    auto& buffer = connection_->buffer_;
    while (buffer.size() > 0 && !parser_->is_done()) {
      const auto error = parser_->Parse(buffer);
      const bool needsMore = error == http::error::need_more;
      if (error && !needsMore) {
        Finish(CallEnd::Malformed);
        return;
      }
      if (!isHeadSeen_ && parser_->is_header_done() && !OnHead()) {
        return;
      }
      if (needsMore) {
        break;
      }
    }
    Deliver();
  }

  /**
   * Passes the head of the answer to the handler, except that of an interim answer (1xx).
   * @return false if the call has ended.
   */
  bool OnHead()
  {
    isHeadSeen_ = true;
    const auto& message = parser_->Get();
    auto action = HeadAction::Skip;
    if (!IsInterimStatus(static_cast<int>(message.result_int()))) {
      std::optional<std::uint64_t> length;
      if (const auto announced = parser_->content_length()) {
        length = *announced;
      } else if (!message.chunked() && !message.need_eof()) {
        length = 0;
      }
      const auto handler = handler_;
      action = handler->OnHead(message.result_int(),
                               { message.reason().data(), message.reason().size() },
                               message.base(),
                               length);
    }
    if (!handler_) {
      return false;
    }
    isSkipping_ = action == HeadAction::Skip;
    isDiscarding_ =
      isSkipping_ || action == HeadAction::Discard || action == HeadAction::DiscardAndClose;
    mayReuse_ = action != HeadAction::DiscardAndClose;
    if (action == HeadAction::Reject || (isSkipping_ && ++skippedAnswers_ > kMaxSkippedAnswers)) {
      Finish(CallEnd::Malformed);
      return false;
    }
    return true;
  }

  void Deliver()
  {
    if (!handler_) {
      return;
    }
    if (isHeadSeen_) {
      const std::string body = parser_->TakeBody();
      discardedBytes_ += isDiscarding_ ? body.size() : 0;
      if (discardedBytes_ > kMaxDiscardedBytes) {
        Finish(CallEnd::Malformed);
        return;
      }
      if (!body.empty() && !isDiscarding_) {
        const auto handler = handler_;
        const bool wantsMore = handler->OnBody(body);
        if (!handler_) {
          return;
        }
        if (!wantsMore) {
          isPaused_ = true;
          return;
        }
      }
      if (parser_->is_done()) {
        if (!isSkipping_) {
          Complete();
          return;
        }
        if (!parser_->keep_alive()) {
          Finish(CallEnd::Lost);
          return;
        }
        ResetParser();
        if (connection_->buffer_.size() > 0) {
          Parse();
          return;
        }
      }
    }
    Read();
  }

  void Complete()
  {
    // A connection with an incompletely written request or with unexpected bytes is not reused.
    if (mayReuse_ && !isClosedByUpstream_ && !isWriting_ && parser_->keep_alive() &&
        connection_->buffer_.size() == 0) {
      const auto field = parser_->Get()[http::field::keep_alive];
      connection_->usableUntil_ =
        SteadyClock::now() + ParseIdleTimeout({ field.data(), field.size() });
      link_.PutIdle(endpoint_, std::move(connection_));
    }
    Finish(isClosedByUpstream_ ? CallEnd::Closed : CallEnd::Complete);
  }

  void Finish(CallEnd aEnd)
  {
    CloseConnection();
    if (const auto handler = std::exchange(handler_, nullptr)) {
      handler->OnEnd(aEnd);
    }
  }

  void CloseConnection()
  {
    if (connection_) {
      BoostError ignored;
      connection_->socket_.close(ignored);
    }
  }

  UpstreamLink& link_;      ///< Outlives the call.
  const Endpoint endpoint_; ///< Address of the upstream.
  HttpRequest request_;
  std::shared_ptr<CallHandler> handler_;           ///< Empty after the end of the call.
  std::shared_ptr<ConnectAttempt> connecting_;     ///< Empty unless a connection is being opened.
  std::shared_ptr<UpstreamConnection> connection_; ///< Empty before, and once back in the pool.
  std::optional<AnswerParser> parser_;             ///< Parses the answer.
  int skippedAnswers_ = 0;                         ///< See kMaxSkippedAnswers.
  std::size_t discardedBytes_ = 0;                 ///< See kMaxDiscardedBytes.
  bool isWriting_ = false;                         ///< The request has not been written completely.
  BoostError writeError_;                          ///< Why the write failed, once it has.
  bool isHeadSeen_ = false;         ///< OnHead() was called for the answer being read.
  bool isSkipping_ = false;         ///< The answer being read belongs to another request.
  bool isDiscarding_ = false;       ///< The body being read is not passed to the handler.
  bool mayReuse_ = true;            ///< The connection may be put back into the pool.
  bool isOnKeptConnection_ = false; ///< The connection has carried other requests.
  bool isPaused_ = false;           ///< OnBody() returned false; Resume() is awaited.
  bool isClosedByUpstream_ = false; ///< The end of the connection was the end of the body.
};

UpstreamLink::UpstreamLink(asio::io_context& aContext)
  : context_(aContext)
  , ownConnector_(std::make_unique<DirectConnector>(aContext))
  , connector_(*ownConnector_)
{
}

UpstreamLink::UpstreamLink(asio::io_context& aContext, UpstreamConnector& aConnector)
  : context_(aContext)
  , connector_(aConnector)
{
}

UpstreamLink::~UpstreamLink() = default;

std::shared_ptr<UpstreamCall>
UpstreamLink::Send(const Endpoint& aEndpoint,
                   HttpRequest aRequest,
                   std::shared_ptr<CallHandler> aHandler,
                   ConnectionReuse aReuse)
{
  auto call =
    std::make_shared<LinkCall>(*this, aEndpoint, std::move(aRequest), std::move(aHandler));
  call->Start(aReuse);
  return call;
}

std::shared_ptr<UpstreamConnection>
UpstreamLink::TakeIdle(const Endpoint& aEndpoint)
{
  const auto found = idle_.find(aEndpoint);
  const auto now = SteadyClock::now();
  while (found != idle_.end() && !found->second.empty()) {
    auto connection = std::move(found->second.back());
    found->second.pop_back();
    // Bytes or a close that arrived while the connection was idle make it unusable.
    BoostError error;
    char byte = 0;
    connection->socket_.non_blocking(true, error);
    connection->socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == asio::error::would_block && now < connection->usableUntil_ &&
        IsOnUsedPath(aEndpoint, *connection)) {
      return connection;
    }
  }
  return nullptr;
}

bool
UpstreamLink::IsOnUsedPath(const Endpoint& aEndpoint, const UpstreamConnection& aConnection) const
{
  return !aConnection.isRelayed_ || connector_.IsRelayed(aEndpoint);
}

void
UpstreamLink::DropIdleOverLostLinks()
{
  for (auto& [endpoint, connections] : idle_) {
    if (connector_.IsRelayed(endpoint)) {
      std::erase_if(connections, [](const auto& aConnection) { return !aConnection->isRelayed_; });
    }
  }
}

void
UpstreamLink::PutIdle(const Endpoint& aEndpoint, std::shared_ptr<UpstreamConnection> aConnection)
{
  auto& connections = idle_[aEndpoint];
  if (connections.size() < kMaxIdleConnections && IsOnUsedPath(aEndpoint, *aConnection)) {
    connections.push_back(std::move(aConnection));
  }
}

bool
UpstreamLink::HasIdle(const Endpoint& aEndpoint) const
{
  const auto found = idle_.find(aEndpoint);
  return found != idle_.end() && !found->second.empty() &&
         SteadyClock::now() < found->second.back()->usableUntil_;
}

void
UpstreamLink::DropIdle(const Endpoint& aEndpoint)
{
  idle_.erase(aEndpoint);
}

} // namespace laburnumweir
