/** @file log_store.cpp Streams of the stand-in log: offsets, retention and append rate. */
#include "standin/log_store.h"

#include <algorithm>

namespace laburnumweir::standin {

RateLimit::RateLimit(double aPerSecond, double aBurst)
  : perSecond_(aPerSecond)
  , burst_(std::max(aBurst, 1.0))
  , level_(burst_)
{
}

bool
RateLimit::Take(TimePoint aNow)
{
  if (aNow > last_) {
    const auto passed = std::chrono::duration<double>(aNow - last_).count();
    level_ = std::min(burst_, level_ + passed * perSecond_);
    last_ = aNow;
  }
  if (level_ < 1) {
    return false;
  }
  level_ -= 1;
  return true;
}

LogStore::LogStore(LogLimits aLimits)
  : limits_(aLimits)
  , appends_(aLimits.appendsPerSecond_, aLimits.appendBurst_)
{
}

std::optional<LogOffset>
LogStore::Append(const std::string& aStream,
                 std::vector<NewRecord> aRecords,
                 TimePoint aNow,
                 WallTime aWallNow)
{
  if (!appends_.Take(aNow)) {
    return std::nullopt;
  }
  auto& stream = streams_[aStream];
  const LogOffset firstNew = stream.first_ + stream.entries_.size();
  LogOffset offset = firstNew;
  for (auto& record : aRecords) {
    stream.entries_.push_back(
      { aNow, { offset++, aWallNow, std::move(record.id_), std::move(record.data_) } });
  }
  Expire(stream, aNow);
  return firstNew;
}

ReadResult
LogStore::Read(const std::string& aStream, LogOffset aFrom, std::size_t aMax, TimePoint aNow)
{
  ReadResult result;
  const auto found = streams_.find(aStream);
  if (found == streams_.end()) {
    return result;
  }
  auto& stream = found->second;
  Expire(stream, aNow);
  result.first_ = stream.first_;
  result.end_ = stream.first_ + stream.entries_.size();
  for (auto offset = std::max(aFrom, result.first_);
       offset < result.end_ && result.records_.size() < aMax;
       ++offset) {
    result.records_.push_back(stream.entries_[offset - stream.first_].record_);
  }
  return result;
}

LogOffset
LogStore::End(const std::string& aStream) const
{
  const auto found = streams_.find(aStream);
  return found == streams_.end() ? 0 : found->second.first_ + found->second.entries_.size();
}

std::vector<std::string>
LogStore::Streams() const
{
  std::vector<std::string> names;
  for (const auto& [name, stream] : streams_) {
    names.push_back(name);
  }
  return names;
}

void
LogStore::Expire(Stream& aStream, TimePoint aNow) const
{
  while (!aStream.entries_.empty() && (aStream.entries_.size() > limits_.maxRecords_ ||
                                       aNow - aStream.entries_.front().time_ > limits_.maxAge_)) {
    aStream.entries_.pop_front();
    ++aStream.first_;
  }
}

} // namespace laburnumweir::standin
