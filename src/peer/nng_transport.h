/** @file nng_transport.h Messages between hosts over nng request/reply sockets. */
#ifndef LABURNUMWEIR_PEER_NNG_TRANSPORT_H
#define LABURNUMWEIR_PEER_NNG_TRANSPORT_H

#include "peer/peer_transport_base.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace laburnumweir {

/** Peer transport over nng. nng's threads only post to the control thread. */
class NngTransport : public PeerTransport
{
public:
  /**
   * Opens the listening socket.
   * @param aControl context of the control thread; callbacks run there.
   * @param aListen address to listen at; port 0 takes any.
   * @throws std::system_error if the address cannot be used.
   */
  NngTransport(boost::asio::io_context& aControl, const Endpoint& aListen);
  ~NngTransport() override;
  NngTransport(const NngTransport&) = delete;
  NngTransport& operator=(const NngTransport&) = delete;

  void SetHandler(Handler aHandler) override;
  void SetPeer(const HostId& aPeer, const Endpoint& aEndpoint) override;
  void RemovePeer(const HostId& aPeer) override;
  void Request(const HostId& aPeer,
               const wire::Envelope& aMessage,
               Duration aTimeout,
               AnswerCallback aCallback) override;
  PeerState State(const HostId& aPeer) const override;

  /** @return the port that the socket listens at. */
  std::uint16_t ListenPort() const;
  /** @return bytes of messages sent and received since the start, without transport headers. */
  std::uint64_t MessageBytes() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_; ///< Sockets and state.
};

} // namespace laburnumweir

#endif
