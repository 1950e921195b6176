/** @file answer_rule_func.h Rules that tell an HTTP answer from other bytes of an untrusted peer.
 */
#ifndef LABURNUMWEIR_HTTP_ANSWER_RULE_FUNC_H
#define LABURNUMWEIR_HTTP_ANSWER_RULE_FUNC_H

#include <boost/system/error_code.hpp>

namespace laburnumweir {

// AnswerParser applies the rules for status lines and fields, and so every reader of answers does.
// The syntax itself, such as the bytes of names and values, is checked by the parser of
// Boost.Beast.

/**
 * @param aStatus number of three digits.
 * @return why the line is none of an answer; no error if it is.
 */
boost::system::error_code
CheckStatusLine(int aStatus);

} // namespace laburnumweir

#endif
