/** @file engine_slots_test.cpp Tests of grants, pins, loads and changes of owner or epoch. */
#include "dispatch/engine_slots.h"

#include "dispatch/fake_clock.h"
#include "dispatch/held_pins.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EngineSlotsTest : public testing::Test
{
protected:
  EngineSlotsTest()
  {
    clock_.Advance(seconds(1));
    Report({});
  }

  static AdapterRef Adapter(int aNumber) { return { "a" + std::to_string(aNumber), "v1" }; }
  static PinKey Key(int aRequest, const char* aHost = "h1")
  {
    return { HostId(aHost), RequestId("r" + std::to_string(aRequest)) };
  }
  SlotAnswer Acquire(int aRequest, const AdapterRef& aAdapter, const char* aHost = "h1")
  {
    return slots_.Acquire({ Key(aRequest, aHost), aAdapter, clock_.Now() + seconds(60) });
  }
  void Report(std::vector<ResidentAdapter> aResident, const char* aEpoch = "epoch-1")
  {
    EngineReport report{ aEpoch, "base", 2, 0, std::move(aResident) };
    for (const ResidentAdapter& item : report.resident_) {
      report.running_ += item.running_;
    }
    slots_.OnReport(report, clock_.Now());
  }
  /** Loads an adapter and releases the request that asked for it. */
  void Load(int aRequest, const AdapterRef& aAdapter)
  {
    ASSERT_EQ(SlotVerdict::Load, Acquire(aRequest, aAdapter).verdict_);
    const auto order = slots_.StartLoad(aAdapter);
    ASSERT_TRUE(order);
    slots_.LoadFinished(order->number_, LoadOutcome::Loaded);
    slots_.TakeNotices();
    slots_.Release(Key(aRequest), RunEnd::Certain);
    clock_.Advance(seconds(1));
  }

  FakeClock clock_;
  EngineSlots slots_{ clock_, { .slots_ = 2, .maxRunning_ = 8, .windowInitial_ = 4 } };
};

/** Guards against grants before the adapter is resident, and against a second load of it. */
TEST_F(EngineSlotsTest, LoadsOnceAndGrantsWhoWaited)
{
  EXPECT_EQ(SlotVerdict::Load, Acquire(1, Adapter(1)).verdict_);
  EXPECT_EQ(SlotVerdict::Wait, Acquire(2, Adapter(1)).verdict_);
  EXPECT_EQ(SlotVerdict::Wait, Acquire(1, Adapter(1)).verdict_);
  const auto order = slots_.StartLoad(Adapter(1));
  ASSERT_TRUE(order);
  EXPECT_TRUE(order->evict_.name_.empty());
  EXPECT_FALSE(slots_.StartLoad(Adapter(1)));
  slots_.LoadFinished(order->number_, LoadOutcome::Loaded);
  const auto notices = slots_.TakeNotices();
  ASSERT_EQ(2U, notices.size());
  EXPECT_EQ(Key(1), notices[0].key_);
  EXPECT_EQ(SlotVerdict::Granted, notices[1].answer_.verdict_);
  EXPECT_EQ(SlotVerdict::Granted, Acquire(1, Adapter(1)).verdict_);
  EXPECT_EQ(2U, slots_.InUse());
}

/** Guards against a repeated question that counts twice after its answer was lost. */
TEST_F(EngineSlotsTest, CountsARepeatedQuestionOnce)
{
  Load(1, Adapter(1));
  EXPECT_EQ(SlotVerdict::Granted, Acquire(2, Adapter(1)).verdict_);
  EXPECT_EQ(SlotVerdict::Granted, Acquire(2, Adapter(1)).verdict_);
  EXPECT_EQ(1U, slots_.InUse());
  EXPECT_EQ(SlotReason::KeyInUse, Acquire(2, Adapter(2)).reason_);
}

/** Guards against more concurrent requests than the window, whichever hosts they come from. */
TEST_F(EngineSlotsTest, KeepsTheWindowOverAllHosts)
{
  Load(1, Adapter(1));
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(SlotVerdict::Granted, Acquire(10 + i, Adapter(1), i % 2 == 0 ? "h1" : "h2").verdict_);
  }
  EXPECT_EQ(SlotReason::WindowFull, Acquire(20, Adapter(1), "h3").reason_);
  slots_.Release(Key(10), RunEnd::Certain);
  EXPECT_EQ(SlotVerdict::Granted, Acquire(20, Adapter(1), "h3").verdict_);
}

