/** @file class_order.cpp Class order and deadlines at a wall-clock time. */
#include "rules/class_order_func.h"

#include <algorithm>
#include <date/tz.h>
#include <stdexcept>

namespace laburnumweir {

namespace {

using std::chrono::minutes;

constexpr minutes kDay{ 24 * 60 };

const date::time_zone*
FindZone(const std::string& aName)
{
  try {
    return date::locate_zone(aName);
  } catch (const std::runtime_error&) {
    return nullptr;
  }
}

bool
CoversMinute(const OrderRule& aRule, minutes aMinute)
{
  if (aRule.from_ < aRule.to_) {
    return aRule.from_ <= aMinute && aMinute < aRule.to_;
  }
  return aRule.from_ <= aMinute || aMinute < aRule.to_;
}

bool
CoversTime(const OrderRule& aRule, WallTime aTime)
{
  const date::time_zone* zone = FindZone(aRule.zone_);
  if (zone == nullptr) {
    return false;
  }
  const auto local = zone->to_local(date::floor<std::chrono::seconds>(aTime));
  const auto sinceMidnight = local - date::floor<date::days>(local);
  return CoversMinute(aRule, date::floor<minutes>(sinceMidnight));
}

/** @return whether the hours overlap if the second zone is ahead of the first by the difference. */
bool
OverlapWithDifference(const OrderRule& aFirst, const OrderRule& aSecond, minutes aDifference)
{
  const auto shifted = [aDifference](minutes aMinute) {
    return ((aMinute - aDifference) % kDay + kDay) % kDay;
  };
  return CoversMinute(aFirst, shifted(aSecond.from_)) ||
         CoversMinute(aSecond, ((aFirst.from_ + aDifference) % kDay + kDay) % kDay);
}

} // namespace

bool
IsKnownZone(const std::string& aName)
{
  return FindZone(aName) != nullptr;
}

std::vector<ClassId>
ClassOrderAt(const RuleSet& aRules, WallTime aTime)
{
  const OrderRule* inForce = nullptr;
  for (const OrderRule& order : aRules.orders_) {
    if (order.isDefault_ ? inForce == nullptr : CoversTime(order, aTime)) {
      inForce = &order;
      if (!order.isDefault_) {
        break;
      }
    }
  }
  std::vector<ClassId> result;
  if (inForce != nullptr) {
    result = inForce->classes_;
  }
  for (const auto& [id, rule] : aRules.classes_) {
    if (std::find(result.begin(), result.end(), id) == result.end()) {
      result.push_back(id);
    }
  }
  return result;
}

std::optional<WallTime>
NextDeadline(const ClassRule& aClass, WallTime aTime)
{
  const date::time_zone* zone = aClass.deadline_ ? FindZone(aClass.zone_) : nullptr;
  if (zone == nullptr) {
    return std::nullopt;
  }
  const auto today =
    date::floor<date::days>(zone->to_local(date::floor<std::chrono::seconds>(aTime)));
  // Yesterday's deadline can still lie ahead if the clocks were set back past midnight.
  for (int day = -1; day <= 2; ++day) {
    const date::local_seconds local = today + date::days(day) + *aClass.deadline_;
    const WallTime deadline = zone->to_sys(local, date::choose::earliest);
    if (deadline >= aTime) {
      return deadline;
    }
  }
  return std::nullopt;
}

bool
OrdersOverlap(const OrderRule& aFirst, const OrderRule& aSecond)
{
  if (aFirst.zone_ == aSecond.zone_) {
    return OverlapWithDifference(aFirst, aSecond, minutes(0));
  }
  const date::time_zone* first = FindZone(aFirst.zone_);
  const date::time_zone* second = FindZone(aSecond.zone_);
  if (first == nullptr || second == nullptr) {
    return false;
  }
  // A fixed range keeps the result independent of the time of the check. The offsets of the time
  // zone files end in 2037.
  date::sys_seconds time = date::sys_days(date::year(2025) / 1 / 1);
  const date::sys_seconds end = date::sys_days(date::year(2037) / 12 / 31);
  while (time < end) {
    const date::sys_info firstInfo = first->get_info(time);
    const date::sys_info secondInfo = second->get_info(time);
    const auto difference = date::floor<minutes>(secondInfo.offset - firstInfo.offset);
    if (OverlapWithDifference(aFirst, aSecond, difference)) {
      return true;
    }
    time = std::min(firstInfo.end, secondInfo.end);
  }
  return false;
}

} // namespace laburnumweir
