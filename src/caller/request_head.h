/** @file request_head.h Rules for the heads of callers' requests. */
#ifndef LABURNUMWEIR_CALLER_REQUEST_HEAD_H
#define LABURNUMWEIR_CALLER_REQUEST_HEAD_H

#include "core/request_type.h"

#include <string_view>

namespace laburnumweir {

/** Path of the list of models. */
constexpr std::string_view kModelsPath = "/v1/models";

/** @return whether an identifier from a caller may be used: 1 to 128 of [A-Za-z0-9._-]. */
bool
IsValidRequestId(std::string_view aId);

/** @return the identifier from a caller if it may be used, else a new random one. */
RequestId
RequestIdFrom(std::string_view aField);

/**
 * Takes what this host needs from the head of a request and leaves in headers_ what may go to an
 * upstream. The key is digested and dropped, together with every field whose value contains it.
 * @param aFields all fields of the message.
 * @param aRequest has method_ and target_; receives the rest.
 * @param aError receives the error for the caller.
 * @return false if the request is refused.
 */
bool
ParseHead(const HeaderList& aFields, CallerRequest& aRequest, CallerError& aError);

} // namespace laburnumweir

#endif
