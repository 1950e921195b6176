/** @file quarantine_test.cpp Tests which requests are refused after crashes of upstreams. */
#include "fleet/quarantine.h"

#include "dispatch/fake_clock.h"
#include "table/quarantine_const.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using Contents = std::vector<ContentId>;

/** @return the contents of a request with these parts that is like no other. */
RequestContents
MakeContents(std::initializer_list<const char*> aParts)
{
  static int number = 0;
  return { Contents(aParts.begin(), aParts.end()),
           ContentId("request:" + std::to_string(++number)) };
}

class QuarantineTest : public testing::Test
{
protected:
  /** A request with these contents is cut at the next upstream process, 200 ms after the last. */
  void Crash(std::initializer_list<const char*> aNames)
  {
    clock_.Advance(200ms);
    quarantine_.OnCut({ UpstreamId("u"), ++process_ }, MakeContents(aNames));
  }
  void Begin(std::initializer_list<const char*> aNames)
  {
    clock_.Advance(10ms);
    quarantine_.OnBegun({ UpstreamId("sound"), 1 }, clock_.Now() - 50ms, MakeContents(aNames));
  }
  bool MayRun(std::initializer_list<const char*> aNames) const
  {
    return !quarantine_.TimeLeft(MakeContents(aNames));
  }

  FakeClock clock_;
  Quarantine quarantine_{ clock_ };
  std::int64_t process_ = 0; ///< Start time of the last process that crashed.
};

// Guards against a part of a prompt that crashes engine after engine in requests that share nothing
// else.
TEST_F(QuarantineTest, RefusesWhatCrashedThreeProcesses)
{
  Crash({ "bad", "x1" });
  Crash({ "bad", "x2" });
  EXPECT_TRUE(MayRun({ "bad", "x3" }));
  Crash({ "bad", "x3" });
  EXPECT_FALSE(MayRun({ "bad", "x4" }));
  EXPECT_TRUE(MayRun({ "x1" }));
}

// Guards against refusing sound requests that share the first parts of their prompts with a deadly
// one.
TEST_F(QuarantineTest, ClearsContentsWhoseAnswersBegin)
{
  for (int i = 0; i < 5; ++i) {
    Crash({ "common", "bad" });
    Begin({ "common" });
  }
  EXPECT_FALSE(MayRun({ "common", "bad" }));
  EXPECT_TRUE(MayRun({ "common", "good" }));
}

// Guards against refusing a sound rare part because no answer with it has begun yet.
TEST_F(QuarantineTest, RefusesOnlyTheCombinationWhileThePartsAreNotToldApart)
{
  for (int i = 0; i < 3; ++i) {
    Crash({ "rare", "bad" });
  }
  EXPECT_TRUE(MayRun({ "rare" }));
  EXPECT_TRUE(MayRun({ "bad" }));
  EXPECT_FALSE(MayRun({ "rare", "bad" }));
  Begin({ "rare" });
  EXPECT_FALSE(MayRun({ "bad", "other" })) << "the cause is known now";
}

// Guards against a cause that escapes under other parts after a wrong combination was quarantined.
TEST_F(QuarantineTest, FindsTheCauseThatGoesOnOutsideOfTheCombination)
{
  for (int i = 0; i < 3; ++i) {
    Crash({ "rare", "bad" });
  }
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(MayRun({ "bad" }));
    Crash({ "bad" });
  }
  EXPECT_FALSE(MayRun({ "bad" }));
  EXPECT_TRUE(MayRun({ "rare" }));
}

// Guards against a request that crashes upstreams and is sent again, by its caller or a host.
TEST_F(QuarantineTest, RefusesARequestThatCrashedThreeProcesses)
{
  const RequestContents request{ { ContentId("a") }, ContentId("request:x") };
  for (int i = 0; i < 3; ++i) {
    EXPECT_FALSE(quarantine_.TimeLeft(request));
    clock_.Advance(200ms);
    quarantine_.OnCut({ UpstreamId("u"), ++process_ }, { {}, request.request_ });
  }
  EXPECT_TRUE(quarantine_.TimeLeft(request));
  EXPECT_TRUE(MayRun({ "a" }));
}

// Guards against a part whose crashes are all blamed on single requests, since each request with it
// is repeated until it has crashed three upstreams.
TEST_F(QuarantineTest, FindsThePartBehindRepeatedRequests)
{
  const auto first = MakeContents({ "bad" });
  for (int i = 0; i < 3; ++i) {
    clock_.Advance(200ms);
    quarantine_.OnCut({ UpstreamId("u"), ++process_ }, first);
  }
  EXPECT_TRUE(quarantine_.TimeLeft(first));
  EXPECT_TRUE(MayRun({ "bad" })) << "the cause may be something that only this request holds";
  Crash({ "bad" });
  EXPECT_FALSE(MayRun({ "bad" }));
}

// Guards against refusing a common part after many upstreams lost power at the same time.
TEST_F(QuarantineTest, CountsCrashesAtTheSameTimeOnce)
{
  for (int i = 0; i < 9; ++i) {
    quarantine_.OnCut({ UpstreamId("u"), ++process_ }, MakeContents({ "common" }));
    clock_.Advance(5ms);
  }
  EXPECT_TRUE(MayRun({ "common" }));
}

// Guards against blaming requests for the broken connections of an upstream that goes on to serve.
TEST_F(QuarantineTest, CutsOfOneProcessCountOnce)
{
  for (int i = 0; i < 6; ++i) {
    clock_.Advance(200ms);
    quarantine_.OnCut({ UpstreamId("grey"), 1 }, MakeContents({ "common" }));
  }
  EXPECT_TRUE(MayRun({ "common" }));
}

