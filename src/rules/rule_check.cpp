/** @file rule_check.cpp Checks rules against each other. */
#include "rules/class_order_func.h"
#include "rules/rule_parser_func.h"

#include <algorithm>
#include <set>

namespace laburnumweir {

namespace {

/** Checks all lines of a book against the set derived from it. */
class RuleChecker
{
public:
  explicit RuleChecker(const RuleBook& aBook)
    : book_(aBook)
    , rules_(aBook.Derive())
  {
  }

  std::vector<RuleError> Run()
  {
    for (const RuleLine* line : book_.SortedLines()) {
      line_ = line;
      if (line->rule_) {
        std::visit(*this, *line->rule_);
      }
    }
    CheckOrders();
    std::stable_sort(
      errors_.begin(), errors_.end(), [](const RuleError& aLeft, const RuleError& aRight) {
        return std::pair(aLeft.line_, aLeft.column_) < std::pair(aRight.line_, aRight.column_);
      });
    return std::move(errors_);
  }

  void operator()(const WorkspaceRule& /*aRule*/) {}
  void operator()(const DataCentreRule& /*aRule*/) {}
  void operator()(const KeyRule& aRule)
  {
    if (!rules_.workspaces_.contains(aRule.workspace_)) {
      Fail(RuleErrc::UnknownName, "", aRule.workspace_.Value(), "the name of a workspace rule");
    }
  }
  void operator()(const ClassRule& aRule)
  {
    if (aRule.deadline_) {
      CheckZone(aRule.zone_);
    }
  }
  void operator()(const OrderRule& aRule)
  {
    if (!aRule.isDefault_) {
      CheckZone(aRule.zone_);
    }
    for (const ClassId& id : aRule.classes_) {
      if (!rules_.classes_.contains(id)) {
        Fail(RuleErrc::UnknownName, "", id.Value(), "the name of a class rule");
      }
    }
    for (const auto& [id, rule] : rules_.classes_) {
      if (std::find(aRule.classes_.begin(), aRule.classes_.end(), id) == aRule.classes_.end()) {
        FailAtEnd(RuleErrc::MissingWord, "class " + id.Value() + " in the order");
      }
    }
  }
  void operator()(const RouteRule& aRule)
  {
    const bool isServed =
      std::any_of(rules_.upstreams_.begin(), rules_.upstreams_.end(), [&](const auto& aEntry) {
        return aEntry.second.kind_ == UpstreamKind::Service &&
               aEntry.second.service_ == aRule.service_;
      });
    if (!isServed) {
      Fail(RuleErrc::MissingRule,
           "service",
           aRule.service_.Value(),
           "a service that an upstream rule provides");
    }
    if (!aRule.class_.IsEmpty() && !rules_.classes_.contains(aRule.class_)) {
      Fail(RuleErrc::UnknownName, "class", aRule.class_.Value(), "the name of a class rule");
    }
  }
  void operator()(const UpstreamRule& aRule)
  {
    if (!rules_.dataCentres_.contains(aRule.dataCentre_)) {
      Fail(RuleErrc::UnknownName,
           "datacentre",
           aRule.dataCentre_.Value(),
           "the name of a datacentre rule");
    }
    const std::string endpoint = aRule.address_ + ":" + std::to_string(aRule.port_);
    if (!endpoints_.insert(endpoint).second) {
      std::size_t column = 1;
      std::string found = endpoint;
      detail::RuleWords words;
      if (!detail::SplitRuleLine(line_->source_, line_->line_, words) && words.words_.size() > 3) {
        column = words.words_[3].column_;
        found = words.words_[3].value_;
      }
      errors_.push_back(RuleError{ make_error_code(RuleErrc::DuplicateName),
                                   line_->line_,
                                   column,
                                   "an address that no other upstream has",
                                   found });
    }
  }

private:
  /** Reports an error at the first word (not the kind) with the attribute name and value. */
  void Fail(RuleErrc aCode,
            std::string_view aKey,
            const std::string& aValue,
            std::string_view aExpected)
  {
    std::size_t column = 1;
    detail::RuleWords words;
    if (!detail::SplitRuleLine(line_->source_, line_->line_, words)) {
      for (std::size_t i = 1; i < words.words_.size(); ++i) {
        if (words.words_[i].key_ == aKey && words.words_[i].value_ == aValue) {
          column = words.words_[i].valueColumn_;
          break;
        }
      }
    }
    errors_.push_back(
      RuleError{ make_error_code(aCode), line_->line_, column, std::string(aExpected), aValue });
  }

