/** @file serve_cmd.cpp Subcommand that runs a host. */
#include "cli/serve_cmd.h"

#include "cli/command_options.h"
#include "logging/logging_func.h"
#include "serve/host.h"
#include "serve/settings_func.h"

#include <iostream>

namespace laburnumweir {

namespace po = boost::program_options;

ExitCode
RunServe(const Arguments& aArguments)
{
  CommandOptions options("serve",
                         "",
                         "Runs a host. SIGTERM starts a graceful shutdown: running requests end\n"
                         "first; a second SIGTERM ends the host at once.");
  options.Add()("config", po::value<std::string>(), "settings, JSON with comments (required)")(
    "check", "check the settings and exit");
  if (const auto code = options.Parse(aArguments)) {
    return *code;
  }
  if (!options.Has("config")) {
    std::cerr << "laburnumweir serve: missing option --config FILE\n";
    return ExitCode::Usage;
  }
  std::string text;
  if (!ReadFile(options.Text("config"), text)) {
    return ExitCode::Error;
  }
  Settings settings;
  const auto errors = ParseSettings(text, options.Text("config"), settings);
  for (const auto& error : errors) {
    std::cerr << error << "\n";
  }
  if (!errors.empty()) {
    return ExitCode::Error;
  }
  if (options.Has("check")) {
    std::cout << options.Text("config") << ": no errors\n";
    return ExitCode::Ok;
  }
  StartLogging(settings.logLevel_, settings.logFile_, settings.hostId_.Value());
  try {
    return RunHost(settings) ? ExitCode::Ok : ExitCode::Error;
  } catch (const std::exception& error) {
    std::cerr << "laburnumweir serve: " << error.what() << "\n";
    return ExitCode::Error;
  }
}

} // namespace laburnumweir
