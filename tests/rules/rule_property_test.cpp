/** @file rule_property_test.cpp Properties of the parser on generated text. */
#include "rules/rule_parser_func.h"

#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <rapidcheck.h>

namespace laburnumweir {
namespace {

/** Checks a property with a fixed seed, or with the parameters in RC_PARAMS. */
template<typename Testable>
void
CheckProperty(Testable aTestable)
{
  rc::detail::TestParams params;
  params.seed = 1;
  params.maxSuccess = 5000;
  if (std::getenv("RC_PARAMS") != nullptr) {
    params = rc::detail::configuration().testParams;
  }
  const auto result = rc::detail::checkTestable(aTestable, rc::detail::TestMetadata{}, params);
  if (!result.template is<rc::detail::SuccessResult>()) {
    rc::detail::printResultMessage(result, std::cerr);
    ADD_FAILURE() << "seed " << params.seed;
  }
}

/** @return text that resembles rules, with characters put in, taken out and replaced. */
std::string
NearlyRules()
{
  static const std::vector<std::string> lines = {
    "workspace w rate=1 burst=2 # x",
    "class a max-wait=2s deadline=06:00 zone=UTC # x",
    "order 06:00-07:00 zone=Africa/Dakar a # x",
    "order default a # x",
    "route \"/b\" service=s open never-repeat class=a # x",
    "datacentre d in # x",
    "upstream e engine [::1]:1 datacentre=d model=\"m \\\" n\" slots=1 fencing=checked # x",
    "upstream s service 127.0.0.1:1 datacentre=d service=s leaving # x"
  };
  std::string text;
  for (const std::string& line :
       *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(lines))) {
    text += line + "\n";
  }
  const int edits = *rc::gen::inRange(0, 4);
  for (int i = 0; i < edits && !text.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const char character =
      *rc::gen::elementOf(std::string(" \t\n\r\"\\#=:-[]aZ09\x01\x7f\xc3\xff"));
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        text.insert(at, 1, character);
        break;
      case 1:
        text.erase(at, 1);
        break;
      default:
        text[at] = character;
    }
  }
  return text;
}

/** Guards against a parser that fails on odd text or reports a place outside the file. */
TEST(RuleProperty, ErrorsLieInsideTheText)
{
  CheckProperty([] {
    const std::string text = NearlyRules();
    const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) + 1;
    for (const RuleError& error : ParseAndCheckRules(text).errors_) {
      RC_ASSERT(error.code_);
      RC_ASSERT(error.line_ >= 1U);
      RC_ASSERT(error.line_ <= lines);
      RC_ASSERT(error.column_ >= 1U);
      RC_ASSERT(error.column_ <= text.size() + 1);
      RC_ASSERT(!error.expected_.empty());
    }
  });
}

/** Guards against canonical text that is refused or read back as another rule. */
TEST(RuleProperty, CanonicalTextIsReadBackEqual)
{
  CheckProperty([] {
    const RuleBook book = ParseRules(NearlyRules()).book_;
    const RuleParseResult again = ParseRules(book.Print());
    RC_ASSERT(again.errors_.empty());
    RC_ASSERT(again.book_ == book);
    RC_ASSERT(again.book_.Derive() == book.Derive());
    for (const auto& [identity, line] : book.Lines()) {
      const RuleLine restored = RestoreRuleLine(identity, line.text_);
      RC_ASSERT(restored.rule_ == line.rule_);
    }
  });
}

} // namespace
} // namespace laburnumweir
