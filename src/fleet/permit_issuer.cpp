/** @file permit_issuer.cpp Permits for requests to upstreams that limit them. */
#include "fleet/permit_issuer.h"

#include "table/limit_const.h"

#include <algorithm>

namespace laburnumweir {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

double
PermitIssuer::Capacity(double aRate)
{
  return std::max(1.0, aRate * Seconds(kPermitBurstTime).count());
}

void
PermitIssuer::Fill(Bucket& aBucket) const
{
  const auto now = clock_.Now();
  aBucket.tokens_ =
    std::min(Capacity(aBucket.rate_),
             aBucket.tokens_ + aBucket.rate_ * Seconds(now - aBucket.filledAt_).count());
  aBucket.filledAt_ = now;
}

Permit
PermitIssuer::Issue(const UpstreamId& aUpstream, double aLimit)
{
  const double rate = std::max(aLimit, kMinPermitRate);
  auto& bucket = buckets_.try_emplace(aUpstream, Bucket{ 0, rate, clock_.Now() }).first->second;
  Fill(bucket);
  bucket.rate_ = rate;
  if (bucket.tokens_ >= 1) {
    --bucket.tokens_;
    return { true, Duration::zero() };
  }
  const auto untilToken =
    std::chrono::duration_cast<Duration>(Seconds((1 - bucket.tokens_) / bucket.rate_));
  return { false, std::clamp(untilToken, kMinPermitDelay, kMaxPermitDelay) };
}

void
PermitIssuer::Expire()
{
  const auto oldest = clock_.Now() - kPermitBucketTtl;
  std::erase_if(buckets_, [oldest](const auto& aItem) { return aItem.second.filledAt_ < oldest; });
}

} // namespace laburnumweir
