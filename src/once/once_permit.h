/** @file once_permit.h Leave to send a request once. */
#ifndef LABURNUMWEIR_ONCE_ONCE_PERMIT_H
#define LABURNUMWEIR_ONCE_ONCE_PERMIT_H

#include "core/clock_base.h"
#include "once/once_type.h"

#include <cstdint>
#include <utility>

namespace laburnumweir {

/** Leave to send one attempt, bound to one life of a host. It moves but is never copied. */
class OncePermit
{
public:
  OncePermit() = default;
  /**
   * @param aAttempt attempt.
   * @param aIncarnation incarnation of the host that asked.
   * @param aValidUntil end of the validity on this host's clock.
   */
  OncePermit(AttemptId aAttempt, std::uint64_t aIncarnation, TimePoint aValidUntil)
    : attempt_(std::move(aAttempt))
    , incarnation_(aIncarnation)
    , validUntil_(aValidUntil)
    , isOpen_(true)
  {
  }
  OncePermit(const OncePermit&) = delete;
  OncePermit& operator=(const OncePermit&) = delete;
  OncePermit(OncePermit&& aOther) noexcept { *this = std::move(aOther); }
  OncePermit& operator=(OncePermit&& aOther) noexcept
  {
    if (this != &aOther) {
      attempt_ = std::move(aOther.attempt_);
      incarnation_ = aOther.incarnation_;
      validUntil_ = aOther.validUntil_;
      isOpen_ = std::exchange(aOther.isOpen_, false);
    }
    return *this;
  }
  ~OncePermit() = default;

  /**
   * To be called right before the first byte is sent. Spends the permit.
   * @param aClock time source.
   * @param aIncarnation incarnation of this host now.
   * @return whether the request may be sent; if not, it must be reported as released.
   */
  bool Use(const Clock& aClock, std::uint64_t aIncarnation)
  {
    const bool wasOpen = std::exchange(isOpen_, false);
    return wasOpen && aIncarnation == incarnation_ && aClock.Now() < validUntil_;
  }
  /** @return attempt that may be sent. */
  const AttemptId& Attempt() const { return attempt_; }
  /** @return whether Use() was not called yet. */
  bool IsOpen() const { return isOpen_; }

private:
  AttemptId attempt_;             ///< Attempt.
  std::uint64_t incarnation_ = 0; ///< Life of the host.
  TimePoint validUntil_;          ///< End of the validity.
  bool isOpen_ = false;           ///< Whether it was not used.
};

} // namespace laburnumweir

#endif
