/** @file cold_start_window.cpp Concurrent requests that an engine gets while it warms up. */
#include "dispatch/cold_start_window.h"

#include <algorithm>

namespace laburnumweir {

namespace {

constexpr double kMeanShare = 0.1; ///< Share of a new answer in the mean latency.

} // namespace

ColdStartWindow::ColdStartWindow(ColdStartSettings aSettings)
  : settings_(aSettings)
{
  settings_.limit_ = std::max<std::uint32_t>(settings_.limit_, 1);
  settings_.initial_ = std::max<std::uint32_t>(settings_.initial_, 1);
  size_ = settings_.initial_;
}

std::uint32_t
ColdStartWindow::Size() const
{
  return std::min(static_cast<std::uint32_t>(size_), settings_.limit_);
}

void
ColdStartWindow::SetLimit(std::uint32_t aLimit)
{
  settings_.limit_ = std::max<std::uint32_t>(aLimit, 1);
  size_ = std::min(size_, static_cast<double>(std::max(settings_.limit_, settings_.initial_)));
}

void
ColdStartWindow::Adopt(std::uint32_t aRunning)
{
  size_ = std::clamp(static_cast<double>(aRunning),
                     static_cast<double>(settings_.initial_),
                     static_cast<double>(std::max(settings_.limit_, settings_.initial_)));
}

bool
ColdStartWindow::OnSuccess(Duration aLatency, std::uint32_t aInUse)
{
  const double latency = std::chrono::duration<double>(aLatency).count();
  if (samples_ >= kLatencyMinSamples && latency > kLatencyJumpFactor * meanLatency_) {
    if (++slow_ >= kLatencyJumpCount) {
      Reset();
      return true;
    }
    return false;
  }
  slow_ = 0;
  meanLatency_ = samples_ == 0 ? latency : meanLatency_ + kMeanShare * (latency - meanLatency_);
  samples_ = std::min(samples_ + 1, kLatencyMinSamples);
  if (2 * aInUse >= Size() && size_ < settings_.limit_) {
    size_ = std::min(size_ + static_cast<double>(settings_.growth_) / Size(),
                     static_cast<double>(settings_.limit_));
  }
  return false;
}

void
ColdStartWindow::Reset()
{
  size_ = settings_.initial_;
  samples_ = 0;
  meanLatency_ = 0;
  slow_ = 0;
  loads_ = 0;
}

bool
ColdStartWindow::MayLoad(TimePoint aNow) const
{
  return loads_ == 0 || loads_ >= kColdLoadCount || aNow - lastLoad_ >= kColdLoadGap;
}

void
ColdStartWindow::OnLoad(TimePoint aNow)
{
  lastLoad_ = aNow;
  loads_ = std::min(loads_ + 1, kColdLoadCount);
}

} // namespace laburnumweir
