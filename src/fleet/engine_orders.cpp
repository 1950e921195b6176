/** @file engine_orders.cpp Decides which models and adapters an engine loads and unloads. */
#include "fleet/engine_orders.h"

#include "table/fleet_const.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace laburnumweir {

namespace {

// Once more adapters than kMaxTrackedAdapters are tracked, those not used for kUseRetention are
// removed to bound the memory. Uses that old no longer affect which adapter is evicted.
constexpr Duration kUseRetention = std::chrono::minutes(10);
constexpr std::size_t kMaxTrackedAdapters = 4096;
// Weight of the uses of an adapter that another engine holds too: if it is evicted here, its
// requests can run there without a load.
constexpr double kCopyUseWeight = 0.3;
// The weight of a use halves in this time. Demand for adapters shifts within some tens of seconds.
constexpr std::chrono::duration<double> kUseHalfLife{ 15.0 };

const ModelSpec*
FindModel(const EngineSpec& aSpec, const std::string& aName)
{
  const auto found = std::find_if(aSpec.models_.begin(),
                                  aSpec.models_.end(),
                                  [&](const ModelSpec& aModel) { return aModel.name_ == aName; });
  return found == aSpec.models_.end() ? nullptr : &*found;
}

const ResidentModel*
FindResident(const UpstreamEntry& aEntry, const std::string& aName)
{
  const auto found =
    std::find_if(aEntry.models_.begin(), aEntry.models_.end(), [&](const ResidentModel& aModel) {
      return aModel.name_ == aName;
    });
  return found == aEntry.models_.end() ? nullptr : &*found;
}

} // namespace

void
EngineOrders::RequestLoad(const LoadRequest& aRequest)
{
  const auto now = clock_.Now();
  auto [position, isNew] = loadRequests_.try_emplace({ aRequest.model_, aRequest.adapter_ });
  auto& state = position->second;
  if (isNew) {
    state.firstRequested_ = now;
  }
  state.lastRequested_ = now;
  state.version_ = std::max(state.version_, aRequest.version_);
  // A less urgent priority replaces the recorded one only after the recorded one has not been
  // repeated for kLoadPriorityTtl: the requests that it was sent for have then ended.
  if (aRequest.priority_ <= state.priority_ || now - state.reasonTime_ > kLoadPriorityTtl) {
    state.priority_ = aRequest.priority_;
    state.reasonTime_ = now;
  }
}

void
EngineOrders::RecordUse(const std::string& aModel, const std::string& aAdapter)
{
  const auto now = clock_.Now();
  auto& use = uses_[{ aModel, aAdapter }];
  use.decayedCount_ = DecayedCount(use, now) + 1;
  use.lastStart_ = now;
  use.lastRunning_ = now;
  if (uses_.size() > kMaxTrackedAdapters) {
    std::erase_if(uses_,
                  [now](const auto& aUse) { return now - aUse.second.lastStart_ > kUseRetention; });
  }
}

void
EngineOrders::RecordRunningUse(const std::string& aModel, const std::string& aAdapter)
{
  uses_[{ aModel, aAdapter }].lastRunning_ = clock_.Now();
}

double
EngineOrders::DecayedCount(const Use& aUse, TimePoint aNow)
{
  return aUse.decayedCount_ *
         std::exp2(-std::chrono::duration<double>(aNow - aUse.lastStart_) / kUseHalfLife);
}

EngineOrders::Urgency
EngineOrders::MostUrgent() const
{
  Urgency urgency;
  for (const auto& [name, state] : loadRequests_) {
    if (!IsPending(name)) {
      urgency = std::min(urgency, Urgency{ state.priority_, state.firstRequested_ });
    }
  }
  return urgency;
}

bool
EngineOrders::IsLoadingModel() const
{
  return std::any_of(pending_.begin(), pending_.end(), [](const auto& aEntry) {
    return aEntry.first.kind_ == OrderKind::Load && aEntry.first.adapter_.empty();
  });
}

std::size_t
EngineOrders::LoadingCount() const
{
  return static_cast<std::size_t>(
    std::count_if(pending_.begin(), pending_.end(), [](const auto& aEntry) {
      return aEntry.first.kind_ == OrderKind::Load && !aEntry.first.adapter_.empty();
    }));
}

void
EngineOrders::OnRestart()
{
  pending_.clear();
  loadedBefore_.clear();
  uses_.clear();
}

bool
EngineOrders::IsPending(const AdapterKey& aName) const
{
  return std::any_of(pending_.begin(), pending_.end(), [&](const auto& aEntry) {
    return aEntry.first.model_ == aName.first && aEntry.first.adapter_ == aName.second;
  });
}

