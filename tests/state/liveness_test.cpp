/** @file liveness_test.cpp Tests of removal proposals and of the times of snapshots. */
#include "state/liveness_tracker.h"
#include "state/snapshot_scheduler.h"

#include "state/config_codec_func.h"

#include <gtest/gtest.h>
#include <set>

namespace laburnumweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

/** Several hosts with a table of who can hear whom. */
class LivenessTest : public testing::Test
{
protected:
  void Start(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Member member;
      member.host_ = HostId("h" + std::to_string(i));
      member.incarnation_ = 1;
      members_[member.host_] = member;
    }
    for (const auto& [host, member] : members_) {
      trackers_.emplace(host, LivenessTracker({ host, 1 }, LivenessSettings{}));
      trackers_.at(host).SetMembers(members_, now_);
    }
  }

  /** Runs heartbeats and collects who is proposed by anyone. */
  std::set<HostId> Run(Duration aTime)
  {
    std::set<HostId> proposed;
    for (const TimePoint end = now_ + aTime; now_ < end; now_ += milliseconds(250)) {
      for (auto& [host, tracker] : trackers_) {
        if (down_.contains(host)) {
          continue;
        }
        tracker.Tick(now_);
        for (const HostLife& target : tracker.Targets()) {
          if (!down_.contains(target.host_) && !cut_.contains({ host, target.host_ })) {
            tracker.OnAnswer(target, now_, trackers_.at(target.host_).Report(now_));
          }
        }
        for (const HostLife& life : tracker.Removals(now_)) {
          proposed.insert(life.host_);
        }
      }
    }
    return proposed;
  }

  std::map<HostId, Member> members_;
  std::map<HostId, LivenessTracker> trackers_;
  std::set<HostId> down_;
  std::set<std::pair<HostId, HostId>> cut_;
  TimePoint now_ = kStart;
};

/** Guards against a dead host that stays a member, in a mesh and in a ring. */
TEST_F(LivenessTest, ProposesADeadHost)
{
  for (const int count : { 2, 3, 8, 12, 13, 40 }) {
    members_.clear();
    trackers_.clear();
    down_.clear();
    Start(count);
    EXPECT_TRUE(Run(seconds(5)).empty()) << count;
    down_ = { HostId("h1") };
    // The host was last heard one interval before.
    EXPECT_TRUE(Run(milliseconds(1250)).empty()) << count;
    EXPECT_EQ(down_, Run(seconds(3))) << count;
  }
}

/** Guards against removing a host that most others reach, or a majority by a minority. */
TEST_F(LivenessTest, KeepsHostsThatOthersReach)
{
  Start(5);
  cut_ = { { HostId("h0"), HostId("h1") }, { HostId("h2"), HostId("h1") } };
  EXPECT_TRUE(Run(seconds(10)).empty());
  cut_.clear();
  for (const char* left : { "h0", "h1" }) {
    for (const char* right : { "h2", "h3", "h4" }) {
      cut_.insert({ HostId(left), HostId(right) });
      cut_.insert({ HostId(right), HostId(left) });
    }
  }
  EXPECT_EQ((std::set<HostId>{ HostId("h0"), HostId("h1") }), Run(seconds(10)));
}

/** Guards against a host that blames all others for its own pause. */
TEST_F(LivenessTest, APausedHostProposesNobody)
{
  Start(3);
  Run(seconds(2));
  now_ += seconds(30);
  EXPECT_TRUE(trackers_.at(HostId("h0")).Removals(now_).empty());
  EXPECT_TRUE(Run(seconds(5)).empty());
}

/** Guards against heartbeats that grow with the square of a large fleet. */
TEST_F(LivenessTest, ARingAsksFourSuccessors)
{
  Start(12);
  EXPECT_EQ(11U, trackers_.at(HostId("h0")).Targets().size());
  trackers_.clear();
  Start(370);
  EXPECT_EQ(4U, trackers_.at(HostId("h0")).Targets().size());
}

/** Guards against a stream that loses its last snapshot, and against all hosts writing one at once.
 */
TEST(SnapshotScheduler, AppendsInTimeAndOneAfterTheOther)
{
  ConfigState state;
  SnapshotSettings settings;
  const WallTime wall{ std::chrono::hours(1000) };
  SnapshotScheduler first(settings);
  SnapshotScheduler second(settings);
  SeededRandom random(1);
  EXPECT_FALSE(first.IsDue(state, wall));
  for (const char* host : { "a", "b" }) {
    state.Fold(state.NextOffset(),
               EncodeRecord(JoinRecord{ HostId(host), 1, "127.0.0.1", 1, DataCentreId("dc") }));
  }
  EXPECT_FALSE(first.ShouldAppend(state, HostId("a"), kStart, wall, random));
  EXPECT_FALSE(second.ShouldAppend(state, HostId("b"), kStart, wall, random));
  EXPECT_TRUE(first.ShouldAppend(state, HostId("a"), kStart + settings.step_, wall, random));
  state.Fold(2, EncodeRecord(MakeSnapshot(state, wall)));
  EXPECT_FALSE(second.ShouldAppend(state, HostId("b"), kStart + settings.step_ * 3, wall, random));
  EXPECT_FALSE(first.IsDue(state, wall + settings.retention_ / 3 - milliseconds(1)));
  EXPECT_TRUE(first.IsDue(state, wall + settings.retention_ / 3));
  while (state.NextOffset() < 2 + settings.records_) {
    state.Fold(state.NextOffset(), R"({"v":1,"kind":"later"})");
  }
  EXPECT_FALSE(first.IsDue(state, wall));
  state.Fold(state.NextOffset(), R"({"v":1,"kind":"later"})");
  EXPECT_TRUE(first.IsDue(state, wall));
  EXPECT_FALSE(first.ShouldAppend(state, HostId("z"), kStart + seconds(60), wall, random));
}

/** Guards against a new life with the incarnation of an earlier one. */
TEST(MakeIncarnation, GrowsAndDiffers)
{
  SeededRandom random(1);
  const WallTime wall{ std::chrono::hours(500000) };
  const Incarnation first = MakeIncarnation(0, wall, random);
  EXPECT_GT(MakeIncarnation(first, wall - seconds(60), random), first);
  EXPECT_NE(MakeIncarnation(0, wall, random), first);
}

} // namespace
} // namespace laburnumweir
