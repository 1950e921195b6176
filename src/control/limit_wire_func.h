/** @file limit_wire_func.h Token messages to and from the wire. */
#ifndef LABURNUMWEIR_CONTROL_LIMIT_WIRE_FUNC_H
#define LABURNUMWEIR_CONTROL_LIMIT_WIRE_FUNC_H

#include "limits/limit_message_type.h"
#include "peer/wire.pb.h"

namespace laburnumweir {

/** @param aRequest a holder's request. @return the envelope; the sender stands in its head. */
wire::Envelope
ToWire(const GrantRequest& aRequest);
/** @param aEnvelope envelope with a token request. @return the request. */
GrantRequest
GrantRequestFromWire(const wire::Envelope& aEnvelope);
/** @param aAnswer an owner's answer. @return the envelope. */
wire::Envelope
ToWire(const GrantAnswer& aAnswer);
/**
 * @param aEnvelope envelope with a token answer.
 * @param aRequest the request that it answers.
 * @return the answer.
 */
GrantAnswer
GrantAnswerFromWire(const wire::Envelope& aEnvelope, const GrantRequest& aRequest);

} // namespace laburnumweir

#endif
