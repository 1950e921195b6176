/** @file peer_router.h Sends requests to hosts, this one included, and routes those received. */
#ifndef LABURNUMWEIR_CONTROL_PEER_ROUTER_H
#define LABURNUMWEIR_CONTROL_PEER_ROUTER_H

#include "core/scheduler_base.h"
#include "peer/peer_transport_base.h"
#include "state/config_record_type.h"

#include <functional>
#include <map>

namespace laburnumweir {

/**
 * Requests between hosts. A request to this host itself takes the same way without the transport,
 * so that owners need no second path for local requests. Used on the control thread only.
 */
class PeerRouter
{
public:
  /**
   * @param aSelf this host.
   * @param aScheduler control thread.
   * @param aTransport messages to other hosts.
   */
  PeerRouter(HostId aSelf, Scheduler& aScheduler, PeerTransport& aTransport);

  /** Sets the incarnation that messages carry. */
  void SetIncarnation(Incarnation aIncarnation) { incarnation_ = aIncarnation; }
  /** Sets the folded offset that messages carry. */
  void SetOffset(LogOffset aOffset) { offset_ = aOffset; }
  /**
   * Sets who answers a kind of request.
   * @param aBodyCase wire::Envelope::BodyCase of the request.
   * @param aHandler answers it.
   */
  void Handle(int aBodyCase, PeerTransport::Handler aHandler);
  /**
   * Sends a request.
   * @param aTo receiver; may be this host.
   * @param aMessage the request; sender fields are filled in.
   * @param aTimeout longest wait.
   * @param aCallback receives the answer, or an error.
   */
  void Ask(const HostId& aTo,
           wire::Envelope aMessage,
           Duration aTimeout,
           PeerTransport::AnswerCallback aCallback);
  /** @return this host. */
  const HostId& Self() const { return self_; }
  /** @return the transport. */
  PeerTransport& Transport() { return transport_; }

private:
  void Serve(const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond);
  void Stamp(wire::Envelope& aMessage) const;

  HostId self_;                                    ///< This host.
  Scheduler& scheduler_;                           ///< Control thread.
  PeerTransport& transport_;                       ///< Messages to other hosts.
  Incarnation incarnation_ = 0;                    ///< Incarnation of this host.
  LogOffset offset_ = 0;                           ///< One past the last folded offset.
  std::map<int, PeerTransport::Handler> handlers_; ///< By body case.
};

} // namespace laburnumweir

#endif
