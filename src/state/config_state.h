/** @file config_state.h State folded from the configuration stream. */
#ifndef LABURNUMWEIR_STATE_CONFIG_STATE_H
#define LABURNUMWEIR_STATE_CONFIG_STATE_H

#include "core/random_base.h"
#include "rules/rule_error_type.h"
#include "state/config_record_type.h"
#include "state/state_error_type.h"

#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace laburnumweir {

/** What Fold did with a record. */
enum class FoldStatus : std::uint8_t
{
  Folded,     ///< The record was folded, possibly without effect.
  Known,      ///< The offset was folded before; nothing changed.
  Gap,        ///< Records before it are missing; the state must be dropped.
  Unsupported ///< Written with a newer schema; the host cannot go on with this release.
};

/** Result of a fold. */
struct FoldOutcome
{
  FoldStatus status_ = FoldStatus::Folded; ///< What was done.
  std::error_code error_;                  ///< Why the record had no effect, if it had none.
  bool rulesChanged_ = false;              ///< Whether the rules changed.
  bool membershipChanged_ = false;         ///< Whether the members changed.
  bool isSnapshot_ = false;                ///< Whether the record is a snapshot.
};

/** Counts of records that had no effect on this host since its start. */
struct FoldCounts
{
  std::uint64_t unknownKinds_ = 0; ///< Kinds that this release does not know.
  std::uint64_t malformed_ = 0;    ///< Texts that are no records.
  std::uint64_t refused_ = 0;      ///< Records whose test failed, for example stale changes.
};

/**
 * The folded state. All hosts that folded the same records have the same image, whatever snapshot
 * they started from.
 */
class ConfigState
{
public:
  /** Number of changes whose verdict is kept; 2,600 changes a day are one in 33 s. */
  static constexpr std::size_t kChangeMemory = 256;
  /** Number of changes of membership kept. A restart of all 370 hosts within the outage bound is
   * 740 changes; a change cannot be accepted early if hosts that were removed since are forgotten.
   */
  static constexpr std::size_t kHistoryMemory = 1024;

  /** The state of an empty stream. */
  ConfigState();
  /** The state of a snapshot. */
  explicit ConfigState(ConfigImage aImage);

  /**
   * Folds the next record.
   * @param aOffset offset of the record.
   * @param aData text of the record.
   * @return what was done.
   */
  FoldOutcome Fold(LogOffset aOffset, std::string_view aData);

  const ConfigImage& Image() const { return image_; }             ///< @return the state.
  LogOffset NextOffset() const { return image_.next_; }           ///< @return next to fold.
  LogOffset Revision() const { return image_.revision_; }         ///< @return revision.
  const RuleBook& Book() const { return image_.book_; }           ///< @return rule lines.
  std::shared_ptr<const RuleSet> Rules() const { return rules_; } ///< @return typed rules.
  const std::map<HostId, Member>& Members() const { return image_.members_; } ///< @return members.
  const FoldCounts& Counts() const { return counts_; }                        ///< @return counts.

  /** @return offset of the last membership record; 0 if there is none. */
  LogOffset FencingToken() const { return image_.membership_.value_or(0); }
  /** @return the member, or nullptr. */
  const Member* FindMember(const HostId& aHost) const;
  /** @return whether the host is a member with this incarnation. */
  bool IsMember(const HostId& aHost, Incarnation aIncarnation) const;
  /** @return the verdict of a change, or nullptr if it is not among the newest ones. */
  const ChangeVerdict* FindChange(std::string_view aId) const;
  /** @return the greatest incarnation known of a host, or 0. */
  Incarnation LastIncarnation(const HostId& aHost) const;

  /** @return the host that owns a workspace's bucket; empty without members. */
  HostId OwnerOf(const WorkspaceId& aWorkspace) const;
  /** @return the host that owns an upstream; empty without members. */
  HostId OwnerOf(const UpstreamId& aUpstream) const;
  /** @return the host that reads a partition of the at-most-once streams. */
  HostId OwnerOfPartition(std::uint32_t aPartition) const;

private:
  friend class ConfigCommands;

  HostId OwnerOfKey(std::string_view aKey) const;
  void UpdateMembers();
  void UpdateRules();

