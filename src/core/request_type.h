/** @file request_type.h Requests of callers, run states and errors reported to callers. */
#ifndef LABURNUMWEIR_CORE_REQUEST_TYPE_H
#define LABURNUMWEIR_CORE_REQUEST_TYPE_H

#include "core/clock_base.h"
#include "core/id_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laburnumweir {

/** API that a request of a caller is for. */
enum class RequestKind : std::uint8_t
{
  Completion,     ///< POST /v1/completions
  ChatCompletion, ///< POST /v1/chat/completions
  Service         ///< Any other path; routed to a plain service by its prefix.
};

/** Whether an upstream ran a request. Errors report this to the caller. */
enum class RunState : std::uint8_t
{
  NotRun, ///< No upstream started the request.
  Ran,    ///< The request ran to completion.
  Unknown ///< The request was sent to an upstream and may have run.
};

using HeaderList = std::vector<std::pair<std::string, std::string>>; ///< Names and values.

/** A request as received from a caller. */
struct CallerRequest
{
  RequestId id_; ///< From X-Request-Id; generated if the caller sent none.
  RequestKind kind_ = RequestKind::Completion;
  std::string method_;
  std::string target_;          ///< Path and query.
  HeaderList headers_;          ///< Only fields that may be forwarded to an upstream.
  KeyDigest keyDigest_;         ///< Digest of the caller's key; empty if it sent none.
  std::string idempotencyKey_;  ///< From Idempotency-Key; may be empty.
  ClassId class_;               ///< From X-Request-Class; may be empty.
  AdapterRef adapter_;          ///< From "model" in the body; empty for plain services.
  bool stream_ = false;         ///< Whether the caller requests server-sent events.
  TokenCount promptTokens_ = 0; ///< Upper estimate of the tokens in the prompt.
  TokenCount maxTokens_ = 0;    ///< Maximum number of tokens to generate.
  std::string body_;            ///< As received, byte for byte.
  TimePoint deadline_;          ///< When the caller stops waiting for the answer.
};

/** An error as reported to the caller. */
struct CallerError
{
  int status_ = 500;                  ///< HTTP status.
  std::string code_;                  ///< Stable machine-readable code.
  std::string message_;               ///< Human-readable description.
  RunState run_ = RunState::NotRun;   ///< Whether an upstream ran the request.
  std::chrono::seconds retryAfter_{}; ///< Value of Retry-After; 0 omits the field.
};

} // namespace laburnumweir

#endif
