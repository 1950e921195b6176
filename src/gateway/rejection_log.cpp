/** @file rejection_log.cpp Count and log of the callers that a listener turns away. */
#include "gateway/rejection_log.h"

#include "logging/logging_func.h"

#include <utility>

namespace laburnumweir {

RejectionLog::RejectionLog(Count aCount, Report aReport)
  : count_(std::move(aCount))
  , report_(std::move(aReport))
{
}

void
RejectionLog::Record(std::string_view aReason, Time aNow)
{
  auto found = entries_.find(aReason);
  if (found == entries_.end()) {
    found = entries_.emplace(std::string(aReason), Entry{ 0, aNow }).first;
  }
  ++found->second.unreported_;
  if (count_) {
    count_(aReason);
  }
  Flush(aNow);
}

void
RejectionLog::Flush(Time aNow)
{
  for (auto& [reason, entry] : entries_) {
    if (entry.unreported_ > 0 && aNow >= entry.nextReport_) {
      entry.nextReport_ = aNow + kInterval;
      report_(reason, std::exchange(entry.unreported_, 0));
    }
  }
}

void
RejectionLog::WriteLine(std::string_view aReason, std::uint64_t aCount)
{
  LogEvent(LogLevel::Info,
           "callers_rejected",
           { { "reason", std::string(aReason) }, { "count", std::to_string(aCount) } });
}

} // namespace laburnumweir
