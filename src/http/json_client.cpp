/** @file json_client.cpp Asynchronous HTTP client for short requests with whole answers. */
#include "http/json_client.h"

#include "http/answer_rule_func.h"
#include "http/message_parser.h"
#include "http/socket_option_func.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <deque>
#include <optional>

namespace laburnumweir {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::size_t kMaxIdleConnections = 4;
// Limit of received bytes that the parser cannot use yet, such as an incomplete chunk header.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{ 256 } << 10;

class HttpErrorCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "http"; }
  std::string message(int aValue) const override
  {
    switch (static_cast<HttpError>(aValue)) {
      case HttpError::ConnectFailed:
        return "no connection could be made";
      case HttpError::AnswerLost:
        return "the request was sent but no whole answer came";
    }
    return "unknown HTTP error";
  }
};

struct Connection
{
  explicit Connection(asio::io_context& aContext)
    : stream_(aContext)
  {
  }
  beast::tcp_stream stream_;                       ///< Socket with a timer.
  beast::flat_buffer buffer_{ kMaxUnparsedBytes }; ///< Bytes read ahead.
  std::chrono::steady_clock::time_point lastUsed_; ///< When it became idle.
};

} // namespace

const std::error_category&
HttpCategory()
{
  static const HttpErrorCategory kCategory;
  return kCategory;
}

std::error_code
make_error_code(HttpError aError)
{
  return { static_cast<int>(aError), HttpCategory() };
}

struct JsonClient::Impl : std::enable_shared_from_this<JsonClient::Impl>
{
  Impl(asio::io_context& aContext, Endpoint aEndpoint, std::chrono::milliseconds aMaxIdle)
    : context_(aContext)
    , endpoint_(std::move(aEndpoint))
    , maxIdle_(aMaxIdle)
  {
  }

  struct Operation
  {
    http::request<http::string_body> request_;        ///< What is sent.
    std::optional<AnswerParser> parser_;              ///< What is read.
    std::shared_ptr<Connection> connection_;          ///< Connection in use.
    std::chrono::milliseconds timeout_{};             ///< Limit for the whole exchange.
    std::size_t maxAnswerBytes_ = 0;                  ///< Limit of the body.
    int interimAnswers_ = 0;                          ///< See kMaxInterimAnswers.
    std::function<bool()> maySend_;                   ///< Asked before writing, if not empty.
    std::chrono::steady_clock::time_point startedAt_; ///< Without an answer, older ones are closed.
    Callback callback_;                               ///< Receives the answer.
  };

