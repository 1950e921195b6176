/** @file placement_test.cpp Tests of the rankings of engines. */
#include "dispatch/placement_base.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace laburnumweir {
namespace {

std::vector<PlacementEngine>
Engines(int aCount)
{
  std::vector<PlacementEngine> engines;
  for (int i = 0; i < aCount; ++i) {
    engines.push_back({ UpstreamId("e" + std::to_string(i)),
                        "base",
                        true,
                        32,
                        DataCentreId("dc-" + std::to_string(i % 3)) });
  }
  return engines;
}

AdapterRef
Adapter(int aNumber)
{
  return { "adapter-" + std::to_string(aNumber), "v1" };
}

std::vector<std::string>
Ranked(Placement& aPlacement, const AdapterRef& aAdapter, std::uint64_t aDigest = 0)
{
  std::array<EngineIndex, 8> result{};
  const std::size_t count = aPlacement.Rank({ aAdapter, "base", aDigest }, result);
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i) {
    names.push_back(aPlacement.Engine(result[i]).id_.Value());
  }
  return names;
}

class EveryPlacement : public testing::TestWithParam<const char*>
{
protected:
  void SetUp() override
  {
    PlacementKind kind{};
    ASSERT_TRUE(ParsePlacementKind(GetParam(), kind));
    placement_ = MakePlacement(kind, random_);
  }
  SeededRandom random_{ 1 };
  std::unique_ptr<Placement> placement_;
};

/** Guards against work for an engine that is out of service, leaving, unhealthy or of another
 * model.
 */
TEST_P(EveryPlacement, NamesOnlyEnginesThatCanTakeTheWork)
{
  std::vector<PlacementEngine> engines = Engines(6);
  engines[1].takesNewWork_ = false;
  engines[2].model_ = "other";
  placement_->SetEngines(engines);
  placement_->SetHealthy(3, false);
  for (int i = 0; i < 100; ++i) {
    std::vector<std::string> names = Ranked(*placement_, Adapter(i));
    std::sort(names.begin(), names.end());
    EXPECT_EQ((std::vector<std::string>{ "e0", "e4", "e5" }), names);
  }
  placement_->SetHealthy(3, true);
  EXPECT_EQ(4U, Ranked(*placement_, Adapter(1)).size());
  placement_->SetEngines({});
  EXPECT_TRUE(Ranked(*placement_, Adapter(1)).empty());
}

INSTANTIATE_TEST_SUITE_P(Kinds,
                         EveryPlacement,
                         testing::Values("bounded-rendezvous",
                                         "random",
                                         "round-robin",
                                         "least-loaded",
                                         "consistent-hash"));

class BoundedRendezvous : public testing::Test
{
protected:
  BoundedRendezvous() { placement_->SetEngines(Engines(12)); }
  SeededRandom random_{ 1 };
  std::unique_ptr<Placement> placement_ = MakePlacement(PlacementKind::BoundedRendezvous, random_);
};

/** Guards against adapters that move between engines that stay, which would load them again. */
TEST_F(BoundedRendezvous, MovesOnlyAdaptersOfALostEngine)
{
  std::map<int, std::string> first;
  std::map<std::string, int> share;
  for (int i = 0; i < 3000; ++i) {
    first[i] = Ranked(*placement_, Adapter(i)).front();
    ++share[first[i]];
  }
  EXPECT_EQ(12U, share.size());
  for (const auto& [engine, count] : share) {
    EXPECT_NEAR(250, count, 75) << engine;
  }
  placement_->SetHealthy(5, false);
  for (int i = 0; i < 3000; ++i) {
    if (first[i] != "e5") {
      EXPECT_EQ(first[i], Ranked(*placement_, Adapter(i)).front());
    }
  }
}

/** Guards against a ranking that depends on the sequence in which hosts list the engines. */
TEST_F(BoundedRendezvous, DoesNotDependOnTheSequenceOfEngines)
{
  const auto other = MakePlacement(PlacementKind::BoundedRendezvous, random_);
  std::vector<PlacementEngine> reversed = Engines(12);
  std::reverse(reversed.begin(), reversed.end());
  other->SetEngines(reversed);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(Ranked(*placement_, Adapter(i)), Ranked(*other, Adapter(i)));
  }
}

/** Guards against a popular adapter that stays on one engine when that one is overloaded. */
TEST_F(BoundedRendezvous, SpillsOverTheLoadBound)
{
  const AdapterRef adapter = Adapter(1);
  const std::vector<std::string> names = Ranked(*placement_, adapter);
  placement_->SetLoad(placement_->IndexOf(UpstreamId(names[0])), 20);
  const std::vector<std::string> spilled = Ranked(*placement_, adapter);
  EXPECT_EQ(names[1], spilled[0]);
  EXPECT_EQ(names[0], spilled.back());
}

