/** @file bucket_owner.h Token bucket of one workspace at the host that owns it. */
#ifndef LABURNUMWEIR_LIMITS_BUCKET_OWNER_H
#define LABURNUMWEIR_LIMITS_BUCKET_OWNER_H

#include "limits/limit_message_type.h"
#include "limits/limit_settings_type.h"

#include <cstdint>
#include <deque>
#include <map>

namespace laburnumweir {

/**
 * The bucket of one workspace during one tenure of its owner.
 *
 * Invariant: level + chunks (granted, not reported as taken, lease running) + refundable (taken,
 * not known to be spent) <= burst. Refilling goes first: it reduces the refundable part, oldest
 * batch first, so that requests that run for long do not hold back the rate. A token given back
 * after its part was reduced is lost. Hence any window of length t sees at most rate*t + burst
 * tokens, each counted when its request was admitted.
 *
 * An instance lives as long as one host owns the workspace without interruption. When folding the
 * membership shows another owner in between, or the host joins anew, a new instance must be made:
 * it starts empty and waits until no holder can use a chunk of an earlier epoch.
 */
class BucketOwner
{
public:
  /**
   * Takes the workspace over.
   * @param aWorkspace workspace.
   * @param aRule rate and burst.
   * @param aEpoch offset of the membership record that made this host the owner.
   * @param aClock time source; the takeover wait is counted from now.
   * @param aSettings settings.
   */
  BucketOwner(WorkspaceId aWorkspace,
              const BucketRule& aRule,
              LogOffset aEpoch,
              const Clock& aClock,
              const LimitSettings& aSettings);

  /**
   * Starts full and at once, for a workspace that was just added by a rule: no host can hold tokens
   * of it.
   */
  void StartFull();
  /**
   * Follows the membership while the ownership stays with this host. To be called whenever evidence
   * is renewed; without fresh evidence the owner may hold an outdated rule and grants nothing.
   * @param aEpoch offset of the newest membership record folded.
   * @param aEvidence time at which it was certainly the newest.
   */
  void SetMembership(LogOffset aEpoch, TimePoint aEvidence);
  /**
   * Changes rate and burst. Chunks already granted run on until their leases end.
   * @param aRule the new rule.
   */
  void SetRule(const BucketRule& aRule);
  /**
   * Answers a holder.
   * @param aRequest request.
   * @return answer to send; only of use to the holder's newest request.
   */
  GrantAnswer Handle(const GrantRequest& aRequest);
  /**
   * Answers a request for single tokens (baseline without chunks).
   * @param aRequest request.
   * @return answer to send.
   */
  SingleAnswer Handle(const SingleRequest& aRequest);

  /** @return tokens that could be granted now. */
  TokenCount Level();
  /** @return tokens in chunks under a running lease. */
  TokenCount Outstanding();
  /** @return taken tokens that can still be given back. */
  TokenCount Refundable() const { return refundable_; }
  /** @return when this owner begins to refill and grant. */
  TimePoint GrantsFrom() const { return grantsFrom_; }

private:
  /** Account of a holder. */
  struct Account
  {
    std::uint64_t number_ = 0;                       ///< Number chosen by the holder.
    TokenCount granted_ = 0;                         ///< Total granted.
    TokenCount chunk_ = 0;                           ///< Granted and not reported as taken.
    TokenCount debt_ = 0;                            ///< Total debt reported.
    std::uint64_t lastBatch_ = 0;                    ///< Newest batch seen.
    TimePoint leaseEnd_;                             ///< When the chunk has certainly lapsed.
    std::map<std::uint64_t, std::uint64_t> batches_; ///< Batch number to key in batches_.
  };
  /** What is known of a holder. */
  struct Holder
  {
    std::uint64_t sequence_ = 0; ///< Newest request seen.
    GrantAnswer answer_;         ///< Answer to it, for repeated requests.
    bool hasAccount_ = false;    ///< Whether account_ is open.
    Account account_;            ///< Current account.
    TokenCount demand_ = 0;      ///< Reported demand.
    TokenCount queued_ = 0;      ///< Reported waiting tokens.
    TimePoint heard_;            ///< Time of the newest request.
  };
  /** A batch of taken tokens. */
  struct Batch
  {
    TokenCount refundable_ = 0; ///< Part that may still be given back.
    TokenCount returned_ = 0;   ///< Reported as given back.
  };
  /** Tokens granted to one request (baseline without chunks). */
  struct Single
  {
    TokenCount tokens_ = 0; ///< Tokens.
    TimePoint leaseEnd_;    ///< When they are certainly spent or given up.
  };
  /** A holder that waits for tokens. */
  struct Waiter
  {
    HolderId holder_;      ///< Holder.
    TokenCount needs_ = 0; ///< Tokens that its first request lacks.
    TimePoint heard_;      ///< When it last asked.
  };

  void Refill();
  void RefillUntil(TimePoint aTime);
  void Reduce(TokenCount aTokens);
  void EraseBatch(Account& aAccount, std::uint64_t aNumber);
  void CloseAccount(Holder& aHolder);
  bool ApplyBatch(Account& aAccount, const BatchReport& aReport);
  bool Report(Holder& aHolder, const GrantRequest& aRequest);
  TokenCount Wanted(const Holder& aHolder, const GrantRequest& aRequest) const;
  GrantAnswer MakeAnswer(const GrantRequest& aRequest, GrantStatus aStatus) const;
  bool Queue(const GrantRequest& aRequest, TokenCount aNeeds, TimePoint aNow);
  void Give(Holder& aHolder, const GrantRequest& aRequest, GrantAnswer& aAnswer);
  Duration TimeFor(TokenCount aTokens) const;

  WorkspaceId workspace_;                  ///< Workspace.
  BucketRule rule_;                        ///< Rate and burst.
  LogOffset epoch_;                        ///< Epoch named in answers.
  const Clock& clock_;                     ///< Time source.
  LimitSettings settings_;                 ///< Settings.
  TimePoint evidence_;                     ///< Newest evidence of the membership.
  TimePoint grantsFrom_;                   ///< End of the takeover wait.
  TimePoint filled_;                       ///< Time up to which the bucket is refilled.
  std::int64_t remainder_ = 0;             ///< Part of a token, in token nanoseconds.
  TokenCount level_ = 0;                   ///< May be negative because of debt.
  TokenCount chunks_ = 0;                  ///< Sum of all chunks.
  TokenCount refundable_ = 0;              ///< Sum over all batches.
  std::uint64_t nextBatch_ = 1;            ///< Key of the next batch.
  std::map<HolderId, Holder> holders_;     ///< Holders heard lately.
  std::map<std::uint64_t, Batch> batches_; ///< Batches, oldest first.
  std::deque<Single> singles_;             ///< Tokens granted singly, by end of their lease.
  std::deque<Waiter> waiters_;             ///< Holders waiting for tokens, longest first.
};

} // namespace laburnumweir

#endif
