/** @file once_wire.cpp At-most-once messages to and from the wire. */
#include "control/once_wire_func.h"

namespace laburnumweir {

namespace {

void
Write(const OnceOutcome& aOutcome, wire::OnceResult& aResult)
{
  aResult.set_status(static_cast<std::uint32_t>(aOutcome.status_));
  for (const auto& [name, value] : aOutcome.headers_) {
    auto& field = *aResult.add_headers();
    field.set_name(name);
    field.set_value(value);
  }
  aResult.set_body(aOutcome.body_);
  aResult.set_is_body_kept(aOutcome.isBodyKept_);
}

OnceOutcome
Read(const wire::OnceResult& aResult)
{
  OnceOutcome outcome;
  outcome.status_ = static_cast<int>(aResult.status());
  for (const auto& field : aResult.headers()) {
    outcome.headers_.emplace_back(field.name(), field.value());
  }
  outcome.body_ = aResult.body();
  outcome.isBodyKept_ = aResult.is_body_kept();
  return outcome;
}

} // namespace

wire::Envelope
ToWire(const OnceBegin& aBegin)
{
  wire::Envelope envelope;
  auto& body = *envelope.mutable_once_begin();
  body.set_key(aBegin.key_.Value());
  body.set_request_digest(aBegin.requestDigest_);
  body.set_attempt(aBegin.attempt_.Value());
  for (const auto& attempt : aBegin.abandoned_) {
    body.add_abandoned(attempt.Value());
  }
  return envelope;
}

OnceBegin
FromWire(const wire::OnceBegin& aBody)
{
  OnceBegin begin;
  begin.key_ = OnceKey(aBody.key());
  begin.requestDigest_ = aBody.request_digest();
  begin.attempt_ = AttemptId(aBody.attempt());
  for (const auto& attempt : aBody.abandoned()) {
    begin.abandoned_.emplace_back(attempt);
  }
  return begin;
}

wire::Envelope
ToWire(const OnceReport& aReport)
{
  wire::Envelope envelope;
  auto& body = *envelope.mutable_once_report();
  body.set_key(aReport.key_.Value());
  body.set_attempt(aReport.attempt_.Value());
  body.set_is_released(aReport.isReleased_);
  Write(aReport.outcome_, *body.mutable_outcome());
  return envelope;
}

OnceReport
FromWire(const wire::OnceReport& aBody)
{
  OnceReport report;
  report.key_ = OnceKey(aBody.key());
  report.attempt_ = AttemptId(aBody.attempt());
  report.isReleased_ = aBody.is_released();
  report.outcome_ = Read(aBody.outcome());
  return report;
}

wire::Envelope
ToWire(const OnceAnswer& aAnswer)
{
  wire::Envelope envelope;
  auto& body = *envelope.mutable_once_answer();
  body.set_decision(static_cast<std::uint32_t>(aAnswer.decision_));
  body.set_validity_ns(aAnswer.validity_.count());
  Write(aAnswer.outcome_, *body.mutable_outcome());
  body.set_message(aAnswer.message_);
  return envelope;
}

OnceAnswer
FromWire(const wire::OnceAnswer& aBody, const OnceBegin& aBegin)
{
  OnceAnswer answer;
  answer.key_ = aBegin.key_;
  answer.attempt_ = aBegin.attempt_;
  answer.decision_ = static_cast<OnceDecision>(aBody.decision());
  answer.validity_ = Duration(aBody.validity_ns());
  answer.outcome_ = Read(aBody.outcome());
  answer.message_ = aBody.message();
  return answer;
}

} // namespace laburnumweir
