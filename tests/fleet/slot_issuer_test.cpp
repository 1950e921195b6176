/** @file slot_issuer_test.cpp Tests of SlotIssuer without a network. */
#include "fleet/slot_issuer.h"

#include "dispatch/fake_clock.h"
#include "table/slot_const.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;

const ServiceName kService("app");

class SlotIssuerTest : public testing::Test
{
protected:
  void SetUpstreams(std::vector<SlotUpstream> aUpstreams)
  {
    issuer_.SetUpstreams(kService, aUpstreams);
  }
  void Demand(const std::string& aHost,
              std::vector<SlotWish> aWishes,
              std::vector<SlotGrant> aHeld = {},
              std::vector<SlotReturn> aReturned = {})
  {
    issuer_.OnDemand(HostId(aHost),
                     1,
                     ++number_,
                     { kService, std::move(aWishes), std::move(aHeld), std::move(aReturned) });
  }
  std::map<HostId, SlotOffer> Assign() { return issuer_.Assign(kService); }
  /** @return ids of the slots that a host gets now. */
  std::vector<SlotGrantId> GrantsOf(const std::string& aHost)
  {
    std::vector<SlotGrantId> ids;
    const auto offer = Assign()[HostId(aHost)];
    for (const auto& grant : offer.grants_) {
      ids.push_back(grant.id_);
    }
    return ids;
  }

  static constexpr SlotWish kWish{ 0, 300ms, 1400ms };
  FakeClock clock_;
  SlotIssuer issuer_{ clock_, 1000 };
  std::uint64_t number_ = 0;
};

// Load: 60 hosts send a burst of short requests to three upstreams. Guards against upstreams that
// get more than they take while others are idle.
TEST_F(SlotIssuerTest, BurstOfManyHostsFillsAllUpstreamsEvenly)
{
  SetUpstreams({ { UpstreamId("a"), 6 }, { UpstreamId("b"), 6 }, { UpstreamId("c"), 6 } });
  for (int host = 0; host < 60; ++host) {
    Demand("h" + std::to_string(host), { kWish, kWish });
  }
  std::map<UpstreamId, std::uint32_t> used;
  for (const auto& [host, offer] : Assign()) {
    for (const auto& grant : offer.grants_) {
      ++used[grant.upstream_];
    }
  }
  EXPECT_EQ(used.size(), 3U);
  for (const auto& [upstream, count] : used) {
    EXPECT_EQ(count, 6 + kQueuedPerUpstream) << upstream.Value();
  }
}

// Load: more requests wait than there are slots. Guards against a less urgent request before a more
// urgent one, and against a late request before one that can still be in time.
TEST_F(SlotIssuerTest, ServesByRankAndThenWhatCanBeInTime)
{
  SetUpstreams({ { UpstreamId("a"), 1 } });
  Demand("full", { kWish, kWish, kWish });
  const auto held = GrantsOf("full");
  ASSERT_EQ(held.size(), 1 + kQueuedPerUpstream);
  Demand("late", { { 0, -100ms, 900ms } });
  Demand("inTime", { { 0, 200ms, 1200ms } });
  Demand("lessUrgent", { { 1, 300ms, 1400ms } });
  std::vector<std::string> order;
  for (const auto id : held) {
    Demand("full", {}, {}, { { id, SlotOutcome::Done } });
    for (const auto& [host, offer] : Assign()) {
      order.push_back(offer.grants_.empty() ? "" : host.Value());
    }
  }
  EXPECT_EQ(order, (std::vector<std::string>{ "inTime", "late", "lessUrgent" }));
}

// Guards against slots that are lost for good with a datagram: the return of a slot, or the grant.
TEST_F(SlotIssuerTest, LostMessagesFreeTheirSlots)
{
  SetUpstreams({ { UpstreamId("a"), 1 } });
  Demand("h1", { kWish, kWish, kWish });
  ASSERT_EQ(GrantsOf("h1").size(), 3U);
  clock_.Advance(kSlotDeliveryTime);
  Demand("h1", {}); // it has returned two, and one has not reached it
  Demand("h2", { kWish, kWish, kWish });
  EXPECT_EQ(GrantsOf("h2").size(), 3U);
}

