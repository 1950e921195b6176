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

double
QuotaShare::Average::At(TimePoint aNow) const
{
  return perSecond_ * std::exp(-Seconds(aNow - computed_) / Seconds(time_));
}

void
QuotaShare::Average::Add(TimePoint aNow, double aTokens)
{
  perSecond_ = At(aNow) + aTokens / Seconds(time_);
  computed_ = aNow;
}

void
QuotaShare::History::Add(TimePoint aNow, double aPerSecond)
{
  if (samples_.empty() || aNow - samples_.back().first >= kShareSampling) {
    samples_.emplace_back(aNow, aPerSecond);
  }
  // The second one is kept as the newest that is old enough.
  while (samples_.size() > 1 && aNow - samples_[1].first >= kShareDelay) {
    samples_.pop_front();
  }
}

double
QuotaShare::History::Delayed(TimePoint aNow) const
{
  const auto end = std::find_if(samples_.begin(), samples_.end(), [&](const auto& aSample) {
    return aNow - aSample.first < kShareDelay;
  });
  if (end == samples_.begin()) {
    return 0;
  }
  const auto& [at, perSecond] = *std::prev(end);
  return perSecond * std::exp(-Seconds(aNow - at - kShareDelay) / Seconds(kDemandAverage));
}

void
QuotaShare::OnPeerDemand(const HostId& aPeer, std::span<const WorkspaceDemand> aDemand)
{
  const auto now = clock_.Now();
  // What was told before applies up to now; a bucket may otherwise not be filled for seconds.
  for (auto& [workspace, bucket] : buckets_) {
    if (bucket.filled_) {
      FillFleet(workspace, bucket);
    }
  }
  auto& peer = peers_[aPeer];
  peer.heard_ = now;
  peer.demand_.clear();
  for (const auto& demand : aDemand) {
    peer.demand_[demand.workspace_] = { demand.workspace_,
                                        std::max(0.0, demand.askedPerSecond_),
                                        std::max(0.0, demand.takenPerSecond_),
                                        std::max(0.0, demand.surgePerSecond_) };
  }
  std::erase_if(peers_,
                [now](const auto& aEntry) { return now - aEntry.second.heard_ > kPeerDemandLife; });
}

WorkspaceDemand
QuotaShare::PeerDemand(const WorkspaceId& aWorkspace) const
{
  const auto now = clock_.Now();
  WorkspaceDemand sum{ aWorkspace, 0, 0, 0 };
  for (const auto& [id, peer] : peers_) {
    const auto found = peer.demand_.find(aWorkspace);
    if (found != peer.demand_.end() && now - peer.heard_ < kPeerDemandLife) {
      sum.askedPerSecond_ += found->second.askedPerSecond_;
      sum.takenPerSecond_ += found->second.takenPerSecond_;
      sum.surgePerSecond_ += found->second.surgePerSecond_;
    }
  }
  return sum;
}

double
QuotaShare::SurgePerSecond(const WorkspaceId& aWorkspace) const
{
  const auto found = buckets_.find(aWorkspace);
  const double own = found == buckets_.end() ? 0 : found->second.surge_.At(clock_.Now());
  return own + PeerDemand(aWorkspace).surgePerSecond_;
}

double
QuotaShare::RateShare(const Workspace& aWorkspace) const
{
  const auto found = buckets_.find(aWorkspace.id_);
  const double own = found == buckets_.end() ? 0 : found->second.history_.Delayed(clock_.Now());
  const double all = own + PeerDemand(aWorkspace.id_).askedPerSecond_;
  if (all <= aWorkspace.ratePerSecond_) {
    return own + (aWorkspace.ratePerSecond_ - all) / static_cast<double>(hosts_);
  }
  return aWorkspace.ratePerSecond_ * own / all;
}

double
QuotaShare::Capacity(const Workspace& aWorkspace, double aShare) const
{
  return aWorkspace.burst_ *
         std::max(aShare / aWorkspace.ratePerSecond_, 1.0 / static_cast<double>(hosts_));
}

void
QuotaShare::FillFleet(const WorkspaceId& aWorkspace, Bucket& aBucket)
{
  const auto now = clock_.Now();
  const double elapsed = Seconds(now - aBucket.fleetFilled_.value_or(started_));
  const double taken = PeerDemand(aWorkspace).takenPerSecond_;
  aBucket.fleet_ =
    std::clamp(aBucket.fleet_ + (aBucket.rate_ - taken) * elapsed, -aBucket.burst_, aBucket.burst_);
  aBucket.fleetFilled_ = now;
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
  const double elapsed = Seconds(now - aBucket.filled_.value_or(started_));
  aBucket.own_ = std::clamp(aBucket.own_ + share * elapsed, -capacity, capacity);
  aBucket.filled_ = now;
}

void
QuotaShare::NoteDemand(const Workspace& aWorkspace, TokenCount aTokens)
{
  const auto now = clock_.Now();
  auto& bucket = buckets_[aWorkspace.id_];
  bucket.asked_.Add(now, static_cast<double>(aTokens));
  bucket.surge_.Add(now, static_cast<double>(aTokens));
  bucket.history_.Add(now, bucket.asked_.At(now));
}

QuotaDecision
QuotaShare::Take(const Workspace& aWorkspace, TokenCount aTokens)
{
  QuotaDecision decision;
  if (aWorkspace.ratePerSecond_ <= 0) {
    return decision;
  }
  auto& bucket = buckets_[aWorkspace.id_];
  Fill(aWorkspace, bucket);
  const auto tokens = static_cast<double>(aTokens);
  const double share = std::max(RateShare(aWorkspace), 1.0);
  const double unseen = std::max(0.0, SurgePerSecond(aWorkspace.id_) - aWorkspace.ratePerSecond_) *
                        Seconds(kUnseenTime);
  decision.isContended_ =
    bucket.fleet_ + kRoundingTokens < std::min(tokens, aWorkspace.burst_) + unseen;
  const bool isContended = decision.isContended_;
  decision.perSecond_ = isContended ? share : aWorkspace.ratePerSecond_;
  decision.level_ = isContended ? bucket.own_ : bucket.fleet_;
  const double capacity = isContended ? Capacity(aWorkspace, share) : aWorkspace.burst_;
  // A request larger than the bucket runs from a full one and leaves a debt: otherwise no host
  // could ever serve it.
  decision.needed_ = std::min(tokens, capacity);
  if (decision.level_ + kRoundingTokens < decision.needed_) {
    decision.isGranted_ = false;
    decision.wait_ = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>((decision.needed_ - decision.level_) / decision.perSecond_));
    return decision;
  }
  bucket.own_ -= tokens;
  bucket.fleet_ -= tokens;
  bucket.taken_.Add(clock_.Now(), tokens);
  return decision;
}

void
QuotaShare::Return(const WorkspaceId& aWorkspace, TokenCount aTokens)
{
  if (const auto found = buckets_.find(aWorkspace); found != buckets_.end()) {
    found->second.own_ += static_cast<double>(aTokens);
    found->second.fleet_ += static_cast<double>(aTokens);
  }
}

std::vector<WorkspaceDemand>
QuotaShare::Demand() const
{
  const auto now = clock_.Now();
  std::vector<WorkspaceDemand> result;
  for (const auto& [id, bucket] : buckets_) {
    result.push_back({ id, bucket.asked_.At(now), bucket.taken_.At(now), bucket.surge_.At(now) });
  }
  return result;
}

} // namespace laburnumweir
