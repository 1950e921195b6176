/** @file bootstrap.cpp Reads the configuration stream from the earliest retained record. */
#include "state/bootstrap.h"

#include "state/config_codec_func.h"

#include <algorithm>

namespace laburnumweir {

LogOffset
ConfigReader::WantedOffset() const
{
  return next_;
}

bool
ConfigReader::OnExtent(LogOffset aFirst)
{
  if (!first_ && !state_) {
    Drop(aFirst);
    return true;
  }
  if (aFirst <= next_) {
    return true;
  }
  ++gaps_;
  Drop(aFirst);
  return false;
}

FoldOutcome
ConfigReader::Add(LogOffset aOffset, std::string_view aData)
{
  FoldOutcome outcome;
  if (aOffset != next_) {
    outcome.status_ = aOffset < next_ ? FoldStatus::Known : FoldStatus::Gap;
    if (outcome.status_ == FoldStatus::Gap) {
      ++gaps_;
      Drop(aOffset);
    }
    return outcome;
  }
  if (state_) {
    outcome = state_->Fold(aOffset, aData);
  } else {
    ConfigRecord record;
    outcome.error_ = DecodeRecord(aData, record);
    outcome.status_ =
      outcome.error_ == StateErrc::NewerSchema ? FoldStatus::Unsupported : FoldStatus::Folded;
    outcome.isSnapshot_ = !outcome.error_ && std::holds_alternative<SnapshotRecord>(record);
  }
  if (outcome.status_ == FoldStatus::Unsupported) {
    isUnsupported_ = true;
    return outcome;
  }
  next_ = aOffset + 1;
  if (!state_) {
    buffer_.emplace_back(aOffset, std::string(aData));
    if (outcome.isSnapshot_ && TryStart()) {
      outcome.rulesChanged_ = true;
      outcome.membershipChanged_ = true;
    }
  }
  floor_ = std::max(floor_, state_ ? state_->NextOffset() : 0);
  return outcome;
}

bool
ConfigReader::Adopt(std::string_view aData)
{
  ConfigRecord record;
  if (DecodeRecord(aData, record)) {
    return false;
  }
  auto* snapshot = std::get_if<SnapshotRecord>(&record);
  const LogOffset own = state_ ? state_->NextOffset() : 0;
  if (snapshot == nullptr || snapshot->image_.next_ < floor_ ||
      (state_ && snapshot->image_.next_ <= own)) {
    return false;
  }
  state_.emplace(std::move(snapshot->image_));
  next_ = state_->NextOffset();
  floor_ = next_;
  first_ = next_;
  buffer_.clear();
  return true;
}

ReaderStatus
ConfigReader::Status() const
{
  if (isUnsupported_) {
    return ReaderStatus::Unsupported;
  }
  if (State() != nullptr) {
    return ReaderStatus::Ready;
  }
  return next_ == first_.value_or(next_) && !state_ ? ReaderStatus::Empty
                                                    : ReaderStatus::NoSnapshot;
}

const ConfigState*
ConfigReader::State() const
{
  if (isUnsupported_ || !state_ || state_->NextOffset() < floor_) {
    return nullptr;
  }
  return &*state_;
}

void
ConfigReader::Drop(LogOffset aFirst)
{
  state_.reset();
  buffer_.clear();
  first_ = aFirst;
  next_ = aFirst;
  if (aFirst == 0) {
    state_.emplace();
  }
}

bool
ConfigReader::TryStart()
{
  ConfigRecord record;
  DecodeRecord(buffer_.back().second, record);
  ConfigImage& image = std::get<SnapshotRecord>(record).image_;
  // The records between the snapshot's state and this start would be missing, or the snapshot
  // claims records that did not exist when it was written.
  if (image.next_ < *first_ || image.next_ > buffer_.back().first) {
    return false;
  }
  state_.emplace(std::move(image));
  for (const auto& [offset, data] : buffer_) {
    state_->Fold(offset, data);
  }
  buffer_.clear();
  return true;
}

} // namespace laburnumweir