/** Guards against the eviction of an adapter in use: pinned, waited for, or seen running. */
TEST_F(EngineSlotsTest, EvictsOnlyWhatRunsNothing)
{
  Load(1, Adapter(1));
  Load(2, Adapter(2));
  EXPECT_EQ(SlotVerdict::Granted, Acquire(3, Adapter(1)).verdict_);
  EXPECT_EQ(SlotVerdict::Granted, Acquire(4, Adapter(2)).verdict_);
  EXPECT_EQ(SlotReason::SlotsInUse, Acquire(5, Adapter(3)).reason_);
  slots_.Release(Key(4), RunEnd::Certain);
  EXPECT_EQ(SlotVerdict::Load, Acquire(5, Adapter(3)).verdict_);
  // The adapter is used again between the question and the order.
  EXPECT_EQ(SlotVerdict::Granted, Acquire(6, Adapter(2)).verdict_);
  EXPECT_FALSE(slots_.StartLoad(Adapter(3)));
  slots_.Release(Key(6), RunEnd::Certain);
  const auto order = slots_.StartLoad(Adapter(3));
  ASSERT_TRUE(order);
  EXPECT_EQ(Adapter(2), order->evict_);
  EXPECT_FALSE(slots_.IsResident(Adapter(2)));
}

/** Guards against an eviction under a stream whose host died or whose heartbeats are lost. */
TEST_F(EngineSlotsTest, KeepsALapsedPinWhileTheEngineShowsItsRun)
{
  Load(1, Adapter(1));
  EXPECT_EQ(SlotVerdict::Granted, Acquire(2, Adapter(1)).verdict_);
  clock_.Advance(milliseconds(1500));
  slots_.Tick();
  EXPECT_EQ(1U, slots_.InUse());
  clock_.Advance(seconds(2));
  slots_.Tick();
  EXPECT_FALSE(slots_.IsEvictable(Adapter(1)));
  clock_.Advance(seconds(1));
  Report({ { Adapter(1), 1 } });
  EXPECT_FALSE(slots_.IsEvictable(Adapter(1)));
  EXPECT_EQ(1U, slots_.InUse());
  Report({ { Adapter(1), 0 } });
  EXPECT_TRUE(slots_.IsEvictable(Adapter(1)));
  EXPECT_EQ(0U, slots_.InUse());
}

/** Guards against a report from before the pin lapsed, which cannot show a run that began later. */
TEST_F(EngineSlotsTest, DoesNotTrustAReportFromBeforeTheLapse)
{
  Load(1, Adapter(1));
  EXPECT_EQ(SlotVerdict::Granted, Acquire(2, Adapter(1)).verdict_);
  clock_.Advance(seconds(2));
  slots_.Tick();
  Report({ { Adapter(1), 0 } });
  EXPECT_FALSE(slots_.IsEvictable(Adapter(1)));
  clock_.Advance(kReportLag);
  Report({ { Adapter(1), 0 } });
  EXPECT_TRUE(slots_.IsEvictable(Adapter(1)));
}

/** Guards against a cancelled run that goes on at the engine without a pin. */
TEST_F(EngineSlotsTest, KeepsThePinOfACancelledRun)
{
  Load(1, Adapter(1));
  EXPECT_EQ(SlotVerdict::Granted, Acquire(2, Adapter(1)).verdict_);
  slots_.Release(Key(2), RunEnd::Uncertain);
  EXPECT_FALSE(slots_.IsEvictable(Adapter(1)));
  clock_.Advance(kReportLag);
  Report({ { Adapter(1), 0 } });
  EXPECT_TRUE(slots_.IsEvictable(Adapter(1)));
}

/** Guards against pins that lapse although their holder renews them. */
TEST_F(EngineSlotsTest, RenewalKeepsThePin)
{
  Load(1, Adapter(1));
  EXPECT_EQ(SlotVerdict::Granted, Acquire(2, Adapter(1)).verdict_);
  const std::vector<PinRenewal> pins{ { RequestId("r2"), Adapter(1), "epoch-1", {} } };
  for (int i = 0; i < 10; ++i) {
    clock_.Advance(seconds(1));
    slots_.Renew(HostId("h1"), pins);
    slots_.Tick();
    Report({ { Adapter(1), 0 } });
    EXPECT_FALSE(slots_.IsEvictable(Adapter(1)));
  }
}

