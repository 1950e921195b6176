/** @file load_window.cpp Adapters that a holder lets load at once. */
#include "fleet/load_window.h"

#include <algorithm>

namespace laburnumweir {

namespace {

// A load at full speed takes 250 ms on the users' engines, and reports confirm it about 150 ms
// later.
constexpr Duration kFastLoad = std::chrono::milliseconds(450);
constexpr Duration kSlowLoad = std::chrono::milliseconds(600);
constexpr double kShrink = 0.85;      // for each slow load
constexpr double kMaxPerEngine = 4.0; // engines take no more at once

} // namespace

void
LoadWindow::SetEngines(std::size_t aEngines)
{
  engines_ = std::max<std::size_t>(aEngines, 1);
  size_ = std::clamp(size_, 1.0, kMaxPerEngine * static_cast<double>(engines_));
}

void
LoadWindow::OnLoaded(Duration aTook)
{
  if (aTook > kSlowLoad) {
    size_ *= kShrink;
  } else if (aTook <= kFastLoad) {
    size_ += 1.0 / size_;
  }
  size_ = std::clamp(size_, 1.0, kMaxPerEngine * static_cast<double>(engines_));
}

std::size_t
LoadWindow::Size() const
{
  return static_cast<std::size_t>(size_);
}

} // namespace laburnumweir
