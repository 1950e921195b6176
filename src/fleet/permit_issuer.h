/** @file permit_issuer.h Permits for requests to upstreams that limit them. */
#ifndef LABURNUMWEIR_FLEET_PERMIT_ISSUER_H
#define LABURNUMWEIR_FLEET_PERMIT_ISSUER_H

#include "core/clock_base.h"
#include "core/id_type.h"

#include <map>

namespace laburnumweir {

/** Answer to a request for a permit to send one request to an upstream. */
struct Permit
{
  bool isGranted_ = false;
  Duration delay_{}; ///< Time until the host may ask again; zero if it is granted.
};

/**
 * Issues the permits of the upstreams for which this host is responsible, in one token bucket for
 * each upstream, so that all hosts together keep its limit. Not thread-safe.
 */
class PermitIssuer
{
public:
  /** @param aClock time source; must outlive this. */
  explicit PermitIssuer(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /** @param aLimit requests/s that the upstream takes from all hosts. */
  Permit Issue(const UpstreamId& aUpstream, double aLimit);
  /** Forgets upstreams for which no permit was requested lately. */
  void Expire();

private:
  struct Bucket
  {
    double tokens_ = 0;  ///< An earlier issuer may have used up the limit, so it starts empty.
    double rate_ = 0;    ///< Tokens/s.
    TimePoint filledAt_; ///< When a permit was last requested.
  };

  static double Capacity(double aRate);
  void Fill(Bucket& aBucket) const;

  const Clock& clock_;
  std::map<UpstreamId, Bucket> buckets_;
};

} // namespace laburnumweir

#endif
