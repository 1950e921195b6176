/** @file store_watch_test.cpp Tests that the state of the fleet follows the store through outages.
 */
#include "gateway/store_watch.h"

#include "fleet/fleet_support.h"
#include "gateway/gateway_support.h"
#include "gateway/gossip_message.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing::_;
using testing_support::MakeEngine;

/** Store watch on a mock store that answers from the members of the fixture: snapshots at once,
 * reads of changes after their wait and 5 ms. */
class StoreWatchTest : public testing::Test
{
protected:
  StoreWatchTest()
  {
    ON_CALL(store_, ReadAll)
      .WillByDefault([this](ChangeStream aStream, const FleetStore::ChangesCallback& aCallback) {
        ++snapshots_;
        ChangeBatch batch;
        batch.isSnapshot_ = true;
        batch.era_ = era_;
        batch.next_ = snapshotEnd_;
        batch.changes_ = aStream == ChangeStream::Operators ? operators_ : upstreams_;
        aCallback(error_, std::move(batch));
      });
    ON_CALL(store_, ReadChanges)
      .WillByDefault([this](ChangeStream aStream,
                            StorePosition aFrom,
                            std::chrono::milliseconds aWait,
                            const FleetStore::ChangesCallback& aCallback) {
        const auto respond = [this, aStream, aFrom, aWait, aCallback] {
          ChangeBatch batch;
          operatorReads_ += aStream == ChangeStream::Operators ? 1 : 0;
          if (!error_ && aFrom.era_ != era_) {
            aCallback(StoreError::HistoryLost, std::move(batch));
            return;
          }
          batch.era_ = era_;
          batch.next_ = aFrom.next_;
          if (aStream == ChangeStream::Operators) {
            batch.next_ = std::max(aFrom.next_, operatorsEnd_);
          }
          if (aStream == ChangeStream::Operators && aWait > 0ms && recordAfter_) {
            recordAfter_.reset();
            ++batch.next_;
          }
          if (aStream == ChangeStream::Operators && !error_ && !nextOperators_.empty()) {
            batch.changes_ = std::exchange(nextOperators_, {});
            batch.next_ = ++operatorsEnd_;
          }
          if (aStream == ChangeStream::Upstreams && !error_) {
            batch.changes_ = std::exchange(nextChanges_, {});
          }
          aCallback(error_, std::move(batch));
        };
        if (aStream == ChangeStream::Operators && aWait > 0ms && isHanging_) {
          hanging_.emplace_back(respond);
          return;
        }
        const bool hasRecord = aStream == ChangeStream::Operators && aWait > 0ms && recordAfter_;
        scheduler_.After((hasRecord ? *recordAfter_ : aWait) + 5ms, respond);
      });
    FleetConfig config;
    config.version_ = 3;
    operators_ = { config };
    upstreams_ = { UpstreamChange{ UpstreamId("e1"), MakeEngine("e1") } };
  }

  /** Replaces the store by an older copy of it that ends at an offset. */
  void Restore(LogOffset aEnd)
  {
    ++era_;
    snapshotEnd_ = aEnd;
    operatorsEnd_ = aEnd;
  }
  bool HasEngine() { return state_.Upstreams().Find(UpstreamId("e1")) != nullptr; }

  FakeClock clock_;
  testing_support::FakeScheduler scheduler_{ clock_ };
  testing::NiceMock<testing_support::MockStore> store_;
  FleetState state_{ clock_, HostId("h1"), DataCentreId("dc1") };
  std::shared_ptr<StoreWatch> watch_ = std::make_shared<StoreWatch>(
    store_,
    state_,
    clock_,
    scheduler_,
    WatchSettings(),
    [] {},
    [this] {
      ++restored_;
      positionsAtRestore_ = watch_->Position();
    });
  std::vector<FleetChange> operators_;
  std::vector<FleetChange> upstreams_;
  std::vector<FleetChange> nextOperators_; ///< With the next read of the operators' changes.
  std::vector<FleetChange> nextChanges_;   ///< With the next read of the upstreams' changes.
  std::error_code error_;
  int snapshots_ = 0;
  StoreEra era_ = 1;
  int restored_ = 0; ///< Reports that the store came back from an older copy.
  WatchPosition positionsAtRestore_;
  LogOffset snapshotEnd_ = 10;
  LogOffset operatorsEnd_ = 0; ///< End of the operators' stream for reads of changes.
  int operatorReads_ = 0;      ///< Reads of changes of the operators' stream.
  bool isHanging_ = false;     ///< Long polls get no answer.
  std::vector<std::function<void()>> hanging_; ///< Answer the long polls that hang.
  std::optional<std::chrono::milliseconds>
    recordAfter_; ///< If set, a record ends the next long poll after this.
};

