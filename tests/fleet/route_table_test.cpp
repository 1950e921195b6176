/** @file route_table_test.cpp Tests the lookup of routes and API keys and the choice of services.
 */
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

// Guards against the choice of a shorter prefix, and against prefixes that match in the middle of a
// path segment.
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

// Guards against requests with an unknown or an empty key being accepted.
TEST(RouteTable, AcceptsOnlyConfiguredKeys)
{
  const RouteTable table(MakeConfig());
  EXPECT_TRUE(table.NeedsKeys());
  ASSERT_NE(table.FindWorkspace("key-1"), nullptr);
  EXPECT_EQ(table.FindWorkspace("key-2"), nullptr);
  EXPECT_EQ(table.FindWorkspace(""), nullptr);
}

// Guards against requests to a service with weight 0, and against shares that differ from the
// weights.
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
