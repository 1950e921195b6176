/** @file main.cpp Entry point of the laburnumweir binary: selects the subcommand. */
#include "cli/gateway_cmd.h"
#include "cli/rules_cmd.h"
#include "cli/serve_cmd.h"
#include "cli/status_cmd.h"

#include <exception>
#include <iostream>
#include <string_view>

namespace laburnumweir {

namespace {

constexpr std::string_view kVersion = "0.1.0";

ExitCode
RunVersion(const Arguments&)
{
  std::cout << "laburnumweir " << kVersion << "\n";
  return ExitCode::Ok;
}

const std::vector<Subcommand>&
Subcommands()
{
  static const std::vector<Subcommand> kSubcommands{
    { "serve", "run a host", RunServe },
    { "gateway", "run a host on the users' platform", RunGatewayCommand },
    { "rules check", "check a rule file", RunRulesCheck },
    { "rules diff", "print what an apply would change", RunRulesDiff },
    { "rules apply", "put a rule file in force on all hosts", RunRulesApply },
    { "rules show", "print the rules in force", RunRulesShow },
    { "key new", "make a key for a workspace", RunKeyNew },
    { "status", "print the state of a host, or of a change", RunStatus },
    { "explain", "print what was decided for a request", RunExplain },
    { "version", "print the version", RunVersion },
  };
  return kSubcommands;
}

void
PrintOverview(std::ostream& aStream)
{
  constexpr std::size_t kColumn = 14;
  aStream << "Usage: laburnumweir SUBCOMMAND [arguments]\n\nSubcommands:\n";
  for (const auto& command : Subcommands()) {
    aStream << "  " << command.name_ << std::string(kColumn - command.name_.size(), ' ')
            << command.summary_ << "\n";
  }
  aStream << "\n'laburnumweir SUBCOMMAND --help' explains one.\n"
          << "Exit codes: 0 ok, 1 error, 2 usage, 3 rejected, 4 unknown.\n";
}

/** Runs the subcommand named by the first one or two words. */
ExitCode
Run(const Arguments& aWords)
{
  if (aWords.empty()) {
    PrintOverview(std::cerr);
    return ExitCode::Usage;
  }
  if (aWords[0] == "--help" || aWords[0] == "-h" || aWords[0] == "help") {
    PrintOverview(std::cout);
    return ExitCode::Ok;
  }
  for (const auto& command : Subcommands()) {
    if (aWords[0] == command.name_) {
      return command.run_({ aWords.begin() + 1, aWords.end() });
    }
    if (aWords.size() > 1 && aWords[0] + " " + aWords[1] == command.name_) {
      return command.run_({ aWords.begin() + 2, aWords.end() });
    }
  }
  std::cerr << "laburnumweir: unknown subcommand \"" << aWords[0] << "\"\n";
  PrintOverview(std::cerr);
  return ExitCode::Usage;
}

} // namespace

} // namespace laburnumweir

int
main(int aCount, char** aWords)
{
  try {
    return static_cast<int>(
      laburnumweir::Run(laburnumweir::Arguments(aWords + 1, aWords + aCount)));
  } catch (const std::exception& error) {
    std::cerr << "laburnumweir: " << error.what() << "\n";
    return static_cast<int>(laburnumweir::ExitCode::Error);
  }
}
