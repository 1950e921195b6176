/** @file popularity_estimate.cpp Decayed use counts of adapters in bounded memory. */
#include "dispatch/popularity_estimate.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace laburnumweir {

namespace {

constexpr double kMaxScale = 1e9; ///< Counts are scaled down again here; float reaches 1e38.

} // namespace

PopularityEstimate::PopularityEstimate(TimePoint aStart, Duration aHalfLife)
  : cells_(kRows * kPopularityColumns)
  , halfLife_(aHalfLife)
  , origin_(aStart)
{
}

std::array<std::size_t, PopularityEstimate::kRows>
PopularityEstimate::CellsOf(const AdapterRef& aAdapter)
{
  const std::uint64_t name = XXH3_64bits(aAdapter.name_.data(), aAdapter.name_.size());
  const XXH128_hash_t hash =
    XXH3_128bits_withSeed(aAdapter.version_.data(), aAdapter.version_.size(), name);
  std::array<std::size_t, kRows> cells{};
  for (std::size_t row = 0; row < kRows; ++row) {
    cells[row] = row * kPopularityColumns + (hash.low64 + row * hash.high64) % kPopularityColumns;
  }
  return cells;
}

double
PopularityEstimate::Scale(TimePoint aNow) const
{
  return std::exp2(std::chrono::duration<double>(aNow - origin_) / halfLife_);
}

void
PopularityEstimate::Add(const AdapterRef& aAdapter, TimePoint aNow)
{
  double scale = Scale(aNow);
  if (scale > kMaxScale) {
    for (float& cell : cells_) {
      cell = static_cast<float>(cell / scale);
    }
    origin_ = aNow;
    scale = 1;
  }
  const auto cells = CellsOf(aAdapter);
  float smallest = cells_[cells[0]];
  for (const std::size_t cell : cells) {
    smallest = std::min(smallest, cells_[cell]);
  }
  // Only the smallest cells grow (conservative update), which keeps collisions small.
  for (const std::size_t cell : cells) {
    cells_[cell] = std::max(cells_[cell], smallest + static_cast<float>(scale));
  }
}

double
PopularityEstimate::Get(const AdapterRef& aAdapter, TimePoint aNow) const
{
  const auto cells = CellsOf(aAdapter);
  float smallest = cells_[cells[0]];
  for (const std::size_t cell : cells) {
    smallest = std::min(smallest, cells_[cell]);
  }
  return smallest / Scale(aNow);
}

} // namespace laburnumweir
