/** @file held_pins.h Pins that this host holds at the owners of engines. */
#ifndef LABURNUMWEIR_DISPATCH_HELD_PINS_H
#define LABURNUMWEIR_DISPATCH_HELD_PINS_H

#include "core/clock_base.h"
#include "dispatch/slot_type.h"

#include <map>
#include <string>
#include <vector>

namespace laburnumweir {

/** A grant as its holder knows it. */
struct HeldPin
{
  UpstreamId engine_;         ///< Engine.
  AdapterRef adapter_;        ///< Adapter.
  std::string epoch_;         ///< Life of the engine, as told with the grant.
  std::uint64_t fencing_ = 0; ///< Fencing token of the owner that granted it.
  TimePoint validUntil_;      ///< Last time at which the request may be sent.
  TimePoint deadline_;        ///< End of the request.
  bool isSent_ = false;       ///< The request was sent; the pin is renewed until it ends.
};

/**
 * Grants held by this host. A request may be sent only within the lease, counted from the time when
 * the question was sent, and only while the owner that granted it still owns the engine; after a
 * change of owner an unsent grant is void, so the new owner need not wait for it.
 */
class HeldPins
{
public:
  /** @param aClock time source; must outlive this. @param aLease lease of a grant. */
  explicit HeldPins(const Clock& aClock, Duration aLease = kPinLease)
    : clock_(aClock)
    , lease_(aLease)
  {
  }

  /** Adds a grant. @param aAskedAt when the question was sent. */
  void Add(const RequestId& aRequest, HeldPin aPin, TimePoint aAskedAt);
  /**
   * Tests, right before sending, whether a grant may be used.
   * @param aFencing fencing token of the engine's owner as folded by this host, which is fresh.
   */
  bool TestSend(const RequestId& aRequest, std::uint64_t aFencing) const;
  /** Notes that the request is being sent. @return whether it may be sent. */
  bool ExecSend(const RequestId& aRequest, std::uint64_t aFencing);
  /** Extends a grant that the owner confirmed. @param aAskedAt when the question was sent. */
  void Renewed(const RequestId& aRequest, TimePoint aAskedAt);
  /** Removes a pin that was released. */
  void Remove(const RequestId& aRequest) { pins_.erase(aRequest); }
  /** Removes all pins, for a host that joins with a new incarnation. */
  void Clear() { pins_.clear(); }
  /**
   * Lists the pins to renew at the owner of an engine; unsent grants of another owner are left out.
   * @param aFencing fencing token of the owner.
   */
  std::vector<PinRenewal> Renewals(const UpstreamId& aEngine, std::uint64_t aFencing) const;
  /** @return number of pins. */
  std::size_t Size() const { return pins_.size(); }

private:
  const Clock& clock_;                ///< Time source.
  Duration lease_;                    ///< Lease of a grant.
  std::map<RequestId, HeldPin> pins_; ///< Pins by request.
};

} // namespace laburnumweir

#endif
