/** @file slot_service.h Slots, loads and windows of the engines that this host owns. */
#ifndef LABURNUMWEIR_CONTROL_SLOT_SERVICE_H
#define LABURNUMWEIR_CONTROL_SLOT_SERVICE_H

#include "control/config_view_base.h"
#include "control/peer_router.h"
#include "dispatch/engine_slots.h"
#include "engine/engine_admin_base.h"
#include "metrics/metrics.h"
#include "peer/wire.pb.h"

#include <map>
#include <memory>

namespace laburnumweir {

/** What an operator sees of an engine that this host owns. */
struct OwnedEngineStatus
{
  UpstreamId id_;             ///< Name of the engine.
  std::string epoch_;         ///< Life of the engine's process.
  bool isReady_ = false;      ///< Whether requests can be granted.
  std::uint32_t inUse_ = 0;   ///< Requests that run or may run.
  std::uint32_t window_ = 0;  ///< Most requests that may run now.
  std::uint32_t waiting_ = 0; ///< Requests that wait.
  std::size_t residents_ = 0; ///< Adapters held.
};

/**
 * Keeps EngineSlots for each engine that this host owns, answers SlotRequest and SlotRelease of all
 * hosts, orders loads and reads the engines' reports. Control thread only.
 */
class SlotService
  : public ConfigListener
  , public std::enable_shared_from_this<SlotService>
{
public:
  /**
   * @param aRouter routes requests of hosts here.
   * @param aView the agreed state.
   * @param aClock time source.
   * @param aScheduler control thread.
   * @param aAdmin orders to engines.
   * @param aMetrics counts loads.
   * @param aAuthorityLapse longest time for which a former owner may still act.
   */
  SlotService(PeerRouter& aRouter,
              const ConfigView& aView,
              const Clock& aClock,
              Scheduler& aScheduler,
              EngineAdmin& aAdmin,
              Metrics& aMetrics,
              Duration aAuthorityLapse);

  /** Starts the timers; call once, after the object is owned by a shared pointer. */
  void Start();
  void OnRecord(const ConfigState& aState) override;
  void OnJump(const ConfigState& aState) override;
  void OnTick(const ConfigState& aState) override;
  /** Renews the pins of a host, as listed in its heartbeat. @param aRequest the heartbeat. */
  void RenewPins(const wire::Envelope& aRequest);
  /** @return what an operator sees of the owned engines. */
  std::vector<OwnedEngineStatus> Status() const;

private:
  /** A request for a slot that waits for a load. */
  struct Waiter
  {
    PeerTransport::Responder respond_; ///< Answers it.
    TimePoint until_;                  ///< When it is told to ask again.
  };
  /** An engine that this host owns. */
  struct Engine
  {
    Engine(const Clock& aClock, const SlotSettings& aSettings)
      : slots_(aClock, aSettings)
    {
    }
    EngineSlots slots_;                ///< Decides.
    Endpoint endpoint_;                ///< Address of the engine.
    std::uint64_t fencing_ = 0;        ///< Fencing token of this host's ownership.
    bool isHandover_ = false;          ///< The former owner left by itself.
    bool isTakenOver_ = false;         ///< Waits only for the former owner to lapse.
    bool isReporting_ = false;         ///< A report was asked for.
    TimePoint nextReport_;             ///< When to ask for the next report.
    std::map<PinKey, Waiter> waiters_; ///< Requests that wait.
  };
  using EnginePointer = std::shared_ptr<Engine>;

  EnginePointer TakeOver(const UpstreamRule& aRule, const ConfigState& aState);
  void ServeRequest(const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond);
  void ServeRelease(const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond);
  void Answer(const Engine& aEngine,
              const SlotAnswer& aAnswer,
              bool aWaited,
              const PeerTransport::Responder& aRespond) const;
  void Feedback(Engine& aEngine, const wire::SlotRelease& aRelease);
  void Tick();
  void Advance(const UpstreamId& aId, const EnginePointer& aEngine);
  void StartLoads(const UpstreamId& aId, const EnginePointer& aEngine);
  void AskForReport(const EnginePointer& aEngine);
  std::uint32_t LoadShare() const;

  PeerRouter& router_;                          ///< Routes requests.
  const ConfigView& view_;                      ///< The agreed state.
  const Clock& clock_;                          ///< Time source.
  Scheduler& scheduler_;                        ///< Control thread.
  EngineAdmin& admin_;                          ///< Orders to engines.
  Metrics& metrics_;                            ///< Counts loads.
  Duration authorityLapse_;                     ///< How long a former owner may act.
  std::map<UpstreamId, EnginePointer> engines_; ///< Owned engines.
  std::uint32_t loadsInFlight_ = 0;             ///< Loads that this host ordered.
};

} // namespace laburnumweir

#endif
