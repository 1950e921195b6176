/** @file once_wire_func.h At-most-once messages to and from the wire. */
#ifndef LABURNUMWEIR_CONTROL_ONCE_WIRE_FUNC_H
#define LABURNUMWEIR_CONTROL_ONCE_WIRE_FUNC_H

#include "once/once_type.h"
#include "peer/wire.pb.h"

namespace laburnumweir {

/** @param aBegin a host's request. @return the envelope. */
wire::Envelope
ToWire(const OnceBegin& aBegin);
/** @param aBody body of an envelope. @return the request. */
OnceBegin
FromWire(const wire::OnceBegin& aBody);
/** @param aReport how an attempt ended. @return the envelope. */
wire::Envelope
ToWire(const OnceReport& aReport);
/** @param aBody body of an envelope. @return the report. */
OnceReport
FromWire(const wire::OnceReport& aBody);
/** @param aAnswer a reader's answer. @return the envelope. */
wire::Envelope
ToWire(const OnceAnswer& aAnswer);
/**
 * @param aBody body of an envelope.
 * @param aBegin the request that it answers.
 * @return the answer.
 */
OnceAnswer
FromWire(const wire::OnceAnswer& aBody, const OnceBegin& aBegin);

} // namespace laburnumweir

#endif
