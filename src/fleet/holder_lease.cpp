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
  auto held = IsValid() ? std::move(heldSince_) : std::map<std::uint32_t, TimePoint>();
  heldSince_.clear();
  for (const auto partition : aMembership.partitions_) {
    const auto known = held.find(partition);
    heldSince_[partition] = known == held.end() ? now : known->second;
  }
  const bool isChanged =
    !isMember_ || generation_ != aMembership.generation_ || held.size() != heldSince_.size();
  isMember_ = true;
  sentAt_ = aSentAt;
  generation_ = aMembership.generation_;
  return isChanged;
}

void
HolderLease::OnMembershipLost()
{
  isMember_ = false;
  heldSince_.clear();
}

bool
HolderLease::MayOrder(std::uint32_t aPartition) const
{
  const auto found = heldSince_.find(aPartition);
  return IsValid() && found != heldSince_.end() && clock_.Now() - found->second >= settleTime_;
}

std::optional<TimePoint>
HolderLease::HeldSince(std::uint32_t aPartition) const
{
  const auto found = heldSince_.find(aPartition);
  return found == heldSince_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::uint32_t>
HolderLease::Partitions() const
{
  std::vector<std::uint32_t> result;
  if (IsValid()) {
    for (const auto& [partition, since] : heldSince_) {
      result.push_back(partition);
    }
  }
  return result;
}

} // namespace laburnumweir
