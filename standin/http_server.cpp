/** @file http_server.cpp Small HTTP server for the stand-ins, with faults on the bytes it sends. */
#include "standin/http_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/url.hpp>
#include <cctype>
#include <charconv>
#include <optional>
#include <sstream>

namespace laburnumweir::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::uint64_t kMaxRequestBytes = 64ULL << 20;

std::string
ToLower(std::string_view aText)
{
  std::string result(aText);
  std::transform(result.begin(), result.end(), result.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return result;
}

Request
MakeRequest(http::request<http::string_body> aMessage)
{
  Request request;
  request.method_ = std::string(aMessage.method_string());
  request.target_ = std::string(aMessage.target());
  if (const auto url = boost::urls::parse_origin_form(request.target_)) {
    request.path_ = url->path();
    for (const auto& segment : url->segments()) {
      request.segments_.push_back(segment);
    }
    for (const auto& parameter : url->params()) {
      request.query_[parameter.key] = parameter.value;
    }
  } else {
    request.path_ = request.target_;
  }
  for (const auto& field : aMessage) {
    request.headers_.emplace_back(ToLower(std::string_view(field.name_string())),
                                  std::string(field.value()));
  }
  request.body_ = std::move(aMessage.body());
  return request;
}

} // namespace

std::string
Request::Header(std::string_view aName) const
{
  for (const auto& [name, value] : headers_) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

std::uint64_t
Request::QueryNumber(const std::string& aName, std::uint64_t aDefault) const
{
  const auto found = query_.find(aName);
  if (found == query_.end()) {
    return aDefault;
  }
  std::uint64_t value = 0;
  const auto& text = found->second;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  return result.ec == std::errc{} && result.ptr == text.data() + text.size() ? value : aDefault;
}

/** One connection; serves its requests in order. */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(tcp::socket aSocket, const HttpServer::Handler& aHandler)
    : socket_(std::move(aSocket))
    , handler_(aHandler)
  {
  }

  void ReadNext()
  {
    parser_.emplace();
    parser_->body_limit(kMaxRequestBytes);
    http::async_read(socket_,
                     buffer_,
                     *parser_,
                     [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                       if (aError) {
                         self->Close(false);
                         return;
                       }
                       self->Dispatch();
                     });
  }

  /** Sends bytes in order. @param aBytes bytes. @param aLast whether they end the answer. */
  void Send(const std::string& aBytes, bool aLast)
  {
    pending_ += aBytes;
    answerEnded_ = answerEnded_ || aLast;
    Flush();
  }

  /** Closes once everything is sent. */
  void CloseAfterFlush()
  {
    closeAfterFlush_ = true;
    Flush();
  }

  /** Closes now. @param aReset with a TCP reset. */
  void Close(bool aReset)
  {
    boost::system::error_code ignored;
    if (aReset) {
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    } else {
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }
    socket_.close(ignored);
    NotifyClosed();
  }

  /** Resets the connection without a call to the handler's side, which may be gone. */
  void Drop()
  {
    if (reply_) {
      reply_->onClosed_ = nullptr;
    }
    Close(true);
  }

  asio::any_io_executor Executor() { return socket_.get_executor(); }

private:
  void Dispatch()
  {
    auto message = parser_->release();
    keepAlive_ = message.keep_alive();
    answerEnded_ = false;
    reply_ = std::make_shared<Reply>(weak_from_this());
    ++generation_;
    Watch();
    handler_(MakeRequest(std::move(message)), reply_);
  }

  /** Notices that the peer closes while the answer is made. */
  void Watch()
  {
    socket_.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(), generation = generation_](boost::system::error_code aError) {
        if (aError || generation != self->generation_ || self->answerEnded_) {
          return;
        }
        char byte = 0;
        boost::system::error_code error;
        self->socket_.non_blocking(true, error);
        const auto count =
          self->socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        if (count == 0 && error != asio::error::would_block) {
          self->Close(false);
        }
      });
  }

  void Flush()
  {
    if (isWriting_ || !socket_.is_open()) {
      return;
    }
    if (pending_.empty()) {
      if (closeAfterFlush_ || (answerEnded_ && !keepAlive_)) {
        Close(false);
      } else if (answerEnded_ && reply_) {
        reply_.reset();
        ReadNext();
      }
      return;
    }
    isWriting_ = true;
    writing_.swap(pending_);
    asio::async_write(socket_,
                      asio::buffer(writing_),
                      [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                        self->isWriting_ = false;
                        self->writing_.clear();
                        if (aError) {
                          self->Close(false);
                          return;
                        }
                        self->Flush();
                      });
  }

  void NotifyClosed()
  {
    const auto reply = std::move(reply_);
    reply_ = nullptr;
    if (!reply) {
      return;
    }
    const auto onClosed = std::move(reply->onClosed_);
    reply->onClosed_ = nullptr;
    if (!reply->isDone_) {
      reply->isDone_ = true;
      if (onClosed) {
        onClosed();
      }
    }
  }

  tcp::socket socket_;                                            ///< The connection.
  HttpServer::Handler handler_;                                   ///< Gets each request.
  beast::flat_buffer buffer_;                                     ///< Bytes read ahead.
  std::optional<http::request_parser<http::string_body>> parser_; ///< Parses a request.
  std::shared_ptr<Reply> reply_;                                  ///< Answer under way.
  std::string pending_;                                           ///< Bytes to send.
  std::string writing_;                                           ///< Bytes being sent.
  bool isWriting_ = false;                                        ///< Whether a write runs.
  bool answerEnded_ = false;                                      ///< Whether the answer is whole.
  bool closeAfterFlush_ = false;                                  ///< Close when all is sent.
  bool keepAlive_ = true;                                         ///< Whether the peer keeps it.
  std::uint64_t generation_ = 0; ///< Counts requests, to ignore waits of earlier ones.
};

