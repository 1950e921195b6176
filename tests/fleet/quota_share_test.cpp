/** @file quota_share_test.cpp Quotas hold over all hosts without a question for each request. */
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
constexpr double kOverage = 0.1; // part beyond the quota that a window may hold
constexpr double kSlack = 17000; // tokens beyond the quota that a window may hold

/** Hosts that tell each other their demand every kGossipInterval. */
class QuotaFleet
{
public:
  explicit QuotaFleet(std::size_t aHosts) { Start(aHosts); }

  /** All processes end, and start without what they knew. */
  void Start(std::size_t aHosts)
  {
    hosts_.clear();
    for (std::size_t i = 0; i < aHosts; ++i) {
      hosts_.push_back(std::make_unique<QuotaShare>(clock_));
      hosts_.back()->SetHosts(aHosts);
    }
  }

  /** Lets the hosts get their requests at different moments. @param aSize tokens of a request. */
  void Stagger(TokenCount aSize)
  {
    owed_.clear();
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      owed_.push_back(static_cast<double>(aSize) * Draw());
    }
  }

  /** Offers requests for a time. @param aShares tokens/s at each host. */
  void Run(Duration aTime, const std::vector<double>& aPerSecond, TokenCount aSize = 500)
  {
    for (Duration passed{}; passed < aTime; passed += kStep) {
      clock_.Advance(kStep);
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        owed_.resize(hosts_.size());
        owed_[i] += aPerSecond[i] * std::chrono::duration<double>(kStep).count();
        while (owed_[i] >= static_cast<double>(aSize)) {
          owed_[i] -= static_cast<double>(aSize);
          hosts_[i]->NoteDemand(workspace_, aSize);
          ++asked_;
          if (hosts_[i]->Take(workspace_, aSize).isGranted_) {
            ++granted_;
            Note(static_cast<double>(aSize));
          }
        }
      }
      if (isConnected_ && clock_.Now() - gossiped_ >= kGossipInterval) {
        gossiped_ = clock_.Now();
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
  int asked_ = 0;
  int granted_ = 0;
  double mostInWindow_ = 0;

private:
  double Draw() { return std::uniform_real_distribution<double>()(random_); }
  void Note(double aTokens)
  {
    runs_.emplace_back(clock_.Now(), aTokens);
    inWindow_ += aTokens;
    while (runs_.front().first <= clock_.Now() - kWindow) {
      inWindow_ -= runs_.front().second;
      runs_.pop_front();
    }
    mostInWindow_ = std::max(mostInWindow_, inWindow_);
  }

  std::vector<std::unique_ptr<QuotaShare>> hosts_;
  std::vector<double> owed_;
  std::deque<std::pair<TimePoint, double>> runs_;
  double inWindow_ = 0;
  std::minstd_rand random_{ 7 };
  TimePoint gossiped_;
};

constexpr double kAllowed = (kRate * 8 + kBurst) * (1 + kOverage) + kSlack;

// Guards against equal shares: one host has three times the callers of another, and all of them ask
// for less than the quota.
TEST(QuotaShare, RefusesNothingWhileDemandIsBelowTheRate)
{
  QuotaFleet fleet(4);
  fleet.clock_.Advance(3s);
  fleet.Run(20s, { 3300, 1100, 550, 550 });
  EXPECT_EQ(fleet.granted_, fleet.asked_);
}

// Guards against a large request being refused because it exceeds one host's part of the burst.
TEST(QuotaShare, ServesRequestsOfTheSizeOfTheBurst)
{
  QuotaFleet fleet(6);
  fleet.clock_.Advance(3s);
  fleet.Run(20s, { 800, 800, 800, 800, 800, 800 }, 8000);
  EXPECT_EQ(fleet.granted_, fleet.asked_);
}

// Pattern: one workspace sends seven times its usual at all hosts, from one moment to the next.
TEST(QuotaShare, KeepsTheQuotaWhenAWorkspaceJumps)
{
  QuotaFleet fleet(6);
  fleet.clock_.Advance(3s);
  fleet.Run(10s, { 900, 900, 900, 900, 900, 900 });
  fleet.Run(15s, { 6500, 6500, 6500, 6500, 6500, 6500 });
  EXPECT_LE(fleet.mostInWindow_, kAllowed);
  // What is within the quota is not refused either: under contention the shares use the rate.
  EXPECT_GE(fleet.mostInWindow_, 0.9 * kRate * 8);
}

// Pattern: 69 hosts, each with a request of 1,700 tokens every three seconds, together 0.85 of the
// rate. Buckets divided among the hosts refused part of them, since no host's part of the burst
// held a request or two.
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
  EXPECT_GE(fleet.granted_, 0.995 * fleet.asked_);
}

// Pattern: a quota with a large burst is lowered a little below what the workspace asks for. It is
// entitled to its burst, and refusing it by its shares at once costs requests within the quota.
TEST(QuotaShare, UsesTheBurstBeforeItRefuses)
{
  QuotaFleet fleet(40);
  fleet.workspace_ = testing_support::MakeWorkspace(40000, 160000);
  fleet.clock_.Advance(5s);
  fleet.Stagger(1700);
  fleet.Run(10s, std::vector<double>(40, 1150), 1700);
  EXPECT_GE(fleet.granted_, 0.995 * fleet.asked_);
}

// Pattern: a workspace asks for four times its rate at hosts that each get a request every second.
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
  EXPECT_LE(fleet.mostInWindow_, (28000 * 8 + 28000) * (1 + kOverage) + kSlack);
}

// Guards against a second burst: all processes are killed while a workspace is beyond its rate.
TEST(QuotaShare, KeepsTheQuotaWhenAllHostsRestart)
{
  QuotaFleet fleet(6);
  fleet.clock_.Advance(3s);
  fleet.Run(4s, { 5000, 5000, 5000, 5000, 5000, 5000 });
  fleet.Start(6);
  fleet.Run(10s, { 5000, 5000, 5000, 5000, 5000, 5000 });
  EXPECT_LE(fleet.mostInWindow_, kAllowed);
}

// Guards against a larger share for hosts that no longer hear each other.
TEST(QuotaShare, KeepsTheQuotaForSomeSecondsWithoutPeers)
{
  QuotaFleet fleet(4);
  fleet.clock_.Advance(3s);
  fleet.Run(10s, { 5000, 5000, 5000, 5000 });
  fleet.isConnected_ = false;
  fleet.Run(kPeerDemandLife - 500ms, { 5000, 5000, 5000, 5000 });
  EXPECT_LE(fleet.mostInWindow_, kAllowed);
}

TEST(QuotaShare, ReturnsTokensOfRequestsThatDidNotRun)
{
  FakeClock clock;
  QuotaShare quota(clock);
  const auto workspace = testing_support::MakeWorkspace(100, 1000);
  clock.Advance(60s);
  ASSERT_TRUE(quota.Take(workspace, 1000).isGranted_);
  const auto refused = quota.Take(workspace, 500);
  EXPECT_FALSE(refused.isGranted_);
  EXPECT_EQ(refused.wait_, 5s);
  quota.Return(workspace.id_, 1000);
  EXPECT_TRUE(quota.Take(workspace, 500).isGranted_);
}

TEST(QuotaShare, HasNoLimitWithoutARate)
{
  FakeClock clock;
  QuotaShare quota(clock);
  EXPECT_TRUE(quota.Take(testing_support::MakeWorkspace(0, 0), 1000000).isGranted_);
}

} // namespace
} // namespace laburnumweir
