/** @file usage_counter.cpp Counts the requests that began to run at this host. */
#include "fleet/usage_counter.h"

#include "table/usage_const.h"

#include <algorithm>

namespace laburnumweir {

void
UsageCounter::Record(const WorkspaceId& aWorkspace, WallTime aNow)
{
  const auto window = scale_.WindowAt(aNow);
  if (!windows_.contains(window)) {
    Expire(aNow);
  }
  auto& counts = windows_[window];
  if (counts.size() < kMaxUsageWorkspaces || counts.contains(aWorkspace)) {
    ++counts[aWorkspace].value_;
  }
}

void
UsageCounter::Raise(std::span<const UsageCell> aCells, WallTime aNow)
{
  for (const auto& cell : aCells) {
    auto& counts = windows_[cell.window_];
    if (counts.size() < kMaxUsageWorkspaces || counts.contains(cell.workspace_)) {
      auto& value = counts[cell.workspace_].value_;
      value = std::max(value, cell.count_);
    }
  }
  Expire(aNow);
}

void
UsageCounter::Expire(WallTime aNow)
{
  const auto current = scale_.WindowAt(aNow);
  const auto oldest = current - kUsageMaxAge / scale_.Length() - kUsageSpareWindows;
  std::erase_if(windows_, [&](const auto& aWindow) {
    return aWindow.first < oldest || aWindow.first > current + kUsageSpareWindows;
  });
}

std::vector<UsageCell>
UsageCounter::Counts(WindowId aFirst) const
{
  std::vector<UsageCell> cells;
  for (auto window = windows_.lower_bound(aFirst); window != windows_.end(); ++window) {
    for (const auto& [workspace, count] : window->second) {
      cells.push_back({ window->first, workspace, count.value_ });
    }
  }
  return cells;
}

std::vector<UsageCell>
UsageCounter::Unconfirmed(WindowId aFirst) const
{
  std::vector<UsageCell> cells;
  for (auto window = windows_.lower_bound(aFirst); window != windows_.end(); ++window) {
    for (const auto& [workspace, count] : window->second) {
      if (count.value_ > count.confirmed_) {
        cells.push_back({ window->first, workspace, count.value_ });
      }
    }
  }
  return cells;
}

void
UsageCounter::Confirm(std::span<const UsageCell> aCells)
{
  for (const auto& cell : aCells) {
    const auto window = windows_.find(cell.window_);
    if (window == windows_.end()) {
      continue;
    }
    const auto count = window->second.find(cell.workspace_);
    if (count != window->second.end()) {
      count->second.confirmed_ = std::max(count->second.confirmed_, cell.count_);
    }
  }
}

void
UsageCounter::ForgetConfirmed()
{
  for (auto& [window, counts] : windows_) {
    for (auto& [workspace, count] : counts) {
      count.confirmed_ = 0;
    }
  }
}

} // namespace laburnumweir
