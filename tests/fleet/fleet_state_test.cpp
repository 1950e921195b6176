/** @file fleet_state_test.cpp Tests which upstreams a host keeps, and what it relays of them. */
#include "dispatch/fake_clock.h"
#include "fleet/fleet_support.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::MakeEngine;

class DeferredRemovalTest : public testing::Test
{
protected:
  static UpstreamChange EntryWithHeartbeat(std::uint64_t aHeartbeat)
  {
    auto entry = MakeEngine("e1");
    entry.heartbeat_ = aHeartbeat;
    return { entry.id_, entry };
  }
  static UpstreamChange Removal(EntryStamp aLastStamp = {})
  {
    return { UpstreamId("e1"), std::nullopt, aLastStamp };
  }
  /** Applies records of consecutive offsets. @param aNext offset after the last one. */
  void Apply(LogOffset aNext, std::vector<FleetChange> aChanges, bool aDeferRemovals)
  {
    ChangeBatch batch;
    batch.era_ = era_;
    batch.isGapless_ = true;
    batch.next_ = aNext;
    batch.changes_ = std::move(aChanges);
    state_.ApplyUpstreams(batch, aDeferRemovals);
  }
  void ApplySnapshot(LogOffset aNext, std::vector<FleetChange> aChanges, bool aDeferRemovals)
  {
    ChangeBatch batch;
    batch.era_ = era_;
    batch.isSnapshot_ = true;
    batch.next_ = aNext;
    batch.changes_ = std::move(aChanges);
    state_.ApplyUpstreams(batch, aDeferRemovals);
  }
  /** @return the only change of `e1` since an offset; none unless there is exactly one. */
  std::optional<UpstreamChange> ChangeSince(LogOffset aFrom) const
  {
    const auto changes = state_.Changes().Since({ era_, aFrom });
    return changes && changes->size() == 1 ? std::optional(changes->front()) : std::nullopt;
  }
  bool HasEngine() const { return state_.Upstreams().All().contains(UpstreamId("e1")); }

  FakeClock clock_;
  StoreEra era_ = 0;
  FleetState state_{ clock_, HostId("h1"), DataCentreId("dc1") };
};

// Guards against a removal that hosts never receive: a store reader that defers it relays the
// position after it.
TEST_F(DeferredRemovalTest, IsRelayedAtOnceUnderItsOffset)
{
  Apply(10, { EntryWithHeartbeat(8) }, false);
  Apply(20, { Removal(), UpstreamChange{ UpstreamId("e2"), MakeEngine("e2") } }, true);
  EXPECT_TRUE(HasEngine());
  auto change = ChangeSince(19);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->id_, UpstreamId("e2")) << "hosts at 19 have the removal";
  ASSERT_TRUE(state_.Changes().Since({ era_, 10 }));
  EXPECT_EQ(state_.Changes().Since({ era_, 10 })->size(), 2U);
  state_.ApplyDeferredRemovals();
  EXPECT_FALSE(HasEngine());
  EXPECT_TRUE(state_.Changes().Since({ era_, 20 })->empty()) << "nothing changed in the store";
}

// Guards against an old entry that a host takes after a relayed removal without the stamp of the
// last entry: a store reader does not relay mere heartbeats.
TEST_F(DeferredRemovalTest, IsRelayedWithTheStampOfTheLastEntry)
{
  Apply(10, { EntryWithHeartbeat(8) }, false);
  Apply(20, { Removal() }, true);
  ASSERT_TRUE(ChangeSince(10));
  EXPECT_FALSE(ChangeSince(10)->entry_);
  EXPECT_EQ(ChangeSince(10)->lastStamp_, (EntryStamp{ 1, 8 }));
}

// Guards against a running upstream that is missing at hosts that applied its removal at once while
// their store reader deferred it: its next entry differs only in the heartbeat.
TEST_F(DeferredRemovalTest, AnEntryThatComesBackIsRelayed)
{
  Apply(10, { EntryWithHeartbeat(8) }, false);
  Apply(20, { Removal() }, true);
  Apply(30, { EntryWithHeartbeat(9) }, true);
  ASSERT_TRUE(ChangeSince(20));
  EXPECT_TRUE(ChangeSince(20)->entry_);
  state_.ApplyDeferredRemovals();
  EXPECT_TRUE(HasEngine());
}

// Guards against a removed upstream that comes back for good when the store is restored a second
// time, from a copy that still has one of its entries, before its removal has taken effect.
TEST_F(DeferredRemovalTest, AnEntryOfAnOlderCopyDoesNotEndIt)
{
  Apply(10, { EntryWithHeartbeat(8) }, false);
  ++era_;
  ApplySnapshot(5, {}, true);
  ++era_;
  ApplySnapshot(4, { EntryWithHeartbeat(7) }, true);
  state_.ApplyDeferredRemovals();
  EXPECT_FALSE(HasEngine());
  Apply(6, { EntryWithHeartbeat(9) }, false);
  EXPECT_TRUE(HasEngine()) << "it is running";
}

// Guards against the same after the removal has taken effect, at a host that knows the last
// heartbeat only from its store reader.
TEST_F(DeferredRemovalTest, KeepsTheRelayedStampOfTheLastEntry)
{
  Apply(10, { EntryWithHeartbeat(8) }, false);
  Apply(20, { Removal({ 1, 20 }) }, true);
  state_.ApplyDeferredRemovals();
  EXPECT_FALSE(HasEngine());
  ++era_;
  ApplySnapshot(15, { EntryWithHeartbeat(19) }, true);
  EXPECT_FALSE(HasEngine());
  Apply(16, { EntryWithHeartbeat(21) }, true);
  EXPECT_TRUE(HasEngine()) << "it is running";
}

class BehindPeersTest : public testing::Test
{
protected:
  void Read(std::int64_t aVersion, LogOffset aNext)
  {
    FleetConfig config;
    config.version_ = aVersion;
    ChangeBatch batch;
    batch.changes_ = { config };
    batch.next_ = aNext;
    state_.ApplyOperators(batch);
  }

  FakeClock clock_;
  FleetState state_{ clock_, HostId("h1"), DataCentreId("dc1") };
};

// Guards against a host that acts for long on a configuration that its peers have replaced, as the
// store turns away its reads.
TEST_F(BehindPeersTest, LastsFromTheFirstUnreadConfigurationUntilItIsRead)
{
  Read(3, 10);
  state_.SetPeerConfig({ 3, { 0, 12 } });
  EXPECT_FALSE(state_.BehindPeersSince()) << "the same version";
  const auto start = clock_.Now();
  for (std::int64_t version = 4; version < 9; ++version) {
    state_.SetPeerConfig({ version, { 0, static_cast<LogOffset>(version) + 10 } });
    clock_.Advance(1s);
    EXPECT_EQ(state_.BehindPeersSince(), start);
  }
  Read(6, 16);
  EXPECT_EQ(state_.BehindPeersSince(), start + 3s) << "versions 7 and 8 are still unread";
  Read(8, 18);
  EXPECT_FALSE(state_.BehindPeersSince());
}

// Guards against a host that refuses all requests since the store has lost a configuration of its
// peers.
TEST_F(BehindPeersTest, EndsWhenTheStoreDoesNotHoldTheConfiguration)
{
  Read(3, 10);
  state_.SetPeerConfig({ 4, { 0, 11 } });
  EXPECT_TRUE(state_.BehindPeersSince());
  ChangeBatch restored;
  restored.era_ = 1;
  restored.next_ = 5;
  state_.ApplyOperators(restored);
  EXPECT_FALSE(state_.BehindPeersSince());
}

} // namespace
} // namespace laburnumweir
