/** @file engine_orders_test.cpp Orders that the holder sends to an engine: choice of loads and
 * evictions, and the limits of the engine.
 */
#include "fleet/engine_orders.h"

#include "dispatch/fake_clock.h"
#include "fleet/fleet_support.h"
#include "table/fleet_const.h"

#include <gtest/gtest.h>
#include <random>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;

class EngineOrdersTest : public testing::Test
{
protected:
  /** Changes the entry of the engine as if it had carried out an order. */
  void Apply(const EngineOrder& aOrder)
  {
    auto& adapters = entry_.models_[0].adapters_;
    std::erase_if(adapters,
                  [&](const auto& aAdapter) { return aAdapter.name_ == aOrder.adapter_; });
    if (aOrder.kind_ == OrderKind::Load) {
      adapters.push_back({ aOrder.adapter_, aOrder.version_ });
    }
  }
  std::optional<EngineOrder> NextOrder()
  {
    return orders_.NextOrder(
      spec_, entry_, [this](const std::string&, const std::string& aAdapter) {
        return heldByOthers_.contains(aAdapter);
      });
  }

  FakeClock clock_;
  EngineSpec spec_ = *testing_support::MakeService().engine_;
  UpstreamEntry entry_ = testing_support::MakeEngine("e1");
  EngineOrders orders_{ clock_ };
  std::set<std::string> heldByOthers_;
};

TEST_F(EngineOrdersTest, LoadsAModelOntoAnEmptyEngine)
{
  entry_.models_.clear();
  EXPECT_EQ(NextOrder(), (EngineOrder{ OrderKind::Load, "m", {}, 0 }));
  orders_.OnAccepted({ OrderKind::Load, "m", {}, 0 });
  EXPECT_EQ(NextOrder(), std::nullopt);
}

TEST_F(EngineOrdersTest, ForgetsWantsThatAreNotRepeated)
{
  orders_.RequestLoad({ "m", "a1", 0, LoadPriority::InTime });
  clock_.Advance(kLoadRequestTtl + 1ms);
  EXPECT_EQ(NextOrder(), std::nullopt);
}

// Guards against the eviction of an adapter that a long stream uses. An engine accepts no orders
// until the running requests of an adapter that it unloads have ended.
TEST_F(EngineOrdersTest, NeverEvictsAnAdapterInUse)
{
  entry_.models_[0].adapters_ = { { "a1", 1 }, { "a2", 1 }, { "a3", 1 } };
  for (const auto* name : { "a1", "a2", "a3" }) {
    orders_.RecordUse("m", name);
  }
  orders_.RequestLoad({ "m", "a4", 0, LoadPriority::InTime });
  EXPECT_EQ(NextOrder(), std::nullopt);
  clock_.Advance(600ms);
  orders_.RecordRunningUse("m", "a1");
  orders_.RecordRunningUse("m", "a3");
  clock_.Advance(500ms);
  orders_.RequestLoad({ "m", "a4", 0, LoadPriority::InTime });
  EXPECT_EQ(NextOrder(), (EngineOrder{ OrderKind::Unload, "m", "a2", 0 }));
}

// Guards against eviction by last use alone: demand shifts slowly, and a rarely used adapter that
// was used last must not displace a frequently used one.
TEST_F(EngineOrdersTest, EvictsWhatIsUsedLeast)
{
  entry_.models_[0].adapters_ = { { "popular", 1 }, { "rare", 1 }, { "common", 1 } };
  for (int i = 0; i < 5; ++i) {
    orders_.RecordUse("m", "popular");
  }
  orders_.RecordUse("m", "common");
  orders_.RecordUse("m", "common");
  clock_.Advance(2s);
  orders_.RecordUse("m", "rare");
  clock_.Advance(kAdapterInUseTime + 1ms);
  orders_.RequestLoad({ "m", "a4", 0, LoadPriority::InTime });
  EXPECT_EQ(NextOrder(), (EngineOrder{ OrderKind::Unload, "m", "rare", 0 }));
}

