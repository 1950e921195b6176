/** @file usage_service_test.cpp Tests of the exchange of counts between a host and the holder over
 * a network that loses and repeats datagrams. */
#include "gateway/usage_service.h"

#include "gateway/gateway_support.h"
#include "table/usage_const.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::FakeScheduler;

constexpr std::size_t kMaxDatagram = 60000;
const WorkspaceId kWorkspace("w");

struct FakeLease : public DutyLease
{
  std::optional<TimePoint> HeldSince() const override { return heldSince_; }
  bool MayAct() const override { return false; }
  std::optional<std::uint64_t> Token() const override { return std::nullopt; }
  void OnFenced(std::uint64_t) override {}

  std::optional<TimePoint> heldSince_;
};

struct IdleLog : public UsageLog
{
  void AppendUsage(const UsageLogRecord&, StorePosition, AppendCallback) override {}
  void ReadUsage(std::optional<StorePosition>, ReadCallback) override {}
};

struct IdleClient : public DutyClient
{
  void SendUsage(const DutyCall&, const UsageReport&, Callback) override {}
};

class UsageServiceTest : public testing::Test
{
protected:
  /** A host with the objects that its service works with. */
  struct Host : public UsageSender
  {
    Host(UsageServiceTest& aTest, const std::string& aName)
      : test_(aTest)
      , record_{ HostId(aName), { aName, 1 }, DataCentreId("dc") }
      , peers_(aTest.clock_, record_)
      , time_(aTest.clock_)
      , reporter_(std::make_shared<UsageReporter>(UsageReporterContext{ aTest.clock_,
                                                                        aTest.scheduler_,
                                                                        aTest.log_,
                                                                        aTest.client_,
                                                                        lease_,
                                                                        counts_,
                                                                        time_,
                                                                        metrics_ },
                                                  UsageSettings{ record_.id_ }))
      , service_(std::make_shared<UsageService>(UsageContext{ aTest.clock_,
                                                              aTest.scheduler_,
                                                              peers_,
                                                              *this,
                                                              lease_,
                                                              counts_,
                                                              time_,
                                                              *reporter_ },
                                                UsageProcess{ record_.id_, 1 }))
    {
      reporter_->Start();
      service_->Start();
    }
    void SendUsage(const Endpoint& aTo, const UsageMessage& aMessage) override
    {
      test_.Deliver(*this, aTo, aMessage);
    }

    UsageServiceTest& test_;
    HostRecord record_;
    PeerTable peers_;
    FakeLease lease_;
    UsageCollection counts_;
    FleetTime time_;
    Metrics metrics_;
    std::shared_ptr<UsageReporter> reporter_;
    std::shared_ptr<UsageService> service_;
    bool isDead_ = false; ///< Neither sends nor receives.
  };

  UsageServiceTest()
  {
    clock_.SetWallNow(WallTime(1000 * 5s));
    Give(holder_);
  }
  /** Makes a host the holder; the others learn of it with the next run. */
  void Give(Host& aHost)
  {
    aHost.lease_.heldSince_ = clock_.Now();
    current_ = &aHost;
    ++generation_;
  }
  void Deliver(const Host& aFrom, const Endpoint& aTo, const UsageMessage& aMessage)
  {
    GossipMessage message;
    message.host_ = aFrom.record_;
    message.startedAt_ = 1;
    message.usage_ = aMessage;
    const auto payload = EncodeGossip(message);
    EXPECT_LE(payload.size(), kMaxDatagram);
    bytes_ += payload.size();
    ++datagrams_;
    if (losesAll_ || (losesSome_ && datagrams_ % 3 == 0) || aFrom.isDead_) {
      return;
    }
    const auto received = DecodeGossip(payload);
    ASSERT_TRUE(received && received->usage_);
    for (auto* host : hosts_) {
      if (host->record_.gossip_ != aTo || host->isDead_) {
        continue;
      }
      for (int copy = 0; copy < (losesSome_ ? 2 : 1); ++copy) {
        host->service_->OnMessage(received->host_, received->startedAt_, *received->usage_);
      }
    }
  }
  void Run(Duration aTime)
  {
    // Peers count as live for 3 s after a message.
    for (; aTime > Duration::zero(); aTime -= 1s) {
      Announce();
      scheduler_.Run(std::min<Duration>(aTime, 1s));
    }
  }
  void Announce()
  {
    for (auto* host : hosts_) {
      for (const auto* peer : hosts_) {
        if (peer != host && !peer->isDead_) {
          host->peers_.OnMessage(peer->record_, 1, ++number_);
          host->peers_.OnPartitions(peer->record_.id_,
                                    generation_,
                                    peer == current_ ? std::vector{ kUsagePartition }
                                                     : std::vector<std::uint32_t>());
        }
      }
      host->peers_.Expire();
    }
  }
  std::uint64_t Collected() const
  {
    const auto totals = current_->counts_.Totals(1000);
    const auto found = totals.find(kWorkspace);
    return found == totals.end() ? 0 : found->second;
  }

