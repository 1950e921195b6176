/** @file shared_slots_test.cpp Tests of SharedSlots with hosts that exchange messages in memory. */
#include "gateway/shared_slots.h"

#include "gateway/gateway_support.h"
#include "gateway/slot_message.h"
#include "table/slot_const.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::FakeScheduler;

const ServiceName kService("app");

class SlotNetwork;

/** A host; the first one of the network is the issuer. */
class SlotHost : public SlotSender
{
public:
  SlotHost(SlotNetwork& aNetwork, FakeClock& aClock, FakeScheduler& aScheduler, int aNumber);

  HostRecord SlotIssuerOf(const ServiceName&) const override;
  bool HasLivePeers() const override { return true; }
  void SendSlots(const Endpoint& aTo, const SlotDemand& aDemand) override;
  void SendSlots(const Endpoint& aTo, const SlotOffer& aOffer) override;
  void Push()
  {
    queue_.Push(
      { kService, 0, clock_.Now() + 1400ms, false, false, clock_.Now(), clock_.Now() + 300ms });
    slots_->OnQueued(kService);
  }

  SlotNetwork& network_;
  FakeClock& clock_;
  const HostRecord self_;
  FleetState fleet_;
  WaitQueue queue_{ clock_ };
  Metrics metrics_;
  std::shared_ptr<SharedSlots> slots_;
  std::uint64_t number_ = 0;
};

class SlotNetwork
{
public:
  explicit SlotNetwork(int aHosts)
  {
    for (int i = 0; i < aHosts; ++i) {
      hosts_.push_back(std::make_unique<SlotHost>(*this, clock_, scheduler_, i));
    }
  }
  void Deliver(const Endpoint& aTo, const std::function<void(SlotHost&)>& aMessage)
  {
    scheduler_.After(1ms, [this, aTo, aMessage] {
      if (!isCut_) {
        aMessage(*hosts_.at(aTo.port_));
      }
    });
  }

  FakeClock clock_;
  FakeScheduler scheduler_{ clock_ };
  std::vector<std::unique_ptr<SlotHost>> hosts_;
  bool isCut_ = false; ///< All messages are lost.
};

SlotHost::SlotHost(SlotNetwork& aNetwork, FakeClock& aClock, FakeScheduler& aScheduler, int aNumber)
  : network_(aNetwork)
  , clock_(aClock)
  , self_{ HostId("h" + std::to_string(aNumber)),
           { "h", static_cast<std::uint16_t>(aNumber) },
           DataCentreId("dc1") }
  , fleet_(aClock, self_.id_, self_.dataCentre_)
{
  FleetConfig config;
  config.version_ = 1;
  ServiceSpec service;
  service.name_ = kService;
  config.services_ = { service };
  ChangeBatch batch;
  batch.changes_ = { config };
  fleet_.ApplyOperators(batch);
  for (const auto* id : { "a", "b" }) {
    UpstreamEntry entry;
    entry.id_ = UpstreamId(id);
    entry.service_ = kService;
    entry.slots_ = 2;
    fleet_.Upstreams().OnEntry(entry);
  }
  slots_ = std::make_shared<SharedSlots>(
    SharedSlotsContext{ aClock, aScheduler, fleet_, queue_, metrics_, *this, [] {} },
    self_,
    aNumber + 1);
  slots_->Start();
}

HostRecord
SlotHost::SlotIssuerOf(const ServiceName&) const
{
  return network_.hosts_.front()->self_;
}

void
SlotHost::SendSlots(const Endpoint& aTo, const SlotDemand& aDemand)
{
  const auto demands = DecodeSlotDemands(EncodeSlotDemands(std::span(&aDemand, 1)));
  network_.Deliver(aTo, [from = self_, number = ++number_, demands](SlotHost& aHost) {
    aHost.slots_->OnDemand(from, 1, number, demands.at(0));
  });
}

