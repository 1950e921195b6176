/** @file explain_log.cpp What was decided for recent requests, and why. */
#include "control/explain_log.h"

#include <chrono>

namespace laburnumweir {

ExplainLog::ExplainLog(const Clock& aClock)
  : clock_(aClock)
{
}

void
ExplainLog::Add(const RequestId& aRequest, std::string aStep)
{
  const TimePoint now = clock_.Now();
  const std::lock_guard lock(mutex_);
  auto [found, isNew] = entries_.try_emplace(aRequest);
  Entry& entry = found->second;
  if (isNew) {
    entry.start_ = now;
    sequence_.push_back(aRequest);
    if (sequence_.size() > kMaxRequests) {
      entries_.erase(sequence_.front());
      sequence_.pop_front();
    }
  }
  if (entry.steps_.size() < kMaxSteps) {
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - entry.start_);
    entry.steps_.push_back("+" + std::to_string(elapsed.count()) + "us " + std::move(aStep));
  }
}

std::vector<std::string>
ExplainLog::Find(const RequestId& aRequest) const
{
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(aRequest);
  return found == entries_.end() ? std::vector<std::string>() : found->second.steps_;
}

} // namespace laburnumweir
