/** @file gossip_service_test.cpp Hosts of several data centres that gossip over a lossy network. */
#include "gateway/gossip_service.h"

#include "fleet/fleet_support.h"
#include "gateway/gateway_support.h"
#include "table/fleet_const.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing::NiceMock;
using testing_support::MakeEngine;
using testing_support::MakeWorkspace;

constexpr std::uint32_t kPartitions = 8;

/** The store as all hosts see it; counts the calls that read it. */
struct SharedStore
{
  LogOffset operators_ = 1; ///< Next offset of the operators' stream.
  std::vector<std::pair<LogOffset, UpstreamChange>> upstreams_; ///< Records with their offsets.
  std::vector<HostId> members_; ///< Members of the group, in the sequence of their joins.
  int reads_ = 0;               ///< Calls.
  bool isDown_ = false;         ///< Nothing is answered but errors.

  LogOffset UpstreamEnd() const { return upstreams_.empty() ? 0 : upstreams_.back().first + 1; }
  void Write(const UpstreamChange& aChange) { upstreams_.emplace_back(UpstreamEnd(), aChange); }
};

class Network;

/** One host with everything that gossip needs, on the clock that all hosts share. */
class Host : public DatagramSender
{
public:
  Host(Network& aNetwork,
       FakeClock& aClock,
       testing_support::FakeScheduler& aScheduler,
       SharedStore& aStore,
       HostRecord aSelf)
    : network_(aNetwork)
    , clock_(aClock)
    , scheduler_(aScheduler)
    , shared_(aStore)
    , self_(aSelf)
    , fleet_(aClock, aSelf.id_, aSelf.dataCentre_)
    , quota_(aClock)
    , retries_(aClock, { 0, 100, 10s })
    , peers_(aClock, aSelf)
  {
    ServeStore();
    HolderSettings settings;
    settings.member_ = self_.id_;
    settings.host_ = self_.id_;
    settings.partitions_ = kPartitions;
    holder_ = std::make_shared<HolderService>(
      store_, engines_, fleet_, clock_, scheduler_, settings, [](const auto&) {});
    watch_ =
      std::make_shared<StoreWatch>(store_, fleet_, clock_, scheduler_, WatchSettings(), [] {});
    gossip_ = std::make_shared<GossipService>(
      GossipContext{ clock_, scheduler_, fleet_, quota_, retries_, peers_ }, self_, 1, [] {});
    gossip_->Connect(*this, *holder_, *watch_);
  }
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  void Start()
  {
    watch_->Start();
    holder_->Start();
    gossip_->Start();
  }
  bool Send(const Endpoint& aTo, std::string_view aPayload) override;
  bool Knows(const std::string& aUpstream)
  {
    return fleet_.Upstreams().Find(UpstreamId(aUpstream)) != nullptr;
  }

  Network& network_;
  FakeClock& clock_;
  testing_support::FakeScheduler& scheduler_;
  SharedStore& shared_;
  HostRecord self_;
  NiceMock<testing_support::MockStore> store_;
  NiceMock<testing_support::MockEngines> engines_;
  FleetState fleet_;
  QuotaShare quota_;
  RetryShare retries_;
  PeerTable peers_;
  std::shared_ptr<HolderService> holder_;
  std::shared_ptr<StoreWatch> watch_;
  std::shared_ptr<GossipService> gossip_;
  bool isDead_ = false; ///< It neither sends nor receives.

private:
  void ServeStore();
};

