/** @file upstream_table_test.cpp Tests the choice of upstreams by load, health, adapters and data
 * centre. */
#include "fleet/upstream_table.h"

#include "dispatch/fake_clock.h"
#include "fleet/fleet_support.h"
#include "table/fleet_const.h"

#include <gtest/gtest.h>
#include <memory>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::MakeEngine;
using testing_support::NeedOf;

class UpstreamTableTest : public testing::Test
{
protected:
  UpstreamTableTest() { table_.SetServices(std::vector{ testing_support::MakeService() }); }

  UpstreamId Add(const std::string& aId, std::vector<ResidentAdapterVersion> aAdapters = {})
  {
    auto entry = MakeEngine(aId);
    entry.models_[0].adapters_ = std::move(aAdapters);
    table_.OnEntry(entry);
    return entry.id_;
  }

  FakeClock clock_;
  UpstreamTable table_{ clock_, HostId("h1"), DataCentreId("dc1") };
};

// Guards against a late heartbeat that restores an earlier state of an upstream, such as that it is
// not draining.
TEST_F(UpstreamTableTest, IgnoresEntriesOlderThanTheKnownOne)
{
  auto entry = MakeEngine("e1");
  entry.heartbeat_ = 5;
  entry.isDraining_ = true;
  table_.OnEntry(entry);
  auto older = MakeEngine("e1");
  older.heartbeat_ = 4;
  EXPECT_FALSE(table_.OnEntry(older));
  EXPECT_TRUE(table_.Find(entry.id_)->entry_.isDraining_);
  older.heartbeat_ = 9;
  older.startedAt_ = 0;
  EXPECT_FALSE(table_.OnEntry(older));
  EXPECT_TRUE(table_.Find(entry.id_)->entry_.isDraining_);
  // A new process instance counts its heartbeats from 1.
  older.heartbeat_ = 1;
  older.startedAt_ = 2;
  EXPECT_TRUE(table_.OnEntry(older));
  EXPECT_FALSE(table_.Find(entry.id_)->entry_.isDraining_);
}

// Guards against an entry that was written before an order and hides the adapter that the order
// loaded.
TEST_F(UpstreamTableTest, HolderResidencyOverridesEntriesForEntryLag)
{
  const auto id = Add("e1");
  EXPECT_TRUE(table_.OnResidency({ id, 1, 3, { { "m", { { "a1", 1 } } } } }));
  auto entry = MakeEngine("e1");
  entry.heartbeat_ = 2;
  table_.OnEntry(entry);
  EXPECT_NE(table_.Choose(NeedOf("a1")).upstream_, nullptr);
  EXPECT_FALSE(table_.OnResidency({ id, 1, 2, { { "m", {} } } })) << "sent before order 3";
  clock_.Advance(kMaxEntryAge);
  entry.heartbeat_ = 3;
  table_.OnEntry(entry);
  EXPECT_EQ(table_.Choose(NeedOf("a1")).upstream_, nullptr);
}

// Guards against a request that is sent to an engine with an older version of its adapter.
TEST_F(UpstreamTableTest, ChoosesOnlyEnginesWithTheAdapterVersion)
{
  Add("e1", { { "a1", 1 } });
  const auto second = Add("e2", { { "a1", 2 } });
  const auto choice = table_.Choose(NeedOf("a1", 2));
  ASSERT_NE(choice.upstream_, nullptr);
  EXPECT_EQ(choice.upstream_->entry_.id_, second);
  EXPECT_EQ(choice.adapterVersion_, 2);
  EXPECT_FALSE(choice.loadTarget_);
}

// Guards against loading a new version at the engine that serves the old one: that engine first
// waits for all runs of the old version, while another one could load the new version at once.
TEST_F(UpstreamTableTest, LoadsANewVersionOnAnEngineWithoutTheOldOne)
{
  const auto first = Add("e1", { { "a1", 1 } });
  const auto second = Add("e2");
  const auto choice = table_.Choose(NeedOf("a1", 2));
  EXPECT_EQ(choice.upstream_, nullptr);
  EXPECT_EQ(choice.loadTarget_, second);
}