Reply::Reply(std::weak_ptr<Connection> aConnection)
  : connection_(std::move(aConnection))
{
}

void
Reply::AddHeader(std::string aName, std::string aValue)
{
  headers_.emplace_back(std::move(aName), std::move(aValue));
}

void
Reply::SetHeader(const std::string& aName, std::string aValue)
{
  std::erase_if(headers_, [&](const auto& aField) { return aField.first == aName; });
  AddHeader(aName, std::move(aValue));
}

std::string
Reply::Head(int aStatus, std::size_t aLength, bool aChunked) const
{
  http::response<http::empty_body> message{ static_cast<http::status>(aStatus), 11 };
  for (const auto& [name, value] : headers_) {
    message.insert(name, value);
  }
  if (aChunked) {
    message.set(http::field::content_type, "text/event-stream");
    message.set(http::field::transfer_encoding, "chunked");
  } else {
    message.set(http::field::content_type, "application/json");
    message.content_length(aLength);
  }
  std::ostringstream text;
  text << message.base();
  return text.str();
}

void
Reply::Send(int aStatus, std::string aBody)
{
  if (isDone_) {
    return;
  }
  if (fault_.kind_ == OutputFault::Kind::Status) {
    aStatus = fault_.status_;
    aBody = R"({"error":{"message":"scripted fault","type":"server_error","code":"fault"}})";
  }
  std::string bytes = Head(aStatus, aBody.size(), false);
  if (fault_.kind_ == OutputFault::Kind::Truncate) {
    EmitNow(bytes + aBody.substr(0, std::min(fault_.bytes_, aBody.size() - !aBody.empty())), false);
    Close();
    return;
  }
  bytes += aBody;
  Emit(bytes, true);
}

void
Reply::StartStream()
{
  if (isDone_) {
    return;
  }
  if (fault_.kind_ == OutputFault::Kind::Status) {
    Send(fault_.status_, {});
    return;
  }
  Emit(Head(200, 0, true), false);
}

void
Reply::Write(std::string aData)
{
  if (isDone_ || aData.empty()) {
    return;
  }
  const bool isCut =
    fault_.kind_ == OutputFault::Kind::Truncate && bodySent_ + aData.size() > fault_.bytes_;
  if (isCut) {
    aData.resize(fault_.bytes_ - bodySent_);
  }
  bodySent_ += aData.size();
  if (!aData.empty()) {
    Emit(beast::buffers_to_string(http::make_chunk(asio::buffer(aData))), false);
  }
  if (isCut) {
    Close();
  }
}

void
Reply::End()
{
  if (!isDone_) {
    Emit(beast::buffers_to_string(http::make_chunk_last()), true);
  }
}

