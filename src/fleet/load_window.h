/** @file load_window.h Adapters that a holder lets load at once. */
#ifndef LABURNUMWEIR_FLEET_LOAD_WINDOW_H
#define LABURNUMWEIR_FLEET_LOAD_WINDOW_H

#include "core/clock_base.h"

#include <cstddef>

namespace laburnumweir {

/**
 * The store of adapters is shared by all engines and slows down beyond a number of loads that no
 * setting tells. More loads at once then finish no more adapters in a second but each of them
 * later, so the window grows while loads are about as fast as the fastest ones and shrinks when
 * they are slower. All holders see the same slowness, so no message is needed. Not thread-safe.
 */
class LoadWindow
{
public:
  /** Sets the number of engines that this host holds; bounds the window. */
  void SetEngines(std::size_t aEngines);
  /**
   * Notes a complete load of an adapter that the engine had not held before.
   * @param aTook time from the order to its confirmation.
   */
  void OnLoaded(Duration aTook);
  /** @return most loads that may be under way at this host's engines. */
  std::size_t Size() const;

private:
  double size_ = 2;         ///< Window.
  double fastest_ = 0;      ///< Time of the fastest load in seconds; 0 before the first.
  std::size_t engines_ = 1; ///< Engines held.
};

} // namespace laburnumweir

#endif