// Guards against requests to an upstream that is draining, evacuated, replaced at its endpoint by
// another one or paused after failures, and against one that stays excluded afterwards.
TEST_F(UpstreamTableTest, SkipsDrainingEvacuatedMisdirectedAndPausedUpstreams)
{
  const auto id = Add("e1");
  EXPECT_NE(table_.Choose(NeedOf("")).upstream_, nullptr);
  table_.SetEvacuated({ DataCentreId("dc1") });
  EXPECT_EQ(table_.Choose(NeedOf("")).upstream_, nullptr);
  table_.SetEvacuated({});
  table_.OnMisdirected(id);
  EXPECT_EQ(table_.Choose(NeedOf("")).upstream_, nullptr);
  auto entry = MakeEngine("e1");
  entry.heartbeat_ = 2;
  table_.OnEntry(entry);
  EXPECT_NE(table_.Choose(NeedOf("")).upstream_, nullptr);
  for (std::uint32_t i = 0; i < kFailuresBeforePause; ++i) {
    table_.OnAttemptSent(id);
    table_.OnAttemptEnded(id, AttemptHealth::Unreachable, {});
  }
  EXPECT_EQ(table_.Choose(NeedOf("")).upstream_, nullptr);
  clock_.Advance(kUpstreamBackoffInitial);
  EXPECT_NE(table_.Choose(NeedOf("")).upstream_, nullptr);
  entry.heartbeat_ = 3;
  entry.isDraining_ = true;
  table_.OnEntry(entry);
  EXPECT_EQ(table_.Choose(NeedOf("")).upstream_, nullptr);
}

// Guards against an answer of a process that has ended and excludes the next one, and against an
// engine that leaves and is asked to load adapters.
TEST_F(UpstreamTableTest, OnlyTheProcessThatLeavesIsExcluded)
{
  const auto id = Add("e1");
  table_.OnLeaving(id, 0);
  EXPECT_NE(table_.Choose(NeedOf("")).upstream_, nullptr) << "an earlier process";
  table_.OnLeaving(id, 1);
  EXPECT_EQ(table_.Choose(NeedOf("")).upstream_, nullptr);
  EXPECT_FALSE(table_.Choose(NeedOf("a1")).loadTarget_);
  const auto entry = table_.Find(id)->entry_;
  table_.OnRemoved(id);
  table_.OnEntry(entry);
  EXPECT_EQ(table_.Choose(NeedOf("")).upstream_, nullptr) << "its entry came back";
  auto next = entry;
  next.startedAt_ = 2;
  table_.OnRemoved(id);
  table_.OnEntry(next);
  EXPECT_NE(table_.Choose(NeedOf("")).upstream_, nullptr);
}

// Guards against a later answer with a shorter time that ends a pause early, and against an adapter
// that nobody loads elsewhere while its only engine is paused.
TEST_F(UpstreamTableTest, APauseIsExtendedButNotShortened)
{
  const auto id = Add("e1", { { "a1", 1 } });
  const auto other = Add("e2");
  table_.OnPause(id, 0, 9s);
  EXPECT_NE(table_.Choose(NeedOf("a1")).upstream_, nullptr) << "an earlier process";
  table_.OnPause(id, 1, 2s);
  table_.OnPause(id, 1, 1s);
  clock_.Advance(1900ms);
  EXPECT_EQ(table_.Choose(NeedOf("a1")).upstream_, nullptr);
  EXPECT_EQ(table_.Choose(NeedOf("a1")).loadTarget_, other);
  table_.OnPause(id, 1, 1s);
  clock_.Advance(900ms);
  EXPECT_EQ(table_.Choose(NeedOf("a1")).upstream_, nullptr);
  const auto entry = table_.Find(id)->entry_;
  table_.OnRemoved(id);
  table_.OnEntry(entry);
  EXPECT_EQ(table_.Choose(NeedOf("a1")).upstream_, nullptr) << "its entry came back";
  clock_.Advance(100ms);
  EXPECT_NE(table_.Choose(NeedOf("a1")).upstream_, nullptr);
}