  FakeClock clock_;
  FakeScheduler scheduler_{ clock_ };
  IdleLog log_;
  IdleClient client_;
  Host host_{ *this, "host" };
  Host holder_{ *this, "holder" };
  Host next_{ *this, "next" };
  const std::vector<Host*> hosts_{ &host_, &holder_, &next_ };
  Host* current_ = nullptr; ///< The holder.
  std::uint64_t generation_ = 0;
  std::uint64_t number_ = 0;
  std::size_t datagrams_ = 0;
  std::size_t bytes_ = 0;
  bool losesAll_ = false;
  bool losesSome_ = false; ///< Loses some datagrams and repeats the others.
};

// Guards against counts that are lost, or counted twice, with datagrams that are.
TEST_F(UsageServiceTest, HolderGetsEachRequestOnceOverABadNetwork)
{
  losesSome_ = true;
  for (int i = 0; i < 50; ++i) {
    host_.service_->OnBegun(kWorkspace);
    holder_.service_->OnBegun(kWorkspace);
    Run(100ms);
  }
  losesAll_ = true;
  host_.service_->OnBegun(kWorkspace);
  Run(2s);
  losesAll_ = false;
  Run(2s);
  EXPECT_EQ(Collected(), 101U);
}

// Guards against traffic that grows with the requests of past windows: 370 hosts send to one.
TEST_F(UsageServiceTest, ConfirmedCountsAreNotSentAgain)
{
  for (int i = 0; i < 300; ++i) {
    host_.service_->OnBegun(WorkspaceId("workspace-" + std::to_string(i)));
  }
  Run(3s);
  const auto before = bytes_;
  Run(10s);
  EXPECT_LE(bytes_ - before, 5000U);
}

// Guards against counts that a holder confirmed before it lost them with its lease.
TEST_F(UsageServiceTest, HolderGetsConfirmedCountsAgainAfterItLostThem)
{
  host_.service_->OnBegun(kWorkspace);
  Run(3s);
  EXPECT_EQ(Collected(), 1U);
  holder_.lease_.heldSince_.reset();
  Run(1s);
  EXPECT_EQ(Collected(), 0U);
  holder_.lease_.heldSince_ = clock_.Now();
  Run(3s);
  EXPECT_EQ(Collected(), 1U);
}

// Guards against datagrams that exceed the limit of UDP when a new holder needs all counts.
TEST_F(UsageServiceTest, ManyCountsAreSentInSeveralDatagrams)
{
  constexpr int kWorkspaces = 1500;
  for (int i = 0; i < kWorkspaces; ++i) {
    host_.service_->OnBegun(WorkspaceId("workspace-with-a-long-name-" + std::to_string(i)));
  }
  Run(8s);
  EXPECT_EQ(holder_.counts_.Totals(1000).size(), kWorkspaces);
}

// Guards against counts of the holder itself that are lost with it before it decided on them,
// whoever of the others is the next holder.
TEST_F(UsageServiceTest, NextHolderGetsTheCountsOfTheOneThatWasKilled)
{
  losesSome_ = true;
  for (auto* next : { &next_, &host_ }) {
    auto& killed = *current_;
    for (int i = 0; i < 5; ++i) {
      killed.service_->OnBegun(kWorkspace);
    }
    Run(3s);
    killed.isDead_ = true;
    killed.lease_.heldSince_.reset();
    Run(4s);
    Give(*next);
    Run(4s);
    EXPECT_GE(Collected(), 5U);
    killed.isDead_ = false;
    Run(2s);
  }
  EXPECT_EQ(Collected(), 10U);
}

} // namespace
} // namespace laburnumweir
