/** @file software_recorder.cpp Keeps the software versions of the services in the store. */
#include "gateway/software_recorder.h"

#include "logging/logging_func.h"
#include "table/fleet_const.h"

#include <algorithm>

namespace laburnumweir {

namespace {

constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(500);

} // namespace

SoftwareRecorder::SoftwareRecorder(FleetStore& aStore,
                                   const FleetState& aFleet,
                                   SoftwareHistory& aHistory,
                                   Scheduler& aScheduler,
                                   std::function<bool()> aWritesRecords)
  : store_(aStore)
  , fleet_(aFleet)
  , history_(aHistory)
  , scheduler_(aScheduler)
  , writesRecords_(std::move(aWritesRecords))
{
}

void
SoftwareRecorder::Start()
{
  RepeatWhileAlive(scheduler_, kGossipInterval, weak_from_this(), [this] { WriteNext(); });
}

void
SoftwareRecorder::OnStored(const HostTopicRecords& aRecords)
{
  if (era_) {
    return;
  }
  era_ = aRecords.era_;
  auto records = aRecords.software_;
  // A copy that the store was restored from may lack the last versions.
  std::erase_if(records, [&](const auto& aRecord) { return aRecord.era_ != aRecords.era_; });
  history_.OnStored(records);
  for (const auto& record : records) {
    known_[record.service_] = record;
  }
}

void
SoftwareRecorder::OnRestored(StoreEra aEra)
{
  era_ = aEra;
  known_.clear();
}

bool
SoftwareRecorder::MustWrite(const SoftwareRecord& aRecord)
{
  const auto known = known_.find(aRecord.service_);
  if (known == known_.end()) {
    // Without a record, hosts that start expect any version.
    if (!aRecord.isComplete_) {
      known_[aRecord.service_] = aRecord;
    }
    return aRecord.isComplete_;
  }
  const auto& versions = known->second.versions_;
  const bool hasNewVersion = !std::includes(
    versions.begin(), versions.end(), aRecord.versions_.begin(), aRecord.versions_.end());
  return hasNewVersion || (aRecord.isComplete_ && aRecord != known->second);
}

void
SoftwareRecorder::WriteNext()
{
  const auto& routes = fleet_.Routes();
  const auto period = routes ? StreamPeriod(routes->Config().routes_) : std::nullopt;
  if (isWriting_ || !era_ || !period) {
    return;
  }
  for (const auto& service : history_.Services()) {
    const auto versions = history_.Versions(service, *period);
    const SoftwareRecord record{
      service, { versions.begin(), versions.end() }, history_.IsComplete(service, *period), *era_
    };
    if (MustWrite(record) && writesRecords_()) {
      isWriting_ = true;
      store_.WriteSoftware(record, [weak = weak_from_this(), record](std::error_code aError) {
        if (const auto self = weak.lock()) {
          self->OnWritten(record, aError);
        }
      });
      return;
    }
  }
}

void
SoftwareRecorder::OnWritten(const SoftwareRecord& aRecord, std::error_code aError)
{
  if (aError) {
    LogEvent(LogLevel::Warn, "software_not_written", { { "error", aError.message() } });
    scheduler_.After(kWriteRetryDelay, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->isWriting_ = false;
      }
    });
    return;
  }
  isWriting_ = false;
  if (era_ == aRecord.era_) {
    known_[aRecord.service_] = aRecord;
  }
}

} // namespace laburnumweir