// Guards against requests to an upstream that said in an answer that it wants none, if its entry
// had expired when the answer arrived and the same process writes a ready one again.
TEST_F(UpstreamTableTest, AnswersCountWhileTheEntryIsMissing)
{
  const auto leaving = Add("e1");
  const auto paused = Add("e2");
  const auto limited = Add("e3");
  for (const auto& id : { leaving, paused, limited }) {
    table_.OnRemoved(id);
  }
  table_.OnLeaving(leaving, 1);
  table_.OnPause(paused, 1, 2s);
  table_.OnRequestLimit(limited, 1, 5);
  Add("e1");
  EXPECT_EQ(table_.Choose(NeedOf("")).upstream_, nullptr) << "it leaves";
  Add("e2");
  EXPECT_EQ(table_.Choose(NeedOf("")).upstream_, nullptr) << "it is paused";
  Add("e3");
  EXPECT_EQ(table_.RequestLimit(limited), 5);
  EXPECT_EQ(table_.Choose(NeedOf("")).permitTarget_, limited);
  clock_.Advance(2s);
  ASSERT_NE(table_.Choose(NeedOf("")).upstream_, nullptr) << "the pause has ended";
  EXPECT_EQ(table_.Choose(NeedOf("")).upstream_->entry_.id_, paused);
  table_.OnRemoved(limited);
  table_.OnRequestLimit(limited, 1, std::nullopt);
  Add("e3");
  EXPECT_FALSE(table_.RequestLimit(limited)) << "a later answer named none";
}

// Guards against a late answer of an earlier process that excludes the next one, or that replaces
// what the newer process has said.
TEST_F(UpstreamTableTest, AnswersWithoutAnEntryCountForTheirProcessOnly)
{
  const auto id = Add("e1");
  const auto entry = table_.Find(id)->entry_;
  auto next = entry;
  next.startedAt_ = 2;
  table_.OnRemoved(id);
  table_.OnLeaving(id, 1);
  table_.OnEntry(next);
  EXPECT_NE(table_.Choose(NeedOf("")).upstream_, nullptr) << "a new process";
  table_.OnRemoved(id);
  table_.OnRequestLimit(id, 2, 5);
  table_.OnLeaving(id, 1);
  table_.OnRequestLimit(id, 1, std::nullopt);
  table_.OnEntry(next);
  EXPECT_EQ(table_.RequestLimit(id), 5);
  EXPECT_TRUE(table_.IsUsable(*table_.Find(id)));
  table_.OnRemoved(id);
  table_.OnLeaving(id, 2);
  clock_.Advance(kUpstreamNoticeTtl + 1ms);
  table_.OnEntry(next);
  EXPECT_TRUE(table_.IsUsable(*table_.Find(id))) << "it is forgotten after a while";
}

// Guards against requests to a process that restarted in place and whose pause was recorded for the
// process before it, and against pauses and a farewell of that one which exclude the new process.
TEST_F(UpstreamTableTest, APauseHeardSinceTheStartOfANewProcessIsKept)
{
  const auto id = Add("e1");
  auto entry = table_.Find(id)->entry_;
  const auto restartAt = [&](std::int64_t aStartedAt) {
    entry.startedAt_ = aStartedAt;
    table_.OnEntry(entry);
    return table_.IsUsable(*table_.Find(id));
  };
  const auto pauseAt = [&](std::int64_t aUnixMs, Duration aFor) {
    clock_.SetWallNow(WallTime(std::chrono::milliseconds(aUnixMs)));
    table_.OnPause(id, entry.startedAt_, aFor);
  };
  pauseAt(1000, 300s);
  pauseAt(2000, 20s);
  pauseAt(3000, 10s);
  table_.OnLeaving(id, 1);
  EXPECT_FALSE(restartAt(1500)) << "paused by its own answers of 2000 and 3000";
  clock_.Advance(20s - 1ms);
  EXPECT_FALSE(table_.IsUsable(*table_.Find(id)));
  clock_.Advance(1ms);
  EXPECT_TRUE(table_.IsUsable(*table_.Find(id))) << "the process before it left and was paused";
  pauseAt(4000, 10s);
  EXPECT_TRUE(restartAt(4001)) << "it started after the answer";
  pauseAt(5000, 10s);
  table_.OnRemoved(id);
  EXPECT_FALSE(restartAt(4500)) << "its entry came after a removal";
  pauseAt(6000, 10s);
  ++entry.endpoint_.port_;
  EXPECT_TRUE(restartAt(5500)) << "another address; the answer came from the process before it";
}

