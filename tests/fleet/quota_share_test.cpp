/** @file quota_share_test.cpp Quotas are kept over all hosts without a remote call for each
 * request. */
#include "fleet/quota_share.h"

#include "dispatch/fake_clock.h"
#include "fleet/fleet_support.h"
#include "table/fleet_const.h"

#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <random>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;

constexpr double kRate = 10000;  // tokens/s of the workspace
constexpr double kBurst = 10000; // tokens
constexpr Duration kStep = 10ms;
constexpr Duration kWindow = 8s;
constexpr double kOverage = 0.1; // fraction of the quota by which a window may exceed it
constexpr double kSlack = 17000; // tokens by which a window may exceed it in addition

/** Hosts that send each other their demand every kGossipInterval. */
class QuotaFleet
{
public:
  explicit QuotaFleet(std::size_t aHosts) { Start(aHosts); }

  /** Restarts the processes of all hosts, which lose their state. */
  void Start(std::size_t aHosts)
  {
    hosts_.clear();
    for (std::size_t i = 0; i < aHosts; ++i) {
      hosts_.push_back(std::make_unique<QuotaShare>(clock_));
      hosts_.back()->SetHostCount(aHosts);
    }
  }

  /** Staggers the requests, so that not all hosts receive theirs at the same time.
   * @param aSize tokens of a request. */
  void Stagger(TokenCount aSize)
  {
    unsentTokens_.clear();
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      unsentTokens_.push_back(static_cast<double>(aSize) * RandomFraction());
    }
  }

  /**
   * Sends requests to the hosts.
   * @param aTime duration of the run.
   * @param aPerSecond tokens/s at each host.
   * @param aSize tokens of a request.
   */
  void Run(Duration aTime, const std::vector<double>& aPerSecond, TokenCount aSize = 500)
  {
    for (Duration passed{}; passed < aTime; passed += kStep) {
      clock_.Advance(kStep);
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        unsentTokens_.resize(hosts_.size());
        unsentTokens_[i] += aPerSecond[i] * std::chrono::duration<double>(kStep).count();
        while (unsentTokens_[i] >= static_cast<double>(aSize)) {
          unsentTokens_[i] -= static_cast<double>(aSize);
          hosts_[i]->RecordDemand(workspace_, aSize);
          ++requested_;
          if (hosts_[i]->TryTake(workspace_, aSize).isGranted_) {
            ++granted_;
            RecordGrant(static_cast<double>(aSize));
          }
        }
      }
      if (isConnected_ && clock_.Now() - lastGossip_ >= kGossipInterval) {
        lastGossip_ = clock_.Now();
        for (std::size_t from = 0; from < hosts_.size(); ++from) {
          for (std::size_t to = 0; to < hosts_.size(); ++to) {
            if (from != to) {
              hosts_[to]->OnPeerDemand(HostId("h" + std::to_string(from)), hosts_[from]->Demand());
            }
          }
        }
      }
    }
  }

  FakeClock clock_;
  Workspace workspace_ = testing_support::MakeWorkspace(kRate, kBurst);
  bool isConnected_ = true;
  int requested_ = 0;
  int granted_ = 0;
  double maxInWindow_ = 0;

private:
  double RandomFraction() { return std::uniform_real_distribution<double>()(random_); }
  void RecordGrant(double aTokens)
  {
    grantsInWindow_.emplace_back(clock_.Now(), aTokens);
    tokensInWindow_ += aTokens;
    while (grantsInWindow_.front().first <= clock_.Now() - kWindow) {
      tokensInWindow_ -= grantsInWindow_.front().second;
      grantsInWindow_.pop_front();
    }
    maxInWindow_ = std::max(maxInWindow_, tokensInWindow_);
  }

  std::vector<std::unique_ptr<QuotaShare>> hosts_;
  std::vector<double> unsentTokens_;
  std::deque<std::pair<TimePoint, double>> grantsInWindow_;
  double tokensInWindow_ = 0;
  std::minstd_rand random_{ 7 };
  TimePoint lastGossip_;
};

constexpr double kAllowed = (kRate * 8 + kBurst) * (1 + kOverage) + kSlack;

// Guards against refusals that equal shares of the quota would cause: one host gets three times the
// demand of the next one, while the total demand is below the rate.
TEST(QuotaShare, RefusesNothingWhileDemandIsBelowTheRate)
{
  QuotaFleet fleet(4);
  fleet.clock_.Advance(3s);
  fleet.Run(20s, { 3300, 1100, 550, 550 });
  EXPECT_EQ(fleet.granted_, fleet.requested_);
}

// Guards against the refusal of a large request because it exceeds one host's share of the burst.
TEST(QuotaShare, ServesRequestsOfTheSizeOfTheBurst)
{
  QuotaFleet fleet(6);
  fleet.clock_.Advance(3s);
  fleet.Run(20s, { 800, 800, 800, 800, 800, 800 }, 8000);
  EXPECT_EQ(fleet.granted_, fleet.requested_);
}

// Guards against an exceeded quota when the demand of a workspace rises to seven times its former
// value at all hosts at once.
TEST(QuotaShare, KeepsTheQuotaWhenAWorkspaceJumps)
{
  QuotaFleet fleet(6);
  fleet.clock_.Advance(3s);
  fleet.Run(10s, { 900, 900, 900, 900, 900, 900 });
  fleet.Run(15s, { 6500, 6500, 6500, 6500, 6500, 6500 });
  EXPECT_LE(fleet.maxInWindow_, kAllowed);
  // Requests within the quota are not refused either: the shares add up to the rate.
  EXPECT_GE(fleet.maxInWindow_, 0.9 * kRate * 8);
}

