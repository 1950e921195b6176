/** @file config_state_cmd.cpp Commands on the folded state. */
#include "rules/rule_parser_func.h"
#include "state/config_state.h"

#include <algorithm>
#include <chrono>

namespace laburnumweir {

std::error_code
ConfigCommands::TestChange(const ConfigState& aState, const ChangeRecord& aRecord)
{
  if (aState.FindChange(aRecord.id_) != nullptr) {
    return StateErrc::DuplicateChange;
  }
  // A repeated append of a change whose id is forgotten fails here as well, because its base lies
  // before its first record.
  if (aRecord.base_ != aState.Revision()) {
    return StateErrc::StaleBase;
  }
  return {};
}

void
ConfigCommands::ExecChange(ConfigState& aState, LogOffset aOffset, const ChangeRecord& aRecord)
{
  for (const RuleIdentity& identity : aRecord.removed_) {
    aState.image_.book_.Remove(identity);
  }
  for (const RecordedLine& line : aRecord.set_) {
    aState.image_.book_.Set(RestoreRuleLine(line.identity_, line.text_));
  }
  aState.image_.revision_ = aOffset;
  AddVerdict(aState, ChangeVerdict{ aRecord.id_, aOffset, true, aOffset, aRecord.operator_ });
  aState.UpdateRules();
}

void
ConfigCommands::ExecRejection(ConfigState& aState, LogOffset aOffset, const ChangeRecord& aRecord)
{
  AddVerdict(aState,
             ChangeVerdict{ aRecord.id_, aOffset, false, aState.Revision(), aRecord.operator_ });
}

std::error_code
ConfigCommands::TestJoin(const ConfigState& aState, const JoinRecord& aRecord)
{
  // A join whose answer was lost can land after the host joined with a later incarnation or was
  // removed; it must not bring the earlier incarnation back.
  if (aState.LastIncarnation(aRecord.host_) >= aRecord.incarnation_) {
    return StateErrc::StaleIncarnation;
  }
  return {};
}

void
ConfigCommands::ExecJoin(ConfigState& aState, LogOffset aOffset, const JoinRecord& aRecord)
{
  if (aState.FindMember(aRecord.host_) != nullptr) {
    EndMembership(aState, aOffset, MembershipKind::Remove, aRecord.host_);
  }
  aState.image_.members_[aRecord.host_] =
    Member{ aRecord.host_, aRecord.incarnation_, aRecord.address_,
            aRecord.port_, aRecord.dataCentre_,  aOffset };
  AddHistory(aState,
             MembershipEvent{ aOffset,
                              MembershipKind::Join,
                              aRecord.host_,
                              aRecord.incarnation_,
                              aOffset,
                              aState.image_.members_.size() });
}

std::error_code
ConfigCommands::TestLeave(const ConfigState& aState, const LeaveRecord& aRecord)
{
  if (!aState.IsMember(aRecord.host_, aRecord.incarnation_)) {
    return StateErrc::UnknownMember;
  }
  return {};
}

void
ConfigCommands::ExecLeave(ConfigState& aState, LogOffset aOffset, const LeaveRecord& aRecord)
{
  EndMembership(aState, aOffset, MembershipKind::Leave, aRecord.host_);
}

std::error_code
ConfigCommands::TestRemove(const ConfigState& aState, const RemoveRecord& aRecord)
{
  if (!aState.IsMember(aRecord.host_, aRecord.incarnation_)) {
    return StateErrc::UnknownMember;
  }
  if (!aState.IsMember(aRecord.by_, aRecord.byIncarnation_)) {
    return StateErrc::NotAMember;
  }
  return {};
}

void
ConfigCommands::ExecRemove(ConfigState& aState, LogOffset aOffset, const RemoveRecord& aRecord)
{
  EndMembership(aState, aOffset, MembershipKind::Remove, aRecord.host_, aRecord.heardNext_);
}

void
ConfigCommands::ExecSnapshot(ConfigState& aState, LogOffset aOffset, const SnapshotRecord& aRecord)
{
  aState.image_.snapshot_ = SnapshotMark{ aOffset, aRecord.written_ };
}

void
ConfigCommands::EndMembership(ConfigState& aState,
                              LogOffset aOffset,
                              MembershipKind aKind,
                              const HostId& aHost,
                              LogOffset aHeardNext)
{
  const auto found = aState.image_.members_.find(aHost);
  MembershipEvent event{ aOffset,
                         aKind,
                         aHost,
                         found->second.incarnation_,
                         found->second.joined_,
                         aState.image_.members_.size() - 1,
                         aHeardNext };
  aState.image_.members_.erase(found);
  AddHistory(aState, std::move(event));
}

void
ConfigCommands::AddHistory(ConfigState& aState, MembershipEvent aEvent)
{
  aState.image_.membership_ = aEvent.offset_;
  std::vector<MembershipEvent>& history = aState.image_.history_;
  history.push_back(std::move(aEvent));
  if (history.size() > ConfigState::kHistoryMemory) {
    history.erase(history.begin());
  }
  aState.UpdateMembers();
}

void
ConfigCommands::AddVerdict(ConfigState& aState, ChangeVerdict aVerdict)
{
  std::vector<ChangeVerdict>& changes = aState.image_.changes_;
  changes.push_back(std::move(aVerdict));
  if (changes.size() > ConfigState::kChangeMemory) {
    changes.erase(changes.begin());
  }
}

ChangePlan
PlanChange(const ConfigState& aState,
           const RuleBook& aWanted,
           LogOffset aBase,
           std::string aId,
           std::string aOperator)
{
  ChangePlan plan;
  plan.diff_ = DiffRules(aState.Book(), aWanted);
  plan.record_.id_ = std::move(aId);
  plan.record_.base_ = aBase;
  plan.record_.operator_ = std::move(aOperator);
  for (const RuleLine& line : plan.diff_.removed_) {
    plan.record_.removed_.push_back(line.identity_);
  }
  for (const auto& [before, after] : plan.diff_.changed_) {
    plan.record_.set_.push_back(RecordedLine{ after.identity_, after.text_ });
  }
  for (const RuleLine& line : plan.diff_.added_) {
    plan.record_.set_.push_back(RecordedLine{ line.identity_, line.text_ });
  }
  plan.ruleErrors_ = CheckRules(aWanted);
  plan.error_ = ConfigCommands::TestChange(aState, plan.record_);
  if (!plan.error_ && !plan.ruleErrors_.empty()) {
    plan.error_ = StateErrc::InvalidRules;
  }
  if (!plan.error_ && plan.diff_.IsEmpty()) {
    plan.error_ = StateErrc::NoChange;
  }
  return plan;
}

Incarnation
MakeIncarnation(Incarnation aLast, WallTime aWall, RandomSource& aRandom)
{
  constexpr int kRandomBits = 20; // leaves 43 bits for milliseconds, enough until the year 2248
  const auto time = std::chrono::floor<std::chrono::milliseconds>(aWall.time_since_epoch());
  const Incarnation upper =
    std::max((aLast >> kRandomBits) + 1, static_cast<Incarnation>(time.count()));
  return (upper << kRandomBits) | aRandom.Below(Incarnation{ 1 } << kRandomBits);
}

SnapshotRecord
MakeInitialSnapshot(LogOffset aEnd, RuleBook aBook)
{
  SnapshotRecord record;
  record.image_.next_ = aEnd;
  // Greater than any revision before, so that no change based on one of those is valid.
  record.image_.revision_ = aEnd;
  record.image_.book_ = std::move(aBook);
  return record;
}

} // namespace laburnumweir
