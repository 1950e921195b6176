/** @file answer_rule_func.cpp Rules that tell an HTTP answer from other bytes of an untrusted peer.
 */
#include "http/answer_rule_func.h"

#include <boost/beast/http/error.hpp>

namespace laburnumweir {

namespace {

// Other values of three digits are invalid (RFC 9110, 15).
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

} // namespace

boost::system::error_code
CheckStatusLine(int aStatus)
{
  if (aStatus < kMinStatus || aStatus > kMaxStatus) {
    return boost::beast::http::error::bad_status;
  }
  return {};
}

} // namespace laburnumweir
