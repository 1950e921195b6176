/** @file message_framing.cpp Rules by which the end of an HTTP message is known (RFC 9112, 6). */
#include "http/message_framing.h"

#include "http/header_func.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace laburnumweir {

namespace http = boost::beast::http;
using BoostError = boost::system::error_code;

BoostError
MessageFraming::OnField(http::field aField, std::string_view aValue)
{
  hasLength_ = hasLength_ || aField == http::field::content_length;
  if (aField != http::field::transfer_encoding) {
    return {};
  }
  hasCodings_ = true;
  // The codings of several fields apply one after the other. Only chunks are decoded, and since the
  // field is not passed on, a body in another coding would reach its reader without its coding.
  while (!aValue.empty()) {
    const auto coding = TakeListItem(aValue);
    if (coding.empty()) {
      continue;
    }
    const bool isChunked = EqualsIgnoreCase(coding, "chunked");
    if (isChunked_ || (!isChunked && !EqualsIgnoreCase(coding, "identity"))) {
      return http::error::bad_transfer_encoding;
    }
    isChunked_ = isChunked;
  }
  return {};
}

BoostError
MessageFraming::CheckHead(MessageKind aKind, unsigned aVersion) const
{
  if (!hasCodings_) {
    return {};
  }
  // Readers disagree on whether a length or the codings count, and HTTP/1.0 has no codings.
  if (hasLength_ || aVersion < 11) {
    return http::error::bad_transfer_encoding;
  }
  // Only an answer can end with its connection.
  if (!isChunked_ && aKind == MessageKind::Request) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

bool
EndsWithHead(bool aIsHeadRequest, unsigned aStatus)
{
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return aIsHeadRequest || aStatus / 100 == 1 || aStatus == kNoContent || aStatus == kNotModified;
}

bool
IsOrderlyEnd(const BoostError& aRead, const BoostError& aWrite)
{
  namespace error = boost::asio::error;
  return aRead == error::eof && (!aWrite || aWrite == error::broken_pipe);
}

} // namespace laburnumweir
