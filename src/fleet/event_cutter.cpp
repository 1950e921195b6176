/** @file event_cutter.cpp Cuts an event stream into whole events. */
#include "fleet/event_cutter.h"

namespace laburnumweir {

bool
EventCutter::Add(std::string_view aBytes, std::string& aWhole)
{
  part_.append(aBytes);
  std::size_t done = 0;
  std::size_t line = 0;
  // An empty line ends an event. Lines end with LF or CRLF.
  for (auto end = part_.find('\n'); end != std::string::npos; end = part_.find('\n', line)) {
    const bool isEmpty = end == line || (end == line + 1 && part_[line] == '\r');
    line = end + 1;
    if (isEmpty) {
      Note(std::string_view(part_).substr(done, line - done));
      done = line;
    }
  }
  aWhole.assign(part_, 0, done);
  part_.erase(0, done);
  return part_.size() <= kMaxEventBytes;
}

void
EventCutter::Note(std::string_view aEvent)
{
  constexpr std::string_view kIdField = "id:";
  ++events_;
  std::size_t line = 0;
  while (line < aEvent.size()) {
    const auto end = aEvent.find('\n', line);
    auto text = aEvent.substr(line, end == std::string_view::npos ? end : end - line);
    line = end == std::string_view::npos ? aEvent.size() : end + 1;
    if (text.starts_with(kIdField)) {
      text.remove_prefix(kIdField.size());
      if (text.starts_with(' ')) {
        text.remove_prefix(1);
      }
      if (text.ends_with('\r')) {
        text.remove_suffix(1);
      }
      lastId_ = std::string(text);
    }
  }
}

} // namespace laburnumweir
