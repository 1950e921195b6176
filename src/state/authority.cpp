/** @file authority.cpp Tells when a change of membership is known so widely that it binds all. */
#include "state/authority_func.h"

#include <algorithm>

namespace laburnumweir {

bool
IsMembershipKnown(const ConfigState& aState,
                  const HostProgress& aProgress,
                  const HostLife& aSelf,
                  const FreshnessSettings& /*aSettings*/,
                  LogOffset aOffset,
                  TimePoint /*aNow*/)
{
  return std::all_of(aState.Members().begin(), aState.Members().end(), [&](const auto& aEntry) {
    const HostLife life{ aEntry.first, aEntry.second.incarnation_ };
    return life == aSelf || aProgress.Find(life).next_ > aOffset;
  });
}

} // namespace laburnumweir
