/** @file liveness_tracker.cpp Decides which silent hosts to propose for removal. */
#include "state/liveness_tracker.h"

#include "core/hash_func.h"

#include <algorithm>

namespace laburnumweir {

LivenessTracker::LivenessTracker(HostLife aSelf, LivenessSettings aSettings)
  : self_(std::move(aSelf))
  , settings_(aSettings)
{
}

void
LivenessTracker::SetMembers(const std::map<HostId, Member>& aMembers, TimePoint aNow)
{
  std::map<HostLife, TimePoint> heard;
  ring_.clear();
  for (const auto& [host, member] : aMembers) {
    HostLife life{ host, member.incarnation_ };
    const auto known = heard_.find(life);
    heard[life] = known == heard_.end() ? aNow : known->second;
    ring_.push_back(std::move(life));
  }
  heard_.swap(heard);
  // Ordered by hash, so that hosts with neighbouring names, often in one rack, are not neighbours.
  std::sort(ring_.begin(), ring_.end(), [](const HostLife& aLeft, const HostLife& aRight) {
    return std::pair(RendezvousWeight(aLeft.host_.Value(), "ring"), aLeft.host_) <
           std::pair(RendezvousWeight(aRight.host_.Value(), "ring"), aRight.host_);
  });
}

void
LivenessTracker::Tick(TimePoint aNow)
{
  if (lastTick_ && aNow - *lastTick_ > settings_.interval_ * 3) {
    for (auto& [life, time] : heard_) {
      time = aNow;
    }
    reports_.clear();
  }
  lastTick_ = aNow;
}

void
LivenessTracker::OnAnswer(const HostLife& aLife, TimePoint aAsked, const SilenceReport& aReport)
{
  const auto heard = heard_.find(aLife);
  if (heard == heard_.end()) {
    return;
  }
  heard->second = std::max(heard->second, aAsked);
  Received& received = reports_[aLife.host_];
  if (aAsked >= received.asked_) {
    received = Received{ aAsked, aReport };
  }
}

SilenceReport
LivenessTracker::Report(TimePoint aNow) const
{
  SilenceReport report;
  for (const HostLife& life : Targets()) {
    report.emplace_back(life, aNow - heard_.at(life));
  }
  return report;
}

std::vector<HostLife>
LivenessTracker::Removals(TimePoint aNow) const
{
  std::vector<HostLife> result;
  const bool isPaused = !lastTick_ || aNow - *lastTick_ > settings_.interval_ * 3;
  if (isPaused || std::find(ring_.begin(), ring_.end(), self_) == ring_.end()) {
    return result;
  }
  for (const HostLife& life : Targets()) {
    const std::vector<HostId> askers = AskersOf(life.host_);
    std::size_t silent = 0;
    std::size_t rank = 0;
    bool isHeard = false;
    for (const HostId& asker : askers) {
      const auto silence = ReportedSilence(asker, life, aNow);
      if (!silence) {
        continue;
      }
      isHeard = isHeard || *silence < settings_.silence_;
      ++silent;
      rank += asker < self_.host_ ? 1 : 0;
    }
    const Duration own = aNow - heard_.at(life);
    const Duration threshold = settings_.silence_ + settings_.interval_ * static_cast<int>(rank);
    if (!isHeard && silent * 2 > askers.size() && own >= threshold) {
      result.push_back(life);
    }
  }
  return result;
}

std::vector<HostLife>
LivenessTracker::TargetsOf(const HostId& aHost) const
{
  std::vector<HostLife> targets;
  const auto start = std::find_if(
    ring_.begin(), ring_.end(), [&](const HostLife& aLife) { return aLife.host_ == aHost; });
  if (start == ring_.end()) {
    return targets;
  }
  const std::size_t count =
    IsRing() ? std::min(settings_.successors_, ring_.size() - 1) : ring_.size() - 1;
  const auto first = static_cast<std::size_t>(start - ring_.begin());
  for (std::size_t i = 1; i <= count; ++i) {
    targets.push_back(ring_[(first + i) % ring_.size()]);
  }
  return targets;
}

std::vector<HostId>
LivenessTracker::AskersOf(const HostId& aHost) const
{
  std::vector<HostId> askers;
  const auto place = std::find_if(
    ring_.begin(), ring_.end(), [&](const HostLife& aLife) { return aLife.host_ == aHost; });
  const std::size_t count =
    IsRing() ? std::min(settings_.successors_, ring_.size() - 1) : ring_.size() - 1;
  const auto index = static_cast<std::size_t>(place - ring_.begin());
  for (std::size_t i = 1; i <= count; ++i) {
    askers.push_back(ring_[(index + ring_.size() - i) % ring_.size()].host_);
  }
  return askers;
}

std::optional<Duration>
LivenessTracker::ReportedSilence(const HostId& aAsker, const HostLife& aLife, TimePoint aNow) const
{
  if (aAsker == self_.host_) {
    return aNow - heard_.at(aLife);
  }
  const auto received = reports_.find(aAsker);
  if (received == reports_.end() || aNow - received->second.asked_ >= settings_.silence_) {
    return std::nullopt;
  }
  for (const auto& [life, silence] : received->second.report_) {
    if (life == aLife) {
      return silence;
    }
  }
  return std::nullopt;
}

} // namespace laburnumweir
