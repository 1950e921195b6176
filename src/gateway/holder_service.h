/** @file holder_service.h Orders to the engines that this host holds. */
#ifndef LABURNUMWEIR_GATEWAY_HOLDER_SERVICE_H
#define LABURNUMWEIR_GATEWAY_HOLDER_SERVICE_H

#include "core/scheduler_base.h"
#include "fleet/engine_control_base.h"
#include "fleet/engine_orders.h"
#include "fleet/fleet_state.h"
#include "fleet/fleet_store_base.h"
#include "fleet/holder_lease.h"
#include "fleet/load_window.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace laburnumweir {

/** Settings of the holder service. */
struct HolderSettings
{
  HostId member_;                                  ///< This host and life, as the group knows it.
  HostId host_;                                    ///< This host, as engines know it.
  std::chrono::milliseconds memberLife_{ 3000 };   ///< Life of a silent member.
  std::chrono::milliseconds joinInterval_{ 1000 }; ///< Between joins; a third of the life.
  std::chrono::milliseconds lease_{ 3000 };        ///< Time between orders of two holders.
  std::uint32_t partitions_ = 12;                  ///< Partitions of the group's topic.
};

/** Joins the group, and orders what requests want at the engines of its partitions. */
class HolderService : public std::enable_shared_from_this<HolderService>
{
public:
  /** Called when adapters of an engine changed by an order. */
  using ResidencyCallback = std::function<void(const EngineResidency&)>;

  /** All must outlive this. */
  HolderService(FleetStore& aStore,
                EngineControl& aEngines,
                FleetState& aState,
                const Clock& aClock,
                Scheduler& aScheduler,
                HolderSettings aSettings,
                ResidencyCallback aOnResidency);

  /** Starts to join. */
  void Start();
  /** Leaves the group and orders nothing more. */
  void Leave();
  /** Notes that requests wait for something at an engine. */
  void Want(const UpstreamId& aEngine, const AdapterWant& aWant);
  /** Notes a use of an adapter. */
  void Used(const UpstreamId& aEngine, const std::string& aModel, const std::string& aAdapter);
  /** Notes that a request with an adapter still runs. */
  void StillUsed(const UpstreamId& aEngine, const std::string& aModel, const std::string& aAdapter);
  /** Sends what orders are due. */
  void Tick();
  /** Sets the number of hosts, for this host's share of the loads of weights. */
  void SetHosts(std::size_t aHosts) { hosts_ = aHosts == 0 ? 1 : aHosts; }
  /** @return the lease. */
  const HolderLease& Lease() const { return lease_; }
  /** @return partition of an engine. */
  std::uint32_t PartitionOfEngine(const UpstreamId& aEngine) const;

private:
  struct Engine
  {
    explicit Engine(const Clock& aClock)
      : orders_(aClock)
    {
    }
    EngineOrders orders_;                      ///< What to order.
    std::int64_t startedAt_ = 0;               ///< Life of the engine.
    std::optional<TimePoint> heldSince_;       ///< Tenure in which its state was read.
    bool isCalling_ = false;                   ///< An order or report is under way.
    bool mustReport_ = false;                  ///< What it holds is not certain.
    TimePoint nextReport_;                     ///< Earliest next report.
    TimePoint ordered_;                        ///< When the last order was answered.
    std::optional<std::uint64_t> fencedToken_; ///< Token that was refused.
    std::set<EngineOrder> disturbed_; ///< Loads whose time tells nothing, since an answer was lost.
  };

  std::size_t Loading() const;
  void Join();
  void OnJoined(TimePoint aAsked, std::error_code aError, const GroupMembership& aMembership);
  void TickEngine(const UpstreamId& aId, Engine& aEngine);
  bool MayLoadWeights(const EngineSpec& aSpec);
  void SendOrder(const UpstreamId& aId, const EngineOrder& aOrder);
  void OnOrderAnswer(const UpstreamId& aId, const EngineOrder& aOrder, OrderAnswer aAnswer);
  void ConfirmLater(const UpstreamId& aId, const EngineOrder& aOrder, Duration aDelay);
  void Confirm(const UpstreamId& aId, const EngineOrder& aOrder);
  void OnConfirmed(const UpstreamId& aId, const EngineOrder& aOrder, OrderAnswer aAnswer);
  void FinishLoad(const UpstreamId& aId, Engine& aEngine, const EngineOrder& aOrder);
  FencedOrder Fence(const Upstream& aUpstream, const EngineOrder& aOrder) const;
  void SendReport(const UpstreamId& aId);
  void OnReport(const UpstreamId& aId, bool aWasRead, const EngineReport& aReport);
  void Publish(Upstream& aUpstream);

  FleetStore& store_;                    ///< The store.
  EngineControl& engineControl_;         ///< Calls to engines.
  FleetState& state_;                    ///< Fleet.
  const Clock& clock_;                   ///< Time source.
  Scheduler& scheduler_;                 ///< Delays.
  const HolderSettings settings_;        ///< Settings.
  ResidencyCallback onResidency_;        ///< Told of changes.
  HolderLease lease_;                    ///< Partitions held.
  std::map<UpstreamId, Engine> engines_; ///< Engines with wants, uses or orders.
  std::size_t hosts_ = 1;                ///< Live hosts.
  LoadWindow window_;                    ///< Adapters that may load at once.
  double weightLoads_ = 1;               ///< Loads of weights that may start now.
  TimePoint weightLoadsAt_;              ///< When weightLoads_ was computed.
  bool isLeaving_ = false;               ///< Leave() was called.
  bool isJoined_ = false;                ///< The last join succeeded.
};

} // namespace laburnumweir

#endif
