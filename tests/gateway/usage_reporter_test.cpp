/** @file usage_reporter_test.cpp Tests of the decision and the sending of usage reports by holders
 * that fail halfway, against a simulated store and platform. */
#include "gateway/usage_reporter.h"

#include "gateway/gateway_support.h"
#include "table/usage_const.h"

#include <gtest/gtest.h>
#include <set>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::FakeScheduler;

const WorkspaceId kWorkspace("w");

/** The stream of usage reports in a store that loses answers and is restored from copies. */
class FakeLog : public UsageLog
{
public:
  enum class Fault
  {
    None,
    Down,       ///< Calls have no effect.
    AnswerLost, ///< Appends take effect without an answer.
    Held        ///< Appends are executed later, by ExecuteHeld().
  };

  void AppendUsage(const UsageLogRecord& aRecord,
                   StorePosition aEnd,
                   AppendCallback aCallback) override
  {
    if (fault_ == Fault::Held) {
      held_ = [this, aRecord, aEnd] { Execute(aRecord, aEnd); };
    }
    if (fault_ == Fault::Held || fault_ == Fault::Down) {
      aCallback(StoreError::Unreachable, {});
      return;
    }
    const bool isAppended = Execute(aRecord, aEnd);
    if (fault_ == Fault::AnswerLost) {
      aCallback(StoreError::Unreachable, {});
    } else if (isAppended) {
      aCallback({}, End());
    } else {
      aCallback(StoreError::Conflict, End());
    }
  }
  void ReadUsage(std::optional<StorePosition> aFrom, ReadCallback aCallback) override
  {
    if (fault_ == Fault::Down) {
      aCallback(StoreError::Unreachable, {});
    } else if (aFrom && (aFrom->era_ != era_ || aFrom->next_ < first_)) {
      aCallback(StoreError::HistoryLost, {});
    } else {
      const auto from = std::max(first_, aFrom.value_or(StorePosition()).next_);
      UsageLogBatch batch;
      batch.records_.assign(records_.begin() + static_cast<std::ptrdiff_t>(from), records_.end());
      batch.next_ = End();
      aCallback({}, batch);
    }
  }
  bool Execute(const UsageLogRecord& aRecord, StorePosition aEnd)
  {
    if (aEnd.next_ != records_.size()) {
      return false;
    }
    records_.push_back(aRecord);
    return true;
  }
  StorePosition End() const { return { era_, records_.size() }; }
  /** Comes back from a copy that lacks the last records. */
  void Restore(std::size_t aLost)
  {
    ++era_;
    records_.resize(records_.size() - aLost);
  }

  Fault fault_ = Fault::None;
  std::vector<UsageLogRecord> records_;
  LogOffset first_ = 0; ///< Offset of the first record that has not expired.
  StoreEra era_ = 0;
  std::function<void()> held_;
};

/** The platform; fails the test if two reports of a window differ. */
class FakePlatform : public DutyClient
{
public:
  void SendUsage(const DutyCall& aCall, const UsageReport& aReport, Callback aCallback) override
  {
    ++calls_;
    if (!aCall.maySend_()) {
      aCallback(DutyAnswer::NotSent);
      return;
    }
    if (answer_ == DutyAnswer::Accepted || answer_ == DutyAnswer::NoAnswer) {
      const auto [report, isNew] = reports_.try_emplace(aReport.window_, aReport);
      EXPECT_EQ(report->second, aReport) << "two reports of window " << aReport.window_;
    }
    tokens_.push_back(aCall.token_);
    if (answer_) {
      aCallback(*answer_);
    }
  }

  std::optional<DutyAnswer> answer_ = DutyAnswer::Accepted; ///< None: the call stays open.
  int calls_ = 0;
  std::map<WindowId, UsageReport> reports_; ///< First report of each window.
  std::vector<std::uint64_t> tokens_;
};

struct FakeLease : public DutyLease
{
  std::optional<TimePoint> HeldSince() const override { return heldSince_; }
  bool MayAct() const override { return mayAct_; }
  std::optional<std::uint64_t> Token() const override
  {
    return heldSince_ ? std::optional(token_) : std::nullopt;
  }
  void OnFenced(std::uint64_t aToken) override { fenced_.insert(aToken); }

  std::optional<TimePoint> heldSince_;
  bool mayAct_ = false;
  std::uint64_t token_ = 0;
  std::set<std::uint64_t> fenced_;
};

