/** @file authority_func.h Tells when a change of membership is known so widely that it binds all.
 */
#ifndef LABURNUMWEIR_STATE_AUTHORITY_FUNC_H
#define LABURNUMWEIR_STATE_AUTHORITY_FUNC_H

#include "state/acceptance_tracker.h"
#include "state/config_state.h"

namespace laburnumweir {

/**
 * Tells whether a new owner may begin to wait out the authority of a former one.
 *
 * A former owner that cannot read the log goes on while a majority of the members in its view
 * confirms its state. Once enough members know of the change, each such majority contains one of
 * them, so the former owner's evidence ends within the freshness bound from now.
 *
 * @param aState folded state of this host.
 * @param aProgress how far the hosts are known to have folded.
 * @param aSelf this life of this host.
 * @param aSettings bounds of freshness.
 * @param aOffset offset of the membership record that changed the owner.
 * @param aNow the time.
 * @return whether no host can gather a majority without a member that knows of the change.
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
