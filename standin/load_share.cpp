/** @file load_share.cpp Loads of weights that share the bandwidth of the weight store. */
#include "standin/load_share.h"

#include <algorithm>

namespace laburnumweir::standin {

LoadShare::LoadShare(Duration aLoadTime, std::size_t aFullSpeed)
  : loadTime_(aLoadTime)
  , fullSpeed_(std::max<std::size_t>(aFullSpeed, 1))
{
}

double
LoadShare::Speed() const
{
  return left_.size() <= fullSpeed_
           ? 1.0
           : static_cast<double>(fullSpeed_) / static_cast<double>(left_.size());
}

void
LoadShare::Advance(TimePoint aNow)
{
  if (aNow <= last_) {
    return;
  }
  const auto progress = std::chrono::duration_cast<Duration>((aNow - last_) * Speed());
  last_ = aNow;
  for (auto& [id, left] : left_) {
    left -= progress;
  }
}

bool
LoadShare::Start(const std::string& aId, TimePoint aNow)
{
  Advance(aNow);
  return left_.emplace(aId, loadTime_).second;
}

bool
LoadShare::Abort(const std::string& aId, TimePoint aNow)
{
  Advance(aNow);
  return left_.erase(aId) == 1;
}

std::vector<std::string>
LoadShare::TakeComplete(TimePoint aNow)
{
  Advance(aNow);
  // Progress is rounded down, so a load may lack a few nanoseconds at its computed end.
  constexpr Duration kRounding{ 1000 };
  std::vector<std::string> complete;
  for (auto item = left_.begin(); item != left_.end();) {
    if (item->second <= kRounding) {
      complete.push_back(item->first);
      item = left_.erase(item);
    } else {
      ++item;
    }
  }
  return complete;
}

std::optional<TimePoint>
LoadShare::NextCompletion() const
{
  if (left_.empty()) {
    return std::nullopt;
  }
  const auto least =
    std::min_element(left_.begin(), left_.end(), [](const auto& aA, const auto& aB) {
      return aA.second < aB.second;
    });
  return last_ + std::chrono::duration_cast<Duration>(least->second / Speed());
}

} // namespace laburnumweir::standin
