/** @file authority_test.cpp Tests of the decision that no host goes on with an older membership. */
#include "state/authority_func.h"
#include "state/config_codec_func.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <rapidcheck.h>
#include <stdexcept>
#include <string>
#include <vector>

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

/** What host "a" learns, and what it must then tell of the last record. */
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
    for (const char* host : { "b", "c", "d" }) {
      knowledge.Remove(host);
    }
    knowledge.Hear("bcd", position);
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

constexpr std::size_t kHosts = 7;
constexpr std::size_t kFirstHosts = 3; // few, so that hosts that join can outvote them
constexpr Duration kTick = milliseconds(500);
constexpr Duration kSilence = milliseconds(1500);
constexpr int kLeaveTicks = 8;

/** Kind of a step of a history; the fields of Step are used as far as they apply. */
enum class StepKind : std::uint8_t
{
  Advance,    ///< Time passes.
  Split,      ///< The hosts of the mask are cut off from the others.
  SplitNoLog, ///< The same, and from the log.
  HealPeers,  ///< All hosts reach each other.
  CutLog,     ///< The hosts of the mask are cut off from the log.
  HealLog,    ///< All hosts reach the log.
  Kill,       ///< A host ends.
  Start,      ///< The hosts of the mask start, also again.
  Remove,     ///< A host removes another one that it may well hear.
  Leave       ///< A host leaves and answers for a while.
};

constexpr std::array<const char*, 10> kStepNames = { "advance",    "split",   "split-no-log",
                                                     "heal-peers", "cut-log", "heal-log",
                                                     "kill",       "start",   "remove",
                                                     "leave" };

struct Step
{
  StepKind kind_ = StepKind::Advance; ///< What happens.
  std::size_t host_ = 0;              ///< Host that does it.
  std::size_t other_ = 0;             ///< Host to remove.
  unsigned mask_ = 0;                 ///< Set of hosts.
  int ticks_ = 1;                     ///< Time that passes afterwards.
};

std::ostream&
operator<<(std::ostream& aStream, const Step& aStep)
{
  return aStream << kStepNames.at(static_cast<std::size_t>(aStep.kind_)) << " h" << aStep.host_
                 << " h" << aStep.other_ << " mask " << aStep.mask_ << " ticks " << aStep.ticks_;
}

rc::Gen<Step>
AnyStep()
{
  return rc::gen::build<Step>(
    rc::gen::set(&Step::kind_,
                 rc::gen::weightedElement<StepKind>({ { 6, StepKind::Advance },
                                                      { 2, StepKind::Split },
                                                      { 3, StepKind::SplitNoLog },
                                                      { 2, StepKind::HealPeers },
                                                      { 2, StepKind::CutLog },
                                                      { 2, StepKind::HealLog },
                                                      { 2, StepKind::Kill },
                                                      { 4, StepKind::Start },
                                                      { 1, StepKind::Remove },
                                                      { 1, StepKind::Leave } })),
    rc::gen::set(&Step::host_, rc::gen::inRange<std::size_t>(0, kHosts)),
    rc::gen::set(&Step::other_, rc::gen::inRange<std::size_t>(0, kHosts)),
    rc::gen::set(&Step::mask_, rc::gen::inRange<unsigned>(0, 1U << kHosts)),
    rc::gen::set(&Step::ticks_, rc::gen::inRange(0, 12)));
}

/** Counts that show that the histories reach what they are meant to test. */
struct AuthorityCounts
{
  std::uint64_t known_ = 0;   ///< Records for which the wait was over at some host.
  std::uint64_t early_ = 0;   ///< Of these, with a host that had not folded the record.
  std::uint64_t outage_ = 0;  ///< Ticks of hosts in outage mode.
  std::uint64_t removed_ = 0; ///< Removals.
  std::uint64_t left_ = 0;    ///< Leaves.
};

/** Hosts with their trackers, a log and a network that loses and delays answers. */
class Fleet
{
public:
  Fleet(std::uint64_t aSeed, AuthorityCounts& aCounts)
    : random_(aSeed)
    , counts_(aCounts)
  {
    settings_.outageBound_ = seconds(8);
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts_.at(i).id_ = HostId("h" + std::to_string(i));
      // Two clocks differ by at most 4.1% in rate, within the error bound of 5%.
      hosts_.at(i).rate_ = 0.98 + 0.01 * static_cast<double>(random_.Below(5));
    }
    for (std::size_t i = 0; i < kFirstHosts; ++i) {
      Start(hosts_.at(i));
    }
    for (int i = 0; i < 4; ++i) {
      Tick();
    }
  }

  /** @throws std::runtime_error if a host admits under a membership that is over. */
  void Run(const Step& aStep)
  {
    Do(aStep);
    for (int i = 0; i < aStep.ticks_; ++i) {
      Tick();
    }
  }

