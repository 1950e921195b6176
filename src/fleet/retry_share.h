/** @file retry_share.h Share of this host in the retries that a service may get. */
#ifndef LABURNUMWEIR_FLEET_RETRY_SHARE_H
#define LABURNUMWEIR_FLEET_RETRY_SHARE_H

#include "core/clock_base.h"
#include "core/id_type.h"

#include <deque>
#include <unordered_map>

namespace laburnumweir {

/** Bounds on retries that hold for all hosts together. */
struct RetryBounds
{
  double ratio_ = 0.1; ///< Retries for each request in the window.
  double slack_ = 0;   ///< Retries beyond the ratio, over all hosts.
  Duration window_{};  ///< Length of the sliding window.
};

/**
 * Counts requests and retries of each service at this host in a sliding window. The host spends the
 * ratio of its own requests and an equal part of the slack, so that no message is needed. Not
 * thread-safe.
 */
class RetryShare
{
public:
  /** @param aClock time source; must outlive this. @param aBounds bounds over all hosts. */
  RetryShare(const Clock& aClock, RetryBounds aBounds)
    : clock_(aClock)
    , bounds_(aBounds)
  {
  }

  /** Sets the bounds. */
  void SetBounds(RetryBounds aBounds) { bounds_ = aBounds; }
  /** Sets the number of hosts that share the slack. */
  void SetHosts(std::size_t aHosts) { hosts_ = aHosts == 0 ? 1 : aHosts; }
  /** Notes a request for a service. */
  void OnRequest(const ServiceName& aService);
  /** Takes one retry if the share allows it. @return whether it was taken. */
  bool TakeRetry(const ServiceName& aService);

private:
  struct Window
  {
    std::deque<TimePoint> requests_; ///< Times of requests in the window.
    std::deque<TimePoint> retries_;  ///< Times of retries in the window.
  };

  void Expire(Window& aWindow) const;

  const Clock& clock_;                              ///< Time source.
  RetryBounds bounds_;                              ///< Bounds over all hosts.
  std::size_t hosts_ = 1;                           ///< Hosts that share the slack.
  std::unordered_map<ServiceName, Window> windows_; ///< Counts by service.
};

} // namespace laburnumweir

#endif