TEST_F(StoreWatchTest, ConfigurationIsAsOldAsThePoll)
{
  watch_->Start();
  ASSERT_TRUE(state_.Routes());
  EXPECT_TRUE(HasEngine());
  // A long poll that ends without a record confirms the configuration for the whole wait, since the
  // store answers as soon as there is a record.
  for (int i = 0; i < 300; ++i) {
    scheduler_.Run(10ms);
    ASSERT_LE(state_.ConfigAge(), WatchSettings().configWait_ + 100ms) << i;
  }
  error_ = StoreError::Unreachable;
  const auto before = state_.ConfigAge();
  scheduler_.Run(4s);
  EXPECT_GE(state_.ConfigAge(), before + 2s);
  EXPECT_TRUE(state_.Routes()) << "the last known configuration stays in force";
  EXPECT_FALSE(watch_->IsConnected());
}

// Guards against a configuration that is taken as newer than the store confirmed: a poll that
// returns early, or with records, confirms only the time at which it was sent.
TEST_F(StoreWatchTest, AnEarlyAnswerConfirmsOnlyItsSendTime)
{
  ON_CALL(store_, ReadChanges(ChangeStream::Operators, _, _, _))
    .WillByDefault([this](ChangeStream,
                          StorePosition aFrom,
                          std::chrono::milliseconds,
                          const FleetStore::ChangesCallback& aCallback) {
      scheduler_.After(1s, [aFrom, aCallback] {
        ChangeBatch batch;
        batch.era_ = aFrom.era_;
        batch.next_ = aFrom.next_ + 1;
        aCallback({}, std::move(batch));
      });
    });
  watch_->Start();
  scheduler_.Run(3070ms);
  EXPECT_GE(state_.ConfigAge(), 1s);
}

// Guards against old versions of an adapter that serve for too long after an outage: a release that
// is read then may be as old as the last confirmation before it.
TEST_F(StoreWatchTest, AReleaseIsAsOldAsTheConfirmationBeforeIt)
{
  watch_->Start();
  scheduler_.Run(2s);
  error_ = StoreError::Unreachable;
  scheduler_.Run(4s);
  error_ = {};
  nextOperators_ = { AdapterRelease{ "m", "a", 2 } };
  scheduler_.Run(1s);
  const auto* releases = state_.FindReleases("m", "a");
  ASSERT_NE(releases, nullptr);
  EXPECT_EQ(releases->OldestUsable(clock_.Now(), 3s), 2);
}

// Guards against requests that are refused too early when the store stops answering just after a
// change. The change came with the answer to a poll that was sent up to a whole wait ago, so the
// configuration would already count as that old.
TEST_F(StoreWatchTest, PollsAgainAtOnceAfterAChange)
{
  watch_->Start();
  scheduler_.Run(2s);
  recordAfter_ = 1s;
  while (recordAfter_) {
    scheduler_.Run(10ms);
  }
  scheduler_.Run(40ms);
  EXPECT_LE(state_.ConfigAge(), 50ms);
}

TEST_F(StoreWatchTest, ReadsEverythingAgainWhenHistoryIsLost)
{
  watch_->Start();
  const int before = snapshots_;
  error_ = StoreError::HistoryLost;
  scheduler_.Run(1200ms);
  error_ = {};
  scheduler_.Run(2s);
  EXPECT_GT(snapshots_, before);
  EXPECT_TRUE(watch_->IsConnected());
}

TEST_F(StoreWatchTest, RemovalsApplyAtOnceWithoutAnOutage)
{
  watch_->Start();
  scheduler_.Run(1s);
  nextChanges_ = { UpstreamChange{ UpstreamId("e1"), std::nullopt } };
  scheduler_.Run(1s);
  EXPECT_FALSE(HasEngine());
}

// Guards against removals that are deferred although there was no outage: after the interval became
// shorter, the time since the last read was more than three of the new ones.
TEST_F(StoreWatchTest, AShorterIntervalAppliesAtOnceAndIsNoOutage)
{
  watch_->SetUpstreamInterval(4s);
  watch_->Start();
  scheduler_.Run(3s);
  nextChanges_ = { UpstreamChange{ UpstreamId("e1"), std::nullopt } };
  watch_->SetUpstreamInterval(200ms);
  scheduler_.Run(110ms);
  EXPECT_FALSE(HasEngine());
}