/** Guards against grants and evictions while grants of the old owner can still be used. */
TEST_F(EngineSlotsTest, NewOwnerWaitsForTheOldOnesGrants)
{
  EngineSlots next(clock_, { .slots_ = 2, .maxRunning_ = 8, .windowInitial_ = 4 });
  next.TakeOver(clock_.Now() + milliseconds(2150));
  const EngineReport report{ "epoch-1", "base", 2, 3, { { Adapter(1), 3 }, { Adapter(2), 0 } } };
  const auto acquire = [&](int aRequest, const AdapterRef& aAdapter) {
    return next.Acquire({ Key(aRequest), aAdapter, clock_.Now() + seconds(60) });
  };
  next.OnReport(report, clock_.Now());
  EXPECT_EQ(SlotReason::TakingOver, acquire(1, Adapter(2)).reason_);
  // A holder that outlives the change of owner lists its pin; another run has no holder any more.
  next.Renew(HostId("h2"),
             std::vector<PinRenewal>{ { RequestId("r9"), Adapter(1), "epoch-1", {} } });
  clock_.Advance(milliseconds(2150) + kReportLag);
  next.OnReport(report, clock_.Now());
  EXPECT_TRUE(next.IsReady());
  EXPECT_EQ(3U, next.InUse());
  EXPECT_FALSE(next.IsEvictable(Adapter(1)));
  EXPECT_EQ(SlotVerdict::Granted, acquire(1, Adapter(2)).verdict_);
  EXPECT_EQ(SlotReason::WindowFull, acquire(2, Adapter(2)).reason_);
}

/** Guards against residents, pins and the window of a process that is gone. */
TEST_F(EngineSlotsTest, ForgetsAnEarlierEpoch)
{
  Load(1, Adapter(1));
  EXPECT_EQ(SlotVerdict::Granted, Acquire(2, Adapter(1)).verdict_);
  EXPECT_EQ(SlotVerdict::Load, Acquire(3, Adapter(2)).verdict_);
  const auto order = slots_.StartLoad(Adapter(2));
  ASSERT_TRUE(order);
  slots_.OnEpoch("epoch-2", clock_.Now());
  EXPECT_FALSE(slots_.IsResident(Adapter(1)));
  slots_.LoadFinished(order->number_, LoadOutcome::Loaded);
  EXPECT_FALSE(slots_.IsResident(Adapter(2)));
  // The grant that was not returned may still reach the new process.
  EXPECT_EQ(1U, slots_.InUse());
  clock_.Advance(seconds(2));
  slots_.Tick();
  EXPECT_EQ(0U, slots_.InUse());
  // A late answer of the old process does not bring it back.
  slots_.OnEpoch("epoch-1", clock_.Now());
  EXPECT_EQ("epoch-2", slots_.Epoch());
}

/** Guards against grants on the victim of an order that may still reach the new process. */
TEST_F(EngineSlotsTest, OrderUnderWaySurvivesARestart)
{
  Load(1, Adapter(1));
  Load(2, Adapter(2));
  EXPECT_EQ(SlotVerdict::Load, Acquire(3, Adapter(3)).verdict_);
  const auto order = slots_.StartLoad(Adapter(3));
  ASSERT_TRUE(order);
  clock_.Advance(seconds(1));
  Report({ { Adapter(1), 0 }, { Adapter(2), 0 } }, "epoch-2");
  EXPECT_EQ("epoch-2", slots_.Epoch());
  EXPECT_EQ(1U, slots_.Residents());
  EXPECT_FALSE(slots_.IsResident(order->evict_));
  // The answer ends it, and a later report shows what is resident.
  slots_.LoadFinished(order->number_, LoadOutcome::Failed);
  clock_.Advance(kReportLag);
  Report({ { Adapter(1), 0 }, { Adapter(2), 0 } }, "epoch-2");
  EXPECT_TRUE(slots_.IsResident(order->evict_));
}

/** Guards against load orders that are repeated at once while they fail. */
TEST_F(EngineSlotsTest, BacksOffAfterFailedLoads)
{
  for (const int wait : { 500, 1000, 2000 }) {
    EXPECT_EQ(SlotVerdict::Load, Acquire(1, Adapter(1)).verdict_);
    const auto order = slots_.StartLoad(Adapter(1));
    ASSERT_TRUE(order);
    slots_.LoadFinished(order->number_, LoadOutcome::Failed);
    const auto notices = slots_.TakeNotices();
    ASSERT_EQ(1U, notices.size());
    EXPECT_EQ(SlotReason::LoadBackoff, notices[0].answer_.reason_);
    clock_.Advance(milliseconds(wait - 1));
    EXPECT_EQ(SlotReason::LoadBackoff, Acquire(1, Adapter(1)).reason_);
    clock_.Advance(milliseconds(1));
  }
}

/** Guards against a grant on the victim, or on the new adapter, while nobody knows which is there.
 */
