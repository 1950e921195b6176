/** @file control_port.h Requests to other hosts from the strand of the request pipeline. */
#ifndef LABURNUMWEIR_PIPELINE_CONTROL_PORT_H
#define LABURNUMWEIR_PIPELINE_CONTROL_PORT_H

#include "core/scheduler_base.h"
#include "peer/peer_transport_base.h"

namespace laburnumweir {

class PeerRouter;

/** Sends requests to hosts and brings the answers back to the pipeline's strand. */
class ControlPort
{
public:
  virtual ~ControlPort() = default;
  /**
   * Sends a request.
   * @param aTo receiver; may be this host.
   * @param aMessage the request.
   * @param aTimeout longest wait.
   * @param aCallback receives the answer, or an error, on the pipeline's strand.
   */
  virtual void Ask(const HostId& aTo,
                   wire::Envelope aMessage,
                   Duration aTimeout,
                   PeerTransport::AnswerCallback aCallback) = 0;
};

/** Port that hands requests over to the router on the control thread. */
class RouterPort : public ControlPort
{
public:
  /**
   * @param aRouter router, used on the control thread only.
   * @param aControl control thread.
   * @param aPipeline strand of the pipeline.
   */
  RouterPort(PeerRouter& aRouter, Scheduler& aControl, Scheduler& aPipeline);

  void Ask(const HostId& aTo,
           wire::Envelope aMessage,
           Duration aTimeout,
           PeerTransport::AnswerCallback aCallback) override;

private:
  PeerRouter& router_;  ///< Router on the control thread.
  Scheduler& control_;  ///< Control thread.
  Scheduler& pipeline_; ///< Strand of the pipeline.
};

} // namespace laburnumweir

#endif
