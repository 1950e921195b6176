/** @file answer_rule_func.cpp Rules that tell an HTTP answer from other bytes of an untrusted peer.
 */
#include "http/answer_rule_func.h"

#include <boost/beast/http/error.hpp>

namespace laburnumweir {

namespace {

// Other values of three digits are invalid (RFC 9110, 15).
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
// Answers a request to switch the protocol, and no request asks for that.
constexpr int kSwitchingProtocols = 101;

/**
 * @return whether a text contains a status line, as a field or a reason phrase does if its head was
 * cut and another answer follows on the connection.
 */
bool
ContainsStatusLine(std::string_view aText)
{
  constexpr std::string_view kVersion = "HTTP/1.";
  const auto isDigit = [aText](std::size_t aAt) {
    return aAt < aText.size() && aText[aAt] >= '0' && aText[aAt] <= '9';
  };
  for (auto at = aText.find(kVersion); at != std::string_view::npos;
       at = aText.find(kVersion, at + 1)) {
    const auto minor = at + kVersion.size();
    if (isDigit(minor) && minor + 1 < aText.size() && aText[minor + 1] == ' ' &&
        isDigit(minor + 2) && isDigit(minor + 3) && isDigit(minor + 4)) {
      return true;
    }
  }
  return false;
}

} // namespace

boost::system::error_code
CheckStatusLine(int aStatus, std::string_view aReason)
{
  if (aStatus < kMinStatus || aStatus > kMaxStatus || aStatus == kSwitchingProtocols) {
    return boost::beast::http::error::bad_status;
  }
  if (ContainsStatusLine(aReason)) {
    return boost::beast::http::error::bad_reason;
  }
  return {};
}

bool
IsInterimStatus(int aStatus)
{
  return aStatus / 100 == 1;
}

boost::system::error_code
CheckAnswerField(std::string_view aValue)
{
  if (ContainsStatusLine(aValue)) {
    return boost::beast::http::error::bad_value;
  }
  return {};
}

} // namespace laburnumweir
