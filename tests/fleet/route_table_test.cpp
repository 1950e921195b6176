/** @file route_table_test.cpp Routes and keys are found as the configuration says. */
#include "fleet/fleet_support.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

FleetConfig
MakeConfig()
{
  FleetConfig config;
  Route broad;
  broad.name_ = "broad";
  broad.host_ = "a.example";
  broad.prefix_ = "/x/";
  Route narrow = broad;
  narrow.name_ = "narrow";
  narrow.prefix_ = "/x/y/";
  config.routes_ = { broad, narrow };
  config.workspaces_ = { testing_support::MakeWorkspace(1, 1) };
  return config;
}

// Guards against a shorter prefix winning, and against prefixes that match in the middle of a name.
TEST(RouteTable, FindsTheLongestPrefix)
{
  const RouteTable table(MakeConfig());
  EXPECT_EQ(table.Find("a.example", "/x/y/z?q=/x/")->name_, "narrow");
  EXPECT_EQ(table.Find("a.example", "/x/yy/z")->name_, "broad");
  EXPECT_EQ(table.Find("A.Example:80", "/x/")->name_, "broad");
  EXPECT_EQ(table.Find("a.example", "/x"), nullptr);
  EXPECT_EQ(table.Find("a.example", "/?p=/x/"), nullptr);
  EXPECT_EQ(table.Find("b.example", "/x/"), nullptr);
}

TEST(RouteTable, KnowsOnlyKeysInForce)
{
  const RouteTable table(MakeConfig());
  EXPECT_TRUE(table.NeedsKeys());
  ASSERT_NE(table.FindWorkspace("key-1"), nullptr);
  EXPECT_EQ(table.FindWorkspace("key-2"), nullptr);
  EXPECT_EQ(table.FindWorkspace(""), nullptr);
}

// Guards against a service with weight 0 getting requests, and against shares that are off.
TEST(RouteTable, DividesARouteByWeight)
{
  Route route;
  route.services_ = { { ServiceName("a"), 90 },
                      { ServiceName("off"), 0 },
                      { ServiceName("b"), 10 } };
  int first = 0;
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    const auto service = ChooseService(route, draw);
    ASSERT_NE(service, ServiceName("off"));
    first += service == ServiceName("a") ? 1 : 0;
  }
  EXPECT_EQ(first, 900);
  EXPECT_TRUE(ChooseService(Route(), 5).IsEmpty());
}

} // namespace
} // namespace laburnumweir
