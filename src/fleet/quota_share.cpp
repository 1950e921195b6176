/** @file quota_share.cpp Applies the quotas of workspaces at this host, in agreement with its
 * peers.
 */
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

double
QuotaShare::Average::At(TimePoint aNow) const
{
  return perSecond_ * std::exp(-Seconds(aNow - computedAt_) / Seconds(timeConstant_));
}

void
QuotaShare::Average::Add(TimePoint aNow, double aTokens)
{
  perSecond_ = At(aNow) + aTokens / Seconds(timeConstant_);
  computedAt_ = aNow;
}

void
QuotaShare::History::Add(TimePoint aNow, double aPerSecond)
{
  if (samples_.empty() || aNow - samples_.back().first >= kDemandSampleInterval) {
    samples_.emplace_back(aNow, aPerSecond);
  } else {
    // Counts the request in the last sample. Otherwise it would be missing until the next one,
    // which a host with few requests takes seconds later.
    auto& [time, perSecond] = samples_.back();
    perSecond = aPerSecond * std::exp(Seconds(aNow - time) / Seconds(kDemandTimeConstant));
  }
  // Keeps one sample that is at least kPeerDemandDelay old, as Delayed() reads the newest such
  // sample.
  while (samples_.size() > 1 && aNow - samples_[1].first >= kPeerDemandDelay) {
    samples_.pop_front();
  }
}

double
QuotaShare::History::Delayed(TimePoint aNow) const
{
  const auto end = std::find_if(samples_.begin(), samples_.end(), [&](const auto& aSample) {
    return aNow - aSample.first < kPeerDemandDelay;
  });
  if (end == samples_.begin()) {
    return 0;
  }
  const auto& [time, perSecond] = *std::prev(end);
  return perSecond *
         std::exp(-Seconds(aNow - time - kPeerDemandDelay) / Seconds(kDemandTimeConstant));
}

void
QuotaShare::OnPeerDemand(const HostId& aPeer, std::span<const WorkspaceDemand> aDemand)
{
  const auto now = clock_.Now();
  // Fills the buckets up to now at the rates of the previous reports. Otherwise the new rates would
  // be applied to the whole time since a bucket was last filled, which may be seconds ago.
  for (auto& [workspace, bucket] : buckets_) {
    if (bucket.ownComputedAt_) {
      FillFleet(workspace, bucket);
    }
  }
  auto& peer = peers_[aPeer];
  peer.receivedAt_ = now;
  peer.demand_.clear();
  for (const auto& demand : aDemand) {
    peer.demand_[demand.workspace_] = { demand.workspace_,
                                        std::max(0.0, demand.requestedPerSecond_),
                                        std::max(0.0, demand.grantedPerSecond_),
                                        std::max(0.0, demand.recentPerSecond_) };
  }
  std::erase_if(
    peers_, [now](const auto& aEntry) { return now - aEntry.second.receivedAt_ > kPeerDemandTtl; });
}

WorkspaceDemand
QuotaShare::PeerDemand(const WorkspaceId& aWorkspace) const
{
  const auto now = clock_.Now();
  WorkspaceDemand sum{ aWorkspace, 0, 0, 0 };
  for (const auto& [id, peer] : peers_) {
    const auto found = peer.demand_.find(aWorkspace);
    if (found != peer.demand_.end() && now - peer.receivedAt_ < kPeerDemandTtl) {
      sum.requestedPerSecond_ += found->second.requestedPerSecond_;
      sum.grantedPerSecond_ += found->second.grantedPerSecond_;
      sum.recentPerSecond_ += found->second.recentPerSecond_;
    }
  }
  return sum;
}

double
QuotaShare::SurgePerSecond(const WorkspaceId& aWorkspace) const
{
  const auto found = buckets_.find(aWorkspace);
  const double ownPerSecond = found == buckets_.end() ? 0 : found->second.surge_.At(clock_.Now());
  return ownPerSecond + PeerDemand(aWorkspace).recentPerSecond_;
}

double
QuotaShare::RateShare(const Workspace& aWorkspace) const
{
  const auto found = buckets_.find(aWorkspace.id_);
  const double ownPerSecond =
    found == buckets_.end() ? 0 : found->second.history_.Delayed(clock_.Now());
  const double totalPerSecond = ownPerSecond + PeerDemand(aWorkspace.id_).requestedPerSecond_;
  if (totalPerSecond <= aWorkspace.ratePerSecond_) {
    return ownPerSecond +
           (aWorkspace.ratePerSecond_ - totalPerSecond) / static_cast<double>(hostCount_);
  }
  return aWorkspace.ratePerSecond_ * ownPerSecond / totalPerSecond;
}

