/** @file rule_parser.cpp Parser of the rule file. */
#include "rules/rule_parser_func.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstdint>
#include <limits>

namespace laburnumweir {

namespace {

using detail::RuleWord;
using detail::RuleWords;

constexpr std::string_view kNameForm = "a name of letters, digits, '.', '_' and '-' (at most 64)";

bool
IsName(std::string_view aText)
{
  const auto isNameCharacter = [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
           (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' || aCharacter == '_' ||
           aCharacter == '-';
  };
  return !aText.empty() && aText.size() <= 64 &&
         std::all_of(aText.begin(), aText.end(), isNameCharacter);
}

template<typename Number>
bool
ParseNumber(std::string_view aText, Number& aResult)
{
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), aResult);
  return error == std::errc() && end == aText.data() + aText.size() && !aText.empty();
}

bool
ParseMinute(std::string_view aText, std::chrono::minutes& aResult)
{
  unsigned hour = 0;
  unsigned minute = 0;
  if (aText.size() != 5 || aText[2] != ':' || !ParseNumber(aText.substr(0, 2), hour) ||
      !ParseNumber(aText.substr(3), minute) || hour > 23 || minute > 59) {
    return false;
  }
  aResult = std::chrono::minutes(hour * 60 + minute);
  return true;
}

bool
ParseDuration(std::string_view aText, std::chrono::milliseconds& aResult)
{
  const auto digits = std::min(aText.find_first_not_of("0123456789"), aText.size());
  std::uint32_t number = 0;
  if (!ParseNumber(aText.substr(0, digits), number) || number == 0) {
    return false;
  }
  const std::string_view unit = aText.substr(digits);
  const std::array<std::pair<std::string_view, std::int64_t>, 4> units = {
    { { "ms", 1 }, { "s", 1000 }, { "m", 60'000 }, { "h", 3'600'000 } }
  };
  for (const auto& [name, factor] : units) {
    if (unit == name) {
      aResult = std::chrono::milliseconds(number * factor);
      return true;
    }
  }
  return false;
}

bool
ParseAddress(std::string_view aText, std::string& aAddress, std::uint16_t& aPort)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos || !ParseNumber(aText.substr(colon + 1), aPort) ||
      aPort == 0) {
    return false;
  }
  std::string_view host = aText.substr(0, colon);
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  const bool isV6 = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (isV6) {
    host = host.substr(1, host.size() - 2);
  }
  aAddress = std::string(host);
  return ::inet_pton(isV6 ? AF_INET6 : AF_INET, aAddress.c_str(), bytes.data()) == 1;
}

/** Takes the words of a line one after the other and keeps the first error. */
class LineReader
{
public:
  LineReader(const RuleWords& aWords, std::size_t aLineNumber)
    : words_(aWords)
    , line_(aLineNumber)
    , isUsed_(aWords.words_.size(), false)
  {
  }

  const std::optional<RuleError>& Error() const { return error_; }

  void Fail(RuleErrc aCode, std::size_t aColumn, std::string_view aExpected, std::string aFound)
  {
    // Attributes are taken in a fixed sequence, so the error furthest left is the one to report.
    if (!error_ || aColumn < error_->column_) {
      error_ = RuleError{
        make_error_code(aCode), line_, aColumn, std::string(aExpected), std::move(aFound)
      };
    }
  }

  /** @return the next plain word, or nullptr after an error. */
  const RuleWord* Take(std::string_view aExpected)
  {
    for (std::size_t i = 0; i < words_.words_.size(); ++i) {
      if (!isUsed_[i] && !words_.words_[i].isAttribute_) {
        isUsed_[i] = true;
        return &words_.words_[i];
      }
    }
    Fail(RuleErrc::MissingWord, words_.endColumn_, aExpected, "");
    return nullptr;
  }

  /** @return whether a plain word is left. */
  bool HasWord() const
  {
    for (std::size_t i = 0; i < words_.words_.size(); ++i) {
      if (!isUsed_[i] && !words_.words_[i].isAttribute_) {
        return true;
      }
    }
    return false;
  }

  /** @return the attribute, or nullptr if it is absent. */
  const RuleWord* Attribute(std::string_view aKey, std::string_view aExpected, bool aIsRequired)
  {
    known_ += (known_.empty() ? "" : ", ") + std::string(aKey) + "=";
    const RuleWord* found = nullptr;
    for (std::size_t i = 0; i < words_.words_.size(); ++i) {
      const RuleWord& word = words_.words_[i];
      if (isUsed_[i] || !word.isAttribute_ || word.key_ != aKey) {
        continue;
      }
      isUsed_[i] = true;
      if (found != nullptr) {
        Fail(RuleErrc::DuplicateName, word.column_, std::string(aKey) + "= once", word.key_ + "=");
      } else {
        found = &word;
      }
    }
    if (found == nullptr && aIsRequired) {
      Fail(RuleErrc::MissingWord,
           words_.endColumn_,
           std::string(aKey) + "= with " + std::string(aExpected),
           "");
    }
    return found;
  }

