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
// Boost.Beast. Where an answer ends is told by message_framing.h.

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
 * @param aValue value of a field of a head or a trailer.
 * @return why the field is none of an answer; no error if it is.
 */
boost::system::error_code
CheckAnswerField(std::string_view aValue);

} // namespace laburnumweir

#endif
