/** @file holder_service.h Sends load and unload orders to the engines that this host holds. */
#ifndef LABURNUMWEIR_GATEWAY_HOLDER_SERVICE_H
#define LABURNUMWEIR_GATEWAY_HOLDER_SERVICE_H

#include "core/scheduler_base.h"
#include "fleet/engine_control_base.h"
#include "fleet/engine_orders.h"
#include "fleet/fleet_state.h"
#include "fleet/load_window.h"
#include "gateway/holder_membership.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace laburnumweir {

/** Joins the group and sends orders for load requests to the engines of this host's partitions. */
class HolderService : public std::enable_shared_from_this<HolderService>
{
public:
  /** Called with the resident adapters of an engine after a load, a report, or a load request for
   * an adapter that is already resident. */
  using ResidencyCallback = std::function<void(const EngineResidency&)>;

  /**
   * All references must outlive this object.
   * @param aOnStoreRestored called each time that the store may have been restored from a copy
   * since the previous join.
   */
  HolderService(
    FleetStore& aStore,
    EngineControl& aEngines,
    FleetState& aState,
    const Clock& aClock,
    Scheduler& aScheduler,
    HolderSettings aSettings,
    ResidencyCallback aOnResidency,
    std::function<void()> aOnStoreRestored = [] {});

  /** Joins the group now, and renews the membership at each join interval. */
  void Start();
  /** Leaves the group; no orders are sent from then on. */
  void Leave();
  /** Leaves the group while this host has lost its links to the engines, and joins it again. */
  void SetLinksLost(bool aAreLost);
  /** Changes the minimum time between the orders of two successive holders of an engine. */
  void SetLease(Duration aLease) { lease_.SetSettleTime(aLease); }
  /** Records a load request for an engine. If the requested version is already resident, publishes
   * the engine's resident adapters instead. */
  void RequestLoad(const UpstreamId& aEngine, const LoadRequest& aRequest);
  /** Records that a request started to use an adapter. */
  void RecordUse(const UpstreamId& aEngine, const std::string& aModel, const std::string& aAdapter);
  /** Records that a request that uses an adapter still runs. */
  void RecordRunningUse(const UpstreamId& aEngine,
                        const std::string& aModel,
                        const std::string& aAdapter);
  /** Sends the orders and requests the reports that are due. */
  void Tick();
  /** Sets the number of live hosts. Each may use an equal share of the permitted rate of model
   * weight loads. */
  void SetHostCount(std::size_t aHostCount) { hostCount_ = aHostCount == 0 ? 1 : aHostCount; }
  const HolderLease& Lease() const { return lease_; }
  /** Records that a token of a partition was refused as outdated. */
  void OnFenced(std::uint32_t aPartition, std::uint64_t aToken)
  {
    lease_.OnFenced(aPartition, aToken);
  }
  std::uint32_t PartitionOfEngine(const UpstreamId& aEngine) const;

private:
  struct Engine
  {
    explicit Engine(const Clock& aClock)
      : orders_(aClock)
    {
    }
    EngineOrders orders_;                      ///< Load requests, uses and pending orders.
    std::int64_t startedAt_ = 0;               ///< Start time of the engine.
    std::optional<TimePoint> heldSince_;       ///< HolderLease::HeldSince() at the last tick.
    bool isCallPending_ = false;               ///< An order or report request was not answered yet.
    std::int64_t orderedProcess_ = 0;          ///< Start time of the process that got the order.
    bool needsReport_ = false;                 ///< A report is needed before the next order.
    TimePoint nextReportAt_;                   ///< Earliest time of the next report request.
    TimePoint lastOrderAt_;                    ///< When the last order was answered.
    std::optional<std::uint64_t> fencedToken_; ///< Fencing token that the engine refused.
    /** Pending loads whose duration is not known, e.g. after a lost answer. */
    std::set<EngineOrder> unmeasuredLoads_;
  };

  std::size_t LoadingCount() const;
  void TickEngine(const UpstreamId& aId, Engine& aEngine);
  bool MayLoadWeights(const EngineSpec& aSpec);
  void SendOrder(const UpstreamId& aId, const EngineOrder& aOrder);
  /** @param aToken fencing token of the order. */
  void OnOrderAnswer(const UpstreamId& aId,
                     const EngineOrder& aOrder,
                     std::uint64_t aToken,
                     OrderAnswer aAnswer);
  void ScheduleConfirmation(const UpstreamId& aId, const EngineOrder& aOrder, Duration aDelay);
  void SendConfirmation(const UpstreamId& aId, const EngineOrder& aOrder);
  void OnConfirmed(const UpstreamId& aId, const EngineOrder& aOrder, OrderAnswer aAnswer);
  void FinishLoad(const UpstreamId& aId, Engine& aEngine, const EngineOrder& aOrder);
  /** @return fencing token of orders to an engine; 0 if its partition is not held. */
  std::uint64_t TokenOf(const UpstreamId& aEngine) const;
  FencedOrder AddFencing(const Upstream& aUpstream, const EngineOrder& aOrder) const;
  void RequestReport(const UpstreamId& aId);
  void OnReport(const UpstreamId& aId, bool aWasRead, const EngineStateReport& aReport);
  void PublishResidency(Upstream& aUpstream);

  EngineControl& engineControl_;
  FleetState& state_;
  const Clock& clock_;
  Scheduler& scheduler_;
  const HolderSettings settings_;
  ResidencyCallback onResidency_;
  HolderLease lease_;
  std::shared_ptr<HolderMembership> membership_; ///< Keeps lease_ up to date.
  std::map<UpstreamId, Engine> engines_;         ///< Engines with load requests, uses or orders.
  std::size_t hostCount_ = 1;                    ///< Live hosts; at least 1.
  LoadWindow window_;                            ///< Limit of concurrent adapter loads.
  double weightLoadTokens_ = 1;  ///< Tokens of the bucket that limits loads of model weights.
  TimePoint weightLoadTokensAt_; ///< When weightLoadTokens_ was updated.
};

} // namespace laburnumweir

#endif
