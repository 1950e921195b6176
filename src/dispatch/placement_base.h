/** @file placement_base.h Interface that ranks the engines for an adapter. */
#ifndef LABURNUMWEIR_DISPATCH_PLACEMENT_BASE_H
#define LABURNUMWEIR_DISPATCH_PLACEMENT_BASE_H

#include "core/id_type.h"
#include "core/random_base.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumweir {

/** An engine as placement sees it. */
struct PlacementEngine
{
  UpstreamId id_;               ///< Name of the engine.
  std::string model_;           ///< Base model.
  bool takesNewWork_ = true;    ///< Data centre in service and the engine not leaving.
  std::uint32_t capacity_ = 32; ///< Most concurrent requests; weighs the load.
  DataCentreId dataCentre_;     ///< Data centre; alternatives are in another one where possible.
};

/** Position of an engine in the list given to Placement::SetEngines(). */
using EngineIndex = std::uint32_t;

/** What a request needs. */
struct PlacementQuery
{
  AdapterRef adapter_;     ///< Adapter and version.
  std::string_view model_; ///< Base model of the adapter.
  /** Hash of workspace and body; 0 = none. One such request uses at most kMaxSuspectEngines
   * engines.
   */
  std::uint64_t digest_ = 0;
};

/** Ways to place adapters. */
enum class PlacementKind : std::uint8_t
{
  BoundedRendezvous, ///< Rendezvous ranking with bounded load; the product's choice.
  Random,            ///< Baseline: a random sequence.
  RoundRobin,        ///< Baseline: the engines in turn.
  LeastLoaded,       ///< Baseline: the engines by load.
  ConsistentHash,    ///< Baseline: a ring without regard to load.
};

/**
 * Ranks the engines for a request. The host asks the owner of the first one for a slot, and the
 * next one when it is busy. Load and residency are hints: what this host heard last, which may be
 * wrong. Not thread-safe.
 */
class Placement
{
public:
  virtual ~Placement() = default;
  /** Sets the engines from the rules; hints of engines that stay are kept. @param aEngines all. */
  virtual void SetEngines(std::span<const PlacementEngine> aEngines);
  /** Sets whether an engine is healthy enough for new work. */
  virtual void SetHealthy(EngineIndex aEngine, bool aIsHealthy);
  /** Sets the load of an engine as last heard. @param aRunning requests that run or wait there. */
  virtual void SetLoad(EngineIndex aEngine, std::uint32_t aRunning);
  /** Notes that an adapter was found resident, or not, on an engine. */
  virtual void NoteResident(const AdapterRef& aAdapter, EngineIndex aEngine, bool aIsResident);
  /**
   * Ranks engines.
   * @param aQuery what the request needs.
   * @param aResult receives the engines, best first.
   * @return number of engines written; less than the size of aResult if fewer can take the work.
   */
  virtual std::size_t Rank(const PlacementQuery& aQuery, std::span<EngineIndex> aResult) = 0;

  /** @return the engine at a position. */
  const PlacementEngine& Engine(EngineIndex aEngine) const { return engines_[aEngine].engine_; }
  /** @return the number of engines. */
  std::size_t Size() const { return engines_.size(); }
  /** @return position of an engine, or the number of engines if it is not known. */
  EngineIndex IndexOf(const UpstreamId& aId) const;

protected:
  struct State
  {
    PlacementEngine engine_;    ///< The engine.
    std::uint64_t seed_ = 0;    ///< Hash of its name.
    bool isHealthy_ = true;     ///< As last set.
    std::uint32_t running_ = 0; ///< Load as last set.

    bool CanTakeWork() const { return engine_.takesNewWork_ && isHealthy_; }
    double Load() const { return static_cast<double>(running_) / engine_.capacity_; }
  };
  /** Called after the set of engines that can take work has changed. */
  virtual void OnChange() {}

  std::vector<State> engines_; ///< Engines in the order given.
};

/**
 * Makes a placement.
 * @param aKind which.
 * @param aRandom randomness for the random baseline; must outlive the result.
 * @return the placement, without engines.
 */
std::unique_ptr<Placement>
MakePlacement(PlacementKind aKind, RandomSource& aRandom);

/**
 * Reads the setting that chooses a placement.
 * @param aName "bounded-rendezvous", "random", "round-robin", "least-loaded" or "consistent-hash".
 * @param aResult receives the kind.
 * @return false if there is no such placement.
 */
bool
ParsePlacementKind(std::string_view aName, PlacementKind& aResult);

} // namespace laburnumweir

#endif
