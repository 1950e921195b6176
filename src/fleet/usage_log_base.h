/** @file usage_log_base.h Interface to the stream of decided usage reports in the store. */
#ifndef LABURNUMWEIR_FLEET_USAGE_LOG_BASE_H
#define LABURNUMWEIR_FLEET_USAGE_LOG_BASE_H

#include "fleet/fleet_store_base.h"
#include "fleet/usage_type.h"

#include <functional>
#include <optional>
#include <system_error>
#include <vector>

namespace laburnumweir {

/** Record of the stream: the decision on a report, or only on the windows that get none. */
struct UsageLogRecord
{
  StoreEra era_ = 0;                  ///< Era that its writer had read the stream in.
  std::optional<UsageReport> report_; ///< Decided report; none to pass over windows.
  WindowId next_ = 0;                 ///< First window that a later record may decide.
  WindowId doneBefore_ = 0;           ///< The platform has all reports of windows before this one.

  bool operator==(const UsageLogRecord&) const = default;
};

/** Records in the order of the store. */
struct UsageLogBatch
{
  std::vector<UsageLogRecord> records_;
  StorePosition next_;     ///< Where the next read starts.
  bool isComplete_ = true; ///< Whether it reaches the end that the stream had.
};

/** Asynchronous calls to the stream of usage reports; callbacks run on the control thread. */
class UsageLog
{
public:
  using AppendCallback = std::function<void(std::error_code, StorePosition)>;
  using ReadCallback = std::function<void(std::error_code, const UsageLogBatch&)>;

  virtual ~UsageLog() = default;
  /**
   * Appends a record if the stream ends at a position.
   * @param aCallback receives the end of the stream, whose era is that of the answer and may differ
   * from that of aEnd. Fails with Conflict if the stream ends elsewhere; after Unreachable the
   * record may have been appended, or may still be.
   */
  virtual void AppendUsage(const UsageLogRecord& aRecord,
                           StorePosition aEnd,
                           AppendCallback aCallback) = 0;
  /** Reads records. @param aFrom position of the first one; none for the oldest. Fails with
   * HistoryLost if the store is in another era than that of the position. */
  virtual void ReadUsage(std::optional<StorePosition> aFrom, ReadCallback aCallback) = 0;
};

} // namespace laburnumweir

#endif
