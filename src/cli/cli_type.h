/** @file cli_type.h Exit codes and shared options of the command line. */
#ifndef LABURNUMWEIR_CLI_CLI_TYPE_H
#define LABURNUMWEIR_CLI_CLI_TYPE_H

#include <string>
#include <vector>

namespace laburnumweir {

/** Exit codes of the binary. */
enum class ExitCode
{
  Ok = 0,       ///< Done.
  Error = 1,    ///< Something failed; the message says what.
  Usage = 2,    ///< The command line is wrong.
  Rejected = 3, ///< The change was rejected.
  Unknown = 4,  ///< It is not known whether the change was accepted.
};

using Arguments = std::vector<std::string>; ///< Words after the subcommand.

/** A subcommand. */
struct Subcommand
{
  std::string name_;    ///< Words that select it, for example `rules check`.
  std::string summary_; ///< One line for the overview.
  ExitCode (*run_)(const Arguments& aArguments); ///< Runs it.
};

} // namespace laburnumweir

#endif
