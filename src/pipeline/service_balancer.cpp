/** @file service_balancer.cpp Chooses an upstream of a plain service. */
#include "pipeline/service_balancer.h"

#include <tuple>

namespace laburnumweir {

namespace {

using namespace std::chrono_literals;

constexpr Duration kAvoidFor = 2s;

} // namespace

ServiceBalancer::ServiceBalancer(const Clock& aClock, RandomSource& aRandom)
  : clock_(aClock)
  , random_(aRandom)
{
}

std::optional<UpstreamRule>
ServiceBalancer::Choose(const RuleSet& aRules,
                        const ServiceName& aService,
                        const std::set<UpstreamId>& aAvoid)
{
  std::erase_if(upstreams_,
                [&](const auto& aEntry) { return !aRules.upstreams_.contains(aEntry.first); });
  const TimePoint now = clock_.Now();
  const UpstreamRule* best = nullptr;
  std::tuple<bool, std::uint32_t, std::uint64_t> bestRank;
  for (const auto& [id, rule] : aRules.upstreams_) {
    if (rule.kind_ != UpstreamKind::Service || rule.service_ != aService ||
        !TakesNewWork(aRules, rule)) {
      continue;
    }
    const State& state = upstreams_[id];
    const bool isAvoided = aAvoid.contains(id) || now < state.avoidUntil_;
    const auto rank = std::make_tuple(isAvoided, state.running_, random_.Below(1U << 30));
    if (best == nullptr || rank < bestRank) {
      best = &rule;
      bestRank = rank;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

void
ServiceBalancer::OnSent(const UpstreamId& aUpstream)
{
  ++upstreams_[aUpstream].running_;
}

void
ServiceBalancer::OnEnd(const UpstreamId& aUpstream, bool aIsHealthy)
{
  const auto found = upstreams_.find(aUpstream);
  if (found == upstreams_.end()) {
    return;
  }
  if (found->second.running_ > 0) {
    --found->second.running_;
  }
  if (!aIsHealthy) {
    found->second.avoidUntil_ = clock_.Now() + kAvoidFor;
  }
}

bool
TakesNewWork(const RuleSet& aRules, const UpstreamRule& aUpstream)
{
  const auto dataCentre = aRules.dataCentres_.find(aUpstream.dataCentre_);
  return !aUpstream.isLeaving_ && dataCentre != aRules.dataCentres_.end() &&
         dataCentre->second.inService_;
}

} // namespace laburnumweir