// Guards against the removal of live upstreams after an outage of the store that is longer than the
// time to live of their entries, so that all entries expire. Live upstreams write their entries
// again within about two seconds after the outage; until then they must be kept.
TEST_F(StoreWatchTest, KeepsUpstreamsWhoseEntriesExpiredDuringAnOutage)
{
  upstreams_.emplace_back(UpstreamChange{ UpstreamId("e2"), MakeEngine("e2") });
  watch_->Start();
  scheduler_.Run(1s);
  error_ = StoreError::Unreachable;
  scheduler_.Run(5s);
  error_ = {};
  nextChanges_ = { UpstreamChange{ UpstreamId("e1"), std::nullopt },
                   UpstreamChange{ UpstreamId("e2"), std::nullopt } };
  scheduler_.Run(1s);
  EXPECT_TRUE(HasEngine());
  auto renewed = MakeEngine("e1");
  renewed.heartbeat_ = 2;
  nextChanges_ = { UpstreamChange{ UpstreamId("e1"), renewed } };
  scheduler_.Run(3s);
  EXPECT_TRUE(HasEngine());
  EXPECT_EQ(state_.Upstreams().Find(UpstreamId("e2")), nullptr)
    << "its entry was not written again";
}

/** Store watch that reads entries at a long interval; the parameter tells whether a store reader
 * relays to it after an outage. */
class HoldTimeTest
  : public StoreWatchTest
  , public testing::WithParamInterface<bool>
{};

// Guards against upstreams that are kept for a whole read interval longer than they have time to
// write their entries again after an outage.
TEST_P(HoldTimeTest, RemovalsApplyAtItsEnd)
{
  WatchSettings settings;
  settings.upstreamInterval_ = 1600ms;
  const auto watch =
    std::make_shared<StoreWatch>(store_, state_, clock_, scheduler_, settings, [] {});
  watch->Start();
  scheduler_.Run(100ms);
  error_ = StoreError::Unreachable;
  scheduler_.Run(6s);
  error_ = {};
  nextChanges_ = { UpstreamChange{ UpstreamId("e1"), std::nullopt } };
  while (!nextChanges_.empty()) {
    scheduler_.Run(10ms);
  }
  watch->SetRelayed(GetParam());
  scheduler_.Run(settings.removalHoldTime_ - 100ms);
  EXPECT_TRUE(HasEngine());
  scheduler_.Run(300ms);
  EXPECT_FALSE(HasEngine());
}

INSTANTIATE_TEST_SUITE_P(Relayed, HoldTimeTest, testing::Bool());

// Guards against a state that counts as the newest although the store sent only the first part of
// the changes: a key may have been withdrawn, or an upstream may drain, in the rest.
TEST_F(StoreWatchTest, APartOfTheChangesConfirmsNothing)
{
  watch_->Start();
  scheduler_.Run(1s);
  const auto sendParts = [this](ChangeStream aStream, int aParts) {
    ON_CALL(store_, ReadChanges(aStream, _, _, _))
      .WillByDefault(
        [this, left = std::make_shared<int>(aParts)](ChangeStream,
                                                     StorePosition aFrom,
                                                     std::chrono::milliseconds aWait,
                                                     const FleetStore::ChangesCallback& aCallback) {
          ChangeBatch batch;
          batch.era_ = aFrom.era_;
          batch.next_ = aFrom.next_ + (*left > 0 ? 1 : 0);
          batch.isComplete_ = *left <= 1;
          *left -= *left > 0 ? 1 : 0;
          scheduler_.After((batch.next_ > aFrom.next_ ? 0ms : aWait) + 50ms,
                           [aCallback, batch] { aCallback({}, batch); });
        });
  };
  sendParts(ChangeStream::Operators, 100);
  sendParts(ChangeStream::Upstreams, 100);
  scheduler_.Run(2s); // the polls that were sent before end
  const auto before = clock_.Now();
  scheduler_.Run(3s);
  EXPECT_GE(state_.ConfigAge(), clock_.Now() - before);
  EXPECT_GE(watch_->Position().upstreamAge_, clock_.Now() - before);
  scheduler_.Run(4s);
  EXPECT_LE(state_.ConfigAge(), WatchSettings().configWait_ + 200ms) << "the rest is read at once";
  EXPECT_LE(watch_->Position().upstreamAge_, WatchSettings().upstreamInterval_ + 200ms);
}