TEST_F(QuarantineTest, ProcessThatServesAfterACutHasNotCrashed)
{
  for (int i = 0; i < 5; ++i) {
    Crash({ "common" });
    clock_.Advance(100ms);
    quarantine_.OnBegun({ UpstreamId("u"), process_ }, clock_.Now(), MakeContents({ "other" }));
  }
  EXPECT_TRUE(MayRun({ "common" }));
}

// Guards against a wrong quarantine that nothing ends, since no request with its contents runs any
// more.
TEST_F(QuarantineTest, EndsWhenAnAnswerBeginsOrTimePasses)
{
  for (int i = 0; i < 3; ++i) {
    Crash({ "a" });
  }
  for (int i = 0; i < 3; ++i) {
    Crash({ "b" });
  }
  EXPECT_FALSE(MayRun({ "a" }));
  Begin({ "a" });
  EXPECT_TRUE(MayRun({ "a" })) << "an attempt that was sent before the quarantine has begun";
  EXPECT_FALSE(MayRun({ "b" }));
  clock_.Advance(kQuarantineTime);
  quarantine_.Expire();
  EXPECT_TRUE(MayRun({ "b" }));
  EXPECT_EQ(quarantine_.Size(), 0U);
}

// Guards against hosts that each see one crash and together never learn the cause.
TEST_F(QuarantineTest, MergesReportsInAnyOrderAndNumber)
{
  std::vector<Quarantine> hosts(4, Quarantine(clock_));
  for (std::int64_t i = 0; i < 3; ++i) {
    clock_.Advance(200ms);
    hosts[static_cast<std::size_t>(i)].OnCut({ UpstreamId("u"), i },
                                             MakeContents({ "common", "bad" }));
  }
  clock_.Advance(10ms);
  hosts[3].OnBegun({ UpstreamId("sound"), 1 }, clock_.Now() - 50ms, MakeContents({ "common" }));
  for (int round = 0; round < 2; ++round) {
    for (auto from = hosts.rbegin(); from != hosts.rend(); ++from) {
      for (auto& to : hosts) {
        to.Merge(from->Report());
        to.Merge(from->Report());
      }
    }
  }
  for (const auto& host : hosts) {
    EXPECT_TRUE(host.TimeLeft(MakeContents({ "bad", "x" })));
    EXPECT_FALSE(host.TimeLeft(MakeContents({ "common" })));
  }
}

// Guards against a restarted host that sends on what the others refuse.
TEST_F(QuarantineTest, ReportsQuarantinesAsLongAsTheyLast)
{
  for (int i = 0; i < 3; ++i) {
    Crash({ "bad" });
  }
  clock_.Advance(kQuarantineTime / 2);
  quarantine_.Expire();
  Quarantine restarted(clock_);
  restarted.Merge(quarantine_.Report());
  const auto left = restarted.TimeLeft(MakeContents({ "bad" }));
  ASSERT_TRUE(left);
  EXPECT_LE(*left, kQuarantineTime / 2);
}

// Guards against a cause that is crowded out by the many requests that waited at the same
// upstreams.
TEST_F(QuarantineTest, RequestsThatWaitedDoNotCrowdOutTheOneThatBegan)
{
  Quarantine peer(clock_);
  for (int i = 0; i < 3; ++i) {
    Crash({ "bad" });
    for (int waiting = 0; waiting < 60; ++waiting) {
      quarantine_.OnCut({ UpstreamId("u"), process_ }, MakeContents({}));
    }
    clock_.Advance(20ms);
    peer.Merge({ quarantine_.Report().suspects_, {}, {} });
  }
  EXPECT_FALSE(MayRun({ "bad" }));
  EXPECT_TRUE(peer.TimeLeft(MakeContents({ "bad" }))) << "found from suspects alone";
}

// Guards against a quarantine that never ends, since each host takes the end of it from late
// messages of another.
TEST_F(QuarantineTest, LateReportsDoNotExtendAQuarantine)
{
  const RequestContents bad{ { ContentId("bad") }, ContentId("request:x") };
  Quarantine peer(clock_);
  for (int i = 0; i < 3; ++i) {
    Crash({ "bad" });
  }
  auto late = quarantine_.Report();
  for (Duration time{}; time < kQuarantineTime + 10s; time += 1s) {
    clock_.Advance(1s);
    peer.Expire();
    quarantine_.Expire();
    peer.Merge(late);
    late = peer.Report();
    quarantine_.Merge(late);
    late = quarantine_.Report();
  }
  EXPECT_FALSE(quarantine_.TimeLeft(bad));
}

TEST_F(QuarantineTest, StateAndReportsAreBounded)
{
  for (int i = 0; i < 500; ++i) {
    clock_.Advance(1ms);
    const auto name = "c" + std::to_string(i);
    quarantine_.OnCut({ UpstreamId("u" + std::to_string(i)), 1 }, MakeContents({ name.c_str() }));
  }
  EXPECT_EQ(quarantine_.Report().suspects_.size(), kMaxReportedSuspects);
  for (int i = 0; i < 200; ++i) {
    const auto name = "d" + std::to_string(i);
    for (int crash = 0; crash < 3; ++crash) {
      Crash({ name.c_str() });
    }
  }
  EXPECT_EQ(quarantine_.Size(), kMaxQuarantines);
}

} // namespace
} // namespace laburnumweir