/** A host that has the duty at times. */
struct Holder
{
  Holder(FakeClock& aClock,
         FakeScheduler& aScheduler,
         FakeLog& aLog,
         FakePlatform& aPlatform,
         const UsageSettings& aSettings)
    : time_(aClock)
    , reporter_(std::make_shared<UsageReporter>(UsageReporterContext{ aClock,
                                                                      aScheduler,
                                                                      aLog,
                                                                      aPlatform,
                                                                      lease_,
                                                                      counts_,
                                                                      time_,
                                                                      metrics_ },
                                                aSettings))
  {
    reporter_->Start();
  }

  FakeLease lease_;
  UsageCollection counts_;
  FleetTime time_;
  Metrics metrics_;
  std::shared_ptr<UsageReporter> reporter_;
};

class UsageReporterTest : public testing::Test
{
protected:
  UsageReporterTest() { clock_.SetWallNow(WallTime(1000 * 5s)); }

  std::unique_ptr<Holder> NewHolder()
  {
    return std::make_unique<Holder>(clock_, scheduler_, log_, platform_, settings_);
  }
  void Give(Holder& aHolder)
  {
    aHolder.lease_.heldSince_ = clock_.Now();
    aHolder.lease_.mayAct_ = true;
    aHolder.lease_.token_ = ++token_;
  }
  static void Take(Holder& aHolder)
  {
    aHolder.lease_.heldSince_.reset();
    aHolder.lease_.mayAct_ = false;
  }
  /** Lets time pass; each host counts a request in each 100 ms, which all holders get to know. */
  void Run(Duration aTime, std::initializer_list<Holder*> aHolders)
  {
    for (Duration passed(0); passed < aTime; passed += 100ms) {
      scheduler_.Run(100ms);
      clock_.SetWallNow(clock_.WallNow() + 100ms);
      const auto window =
        settings_.window_ == 0ms ? 0 : WindowScale(settings_.window_).WindowAt(clock_.WallNow());
      ++requests_[window];
      for (auto* holder : aHolders) {
        for (const auto& [counted, count] : requests_) {
          const UsageCell cell{ counted, kWorkspace, count };
          holder->counts_.Add(
            { HostId("h"), 1 }, { &cell, 1 }, holder->reporter_->FirstOpen(), window);
        }
      }
    }
  }
  /** @return windows from the first to the last report that have none. */
  std::size_t MissingReports() const
  {
    const auto& reports = platform_.reports_;
    return reports.empty()
             ? 0
             : static_cast<std::size_t>(reports.rbegin()->first - reports.begin()->first + 1) -
                 reports.size();
  }
  /** Expects that each report holds all requests of its window. */
  void ExpectFullCounts() const
  {
    for (const auto& [window, report] : platform_.reports_) {
      EXPECT_EQ(report.counts_, (UsageCounts{ { kWorkspace, requests_.at(window) } })) << window;
    }
  }

  FakeClock clock_;
  FakeScheduler scheduler_{ clock_ };
  FakeLog log_;
  FakePlatform platform_;
  UsageSettings settings_{ HostId("h") };
  std::uint64_t token_ = 0;
  std::map<WindowId, std::uint64_t> requests_;
};

// Guards against reports that come before late counts, after the due time, or twice.
TEST_F(UsageReporterTest, SendsOneReportOfEachWindowInTime)
{
  const auto holder = NewHolder();
  Give(*holder);
  Run(9900ms, { holder.get() });
  EXPECT_TRUE(platform_.reports_.empty());
  Run(300ms, { holder.get() });
  EXPECT_EQ(platform_.reports_.size(), 1U);
  Run(60s, { holder.get() });
  EXPECT_EQ(platform_.reports_.begin()->first, 1000);
  EXPECT_EQ(platform_.reports_.size(), 13U);
  EXPECT_EQ(platform_.calls_, 13);
  EXPECT_EQ(MissingReports(), 0U);
  ExpectFullCounts();
}

// Guards against a missing report, or one with other counts, when the holder is killed between the
// decision and the call, or after a call whose answer it did not see.
TEST_F(UsageReporterTest, NewHolderSendsWhatTheLastOneDecided)
{
  for (const auto& answer : { std::optional(DutyAnswer::Busy), std::optional<DutyAnswer>() }) {
    auto killed = NewHolder();
    Give(*killed);
    platform_.answer_ = answer;
    Run(20s, { killed.get() });
    killed.reset();
    platform_.answer_ = DutyAnswer::Accepted;
    const auto next = NewHolder();
    Give(*next);
    Run(20s, { next.get() });
    EXPECT_EQ(MissingReports(), 0U);
    Take(*next);
    Run(1s, { next.get() });
  }
  ExpectFullCounts();
}

