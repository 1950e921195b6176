/** @file class_order_test.cpp Tests of class order and deadlines around changes of the clocks. */
#include "rules/class_order_func.h"
#include "rules/key_func.h"
#include "rules/rule_parser_func.h"

#include <date/date.h>
#include <gtest/gtest.h>
#include <sstream>

namespace laburnumweir {
namespace {

WallTime
Utc(const std::string& aText)
{
  std::istringstream stream(aText);
  date::sys_seconds time;
  stream >> date::parse("%F %H:%M:%S", time);
  EXPECT_FALSE(stream.fail()) << aText;
  return time;
}

RuleSet
Rules(const std::string& aHours)
{
  return ParseRules("class a # x\nclass b # x\norder default a b # x\norder " + aHours + " b a # x")
    .book_.Derive();
}

struct OrderCase
{
  const char* hours_;
  const char* time_;
  bool isInForce_;
};

class ClassOrderTest : public testing::TestWithParam<OrderCase>
{};

/** Guards against hours that are off by the zone's offset, past midnight or on a day on which the
 * clocks change. */
TEST_P(ClassOrderTest, FollowsTheLocalTime)
{
  const OrderCase& expected = GetParam();
  const std::vector<ClassId> order = ClassOrderAt(Rules(expected.hours_), Utc(expected.time_));
  ASSERT_EQ(2U, order.size());
  EXPECT_EQ(expected.isInForce_ ? "b" : "a", order.front().Value());
}

INSTANTIATE_TEST_SUITE_P(
  Times,
  ClassOrderTest,
  testing::Values(OrderCase{ "06:00-11:00 zone=Africa/Dakar", "2026-07-01 05:59:59", false },
                  OrderCase{ "06:00-11:00 zone=Africa/Dakar", "2026-07-01 06:00:00", true },
                  OrderCase{ "06:00-11:00 zone=Africa/Dakar", "2026-07-01 10:59:59", true },
                  OrderCase{ "06:00-11:00 zone=Africa/Dakar", "2026-07-01 11:00:00", false },
                  OrderCase{ "06:00-11:00 zone=Europe/Paris", "2026-07-01 04:00:00", true },
                  OrderCase{ "06:00-11:00 zone=Europe/Paris", "2026-01-01 04:00:00", false },
                  OrderCase{ "22:00-02:00 zone=UTC", "2026-07-01 23:00:00", true },
                  OrderCase{ "22:00-02:00 zone=UTC", "2026-07-01 01:59:59", true },
                  OrderCase{ "22:00-02:00 zone=UTC", "2026-07-01 02:00:00", false },
                  // 29 March 2026: 02:00 to 03:00 does not exist in Paris.
                  OrderCase{ "02:00-03:00 zone=Europe/Paris", "2026-03-29 00:59:59", false },
                  OrderCase{ "02:00-03:00 zone=Europe/Paris", "2026-03-29 01:00:00", false },
                  // 25 October 2026: 02:00 to 03:00 occurs twice in Paris.
                  OrderCase{ "02:00-03:00 zone=Europe/Paris", "2026-10-25 00:30:00", true },
                  OrderCase{ "02:00-03:00 zone=Europe/Paris", "2026-10-25 01:30:00", true },
                  OrderCase{ "02:00-03:00 zone=Europe/Paris", "2026-10-25 02:00:00", false }));

/** Guards against a class that is never served because the order in force does not name it. */
TEST(ClassOrderAt, AppendsClassesThatTheOrderDoesNotName)
{
  const RuleSet rules =
    ParseRules("class a # x\nclass b # x\nclass c # x\norder default c # x").book_.Derive();
  EXPECT_EQ((std::vector<ClassId>{ ClassId("c"), ClassId("a"), ClassId("b") }),
            ClassOrderAt(rules, Utc("2026-07-01 00:00:00")));
}

struct DeadlineCase
{
  const char* zone_;
  int minute_;
  const char* time_;
  const char* deadline_;
};

class DeadlineTest : public testing::TestWithParam<DeadlineCase>
{};

/** Guards against digests that come an hour or a day late when the clocks change. */
TEST_P(DeadlineTest, IsTheNextOne)
{
  const DeadlineCase& expected = GetParam();
  ClassRule rule;
  rule.zone_ = expected.zone_;
  rule.deadline_ = std::chrono::minutes(expected.minute_);
  EXPECT_EQ(Utc(expected.deadline_), NextDeadline(rule, Utc(expected.time_)));
}

INSTANTIATE_TEST_SUITE_P(
  Times,
  DeadlineTest,
  testing::Values(
    DeadlineCase{ "Africa/Dakar", 360, "2026-07-01 05:59:59", "2026-07-01 06:00:00" },
    DeadlineCase{ "Africa/Dakar", 360, "2026-07-01 06:00:00", "2026-07-01 06:00:00" },
    DeadlineCase{ "Africa/Dakar", 360, "2026-07-01 06:00:01", "2026-07-02 06:00:00" },
    DeadlineCase{ "Pacific/Auckland", 360, "2026-07-01 20:00:00", "2026-07-02 18:00:00" },
    DeadlineCase{ "Europe/Paris", 360, "2026-03-28 06:00:00", "2026-03-29 04:00:00" },
    DeadlineCase{ "Europe/Paris", 150, "2026-03-29 00:00:00", "2026-03-29 01:00:00" },
    DeadlineCase{ "Europe/Paris", 150, "2026-10-24 23:00:00", "2026-10-25 00:30:00" },
    DeadlineCase{ "Europe/Paris", 150, "2026-10-25 01:00:00", "2026-10-26 01:30:00" }));

/** Guards against a deadline for a class that has none. */
TEST(NextDeadline, IsAbsentWithoutADeadline)
{
  EXPECT_EQ(std::nullopt, NextDeadline(ClassRule{}, Utc("2026-07-01 00:00:00")));
}

/** Guards against a new key whose rule line does not admit it, and against keys that repeat. */
TEST(GenerateKey, GivesAKeyAndTheLineThatAdmitsIt)
{
  const NewKey first = GenerateKey(WorkspaceId("gustline"), "app one", "Ana");
  const NewKey second = GenerateKey(WorkspaceId("gustline"), "", "Ana");
  EXPECT_EQ(67U, first.key_.size());
  EXPECT_TRUE(first.key_.starts_with("lw_"));
  EXPECT_NE(first.key_, second.key_);
  const RuleParseResult parsed =
    ParseAndCheckRules("workspace gustline rate=1 burst=1 # Ana\n" + first.line_.text_);
  EXPECT_TRUE(parsed.errors_.empty());
  EXPECT_TRUE(parsed.book_.Derive().keys_.contains(DigestKey(first.key_)));
  EXPECT_EQ(std::string::npos, first.line_.text_.find(first.key_.substr(3)));
}

} // namespace
} // namespace laburnumweir
