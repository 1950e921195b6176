/** @file drain_const.h Times within the grace period of a host that stops. */
#ifndef LABURNUMWEIR_TABLE_DRAIN_CONST_H
#define LABURNUMWEIR_TABLE_DRAIN_CONST_H

#include "core/clock_base.h"

#include <chrono>

namespace laburnumweir {

/** The balancer needs two failed checks, one second apart, to take a host out of service. */
constexpr Duration kDrainNoticeTime = std::chrono::milliseconds(2500);
/**
 * Time before the end of the grace period at which requests without an answer are answered. Until
 * then, streams that have begun may go on, and so may answers that are being sent.
 */
constexpr Duration kEndAnswersMargin = std::chrono::milliseconds(700);
/** Time at the end of the grace period that is reserved to close the remaining connections. */
constexpr Duration kStopMargin = std::chrono::milliseconds(400);
/** Time from the deadline of a request until its answer is on the way. */
constexpr Duration kAnswerMargin = std::chrono::milliseconds(200);

} // namespace laburnumweir

#endif