  void FailAtEnd(RuleErrc aCode, std::string aExpected)
  {
    detail::RuleWords words;
    detail::SplitRuleLine(line_->source_, line_->line_, words);
    errors_.push_back(RuleError{
      make_error_code(aCode), line_->line_, words.endColumn_, std::move(aExpected), "" });
  }

  void CheckZone(const std::string& aZone)
  {
    if (!IsKnownZone(aZone)) {
      Fail(RuleErrc::UnknownName, "zone", aZone, "an IANA time zone such as Africa/Dakar");
    }
  }

  void CheckOrders()
  {
    std::vector<const RuleLine*> timed;
    bool hasDefault = false;
    for (const RuleLine* line : book_.SortedLines()) {
      const OrderRule* order = line->rule_ ? std::get_if<OrderRule>(&*line->rule_) : nullptr;
      if (order == nullptr) {
        continue;
      }
      hasDefault = hasDefault || order->isDefault_;
      if (!order->isDefault_ && IsKnownZone(order->zone_)) {
        timed.push_back(line);
      }
    }
    // Reports the overlap at the line that stands later in the file.
    std::stable_sort(timed.begin(), timed.end(), [](const RuleLine* aLeft, const RuleLine* aRight) {
      return aLeft->line_ < aRight->line_;
    });
    for (std::size_t i = 0; i < timed.size(); ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        CheckOverlap(*timed[j], *timed[i]);
      }
    }
    if (!hasDefault && (rules_.classes_.size() > 1 || !rules_.orders_.empty())) {
      FailMissingDefault();
    }
  }

  void CheckOverlap(const RuleLine& aEarlier, const RuleLine& aLater)
  {
    if (!OrdersOverlap(std::get<OrderRule>(*aEarlier.rule_), std::get<OrderRule>(*aLater.rule_))) {
      return;
    }
    detail::RuleWords words;
    detail::SplitRuleLine(aLater.source_, aLater.line_, words);
    errors_.push_back(RuleError{ make_error_code(RuleErrc::OverlappingHours),
                                 aLater.line_,
                                 words.words_[1].column_,
                                 "hours that do not overlap with order " + aEarlier.identity_.name_,
                                 words.words_[1].value_ });
  }

  /** Reports the missing default order at the last line of an order or class. */
  void FailMissingDefault()
  {
    line_ = nullptr;
    for (const auto& [identity, line] : book_.Lines()) {
      const bool isRelated = identity.kind_ == "order" || identity.kind_ == "class";
      if (isRelated && (line_ == nullptr || line.line_ > line_->line_)) {
        line_ = &line;
      }
    }
    FailAtEnd(RuleErrc::MissingRule, "a rule 'order default' in the file");
  }

  const RuleBook& book_;            ///< Lines to check.
  RuleSet rules_;                   ///< Rules of the lines.
  const RuleLine* line_ = nullptr;  ///< Line that is being checked.
  std::set<std::string> endpoints_; ///< Addresses of the upstreams seen so far.
  std::vector<RuleError> errors_;   ///< Errors found.
};

} // namespace

std::vector<RuleError>
CheckRules(const RuleBook& aBook)
{
  return RuleChecker(aBook).Run();
}

} // namespace laburnumweir
