/** @file load_budget_test.cpp Tests of the shares of adapter loads. */
#include "dispatch/load_budget.h"

#include "dispatch/fake_clock.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using std::chrono::milliseconds;

LoadKey
Key(int aNumber)
{
  return { UpstreamId("e1"), { "a" + std::to_string(aNumber), "v1" } };
}

/** Guards against more loads across the fleet than the weight store serves at full speed. */
TEST(LoadBudget, SharesOfAllOwnersAddUp)
{
  FakeClock clock;
  LoadBudget budget(clock);
  for (std::uint32_t owners = 1; owners <= kMaxFullSpeedLoads; ++owners) {
    std::uint32_t sum = 0;
    for (std::uint32_t rank = 0; rank < owners; ++rank) {
      budget.SetShare(rank, owners);
      sum += budget.Limit();
    }
    EXPECT_EQ(kMaxFullSpeedLoads, sum) << owners;
  }
}

/** Guards against a speculative load that starts while a request waits for a load. */
TEST(LoadBudget, DemandGoesFirst)
{
  FakeClock clock;
  LoadBudget budget(clock, 2);
  budget.Request(Key(1), LoadKind::Speculative);
  budget.Request(Key(2), LoadKind::Demand);
  EXPECT_EQ(Key(2), budget.Next());
  budget.Postpone(Key(2), milliseconds(100));
  // The demand load waits for a slot; the speculative one must not overtake it.
  EXPECT_FALSE(budget.Next());
  clock.Advance(milliseconds(100));
  EXPECT_EQ(Key(2), budget.Next());
  EXPECT_EQ(Key(1), budget.Next());
  EXPECT_FALSE(budget.Next());
}

/** Guards against a load that is asked for by a request and stays speculative. */
TEST(LoadBudget, SpeculativeLoadBecomesDemand)
{
  FakeClock clock;
  LoadBudget budget(clock, 1);
  budget.Request(Key(1), LoadKind::Speculative);
  budget.Request(Key(2), LoadKind::Speculative);
  budget.Request(Key(2), LoadKind::Demand);
  EXPECT_EQ(Key(2), budget.Next());
  EXPECT_EQ(1U, budget.Waiting());
}

/** Guards against a share that is lost for good because the end of a load was never told. */
TEST(LoadBudget, FreesThePlaceOfALostLoad)
{
  FakeClock clock;
  LoadBudget budget(clock, 1);
  budget.Request(Key(1), LoadKind::Demand);
  budget.Request(Key(2), LoadKind::Demand);
  EXPECT_TRUE(budget.Next());
  EXPECT_FALSE(budget.Next());
  clock.Advance(kUnconfirmedLoadTime);
  EXPECT_EQ(Key(2), budget.Next());
  budget.Finished(Key(2));
  EXPECT_EQ(0U, budget.InFlight());
}

/** Guards against many owners that together start loads faster than the store serves them. */
TEST(LoadBudget, ManyOwnersShareTheRate)
{
  FakeClock clock;
  LoadBudget budget(clock);
  budget.SetShare(300, 370);
  int started = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.Request(Key(i), LoadKind::Demand);
  }
  for (int i = 0; i < 6000; ++i) {
    if (const auto key = budget.Next()) {
      ++started;
      budget.Finished(*key);
    }
    clock.Advance(milliseconds(10));
  }
  // 32 loads/s over 370 owners for a minute are 5.2.
  EXPECT_GE(started, 5);
  EXPECT_LE(started, 6);
}

} // namespace
} // namespace laburnumweir
