/** @file answer_func.cpp Text of answers to callers. */
#include "caller/answer_func.h"

#include "http/header_func.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace laburnumweir {

namespace {

/** Fields that this host sets itself, or that are between it and an upstream. */
constexpr std::array<std::string_view, 4> kOwnFields{
  "content-length",
  "x-request-id",
  "x-run",
  "x-engine-epoch",
};

std::string_view
RunText(RunState aRun)
{
  switch (aRun) {
    case RunState::NotRun:
      return "not_run";
    case RunState::Ran:
      return "ran";
    case RunState::Unknown:
      break;
  }
  return "unknown";
}

std::string_view
ErrorType(int aStatus)
{
  switch (aStatus) {
    case 401:
      return "authentication_error";
    case 403:
      return "permission_error";
    case 404:
      return "not_found_error";
    case 409:
      return "conflict_error";
    case 429:
      return "rate_limit_error";
    default:
      return aStatus >= 500 ? "server_error" : "invalid_request_error";
  }
}

bool
IsOwnField(std::string_view aName)
{
  return std::any_of(kOwnFields.begin(), kOwnFields.end(), [aName](std::string_view aOwn) {
    return EqualsIgnoreCase(aOwn, aName);
  });
}

void
AppendField(std::string& aText, std::string_view aName, std::string_view aValue)
{
  aText.append(aName).append(": ").append(aValue).append("\r\n");
}

} // namespace

std::string
AnswerHead(int aStatus, const HeaderList& aHeaders, const AnswerFrame& aFrame)
{
  std::string text;
  text.reserve(512);
  text.append("HTTP/1.1 ").append(std::to_string(aStatus)).push_back(' ');
  const auto reason = boost::beast::http::obsolete_reason(
    boost::beast::http::int_to_status(static_cast<unsigned>(aStatus)));
  text.append(reason.data(), reason.size()).append("\r\n");
  const auto connection = FindField(aHeaders, "connection");
  for (const auto& [name, value] : aHeaders) {
    const bool isOneLine = value.find_first_of("\r\n") == std::string::npos &&
                           name.find_first_of("\r\n: ") == std::string::npos;
    if (isOneLine && !IsOwnField(name) && !IsHopByHop(name, connection)) {
      AppendField(text, name, value);
    }
  }
  AppendField(text, "X-Request-Id", aFrame.id_.Value());
  if (aFrame.isClosing_) {
    AppendField(text, "Connection", "close");
  }
  if (aFrame.isChunked_) {
    AppendField(text, "Transfer-Encoding", "chunked");
  } else if (aFrame.contentLength_) {
    AppendField(text, "Content-Length", std::to_string(*aFrame.contentLength_));
  }
  return text.append("\r\n");
}

std::optional<std::uint64_t>
AnnouncedLength(const HeaderList& aHeaders)
{
  const auto text = FindField(aHeaders, "content-length");
  const auto* end = text.data() + text.size();
  std::uint64_t length = 0;
  const auto result = std::from_chars(text.data(), end, length);
  if (text.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return length;
}

std::string
ErrorBody(const CallerError& aError, const RequestId& aId)
{
  const boost::json::object error{
    { "message", aError.message_ }, { "type", ErrorType(aError.status_) },
    { "code", aError.code_ },       { "run", RunText(aError.run_) },
    { "request_id", aId.Value() },
  };
  return boost::json::serialize(boost::json::object{ { "error", error } });
}

} // namespace laburnumweir