// Guards against refusing requests that another upstream of the service could still serve, such as
// an engine that has not loaded their adapter yet or one in a short back-off.
TEST_F(UpstreamTableTest, APauseEndsWithTheFirstUpstreamThatMayServe)
{
  const auto pauseEnd = [this](const std::set<UpstreamId>& aExcluded) {
    auto need = NeedOf("a1");
    need.excluded_ = &aExcluded;
    return table_.PauseEnd(need);
  };
  EXPECT_FALSE(pauseEnd({})) << "no upstream at all";
  const auto first = Add("e1", { { "a1", 1 } });
  const auto second = Add("e2");
  EXPECT_FALSE(pauseEnd({}));
  table_.OnPause(first, 1, 20s);
  EXPECT_EQ(pauseEnd({}), clock_.Now()) << "e2 may load the adapter";
  EXPECT_EQ(pauseEnd({ second }), clock_.Now() + 20s);
  EXPECT_FALSE(pauseEnd({ first, second }));
  table_.OnPause(second, 1, 9s);
  EXPECT_EQ(pauseEnd({}), clock_.Now() + 9s);
  table_.OnLeaving(second, 1);
  EXPECT_EQ(pauseEnd({}), clock_.Now() + 20s);
  const auto third = Add("e3");
  for (std::uint32_t i = 0; i < kFailuresBeforePause; ++i) {
    table_.OnAttemptEnded(third, AttemptHealth::Unreachable, {});
  }
  EXPECT_EQ(pauseEnd({}), clock_.Now() + kUpstreamBackoffInitial);
  table_.OnMisdirected(third);
  EXPECT_FALSE(pauseEnd({})) << "its next entry may make it usable";
}

// Guards against more requests than slots at an upstream that several hosts use, and against load
// of a silent peer that blocks its slots for good.
TEST_F(UpstreamTableTest, CountsTheRequestsOfPeers)
{
  const auto id = Add("e1");
  table_.OnPeerLoad(HostId("h2"), std::vector<UpstreamLoad>{ { id, 7 } });
  EXPECT_NE(table_.Choose(NeedOf("")).upstream_, nullptr);
  table_.OnAttemptSent(id);
  EXPECT_EQ(table_.Choose(NeedOf("")).upstream_, nullptr) << "8 of 8 slots are taken";
  clock_.Advance(kPeerLoadTtl + 1ms);
  table_.ExpirePeers();
  EXPECT_NE(table_.Choose(NeedOf("")).upstream_, nullptr);
}

// Guards against more requests than slots at an upstream whose entry goes and comes back while it
// answers: the requests sent before were not counted, but their ends were.
TEST_F(UpstreamTableTest, CountsItsRunningRequestsAfterTheEntryComesBack)
{
  const auto id = Add("e1");
  for (int i = 0; i < 8; ++i) {
    table_.OnAttemptSent(id);
  }
  const auto entry = table_.Find(id)->entry_;
  table_.OnRemoved(id);
  const auto load = table_.OwnLoad();
  EXPECT_TRUE(load.size() == 1 && load[0].running_ == 8) << "peers may know the upstream";
  table_.OnAttemptEnded(id, AttemptHealth::Good, 1ms);
  table_.OnEntry(entry);
  EXPECT_EQ(table_.Find(id)->running_, 7U);
  table_.OnAttemptSent(id);
  EXPECT_EQ(table_.Choose(NeedOf("")).upstream_, nullptr) << "8 of 8 slots are taken";
  table_.OnRemoved(id);
  auto next = entry;
  next.startedAt_ = 2;
  table_.OnEntry(next);
  for (int i = 0; i < 8; ++i) {
    table_.OnAttemptEnded(id, AttemptHealth::Failed, {});
    table_.OnAttemptSent(id);
  }
  EXPECT_EQ(table_.Choose(NeedOf("")).upstream_, nullptr)
    << "ends of requests to the old process hide those to the new one";
}