/** Store watch of a host whose store reader has lost the store for some time and then relays the
 * state after it. */
class RelayedOutageTest : public StoreWatchTest
{
protected:
  void SetUp() override
  {
    watch_->Start();
    scheduler_.Run(1s);
    watch_->SetRelayed(true);
    error_ = StoreError::Unreachable;
    readAt_ = clock_.Now();
    for (int i = 0; i < 20; ++i) {
      Relay({}, clock_.Now() - readAt_);
      scheduler_.Run(250ms);
    }
  }
  /** Relays changes. @param aAge time since the store reader requested them. */
  void Relay(std::vector<FleetChange> aChanges, Duration aAge)
  {
    ChangeBatch batch;
    batch.era_ = era_;
    batch.next_ = next_ += aChanges.size();
    batch.changes_ = std::move(aChanges);
    watch_->OnRelayedUpstreams(clock_.Now(), batch, aAge);
  }
  /** Relays the newest state at the interval of gossip. */
  void RelayFor(Duration aTime)
  {
    for (Duration time{}; time < aTime; time += 250ms) {
      scheduler_.Run(250ms);
      Relay({}, 100ms);
    }
  }

  const UpstreamChange removal_{ UpstreamId("e1"), std::nullopt };
  TimePoint readAt_; ///< When the store reader last read the store before the outage.
  LogOffset next_ = snapshotEnd_;
};

// Guards against an outage that a host does not notice because its store reader answers throughout,
// with an old state: entries of running upstreams may have expired.
TEST_F(RelayedOutageTest, DefersRemovals)
{
  Relay({ removal_ }, 100ms);
  EXPECT_TRUE(HasEngine());
  RelayFor(2s);
  EXPECT_TRUE(HasEngine());
  RelayFor(1s);
  EXPECT_FALSE(HasEngine()) << "its entry was not written again";
}

// Guards against the same with a state that needs several answers: the age of the entries is not
// known before the last one.
TEST_F(RelayedOutageTest, DefersRemovalsOfAnIncompletePage)
{
  Relay({ removal_ }, kIncompletePageAge);
  EXPECT_TRUE(HasEngine());
  Relay({}, 100ms);
  EXPECT_TRUE(HasEngine());
  RelayFor(2s);
  EXPECT_TRUE(HasEngine());
  RelayFor(1s);
  EXPECT_FALSE(HasEngine());
}

// Guards against a removal that takes effect too late: what a store reader relays from before its
// outage was removed while the upstreams could write.
TEST_F(RelayedOutageTest, AppliesRemovalsFromBeforeTheOutageAtOnce)
{
  Relay({ removal_ }, clock_.Now() - readAt_);
  EXPECT_FALSE(HasEngine());
}

TEST_F(RelayedOutageTest, AppliesRemovalsOfAnIncompletePageFromBeforeTheOutage)
{
  Relay({ removal_ }, kIncompletePageAge);
  Relay({}, clock_.Now() - readAt_);
  EXPECT_FALSE(HasEngine());
}

// Guards against removals that are deferred at a host that has read the store itself while its
// store reader was turned away.
TEST_F(RelayedOutageTest, AHostThatReadTheStoreItselfAppliesRemovalsAtOnce)
{
  error_ = {};
  scheduler_.Run(4s);
  Relay({ removal_ }, 100ms);
  EXPECT_FALSE(HasEngine());
}

// Guards against a running upstream that is dropped in a second outage, in which it cannot write
// its entry again.
TEST_F(RelayedOutageTest, DeferredRemovalsWaitForAStateAfterTheHoldTime)
{
  Relay({ removal_ }, 100ms);
  const auto relayedAt = clock_.Now() - 100ms;
  for (int i = 0; i < 20; ++i) {
    scheduler_.Run(250ms);
    Relay({}, clock_.Now() - relayedAt);
  }
  EXPECT_TRUE(HasEngine());
  RelayFor(3s);
  EXPECT_FALSE(HasEngine());
}

// Guards against a return to an older configuration from a snapshot or a late record.
TEST_F(StoreWatchTest, NeverStepsBackToAnOlderConfiguration)
{
  watch_->Start();
  FleetConfig older;
  older.version_ = 2;
  ChangeBatch batch;
  batch.changes_ = { older };
  EXPECT_FALSE(state_.ApplyOperators(batch));
  EXPECT_EQ(state_.Routes()->Config().version_, 3);
}

