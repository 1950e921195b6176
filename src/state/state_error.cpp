/** @file state_error.cpp Errors of the configuration state. */
#include "state/state_error_type.h"

#include <string>

namespace laburnumweir {

namespace {

class StateCategoryImpl : public std::error_category
{
public:
  const char* name() const noexcept override { return "state"; }
  std::string message(int aCode) const override
  {
    switch (static_cast<StateErrc>(aCode)) {
      case StateErrc::MalformedRecord:
        return "not a record of the configuration stream";
      case StateErrc::NewerSchema:
        return "record has a newer schema than this release reads";
      case StateErrc::StaleBase:
        return "another change was accepted first";
      case StateErrc::DuplicateChange:
        return "change was recorded before";
      case StateErrc::InvalidRules:
        return "rules contradict each other";
      case StateErrc::NoChange:
        return "the rules are already in force";
      case StateErrc::StaleIncarnation:
        return "host was seen with this or a later incarnation";
      case StateErrc::UnknownMember:
        return "no member has this host and incarnation";
      case StateErrc::NotAMember:
        return "proposer is not a member";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category&
StateCategory()
{
  static const StateCategoryImpl kCategory;
  return kCategory;
}

std::error_code
make_error_code(StateErrc aError)
{
  return { static_cast<int>(aError), StateCategory() };
}

} // namespace laburnumweir
