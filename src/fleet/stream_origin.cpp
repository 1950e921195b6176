/** @file stream_origin.cpp Software that began the streams of callers. */
#include "fleet/stream_origin.h"

#include "table/stream_const.h"

#include <algorithm>

namespace laburnumweir {

namespace {

/** @return whether an id fits into messages between hosts: callers may send any bytes. */
bool
IsMessageable(const RequestId& aAttempt)
{
  const auto& text = aAttempt.Value();
  return !text.empty() && text.size() <= kMaxStreamIdBytes &&
         std::all_of(
           text.begin(), text.end(), [](char aByte) { return aByte >= ' ' && aByte <= '~'; });
}

} // namespace

void
StreamOriginTable::Record(const RequestId& aAttempt, const StreamOrigin& aOrigin)
{
  if (!IsMessageable(aAttempt) ||
      (entries_.size() >= kMaxStreamOrigins && !entries_.contains(aAttempt))) {
    return;
  }
  auto [position, isNew] = entries_.try_emplace(aAttempt, Entry{ aOrigin, {} });
  auto& entry = position->second;
  entry.origin_.isAmbiguous_ = entry.origin_.isAmbiguous_ || entry.origin_ != aOrigin;
  entry.recordedAt_ = clock_.Now();
}

const StreamOrigin*
StreamOriginTable::Find(const RequestId& aAttempt) const
{
  const auto found = entries_.find(aAttempt);
  return found == entries_.end() ? nullptr : &found->second.origin_;
}

std::vector<StreamOriginRecord>
StreamOriginTable::Recent(Duration aPeriod) const
{
  std::vector<StreamOriginRecord> records;
  const auto oldest = clock_.Now() - aPeriod;
  for (const auto& [attempt, entry] : entries_) {
    if (entry.recordedAt_ >= oldest) {
      records.push_back({ attempt, entry.origin_ });
    }
  }
  return records;
}

void
StreamOriginTable::Expire()
{
  const auto oldest = clock_.Now() - kStreamOriginTtl;
  std::erase_if(entries_,
                [oldest](const auto& aEntry) { return aEntry.second.recordedAt_ < oldest; });
}

} // namespace laburnumweir