// Guards against calls for reports that the platform has accepted, each of which is billed.
TEST_F(UsageReporterTest, NewHolderDoesNotRepeatAcceptedReports)
{
  auto killed = NewHolder();
  Give(*killed);
  Run(46s, { killed.get() });
  killed.reset();
  const auto calls = platform_.calls_;
  const auto next = NewHolder();
  Give(*next);
  Run(3s, { next.get() });
  EXPECT_LE(platform_.calls_, calls + 1);
}

// Guards against a second decision when the answer to the append is lost, or the append is executed
// only after the holder has given it up.
TEST_F(UsageReporterTest, LostAnswersOfTheStoreLeaveOneDecision)
{
  const auto holder = NewHolder();
  Give(*holder);
  Run(10s, { holder.get() });
  for (const auto fault : { FakeLog::Fault::AnswerLost, FakeLog::Fault::Held }) {
    log_.fault_ = fault;
    Run(10s, { holder.get() });
    log_.fault_ = FakeLog::Fault::None;
    if (log_.held_) {
      log_.held_();
    }
    Run(15s, { holder.get() });
  }
  EXPECT_EQ(MissingReports(), 0U);
  EXPECT_GE(platform_.reports_.size(), 8U);
  ExpectFullCounts();
}

// Guards against two holders that decide the same window while each believes to have the duty.
TEST_F(UsageReporterTest, TwoHoldersDecideAWindowOnce)
{
  const auto first = NewHolder();
  const auto second = NewHolder();
  Give(*first);
  Give(*second);
  Run(60s, { first.get(), second.get() });
  EXPECT_EQ(MissingReports(), 0U);
  std::set<WindowId> decided;
  for (const auto& record : log_.records_) {
    EXPECT_TRUE(decided.insert(record.report_->window_).second);
  }
}

// Guards against late decisions that are lost, and against reports older than a minute.
TEST_F(UsageReporterTest, OutageOfTheStoreDelaysReports)
{
  const auto holder = NewHolder();
  Give(*holder);
  Run(20s, { holder.get() });
  log_.fault_ = FakeLog::Fault::Down;
  Run(30s, { holder.get() });
  log_.fault_ = FakeLog::Fault::None;
  Run(10s, { holder.get() });
  EXPECT_EQ(MissingReports(), 0U);
  ExpectFullCounts();
  log_.fault_ = FakeLog::Fault::Down;
  Run(120s, { holder.get() });
  log_.fault_ = FakeLog::Fault::None;
  const auto oldest = WindowScale(settings_.window_).WindowAt(clock_.WallNow() - 60s);
  const auto before = platform_.reports_.rbegin()->first;
  Run(10s, { holder.get() });
  EXPECT_GE(platform_.reports_.upper_bound(before)->first, oldest);
  ExpectFullCounts();
}

// Guards against calls at the full rate while the platform is down.
TEST_F(UsageReporterTest, RetriesWithIncreasingDelayWhileThePlatformIsDown)
{
  const auto holder = NewHolder();
  Give(*holder);
  platform_.answer_ = DutyAnswer::NotSent;
  Run(41s, { holder.get() });
  EXPECT_LE(platform_.calls_, 14);
  platform_.answer_ = DutyAnswer::Accepted;
  Run(10s, { holder.get() });
  EXPECT_EQ(platform_.reports_.begin()->first, 1000);
  EXPECT_EQ(MissingReports(), 0U);
}

// Guards against a holder that calls again with a token that was refused.
TEST_F(UsageReporterTest, StopsAfterARefusedTokenUntilItHasAHigherOne)
{
  const auto holder = NewHolder();
  Give(*holder);
  platform_.answer_ = DutyAnswer::Fenced;
  Run(30s, { holder.get() });
  EXPECT_EQ(platform_.calls_, 1);
  EXPECT_EQ(holder->lease_.fenced_, std::set<std::uint64_t>{ 1 });
  platform_.answer_ = DutyAnswer::Accepted;
  Take(*holder);
  Run(1s, { holder.get() });
  holder->lease_.heldSince_ = clock_.Now();
  holder->lease_.mayAct_ = true;
  Run(10s, { holder.get() });
  EXPECT_EQ(platform_.calls_, 1);
  holder->lease_.token_ = 2;
  Run(10s, { holder.get() });
  EXPECT_GT(platform_.calls_, 1);
  EXPECT_EQ(platform_.tokens_.back(), 2U);
  EXPECT_EQ(MissingReports(), 0U);
}

