/** @file answer_rule_func.h Rules that tell an HTTP answer from other bytes of an untrusted peer.
 */
#ifndef LABURNUMWEIR_HTTP_ANSWER_RULE_FUNC_H
#define LABURNUMWEIR_HTTP_ANSWER_RULE_FUNC_H

#include <boost/system/error_code.hpp>
#include <string_view>

namespace laburnumweir {

/** Interim answers that a reader skips; a peer that sends more of them sends no answer. */
inline constexpr int kMaxInterimAnswers = 8;

// AnswerParser applies the rules for status lines and fields, and so every reader of answers does.
// The syntax itself, such as the bytes of names and values, is checked by the parser of
// Boost.Beast.

/**
 * @param aStatus number of three digits. @param aReason reason phrase; may be empty.
 * @return why the line is none of an answer; no error if it is.
 */
boost::system::error_code
CheckStatusLine(int aStatus, std::string_view aReason);

/** @return whether a valid status is one of an interim answer, after which the answer follows. */
bool
IsInterimStatus(int aStatus);

/**
 * @param aName name of a field of a head or a trailer. @param aValue its value.
 * @return why the field is none of an answer; no error if it is.
 */
boost::system::error_code
CheckAnswerField(std::string_view aName, std::string_view aValue);

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
