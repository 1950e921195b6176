/** @file permit_issuer_test.cpp Tests how many permits are issued for upstreams with a limit. */
#include "fleet/permit_issuer.h"

#include "dispatch/fake_clock.h"
#include "fleet/fleet_support.h"
#include "table/fleet_const.h"
#include "table/limit_const.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::MakeEngine;
using testing_support::MakeService;
using testing_support::NeedOf;

class PermitIssuerTest : public testing::Test
{
protected:
  /** @return number of permits that are granted if one is requested each 10 ms. */
  int Grants(Duration aTime, double aLimit, const UpstreamId& aUpstream = UpstreamId("e1"))
  {
    int grants = 0;
    for (Duration time{}; time < aTime; time += 10ms) {
      clock_.Advance(10ms);
      grants += issuer_.Issue(aUpstream, aLimit).isGranted_ ? 1 : 0;
    }
    return grants;
  }

  FakeClock clock_;
  PermitIssuer issuer_{ clock_ };
  const UpstreamId engine_{ "e1" };
};

TEST_F(PermitIssuerTest, GrantsTheLimit)
{
  for (const double limit : { 0.5, 2.3, 7.2, 40.0 }) {
    const UpstreamId upstream(std::to_string(limit));
    EXPECT_NEAR(Grants(100s, limit, upstream), limit * 100, limit + 1) << limit;
  }
}

// Guards against a burst after a quiet time that exceeds the limit over a few seconds.
TEST_F(PermitIssuerTest, SavesNoMoreThanAShortBurst)
{
  constexpr double kLimit = 6;
  Grants(10s, kLimit);
  clock_.Advance(20s);
  EXPECT_LE(Grants(4s, kLimit), kLimit * 4 * 3 / 2 + 5);
}

// Guards against a host that becomes the issuer and grants at once what its predecessor has granted
// already.
TEST_F(PermitIssuerTest, StartsWithoutPermits)
{
  EXPECT_FALSE(issuer_.Issue(engine_, 6).isGranted_);
}

// Guards against an upstream that named a limit of zero and never gets the request whose answer
// shows that the limit has ended.
TEST_F(PermitIssuerTest, GrantsAFewPermitsUnderALimitOfZero)
{
  const auto grants = Grants(40s, 0);
  EXPECT_GE(grants, 5);
  EXPECT_LE(grants, 40 / 4 * 5) << "5 requests in 4 s are allowed";
}

TEST_F(PermitIssuerTest, DenialNamesWhenToAskAgain)
{
  const auto permit = issuer_.Issue(engine_, 4);
  EXPECT_FALSE(permit.isGranted_);
  EXPECT_GE(permit.delay_, 200ms);
  EXPECT_LE(permit.delay_, kMaxPermitDelay);
  clock_.Advance(permit.delay_);
  EXPECT_TRUE(issuer_.Issue(engine_, 4).isGranted_);
}

class RequestLimitTest : public testing::Test
{
protected:
  RequestLimitTest()
  {
    table_.SetServices({ &service_, 1 });
    for (const auto* id : { "e1", "e2" }) {
      auto entry = MakeEngine(id);
      entry.models_ = { { "m", { { "a1", 1 } } } };
      table_.OnEntry(entry);
    }
  }
  /** @return id of the engine that is chosen; empty if the request must wait. */
  std::string Chosen()
  {
    const auto choice = table_.Choose(NeedOf("a1"));
    return choice.upstream_ == nullptr ? "" : choice.upstream_->entry_.id_.Value();
  }

  FakeClock clock_;
  UpstreamTable table_{ clock_, HostId("h1"), DataCentreId("dc1") };
  const ServiceSpec service_ = MakeService();
  const UpstreamId e1_{ "e1" };
  const UpstreamId e2_{ "e2" };
};

// Guards against requests that go to an upstream in need although another one is free.
TEST_F(RequestLimitTest, UpstreamWithoutALimitIsPreferred)
{
  table_.OnRequestLimit(e1_, 1, 5);
  EXPECT_EQ(Chosen(), "e2");
}

TEST_F(RequestLimitTest, PermitAllowsOneRequestForAShortTime)
{
  table_.OnRequestLimit(e1_, 1, 5);
  table_.OnRequestLimit(e2_, 1, 5);
  EXPECT_EQ(Chosen(), "");
  EXPECT_TRUE(table_.Choose(NeedOf("a1")).permitTarget_);
  table_.OnPermit(e2_, { true, 0ms });
  EXPECT_EQ(Chosen(), "e2");
  table_.OnAttemptSent(e2_);
  EXPECT_EQ(Chosen(), "");
  table_.OnPermit(e2_, { true, 0ms });
  clock_.Advance(kPermitTtl);
  EXPECT_EQ(Chosen(), "") << "the permit has expired";
}

// Guards against more requests than the limit allows: each new permit made those before it valid
// for longer, while the issuer counts on their end.
TEST_F(RequestLimitTest, EachPermitEndsOnItsOwn)
{
  table_.OnRequestLimit(e1_, 1, 5);
  table_.OnRequestLimit(e2_, 1, 5);
  table_.OnPermit(e2_, { true, 0ms });
  clock_.Advance(kPermitTtl - 50ms);
  table_.OnPermit(e2_, { true, 0ms });
  clock_.Advance(100ms);
  EXPECT_EQ(Chosen(), "e2");
  table_.OnAttemptSent(e2_);
  EXPECT_EQ(Chosen(), "") << "the first permit has expired";
}

