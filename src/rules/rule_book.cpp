/** @file rule_book.cpp Rule lines with their comments, by kind and name. */
#include "rules/rule_book.h"

#include <algorithm>
#include <array>

namespace laburnumweir {

namespace {

/** Kinds in the sequence of a printed rule file. */
constexpr std::array<std::string_view, 7> kKinds = { "workspace", "key",        "class",   "order",
                                                     "route",     "datacentre", "upstream" };

std::size_t
KindRank(std::string_view aKind)
{
  return static_cast<std::size_t>(std::find(kKinds.begin(), kKinds.end(), aKind) - kKinds.begin());
}

/** Adds a rule to the set it belongs to. */
struct RuleAdder
{
  RuleSet& set_; ///< Receives the rules.

  void operator()(const WorkspaceRule& aRule) const { set_.workspaces_[aRule.id_] = aRule; }
  void operator()(const KeyRule& aRule) const { set_.keys_[aRule.digest_] = aRule; }
  void operator()(const ClassRule& aRule) const { set_.classes_[aRule.id_] = aRule; }
  void operator()(const OrderRule& aRule) const { set_.orders_.push_back(aRule); }
  void operator()(const RouteRule& aRule) const { set_.routes_[aRule.prefix_] = aRule; }
  void operator()(const DataCentreRule& aRule) const { set_.dataCentres_[aRule.id_] = aRule; }
  void operator()(const UpstreamRule& aRule) const { set_.upstreams_[aRule.id_] = aRule; }
};

} // namespace

bool
RuleIdentity::Parse(std::string_view aText, RuleIdentity& aResult)
{
  const auto space = aText.find(' ');
  if (space == std::string_view::npos || space == 0 || space + 1 == aText.size()) {
    return false;
  }
  aResult.kind_ = std::string(aText.substr(0, space));
  aResult.name_ = std::string(aText.substr(space + 1));
  return true;
}

std::string
RuleDiff::ToString() const
{
  std::string text;
  for (const RuleLine& line : removed_) {
    text += "- " + line.text_ + "\n";
  }
  for (const auto& [before, after] : changed_) {
    text += "- " + before.text_ + "\n+ " + after.text_ + "\n";
  }
  for (const RuleLine& line : added_) {
    text += "+ " + line.text_ + "\n";
  }
  return text;
}

bool
RuleBook::Add(RuleLine aLine)
{
  RuleIdentity identity = aLine.identity_;
  return lines_.emplace(std::move(identity), std::move(aLine)).second;
}

void
RuleBook::Set(RuleLine aLine)
{
  RuleIdentity identity = aLine.identity_;
  lines_.insert_or_assign(std::move(identity), std::move(aLine));
}

bool
RuleBook::Remove(const RuleIdentity& aIdentity)
{
  return lines_.erase(aIdentity) > 0;
}

const RuleLine*
RuleBook::Find(const RuleIdentity& aIdentity) const
{
  const auto found = lines_.find(aIdentity);
  return found == lines_.end() ? nullptr : &found->second;
}

std::vector<const RuleLine*>
RuleBook::SortedLines() const
{
  std::vector<const RuleLine*> result;
  result.reserve(lines_.size());
  for (const auto& [identity, line] : lines_) {
    result.push_back(&line);
  }
  std::stable_sort(result.begin(), result.end(), [](const RuleLine* aLeft, const RuleLine* aRight) {
    return KindRank(aLeft->identity_.kind_) < KindRank(aRight->identity_.kind_);
  });
  return result;
}

std::string
RuleBook::Print() const
{
  std::string text;
  for (const RuleLine* line : SortedLines()) {
    text += line->text_;
    text += '\n';
  }
  return text;
}

RuleSet
RuleBook::Derive() const
{
  RuleSet set;
  for (const auto& [identity, line] : lines_) {
    if (line.rule_) {
      std::visit(RuleAdder{ set }, *line.rule_);
    }
  }
  return set;
}

std::size_t
RuleBook::OpaqueCount() const
{
  return static_cast<std::size_t>(std::count_if(
    lines_.begin(), lines_.end(), [](const auto& aEntry) { return !aEntry.second.rule_; }));
}

RuleDiff
DiffRules(const RuleBook& aFrom, const RuleBook& aTo)
{
  RuleDiff diff;
  for (const RuleLine* before : aFrom.SortedLines()) {
    const RuleLine* after = aTo.Find(before->identity_);
    if (after == nullptr) {
      diff.removed_.push_back(*before);
    } else if (!(*after == *before)) {
      diff.changed_.emplace_back(*before, *after);
    }
  }
  for (const RuleLine* after : aTo.SortedLines()) {
    if (aFrom.Find(after->identity_) == nullptr) {
      diff.added_.push_back(*after);
    }
  }
  return diff;
}

RuleLine
MakeRuleLine(Rule aRule, std::string aComment)
{
  RuleLine line;
  line.identity_ = IdentityOf(aRule);
  line.text_ = PrintRule(aRule, aComment);
  line.source_ = line.text_;
  line.rule_ = std::move(aRule);
  line.comment_ = std::move(aComment);
  return line;
}

} // namespace laburnumweir
