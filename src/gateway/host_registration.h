/** @file host_registration.h Makes this host known to the others, and them to it, through the
 * store. */
#ifndef LABURNUMWEIR_GATEWAY_HOST_REGISTRATION_H
#define LABURNUMWEIR_GATEWAY_HOST_REGISTRATION_H

#include "core/scheduler_base.h"
#include "fleet/fleet_store_base.h"

#include <functional>
#include <memory>
#include <set>

namespace laburnumweir {

/**
 * Publishes the record of a host that starts, and reads the records of the others once that is
 * done. Of two hosts that start at the same time, the one whose record was written last thus reads
 * the record of the other, and its gossip introduces it.
 */
class HostRegistration : public std::enable_shared_from_this<HostRegistration>
{
public:
  using RecordsFunction = std::function<void(const HostTopicRecords&)>;

  /**
   * The store and the scheduler must outlive this.
   * @param aSelf record of this host.
   * @param aOnRecords called with the records of all hosts that it was not called with before.
   */
  HostRegistration(FleetStore& aStore,
                   Scheduler& aScheduler,
                   HostRecord aSelf,
                   RecordsFunction aOnRecords);

  /** Publishes and reads; failed calls are repeated until they succeed. */
  void Start() { Publish(); }
  /** Publishes and reads again. To be called when the store was restored from a copy, which may
   * lack the records of hosts that started last. */
  void Publish();

private:
  void Read();
  /** Calls a function again after a delay. */
  void Repeat(void (HostRegistration::*aFunction)());

  FleetStore& store_;
  Scheduler& scheduler_;
  const HostRecord self_;
  RecordsFunction onRecords_;
  std::set<HostId> readHosts_; ///< Hosts whose records were read.
};

} // namespace laburnumweir

#endif
