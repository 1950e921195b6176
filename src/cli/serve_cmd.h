/** @file serve_cmd.h Subcommand that runs a host. */
#ifndef LABURNUMWEIR_CLI_SERVE_CMD_H
#define LABURNUMWEIR_CLI_SERVE_CMD_H

#include "cli/cli_type.h"

namespace laburnumweir {

/** `serve`: runs a host until SIGTERM or SIGINT. @return Ok after a graceful shutdown, or Error. */
ExitCode
RunServe(const Arguments& aArguments);

} // namespace laburnumweir

#endif
