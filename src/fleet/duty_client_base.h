/** @file duty_client_base.h Interface to the platform's API for single-host duties. */
#ifndef LABURNUMWEIR_FLEET_DUTY_CLIENT_BASE_H
#define LABURNUMWEIR_FLEET_DUTY_CLIENT_BASE_H

#include "core/clock_base.h"
#include "fleet/usage_type.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace laburnumweir {

/** Answer of the platform to a call of a duty. */
enum class DutyAnswer : std::uint8_t
{
  Accepted,
  Fenced,  ///< The platform has seen a higher fencing token.
  Busy,    ///< Not executed, but may be later: over the rate limit, or the platform is failing.
  Refused, ///< Never accepted.
  NotSent, ///< No connection, or the call was withdrawn before it was sent.
  NoAnswer ///< May have been executed, or may still be.
};

/** What a call of a duty carries besides its content. */
struct DutyCall
{
  HostId holder_;           ///< This host.
  std::uint64_t token_ = 0; ///< Fencing token.
  /** Asked again when the call is written, since the process may have been suspended after the call
   * was started. The call is withdrawn if it returns false. */
  std::function<bool()> maySend_;
};

/** Asynchronous calls to the platform's API; callbacks run on the control thread. */
class DutyClient
{
public:
  using Callback = std::function<void(DutyAnswer)>;

  virtual ~DutyClient() = default;
  /** Sends the usage report of a window. */
  virtual void SendUsage(const DutyCall& aCall, const UsageReport& aReport, Callback aCallback) = 0;
};

/** Lease of this host on a duty. */
class DutyLease
{
public:
  virtual ~DutyLease() = default;
  /** @return since when this host has the duty, without a gap; none if it does not. */
  virtual std::optional<TimePoint> HeldSince() const = 0;
  /** @return whether this host may send calls now. */
  virtual bool MayAct() const = 0;
  /** @return the fencing token; none if this host does not have the duty. */
  virtual std::optional<std::uint64_t> Token() const = 0;
  /** Records that the platform refused a token as outdated. */
  virtual void OnFenced(std::uint64_t aToken) = 0;
};

} // namespace laburnumweir

#endif