void
SlotHost::SendSlots(const Endpoint& aTo, const SlotOffer& aOffer)
{
  const auto offers = DecodeSlotOffers(EncodeSlotOffers(std::span(&aOffer, 1)));
  network_.Deliver(aTo, [offers](SlotHost& aHost) { aHost.slots_->OnOffer(offers.at(0)); });
}

// Load: ten hosts with three waiting requests each, for two upstreams with two slots. Guards
// against upstreams that get more than they take together, and against requests that get no slot
// although one is free.
TEST(SharedSlotsTest, HostsShareTheSlots)
{
  SlotNetwork network(10);
  for (const auto& host : network.hosts_) {
    for (int i = 0; i < 3; ++i) {
      host->Push();
    }
  }
  network.scheduler_.Run(20ms);
  std::map<UpstreamId, std::uint32_t> used;
  for (const auto& host : network.hosts_) {
    while (const auto slot = host->slots_->Take(kService, {})) {
      ++used[slot->upstream_];
    }
  }
  EXPECT_EQ(used[UpstreamId("a")], 2 + kQueuedPerUpstream);
  EXPECT_EQ(used[UpstreamId("b")], 2 + kQueuedPerUpstream);
}

// Guards against a slot that stays unused while others wait: the request that it was meant for must
// not use that upstream, or has left.
TEST(SharedSlotsTest, UnusedSlotIsReturned)
{
  SlotNetwork network(2);
  auto& host = *network.hosts_[1];
  host.Push();
  network.scheduler_.Run(20ms);
  EXPECT_FALSE(host.slots_->Take(kService, { UpstreamId("a"), UpstreamId("b") }));
  host.queue_.Remove(host.queue_.TicketsInOrder(kService).at(0), false);
  network.scheduler_.Run(kUnusedSlotTime + 300ms);
  for (int i = 0; i < 8; ++i) {
    network.hosts_[0]->Push();
  }
  network.scheduler_.Run(20ms);
  int taken = 0;
  while (network.hosts_[0]->slots_->Take(kService, {})) {
    ++taken;
  }
  EXPECT_EQ(taken, 8);
}

// Guards against requests that wait for an issuer that is gone or cut off.
TEST(SharedSlotsTest, HostChoosesByItselfWhileTheIssuerIsSilent)
{
  SlotNetwork network(2);
  auto& host = *network.hosts_[1];
  network.isCut_ = true;
  host.Push();
  network.scheduler_.Run(kSlotIssuerTimeout + 150ms);
  EXPECT_FALSE(host.slots_->IsShared(kService));
  network.isCut_ = false;
  network.scheduler_.Run(kSlotFallbackTime + 150ms);
  EXPECT_TRUE(host.slots_->IsShared(kService));
  EXPECT_TRUE(host.slots_->Take(kService, {}));
}

// Guards against a request that waits beside an idle upstream, since its host must not use the one
// that the issuer prefers, and against a slot that counts twice because its datagram came twice.
TEST(SharedSlotsTest, UnusableSlotIsReturnedAtOnce)
{
  SlotNetwork network(2);
  auto& host = *network.hosts_[1];
  host.Push();
  std::optional<SlotGrant> slot;
  for (int i = 0; i < 20 && !slot; ++i) {
    network.scheduler_.Run(10ms);
    slot = host.slots_->Take(kService, { UpstreamId("a") });
    host.slots_->OnQueued(kService);
  }
  ASSERT_TRUE(slot);
  EXPECT_EQ(slot->upstream_, UpstreamId("b"));
  host.slots_->OnOffer({ kService, { *slot } });
  EXPECT_FALSE(host.slots_->Take(kService, {}));
}

// Guards against a process that ends because of rows that another version of the program sent.
TEST(SharedSlotsTest, OddRowsAreSkipped)
{
  const auto rows = boost::json::parse(
    R"([1,[],["app"],["app",7,"x",{}],["app",[[0]],["y"],[["z",9]]],["",[],[],[]]])");
  EXPECT_EQ(DecodeSlotDemands(rows.as_array()).size(), 3U);
  EXPECT_EQ(DecodeSlotOffers(rows.as_array()).size(), 3U);
}

} // namespace
} // namespace laburnumweir
