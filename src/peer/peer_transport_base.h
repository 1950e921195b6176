/** @file peer_transport_base.h Interface for messages between hosts. */
#ifndef LABURNUMWEIR_PEER_PEER_TRANSPORT_BASE_H
#define LABURNUMWEIR_PEER_PEER_TRANSPORT_BASE_H

#include "core/clock_base.h"
#include "core/id_type.h"
#include "core/upstream_client_base.h"

#include <functional>
#include <system_error>

namespace laburnumweir {

namespace wire {
class Envelope;
}

/** Errors of the peer transport. */
enum class PeerError
{
  UnknownPeer = 1, ///< No address is known for the host.
  Timeout,         ///< No answer in time; the peer may have acted on the message.
  Closed,          ///< The transport was closed.
  InvalidAnswer,   ///< The answer could not be decoded.
  Unsupported,     ///< The peer's release does not know the message.
};

/** @return the category of PeerError. */
const std::error_category&
PeerCategory();
/** @return the error as a std::error_code. */
std::error_code
make_error_code(PeerError aError);

/** State of the connection to a peer. */
enum class PeerState
{
  Dialing,   ///< No connection yet.
  Connected, ///< A connection is open.
  Silent,    ///< The connection is open but an answer did not come in time; it is replaced.
};

/**
 * Request and answer messages between hosts. Calls and callbacks run on the control thread. A
 * message may reach the peer more than once, for example when a connection breaks after it was
 * sent.
 */
class PeerTransport
{
public:
  using AnswerCallback = std::function<void(std::error_code, const wire::Envelope&)>;
  using Responder = std::function<void(wire::Envelope)>;
  using Handler = std::function<void(const wire::Envelope&, Responder)>;

  virtual ~PeerTransport() = default;
  /** Sets who answers requests of peers. @param aHandler called for each request. */
  virtual void SetHandler(Handler aHandler) = 0;
  /** Adds a peer or changes its address. @param aPeer the host. @param aEndpoint its address. */
  virtual void SetPeer(const HostId& aPeer, const Endpoint& aEndpoint) = 0;
  /** Forgets a peer. @param aPeer the host. */
  virtual void RemovePeer(const HostId& aPeer) = 0;
  /**
   * Sends a request.
   * @param aPeer the host.
   * @param aMessage the request.
   * @param aTimeout longest wait for the answer.
   * @param aCallback receives the answer, or an error.
   */
  virtual void Request(const HostId& aPeer,
                       const wire::Envelope& aMessage,
                       Duration aTimeout,
                       AnswerCallback aCallback) = 0;
  /** @param aPeer the host. @return the state of the connection to it. */
  virtual PeerState State(const HostId& aPeer) const = 0;
};

} // namespace laburnumweir

template<>
struct std::is_error_code_enum<laburnumweir::PeerError> : std::true_type
{
};

#endif