// Guards against a holder that sends after its lease has expired while it was suspended.
TEST_F(UsageReporterTest, SuspendedHolderSendsNothing)
{
  const auto holder = NewHolder();
  Give(*holder);
  platform_.answer_ = DutyAnswer::Busy;
  Run(15s, { holder.get() });
  EXPECT_FALSE(platform_.tokens_.empty());
  holder->lease_.mayAct_ = false;
  const auto calls = platform_.calls_;
  Run(30s, { holder.get() });
  EXPECT_EQ(platform_.calls_, calls);
}

// Guards against a late call of the last holder that arrives after one of the new holder, where the
// platform would execute both.
TEST_F(UsageReporterTest, NewHolderWaitsWhereThePlatformChecksNoTokens)
{
  settings_.isFencingEnforced_ = false;
  auto killed = NewHolder();
  Give(*killed);
  Run(30s, { killed.get() });
  killed.reset();
  const auto calls = platform_.calls_;
  const auto next = NewHolder();
  Give(*next);
  Run(kUnfencedCallDelay - 200ms, { next.get() });
  EXPECT_EQ(platform_.calls_, calls);
  Run(10s, { next.get() });
  EXPECT_GT(platform_.calls_, calls);
}

// Guards against two reports of a window when the store comes back from a copy that lacks the
// decision on it, for the same holder and for a new one.
TEST_F(UsageReporterTest, RestoredStoreDecidesNoWindowAgain)
{
  for (const bool isNewHolder : { false, true }) {
    auto holder = NewHolder();
    Give(*holder);
    Run(31s, { holder.get() });
    const auto last = platform_.reports_.rbegin()->first;
    log_.Restore(2);
    if (isNewHolder) {
      holder = NewHolder();
      Give(*holder);
    }
    // The holder now knows other counts than those that were reported.
    for (auto& [window, count] : requests_) {
      ++count;
    }
    Run(40s, { holder.get() });
    EXPECT_GT(platform_.reports_.rbegin()->first, last);
    holder.reset();
  }
  EXPECT_LE(MissingReports(), 5U); // three, where the holder notices with its next append, and two
}

// Guards against a report that another holder of the earlier era decided otherwise: an append of
// that era may be executed after the restore, at an offset that was given out again.
TEST_F(UsageReporterTest, DecisionOfAnEarlierEraIsNotSent)
{
  auto holder = NewHolder();
  Give(*holder);
  Run(31s, { holder.get() });
  const auto last = log_.records_.back();
  holder.reset();
  log_.Restore(1);
  auto overtaken = last;
  overtaken.report_->counts_[kWorkspace] += 7;
  log_.records_.push_back(overtaken);
  const auto next = NewHolder();
  Give(*next);
  Run(30s, { next.get() });
  EXPECT_GT(platform_.reports_.rbegin()->first, last.report_->window_);
}

// Guards against a second decision on windows whose records have expired in the store.
TEST_F(UsageReporterTest, ExpiredRecordsAreNotDecidedAgain)
{
  auto holder = NewHolder();
  Give(*holder);
  Run(31s, { holder.get() });
  holder.reset();
  log_.first_ = log_.records_.size();
  for (auto& [window, count] : requests_) {
    ++count;
  }
  const auto next = NewHolder();
  Give(*next);
  const auto last = platform_.reports_.rbegin()->first;
  Run(30s, { next.get() });
  EXPECT_GT(platform_.reports_.rbegin()->first, last);
}

// Guards against a report without most of its counts after the clock of the holder has jumped.
TEST_F(UsageReporterTest, ClockJumpOfTheHolderDecidesNothingEarly)
{
  const auto holder = NewHolder();
  Give(*holder);
  for (const auto* host : { "h1", "h2", "h3" }) {
    holder->time_.OnWallTime(HostId(host), clock_.WallNow());
  }
  Run(20s, { holder.get() });
  const auto before = platform_.reports_.size();
  const auto wallTime = clock_.WallNow();
  clock_.SetWallNow(wallTime + 20s);
  scheduler_.Run(1s);
  clock_.SetWallNow(wallTime + 1s);
  EXPECT_LE(platform_.reports_.size(), before + 1);
  Run(9500ms, { holder.get() });
  EXPECT_EQ(MissingReports(), 0U);
  EXPECT_EQ(platform_.reports_.size(), before + 2);
}

} // namespace
} // namespace laburnumweir
