/** @file retry_share.h Share of this host in the retries that are allowed for a service. */
#ifndef LABURNUMWEIR_FLEET_RETRY_SHARE_H
#define LABURNUMWEIR_FLEET_RETRY_SHARE_H

#include "core/clock_base.h"
#include "core/id_type.h"

#include <deque>
#include <unordered_map>

namespace laburnumweir {

/** Bounds on the retries of all hosts together. */
struct RetryBounds
{
  double ratio_ = 0.1; ///< Allowed retries for each request in the window.
  double slack_ = 0;   ///< Allowed retries beyond the ratio, over all hosts.
  Duration window_{};  ///< Length of the sliding window.
};

/** Retries of a service that a host has used in the window, and may use. */
struct RetryUse
{
  std::size_t used_ = 0;
  double allowed_ = 0;
  std::size_t hostCount_ = 1; ///< Hosts among which the slack is divided.
};

/**
 * Limits the retries of this host for each service in a sliding window. The host may retry the
 * ratio of its own requests and has an equal share of the slack, so that hosts need not exchange
 * messages about retries. It has no share of the slack in the first window after its process has
 * started: the process before it may have used it, and none before it knows a peer or the hosts in
 * the store. A share does not grow because peers are silent: they may be cut off and go on using
 * theirs. Not thread-safe.
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

  void SetBounds(RetryBounds aBounds) { bounds_ = aBounds; }
  /** Records that the process of this host starts now, and knows no other host. */
  void OnProcessStart()
  {
    slackFrom_ = clock_.Now() + bounds_.window_;
    isFleetKnown_ = false;
  }
  /** Records that the hosts in the store were read; there may be no other one. */
  void OnHostsRead() { isFleetKnown_ = true; }
  /**
   * Sets the number of hosts that this host knows; 0 counts as 1. The slack is shared by the most
   * hosts that were known in the last kHostCountTtl.
   */
  void SetHostCount(std::size_t aHostCount);
  /** Counts a request, which adds to the allowed retries of its service. */
  void OnRequest(const ServiceName& aService);
  /** Counts one retry if this host's share allows it. @return whether it may be sent. */
  bool TakeRetry(const ServiceName& aService);
  /** @return whether one retry may be taken now. */
  bool CanTake(const ServiceName& aService);
  /** @return what is used and allowed now. */
  RetryUse Use(const ServiceName& aService);

private:
  struct Window
  {
    std::deque<TimePoint> requests_; ///< Times of requests in the window.
    std::deque<TimePoint> retries_;  ///< Times of retries in the window.
  };

  void Expire(Window& aWindow) const;

  const Clock& clock_;
  RetryBounds bounds_;        ///< For all hosts together.
  std::size_t hostCount_ = 1; ///< Hosts that share the slack.
  TimePoint hostCountAt_;     ///< When this many hosts were last known.
  bool isFleetKnown_ = true;  ///< Another host is known, or the store names no other one.
  TimePoint slackFrom_;       ///< The host has a share of the slack from this time on.
  std::unordered_map<ServiceName, Window> windows_;
};

} // namespace laburnumweir

#endif