// Guards against a configuration that is in force too late at a host whose store reader is turned
// away by the store: the reader answers, but its confirmation grows older.
TEST_F(StoreWatchTest, ReadsInTimeWhenTheStoreReaderHasLostTheStore)
{
  constexpr Duration kMaxConfigDelay = 2s;
  watch_->Start();
  watch_->SetRelayed(true);
  scheduler_.Run(1s);
  const auto confirmedAt = clock_.Now();
  operatorsEnd_ = snapshotEnd_;
  FleetConfig config;
  config.version_ = 4;
  nextOperators_ = { config };
  while (clock_.Now() < confirmedAt + kMaxConfigDelay) {
    watch_->OnRelayedConfigAge(clock_.Now(), { era_, snapshotEnd_ }, clock_.Now() - confirmedAt);
    scheduler_.Run(50ms);
  }
  EXPECT_EQ(state_.Routes()->Config().version_, 4);
}

// Guards against one read for each host and each of a quick series of configurations.
TEST_F(StoreWatchTest, ASeriesOfRelayedChangesTakesFewReads)
{
  watch_->Start();
  watch_->SetRelayed(true);
  operatorsEnd_ = 10;
  scheduler_.Run(2s);
  const int before = operatorReads_;
  for (int i = 0; i < 25; ++i) {
    ++operatorsEnd_;
    watch_->OnRelayedConfigAge(clock_.Now(), { era_, operatorsEnd_ }, 0ms);
    scheduler_.Run(60ms);
  }
  EXPECT_LE(operatorReads_ - before, 5);
  scheduler_.Run(600ms);
  watch_->OnRelayedConfigAge(clock_.Now(), { era_, operatorsEnd_ }, 0ms);
  EXPECT_LE(state_.ConfigAge(), 0ms) << "it has the newest configuration";
}

// Guards against many reads of all hosts of a new fleet before the operators' first configuration.
TEST_F(StoreWatchTest, ReadsRarelyBeforeTheFirstConfiguration)
{
  operators_.clear();
  watch_->Start();
  scheduler_.Run(2s);
  EXPECT_LE(snapshots_, 1 + 4 + 1) << "of both streams";
}

// Guards against a withdrawn key, or an evacuated data centre, that is in use again after a
// restart: a store reader knows a newer offset than the state that the store answers with.
TEST_F(StoreWatchTest, AnAnswerOlderThanARelayedOffsetIsNotUsed)
{
  watch_->OnRelayedConfigAge(clock_.Now(), { era_, 12 }, 0ms);
  watch_->Start();
  scheduler_.Run(500ms);
  EXPECT_FALSE(state_.Routes());
  EXPECT_EQ(state_.ConfigAge(), Duration::max());
  snapshotEnd_ = 12;
  scheduler_.Run(500ms);
  EXPECT_TRUE(state_.Routes());
  EXPECT_LE(state_.ConfigAge(), 500ms);
}

// Guards against a host that takes no configuration for long after the store came back from an
// older copy: the offsets are below those that the store reader had before, so each answer looked
// older than what the host knew of.
TEST_F(StoreWatchTest, ReadsAStoreThatCameBackWithLowerOffsets)
{
  watch_->Start();
  watch_->OnRelayedConfigAge(clock_.Now(), { era_, 12 }, 0ms);
  scheduler_.Run(500ms);
  Restore(7);
  FleetConfig config;
  config.version_ = 4;
  operators_ = { config };
  scheduler_.Run(2s);
  EXPECT_EQ(state_.Routes()->Config().version_, 4);
  EXPECT_LE(state_.ConfigAge(), 2s);
}

// Guards against a configuration that comes into force too late after the store came back from an
// older copy: the next long poll starts at an offset that the copy has too, so that it learns of
// the new era only when it ends.
TEST_F(StoreWatchTest, NoticesANewEraWithoutWaitingForALongPoll)
{
  watch_->Start();
  scheduler_.Run(5s);
  error_ = StoreError::Unreachable;
  scheduler_.Run(2s);
  error_ = {};
  Restore(snapshotEnd_);
  FleetConfig config;
  config.version_ = 4;
  operators_ = { config };
  scheduler_.Run(WatchSettings().retryDelay_ + 100ms);
  EXPECT_EQ(state_.Routes()->Config().version_, 4);
}

/** Store watch whose long poll hangs while the store comes back from a copy that ends at the same
 * offset, with version 4 of the configuration. */
