/** @file rule_error.cpp Errors of a rule file, with their position. */
#include "rules/rule_error_type.h"

namespace laburnumweir {

namespace {

class RuleCategoryImpl : public std::error_category
{
public:
  const char* name() const noexcept override { return "rules"; }
  std::string message(int aCode) const override
  {
    switch (static_cast<RuleErrc>(aCode)) {
      case RuleErrc::UnexpectedCharacter:
        return "unexpected character";
      case RuleErrc::UnterminatedQuote:
        return "quoted value is not closed";
      case RuleErrc::MissingComment:
        return "rule line does not say who asked for it";
      case RuleErrc::UnknownKind:
        return "unknown kind of rule";
      case RuleErrc::MissingWord:
        return "incomplete rule";
      case RuleErrc::UnexpectedWord:
        return "unexpected word";
      case RuleErrc::InvalidValue:
        return "invalid value";
      case RuleErrc::DuplicateName:
        return "duplicate";
      case RuleErrc::UnknownName:
        return "unknown name";
      case RuleErrc::MissingRule:
        return "missing rule";
      case RuleErrc::OverlappingHours:
        return "overlapping hours";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category&
RuleCategory()
{
  static const RuleCategoryImpl kCategory;
  return kCategory;
}

std::error_code
make_error_code(RuleErrc aError)
{
  return { static_cast<int>(aError), RuleCategory() };
}

std::string
RuleError::ToString(std::string_view aFile) const
{
  return std::string(aFile) + ":" + std::to_string(line_) + ":" + std::to_string(column_) + ": " +
         code_.message() + ": expected " + expected_ + ", found " +
         (found_.empty() ? "the end of the line" : "\"" + found_ + "\"");
}

} // namespace laburnumweir
