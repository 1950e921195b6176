/** @file token_limiter_base.h Interface of the ways to hold workspaces to their rate at one host.
 */
#ifndef LABURNUMWEIR_LIMITS_TOKEN_LIMITER_BASE_H
#define LABURNUMWEIR_LIMITS_TOKEN_LIMITER_BASE_H

#include "limits/limit_message_type.h"
#include "limits/limit_settings_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace laburnumweir {

/** Number of a reservation, unique at its host and never 0. */
using ReservationId = std::uint64_t;

/** Why a reservation was refused. */
enum class LimitRefusal : std::uint8_t
{
  None,             ///< Not refused.
  UnknownWorkspace, ///< No rule names the workspace.
  LargerThanBurst,  ///< It can never be granted.
  OverRate,         ///< The workspace has used up its rate and burst.
  QueueFull,        ///< Too many requests wait for tokens.
  NoGrant,          ///< The bucket's owner gave no answer in time.
  NotFresh,         ///< The host has no fresh evidence of the membership.
  Draining,         ///< The host is draining.
};

/** State of a reservation. */
enum class ReserveStatus : std::uint8_t
{
  Granted, ///< The request may run; Settle() must follow.
  Waiting, ///< A later LimitOutput tells the result.
  Refused, ///< The request must not run.
};

/** Result for one reservation. */
struct LocalReservation
{
  ReservationId id_ = 0;                          ///< For Settle(); 0 if refused at once.
  ReserveStatus status_ = ReserveStatus::Refused; ///< State.
  LimitRefusal refusal_ = LimitRefusal::None;     ///< Reason, if refused.
  Duration retryAfter_{}; ///< If refused: when it may be granted; 0 = never.
  std::string message_;   ///< If refused: text for the caller.
};

/** A message to the owner of a workspace's bucket. */
using LimitMessage = std::variant<GrantRequest, SingleRequest>;

/** What a call led to. */
struct LimitOutput
{
  std::vector<LimitMessage> messages_;      ///< To send to the owner of each workspace.
  std::vector<LocalReservation> decisions_; ///< Waiting reservations that were decided.
};

/**
 * Reserves tokens of workspaces at one host. Not thread-safe; all calls come from one strand.
 */
class TokenLimiter
{
public:
  virtual ~TokenLimiter() = default;
  /**
   * Sets or changes the rule of a workspace.
   * @param aWorkspace workspace.
   * @param aRule rate and burst.
   */
  virtual void SetRule(const WorkspaceId& aWorkspace, const BucketRule& aRule) = 0;
  /**
   * Removes a workspace; its waiting requests are refused by the next Tick().
   * @param aWorkspace workspace.
   */
  virtual void RemoveRule(const WorkspaceId& aWorkspace) = 0;
  /**
   * Tells of the newest membership. To be called whenever evidence is renewed.
   * @param aEpoch offset of the last membership record folded.
   * @param aEvidence time at which this was certainly the newest membership.
   * @param aMembers number of members.
   */
  virtual void SetMembership(LogOffset aEpoch, TimePoint aEvidence, std::size_t aMembers) = 0;
  /**
   * Asks to spend tokens.
   * @param aWorkspace workspace.
   * @param aTokens upper bound of what the request spends.
   * @param aOutput receives messages to send.
   * @return the decision, or that the request waits.
   */
  virtual LocalReservation Reserve(const WorkspaceId& aWorkspace,
                                   TokenCount aTokens,
                                   LimitOutput& aOutput) = 0;
  /**
   * Ends a granted reservation.
   * @param aId reservation.
   * @param aSpent true count; 0 if the request did not run.
   * @param aOutput receives messages and decisions.
   */
  virtual void Settle(ReservationId aId, TokenCount aSpent, LimitOutput& aOutput) = 0;
  /**
   * Withdraws a waiting reservation; a granted one is left alone.
   * @param aId reservation.
   */
  virtual void Cancel(ReservationId aId) = 0;
  /**
   * Does what is due: time limits, renewals, returns. To be called about every 20 ms.
   * @param aOutput receives messages and decisions.
   */
  virtual void Tick(LimitOutput& aOutput) = 0;
  /**
   * Takes an owner's answer.
   * @param aAnswer answer.
   * @param aOutput receives messages and decisions.
   */
  virtual void Receive(const GrantAnswer& aAnswer, LimitOutput& aOutput) = 0;
  /** @copydoc Receive */
  virtual void Receive(const SingleAnswer& aAnswer, LimitOutput& aOutput) = 0;
  /**
   * Begins to drain: nothing more is granted, unspent tokens go back.
   * @param aOutput receives messages and decisions.
   */
  virtual void Drain(LimitOutput& aOutput) = 0;
};

} // namespace laburnumweir

#endif
