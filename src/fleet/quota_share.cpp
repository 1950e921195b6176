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

/**
 * Returns by how much an average of demand at a given rate may exceed that rate by chance.
 * @param aRequestTokens tokens of a request; requests are assumed to arrive independently.
 */
double
DemandMargin(double aRate, double aRequestTokens, Duration aTimeConstant)
{
  return kDemandDeviations * std::sqrt(aRate * aRequestTokens / (2 * Seconds(aTimeConstant)));
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
    if (bucket.computedAt_) {
      Fill(bucket, PeerDemand(workspace));
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
QuotaShare::RateShare(const Bucket& aBucket, const WorkspaceDemand& aPeers) const
{
  // Unused tokens raise the rate too, by no more than a few requests: with few requests in all, the
  // tokens of a host wait there for its next one, and the others have to grant them.
  const double tokens =
    std::min(aBucket.fleetTokens_, kUnusedRequestCount * aBucket.requestTokens_);
  const double rate =
    std::max(kMinRateInDebt * aBucket.rate_, aBucket.rate_ + tokens / Seconds(kQuotaBalanceTime));
  const double ownPerSecond = aBucket.history_.Delayed(clock_.Now());
  const double totalPerSecond = ownPerSecond + aPeers.requestedPerSecond_;
  if (totalPerSecond <= rate) {
    return ownPerSecond + (rate - totalPerSecond) / static_cast<double>(hostCount_);
  }
  return rate * ownPerSecond / totalPerSecond;
}

double
QuotaShare::BurstFraction(const Bucket& aBucket, double aShare) const
{
  return std::max(aShare / aBucket.rate_, 1.0 / static_cast<double>(hostCount_));
}

double
QuotaShare::UnreportedTokens(const Bucket& aBucket, const WorkspaceDemand& aPeers) const
{
  const double surge = aBucket.surge_.At(clock_.Now()) + aPeers.recentPerSecond_;
  const double margin = DemandMargin(aBucket.rate_, aBucket.requestTokens_, kSurgeTimeConstant);
  return std::max(0.0, surge - aBucket.rate_ - margin) * Seconds(kUnreportedGrantTime);
}

bool
QuotaShare::IsContended(const Bucket& aBucket, const WorkspaceDemand& aPeers, double aTokens) const
{
  return aBucket.fleetTokens_ + kRoundingTokens <
         std::min(aTokens, aBucket.burst_) + UnreportedTokens(aBucket, aPeers);
}

void
QuotaShare::Start(Bucket& aBucket, const WorkspaceDemand& aPeers)
{
  // What the peers granted before is not known here.
  const double margin = DemandMargin(aBucket.rate_, aBucket.requestTokens_, kDemandTimeConstant);
  aBucket.fleetTokens_ =
    aPeers.requestedPerSecond_ > aBucket.rate_ + margin
      ? 0
      : std::min(aBucket.burst_, aBucket.rate_ * Seconds(clock_.Now() - startedAt_));
  constexpr std::uint64_t kSteps = 1U << 20U;
  const double random = static_cast<double>(random_.Below(kSteps)) / kSteps;
  const double capacity = aBucket.burst_ * BurstFraction(aBucket, RateShare(aBucket, aPeers));
  aBucket.ownTokens_ = -random * std::max(0.0, aBucket.requestTokens_ - capacity);
}

void
QuotaShare::Fill(Bucket& aBucket, const WorkspaceDemand& aPeers)
{
  const auto now = clock_.Now();
  const double elapsed = Seconds(now - aBucket.computedAt_.value_or(now));
  aBucket.computedAt_ = now;
  aBucket.fleetTokens_ =
    std::clamp(aBucket.fleetTokens_ + (aBucket.rate_ - aPeers.grantedPerSecond_) * elapsed,
               -aBucket.burst_ - aBucket.rate_ * 2 * Seconds(kQuotaBalanceTime),
               aBucket.burst_);
  const bool wasContended = aBucket.isContended_;
  aBucket.isContended_ = IsContended(aBucket, aPeers, aBucket.requestTokens_);
  if (!aBucket.isContended_) {
    return;
  }
  const double share = RateShare(aBucket, aPeers);
  const double fraction = BurstFraction(aBucket, share);
  const double capacity = aBucket.burst_ * fraction;
  if (wasContended) {
    aBucket.ownTokens_ = std::min(aBucket.ownTokens_ + share * elapsed,
                                  std::max(capacity, kSavedRequestCount * aBucket.requestTokens_));
    return;
  }
  // Starts with this host's share of what the fleet has left. What the host saved or owes within
  // the size of a request is kept, since a share smaller than a request carries it over.
  const double tokensLeft = aBucket.fleetTokens_ - UnreportedTokens(aBucket, aPeers);
  const double kept = std::max(0.0, aBucket.requestTokens_ - capacity);
  aBucket.ownTokens_ = std::clamp(tokensLeft * fraction, -capacity, capacity) +
                       std::clamp(aBucket.ownTokens_, -kept, kept);
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
  const auto tokens = static_cast<double>(aTokens);
  const auto peers = PeerDemand(aWorkspace.id_);
  bucket.requestTokens_ = tokens;
  bucket.rate_ = aWorkspace.ratePerSecond_;
  bucket.burst_ = aWorkspace.burst_;
  if (!bucket.computedAt_) {
    Start(bucket, peers);
  }
  Fill(bucket, peers);
  const double share = std::max(RateShare(bucket, peers), 1.0);
  const double ownCapacity = bucket.burst_ * BurstFraction(bucket, share);
  decision.isContended_ = bucket.isContended_;
  const bool isContended = decision.isContended_;
  decision.perSecond_ = isContended ? share : aWorkspace.ratePerSecond_;
  decision.level_ = isContended ? bucket.ownTokens_ : bucket.fleetTokens_;
  const double capacity = isContended ? ownCapacity : aWorkspace.burst_;
  // A request larger than the bucket is granted from a full bucket and leaves a negative level;
  // otherwise no host could ever serve it.
  decision.needed_ = std::min(tokens, capacity);
  if (decision.level_ + kRoundingTokens < decision.needed_) {
    decision.isGranted_ = false;
    decision.wait_ = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>((decision.needed_ - decision.level_) / decision.perSecond_));
    return decision;
  }
  if (isContended || bucket.ownTokens_ >= ownCapacity) {
    bucket.ownTokens_ -= tokens;
  }
  bucket.fleetTokens_ -= tokens;
  bucket.granted_.Add(clock_.Now(), tokens);
  return decision;
}

void
QuotaShare::Return(const WorkspaceId& aWorkspace, TokenCount aTokens)
{
  if (const auto found = buckets_.find(aWorkspace); found != buckets_.end()) {
    // Grants by the bucket of the fleet alone are not taken from the host's own one.
    if (found->second.isContended_) {
      found->second.ownTokens_ += static_cast<double>(aTokens);
    }
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