// Guards against refusals below the rate if the burst is divided among many hosts, so that no
// host's share holds the tokens of a single request. 69 hosts each get a request of 1,700 tokens
// every three seconds on average, together 0.85 of the rate.
TEST(QuotaShare, RefusesNothingWithFewRequestsAtEachHost)
{
  QuotaFleet fleet(69);
  fleet.workspace_ = testing_support::MakeWorkspace(46000, 46000);
  fleet.clock_.Advance(3s);
  std::vector<double> demand;
  for (int i = 0; i < 69; ++i) {
    demand.push_back(300 + 8 * i);
  }
  fleet.Run(30s, demand, 1700);
  EXPECT_GE(fleet.granted_, 0.995 * fleet.requested_);
}

// Guards against refusals by the hosts' shares while the burst is not used up. The demand is a
// little above the rate, but the workspace may use its large burst before requests are refused.
TEST(QuotaShare, UsesTheBurstBeforeItRefuses)
{
  QuotaFleet fleet(40);
  fleet.workspace_ = testing_support::MakeWorkspace(40000, 160000);
  fleet.clock_.Advance(5s);
  fleet.Stagger(1700);
  fleet.Run(10s, std::vector<double>(40, 1150), 1700);
  EXPECT_GE(fleet.granted_, 0.995 * fleet.requested_);
}

// Guards against grants far below the rate under contention: a workspace requests four times its
// rate, at hosts that each get one request a second.
TEST(QuotaShare, GrantsTheRateWhileAWorkspaceAsksForMore)
{
  QuotaFleet fleet(69);
  fleet.workspace_ = testing_support::MakeWorkspace(28000, 28000);
  fleet.clock_.Advance(3s);
  fleet.Stagger(1700);
  fleet.Run(10s, std::vector<double>(69, 250), 1700);
  fleet.Run(10s, std::vector<double>(69, 1700), 1700);
  const int before = fleet.granted_;
  fleet.Run(20s, std::vector<double>(69, 1700), 1700);
  EXPECT_GE((fleet.granted_ - before) * 1700.0, 0.9 * 20 * 28000);
  EXPECT_LE(fleet.maxInWindow_, (28000 * 8 + 28000) * (1 + kOverage) + kSlack);
}

// Guards against a second burst when all hosts restart while a workspace exceeds its rate.
TEST(QuotaShare, KeepsTheQuotaWhenAllHostsRestart)
{
  QuotaFleet fleet(6);
  fleet.clock_.Advance(3s);
  fleet.Run(4s, { 5000, 5000, 5000, 5000, 5000, 5000 });
  fleet.Start(6);
  fleet.Run(10s, { 5000, 5000, 5000, 5000, 5000, 5000 });
  EXPECT_LE(fleet.maxInWindow_, kAllowed);
}

// Guards against an exceeded quota while hosts do not receive each other's messages: a host must
// not raise its share as soon as its peers are silent.
TEST(QuotaShare, KeepsTheQuotaForSomeSecondsWithoutPeers)
{
  QuotaFleet fleet(4);
  fleet.clock_.Advance(3s);
  fleet.Run(10s, { 5000, 5000, 5000, 5000 });
  fleet.isConnected_ = false;
  fleet.Run(kPeerDemandTtl - 500ms, { 5000, 5000, 5000, 5000 });
  EXPECT_LE(fleet.maxInWindow_, kAllowed);
}

TEST(QuotaShare, ReturnsTokensOfRequestsThatDidNotRun)
{
  FakeClock clock;
  QuotaShare quota(clock);
  const auto workspace = testing_support::MakeWorkspace(100, 1000);
  clock.Advance(60s);
  ASSERT_TRUE(quota.TryTake(workspace, 1000).isGranted_);
  const auto refused = quota.TryTake(workspace, 500);
  EXPECT_FALSE(refused.isGranted_);
  EXPECT_EQ(refused.wait_, 5s);
  quota.Return(workspace.id_, 1000);
  EXPECT_TRUE(quota.TryTake(workspace, 500).isGranted_);
}

// Guards against a share that is too small because a request shortly after another one is not
// counted.
TEST(QuotaShare, CountsRequestsShortlyAfterAnotherInTheShare)
{
  const auto shareWithGap = [](Duration aGap) {
    FakeClock clock;
    QuotaShare quota(clock);
    const auto workspace = testing_support::MakeWorkspace(kRate, kBurst);
    const auto request = [&] {
      quota.RecordDemand(workspace, 1000);
      return quota.TryTake(workspace, 1000);
    };
    clock.Advance(60s);
    request();
    clock.Advance(aGap);
    request();
    clock.Advance(kPeerDemandDelay);
    const WorkspaceDemand others{ workspace.id_, 9 * kRate, kRate, 9 * kRate };
    quota.OnPeerDemand(HostId("others"), { &others, 1 });
    const auto decision = request();
    EXPECT_TRUE(decision.isContended_);
    return decision.perSecond_;
  };
  const double share = shareWithGap(kDemandSampleInterval);
  EXPECT_NEAR(shareWithGap(kDemandSampleInterval / 2), share, 0.1 * share);
}

TEST(QuotaShare, HasNoLimitWithoutARate)
{
  FakeClock clock;
  QuotaShare quota(clock);
  EXPECT_TRUE(quota.TryTake(testing_support::MakeWorkspace(0, 0), 1000000).isGranted_);
}

} // namespace
} // namespace laburnumweir
