/** @file authority_test.cpp Tests of the decision that no host goes on with an older membership. */
#include "state/authority_func.h"
#include "state/config_codec_func.h"

#include <functional>
#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };
const FreshnessSettings kSettings;
const TimePoint kOutageEnd = kStart + kSettings.Beyond(kSettings.outageBound_);

/** What host "a" knows. All records are seen at kStart unless said otherwise. */
class Knowledge
{
public:
  void Append(const ConfigRecord& aRecord, TimePoint aNow = kStart)
  {
    state_.Fold(state_.NextOffset(), EncodeRecord(aRecord));
    progress_.OnState(state_, aNow);
  }
  void Join(const std::string& aHost, Incarnation aIncarnation = 1)
  {
    Append(JoinRecord{ HostId(aHost), aIncarnation, "127.0.0.1", 1, DataCentreId("dc") });
  }
  /** Hosts join in the sequence of the letters, from offset 0 on. */
  void JoinAll(const std::string& aLetters)
  {
    for (const char letter : aLetters) {
      Join(std::string(1, letter));
    }
  }
  void Remove(const std::string& aHost, LogOffset aHeardNext = 0, TimePoint aNow = kStart)
  {
    Append(RemoveRecord{ HostId(aHost), 1, HostId("a"), 1, aHeardNext }, aNow);
  }
  /** The hosts said that they stand at a position. */
  void Hear(const std::string& aLetters, LogOffset aNext)
  {
    for (const char letter : aLetters) {
      progress_.OnHeard({ HostId(std::string(1, letter)), 1 }, aNext);
    }
  }
  void HearAll(const std::string& aLetters) { Hear(aLetters, state_.NextOffset()); }
  /** Another host starts with the state and has heard nobody yet. */
  void StartAnew(TimePoint aNow)
  {
    progress_ = HostProgress();
    progress_.OnState(state_, aNow);
  }

  LogOffset Last() const { return state_.NextOffset() - 1; }
  bool IsKnown(LogOffset aOffset, TimePoint aNow = kStart) const
  {
    return IsMembershipKnown(state_, progress_, { HostId("a"), 1 }, kSettings, aOffset, aNow);
  }
  bool IsLastKnown(TimePoint aNow = kStart) const { return IsKnown(Last(), aNow); }

private:
  ConfigState state_;
  HostProgress progress_;
};

struct AuthorityCase
{
  const char* name_;                       ///< Name of the case.
  std::function<void(Knowledge&)> happen_; ///< What host "a" learns.
  bool isKnown_;                           ///< Whether the last record is known at kStart.
  bool isKnownAfterOutage_;                ///< The same after the outage bound.
};

std::ostream&
operator<<(std::ostream& aStream, const AuthorityCase& aCase)
{
  return aStream << aCase.name_;
}