double
QuotaShare::Capacity(const Workspace& aWorkspace, double aShare) const
{
  return aWorkspace.burst_ *
         std::max(aShare / aWorkspace.ratePerSecond_, 1.0 / static_cast<double>(hostCount_));
}

void
QuotaShare::FillFleet(const WorkspaceId& aWorkspace, Bucket& aBucket)
{
  const auto now = clock_.Now();
  const double elapsed = Seconds(now - aBucket.fleetComputedAt_.value_or(startedAt_));
  const double grantedPerSecond = PeerDemand(aWorkspace).grantedPerSecond_;
  aBucket.fleetTokens_ =
    std::clamp(aBucket.fleetTokens_ + (aBucket.rate_ - grantedPerSecond) * elapsed,
               -aBucket.burst_,
               aBucket.burst_);
  aBucket.fleetComputedAt_ = now;
}

void
QuotaShare::Fill(const Workspace& aWorkspace, Bucket& aBucket)
{
  aBucket.rate_ = aWorkspace.ratePerSecond_;
  aBucket.burst_ = aWorkspace.burst_;
  FillFleet(aWorkspace.id_, aBucket);
  const auto now = clock_.Now();
  const double share = RateShare(aWorkspace);
  const double capacity = Capacity(aWorkspace, share);
  const double elapsed = Seconds(now - aBucket.ownComputedAt_.value_or(startedAt_));
  aBucket.ownTokens_ = std::clamp(aBucket.ownTokens_ + share * elapsed, -capacity, capacity);
  aBucket.ownComputedAt_ = now;
}

void
QuotaShare::RecordDemand(const Workspace& aWorkspace, TokenCount aTokens)
{
  const auto now = clock_.Now();
  auto& bucket = buckets_[aWorkspace.id_];
  bucket.requested_.Add(now, static_cast<double>(aTokens));
  bucket.surge_.Add(now, static_cast<double>(aTokens));
  bucket.history_.Add(now, bucket.requested_.At(now));
}

QuotaDecision
QuotaShare::TryTake(const Workspace& aWorkspace, TokenCount aTokens)
{
  QuotaDecision decision;
  if (aWorkspace.ratePerSecond_ <= 0) {
    return decision;
  }
  auto& bucket = buckets_[aWorkspace.id_];
  Fill(aWorkspace, bucket);
  const auto tokens = static_cast<double>(aTokens);
  const double share = std::max(RateShare(aWorkspace), 1.0);
  const double unreportedTokens =
    std::max(0.0, SurgePerSecond(aWorkspace.id_) - aWorkspace.ratePerSecond_) *
    Seconds(kUnreportedGrantTime);
  decision.isContended_ =
    bucket.fleetTokens_ + kRoundingTokens < std::min(tokens, aWorkspace.burst_) + unreportedTokens;
  const bool isContended = decision.isContended_;
  decision.perSecond_ = isContended ? share : aWorkspace.ratePerSecond_;
  decision.level_ = isContended ? bucket.ownTokens_ : bucket.fleetTokens_;
  const double capacity = isContended ? Capacity(aWorkspace, share) : aWorkspace.burst_;
  // A request larger than the bucket is granted from a full bucket and leaves a negative level;
  // otherwise no host could ever serve it.
  decision.needed_ = std::min(tokens, capacity);
  if (decision.level_ + kRoundingTokens < decision.needed_) {
    decision.isGranted_ = false;
    decision.wait_ = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>((decision.needed_ - decision.level_) / decision.perSecond_));
    return decision;
  }
  bucket.ownTokens_ -= tokens;
  bucket.fleetTokens_ -= tokens;
  bucket.granted_.Add(clock_.Now(), tokens);
  return decision;
}

void
QuotaShare::Return(const WorkspaceId& aWorkspace, TokenCount aTokens)
{
  if (const auto found = buckets_.find(aWorkspace); found != buckets_.end()) {
    found->second.ownTokens_ += static_cast<double>(aTokens);
    found->second.fleetTokens_ += static_cast<double>(aTokens);
  }
}

std::vector<WorkspaceDemand>
QuotaShare::Demand() const
{
  const auto now = clock_.Now();
  std::vector<WorkspaceDemand> result;
  for (const auto& [id, bucket] : buckets_) {
    result.push_back(
      { id, bucket.requested_.At(now), bucket.granted_.At(now), bucket.surge_.At(now) });
  }
  return result;
}

} // namespace laburnumweir
