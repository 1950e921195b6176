/** @file once_gate.h Asks for leave to run requests that may not be repeated. */
#ifndef LABURNUMWEIR_PIPELINE_ONCE_GATE_H
#define LABURNUMWEIR_PIPELINE_ONCE_GATE_H

#include "control/published_state.h"
#include "once/once_requester.h"
#include "pipeline/control_port.h"

#include <functional>
#include <map>

namespace laburnumweir {

/** Carries the messages between an OnceRequester and the readers of the partitions. One strand. */
class OnceGate
{
public:
  using Callback = std::function<void(OnceVerdict)>;

  /**
   * @param aRequester decides; must outlive the gate.
   * @param aPort messages to the readers.
   * @param aPartitions number of partitions.
   */
  OnceGate(OnceRequester& aRequester, ControlPort& aPort, std::uint32_t aPartitions);

  /** Takes the newest agreed state. @param aState the state. */
  void Follow(const PublishedState& aState) { config_ = aState.config_; }
  /**
   * Asks to run a request.
   * @param aKey workspace and idempotency key.
   * @param aRequestDigest digest of the request.
   * @param aCallback receives the verdict.
   * @return the ticket for Cancel().
   */
  OnceTicket Start(const OnceKey& aKey, std::string aRequestDigest, Callback aCallback);
  /** Gives up a request without a verdict. @param aTicket the request. */
  void Cancel(OnceTicket aTicket);
  /**
   * Reports how a permitted attempt ended.
   * @param aKey workspace and idempotency key.
   * @param aAttempt attempt from the permit.
   * @param aOutcome as for OnceRequester::Finish().
   * @param aStored called once the report is in the log; may be empty.
   */
  void Finish(const OnceKey& aKey,
              const AttemptId& aAttempt,
              std::optional<OnceOutcome> aOutcome,
              std::function<void()> aStored = {});
  /** Does what is due; to be called about every 20 ms. */
  void Tick();
  /** @return reports that are not confirmed yet. */
  std::size_t Unconfirmed() const { return requester_.Unconfirmed(); }

private:
  void Carry(OnceRequesterOutput& aOutput);
  void Send(const OnceBegin& aBegin);
  void Send(const OnceReport& aReport);
  HostId ReaderOf(const OnceKey& aKey) const;

  OnceRequester& requester_;                           ///< Decides.
  ControlPort& port_;                                  ///< Messages to the readers.
  std::uint32_t partitions_;                           ///< Number of partitions.
  std::shared_ptr<const ConfigState> config_;          ///< State last followed.
  std::map<OnceTicket, Callback> waiting_;             ///< Requests without a verdict.
  std::map<AttemptId, std::function<void()>> storing_; ///< Told when a report is in the log.
};

} // namespace laburnumweir

#endif