std::vector<AuthorityCase>
Cases()
{
  return {
    { "AllMembersFoldedIt",
      [](Knowledge& aOne) {
        aOne.JoinAll("abc");
        aOne.HearAll("bc");
      },
      true,
      true },
    { "OneMemberIsNotHeard",
      [](Knowledge& aOne) {
        aOne.JoinAll("abcd");
        aOne.HearAll("bd");
      },
      false,
      false },
    { "TheNewMemberIsNotHeard",
      [](Knowledge& aOne) {
        aOne.JoinAll("abc");
        aOne.HearAll("b");
      },
      true,
      true },
    { "OneMemberIsBehind",
      [](Knowledge& aOne) {
        aOne.JoinAll("abcd");
        aOne.HearAll("bd");
        aOne.Hear("c", 3);
      },
      false,
      false },
    { "OneOfThreeWasKilledAndTheOtherIsSilent",
      [](Knowledge& aOne) {
        aOne.JoinAll("abc");
        aOne.HearAll("bc");
        aOne.Remove("c");
      },
      false,
      false },
    { "OneOfThreeWasKilled",
      [](Knowledge& aOne) {
        aOne.JoinAll("abc");
        aOne.HearAll("bc");
        aOne.Remove("c");
        aOne.HearAll("b");
      },
      true,
      true },
    { "OneOfEightWasKilled",
      [](Knowledge& aOne) {
        aOne.JoinAll("abcdefgh");
        aOne.HearAll("bcdefgh");
        aOne.Remove("h");
        aOne.HearAll("bcdefg");
      },
      true,
      true },
    // The hosts that lost the log are two of three in their view.
    { "NewHostsRemoveTheOldMajority",
      [](Knowledge& aOne) {
        aOne.JoinAll("abc");
        aOne.HearAll("bc");
        aOne.JoinAll("defg");
        aOne.Remove("b");
        aOne.Remove("c");
        aOne.HearAll("defg");
      },
      false,
      true },
    { "NewHostsRemoveTheOldMajorityWhichKnowsThem",
      [](Knowledge& aOne) {
        aOne.JoinAll("abcdefg");
        aOne.HearAll("bcdefg");
        aOne.Remove("b");
        aOne.Remove("c");
        aOne.HearAll("defg");
      },
      true,
      true },
    // Each was alone in its removal; together they are a majority of {a, b, c}.
    { "RemovedOneByOne",
      [](Knowledge& aOne) {
        aOne.JoinAll("abc");
        aOne.HearAll("bc");
        aOne.JoinAll("de");
        aOne.Remove("b");
        aOne.JoinAll("fgh");
        aOne.Remove("c");
        aOne.HearAll("defgh");
      },
      false,
      true },
    // At no position are two of the removed hosts members together.
    { "RemovedOneAfterAnother",
      [](Knowledge& aOne) {
        aOne.JoinAll("abc");
        aOne.HearAll("bc");
        aOne.Remove("c");
        aOne.JoinAll("de");
        aOne.HearAll("bde");
        aOne.Remove("e");
        aOne.JoinAll("fg");
        aOne.HearAll("bdfg");
        aOne.Remove("g");
        aOne.HearAll("bdf");
      },
      true,
      true },
    { "RemovedHostFoldedItsRemoval",
      [](Knowledge& aOne) {
        aOne.JoinAll("abcd");
        aOne.Remove("c");
        aOne.Remove("d");
        aOne.HearAll("b");
        aOne.Hear("c", 5);
        aOne.Hear("d", 6);
      },
      true,
      true },
    { "LastPositionOfTheRemovedHostIsNotKnown",
      [](Knowledge& aOne) {
        aOne.JoinAll("ba");
        aOne.Remove("b");
      },
      false,
      true },
    { "RemovedHostJoinedAgain",
      [](Knowledge& aOne) {
        aOne.JoinAll("ba");
        aOne.Remove("b");
        aOne.Join("b", 2);
      },
      true,
      true },
    { "RestartedHostReplacesItsEarlierLife",
      [](Knowledge& aOne) {
        aOne.JoinAll("ba");
        aOne.Join("b", 2);
      },
      true,
      true },
    // A life whose end is recorded by a leave confirms the state of no other host.
    { "HostLeft",
      [](Knowledge& aOne) {
        aOne.JoinAll("ba");
        aOne.Append(LeaveRecord{ HostId("b"), 1 });
      },
      true,
      true },
    { "HistoryIsTooShort",
      [](Knowledge& aOne) {
        aOne.JoinAll("ab");
        aOne.Remove("b", 2);
        for (std::size_t i = 0; i < ConfigState::kHistoryMemory / 2; ++i) {
          const std::string host = "x" + std::to_string(i);
          aOne.Join(host);
          aOne.Append(LeaveRecord{ HostId(host), 1 });
        }
      },
      false,
      true },
  };
}

class AuthorityCaseTest : public testing::TestWithParam<AuthorityCase>
{};

/** Guards against a new owner that acts while the old one goes on, and against one that waits for
 * the outage bound although the old one cannot go on. */
