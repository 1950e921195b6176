/** @file engine_orders.h Decides which models and adapters an engine loads and unloads. */
#ifndef LABURNUMWEIR_FLEET_ENGINE_ORDERS_H
#define LABURNUMWEIR_FLEET_ENGINE_ORDERS_H

#include "core/clock_base.h"
#include "fleet/fleet_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace laburnumweir {

enum class OrderKind : std::uint8_t
{
  Load,
  Unload
};

/** An instruction to an engine to load or unload a model or an adapter. */
struct EngineOrder
{
  OrderKind kind_ = OrderKind::Load;
  std::string model_;
  std::string adapter_;      ///< Empty if the order is for the model itself.
  std::int64_t version_ = 0; ///< Version to load; 0 is the newest, where no release is known.

  auto operator<=>(const EngineOrder&) const = default;
};

/** Priority of a load request; lower values are loaded first. While more loads are requested than
 * the weight store can deliver, loading in order of arrival would make every request late. */
enum class LoadPriority : std::uint8_t
{
  InTime, ///< At least one waiting request can still meet its target latency.
  Late,   ///< The waiting requests have already missed their target latency.
  Replica ///< No request waits; another engine holds the adapter but is busy.
};

/** Load request for a model or an adapter that requests wait for. */
struct LoadRequest
{
  std::string model_;
  std::string adapter_;      ///< Empty if the load request is for the model itself.
  std::int64_t version_ = 0; ///< Oldest acceptable version; 0 accepts any.
  LoadPriority priority_ = LoadPriority::InTime;
};

/**
 * Decides, on the holder of an engine, which orders the engine receives. Loads the models and
 * adapters that requests wait for, and makes room by evicting the least frequently used adapter. An
 * adapter that may be in use is never evicted. Not thread-safe.
 */
class EngineOrders
{
public:
  using IsHeldByOthers =
    std::function<bool(const std::string& aModel, const std::string& aAdapter)>;

  /** Maximum number of adapters that may be loading on an engine at once; engines refuse more. */
  static constexpr std::size_t kMaxLoading = 4;

  /** @param aClock must outlive this object. */
  explicit EngineOrders(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /** Records a load request. Requesters repeat it while requests wait for the load. */
  void RequestLoad(const LoadRequest& aRequest);
  /** Records that a request that uses an adapter was sent to the engine. */
  void RecordUse(const std::string& aModel, const std::string& aAdapter);
  /** Records that a request that uses an adapter is still running. */
  void RecordRunningUse(const std::string& aModel, const std::string& aAdapter);
  /** Discards the orders, loaded adapters and uses recorded for the previous process instance of
   * the engine. */
  void OnRestart();
  /**
   * Selects the next order for the engine.
   * @param aSpec configured models and limits of the engine.
   * @param aEntry models and adapters that the engine holds.
   * @param aIsHeldByOthers returns whether another engine also holds an adapter of a model.
   * @return the order; none if no load is requested or none is possible now.
   */
  std::optional<EngineOrder> NextOrder(const EngineSpec& aSpec,
                                       const UpstreamEntry& aEntry,
                                       const IsHeldByOthers& aIsHeldByOthers);
  /** Urgency of the load requests for an engine; engines with lower values are served first. */
  struct Urgency
  {
    LoadPriority priority_ = LoadPriority::Replica;
    TimePoint since_ = TimePoint::max(); ///< Time of the first request for the load.
    auto operator<=>(const Urgency&) const = default;
  };

  /** @return urgency of the most urgent load request that no order is pending for. */
  Urgency MostUrgent() const;
  /** @return whether this process instance of the engine has loaded an adapter before, so that
   * loading it again is fast. */
  bool HasHeldBefore(const std::string& aModel, const std::string& aAdapter) const
  {
    return loadedBefore_.contains({ aModel, aAdapter });
  }
  /** @return whether a model is being loaded. */
  bool IsLoadingModel() const;
  /** @return number of adapters that are being loaded. */
  std::size_t LoadingCount() const;
  /** Records that the engine accepted an order and is carrying it out. */
  void OnAccepted(const EngineOrder& aOrder);
  /** Records that an order was completed, refused or abandoned. */
  void OnFinished(const EngineOrder& aOrder);
  /** @return accepted orders that are not known to be complete, with the time of acceptance. */
  const std::map<EngineOrder, TimePoint>& Pending() const { return pending_; }

private:
  using AdapterKey = std::pair<std::string, std::string>; ///< Model and adapter.
  struct Use
  {
    double decayedCount_ = 0; ///< Number of uses, exponentially decayed up to lastStart_.
    TimePoint lastStart_;     ///< When the most recent request that uses it was sent.
    TimePoint lastRunning_;   ///< When such a request was last known to be running.
  };
  struct LoadRequestState
  {
    std::int64_t version_ = 0; ///< Oldest acceptable version.
    TimePoint firstRequested_; ///< When it was first requested.
    TimePoint lastRequested_;  ///< When it was last requested.
    LoadPriority priority_ =
      LoadPriority::Replica; ///< Most urgent priority that was received recently.
    TimePoint reasonTime_;   ///< When that priority was received.
  };

  std::optional<EngineOrder> LoadModel(const EngineSpec& aSpec, const UpstreamEntry& aEntry) const;
  std::optional<EngineOrder> Evict(const UpstreamEntry& aEntry,
                                   const IsHeldByOthers& aIsHeldByOthers) const;
  bool IsPending(const AdapterKey& aName) const;
  static double DecayedCount(const Use& aUse, TimePoint aNow);

  const Clock& clock_;
  std::map<AdapterKey, LoadRequestState> loadRequests_; ///< Load requests by model and adapter.
  std::map<AdapterKey, Use> uses_;
  std::map<EngineOrder, TimePoint> pending_; ///< Accepted orders with the time of acceptance.
  std::set<AdapterKey> loadedBefore_; ///< Adapters that this process instance of the engine has
                                      ///< loaded, evicted ones included.
};

} // namespace laburnumweir

#endif