  /** @return whether the plain word stands in the line. */
  bool Flag(std::string_view aName)
  {
    known_ += (known_.empty() ? "" : ", ") + std::string(aName);
    bool isFound = false;
    for (std::size_t i = 0; i < words_.words_.size(); ++i) {
      const RuleWord& word = words_.words_[i];
      if (isUsed_[i] || word.isAttribute_ || word.isQuoted_ || word.value_ != aName) {
        continue;
      }
      isUsed_[i] = true;
      if (isFound) {
        Fail(RuleErrc::DuplicateName, word.column_, std::string(aName) + " once", word.value_);
      }
      isFound = true;
    }
    return isFound;
  }

  void Invalid(const RuleWord& aWord, std::string_view aExpected)
  {
    Fail(RuleErrc::InvalidValue, aWord.valueColumn_, aExpected, aWord.value_);
  }

  /** Takes the value of a word if the parser accepts it. */
  template<typename Parser>
  void Value(const RuleWord* aWord, std::string_view aExpected, Parser aParser)
  {
    if (aWord != nullptr && !aParser(std::string_view(aWord->value_))) {
      Invalid(*aWord, aExpected);
    }
  }

  template<typename Id>
  void Name(const RuleWord* aWord, Id& aResult)
  {
    Value(aWord, kNameForm, [&](std::string_view aText) {
      aResult = Id(std::string(aText));
      return IsName(aText);
    });
  }

  template<typename Number>
  void Count(const RuleWord* aWord, Number& aResult, std::string_view aExpected)
  {
    Value(aWord, aExpected, [&](std::string_view aText) {
      return ParseNumber(aText, aResult) && aResult > 0;
    });
  }

