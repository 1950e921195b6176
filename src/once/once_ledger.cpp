/** @file once_ledger.cpp Fold of one `once` stream. */
#include "once/once_ledger.h"

#include <algorithm>

namespace laburnumweir {

OnceFold
OnceLedger::Fold(const LogRecord& aRecord)
{
  next_ = aRecord.offset_ + 1;
  newest_ = std::max(newest_, aRecord.appended_);
  Expire(newest_);
  OnceFold result;
  std::optional<OnceRecord> record = DecodeOnceRecord(aRecord.data_);
  if (!record) {
    return result;
  }
  switch (record->kind_) {
    case OnceRecordKind::Begin:
      result.effect_ = FoldBegin(*record, newest_);
      break;
    case OnceRecordKind::Outcome:
      result.effect_ = FoldOutcome(*record);
      break;
    case OnceRecordKind::Release:
      result.effect_ = FoldRelease(*record, newest_);
      break;
  }
  result.record_ = std::move(*record);
  return result;
}

OnceFold::Effect
OnceLedger::FoldBegin(const OnceRecord& aRecord, WallTime aTime)
{
  if (closed_.contains(aRecord.attempt_)) {
    return OnceFold::Effect::None;
  }
  const auto found = entries_.find(aRecord.key_);
  const bool isFree = found == entries_.end() || found->second.state_ == OnceState::Released;
  if (!isFree) {
    // A repeated append of the winner decides nothing.
    if (found->second.attempt_ == aRecord.attempt_) {
      return OnceFold::Effect::None;
    }
    found->second.lastBegin_ = aTime;
    keysByTime_.emplace_back(aTime, aRecord.key_);
    closed_.emplace(aRecord.attempt_, aTime);
    closedByTime_.emplace_back(aTime, aRecord.attempt_);
    return OnceFold::Effect::Lost;
  }
  OnceEntry& entry = entries_[aRecord.key_];
  entry = OnceEntry();
  entry.requestDigest_ = aRecord.requestDigest_;
  entry.attempt_ = aRecord.attempt_;
  entry.lastBegin_ = aTime;
  keysByTime_.emplace_back(aTime, aRecord.key_);
  return OnceFold::Effect::Won;
}

OnceFold::Effect
OnceLedger::FoldOutcome(const OnceRecord& aRecord)
{
  const auto found = entries_.find(aRecord.key_);
  if (found != entries_.end() && found->second.attempt_ == aRecord.attempt_ &&
      found->second.state_ == OnceState::Begun) {
    found->second.state_ = OnceState::Done;
    found->second.outcome_ = aRecord.outcome_;
  }
  return OnceFold::Effect::Stored;
}

OnceFold::Effect
OnceLedger::FoldRelease(const OnceRecord& aRecord, WallTime aTime)
{
  // The begin may still arrive: the answer to its append was lost, not the append.
  if (closed_.emplace(aRecord.attempt_, aTime).second) {
    closedByTime_.emplace_back(aTime, aRecord.attempt_);
  }
  const auto found = entries_.find(aRecord.key_);
  if (found != entries_.end() && found->second.attempt_ == aRecord.attempt_ &&
      found->second.state_ == OnceState::Begun) {
    found->second.state_ = OnceState::Released;
  }
  return OnceFold::Effect::Released;
}

void
OnceLedger::Expire(WallTime aTime)
{
  while (!keysByTime_.empty() && keysByTime_.front().first + settings_.window_ <= aTime) {
    const auto found = entries_.find(keysByTime_.front().second);
    if (found != entries_.end() && found->second.lastBegin_ + settings_.window_ <= aTime) {
      entries_.erase(found);
    }
    keysByTime_.pop_front();
  }
  while (!closedByTime_.empty() && closedByTime_.front().first + settings_.window_ <= aTime) {
    closed_.erase(closedByTime_.front().second);
    closedByTime_.pop_front();
  }
}

void
OnceLedger::Restart(LogOffset aFirst)
{
  *this = OnceLedger(settings_);
  next_ = aFirst;
}

const OnceEntry*
OnceLedger::Find(const OnceKey& aKey, WallTime aNow) const
{
  const auto found = entries_.find(aKey);
  if (found == entries_.end() || found->second.state_ == OnceState::Released ||
      found->second.lastBegin_ + settings_.window_ <= aNow) {
    return nullptr;
  }
  return &found->second;
}

} // namespace laburnumweir
