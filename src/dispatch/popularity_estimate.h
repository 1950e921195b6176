/** @file popularity_estimate.h Decayed use counts of adapters in bounded memory. */
#ifndef LABURNUMWEIR_DISPATCH_POPULARITY_ESTIMATE_H
#define LABURNUMWEIR_DISPATCH_POPULARITY_ESTIMATE_H

#include "core/clock_base.h"
#include "core/id_type.h"
#include "table/dispatch_const.h"

#include <array>
#include <vector>

namespace laburnumweir {

/**
 * Count-min sketch of uses whose counts halve with time. It needs the same memory for any number of
 * adapters; collisions make a rare adapter look more popular, never less.
 */
class PopularityEstimate
{
public:
  /** @param aHalfLife time over which a count halves. @param aStart time of the first use. */
  explicit PopularityEstimate(TimePoint aStart, Duration aHalfLife = kPopularityHalfLife);

  /** Counts one use. */
  void Add(const AdapterRef& aAdapter, TimePoint aNow);
  /** @return decayed number of uses; an upper estimate. */
  double Get(const AdapterRef& aAdapter, TimePoint aNow) const;

private:
  static constexpr std::size_t kRows = 4;

  static std::array<std::size_t, kRows> CellsOf(const AdapterRef& aAdapter);
  double Scale(TimePoint aNow) const;

  std::vector<float> cells_; ///< Rows of counts, each scaled up by 2^(time / half-life).
  Duration halfLife_;        ///< Time over which a count halves.
  TimePoint origin_;         ///< Time at which the scale is 1.
};

} // namespace laburnumweir

#endif