  /** Reports words that no part of the rule took. */
  void Finish()
  {
    for (std::size_t i = 0; i < words_.words_.size(); ++i) {
      const RuleWord& word = words_.words_[i];
      if (!isUsed_[i]) {
        Fail(RuleErrc::UnexpectedWord,
             word.column_,
             known_.empty() ? "the comment" : "one of " + known_ + " or the comment",
             word.isAttribute_ ? word.key_ + "=" : word.value_);
        return;
      }
    }
  }

private:
  const RuleWords& words_;         ///< Words of the line.
  std::size_t line_;               ///< Number of the line.
  std::vector<bool> isUsed_;       ///< Words already taken.
  std::string known_;              ///< Attributes and flags that the rule has.
  std::optional<RuleError> error_; ///< Error furthest left.
};

constexpr std::string_view kTokens = "a number of tokens from 1";

Rule
ReadWorkspace(LineReader& aReader)
{
  WorkspaceRule rule;
  aReader.Name(aReader.Take("the name of the workspace"), rule.id_);
  aReader.Count(aReader.Attribute("rate", "tokens per second", true), rule.rate_, kTokens);
  aReader.Count(aReader.Attribute("burst", "a number of tokens", true), rule.burst_, kTokens);
  return rule;
}

Rule
ReadKey(LineReader& aReader)
{
  KeyRule rule;
  aReader.Name(aReader.Take("the workspace of the key"), rule.workspace_);
  constexpr std::string_view kDigestForm = "sha256: and 64 lower-case hex digits";
  aReader.Value(aReader.Take(kDigestForm), kDigestForm, [&](std::string_view aText) {
    constexpr std::string_view kPrefix = "sha256:";
    if (!aText.starts_with(kPrefix)) {
      return false;
    }
    aText.remove_prefix(kPrefix.size());
    rule.digest_ = KeyDigest(std::string(aText));
    return aText.size() == 64 &&
           aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
  });
  if (const RuleWord* name = aReader.Attribute("name", "a name for people", false)) {
    rule.name_ = name->value_;
  }
  return rule;
}

void
ReadZone(LineReader& aReader, std::string& aZone)
{
  constexpr std::string_view kZoneForm = "an IANA time zone such as Africa/Dakar";
  aReader.Value(aReader.Attribute("zone", kZoneForm, true), kZoneForm, [&](std::string_view aText) {
    aZone = std::string(aText);
    return aText.find_first_of(" \"\\") == std::string_view::npos && !aText.empty();
  });
}

Rule
ReadClass(LineReader& aReader)
{
  ClassRule rule;
  aReader.Name(aReader.Take("the name of the class"), rule.id_);
  constexpr std::string_view kWaitForm = "a duration such as 500ms, 2s, 10m or 4h";
  aReader.Value(aReader.Attribute("max-wait", kWaitForm, false),
                kWaitForm,
                [&](std::string_view aText) { return ParseDuration(aText, rule.maxWait_); });
  constexpr std::string_view kTimeForm = "a time of day as HH:MM";
  const RuleWord* deadline = aReader.Attribute("deadline", kTimeForm, false);
  aReader.Value(deadline, kTimeForm, [&](std::string_view aText) {
    rule.deadline_.emplace();
    return ParseMinute(aText, *rule.deadline_);
  });
  if (deadline != nullptr) {
    ReadZone(aReader, rule.zone_);
  }
  return rule;
}

Rule
ReadOrder(LineReader& aReader)
{
  OrderRule rule;
  constexpr std::string_view kHoursForm = "'default' or hours as HH:MM-HH:MM";
  const RuleWord* hours = aReader.Take(kHoursForm);
  rule.isDefault_ = hours != nullptr && hours->value_ == "default";
  if (hours != nullptr && !rule.isDefault_) {
    aReader.Value(hours, kHoursForm, [&](std::string_view aText) {
      return aText.size() == 11 && aText[5] == '-' && ParseMinute(aText.substr(0, 5), rule.from_) &&
             ParseMinute(aText.substr(6), rule.to_);
    });
    if (!aReader.Error() && rule.from_ == rule.to_) {
      aReader.Invalid(*hours, "an end other than the start");
    }
    ReadZone(aReader, rule.zone_);
  }
  do {
    const RuleWord* word = aReader.Take("the classes, first served first");
    ClassId id;
    aReader.Name(word, id);
    if (word != nullptr &&
        std::find(rule.classes_.begin(), rule.classes_.end(), id) != rule.classes_.end()) {
      aReader.Fail(RuleErrc::DuplicateName, word->column_, "each class at most once", word->value_);
    }
    rule.classes_.push_back(id);
  } while (aReader.HasWord());
  return rule;
}

Rule
ReadRoute(LineReader& aReader)
{
  RouteRule rule;
  constexpr std::string_view kPrefixForm =
    "a path prefix that begins with '/' and is not below /v1";
  aReader.Value(aReader.Take(kPrefixForm), kPrefixForm, [&](std::string_view aText) {
    rule.prefix_ = std::string(aText);
    return aText.starts_with('/') && aText != "/v1" && !aText.starts_with("/v1/") &&
           aText.find_first_of(" ?\"\\") == std::string_view::npos;
  });
  aReader.Name(aReader.Attribute("service", "the name of a service", true), rule.service_);
  rule.isOpen_ = aReader.Flag("open");
  rule.neverRepeat_ = aReader.Flag("never-repeat");
  aReader.Name(aReader.Attribute("class", "the name of a class", false), rule.class_);
  return rule;
}

Rule
ReadDataCentre(LineReader& aReader)
{
  DataCentreRule rule;
  aReader.Name(aReader.Take("the name of the data centre"), rule.id_);
  constexpr std::string_view kStateForm = "'in' or 'out'";
  aReader.Value(aReader.Take(kStateForm), kStateForm, [&](std::string_view aText) {
    rule.inService_ = aText == "in";
    return aText == "in" || aText == "out";
  });
  return rule;
}

void
ReadEngine(LineReader& aReader, UpstreamRule& aRule)
{
  constexpr std::string_view kModelForm = "the name of the base model";
  aReader.Value(
    aReader.Attribute("model", kModelForm, true), kModelForm, [&](std::string_view aText) {
      aRule.model_ = std::string(aText);
      return !aText.empty();
    });
  aReader.Count(aReader.Attribute("slots", "the number of adapter slots", true),
                aRule.slots_,
                "a number of slots from 1");
  constexpr std::string_view kFencingForm = "'checked' or 'ignored'";
  aReader.Value(
    aReader.Attribute("fencing", kFencingForm, true), kFencingForm, [&](std::string_view aText) {
      aRule.checksFencing_ = aText == "checked";
      return aText == "checked" || aText == "ignored";
    });
}

Rule
ReadUpstream(LineReader& aReader)
{
  UpstreamRule rule;
  aReader.Name(aReader.Take("the name of the upstream"), rule.id_);
  constexpr std::string_view kKindForm = "'engine' or 'service'";
  aReader.Value(aReader.Take(kKindForm), kKindForm, [&](std::string_view aText) {
    rule.kind_ = aText == "service" ? UpstreamKind::Service : UpstreamKind::Engine;
    return aText == "engine" || aText == "service";
  });
  constexpr std::string_view kAddressForm = "an address as IP:PORT";
  aReader.Value(aReader.Take(kAddressForm), kAddressForm, [&](std::string_view aText) {
    return ParseAddress(aText, rule.address_, rule.port_);
  });
  aReader.Name(aReader.Attribute("datacentre", "the name of a data centre", true),
               rule.dataCentre_);
  if (rule.kind_ == UpstreamKind::Engine) {
    ReadEngine(aReader, rule);
  } else {
    aReader.Name(aReader.Attribute("service", "the name of the service", true), rule.service_);
  }
  aReader.Count(aReader.Attribute("max-running", "a number of requests", false),
                rule.maxRunning_,
                "a number of requests from 1");
  rule.isLeaving_ = aReader.Flag("leaving");
  return rule;
}

using RuleReader = Rule (*)(LineReader&);

constexpr std::array<std::pair<std::string_view, RuleReader>, 7> kReaders = {
  { { "workspace", &ReadWorkspace },
    { "key", &ReadKey },
    { "class", &ReadClass },
    { "order", &ReadOrder },
    { "route", &ReadRoute },
    { "datacentre", &ReadDataCentre },
    { "upstream", &ReadUpstream } }
};

} // namespace

