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
        return "the store did not answer";
      case StoreError::Refused:
        return "the store refused the request without effect";
      case StoreError::HistoryLost:
        return "the requested records are deleted from the store";
      case StoreError::Unreadable:
        return "the answer of the store violates the protocol";
      case StoreError::NotMember:
        return "this host is not a member of the group";
      case StoreError::Outdated:
        return "the answer is of an earlier era of the store";
      case StoreError::Conflict:
        return "the stream does not end at the expected offset";
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
