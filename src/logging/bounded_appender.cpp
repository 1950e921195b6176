/** @file bounded_appender.cpp Log output that never blocks the process. */
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
BoundedAppender::HasRate()
{
  const auto now = std::chrono::steady_clock::now();
  if (now - second_ >= std::chrono::seconds(1)) {
    second_ = now;
    lines_ = 0;
  }
  return ++lines_ <= kMaxLinesPerSecond;
}

void
BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  if (!HasRate() || waiting_.size() > kMaxWaitingBytes) {
    ++dropped_;
    Flush();
    return;
  }
  if (dropped_ > 0) {
    waiting_ += "event=log_lines_dropped count=" + std::to_string(dropped_) + "\n";
    dropped_ = 0;
  }
  std::ostringstream line;
  layout->formatAndAppend(line, aEvent);
  waiting_ += line.str();
  Flush();
}

void
BoundedAppender::Flush()
{
  std::size_t written = 0;
  while (written < waiting_.size()) {
    // A pipe that polls as writable takes this many bytes without blocking.
    pollfd entry{ descriptor_, POLLOUT, 0 };
    if (::poll(&entry, 1, 0) != 1 || (entry.revents & POLLOUT) == 0) {
      break;
    }
    const auto size = std::min<std::size_t>(waiting_.size() - written, PIPE_BUF);
    const auto count = ::write(descriptor_, waiting_.data() + written, size);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  waiting_.erase(0, written);
}

} // namespace laburnumweir
