/** @file small_modules_test.cpp Load window, wait queue, event cutter and holder lease. */
#include "dispatch/fake_clock.h"
#include "fleet/event_cutter.h"
#include "fleet/fleet_support.h"
#include "fleet/holder_lease.h"
#include "fleet/load_window.h"
#include "fleet/wait_queue.h"
#include "table/fleet_const.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;

// Guards against a window that makes every load slow or leaves capacity unused. The weight store
// serves a number of concurrent loads at full speed and slows down beyond it; the window must find
// that number, which is not configured.
TEST(LoadWindow, SettlesNearTheNumberServedAtFullSpeed)
{
  for (const double served : { 2.0, 5.0, 9.0 }) {
    LoadWindow window;
    window.SetEngines(4);
    double sum = 0;
    for (int i = 0; i < 400; ++i) {
      const auto size = static_cast<double>(window.Size());
      window.OnLoaded(std::chrono::duration_cast<Duration>(250ms * std::max(1.0, size / served)));
      sum += i >= 200 ? size : 0;
    }
    EXPECT_GE(sum / 200, 0.7 * served) << served;
    EXPECT_LE(sum / 200, 2.0 * served) << served;
  }
}

TEST(LoadWindow, StaysWithinWhatEnginesTake)
{
  LoadWindow window;
  window.SetEngines(1);
  for (int i = 0; i < 100; ++i) {
    window.OnLoaded(250ms);
  }
  EXPECT_EQ(window.Size(), 4U);
  for (int i = 0; i < 100; ++i) {
    window.OnLoaded(5s);
    window.OnLoaded(250ms);
  }
  EXPECT_GE(window.Size(), 1U);
}

class WaitQueueTest : public testing::Test
{
protected:
  WaitTicket Push(std::uint32_t aRank, Duration aLatest, bool aWaitsForLoad = false)
  {
    return queue_.Push({ service_, aRank, clock_.Now() + aLatest, aWaitsForLoad });
  }

  FakeClock clock_;
  const ServiceName service_{ "s" };
  WaitQueue queue_{ clock_ };
};

TEST_F(WaitQueueTest, ServesByRankThenByArrival)
{
  const auto second = Push(1, 10s);
  const auto third = Push(1, 10s);
  const auto first = Push(0, 10s);
  EXPECT_EQ(queue_.TicketsInOrder(service_), (std::vector{ first, second, third }));
}

// Guards against refusals only at the deadline while more requests arrive than can be served. Those
// that cannot start in time must be found early, starting with the last in the queue.
TEST_F(WaitQueueTest, FindsRequestsThatCannotStartInTime)
{
  std::vector<WaitTicket> tickets;
  for (int i = 0; i < 40; ++i) {
    tickets.push_back(Push(1, 3s));
  }
  // Requests start at a rate of ten per second.
  for (int i = 0; i < 10; ++i) {
    clock_.Advance(100ms);
    queue_.Remove(tickets[i], true);
  }
  const auto hopeless = queue_.CannotStartInTime();
  // 30 requests wait and 2 s are left, so about 20 of them can start.
  EXPECT_NEAR(static_cast<double>(hopeless.size()), 10, 2);
  EXPECT_EQ(hopeless.back(), tickets.back());
  const auto estimate = queue_.EstimateWait(service_, 1);
  ASSERT_TRUE(estimate);
  EXPECT_NEAR(std::chrono::duration<double>(*estimate).count(), 3, 0.4);
  EXPECT_EQ(queue_.EstimateWait(service_, 0), Duration::zero())
    << "no request of rank 0 is waiting";
}

// Guards against the refusal of a request because of the requests ahead of it although it waits for
// the load of its adapter, or although they do: such requests do not wait for a free slot.
TEST_F(WaitQueueTest, WaitingForALoadIsNotWaitingInLine)
{
  for (int i = 0; i < 50; ++i) {
    Push(0, 10s, true);
  }
  const auto last = Push(1, 1500ms, true);
  clock_.Advance(1s);
  EXPECT_TRUE(queue_.CannotStartInTime().empty());
  queue_.SetBlocked(last, false);
  EXPECT_TRUE(queue_.CannotStartInTime().empty())
    << "requests that wait for a load do not delay those behind them";
  clock_.Advance(500ms);
  EXPECT_EQ(queue_.CannotStartInTime(), std::vector{ last });
}

