/** @file bounded_appender.cpp Log output that never blocks. */
#include "logging/bounded_appender.h"

#include <algorithm>
#include <climits>
#include <log4cplus/helpers/stringhelper.h>
#include <log4cplus/layout.h>
#include <poll.h>
#include <sstream>
#include <unistd.h>

namespace laburnumweir {

void
BoundedAppender::close()
{
  Flush();
  closed = true;
}

bool
BoundedAppender::CountLine()
{
  const auto now = std::chrono::steady_clock::now();
  if (now - secondStart_ >= std::chrono::seconds(1)) {
    secondStart_ = now;
    linesInSecond_ = 0;
  }
  return ++linesInSecond_ <= kMaxLinesPerSecond;
}

void
BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  if (!CountLine() || pending_.size() > kMaxPendingBytes) {
    ++droppedLines_;
    Flush();
    return;
  }
  if (droppedLines_ > 0) {
    pending_ += "event=log_lines_dropped count=" + std::to_string(droppedLines_) + "\n";
    droppedLines_ = 0;
  }
  std::ostringstream line;
  layout->formatAndAppend(line, aEvent);
  pending_ += line.str();
  Flush();
}

void
BoundedAppender::Flush()
{
  std::size_t written = 0;
  while (written < pending_.size()) {
    // A pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking.
    pollfd entry{ descriptor_, POLLOUT, 0 };
    if (::poll(&entry, 1, 0) != 1 || (entry.revents & POLLOUT) == 0) {
      break;
    }
    const auto size = std::min<std::size_t>(pending_.size() - written, PIPE_BUF);
    const auto count = ::write(descriptor_, pending_.data() + written, size);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  pending_.erase(0, written);
}

} // namespace laburnumweir
