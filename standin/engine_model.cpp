/** @file engine_model.cpp State of a stand-in engine: adapter slots, running requests, cold start.
 */
#include "standin/engine_model.h"

#include <algorithm>

namespace laburnumweir::standin {

EngineModel::EngineModel(EngineLimits aLimits, std::string aEpoch, TimePoint aNow)
  : limits_(std::move(aLimits))
  , coldMaxRunning_(limits_.coldMaxRunning_)
{
  Reset(std::move(aEpoch), aNow);
}

void
EngineModel::Reset(std::string aEpoch, TimePoint aNow)
{
  epoch_ = std::move(aEpoch);
  coldUntil_ = aNow + limits_.coldTime_;
  coldMaxRunning_ = limits_.coldMaxRunning_;
  residents_.clear();
  places_.clear();
  waiting_.clear();
  running_ = 0;
  highestFencing_ = 0;
}

void
EngineModel::SetCold(TimePoint aUntil, std::uint32_t aMaxRunning)
{
  coldUntil_ = aUntil;
  coldMaxRunning_ = aMaxRunning;
}

bool
EngineModel::IsOverloadedCold(TimePoint aNow) const
{
  return aNow < coldUntil_ && running_ > coldMaxRunning_;
}

void
EngineModel::Start(Place& aPlace, TimePoint aNow)
{
  aPlace.isRunning_ = true;
  ++running_;
  ++counts_.starts_;
  counts_.maxRunning_ = std::max(counts_.maxRunning_, running_);
  if (aNow < coldUntil_) {
    counts_.maxRunningCold_ = std::max(counts_.maxRunningCold_, running_);
  }
}

Admission
EngineModel::Admit(RunId aRun, const AdapterRef& aAdapter, int aPriority, TimePoint aNow)
{
  const auto resident = residents_.find(aAdapter);
  if (resident == residents_.end() || resident->second.isLoading_) {
    return Admission::NotLoaded;
  }
  if (places_.size() >= limits_.overload_) {
    return Admission::Overloaded;
  }
  ++resident->second.inUse_;
  auto& place = places_[aRun];
  place = { aAdapter, aPriority, false };
  if (running_ < limits_.maxRunning_) {
    Start(place, aNow);
    return Admission::Started;
  }
  waiting_.emplace(aPriority, aRun);
  return Admission::Queued;
}

std::optional<EngineModel::RunId>
EngineModel::Finish(RunId aRun, TimePoint aNow)
{
  const auto found = places_.find(aRun);
  if (found == places_.end()) {
    return std::nullopt;
  }
  const Place place = found->second;
  places_.erase(found);
  // The adapter may have been evicted while the request ran.
  const auto resident = residents_.find(place.adapter_);
  if (resident != residents_.end() && resident->second.inUse_ > 0) {
    --resident->second.inUse_;
  }
  if (!place.isRunning_) {
    waiting_.erase({ place.priority_, aRun });
    return std::nullopt;
  }
  --running_;
  if (waiting_.empty() || running_ >= limits_.maxRunning_) {
    return std::nullopt;
  }
  const auto next = std::get<1>(*waiting_.begin());
  waiting_.erase(waiting_.begin());
  Start(places_.at(next), aNow);
  return next;
}

LoadTest
EngineModel::TestLoad(const LoadOrder& aOrder) const
{
  if (limits_.checksFencing_ && aOrder.fencing_ < highestFencing_) {
    return LoadTest::StaleFencing;
  }
  const auto present = residents_.find(aOrder.adapter_);
  if (present != residents_.end()) {
    return present->second.isLoading_ ? LoadTest::AlreadyLoading : LoadTest::AlreadyResident;
  }
  const auto victim = residents_.find(aOrder.evict_);
  if (victim != residents_.end()) {
    const bool isInUse = victim->second.inUse_ > 0 && !limits_.allowsEvictInUse_;
    return isInUse || victim->second.isLoading_ ? LoadTest::InUse : LoadTest::Ok;
  }
  return residents_.size() < limits_.slots_ ? LoadTest::Ok : LoadTest::NoSlot;
}

LoadTest
EngineModel::ExecLoad(const LoadOrder& aOrder)
{
  const auto result = TestLoad(aOrder);
  if (result == LoadTest::StaleFencing) {
    ++counts_.staleOrdersRefused_;
    return result;
  }
  if (aOrder.fencing_ < highestFencingEver_) {
    ++counts_.staleOrdersAccepted_;
  }
  highestFencing_ = std::max(highestFencing_, aOrder.fencing_);
  highestFencingEver_ = std::max(highestFencingEver_, aOrder.fencing_);
  if (result != LoadTest::Ok) {
    return result;
  }
  const auto victim = residents_.find(aOrder.evict_);
  if (victim != residents_.end()) {
    ++counts_.evictions_;
    if (victim->second.inUse_ > 0) {
      ++counts_.evictionsInUse_;
    }
    residents_.erase(victim);
  }
  residents_[aOrder.adapter_].isLoading_ = true;
  ++counts_.loads_;
  return result;
}

void
EngineModel::FinishLoad(const AdapterRef& aAdapter, bool aIsLoaded)
{
  const auto found = residents_.find(aAdapter);
  if (found == residents_.end()) {
    return;
  }
  if (aIsLoaded) {
    found->second.isLoading_ = false;
  } else {
    residents_.erase(found);
  }
}

Duration
EngineModel::TokenTime() const
{
  return limits_.tokenBase_ + limits_.tokenPerRunning_ * running_;
}

EngineReport
EngineModel::Report() const
{
  EngineReport report;
  report.epoch_ = epoch_;
  report.model_ = limits_.model_;
  report.slots_ = limits_.slots_;
  report.running_ = running_;
  for (const auto& [adapter, resident] : residents_) {
    if (!resident.isLoading_) {
      report.resident_.push_back({ adapter, resident.inUse_ });
    }
  }
  return report;
}

} // namespace laburnumweir::standin
