/** @file answer_rule_func.cpp Rules that tell an HTTP answer from other bytes of an untrusted peer.
 */
#include "http/answer_rule_func.h"

#include <boost/asio/error.hpp>
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

bool
IsOrderlyEnd(const boost::system::error_code& aRead, const boost::system::error_code& aWrite)
{
  namespace error = boost::asio::error;
  return aRead == error::eof && (!aWrite || aWrite == error::broken_pipe);
}

} // namespace laburnumweir
