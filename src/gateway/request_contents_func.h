/** @file request_contents_func.h What a request may have in common with others. */
#ifndef LABURNUMWEIR_GATEWAY_REQUEST_CONTENTS_FUNC_H
#define LABURNUMWEIR_GATEWAY_REQUEST_CONTENTS_FUNC_H

#include "core/id_type.h"
#include "fleet/crash_suspects.h"
#include "gateway/upstream_link.h"

#include <cstddef>
#include <string>
#include <vector>

namespace laburnumweir {

/**
 * @param aRequest the request as the caller sent it. @param aWorkspace owner of its key; empty if
 * it has none. @param aSharedParts ids of the parts of its prompt that others may share. An id that
 * is long, or has bytes that messages between hosts cannot hold, is replaced by its digest.
 * @return its contents.
 */
RequestContents
ContentsOf(const HttpRequest& aRequest,
           const WorkspaceId& aWorkspace,
           std::vector<std::string> aSharedParts);

/** @return bytes of memory that the contents take. */
std::size_t
BytesOf(const RequestContents& aContents);

} // namespace laburnumweir

#endif
