/** @file command_options.h Options of a subcommand, with help and errors. */
#ifndef LABURNUMWEIR_CLI_COMMAND_OPTIONS_H
#define LABURNUMWEIR_CLI_COMMAND_OPTIONS_H

#include "cli/cli_type.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>
#include <optional>
#include <string>

namespace laburnumweir {

/** Parses the words after a subcommand. */
class CommandOptions
{
public:
  /**
   * @param aName the subcommand.
   * @param aUsage positional arguments for the help text.
   * @param aText explanation for the help text.
   */
  CommandOptions(std::string aName, std::string aUsage, std::string aText);

  /** @return the options to add to. */
  boost::program_options::options_description_easy_init Add() { return options_.add_options(); }
  /** Adds a required positional argument. @param aName its name. @param aHelp its meaning. */
  void AddPositional(const std::string& aName, const std::string& aHelp);
  /** Adds `--operator` and `--token-file`, for commands that talk to a host. */
  void AddOperatorOptions();
  /**
   * Parses the words; prints help or the error.
   * @param aArguments words after the subcommand.
   * @return the exit code if the command must not go on.
   */
  std::optional<ExitCode> Parse(const Arguments& aArguments);

  /** @param aName an option. @return its value; empty if it was not given. */
  std::string Text(const std::string& aName) const;
  /** @param aName an option. @return its number. */
  long Number(const std::string& aName) const;
  /** @param aName an option. @return whether it was given. */
  bool Has(const std::string& aName) const { return values_.count(aName) != 0; }

private:
  std::string name_;                                    ///< The subcommand.
  std::string usage_;                                   ///< Positional arguments.
  std::string text_;                                    ///< Explanation.
  std::vector<std::string> required_;                   ///< Positional arguments by name.
  boost::program_options::options_description options_; ///< Options shown in the help.
  boost::program_options::options_description hidden_;  ///< Positional arguments.
  boost::program_options::positional_options_description positions_; ///< Their sequence.
  boost::program_options::variables_map values_;                     ///< Values given.
};

/**
 * Reads a whole file.
 * @param aPath path of the file.
 * @param aText receives the content.
 * @return false, after printing the reason, if it cannot be read.
 */
bool
ReadFile(const std::string& aPath, std::string& aText);

} // namespace laburnumweir

#endif
