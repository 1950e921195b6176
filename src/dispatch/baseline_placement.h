/** @file baseline_placement.h Simple placements that the product's is compared with. */
#ifndef LABURNUMWEIR_DISPATCH_BASELINE_PLACEMENT_H
#define LABURNUMWEIR_DISPATCH_BASELINE_PLACEMENT_H

#include "dispatch/placement_base.h"

#include <utility>
#include <vector>

namespace laburnumweir {

/** Engines in a random sequence. */
class RandomPlacement : public Placement
{
public:
  /** @param aRandom source of the sequence; must outlive the placement. */
  explicit RandomPlacement(RandomSource& aRandom)
    : random_(aRandom)
  {
  }
  std::size_t Rank(const PlacementQuery& aQuery, std::span<EngineIndex> aResult) override;

private:
  RandomSource& random_; ///< Source of the sequence.
};

/** Engines in turn. */
class RoundRobinPlacement : public Placement
{
public:
  std::size_t Rank(const PlacementQuery& aQuery, std::span<EngineIndex> aResult) override;

private:
  std::size_t next_ = 0; ///< Engine that is first the next time.
};

/** Engines by load, least first; equal ones in turn. */
class LeastLoadedPlacement : public Placement
{
public:
  std::size_t Rank(const PlacementQuery& aQuery, std::span<EngineIndex> aResult) override;

private:
  std::size_t next_ = 0; ///< Engine that wins among equals the next time.
};

/** Engines in the sequence of a hash ring, from the adapter's point on. */
class ConsistentHashPlacement : public Placement
{
public:
  std::size_t Rank(const PlacementQuery& aQuery, std::span<EngineIndex> aResult) override;

private:
  void OnChange() override;

  std::vector<std::pair<std::uint64_t, EngineIndex>> ring_; ///< Points of the engines, sorted.
};

} // namespace laburnumweir

#endif
