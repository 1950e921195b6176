/** @file log_store.h Streams of the stand-in log: offsets, retention and append rate. */
#ifndef LABURNUMWEIR_STANDIN_LOG_STORE_H
#define LABURNUMWEIR_STANDIN_LOG_STORE_H

#include "core/clock_base.h"
#include "log/log_client_base.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnumweir::standin {

/** Refills at a rate up to a burst. */
class RateLimit
{
public:
  /** @param aPerSecond rate. @param aBurst most at once. */
  RateLimit(double aPerSecond, double aBurst);
  /** @return whether one more is allowed. @param aNow now. */
  bool Take(TimePoint aNow);

private:
  double perSecond_; ///< Rate.
  double burst_;     ///< Most at once.
  double level_;     ///< Available.
  TimePoint last_{}; ///< Time of the last refill.
};

/** Limits of the log. */
struct LogLimits
{
  double appendsPerSecond_ = 300;                            ///< Appends of all streams together.
  double appendBurst_ = 30;                                  ///< Most appends at once.
  std::uint64_t maxRecords_ = 100000;                        ///< Records retained in each stream.
  std::chrono::nanoseconds maxAge_ = std::chrono::hours(24); ///< Age to which they are retained.
};

/** The streams of a log. */
class LogStore
{
public:
  explicit LogStore(LogLimits aLimits);

  /**
   * Appends records as one unit.
   * @return offset of the first record, or nothing if the rate limit refused the append.
   */
  std::optional<LogOffset> Append(const std::string& aStream,
                                  std::vector<NewRecord> aRecords,
                                  TimePoint aNow,
                                  WallTime aWallNow);
  /** Reads records from an offset, or from the earliest one retained if that is later. */
  ReadResult Read(const std::string& aStream, LogOffset aFrom, std::size_t aMax, TimePoint aNow);
  /** @return one past the last offset. */
  LogOffset End(const std::string& aStream) const;
  /** @return names of all streams. */
  std::vector<std::string> Streams() const;

private:
  struct Entry
  {
    TimePoint time_;   ///< When it was appended.
    LogRecord record_; ///< The record.
  };
  struct Stream
  {
    LogOffset first_ = 0;       ///< Earliest offset retained.
    std::deque<Entry> entries_; ///< Records retained.
  };
  void Expire(Stream& aStream, TimePoint aNow) const;

  LogLimits limits_;                      ///< Limits.
  RateLimit appends_;                     ///< Append rate.
  std::map<std::string, Stream> streams_; ///< Streams by name.
};

} // namespace laburnumweir::standin

#endif
