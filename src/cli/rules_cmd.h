/** @file rules_cmd.h Subcommands on the rule file. */
#ifndef LABURNUMWEIR_CLI_RULES_CMD_H
#define LABURNUMWEIR_CLI_RULES_CMD_H

#include "cli/cli_type.h"

namespace laburnumweir {

/** `rules check FILE`: checks a rule file. @return Ok or Error. */
ExitCode
RunRulesCheck(const Arguments& aArguments);
/** `rules show`: prints the rules in force. @return Ok or Error. */
ExitCode
RunRulesShow(const Arguments& aArguments);
/** `rules diff FILE`: prints what an apply would change. @return Ok or Error. */
ExitCode
RunRulesDiff(const Arguments& aArguments);
/** `rules apply FILE`: puts a rule file in force. @return Ok, Error, Rejected or Unknown. */
ExitCode
RunRulesApply(const Arguments& aArguments);
/** `key new WORKSPACE`: makes a key and its rule line. @return Ok or Error. */
ExitCode
RunKeyNew(const Arguments& aArguments);

} // namespace laburnumweir

#endif
