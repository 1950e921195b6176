/** @file holder_lease.cpp Which engines this host may give orders to. */
#include "fleet/holder_lease.h"

#include "core/hash_func.h"

namespace laburnumweir {

namespace {

// An order is on its way for some milliseconds after the check.
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
  return isMember_ && clock_.Now() - asked_ < life_ - kOrderMargin;
}

bool
HolderLease::OnMembership(TimePoint aAsked, const GroupMembership& aMembership)
{
  const auto now = clock_.Now();
  // After a gap another member may have held the partitions meanwhile.
  auto held = IsValid() ? std::move(heldSince_) : std::map<std::uint32_t, TimePoint>();
  heldSince_.clear();
  for (const auto partition : aMembership.partitions_) {
    const auto known = held.find(partition);
    heldSince_[partition] = known == held.end() ? now : known->second;
  }
  const bool isChanged =
    !isMember_ || generation_ != aMembership.generation_ || held.size() != heldSince_.size();
  isMember_ = true;
  asked_ = aAsked;
  generation_ = aMembership.generation_;
  return isChanged;
}

void
HolderLease::OnLost()
{
  isMember_ = false;
  heldSince_.clear();
}

bool
HolderLease::MayOrder(std::uint32_t aPartition) const
{
  const auto found = heldSince_.find(aPartition);
  return IsValid() && found != heldSince_.end() && clock_.Now() - found->second >= settle_;
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
