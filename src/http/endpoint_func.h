/** @file endpoint_func.h Text form of endpoints. */
#ifndef LABURNUMWEIR_HTTP_ENDPOINT_FUNC_H
#define LABURNUMWEIR_HTTP_ENDPOINT_FUNC_H

#include "core/upstream_client_base.h"

#include <string_view>

namespace laburnumweir {

/**
 * Parses `address:port` with an IP address.
 * @param aText the text; an IPv6 address stands in brackets.
 * @param aResult receives the endpoint.
 * @return whether the text is valid.
 */
bool
ParseEndpoint(std::string_view aText, Endpoint& aResult);

} // namespace laburnumweir

#endif
