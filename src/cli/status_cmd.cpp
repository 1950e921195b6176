/** @file status_cmd.cpp Subcommands that ask a host what it knows. */
#include "cli/status_cmd.h"

#include "cli/operator_client.h"

#include <boost/json.hpp>
#include <iostream>

namespace laburnumweir {

namespace {

namespace json = boost::json;
namespace po = boost::program_options;

std::string
ToText(const json::value& aValue)
{
  return aValue.is_string() ? std::string(aValue.as_string()) : json::serialize(aValue);
}

/** Prints an object as indented `name: value` lines. */
void
PrintObject(const json::object& aObject, const std::string& aIndent)
{
  for (const auto& [name, value] : aObject) {
    std::cout << aIndent << std::string(name) << ":";
    if (value.is_object()) {
      std::cout << "\n";
      PrintObject(value.as_object(), aIndent + "  ");
    } else if (value.is_array()) {
      std::cout << "\n";
      for (const auto& item : value.as_array()) {
        if (item.is_object()) {
          std::cout << aIndent << "  -";
          for (const auto& [key, content] : item.as_object()) {
            std::cout << " " << std::string(key) << "=" << ToText(content);
          }
          std::cout << "\n";
        } else {
          std::cout << aIndent << "  - " << ToText(item) << "\n";
        }
      }
    } else {
      std::cout << " " << ToText(value) << "\n";
    }
  }
}

ExitCode
PrintChange(const OperatorClient& aClient, const std::string& aId)
{
  const OperatorAnswer answer = aClient.Send("GET", "/v1/changes/" + aId);
  if (answer.error_ || answer.status_ != 200 || !answer.body_.is_object()) {
    aClient.PrintFailure(answer);
    return ExitCode::Error;
  }
  PrintObject(answer.body_.as_object(), "");
  const auto& state = answer.body_.at("state").as_string();
  if (state == "accepted") {
    return ExitCode::Ok;
  }
  return state == "rejected" ? ExitCode::Rejected : ExitCode::Unknown;
}

} // namespace

ExitCode
RunStatus(const Arguments& aArguments)
{
  CommandOptions options(
    "status",
    "",
    "Prints what a host knows: its readiness, revision, members and upstreams.\n"
    "With --change ID it prints what became of a change of the rules and exits\n"
    "with 0 (accepted), 3 (rejected) or 4 (not known).");
  options.AddOperatorOptions();
  options.Add()("change", po::value<std::string>(), "identifier that `rules apply` printed")(
    "json", "print JSON");
  if (const auto code = options.Parse(aArguments)) {
    return *code;
  }
  const auto client = OperatorClient::FromOptions(options);
  if (!client) {
    return ExitCode::Error;
  }
  if (options.Has("change")) {
    return PrintChange(*client, options.Text("change"));
  }
  const OperatorAnswer answer = client->Send("GET", "/v1/status");
  if (answer.error_ || answer.status_ != 200 || !answer.body_.is_object()) {
    client->PrintFailure(answer);
    return ExitCode::Error;
  }
  if (options.Has("json")) {
    std::cout << answer.text_ << "\n";
  } else {
    PrintObject(answer.body_.as_object(), "");
  }
  return ExitCode::Ok;
}

ExitCode
RunExplain(const Arguments& aArguments)
{
  CommandOptions options(
    "explain",
    "REQUEST_ID",
    "Prints what was decided for a request of the last minutes, a line for each\n"
    "step. The host asks all other hosts too.");
  options.AddPositional("REQUEST_ID", "value of X-Request-Id in the answer");
  options.AddOperatorOptions();
  if (const auto code = options.Parse(aArguments)) {
    return *code;
  }
  const auto client = OperatorClient::FromOptions(options);
  if (!client) {
    return ExitCode::Error;
  }
  const OperatorAnswer answer = client->Send("GET", "/v1/explain/" + options.Text("REQUEST_ID"));
  if (answer.error_ || answer.status_ != 200 || !answer.body_.is_object()) {
    client->PrintFailure(answer);
    return ExitCode::Error;
  }
  for (const auto& host : answer.body_.at("hosts").as_array()) {
    std::cout << ToText(host.at("host")) << "\n";
    for (const auto& line : host.at("lines").as_array()) {
      std::cout << "  " << ToText(line) << "\n";
    }
  }
  return ExitCode::Ok;
}

} // namespace laburnumweir
