/** @file settings_func.cpp Reads the settings of a host. */
#include "serve/settings_func.h"

#include "http/endpoint_func.h"

#include <algorithm>
#include <boost/json.hpp>
#include <functional>
#include <map>

namespace laburnumweir {

namespace {

namespace json = boost::json;

/** Reads one setting from its JSON value; returns what was expected if the value is not valid. */
using Reader = std::function<std::string(const json::value&)>;

struct Field
{
  std::string path_;        ///< `section.key`.
  bool isRequired_ = false; ///< Whether it must be given.
  Reader read_;             ///< Stores the value.
};

Reader
ReadEndpoint(Endpoint& aTarget)
{
  return [&aTarget](const json::value& aValue) -> std::string {
    if (aValue.is_string() && ParseEndpoint(aValue.get_string(), aTarget)) {
      return {};
    }
    return "a string \"ADDRESS:PORT\" with an IP address";
  };
}

template<typename Assign>
Reader
ReadName(Assign aAssign)
{
  return [aAssign](const json::value& aValue) -> std::string {
    if (!aValue.is_string() || aValue.get_string().empty()) {
      return "a string that is not empty";
    }
    aAssign(std::string(aValue.get_string()));
    return {};
  };
}

template<typename Assign>
Reader
ReadNumber(std::int64_t aMin, std::int64_t aMax, Assign aAssign)
{
  return [=](const json::value& aValue) -> std::string {
    if (!aValue.is_int64() || aValue.get_int64() < aMin || aValue.get_int64() > aMax) {
      return "a whole number from " + std::to_string(aMin) + " to " + std::to_string(aMax);
    }
    aAssign(aValue.get_int64());
    return {};
  };
}

Reader
ReadChoice(std::string& aTarget, std::vector<std::string> aChoices)
{
  return [&aTarget, choices = std::move(aChoices)](const json::value& aValue) -> std::string {
    const auto matches = [&](const std::string& aChoice) {
      return aValue.is_string() && aValue.get_string() == aChoice;
    };
    const auto found = std::find_if(choices.begin(), choices.end(), matches);
    if (found != choices.end()) {
      aTarget = *found;
      return {};
    }
    std::string expected = "one of";
    for (const auto& choice : choices) {
      expected += " \"" + choice + "\"";
    }
    return expected;
  };
}

Reader
ReadDigest(std::string& aTarget)
{
  return [&aTarget](const json::value& aValue) -> std::string {
    constexpr std::size_t kDigits = 64;
    if (aValue.is_string() && aValue.get_string().size() == kDigits &&
        aValue.get_string().find_first_not_of("0123456789abcdef") == json::string::npos) {
      aTarget = std::string(aValue.get_string());
      return {};
    }
    return "64 lower-case hex digits (SHA-256 of the token)";
  };
}

template<typename Rep>
auto
AssignTo(Rep& aTarget)
{
  return [&aTarget](auto aValue) { aTarget = Rep(aValue); };
}

std::vector<Field>
MakeFields(Settings& aSettings)
{
  constexpr std::int64_t kDaySeconds = 86400;
  auto& s = aSettings;
  return {
    { "host.id", true, ReadName(AssignTo(s.hostId_)) },
    { "host.data_centre", true, ReadName(AssignTo(s.dataCentre_)) },
    { "listen.callers", true, ReadEndpoint(s.callers_) },
    { "listen.operators", true, ReadEndpoint(s.operators_) },
    { "listen.peers", true, ReadEndpoint(s.peers_) },
    { "platform.log", true, ReadEndpoint(s.logService_) },
    { "platform.weights", true, ReadEndpoint(s.weightStore_) },
    { "platform.hosts", true, ReadEndpoint(s.hostList_) },
    { "platform.log_retention_s",
      false,
      ReadNumber(10, 3650 * kDaySeconds, AssignTo(s.logRetention_)) },
    { "operators.token_sha256", true, ReadDigest(s.operatorTokenDigest_) },
    { "threads.traffic", false, ReadNumber(1, 64, AssignTo(s.trafficThreads_)) },
    { "logging.level", false, ReadChoice(s.logLevel_, { "debug", "info", "warn", "error" }) },
    { "logging.file", false, ReadName(AssignTo(s.logFile_)) },
    { "placement.policy",
      false,
      ReadChoice(
        s.placement_,
        { "bounded-rendezvous", "random", "round-robin", "least-loaded", "consistent-hash" }) },
    { "callers.max_connections", false, ReadNumber(1, 100000, AssignTo(s.maxConnections_)) },
    { "callers.request_timeout_s", false, ReadNumber(1, 3600, AssignTo(s.requestTimeout_)) },
    { "drain.timeout_s", false, ReadNumber(1, 3600, AssignTo(s.drainTimeout_)) },
    { "once.dedupe_window_s", false, ReadNumber(1, 365 * kDaySeconds, AssignTo(s.dedupeWindow_)) },
    { "once.partitions", false, ReadNumber(1, 1024, AssignTo(s.oncePartitions_)) },
  };
}

std::string
Position(std::string_view aText, std::size_t aOffset)
{
  const auto before = aText.substr(0, aOffset);
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const auto lineStart = before.rfind('\n');
  const auto column = lineStart == std::string_view::npos ? aOffset + 1 : aOffset - lineStart;
  return std::to_string(line) + ":" + std::to_string(column);
}

/** Parses JSON with comments; on an error gives its position in the text. */
json::value
ParseJson(std::string_view aText, std::string_view aFileName, std::vector<std::string>& aErrors)
{
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  json::stream_parser parser({}, options);
  boost::system::error_code error;
  const std::size_t consumed = parser.write_some(aText, error);
  if (!error && consumed < aText.size()) {
    error = json::error::extra_data;
  }
  if (!error) {
    parser.finish(error);
  }
  if (error) {
    aErrors.push_back(std::string(aFileName) + ":" + Position(aText, consumed) +
                      ": expected valid JSON with comments: " + error.message());
    return {};
  }
  return parser.release();
}

void
CheckCombinations(const Settings& aSettings,
                  const std::string& aPrefix,
                  std::vector<std::string>& aErrors)
{
  if (aSettings.dedupeWindow_ >= aSettings.logRetention_) {
    aErrors.push_back(aPrefix +
                      "once.dedupe_window_s: expected less than platform.log_retention_s (" +
                      std::to_string(aSettings.logRetention_.count()) +
                      "), since records of a request must outlive its window");
  }
}

} // namespace

std::vector<std::string>
ParseSettings(std::string_view aText, std::string_view aFileName, Settings& aSettings)
{
  std::vector<std::string> errors;
  const json::value root = ParseJson(aText, aFileName, errors);
  if (!errors.empty()) {
    return errors;
  }
  const std::string prefix = std::string(aFileName) + ": ";
  if (!root.is_object()) {
    return { prefix + "expected an object with sections" };
  }
  const auto fields = MakeFields(aSettings);
  std::map<std::string, const Field*> byPath;
  for (const auto& field : fields) {
    byPath[field.path_] = &field;
  }
  std::map<std::string, bool> seen;
  for (const auto& [section, content] : root.get_object()) {
    if (!content.is_object()) {
      errors.push_back(prefix + std::string(section) + ": expected an object");
      continue;
    }
    for (const auto& [key, value] : content.get_object()) {
      const std::string path = std::string(section) + "." + std::string(key);
      const auto found = byPath.find(path);
      if (found == byPath.end()) {
        errors.push_back(prefix + path + ": unknown key");
        continue;
      }
      seen[path] = true;
      if (const std::string expected = found->second->read_(value); !expected.empty()) {
        std::string error = prefix + path;
        error.append(": expected ").append(expected).append(", found ");
        error.append(json::serialize(value));
        errors.push_back(std::move(error));
      }
    }
  }
  for (const auto& field : fields) {
    if (field.isRequired_ && !seen[field.path_]) {
      errors.push_back(prefix + field.path_ + ": missing");
    }
  }
  CheckCombinations(aSettings, prefix, errors);
  return errors;
}

} // namespace laburnumweir
