/** @file overload_const.h Constants of the order of service while requests exceed the capacity. */
#ifndef LABURNUMWEIR_TABLE_OVERLOAD_CONST_H
#define LABURNUMWEIR_TABLE_OVERLOAD_CONST_H

#include "core/clock_base.h"

#include <chrono>

namespace laburnumweir {

/**
 * Fraction of the target latency by which a request with little work may overtake an earlier one of
 * its kind, so that a large request waits little longer than in order of arrival. With 0.25, the
 * largest tenth of a kind was served 0.62 times as often as the kind at twice the capacity; with
 * 0.1, at least 0.73 times, for 0.5% less worth. See docs/design/overload-policy.md.
 */
constexpr double kOvertakeFraction = 0.1;
/** Part of the worth of a request that does not depend on its work; the rest is proportional. */
constexpr double kFixedWorth = 0.3;
/** Fraction of the target latency by which a start must be earlier than needed to count as in time,
 * for the delay between the estimate and the start. */
constexpr double kTargetMargin = 0.125;
/** Weight of a new measurement in the mean time from the start of a request to its answer. */
constexpr double kAnswerTimeWeight = 0.1;
/** Minimum rate at which late requests are assumed to start, per second; as one start in the window
 * over which starts are counted. */
constexpr double kMinLateRate = 0.5;
/** Output tokens take about ten times the work of prompt tokens. */
constexpr double kOutputTokenWork = 10;

} // namespace laburnumweir

#endif
