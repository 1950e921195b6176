/** @file count_table.cpp Load reports of the other hosts, received from peers and store readers. */
#include "fleet/count_table.h"

#include "table/fleet_const.h"

#include <algorithm>

namespace laburnumweir {

/** Sum of load reports. */
class HostLoadTable::Sum
{
public:
  explicit Sum(TimePoint aNow)
    : now_(aNow)
  {
  }

  /** @param aAge time since the report was received. */
  void Add(const HostLoad& aCounts, Duration aAge = Duration::zero())
  {
    for (const auto& demand : aCounts.demand_) {
      auto& sum = demand_[demand.workspace_];
      sum.requestedPerSecond_ += demand.requestedPerSecond_;
      sum.grantedPerSecond_ += demand.grantedPerSecond_;
      sum.recentPerSecond_ += demand.recentPerSecond_;
    }
    for (const auto& load : aCounts.load_) {
      auto& sum = load_[load.upstream_];
      sum.running_ += load.running_;
      sum.requestLimit_ = LowerLimit(sum.requestLimit_, load.requestLimit_);
    }
    MergeConfig(aCounts.config_);
    if (aCounts.restore_) {
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(aAge);
      MergeRestore(StoreRestore{ aCounts.restore_->era_, aCounts.restore_->age_ + age });
    }
  }
  /** Adds a received report unless it has expired. Running requests expire sooner than demand,
   * for which quota stays reserved while a peer is silent. */
  void Add(const Entry& aEntry)
  {
    const auto age = now_ - aEntry.receivedAt_;
    if (age < kPeerLoadTtl) {
      Add(aEntry.counts_, age);
    } else if (age < kPeerDemandTtl) {
      Add(HostLoad{ aEntry.counts_.demand_, {} });
    }
  }
  /** Raises each value to that of another sum if that is higher. */
  void MergeMaximum(const Sum& aOther)
  {
    for (const auto& [workspace, demand] : aOther.demand_) {
      auto& sum = demand_[workspace];
      sum.requestedPerSecond_ = std::max(sum.requestedPerSecond_, demand.requestedPerSecond_);
      sum.grantedPerSecond_ = std::max(sum.grantedPerSecond_, demand.grantedPerSecond_);
      sum.recentPerSecond_ = std::max(sum.recentPerSecond_, demand.recentPerSecond_);
    }
    for (const auto& [upstream, load] : aOther.load_) {
      auto& sum = load_[upstream];
      sum.running_ = std::max(sum.running_, load.running_);
      sum.requestLimit_ = LowerLimit(sum.requestLimit_, load.requestLimit_);
    }
    MergeConfig(aOther.config_);
    MergeRestore(aOther.restore_);
  }
  HostLoad Result() const
  {
    HostLoad counts;
    counts.config_ = config_;
    counts.restore_ = restore_;
    counts.demand_.reserve(demand_.size());
    for (const auto& [workspace, demand] : demand_) {
      counts.demand_.push_back({ workspace,
                                 demand.requestedPerSecond_,
                                 demand.grantedPerSecond_,
                                 demand.recentPerSecond_ });
    }
    counts.load_.reserve(load_.size());
    for (const auto& [upstream, load] : load_) {
      counts.load_.push_back({ upstream, load.running_, load.requestLimit_ });
    }
    return counts;
  }

private:
  /** Keeps the newer configuration; of two equal ones, the one that was read earlier. */
  void MergeConfig(const ConfigInForce& aOther)
  {
    if (aOther.version_ > config_.version_ ||
        (aOther.version_ == config_.version_ && aOther.next_ < config_.next_)) {
      config_ = aOther;
    }
  }
  /** Keeps the later restore, as the first host saw it. */
  void MergeRestore(const std::optional<StoreRestore>& aOther)
  {
    if (aOther && (!restore_ || std::pair(aOther->era_, aOther->age_) >
                                  std::pair(restore_->era_, restore_->age_))) {
      restore_ = aOther;
    }
  }
  static std::optional<double> LowerLimit(std::optional<double> aLeft, std::optional<double> aRight)
  {
    return aLeft && aRight ? std::min(aLeft, aRight) : aLeft ? aLeft : aRight;
  }

  TimePoint now_;
  std::map<WorkspaceId, WorkspaceDemand> demand_;
  std::map<UpstreamId, UpstreamLoad> load_;
  ConfigInForce config_;
  std::optional<StoreRestore> restore_;
};

void
HostLoadTable::OnPeerLoad(const HostId& aPeer, HostLoad aCounts, bool aIsQuerying)
{
  peers_[aPeer] = { clock_.Now(), std::move(aCounts), aIsQuerying };
}

std::optional<bool>
HostLoadTable::IsClient(const HostId& aPeer) const
{
  const auto found = peers_.find(aPeer);
  if (found == peers_.end() || clock_.Now() - found->second.receivedAt_ >= kPeerLoadTtl) {
    return std::nullopt;
  }
  return found->second.isQuerying_;
}

void
HostLoadTable::OnRelayedTotal(HostLoad aCounts)
{
  others_ = Entry{ clock_.Now(), std::move(aCounts), false };
}

void
HostLoadTable::Expire()
{
  const auto oldest = clock_.Now() - std::max(kPeerLoadTtl, kPeerDemandTtl);
  std::erase_if(peers_, [oldest](const auto& aPeer) { return aPeer.second.receivedAt_ < oldest; });
  if (others_ && others_->receivedAt_ < oldest) {
    others_.reset();
  }
}

HostLoad
HostLoadTable::SumOfClients(const HostLoad& aOwn) const
{
  Sum sum(clock_.Now());
  sum.Add(aOwn);
  for (const auto& [id, entry] : peers_) {
    if (entry.isQuerying_) {
      sum.Add(entry);
    }
  }
  return sum.Result();
}

HostLoad
HostLoadTable::SumWithout(const HostId& aPeer, const HostLoad& aOwn) const
{
  Sum sum(clock_.Now());
  sum.Add(aOwn);
  for (const auto& [id, entry] : peers_) {
    if (id != aPeer) {
      sum.Add(entry);
    }
  }
  return sum.Result();
}

HostLoad
HostLoadTable::TotalOfOthers() const
{
  Sum sum(clock_.Now());
  for (const auto& [id, entry] : peers_) {
    sum.Add(entry);
  }
  if (others_) {
    Sum fromReader(clock_.Now());
    fromReader.Add(*others_);
    sum.MergeMaximum(fromReader);
  }
  return sum.Result();
}

} // namespace laburnumweir
