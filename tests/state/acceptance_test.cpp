/** @file acceptance_test.cpp Tests of the decision that a change is in force everywhere. */
#include "state/acceptance_tracker.h"
#include "state/config_codec_func.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

HostLife
Life(const std::string& aHost)
{
  return HostLife{ HostId(aHost), 1 };
}

/** Hosts a to e join; then changes and removals follow. Host "a" decides. */
class AcceptanceTest : public testing::Test
{
protected:
  void Append(const ConfigRecord& aRecord, TimePoint aNow)
  {
    state_.Fold(state_.NextOffset(), EncodeRecord(aRecord));
    progress_.OnState(state_, aNow);
  }

  void Join(const std::string& aHost, TimePoint aNow = kStart)
  {
    Append(JoinRecord{ HostId(aHost), 1, "127.0.0.1", 1, DataCentreId("dc") }, aNow);
  }

  void Remove(const std::string& aHost, TimePoint aNow)
  {
    Append(RemoveRecord{ HostId(aHost), 1, HostId("a"), 1 }, aNow);
  }

  void Change(const std::string& aId, TimePoint aNow)
  {
    ChangeRecord record;
    record.id_ = aId;
    record.base_ = state_.Revision();
    Append(record, aNow);
    offset_ = state_.NextOffset() - 1;
  }

  void Hear(const std::string& aHost) { progress_.OnHeard(Life(aHost), state_.NextOffset()); }

  AcceptanceStatus At(TimePoint aNow)
  {
    result_ = tracker_.Update(&state_, progress_, aNow);
    return result_.status_;
  }

  FreshnessSettings settings_;
  ConfigState state_;
  HostProgress progress_;
  AcceptanceTracker tracker_{ "c", Life("a"), settings_, kStart + std::chrono::hours(2) };
  AcceptanceResult result_;
  LogOffset offset_ = 0;
};

/** Guards against an acceptance that is said before the last host has the change. */
TEST_F(AcceptanceTest, WaitsForEveryMember)
{
  Join("a");
  Join("b");
  Join("c");
  EXPECT_EQ(AcceptanceStatus::Pending, At(kStart));
  Change("c", kStart);
  EXPECT_EQ(AcceptanceStatus::Pending, At(kStart));
  Hear("b");
  EXPECT_EQ(AcceptanceStatus::Pending, At(kStart + milliseconds(10)));
  ASSERT_EQ(3U, result_.hosts_.size());
  EXPECT_EQ(HostChangeStatus::Folded, result_.hosts_[1].status_);
  EXPECT_EQ(HostChangeStatus::Waiting, result_.hosts_[2].status_);
  Hear("c");
  EXPECT_EQ(AcceptanceStatus::Accepted, At(kStart + milliseconds(20)));
  EXPECT_EQ(offset_, result_.revision_);
}

/** Guards against a silent host that blocks every change, and against passing over it too early. */
TEST_F(AcceptanceTest, ASilentMinorityLapsesAfterTheFreshnessBound)
{
  Join("a");
  Join("b");
  Join("c");
  Change("c", kStart);
  EXPECT_EQ(AcceptanceStatus::Pending, At(kStart));
  Hear("b");
  EXPECT_EQ(AcceptanceStatus::Pending, At(kStart + milliseconds(500)));
  const TimePoint lapse = kStart + milliseconds(500) + settings_.Beyond(settings_.bound_);
  EXPECT_EQ(AcceptanceStatus::Pending, At(lapse - milliseconds(1)));
  EXPECT_EQ(AcceptanceStatus::Accepted, At(lapse));
  EXPECT_EQ(HostChangeStatus::Lapsed, result_.hosts_[2].status_);
}

/** Guards against hosts that can still agree among themselves while the others are told otherwise.
 */
TEST_F(AcceptanceTest, ASilentMajorityLapsesAfterTheOutageBound)
{
  for (const char* host : { "a", "b", "c", "d", "e" }) {
    Join(host);
  }
  Change("c", kStart);
  EXPECT_EQ(AcceptanceStatus::Pending, At(kStart));
  Hear("b");
  EXPECT_EQ(AcceptanceStatus::Pending, At(kStart + seconds(60)));
  const TimePoint lapse = kStart + settings_.Beyond(settings_.outageBound_);
  EXPECT_EQ(AcceptanceStatus::Pending, At(lapse - milliseconds(1)));
  EXPECT_EQ(AcceptanceStatus::Accepted, At(lapse));
}

