/** @file quota_share.cpp Share of this host in the quotas of the workspaces. */
#include "fleet/quota_share.h"

#include "table/fleet_const.h"

#include <algorithm>
#include <cmath>

namespace laburnumweir {

namespace {

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void
QuotaShare::OnPeerDemand(const HostId& aPeer, std::span<const WorkspaceDemand> aDemand)
{
  auto& peer = peers_[aPeer];
  peer.heard_ = clock_.Now();
  peer.demand_.clear();
  for (const auto& demand : aDemand) {
    peer.demand_[demand.workspace_] = std::max(0.0, demand.tokensPerSecond_);
  }
  std::erase_if(peers_, [now = clock_.Now()](const auto& aEntry) {
    return now - aEntry.second.heard_ > kPeerShareLife;
  });
}

double
QuotaShare::DemandNow(const Bucket& aBucket) const
{
  return aBucket.demand_ *
         std::exp(-Seconds(clock_.Now() - aBucket.demandAt_) / Seconds(kDemandAverage));
}

double
QuotaShare::PeerDemand(const WorkspaceId& aWorkspace) const
{
  const auto now = clock_.Now();
  double sum = 0;
  for (const auto& [id, peer] : peers_) {
    const auto found = peer.demand_.find(aWorkspace);
    if (found != peer.demand_.end() && now - peer.heard_ < kPeerDemandLife) {
      sum += found->second;
    }
  }
  return sum;
}

double
QuotaShare::RateShare(const Workspace& aWorkspace) const
{
  const auto found = buckets_.find(aWorkspace.id_);
  const double own = found == buckets_.end() ? 0 : DemandNow(found->second);
  const double all = own + PeerDemand(aWorkspace.id_);
  if (all <= aWorkspace.ratePerSecond_) {
    return own + (aWorkspace.ratePerSecond_ - all) / static_cast<double>(hosts_);
  }
  return aWorkspace.ratePerSecond_ * own / all;
}

void
QuotaShare::Fill(const Workspace& aWorkspace, Bucket& aBucket)
{
  const auto now = clock_.Now();
  const double rate = RateShare(aWorkspace);
  const double capacity = aWorkspace.burst_ * rate / aWorkspace.ratePerSecond_;
  if (aBucket.isNew_) {
    // A process that starts does not know what its predecessor used, so it begins without burst.
    aBucket.isNew_ = false;
    aBucket.level_ = std::min(capacity, rate);
  } else {
    aBucket.level_ = std::min(capacity, aBucket.level_ + rate * Seconds(now - aBucket.filled_));
  }
  aBucket.filled_ = now;
}

void
QuotaShare::NoteDemand(const Workspace& aWorkspace, TokenCount aTokens)
{
  auto& bucket = buckets_[aWorkspace.id_];
  bucket.demand_ = DemandNow(bucket) + static_cast<double>(aTokens) / Seconds(kDemandAverage);
  bucket.demandAt_ = clock_.Now();
}

Duration
QuotaShare::Take(const Workspace& aWorkspace, TokenCount aTokens)
{
  if (aWorkspace.ratePerSecond_ <= 0) {
    return {};
  }
  auto& bucket = buckets_[aWorkspace.id_];
  Fill(aWorkspace, bucket);
  const double rate = std::max(RateShare(aWorkspace), 1.0);
  const double capacity = aWorkspace.burst_ * rate / aWorkspace.ratePerSecond_;
  const auto tokens = static_cast<double>(aTokens);
  // A request larger than this host's part of the burst runs from a full bucket and leaves a debt:
  // otherwise no host could ever serve it.
  const double needed = std::min(tokens, std::max(capacity, 1.0));
  if (bucket.level_ + 1e-6 < needed) {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>((needed - bucket.level_) / rate));
  }
  bucket.level_ -= tokens;
  return {};
}

void
QuotaShare::Return(const WorkspaceId& aWorkspace, TokenCount aTokens)
{
  if (const auto found = buckets_.find(aWorkspace); found != buckets_.end()) {
    found->second.level_ += static_cast<double>(aTokens);
  }
}

std::vector<WorkspaceDemand>
QuotaShare::Demand() const
{
  std::vector<WorkspaceDemand> result;
  for (const auto& [id, bucket] : buckets_) {
    result.push_back({ id, DemandNow(bucket) });
  }
  return result;
}

} // namespace laburnumweir
