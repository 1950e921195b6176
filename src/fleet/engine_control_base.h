/** @file engine_control_base.h Interface that sends orders to engines and reads their reports. */
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
  Accepted,    ///< The engine is carrying the order out.
  AlreadyDone, ///< The engine is already in the state that was ordered.
  Conflict,    ///< Another order was accepted first, or one is being carried out.
  Fenced,      ///< The engine has seen a higher fencing token.
  OtherEngine, ///< A different engine listens at the address.
  Invalid,     ///< The engine could not interpret the order.
  NoAnswer     ///< No answer arrived; the engine may have accepted the order or may still do so.
};

/** An order with the address of its engine and the fencing token of its sender. */
struct FencedOrder
{
  EngineOrder order_;
  UpstreamId engine_;              ///< Engine that the order is for; any other engine refuses it.
  Endpoint endpoint_;              ///< Where the engine receives orders.
  HostId holder_;                  ///< Host that sends the order.
  std::uint64_t fencingToken_ = 0; ///< Generation of the group of holders that the sender knows.
  /** Number of orders that the engine must have accepted since its start; with any other number it
   * refuses this order. */
  std::uint64_t expectedOrderCount_ = 0;
};

/** State of an engine as it reports it. */
struct EngineStateReport
{
  bool isBusy_ = false;               ///< A model is being loaded or unloaded.
  std::int64_t startedAt_ = 0;        ///< Start time of its process, Unix ms; 0 if not reported.
  std::uint64_t orderCount_ = 0;      ///< Number of orders accepted since that start.
  std::vector<ResidentModel> models_; ///< Loaded models with their adapters.
  std::vector<EngineOrder> loading_;  ///< Adapter loads in progress.
};

/** Asynchronous calls to engines. Callbacks run on the control thread. */
class EngineControl
{
public:
  using OrderCallback = std::function<void(OrderAnswer)>;
  using ReportCallback = std::function<void(bool aWasRead, EngineStateReport)>;

  virtual ~EngineControl() = default;
  /** Sends an order. @param aCallback receives the answer, NoAnswer if there was none. */
  virtual void Send(const FencedOrder& aOrder, OrderCallback aCallback) = 0;
  /** Requests the report of an engine. @param aEndpoint where the engine receives orders.
   * @param aCallback receives whether the report could be read, and the report. */
  virtual void RequestReport(const Endpoint& aEndpoint, ReportCallback aCallback) = 0;
};

} // namespace laburnumweir

#endif