// Guards against a partial event in a stream that is resumed at another upstream: only whole events
// may be passed on, wherever the first upstream stopped.
TEST(EventSplitter, PassesOnlyWholeEventsWhereverTheBytesAreCut)
{
  const std::string stream =
    "id: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\ndata: c\n\nid: 9\ndata: d\n\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    EventSplitter cutter;
    std::string first;
    std::string second;
    ASSERT_TRUE(cutter.Add(stream.substr(0, cut), first));
    EXPECT_TRUE(first.empty() || first.ends_with("\n\n") || first.ends_with("\r\n\r\n"));
    EXPECT_EQ(cutter.HasPart(), first.size() != cut);
    ASSERT_TRUE(cutter.Add(stream.substr(cut), second));
    EXPECT_EQ(first + second, stream);
    EXPECT_EQ(cutter.LastEventId(), "9");
    EXPECT_EQ(cutter.Events(), 4U);
  }
}

TEST(EventSplitter, KeepsTheIdOfTheLastWholeEvent)
{
  EventSplitter cutter;
  std::string whole;
  ASSERT_TRUE(cutter.Add("id: 1\ndata: a\n\nid: 2\ndata: b", whole));
  EXPECT_EQ(cutter.LastEventId(), "1");
  cutter.Resume();
  EXPECT_FALSE(cutter.HasPart());
  EXPECT_FALSE(cutter.Add(std::string(EventSplitter::kMaxEventBytes + 1, 'x'), whole));
}

// Guards against an id that cannot be sent to the upstream that continues the stream: too long for
// a header field, or with bytes that would end the field.
TEST(EventSplitter, AnEventWithAnIdThatIsNoFieldValueIsNoEvent)
{
  for (const auto& id : { std::string(66000, '7'),
                          std::string(EventSplitter::kMaxIdBytes + 1, '7'),
                          std::string("7\rX-Field: 1"),
                          std::string("7\0", 2),
                          std::string("7\x7f") }) {
    EventSplitter cutter;
    std::string whole;
    EXPECT_FALSE(cutter.Add("id: 1\ndata: a\n\nid: " + id + "\ndata: b\n\n", whole)) << id.size();
    EXPECT_EQ(whole, "id: 1\ndata: a\n\n");
    EXPECT_EQ(cutter.LastEventId(), "1");
  }
  EventSplitter cutter;
  std::string whole;
  const std::string longest(EventSplitter::kMaxIdBytes, '7');
  EXPECT_TRUE(cutter.Add("id: " + longest + "\ndata: a\n\n", whole));
  EXPECT_EQ(cutter.LastEventId(), longest);
}

class HolderLeaseTest : public testing::Test
{
protected:
  FakeClock clock_;
  HolderLease lease_{ clock_, 3s, 2s };
};

// Guards against two hosts that send orders to the same engine at once: the host that loses a
// partition must stop before the group reassigns it, and the host that gets it must wait.
TEST_F(HolderLeaseTest, OrdersOnlyWhileTheMembershipIsCertain)
{
  lease_.OnMembership(clock_.Now(), { 1, { 4 } });
  EXPECT_FALSE(lease_.MayOrder(4)) << "an order of the previous holder may still arrive";
  clock_.Advance(2s);
  lease_.OnMembership(clock_.Now(), { 1, { 4 } });
  EXPECT_FALSE(lease_.MayOrder(4)) << "the membership of the previous holder may still be valid";
  clock_.Advance(1s);
  lease_.OnMembership(clock_.Now(), { 1, { 4 } });
  EXPECT_TRUE(lease_.MayOrder(4));
  EXPECT_FALSE(lease_.MayOrder(5));
  clock_.Advance(2500ms);
  EXPECT_FALSE(lease_.MayOrder(4)) << "the group may have reassigned it";
  EXPECT_TRUE(lease_.Partitions().empty());
}

