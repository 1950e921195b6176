/** @file holder_lease.cpp Lease of this host on the partitions of engines that it holds. */
#include "fleet/holder_lease.h"

#include "core/hash_func.h"

namespace laburnumweir {

namespace {

// Orders are no longer sent this long before the lease ends, as an order arrives some milliseconds
// after the lease was checked.
constexpr Duration kOrderMargin = std::chrono::milliseconds(500);

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
  const auto now = clock_.Now();
  // After a gap in the lease another member may have held the partitions in between.
  const auto before = IsValid() ? std::move(held_) : std::map<std::uint32_t, HeldPartition>();
  held_.clear();
  for (const auto partition : aMembership.partitions_) {
    const auto known = before.find(partition);
    auto& held = held_[partition];
    held = known == before.end() ? HeldPartition{ now, aMembership.generation_, std::nullopt }
                                 : known->second;
    if (held.fencedIn_ && aMembership.generation_ > *held.fencedIn_) {
      held.token_ = aMembership.generation_;
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
HolderLease::OnMembershipLost()
{
  isMember_ = false;
  held_.clear();
}

bool
HolderLease::MayOrder(std::uint32_t aPartition) const
{
  const auto found = held_.find(aPartition);
  return IsValid() && found != held_.end() && clock_.Now() - found->second.since_ >= settleTime_;
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
