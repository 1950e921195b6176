/** @file settings_test.cpp Tests of reading settings. */
#include "serve/settings_func.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

const std::string kDigest(64, 'a');

std::string
ValidSettings(const std::string& aExtra = {})
{
  return R"({
  // The name is that of the machine.
  "host": { "id": "h1", "data_centre": "dc-a" },
  "listen": { "callers": "127.0.0.1:8000", "operators": "127.0.0.1:8001", "peers": "127.0.0.1:8002" },
  "platform": { "log": "127.0.0.1:9000", "weights": "127.0.0.1:9001", "hosts": "127.0.0.1:9002" },
  "operators": { "token_sha256": ")" +
         kDigest + "\" }" + aExtra + "\n}";
}

/** Guards against a file with comments being refused or read wrongly. */
TEST(Settings, ReadsJsonWithComments)
{
  Settings settings;
  const auto errors =
    ParseSettings(ValidSettings(", \"threads\": { \"traffic\": 4 }"), "f.json", settings);
  ASSERT_TRUE(errors.empty()) << errors.front();
  EXPECT_EQ("h1", settings.hostId_.Value());
  EXPECT_EQ(8002, settings.peers_.port_);
  EXPECT_EQ(4U, settings.trafficThreads_);
}

struct ErrorCase
{
  std::string name_;     ///< What is wrong.
  std::string extra_;    ///< Appended to valid settings.
  std::string expected_; ///< Part of the error.
};

class SettingsErrorTest : public ::testing::TestWithParam<ErrorCase>
{};

/** Guards against a mistake in the settings that starts a host with another meaning. */
TEST_P(SettingsErrorTest, NamesWhatIsWrong)
{
  Settings settings;
  const auto errors = ParseSettings(ValidSettings(GetParam().extra_), "f.json", settings);
  ASSERT_EQ(1U, errors.size());
  EXPECT_NE(std::string::npos, errors.front().find(GetParam().expected_)) << errors.front();
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  SettingsErrorTest,
  ::testing::Values(
    ErrorCase{ "UnknownKey", R"(, "threads": { "trafic": 4 })", "threads.trafic: unknown key" },
    ErrorCase{ "UnknownSection", R"(, "thread": 4)", "thread: expected an object" },
    ErrorCase{ "WrongType",
               R"(, "threads": { "traffic": "4" })",
               "threads.traffic: expected a whole number from 1 to 64, found \"4\"" },
    ErrorCase{ "OutOfRange", R"(, "threads": { "traffic": 0 })", "from 1 to 64, found 0" },
    ErrorCase{ "WrongChoice", R"(, "logging": { "level": "loud" })", "one of \"debug\"" },
    ErrorCase{ "Syntax", R"(, "threads": { "traffic" 4 })", "f.json:6:" },
    ErrorCase{ "WindowBeyondRetention",
               R"(, "once": { "dedupe_window_s": 604800 })",
               "expected less than platform.log_retention_s" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/** Guards against a host that starts without knowing who or where it is. */
TEST(Settings, MissingKeysAreAllNamed)
{
  Settings settings;
  const auto errors = ParseSettings("{}", "f.json", settings);
  EXPECT_EQ(9U, errors.size());
}

} // namespace
} // namespace laburnumweir
