/** @file control_port.cpp Requests to other hosts from the strand of the request pipeline. */
#include "pipeline/control_port.h"

#include "control/peer_router.h"
#include "peer/wire.pb.h"

namespace laburnumweir {

RouterPort::RouterPort(PeerRouter& aRouter, Scheduler& aControl, Scheduler& aPipeline)
  : router_(aRouter)
  , control_(aControl)
  , pipeline_(aPipeline)
{
}

void
RouterPort::Ask(const HostId& aTo,
                wire::Envelope aMessage,
                Duration aTimeout,
                PeerTransport::AnswerCallback aCallback)
{
  auto message = std::make_shared<wire::Envelope>(std::move(aMessage));
  control_.Post([this, aTo, message, aTimeout, callback = std::move(aCallback)] {
    router_.Ask(aTo,
                std::move(*message),
                aTimeout,
                [this, callback](std::error_code aError, const wire::Envelope& aAnswer) {
                  auto answer = std::make_shared<wire::Envelope>(aAnswer);
                  pipeline_.Post([callback, aError, answer] { callback(aError, *answer); });
                });
  });
}

} // namespace laburnumweir
