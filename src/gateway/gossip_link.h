/** @file gossip_link.h UDP socket for gossip between gateways. */
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

/** Sends datagrams without acknowledgement or retransmission; the sender must tolerate loss. */
class DatagramSender
{
public:
  virtual ~DatagramSender() = default;
  /** Sends a datagram without blocking. @return whether the kernel accepted it. */
  virtual bool Send(const Endpoint& aTo, std::string_view aPayload) = 0;
};

/** A UDP socket that sends and receives gossip. Not thread-safe. */
class GossipLink : public DatagramSender
{
public:
  using Callback = std::function<void(std::string_view aPayload)>;

  /** @param aContext must outlive the link. @param aCallback called with each received payload. */
  GossipLink(boost::asio::io_context& aContext, Callback aCallback);

  /**
   * Binds the socket and starts to receive.
   * @return error of the first socket operation that failed; no error on success.
   */
  std::error_code Open(const Endpoint& aEndpoint);
  bool Send(const Endpoint& aTo, std::string_view aPayload) override;
  void Close();

private:
  void Receive();

  /** Maximum payload of a UDP datagram over IPv4 in bytes. */
  static constexpr std::size_t kMaxPayload = 65507;

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint from_;    ///< Sender of the datagram being received.
  std::array<char, kMaxPayload> buffer_{}; ///< Datagram being received.
  Callback callback_;
};

} // namespace laburnumweir

#endif
