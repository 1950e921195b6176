/** @file quarantine_service.h Keeps quarantines in the store for hosts that start later. */
#ifndef LABURNUMWEIR_GATEWAY_QUARANTINE_SERVICE_H
#define LABURNUMWEIR_GATEWAY_QUARANTINE_SERVICE_H

#include "core/scheduler_base.h"
#include "fleet/fleet_store_base.h"
#include "fleet/quarantine.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <system_error>
#include <vector>

namespace laburnumweir {

/**
 * Writes the quarantines that this host found to the store, and applies those that the store holds
 * when this host starts: if all hosts are killed at once, gossip forgets them. A few hosts also
 * update the records of quarantines that change or end.
 */
class QuarantineService : public std::enable_shared_from_this<QuarantineService>
{
public:
  /**
   * All references must outlive the service.
   * @param aUpdatesRecords whether this host updates the records of other hosts now.
   */
  QuarantineService(FleetStore& aStore,
                    Quarantine& aQuarantine,
                    const Clock& aClock,
                    Scheduler& aScheduler,
                    std::function<bool()> aUpdatesRecords);

  /** Starts to write changes. */
  void Start();
  /** Stores the quarantines in force, if this host updates records, and removes the records of
   * those that ended. To be called when the store was restored from a copy. */
  void WriteAll();
  /** Applies the records that the store holds at the start of this host. Later calls have no
   * effect: this host then knows more than the store. */
  void OnStored(std::span<const QuarantineRecord> aRecords);

private:
  void QueueChanges();
  /** Forgets quarantines that ended, and records to be removed, beyond kMaxEndedContents. A record
   * that is not removed expires. */
  void LimitEnds();
  WallTime ToWallTime(TimePoint aTime) const;
  void WriteNext();
  void OnWritten(const std::vector<ContentId>& aContents,
                 std::optional<WallTime> aUntil,
                 std::error_code aError);

  FleetStore& store_;
  Quarantine& quarantine_;
  const Clock& clock_;
  Scheduler& scheduler_;
  std::function<bool()> updatesRecords_;
  /** Ends of the quarantines to be written, by contents; none to remove the record. */
  std::map<std::vector<ContentId>, std::optional<WallTime>> unwritten_;
  /** Contents that are no longer quarantined as they were, and since when. */
  std::map<std::vector<ContentId>, TimePoint> ended_;
  bool hasReadRecords_ = false; ///< The store's quarantines were applied, once.
  bool isWriting_ = false;      ///< A call is running, or waits to be repeated.
};

} // namespace laburnumweir

#endif
