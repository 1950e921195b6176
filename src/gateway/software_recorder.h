/** @file software_recorder.h Keeps the software versions of the services in the store. */
#ifndef LABURNUMWEIR_GATEWAY_SOFTWARE_RECORDER_H
#define LABURNUMWEIR_GATEWAY_SOFTWARE_RECORDER_H

#include "core/scheduler_base.h"
#include "fleet/fleet_state.h"
#include "fleet/software_history.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <system_error>

namespace laburnumweir {

/**
 * Writes the versions of the software history to the store when they change, and applies those that
 * the store holds when this host starts: if all hosts are killed at once, nobody else knows which
 * versions served before. A version that appears is written in any case, so that a record which
 * calls itself complete is.
 */
class SoftwareRecorder : public std::enable_shared_from_this<SoftwareRecorder>
{
public:
  /**
   * All references must outlive the recorder.
   * @param aWritesRecords whether this host writes records now.
   */
  SoftwareRecorder(FleetStore& aStore,
                   const FleetState& aFleet,
                   SoftwareHistory& aHistory,
                   Scheduler& aScheduler,
                   std::function<bool()> aWritesRecords);

  /** Starts to write changes. */
  void Start();
  /** Applies the records at the start of this host; later calls have no effect. */
  void OnStored(const HostTopicRecords& aRecords);
  /** Writes all records again, since the store was restored from a copy. @param aEra its new era.
   */
  void OnRestored(StoreEra aEra);

private:
  /** @return whether the store lacks what a record of this host says. */
  bool MustWrite(const SoftwareRecord& aRecord);
  void WriteNext();
  void OnWritten(const SoftwareRecord& aRecord, std::error_code aError);

  FleetStore& store_;
  const FleetState& fleet_;
  SoftwareHistory& history_;
  Scheduler& scheduler_;
  std::function<bool()> writesRecords_;
  /** What the store holds, as far as known; for a service without a record, the first versions
   * seen.
   */
  std::map<ServiceName, SoftwareRecord> known_;
  std::optional<StoreEra> era_; ///< None until the records were read.
  bool isWriting_ = false;      ///< A call is running, or waits to be repeated.
};

} // namespace laburnumweir

#endif
