/** @file rule_book.h Rule lines with their comments, by kind and name. */
#ifndef LABURNUMWEIR_RULES_RULE_BOOK_H
#define LABURNUMWEIR_RULES_RULE_BOOK_H

#include "rules/rule_type.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace laburnumweir {

using Rule = std::
  variant<WorkspaceRule, KeyRule, ClassRule, OrderRule, RouteRule, DataCentreRule, UpstreamRule>;

/** Identifies a rule line across versions of the rules. */
struct RuleIdentity
{
  std::string kind_; ///< First word of the line, for example `workspace`.
  std::string name_; ///< Name of the thing; for orders `default`, or the hours and the zone.

  auto operator<=>(const RuleIdentity&) const = default;

  /** @return the `KIND NAME` form. */
  std::string ToString() const { return kind_ + " " + name_; }

  /**
   * Parses the `KIND NAME` form.
   * @param aText text of the identity.
   * @param aResult receives the identity.
   * @return false if either part is missing.
   */
  static bool Parse(std::string_view aText, RuleIdentity& aResult);
};

/** A rule line. Lines with the same canonical text are equal. */
struct RuleLine
{
  RuleIdentity identity_;    ///< Kind and name.
  std::optional<Rule> rule_; ///< Typed rule; empty if this release does not understand the line.
  std::string comment_;      ///< Who asked for it.
  std::string text_;         ///< Canonical text with the comment.
  std::string source_;       ///< Text as it was read.
  std::size_t line_ = 0;     ///< Line in the file it was read from; 0 if it came from the log.

  bool operator==(const RuleLine& aOther) const
  {
    return identity_ == aOther.identity_ && text_ == aOther.text_;
  }
};

/** Differences between two books. */
struct RuleDiff
{
  std::vector<RuleLine> added_;                        ///< Only in the second book.
  std::vector<RuleLine> removed_;                      ///< Only in the first book.
  std::vector<std::pair<RuleLine, RuleLine>> changed_; ///< Same identity, other text or comment.

  /** @return whether the books are equal. */
  bool IsEmpty() const { return added_.empty() && removed_.empty() && changed_.empty(); }
  /** @return the differences as lines that begin with `+` or `-`. */
  std::string ToString() const;
};

/** All rule lines of one revision. The sequence of lines in the file has no meaning. */
class RuleBook
{
public:
  /**
   * Adds a line.
   * @return false if there is a line with the same identity; the book is unchanged then.
   */
  bool Add(RuleLine aLine);
  /** Adds a line or replaces the one with the same identity. */
  void Set(RuleLine aLine);
  /** @return false if there is no such line. */
  bool Remove(const RuleIdentity& aIdentity);
  /** @return the line, or nullptr. */
  const RuleLine* Find(const RuleIdentity& aIdentity) const;
  /** @return all lines by identity. */
  const std::map<RuleIdentity, RuleLine>& Lines() const { return lines_; }
  /** @return the lines in the sequence of a rule file: by kind, then by name. */
  std::vector<const RuleLine*> SortedLines() const;
  /** @return the canonical rule file. */
  std::string Print() const;
  /** @return the typed rules; lines that this release does not understand are left out. */
  RuleSet Derive() const;
  /** @return number of lines that this release does not understand. */
  std::size_t OpaqueCount() const;

  bool operator==(const RuleBook&) const = default;

private:
  std::map<RuleIdentity, RuleLine> lines_; ///< Lines by identity.
};

/**
 * Compares two books.
 * @param aFrom earlier book.
 * @param aTo later book.
 * @return what must be added, removed and changed to come from the first to the second.
 */
RuleDiff
DiffRules(const RuleBook& aFrom, const RuleBook& aTo);

/** @return kind and name of a rule. */
RuleIdentity
IdentityOf(const Rule& aRule);

/**
 * Prints a rule in canonical form.
 * @param aRule the rule.
 * @param aComment who asked for it.
 * @return the line, without a line end.
 */
std::string
PrintRule(const Rule& aRule, std::string_view aComment);

/**
 * Makes a line from a typed rule.
 * @param aRule the rule.
 * @param aComment who asked for it.
 * @return the line with its identity and canonical text.
 */
RuleLine
MakeRuleLine(Rule aRule, std::string aComment);

} // namespace laburnumweir

#endif