// Guards against a request that gets two slots, because its host asked again while the first one
// was on its way.
TEST_F(SlotIssuerTest, WishWithASlotOnItsWayIsNotServedAgain)
{
  SetUpstreams({ { UpstreamId("a"), 6 } });
  Demand("h1", { kWish });
  EXPECT_EQ(GrantsOf("h1").size(), 1U);
  Demand("h1", { kWish });
  EXPECT_EQ(GrantsOf("h1").size(), 0U);
}

// Guards against slots that a killed host keeps.
TEST_F(SlotIssuerTest, SilentHostLosesItsSlots)
{
  SetUpstreams({ { UpstreamId("a"), 1 } });
  Demand("h1", { kWish, kWish, kWish });
  ASSERT_EQ(GrantsOf("h1").size(), 3U);
  clock_.Advance(kSlotHostTtl + 1ms);
  EXPECT_TRUE(issuer_.Expire().empty());
  SetUpstreams({ { UpstreamId("a"), 1 } });
  Demand("h2", { kWish });
  EXPECT_EQ(GrantsOf("h2").size(), 1U);
}

// Guards against an upstream that refuses request after request because it still works for hosts
// that are gone.
TEST_F(SlotIssuerTest, RefusingUpstreamIsSparedForAWhile)
{
  SetUpstreams({ { UpstreamId("a"), 2 }, { UpstreamId("b"), 2 } });
  Demand("h1", { kWish, kWish, kWish, kWish, kWish, kWish, kWish, kWish });
  const auto offer = Assign()[HostId("h1")];
  ASSERT_EQ(offer.grants_.size(), 8U);
  std::vector<SlotGrant> held;
  std::vector<SlotReturn> refused;
  for (const auto& grant : offer.grants_) {
    if (grant.upstream_ == UpstreamId("a")) {
      refused.push_back({ grant.id_, SlotOutcome::Refused });
    } else {
      held.push_back(grant);
    }
  }
  Demand("h1", { kWish }, held, refused);
  EXPECT_EQ(GrantsOf("h1").size(), 0U);
  clock_.Advance(kRefusedSlotTime + kSlotDeliveryTime);
  Demand("h1", { kWish }, held);
  EXPECT_EQ(GrantsOf("h1").size(), 1U);
}

// Guards against slots that a restarted host cannot get, or that its earlier process keeps.
TEST_F(SlotIssuerTest, NewProcessOfAHostStartsWithoutSlots)
{
  SetUpstreams({ { UpstreamId("a"), 1 } });
  Demand("h1", { kWish, kWish, kWish });
  ASSERT_EQ(GrantsOf("h1").size(), 3U);
  EXPECT_TRUE(issuer_.OnDemand(HostId("h1"), 2, 1, { kService, { kWish }, {}, {} }));
  EXPECT_EQ(GrantsOf("h1").size(), 1U);
}

// Guards against upstreams that get more than they take after another host has become the issuer.
TEST_F(SlotIssuerTest, SlotsOfAnEarlierIssuerCountAsUsed)
{
  const UpstreamId upstream("a");
  SetUpstreams({ { upstream, 1 } });
  Demand("h1", { kWish }, { { 5, upstream }, { 6, upstream }, { 7, upstream } });
  EXPECT_TRUE(Assign().empty());
  clock_.Advance(kSlotDeliveryTime);
  Demand("h1", { kWish }, { { 5, upstream }, { 6, upstream } });
  EXPECT_EQ(GrantsOf("h1").size(), 1U);
}

// Guards against state that goes back, since datagrams may overtake each other.
TEST_F(SlotIssuerTest, OlderMessageChangesNothing)
{
  SetUpstreams({ { UpstreamId("a"), 6 } });
  issuer_.OnDemand(HostId("h1"), 1, 5, { kService, {}, {}, {} });
  issuer_.OnDemand(HostId("h1"), 1, 4, { kService, { kWish }, {}, {} });
  EXPECT_TRUE(Assign().empty());
}

} // namespace
} // namespace laburnumweir
