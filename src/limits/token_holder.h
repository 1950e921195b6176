/** @file token_holder.h Tokens of all workspaces at one host, in chunks leased from their owners.
 */
#ifndef LABURNUMWEIR_LIMITS_TOKEN_HOLDER_H
#define LABURNUMWEIR_LIMITS_TOKEN_HOLDER_H

#include "limits/token_limiter_base.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace laburnumweir {

/**
 * Reserves tokens from leased chunks.
 *
 * A chunk is used only while its lease runs and while the evidence that its epoch was the newest
 * membership is younger than the freshness bound. The second condition lets a new owner know when
 * every chunk of earlier epochs has certainly lapsed, whoever granted it and whoever holds it.
 */
class TokenHolder : public TokenLimiter
{
public:
  /**
   * @param aSelf this host and its incarnation.
   * @param aClock time source.
   * @param aSettings settings.
   */
  TokenHolder(HolderId aSelf, const Clock& aClock, const LimitSettings& aSettings);

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

  /**
   * @param aWorkspace workspace.
   * @return tokens that can be reserved without waiting.
   */
  TokenCount Usable(const WorkspaceId& aWorkspace) const;
  /**
   * @param aWorkspace workspace.
   * @return tokens of waiting requests.
   */
  TokenCount Queued(const WorkspaceId& aWorkspace) const;
  /** @return whether a drain has ended: everything is settled and reported. */
  bool IsDrained() const;

private:
  /** Tokens taken from a chunk between two requests. */
  struct Batch
  {
    BatchReport report_;     ///< Counts.
    std::uint64_t sent_ = 0; ///< Request that carried the newest counts; 0 = none.
  };
  /** Account at an owner. */
  struct Account
  {
    std::uint64_t number_ = 0;               ///< Number; accounts of one workspace count upwards.
    LogOffset epoch_ = 0;                    ///< Epoch of the newest answer accepted.
    TokenCount granted_ = 0;                 ///< Total granted.
    TokenCount chunk_ = 0;                   ///< Granted and not taken.
    TokenCount debt_ = 0;                    ///< Total spent beyond reservations.
    TokenCount debtSent_ = 0;                ///< Debt in the pending request.
    TokenCount debtKnown_ = 0;               ///< Debt that the owner has confirmed.
    TimePoint leaseEnd_;                     ///< End of the lease.
    std::uint64_t openBatch_ = 1;            ///< Batch that no request has named yet.
    std::map<std::uint64_t, Batch> batches_; ///< Batches not settled and confirmed.
  };
  /** A request that waits. */
  struct Waiting
  {
    ReservationId id_ = 0;  ///< Reservation.
    TokenCount tokens_ = 0; ///< Tokens.
    TimePoint since_;       ///< Start of the wait.
  };
  /** State of a workspace. */
  struct Workspace
  {
    BucketRule rule_;                 ///< Rate and burst.
    Account account_;                 ///< Account at the current owner.
    std::optional<Account> previous_; ///< Account at the previous owner, while it lasts.
    std::deque<Waiting> queue_;       ///< Waiting requests, longest first.
    TokenCount queued_ = 0;           ///< Sum of their tokens.
    double demand_ = 0;               ///< Tokens per second, as of demandTime_.
    TimePoint demandTime_;            ///< Time of demand_.
    std::uint64_t pending_ = 0;       ///< Sequence number of the open request; 0 = none.
    TimePoint sentAt_;                ///< When it was sent.
    TimePoint nextSend_;              ///< When to ask again.
    TimePoint answered_;              ///< When an owner last granted or renewed.
    TokenCount keep_ = 0;             ///< As in the newest answer.
    Duration availableIn_{};          ///< As in the newest answer.
    TimePoint availableAsOf_;         ///< Time of that answer.
  };
  /** Tokens of a reservation from one account. */
  struct Part
  {
    std::uint64_t account_ = 0; ///< Account.
    std::uint64_t batch_ = 0;   ///< Batch.
    TokenCount tokens_ = 0;     ///< Tokens.
  };
  /** A granted reservation. */
  struct Granted
  {
    WorkspaceId workspace_;   ///< Workspace.
    std::vector<Part> parts_; ///< Where the tokens came from.
  };

  bool IsUsable(const Account& aAccount) const;
  void NoteDemand(Workspace& aWorkspace, TokenCount aTokens);
  bool Take(const WorkspaceId& aId, Workspace& aWorkspace, TokenCount aTokens, ReservationId aFor);
  static Part TakeFrom(Account& aAccount, TokenCount aTokens);
  static Account* Find(Workspace& aWorkspace, std::uint64_t aNumber);
  void SettlePart(Workspace& aWorkspace, const Part& aPart, TokenCount aSpent);
  void Serve(const WorkspaceId& aId, Workspace& aWorkspace, LimitOutput& aOutput);
  void RefuseAll(Workspace& aWorkspace, LimitRefusal aReason);
  LocalReservation Refusal(const Workspace& aWorkspace,
                           ReservationId aId,
                           TokenCount aTokens,
                           LimitRefusal aReason) const;
  LimitRefusal WhyNotServed(const Workspace& aWorkspace) const;
  Duration RetryAfter(const Workspace& aWorkspace, TokenCount aTokens) const;
  bool HasNews(const Workspace& aWorkspace) const;
  void SendIfDue(const WorkspaceId& aId, Workspace& aWorkspace, LimitOutput& aOutput);
  GrantRequest MakeRequest(const WorkspaceId& aId, Workspace& aWorkspace);
  static void Confirm(Account& aAccount, std::uint64_t aSequence);
  void Rotate(Workspace& aWorkspace);

  HolderId self_;                               ///< This host.
  const Clock& clock_;                          ///< Time source.
  LimitSettings settings_;                      ///< Settings.
  LogOffset epoch_ = 0;                         ///< Newest membership folded.
  std::map<LogOffset, TimePoint> evidence_;     ///< Newest evidence of each recent epoch.
  std::map<WorkspaceId, Workspace> workspaces_; ///< Workspaces.
  std::map<ReservationId, Granted> granted_;    ///< Granted and not settled.
  std::vector<LocalReservation> refused_;       ///< To be told by the next Tick().
  ReservationId nextId_ = 1;                    ///< Next reservation.
  std::uint64_t nextSequence_ = 1;              ///< Next request.
  bool isDraining_ = false;                     ///< Whether the host drains.
};

} // namespace laburnumweir

#endif