TEST_P(AuthorityCaseTest, TellsWhetherTheRecordIsKnown)
{
  Knowledge knowledge;
  GetParam().happen_(knowledge);
  EXPECT_EQ(GetParam().isKnown_, knowledge.IsLastKnown());
  EXPECT_EQ(GetParam().isKnown_, knowledge.IsLastKnown(kOutageEnd - milliseconds(1)));
  EXPECT_EQ(GetParam().isKnownAfterOutage_, knowledge.IsLastKnown(kOutageEnd));
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         AuthorityCaseTest,
                         testing::ValuesIn(Cases()),
                         [](const auto& aInfo) { return std::string(aInfo.param.name_); });

/** Guards against a wait that starts before this host itself has folded the record. */
TEST(IsMembershipKnown, TheRecordMustBeFolded)
{
  Knowledge knowledge;
  knowledge.JoinAll("a");
  EXPECT_TRUE(knowledge.IsKnown(0));
  EXPECT_FALSE(knowledge.IsKnown(1));
}

/** Guards against a host that is counted as its later life before that has joined. */
TEST(IsMembershipKnown, AnotherLifeOfThisHostDoesNotCountAsItself)
{
  Knowledge knowledge;
  knowledge.Join("a", 2);
  knowledge.JoinAll("b");
  knowledge.HearAll("b");
  EXPECT_FALSE(knowledge.IsLastKnown());
}

/** Guards against a host removed after the record that counts although it had folded the record,
 * and against one that does not count although it had not. */
TEST(IsMembershipKnown, LaterRemovalsCountIfTheRecordWasNotFolded)
{
  for (const LogOffset position : { 3, 4 }) {
    Knowledge knowledge;
    knowledge.JoinAll("abcd");
    knowledge.Remove("b");
    knowledge.Remove("c");
    knowledge.Hear("bc", position);
    knowledge.HearAll("d");
    EXPECT_EQ(position == 4, knowledge.IsKnown(3)) << position;
  }
}

/** Guards against a host that joined after a removal and waits for the outage bound, and against
 * one that does not wait although it cannot tell where the removed hosts stand. */
TEST(IsMembershipKnown, AHostThatStartsLaterUsesTheRecordedPosition)
{
  for (const LogOffset heard : { 0, 3 }) {
    Knowledge knowledge;
    knowledge.JoinAll("bca");
    knowledge.Remove("b", heard);
    knowledge.StartAnew(kStart + seconds(60));
    knowledge.HearAll("c");
    EXPECT_EQ(heard == 3, knowledge.IsLastKnown(kStart + seconds(60))) << heard;
    EXPECT_EQ(heard == 3, knowledge.IsLastKnown(kOutageEnd)) << heard;
    EXPECT_TRUE(knowledge.IsLastKnown(kOutageEnd + seconds(60))) << heard;
  }
}

/** Guards against a recorded position that takes the place of a greater one heard later. */
TEST(IsMembershipKnown, TheGreaterOfTheTwoPositionsCounts)
{
  Knowledge knowledge;
  knowledge.JoinAll("bca");
  knowledge.Remove("b", 1);
  knowledge.HearAll("c");
  EXPECT_FALSE(knowledge.IsLastKnown());
  knowledge.Hear("b", 3);
  EXPECT_TRUE(knowledge.IsLastKnown());
}

/** Guards against a full history that blocks every takeover, although only old removals are
 * forgotten. */
TEST(IsMembershipKnown, AFullHistoryOfOldRecordsIsLongEnough)
{
  Knowledge knowledge;
  knowledge.JoinAll("ab");
  for (std::size_t i = 0; i < ConfigState::kHistoryMemory; ++i) {
    const std::string host = "x" + std::to_string(i);
    knowledge.Join(host);
    knowledge.Append(LeaveRecord{ HostId(host), 1 });
  }
  knowledge.HearAll("b");
  EXPECT_FALSE(knowledge.IsLastKnown());
  knowledge.Remove("b", knowledge.Last() + 1, kOutageEnd);
  EXPECT_TRUE(knowledge.IsLastKnown(kOutageEnd));
}

} // namespace
} // namespace laburnumweir
