/** @file rules_page_test.cpp Test of the examples in docs/RULES.md. */
#include "rules/rule_parser_func.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

/** Guards against a page whose examples the parser refuses. */
TEST(RulesPage, ItsExamplesAreOneValidFile)
{
  const auto page = std::filesystem::path(__FILE__).parent_path() / "../../docs/RULES.md";
  std::ifstream stream(page);
  ASSERT_TRUE(stream) << page;
  std::string rules;
  bool isExample = false;
  for (std::string line; std::getline(stream, line);) {
    if (line.starts_with("```")) {
      isExample = line == "```rules";
    } else if (isExample) {
      rules += line + "\n";
    }
  }
  const RuleParseResult result = ParseAndCheckRules(rules);
  for (const RuleError& error : result.errors_) {
    ADD_FAILURE() << error.ToString("RULES.md");
  }
  const RuleSet set = result.book_.Derive();
  EXPECT_FALSE(set.workspaces_.empty() || set.keys_.empty() || set.classes_.empty() ||
               set.orders_.empty() || set.routes_.empty() || set.dataCentres_.empty() ||
               set.upstreams_.empty());
}

} // namespace
} // namespace laburnumweir
