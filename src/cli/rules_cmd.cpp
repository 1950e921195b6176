/** @file rules_cmd.cpp Subcommands on the rule file. */
#include "cli/rules_cmd.h"

#include "cli/operator_client.h"
#include "core/hash_func.h"
#include "rules/key_func.h"
#include "rules/rule_book.h"
#include "rules/rule_parser_func.h"

#include <boost/json.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <thread>

namespace laburnumweir {

namespace {

namespace json = boost::json;
namespace po = boost::program_options;

constexpr std::chrono::milliseconds kPollInterval{ 100 };
constexpr std::size_t kChangeIdBytes = 8;

std::string
CurrentUser()
{
  const char* user = std::getenv("USER");
  return user != nullptr ? user : "operator";
}

bool
ReadRules(const std::string& aPath, std::string& aText, RuleBook& aBook)
{
  if (!ReadFile(aPath, aText)) {
    return false;
  }
  RuleParseResult result = ParseAndCheckRules(aText);
  for (const auto& error : result.errors_) {
    std::cerr << error.ToString(aPath) << "\n";
  }
  aBook = std::move(result.book_);
  return result.errors_.empty();
}

/** Rules in force as a host reports them. */
struct RulesInForce
{
  json::value revision_; ///< Revision; null if there is none.
  std::string text_;     ///< Canonical rule file.
};

bool
FetchRules(const OperatorClient& aClient, RulesInForce& aRules)
{
  const OperatorAnswer answer = aClient.Send("GET", "/v1/rules");
  if (answer.error_ || answer.status_ != 200 || !answer.body_.is_object()) {
    aClient.PrintFailure(answer);
    return false;
  }
  const auto& body = answer.body_.as_object();
  aRules.revision_ = body.at("revision");
  aRules.text_ = std::string(body.at("text").as_string());
  return true;
}

/** Prints the members whose status changed since the last call. */
void
PrintProgress(const json::object& aChange, std::map<std::string, std::string>& aShown)
{
  const auto* members = aChange.if_contains("members");
  if (members == nullptr) {
    return;
  }
  for (const auto& member : members->as_array()) {
    const std::string host(member.at("host").as_string());
    const std::string status(member.at("status").as_string());
    if (aShown[host] != status) {
      aShown[host] = status;
      std::cout << "  " << host << ": " << status << "\n" << std::flush;
    }
  }
}

/** Waits until a change is decided or the time is over. */
ExitCode
AwaitChange(const OperatorClient& aClient, const std::string& aId, std::chrono::seconds aLimit)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  std::map<std::string, std::string> shown;
  do {
    const OperatorAnswer answer = aClient.Send("GET", "/v1/changes/" + aId);
    if (!answer.error_ && answer.status_ == 200 && answer.body_.is_object()) {
      const auto& change = answer.body_.as_object();
      PrintProgress(change, shown);
      const std::string state(change.at("state").as_string());
      const std::string detail(change.at("detail").as_string());
      if (state == "accepted") {
        std::cout << "accepted: " << detail << "\n";
        return ExitCode::Ok;
      }
      if (state == "rejected") {
        std::cout << "rejected: " << detail << "\n";
        return ExitCode::Rejected;
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  } while (std::chrono::steady_clock::now() < end);
  std::cout << "unknown: not decided within " << aLimit.count()
            << " s; find out with: laburnumweir status --operator " << aClient.Address()
            << " --change " << aId << "\n";
  return ExitCode::Unknown;
}

} // namespace

ExitCode
RunRulesCheck(const Arguments& aArguments)
{
  CommandOptions options("rules check", "FILE", "Checks a rule file without contacting a host.");
  options.AddPositional("FILE", "rule file");
  if (const auto code = options.Parse(aArguments)) {
    return *code;
  }
  std::string text;
  RuleBook book;
  if (!ReadRules(options.Text("FILE"), text, book)) {
    return ExitCode::Error;
  }
  std::cout << options.Text("FILE") << ": " << book.Lines().size() << " rules, no errors\n";
  return ExitCode::Ok;
}

ExitCode
RunRulesShow(const Arguments& aArguments)
{
  CommandOptions options("rules show", "", "Prints the rules in force as a rule file.");
  options.AddOperatorOptions();
  if (const auto code = options.Parse(aArguments)) {
    return *code;
  }
  const auto client = OperatorClient::FromOptions(options);
  RulesInForce rules;
  if (!client || !FetchRules(*client, rules)) {
    return ExitCode::Error;
  }
  std::cout << "# revision " << json::serialize(rules.revision_) << "\n" << rules.text_;
  return ExitCode::Ok;
}

ExitCode
RunRulesDiff(const Arguments& aArguments)
{
  CommandOptions options(
    "rules diff", "FILE", "Prints the lines that an apply of FILE would add and remove.");
  options.AddPositional("FILE", "rule file");
  options.AddOperatorOptions();
  if (const auto code = options.Parse(aArguments)) {
    return *code;
  }
  std::string text;
  RuleBook wanted;
  const auto client = OperatorClient::FromOptions(options);
  RulesInForce rules;
  if (!ReadRules(options.Text("FILE"), text, wanted) || !client || !FetchRules(*client, rules)) {
    return ExitCode::Error;
  }
  std::cout << DiffRules(ParseRules(rules.text_).book_, wanted).ToString();
  return ExitCode::Ok;
}

ExitCode
RunRulesApply(const Arguments& aArguments)
{
  CommandOptions options("rules apply",
                         "FILE",
                         "Puts the rules of FILE in force on all hosts and waits until they are.\n"
                         "Exit code 0: accepted, in force everywhere. 3: rejected, another change\n"
                         "won. 4: not decided in time; the message says how to find out.");
  options.AddPositional("FILE", "rule file");
  options.AddOperatorOptions();
  options.Add()("timeout", po::value<long>()->default_value(20), "seconds to wait")(
    "base", po::value<long>(), "revision that FILE was made from; default: the one in force")(
    "who", po::value<std::string>()->default_value(CurrentUser()), "your name, for the record")(
    "init", "write a first snapshot if the log lost all of them");
  if (const auto code = options.Parse(aArguments)) {
    return *code;
  }
  std::string text;
  RuleBook wanted;
  const auto client = OperatorClient::FromOptions(options);
  if (!ReadRules(options.Text("FILE"), text, wanted) || !client) {
    return ExitCode::Error;
  }
  json::object request;
  const std::string id = SecureRandomHex(kChangeIdBytes);
  request["id"] = id;
  request["text"] = text;
  request["operator"] = options.Text("who");
  request["init"] = options.Has("init");
  if (options.Has("base")) {
    request["base"] = options.Number("base");
  } else if (!options.Has("init")) {
    RulesInForce rules;
    if (!FetchRules(*client, rules)) {
      return ExitCode::Error;
    }
    request["base"] = rules.revision_;
  }
  const OperatorAnswer answer = client->Send("POST", "/v1/rules", json::serialize(request));
  if (answer.status_ == 200) {
    std::cout << "no change: these rules are in force\n";
    return ExitCode::Ok;
  }
  if (answer.status_ != 202 && !answer.error_) {
    client->PrintFailure(answer);
    return answer.status_ == 409 ? ExitCode::Rejected : ExitCode::Error;
  }
  std::cout << "change " << id << "\n" << std::flush;
  return AwaitChange(*client, id, std::chrono::seconds(options.Number("timeout")));
}

ExitCode
RunKeyNew(const Arguments& aArguments)
{
  CommandOptions options(
    "key new",
    "WORKSPACE",
    "Makes a key for a workspace. Prints the key, which is stored nowhere, and\n"
    "the rule line to put into the rule file.");
  options.AddPositional("WORKSPACE", "workspace of the key");
  options.Add()("name", po::value<std::string>()->default_value(""), "name of the key for people")(
    "who", po::value<std::string>()->default_value(CurrentUser()), "who asked for it");
  if (const auto code = options.Parse(aArguments)) {
    return *code;
  }
  const NewKey key =
    GenerateKey(WorkspaceId(options.Text("WORKSPACE")), options.Text("name"), options.Text("who"));
  std::cout << "key:  " << key.key_ << "\nrule: " << key.line_.text_ << "\n";
  return ExitCode::Ok;
}

} // namespace laburnumweir