std::optional<RuleError>
ParseRuleLine(std::string_view aText, std::size_t aLineNumber, std::optional<RuleLine>& aLine)
{
  RuleWords words;
  if (auto error = detail::SplitRuleLine(aText, aLineNumber, words)) {
    return error;
  }
  if (words.words_.empty()) {
    return std::nullopt;
  }
  LineReader reader(words, aLineNumber);
  const RuleWord* kind = reader.Take("a kind of rule");
  const auto* const entry =
    std::find_if(kReaders.begin(), kReaders.end(), [kind](const auto& aEntry) {
      return kind != nullptr && aEntry.first == kind->value_;
    });
  if (entry == kReaders.end()) {
    const RuleWord& first = words.words_.front();
    return RuleError{ make_error_code(RuleErrc::UnknownKind),
                      aLineNumber,
                      first.column_,
                      "workspace, key, class, order, route, datacentre or upstream",
                      first.isAttribute_ ? first.key_ + "=" : first.value_ };
  }
  Rule rule = entry->second(reader);
  reader.Finish();
  if (reader.Error()) {
    return reader.Error();
  }
  if (!words.comment_ || words.comment_->empty()) {
    return RuleError{ make_error_code(RuleErrc::MissingComment),
                      aLineNumber,
                      words.endColumn_,
                      "a comment '# who' that names who asked for the rule",
                      "" };
  }
  aLine = MakeRuleLine(std::move(rule), *words.comment_);
  aLine->source_ = std::string(aText);
  aLine->line_ = aLineNumber;
  return std::nullopt;
}

RuleParseResult
ParseRules(std::string_view aText)
{
  RuleParseResult result;
  std::size_t lineNumber = 0;
  while (!aText.empty()) {
    ++lineNumber;
    const auto end = std::min(aText.find('\n'), aText.size());
    std::string_view text = aText.substr(0, end);
    aText.remove_prefix(std::min(end + 1, aText.size()));
    if (text.ends_with('\r')) {
      text.remove_suffix(1);
    }
    std::optional<RuleLine> line;
    if (auto error = ParseRuleLine(text, lineNumber, line)) {
      result.errors_.push_back(std::move(*error));
      continue;
    }
    if (!line) {
      continue;
    }
    if (const RuleLine* earlier = result.book_.Find(line->identity_)) {
      RuleWords words;
      detail::SplitRuleLine(text, lineNumber, words);
      // A key is identified by its digest, the third word; all others by the second.
      const RuleWord& word = words.words_[line->identity_.kind_ == "key" ? 2 : 1];
      result.errors_.push_back(
        RuleError{ make_error_code(RuleErrc::DuplicateName),
                   lineNumber,
                   word.column_,
                   "a name that line " + std::to_string(earlier->line_) + " does not use",
                   word.value_ });
      continue;
    }
    result.book_.Add(std::move(*line));
  }
  return result;
}

RuleParseResult
ParseAndCheckRules(std::string_view aText)
{
  RuleParseResult result = ParseRules(aText);
  if (result.errors_.empty()) {
    result.errors_ = CheckRules(result.book_);
  }
  return result;
}

RuleLine
RestoreRuleLine(const RuleIdentity& aIdentity, std::string_view aText)
{
  std::optional<RuleLine> line;
  if (!ParseRuleLine(aText, 0, line) && line && line->identity_ == aIdentity) {
    line->text_ = std::string(aText);
    return std::move(*line);
  }
  RuleLine opaque;
  opaque.identity_ = aIdentity;
  opaque.text_ = std::string(aText);
  opaque.source_ = opaque.text_;
  return opaque;
}

} // namespace laburnumweir
