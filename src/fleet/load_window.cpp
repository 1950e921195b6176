/** @file load_window.cpp Adapters that a holder lets load at once. */
#include "fleet/load_window.h"

#include <algorithm>

namespace laburnumweir {

namespace {

// A load counts as fast or slow by its time relative to the fastest one.
constexpr double kFast = 1.35;
constexpr double kSlow = 1.8;
// The fastest time is forgotten by this factor with each load, so that engines may become slower.
constexpr double kForget = 1.0005;
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
  const double took = std::chrono::duration<double>(aTook).count();
  fastest_ = fastest_ == 0 ? took : std::min(took, fastest_ * kForget);
  if (took > kSlow * fastest_) {
    size_ *= kShrink;
  } else if (took <= kFast * fastest_) {
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