// Guards against copies of frequently used adapters filling all engines, so that adapters with a
// single copy have to be loaded again for each request.
TEST_F(EngineOrdersTest, EvictsACopyBeforeAnAdapterThatIsHeldOnce)
{
  entry_.models_[0].adapters_ = { { "once", 1 }, { "copied", 1 }, { "popular", 1 } };
  heldByOthers_ = { "copied", "popular" };
  orders_.RecordUse("m", "once");
  for (int i = 0; i < 2; ++i) {
    orders_.RecordUse("m", "copied");
  }
  for (int i = 0; i < 10; ++i) {
    orders_.RecordUse("m", "popular");
  }
  clock_.Advance(kAdapterInUseTime + 1ms);
  orders_.RequestLoad({ "m", "a4", 0, LoadPriority::InTime });
  EXPECT_EQ(NextOrder(), (EngineOrder{ OrderKind::Unload, "m", "copied", 0 }));
}

// Guards against loading in order of arrival while more loads are requested than the weight store
// can deliver, which would make every request late.
TEST_F(EngineOrdersTest, LoadsFirstWhatCanStillBeInTime)
{
  orders_.RequestLoad({ "m", "copy", 0, LoadPriority::Replica });
  orders_.RequestLoad({ "m", "late", 0, LoadPriority::Late });
  clock_.Advance(10ms);
  orders_.RequestLoad({ "m", "fresh", 0, LoadPriority::InTime });
  for (const auto* expected : { "fresh", "late", "copy" }) {
    const auto order = NextOrder();
    ASSERT_TRUE(order);
    EXPECT_EQ(order->adapter_, expected);
    orders_.OnAccepted(*order);
  }
}

// Guards against orders beyond the limits of an engine, under random load requests, uses and
// completed orders. An engine crashes if more adapters are resident or loading than it has slots or
// memory for.
TEST_F(EngineOrdersTest, NeverExceedsPlacesOrMemory)
{
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    EngineOrders orders(clock_);
    entry_ = testing_support::MakeEngine("e1");
    spec_.adapterSlots_ = 2 + seed % 7;
    spec_.memoryMb_ = 700 + 50 * (1 + seed % 9);
    for (int step = 0; step < 400; ++step) {
      clock_.Advance(std::chrono::milliseconds(random() % 200));
      const auto name = "a" + std::to_string(random() % 20);
      switch (random() % 4) {
        case 0:
          orders.RequestLoad(
            { "m", name, static_cast<std::int64_t>(random() % 2), LoadPriority::InTime });
          break;
        case 1:
          orders.RecordUse("m", name);
          break;
        case 2:
          if (!orders.Pending().empty()) {
            const auto order = orders.Pending().begin()->first;
            Apply(order);
            orders.OnFinished(order);
          }
          break;
        default:
          if (const auto order =
                orders.NextOrder(spec_, entry_, [](const auto&, const auto&) { return false; })) {
            if (order->kind_ == OrderKind::Unload) {
              Apply(*order);
            } else {
              orders.OnAccepted(*order);
            }
          }
      }
      std::set<std::string> residentOrLoading;
      for (const auto& adapter : entry_.models_[0].adapters_) {
        residentOrLoading.insert(adapter.name_);
      }
      for (const auto& [order, since] : orders.Pending()) {
        residentOrLoading.insert(order.adapter_);
      }
      ASSERT_LE(residentOrLoading.size(), spec_.adapterSlots_)
        << "seed " << seed << " step " << step;
      ASSERT_LE(700 + 50.0 * static_cast<double>(residentOrLoading.size()), spec_.memoryMb_)
        << "seed " << seed;
      ASSERT_LE(orders.LoadingCount(), EngineOrders::kMaxLoading);
    }
  }
}

} // namespace
} // namespace laburnumweir
