/** @file config_state.cpp State folded from the configuration stream. */
#include "state/config_state.h"

#include "core/hash_func.h"
#include "state/config_codec_func.h"

#include <algorithm>

namespace laburnumweir {

namespace {

/** Tests a record against the state and executes it. */
struct Folder
{
  ConfigState& state_;   ///< State to change.
  LogOffset offset_;     ///< Offset of the record.
  FoldOutcome& outcome_; ///< Receives the result.

  void operator()(const ChangeRecord& aRecord) const
  {
    outcome_.error_ = ConfigCommands::TestChange(state_, aRecord);
    if (!outcome_.error_) {
      ConfigCommands::ExecChange(state_, offset_, aRecord);
      outcome_.rulesChanged_ = true;
    } else if (outcome_.error_ == StateErrc::StaleBase) {
      ConfigCommands::ExecRejection(state_, offset_, aRecord);
    }
  }
  void operator()(const JoinRecord& aRecord) const
  {
    Apply(ConfigCommands::TestJoin(state_, aRecord),
          [&] { ConfigCommands::ExecJoin(state_, offset_, aRecord); });
  }
  void operator()(const LeaveRecord& aRecord) const
  {
    Apply(ConfigCommands::TestLeave(state_, aRecord),
          [&] { ConfigCommands::ExecLeave(state_, offset_, aRecord); });
  }
  void operator()(const RemoveRecord& aRecord) const
  {
    Apply(ConfigCommands::TestRemove(state_, aRecord),
          [&] { ConfigCommands::ExecRemove(state_, offset_, aRecord); });
  }
  void operator()(const SnapshotRecord& aRecord) const
  {
    ConfigCommands::ExecSnapshot(state_, offset_, aRecord);
    outcome_.isSnapshot_ = true;
  }
  void operator()(const UnknownRecord& /*aRecord*/) const {}

private:
  template<typename Function>
  void Apply(std::error_code aError, Function aExecute) const
  {
    outcome_.error_ = aError;
    if (!aError) {
      aExecute();
      outcome_.membershipChanged_ = true;
    }
  }
};

} // namespace

ConfigState::ConfigState()
  : rules_(std::make_shared<const RuleSet>())
{
}

ConfigState::ConfigState(ConfigImage aImage)
  : image_(std::move(aImage))
{
  UpdateMembers();
  UpdateRules();
}

FoldOutcome
ConfigState::Fold(LogOffset aOffset, std::string_view aData)
{
  FoldOutcome outcome;
  if (aOffset != image_.next_) {
    outcome.status_ = aOffset < image_.next_ ? FoldStatus::Known : FoldStatus::Gap;
    return outcome;
  }
  ConfigRecord record;
  outcome.error_ = DecodeRecord(aData, record);
  if (outcome.error_ == StateErrc::NewerSchema) {
    outcome.status_ = FoldStatus::Unsupported;
    return outcome;
  }
  image_.next_ = aOffset + 1;
  if (outcome.error_) {
    ++counts_.malformed_;
    return outcome;
  }
  std::visit(Folder{ *this, aOffset, outcome }, record);
  counts_.unknownKinds_ += std::holds_alternative<UnknownRecord>(record) ? 1 : 0;
  counts_.refused_ += outcome.error_ ? 1 : 0;
  return outcome;
}

const Member*
ConfigState::FindMember(const HostId& aHost) const
{
  const auto found = image_.members_.find(aHost);
  return found == image_.members_.end() ? nullptr : &found->second;
}

bool
ConfigState::IsMember(const HostId& aHost, Incarnation aIncarnation) const
{
  const Member* member = FindMember(aHost);
  return member != nullptr && member->incarnation_ == aIncarnation;
}

const ChangeVerdict*
ConfigState::FindChange(std::string_view aId) const
{
  const auto found = std::find_if(image_.changes_.begin(),
                                  image_.changes_.end(),
                                  [&](const ChangeVerdict& aChange) { return aChange.id_ == aId; });
  return found == image_.changes_.end() ? nullptr : &*found;
}

Incarnation
ConfigState::LastIncarnation(const HostId& aHost) const
{
  const Member* member = FindMember(aHost);
  Incarnation last = member == nullptr ? 0 : member->incarnation_;
  for (const MembershipEvent& event : image_.history_) {
    if (event.host_ == aHost) {
      last = std::max(last, event.incarnation_);
    }
  }
  return last;
}

HostId
ConfigState::OwnerOf(const WorkspaceId& aWorkspace) const
{
  return OwnerOfKey("workspace/" + aWorkspace.Value());
}

HostId
ConfigState::OwnerOf(const UpstreamId& aUpstream) const
{
  return OwnerOfKey("upstream/" + aUpstream.Value());
}

HostId
ConfigState::OwnerOfPartition(std::uint32_t aPartition) const
{
  return OwnerOfKey("partition/" + std::to_string(aPartition));
}

HostId
ConfigState::OwnerOfKey(std::string_view aKey) const
{
  return RendezvousOwner(hosts_, aKey);
}

void
ConfigState::UpdateMembers()
{
  hosts_.clear();
  for (const auto& [host, member] : image_.members_) {
    hosts_.push_back(host);
  }
}

void
ConfigState::UpdateRules()
{
  rules_ = std::make_shared<const RuleSet>(image_.book_.Derive());
}

} // namespace laburnumweir
