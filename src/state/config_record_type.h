/** @file config_record_type.h Records of the configuration stream. */
#ifndef LABURNUMWEIR_STATE_CONFIG_RECORD_TYPE_H
#define LABURNUMWEIR_STATE_CONFIG_RECORD_TYPE_H

#include "rules/rule_book.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace laburnumweir {

using Incarnation = std::uint64_t; ///< Distinguishes one life of a host from the next.

/**
 * Revision of a state without any valid change. It is no offset: with offset 0 in its place, a
 * valid change at offset 0 would leave the revision as it was, and a racing change could win as
 * well.
 */
constexpr LogOffset kNoRevision = std::numeric_limits<LogOffset>::max();

/** One life of a host. */
struct HostLife
{
  HostId host_;                 ///< Name of the host.
  Incarnation incarnation_ = 0; ///< Its incarnation.

  auto operator<=>(const HostLife&) const = default;
};

/** A rule line as recorded; the text is not interpreted by the fold. */
struct RecordedLine
{
  RuleIdentity identity_; ///< Kind and name.
  std::string text_;      ///< Text of the line with its comment.

  bool operator==(const RecordedLine&) const = default;
};

/** Changes rules. Valid if and only if the base is the revision that it is folded on. */
struct ChangeRecord
{
  std::string id_;                    ///< Identifies the change; the same in repeated appends.
  LogOffset base_ = kNoRevision;      ///< Revision that the operator saw.
  std::vector<RecordedLine> set_;     ///< Lines to add or to replace.
  std::vector<RuleIdentity> removed_; ///< Lines to remove.
  std::string operator_;              ///< Who ran the command.

  bool operator==(const ChangeRecord&) const = default;
};

/** A host becomes a member. */
struct JoinRecord
{
  HostId host_;                 ///< Name of the host.
  Incarnation incarnation_ = 0; ///< Greater than any earlier one of the host.
  std::string address_;         ///< IP address of the peer protocol.
  std::uint16_t port_ = 0;      ///< Port of the peer protocol.
  DataCentreId dataCentre_;     ///< Data centre it stands in.

  bool operator==(const JoinRecord&) const = default;
};

/** A host ends its membership; it has stopped admitting before it appends this. */
struct LeaveRecord
{
  HostId host_;                 ///< Name of the host.
  Incarnation incarnation_ = 0; ///< Incarnation that leaves.

  bool operator==(const LeaveRecord&) const = default;
};

/** A member ends the membership of a host that is not heard any more. */
struct RemoveRecord
{
  HostId host_;                   ///< Host to remove.
  Incarnation incarnation_ = 0;   ///< Incarnation to remove.
  HostId by_;                     ///< Member that proposes it.
  Incarnation byIncarnation_ = 0; ///< Incarnation of the proposer.
  /** Last position that the proposer heard from the host; 0 if none. A host that starts later
   * cannot ask the removed one any more. */
  LogOffset heardNext_ = 0;

  bool operator==(const RemoveRecord&) const = default;
};

/** A member. */
struct Member
{
  HostId host_;                 ///< Name of the host.
  Incarnation incarnation_ = 0; ///< Its incarnation.
  std::string address_;         ///< IP address of the peer protocol.
  std::uint16_t port_ = 0;      ///< Port of the peer protocol.
  DataCentreId dataCentre_;     ///< Data centre it stands in.
  LogOffset joined_ = 0;        ///< Offset of its join record.

  bool operator==(const Member&) const = default;
};

/** Kind of a change of membership. */
enum class MembershipKind : std::uint8_t
{
  Join,  ///< The host became a member.
  Leave, ///< The host ended its membership after it had stopped admitting.
  Remove ///< The host was removed or replaced and may not know it.
};

/** A change of membership. */
struct MembershipEvent
{
  LogOffset offset_ = 0;                       ///< Offset of its record.
  MembershipKind kind_ = MembershipKind::Join; ///< What happened.
  HostId host_;                                ///< Host concerned.
  Incarnation incarnation_ = 0;                ///< Incarnation concerned.
  LogOffset joined_ = 0;                       ///< Offset of the join record of the incarnation.
  std::uint64_t size_ = 0;                     ///< Number of members afterwards.
  LogOffset heardNext_ = 0; ///< With Remove: last position heard from the host; 0 if none.

  bool operator==(const MembershipEvent&) const = default;
};

/** What became of a change. */
struct ChangeVerdict
{
  std::string id_;         ///< Identifier of the change.
  LogOffset offset_ = 0;   ///< Offset of its first record.
  bool isValid_ = false;   ///< Whether it took effect.
  LogOffset revision_ = 0; ///< Its own offset if valid, otherwise the revision that won.
  std::string operator_;   ///< Who ran the command.

  bool operator==(const ChangeVerdict&) const = default;
};

/** The newest snapshot record of the stream. */
struct SnapshotMark
{
  LogOffset offset_ = 0;                ///< Offset of the record.
  std::chrono::milliseconds written_{}; ///< Wall-clock time of the writer, since the epoch.

  bool operator==(const SnapshotMark&) const = default;
};

/** The whole folded state. Equal on all hosts that folded up to the same offset. */
struct ConfigImage
{
  LogOffset next_ = 0;                   ///< One past the last folded offset (`through` + 1).
  LogOffset revision_ = kNoRevision;     ///< Offset of the last valid change.
  std::optional<LogOffset> membership_;  ///< Offset of the last membership record.
  RuleBook book_;                        ///< Rule lines in force.
  std::map<HostId, Member> members_;     ///< Members by name.
  std::vector<MembershipEvent> history_; ///< Newest changes of membership, oldest first.
  std::vector<ChangeVerdict> changes_;   ///< Newest changes, oldest first.
  std::optional<SnapshotMark> snapshot_; ///< Newest snapshot record, if there is one.

  bool operator==(const ConfigImage&) const = default;
};

/** The whole state, so that a reader need not know the records before. */
struct SnapshotRecord
{
  ConfigImage image_;                   ///< State when the record was written.
  std::chrono::milliseconds written_{}; ///< Wall-clock time of the writer, since the epoch.

  bool operator==(const SnapshotRecord&) const = default;
};

/** A kind that this release does not know. */
struct UnknownRecord
{
  std::string kind_; ///< Name of the kind.

  bool operator==(const UnknownRecord&) const = default;
};

using ConfigRecord =
  std::variant<ChangeRecord, JoinRecord, LeaveRecord, RemoveRecord, SnapshotRecord, UnknownRecord>;

} // namespace laburnumweir

#endif
