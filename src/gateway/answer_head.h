/** @file answer_head.h Head of an answer to a caller. */
#ifndef LABURNUMWEIR_GATEWAY_ANSWER_HEAD_H
#define LABURNUMWEIR_GATEWAY_ANSWER_HEAD_H

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

namespace laburnumweir {

/** @return the fields that may be passed on, without hop-by-hop fields and Content-Length. */
boost::beast::http::fields
EndToEndFields(const boost::beast::http::fields& aFields);

/**
 * @param aReason reason phrase; the standard phrase of the status if empty.
 * @return status line and header fields of an HTTP/1.1 answer, with the empty line after them.
 */
std::string
AnswerHeadText(unsigned aStatus,
               std::string_view aReason,
               const boost::beast::http::fields& aFields);

} // namespace laburnumweir

#endif
