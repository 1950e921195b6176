/** @file store_error.cpp Errors of the platform's store. */
#include "fleet/fleet_store_base.h"

namespace laburnumweir {

namespace {

class StoreErrorCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "store"; }
  std::string message(int aValue) const override
  {
    switch (static_cast<StoreError>(aValue)) {
      case StoreError::Unreachable:
        return "no answer";
      case StoreError::Refused:
        return "refused without effect";
      case StoreError::HistoryLost:
        return "the records are deleted";
      case StoreError::Unreadable:
        return "the answer cannot be read";
      case StoreError::NotMember:
        return "not a member of the group";
    }
    return "unknown store error";
  }
};

} // namespace

const std::error_category&
StoreCategory()
{
  static const StoreErrorCategory kCategory;
  return kCategory;
}

std::error_code
make_error_code(StoreError aError)
{
  return { static_cast<int>(aError), StoreCategory() };
}

} // namespace laburnumweir
