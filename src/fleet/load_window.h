/** @file load_window.h Limit on the adapter loads that a holder allows at once. */
#ifndef LABURNUMWEIR_FLEET_LOAD_WINDOW_H
#define LABURNUMWEIR_FLEET_LOAD_WINDOW_H

#include "core/clock_base.h"

#include <cstddef>

namespace laburnumweir {

/**
 * Limits the number of adapter loads that are in progress at the engines of a holder. The weight
 * store is shared by all engines and slows down beyond a number of concurrent loads that is not
 * configured anywhere. More concurrent loads then do not raise the throughput, but delay each load.
 * The window therefore grows while loads take about as long as the fastest one, and shrinks when
 * they take longer. All holders observe the same slowdown, so they exchange no messages about it.
 * Not thread-safe.
 */
class LoadWindow
{
public:
  /** Sets the number of engines that this host holds, which bounds the window. */
  void SetEngines(std::size_t aEngines);
  /**
   * Records a completed load of an adapter that the engine had not held before.
   * @param aTook time from the order to its confirmation.
   */
  void OnLoaded(Duration aTook);
  /** @return maximum number of loads that may be in progress at the engines of this host. */
  std::size_t Size() const;

private:
  double size_ = 2;           ///< Maximum number of loads in progress.
  double fastestSeconds_ = 0; ///< Duration of the fastest load; 0 before the first load.
  std::size_t engines_ = 1;
};

} // namespace laburnumweir

#endif