// Guards against an adapter that gets most of the requests and is resident at one busy engine only,
// while other engines are idle.
TEST_F(UpstreamTableTest, LoadsACopyWhenTheEnginesOfAnAdapterAreBusy)
{
  const auto busy = Add("e1", { { "hot", 1 } });
  for (int i = 2; i <= 6; ++i) {
    Add("e" + std::to_string(i));
  }
  for (int i = 0; i < 3; ++i) {
    table_.OnAttemptSent(busy);
  }
  EXPECT_FALSE(table_.Choose(NeedOf("hot")).loadTarget_);
  for (int i = 0; i < 3; ++i) {
    table_.OnAttemptSent(busy);
  }
  const auto choice = table_.Choose(NeedOf("hot"));
  EXPECT_NE(choice.upstream_, nullptr) << "the request itself does not wait for the copy";
  ASSERT_TRUE(choice.loadTarget_);
  EXPECT_NE(*choice.loadTarget_, busy);
  EXPECT_TRUE(choice.isReplica_);
}

// Guards against an overload of a cold upstream: 80 hosts see it return, and each sends it as many
// requests as its own share permits.
TEST_F(UpstreamTableTest, ManyHostsTogetherDoNotOverloadAColdUpstream)
{
  constexpr int kHosts = 80;
  std::vector<HostId> names;
  std::vector<std::unique_ptr<UpstreamTable>> hosts;
  for (int i = 0; i < kHosts; ++i) {
    names.emplace_back("h" + std::to_string(i));
  }
  auto entry = MakeEngine("e1", 1000);
  entry.coldTimeLeft_ = 10s;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<UpstreamTable>(clock_, names[i], DataCentreId("dc1")));
    hosts.back()->SetServices(std::vector{ testing_support::MakeService() });
    hosts.back()->SetHosts(names);
    hosts.back()->OnEntry(entry);
  }
  std::vector<int> sent;
  for (int step = 0; step < 300; ++step) {
    clock_.Advance(10ms);
    int inStep = 0;
    for (auto& host : hosts) {
      while (host->Choose(NeedOf("")).upstream_ != nullptr) {
        host->OnAttemptSent(entry.id_);
        ++inStep;
      }
    }
    sent.push_back(inStep);
  }
  for (std::size_t i = 0; i + 100 <= sent.size(); ++i) {
    int inSecond = 0;
    for (std::size_t j = i; j < i + 100; ++j) {
      inSecond += sent[j];
    }
    ASSERT_LE(inSecond, 20 * 1.5 + 5) << "from step " << i;
  }
  int all = 0;
  for (const auto count : sent) {
    all += count;
  }
  EXPECT_GT(all, 20) << "a cold upstream is used";
}

// Guards against too many requests to a cold upstream: an entry that was written before an answer
// named a later end of the cold phase ended it early.
TEST_F(UpstreamTableTest, AnEntryDoesNotEndTheColdPhaseThatAnAnswerNamed)
{
  const auto id = Add("e1");
  table_.OnColdTime(id, 1, 10s);
  clock_.Advance(100ms);
  auto entry = MakeEngine("e1");
  entry.heartbeat_ = 2;
  entry.coldTimeLeft_ = 1s;
  table_.OnEntry(entry);
  EXPECT_EQ(table_.Find(id)->coldUntil_, clock_.Now() + 9900ms);
  entry.heartbeat_ = 3;
  entry.coldTimeLeft_ = 20s;
  table_.OnEntry(entry);
  EXPECT_EQ(table_.Find(id)->coldUntil_, clock_.Now() + 20s) << "the later end holds";
}

// Guards against an answer that was sent before the known end of the cold phase was named.
TEST_F(UpstreamTableTest, AnAnswerDoesNotEndTheColdPhaseEarly)
{
  auto entry = MakeEngine("e1");
  entry.coldTimeLeft_ = 10s;
  table_.OnEntry(entry);
  table_.OnColdTime(entry.id_, 1, 1s);
  EXPECT_EQ(table_.Find(entry.id_)->coldUntil_, clock_.Now() + 10s);
}