/** Guards against a second load of an adapter that is resident on an engine with room. */
TEST_F(BoundedRendezvous, PrefersTheEngineThatHoldsTheAdapter)
{
  const AdapterRef adapter = Adapter(1);
  const std::vector<std::string> names = Ranked(*placement_, adapter);
  const EngineIndex third = placement_->IndexOf(UpstreamId(names[2]));
  placement_->NoteResident(adapter, third, true);
  EXPECT_EQ(names[2], Ranked(*placement_, adapter).front());
  placement_->SetLoad(third, 32);
  EXPECT_EQ(names[0], Ranked(*placement_, adapter).front());
  placement_->SetLoad(third, 0);
  placement_->NoteResident(adapter, third, false);
  EXPECT_EQ(names[0], Ranked(*placement_, adapter).front());
}

/** Guards against replicas that are forgotten as soon as a second one is found. */
TEST_F(BoundedRendezvous, RemembersTwoReplicas)
{
  const AdapterRef adapter = Adapter(7);
  const std::vector<std::string> names = Ranked(*placement_, adapter);
  placement_->NoteResident(adapter, placement_->IndexOf(UpstreamId(names[4])), true);
  placement_->NoteResident(adapter, placement_->IndexOf(UpstreamId(names[3])), true);
  placement_->NoteResident(adapter, placement_->IndexOf(UpstreamId(names[3])), true);
  const std::vector<std::string> now = Ranked(*placement_, adapter);
  EXPECT_EQ(names[3], now[0]);
  EXPECT_EQ(names[4], now[1]);
}

/** Guards against a data centre that stays idle after it was let in again: in its absence, its
 * adapters got copies on two engines elsewhere, which have room for all work. */
TEST_F(BoundedRendezvous, ReturnsWorkToEnginesThatAreBackInService)
{
  std::vector<PlacementEngine> engines = Engines(12);
  std::map<int, std::string> home;
  for (int i = 0; i < 100; ++i) {
    home[i] = Ranked(*placement_, Adapter(i)).front();
  }
  const auto setInService = [&](bool aIsInService) {
    for (auto& engine : engines) {
      engine.takesNewWork_ = aIsInService || engine.dataCentre_ != DataCentreId("dc-1");
    }
    placement_->SetEngines(engines);
  };
  setInService(false);
  for (int i = 0; i < 100; ++i) {
    const std::vector<std::string> names = Ranked(*placement_, Adapter(i));
    placement_->NoteResident(Adapter(i), placement_->IndexOf(UpstreamId(names[1])), true);
    placement_->NoteResident(Adapter(i), placement_->IndexOf(UpstreamId(names[0])), true);
  }
  setInService(true);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(home[i], Ranked(*placement_, Adapter(i)).front());
    placement_->NoteResident(Adapter(i), placement_->IndexOf(UpstreamId(home[i])), true);
    EXPECT_EQ(home[i], Ranked(*placement_, Adapter(i)).front()) << "it holds the adapter now";
  }
}

/** Guards against a crashing request that reaches a fourth engine because three are down. */
TEST_F(BoundedRendezvous, OneRequestReachesThreeEnginesAtMost)
{
  std::set<std::string> third;
  for (std::uint64_t digest = 1; digest <= 100; ++digest) {
    const std::vector<std::string> names = Ranked(*placement_, Adapter(1), digest);
    ASSERT_EQ(3U, names.size());
    EXPECT_EQ(Ranked(*placement_, Adapter(1))[0], names[0]);
    third.insert(names[2]);
    for (const std::string& name : names) {
      placement_->SetHealthy(placement_->IndexOf(UpstreamId(name)), false);
    }
    EXPECT_TRUE(Ranked(*placement_, Adapter(1), digest).empty());
    for (const std::string& name : names) {
      placement_->SetHealthy(placement_->IndexOf(UpstreamId(name)), true);
    }
  }
  // Other bodies for the same adapter go on to other engines.
  EXPECT_EQ(6U, third.size());
}

/** Guards against requests that cannot run anywhere while one data centre has failed. */
TEST_F(BoundedRendezvous, TheThreeEnginesAreNotAllInOneDataCentre)
{
  for (int i = 0; i < 1000; ++i) {
    std::set<std::string> dataCentres;
    for (const std::string& name :
         Ranked(*placement_, Adapter(i), static_cast<std::uint64_t>(i) + 1)) {
      dataCentres.insert(
        placement_->Engine(placement_->IndexOf(UpstreamId(name))).dataCentre_.Value());
    }
    EXPECT_GE(dataCentres.size(), 2U);
  }
}

/** Guards against round robin that starts with the same engine each time. */
TEST(RoundRobin, TakesTurns)
{
  SeededRandom random(1);
  const auto placement = MakePlacement(PlacementKind::RoundRobin, random);
  placement->SetEngines(Engines(3));
  std::set<std::string> first;
  for (int i = 0; i < 3; ++i) {
    first.insert(Ranked(*placement, Adapter(1)).front());
  }
  EXPECT_EQ(3U, first.size());
}

} // namespace
} // namespace laburnumweir
