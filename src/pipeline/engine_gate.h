/** @file engine_gate.h Finds an engine for a request and holds its pin. */
#ifndef LABURNUMWEIR_PIPELINE_ENGINE_GATE_H
#define LABURNUMWEIR_PIPELINE_ENGINE_GATE_H

#include "control/published_state.h"
#include "dispatch/held_pins.h"
#include "dispatch/placement_base.h"
#include "pipeline/control_port.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace laburnumweir {

/** An engine that granted a slot. */
struct EngineGrant
{
  UpstreamId engine_;          ///< The engine.
  Endpoint endpoint_;          ///< Its address.
  RequestId attempt_;          ///< Name of the attempt, also sent to the engine.
  bool waitedForLoad_ = false; ///< Whether the grant waited for a load.
  Duration loadWait_{};        ///< How long it waited.
};

/** Why no engine granted a slot. */
enum class EngineRefusal : std::uint8_t
{
  NoEngine, ///< No engine in service has the model.
  AllBusy,  ///< All candidates are busy; try again soon.
  TooLate,  ///< The deadline passed.
};

/** What the gate needs to know of a request. */
struct EngineQuery
{
  RequestId request_;          ///< Request, for the name of the attempt.
  AdapterRef adapter_;         ///< Adapter and version.
  std::string model_;          ///< Base model.
  TimePoint deadline_;         ///< End of the request.
  std::set<UpstreamId> avoid_; ///< Engines that failed it before.
};

/** How an attempt went, as told to the owner of the engine. */
struct EngineFeedback
{
  /** Kind of the end. */
  enum class Kind : std::uint8_t
  {
    None,     ///< Says nothing about the engine.
    Success,  ///< A complete answer.
    Overload, ///< Refused for load, crash or failure.
    Missing   ///< The adapter was not resident.
  };
  Kind kind_ = Kind::None;  ///< Kind of the end.
  bool isCertain_ = true;   ///< The run ended or never began.
  Duration latency_{};      ///< Time to the first byte, with Success.
  std::string engineEpoch_; ///< As named in the answer.
  TimePoint sentAt_;        ///< When the request was sent.
};

/** Asks the owners of engines for slots in the sequence that placement gives. One strand only. */
class EngineGate
{
public:
  using GrantCallback = std::function<void(EngineGrant)>;
  using RefusalCallback = std::function<void(EngineRefusal, Duration aRetryAfter)>;
  using StepCallback = std::function<void(std::string)>;

  /**
   * @param aSelf this host; part of the names of attempts.
   * @param aClock time source.
   * @param aPlacement ranks the engines.
   * @param aPort messages to the owners.
   */
  EngineGate(HostId aSelf,
             const Clock& aClock,
             std::unique_ptr<Placement> aPlacement,
             ControlPort& aPort);

  /** Takes the newest agreed state. @param aState the state. */
  void Follow(const std::shared_ptr<const PublishedState>& aState);
  /**
   * Finds an engine.
   * @param aQuery the request.
   * @param aGranted called with the engine.
   * @param aRefused called if there is none now.
   * @param aStep called with each step, for the explanation.
   */
  void Acquire(EngineQuery aQuery,
               GrantCallback aGranted,
               RefusalCallback aRefused,
               StepCallback aStep);
  /**
   * To be called right before sending: tests that the pin, the engine and this host's view are
   * still valid, and notes that the request is being sent.
   * @param aGrant the grant.
   * @return whether the request may be sent.
   */
  bool BeginSend(const EngineGrant& aGrant);
  /** Gives the pin back. @param aGrant the grant. @param aFeedback how the attempt went. */
  void Release(const EngineGrant& aGrant, const EngineFeedback& aFeedback);
  /** @return pins to renew, by the host that owns the engine. */
  std::map<HostId, std::vector<std::pair<UpstreamId, PinRenewal>>> Renewals() const;
  /** @return number of pins held. */
  std::size_t HeldCount() const { return pins_.Size(); }
  /** @param aModel a base model. @return whether an engine in service has it. */
  bool HasModel(const std::string& aModel) const;

private:
  struct Search;
  using SearchPointer = std::shared_ptr<Search>;

  void AskNext(const SearchPointer& aSearch);
  void AskOwner(const SearchPointer& aSearch, const UpstreamId& aEngine);
  void OnAnswer(const SearchPointer& aSearch,
                const UpstreamId& aEngine,
                TimePoint aAskedAt,
                std::uint64_t aFencing,
                std::error_code aError,
                const wire::Envelope& aAnswer);
  void Grant(const SearchPointer& aSearch,
             const UpstreamId& aEngine,
             TimePoint aAskedAt,
             std::uint64_t aFencing,
             const wire::Envelope& aAnswer);
  void SendRelease(const UpstreamId& aEngine,
                   const RequestId& aAttempt,
                   const AdapterRef& aAdapter,
                   const EngineFeedback& aFeedback,
                   int aTriesLeft);
  void SetEngines();
  const UpstreamRule* FindRule(const UpstreamId& aEngine) const;

  HostId self_;                                 ///< This host.
  const Clock& clock_;                          ///< Time source.
  std::unique_ptr<Placement> placement_;        ///< Ranks the engines.
  ControlPort& port_;                           ///< Messages to the owners.
  HeldPins pins_;                               ///< Pins of this host.
  std::shared_ptr<const PublishedState> state_; ///< State last followed.
  std::map<RequestId, AdapterRef> adapters_;    ///< Adapter of each attempt that holds a pin.
  std::uint64_t lastAttempt_ = 0;               ///< Number of the newest attempt.
  std::string process_;                         ///< Random name of this process's life.
};

} // namespace laburnumweir

#endif