private:
  struct Host
  {
    HostId id_;                                   ///< Name.
    bool isUp_ = false;                           ///< Whether it runs.
    std::uint64_t process_ = 0;                   ///< Number of the process.
    int leaving_ = 0;                             ///< Ticks until it ends after it left.
    double rate_ = 1;                             ///< Rate of its clock.
    bool side_ = false;                           ///< Side of the network.
    bool isLogCut_ = false;                       ///< Whether it does not reach the log.
    Incarnation incarnation_ = 0;                 ///< Its life.
    std::unique_ptr<ConfigState> state_;          ///< Its state.
    std::unique_ptr<FreshnessTracker> freshness_; ///< Its evidence.
    HostProgress progress_;                       ///< What it knows of others.
    std::map<HostLife, TimePoint> heard_;         ///< When it heard each life last.
    std::map<LogOffset, TimePoint> knownSince_;   ///< When it knew of each record's reach.
    TimePoint freshUntil_ = TimePoint::min();     ///< Until when it admits, by its clock.

    HostLife Life() const { return { id_, incarnation_ }; }
  };
  struct Delivery
  {
    std::size_t host_ = 0;      ///< Who asked.
    std::uint64_t process_ = 0; ///< Process that asked.
    int tick_ = 0;              ///< When it arrives.
    PeerAnswer answer_;         ///< The answer.
  };

  TimePoint Local(const Host& aHost) const
  {
    const auto ticks = static_cast<double>(now_.time_since_epoch().count()) * aHost.rate_;
    return TimePoint(Duration(static_cast<Duration::rep>(ticks)));
  }

  void Start(Host& aHost)
  {
    const std::uint64_t process = aHost.process_ + 1;
    Host host;
    host.id_ = aHost.id_;
    host.rate_ = aHost.rate_;
    host.side_ = aHost.side_;
    host.isLogCut_ = aHost.isLogCut_;
    host.isUp_ = true;
    host.process_ = process;
    host.incarnation_ = ++incarnations_;
    host.freshness_ = std::make_unique<FreshnessTracker>(host.Life(), settings_);
    aHost = std::move(host);
  }

  void Append(const ConfigRecord& aRecord)
  {
    log_.push_back(EncodeRecord(aRecord));
    reference_.Fold(log_.size() - 1, log_.back());
  }

  void Remove(Host& aHost, const HostLife& aLife)
  {
    ++counts_.removed_;
    Append(RemoveRecord{ aLife.host_,
                         aLife.incarnation_,
                         aHost.id_,
                         aHost.incarnation_,
                         aHost.progress_.Find(aLife).next_ });
  }

  bool MayAct(const Host& aHost) const
  {
    return aHost.isUp_ && aHost.leaving_ == 0 && aHost.state_ && !aHost.isLogCut_ &&
           aHost.freshUntil_ > Local(aHost) &&
           aHost.state_->IsMember(aHost.id_, aHost.incarnation_);
  }

  void Do(const Step& aStep)
  {
    Host& host = hosts_.at(aStep.host_);
    const auto isIn = [&](std::size_t aIndex) { return (aStep.mask_ >> aIndex & 1U) != 0; };
    for (std::size_t i = 0; i < kHosts; ++i) {
      Host& one = hosts_.at(i);
      switch (aStep.kind_) {
        case StepKind::SplitNoLog:
          one.isLogCut_ = isIn(i);
          [[fallthrough]];
        case StepKind::Split:
          one.side_ = isIn(i);
          break;
        case StepKind::HealPeers:
          one.side_ = false;
          break;
        case StepKind::CutLog:
          one.isLogCut_ = isIn(i);
          break;
        case StepKind::HealLog:
          one.isLogCut_ = false;
          break;
        case StepKind::Start:
          // A host that runs is restarted now and then only, otherwise no state gets old.
          if (isIn(i) && (!one.isUp_ || random_.Below(8) == 0)) {
            Start(one);
          }
          break;
        default:
          break;
      }
    }
    if (aStep.kind_ == StepKind::Kill) {
      host.isUp_ = false;
    } else if (aStep.kind_ == StepKind::Remove && MayAct(host)) {
      const Member* member = host.state_->FindMember(hosts_.at(aStep.other_).id_);
      if (member != nullptr && aStep.other_ != aStep.host_) {
        Remove(host, { member->host_, member->incarnation_ });
      }
    } else if (aStep.kind_ == StepKind::Leave && MayAct(host)) {
      ++counts_.left_;
      host.freshness_->SetPendingAppend(true);
      host.leaving_ = kLeaveTicks;
      Append(LeaveRecord{ host.id_, host.incarnation_ });
    }
  }

  void Tick()
  {
    now_ += kTick;
    ++tick_;
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (hosts_.at(i).isUp_) {
        Read(i);
        AskPeers(i);
      }
    }
    std::deque<Delivery> later;
    for (Delivery& delivery : deliveries_) {
      if (delivery.tick_ > tick_) {
        later.push_back(std::move(delivery));
      } else {
        Deliver(delivery);
      }
    }
    deliveries_ = std::move(later);
    for (Host& host : hosts_) {
      if (host.isUp_) {
        Maintain(host);
      }
    }
    Check();
  }

  void Read(std::size_t aIndex)
  {
    Host& host = hosts_.at(aIndex);
    if (host.isLogCut_ || random_.Below(8) == 0) {
      return;
    }
    if (!host.state_) {
      host.state_ = std::make_unique<ConfigState>();
    }
    while (host.state_->NextOffset() < log_.size()) {
      host.state_->Fold(host.state_->NextOffset(), log_[host.state_->NextOffset()]);
    }
    OnState(host);
    host.freshness_->OnLogAnswer(Local(host), log_.size());
  }

  void OnState(Host& aHost)
  {
    aHost.freshness_->OnState(aHost.state_->NextOffset(), aHost.state_->Members());
    aHost.progress_.OnState(*aHost.state_, Local(aHost));
  }

  void AskPeers(std::size_t aIndex)
  {
    Host& host = hosts_.at(aIndex);
    for (const Host& peer : hosts_) {
      if (&peer == &host || !peer.isUp_ || peer.side_ != host.side_ || random_.Below(16) == 0) {
        continue;
      }
      PeerAnswer answer;
      answer.life_ = peer.Life();
      answer.asked_ = Local(host);
      answer.hasState_ = peer.state_ != nullptr;
      answer.next_ = answer.hasState_ ? peer.state_->NextOffset() : 0;
      answer.hasPendingAppend_ = peer.leaving_ > 0;
      answer.logAge_ = peer.freshness_->LogAge(Local(peer));
      deliveries_.push_back(
        { aIndex, host.process_, tick_ + static_cast<int>(random_.Below(3)), answer });
      if (!host.state_ && peer.state_) {
        host.state_ = std::make_unique<ConfigState>(peer.state_->Image());
        OnState(host);
      }
    }
  }

  void Deliver(const Delivery& aDelivery)
  {
    Host& host = hosts_.at(aDelivery.host_);
    if (!host.isUp_ || host.process_ != aDelivery.process_) {
      return;
    }
    host.freshness_->OnPeerAnswer(aDelivery.answer_);
    host.heard_[aDelivery.answer_.life_] = Local(host);
    if (aDelivery.answer_.hasState_) {
      host.progress_.OnHeard(aDelivery.answer_.life_, aDelivery.answer_.next_);
    }
  }

  /** The host admits, joins, removes silent members and follows the membership records. */
  void Maintain(Host& aHost)
  {
    if (aHost.leaving_ > 0) {
      --aHost.leaving_;
      aHost.isUp_ = aHost.leaving_ > 0;
      aHost.freshUntil_ = TimePoint::min();
      return;
    }
    aHost.freshUntil_ = aHost.freshness_->Update(Local(aHost));
    counts_.outage_ += aHost.freshness_->Mode() == FreshnessMode::OutageMode ? 1 : 0;
    if (!aHost.state_) {
      return;
    }
    Follow(aHost);
    if (aHost.isLogCut_) {
      return;
    }
    if (!aHost.state_->IsMember(aHost.id_, aHost.incarnation_)) {
      if (aHost.state_->LastIncarnation(aHost.id_) >= aHost.incarnation_) {
        aHost.incarnation_ = ++incarnations_;
        aHost.freshness_->OnNewLife(aHost.Life());
      }
      if (!reference_.IsMember(aHost.id_, aHost.incarnation_)) {
        Append(JoinRecord{ aHost.id_, aHost.incarnation_, "127.0.0.1", 1, DataCentreId("dc") });
      }
      return;
    }
    RemoveSilent(aHost);
  }

  void RemoveSilent(Host& aHost)
  {
    std::vector<HostLife> silent;
    for (const auto& [id, member] : aHost.state_->Members()) {
      const HostLife life{ id, member.incarnation_ };
      const TimePoint heard = aHost.heard_.try_emplace(life, Local(aHost)).first->second;
      if (id != aHost.id_ && Local(aHost) - heard > kSilence) {
        silent.push_back(life);
      }
    }
    if (!silent.empty() && 2 * silent.size() < aHost.state_->Members().size() && MayAct(aHost) &&
        reference_.IsMember(silent.front().host_, silent.front().incarnation_)) {
      Remove(aHost, silent.front());
    }
  }

  void Follow(Host& aHost)
  {
    for (const MembershipEvent& event : aHost.state_->Image().history_) {
      const LogOffset offset = event.offset_;
      if ((settled_ && offset <= *settled_) ||
          !IsMembershipKnown(
            *aHost.state_, aHost.progress_, aHost.Life(), settings_, offset, Local(aHost))) {
        continue;
      }
      const TimePoint since = aHost.knownSince_.try_emplace(offset, Local(aHost)).first->second;
      if (Local(aHost) < since + settings_.Beyond(settings_.bound_)) {
        continue;
      }
      settled_ = offset;
      ++counts_.known_;
      counts_.early_ += std::any_of(hosts_.begin(), hosts_.end(), [&](const Host& aOne) {
        return aOne.isUp_ && aOne.state_ && aOne.state_->NextOffset() <= offset;
      });
    }
  }

  void Check() const
  {
    for (const Host& host : hosts_) {
      if (settled_ && host.isUp_ && host.freshUntil_ > Local(host) &&
          host.state_->NextOffset() <= *settled_) {
        throw std::runtime_error(
          host.id_.Value() + " admits at " + std::to_string(host.state_->NextOffset()) +
          " although the wait for record " + std::to_string(*settled_) + " is over");
      }
    }
  }

  SeededRandom random_;                     ///< Source of losses and delays.
  AuthorityCounts& counts_;                 ///< Receives the counts.
  FreshnessSettings settings_;              ///< Bounds, shorter than the product's.
  TimePoint now_{ std::chrono::hours(24) }; ///< True time.
  int tick_ = 0;                            ///< Number of ticks.
  std::array<Host, kHosts> hosts_;          ///< The hosts.
  std::deque<Delivery> deliveries_;         ///< Answers under way.
  std::vector<std::string> log_;            ///< All records.
  ConfigState reference_;                   ///< State at the end of the log.
  Incarnation incarnations_ = 0;            ///< Last incarnation given.
  std::optional<LogOffset> settled_;        ///< Greatest record for which the wait is over.
};