TEST_F(EngineSlotsTest, ReportDecidesAfterALostAnswerToALoad)
{
  Load(1, Adapter(1));
  Load(2, Adapter(2));
  EXPECT_EQ(SlotVerdict::Load, Acquire(3, Adapter(3)).verdict_);
  const auto order = slots_.StartLoad(Adapter(3));
  ASSERT_TRUE(order);
  slots_.LoadFinished(order->number_, LoadOutcome::Unknown);
  EXPECT_FALSE(slots_.IsResident(order->evict_));
  EXPECT_EQ(SlotVerdict::Wait, Acquire(4, Adapter(3)).verdict_);
  clock_.Advance(seconds(1));
  Report({ { Adapter(2), 0 }, { Adapter(3), 0 } });
  EXPECT_TRUE(slots_.IsResident(Adapter(3)));
  EXPECT_EQ(2U, slots_.TakeNotices().size());
}

/** Guards against an adapter in use being taken as free because the engine had to say so. */
TEST_F(EngineSlotsTest, VictimInUseStaysResident)
{
  Load(1, Adapter(1));
  Load(2, Adapter(2));
  EXPECT_EQ(SlotVerdict::Load, Acquire(3, Adapter(3)).verdict_);
  const auto order = slots_.StartLoad(Adapter(3));
  ASSERT_TRUE(order);
  slots_.LoadFinished(order->number_, LoadOutcome::InUse);
  EXPECT_TRUE(slots_.IsResident(order->evict_));
  EXPECT_FALSE(slots_.IsEvictable(order->evict_));
  clock_.Advance(kColdLoadGap);
  const auto again = slots_.StartLoad(Adapter(3));
  ASSERT_TRUE(again);
  EXPECT_NE(order->evict_, again->evict_);
}

/** Guards against an old version that answers for a new one. */
TEST_F(EngineSlotsTest, VersionsAreDifferentAdapters)
{
  Load(1, { "a", "v1" });
  EXPECT_EQ(SlotVerdict::Load, Acquire(2, { "a", "v2" }).verdict_);
  EXPECT_EQ(SlotVerdict::Granted, Acquire(3, { "a", "v1" }).verdict_);
}

/** Guards against speculative loads that take a slot or a turn from a waiting request. */
TEST_F(EngineSlotsTest, PrefetchGivesWayToRequests)
{
  EXPECT_TRUE(slots_.ExecPrefetch(Adapter(1)));
  EXPECT_EQ(SlotVerdict::Load, Acquire(1, Adapter(2)).verdict_);
  EXPECT_EQ(std::vector<AdapterRef>{ Adapter(2) }, slots_.PendingLoads());
  EXPECT_FALSE(slots_.ExecPrefetch(Adapter(3)));
}

/** Guards against an order to load for a request that has gone. */
TEST_F(EngineSlotsTest, DropsALoadThatNobodyWaitsFor)
{
  EXPECT_EQ(SlotVerdict::Load, Acquire(1, Adapter(1)).verdict_);
  slots_.Release(Key(1), RunEnd::Certain);
  EXPECT_FALSE(slots_.StartLoad(Adapter(1)));
  EXPECT_TRUE(slots_.PendingLoads().empty());
}

/** Guards against an eviction of the popular adapter because it rested for a moment. */
TEST_F(EngineSlotsTest, EvictsTheLessPopular)
{
  Load(1, Adapter(1));
  for (int i = 0; i < 20; ++i) {
    ASSERT_EQ(SlotVerdict::Granted, Acquire(100 + i, Adapter(1)).verdict_);
    slots_.Release(Key(100 + i), RunEnd::Certain);
  }
  Load(2, Adapter(2));
  EXPECT_EQ(SlotVerdict::Load, Acquire(3, Adapter(3)).verdict_);
  EXPECT_EQ(Adapter(2), slots_.StartLoad(Adapter(3))->evict_);
}

/** Guards against a grant that is used after its lease, or after the engine changed its owner. */
TEST(HeldPins, AreUsedOnlyWithinTheLeaseOfTheirOwner)
{
  FakeClock clock;
  HeldPins pins(clock);
  const RequestId request("r1");
  const TimePoint asked = clock.Now();
  pins.Add(request, { UpstreamId("e1"), { "a", "v1" }, "epoch-1", 7, {}, {}, false }, asked);
  EXPECT_TRUE(pins.TestSend(request, 7));
  EXPECT_FALSE(pins.TestSend(request, 8));
  EXPECT_TRUE(pins.Renewals(UpstreamId("e1"), 8).empty());
  EXPECT_EQ(1U, pins.Renewals(UpstreamId("e1"), 7).size());
  clock.Advance(kPinLease);
  EXPECT_FALSE(pins.TestSend(request, 7));
  pins.Renewed(request, clock.Now());
  EXPECT_TRUE(pins.ExecSend(request, 7));
  EXPECT_FALSE(pins.ExecSend(request, 7));
  // A request that runs is listed to the new owner too.
  EXPECT_EQ(1U, pins.Renewals(UpstreamId("e1"), 8).size());
}

} // namespace
} // namespace laburnumweir
