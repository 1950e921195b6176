/** @file completion_parse.h Reads the JSON bodies of the completion endpoints. */
#ifndef LABURNUMWEIR_CALLER_COMPLETION_PARSE_H
#define LABURNUMWEIR_CALLER_COMPLETION_PARSE_H

#include "core/request_type.h"

#include <string>

namespace laburnumweir {

/** Token limits for completions. */
struct TokenSettings
{
  TokenCount defaultMaxTokens_ = 256;  ///< Written into a body that names no maximum.
  TokenCount maxTokensLimit_ = 32768;  ///< Largest maximum that a caller may ask for.
  TokenCount promptBytesPerToken_ = 1; ///< Fewest bytes that a token of the prompt may stand for.
};

/**
 * Reads the body of a completion into adapter_, stream_, promptTokens_ and maxTokens_.
 *
 * promptTokens_ is an upper bound: a byte-level tokenizer makes at most one token of each UTF-8
 * byte, so it is the number of bytes of the prompt's text divided by promptBytesPerToken_, plus 8
 * for the frame of each message and 8 for the whole. Where `tools`, `functions` or
 * `response_format` add text that the engine's template decides on, all bytes of the body count.
 *
 * maxTokens_ counts every choice (`n`, `best_of`). If the body names no maximum, the default is
 * written into it, so that the engine cannot generate more than was reserved.
 *
 * @param aSettings limits.
 * @param aRequest request with kind_ and body_; receives the fields.
 * @param aError receives the error for the caller.
 * @return false if the body is refused.
 */
bool
ParseCompletion(const TokenSettings& aSettings, CallerRequest& aRequest, CallerError& aError);

} // namespace laburnumweir

#endif
