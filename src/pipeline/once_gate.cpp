/** @file once_gate.cpp Asks for leave to run requests that may not be repeated. */
#include "pipeline/once_gate.h"

#include "control/once_wire_func.h"
#include "once/once_record_func.h"

namespace laburnumweir {

namespace {

using namespace std::chrono_literals;

// Longer than the reader's own limit for a decision.
constexpr Duration kAnswerTimeout = 3s;

} // namespace

OnceGate::OnceGate(OnceRequester& aRequester, ControlPort& aPort, std::uint32_t aPartitions)
  : requester_(aRequester)
  , port_(aPort)
  , partitions_(aPartitions)
{
}

OnceTicket
OnceGate::Start(const OnceKey& aKey, std::string aRequestDigest, Callback aCallback)
{
  OnceRequesterOutput output;
  const OnceTicket ticket = requester_.Start(aKey, std::move(aRequestDigest), output);
  waiting_[ticket] = std::move(aCallback);
  Carry(output);
  return ticket;
}

void
OnceGate::Cancel(OnceTicket aTicket)
{
  waiting_.erase(aTicket);
  OnceRequesterOutput output;
  requester_.Cancel(aTicket, output);
  Carry(output);
}

void
OnceGate::Finish(const OnceKey& aKey,
                 const AttemptId& aAttempt,
                 std::optional<OnceOutcome> aOutcome,
                 std::function<void()> aStored)
{
  if (aStored) {
    storing_[aAttempt] = std::move(aStored);
  }
  OnceRequesterOutput output;
  requester_.Finish(aKey, aAttempt, std::move(aOutcome), output);
  Carry(output);
}

void
OnceGate::Tick()
{
  OnceRequesterOutput output;
  requester_.Tick(output);
  Carry(output);
}

void
OnceGate::Carry(OnceRequesterOutput& aOutput)
{
  for (const auto& message : aOutput.messages_) {
    std::visit([this](const auto& aMessage) { Send(aMessage); }, message);
  }
  for (auto& verdict : aOutput.verdicts_) {
    const auto found = waiting_.find(verdict.ticket_);
    if (found != waiting_.end()) {
      const Callback callback = std::move(found->second);
      waiting_.erase(found);
      callback(std::move(verdict));
    }
  }
}

HostId
OnceGate::ReaderOf(const OnceKey& aKey) const
{
  return config_ ? config_->OwnerOfPartition(PartitionOf(aKey, partitions_)) : HostId();
}

void
OnceGate::Send(const OnceBegin& aBegin)
{
  port_.Ask(ReaderOf(aBegin.key_),
            ToWire(aBegin),
            kAnswerTimeout,
            [this, aBegin](std::error_code aError, const wire::Envelope& aAnswer) {
              if (aError || !aAnswer.has_once_answer()) {
                return;
              }
              OnceRequesterOutput output;
              requester_.Receive(FromWire(aAnswer.once_answer(), aBegin), output);
              Carry(output);
            });
}

void
OnceGate::Send(const OnceReport& aReport)
{
  port_.Ask(ReaderOf(aReport.key_),
            ToWire(aReport),
            kAnswerTimeout,
            [this, aReport](std::error_code aError, const wire::Envelope& aAnswer) {
              if (aError || !aAnswer.has_done()) {
                return;
              }
              requester_.Receive(OnceStored{ aReport.attempt_ });
              const auto storing = storing_.find(aReport.attempt_);
              if (storing != storing_.end()) {
                const auto stored = std::move(storing->second);
                storing_.erase(storing);
                stored();
              }
            });
}

} // namespace laburnumweir
