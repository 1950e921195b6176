/** @file adapter_catalogue.h Adapters that the weight store is known to hold. */
#ifndef LABURNUMWEIR_PIPELINE_ADAPTER_CATALOGUE_H
#define LABURNUMWEIR_PIPELINE_ADAPTER_CATALOGUE_H

#include "core/clock_base.h"
#include "core/scheduler_base.h"
#include "weights/weight_store_base.h"

#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

namespace laburnumweir {

/**
 * Looks adapters up in the weight store and keeps the newest answers. The number kept is bounded,
 * so that the memory of a host does not grow with the number of adapters. One strand only.
 */
class AdapterCatalogue
{
public:
  using Callback = std::function<void(std::error_code, const AdapterInfo&)>;

  /** Most answers that are kept. */
  static constexpr std::size_t kCapacity = 8192;

  /**
   * @param aStore the weight store.
   * @param aClock time source.
   * @param aScheduler strand for the callbacks.
   */
  AdapterCatalogue(WeightStoreClient& aStore, const Clock& aClock, Scheduler& aScheduler);

  /**
   * Finds an adapter.
   * @param aAdapter adapter and version.
   * @param aCallback receives what is known, now or later; an error of the weight store otherwise.
   */
  void Find(const AdapterRef& aAdapter, Callback aCallback);

private:
  struct Entry
  {
    AdapterRef adapter_;    ///< The adapter.
    AdapterInfo info_;      ///< What the store said.
    std::error_code error_; ///< NotFound, or no error.
    TimePoint expires_;     ///< When to ask again.
  };
  using Entries = std::list<Entry>;

  void Keep(Entry aEntry);

  WeightStoreClient& store_;                                     ///< The weight store.
  const Clock& clock_;                                           ///< Time source.
  Scheduler& scheduler_;                                         ///< Strand for the callbacks.
  Entries entries_;                                              ///< Most lately used first.
  std::unordered_map<AdapterRef, Entries::iterator> index_;      ///< Entries by adapter.
  std::unordered_map<AdapterRef, std::vector<Callback>> asking_; ///< Look-ups under way.
};

} // namespace laburnumweir

#endif
