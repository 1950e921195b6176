/** @file holder_service.cpp Sends load and unload orders to the engines that this host holds. */
#include "gateway/holder_service.h"

#include "logging/logging_func.h"

#include <algorithm>
#include <vector>

namespace laburnumweir {

namespace {

// Delay of the first confirmation of a load if the engine has held the adapter before; such a load
// takes some tens of milliseconds. To confirm a load, the holder repeats its order. The engine
// answers the repeated order at once, and it has no further effect.
constexpr Duration kHeldConfirmDelay = std::chrono::milliseconds(45);
// Each further confirmation is sent after the time since the order divided by this number, but not
// before the minimum interval.
constexpr int kConfirmDivisor = 8;
constexpr Duration kMinConfirmInterval = std::chrono::milliseconds(35);
// Delay of the first confirmation of a load from the adapter store.
constexpr Duration kLoadConfirmDelay = std::chrono::milliseconds(200);
// Minimum interval of reports while the state of an engine is unknown.
constexpr Duration kReportInterval = std::chrono::milliseconds(100);
// Maximum lag of a report behind the orders; engines specify a lag of some hundred milliseconds.
constexpr Duration kMaxReportLag = std::chrono::milliseconds(600);
// Minimum interval of reports of an engine that waits for running requests to end.
constexpr Duration kBusyReportInterval = std::chrono::milliseconds(300);
// Fraction of the allowed rate of model weight loads that hosts use; the rest covers loads that
// others started.
constexpr double kWeightLoadFraction = 0.8;
// A load that a report still lists as running after this time is no longer tracked, and its order
// may be sent again.
constexpr Duration kOrderTimeout = std::chrono::seconds(15);

std::string
NameOf(OrderAnswer aAnswer)
{
  switch (aAnswer) {
    case OrderAnswer::Accepted:
      return "accepted";
    case OrderAnswer::AlreadyDone:
      return "already_done";
    case OrderAnswer::Conflict:
      return "conflict";
    case OrderAnswer::Fenced:
      return "fenced";
    case OrderAnswer::OtherEngine:
      return "other_engine";
    case OrderAnswer::Invalid:
      return "invalid";
    case OrderAnswer::NoAnswer:
      break;
  }
  return "no_answer";
}

ResidentModel*
FindModel(UpstreamEntry& aEntry, const std::string& aName)
{
  const auto found =
    std::find_if(aEntry.models_.begin(), aEntry.models_.end(), [&](const ResidentModel& aModel) {
      return aModel.name_ == aName;
    });
  return found == aEntry.models_.end() ? nullptr : &*found;
}

std::size_t
ResidentCount(const UpstreamEntry& aEntry)
{
  std::size_t count = 0;
  for (const auto& model : aEntry.models_) {
    count += model.adapters_.size();
  }
  return count;
}

/** Removes the model or adapter that an unload order names from the resident ones. */
void
RemoveResident(UpstreamEntry& aEntry, const EngineOrder& aOrder)
{
  if (aOrder.adapter_.empty()) {
    std::erase_if(aEntry.models_,
                  [&](const auto& aModel) { return aModel.name_ == aOrder.model_; });
  } else if (auto* model = FindModel(aEntry, aOrder.model_)) {
    std::erase_if(model->adapters_,
                  [&](const auto& aAdapter) { return aAdapter.name_ == aOrder.adapter_; });
  }
}

} // namespace

HolderService::HolderService(FleetStore& aStore,
                             EngineControl& aEngines,
                             FleetState& aState,
                             const Clock& aClock,
                             Scheduler& aScheduler,
                             HolderSettings aSettings,
                             ResidencyCallback aOnResidency,
                             std::function<void()> aOnStoreRestored)
  : engineControl_(aEngines)
  , state_(aState)
  , clock_(aClock)
  , scheduler_(aScheduler)
  , settings_(std::move(aSettings))
  , onResidency_(std::move(aOnResidency))
  , lease_(aClock, settings_.memberTimeout_, settings_.lease_)
  , membership_(std::make_shared<HolderMembership>(
      HolderMembershipContext{ aStore, aClock, aScheduler, lease_, std::move(aOnStoreRestored) },
      settings_))
  , weightLoadTokensAt_(aClock.Now())
{
}

void
HolderService::Start()
{
  membership_->Start();
}

void
HolderService::Leave()
{
  membership_->Leave();
}

void
HolderService::SetLinksLost(bool aAreLost)
{
  membership_->SetAway(aAreLost);
}

std::uint32_t
HolderService::PartitionOfEngine(const UpstreamId& aEngine) const
{
  return PartitionOf(aEngine, settings_.partitions_);
}

void
HolderService::RequestLoad(const UpstreamId& aEngine, const LoadRequest& aRequest)
{
  auto& engine = engines_.try_emplace(aEngine, clock_).first->second;
  auto* upstream = state_.Upstreams().Find(aEngine);
  if (upstream != nullptr && lease_.MayOrder(PartitionOfEngine(aEngine))) {
    const auto version =
      UpstreamTable::ResidentVersion(*upstream, aRequest.model_, aRequest.adapter_);
    if (version && *version >= aRequest.version_) {
      // The host that sent the load request has not received the update about the load.
      PublishResidency(*upstream);
      return;
    }
  }
  engine.orders_.RequestLoad(aRequest);
  if (LoadingCount() < window_.Size()) {
    TickEngine(aEngine, engine);
  }
}

std::size_t
HolderService::LoadingCount() const
{
  std::size_t loading = 0;
  for (const auto& [id, engine] : engines_) {
    loading += engine.orders_.LoadingCount();
  }
  return loading;
}

void
HolderService::RecordUse(const UpstreamId& aEngine,
                         const std::string& aModel,
                         const std::string& aAdapter)
{
  engines_.try_emplace(aEngine, clock_).first->second.orders_.RecordUse(aModel, aAdapter);
}

void
HolderService::RecordRunningUse(const UpstreamId& aEngine,
                                const std::string& aModel,
                                const std::string& aAdapter)
{
  engines_.try_emplace(aEngine, clock_).first->second.orders_.RecordRunningUse(aModel, aAdapter);
}

void
HolderService::Tick()
{
  for (const auto& [id, upstream] : state_.Upstreams().All()) {
    // An engine without models loads one even if there is no load request.
    if (upstream.entry_.listsModels_ && upstream.entry_.models_.empty()) {
      engines_.try_emplace(id, clock_);
    }
  }
  std::erase_if(
    engines_, [this](auto& aEngine) { return state_.Upstreams().Find(aEngine.first) == nullptr; });
  // The most urgent load requests of all engines are served first, while the load window has room.
  std::vector<std::pair<EngineOrders::Urgency, UpstreamId>> byUrgency;
  for (const auto& [id, engine] : engines_) {
    byUrgency.emplace_back(engine.orders_.MostUrgent(), id);
  }
  std::sort(byUrgency.begin(), byUrgency.end());
  std::size_t heldEngines = 0;
  for (const auto& [urgency, id] : byUrgency) {
    heldEngines += lease_.MayOrder(PartitionOfEngine(id)) ? 1 : 0;
    TickEngine(id, engines_.at(id));
  }
  window_.SetEngines(heldEngines);
}

bool
HolderService::MayLoadWeights(const EngineSpec& aSpec)
{
  const auto now = clock_.Now();
  if (aSpec.loadsPerSecond_ <= 0) {
    return true;
  }
  const double rate = aSpec.loadsPerSecond_ * kWeightLoadFraction / static_cast<double>(hostCount_);
  weightLoadTokens_ = std::min(
    1.0,
    weightLoadTokens_ + rate * std::chrono::duration<double>(now - weightLoadTokensAt_).count());
  weightLoadTokensAt_ = now;
  return weightLoadTokens_ >= 1.0;
}

void
HolderService::TickEngine(const UpstreamId& aId, Engine& aEngine)
{
  auto* upstream = state_.Upstreams().Find(aId);
  if (upstream == nullptr || !state_.Routes() || membership_->IsLeaving() ||
      !lease_.MayOrder(PartitionOfEngine(aId)) || UpstreamTable::IsLeaving(*upstream) ||
      upstream->isMisdirected_) {
    return;
  }
  const auto* service = state_.Routes()->FindService(upstream->entry_.service_);
  if (service == nullptr || !service->engine_ || aEngine.isCallPending_ ||
      (aEngine.fencedToken_ && *aEngine.fencedToken_ >= TokenOf(aId))) {
    return;
  }
  const auto heldSince = lease_.HeldSince(PartitionOfEngine(aId));
  if (aEngine.startedAt_ != upstream->entry_.startedAt_ || aEngine.heldSince_ != heldSince) {
    aEngine.startedAt_ = upstream->entry_.startedAt_;
    aEngine.heldSince_ = heldSince;
    aEngine.orders_.OnRestart();
    aEngine.unmeasuredLoads_.clear();
    // Entries and gossip may be older than the last orders of the previous holder.
    aEngine.needsReport_ = true;
  }
  aEngine.needsReport_ = aEngine.needsReport_ || upstream->differsFromHolder_;
  const auto now = clock_.Now();
  if (aEngine.needsReport_) {
    if (now >= aEngine.nextReportAt_) {
      RequestReport(aId);
    }
    return;
  }
  const auto isResidentElsewhere = [&](const std::string& aModel, const std::string& aAdapter) {
    const auto& all = state_.Upstreams().All();
    return std::any_of(all.begin(), all.end(), [&](const auto& aOther) {
      return aOther.first != aId && state_.Upstreams().IsUsable(aOther.second) &&
             UpstreamTable::ResidentVersion(aOther.second, aModel, aAdapter).has_value();
    });
  };
  auto order = aEngine.orders_.NextOrder(*service->engine_, upstream->entry_, isResidentElsewhere);
  if (!order) {
    return;
  }
  if (!order->adapter_.empty()) {
    // Additional copies use at most half of the window; the rest stays free for adapters that
    // requests wait for.
    const bool isCopy = aEngine.orders_.MostUrgent().priority_ == LoadPriority::Replica;
    if (LoadingCount() >= (isCopy ? window_.Size() / 2 : window_.Size())) {
      return;
    }
  }
  if (order->kind_ == OrderKind::Load && order->adapter_.empty()) {
    if (!MayLoadWeights(*service->engine_)) {
      return;
    }
    weightLoadTokens_ -= 1.0;
  }
  if (order->kind_ == OrderKind::Load && !order->adapter_.empty()) {
    // An order without a version would load the newest one, but neither its answer nor that to a
    // confirmation tells which one that is.
    const auto* releases = state_.FindReleases(order->model_, order->adapter_);
    order->version_ = std::max(order->version_, releases == nullptr ? 0 : releases->Newest());
  }
  SendOrder(aId, *order);
}

void
HolderService::SendOrder(const UpstreamId& aId, const EngineOrder& aOrder)
{
  const auto& upstream = *state_.Upstreams().Find(aId);
  auto& engine = engines_.at(aId);
  engine.isCallPending_ = true;
  engine.orderedProcess_ = upstream.entry_.startedAt_;
  const auto order = AddFencing(upstream, aOrder);
  engineControl_.Send(
    order,
    [weak = weak_from_this(), aId, aOrder, token = order.fencingToken_](OrderAnswer aAnswer) {
      if (const auto self = weak.lock()) {
        self->OnOrderAnswer(aId, aOrder, token, aAnswer);
      }
    });
}

void
HolderService::OnOrderAnswer(const UpstreamId& aId,
                             const EngineOrder& aOrder,
                             std::uint64_t aToken,
                             OrderAnswer aAnswer)
{
  const auto found = engines_.find(aId);
  auto* upstream = state_.Upstreams().Find(aId);
  if (found == engines_.end() || upstream == nullptr) {
    return;
  }
  auto& engine = found->second;
  engine.isCallPending_ = false;
  LogEvent(LogLevel::Info,
           "engine_order",
           { { "engine", aId.Value() },
             { "order", aOrder.kind_ == OrderKind::Load ? "load" : "unload" },
             { "adapter", aOrder.model_ + "/" + aOrder.adapter_ },
             { "version", std::to_string(aOrder.version_) },
             { "token", std::to_string(aToken) },
             { "orders", std::to_string(upstream->orderCount_) },
             { "resident", std::to_string(ResidentCount(upstream->entry_)) },
             { "loading", std::to_string(engine.orders_.Pending().size()) },
             { "answer", NameOf(aAnswer) } });
  if (engine.orderedProcess_ != upstream->entry_.startedAt_) {
    // The engine was restarted and counts its orders anew.
    TickEngine(aId, engine);
    return;
  }
  const auto now = clock_.Now();
  engine.lastOrderAt_ = now;
  switch (aAnswer) {
    case OrderAnswer::Accepted:
    case OrderAnswer::AlreadyDone:
      if (aOrder.kind_ == OrderKind::Unload) {
        // Not published here: the update after the load that follows covers both orders.
        ++upstream->orderCount_;
        RemoveResident(upstream->entry_, aOrder);
        upstream->residencyReceivedAt_ = now;
        if (aAnswer == OrderAnswer::Accepted) {
          // The engine accepts no orders until the running requests of the adapter have ended.
          engine.needsReport_ = true;
          engine.nextReportAt_ = now + kBusyReportInterval;
        }
      } else if (aAnswer == OrderAnswer::Accepted) {
        ++upstream->orderCount_;
        engine.orders_.OnAccepted(aOrder);
        ScheduleConfirmation(aId,
                             aOrder,
                             engine.orders_.HasHeldBefore(aOrder.model_, aOrder.adapter_)
                               ? kHeldConfirmDelay
                               : kLoadConfirmDelay);
      } else {
        // The adapter is already resident, so the known state of the engine is out of date.
        engine.needsReport_ = true;
        engine.nextReportAt_ = now;
      }
      break;
    case OrderAnswer::Fenced:
      engine.fencedToken_ = aToken;
      lease_.OnFenced(PartitionOfEngine(aId), aToken);
      break;
    case OrderAnswer::OtherEngine:
      state_.Upstreams().OnMisdirected(aId);
      break;
    case OrderAnswer::Conflict:
    case OrderAnswer::Invalid:
      engine.needsReport_ = true;
      engine.nextReportAt_ = now + kReportInterval;
      break;
    case OrderAnswer::NoAnswer:
      // The report shows whether the order was accepted. If it was not and arrives late, the engine
      // rejects it after the next order, since the order count that it expects is then out of date.
      engine.needsReport_ = true;
      engine.nextReportAt_ = now;
      break;
  }
  TickEngine(aId, engine);
}

std::uint64_t
HolderService::TokenOf(const UpstreamId& aEngine) const
{
  return lease_.TokenOf(PartitionOfEngine(aEngine)).value_or(0);
}

FencedOrder
HolderService::AddFencing(const Upstream& aUpstream, const EngineOrder& aOrder) const
{
  return { aOrder,          aUpstream.entry_.id_,          aUpstream.entry_.endpoint_,
           settings_.host_, TokenOf(aUpstream.entry_.id_), aUpstream.orderCount_ };
}

void
HolderService::ScheduleConfirmation(const UpstreamId& aId,
                                    const EngineOrder& aOrder,
                                    Duration aDelay)
{
  scheduler_.After(aDelay, [weak = weak_from_this(), aId, aOrder] {
    if (const auto self = weak.lock()) {
      self->SendConfirmation(aId, aOrder);
    }
  });
}

void
HolderService::SendConfirmation(const UpstreamId& aId, const EngineOrder& aOrder)
{
  const auto found = engines_.find(aId);
  const auto* upstream = state_.Upstreams().Find(aId);
  if (found == engines_.end() || upstream == nullptr || !lease_.MayOrder(PartitionOfEngine(aId)) ||
      !found->second.orders_.Pending().contains(aOrder)) {
    return;
  }
  engineControl_.Send(AddFencing(*upstream, aOrder),
                      [weak = weak_from_this(), aId, aOrder, process = upstream->entry_.startedAt_](
                        OrderAnswer aAnswer) {
                        const auto self = weak.lock();
                        const auto* engine = self ? self->state_.Upstreams().Find(aId) : nullptr;
                        if (engine != nullptr && engine->entry_.startedAt_ == process) {
                          self->OnConfirmed(aId, aOrder, aAnswer);
                        }
                      });
}

void
HolderService::OnConfirmed(const UpstreamId& aId, const EngineOrder& aOrder, OrderAnswer aAnswer)
{
  const auto found = engines_.find(aId);
  auto* upstream = state_.Upstreams().Find(aId);
  if (found == engines_.end() || upstream == nullptr) {
    return;
  }
  auto& engine = found->second;
  const auto pending = engine.orders_.Pending().find(aOrder);
  if (pending == engine.orders_.Pending().end()) {
    return;
  }
  const auto now = clock_.Now();
  if (aAnswer == OrderAnswer::Accepted) {
    ScheduleConfirmation(
      aId,
      aOrder,
      std::max<Duration>((now - pending->second) / kConfirmDivisor, kMinConfirmInterval));
  } else if (aAnswer == OrderAnswer::AlreadyDone) {
    if (aOrder.adapter_.empty()) {
      upstream->entry_.models_.push_back({ aOrder.model_, {} });
    } else if (auto* model = FindModel(upstream->entry_, aOrder.model_)) {
      std::erase_if(model->adapters_,
                    [&](const auto& aAdapter) { return aAdapter.name_ == aOrder.adapter_; });
      model->adapters_.push_back({ aOrder.adapter_, aOrder.version_ });
    }
    FinishLoad(aId, engine, aOrder);
    PublishResidency(*upstream);
    Tick();
  } else if (aAnswer == OrderAnswer::NoAnswer) {
    // An engine that is down refuses connections at once.
    engine.unmeasuredLoads_.insert(aOrder);
    ScheduleConfirmation(aId, aOrder, kMinConfirmInterval);
  } else {
    engine.unmeasuredLoads_.insert(aOrder);
    engine.needsReport_ = true;
    engine.nextReportAt_ = now + kReportInterval;
  }
}

void
HolderService::FinishLoad(const UpstreamId& aId, Engine& aEngine, const EngineOrder& aOrder)
{
  if (!aOrder.adapter_.empty()) {
    const auto took = clock_.Now() - aEngine.orders_.Pending().at(aOrder);
    const bool wasHeld = aEngine.orders_.HasHeldBefore(aOrder.model_, aOrder.adapter_);
    const bool isUnmeasured = aEngine.unmeasuredLoads_.erase(aOrder) > 0;
    if (!wasHeld && !isUnmeasured) {
      window_.OnLoaded(took);
    }
    LogEvent(LogLevel::Info,
             "adapter_loaded",
             { { "engine", aId.Value() },
               { "adapter", aOrder.model_ + "/" + aOrder.adapter_ },
               { "held_before", wasHeld ? "true" : "false" },
               { "took_ms", std::to_string(took / std::chrono::milliseconds(1)) },
               { "window", std::to_string(window_.Size()) } });
  }
  aEngine.orders_.OnFinished(aOrder);
}

void
HolderService::RequestReport(const UpstreamId& aId)
{
  const auto& entry = state_.Upstreams().Find(aId)->entry_;
  engines_.at(aId).isCallPending_ = true;
  engineControl_.RequestReport(
    entry.endpoint_,
    [weak = weak_from_this(), aId](bool aWasRead, const EngineStateReport& aReport) {
      if (const auto self = weak.lock()) {
        self->OnReport(aId, aWasRead, aReport);
      }
    });
}

void
HolderService::OnReport(const UpstreamId& aId, bool aWasRead, const EngineStateReport& aReport)
{
  const auto found = engines_.find(aId);
  auto* upstream = state_.Upstreams().Find(aId);
  if (found == engines_.end() || upstream == nullptr) {
    return;
  }
  auto& engine = found->second;
  const auto now = clock_.Now();
  engine.isCallPending_ = false;
  engine.nextReportAt_ = now + kReportInterval;
  if (!aWasRead) {
    LogEvent(LogLevel::Info, "engine_report_lost", { { "engine", aId.Value() } });
    return;
  }
  auto& entry = upstream->entry_;
  const bool isOtherInstance = aReport.startedAt_ != 0 && aReport.startedAt_ != entry.startedAt_;
  const bool mayLag = now - engine.lastOrderAt_ < kMaxReportLag;
  if (isOtherInstance || (aReport.orderCount_ < upstream->orderCount_ && mayLag)) {
    // The report is ignored: the entry of a restarted engine comes with its next heartbeat, and a
    // report may lag behind the orders.
    LogEvent(LogLevel::Debug,
             "engine_report_old",
             { { "engine", aId.Value() },
               { "life", std::to_string(aReport.startedAt_) },
               { "known_life", std::to_string(entry.startedAt_) },
               { "orders", std::to_string(aReport.orderCount_) },
               { "known_orders", std::to_string(upstream->orderCount_) } });
    return;
  }
  upstream->orderCount_ = aReport.orderCount_;
  engine.needsReport_ = aReport.isBusy_ && !engine.orders_.IsLoadingModel();
  engine.nextReportAt_ = now + kBusyReportInterval;
  entry.models_ = aReport.models_;
  // Loads that another holder ordered or whose answer was lost take up adapter slots too.
  for (const auto& order : aReport.loading_) {
    const bool isKnown = std::any_of(
      engine.orders_.Pending().begin(), engine.orders_.Pending().end(), [&](const auto& aPending) {
        return aPending.first.model_ == order.model_ && aPending.first.adapter_ == order.adapter_;
      });
    if (!isKnown) {
      engine.orders_.OnAccepted(order);
      engine.unmeasuredLoads_.insert(order);
      ScheduleConfirmation(aId, order, kMinConfirmInterval);
    }
  }
  std::vector<EngineOrder> finished;
  for (const auto& [order, since] : engine.orders_.Pending()) {
    const bool isLoading =
      order.adapter_.empty()
        ? aReport.isBusy_
        : std::any_of(aReport.loading_.begin(),
                      aReport.loading_.end(),
                      [&key = order](const EngineOrder& aLoading) {
                        return aLoading.model_ == key.model_ && aLoading.adapter_ == key.adapter_;
                      });
    if (!isLoading || now - since > kOrderTimeout) {
      finished.push_back(order);
    }
  }
  for (const auto& order : finished) {
    FinishLoad(aId, engine, order);
  }
  PublishResidency(*upstream);
  TickEngine(aId, engine);
}

void
HolderService::PublishResidency(Upstream& aUpstream)
{
  const auto& entry = aUpstream.entry_;
  aUpstream.residencyReceivedAt_ = clock_.Now();
  aUpstream.differsFromHolder_ = false;
  onResidency_({ entry.id_, entry.startedAt_, aUpstream.orderCount_, entry.models_ });
}

} // namespace laburnumweir
