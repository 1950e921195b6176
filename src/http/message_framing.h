/** @file message_framing.h Rules by which the end of an HTTP message is known (RFC 9112, 6). */
#ifndef LABURNUMWEIR_HTTP_MESSAGE_FRAMING_H
#define LABURNUMWEIR_HTTP_MESSAGE_FRAMING_H

#include <boost/beast/http/field.hpp>
#include <boost/system/error_code.hpp>
#include <string_view>

namespace laburnumweir {

/** Kind of a message. */
enum class MessageKind : bool
{
  Request,
  Answer
};

/**
 * Tells whether the end of a message is known from its head: after the announced length, after the
 * last chunk, at the end of the head, or, for answers only, with the connection. Any other message
 * is an error. What follows such a head on the connection must not be read: the peer may take it
 * for the rest of this message, or for the next one.
 *
 * MessageParser applies the rules, and so every reader of requests and answers does. Boost.Beast
 * checks the values of lengths and the syntax of chunks.
 */
class MessageFraming
{
public:
  /**
   * @param aField name of a field of the head; other fields than those of the framing are ignored.
   * @param aValue its value.
   * @return why the field makes the end unknown; no error if it does not.
   */
  boost::system::error_code OnField(boost::beast::http::field aField, std::string_view aValue);

  /**
   * To be called after the last field of the head.
   * @param aKind kind of the message. @param aVersion HTTP version, 11 for HTTP/1.1.
   * @return why the end is unknown; no error if it is known.
   */
  boost::system::error_code CheckHead(MessageKind aKind, unsigned aVersion) const;

private:
  bool hasLength_ = false;  ///< A Content-Length field was seen.
  bool hasCodings_ = false; ///< A Transfer-Encoding field was seen.
  bool isChunked_ = false;  ///< The last coding is chunked.
};

/**
 * @param aIsHeadRequest whether the request has the method HEAD. @param aStatus valid status.
 * @return whether an answer ends with its head, whatever its fields say.
 */
bool
EndsWithHead(bool aIsHeadRequest, unsigned aStatus);

/**
 * Tells an end of a connection that can complete a body without a length from a lost connection.
 * Linux reports the loss to one call only: if that is the write of the request, the read that
 * follows finds an end without an error. A write fails with broken_pipe if the peer had ended its
 * output before the connection was reset.
 * @param aRead result of the read. @param aWrite result of the write as far as it is known.
 * @return whether the peer ended its output in order.
 */
bool
IsOrderlyEnd(const boost::system::error_code& aRead, const boost::system::error_code& aWrite);

} // namespace laburnumweir

#endif
