/** @file quarantine_service.cpp Keeps quarantines in the store for hosts that start later. */
#include "gateway/quarantine_service.h"

#include "logging/logging_func.h"
#include "table/fleet_const.h"
#include "table/quarantine_const.h"

#include <algorithm>
#include <utility>

namespace laburnumweir {

using std::chrono::milliseconds;

QuarantineService::QuarantineService(FleetStore& aStore,
                                     Quarantine& aQuarantine,
                                     const Clock& aClock,
                                     Scheduler& aScheduler,
                                     std::function<bool()> aUpdatesRecords)
  : store_(aStore)
  , quarantine_(aQuarantine)
  , clock_(aClock)
  , scheduler_(aScheduler)
  , updatesRecords_(std::move(aUpdatesRecords))
{
}

void
QuarantineService::Start()
{
  RepeatWhileAlive(scheduler_, kGossipInterval, weak_from_this(), [this] {
    QueueChanges();
    WriteNext();
  });
}

void
QuarantineService::OnStored(std::span<const QuarantineRecord> aRecords)
{
  if (std::exchange(hasReadRecords_, true)) {
    return;
  }
  QuarantineReport report;
  for (const auto& record : aRecords) {
    const auto left = std::chrono::duration_cast<milliseconds>(record.until_ - clock_.WallNow());
    report.entries_.push_back(
      { record.contents_,
        milliseconds(0),
        std::min<milliseconds>(left, std::chrono::duration_cast<milliseconds>(kQuarantineTime)) });
  }
  quarantine_.Merge(report);
}

WallTime
QuarantineService::ToWallTime(TimePoint aTime) const
{
  return clock_.WallNow() + std::chrono::duration_cast<WallTime::duration>(aTime - clock_.Now());
}

void
QuarantineService::WriteAll()
{
  QueueChanges();
  if (!updatesRecords_()) {
    return;
  }
  for (const auto& [contents, since] : ended_) {
    unwritten_[contents] = std::nullopt;
  }
  for (const auto& entry : quarantine_.Report().entries_) {
    unwritten_[entry.contents_] = ToWallTime(clock_.Now() + entry.left_);
  }
}

void
QuarantineService::QueueChanges()
{
  const auto now = clock_.Now();
  std::erase_if(ended_, [&](const auto& aItem) { return now - aItem.second >= kQuarantineTime; });
  for (const auto& change : quarantine_.TakeChanges()) {
    const bool isStart = change.before_.empty();
    if (!isStart) {
      ended_[change.before_] = now;
    }
    ended_.erase(change.after_);
    if (!isStart && !updatesRecords_()) {
      continue;
    }
    if (!isStart) {
      unwritten_[change.before_] = std::nullopt;
    }
    if (!change.after_.empty()) {
      unwritten_[change.after_] = ToWallTime(change.until_);
    }
  }
  LimitEnds();
}

void
QuarantineService::LimitEnds()
{
  std::size_t contents = 0;
  for (const auto& [ended, since] : ended_) {
    contents += ended.size();
  }
  while (contents > kMaxEndedContents) {
    const auto oldest =
      std::min_element(ended_.begin(), ended_.end(), [](const auto& aOne, const auto& aOther) {
        return aOne.second < aOther.second;
      });
    contents -= oldest->first.size();
    ended_.erase(oldest);
  }
  contents = 0;
  std::erase_if(unwritten_, [&](const auto& aItem) {
    contents += aItem.second ? 0 : aItem.first.size();
    return !aItem.second && contents > kMaxEndedContents;
  });
}

void
QuarantineService::WriteNext()
{
  if (isWriting_ || unwritten_.empty()) {
    return;
  }
  isWriting_ = true;
  const auto [contents, until] = *unwritten_.begin();
  auto callback =
    [weak = weak_from_this(), contents = contents, until = until](std::error_code aError) {
      if (const auto self = weak.lock()) {
        self->OnWritten(contents, until, aError);
      }
    };
  if (until) {
    store_.WriteQuarantine({ contents, *until }, std::move(callback));
  } else {
    store_.RemoveQuarantine(contents, std::move(callback));
  }
}

void
QuarantineService::OnWritten(const std::vector<ContentId>& aContents,
                             std::optional<WallTime> aUntil,
                             std::error_code aError)
{
  if (aError) {
    LogEvent(LogLevel::Warn, "quarantine_not_written", { { "error", aError.message() } });
    scheduler_.After(kQuarantineWriteRetryDelay, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->isWriting_ = false;
      }
    });
    return;
  }
  isWriting_ = false;
  const auto written = unwritten_.find(aContents);
  if (written != unwritten_.end() && written->second == aUntil) {
    unwritten_.erase(written);
  }
  WriteNext();
}

} // namespace laburnumweir
