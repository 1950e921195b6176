/** @file status_cmd.h Subcommands that ask a host what it knows. */
#ifndef LABURNUMWEIR_CLI_STATUS_CMD_H
#define LABURNUMWEIR_CLI_STATUS_CMD_H

#include "cli/cli_type.h"

namespace laburnumweir {

/** `status`: prints the state of a host, or of a change with `--change ID`. @return exit code. */
ExitCode
RunStatus(const Arguments& aArguments);
/** `explain REQUEST_ID`: prints what was decided for a request. @return Ok or Error. */
ExitCode
RunExplain(const Arguments& aArguments);

} // namespace laburnumweir

#endif
