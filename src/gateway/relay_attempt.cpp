/** @file relay_attempt.cpp Asks other hosts for a connection to an upstream. */
#include "gateway/relay_attempt.h"

#include "http/message_parser.h"
#include "http/socket_option_func.h"
#include "table/relay_const.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>

namespace laburnumweir {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using BoostError = boost::system::error_code;

void
detail::TimedConnectAttempt::Report(BoostError aError,
                                    std::unique_ptr<OpenedConnection> aConnection)
{
  if (const auto callback = std::exchange(callback_, nullptr)) {
    callback(aError, std::move(aConnection));
  }
}

struct RelayAttempt::Query
{
  Query(asio::io_context& aContext, HostId aHost)
    : host_(std::move(aHost))
    , socket_(aContext)
  {
  }
  const HostId host_;
  tcp::socket socket_;
  std::string head_;                                      ///< Request to the host.
  boost::beast::flat_buffer buffer_{ kRelayBufferBytes }; ///< Received and not parsed.
  AnswerParser answer_;
};

void
RelayAttempt::Start()
{
  if (IsOver()) {
    return;
  }
  const auto host = tried_.size() < kMaxRelayTries ? context_.hosts_.Choose(tried_) : std::nullopt;
  if (!host) {
    Fail(asio::error::network_unreachable);
    return;
  }
  tried_.insert(host->id_);
  const auto query = query_ = std::make_shared<Query>(context_.context_, host->id_);
  timer_.expires_after(kRelayTimeout);
  timer_.async_wait([weak = weak_from_this(), query](BoostError aError) {
    if (const auto self = weak.lock(); self && !aError) {
      self->OnRefused(query);
    }
  });
  BoostError error;
  const auto address = asio::ip::make_address(host->gossip_.address_, error);
  if (error) {
    asio::post(context_.context_, [self = shared_from_this(), query] { self->OnRefused(query); });
    return;
  }
  query->socket_.async_connect(tcp::endpoint(address, context_.port_),
                               [self = shared_from_this(), query](BoostError aError) {
                                 if (aError) {
                                   self->OnRefused(query);
                                 } else {
                                   self->SendHead(query);
                                 }
                               });
}

void
RelayAttempt::Cancel()
{
  Drop();
  Close();
}

void
RelayAttempt::SendHead(const QueryPointer& aQuery)
{
  if (IsPast(aQuery)) {
    return;
  }
  SetLivenessOptions(aQuery->socket_);
  const std::string address = endpoint_.address_ + ":" + std::to_string(endpoint_.port_);
  aQuery->head_ = "CONNECT " + address + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
  asio::async_write(aQuery->socket_,
                    asio::buffer(aQuery->head_),
                    [self = shared_from_this(), aQuery](BoostError aError, std::size_t) {
                      if (aError) {
                        self->OnRefused(aQuery);
                      }
                    });
  http::async_read_header(aQuery->socket_,
                          aQuery->buffer_,
                          aQuery->answer_,
                          [self = shared_from_this(), aQuery](BoostError aError, std::size_t) {
                            if (aError) {
                              self->OnRefused(aQuery);
                            } else {
                              self->OnHead(aQuery);
                            }
                          });
}

void
RelayAttempt::OnHead(const QueryPointer& aQuery)
{
  if (IsPast(aQuery)) {
    return;
  }
  switch (aQuery->answer_.Get().result()) {
    case http::status::ok: {
      timer_.cancel();
      context_.hosts_.OnRelayed(aQuery->host_);
      auto connection = std::make_unique<OpenedConnection>(
        OpenedConnection{ std::move(aQuery->socket_), {}, true });
      // Bytes after the head are those of the upstream.
      const auto rest = aQuery->buffer_.data();
      auto& buffer = connection->buffer_;
      buffer.commit(asio::buffer_copy(buffer.prepare(rest.size()), rest));
      Report({}, std::move(connection));
      break;
    }
    case http::status::bad_gateway:
      if (++failures_ >= kMinRelayFailures) {
        Fail(asio::error::host_unreachable);
      } else {
        Next();
      }
      break;
    case http::status::forbidden:
      Next(); // the host has not read the entry of the upstream yet
      break;
    default:
      OnRefused(aQuery);
  }
}

void
RelayAttempt::OnRefused(const QueryPointer& aQuery)
{
  if (!IsPast(aQuery)) {
    context_.hosts_.OnRefused(aQuery->host_);
    Next();
  }
}

void
RelayAttempt::Next()
{
  Close();
  Start();
}

void
RelayAttempt::Fail(BoostError aError)
{
  Close();
  Report(failures_ > 0 ? BoostError(asio::error::host_unreachable) : aError, nullptr);
}

void
RelayAttempt::Close()
{
  timer_.cancel();
  if (const auto query = std::exchange(query_, nullptr)) {
    BoostError ignored;
    query->socket_.close(ignored);
  }
}

} // namespace laburnumweir
