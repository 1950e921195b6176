/** @file relay_modules_test.cpp Peers, counts of peers and changes of upstreams that readers tell.
 */
#include "dispatch/fake_clock.h"
#include "fleet/count_table.h"
#include "fleet/fleet_support.h"
#include "fleet/peer_table.h"
#include "fleet/upstream_changes.h"
#include "table/fleet_const.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <set>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::MakeEngine;

HostRecord
MakeHost(int aNumber, const std::string& aDataCentre = "dc1")
{
  return { HostId("h" + std::to_string(aNumber)),
           { "127.0.0.1", static_cast<std::uint16_t>(aNumber + 1) },
           DataCentreId(aDataCentre) };
}

TEST(PeerTable, KnowsHoldersAndHosts)
{
  FakeClock clock;
  PeerTable peers(clock, MakeHost(0));
  peers.OnRecorded(MakeHost(0));
  EXPECT_EQ(peers.Hosts().size(), 1U) << "this host is no peer of its own";
  for (int i = 1; i <= 5; ++i) {
    EXPECT_TRUE(peers.OnHeard(MakeHost(i), 1, 1));
  }
  EXPECT_FALSE(peers.OnHeard(MakeHost(1), 1, 1)) << "the same message again";
  EXPECT_FALSE(peers.OnHeard(MakeHost(1), 0, 9)) << "an earlier life";
  peers.OnPartitions(HostId("h1"), 4, { 7 });
  peers.OnPartitions(HostId("h2"), 5, { 7 });
  EXPECT_EQ(peers.HolderOf(7)->port_, 3) << "the newer generation holds it";
  EXPECT_TRUE(peers.OnHeard(MakeHost(2), 2, 1));
  EXPECT_EQ(peers.HolderOf(7)->port_, 2) << "a new life holds nothing yet";
  const std::vector<HostClaim> told{ { MakeHost(3), 6, { 7 } }, { MakeHost(0), 9, { 7 } } };
  peers.OnTold(told);
  EXPECT_EQ(peers.HolderOf(7)->port_, 4) << "a reader tells of a newer generation";
  const std::vector<HostClaim> older{ { MakeHost(3), 5, {} } };
  peers.OnTold(older);
  EXPECT_EQ(peers.HolderOf(7)->port_, 4) << "and another one of an older one";
  clock.Advance(kPeerCountLife + 1ms);
  EXPECT_FALSE(peers.HolderOf(7));
  EXPECT_TRUE(peers.Live().empty());
  EXPECT_EQ(peers.Hosts().size(), 6U) << "a partition must not raise the shares";
  clock.Advance(kPeerShareLife);
  peers.Expire();
  EXPECT_EQ(peers.Hosts().size(), 1U);
}

// Pattern: 40 hosts in one data centre and 10 in another. If every host told every other one,
// messages would grow with the square of the hosts.
TEST(PeerTable, FewReadersServeAllHostsOfADataCentre)
{
  FakeClock clock;
  std::vector<HostRecord> hosts;
  for (int i = 0; i < 50; ++i) {
    hosts.push_back(MakeHost(i, i < 40 ? "dc1" : "dc2"));
  }
  std::map<std::string, int> readers;
  std::map<HostId, int> asked;
  for (const auto& self : hosts) {
    PeerTable peers(clock, self);
    for (const auto& host : hosts) {
      peers.OnHeard(host, 1, 1);
    }
    readers[self.dataCentre_.Value()] += peers.IsReader() ? 1 : 0;
    EXPECT_EQ(peers.OtherReaders().size(), peers.IsReader() ? 3U : 4U);
    const auto reader = peers.ReaderToAsk();
    ASSERT_EQ(reader.has_value(), !peers.IsReader());
    if (reader) {
      EXPECT_EQ(reader->dataCentre_, self.dataCentre_) << "bytes between data centres are priced";
      ++asked[reader->id_];
      peers.OnSilent(reader->id_);
      EXPECT_NE(peers.ReaderToAsk().value_or(HostRecord()).id_, reader->id_);
      peers.OnHeard(*reader, 1, 2);
      EXPECT_EQ(peers.ReaderToAsk()->id_, reader->id_) << "it is back";
    }
  }
  EXPECT_EQ(readers["dc1"], 2);
  EXPECT_EQ(readers["dc2"], 2);
  ASSERT_EQ(asked.size(), 4U) << "the hosts divide themselves among the readers";
  for (const auto& [id, count] : asked) {
    EXPECT_LE(count, 30) << id.Value();
  }
}

TEST(PeerTable, AHostWithoutPeersReadsTheStoreItself)
{
  FakeClock clock;
  PeerTable peers(clock, MakeHost(0));
  EXPECT_TRUE(peers.IsReader());
  for (int i = 1; i < 9; ++i) {
    peers.OnRecorded(MakeHost(i));
  }
  clock.Advance(kPeerCountLife + 1ms);
  EXPECT_TRUE(peers.IsReader()) << "hosts that were recorded and never heard may be gone";
  EXPECT_TRUE(peers.OtherReaders().empty());
}

HostCounts
MakeCounts(double aAsked, std::uint32_t aRunning)
{
  return { { { WorkspaceId("w"), aAsked, aAsked / 2, aAsked * 2 } },
           { { UpstreamId("e"), aRunning } } };
}

