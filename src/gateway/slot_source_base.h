/** @file slot_source_base.h Interface to the slots that are assigned to this host. */
#ifndef LABURNUMWEIR_GATEWAY_SLOT_SOURCE_BASE_H
#define LABURNUMWEIR_GATEWAY_SLOT_SOURCE_BASE_H

#include "fleet/slot_type.h"

#include <optional>
#include <set>

namespace laburnumweir {

/** Slots of upstreams that the hosts share. */
class SlotSource
{
public:
  virtual ~SlotSource() = default;
  /** @return whether requests of a service need an assigned slot now. */
  virtual bool IsShared(const ServiceName& aService) const = 0;
  /**
   * Takes an assigned slot.
   * @param aExcluded upstreams that the request must not use.
   * @return the slot; none if the request has to wait in the queue.
   */
  virtual std::optional<SlotGrant> Take(const ServiceName& aService,
                                        const std::set<UpstreamId>& aExcluded) = 0;
  /** Returns a slot that was taken. */
  virtual void Return(const ServiceName& aService, SlotReturn aReturn) = 0;
};

} // namespace laburnumweir

#endif