// Guards against a process that stays cold because of the cold phase of the one before it.
TEST_F(UpstreamTableTest, ANewProcessHasItsOwnColdPhase)
{
  const auto id = Add("e1");
  table_.OnColdTime(id, 1, 10s);
  auto entry = MakeEngine("e1");
  entry.startedAt_ = 2;
  entry.coldTimeLeft_ = 3s;
  table_.OnEntry(entry);
  EXPECT_EQ(table_.Find(id)->coldUntil_, clock_.Now() + 3s);
  table_.OnColdTime(id, 1, 10s);
  EXPECT_EQ(table_.Find(id)->coldUntil_, clock_.Now() + 3s) << "a late answer of the old process";
}

// Guards against a cold phase that grows each time that the store is read: an entry that was read
// before names the time that was left when it was written.
TEST_F(UpstreamTableTest, AnEntryThatIsReadAgainDoesNotExtendTheColdPhase)
{
  auto entry = MakeEngine("e1");
  entry.coldTimeLeft_ = 10s;
  table_.OnEntry(entry);
  const auto end = clock_.Now() + 10s;
  clock_.Advance(9s);
  table_.OnEntry(entry);
  EXPECT_EQ(table_.Find(entry.id_)->coldUntil_, end);
}

// Guards against a burst at the start of a cold phase that begins while a process runs: the hosts
// had saved a request each while it was not cold.
TEST_F(UpstreamTableTest, AColdPhaseBeginsWithoutSavedRequests)
{
  table_.SetHosts({ HostId("h1"), HostId("h2"), HostId("h3"), HostId("h4") });
  const auto id = Add("e1");
  clock_.Advance(10s);
  table_.OnColdTime(id, 1, 10s);
  EXPECT_EQ(table_.Choose(NeedOf("")).upstream_, nullptr);
  clock_.Advance(250ms);
  EXPECT_NE(table_.Choose(NeedOf("")).upstream_, nullptr) << "20 a second, less 0.2, over 4 hosts";
}

// Guards against an overload of an upstream whose entry was lost for a while: its process goes on
// with the requests that it had, and what its answers named still holds.
TEST_F(UpstreamTableTest, AnEntryThatComesBackKeepsWhatIsKnownOfItsProcess)
{
  const auto id = Add("e1");
  table_.OnAttemptSent(id);
  table_.OnAttemptSent(id);
  table_.OnRequestLimit(id, 1, 5);
  table_.OnColdTime(id, 1, 10s);
  const auto end = clock_.Now() + 10s;
  table_.OnRemoved(id);
  table_.OnAttemptEnded(id, AttemptHealth::Good, 1ms);
  Add("e1");
  EXPECT_EQ(table_.Find(id)->running_, 1U);
  EXPECT_EQ(table_.Find(id)->coldUntil_, end);
  EXPECT_EQ(table_.RequestLimit(id), 5);
  table_.OnRemoved(id);
  auto entry = MakeEngine("e1");
  entry.startedAt_ = 2;
  table_.OnEntry(entry);
  EXPECT_EQ(table_.Find(id)->running_, 1U) << "until it ends";
  EXPECT_FALSE(table_.RequestLimit(id));
  EXPECT_LE(table_.Find(id)->coldUntil_, clock_.Now());
}

// Guards against a new connection for each request: with many hosts and many engines, each pair
// exchanges a request every few seconds.
TEST_F(UpstreamTableTest, PrefersAnIdleConnectionBetweenEqualLoads)
{
  Add("e1", { { "a1", 1 } });
  const auto connected = Add("e2", { { "a1", 1 } });
  table_.Find(connected)->entry_.endpoint_.port_ = 10;
  table_.SetHasIdleConnection([](const Endpoint& aEndpoint) { return aEndpoint.port_ == 10; });
  EXPECT_EQ(table_.Choose(NeedOf("a1")).upstream_->entry_.id_, connected);
  table_.OnAttemptSent(connected);
  EXPECT_NE(table_.Choose(NeedOf("a1")).upstream_->entry_.id_, connected)
    << "1 of 8 slots is taken";
}

} // namespace
} // namespace laburnumweir
