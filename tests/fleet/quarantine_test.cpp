/** @file quarantine_test.cpp Tests which requests are refused after crashes of upstreams. */
#include "fleet/quarantine.h"

#include "dispatch/fake_clock.h"
#include "table/quarantine_const.h"

#include <chrono>
#include <deque>
#include <fstream>
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
  std::deque<Quarantine> hosts;
  for (int i = 0; i < 4; ++i) {
    hosts.emplace_back(clock_);
  }
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

/** @return a part of a prompt. */
ContentId
MakePart(int aNumber)
{
  return ContentId("p" + std::to_string(aNumber));
}

/** @return the contents of a request with many parts that it shares with no other request. */
RequestContents
MakeLongContents(int aParts)
{
  static int number = 1000000;
  auto contents = MakeContents({});
  for (int i = 0; i < aParts; ++i) {
    contents.parts_.push_back(MakePart(++number));
  }
  return contents;
}

/** Memory of the process since the last call, at its highest. */
class MemoryPeak
{
public:
  MemoryPeak()
  {
    std::ofstream("/proc/self/clear_refs") << "5";
    start_ = Read("VmRSS:");
  }
  /** @return bytes by which it rose. */
  std::size_t Growth() const { return Read("VmHWM:") - std::min(start_, Read("VmHWM:")); }

private:
  static std::size_t Read(const std::string& aField)
  {
    std::ifstream file("/proc/self/status");
    for (std::string word; file >> word;) {
      if (std::size_t kilobytes = 0; word == aField && file >> kilobytes) {
        return kilobytes << 10;
      }
    }
    return 0;
  }
  std::size_t start_;
};

// Guards against a host that exceeds its memory after a crash: what was kept of a prompt with many
// parts grew with the square of their number, at the host and at all that learnt of it.
TEST_F(QuarantineTest, MemoryAndTimeGrowWithThePartsOfPrompts)
{
  constexpr int kParts = 1800;
  constexpr std::size_t kMaxBytes = std::size_t{ 24 } << 20;
  Quarantine peer(clock_);
  const MemoryPeak peak;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 24; ++i) {
    clock_.Advance(i % 3 == 0 ? 200ms : 1ms);
    quarantine_.OnCut({ UpstreamId("u"), i / 3 }, MakeLongContents(kParts));
    quarantine_.Expire();
    peer.Merge(quarantine_.Report());
    ASSERT_LT(peak.Growth(), kMaxBytes) << "after " << i + 1 << " requests";
  }
  EXPECT_LT(std::chrono::steady_clock::now() - start, 2s);
}

// Guards against memory that grows with the number of requests that began, whatever their prompts.
TEST_F(QuarantineTest, BegunRequestsWithLongPromptsTakeLittleMemory)
{
  const MemoryPeak peak;
  for (int i = 0; i < 300; ++i) {
    clock_.Advance(10ms);
    quarantine_.OnBegun({ UpstreamId("u"), 1 }, clock_.Now(), MakeLongContents(1800));
  }
  EXPECT_LT(peak.Growth(), std::size_t{ 24 } << 20);
}

// Guards against a deadly part that is no longer found because its prompts are long.
TEST_F(QuarantineTest, FindsAPartOfLongPrompts)
{
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(MayRun({ "bad" }));
    clock_.Advance(200ms);
    auto contents = MakeLongContents(4000);
    contents.parts_.insert(contents.parts_.begin() + 1000 * i, ContentId("bad"));
    quarantine_.OnCut({ UpstreamId("u"), ++process_ }, contents);
  }
  EXPECT_FALSE(MayRun({ "bad" }));
}

// Guards against a long quarantine that restarted hosts never hear of, since the turns of the
// reports that may hold it always choose another one.
TEST_F(QuarantineTest, AllLongQuarantinesAreReportedInTurn)
{
  constexpr int kQuarantines = 4;
  for (int i = 0; i < kQuarantines; ++i) {
    const auto parts = MakeLongContents(600).parts_;
    for (int crash = 0; crash < 3; ++crash) {
      clock_.Advance(200ms);
      auto contents = MakeContents({});
      contents.parts_ = parts;
      quarantine_.OnCut({ UpstreamId("u"), ++process_ }, contents);
    }
  }
  ASSERT_EQ(quarantine_.Size(), static_cast<std::size_t>(kQuarantines));
  clock_.Advance(kLongCrashReportTime);
  Quarantine restarted(clock_);
  for (std::size_t turn = 0; turn < kQuarantines * kLongQuarantineTurns; ++turn) {
    quarantine_.Expire();
    restarted.Merge(quarantine_.Report());
  }
  EXPECT_EQ(restarted.Size(), static_cast<std::size_t>(kQuarantines));
}

// Guards against a deadly part of short prompts that long prompts displace.
TEST_F(QuarantineTest, LongPromptsDoNotDisplaceShortOnes)
{
  for (int i = 0; i < 3; ++i) {
    Crash({ "bad" });
    for (int other = 0; other < 40; ++other) {
      clock_.Advance(10ms);
      quarantine_.OnCut({ UpstreamId("v"), 100 * i + other }, MakeLongContents(2000));
    }
  }
  EXPECT_FALSE(MayRun({ "bad" }));
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
