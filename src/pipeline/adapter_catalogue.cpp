/** @file adapter_catalogue.cpp Adapters that the weight store is known to hold. */
#include "pipeline/adapter_catalogue.h"

namespace laburnumweir {

namespace {

using namespace std::chrono_literals;

// A version never changes once it is published, so a found one can be kept for long.
constexpr Duration kFoundFor = 10min;
// A new version should be usable soon after it is published.
constexpr Duration kMissingFor = 2s;

} // namespace

AdapterCatalogue::AdapterCatalogue(WeightStoreClient& aStore,
                                   const Clock& aClock,
                                   Scheduler& aScheduler)
  : store_(aStore)
  , clock_(aClock)
  , scheduler_(aScheduler)
{
}

void
AdapterCatalogue::Find(const AdapterRef& aAdapter, Callback aCallback)
{
  const auto found = index_.find(aAdapter);
  if (found != index_.end() && clock_.Now() < found->second->expires_) {
    entries_.splice(entries_.begin(), entries_, found->second);
    aCallback(found->second->error_, found->second->info_);
    return;
  }
  auto& waiting = asking_[aAdapter];
  waiting.push_back(std::move(aCallback));
  if (waiting.size() > 1) {
    return;
  }
  store_.Find(aAdapter, [this, aAdapter](std::error_code aError, const AdapterInfo& aInfo) {
    scheduler_.Post([this, aAdapter, aError, aInfo] {
      if (!aError || aError == WeightStoreError::NotFound) {
        const Duration keepFor = aError ? kMissingFor : kFoundFor;
        Keep({ aAdapter, aInfo, aError, clock_.Now() + keepFor });
      }
      const auto callbacks = std::move(asking_[aAdapter]);
      asking_.erase(aAdapter);
      for (const auto& callback : callbacks) {
        callback(aError, aInfo);
      }
    });
  });
}

void
AdapterCatalogue::Keep(Entry aEntry)
{
  const auto found = index_.find(aEntry.adapter_);
  if (found != index_.end()) {
    entries_.erase(found->second);
  }
  const AdapterRef adapter = aEntry.adapter_;
  entries_.push_front(std::move(aEntry));
  index_[adapter] = entries_.begin();
  if (entries_.size() > kCapacity) {
    index_.erase(entries_.back().adapter_);
    entries_.pop_back();
  }
}

} // namespace laburnumweir
