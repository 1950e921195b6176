/** @file event_cutter.cpp Splits a server-sent event stream into complete events. */
#include "fleet/event_cutter.h"

namespace laburnumweir {

bool
EventSplitter::Add(std::string_view aBytes, std::string& aComplete)
{
  incomplete_.append(aBytes);
  std::size_t completeEnd = 0;
  std::size_t lineStart = 0;
  // An empty line ends an event. Lines end with LF or CRLF.
  for (auto end = incomplete_.find('\n'); end != std::string::npos;
       end = incomplete_.find('\n', lineStart)) {
    const bool isEmpty =
      end == lineStart || (end == lineStart + 1 && incomplete_[lineStart] == '\r');
    lineStart = end + 1;
    if (isEmpty) {
      OnCompleteEvent(std::string_view(incomplete_).substr(completeEnd, lineStart - completeEnd));
      completeEnd = lineStart;
    }
  }
  aComplete.assign(incomplete_, 0, completeEnd);
  incomplete_.erase(0, completeEnd);
  return incomplete_.size() <= kMaxEventBytes;
}

void
EventSplitter::OnCompleteEvent(std::string_view aEvent)
{
  constexpr std::string_view kIdField = "id:";
  constexpr std::string_view kDataField = "data:";
  bool hasContent = false;
  std::size_t lineStart = 0;
  while (lineStart < aEvent.size()) {
    const auto end = aEvent.find('\n', lineStart);
    auto text = aEvent.substr(lineStart, end == std::string_view::npos ? end : end - lineStart);
    lineStart = end == std::string_view::npos ? aEvent.size() : end + 1;
    hasContent = hasContent || text.starts_with(kIdField) || text.starts_with(kDataField);
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
  events_ += hasContent ? 1 : 0;
}

} // namespace laburnumweir