// Guards against two hosts that order at one engine: the host that gets a partition waits for a
// lease, but one that is cut off from the store orders until the member timeout.
TEST_F(HolderLeaseTest, AShortLeaseDoesNotEndBeforeTheMembershipOfThePreviousHolder)
{
  HolderLease next(clock_, 3s, 500ms);
  lease_.OnMembership(clock_.Now(), { 1, { 4 } });
  clock_.Advance(2s);
  lease_.OnMembership(clock_.Now(), { 1, { 4 } });
  clock_.Advance(1s);
  lease_.OnMembership(clock_.Now(), { 1, { 4 } });
  EXPECT_TRUE(lease_.MayOrder(4));
  for (int i = 0; i < 40; ++i) {
    next.OnMembership(clock_.Now(), { 2, { 4 } });
    EXPECT_FALSE(lease_.MayOrder(4) && next.MayOrder(4)) << 100 * i << " ms after the move";
    clock_.Advance(100ms);
  }
  EXPECT_TRUE(next.MayOrder(4));
}

// Guards against an order too soon after those of the previous holder, if the settings change
// between the membership and the first order.
TEST_F(HolderLeaseTest, TheLongerSettleTimeHoldsForHeldPartitions)
{
  lease_.SetSettleTime(4s);
  lease_.OnMembership(clock_.Now(), { 1, { 4 } });
  lease_.SetSettleTime(3s);
  lease_.SetSettleTime(6s);
  lease_.SetSettleTime(3s);
  for (int i = 0; i < 6; ++i) {
    EXPECT_FALSE(lease_.MayOrder(4)) << i << " s";
    clock_.Advance(1s);
    lease_.OnMembership(clock_.Now(), { 2, { 4, 5 } });
  }
  EXPECT_TRUE(lease_.MayOrder(4));
  EXPECT_TRUE(lease_.MayOrder(5)) << "it was got after the settle time became shorter";
}

// Guards against a suspended host that sends orders as soon as it resumes: after a gap in the lease
// the partition may have had another holder, so the host must wait for the settle time again.
TEST_F(HolderLeaseTest, SettlesAnewAfterAGap)
{
  lease_.OnMembership(clock_.Now(), { 1, { 4 } });
  clock_.Advance(2s);
  lease_.OnMembership(clock_.Now(), { 1, { 4 } });
  const auto before = lease_.HeldSince(4);
  clock_.Advance(10s);
  lease_.OnMembership(clock_.Now(), { 3, { 4 } });
  EXPECT_FALSE(lease_.MayOrder(4));
  EXPECT_NE(lease_.HeldSince(4), before);
  EXPECT_EQ(lease_.TokenOf(4), 3U);
}

// Guards against an order with a higher token that overtakes one with a lower token of the same
// host on another connection: each host that joins or leaves the group raises its generation.
TEST_F(HolderLeaseTest, TokenStaysWhileAPartitionIsHeld)
{
  lease_.OnMembership(clock_.Now(), { 5, { 4 } });
  clock_.Advance(1s);
  lease_.OnMembership(clock_.Now(), { 6, { 4, 7 } });
  EXPECT_EQ(lease_.TokenOf(4), 5U);
  EXPECT_EQ(lease_.TokenOf(7), 6U);
  lease_.OnFenced(4, 5);
  lease_.OnMembership(clock_.Now(), { 6, { 4, 7 } });
  EXPECT_EQ(lease_.TokenOf(4), 5U) << "the store has not dealt anew";
  lease_.OnMembership(clock_.Now(), { 8, { 4, 7 } });
  EXPECT_EQ(lease_.TokenOf(4), 8U);
  EXPECT_EQ(lease_.TokenOf(7), 6U);
  lease_.OnMembership(clock_.Now(), { 9, { 7 } });
  EXPECT_FALSE(lease_.TokenOf(4));
  lease_.OnMembership(clock_.Now(), { 10, { 4, 7 } });
  EXPECT_EQ(lease_.TokenOf(4), 10U) << "another host may have held it";
}

