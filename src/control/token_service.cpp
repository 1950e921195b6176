/** @file token_service.cpp Buckets of the workspaces that this host owns. */
#include "control/token_service.h"

#include "control/limit_wire_func.h"

namespace laburnumweir {

TokenService::TokenService(PeerRouter& aRouter,
                           const ConfigView& aView,
                           const Clock& aClock,
                           const LimitSettings& aSettings)
  : router_(aRouter)
  , view_(aView)
  , clock_(aClock)
  , settings_(aSettings)
{
  router_.Handle(wire::Envelope::kTokenRequest,
                 [this](const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond) {
                   Serve(aRequest, aRespond);
                 });
}

void
TokenService::OnRecord(const ConfigState& aState)
{
  const auto rules = aState.Rules();
  const auto isLost = [&](const auto& aEntry) {
    return !rules->workspaces_.contains(aEntry.first) ||
           aState.OwnerOf(aEntry.first) != router_.Self();
  };
  std::erase_if(buckets_, isLost);
  std::erase_if(takeovers_, isLost);
  for (const auto& [id, rule] : rules->workspaces_) {
    if (aState.OwnerOf(id) == router_.Self()) {
      Follow(aState, rule);
    }
  }
  NoteWorkspaces(*rules);
}

void
TokenService::Follow(const ConfigState& aState, const WorkspaceRule& aRule)
{
  const BucketRule limit{ aRule.rate_, aRule.burst_ };
  const auto bucket = buckets_.find(aRule.id_);
  if (bucket != buckets_.end()) {
    bucket->second.SetRule(limit);
  } else if (IsJustAdded(aRule.id_)) {
    buckets_.try_emplace(aRule.id_, aRule.id_, limit, aState.FencingToken(), clock_, settings_)
      .first->second.StartFull();
  } else {
    takeovers_.try_emplace(aRule.id_, aState.FencingToken());
  }
}

void
TokenService::OnTick(const ConfigState& aState)
{
  const auto rules = aState.Rules();
  std::erase_if(takeovers_, [&](const auto& aEntry) {
    const auto& [id, offset] = aEntry;
    if (!view_.IsMembershipKnown(offset)) {
      return false;
    }
    // The bucket waits from now until the authority of the former owner has ended.
    const WorkspaceRule& rule = rules->workspaces_.at(id);
    buckets_.try_emplace(
      id, id, BucketRule{ rule.rate_, rule.burst_ }, aState.FencingToken(), clock_, settings_);
    return true;
  });
}

std::vector<WorkspaceId>
TokenService::Owned() const
{
  std::vector<WorkspaceId> result;
  for (const auto& [id, bucket] : buckets_) {
    result.push_back(id);
  }
  return result;
}

bool
TokenService::IsJustAdded(const WorkspaceId& aWorkspace) const
{
  // A workspace that was removed a moment ago may have chunks out; before since_ it is not known.
  const Duration lapse = settings_.WithClockError(settings_.lease_ + settings_.freshnessBound_);
  const TimePoint now = clock_.Now();
  const auto removed = removed_.find(aWorkspace);
  return !known_.contains(aWorkspace) && now >= since_ + lapse &&
         (removed == removed_.end() || now >= removed->second + lapse);
}

void
TokenService::NoteWorkspaces(const RuleSet& aRules)
{
  const TimePoint now = clock_.Now();
  const Duration lapse = settings_.WithClockError(settings_.lease_ + settings_.freshnessBound_);
  std::erase_if(removed_, [&](const auto& aEntry) { return now >= aEntry.second + lapse; });
  for (const WorkspaceId& id : known_) {
    if (!aRules.workspaces_.contains(id)) {
      removed_[id] = now;
    }
  }
  known_.clear();
  for (const auto& [id, rule] : aRules.workspaces_) {
    known_.insert(id);
  }
}

void
TokenService::OnJump(const ConfigState& aState)
{
  // Another host may have owned a workspace in between, so each bucket starts anew.
  buckets_.clear();
  takeovers_.clear();
  since_ = clock_.Now();
  OnRecord(aState);
}

void
TokenService::Serve(const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond)
{
  const GrantRequest request = GrantRequestFromWire(aRequest);
  const auto bucket = buckets_.find(request.workspace_);
  if (bucket == buckets_.end() || !view_.MayAct()) {
    GrantAnswer answer;
    answer.sequence_ = request.sequence_;
    answer.account_ = request.account_;
    answer.status_ = GrantStatus::WrongEpoch;
    aRespond(ToWire(answer));
    return;
  }
  bucket->second.SetMembership(view_.State()->FencingToken(), view_.Evidence());
  aRespond(ToWire(bucket->second.Handle(request)));
}

} // namespace laburnumweir