/** Guards against removed hosts that were cut off together and still are a majority in their view.
 */
TEST_F(AcceptanceTest, RemovedHostsMatterUntilTheOutageBound)
{
  for (const char* host : { "a", "b", "c", "d", "e" }) {
    Join(host);
  }
  for (const char* host : { "c", "d", "e" }) {
    Remove(host, kStart + seconds(5));
  }
  Change("c", kStart + seconds(10));
  Hear("b");
  EXPECT_EQ(AcceptanceStatus::Pending, At(kStart + seconds(10)));
  const TimePoint lapse = kStart + seconds(5) + settings_.Beyond(settings_.outageBound_);
  EXPECT_EQ(AcceptanceStatus::Pending, At(lapse - milliseconds(1)));
  EXPECT_EQ(AcceptanceStatus::Accepted, At(lapse));
}

/** Guards against counting hosts of which a silent host does not know. */
TEST_F(AcceptanceTest, LaterMembersDoNotCountAgainstASilentHost)
{
  Join("a");
  Join("x");
  Join("b");
  Change("c", kStart);
  Hear("b");
  // "x" was last heard before "b" joined; its view may be {a, x}, and "a" alone is half of it.
  EXPECT_EQ(AcceptanceStatus::Pending, At(kStart));
  EXPECT_EQ(AcceptanceStatus::Pending, At(kStart + settings_.Beyond(settings_.bound_)));
  progress_.OnHeard(Life("x"), 3);
  EXPECT_EQ(AcceptanceStatus::Accepted, At(kStart + settings_.Beyond(settings_.bound_)));
}

/** Guards against a rejected or undecided change that is reported as accepted. */
TEST_F(AcceptanceTest, ReportsRejectionAndTheTimeLimit)
{
  Join("a");
  Join("b");
  Change("other", kStart);
  ChangeRecord stale;
  stale.id_ = "c";
  stale.base_ = kNoRevision;
  AcceptanceTracker unknown("lost", Life("a"), settings_, kStart + seconds(5));
  EXPECT_EQ(AcceptanceStatus::Pending,
            unknown.Update(&state_, progress_, kStart + seconds(4)).status_);
  EXPECT_EQ(AcceptanceStatus::Unknown,
            unknown.Update(nullptr, progress_, kStart + seconds(5)).status_);
  Append(stale, kStart);
  EXPECT_EQ(AcceptanceStatus::Rejected, At(kStart));
  EXPECT_EQ(offset_, result_.revision_);
}

/** Guards against an early acceptance when removed hosts are forgotten because so many came and
 * went. */
TEST_F(AcceptanceTest, WaitsWhenTheHistoryIsFull)
{
  Join("a");
  Join("removed");
  Remove("removed", kStart);
  for (std::size_t i = 0; i <= ConfigState::kHistoryMemory / 2; ++i) {
    const std::string host = "x" + std::to_string(i);
    Join(host);
    Append(LeaveRecord{ HostId(host), 1 }, kStart);
  }
  Change("c", kStart);
  const TimePoint lapse = kStart + settings_.Beyond(settings_.outageBound_);
  EXPECT_EQ(AcceptanceStatus::Pending, At(kStart));
  EXPECT_EQ(AcceptanceStatus::Pending, At(lapse - milliseconds(1)));
  EXPECT_EQ(AcceptanceStatus::Accepted, At(lapse));
}

/** Guards against status lines of hosts that were removed long ago. */
TEST_F(AcceptanceTest, DoesNotListHostsThatLapsedBeforeTheChange)
{
  Join("a");
  Join("b");
  Remove("b", kStart);
  const TimePoint later = kStart + settings_.Beyond(settings_.outageBound_);
  Change("c", later);
  EXPECT_EQ(AcceptanceStatus::Accepted, At(later));
  EXPECT_EQ(1U, result_.hosts_.size());
}

/** Guards against waiting for a host that left by itself. */
TEST_F(AcceptanceTest, HostsThatLeftDoNotMatter)
{
  Join("a");
  Join("b");
  Append(LeaveRecord{ HostId("b"), 1 }, kStart);
  Change("c", kStart);
  EXPECT_EQ(AcceptanceStatus::Accepted, At(kStart));
}

} // namespace
} // namespace laburnumweir