/** Delivers datagrams after a delay; some are lost. */
class Network
{
public:
  Network()
  {
    for (const auto* dataCentre : { "dc1", "dc2", "dc3" }) {
      for (int i = 0; i < 7; ++i) {
        const int number = static_cast<int>(hosts_.size()) + 1;
        hosts_.push_back(
          std::make_unique<Host>(*this,
                                 clock_,
                                 scheduler_,
                                 store_,
                                 HostRecord{ HostId("h" + std::to_string(number)),
                                             { "10.0.0." + std::to_string(number), 7600 },
                                             DataCentreId(dataCentre) }));
      }
    }
    // All start together: each one reads only of those that were recorded before it.
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      for (std::size_t before = 0; before < i; ++before) {
        hosts_[i]->peers_.OnRecorded(hosts_[before]->self_);
      }
    }
    store_.Write({ UpstreamId("e1"), MakeEngine("e1") });
  }

  void Start()
  {
    for (auto& host : hosts_) {
      host->Start();
    }
    scheduler_.Run(3s);
  }
  void Deliver(const Endpoint& aTo, std::string_view aPayload)
  {
    ++messages_;
    // A fixed period could lose the same message of each round.
    if (lossEvery_ > 0 && random_() % lossEvery_ == 0) {
      return;
    }
    scheduler_.After(2ms, [this, aTo, payload = std::string(aPayload)] {
      for (auto& host : hosts_) {
        if (host->self_.gossip_ == aTo && !host->isDead_) {
          host->gossip_->OnPayload(payload);
        }
      }
    });
  }
  Host& Find(const HostId& aId)
  {
    return **std::find_if(
      hosts_.begin(), hosts_.end(), [&](const auto& aHost) { return aHost->self_.id_ == aId; });
  }
  std::vector<Host*> Readers()
  {
    std::vector<Host*> readers;
    for (auto& host : hosts_) {
      if (!host->isDead_ && host->peers_.IsReader()) {
        readers.push_back(host.get());
      }
    }
    return readers;
  }

  FakeClock clock_;
  testing_support::FakeScheduler scheduler_{ clock_ };
  SharedStore store_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::uint64_t messages_ = 0;
  std::uint64_t lossEvery_ = 0;  ///< One of so many datagrams is lost; 0 = none.
  std::minstd_rand random_{ 1 }; ///< Chooses them.
};

bool
Host::Send(const Endpoint& aTo, std::string_view aPayload)
{
  if (!isDead_) {
    network_.Deliver(aTo, aPayload);
  }
  return true;
}

void
Host::ServeStore()
{
  const auto answer = [this](Duration aDelay,
                             const FleetStore::ChangesCallback& aCallback,
                             std::function<ChangeBatch()> aMake) {
    ++shared_.reads_;
    scheduler_.After(aDelay, [this, aCallback, make = std::move(aMake)] {
      if (shared_.isDown_ || isDead_) {
        aCallback(StoreError::Unreachable, {});
      } else {
        aCallback({}, make());
      }
    });
  };
  ON_CALL(store_, JoinGroup)
    .WillByDefault([this](const HostId& aMember,
                          std::uint64_t,
                          std::chrono::milliseconds,
                          const FleetStore::MembershipCallback& aCallback) {
      auto& members = shared_.members_;
      auto place = std::find(members.begin(), members.end(), aMember);
      if (place == members.end()) {
        members.push_back(aMember);
        place = std::prev(members.end());
      }
      // The partitions go to the last members: one each.
      GroupMembership membership;
      membership.generation_ = members.size();
      const auto fromEnd = static_cast<std::uint32_t>(std::distance(place, members.end()) - 1);
      if (fromEnd < kPartitions) {
        membership.partitions_ = { fromEnd };
      }
      scheduler_.After(5ms, [aCallback, membership] { aCallback({}, membership); });
    });
  ON_CALL(store_, ReadAll)
    .WillByDefault([this, answer](ChangeStream aStream, const auto& aCallback) {
      answer(5ms, aCallback, [this, aStream] {
        ChangeBatch batch;
        batch.isSnapshot_ = true;
        if (aStream == ChangeStream::Operators) {
          FleetConfig config;
          config.version_ = static_cast<std::int64_t>(shared_.operators_);
          batch.changes_.emplace_back(config);
          batch.next_ = shared_.operators_;
        } else {
          for (const auto& [offset, change] : shared_.upstreams_) {
            batch.changes_.emplace_back(change);
          }
          batch.next_ = shared_.UpstreamEnd();
        }
        return batch;
      });
    });
  ON_CALL(store_, ReadChanges)
    .WillByDefault([this, answer](ChangeStream aStream,
                                  LogOffset aFrom,
                                  std::chrono::milliseconds aWait,
                                  const auto& aCallback) {
      answer(aWait + 5ms, aCallback, [this, aStream, aFrom] {
        ChangeBatch batch;
        if (aStream == ChangeStream::Operators) {
          for (auto at = aFrom; at < shared_.operators_; ++at) {
            FleetConfig config;
            config.version_ = static_cast<std::int64_t>(at + 1);
            batch.changes_.emplace_back(config);
          }
          batch.next_ = shared_.operators_;
        } else {
          for (const auto& [offset, change] : shared_.upstreams_) {
            if (offset >= aFrom) {
              batch.changes_.emplace_back(change);
            }
          }
          batch.next_ = shared_.UpstreamEnd();
        }
        return batch;
      });
    });
}