/** Guards against two owners in a history that nobody thought of. */
TEST(AuthorityHistory, NobodyAdmitsUnderAMembershipThatIsOver)
{
  rc::detail::TestParams params;
  params.seed = 1;
  params.maxSuccess = 12000;
  params.maxSize = 40;
  if (std::getenv("RC_PARAMS") != nullptr) {
    params = rc::detail::configuration().testParams;
  }
  AuthorityCounts counts;
  int histories = 0;
  const auto result = rc::detail::checkTestable(
    [&](std::uint64_t aDelays) {
      ++histories;
      const auto steps = *rc::gen::container<std::vector<Step>>(AnyStep());
      Fleet fleet(aDelays, counts);
      for (const Step& step : steps) {
        fleet.Run(step);
      }
    },
    rc::detail::TestMetadata{},
    params);
  std::cout << "histories=" << histories << " known=" << counts.known_ << " early=" << counts.early_
            << " outage=" << counts.outage_ << " removed=" << counts.removed_
            << " left=" << counts.left_ << "\n";
  if (!result.is<rc::detail::SuccessResult>()) {
    rc::detail::printResultMessage(result, std::cerr);
    ADD_FAILURE() << "seed " << params.seed;
  }
  // A history that reaches none of these tests nothing.
  for (const std::uint64_t count :
       { counts.known_, counts.early_, counts.outage_, counts.removed_, counts.left_ }) {
    EXPECT_GT(count, 0U);
  }
}

} // namespace
} // namespace laburnumweir
