/** @file peer_router.cpp Sends requests to hosts, this one included, and routes those received. */
#include "control/peer_router.h"

#include "peer/wire.pb.h"

namespace laburnumweir {

namespace {

constexpr std::uint32_t kProtocolVersion = 1;

} // namespace

PeerRouter::PeerRouter(HostId aSelf, Scheduler& aScheduler, PeerTransport& aTransport)
  : self_(std::move(aSelf))
  , scheduler_(aScheduler)
  , transport_(aTransport)
{
  transport_.SetHandler(
    [this](const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond) {
      Serve(aRequest, aRespond);
    });
}

void
PeerRouter::Handle(int aBodyCase, PeerTransport::Handler aHandler)
{
  handlers_[aBodyCase] = std::move(aHandler);
}

void
PeerRouter::Ask(const HostId& aTo,
                wire::Envelope aMessage,
                Duration aTimeout,
                PeerTransport::AnswerCallback aCallback)
{
  Stamp(aMessage);
  if (aTo != self_) {
    transport_.Request(aTo, aMessage, aTimeout, std::move(aCallback));
    return;
  }
  scheduler_.Post([this, message = std::move(aMessage), callback = std::move(aCallback)] {
    Serve(message, [callback](const wire::Envelope& aAnswer) {
      callback(aAnswer.has_unsupported() ? std::error_code(PeerError::Unsupported)
                                         : std::error_code(),
               aAnswer);
    });
  });
}

void
PeerRouter::Serve(const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond)
{
  const auto respond = [this, aRespond](wire::Envelope aAnswer) {
    Stamp(aAnswer);
    aRespond(std::move(aAnswer));
  };
  const auto found = handlers_.find(static_cast<int>(aRequest.body_case()));
  if (found == handlers_.end()) {
    wire::Envelope answer;
    answer.mutable_unsupported();
    respond(std::move(answer));
    return;
  }
  found->second(aRequest, respond);
}

void
PeerRouter::Stamp(wire::Envelope& aMessage) const
{
  aMessage.set_version(kProtocolVersion);
  aMessage.set_sender(self_.Value());
  aMessage.set_incarnation(incarnation_);
  aMessage.set_offset(offset_);
}

} // namespace laburnumweir
