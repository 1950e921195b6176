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
  std::erase_if(buckets_, [&](const auto& aEntry) {
    return !rules->workspaces_.contains(aEntry.first) ||
           aState.OwnerOf(aEntry.first) != router_.Self();
  });
  for (const auto& [id, rule] : rules->workspaces_) {
    if (aState.OwnerOf(id) != router_.Self()) {
      continue;
    }
    const BucketRule limit{ rule.rate_, rule.burst_ };
    const auto [bucket, isNew] =
      buckets_.try_emplace(id, id, limit, aState.FencingToken(), clock_, settings_);
    if (!isNew) {
      bucket->second.SetEpoch(aState.FencingToken());
      bucket->second.SetRule(limit);
    }
  }
}

void
TokenService::OnJump(const ConfigState& aState)
{
  // Another host may have owned a workspace in between, so each bucket starts anew.
  buckets_.clear();
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
  aRespond(ToWire(bucket->second.Handle(request)));
}

} // namespace laburnumweir
