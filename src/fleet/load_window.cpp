/** @file load_window.cpp Limit on the adapter loads that a holder allows at once. */
#include "fleet/load_window.h"

#include <algorithm>

namespace laburnumweir {

namespace {

// A load is fast if it takes at most kFastRatio times as long as the fastest load, and slow if it
// takes more than kSlowRatio times as long.
constexpr double kFastRatio = 1.35;
constexpr double kSlowRatio = 1.8;
// The fastest time is raised by this factor with each load, so that the window adapts if all loads
// become slower.
constexpr double kFastestTimeGrowth = 1.0005;
constexpr double kShrinkFactor = 0.85;     // applied for each slow load
constexpr double kMaxLoadsPerEngine = 4.0; // engines refuse more loads at once

} // namespace

void
LoadWindow::SetEngines(std::size_t aEngines)
{
  engines_ = std::max<std::size_t>(aEngines, 1);
  size_ = std::clamp(size_, 1.0, kMaxLoadsPerEngine * static_cast<double>(engines_));
}

void
LoadWindow::OnLoaded(Duration aTook)
{
  const double took = std::chrono::duration<double>(aTook).count();
  fastestSeconds_ =
    fastestSeconds_ == 0 ? took : std::min(took, fastestSeconds_ * kFastestTimeGrowth);
  if (took > kSlowRatio * fastestSeconds_) {
    size_ *= kShrinkFactor;
  } else if (took <= kFastRatio * fastestSeconds_) {
    size_ += 1.0 / size_;
  }
  size_ = std::clamp(size_, 1.0, kMaxLoadsPerEngine * static_cast<double>(engines_));
}

std::size_t
LoadWindow::Size() const
{
  return static_cast<std::size_t>(size_);
}

} // namespace laburnumweir
