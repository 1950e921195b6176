/** @file gossip_link.cpp UDP socket for gossip between gateways. */
#include "gateway/gossip_link.h"

#include "logging/logging_func.h"

namespace laburnumweir {

namespace asio = boost::asio;
using asio::ip::udp;
using BoostError = boost::system::error_code;

GossipLink::GossipLink(asio::io_context& aContext, Callback aCallback)
  : socket_(aContext)
  , callback_(std::move(aCallback))
{
}

std::error_code
GossipLink::Open(const Endpoint& aEndpoint)
{
  BoostError error;
  const udp::endpoint endpoint(asio::ip::make_address(aEndpoint.address_, error), aEndpoint.port_);
  if (!error) {
    socket_.open(endpoint.protocol(), error);
  }
  if (!error) {
    socket_.bind(endpoint, error);
  }
  if (!error) {
    socket_.non_blocking(true, error);
  }
  if (error) {
    return error;
  }
  Receive();
  return {};
}

void
GossipLink::Receive()
{
  socket_.async_receive_from(
    asio::buffer(buffer_), from_, [this](BoostError aError, std::size_t aBytes) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      // Other errors report that a datagram sent earlier was not delivered, so receiving continues.
      if (!aError) {
        callback_(std::string_view(buffer_.data(), aBytes));
      }
      Receive();
    });
}

bool
GossipLink::Send(const Endpoint& aTo, std::string_view aPayload)
{
  BoostError error;
  const auto address = asio::ip::make_address(aTo.address_, error);
  if (!error) {
    socket_.send_to(
      asio::buffer(aPayload.data(), aPayload.size()), udp::endpoint(address, aTo.port_), 0, error);
  }
  if (error) {
    LogEvent(LogLevel::Debug, "gossip_not_sent", { { "error", error.message() } });
  }
  return !error;
}

void
GossipLink::Close()
{
  BoostError ignored;
  socket_.close(ignored);
}

} // namespace laburnumweir