class HangingPollTest : public StoreWatchTest
{
protected:
  void HangAndRestore()
  {
    watch_->Start();
    isHanging_ = true;
    scheduler_.Run(1900ms);
    ASSERT_EQ(hanging_.size(), 1U);
    Restore(snapshotEnd_);
    FleetConfig config;
    config.version_ = 4;
    operators_ = { config };
  }
};

// Guards against a configuration that is not in force while a long poll of the era before hangs,
// although the upstreams' stream was read in the new one.
TEST_F(HangingPollTest, ANewEraOfTheUpstreamsIsEnough)
{
  HangAndRestore();
  scheduler_.Run(WatchSettings().upstreamInterval_ + 100ms);
  EXPECT_EQ(state_.Routes()->Config().version_, 4);
}

// Guards against the same at a host whose store reader has read the new era.
TEST_F(HangingPollTest, ANewEraOfAStoreReaderIsEnough)
{
  HangAndRestore();
  watch_->SetRelayed(true);
  watch_->OnRelayedConfigAge(clock_.Now(), { era_, snapshotEnd_ }, 0ms);
  scheduler_.Run(50ms);
  EXPECT_EQ(state_.Routes()->Config().version_, 4);
}

// Guards against two polls at a time after the one that hung has ended.
TEST_F(HangingPollTest, ItsAnswerStartsNoSecondPoll)
{
  HangAndRestore();
  isHanging_ = false;
  scheduler_.Run(1s);
  hanging_.front()();
  const int before = operatorReads_;
  const int snapshots = snapshots_;
  scheduler_.Run(10s);
  EXPECT_LE(operatorReads_ - before, 8);
  EXPECT_EQ(snapshots_, snapshots);
}

// Guards against calls at the interval of gossip while the store turns this host away and its store
// reader announces the new era with each answer.
TEST_F(HangingPollTest, AnAnnouncedEraIsReadOnceAtOnce)
{
  HangAndRestore();
  watch_->SetRelayed(true);
  error_ = StoreError::Unreachable;
  const int before = operatorReads_;
  for (int i = 0; i < 16; ++i) {
    watch_->OnRelayedConfigAge(clock_.Now(), { era_, snapshotEnd_ }, 0ms);
    scheduler_.Run(250ms);
  }
  EXPECT_LE(operatorReads_ - before, 5);
}

// Guards against a state of before the loss that is taken as newer than one of after it, because
// its offsets are higher.
TEST_F(StoreWatchTest, AnAnswerOfAnEarlierEraThanARelayedPositionIsNotUsed)
{
  watch_->OnRelayedConfigAge(clock_.Now(), { era_ + 1, 5 }, 0ms);
  watch_->Start();
  scheduler_.Run(500ms);
  EXPECT_FALSE(state_.Routes());
  Restore(5);
  scheduler_.Run(500ms);
  EXPECT_TRUE(state_.Routes());
}

// Guards against a configuration that counts as confirmed by a store reader of another era that
// has the same offset.
TEST_F(StoreWatchTest, OnlyTheSameEraConfirmsTheConfiguration)
{
  watch_->Start();
  error_ = StoreError::Unreachable;
  scheduler_.Run(5s);
  watch_->OnRelayedConfigAge(clock_.Now(), { era_ - 1, snapshotEnd_ }, 0ms);
  watch_->OnRelayedConfigAge(clock_.Now(), { era_ + 1, snapshotEnd_ }, 0ms);
  EXPECT_GE(state_.ConfigAge(), 3s);
  watch_->OnRelayedConfigAge(clock_.Now(), { era_, snapshotEnd_ }, 0ms);
  EXPECT_LE(state_.ConfigAge(), 0ms);
}

// Guards against changes of two eras that are mixed: a late answer of a store reader to a query of
// the old era has a higher offset than the snapshot of the new one.
TEST_F(StoreWatchTest, RelayedChangesOfAnotherEraAreNotApplied)
{
  watch_->Start();
  scheduler_.Run(1s);
  ChangeBatch batch;
  batch.era_ = era_;
  batch.next_ = snapshotEnd_ + 1;
  batch.changes_ = { UpstreamChange{ UpstreamId("e2"), MakeEngine("e2") } };
  Restore(5);
  scheduler_.Run(1s);
  watch_->OnRelayedUpstreams(clock_.Now(), batch, 0ms);
  EXPECT_EQ(state_.Upstreams().Find(UpstreamId("e2")), nullptr);
  EXPECT_EQ(watch_->Position().upstreams_, (StorePosition{ era_, 5 }));
}

