/** @file once_case_test.cpp Fault cases of requests that may not be repeated. */
#include "once/once_permit.h"
#include "once/once_record_func.h"
#include "once/once_world.h"

#include <functional>
#include <gtest/gtest.h>
#include <set>

namespace laburnumweir::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kWindow{ 600 };

/** A fault case: two calls for one key and what must come of them. */
struct FaultCase
{
  const char* name_;                                 ///< Name.
  std::function<void(OnceWorld&)> run_;              ///< Makes two calls.
  std::vector<std::optional<OnceDecision>> answers_; ///< Expected; none = the host died first.
  std::size_t runs_;                                 ///< Expected runs at the upstream.
};

void
CallNow(OnceWorld& aWorld, std::size_t aHost, RunEnd aEnd = RunEnd::Answered)
{
  aWorld.Call(aHost, 0, 0, milliseconds(5), aEnd);
}

const std::vector<FaultCase>&
FaultCases()
{
  static const std::vector<FaultCase> kCases{
    { "HostKilledBetweenRecordAndSend",
      [](OnceWorld& aWorld) {
        aWorld.Call(1, 0, 0, milliseconds(500), RunEnd::Answered);
        aWorld.Run(milliseconds(300));
        aWorld.Restart(1);
        CallNow(aWorld, 2);
      },
      { OnceDecision::Permit, OnceDecision::Unknown },
      0 },
    { "PauseAcrossThePermit",
      [](OnceWorld& aWorld) {
        aWorld.Call(1, 0, 0, milliseconds(500), RunEnd::Answered);
        aWorld.Run(milliseconds(300));
        aWorld.Pause(1, seconds(5));
        aWorld.Run(seconds(6));
        CallNow(aWorld, 2);
      },
      { OnceDecision::Permit, OnceDecision::Permit },
      1 },
    { "PermitLapsedAndTheReleaseIsNotYetInTheLog",
      [](OnceWorld& aWorld) {
        aWorld.Call(1, 0, 0, milliseconds(500), RunEnd::Answered);
        aWorld.Run(milliseconds(300));
        aWorld.Pause(1, seconds(5));
        aWorld.Run(seconds(4));
        CallNow(aWorld, 2);
      },
      { OnceDecision::Permit, OnceDecision::Unknown },
      0 },
    { "LostAppendAnswer",
      [](OnceWorld& aWorld) {
        OnceFaults faults;
        faults.answerLost_ = 100;
        aWorld.SetFaults(faults);
        CallNow(aWorld, 1);
        aWorld.Run(milliseconds(60));
        aWorld.SetFaults(OnceFaults());
        aWorld.Run(seconds(4));
        CallNow(aWorld, 2);
      },
      { OnceDecision::Permit, OnceDecision::Replay },
      1 },
    { "SecondTryOnAnotherHostAtTheSameMoment",
      [](OnceWorld& aWorld) {
        CallNow(aWorld, 1, RunEnd::Lost);
        aWorld.Run(milliseconds(5));
        CallNow(aWorld, 2);
      },
      { OnceDecision::Permit, OnceDecision::Unknown },
      1 },
    { "SecondTryMinutesLater",
      [](OnceWorld& aWorld) {
        CallNow(aWorld, 1);
        aWorld.Run(seconds(240));
        CallNow(aWorld, 2);
      },
      { OnceDecision::Permit, OnceDecision::Replay },
      1 },
    { "SecondTryAfterALostAnswerOfTheUpstream",
      [](OnceWorld& aWorld) {
        CallNow(aWorld, 1, RunEnd::Lost);
        aWorld.Run(seconds(240));
        CallNow(aWorld, 2);
      },
      { OnceDecision::Permit, OnceDecision::Unknown },
      1 },
    { "UpstreamRefusedBeforeItStarted",
      [](OnceWorld& aWorld) {
        CallNow(aWorld, 1, RunEnd::Refused);
        aWorld.Run(seconds(1));
        CallNow(aWorld, 2);
      },
      { OnceDecision::Permit, OnceDecision::Permit },
      1 },
    { "JustBeforeTheEndOfTheWindow",
      [](OnceWorld& aWorld) {
        CallNow(aWorld, 1);
        aWorld.Run(kWindow - seconds(1));
        CallNow(aWorld, 2);
      },
      { OnceDecision::Permit, OnceDecision::Replay },
      1 },
    { "AfterTheEndOfTheWindow",
      [](OnceWorld& aWorld) {
        CallNow(aWorld, 1);
        aWorld.Run(kWindow + seconds(2));
        CallNow(aWorld, 2);
      },
      { OnceDecision::Permit, OnceDecision::Permit },
      2 },
    { "AfterTheEndOfTheWindowWithOtherKeysInBetween",
      [](OnceWorld& aWorld) {
        CallNow(aWorld, 1);
        aWorld.Run(kWindow * 3 / 5);
        aWorld.Call(2, 1, 0, milliseconds(5), RunEnd::Answered);
        aWorld.Run(kWindow * 2 / 5 + seconds(2));
        CallNow(aWorld, 2);
      },
      { OnceDecision::Permit, OnceDecision::Permit, OnceDecision::Permit },
      3 },
    { "LogOutage",
      [](OnceWorld& aWorld) {
        aWorld.LogOutage(seconds(5));
        CallNow(aWorld, 1);
        aWorld.Run(seconds(6));
        CallNow(aWorld, 2);
      },
      { OnceDecision::NotRun, OnceDecision::Permit },
      1 },
    { "ReaderTakenOverBeforeTheSecondTry",
      [](OnceWorld& aWorld) {
        CallNow(aWorld, 1);
        aWorld.Run(seconds(1));
        aWorld.MoveReader(2, Duration::zero());
        aWorld.Run(milliseconds(10));
        CallNow(aWorld, 0);
      },
      { OnceDecision::Permit, OnceDecision::Replay },
      1 },
    { "ReaderRestartedBeforeTheSecondTry",
      [](OnceWorld& aWorld) {
        CallNow(aWorld, 1, RunEnd::Lost);
        aWorld.Run(seconds(1));
        aWorld.Restart(0);
        CallNow(aWorld, 1);
      },
      { OnceDecision::Permit, OnceDecision::Unknown },
      1 },
    { "SameKeyWithAnotherBody",
      [](OnceWorld& aWorld) {
        CallNow(aWorld, 1);
        aWorld.Run(seconds(1));
        aWorld.Call(2, 0, 1, milliseconds(5), RunEnd::Answered);
      },
      { OnceDecision::Permit, OnceDecision::OtherRequest },
      1 },
  };
  return kCases;
}

