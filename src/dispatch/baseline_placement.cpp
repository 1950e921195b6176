/** @file baseline_placement.cpp Simple placements that the product's is compared with. */
#include "dispatch/baseline_placement.h"

#include "table/dispatch_const.h"

#include <algorithm>
#include <xxhash.h>

namespace laburnumweir {

std::size_t
RandomPlacement::Rank(const PlacementQuery& aQuery, std::span<EngineIndex> aResult)
{
  std::vector<EngineIndex> usable;
  for (EngineIndex i = 0; i < engines_.size(); ++i) {
    if (engines_[i].CanTakeWork() && engines_[i].engine_.model_ == aQuery.model_) {
      usable.push_back(i);
    }
  }
  const std::size_t count = std::min(usable.size(), aResult.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(usable[i], usable[i + random_.Below(usable.size() - i)]);
    aResult[i] = usable[i];
  }
  return count;
}

std::size_t
RoundRobinPlacement::Rank(const PlacementQuery& aQuery, std::span<EngineIndex> aResult)
{
  std::size_t written = 0;
  for (std::size_t i = 0; i < engines_.size() && written < aResult.size(); ++i) {
    const std::size_t engine = (next_ + i) % engines_.size();
    if (engines_[engine].CanTakeWork() && engines_[engine].engine_.model_ == aQuery.model_) {
      aResult[written++] = static_cast<EngineIndex>(engine);
    }
  }
  if (written > 0) {
    next_ = aResult[0] + 1;
  }
  return written;
}

std::size_t
LeastLoadedPlacement::Rank(const PlacementQuery& aQuery, std::span<EngineIndex> aResult)
{
  std::vector<std::pair<double, EngineIndex>> usable;
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    const std::size_t engine = (next_ + i) % engines_.size();
    if (engines_[engine].CanTakeWork() && engines_[engine].engine_.model_ == aQuery.model_) {
      usable.emplace_back(engines_[engine].Load(), static_cast<EngineIndex>(engine));
    }
  }
  std::stable_sort(usable.begin(), usable.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  const std::size_t count = std::min(usable.size(), aResult.size());
  for (std::size_t i = 0; i < count; ++i) {
    aResult[i] = usable[i].second;
  }
  next_ = engines_.empty() ? 0 : (next_ + 1) % engines_.size();
  return count;
}

void
ConsistentHashPlacement::OnChange()
{
  ring_.clear();
  for (EngineIndex i = 0; i < engines_.size(); ++i) {
    for (std::uint64_t point = 0; engines_[i].CanTakeWork() && point < kRingPoints; ++point) {
      ring_.emplace_back(XXH3_64bits_withSeed(&point, sizeof(point), engines_[i].seed_), i);
    }
  }
  std::sort(ring_.begin(), ring_.end());
}

std::size_t
ConsistentHashPlacement::Rank(const PlacementQuery& aQuery, std::span<EngineIndex> aResult)
{
  const std::string name = aQuery.adapter_.ToString();
  const std::pair<std::uint64_t, EngineIndex> point{ XXH3_64bits(name.data(), name.size()), 0 };
  const auto start = std::lower_bound(ring_.begin(), ring_.end(), point) - ring_.begin();
  std::size_t written = 0;
  for (std::size_t i = 0; i < ring_.size() && written < aResult.size(); ++i) {
    const EngineIndex engine = ring_[(static_cast<std::size_t>(start) + i) % ring_.size()].second;
    const auto end = aResult.begin() + static_cast<std::ptrdiff_t>(written);
    if (engines_[engine].engine_.model_ == aQuery.model_ &&
        std::find(aResult.begin(), end, engine) == end) {
      aResult[written++] = engine;
    }
  }
  return written;
}

} // namespace laburnumweir
