/** @file engine_orders.cpp Decides which models and adapters an engine loads and unloads. */
#include "fleet/engine_orders.h"

#include "table/fleet_const.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace laburnumweir {

namespace {

// Uses older than this no longer tell adapters apart; bounds the memory of the table.
constexpr Duration kUseMemory = std::chrono::minutes(10);
constexpr std::size_t kMaxUses = 4096;
// Part of the uses that counts where another engine holds the adapter too: without this copy its
// requests need no load.
constexpr double kCopyWorth = 0.3;
// Demand for adapters shifts within some tens of seconds, and a use counts half after this time.
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
EngineOrders::Want(const AdapterWant& aWant)
{
  const auto now = clock_.Now();
  auto [position, isNew] = wants_.try_emplace({ aWant.model_, aWant.adapter_ });
  auto& wanted = position->second;
  if (isNew) {
    wanted.first_ = now;
  }
  wanted.last_ = now;
  wanted.version_ = std::max(wanted.version_, aWant.version_);
  // A reason holds until the next repetition is due; then the requests that gave it are gone.
  if (aWant.reason_ <= wanted.reason_ || now - wanted.reasonAt_ > kWantReasonLife) {
    wanted.reason_ = aWant.reason_;
    wanted.reasonAt_ = now;
  }
}

void
EngineOrders::Used(const std::string& aModel, const std::string& aAdapter)
{
  const auto now = clock_.Now();
  auto& use = used_[{ aModel, aAdapter }];
  use.count_ = CountAt(use, now) + 1;
  use.last_ = now;
  use.seen_ = now;
  if (used_.size() > kMaxUses) {
    std::erase_if(used_, [now](const auto& aUse) { return now - aUse.second.last_ > kUseMemory; });
  }
}

void
EngineOrders::StillUsed(const std::string& aModel, const std::string& aAdapter)
{
  used_[{ aModel, aAdapter }].seen_ = clock_.Now();
}

double
EngineOrders::CountAt(const Use& aUse, TimePoint aNow)
{
  return aUse.count_ * std::exp2(-std::chrono::duration<double>(aNow - aUse.last_) / kUseHalfLife);
}

EngineOrders::Urgency
EngineOrders::MostUrgent() const
{
  Urgency urgency;
  for (const auto& [name, wanted] : wants_) {
    if (!IsPending(name)) {
      urgency = std::min(urgency, Urgency{ wanted.reason_, wanted.first_ });
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
EngineOrders::Loading() const
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
  held_.clear();
  used_.clear();
}

bool
EngineOrders::IsPending(const Name& aName) const
{
  return std::any_of(pending_.begin(), pending_.end(), [&](const auto& aEntry) {
    return aEntry.first.model_ == aName.first && aEntry.first.adapter_ == aName.second;
  });
}

std::optional<EngineOrder>
EngineOrders::LoadModel(const EngineSpec& aSpec, const UpstreamEntry& aEntry) const
{
  if (!aEntry.models_.empty() && wants_.empty()) {
    return std::nullopt;
  }
  double used = 0;
  for (const auto& resident : aEntry.models_) {
    if (const auto* model = FindModel(aSpec, resident.name_)) {
      used +=
        model->weightsMb_ + model->adapterMb_ * static_cast<double>(resident.adapters_.size());
    }
  }
  for (const auto& [order, since] : pending_) {
    if (const auto* model = FindModel(aSpec, order.model_);
        model != nullptr && order.kind_ == OrderKind::Load) {
      used += order.adapter_.empty() ? model->weightsMb_ : model->adapterMb_;
    }
  }
  const auto fits = [&](const ModelSpec& aModel) {
    return FindResident(aEntry, aModel.name_) == nullptr && !IsPending({ aModel.name_, {} }) &&
           used + aModel.weightsMb_ <= aSpec.weightsMb_;
  };
  for (const auto& [name, wanted] : wants_) {
    const auto* model = FindModel(aSpec, name.first);
    if (model != nullptr && fits(*model)) {
      return EngineOrder{ OrderKind::Load, model->name_, {}, 0 };
    }
  }
  if (aEntry.models_.empty() && pending_.empty()) {
    // An empty engine serves nobody, so it gets a model before anything asks for it.
    for (const auto& model : aSpec.models_) {
      if (fits(model)) {
        return EngineOrder{ OrderKind::Load, model.name_, {}, 0 };
      }
    }
  }
  return std::nullopt;
}

std::optional<EngineOrder>
EngineOrders::Evict(const UpstreamEntry& aEntry, const IsElsewhere& aIsElsewhere) const
{
  const auto now = clock_.Now();
  std::optional<EngineOrder> victim;
  double least = std::numeric_limits<double>::max();
  for (const auto& model : aEntry.models_) {
    for (const auto& adapter : model.adapters_) {
      const Name name{ model.name_, adapter.name_ };
      const auto use = used_.find(name);
      double count = use == used_.end() ? 0.0 : CountAt(use->second, now);
      if (count * kCopyWorth < least && aIsElsewhere(model.name_, adapter.name_)) {
        count *= kCopyWorth;
      }
      const bool isInUse = use != used_.end() && now - use->second.seen_ < kAdapterInUse;
      if (isInUse || wants_.contains(name) || IsPending(name) || count >= least) {
        continue;
      }
      least = count;
      victim = EngineOrder{ OrderKind::Unload, model.name_, adapter.name_, 0 };
    }
  }
  return victim;
}

std::optional<EngineOrder>
EngineOrders::Next(const EngineSpec& aSpec,
                   const UpstreamEntry& aEntry,
                   const IsElsewhere& aIsElsewhere)
{
  const auto now = clock_.Now();
  std::erase_if(wants_, [&](const auto& aWant) {
    const auto* model = FindResident(aEntry, aWant.first.first);
    const bool isThere =
      model != nullptr &&
      (aWant.first.second.empty() ||
       std::any_of(model->adapters_.begin(), model->adapters_.end(), [&](const auto& aAdapter) {
         return aAdapter.name_ == aWant.first.second && aAdapter.version_ >= aWant.second.version_;
       }));
    return isThere || now - aWant.second.last_ > kWantLife;
  });
  if (auto order = LoadModel(aSpec, aEntry)) {
    return order;
  }
  const std::size_t loading = Loading();
  std::size_t held = loading;
  double usedMb = 0;
  for (const auto& resident : aEntry.models_) {
    held += resident.adapters_.size();
    if (const auto* model = FindModel(aSpec, resident.name_)) {
      usedMb +=
        model->weightsMb_ + model->adapterMb_ * static_cast<double>(resident.adapters_.size());
    }
  }
  std::vector<std::pair<Urgency, Name>> waiting;
  for (const auto& [name, wanted] : wants_) {
    if (!name.second.empty() && FindResident(aEntry, name.first) != nullptr && !IsPending(name)) {
      waiting.emplace_back(Urgency{ wanted.reason_, wanted.first_ }, name);
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
      (held >= aSpec.adapterSlots_ || usedMb + model->adapterMb_ > aSpec.weightsMb_)) {
    return Evict(aEntry, aIsElsewhere);
  }
  return EngineOrder{ OrderKind::Load, name.first, name.second, wants_.at(name).version_ };
}

void
EngineOrders::OnFinished(const EngineOrder& aOrder)
{
  if (pending_.erase(aOrder) > 0 && aOrder.kind_ == OrderKind::Load) {
    held_.insert({ aOrder.model_, aOrder.adapter_ });
    // Requests wait for it, and the holder hears of their start only with the next gossip.
    StillUsed(aOrder.model_, aOrder.adapter_);
  }
}

void
EngineOrders::OnAccepted(const EngineOrder& aOrder)
{
  pending_[aOrder] = clock_.Now();
}

} // namespace laburnumweir
