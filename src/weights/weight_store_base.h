/** @file weight_store_base.h Interface to the weight store's catalogue. */
#ifndef LABURNUMWEIR_WEIGHTS_WEIGHT_STORE_BASE_H
#define LABURNUMWEIR_WEIGHTS_WEIGHT_STORE_BASE_H

#include "core/id_type.h"

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

namespace laburnumweir {

/** What the weight store knows of an adapter version. */
struct AdapterInfo
{
  AdapterRef adapter_;      ///< The adapter.
  std::string model_;       ///< Base model it belongs to.
  std::uint64_t bytes_ = 0; ///< Size of the weights.
};

/** Errors of the weight store client. */
enum class WeightStoreError
{
  Unreachable = 1, ///< No answer.
  NotFound,        ///< There is no such adapter version.
  RateLimited,     ///< The store refused because of its rate limit.
  InvalidAnswer,   ///< The answer could not be understood.
};

/** @return the category of WeightStoreError. */
const std::error_category&
WeightStoreCategory();
/** @return the error as a std::error_code. */
std::error_code
make_error_code(WeightStoreError aError);

/** Looks adapters up. */
class WeightStoreClient
{
public:
  using Callback = std::function<void(std::error_code, AdapterInfo)>;
  virtual ~WeightStoreClient() = default;
  /** Looks up one adapter version. */
  virtual void Find(const AdapterRef& aAdapter, Callback aCallback) = 0;
};

} // namespace laburnumweir

template<>
struct std::is_error_code_enum<laburnumweir::WeightStoreError> : std::true_type
{
};

#endif