class StoreWatchRestoreTest : public StoreWatchTest
{
protected:
  /** Starts with the evacuation of dc1, which the store then loses. */
  void LoseEvacuation()
  {
    const auto config = operators_;
    operators_.emplace_back(EvacuationChange{ DataCentreId("dc1"), true });
    watch_->Start();
    scheduler_.Run(2s);
    EXPECT_FALSE(IsUsable());
    Restore(5);
    operators_ = config;
    scheduler_.Run(2s);
  }
  UpstreamChange EntryWithHeartbeat(std::uint64_t aHeartbeat)
  {
    auto entry = MakeEngine("e1");
    entry.heartbeat_ = aHeartbeat;
    return { entry.id_, entry };
  }
  bool IsUsable()
  {
    return state_.Upstreams().IsUsable(*state_.Upstreams().Find(UpstreamId("e1")));
  }
};

// Guards against requests to an evacuated data centre after the store came back from an older copy
// that lacks the evacuation: operators need a moment to write it again.
TEST_F(StoreWatchRestoreTest, KeepsAnEvacuationThatTheCopyLacks)
{
  LoseEvacuation();
  EXPECT_FALSE(IsUsable());
  nextOperators_ = { EvacuationChange{ DataCentreId("dc1"), true } };
  scheduler_.Run(6s);
  EXPECT_FALSE(IsUsable()) << "it was written again";
}

TEST_F(StoreWatchRestoreTest, EndsAnEvacuationThatIsNotWrittenAgain)
{
  LoseEvacuation();
  EXPECT_FALSE(IsUsable());
  scheduler_.Run(2s);
  EXPECT_TRUE(IsUsable());
}

TEST_F(StoreWatchRestoreTest, AnEndThatIsWrittenAfterTheRestoreAppliesAtOnce)
{
  const auto config = operators_;
  operators_.emplace_back(EvacuationChange{ DataCentreId("dc1"), true });
  watch_->Start();
  scheduler_.Run(2s);
  Restore(5);
  operators_ = config;
  nextOperators_ = { EvacuationChange{ DataCentreId("dc1"), false } };
  scheduler_.Run(1600ms);
  EXPECT_TRUE(nextOperators_.empty());
  EXPECT_TRUE(IsUsable());
}

// Guards against the removal of live upstreams after the store came back from an older copy that
// lacks their entries, after an outage that is too short for entries to expire.
TEST_F(StoreWatchRestoreTest, KeepsUpstreamsThatTheCopyLacks)
{
  upstreams_.emplace_back(UpstreamChange{ UpstreamId("e2"), MakeEngine("e2") });
  watch_->Start();
  scheduler_.Run(1s);
  Restore(5);
  upstreams_.clear();
  scheduler_.Run(1s);
  EXPECT_EQ(watch_->Position().upstreams_, (StorePosition{ era_, 5 }));
  EXPECT_TRUE(HasEngine());
  nextChanges_ = { EntryWithHeartbeat(2) };
  scheduler_.Run(3s);
  EXPECT_TRUE(HasEngine());
  EXPECT_EQ(state_.Upstreams().Find(UpstreamId("e2")), nullptr)
    << "its entry was not written again";
}

// Guards against requests to an upstream that is gone after the store came back from an older copy
// that still has one of its entries.
TEST_F(StoreWatchRestoreTest, ARemovedUpstreamDoesNotComeBackWithAnOldEntry)
{
  upstreams_ = { EntryWithHeartbeat(8) };
  watch_->Start();
  scheduler_.Run(1s);
  nextChanges_ = { UpstreamChange{ UpstreamId("e1"), std::nullopt } };
  scheduler_.Run(1s);
  ASSERT_FALSE(HasEngine());
  Restore(5);
  scheduler_.Run(1s);
  EXPECT_EQ(watch_->Position().upstreams_, (StorePosition{ era_, 5 }));
  EXPECT_FALSE(HasEngine());
  nextChanges_ = { EntryWithHeartbeat(9) };
  scheduler_.Run(1s);
  EXPECT_TRUE(HasEngine()) << "it is running";
}

