/** @file token_gate.h Reserves tokens of workspaces for the request pipeline. */
#ifndef LABURNUMWEIR_PIPELINE_TOKEN_GATE_H
#define LABURNUMWEIR_PIPELINE_TOKEN_GATE_H

#include "control/published_state.h"
#include "limits/token_limiter_base.h"
#include "pipeline/control_port.h"

#include <functional>
#include <map>

namespace laburnumweir {

/** Carries the messages between a TokenLimiter and the owners of the buckets. One strand only. */
class TokenGate
{
public:
  using Callback = std::function<void(const LocalReservation&)>;

  /**
   * @param aLimiter decides; must outlive the gate.
   * @param aPort messages to the owners.
   */
  TokenGate(TokenLimiter& aLimiter, ControlPort& aPort);

  /** Takes the newest agreed state. @param aState the state. */
  void Follow(const PublishedState& aState);
  /**
   * Reserves tokens.
   * @param aWorkspace workspace.
   * @param aTokens upper bound of what the request spends.
   * @param aCallback receives the decision, now or later.
   * @return number of the reservation while it waits or is granted; 0 if it was refused at once.
   */
  ReservationId Reserve(const WorkspaceId& aWorkspace, TokenCount aTokens, Callback aCallback);
  /** Ends a granted reservation. @param aId reservation. @param aSpent true count. */
  void Settle(ReservationId aId, TokenCount aSpent);
  /** Withdraws a waiting reservation. @param aId reservation. */
  void Cancel(ReservationId aId);
  /** Does what is due; to be called about every 20 ms. */
  void Tick();
  /** Gives unspent tokens back before a shutdown. */
  void Drain();

private:
  void Carry(LimitOutput& aOutput);
  void Send(const GrantRequest& aRequest);

  TokenLimiter& limiter_;                     ///< Decides.
  ControlPort& port_;                         ///< Messages to the owners.
  std::shared_ptr<const ConfigState> config_; ///< State last followed.
  std::map<WorkspaceId, BucketRule> rules_;   ///< Rules told to the limiter.
  std::map<ReservationId, Callback> waiting_; ///< Reservations without a decision.
};

} // namespace laburnumweir

#endif
