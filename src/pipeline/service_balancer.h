/** @file service_balancer.h Chooses an upstream of a plain service. */
#ifndef LABURNUMWEIR_PIPELINE_SERVICE_BALANCER_H
#define LABURNUMWEIR_PIPELINE_SERVICE_BALANCER_H

#include "core/clock_base.h"
#include "core/random_base.h"
#include "rules/rule_type.h"

#include <map>
#include <optional>
#include <set>

namespace laburnumweir {

/**
 * Chooses among the upstreams of a plain service the one with the fewest requests of this host.
 * Upstreams that failed lately come last. One strand only.
 */
class ServiceBalancer
{
public:
  /** @param aClock time source. @param aRandom decides between equals. Both must outlive this. */
  ServiceBalancer(const Clock& aClock, RandomSource& aRandom);

  /**
   * Chooses an upstream in service.
   * @param aRules rules in force.
   * @param aService the service.
   * @param aAvoid upstreams that failed the request before.
   * @return the upstream, or nothing if none is in service.
   */
  std::optional<UpstreamRule> Choose(const RuleSet& aRules,
                                     const ServiceName& aService,
                                     const std::set<UpstreamId>& aAvoid);
  /** Notes that a request was sent. @param aUpstream where to. */
  void OnSent(const UpstreamId& aUpstream);
  /** Notes how a request ended. @param aUpstream where it ran. @param aIsHealthy no failure. */
  void OnEnd(const UpstreamId& aUpstream, bool aIsHealthy);

private:
  struct State
  {
    std::uint32_t running_ = 0; ///< Requests of this host.
    TimePoint avoidUntil_;      ///< It failed and comes last until then.
  };

  const Clock& clock_;                    ///< Time source.
  RandomSource& random_;                  ///< Decides between equals.
  std::map<UpstreamId, State> upstreams_; ///< What this host knows.
};

/**
 * Tells whether an upstream may get new work by the rules.
 * @param aRules rules in force.
 * @param aUpstream the upstream.
 * @return whether it is not leaving and its data centre is in service.
 */
bool
TakesNewWork(const RuleSet& aRules, const UpstreamRule& aUpstream);

} // namespace laburnumweir

#endif
