/** @file host.h A host: all its parts, its threads and its shutdown. */
#ifndef LABURNUMWEIR_SERVE_HOST_H
#define LABURNUMWEIR_SERVE_HOST_H

#include "serve/settings_type.h"

namespace laburnumweir {

/**
 * Runs a host until SIGTERM or SIGINT and then shuts it down gracefully.
 * @param aSettings checked settings.
 * @return whether all requests ended before the time limit of the shutdown.
 * @throws std::system_error if an address cannot be listened at.
 */
bool
RunHost(const Settings& aSettings);

} // namespace laburnumweir

#endif