void
Reply::Emit(const std::string& aBytes, bool aLast)
{
  const auto connection = connection_.lock();
  if (!connection) {
    return;
  }
  switch (fault_.kind_) {
    case OutputFault::Kind::Lose:
      Close();
      return;
    case OutputFault::Kind::Swallow:
      isDone_ = isDone_ || aLast;
      return;
    case OutputFault::Kind::InvalidHttp:
      EmitNow("HTPT/9 what 200\r\n\r\n\x01\x02", false);
      Close();
      return;
    case OutputFault::Kind::Duplicate:
      EmitNow(aLast ? aBytes + aBytes : aBytes, aLast);
      return;
    case OutputFault::Kind::Late:
      held_ += aBytes;
      heldIsLast_ = heldIsLast_ || aLast;
      if (!isHolding_) {
        isHolding_ = true;
        auto timer = std::make_shared<asio::steady_timer>(connection->Executor(), fault_.delay_);
        timer->async_wait([self = shared_from_this(), timer](boost::system::error_code aError) {
          if (!aError) {
            self->fault_ = {};
            self->EmitNow(self->held_, self->heldIsLast_);
          }
        });
      }
      return;
    default:
      EmitNow(aBytes, aLast);
  }
}

void
Reply::EmitNow(const std::string& aBytes, bool aLast)
{
  if (const auto connection = connection_.lock()) {
    isDone_ = isDone_ || aLast;
    connection->Send(aBytes, aLast);
  }
}

void
Reply::Close()
{
  isDone_ = true;
  if (const auto connection = connection_.lock()) {
    connection->CloseAfterFlush();
  }
}

void
Reply::Reset()
{
  isDone_ = true;
  if (const auto connection = connection_.lock()) {
    connection->Close(true);
  }
}

void
Reply::Abandon()
{
  fault_ = { .kind_ = OutputFault::Kind::Swallow };
}

void
Reply::OnClosed(std::function<void()> aCallback)
{
  onClosed_ = std::move(aCallback);
}

void
Reply::SetFault(OutputFault aFault)
{
  fault_ = aFault;
}

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
  Impl(asio::io_context& aContext, Handler aHandler)
    : acceptor_(aContext)
    , handler_(std::move(aHandler))
  {
  }

  void Open()
  {
    acceptor_.open(endpoint_.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint_);
    acceptor_.listen();
    endpoint_ = acceptor_.local_endpoint();
    Accept();
  }

  void Accept()
  {
    acceptor_.async_accept(
      [self = shared_from_this()](boost::system::error_code aError, tcp::socket aSocket) {
        if (aError == asio::error::operation_aborted || !self->acceptor_.is_open()) {
          return;
        }
        if (!aError) {
          self->Serve(std::move(aSocket));
        }
        self->Accept();
      });
  }

  void Serve(tcp::socket aSocket)
  {
    boost::system::error_code ignored;
    aSocket.set_option(tcp::no_delay(true), ignored);
    ++accepted_;
    const auto connection = std::make_shared<Connection>(std::move(aSocket), handler_);
    std::erase_if(connections_, [](const auto& aItem) { return aItem.expired(); });
    connections_.push_back(connection);
    connection->ReadNext();
  }

  /** @param aIsEnd whether the owner of the handler is being destroyed. */
  void Close(bool aIsEnd)
  {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    const auto connections = std::move(connections_);
    connections_.clear();
    for (const auto& item : connections) {
      if (const auto connection = item.lock()) {
        if (aIsEnd) {
          connection->Drop();
        } else {
          connection->Close(true);
        }
      }
    }
  }

  tcp::acceptor acceptor_;                             ///< Listens.
  tcp::endpoint endpoint_;                             ///< Where it listens.
  Handler handler_;                                    ///< Gets each request.
  std::vector<std::weak_ptr<Connection>> connections_; ///< Open connections.
  std::uint64_t accepted_ = 0;                         ///< Connections accepted.
};

HttpServer::HttpServer(asio::io_context& aContext, Handler aHandler)
  : impl_(std::make_shared<Impl>(aContext, std::move(aHandler)))
{
}

HttpServer::~HttpServer()
{
  impl_->Close(true);
}

std::uint16_t
HttpServer::Listen(const std::string& aAddress, std::uint16_t aPort)
{
  impl_->endpoint_ = tcp::endpoint(asio::ip::make_address(aAddress), aPort);
  impl_->Open();
  return Port();
}

void
HttpServer::TakeDown()
{
  impl_->Close(false);
}

void
HttpServer::BringUp()
{
  if (!impl_->acceptor_.is_open()) {
    impl_->Open();
  }
}

std::uint16_t
HttpServer::Port() const
{
  return impl_->endpoint_.port();
}

std::uint64_t
HttpServer::AcceptedConnections() const
{
  return impl_->accepted_;
}

} // namespace laburnumweir::standin