  std::shared_ptr<Connection> TakeIdle()
  {
    const auto now = std::chrono::steady_clock::now();
    while (!idle_.empty()) {
      auto connection = idle_.back();
      idle_.pop_back();
      // Bytes after an answer would be taken for the answer to the next request.
      const bool isClean = connection->buffer_.size() == 0;
      if (isClean && now - connection->lastUsed_ < maxIdle_ && !IsClosedByPeer(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  /** @return whether the peer closed an idle connection, or sent bytes that nobody asked for. */
  static bool IsClosedByPeer(Connection& aConnection)
  {
    boost::system::error_code error;
    char byte = 0;
    auto& socket = aConnection.stream_.socket();
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
  }

  void Start(const std::shared_ptr<Operation>& aOperation)
  {
    aOperation->startedAt_ = std::chrono::steady_clock::now();
    aOperation->connection_ = TakeIdle();
    if (aOperation->connection_) {
      aOperation->connection_->stream_.expires_after(aOperation->timeout_);
      Write(aOperation);
      return;
    }
    aOperation->connection_ = std::make_shared<Connection>(context_);
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint_.address_, error);
    if (error) {
      Finish(aOperation, HttpError::ConnectFailed);
      return;
    }
    aOperation->connection_->stream_.expires_after(aOperation->timeout_);
    aOperation->connection_->stream_.async_connect(
      tcp::endpoint(address, endpoint_.port_),
      [self = shared_from_this(), aOperation](boost::system::error_code aError) {
        if (aError) {
          self->Finish(aOperation, HttpError::ConnectFailed);
          return;
        }
        SetLivenessOptions(aOperation->connection_->stream_.socket());
        self->Write(aOperation);
      });
  }

  void Write(const std::shared_ptr<Operation>& aOperation)
  {
    if (aOperation->maySend_ && !aOperation->maySend_()) {
      Finish(aOperation, HttpError::ConnectFailed);
      return;
    }
    http::async_write(
      aOperation->connection_->stream_,
      aOperation->request_,
      [self = shared_from_this(), aOperation](boost::system::error_code aError, std::size_t) {
        if (aError) {
          self->Finish(aOperation, HttpError::AnswerLost);
          return;
        }
        self->Read(aOperation);
      });
  }

  void Read(const std::shared_ptr<Operation>& aOperation)
  {
    aOperation->parser_.emplace();
    aOperation->parser_->body_limit(aOperation->maxAnswerBytes_);
    http::async_read(
      aOperation->connection_->stream_,
      aOperation->connection_->buffer_,
      *aOperation->parser_,
      [self = shared_from_this(), aOperation](boost::system::error_code aError, std::size_t) {
        if (aError) {
          self->Finish(aOperation, HttpError::AnswerLost);
        } else if (IsInterimStatus(static_cast<int>(aOperation->parser_->Get().result_int()))) {
          self->SkipInterim(aOperation);
        } else {
          self->Complete(aOperation);
        }
      });
  }

  void SkipInterim(const std::shared_ptr<Operation>& aOperation)
  {
    if (++aOperation->interimAnswers_ > kMaxInterimAnswers) {
      Finish(aOperation, HttpError::AnswerLost);
    } else {
      Read(aOperation);
    }
  }

  void Complete(const std::shared_ptr<Operation>& aOperation)
  {
    auto response = aOperation->parser_->Release();
    HttpAnswer answer;
    answer.status_ = static_cast<int>(response.result_int());
    for (const auto& field : response) {
      std::string name(field.name_string());
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char aChar) {
        return static_cast<char>(std::tolower(aChar));
      });
      answer.headers_.emplace_back(std::move(name), std::string(field.value()));
    }
    if (response.keep_alive() && idle_.size() < kMaxIdleConnections) {
      aOperation->connection_->stream_.expires_never();
      aOperation->connection_->lastUsed_ = std::chrono::steady_clock::now();
      idle_.push_back(aOperation->connection_);
    }
    answer.body_ = std::move(response.body());
    auto callback = std::move(aOperation->callback_);
    callback({}, std::move(answer));
  }

  void Finish(const std::shared_ptr<Operation>& aOperation, HttpError aError)
  {
    if (aError == HttpError::AnswerLost) {
      // What made this connection go silent may have hit those that were idle all the time; each of
      // them would cost another timeout.
      std::erase_if(idle_,
                    [&](const auto& aIdle) { return aIdle->lastUsed_ < aOperation->startedAt_; });
    }
    auto callback = std::move(aOperation->callback_);
    callback(aError, {});
  }

  asio::io_context& context_;               ///< Runs the client.
  Endpoint endpoint_;                       ///< Where to connect.
  const std::chrono::milliseconds maxIdle_; ///< Time for which an idle connection is used again.
  std::deque<std::shared_ptr<Connection>> idle_; ///< Open connections without an exchange.
};

JsonClient::JsonClient(asio::io_context& aContext,
                       Endpoint aEndpoint,
                       std::chrono::milliseconds aMaxIdle)
  : impl_(std::make_shared<Impl>(aContext, std::move(aEndpoint), aMaxIdle))
{
}

JsonClient::~JsonClient() = default;

void
JsonClient::Send(HttpExchange aExchange, Callback aCallback)
{
  auto operation = std::make_shared<Impl::Operation>();
  auto& request = operation->request_;
  request.method_string(aExchange.method_);
  request.target(aExchange.target_);
  request.version(11);
  request.set(http::field::host,
              impl_->endpoint_.address_ + ":" + std::to_string(impl_->endpoint_.port_));
  for (const auto& [name, value] : aExchange.headers_) {
    request.set(name, value);
  }
  if (!aExchange.body_.empty()) {
    request.set(http::field::content_type, "application/json");
  }
  request.body() = std::move(aExchange.body_);
  request.prepare_payload();
  operation->timeout_ = aExchange.timeout_;
  operation->maxAnswerBytes_ = aExchange.maxAnswerBytes_;
  operation->maySend_ = std::move(aExchange.maySend_);
  operation->callback_ = std::move(aCallback);
  asio::post(impl_->context_, [impl = impl_, operation] { impl->Start(operation); });
}

} // namespace laburnumweir
