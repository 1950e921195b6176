/** @file rule_parser_func.h Parser and checks of the rule file. */
#ifndef LABURNUMWEIR_RULES_RULE_PARSER_FUNC_H
#define LABURNUMWEIR_RULES_RULE_PARSER_FUNC_H

#include "rules/rule_book.h"
#include "rules/rule_error_type.h"

#include <optional>
#include <string_view>
#include <vector>

namespace laburnumweir {

/** Result of parsing a rule file. */
struct RuleParseResult
{
  RuleBook book_;                 ///< Lines that could be parsed.
  std::vector<RuleError> errors_; ///< Errors by line; the first of each line.
};

/**
 * Parses one line of a rule file.
 * @param aText the line, without its line end.
 * @param aLineNumber number of the line, for errors.
 * @param aLine receives the rule line; untouched for a blank or comment-only line.
 * @return the first error, or nothing.
 */
std::optional<RuleError>
ParseRuleLine(std::string_view aText, std::size_t aLineNumber, std::optional<RuleLine>& aLine);

/**
 * Parses the lines of a rule file without checking them against each other.
 * @param aText text of the file.
 * @return the lines and the errors of syntax, including duplicate names.
 */
RuleParseResult
ParseRules(std::string_view aText);

/**
 * Checks the rules against each other: names that must exist, complete orders, hours that do not
 * overlap, known time zones.
 * @param aBook the rules.
 * @return the errors by line.
 */
std::vector<RuleError>
CheckRules(const RuleBook& aBook);

/**
 * Parses a rule file and, if the syntax is right, checks the rules against each other.
 * @param aText text of the file.
 * @return the lines and all errors.
 */
RuleParseResult
ParseAndCheckRules(std::string_view aText);

/**
 * Makes a rule line from a line kept in the log. A line that this release cannot parse is kept as
 * it is, so that a newer release on another host loses nothing.
 * @param aIdentity identity recorded with the line.
 * @param aText text of the line.
 * @return the line, with an empty rule if it could not be parsed.
 */
RuleLine
RestoreRuleLine(const RuleIdentity& aIdentity, std::string_view aText);

namespace detail {

/** A word of a rule line. */
struct RuleWord
{
  std::string key_;             ///< Part before '='; empty for a plain word.
  std::string value_;           ///< Value without quotes.
  std::size_t column_ = 0;      ///< Column of the word, from 1.
  std::size_t valueColumn_ = 0; ///< Column of the value, from 1.
  bool isAttribute_ = false;    ///< Whether it has the form KEY=VALUE.
  bool isQuoted_ = false;       ///< Whether the value was quoted.
};

/** Words and comment of a line. */
struct RuleWords
{
  std::vector<RuleWord> words_;        ///< Words in sequence.
  std::optional<std::string> comment_; ///< Text after '#', trimmed; nothing without '#'.
  std::size_t endColumn_ = 1;          ///< Column where the words end.
};

/**
 * Splits a line into words.
 * @param aText the line.
 * @param aLineNumber number of the line, for errors.
 * @param aResult receives the words.
 * @return the first error, or nothing.
 */
std::optional<RuleError>
SplitRuleLine(std::string_view aText, std::size_t aLineNumber, RuleWords& aResult);

} // namespace detail

} // namespace laburnumweir

#endif