class GossipServiceTest : public testing::Test
{
protected:
  Network network_;
};

// Pattern: 21 hosts in three data centres. If each of them read the store for itself, calls would
// grow with the hosts; two readers in each data centre are enough.
TEST_F(GossipServiceTest, OnlyReadersReadTheStore)
{
  network_.Start();
  EXPECT_EQ(network_.Readers().size(), 6U);
  const int before = network_.store_.reads_;
  network_.scheduler_.Run(10s);
  // Each reader: a poll of 1.4 s and a read of entries each 0.4 s.
  EXPECT_LE(network_.store_.reads_ - before, 6 * (8 + 26));
  for (const auto& host : network_.hosts_) {
    EXPECT_LE(host->fleet_.ProofAge(), kRelayedProofAge + 100ms) << host->self_.id_.Value();
  }
}

TEST_F(GossipServiceTest, ChangesReachEveryHostInTime)
{
  network_.lossEvery_ = 7;
  network_.Start();
  network_.store_.Write({ UpstreamId("e2"), MakeEngine("e2") });
  network_.store_.Write({ UpstreamId("e1"), std::nullopt });
  ++network_.store_.operators_;
  network_.scheduler_.Run(2s);
  for (const auto& host : network_.hosts_) {
    EXPECT_TRUE(host->Knows("e2")) << host->self_.id_.Value();
    EXPECT_FALSE(host->Knows("e1")) << host->self_.id_.Value();
    EXPECT_EQ(host->fleet_.Routes()->Config().version_, 2) << host->self_.id_.Value();
  }
}

// A proof says that the store confirmed the newest configuration at that moment. However it came,
// it must not be newer than the last answer of the store.
TEST_F(GossipServiceTest, ProofsAgeWhileTheStoreIsAway)
{
  network_.Start();
  network_.store_.isDown_ = true;
  network_.scheduler_.Run(4s);
  ++network_.store_.operators_;
  for (const auto& host : network_.hosts_) {
    EXPECT_GE(host->fleet_.ProofAge(), 3900ms) << host->self_.id_.Value();
  }
  network_.store_.isDown_ = false;
  network_.scheduler_.Run(2s);
  for (const auto& host : network_.hosts_) {
    EXPECT_EQ(host->fleet_.Routes()->Config().version_, 2) << host->self_.id_.Value();
  }
}

// Pattern: the store is away. Calls are priced also while it does not answer, and 15 hosts that ask
// a reader must not all try again as often as the readers do.
TEST_F(GossipServiceTest, FewHostsTryWhileTheStoreIsAway)
{
  network_.Start();
  network_.store_.isDown_ = true;
  network_.scheduler_.Run(3s);
  const int before = network_.store_.reads_;
  network_.scheduler_.Run(6s);
  // Two streams: readers each 155 ms, the others each second.
  EXPECT_LE(network_.store_.reads_ - before, 6 * 2 * 40 + 15 * 2 * 7);
}

// Pattern: readers lose power. The hosts that asked them must neither keep an old state beyond the
// bounds nor all read the store for long.
TEST_F(GossipServiceTest, HostsOutliveTheirReaders)
{
  network_.Start();
  for (auto* reader : network_.Readers()) {
    reader->isDead_ = true;
  }
  network_.store_.Write({ UpstreamId("e1"), std::nullopt });
  for (int i = 0; i < 40; ++i) {
    network_.scheduler_.Run(100ms);
    for (const auto& host : network_.hosts_) {
      if (!host->isDead_) {
        ASSERT_LE(host->fleet_.ProofAge(), kRelayedProofAge + 200ms) << host->self_.id_.Value();
      }
    }
  }
  for (const auto& host : network_.hosts_) {
    EXPECT_TRUE(host->isDead_ || !host->Knows("e1")) << host->self_.id_.Value();
  }
  network_.scheduler_.Run(10s);
  EXPECT_EQ(network_.Readers().size(), 6U);
  const int before = network_.store_.reads_;
  network_.scheduler_.Run(10s);
  // The dead hosts' calls go on in this test: 8 + 26 in ten seconds, or one in 150 ms after errors.
  EXPECT_LE(network_.store_.reads_ - before, 6 * (8 + 26) + 6 * 2 * 68);
}

