/** @file rejection_log.h Count and log of the callers that a listener turns away. */
#ifndef LABURNUMWEIR_GATEWAY_REJECTION_LOG_H
#define LABURNUMWEIR_GATEWAY_REJECTION_LOG_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace laburnumweir {

/**
 * Counts rejections by reason, and reports them at most once in an interval for each reason, so
 * that many hostile connections cost few log lines. Not thread-safe.
 */
class RejectionLog
{
public:
  /** Minimum time between two reports of a reason. */
  static constexpr std::chrono::seconds kInterval{ 5 };

  using Time = std::chrono::steady_clock::time_point;
  /** Receives a reason and the rejections since the last report of it. */
  using Report = std::function<void(std::string_view aReason, std::uint64_t aCount)>;
  /** Receives the reason of each rejection. */
  using Count = std::function<void(std::string_view aReason)>;

  /** @param aCount called for each rejection. @param aReport writes the report. */
  explicit RejectionLog(Count aCount = nullptr, Report aReport = &WriteLine);

  /** @param aReason one of a fixed set of names. */
  void Record(std::string_view aReason, Time aNow);
  /** Reports the rejections whose interval has passed. */
  void Flush(Time aNow);

private:
  struct Entry
  {
    std::uint64_t unreported_ = 0;
    Time nextReport_;
  };

  static void WriteLine(std::string_view aReason, std::uint64_t aCount);

  Count count_;
  Report report_;
  std::map<std::string, Entry, std::less<>> entries_; ///< By reason.
};

} // namespace laburnumweir

#endif
