/** @file held_pins.cpp Pins that this host holds at the owners of engines. */
#include "dispatch/held_pins.h"

#include <algorithm>
#include <utility>

namespace laburnumweir {

void
HeldPins::Add(const RequestId& aRequest, HeldPin aPin, TimePoint aAskedAt)
{
  aPin.validUntil_ = aAskedAt + lease_;
  pins_[aRequest] = std::move(aPin);
}

bool
HeldPins::TestSend(const RequestId& aRequest, std::uint64_t aFencing) const
{
  const auto found = pins_.find(aRequest);
  return found != pins_.end() && !found->second.isSent_ && found->second.fencing_ == aFencing &&
         clock_.Now() < found->second.validUntil_;
}

bool
HeldPins::ExecSend(const RequestId& aRequest, std::uint64_t aFencing)
{
  if (!TestSend(aRequest, aFencing)) {
    return false;
  }
  pins_[aRequest].isSent_ = true;
  return true;
}

void
HeldPins::Renewed(const RequestId& aRequest, TimePoint aAskedAt)
{
  if (const auto found = pins_.find(aRequest); found != pins_.end()) {
    found->second.validUntil_ = std::max(found->second.validUntil_, aAskedAt + lease_);
  }
}

std::vector<PinRenewal>
HeldPins::Renewals(const UpstreamId& aEngine, std::uint64_t aFencing) const
{
  std::vector<PinRenewal> renewals;
  for (const auto& [request, pin] : pins_) {
    const bool isUsable = pin.fencing_ == aFencing && clock_.Now() < pin.validUntil_;
    if (pin.engine_ == aEngine && (pin.isSent_ || isUsable)) {
      renewals.push_back({ request, pin.adapter_, pin.epoch_, pin.deadline_ });
    }
  }
  return renewals;
}

} // namespace laburnumweir