// Guards against a permit that is lost because another one, which ended first, was kept instead.
TEST_F(RequestLimitTest, ARequestUsesThePermitThatEndsFirst)
{
  table_.OnRequestLimit(e1_, 1, 5);
  table_.OnRequestLimit(e2_, 1, 5);
  table_.OnPermit(e2_, { true, 0ms });
  clock_.Advance(kPermitTtl - 50ms);
  table_.OnPermit(e2_, { true, 0ms });
  table_.OnAttemptSent(e2_);
  clock_.Advance(100ms);
  EXPECT_EQ(Chosen(), "e2") << "the second permit is still valid";
}

// Guards against requests that wait for one engine in need, while others could load their adapter.
TEST_F(RequestLimitTest, AdapterIsLoadedElsewhereWhenPermitsAreDenied)
{
  table_.OnEntry(MakeEngine("e3"));
  for (const auto& engine : { e1_, e2_ }) {
    table_.OnRequestLimit(engine, 1, 5);
  }
  EXPECT_FALSE(table_.Choose(NeedOf("a1")).loadTarget_);
  for (const auto& engine : { e1_, e2_ }) {
    table_.OnPermit(engine, { false, 100ms });
  }
  const auto choice = table_.Choose(NeedOf("a1"));
  EXPECT_EQ(choice.loadTarget_, UpstreamId("e3"));
  EXPECT_FALSE(choice.permitTarget_) << "it was denied just now";
}

// Guards against hosts that all send at the same moment, when an upstream with a limit has answered
// none of them for a while.
TEST_F(RequestLimitTest, LimitLastsUntilAnAnswerNamesNone)
{
  table_.OnRequestLimit(e1_, 1, 5);
  clock_.Advance(1min);
  EXPECT_EQ(table_.RequestLimit(e1_), 5);
  table_.OnRequestLimit(e1_, 1, std::nullopt);
  EXPECT_FALSE(table_.RequestLimit(e1_));
  table_.OnRequestLimit(e1_, 1, 5);
  auto restarted = MakeEngine("e1");
  restarted.startedAt_ = 2;
  table_.OnEntry(restarted);
  EXPECT_FALSE(table_.RequestLimit(e1_)) << "a new process has named no limit";
}

TEST_F(RequestLimitTest, PeersKnowALimitBetterThanAnOldAnswer)
{
  const UpstreamLoad load{ e1_, 0, 3.0 };
  table_.OnRequestLimit(e1_, 1, std::nullopt);
  table_.OnPeerLoad(HostId("h2"), { &load, 1 });
  EXPECT_FALSE(table_.RequestLimit(e1_)) << "the own answer is newer";
  clock_.Advance(kOwnLimitTtl);
  EXPECT_EQ(table_.RequestLimit(e1_), 3) << "another host got an answer that names it";
}

// Guards against requests beyond a limit that a host has not heard of itself: an answer without one
// outranked the reports of the peers although these were of later answers.
TEST_F(RequestLimitTest, AnAnswerDoesNotOutrankReportsOfLaterOnes)
{
  const UpstreamLoad load{ e1_, 0, 3.0 };
  table_.OnRequestLimit(e1_, 1, std::nullopt);
  clock_.Advance(3s);
  table_.OnPeerLoad(HostId("h2"), { &load, 1 });
  EXPECT_EQ(table_.RequestLimit(e1_), 3) << "a peer names a limit for 2 s after its answer";
}

TEST_F(RequestLimitTest, RecentLimitsAreReportedToPeers)
{
  table_.OnRequestLimit(e1_, 1, 5);
  ASSERT_EQ(table_.OwnLoad().size(), 1U);
  EXPECT_EQ(table_.OwnLoad()[0].requestLimit_, 5);
  clock_.Advance(kLimitReportTime);
  EXPECT_TRUE(table_.OwnLoad().empty());
}

// Guards against hosts that all send at the same moment after the entry of an upstream in need
// expired on all of them and came back, as after an outage of the store.
TEST_F(RequestLimitTest, LimitIsKeptWhenTheEntryComesBack)
{
  const auto entry = table_.Find(e1_)->entry_;
  table_.OnRequestLimit(e1_, 1, 5);
  table_.OnRemoved(e1_);
  const auto load = table_.OwnLoad();
  EXPECT_TRUE(load.size() == 1 && load[0].requestLimit_ == 5) << "peers may know the upstream";
  table_.OnEntry(entry);
  EXPECT_EQ(table_.RequestLimit(e1_), 5);
  clock_.Advance(kLimitReportTime);
  EXPECT_TRUE(table_.OwnLoad().empty()) << "the answer is no newer than before";
  table_.OnRemoved(e1_);
  auto restarted = entry;
  restarted.startedAt_ = 2;
  table_.OnEntry(restarted);
  EXPECT_FALSE(table_.RequestLimit(e1_)) << "a new process has named no limit";
}

// Guards against memory that grows with each upstream that was ever removed, and against a limit
// that comes back after a long time.
TEST_F(RequestLimitTest, LimitOfARemovedUpstreamIsForgottenAfterAWhile)
{
  const auto entry = table_.Find(e1_)->entry_;
  table_.OnRequestLimit(e1_, 1, 5);
  table_.OnRemoved(e1_);
  clock_.Advance(kUpstreamNoticeTtl + 1ms);
  table_.OnEntry(entry);
  EXPECT_FALSE(table_.RequestLimit(e1_));
}

} // namespace
} // namespace laburnumweir
