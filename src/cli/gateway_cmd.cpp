/** @file gateway_cmd.cpp Subcommand that runs a host on the users' platform. */
#include "cli/gateway_cmd.h"

#include "cli/command_options.h"
#include "fleet/overload_policy.h"
#include "gateway/gateway.h"
#include "logging/logging_func.h"
#include "platform/duty_client.h"
#include "platform/engine_client.h"
#include "platform/message_codec.h"
#include "platform/node_settings.h"
#include "platform/store_client.h"

#include <iostream>

namespace laburnumweir {

namespace po = boost::program_options;

namespace {

/** Reads and checks the settings; prints what is wrong with them. */
std::optional<GatewaySettings>
LoadSettings(const std::string& aPath)
{
  std::string text;
  if (!ReadFile(aPath, text)) {
    return std::nullopt;
  }
  GatewaySettings settings;
  const auto errors = platform::DecodeSettings(text, settings);
  for (const auto& error : errors) {
    std::cerr << aPath << ": " << error << "\n";
  }
  return errors.empty() ? std::optional(settings) : std::nullopt;
}

} // namespace

ExitCode
RunGatewayCommand(const Arguments& aArguments)
{
  CommandOptions options(
    "gateway",
    "",
    "Runs a host on the users' platform. The settings are the platform's JSON\n"
    "file, by default the one that the environment names. SIGTERM starts a\n"
    "graceful shutdown, SIGHUP reads the settings again.");
  options.Add()("config", po::value<std::string>(), "settings file")(
    "log-level", po::value<std::string>(), "debug, info, warn or error; info by default")(
    "overload-policy",
    po::value<std::string>(),
    "arrival or worth; instead of overload_policy of the settings file")(
    "check", "check the settings and exit");
  if (const auto code = options.Parse(aArguments)) {
    return *code;
  }
  const std::string path =
    options.Has("config") ? options.Text("config") : platform::SettingsPath();
  if (path.empty()) {
    std::cerr << "laburnumweir gateway: no settings file; use --config FILE\n";
    return ExitCode::Usage;
  }
  auto settings = LoadSettings(path);
  if (!settings) {
    return ExitCode::Error;
  }
  if (options.Has("overload-policy")) {
    settings->overloadPolicy_ = options.Text("overload-policy");
    if (!MakeOverloadPolicy(settings->overloadPolicy_)) {
      std::cerr << "laburnumweir gateway: --overload-policy: expected arrival or worth\n";
      return ExitCode::Usage;
    }
  }
  if (options.Has("check")) {
    std::cout << path << ": no errors\n";
    return ExitCode::Ok;
  }
  StartLogging(options.Has("log-level") ? options.Text("log-level") : "info",
               "stdout",
               settings->host_.Value());
  boost::asio::io_context context(1);
  platform::StoreClient store(context, settings->storeEndpoint_);
  platform::EngineClient engines(context);
  const platform::PlatformMessageCodec codec;
  GatewayPorts ports{ store, engines, codec, [path] { return LoadSettings(path); } };
  std::optional<platform::HttpDutyClient> duties;
  if (settings->reportsUsage_) {
    ports.usageLog_ = &store;
    ports.duties_ = &duties.emplace(context, settings->dutyEndpoint_);
  }
  return RunGateway(context, *settings, ports) ? ExitCode::Ok : ExitCode::Error;
}

} // namespace laburnumweir
