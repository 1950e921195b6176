/** @file freshness_test.cpp Tests of the evidence that a state is the newest one. */
#include "state/freshness_tracker.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

TimePoint
At(int aMilliseconds)
{
  return kStart + milliseconds(aMilliseconds);
}

/** A tracker of host "h0" with some members, all of incarnation 1. */
class FreshnessTest : public testing::Test
{
protected:
  static FreshnessSettings Settings()
  {
    FreshnessSettings settings;
    settings.outageBound_ = std::chrono::seconds(20);
    settings.clockErrorPercent_ = 0;
    settings.clockErrorFixed_ = Duration(0);
    return settings;
  }

  void Fold(LogOffset aNext, int aMembers)
  {
    std::map<HostId, Member> members;
    for (int i = 0; i < aMembers; ++i) {
      Member member;
      member.host_ = HostId("h" + std::to_string(i));
      member.incarnation_ = 1;
      members[member.host_] = member;
    }
    tracker_.OnState(aNext, members);
  }

  void Answer(int aHost,
              int aAsked,
              LogOffset aNext,
              std::optional<Duration> aLogAge = std::nullopt)
  {
    PeerAnswer answer;
    answer.life_ = HostLife{ HostId("h" + std::to_string(aHost)), 1 };
    answer.asked_ = At(aAsked);
    answer.hasState_ = true;
    answer.next_ = aNext;
    answer.logAge_ = aLogAge;
    tracker_.OnPeerAnswer(answer);
  }

  FreshnessMode ModeAt(int aMilliseconds)
  {
    tracker_.Update(At(aMilliseconds));
    return tracker_.Mode();
  }

  FreshnessTracker tracker_{ HostLife{ HostId("h0"), 1 }, Settings() };
};

/** Guards against evidence that is timed by its answer: a change may be accepted between both. */
TEST_F(FreshnessTest, LogEvidenceCountsFromTheQuestion)
{
  Fold(5, 1);
  tracker_.SetPendingAppend(true);
  tracker_.OnLogAnswer(At(0), 5);
  EXPECT_EQ(At(2000), tracker_.Update(At(1500)));
  EXPECT_EQ(FreshnessMode::Fresh, tracker_.Mode());
  EXPECT_EQ(FreshnessMode::Lapsed, ModeAt(2000));
}

/** Guards against admitting before the records that the log reported are folded. */
TEST_F(FreshnessTest, LogEvidenceWaitsForTheFold)
{
  Fold(5, 3);
  tracker_.OnLogAnswer(At(0), 7);
  EXPECT_EQ(FreshnessMode::Lapsed, ModeAt(10));
  Fold(6, 3);
  EXPECT_EQ(FreshnessMode::Lapsed, ModeAt(20));
  Fold(7, 3);
  EXPECT_EQ(FreshnessMode::Fresh, ModeAt(30));
  EXPECT_EQ(milliseconds(30), tracker_.LogAge(At(30)));
}

/** Guards against a peer's evidence that is taken as newer than it is, or without its records. */
TEST_F(FreshnessTest, PeerEvidenceIsTimedByItsAge)
{
  Fold(5, 5);
  Answer(1, 1000, 6, milliseconds(400));
  EXPECT_EQ(FreshnessMode::Lapsed, ModeAt(1100));
  Fold(6, 5);
  EXPECT_EQ(At(2600), tracker_.Update(At(1200)));
  EXPECT_EQ(FreshnessMode::Fresh, tracker_.Mode());
}

/** Guards against a minority, a newer or an undecided peer that counts as agreement. */
TEST_F(FreshnessTest, OutageModeNeedsAMajorityWithTheSameState)
{
  Fold(5, 5);
  tracker_.OnLogAnswer(At(0), 5);
  Answer(1, 3000, 5);
  EXPECT_EQ(FreshnessMode::Lapsed, ModeAt(3100));
  Answer(2, 3050, 6);
  EXPECT_EQ(FreshnessMode::Lapsed, ModeAt(3100));
  PeerAnswer pending;
  pending.life_ = HostLife{ HostId("h3"), 1 };
  pending.asked_ = At(3050);
  pending.hasState_ = true;
  pending.next_ = 5;
  pending.hasPendingAppend_ = true;
  tracker_.OnPeerAnswer(pending);
  EXPECT_EQ(FreshnessMode::Lapsed, ModeAt(3100));
  Answer(4, 3080, 4);
  EXPECT_EQ(At(5000), tracker_.Update(At(3100)));
  EXPECT_EQ(FreshnessMode::OutageMode, tracker_.Mode());
}

/** Guards against a restarted peer that took its state from this host and now confirms it. */
TEST_F(FreshnessTest, AnswersOfALaterLifeDoNotCount)
{
  Fold(5, 3);
  tracker_.OnLogAnswer(At(0), 5);
  PeerAnswer answer;
  answer.life_ = HostLife{ HostId("h1"), 2 };
  answer.asked_ = At(3000);
  answer.hasState_ = true;
  answer.next_ = 5;
  tracker_.OnPeerAnswer(answer);
  EXPECT_EQ(FreshnessMode::Lapsed, ModeAt(3100));
  answer.life_.incarnation_ = 1;
  answer.hasState_ = false;
  tracker_.OnPeerAnswer(answer);
  EXPECT_EQ(FreshnessMode::Lapsed, ModeAt(3100));
}

/** Guards against an outage bound that the members renew for each other. */
TEST_F(FreshnessTest, OutageModeEndsAtTheOutageBound)
{
  Fold(5, 3);
  tracker_.OnLogAnswer(At(0), 5);
  for (int time = 1000; time < 30000; time += 1000) {
    // The peers are in the same position: their newest evidence from the log is as old.
    Answer(1, time, 5, milliseconds(time));
    Answer(2, time, 5, milliseconds(time));
    const FreshnessMode expected = time < 2000    ? FreshnessMode::Fresh
                                   : time < 20000 ? FreshnessMode::OutageMode
                                                  : FreshnessMode::Lapsed;
    EXPECT_EQ(expected, ModeAt(time)) << time;
  }
}

/** Guards against admitting without a state or after the host's removal. */
TEST_F(FreshnessTest, NeedsAStateAndMembership)
{
  EXPECT_EQ(FreshnessMode::NoState, ModeAt(0));
  tracker_.OnLogAnswer(At(0), 0);
  Fold(0, 0);
  EXPECT_EQ(FreshnessMode::NotAMember, ModeAt(10));
  EXPECT_EQ(TimePoint::min(), tracker_.Update(At(10)));
  Fold(1, 2);
  tracker_.OnLogAnswer(At(10), 1);
  EXPECT_EQ(FreshnessMode::Fresh, ModeAt(20));
  tracker_.OnNewLife(HostLife{ HostId("h0"), 2 });
  EXPECT_EQ(FreshnessMode::NotAMember, ModeAt(30));
  tracker_.OnStateLost();
  EXPECT_EQ(FreshnessMode::NoState, ModeAt(40));
  EXPECT_EQ(std::nullopt, tracker_.LogAge(At(40)));
}

/** Guards against clocks whose errors add up to more than the bound. */
TEST(FreshnessSettings, LeavesRoomForTheErrorOfBothClocks)
{
  const FreshnessSettings settings;
  EXPECT_EQ(milliseconds(2150), settings.Beyond(std::chrono::seconds(2)));
  EXPECT_GT(milliseconds(1858), settings.Within(std::chrono::seconds(2)));
  EXPECT_LT(milliseconds(1857), settings.Within(std::chrono::seconds(2)));
}

} // namespace
} // namespace laburnumweir
