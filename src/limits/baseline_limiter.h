/** @file baseline_limiter.h The ways to limit that the leased chunks are compared with. */
#ifndef LABURNUMWEIR_LIMITS_BASELINE_LIMITER_H
#define LABURNUMWEIR_LIMITS_BASELINE_LIMITER_H

#include "limits/token_limiter_base.h"

#include <cstdint>
#include <map>

namespace laburnumweir {

/**
 * Static split: each host has a bucket with its part of rate and burst and needs no messages. It
 * never waits for a change of the membership, so that the sum is exceeded for as long as hosts
 * divide by different numbers of members.
 */
class StaticSplitLimiter : public TokenLimiter
{
public:
  /**
   * @param aClock time source.
   * @param aSettings settings.
   */
  StaticSplitLimiter(const Clock& aClock, const LimitSettings& aSettings);

  void SetRule(const WorkspaceId& aWorkspace, const BucketRule& aRule) override;
  void RemoveRule(const WorkspaceId& aWorkspace) override;
  void SetMembership(LogOffset aEpoch, TimePoint aEvidence, std::size_t aMembers) override;
  LocalReservation Reserve(const WorkspaceId& aWorkspace,
                           TokenCount aTokens,
                           LimitOutput& aOutput) override;
  void Settle(ReservationId aId, TokenCount aSpent, LimitOutput& aOutput) override;
  void Cancel(ReservationId aId) override;
  void Tick(LimitOutput& aOutput) override;
  void Receive(const GrantAnswer& aAnswer, LimitOutput& aOutput) override;
  void Receive(const SingleAnswer& aAnswer, LimitOutput& aOutput) override;
  void Drain(LimitOutput& aOutput) override;

private:
  /** Bucket of a workspace. */
  struct Bucket
  {
    BucketRule rule_;  ///< Rate and burst across all hosts.
    double level_ = 0; ///< Tokens; negative because of debt.
    TimePoint filled_; ///< Time of level_.
  };
  /** A granted reservation. */
  struct Granted
  {
    WorkspaceId workspace_; ///< Workspace.
    TokenCount tokens_ = 0; ///< Tokens reserved.
  };

  void Refill(Bucket& aBucket) const;

  const Clock& clock_;                       ///< Time source.
  LimitSettings settings_;                   ///< Settings.
  std::size_t members_ = 1;                  ///< Number of members.
  std::map<WorkspaceId, Bucket> buckets_;    ///< Buckets.
  std::map<ReservationId, Granted> granted_; ///< Granted and not settled.
  ReservationId nextId_ = 1;                 ///< Next reservation.
  bool isDraining_ = false;                  ///< Whether the host drains.
};

/** Grant per request: each reservation asks the owner; nothing is held and nothing given back. */
class SingleGrantLimiter : public TokenLimiter
{
public:
  /**
   * @param aSelf this host and its incarnation.
   * @param aClock time source.
   * @param aSettings settings.
   */
  SingleGrantLimiter(HolderId aSelf, const Clock& aClock, const LimitSettings& aSettings);

  void SetRule(const WorkspaceId& aWorkspace, const BucketRule& aRule) override;
  void RemoveRule(const WorkspaceId& aWorkspace) override;
  void SetMembership(LogOffset aEpoch, TimePoint aEvidence, std::size_t aMembers) override;
  LocalReservation Reserve(const WorkspaceId& aWorkspace,
                           TokenCount aTokens,
                           LimitOutput& aOutput) override;
  void Settle(ReservationId aId, TokenCount aSpent, LimitOutput& aOutput) override;
  void Cancel(ReservationId aId) override;
  void Tick(LimitOutput& aOutput) override;
  void Receive(const GrantAnswer& aAnswer, LimitOutput& aOutput) override;
  void Receive(const SingleAnswer& aAnswer, LimitOutput& aOutput) override;
  void Drain(LimitOutput& aOutput) override;

private:
  /** A request that waits. */
  struct Waiting
  {
    WorkspaceId workspace_;      ///< Workspace.
    TokenCount tokens_ = 0;      ///< Tokens.
    TimePoint since_;            ///< Start of the wait.
    std::uint64_t sequence_ = 0; ///< Open request to the owner; 0 = none.
    TimePoint sentAt_;           ///< When it was sent.
    TimePoint nextSend_;         ///< When to ask again.
    Duration availableIn_{};     ///< As in the newest answer.
  };

  bool IsFresh() const;
  void SendIfDue(Waiting& aWaiting, LimitOutput& aOutput);

  HolderId self_;                                     ///< This host.
  const Clock& clock_;                                ///< Time source.
  LimitSettings settings_;                            ///< Settings.
  LogOffset epoch_ = 0;                               ///< Newest membership folded.
  TimePoint evidence_;                                ///< Its evidence.
  std::map<WorkspaceId, BucketRule> rules_;           ///< Rules.
  std::map<ReservationId, Waiting> waiting_;          ///< Waiting, oldest first.
  std::map<std::uint64_t, ReservationId> bySequence_; ///< Open requests.
  ReservationId nextId_ = 1;                          ///< Next reservation.
  std::uint64_t nextSequence_ = 1;                    ///< Next request.
  bool isDraining_ = false;                           ///< Whether the host drains.
};

} // namespace laburnumweir

#endif