class OnceFault : public ::testing::TestWithParam<FaultCase>
{};

/** Guards against a repeated run, a lost booking and an untrue answer in each fault case. */
TEST_P(OnceFault, EndsAsTold)
{
  OnceSettings settings;
  settings.window_ = kWindow;
  OnceWorld world(3, settings, 1);
  world.Run(milliseconds(200));
  GetParam().run_(world);
  world.Run(seconds(8));
  EXPECT_EQ("", world.Check());
  ASSERT_EQ(GetParam().answers_.size(), world.Calls().size());
  for (std::size_t i = 0; i < world.Calls().size(); ++i) {
    EXPECT_EQ(GetParam().answers_[i], world.Calls()[i].decision_) << "call " << i;
  }
  EXPECT_EQ(GetParam().runs_, world.Runs().size());
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         OnceFault,
                         ::testing::ValuesIn(FaultCases()),
                         [](const auto& aInfo) { return std::string(aInfo.param.name_); });

class FakeClock : public Clock
{
public:
  TimePoint Now() const override { return now_; }
  WallTime WallNow() const override { return WallTime(); }
  void Set(TimePoint aTime) { now_ = aTime; }

private:
  TimePoint now_{ seconds(100) };
};

/** Guards against a caller that waits without end because messages are lost. */
TEST(OnceRequester, AsksAgainAndEndsTheWaitTruly)
{
  FakeClock clock;
  const OnceSettings settings;
  OnceRequester requester(HostId("h"), 1, clock, settings);
  OnceRequesterOutput output;
  requester.Start(OnceKey("k"), "digest", output);
  ASSERT_EQ(1U, output.messages_.size());
  const OnceBegin first = std::get<OnceBegin>(output.messages_[0]);
  output = {};
  clock.Set(clock.Now() + settings.resendAfter_);
  requester.Tick(output);
  ASSERT_EQ(1U, output.messages_.size());
  EXPECT_EQ(first.attempt_, std::get<OnceBegin>(output.messages_[0]).attempt_);
  output = {};
  clock.Set(clock.Now() + settings.maxWait_);
  requester.Tick(output);
  ASSERT_EQ(1U, output.verdicts_.size());
  EXPECT_EQ(OnceDecision::NotRun, output.verdicts_[0].decision_);
  ASSERT_EQ(1U, output.messages_.size());
  EXPECT_TRUE(std::get<OnceReport>(output.messages_[0]).isReleased_);
  // A permit that comes later must not make the "not run" untrue.
  output = {};
  OnceAnswer permit;
  permit.attempt_ = first.attempt_;
  permit.decision_ = OnceDecision::Permit;
  permit.validity_ = settings.permitValidity_;
  requester.Receive(permit, output);
  EXPECT_TRUE(output.verdicts_.empty());
}

