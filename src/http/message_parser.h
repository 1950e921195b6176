/** @file message_parser.h Incremental parser of HTTP/1.1 messages from untrusted peers. */
#ifndef LABURNUMWEIR_HTTP_MESSAGE_PARSER_H
#define LABURNUMWEIR_HTTP_MESSAGE_PARSER_H

#include "http/answer_rule_func.h"
#include "http/header_func.h"
#include "http/message_framing.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumweir {

/**
 * Parser of a request or an answer whose body is appended as it is received. It differs from
 * boost::beast::http::parser in five ways:
 * - A message whose end is unknown is an error, by the rules of message_framing.h.
 * - Status lines and fields of answers are checked by the rules of answer_rule_func.h.
 * - A field that is too long for the message is an error, not an exception.
 * - Trailer fields are checked and dropped. Merged into the head, they could replace a field on
 *   which a decision has been made (RFC 9110, 6.5.1).
 * - Nothing is reserved for an announced length. The memory of a body at most doubles as it grows,
 *   and it does not exceed the announced length or the limit of SetBodyLimit().
 */
template<bool IsRequest>
class MessageParser : public boost::beast::http::basic_parser<IsRequest>
{
public:
  using Message = boost::beast::http::message<IsRequest, boost::beast::http::string_body>;

  /** Limit of the trailer fields together, names and values. */
  static constexpr std::size_t kMaxTrailerBytes = std::size_t{ 32 } << 10;
  /** Limit of received bytes after the head that cannot be used yet, such as an incomplete chunk
   * header. It exceeds kMaxTrailerBytes plus one read, since a trailer is used as a whole. */
  static constexpr std::size_t kMaxUnparsedBytes = std::size_t{ 64 } << 10;

  /** Bytes that a field of a head takes beside its name and value: its list node and allocation. */
  static constexpr std::size_t kFieldOverheadBytes = 96;

  /** Sets the limit of the body in bytes. */
  void SetBodyLimit(std::size_t aBytes)
  {
    this->body_limit(aBytes);
    maxBodyBytes_ = aBytes;
  }
  /** @return bytes of memory of the head as far as it was parsed. */
  std::size_t HeadBytes() const { return headBytes_; }
  /** @return bytes of memory of the body as far as it was parsed. */
  std::size_t BodyBytes() const { return message_.body().capacity(); }
  /** @return the message as far as it was parsed. */
  const Message& Get() const { return message_; }
  /** @return the message; the parser must not be used afterwards. */
  Message Release() { return std::move(message_); }
  /** @return the bytes of the body that were parsed since the last call. */
  std::string TakeBody() { return std::exchange(message_.body(), {}); }

  /**
   * Parses received bytes and removes the used ones from the buffer.
   * @return need_more if the next part of the message is incomplete; header_limit, body_limit or
   * buffer_overflow if the message exceeds a limit; any other error if the bytes are no message.
   */
  boost::system::error_code Parse(boost::beast::flat_buffer& aBuffer)
  {
    boost::system::error_code error;
    aBuffer.consume(this->put(aBuffer.data(), error));
    if (error == boost::beast::http::error::need_more && this->is_header_done() &&
        aBuffer.size() > kMaxUnparsedBytes) {
      error = boost::beast::http::error::buffer_overflow;
    }
    return error;
  }

private:
  using Text = boost::beast::string_view;
  using Error = boost::system::error_code;

  // NOLINTBEGIN(readability-identifier-naming): names of boost::beast::http::basic_parser
  void on_request_impl(boost::beast::http::verb aMethod,
                       Text aMethodText,
                       Text aTarget,
                       int aVersion,
                       Error& aError) override
  {
    if constexpr (IsRequest) {
      message_.target(aTarget);
      headBytes_ += aTarget.size() + aMethodText.size();
      if (aMethod != boost::beast::http::verb::unknown) {
        message_.method(aMethod);
      } else {
        message_.method_string(aMethodText);
      }
      message_.version(static_cast<unsigned>(aVersion));
    }
    aError = {};
  }

  void on_response_impl(int aStatus, Text aReason, int aVersion, Error& aError) override
  {
    if constexpr (!IsRequest) {
      aError = CheckStatusLine(aStatus, { aReason.data(), aReason.size() });
      if (aError) {
        return;
      }
      message_.result(static_cast<unsigned>(aStatus));
      message_.version(static_cast<unsigned>(aVersion));
      message_.reason(aReason);
    }
    aError = {};
  }

  void on_field_impl(boost::beast::http::field aField,
                     Text aName,
                     Text aValue,
                     Error& aError) override
  {
    aError = framing_.OnField(aField, { aValue.data(), aValue.size() });
    if (aError) {
      return;
    }
    if constexpr (!IsRequest) {
      aError = CheckAnswerField({ aValue.data(), aValue.size() });
      if (aError) {
        return;
      }
    }
    if (this->is_header_done()) {
      trailerBytes_ += aName.size() + aValue.size();
      if (trailerBytes_ > kMaxTrailerBytes) {
        aError = boost::beast::http::error::header_limit;
      }
      return;
    }
    if (aName.size() > kMaxFieldBytes || aValue.size() > kMaxFieldBytes) {
      aError = boost::beast::http::error::header_limit;
      return;
    }
    message_.insert(aField, aName, aValue);
    headBytes_ += aName.size() + aValue.size() + kFieldOverheadBytes;
  }

  void on_header_impl(Error& aError) override
  {
    aError = framing_.CheckHead(IsRequest ? MessageKind::Request : MessageKind::Answer,
                                message_.version());
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& /*aLength*/, Error& aError) override
  {
    aError = {};
  }

  std::size_t on_body_impl(Text aBytes, Error& aError) override
  {
    auto& body = message_.body();
    const auto size = body.size() + aBytes.size();
    if (size > body.capacity()) {
      const auto announced = this->content_length();
      const auto end =
        announced ? std::min<std::uint64_t>(*announced, maxBodyBytes_) : maxBodyBytes_;
      body.reserve(std::max<std::size_t>(size, std::min<std::uint64_t>(2 * body.capacity(), end)));
    }
    body.append(aBytes.data(), aBytes.size());
    aError = {};
    return aBytes.size();
  }

  void on_chunk_header_impl(std::uint64_t /*aSize*/, Text /*aExtensions*/, Error& aError) override
  {
    aError = {};
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*aLeft*/, Text aBytes, Error& aError) override
  {
    return on_body_impl(aBytes, aError);
  }

  void on_finish_impl(Error& aError) override { aError = {}; }
  // NOLINTEND(readability-identifier-naming)

  Message message_;
  MessageFraming framing_;                                               ///< Of the head.
  std::size_t trailerBytes_ = 0;                                         ///< See kMaxTrailerBytes.
  std::size_t headBytes_ = 0;                                            ///< See HeadBytes().
  std::uint64_t maxBodyBytes_ = std::numeric_limits<std::size_t>::max(); ///< See SetBodyLimit().
};

using RequestParser = MessageParser<true>;
using AnswerParser = MessageParser<false>;

} // namespace laburnumweir

#endif
