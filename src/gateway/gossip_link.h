/** @file gossip_link.h Datagrams between gateways. */
#ifndef LABURNUMWEIR_GATEWAY_GOSSIP_LINK_H
#define LABURNUMWEIR_GATEWAY_GOSSIP_LINK_H

#include "core/upstream_client_base.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string_view>
#include <system_error>

namespace laburnumweir {

/** Sends datagrams; loss is the sender's business. */
class DatagramSender
{
public:
  virtual ~DatagramSender() = default;
  /** Sends a datagram without waiting. @return whether it was taken. */
  virtual bool Send(const Endpoint& aTo, std::string_view aPayload) = 0;
};

/** A UDP socket. Runs on one thread. */
class GossipLink : public DatagramSender
{
public:
  using Callback = std::function<void(std::string_view aPayload)>;

  /** @param aContext runs the link; must outlive it. @param aCallback receives payloads. */
  GossipLink(boost::asio::io_context& aContext, Callback aCallback);

  /** Binds the socket. @param aEndpoint where to receive. @return why it failed. */
  std::error_code Open(const Endpoint& aEndpoint);
  bool Send(const Endpoint& aTo, std::string_view aPayload) override;
  /** Closes the socket. */
  void Close();

private:
  void Receive();

  /** Largest payload of a UDP datagram. */
  static constexpr std::size_t kMaxPayload = 65507;

  boost::asio::ip::udp::socket socket_;    ///< Socket.
  boost::asio::ip::udp::endpoint from_;    ///< Sender of the datagram being received.
  std::array<char, kMaxPayload> buffer_{}; ///< Datagram being received.
  Callback callback_;                      ///< Receives payloads.
};

} // namespace laburnumweir

#endif