/** Guards against a permit that is used twice, too late or by another life of the host. */
TEST(OncePermit, IsGoodForOneUseInTimeByOneLife)
{
  FakeClock clock;
  const TimePoint end = clock.Now() + seconds(3);
  OncePermit permit(AttemptId("a/1/1"), 1, end);
  EXPECT_TRUE(permit.Use(clock, 1));
  EXPECT_FALSE(permit.Use(clock, 1));
  OncePermit other(AttemptId("a/1/2"), 1, end);
  EXPECT_FALSE(other.Use(clock, 2));
  EXPECT_FALSE(other.Use(clock, 1));
  OncePermit moved(AttemptId("a/1/3"), 1, end);
  OncePermit target(std::move(moved));
  EXPECT_FALSE(moved.Use(clock, 1)); // NOLINT(bugprone-use-after-move)
  clock.Set(end);
  EXPECT_FALSE(target.Use(clock, 1));
}

/** Guards against two requests that are taken for one, and against one taken for two. */
TEST(OnceRecord, KeysAreScopedToTheirWorkspace)
{
  EXPECT_NE(MakeOnceKey(WorkspaceId("a"), "k"), MakeOnceKey(WorkspaceId("b"), "k"));
  EXPECT_NE(MakeOnceKey(WorkspaceId("a1"), "k"), MakeOnceKey(WorkspaceId("a"), "1k"));
  EXPECT_EQ(MakeOnceKey(WorkspaceId("a"), "k"), MakeOnceKey(WorkspaceId("a"), "k"));
  EXPECT_NE(MakeRequestDigest("POST", "/a", "b"), MakeRequestDigest("POST", "/ab", ""));
}

/** Guards against partitions that get no keys or nearly all. */
TEST(OnceRecord, KeysSpreadOverThePartitions)
{
  std::vector<int> counts(16);
  for (int i = 0; i < 16000; ++i) {
    ++counts[PartitionOf(MakeOnceKey(WorkspaceId("w"), std::to_string(i)), 16)];
  }
  for (const int count : counts) {
    EXPECT_GT(count, 800);
    EXPECT_LT(count, 1200);
  }
}

/** Guards against an outcome that is replayed with other content than was recorded. */
TEST(OnceRecord, OutcomeSurvivesTheLog)
{
  OnceRecord record;
  record.kind_ = OnceRecordKind::Outcome;
  record.key_ = OnceKey("k");
  record.attempt_ = AttemptId("a/1/1");
  record.outcome_ = OnceOutcome{ 201, { { "X-A", "b\"\n" } }, "caf\xc3\xa9", true };
  const auto kept = DecodeOnceRecord(EncodeOnceRecord(record, 100).data_);
  ASSERT_TRUE(kept.has_value());
  EXPECT_EQ(record.outcome_, kept->outcome_);
  record.outcome_.body_.assign(101, 'x');
  const auto large = DecodeOnceRecord(EncodeOnceRecord(record, 100).data_);
  ASSERT_TRUE(large.has_value());
  EXPECT_FALSE(large->outcome_.isBodyKept_);
  EXPECT_EQ(201, large->outcome_.status_);
  EXPECT_TRUE(large->outcome_.body_.empty());
}

/** Guards against a reader that stops at a record which it cannot understand. */
TEST(OnceRecord, RefusesWhatIsNoRecord)
{
  for (const char* text : { "", "{}", "[]", "{\"type\":\"begin\"}", "\x01", "{\"type\":1}" }) {
    EXPECT_FALSE(DecodeOnceRecord(text).has_value()) << text;
    OnceLedger ledger{ OnceSettings() };
    EXPECT_EQ(OnceFold::Effect::None, ledger.Fold(LogRecord{ 0, {}, "", text }).effect_);
    EXPECT_EQ(1U, ledger.NextOffset());
  }
}

