/** @file usage_reporter.h Decides and sends the usage reports while this host has the duty. */
#ifndef LABURNUMWEIR_GATEWAY_USAGE_REPORTER_H
#define LABURNUMWEIR_GATEWAY_USAGE_REPORTER_H

#include "core/scheduler_base.h"
#include "fleet/duty_client_base.h"
#include "fleet/usage_collection.h"
#include "fleet/usage_log_base.h"
#include "metrics/metrics.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>

namespace laburnumweir {

/** Settings of the usage reports. */
struct UsageSettings
{
  HostId host_; ///< This host, as named in calls.
  std::chrono::milliseconds window_{ 5000 };
  std::chrono::milliseconds dueTime_{
    10000
  };                              ///< From the end of a window until its report is due.
  double callsPerSecond_ = 50;    ///< Calls that the platform accepts from all hosts.
  bool isFencingEnforced_ = true; ///< Whether the platform checks fencing tokens.
};

/** State that the reporter works with. All references must outlive it. */
struct UsageReporterContext
{
  const Clock& clock_;
  Scheduler& scheduler_;
  UsageLog& log_;
  DutyClient& client_;
  DutyLease& lease_;
  UsageCollection& counts_;
  FleetTime& time_;
  Metrics& metrics_;
};

/**
 * Decides the report of each window once, by a conditional append to the stream in the store, and
 * sends the decided reports to the platform. Windows are decided in ascending order, and only after
 * all records of the stream were read, so that no window has two records in one era of the store.
 * After a restore of the store, records that were read from it again are not sent, and the windows
 * that an earlier era may have decided are passed over.
 */
class UsageReporter : public std::enable_shared_from_this<UsageReporter>
{
public:
  UsageReporter(const UsageReporterContext& aContext, UsageSettings aSettings);

  /** Starts to check at each tick interval. */
  void Start();
  /** @return the first window whose counts may still be needed. */
  WindowId FirstOpen() const;
  /** @return number that changes when the collected counts are discarded. */
  std::uint64_t Term() const { return term_; }
  /** @return reports that are decided but not accepted by the platform. */
  std::size_t Pending() const { return pending_.size(); }
  const WindowScale& Scale() const { return scale_; }

private:
  /** A decided report that the platform has not accepted yet. */
  struct PendingReport
  {
    UsageReport report_;
    int calls_ = 0;
  };
  /** Doubling delay between failed calls. */
  struct Backoff
  {
    Duration delay_{ 0 };
    TimePoint until_;

    void OnFailure(TimePoint aNow);
    void OnSuccess() { *this = {}; }
  };

  void Tick();
  /** Discards all state of an earlier lease. */
  void Reset(std::optional<TimePoint> aHeldSince);
  /** Forgets what was read from the stream, since the store is in another era. */
  void ForgetLog();
  void ReadLog();
  void OnRead(std::error_code aError, const UsageLogBatch& aBatch);
  /** Applies a record of the stream, in the order of the stream. */
  void Apply(const UsageLogRecord& aRecord);
  /** @return the window in which the stream was read; the later one if the clocks differ. */
  WindowId WindowAtRead() const;
  /** Passes over the windows that records which this host cannot read may have decided. */
  void PassOver();
  void DecideNext();
  void Append(const UsageLogRecord& aRecord);
  void OnAppended(const UsageLogRecord& aRecord, std::error_code aError, StorePosition aEnd);
  void ExpirePending();
  /** @return first window whose report the platform may lack. */
  WindowId DoneBefore() const;
  bool MaySend(std::uint64_t aToken) const;
  void SendNext();
  void OnAnswer(WindowId aWindow, std::uint64_t aToken, std::uint64_t aTerm, DutyAnswer aAnswer);
  void Count(std::string_view aResult);

  UsageReporterContext context_;
  const UsageSettings settings_;
  const WindowScale scale_;
  const Duration decideDelay_; ///< From the end of a window to the decision on its report.
  /** Window in which this process started. */
  const WindowId startWindow_;
  std::uint64_t term_ = 0;             ///< Rises with each Reset().
  std::optional<TimePoint> heldSince_; ///< DutyLease::HeldSince() at the last tick.
  std::optional<StorePosition> end_;   ///< Position up to which the stream was read.
  bool isLogKnown_ = false;            ///< The stream was read to its end.
  TimePoint logReadAt_;                ///< When the last read was answered.
  bool hasEraRecord_ = false;          ///< A record of the era of end_ was read or written.
  bool isLogCallPending_ = false;
  Backoff logBackoff_;
  WindowId logNext_ = 0;    ///< First window that the next valid record of the stream may decide.
  WindowId next_ = 0;       ///< First window that this process may decide; never falls.
  WindowId doneBefore_ = 0; ///< Highest UsageLogRecord::doneBefore_ that was read.
  std::map<WindowId, PendingReport> pending_;
  bool isCallPending_ = false;
  bool isFailing_ = false; ///< The last call failed.
  Backoff callBackoff_;
  TimePoint nextCallAt_;                     ///< Keeps to the platform's rate limit.
  std::optional<std::uint64_t> fencedToken_; ///< Highest token that the platform refused.
};

} // namespace laburnumweir

#endif
