/** @file limit_wire.cpp Token messages to and from the wire. */
#include "control/limit_wire_func.h"

namespace laburnumweir {

wire::Envelope
ToWire(const GrantRequest& aRequest)
{
  wire::Envelope envelope;
  auto& body = *envelope.mutable_token_request();
  body.set_workspace(aRequest.workspace_.Value());
  body.set_epoch(aRequest.epoch_);
  body.set_account(aRequest.account_);
  body.set_sequence(aRequest.sequence_);
  body.set_granted(aRequest.granted_);
  body.set_debt(aRequest.debt_);
  body.set_demand(aRequest.demand_);
  body.set_queued(aRequest.queued_);
  body.set_head(aRequest.head_);
  body.set_is_closing(aRequest.isClosing_);
  for (const auto& batch : aRequest.batches_) {
    auto& entry = *body.add_batches();
    entry.set_batch(batch.batch_);
    entry.set_taken(batch.taken_);
    entry.set_returned(batch.returned_);
    entry.set_spent(batch.spent_);
  }
  return envelope;
}

GrantRequest
GrantRequestFromWire(const wire::Envelope& aEnvelope)
{
  const auto& body = aEnvelope.token_request();
  GrantRequest request;
  request.workspace_ = WorkspaceId(body.workspace());
  request.holder_ = { HostId(aEnvelope.sender()), aEnvelope.incarnation() };
  request.epoch_ = body.epoch();
  request.account_ = body.account();
  request.sequence_ = body.sequence();
  request.granted_ = body.granted();
  request.debt_ = body.debt();
  request.demand_ = body.demand();
  request.queued_ = body.queued();
  request.head_ = body.head();
  request.isClosing_ = body.is_closing();
  for (const auto& entry : body.batches()) {
    request.batches_.push_back({ entry.batch(), entry.taken(), entry.returned(), entry.spent() });
  }
  return request;
}

wire::Envelope
ToWire(const GrantAnswer& aAnswer)
{
  wire::Envelope envelope;
  auto& body = *envelope.mutable_token_answer();
  body.set_epoch(aAnswer.epoch_);
  body.set_account(aAnswer.account_);
  body.set_sequence(aAnswer.sequence_);
  body.set_status(static_cast<std::uint32_t>(aAnswer.status_));
  body.set_granted(aAnswer.granted_);
  body.set_keep(aAnswer.keep_);
  body.set_lease_ns(aAnswer.lease_.count());
  body.set_renew_after_ns(aAnswer.renewAfter_.count());
  body.set_available_in_ns(aAnswer.availableIn_.count());
  return envelope;
}

GrantAnswer
GrantAnswerFromWire(const wire::Envelope& aEnvelope, const GrantRequest& aRequest)
{
  const auto& body = aEnvelope.token_answer();
  GrantAnswer answer;
  answer.workspace_ = aRequest.workspace_;
  answer.holder_ = aRequest.holder_;
  answer.epoch_ = body.epoch();
  answer.account_ = body.account();
  answer.sequence_ = body.sequence();
  answer.status_ = static_cast<GrantStatus>(body.status());
  answer.granted_ = body.granted();
  answer.keep_ = body.keep();
  answer.lease_ = Duration(body.lease_ns());
  answer.renewAfter_ = Duration(body.renew_after_ns());
  answer.availableIn_ = Duration(body.available_in_ns());
  return answer;
}

} // namespace laburnumweir