  ConfigImage image_;                    ///< The state.
  std::vector<HostId> hosts_;            ///< Names of the members, sorted.
  std::shared_ptr<const RuleSet> rules_; ///< Rules derived from the lines.
  FoldCounts counts_;                    ///< Records without effect.
};

/**
 * Commands on the folded state. Each is tested first and executed only if the test gives no error;
 * the test of a record depends on nothing but the state and the record, so that all hosts agree.
 */
class ConfigCommands
{
public:
  /** @return StaleBase or DuplicateChange if the change has no effect. */
  static std::error_code TestChange(const ConfigState& aState, const ChangeRecord& aRecord);
  /** Puts the change in force. */
  static void ExecChange(ConfigState& aState, LogOffset aOffset, const ChangeRecord& aRecord);
  /** Remembers that the change was rejected. */
  static void ExecRejection(ConfigState& aState, LogOffset aOffset, const ChangeRecord& aRecord);

  /** @return StaleIncarnation if the host was seen with this or a later incarnation. */
  static std::error_code TestJoin(const ConfigState& aState, const JoinRecord& aRecord);
  /** Adds the member; an earlier incarnation of the same host ends. */
  static void ExecJoin(ConfigState& aState, LogOffset aOffset, const JoinRecord& aRecord);

  /** @return UnknownMember if there is no such member. */
  static std::error_code TestLeave(const ConfigState& aState, const LeaveRecord& aRecord);
  /** Ends the membership. */
  static void ExecLeave(ConfigState& aState, LogOffset aOffset, const LeaveRecord& aRecord);

  /** @return UnknownMember or NotAMember. Only members remove, so two hosts cannot remove each
   * other. */
  static std::error_code TestRemove(const ConfigState& aState, const RemoveRecord& aRecord);
  /** Ends the membership. */
  static void ExecRemove(ConfigState& aState, LogOffset aOffset, const RemoveRecord& aRecord);

  /** Notes the newest snapshot; a snapshot is always valid and changes nothing else. */
  static void ExecSnapshot(ConfigState& aState, LogOffset aOffset, const SnapshotRecord& aRecord);

private:
  static void EndMembership(ConfigState& aState,
                            LogOffset aOffset,
                            MembershipKind aKind,
                            const HostId& aHost,
                            LogOffset aHeardNext = 0);
  static void AddHistory(ConfigState& aState, MembershipEvent aEvent);
  static void AddVerdict(ConfigState& aState, ChangeVerdict aVerdict);
};

/** A change to append, or why there is none. */
struct ChangePlan
{
  std::error_code error_;             ///< StaleBase, InvalidRules or NoChange.
  std::vector<RuleError> ruleErrors_; ///< With InvalidRules.
  RuleDiff diff_;                     ///< What would change.
  ChangeRecord record_;               ///< The change, if there is no error.
};

/**
 * Plans the change from the rules in force to wanted ones. Nothing is changed by this.
 * @param aState the folded state.
 * @param aWanted the wanted rules.
 * @param aBase revision that the operator saw.
 * @param aId identifier for the change.
 * @param aOperator who runs the command.
 * @return the change or the error.
 */
ChangePlan
PlanChange(const ConfigState& aState,
           const RuleBook& aWanted,
           LogOffset aBase,
           std::string aId,
           std::string aOperator);

/**
 * Chooses the incarnation of a new life: the wall-clock time and random bits, but always greater
 * than the last one known. A life that only counted on from the last one it has read could take the
 * number of an earlier life whose join record it has not read yet.
 * @param aLast greatest incarnation known of the host, or 0.
 * @param aWall wall-clock time.
 * @param aRandom source of the random bits.
 * @return the incarnation.
 */
Incarnation
MakeIncarnation(Incarnation aLast, WallTime aWall, RandomSource& aRandom);

/**
 * Makes the snapshot for a stream whose older records are gone (`apply --init`).
 * @param aEnd end of the stream as read; all records before it are given up.
 * @param aBook the rules.
 * @return the snapshot record.
 */
SnapshotRecord
MakeInitialSnapshot(LogOffset aEnd, RuleBook aBook);

} // namespace laburnumweir

#endif
