/** @file class_order_func.h Class order and deadlines at a wall-clock time. */
#ifndef LABURNUMWEIR_RULES_CLASS_ORDER_FUNC_H
#define LABURNUMWEIR_RULES_CLASS_ORDER_FUNC_H

#include "rules/rule_type.h"

#include <optional>
#include <string>
#include <vector>

namespace laburnumweir {

/**
 * @param aName IANA name of a time zone.
 * @return whether the time zone database of this host knows it.
 */
bool
IsKnownZone(const std::string& aName);

/**
 * Determines the class order in force.
 * @param aRules the rules.
 * @param aTime time to look at.
 * @return classes, first served first; classes that the order does not name follow by name.
 */
std::vector<ClassId>
ClassOrderAt(const RuleSet& aRules, WallTime aTime);

/**
 * Determines the next deadline of a class. On a day on which the clocks skip the deadline's minute
 * it is the moment of the skip; where the minute occurs twice it is the first occurrence.
 * @param aClass the class.
 * @param aTime time to look at.
 * @return the first deadline at or after the time, or nothing if the class has none.
 */
std::optional<WallTime>
NextDeadline(const ClassRule& aClass, WallTime aTime);

/**
 * Tells whether two orders with hours can hold at the same moment, on any day until 2037 if their
 * zones differ.
 * @param aFirst an order with hours in a known zone.
 * @param aSecond another one.
 * @return whether they overlap.
 */
bool
OrdersOverlap(const OrderRule& aFirst, const OrderRule& aSecond);

} // namespace laburnumweir

#endif
