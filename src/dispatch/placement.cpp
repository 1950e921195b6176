/** @file placement.cpp State that all placements share, and their names. */
#include "dispatch/baseline_placement.h"
#include "dispatch/placement_base.h"
#include "dispatch/rendezvous_placement.h"

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>
#include <xxhash.h>

namespace laburnumweir {

namespace {

constexpr std::array<std::pair<std::string_view, PlacementKind>, 5> kKinds{ {
  { "bounded-rendezvous", PlacementKind::BoundedRendezvous },
  { "random", PlacementKind::Random },
  { "round-robin", PlacementKind::RoundRobin },
  { "least-loaded", PlacementKind::LeastLoaded },
  { "consistent-hash", PlacementKind::ConsistentHash },
} };

} // namespace

void
Placement::SetEngines(std::span<const PlacementEngine> aEngines)
{
  std::unordered_map<UpstreamId, State> old;
  for (State& state : engines_) {
    const UpstreamId id = state.engine_.id_;
    old.emplace(id, std::move(state));
  }
  engines_.clear();
  engines_.reserve(aEngines.size());
  for (const PlacementEngine& engine : aEngines) {
    State& state = engines_.emplace_back();
    if (const auto found = old.find(engine.id_); found != old.end()) {
      state = std::move(found->second);
    }
    state.engine_ = engine;
    state.engine_.capacity_ = std::max<std::uint32_t>(engine.capacity_, 1);
    state.seed_ = XXH3_64bits(engine.id_.Value().data(), engine.id_.Value().size());
  }
  OnChange();
}

void
Placement::SetHealthy(EngineIndex aEngine, bool aIsHealthy)
{
  if (std::exchange(engines_[aEngine].isHealthy_, aIsHealthy) != aIsHealthy) {
    OnChange();
  }
}

void
Placement::SetLoad(EngineIndex aEngine, std::uint32_t aRunning)
{
  engines_[aEngine].running_ = aRunning;
}

void
Placement::NoteResident(const AdapterRef& /*aAdapter*/,
                        EngineIndex /*aEngine*/,
                        bool /*aIsResident*/)
{
}

EngineIndex
Placement::IndexOf(const UpstreamId& aId) const
{
  const auto found = std::find_if(engines_.begin(), engines_.end(), [&](const State& aState) {
    return aState.engine_.id_ == aId;
  });
  return static_cast<EngineIndex>(found - engines_.begin());
}

std::unique_ptr<Placement>
MakePlacement(PlacementKind aKind, RandomSource& aRandom)
{
  switch (aKind) {
    case PlacementKind::Random:
      return std::make_unique<RandomPlacement>(aRandom);
    case PlacementKind::RoundRobin:
      return std::make_unique<RoundRobinPlacement>();
    case PlacementKind::LeastLoaded:
      return std::make_unique<LeastLoadedPlacement>();
    case PlacementKind::ConsistentHash:
      return std::make_unique<ConsistentHashPlacement>();
    case PlacementKind::BoundedRendezvous:
      break;
  }
  return std::make_unique<RendezvousPlacement>();
}

bool
ParsePlacementKind(std::string_view aName, PlacementKind& aResult)
{
  const auto found = std::find_if(
    kKinds.begin(), kKinds.end(), [&](const auto& aItem) { return aItem.first == aName; });
  if (found == kKinds.end()) {
    return false;
  }
  aResult = found->second;
  return true;
}

} // namespace laburnumweir
