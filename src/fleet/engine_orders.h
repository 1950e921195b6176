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

/** What an order does. */
enum class OrderKind : std::uint8_t
{
  Load,  ///< Load a model or an adapter.
  Unload ///< Unload a model or an adapter.
};

/** An order to an engine. */
struct EngineOrder
{
  OrderKind kind_ = OrderKind::Load; ///< What to do.
  std::string model_;                ///< Model.
  std::string adapter_;              ///< Adapter; empty for the model itself.
  std::int64_t version_ = 0;         ///< Version to load; 0 = the newest.

  auto operator<=>(const EngineOrder&) const = default;
};

/** Why a model or adapter is wanted; what is less is loaded first. While more is wanted than the
 * store can deliver, first come first served would make every request late. */
enum class WantReason : std::uint8_t
{
  InTime, ///< A request waits that can still meet its target latency.
  Late,   ///< A request waits that is late already.
  Copy    ///< Another engine has it and is busy; no request waits.
};

/** A model or adapter that requests wait for. */
struct AdapterWant
{
  std::string model_;                      ///< Model.
  std::string adapter_;                    ///< Adapter; empty for the model itself.
  std::int64_t version_ = 0;               ///< Oldest version that serves; 0 = any.
  WantReason reason_ = WantReason::InTime; ///< Why.
};

/**
 * Orders for one engine, decided by its holder. Loads what requests wait for and makes room by the
 * adapter that is used least, never by one that may be in use. Not thread-safe.
 */
class EngineOrders
{
public:
  using IsElsewhere = std::function<bool(const std::string& aModel, const std::string& aAdapter)>;

  /** Most adapters on their way to an engine at once; the engines take no more. */
  static constexpr std::size_t kMaxLoading = 4;

  /** @param aClock time source; must outlive this. */
  explicit EngineOrders(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /** Notes that requests wait for something; repeated while they do. */
  void Want(const AdapterWant& aWant);
  /** Notes that a request was sent for an adapter. */
  void Used(const std::string& aModel, const std::string& aAdapter);
  /** Notes that a request for an adapter still runs. */
  void StillUsed(const std::string& aModel, const std::string& aAdapter);
  /** Forgets what belongs to an earlier life of the engine. */
  void OnRestart();
  /**
   * Decides on the next order.
   * @param aSpec what the engine can hold.
   * @param aEntry what it holds.
   * @param aIsElsewhere tells whether another engine holds an adapter of a model too.
   * @return the order; none if nothing is to be done or possible now.
   */
  std::optional<EngineOrder> Next(const EngineSpec& aSpec,
                                  const UpstreamEntry& aEntry,
                                  const IsElsewhere& aIsElsewhere);
  /** How urgent the wants of an engine are; what is less goes first. */
  struct Urgency
  {
    WantReason reason_ = WantReason::Copy; ///< Most urgent reason.
    TimePoint since_ = TimePoint::max();   ///< Since when.
    auto operator<=>(const Urgency&) const = default;
  };

  /** @return urgency of the most urgent want. */
  Urgency MostUrgent() const;
  /** @return whether the engine held an adapter before, which makes its load fast. */
  bool WasHeld(const std::string& aModel, const std::string& aAdapter) const
  {
    return held_.contains({ aModel, aAdapter });
  }
  /** @return whether a model is on its way to the engine. */
  bool IsLoadingModel() const;
  /** @return adapters on their way to the engine. */
  std::size_t Loading() const;
  /** Notes that the engine accepted an order and carries it out. */
  void OnAccepted(const EngineOrder& aOrder);
  /** Notes that an order is complete, was refused, or is given up. */
  void OnFinished(const EngineOrder& aOrder);
  /** @return orders accepted and not known to be complete, with their start. */
  const std::map<EngineOrder, TimePoint>& Pending() const { return pending_; }

private:
  using Name = std::pair<std::string, std::string>; ///< Model and adapter.
  struct Use
  {
    double count_ = 0; ///< Uses, of which older ones count less.
    TimePoint last_;   ///< Start of the last use.
    TimePoint seen_;   ///< When a use was last known to run.
  };
  struct Wanted
  {
    std::int64_t version_ = 0;             ///< Oldest version that serves.
    TimePoint first_;                      ///< When it was first wanted.
    TimePoint last_;                       ///< When it was last wanted.
    WantReason reason_ = WantReason::Copy; ///< The most urgent reason told lately.
    TimePoint reasonAt_;                   ///< When that was told.
  };

  std::optional<EngineOrder> LoadModel(const EngineSpec& aSpec, const UpstreamEntry& aEntry) const;
  std::optional<EngineOrder> Evict(const UpstreamEntry& aEntry,
                                   const IsElsewhere& aIsElsewhere) const;
  bool IsPending(const Name& aName) const;
  static double CountAt(const Use& aUse, TimePoint aNow);

  const Clock& clock_;                       ///< Time source.
  std::map<Name, Wanted> wants_;             ///< What requests wait for.
  std::map<Name, Use> used_;                 ///< Uses of each adapter.
  std::map<EngineOrder, TimePoint> pending_; ///< Orders under way.
  std::set<Name> held_;                      ///< Adapters loaded in this life of the engine.
};

} // namespace laburnumweir

#endif
