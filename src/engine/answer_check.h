/** @file answer_check.h Checks of the answers of model engines. */
#ifndef LABURNUMWEIR_ENGINE_ANSWER_CHECK_H
#define LABURNUMWEIR_ENGINE_ANSWER_CHECK_H

#include "http/upstream_exchange.h"

#include <memory>

namespace laburnumweir {

/**
 * Makes the check of one answer: X-Request-Id must be echoed, and `model` in the JSON body or in
 * each event must name the adapter. An event stream must end with `data: [DONE]`, which is held
 * back until the HTTP body is complete.
 * @param aId request that must be answered.
 * @param aAdapter adapter that must answer.
 * @param aStream whether an event stream is expected.
 */
std::shared_ptr<AnswerCheck>
MakeEngineAnswerCheck(RequestId aId, const AdapterRef& aAdapter, bool aStream);

} // namespace laburnumweir

#endif
