/** @file gateway_cmd.h Subcommand that runs a host on the users' platform. */
#ifndef LABURNUMWEIR_CLI_GATEWAY_CMD_H
#define LABURNUMWEIR_CLI_GATEWAY_CMD_H

#include "cli/cli_type.h"

namespace laburnumweir {

/** `gateway`: runs a host on the users' platform. @param aArguments words after it. */
ExitCode
RunGatewayCommand(const Arguments& aArguments);

} // namespace laburnumweir

#endif