// Pattern: one workspace usually asks for about half of its rate, and then at all hosts at once for
// four times its rate. The hosts know of each other's demand only through the readers, and must
// stay within the quota together: in no window of 8 s more than a tenth over rate and burst.
TEST_F(GossipServiceTest, QuotaHoldsOverAllHosts)
{
  network_.lossEvery_ = 9;
  network_.Start();
  const auto workspace = MakeWorkspace(42000, 42000);
  std::vector<double> granted;
  constexpr int kStepsInWindow = 160;
  for (int step = 0; step < 600; ++step) {
    network_.scheduler_.Run(50ms);
    granted.push_back(0);
    const TokenCount tokens = step < 200 ? 37 : 280;
    for (const auto& host : network_.hosts_) {
      for (int i = 0; i < 1 + step % 2; ++i) {
        host->quota_.NoteDemand(workspace, tokens);
        granted.back() +=
          host->quota_.Take(workspace, tokens).isGranted_ ? static_cast<double>(tokens) : 0;
      }
    }
  }
  double most = 0;
  for (std::size_t end = kStepsInWindow; end <= granted.size(); ++end) {
    const auto last = granted.begin() + static_cast<std::ptrdiff_t>(end);
    most = std::max(most, std::accumulate(last - kStepsInWindow, last, 0.0));
  }
  EXPECT_LE(most, (8 * workspace.ratePerSecond_ + workspace.burst_) * 1.1);
  const double last = std::accumulate(granted.end() - kStepsInWindow, granted.end(), 0.0);
  EXPECT_GE(last, 0.85 * 8 * workspace.ratePerSecond_) << "what the quota allows is granted";
}

// Guards against retries that exceed the bound of all hosts because a host takes the whole slack.
TEST_F(GossipServiceTest, HostsDivideTheSlackOfRetries)
{
  network_.Start();
  int taken = 0;
  for (const auto& host : network_.hosts_) {
    while (host->retries_.TakeRetry(ServiceName("llm"))) {
      ++taken;
    }
  }
  EXPECT_LE(taken, 100);
  EXPECT_GE(taken, 40);
}

TEST_F(GossipServiceTest, EveryHostKnowsTheLoadOfAllOthers)
{
  network_.Start();
  for (const auto& host : network_.hosts_) {
    host->fleet_.Upstreams().OnSent(UpstreamId("e1"));
  }
  network_.scheduler_.Run(1s);
  for (const auto& host : network_.hosts_) {
    const auto* upstream = host->fleet_.Upstreams().Find(UpstreamId("e1"));
    EXPECT_EQ(upstream->peersRunning_, 20U) << host->self_.id_.Value();
    EXPECT_EQ(host->peers_.Hosts().size(), 21U);
  }
}

// Guards against wants that reach no holder: a host must know who holds each partition, although it
// hears only from its reader.
TEST_F(GossipServiceTest, EveryHostKnowsTheHolders)
{
  network_.lossEvery_ = 9;
  network_.Start();
  network_.scheduler_.Run(3s);
  for (std::uint32_t partition = 0; partition < kPartitions; ++partition) {
    const auto& members = network_.store_.members_;
    const auto& holder = members.at(members.size() - 1 - partition);
    for (const auto& host : network_.hosts_) {
      const auto known = host->peers_.HolderOf(partition);
      if (host->self_.id_ != holder) {
        ASSERT_TRUE(known) << host->self_.id_.Value() << " partition " << partition;
        EXPECT_EQ(*known, network_.Find(holder).self_.gossip_) << host->self_.id_.Value();
      }
    }
  }
}

// Messages of a host must not grow with the number of hosts.
TEST_F(GossipServiceTest, MessagesStayFewerThanAFullMesh)
{
  network_.Start();
  const auto before = network_.messages_;
  network_.scheduler_.Run(1s);
  // 15 hosts ask and are answered, 6 readers tell 5 others; four times a second.
  EXPECT_LE(network_.messages_ - before, 4 * (15 * 2 + 6 * 5) + 60);
}

} // namespace
} // namespace laburnumweir
