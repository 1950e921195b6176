/** @file answer_func.h Text of answers to callers. */
#ifndef LABURNUMWEIR_CALLER_ANSWER_FUNC_H
#define LABURNUMWEIR_CALLER_ANSWER_FUNC_H

#include "core/request_type.h"

#include <cstdint>
#include <optional>
#include <string>

namespace laburnumweir {

/** What the head of an answer depends on besides status and fields. */
struct AnswerFrame
{
  RequestId id_;                               ///< Sent as X-Request-Id.
  std::optional<std::uint64_t> contentLength_; ///< Length of the body, if known.
  bool isChunked_ = false;                     ///< The body is sent in chunks.
  bool isClosing_ = false;                     ///< The connection ends after the answer.
};

/** @return the status line and the fields, with the blank line. */
std::string
AnswerHead(int aStatus, const HeaderList& aHeaders, const AnswerFrame& aFrame);

/** @return the value of Content-Length, if there is a valid one. */
std::optional<std::uint64_t>
AnnouncedLength(const HeaderList& aHeaders);

/** @return the JSON body of an error. */
std::string
ErrorBody(const CallerError& aError, const RequestId& aId);

} // namespace laburnumweir

#endif