// Guards against the same at a host that learns of changes from a store reader, which does not
// relay mere heartbeats.
TEST_F(StoreWatchRestoreTest, ARelayedRemovalTellsTheLastEntry)
{
  upstreams_ = { EntryWithHeartbeat(8) };
  watch_->Start();
  scheduler_.Run(1s);
  ChangeBatch removal;
  removal.era_ = era_;
  removal.next_ = snapshotEnd_ + 20;
  removal.changes_ = { UpstreamChange{ UpstreamId("e1"), std::nullopt, { 1, 20 } } };
  watch_->OnRelayedUpstreams(clock_.Now(), removal, 0ms);
  ASSERT_FALSE(HasEngine());
  Restore(5);
  upstreams_ = { EntryWithHeartbeat(19) };
  scheduler_.Run(1s);
  EXPECT_EQ(watch_->Position().upstreams_, (StorePosition{ era_, 5 }));
  EXPECT_FALSE(HasEngine());
  nextChanges_ = { EntryWithHeartbeat(21) };
  scheduler_.Run(1s);
  EXPECT_TRUE(HasEngine()) << "it is running";
}

// Guards against records of this host that stay lost after the store came back from an older copy:
// the host must learn of it once, although it reads two streams.
TEST_F(StoreWatchRestoreTest, ReportsEachNewerEraOnce)
{
  watch_->Start();
  scheduler_.Run(3s);
  EXPECT_EQ(restored_, 0) << "this host has lost nothing";
  for (int i = 1; i <= 2; ++i) {
    Restore(5);
    scheduler_.Run(3s);
    EXPECT_EQ(restored_, i);
    const StorePosition end{ era_, 5 };
    EXPECT_TRUE(positionsAtRestore_.operators_ == end || positionsAtRestore_.upstreams_ == end);
  }
}

// Guards against a withdrawn key that is accepted by a host that starts after the store came back
// from an older copy: the host reads an older configuration than its peers have.
TEST_F(StoreWatchRestoreTest, AConfigurationThatAPeerHasNewerIsNotConfirmed)
{
  Restore(7);
  watch_->Start();
  scheduler_.Run(1s);
  EXPECT_LE(state_.ConfigAge(), 1s);
  state_.SetPeerConfig({ 4, { era_ - 1, 10 } });
  EXPECT_TRUE(state_.IsConfigOutdated());
  EXPECT_EQ(state_.ConfigAge(), Duration::max());
  FleetConfig config;
  config.version_ = 4;
  nextOperators_ = { config };
  scheduler_.Run(2s);
  EXPECT_FALSE(state_.IsConfigOutdated()) << "operators wrote it again";
  EXPECT_LE(state_.ConfigAge(), 2s);
}

// Guards against a host that stays unready for as long as a peer runs: operators whose write the
// store lost before its answer arrived may never write that configuration again.
TEST_F(StoreWatchRestoreTest, ALostConfigurationOfAPeerDoesNotBlockForever)
{
  watch_->Start();
  scheduler_.Run(1s);
  state_.SetPeerConfig({ 4, { era_ - 1, 10 } });
  EXPECT_TRUE(state_.IsConfigOutdated());
  for (int i = 0; i < 60; ++i) {
    scheduler_.Run(250ms);
    state_.SetPeerConfig({ 4, { era_ - 1, 10 } });
  }
  EXPECT_FALSE(state_.IsConfigOutdated());
  EXPECT_LT(state_.ConfigAge(), 2s);
}

// Guards against requests that are refused at each change of the configuration until it has reached
// all hosts.
TEST_F(StoreWatchRestoreTest, AConfigurationIsConfirmedWhileTheNextOneSpreads)
{
  watch_->Start();
  scheduler_.Run(1s);
  state_.SetPeerConfig({ 4, { era_, snapshotEnd_ + 1 } });
  EXPECT_FALSE(state_.IsConfigOutdated());
  state_.SetPeerConfig({ 4, { era_ + 1, 2 } });
  EXPECT_FALSE(state_.IsConfigOutdated()) << "the peer has read the store after it came back";
  EXPECT_LE(state_.ConfigAge(), 1s);
}

TEST_F(StoreWatchTest, ASnapshotEndsEvacuationsThatItDoesNotName)
{
  watch_->Start();
  ChangeBatch batch;
  batch.changes_ = { EvacuationChange{ DataCentreId("dc1"), true } };
  state_.ApplyOperators(batch);
  EXPECT_FALSE(state_.Upstreams().IsUsable(*state_.Upstreams().Find(UpstreamId("e1"))));
  ChangeBatch snapshot;
  snapshot.isSnapshot_ = true;
  state_.ApplyOperators(snapshot);
  EXPECT_TRUE(state_.Upstreams().IsUsable(*state_.Upstreams().Find(UpstreamId("e1"))));
}

} // namespace
} // namespace laburnumweir