/** A reader of an empty stream and the log that it appends to. */
class Reader : public ::testing::Test
{
protected:
  Reader()
  {
    OnceOutput output;
    reader_.OnRead(ReadResult{}, output);
  }
  /** Appends what the reader has to append. */
  void Append()
  {
    clock_.Set(clock_.Now() + milliseconds(10));
    for (const NewRecord& record : reader_.TakeAppend()) {
      log_.push_back(LogRecord{ log_.size(), WallTime(), record.id_, record.data_ });
    }
  }
  std::vector<OnceAnswer> Read()
  {
    OnceOutput output;
    reader_.OnRead(ReadResult{ 0, log_.size(), log_ }, output);
    return output.answers_;
  }
  std::vector<OnceAnswer> Begin(const char* aAttempt)
  {
    OnceOutput output;
    reader_.Begin(OnceBegin{ OnceKey("k"), "digest", AttemptId(aAttempt), {} }, output);
    return output.answers_;
  }

  FakeClock clock_;
  OnceReader reader_{ ReaderId("a/1"), clock_, OnceSettings() };
  std::vector<LogRecord> log_;
};

/** Guards against a second permit for an attempt whose request is delivered twice. */
TEST_F(Reader, IssuesOnePermitForAnAttempt)
{
  EXPECT_TRUE(Begin("h/1/1").empty());
  EXPECT_TRUE(Begin("h/1/1").empty());
  Append();
  auto answers = Read();
  ASSERT_EQ(1U, answers.size());
  EXPECT_EQ(OnceDecision::Permit, answers[0].decision_);
  answers = Begin("h/1/1");
  ASSERT_EQ(1U, answers.size());
  EXPECT_EQ(OnceDecision::AlreadyPermitted, answers[0].decision_);
  EXPECT_TRUE(Read().empty());
}

/** Guards against a permit for a begin for which another reader may have issued one. */
TEST_F(Reader, IssuesNoPermitForABeginOfAnotherReader)
{
  OnceRecord record;
  record.key_ = OnceKey("k");
  record.attempt_ = AttemptId("h/1/1");
  record.requestDigest_ = "digest";
  record.reader_ = ReaderId("b/1");
  const NewRecord text = EncodeOnceRecord(record, 0);
  EXPECT_TRUE(Begin("h/1/1").empty());
  log_.push_back(LogRecord{ 0, WallTime(), text.id_, text.data_ });
  const auto answers = Read();
  ASSERT_EQ(1U, answers.size());
  EXPECT_EQ(OnceDecision::AlreadyPermitted, answers[0].decision_);
}

/** Guards against a decision by a reader that has not folded the whole stream yet. */
TEST(OnceReaderStart, DecidesNothingBeforeTheStreamIsFolded)
{
  FakeClock clock;
  OnceReader reader(ReaderId("a/1"), clock, OnceSettings());
  OnceOutput output;
  reader.Begin(OnceBegin{ OnceKey("k"), "digest", AttemptId("h/1/1"), {} }, output);
  reader.OnRead(ReadResult{ 0, 5, {} }, output);
  clock.Set(clock.Now() + seconds(1));
  EXPECT_TRUE(output.answers_.empty());
  EXPECT_TRUE(reader.TakeAppend().empty());
  EXPECT_FALSE(reader.IsReady());
  clock.Set(clock.Now() + seconds(1));
  reader.Tick(output);
  ASSERT_EQ(1U, output.answers_.size());
  EXPECT_EQ(OnceDecision::NotRun, output.answers_[0].decision_);
}

/** Guards against an append without bound in records or in waiting time. */
TEST_F(Reader, BoundsABatchInRecordsAndWait)
{
  for (int i = 0; i < 70; ++i) {
    OnceOutput output;
    reader_.Begin(
      OnceBegin{ OnceKey(std::to_string(i)), "d", AttemptId("h/1/" + std::to_string(i)), {} },
      output);
  }
  EXPECT_EQ(64U, reader_.TakeAppend().size());
  EXPECT_TRUE(reader_.TakeAppend().empty());
  OnceOutput output;
  reader_.OnAppend(AppendResult::Done, output);
  EXPECT_TRUE(reader_.TakeAppend().empty());
  clock_.Set(clock_.Now() + milliseconds(5));
  EXPECT_EQ(6U, reader_.TakeAppend().size());
}

} // namespace
} // namespace laburnumweir::testing
