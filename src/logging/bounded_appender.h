/** @file bounded_appender.h Log output that never blocks. */
#ifndef LABURNUMWEIR_LOGGING_BOUNDED_APPENDER_H
#define LABURNUMWEIR_LOGGING_BOUNDED_APPENDER_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <log4cplus/appender.h>
#include <string>

namespace laburnumweir {

/**
 * Writes log lines to a file descriptor and buffers what the descriptor does not accept without
 * blocking. Lines above a rate, or while the buffer is full because the reader is slow, are
 * dropped. The next line that is accepted is preceded by one with the number of dropped lines.
 */
class BoundedAppender : public log4cplus::Appender
{
public:
  /** Size of the buffer, in bytes, above which further lines are dropped. */
  static constexpr std::size_t kMaxPendingBytes = std::size_t{ 256 } << 10;
  /** Maximum number of lines in one second. A host at its full request rate writes about three
   * lines for each request. */
  static constexpr std::uint32_t kMaxLinesPerSecond = 1000;

  /** @param aDescriptor file descriptor to write to; the appender does not close it. */
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
  /** Counts a line. @return false if the lines of this second exceed the limit. */
  bool CountLine();

  const int descriptor_;
  std::string pending_;             ///< Bytes not yet written.
  std::uint64_t droppedLines_ = 0;  ///< Dropped lines that no line has reported yet.
  std::uint32_t linesInSecond_ = 0; ///< Lines since secondStart_, dropped ones included.
  std::chrono::steady_clock::time_point secondStart_; ///< Start of the current second.
};

} // namespace laburnumweir

#endif
