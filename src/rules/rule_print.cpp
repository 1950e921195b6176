/** @file rule_print.cpp Canonical text of rules. */
#include "rules/rule_book.h"

#include <algorithm>
#include <cctype>
#include <chrono>

namespace laburnumweir {

namespace {

/** @return the value, quoted if it could not be read back as a bare word. */
std::string
Quote(std::string_view aValue)
{
  const bool isBare =
    !aValue.empty() && std::all_of(aValue.begin(), aValue.end(), [](char aCharacter) {
      const auto byte = static_cast<unsigned char>(aCharacter);
      return byte > ' ' && byte != '"' && byte != '#' && byte != '=' && byte != 0x7f;
    });
  if (isBare) {
    return std::string(aValue);
  }
  std::string text = "\"";
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      text += '\\';
    }
    text += character;
  }
  return text + "\"";
}

std::string
PrintMinute(std::chrono::minutes aMinute)
{
  const auto digits = [](long aNumber) {
    const std::string text = std::to_string(aNumber);
    return text.size() < 2 ? "0" + text : text;
  };
  return digits(aMinute.count() / 60) + ":" + digits(aMinute.count() % 60);
}

std::string
PrintDuration(std::chrono::milliseconds aDuration)
{
  if (aDuration.count() % 1000 != 0) {
    return std::to_string(aDuration.count()) + "ms";
  }
  return std::to_string(aDuration.count() / 1000) + "s";
}

std::string
PrintHours(const OrderRule& aRule)
{
  return PrintMinute(aRule.from_) + "-" + PrintMinute(aRule.to_);
}

/** Prints the words of a rule after its kind. */
struct RulePrinter
{
  std::string operator()(const WorkspaceRule& aRule) const
  {
    return "workspace " + Quote(aRule.id_.Value()) + " rate=" + std::to_string(aRule.rate_) +
           " burst=" + std::to_string(aRule.burst_);
  }
  std::string operator()(const KeyRule& aRule) const
  {
    std::string text =
      "key " + Quote(aRule.workspace_.Value()) + " sha256:" + aRule.digest_.Value();
    return aRule.name_.empty() ? text : text + " name=" + Quote(aRule.name_);
  }
  std::string operator()(const ClassRule& aRule) const
  {
    std::string text = "class " + Quote(aRule.id_.Value());
    if (aRule.maxWait_ != ClassRule{}.maxWait_) {
      text += " max-wait=" + PrintDuration(aRule.maxWait_);
    }
    if (aRule.deadline_) {
      text += " deadline=" + PrintMinute(*aRule.deadline_) + " zone=" + Quote(aRule.zone_);
    }
    return text;
  }
  std::string operator()(const OrderRule& aRule) const
  {
    std::string text = "order ";
    text += aRule.isDefault_ ? "default" : PrintHours(aRule) + " zone=" + Quote(aRule.zone_);
    for (const ClassId& id : aRule.classes_) {
      text += " " + Quote(id.Value());
    }
    return text;
  }
  std::string operator()(const RouteRule& aRule) const
  {
    std::string text =
      "route " + Quote(aRule.prefix_) + " service=" + Quote(aRule.service_.Value());
    text += aRule.isOpen_ ? " open" : "";
    text += aRule.neverRepeat_ ? " never-repeat" : "";
    return aRule.class_.IsEmpty() ? text : text + " class=" + Quote(aRule.class_.Value());
  }
  std::string operator()(const DataCentreRule& aRule) const
  {
    return "datacentre " + Quote(aRule.id_.Value()) + (aRule.inService_ ? " in" : " out");
  }
  std::string operator()(const UpstreamRule& aRule) const
  {
    const bool isEngine = aRule.kind_ == UpstreamKind::Engine;
    const bool isV6 = aRule.address_.find(':') != std::string::npos;
    std::string text = "upstream " + Quote(aRule.id_.Value());
    text += isEngine ? " engine " : " service ";
    text += isV6 ? "[" + aRule.address_ + "]" : aRule.address_;
    text += ":" + std::to_string(aRule.port_) + " datacentre=" + Quote(aRule.dataCentre_.Value());
    if (isEngine) {
      text += " model=" + Quote(aRule.model_) + " slots=" + std::to_string(aRule.slots_);
    } else {
      text += " service=" + Quote(aRule.service_.Value());
    }
    if (aRule.maxRunning_ != 0) {
      text += " max-running=" + std::to_string(aRule.maxRunning_);
    }
    if (isEngine) {
      text += aRule.checksFencing_ ? " fencing=checked" : " fencing=ignored";
    }
    return aRule.isLeaving_ ? text + " leaving" : text;
  }
};

/** Gives kind and name of a rule. */
struct RuleNamer
{
  RuleIdentity operator()(const WorkspaceRule& aRule) const
  {
    return { "workspace", aRule.id_.Value() };
  }
  RuleIdentity operator()(const KeyRule& aRule) const { return { "key", aRule.digest_.Value() }; }
  RuleIdentity operator()(const ClassRule& aRule) const { return { "class", aRule.id_.Value() }; }
  RuleIdentity operator()(const OrderRule& aRule) const
  {
    return { "order", aRule.isDefault_ ? "default" : PrintHours(aRule) + " " + aRule.zone_ };
  }
  RuleIdentity operator()(const RouteRule& aRule) const { return { "route", aRule.prefix_ }; }
  RuleIdentity operator()(const DataCentreRule& aRule) const
  {
    return { "datacentre", aRule.id_.Value() };
  }
  RuleIdentity operator()(const UpstreamRule& aRule) const
  {
    return { "upstream", aRule.id_.Value() };
  }
};

} // namespace

RuleIdentity
IdentityOf(const Rule& aRule)
{
  return std::visit(RuleNamer{}, aRule);
}

std::string
PrintRule(const Rule& aRule, std::string_view aComment)
{
  return std::visit(RulePrinter{}, aRule) + " # " + std::string(aComment);
}

} // namespace laburnumweir
