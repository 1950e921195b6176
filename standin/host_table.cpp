/** @file host_table.cpp Entries of the stand-in host list, with lag and expiry. */
#include "standin/host_table.h"

namespace laburnumweir::standin {

HostTable::HostTable(std::chrono::nanoseconds aLag, std::chrono::nanoseconds aExpiry)
  : lag_(aLag)
  , expiry_(aExpiry)
{
}

HostTable::Update*
HostTable::Latest(const std::string& aId)
{
  const auto found = updates_.find(aId);
  return found == updates_.end() || found->second.empty() ? nullptr : &found->second.back();
}

void
HostTable::Put(const ListedHost& aHost, TimePoint aNow)
{
  const auto* latest = Latest(aHost.id_.Value());
  const bool isMarked = latest != nullptr && latest->isMarkedLeaving_;
  updates_[aHost.id_.Value()].push_back({ aNow, aNow, aHost, false, isMarked });
}

bool
HostTable::MarkLeaving(const std::string& aId, bool aLeaving, TimePoint aNow)
{
  const auto* latest = Latest(aId);
  if (latest == nullptr) {
    return false;
  }
  auto update = *latest;
  update.time_ = aNow;
  update.isMarkedLeaving_ = aLeaving;
  updates_[aId].push_back(std::move(update));
  return true;
}

bool
HostTable::Remove(const std::string& aId, TimePoint aNow)
{
  const auto* latest = Latest(aId);
  if (latest == nullptr) {
    return false;
  }
  auto update = *latest;
  update.time_ = aNow;
  update.isRemoved_ = true;
  update.isMarkedLeaving_ = false;
  updates_[aId].push_back(std::move(update));
  return true;
}

std::vector<ListedHost>
HostTable::List(TimePoint aNow)
{
  const auto asOf = aNow - lag_;
  std::vector<ListedHost> hosts;
  for (auto& [id, list] : updates_) {
    while (list.size() > 1 && list[1].time_ <= asOf) {
      list.pop_front();
    }
    const auto& update = list.front();
    if (update.time_ > asOf || update.isRemoved_ || asOf - update.refreshed_ > expiry_) {
      continue;
    }
    hosts.push_back(update.host_);
    hosts.back().isLeaving_ = update.host_.isLeaving_ || update.isMarkedLeaving_;
  }
  return hosts;
}

} // namespace laburnumweir::standin
