/** @file rule_error_type.h Errors of a rule file, with their position. */
#ifndef LABURNUMWEIR_RULES_RULE_ERROR_TYPE_H
#define LABURNUMWEIR_RULES_RULE_ERROR_TYPE_H

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

namespace laburnumweir {

/** What is wrong with a rule line or with the rules together. */
enum class RuleErrc
{
  UnexpectedCharacter = 1, ///< A character that may not stand there.
  UnterminatedQuote,       ///< A quoted value without its closing quote.
  MissingComment,          ///< A rule line without `# who`.
  UnknownKind,             ///< The first word is not a kind of rule.
  MissingWord,             ///< A word or attribute is missing.
  UnexpectedWord,          ///< A word or attribute that the rule does not have.
  InvalidValue,            ///< A value of the wrong form or out of range.
  DuplicateName,           ///< Two lines with the same kind and name, or two uses of one value.
  UnknownName,             ///< A name that no other rule defines.
  MissingRule,             ///< Another rule that this one needs is missing.
  OverlappingHours,        ///< Two orders hold at the same time.
};

/** @return the category of RuleErrc. */
const std::error_category&
RuleCategory();
/** @return the error as a std::error_code. */
std::error_code
make_error_code(RuleErrc aError);

/** An error and where it is. */
struct RuleError
{
  std::error_code code_;   ///< What is wrong.
  std::size_t line_ = 0;   ///< Line in the file, from 1; 0 if the rules were not read from a file.
  std::size_t column_ = 0; ///< Column in bytes, from 1.
  std::string expected_;   ///< What was expected there.
  std::string found_;      ///< What stands there; empty at the end of the line.

  /**
   * @param aFile name of the file.
   * @return `FILE:LINE:COLUMN: MESSAGE: expected X, found Y`.
   */
  std::string ToString(std::string_view aFile) const;

  bool operator==(const RuleError&) const = default;
};

} // namespace laburnumweir

template<>
struct std::is_error_code_enum<laburnumweir::RuleErrc> : std::true_type
{
};

#endif
