/** @file limit_message_type.h Messages between the holders and the owner of a workspace's bucket.
 */
#ifndef LABURNUMWEIR_LIMITS_LIMIT_MESSAGE_TYPE_H
#define LABURNUMWEIR_LIMITS_LIMIT_MESSAGE_TYPE_H

#include "core/clock_base.h"
#include "core/id_type.h"

#include <cstdint>
#include <vector>

namespace laburnumweir {

/** One life of a host as seen by the owner of a bucket. */
struct HolderId
{
  HostId host_;                   ///< Host.
  std::uint64_t incarnation_ = 0; ///< Incarnation from the membership.

  auto operator<=>(const HolderId&) const = default;
};

/**
 * What became of the tokens that a holder took from its chunk between two of its requests. All
 * counts are cumulative, so a repeated or reordered report does no harm.
 */
struct BatchReport
{
  std::uint64_t batch_ = 0; ///< Sequence number of the request that first named the batch.
  TokenCount taken_ = 0;    ///< Tokens taken from the chunk.
  TokenCount returned_ = 0; ///< Of these, tokens that were never spent.
  TokenCount spent_ = 0;    ///< Of these, tokens that were spent for certain.

  bool operator==(const BatchReport&) const = default;
};

/** Holder to owner: report, renewal of the lease and wish for more tokens. */
struct GrantRequest
{
  WorkspaceId workspace_;            ///< Workspace.
  HolderId holder_;                  ///< Sender.
  LogOffset epoch_ = 0;              ///< Offset of the last membership record folded.
  std::uint64_t account_ = 0;        ///< Account at the owner; the holder numbers them upwards.
  std::uint64_t sequence_ = 0;       ///< Grows with each request of this holder.
  TokenCount granted_ = 0;           ///< Total granted on this account as the holder knows it.
  TokenCount debt_ = 0;              ///< Total spent beyond reservations on this account.
  TokenCount demand_ = 0;            ///< Tokens per second asked of this holder lately.
  TokenCount queued_ = 0;            ///< Tokens of all waiting requests.
  TokenCount head_ = 0;              ///< Tokens of the request that has waited longest.
  bool isClosing_ = false;           ///< The holder drains and wants nothing more.
  std::vector<BatchReport> batches_; ///< Batches that are new or changed, oldest first.
};

/** How the owner answered a request. */
enum class GrantStatus : std::uint8_t
{
  Ok,         ///< The lease is renewed; tokens may have been added.
  WrongEpoch, ///< The sides know different memberships or the owner's is not fresh; nothing done.
  UnknownAccount, ///< The account has lapsed or belongs to an earlier owner.
  Stale,          ///< A newer request of this holder was seen; nothing was done.
};

/** Owner to holder. */
struct GrantAnswer
{
  WorkspaceId workspace_;                ///< Workspace.
  HolderId holder_;                      ///< Holder that asked.
  LogOffset epoch_ = 0;                  ///< Epoch of the owner.
  std::uint64_t account_ = 0;            ///< Account as in the request.
  std::uint64_t sequence_ = 0;           ///< Sequence number of the request.
  GrantStatus status_ = GrantStatus::Ok; ///< Result.
  TokenCount granted_ = 0;               ///< Total granted on the account.
  TokenCount keep_ = 0;                  ///< The holder returns what it holds beyond this.
  Duration lease_{};                     ///< Lease, counted from the sending of the request.
  Duration renewAfter_{};                ///< When the holder should ask again.
  Duration availableIn_{};               ///< Estimate of when the waiting tokens are available.
};

/** Requester to owner, for the grant-per-request baseline. */
struct SingleRequest
{
  WorkspaceId workspace_;      ///< Workspace.
  HolderId holder_;            ///< Sender.
  std::uint64_t sequence_ = 0; ///< Identifies the request of this holder.
  LogOffset epoch_ = 0;        ///< Epoch of the sender.
  TokenCount tokens_ = 0;      ///< Tokens wanted.
};

/** Owner to requester, for the grant-per-request baseline. */
struct SingleAnswer
{
  WorkspaceId workspace_;      ///< Workspace.
  HolderId holder_;            ///< Holder that asked.
  std::uint64_t sequence_ = 0; ///< Sequence number of the request.
  LogOffset epoch_ = 0;        ///< Epoch of the owner.
  bool isGranted_ = false;     ///< Whether the tokens may be spent.
  Duration availableIn_{};     ///< If not granted, estimate of when they are available.
};

} // namespace laburnumweir

#endif
