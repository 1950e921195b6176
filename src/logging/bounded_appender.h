/** @file bounded_appender.h Log output that never blocks the process. */
#ifndef LABURNUMWEIR_LOGGING_BOUNDED_APPENDER_H
#define LABURNUMWEIR_LOGGING_BOUNDED_APPENDER_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <log4cplus/appender.h>
#include <string>

namespace laburnumweir {

/**
 * Writes lines to a descriptor as far as it takes them at once. Lines beyond a rate, or beyond what
 * may wait for a slow reader, are dropped and counted; a line tells how many were.
 */
class BoundedAppender : public log4cplus::Appender
{
public:
  /** Bytes that wait for a slow reader. */
  static constexpr std::size_t kMaxWaitingBytes = std::size_t{ 256 } << 10;
  /** Lines in one second; a host at its full rate writes about three lines for each request. */
  static constexpr std::uint32_t kMaxLinesPerSecond = 1000;

  /** @param aDescriptor where to write; stays open. */
  explicit BoundedAppender(int aDescriptor)
    : descriptor_(aDescriptor)
  {
  }
  ~BoundedAppender() override { destructorImpl(); }
  BoundedAppender(const BoundedAppender&) = delete;
  BoundedAppender& operator=(const BoundedAppender&) = delete;

  void close() override; // NOLINT(readability-identifier-naming)

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override; // NOLINT

private:
  void Flush();
  bool HasRate();

  const int descriptor_;                         ///< Where to write.
  std::string waiting_;                          ///< Bytes that were not written.
  std::uint64_t dropped_ = 0;                    ///< Lines dropped and not yet told.
  std::uint32_t lines_ = 0;                      ///< Lines in this second.
  std::chrono::steady_clock::time_point second_; ///< Start of this second.
};

} // namespace laburnumweir

#endif
