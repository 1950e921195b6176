/** @file rendezvous_placement.h Placement by rendezvous ranking with bounded load. */
#ifndef LABURNUMWEIR_DISPATCH_RENDEZVOUS_PLACEMENT_H
#define LABURNUMWEIR_DISPATCH_RENDEZVOUS_PLACEMENT_H

#include "dispatch/placement_base.h"
#include "table/dispatch_const.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumweir {

/**
 * Ranks engines by a hash of adapter and engine, so that all hosts agree without a directory. Three
 * groups follow each other, each in the order of the ranking: engines where this host last found
 * the adapter and that have room; engines within the load bound; engines beyond it. A rare adapter
 * thus stays on one engine, and a popular one goes on to the next engines of its ranking while the
 * first ones are busy. When the first engine of a ranking becomes usable again, hints that were
 * noted in its absence no longer count for the adapter: otherwise its copies elsewhere would keep
 * all work, and a data centre that is back in service would stay idle. The time does not depend on
 * the number of adapters, and the memory is a fixed table of residency hints.
 */
class RendezvousPlacement : public Placement
{
public:
  RendezvousPlacement();
  void SetLoad(EngineIndex aEngine, std::uint32_t aRunning) override;
  void NoteResident(const AdapterRef& aAdapter, EngineIndex aEngine, bool aIsResident) override;
  std::size_t Rank(const PlacementQuery& aQuery, std::span<EngineIndex> aResult) override;

private:
  struct Group
  {
    std::string model_;                ///< Base model.
    std::vector<EngineIndex> engines_; ///< Engines in service, also those that are not healthy.
    std::vector<std::uint64_t> seeds_; ///< Their seeds, in the same sequence.
    double load_ = 0;                  ///< Sum of the loads of the healthy ones.
    std::size_t healthy_ = 0;          ///< Number of healthy ones.
  };
  struct Hint
  {
    std::uint64_t adapter_ = 0; ///< Hash of the adapter; 0 = unused.
    std::uint64_t engine_ = 0;  ///< Seed of the engine.
    std::uint64_t round_ = 0;   ///< Value of returns_ when the hint was noted.
  };
  struct Availability
  {
    bool isUsable_ = false;
    std::uint64_t returnedIn_ = 0; ///< Value of returns_ after its last return; 0 if it never left.
  };

  void OnChange() override;
  void UpdateAvailability();
  static std::uint64_t HashOf(const AdapterRef& aAdapter);

  std::vector<Group> groups_;        ///< Engines in service, by model.
  std::vector<std::size_t> groupOf_; ///< Group of each engine; SIZE_MAX if it is not in service.
  std::vector<Hint> hints_;          ///< Direct-mapped pairs: the two last engines of an adapter.
  std::unordered_map<std::uint64_t, Availability> availability_; ///< By seed of the engine.
  std::uint64_t returns_ = 0; ///< Number of changes in which engines became usable again.
};

} // namespace laburnumweir

#endif
