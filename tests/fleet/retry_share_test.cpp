/** @file retry_share_test.cpp Tests that the retries of all hosts together stay within the bound.
 */
#include "fleet/retry_share.h"

#include "dispatch/fake_clock.h"

#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;

constexpr RetryBounds kBounds{ 0.2, 52, 10s };

// Guards against hosts that together exceed the bound when every request fails at every host and
// each failure leads to a retry.
TEST(RetryShare, AllHostsTogetherStayWithinTheBound)
{
  FakeClock clock;
  const ServiceName service("s");
  std::vector<std::unique_ptr<RetryShare>> hosts;
  for (int i = 0; i < 6; ++i) {
    hosts.push_back(std::make_unique<RetryShare>(clock, kBounds));
    hosts.back()->SetHostCount(6);
  }
  int requests = 0;
  int retries = 0;
  for (int step = 0; step < 100; ++step) {
    clock.Advance(100ms);
    for (auto& host : hosts) {
      host->OnRequest(service);
      ++requests;
      retries += host->TakeRetry(service) ? 1 : 0;
      retries += host->TakeRetry(service) ? 1 : 0;
    }
  }
  EXPECT_LE(retries, kBounds.ratio_ * requests + kBounds.slack_);
  EXPECT_GT(retries, 0);
}

// Guards against retries that count after they left the window, so that no retry is possible again.
TEST(RetryShare, RetriesExpireWithTheWindow)
{
  FakeClock clock;
  const ServiceName service("s");
  RetryShare share(clock, { 0, 10, 10s });
  int taken = 0;
  while (share.TakeRetry(service)) {
    ++taken;
  }
  EXPECT_EQ(taken, 7); // kRetrySafetyFactor of the slack of 10
  clock.Advance(10s + 1ms);
  EXPECT_TRUE(share.TakeRetry(service));
}

// Guards against repeats that pile up beside series of restarts: a process that starts does not
// know what the one before it has used in the window.
TEST(RetryShare, RestartedHostsStayWithinTheBound)
{
  FakeClock clock;
  const ServiceName service("s");
  int retries = 0;
  int requests = 0;
  for (int restart = 0; restart < 4; ++restart) {
    std::vector<std::unique_ptr<RetryShare>> hosts;
    for (int i = 0; i < 6; ++i) {
      hosts.push_back(std::make_unique<RetryShare>(clock, kBounds));
      hosts.back()->OnProcessStart();
      hosts.back()->SetHostCount(6);
    }
    for (int step = 0; step < 20; ++step) {
      clock.Advance(100ms);
      for (auto& host : hosts) {
        host->OnRequest(service);
        ++requests;
        while (host->TakeRetry(service)) {
          ++retries;
        }
      }
    }
  }
  EXPECT_LE(retries, kBounds.ratio_ * requests + kBounds.slack_);
  EXPECT_GT(retries, 0);
}

// Guards against hosts that repeat nothing beyond the ratio for good.
TEST(RetryShare, SlackIsUsedAfterTheFirstWindow)
{
  FakeClock clock;
  const ServiceName service("s");
  RetryShare share(clock, kBounds);
  share.OnProcessStart();
  share.SetHostCount(6);
  EXPECT_FALSE(share.TakeRetry(service));
  clock.Advance(10s);
  EXPECT_TRUE(share.TakeRetry(service));
}

} // namespace
} // namespace laburnumweir
