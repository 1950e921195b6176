/** @file rule_parser_test.cpp Tests of the grammar and of the checks between rules. */
#include "rules/rule_parser_func.h"

#include <gtest/gtest.h>
#include <ostream>

namespace laburnumweir {
namespace {

constexpr const char* kDigest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

const std::string kFile = std::string(R"(# Rules of both users
workspace gustline rate=50000 burst=200000        # Ana (ops), contract
key gustline sha256:)") + kDigest +
                          R"( name="app one"       # Ana
class briefing max-wait=2s                        # Ana
class digest deadline=06:00 zone=Africa/Dakar     # Ana
class lookup max-wait=1500ms # Ana

order 06:00-11:00 zone=Africa/Dakar briefing lookup digest   # Ana
order default briefing lookup digest              # Ana
route /bookings service=bookings never-repeat class=lookup   # Mor
route /conditions service=bookings open class=lookup       # Mor
datacentre dc-a in                                # Mor
upstream e1 engine 127.0.0.1:9001 datacentre=dc-a model=base slots=8 max-running=32 fencing=checked  # Mor
upstream b1 service 127.0.0.1:9101 datacentre=dc-a service=bookings   # Mor
upstream e2 engine [::1]:9002 datacentre=dc-a model=base slots=8 fencing=ignored leaving   # Mor
)";

/** Guards against a rule of the documented file that is refused or read wrongly. */
TEST(RuleParser, ReadsEveryKindOfRule)
{
  const RuleParseResult result = ParseAndCheckRules(kFile);
  for (const RuleError& error : result.errors_) {
    ADD_FAILURE() << error.ToString("rules");
  }
  const RuleSet rules = result.book_.Derive();
  EXPECT_EQ((WorkspaceRule{ WorkspaceId("gustline"), 50000, 200000 }),
            rules.workspaces_.at(WorkspaceId("gustline")));
  EXPECT_EQ("app one", rules.keys_.at(KeyDigest(kDigest)).name_);
  EXPECT_EQ(std::chrono::milliseconds(1500), rules.classes_.at(ClassId("lookup")).maxWait_);
  EXPECT_EQ(std::chrono::hours(6), rules.classes_.at(ClassId("digest")).deadline_);
  EXPECT_EQ(2U, rules.orders_.size());
  EXPECT_TRUE(rules.routes_.at("/bookings").neverRepeat_);
  EXPECT_TRUE(rules.routes_.at("/conditions").isOpen_);
  EXPECT_TRUE(rules.dataCentres_.at(DataCentreId("dc-a")).inService_);
  const UpstreamRule& engine = rules.upstreams_.at(UpstreamId("e2"));
  EXPECT_EQ("::1", engine.address_);
  EXPECT_EQ(9002, engine.port_);
  EXPECT_TRUE(engine.isLeaving_);
  EXPECT_FALSE(engine.checksFencing_);
  EXPECT_EQ(32U, rules.upstreams_.at(UpstreamId("e1")).maxRunning_);
  EXPECT_EQ("Ana (ops), contract", result.book_.Find({ "workspace", "gustline" })->comment_);
}

/** Guards against printed rules that are read back as other rules, which would show as a change. */
TEST(RuleParser, PrintedRulesAreReadBackEqual)
{
  const RuleBook book = ParseAndCheckRules(kFile).book_;
  const RuleParseResult again = ParseAndCheckRules(book.Print());
  EXPECT_TRUE(again.errors_.empty());
  EXPECT_EQ(book, again.book_);
  EXPECT_EQ(book.Derive(), again.book_.Derive());
  EXPECT_EQ(book.Print(), again.book_.Print());
}

struct ErrorCase
{
  const char* text_;
  RuleErrc code_;
  std::size_t line_;
  std::size_t column_;
};

std::ostream&
operator<<(std::ostream& aStream, const ErrorCase& aCase)
{
  return aStream << aCase.text_;
}

class RuleErrorTest : public testing::TestWithParam<ErrorCase>
{};

/** Guards against an error that is missed or that points the operator at another place. */
TEST_P(RuleErrorTest, IsReportedAtItsPosition)
{
  const ErrorCase& expected = GetParam();
  const RuleParseResult result = ParseAndCheckRules(expected.text_);
  ASSERT_FALSE(result.errors_.empty());
  const RuleError& error = result.errors_.front();
  EXPECT_EQ(make_error_code(expected.code_), error.code_) << error.ToString("rules");
  EXPECT_EQ(expected.line_, error.line_) << error.ToString("rules");
  EXPECT_EQ(expected.column_, error.column_) << error.ToString("rules");
  EXPECT_FALSE(error.expected_.empty());
}

#define CLASSES "class a # x\nclass b # x\n"
INSTANTIATE_TEST_SUITE_P(
  Syntax,
  RuleErrorTest,
  testing::Values(
    ErrorCase{ "workspace w rate=1 burst=1", RuleErrc::MissingComment, 1, 27 },
    ErrorCase{ "workspace w rate=1 burst=1 #  ", RuleErrc::MissingComment, 1, 27 },
    ErrorCase{ "\nworkspac w rate=1 burst=1 # x", RuleErrc::UnknownKind, 2, 1 },
    ErrorCase{ "rate=1 # x", RuleErrc::UnknownKind, 1, 1 },
    ErrorCase{ "workspace # x", RuleErrc::MissingWord, 1, 10 },
    ErrorCase{ "workspace w/x rate=1 burst=1 # x", RuleErrc::InvalidValue, 1, 11 },
    ErrorCase{ "workspace w burst=1 # x", RuleErrc::MissingWord, 1, 20 },
    ErrorCase{ "workspace w rate=0 burst=1 # x", RuleErrc::InvalidValue, 1, 18 },
    ErrorCase{ "workspace w rate=-1 burst=1 # x", RuleErrc::InvalidValue, 1, 18 },
    ErrorCase{ "workspace w rate=9223372036854775808 burst=1 # x", RuleErrc::InvalidValue, 1, 18 },
    ErrorCase{ "workspace w rate=1 rate=2 burst=1 # x", RuleErrc::DuplicateName, 1, 20 },
    ErrorCase{ "workspace w rate= burst=1 # x", RuleErrc::MissingWord, 1, 18 },
    ErrorCase{ "workspace w rate=1 burst=1 speed=3 # x", RuleErrc::UnexpectedWord, 1, 28 },
    ErrorCase{ "workspace w rate=1 burst=1 extra # x", RuleErrc::UnexpectedWord, 1, 28 },
    ErrorCase{ "workspace \"w rate=1 # x", RuleErrc::UnterminatedQuote, 1, 24 },
    ErrorCase{ "workspace \"w\"rate=1 # x", RuleErrc::UnexpectedCharacter, 1, 14 },
    ErrorCase{ "workspace w\"x\" rate=1 # x", RuleErrc::UnexpectedCharacter, 1, 12 },
    ErrorCase{ "workspace \"a\\b\" rate=1 # x", RuleErrc::UnexpectedCharacter, 1, 14 },
    ErrorCase{ "workspace w\x01 rate=1 # x", RuleErrc::UnexpectedCharacter, 1, 12 },
    ErrorCase{ "workspace w rate=1 burst=1 # \xff", RuleErrc::UnexpectedCharacter, 1, 30 },
    ErrorCase{ "key w sha256:12 # x", RuleErrc::InvalidValue, 1, 7 },
    ErrorCase{ "key w md5:12 # x", RuleErrc::InvalidValue, 1, 7 },
    ErrorCase{ "class a max-wait=2 # x", RuleErrc::InvalidValue, 1, 18 },
    ErrorCase{ "class a deadline=24:00 zone=UTC # x", RuleErrc::InvalidValue, 1, 18 },
    ErrorCase{ "class a deadline=06:00 # x", RuleErrc::MissingWord, 1, 23 },
    ErrorCase{ "class a zone=UTC # x", RuleErrc::UnexpectedWord, 1, 9 },
    ErrorCase{ "order 06:00-06:00 zone=UTC a # x", RuleErrc::InvalidValue, 1, 7 },
    ErrorCase{ "order 6:00-7:00 zone=UTC a # x", RuleErrc::InvalidValue, 1, 7 },
    ErrorCase{ "order default # x", RuleErrc::MissingWord, 1, 14 },
    ErrorCase{ "order default a a # x", RuleErrc::DuplicateName, 1, 17 },
    ErrorCase{ "order default zone=UTC a # x", RuleErrc::UnexpectedWord, 1, 15 },
    ErrorCase{ "route b service=s # x", RuleErrc::InvalidValue, 1, 7 },
    ErrorCase{ "route /v1/x service=s # x", RuleErrc::InvalidValue, 1, 7 },
    ErrorCase{ "route /b service=s open open # x", RuleErrc::DuplicateName, 1, 25 },
    ErrorCase{ "datacentre d on # x", RuleErrc::InvalidValue, 1, 14 },
    ErrorCase{ "upstream u cache 127.0.0.1:1 datacentre=d # x", RuleErrc::InvalidValue, 1, 12 },
    ErrorCase{ "upstream u service localhost:1 datacentre=d service=s # x",
               RuleErrc::InvalidValue,
               1,
               20 },
    ErrorCase{ "upstream u service 127.0.0.1:0 datacentre=d service=s # x",
               RuleErrc::InvalidValue,
               1,
               20 },
    ErrorCase{ "upstream u service 127.0.0.1:1 datacentre=d service=s slots=3 # x",
               RuleErrc::UnexpectedWord,
               1,
               55 },
    ErrorCase{ "upstream u engine 127.0.0.1:1 datacentre=d model=m slots=1 fencing=no # x",
               RuleErrc::InvalidValue,
               1,
               68 },
    ErrorCase{ "datacentre d in # x\ndatacentre d out # x", RuleErrc::DuplicateName, 2, 12 }));

INSTANTIATE_TEST_SUITE_P(
  Checks,
  RuleErrorTest,
  testing::Values(
    ErrorCase{ "key w sha256:0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef # x",
               RuleErrc::UnknownName,
               1,
               5 },
    ErrorCase{ "class a deadline=06:00 zone=Africa/Nowhere # x", RuleErrc::UnknownName, 1, 29 },
    ErrorCase{ CLASSES, RuleErrc::MissingRule, 2, 8 },
    ErrorCase{ CLASSES "order default a c b # x", RuleErrc::UnknownName, 3, 17 },
    ErrorCase{ CLASSES "order default a # x", RuleErrc::MissingWord, 3, 16 },
    ErrorCase{ CLASSES "order default a b # x\norder 06:00-07:00 zone=No/Zone a b # x",
               RuleErrc::UnknownName,
               4,
               24 },
    ErrorCase{ CLASSES "order 06:00-07:00 zone=UTC a b # x", RuleErrc::MissingRule, 3, 31 },
    ErrorCase{ CLASSES "order default a b # x\norder 23:00-02:00 zone=UTC a b # x\n"
                       "order 01:59-03:00 zone=UTC b a # x",
               RuleErrc::OverlappingHours,
               5,
               7 },
    // 10:00 in Paris is 08:00 in Dakar in summer only.
    ErrorCase{ CLASSES "order default a b # x\norder 10:00-10:30 zone=Europe/Paris a b # x\n"
                       "order 08:00-08:30 zone=Africa/Dakar b a # x",
               RuleErrc::OverlappingHours,
               5,
               7 },
    ErrorCase{ "route /b service=s # x", RuleErrc::MissingRule, 1, 18 },
    ErrorCase{ "datacentre d in # x\nupstream u service 127.0.0.1:1 datacentre=d service=s # x\n"
               "route /b service=s class=c # x",
               RuleErrc::UnknownName,
               3,
               26 },
    ErrorCase{ "upstream u service 127.0.0.1:1 datacentre=d service=s # x",
               RuleErrc::UnknownName,
               1,
               43 },
    ErrorCase{ "datacentre d in # x\nupstream u service 127.0.0.1:1 datacentre=d service=s # x\n"
               "upstream v service 127.0.0.1:1 datacentre=d service=s # x",
               RuleErrc::DuplicateName,
               3,
               20 }));

/** Guards against refusing hours that only touch, in one zone or in two. */
TEST(RuleCheck, AllowsAdjacentHours)
{
  const char* text = CLASSES "order default a b # x\norder 22:00-02:00 zone=UTC a b # x\n"
                             "order 02:00-06:00 zone=Africa/Dakar b a # x\n"
                             "order 09:00-22:00 zone=UTC b a # x";
  EXPECT_TRUE(ParseAndCheckRules(text).errors_.empty());
}

/** Guards against an error message that does not name file, line, column and what was expected. */
TEST(RuleError, NamesThePlaceAndTheExpectation)
{
  const RuleParseResult result = ParseRules("\ndatacentre d on # Mor");
  EXPECT_EQ("my.rules:2:14: invalid value: expected 'in' or 'out', found \"on\"",
            result.errors_.at(0).ToString("my.rules"));
}

/** Guards against a diff that loses a change of the comment only, or reports a moved line. */
TEST(RuleDiff, ComparesByIdentity)
{
  const RuleBook from =
    ParseRules("datacentre a in # x\ndatacentre b in # x\ndatacentre c in # x").book_;
  const RuleBook to =
    ParseRules("datacentre d in # x\ndatacentre c in # y\ndatacentre  a  in # x").book_;
  const RuleDiff diff = DiffRules(from, to);
  EXPECT_EQ("- datacentre b in # x\n- datacentre c in # x\n+ datacentre c in # y\n"
            "+ datacentre d in # x\n",
            diff.ToString());
  EXPECT_TRUE(DiffRules(from, from).IsEmpty());
}

/** Guards against losing a line that only a newer release on another host understands. */
TEST(RestoreRuleLine, KeepsLinesThatItDoesNotUnderstand)
{
  RuleBook book;
  book.Set(RestoreRuleLine({ "quota", "q" }, "quota q per=day # Ana"));
  EXPECT_EQ("quota q per=day # Ana\n", book.Print());
  EXPECT_EQ(1U, book.OpaqueCount());
  EXPECT_EQ(RuleSet(), book.Derive());
}

} // namespace
} // namespace laburnumweir
