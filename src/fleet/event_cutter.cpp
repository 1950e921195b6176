/** @file event_cutter.cpp Splits a server-sent event stream into complete events. */
#include "fleet/event_cutter.h"

#include "http/header_func.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>

namespace laburnumweir {

namespace {

std::optional<std::uint64_t>
ParseId(std::string_view aText)
{
  std::uint64_t value = 0;
  const auto end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(value) : std::nullopt;
}

/** @return whether an event with one id can follow an event with another one. */
bool
MayFollow(std::string_view aId, std::string_view aEarlier)
{
  const auto id = ParseId(aId);
  const auto earlier = ParseId(aEarlier);
  return id && earlier ? *id > *earlier : aId != aEarlier;
}

/** @return whether a line has a colon, as a field with a value or a comment, or is a known name. */
bool
IsEventLine(std::string_view aLine)
{
  constexpr std::array<std::string_view, 4> kNames{ "data", "event", "id", "retry" };
  return aLine.empty() || aLine.find(':') != std::string_view::npos ||
         std::find(kNames.begin(), kNames.end(), aLine) != kNames.end();
}

} // namespace

bool
EventSplitter::Add(std::string_view aBytes, std::string& aComplete)
{
  incomplete_.append(aBytes);
  std::size_t completeEnd = 0;
  std::size_t lineStart = 0;
  bool isValid = true;
  // An empty line ends an event. Lines end with LF or CRLF.
  for (auto end = incomplete_.find('\n'); end != std::string::npos;
       end = incomplete_.find('\n', lineStart)) {
    const bool isEmpty =
      end == lineStart || (end == lineStart + 1 && incomplete_[lineStart] == '\r');
    lineStart = end + 1;
    if (isEmpty) {
      const auto length = lineStart - completeEnd;
      isValid = OnCompleteEvent(std::string_view(incomplete_).substr(completeEnd, length));
      if (!isValid) {
        break;
      }
      completeEnd = lineStart;
    }
  }
  aComplete.assign(incomplete_, 0, completeEnd);
  incomplete_.erase(0, completeEnd);
  return isValid && incomplete_.size() <= kMaxEventBytes;
}

void
EventSplitter::Resume()
{
  incomplete_.clear();
  isResumed_ = !lastId_.empty();
}

bool
EventSplitter::OnCompleteEvent(std::string_view aEvent)
{
  constexpr std::string_view kIdField = "id:";
  constexpr std::string_view kDataField = "data:";
  std::optional<std::string_view> id;
  bool hasContent = false;
  std::size_t lineStart = 0;
  while (lineStart < aEvent.size()) {
    const auto end = aEvent.find('\n', lineStart);
    auto text = aEvent.substr(lineStart, end == std::string_view::npos ? end : end - lineStart);
    lineStart = end == std::string_view::npos ? aEvent.size() : end + 1;
    if (text.ends_with('\r')) {
      text.remove_suffix(1);
    }
    if (!IsEventLine(text)) {
      return false;
    }
    hasContent = hasContent || text.starts_with(kIdField) || text.starts_with(kDataField);
    if (text.starts_with(kIdField)) {
      text.remove_prefix(kIdField.size());
      if (text.starts_with(' ')) {
        text.remove_prefix(1);
      }
      id = text;
    }
  }
  if (id) {
    if (id->size() > kMaxIdBytes || !IsFieldValue(*id)) {
      return false;
    }
    if (isResumed_ && !MayFollow(*id, lastId_)) {
      return false;
    }
    isResumed_ = false;
    lastId_ = std::string(*id);
  }
  events_ += hasContent ? 1 : 0;
  return true;
}

} // namespace laburnumweir
