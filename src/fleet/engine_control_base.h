/** @file engine_control_base.h Interface for orders to engines and their reports. */
#ifndef LABURNUMWEIR_FLEET_ENGINE_CONTROL_BASE_H
#define LABURNUMWEIR_FLEET_ENGINE_CONTROL_BASE_H

#include "fleet/engine_orders.h"
#include "fleet/fleet_type.h"

#include <functional>
#include <string>
#include <vector>

namespace laburnumweir {

/** How an engine answered an order. */
enum class OrderAnswer : std::uint8_t
{
  Accepted,    ///< It carries the order out.
  AlreadyDone, ///< What was ordered holds.
  Conflict,    ///< Another order came first, or one is under way.
  Fenced,      ///< Another holder has used a higher fencing token.
  OtherEngine, ///< Another engine has the address.
  Invalid,     ///< The engine does not understand the order.
  NoAnswer     ///< It may have been accepted, or may be carried out later.
};

/** An order as it is sent. */
struct FencedOrder
{
  EngineOrder order_;                ///< What to do.
  UpstreamId engine_;                ///< Engine that is meant.
  Endpoint endpoint_;                ///< Where it listens.
  HostId holder_;                    ///< Host that orders.
  std::uint64_t fencingToken_ = 0;   ///< Token of the holder.
  std::uint64_t expectedOrders_ = 0; ///< Orders that the engine must have accepted before.
};

/** What an engine reports. */
struct EngineReport
{
  bool isBusy_ = false;               ///< A model is being loaded or unloaded.
  std::int64_t startedAt_ = 0;        ///< Life of the engine; 0 if not told.
  std::uint64_t orders_ = 0;          ///< Orders accepted in that life.
  std::vector<ResidentModel> models_; ///< Models with their adapters.
  std::vector<EngineOrder> loading_;  ///< Adapters on their way.
};

/** Asynchronous calls to engines; callbacks run on the control thread. */
class EngineControl
{
public:
  using OrderCallback = std::function<void(OrderAnswer)>;
  using ReportCallback = std::function<void(bool aWasRead, EngineReport)>;

  virtual ~EngineControl() = default;
  /** Sends an order. @param aOrder the order. @param aCallback receives the answer. */
  virtual void Send(const FencedOrder& aOrder, OrderCallback aCallback) = 0;
  /** Asks for a report. @param aEndpoint engine. @param aCallback receives the report. */
  virtual void Report(const Endpoint& aEndpoint, ReportCallback aCallback) = 0;
};

} // namespace laburnumweir

#endif
