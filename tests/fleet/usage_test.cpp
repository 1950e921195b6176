/** @file usage_test.cpp Tests of the counts of begun requests and of the time of the fleet. */
#include "dispatch/fake_clock.h"
#include "fleet/usage_collection.h"
#include "fleet/usage_counter.h"
#include "table/usage_const.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;

const WindowScale kScale(5000ms);
const WorkspaceId kA("a");
const WorkspaceId kB("b");

WallTime
At(std::chrono::milliseconds aTime)
{
  return WallTime(aTime);
}

TEST(WindowScale, WindowsBeginAtMultiplesOfTheirLength)
{
  EXPECT_EQ(kScale.WindowAt(At(1767225600000ms)), 353445120);
  EXPECT_EQ(kScale.WindowAt(At(1767225604999ms)), 353445120);
  EXPECT_EQ(kScale.WindowAt(At(-1ms)), -1);
  EXPECT_EQ(kScale.EndOf(353445120), At(1767225605000ms));
}

// Guards against a request that is confirmed with an older count and then never sent.
TEST(UsageCounter, SendsACountAgainUntilItsValueIsConfirmed)
{
  UsageCounter counter(kScale);
  counter.Record(kA, At(7000ms));
  const auto sent = counter.Unconfirmed(0);
  ASSERT_EQ(sent, (std::vector<UsageCell>{ { 1, kA, 1 } }));
  counter.Record(kA, At(8000ms));
  counter.Confirm(sent);
  EXPECT_EQ(counter.Unconfirmed(0), (std::vector<UsageCell>{ { 1, kA, 2 } }));
  counter.Confirm(counter.Unconfirmed(0));
  EXPECT_TRUE(counter.Unconfirmed(0).empty());
  counter.ForgetConfirmed();
  EXPECT_EQ(counter.Unconfirmed(0), (std::vector<UsageCell>{ { 1, kA, 2 } }));
  EXPECT_TRUE(counter.Unconfirmed(2).empty());
}

// Guards against memory that grows with time, and against windows of the future that a clock which
// was set back would leave behind.
TEST(UsageCounter, KeepsTheLastWindowsWhenTheClockJumps)
{
  UsageCounter counter(kScale);
  for (int i = 0; i < 1000; ++i) {
    counter.Record(kA, At(5000ms * i));
  }
  EXPECT_LE(counter.Counts(0).size(), 16U);
  counter.Record(kB, At(1h * 10));
  EXPECT_EQ(counter.Counts(0), (std::vector<UsageCell>{ { 7200, kB, 1 } }));
  counter.Record(kA, At(5000ms * 1000));
  EXPECT_EQ(counter.Counts(0), (std::vector<UsageCell>{ { 1000, kA, 1 } }));
}

// Guards against counts that rise with repeated or overtaken datagrams, and against a restarted
// host whose counts replace those of its last life.
TEST(UsageCollection, SumsTheHighestCountOfEachProcess)
{
  UsageCollection counts;
  const UsageProcess first{ HostId("h"), 1 };
  const UsageProcess second{ HostId("h"), 2 };
  counts.Add(first, std::vector<UsageCell>{ { 5, kB, 1 }, { 5, kA, 3 } }, 5, 8);
  counts.Add(first, std::vector<UsageCell>{ { 5, kA, 3 } }, 5, 8);
  counts.Add(first, std::vector<UsageCell>{ { 5, kA, 2 } }, 5, 8);
  counts.Add(second, std::vector<UsageCell>{ { 5, kA, 4 }, { 4, kA, 1 }, { 9, kA, 1 } }, 5, 8);
  EXPECT_EQ(counts.Totals(5), (UsageCounts{ { kA, 7 }, { kB, 1 } }));
  EXPECT_TRUE(counts.Totals(4).empty());
  EXPECT_TRUE(counts.Totals(9).empty());
  counts.EraseBefore(6);
  EXPECT_TRUE(counts.Totals(5).empty());
}

// Guards against a holder whose own clock jumps and which then decides windows that have not ended.
TEST(FleetTime, IsTheMedianOfTheClocksOfTheHosts)
{
  FakeClock clock;
  FleetTime time(clock);
  clock.SetWallNow(At(90s));
  EXPECT_EQ(time.Now(), At(90s));
  time.OnWallTime(HostId("self"), At(90s));
  time.OnWallTime(HostId("h1"), At(80s));
  EXPECT_EQ(time.Now(), At(80s));
  time.OnWallTime(HostId("h2"), At(81s));
  clock.Advance(10s);
  EXPECT_EQ(time.Now(), At(91s));
  clock.Advance(kFleetTimeTtl);
  time.Expire();
  EXPECT_EQ(time.Now(), At(90s));
}

} // namespace
} // namespace laburnumweir
