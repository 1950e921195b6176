/** @file relay_modules_test.cpp Peers, load reports, and the changes of upstreams that store
 * readers send.
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
  peers.OnStoreRecord(MakeHost(0));
  EXPECT_EQ(peers.Hosts().size(), 1U) << "a host is not a peer of itself";
  for (int i = 1; i <= 5; ++i) {
    EXPECT_TRUE(peers.OnMessage(MakeHost(i), 1, 1));
  }
  EXPECT_FALSE(peers.OnMessage(MakeHost(1), 1, 1)) << "the message was received before";
  EXPECT_FALSE(peers.OnMessage(MakeHost(1), 0, 9))
    << "the message is from an earlier process instance";
  peers.OnPartitions(HostId("h1"), 4, { 7 });
  peers.OnPartitions(HostId("h2"), 5, { 7 });
  EXPECT_EQ(peers.HolderOf(7)->port_, 3) << "the claim of the newer generation wins";
  EXPECT_TRUE(peers.OnMessage(MakeHost(2), 2, 1));
  EXPECT_EQ(peers.HolderOf(7)->port_, 2) << "a new process instance holds no partitions yet";
  const std::vector<HostPartitions> reported{ { MakeHost(3), 6, { 7 } },
                                              { MakeHost(0), 9, { 7 } } };
  peers.OnRelayedHosts(reported);
  EXPECT_EQ(peers.HolderOf(7)->port_, 4) << "a store reader reported a newer generation";
  const std::vector<HostPartitions> older{ { MakeHost(3), 5, {} } };
  peers.OnRelayedHosts(older);
  EXPECT_EQ(peers.HolderOf(7)->port_, 4) << "a report of an older generation is ignored";
  clock.Advance(kPeerLoadTtl + 1ms);
  EXPECT_FALSE(peers.HolderOf(7));
  EXPECT_TRUE(peers.LivePeers().empty());
  EXPECT_EQ(peers.Hosts().size(), 6U) << "a network partition must not raise the shares";
  clock.Advance(kPeerShareTtl);
  peers.Expire();
  EXPECT_EQ(peers.Hosts().size(), 1U);
}

// Guards against a number of messages that grows with the square of the number of hosts, as it
// would if every host sent its reports to every other one. 40 hosts are in one data centre, 10 in
// another.
TEST(PeerTable, FewReadersServeAllHostsOfADataCentre)
{
  FakeClock clock;
  std::vector<HostRecord> hosts;
  for (int i = 0; i < 50; ++i) {
    hosts.push_back(MakeHost(i, i < 40 ? "dc1" : "dc2"));
  }
  std::map<std::string, int> readers;
  std::map<HostId, int> hostsOfReader;
  for (const auto& self : hosts) {
    PeerTable peers(clock, self);
    for (const auto& host : hosts) {
      peers.OnMessage(host, 1, 1);
    }
    readers[self.dataCentre_.Value()] += peers.IsStoreReader() ? 1 : 0;
    EXPECT_EQ(peers.OtherStoreReaders().size(), peers.IsStoreReader() ? 3U : 4U);
    const auto reader = peers.AssignedReader();
    ASSERT_EQ(reader.has_value(), !peers.IsStoreReader());
    if (reader) {
      EXPECT_EQ(reader->dataCentre_, self.dataCentre_) << "traffic between data centres is charged";
      ++hostsOfReader[reader->id_];
      peers.OnNoAnswer(reader->id_);
      EXPECT_NE(peers.AssignedReader().value_or(HostRecord()).id_, reader->id_);
      peers.OnMessage(*reader, 1, 2);
      EXPECT_EQ(peers.AssignedReader()->id_, reader->id_) << "it is chosen again after it answers";
    }
  }
  EXPECT_EQ(readers["dc1"], 2);
  EXPECT_EQ(readers["dc2"], 2);
  ASSERT_EQ(hostsOfReader.size(), 4U) << "every store reader serves some of the hosts";
  for (const auto& [id, count] : hostsOfReader) {
    EXPECT_LE(count, 30) << id.Value();
  }
}

TEST(PeerTable, AHostWithoutPeersReadsTheStoreItself)
{
  FakeClock clock;
  PeerTable peers(clock, MakeHost(0));
  EXPECT_TRUE(peers.IsStoreReader());
  for (int i = 1; i < 9; ++i) {
    peers.OnStoreRecord(MakeHost(i));
  }
  clock.Advance(kPeerLoadTtl + 1ms);
  EXPECT_TRUE(peers.IsStoreReader())
    << "recorded hosts that never sent a message may not be running";
  EXPECT_TRUE(peers.OtherStoreReaders().empty());
}

HostLoad
MakeCounts(double aRequested, std::uint32_t aRunning)
{
  return { { { WorkspaceId("w"), aRequested, aRequested / 2, aRequested * 2 } },
           { { UpstreamId("e"), aRunning } } };
}

TEST(HostLoadTable, SumsEachHostOnce)
{
  FakeClock clock;
  HostLoadTable counts(clock);
  counts.OnPeerLoad(HostId("member1"), MakeCounts(10, 1), true);
  counts.OnPeerLoad(HostId("member2"), MakeCounts(20, 2), true);
  counts.OnPeerLoad(HostId("reader"), MakeCounts(400, 40), false);
  counts.OnPeerLoad(HostId("member1"), MakeCounts(30, 3), true);
  const auto own = MakeCounts(1000, 100);
  EXPECT_EQ(counts.SumOfClients(own).demand_.at(0).requestedPerSecond_, 1050);
  EXPECT_EQ(counts.SumOfClients(own).load_.at(0).running_, 105U);
  EXPECT_EQ(counts.SumWithout(HostId("member1"), own).demand_.at(0).requestedPerSecond_, 1420);
  EXPECT_EQ(counts.SumWithout(HostId("member1"), own).demand_.at(0).grantedPerSecond_, 710);
  EXPECT_EQ(counts.TotalOfOthers().demand_.at(0).requestedPerSecond_, 450);
  EXPECT_EQ(counts.TotalOfOthers().demand_.at(0).recentPerSecond_, 900);
  EXPECT_EQ(counts.IsClient(HostId("reader")), std::optional(false));
  EXPECT_FALSE(counts.IsClient(HostId("nobody")));
}

HostLoad
MakeConfigReport(std::int64_t aVersion, StorePosition aNext)
{
  HostLoad load;
  load.config_ = { aVersion, aNext };
  return load;
}

// Guards against a host that does not learn of a newer configuration than its own because its store
// reader lacks it too, and against one that is reported for good after its last host is gone.
TEST(HostLoadTable, TellsTheNewestConfigurationOfTheLiveHosts)
{
  FakeClock clock;
  HostLoadTable counts(clock);
  counts.OnPeerLoad(HostId("member1"), MakeConfigReport(4, { 2, 10 }), true);
  counts.OnPeerLoad(HostId("member2"), MakeConfigReport(6, { 1, 30 }), true);
  counts.OnPeerLoad(HostId("reader"), MakeConfigReport(6, { 2, 5 }), false);
  const auto own = MakeConfigReport(5, { 2, 10 });
  EXPECT_EQ(counts.TotalOfOthers().config_.version_, 6);
  EXPECT_EQ(counts.TotalOfOthers().config_.next_, (StorePosition{ 1, 30 }));
  EXPECT_EQ(counts.SumOfClients(own).config_.next_, (StorePosition{ 1, 30 }));
  EXPECT_EQ(counts.SumWithout(HostId("member2"), own).config_.next_, (StorePosition{ 2, 5 }));
  counts.OnRelayedTotal(MakeConfigReport(7, { 2, 12 }));
  EXPECT_EQ(counts.TotalOfOthers().config_.version_, 7);
  clock.Advance(kPeerLoadTtl);
  EXPECT_EQ(counts.TotalOfOthers().config_.version_, 0);
}

// Guards against a host that starts on a copy of the store and does not learn of the restore, or
// waits anew for each host that saw it later than the first one.
TEST(HostLoadTable, TellsTheLastRestoreAsTheFirstHostSawIt)
{
  FakeClock clock;
  HostLoadTable counts(clock);
  HostLoad early;
  early.restore_ = { 2, 500ms };
  HostLoad late;
  late.restore_ = { 2, 100ms };
  HostLoad old;
  old.restore_ = { 1, 2000ms };
  counts.OnPeerLoad(HostId("member1"), early, true);
  clock.Advance(250ms);
  counts.OnPeerLoad(HostId("member2"), late, true);
  counts.OnPeerLoad(HostId("reader"), old, false);
  ASSERT_TRUE(counts.TotalOfOthers().restore_);
  EXPECT_EQ(counts.TotalOfOthers().restore_->era_, 2U);
  EXPECT_EQ(counts.TotalOfOthers().restore_->age_, 750ms);
  EXPECT_EQ(counts.SumWithout(HostId("member1"), {}).restore_->age_, 100ms);
  clock.Advance(kPeerLoadTtl);
  EXPECT_FALSE(counts.TotalOfOthers().restore_);
}

// Guards against an exceeded quota while a host becomes a store reader: until the other store
// readers send their sums, it uses the last sum that it received from its own store reader.
TEST(HostLoadTable, KeepsTheSumOfItsReaderWhileItBecomesOne)
{
  FakeClock clock;
  HostLoadTable counts(clock);
  counts.OnRelayedTotal(MakeCounts(500, 50));
  counts.OnPeerLoad(HostId("member"), MakeCounts(10, 1), true);
  EXPECT_EQ(counts.TotalOfOthers().demand_.at(0).requestedPerSecond_, 500);
  clock.Advance(kPeerLoadTtl);
  EXPECT_TRUE(counts.TotalOfOthers().load_.empty());
  EXPECT_EQ(counts.TotalOfOthers().demand_.at(0).requestedPerSecond_, 500)
    << "demand expires later than running requests";
  clock.Advance(kPeerDemandTtl);
  counts.Expire();
  EXPECT_TRUE(counts.TotalOfOthers().demand_.empty());
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
  std::size_t ChangeCount(LogOffset aFrom)
  {
    const auto changes = changes_.Since({ 0, aFrom });
    EXPECT_TRUE(changes);
    return changes ? changes->size() : 0;
  }

  FakeClock clock_;
  UpstreamChanges changes_{ clock_ };
};

TEST_F(UpstreamChangesTest, TellsChangesAndNotHeartbeats)
{
  changes_.OnEntry(Entry(1), 10);
  EXPECT_EQ(ChangeCount(9), 1U);
  EXPECT_EQ(ChangeCount(10), 0U);
  clock_.Advance(10s);
  changes_.OnEntry(Entry(2), 11);
  EXPECT_EQ(ChangeCount(10), 0U) << "only the heartbeat changed";
  changes_.OnEntry(Entry(3, "a2"), 12);
  EXPECT_EQ(ChangeCount(11), 1U);
  changes_.OnEntry(Entry(2), 13);
  EXPECT_EQ(changes_.Since({ 0, 0 })->at(0).entry_->models_[0].adapters_[0].name_, "a2")
    << "an entry older than the known one is ignored";
}

// Guards against a change that a host never applies. For kMaxEntryAge after a message from the
// holder of an engine, a host ignores its entry in the store, which may have been written before
// that message. The change must therefore be sent again after that time.
TEST_F(UpstreamChangesTest, RepeatsChangedModelsUntilHostsBelieveThem)
{
  changes_.OnEntry(Entry(1), 10);
  clock_.Advance(10s);
  changes_.OnEntry(Entry(2, "a2"), 11);
  clock_.Advance(kMaxEntryAge + 100ms);
  changes_.OnEntry(Entry(3, "a2"), 12);
  EXPECT_EQ(ChangeCount(11), 1U);
}

// Guards against bytes between hosts that grow with the heartbeats: on a fleet whose engines load
// all the time, each entry was sent with each heartbeat.
TEST_F(UpstreamChangesTest, RepeatsChangedModelsOnce)
{
  changes_.OnEntry(Entry(1), 10);
  std::size_t sent = 0;
  for (LogOffset i = 1; i <= 10; ++i) {
    clock_.Advance(1s);
    changes_.OnEntry(Entry(1 + i), 10 + i);
    sent += ChangeCount(9 + i);
  }
  EXPECT_EQ(sent, 1U);
}

// Guards against a page that ends between two changes of one offset, of which the second would then
// never be sent.
TEST_F(UpstreamChangesTest, PagesEndBetweenOffsets)
{
  const auto size = [](const UpstreamChange&) { return std::size_t{ 1 }; };
  for (int i = 0; i < 9; ++i) {
    auto entry = Entry(1);
    entry.id_ = UpstreamId("e" + std::to_string(i));
    changes_.OnEntry(entry, static_cast<LogOffset>(10 + i / 2));
  }
  auto page = changes_.PageSince({ 0, 0 }, 3, size);
  ASSERT_TRUE(page);
  EXPECT_EQ(page->changes_.size(), 2U);
  EXPECT_EQ(page->next_, 10U);
  page = changes_.PageSince({ 0, *page->next_ }, 100, size);
  EXPECT_EQ(page->changes_.size(), 7U);
  EXPECT_FALSE(page->next_);
  EXPECT_FALSE(changes_.PageSince({ 0, 0 }, 1, size)) << "two changes have the first offset";
}

TEST_F(UpstreamChangesTest, TellsWhoIsGoneAndWhoCameBack)
{
  changes_.OnEntry(Entry(1), 10);
  changes_.OnRemoved(UpstreamId("e1"), 20, { 1, 1 });
  ASSERT_EQ(ChangeCount(10), 1U);
  EXPECT_FALSE(changes_.Since({ 0, 10 })->at(0).entry_);
  EXPECT_EQ(changes_.Since({ 0, 10 })->at(0).lastStamp_, (EntryStamp{ 1, 1 }));
  EXPECT_EQ(ChangeCount(20), 0U);
  auto back = Entry(1);
  back.startedAt_ = 2;
  changes_.OnEntry(back, 30);
  ASSERT_EQ(ChangeCount(10), 1U);
  EXPECT_TRUE(changes_.Since({ 0, 10 })->at(0).entry_);
}

// Guards against a host that misses changes: if the changes since an offset are no longer known,
// the answer must say so, and must not be an empty list.
TEST_F(UpstreamChangesTest, SaysWhenItDoesNotKnow)
{
  changes_.OnEntry(Entry(1), 10);
  changes_.OnSnapshot({ 0, 10 });
  EXPECT_FALSE(changes_.Since({ 0, 9 }));
  EXPECT_TRUE(changes_.Since({ 0, 10 }));
  for (int i = 0; i < 2000; ++i) {
    changes_.OnRemoved(UpstreamId("r" + std::to_string(i)), 11 + i);
  }
  EXPECT_FALSE(changes_.Since({ 0, 11 })) << "old removals are dropped to bound the memory";
  EXPECT_EQ(ChangeCount(2005), 5U);
}

// Guards against changes that a host never receives after the store came back from an older copy:
// the offsets of its new records are below those at which the host last had all changes.
TEST_F(UpstreamChangesTest, ANewEraStartsAgain)
{
  const auto size = [](const UpstreamChange&) { return std::size_t{ 1 }; };
  changes_.OnSnapshot({ 1, 100 });
  changes_.OnEntry(Entry(7, "a2"), 100);
  changes_.OnRemoved(UpstreamId("e2"), 101);
  changes_.OnSnapshot({ 2, 50 });
  changes_.OnEntry(Entry(5), 50);
  EXPECT_FALSE(changes_.Since({ 1, 101 })) << "the host lacks what the store lost and got since";
  EXPECT_FALSE(changes_.PageSince({ 1, 101 }, 100, size));
  ASSERT_TRUE(changes_.Since({ 2, 50 }));
  EXPECT_TRUE(changes_.Since({ 2, 50 })->empty());
  changes_.OnEntry(Entry(8, "a2"), 51);
  EXPECT_EQ(changes_.Since({ 2, 50 })->size(), 1U)
    << "a host that read the copy has the older entry";
}

} // namespace
} // namespace laburnumweir