std::optional<EngineOrder>
EngineOrders::LoadModel(const EngineSpec& aSpec, const UpstreamEntry& aEntry) const
{
  if (!aEntry.models_.empty() && loadRequests_.empty()) {
    return std::nullopt;
  }
  double usedMb = 0;
  for (const auto& resident : aEntry.models_) {
    if (const auto* model = FindModel(aSpec, resident.name_)) {
      usedMb +=
        model->weightsMb_ + model->adapterMb_ * static_cast<double>(resident.adapters_.size());
    }
  }
  for (const auto& [order, since] : pending_) {
    if (const auto* model = FindModel(aSpec, order.model_);
        model != nullptr && order.kind_ == OrderKind::Load) {
      usedMb += order.adapter_.empty() ? model->weightsMb_ : model->adapterMb_;
    }
  }
  const auto fits = [&](const ModelSpec& aModel) {
    return FindResident(aEntry, aModel.name_) == nullptr && !IsPending({ aModel.name_, {} }) &&
           usedMb + aModel.weightsMb_ <= aSpec.memoryMb_;
  };
  for (const auto& [name, state] : loadRequests_) {
    const auto* model = FindModel(aSpec, name.first);
    if (model != nullptr && fits(*model)) {
      return EngineOrder{ OrderKind::Load, model->name_, {}, 0 };
    }
  }
  if (aEntry.models_.empty() && pending_.empty()) {
    // An engine without a model cannot serve any request, so one is loaded before it is requested.
    for (const auto& model : aSpec.models_) {
      if (fits(model)) {
        return EngineOrder{ OrderKind::Load, model.name_, {}, 0 };
      }
    }
  }
  return std::nullopt;
}

std::optional<EngineOrder>
EngineOrders::Evict(const UpstreamEntry& aEntry, const IsHeldByOthers& aIsHeldByOthers) const
{
  const auto now = clock_.Now();
  std::optional<EngineOrder> victim;
  double minimumUses = std::numeric_limits<double>::max();
  for (const auto& model : aEntry.models_) {
    for (const auto& adapter : model.adapters_) {
      const AdapterKey name{ model.name_, adapter.name_ };
      const auto use = uses_.find(name);
      double decayedUses = use == uses_.end() ? 0.0 : DecayedCount(use->second, now);
      if (decayedUses * kCopyUseWeight < minimumUses &&
          aIsHeldByOthers(model.name_, adapter.name_)) {
        decayedUses *= kCopyUseWeight;
      }
      const bool isInUse = use != uses_.end() && now - use->second.lastRunning_ < kAdapterInUseTime;
      if (isInUse || loadRequests_.contains(name) || IsPending(name) ||
          decayedUses >= minimumUses) {
        continue;
      }
      minimumUses = decayedUses;
      victim = EngineOrder{ OrderKind::Unload, model.name_, adapter.name_, 0 };
    }
  }
  return victim;
}

std::optional<EngineOrder>
EngineOrders::NextOrder(const EngineSpec& aSpec,
                        const UpstreamEntry& aEntry,
                        const IsHeldByOthers& aIsHeldByOthers)
{
  const auto now = clock_.Now();
  std::erase_if(loadRequests_, [&](const auto& aRequest) {
    const auto* model = FindResident(aEntry, aRequest.first.first);
    const bool isLoaded =
      model != nullptr &&
      (aRequest.first.second.empty() ||
       std::any_of(model->adapters_.begin(), model->adapters_.end(), [&](const auto& aAdapter) {
         return aAdapter.name_ == aRequest.first.second &&
                aAdapter.version_ >= aRequest.second.version_;
       }));
    return isLoaded || now - aRequest.second.lastRequested_ > kLoadRequestTtl;
  });
  if (auto order = LoadModel(aSpec, aEntry)) {
    return order;
  }
  const std::size_t loading = LoadingCount();
  std::size_t held = loading;
  double usedMb = 0;
  for (const auto& resident : aEntry.models_) {
    held += resident.adapters_.size();
    if (const auto* model = FindModel(aSpec, resident.name_)) {
      usedMb +=
        model->weightsMb_ + model->adapterMb_ * static_cast<double>(resident.adapters_.size());
    }
  }
  std::vector<std::pair<Urgency, AdapterKey>> waiting;
  for (const auto& [name, state] : loadRequests_) {
    if (!name.second.empty() && FindResident(aEntry, name.first) != nullptr && !IsPending(name)) {
      waiting.emplace_back(Urgency{ state.priority_, state.firstRequested_ }, name);
    }
  }
  if (waiting.empty() || loading >= kMaxLoading) {
    return std::nullopt;
  }
  const auto& name = std::min_element(waiting.begin(), waiting.end())->second;
  const auto* model = FindModel(aSpec, name.first);
  if (model == nullptr) {
    return std::nullopt;
  }
  const auto* resident = FindResident(aEntry, name.first);
  const bool isReplacement =
    std::any_of(resident->adapters_.begin(), resident->adapters_.end(), [&](const auto& aAdapter) {
      return aAdapter.name_ == name.second;
    });
  usedMb += model->adapterMb_ * static_cast<double>(loading);
  if (!isReplacement &&
      (held >= aSpec.adapterSlots_ || usedMb + model->adapterMb_ > aSpec.memoryMb_)) {
    return Evict(aEntry, aIsHeldByOthers);
  }
  return EngineOrder{ OrderKind::Load, name.first, name.second, loadRequests_.at(name).version_ };
}

void
EngineOrders::OnFinished(const EngineOrder& aOrder)
{
  if (pending_.erase(aOrder) > 0 && aOrder.kind_ == OrderKind::Load) {
    loadedBefore_.insert({ aOrder.model_, aOrder.adapter_ });
    // Requests wait for this load, and the holder learns that they started only from the next
    // gossip message. Until then the adapter must count as in use.
    RecordRunningUse(aOrder.model_, aOrder.adapter_);
  }
}

void
EngineOrders::OnAccepted(const EngineOrder& aOrder)
{
  pending_[aOrder] = clock_.Now();
}

} // namespace laburnumweir
