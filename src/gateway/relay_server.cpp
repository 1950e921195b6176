/** @file relay_server.cpp Relays connections of other hosts to upstreams. */
#include "gateway/relay_server.h"

#include "http/listen_func.h"
#include "http/message_parser.h"
#include "http/socket_option_func.h"
#include "logging/logging_func.h"
#include "table/relay_const.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <optional>
#include <string>

namespace laburnumweir {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using BoostError = boost::system::error_code;

namespace {

/** @return the address in the target of a request for a relayed connection; none if it has none. */
std::optional<Endpoint>
ParseTarget(std::string_view aTarget)
{
  const auto colon = aTarget.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Endpoint endpoint{ std::string(aTarget.substr(0, colon)), 0 };
  const auto* end = aTarget.data() + aTarget.size();
  const auto [position, error] = std::from_chars(aTarget.data() + colon + 1, end, endpoint.port_);
  if (error != std::errc() || position != end) {
    return std::nullopt;
  }
  return endpoint;
}

} // namespace

/** A connection of another host and the one to the upstream that it named. */
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection>
{
public:
  RelayedConnection(RelayServer& aServer, tcp::socket aSocket)
    : server_(aServer)
    , timer_(aServer.context_.context_)
    , host_{ std::move(aSocket), {} }
    , lastByte_(aServer.context_.clock_.Now())
  {
  }

  void Start()
  {
    SetLivenessOptions(host_.socket_);
    CloseAfter(kRelayHeadTimeout);
    http::async_read_header(host_.socket_,
                            buffer_,
                            request_.emplace(),
                            [self = shared_from_this()](BoostError aError, std::size_t) {
                              if (self->isOpen_) {
                                self->OnHead(aError);
                              }
                            });
  }

  /** Closes both connections so that neither side takes what it has received for complete. */
  void Close()
  {
    if (!std::exchange(isOpen_, false)) {
      return;
    }
    const auto self = shared_from_this();
    timer_.cancel();
    if (connecting_) {
      std::exchange(connecting_, nullptr)->Cancel();
    }
    BoostError ignored;
    for (auto* side : { &host_, upstream_ ? &*upstream_ : nullptr }) {
      if (side != nullptr) {
        side->socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        side->socket_.close(ignored);
      }
    }
    server_.connections_.erase(self);
  }

  TimePoint LastByte() const { return lastByte_; }

private:
  struct Side
  {
    tcp::socket socket_;
    std::array<char, kRelayBufferBytes> bytes_; ///< Received and not yet passed on.
  };

  void CloseAfter(Duration aTime)
  {
    timer_.expires_after(aTime);
    timer_.async_wait([weak = weak_from_this()](BoostError aError) {
      if (const auto self = weak.lock(); self && !aError) {
        self->Close();
      }
    });
  }

  void OnHead(BoostError aError)
  {
    const auto request = std::exchange(request_, std::nullopt);
    const auto received = buffer_.size();
    buffer_ = {};
    if (aError && aError.category() != make_error_code(http::error::bad_method).category()) {
      Close();
      return;
    }
    // The relayed connection begins with the answer, so bytes behind the head have no place in it.
    const bool isSound = !aError && request->is_done() && received == 0 &&
                         request->Get().method() == http::verb::connect;
    const auto endpoint = isSound ? ParseTarget(request->Get().target()) : std::nullopt;
    const auto& context = server_.context_;
    const bool isFull = server_.connections_.size() > context.maxConnections_;
    if (!endpoint || !context.isUpstream_(*endpoint)) {
      Refuse("403 Forbidden");
    } else if (server_.isDraining_ || isFull || !context.mayRelay_()) {
      Refuse("503 Service Unavailable");
    } else {
      Connect(*endpoint);
    }
  }

  void Connect(const Endpoint& aEndpoint)
  {
    timer_.expires_after(kRelayConnectTimeout);
    timer_.async_wait([weak = weak_from_this()](BoostError aError) {
      if (const auto self = weak.lock(); self && !aError && self->connecting_) {
        std::exchange(self->connecting_, nullptr)->Cancel();
        self->Refuse("502 Bad Gateway");
      }
    });
    connecting_ = server_.context_.direct_.Connect(
      aEndpoint,
      [self = shared_from_this()](BoostError aError,
                                  std::unique_ptr<OpenedConnection> aConnection) {
        self->connecting_.reset();
        if (!self->isOpen_) {
          return;
        }
        self->timer_.cancel();
        if (aError) {
          self->Refuse("502 Bad Gateway");
          return;
        }
        self->upstream_.emplace(Side{ std::move(aConnection->socket_), {} });
        self->Answer("200 Connected", [self] {
          self->Pass(self->host_, *self->upstream_);
          self->Pass(*self->upstream_, self->host_);
        });
      });
  }

  void Answer(std::string_view aStatus, std::function<void()> aThen)
  {
    answer_ = "HTTP/1.1 " + std::string(aStatus) + "\r\n\r\n";
    asio::async_write(
      host_.socket_,
      asio::buffer(answer_),
      [self = shared_from_this(), then = std::move(aThen)](BoostError aError, std::size_t) {
        if (aError) {
          self->Close();
        } else if (self->isOpen_) {
          then();
        }
      });
  }

  void Refuse(std::string_view aStatus)
  {
    Answer(aStatus, [self = shared_from_this()] { self->EndOutput(); });
  }

  /** Lets the host receive what was sent to it, and the end of the connection. */
  void EndOutput()
  {
    BoostError ignored;
    host_.socket_.shutdown(tcp::socket::shutdown_send, ignored);
    CloseAfter(kRelayHeadTimeout);
  }

  /** Passes on bytes in one direction until its end. */
  void Pass(Side& aFrom, Side& aTo)
  {
    aFrom.socket_.async_read_some(
      asio::buffer(aFrom.bytes_),
      [self = shared_from_this(), &aFrom, &aTo](BoostError aError, std::size_t aBytes) {
        if (!self->isOpen_) {
          return;
        }
        if (aError) {
          // Hosts never end only their output. An upstream may end its answer with the connection.
          if (aError == asio::error::eof && &aFrom != &self->host_) {
            self->EndOutput();
          } else {
            self->Close();
          }
          return;
        }
        self->lastByte_ = self->server_.context_.clock_.Now();
        asio::async_write(aTo.socket_,
                          asio::buffer(aFrom.bytes_.data(), aBytes),
                          [self, &aFrom, &aTo](BoostError aWriteError, std::size_t) {
                            if (aWriteError) {
                              self->Close();
                            } else if (self->isOpen_) {
                              self->Pass(aFrom, aTo);
                            }
                          });
      });
  }

  RelayServer& server_;
  asio::steady_timer timer_;
  Side host_;
  std::optional<Side> upstream_;               ///< Empty until it is connected.
  std::shared_ptr<ConnectAttempt> connecting_; ///< Empty unless upstream_ is being connected.
  boost::beast::flat_buffer buffer_{ kMaxRelayHeadBytes }; ///< Received head of the request.
  std::optional<RequestParser> request_; ///< Request of the host; empty once it is read.
  std::string answer_;                   ///< Answer to the request.
  TimePoint lastByte_;                   ///< When bytes were last received.
  bool isOpen_ = true;
};

RelayServer::RelayServer(RelayServerContext aContext)
  : context_(std::move(aContext))
  , acceptor_(context_.context_)
  , acceptTimer_(context_.context_)
{
}

RelayServer::~RelayServer()
{
  Stop();
}

std::error_code
RelayServer::Listen(const Endpoint& aEndpoint)
{
  if (const auto error = OpenListener(acceptor_, aEndpoint)) {
    return error;
  }
  Accept();
  return {};
}

void
RelayServer::Accept()
{
  acceptor_.async_accept([this](BoostError aError, tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      // It fails for as long as no descriptor is free.
      acceptTimer_.expires_after(kRelayAcceptDelay);
      acceptTimer_.async_wait([this](BoostError aTimerError) {
        if (!aTimerError) {
          Accept();
        }
      });
      return;
    }
    const auto connection = std::make_shared<RelayedConnection>(*this, std::move(aSocket));
    connections_.insert(connection);
    connection->Start();
    Accept();
  });
}

void
RelayServer::Stop()
{
  BoostError ignored;
  acceptor_.close(ignored);
  acceptTimer_.cancel();
  while (!connections_.empty()) {
    const auto connection = *connections_.begin();
    connection->Close();
  }
}

bool
RelayServer::IsBusy() const
{
  const auto oldest = context_.clock_.Now() - kRelayQuietTime;
  return std::any_of(connections_.begin(), connections_.end(), [&](const auto& aConnection) {
    return aConnection->LastByte() >= oldest;
  });
}

} // namespace laburnumweir
