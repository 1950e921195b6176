/** @file token_gate.cpp Reserves tokens of workspaces for the request pipeline. */
#include "pipeline/token_gate.h"

#include "control/limit_wire_func.h"

namespace laburnumweir {

namespace {

using namespace std::chrono_literals;

constexpr Duration kAnswerTimeout = 500ms;

} // namespace

TokenGate::TokenGate(TokenLimiter& aLimiter, ControlPort& aPort)
  : limiter_(aLimiter)
  , port_(aPort)
{
}

void
TokenGate::Follow(const PublishedState& aState)
{
  if (!aState.config_) {
    return;
  }
  limiter_.SetMembership(
    aState.config_->FencingToken(), aState.evidence_, aState.config_->Members().size());
  if (config_ == aState.config_) {
    return;
  }
  config_ = aState.config_;
  const auto& workspaces = config_->Rules()->workspaces_;
  std::erase_if(rules_, [&](const auto& aEntry) {
    if (workspaces.contains(aEntry.first)) {
      return false;
    }
    limiter_.RemoveRule(aEntry.first);
    return true;
  });
  for (const auto& [id, rule] : workspaces) {
    const BucketRule limit{ rule.rate_, rule.burst_ };
    const auto [known, isNew] = rules_.try_emplace(id, limit);
    if (isNew || known->second != limit) {
      known->second = limit;
      limiter_.SetRule(id, limit);
    }
  }
}

ReservationId
TokenGate::Reserve(const WorkspaceId& aWorkspace, TokenCount aTokens, Callback aCallback)
{
  LimitOutput output;
  const LocalReservation reservation = limiter_.Reserve(aWorkspace, aTokens, output);
  if (reservation.status_ == ReserveStatus::Waiting) {
    waiting_[reservation.id_] = std::move(aCallback);
  } else {
    aCallback(reservation);
  }
  Carry(output);
  return reservation.id_;
}

void
TokenGate::Settle(ReservationId aId, TokenCount aSpent)
{
  LimitOutput output;
  limiter_.Settle(aId, aSpent, output);
  Carry(output);
}

void
TokenGate::Cancel(ReservationId aId)
{
  waiting_.erase(aId);
  limiter_.Cancel(aId);
}

void
TokenGate::Tick()
{
  LimitOutput output;
  limiter_.Tick(output);
  Carry(output);
}

void
TokenGate::Drain()
{
  LimitOutput output;
  limiter_.Drain(output);
  Carry(output);
}

void
TokenGate::Carry(LimitOutput& aOutput)
{
  for (const auto& message : aOutput.messages_) {
    // The product uses leased chunks; single grants exist only for comparisons.
    if (const auto* request = std::get_if<GrantRequest>(&message)) {
      Send(*request);
    }
  }
  for (const auto& decision : aOutput.decisions_) {
    const auto found = waiting_.find(decision.id_);
    if (found != waiting_.end() && decision.status_ != ReserveStatus::Waiting) {
      const Callback callback = std::move(found->second);
      waiting_.erase(found);
      callback(decision);
    }
  }
}

void
TokenGate::Send(const GrantRequest& aRequest)
{
  if (!config_) {
    return;
  }
  port_.Ask(config_->OwnerOf(aRequest.workspace_),
            ToWire(aRequest),
            kAnswerTimeout,
            [this, aRequest](std::error_code aError, const wire::Envelope& aAnswer) {
              if (aError || !aAnswer.has_token_answer()) {
                return;
              }
              LimitOutput output;
              limiter_.Receive(GrantAnswerFromWire(aAnswer, aRequest), output);
              Carry(output);
            });
}

} // namespace laburnumweir