TEST(CountTable, SumsEachHostOnce)
{
  FakeClock clock;
  CountTable counts(clock);
  counts.OnPeer(HostId("member1"), MakeCounts(10, 1), true);
  counts.OnPeer(HostId("member2"), MakeCounts(20, 2), true);
  counts.OnPeer(HostId("reader"), MakeCounts(400, 40), false);
  counts.OnPeer(HostId("member1"), MakeCounts(30, 3), true);
  const auto own = MakeCounts(1000, 100);
  EXPECT_EQ(counts.SumOfAsking(own).demand_.at(0).askedPerSecond_, 1050);
  EXPECT_EQ(counts.SumOfAsking(own).load_.at(0).running_, 105U);
  EXPECT_EQ(counts.SumWithout(HostId("member1"), own).demand_.at(0).askedPerSecond_, 1420);
  EXPECT_EQ(counts.SumWithout(HostId("member1"), own).demand_.at(0).takenPerSecond_, 710);
  EXPECT_EQ(counts.Others().demand_.at(0).askedPerSecond_, 450);
  EXPECT_EQ(counts.Others().demand_.at(0).surgePerSecond_, 900);
  EXPECT_EQ(counts.IsAsking(HostId("reader")), std::optional(false));
  EXPECT_FALSE(counts.IsAsking(HostId("nobody")));
}

// Guards against a quota that is exceeded while a host becomes a reader: until the other readers
// tell it their sums, it still has the last sum that its reader told.
TEST(CountTable, KeepsTheSumOfItsReaderWhileItBecomesOne)
{
  FakeClock clock;
  CountTable counts(clock);
  counts.OnOthers(MakeCounts(500, 50));
  counts.OnPeer(HostId("member"), MakeCounts(10, 1), true);
  EXPECT_EQ(counts.Others().demand_.at(0).askedPerSecond_, 500);
  clock.Advance(kPeerCountLife);
  EXPECT_TRUE(counts.Others().load_.empty());
  EXPECT_EQ(counts.Others().demand_.at(0).askedPerSecond_, 500) << "demand stays reserved longer";
  clock.Advance(kPeerDemandLife);
  counts.Expire();
  EXPECT_TRUE(counts.Others().demand_.empty());
}

class UpstreamChangesTest : public testing::Test
{
protected:
  UpstreamEntry Entry(std::uint64_t aHeartbeat, const std::string& aAdapter = "a1")
  {
    auto entry = MakeEngine("e1");
    entry.heartbeat_ = aHeartbeat;
    entry.models_[0].adapters_ = { { aAdapter, 1 } };
    return entry;
  }
  std::size_t Told(LogOffset aFrom)
  {
    const auto changes = changes_.Since(aFrom);
    EXPECT_TRUE(changes);
    return changes ? changes->size() : 0;
  }

  FakeClock clock_;
  UpstreamChanges changes_{ clock_ };
};

TEST_F(UpstreamChangesTest, TellsChangesAndNotHeartbeats)
{
  changes_.OnEntry(Entry(1), 10);
  EXPECT_EQ(Told(9), 1U);
  EXPECT_EQ(Told(10), 0U);
  clock_.Advance(10s);
  changes_.OnEntry(Entry(2), 11);
  EXPECT_EQ(Told(10), 0U) << "only a heartbeat";
  changes_.OnEntry(Entry(3, "a2"), 12);
  EXPECT_EQ(Told(11), 1U);
  changes_.OnEntry(Entry(2), 13);
  EXPECT_EQ(changes_.Since(0)->at(0).entry_->models_[0].adapters_[0].name_, "a2")
    << "an entry that was written before the known one comes late";
}

// Guards against a difference that is never told: a host takes an entry for older than what the
// holder told just before, so it must see the entry again once that no longer holds.
TEST_F(UpstreamChangesTest, RepeatsChangedModelsUntilHostsBelieveThem)
{
  changes_.OnEntry(Entry(1), 10);
  clock_.Advance(10s);
  changes_.OnEntry(Entry(2, "a2"), 11);
  clock_.Advance(kEntryLag + 100ms);
  changes_.OnEntry(Entry(3, "a2"), 12);
  EXPECT_EQ(Told(11), 1U);
}

TEST_F(UpstreamChangesTest, TellsWhoIsGoneAndWhoCameBack)
{
  changes_.OnEntry(Entry(1), 10);
  changes_.OnRemoved(UpstreamId("e1"), 20);
  ASSERT_EQ(Told(10), 1U);
  EXPECT_FALSE(changes_.Since(10)->at(0).entry_);
  EXPECT_EQ(Told(20), 0U);
  auto back = Entry(1);
  back.startedAt_ = 2;
  changes_.OnEntry(back, 30);
  ASSERT_EQ(Told(10), 1U);
  EXPECT_TRUE(changes_.Since(10)->at(0).entry_);
}

// A host must not take "nothing is known of that time" for "nothing happened".
TEST_F(UpstreamChangesTest, SaysWhenItDoesNotKnow)
{
  changes_.OnEntry(Entry(1), 10);
  changes_.OnSnapshot(10);
  EXPECT_FALSE(changes_.Since(9));
  EXPECT_TRUE(changes_.Since(10));
  for (int i = 0; i < 2000; ++i) {
    changes_.OnRemoved(UpstreamId("r" + std::to_string(i)), 11 + i);
  }
  EXPECT_FALSE(changes_.Since(11)) << "old removals are forgotten, so that memory stays bounded";
  EXPECT_EQ(Told(2005), 5U);
}

} // namespace
} // namespace laburnumweir