// Guards against engines that refuse all orders after the store was restored: the generations go
// back, and engines keep the highest token that they saw.
TEST_F(HolderLeaseTest, TokensRiseOverARestore)
{
  lease_.OnMembership(clock_.Now(), { 50, { 4 } });
  lease_.OnFenced(4, 50);
  const auto generation = lease_.Generation();
  clock_.Advance(1s);
  EXPECT_TRUE(lease_.OnMembership(clock_.Now(), { 48, { 4, 5 }, 1 }));
  for (const auto partition : { 4U, 5U }) {
    ASSERT_TRUE(lease_.TokenOf(partition));
    EXPECT_EQ(*lease_.TokenOf(partition), (std::uint64_t{ 1 } << 32) + 48);
  }
  EXPECT_GT(lease_.Generation(), generation) << "peers ignore claims of older generations";
  EXPECT_EQ(lease_.GroupGeneration(), 48U);
  const auto token = *lease_.TokenOf(4);
  lease_.OnFenced(4, token);
  lease_.OnMembership(clock_.Now(), { 49, { 4, 5 }, 1 });
  EXPECT_GT(*lease_.TokenOf(4), token);
  lease_.OnMembership(clock_.Now(), { 3, { 4 }, 2 });
  EXPECT_EQ(*lease_.TokenOf(4), (std::uint64_t{ 2 } << 32) + 3);
}

// Guards against two hosts that order at the same engine: the copy may assign a partition to a
// member that has not yet noticed that it lost it, while the lease of its new holder is valid.
TEST_F(HolderLeaseTest, RestoredAssignmentsWaitForTheLeasesBeforeThem)
{
  HolderLease other(clock_, 3s, 2s);
  lease_.OnMembership(clock_.Now(), { 48, { 4 } });
  clock_.Advance(2s);
  lease_.OnMembership(clock_.Now(), { 48, { 4 } });
  other.OnMembership(clock_.Now(), { 49, { 4 } });
  clock_.Advance(1s);
  other.OnMembership(clock_.Now(), { 49, { 4 } });
  clock_.Advance(100ms);
  lease_.OnMembership(clock_.Now(), { 48, { 4 }, 1 });
  std::uint64_t highest = 0;
  bool hasOtherOrdered = false;
  for (int i = 0; i < 40; ++i) {
    hasOtherOrdered = hasOtherOrdered || other.MayOrder(4);
    EXPECT_FALSE(lease_.MayOrder(4) && other.MayOrder(4)) << 100 * i << " ms after the restore";
    for (const auto* lease : { &lease_, &other }) {
      if (lease->MayOrder(4)) {
        EXPECT_GE(*lease->TokenOf(4), highest);
        highest = *lease->TokenOf(4);
      }
    }
    clock_.Advance(100ms);
    lease_.OnMembership(clock_.Now(), { 48, { 4 }, 1 });
  }
  EXPECT_TRUE(hasOtherOrdered);
  EXPECT_TRUE(lease_.MayOrder(4));
  EXPECT_EQ(highest, *lease_.TokenOf(4));
}

// Guards against a membership of before the restore that renews the lease: an answer that was
// delayed arrives after one of the new era.
TEST_F(HolderLeaseTest, IgnoresAnswersOfAnOlderEra)
{
  lease_.OnMembership(clock_.Now(), { 8, { 4 }, 2 });
  EXPECT_FALSE(lease_.OnMembership(clock_.Now(), { 60, { 5 }, 1 }));
  EXPECT_EQ(lease_.Partitions(), std::vector<std::uint32_t>{ 4 });
  EXPECT_EQ(lease_.GroupGeneration(), 8U);
  lease_.OnEra(1);
  EXPECT_EQ(lease_.Era(), 2U);
  EXPECT_FALSE(lease_.Partitions().empty());
  lease_.OnEra(3);
  EXPECT_TRUE(lease_.Partitions().empty());
  EXPECT_EQ(lease_.GroupGeneration(), 0U) << "it belongs to another era";
}

TEST_F(HolderLeaseTest, CountsTheLifeFromTheQuestion)
{
  const auto sentAt = clock_.Now();
  clock_.Advance(2600ms);
  lease_.OnMembership(sentAt, { 1, { 4 } });
  EXPECT_TRUE(lease_.Partitions().empty()) << "the answer took most of the timeout to arrive";
}

} // namespace
} // namespace laburnumweir
