/** @file authority_func.h Decides whether hosts with an older membership can still go on. */
#ifndef LABURNUMWEIR_STATE_AUTHORITY_FUNC_H
#define LABURNUMWEIR_STATE_AUTHORITY_FUNC_H

#include "core/clock_base.h"
#include "state/acceptance_tracker.h"
#include "state/config_state.h"
#include "state/freshness_tracker.h"

namespace laburnumweir {

/**
 * Decides whether the wait of a new owner may begin: once this holds, no host that has not folded
 * the record admits requests later than the freshness bound plus the clock error.
 *
 * Evidence from the log is older than the record, so it ends within the bound. What remains is a
 * majority that agrees on an older membership. Two conditions exclude it: (i) every current member
 * has folded the record, and (ii) the hosts that were removed and may not know it are no majority
 * of any membership that one of them may hold.
 *
 * Relies on the following:
 * - One process at a time runs under the name of a host. A life ends for certain when a later life
 *   of the same name joins, so a replaced life does not count in (ii).
 * - A host that leaves has stopped admitting, and confirms the state of no other host, before its
 *   record is appended.
 * - The position that a life reports never goes back.
 *
 * @param aState folded state of this host.
 * @param aProgress progress of the hosts.
 * @param aSelf this life of this host.
 * @param aSettings bounds of freshness.
 * @param aOffset offset of the membership record.
 * @param aNow the time.
 * @return whether the wait may begin; false if it cannot be told.
 */
bool
IsMembershipKnown(const ConfigState& aState,
                  const HostProgress& aProgress,
                  const HostLife& aSelf,
                  const FreshnessSettings& aSettings,
                  LogOffset aOffset,
                  TimePoint aNow);

} // namespace laburnumweir

#endif
