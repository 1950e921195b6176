/** @file holder_lease.cpp Lease of this host on the partitions of engines that it holds. */
#include "fleet/holder_lease.h"

#include "core/hash_func.h"

#include <algorithm>

namespace laburnumweir {

namespace {

// Orders are no longer sent this long before the lease ends, as an order arrives some milliseconds
// after the lease was checked.
constexpr Duration kOrderMargin = std::chrono::milliseconds(500);
// An era outweighs all generations. A sum stays ordered even if generations exceed these bits,
// since a restore sets them back by few.
constexpr int kEraShift = 32;

} // namespace

std::uint32_t
PartitionOf(const UpstreamId& aEngine, std::uint32_t aPartitions)
{
  return static_cast<std::uint32_t>(RendezvousWeight("engine", aEngine.Value()) % aPartitions);
}

bool
HolderLease::IsValid() const
{
  return isMember_ && clock_.Now() - sentAt_ < timeout_ - kOrderMargin;
}

bool
HolderLease::OnMembership(TimePoint aSentAt, const GroupMembership& aMembership)
{
  if (aMembership.era_ < era_) {
    return false;
  }
  OnEra(aMembership.era_);
  const auto now = clock_.Now();
  // The previous holder may have renewed its membership until now. After a restore, the copy may
  // also assign a partition before its holder knows that it lost it; memberships of the era before
  // were granted before the restore.
  const auto settledAt = now + std::max(settleTime_, timeout_);
  const auto token = OrderedGeneration(era_, aMembership.generation_);
  // After a gap in the lease another member may have held the partitions in between.
  const auto before = IsValid() ? std::move(held_) : std::map<std::uint32_t, HeldPartition>();
  held_.clear();
  for (const auto partition : aMembership.partitions_) {
    const auto known = before.find(partition);
    auto& held = held_[partition];
    held =
      known == before.end() ? HeldPartition{ now, settledAt, token, std::nullopt } : known->second;
    if (held.fencedIn_ && aMembership.generation_ > *held.fencedIn_) {
      held.token_ = token;
      held.fencedIn_.reset();
    }
  }
  const bool isChanged =
    !isMember_ || generation_ != aMembership.generation_ || before.size() != held_.size();
  isMember_ = true;
  sentAt_ = aSentAt;
  generation_ = aMembership.generation_;
  return isChanged;
}

void
HolderLease::SetSettleTime(Duration aSettleTime)
{
  settleTime_ = aSettleTime;
  // A longer time is safe at once, since it only delays orders. A shorter one is used for the
  // partitions that this host gets from now on: when the previous holder stops depends on timeout_,
  // which each host awaits whatever its settings are.
  for (auto& [partition, held] : held_) {
    held.settledAt_ = std::max(held.settledAt_, held.since_ + settleTime_);
  }
}

void
HolderLease::OnMembershipLost()
{
  isMember_ = false;
  held_.clear();
}

bool
HolderLease::MayOrder(std::uint32_t aPartition) const
{
  const auto found = held_.find(aPartition);
  return IsValid() && found != held_.end() && clock_.Now() >= found->second.settledAt_;
}

std::optional<TimePoint>
HolderLease::HeldSince(std::uint32_t aPartition) const
{
  const auto found = held_.find(aPartition);
  return found == held_.end() ? std::nullopt : std::optional(found->second.since_);
}

std::optional<std::uint64_t>
HolderLease::TokenOf(std::uint32_t aPartition) const
{
  const auto found = held_.find(aPartition);
  return found == held_.end() ? std::nullopt : std::optional(found->second.token_);
}

void
HolderLease::OnEra(StoreEra aEra)
{
  if (aEra <= era_) {
    return;
  }
  era_ = aEra;
  generation_ = 0;
  // In the generations that the copy lacks, partitions of this host may have got another holder.
  OnMembershipLost();
}

std::uint64_t
HolderLease::OrderedGeneration(StoreEra aEra, std::uint64_t aGeneration)
{
  return (aEra << kEraShift) + aGeneration;
}

void
HolderLease::OnFenced(std::uint32_t aPartition, std::uint64_t aToken)
{
  const auto found = held_.find(aPartition);
  if (found != held_.end() && found->second.token_ == aToken) {
    found->second.fencedIn_ = generation_;
  }
}

std::vector<std::uint32_t>
HolderLease::Partitions() const
{
  std::vector<std::uint32_t> result;
  if (IsValid()) {
    for (const auto& [partition, held] : held_) {
      result.push_back(partition);
    }
  }
  return result;
}

} // namespace laburnumweir
