/** @file wait_queue.h Queue of requests that wait for a free slot or for an adapter. */
#ifndef LABURNUMWEIR_FLEET_WAIT_QUEUE_H
#define LABURNUMWEIR_FLEET_WAIT_QUEUE_H

#include "core/clock_base.h"
#include "core/id_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace laburnumweir {

/** Identifies a waiting request. */
using WaitTicket = std::uint64_t;

struct WaitingRequest
{
  ServiceName service_;
  std::uint32_t rank_ = 0; ///< Priority; lower values are served first.
  TimePoint latestStart_;  ///< Deadline for the start; a later start is of no use to the caller.
  bool isBlocked_ = false; ///< Whether it waits for a load or the end of a pause, not for a slot.
  /** Whether it waits until latestStart_, whatever the rate of starts is. */
  bool mayBeLate_ = false;
};

/**
 * Waiting requests, ordered by rank and then by arrival. Measures the rate at which requests of a
 * service start while others wait, and estimates from it which requests cannot start in time. Those
 * are refused early, while their callers can still retry elsewhere, instead of at their
 * deadline. Not thread-safe.
 */
class WaitQueue
{
public:
  /** @param aClock must outlive this object. */
  explicit WaitQueue(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /** @return ticket of the added request. */
  WaitTicket Push(const WaitingRequest& aRequest);
  /** Removes a request. @param aHasStarted whether it is removed because it started. */
  void Remove(WaitTicket aTicket, bool aHasStarted);
  /** Sets whether a request waits for a load or the end of a pause rather than for a free slot. */
  void SetBlocked(WaitTicket aTicket, bool aIsBlocked);
  /** @return tickets of the waiting requests of a service, in the order of service. */
  std::vector<WaitTicket> TicketsInOrder(const ServiceName& aService) const;
  /** @return services with waiting requests. */
  std::vector<ServiceName> Services() const;
  /** @return requests whose latest start has passed or cannot be met at the current rate of starts.
   */
  std::vector<WaitTicket> CannotStartInTime() const;
  /**
   * Estimates the wait of a request that is added now.
   * @return the estimate; none while the rate of starts is not known.
   */
  std::optional<Duration> EstimateWait(const ServiceName& aService, std::uint32_t aRank) const;
  /** @return whether a request still waits. */
  bool Contains(WaitTicket aTicket) const { return positions_.contains(aTicket); }
  std::size_t Size() const { return positions_.size(); }

private:
  /** Rank and ticket; tickets increase with arrival. */
  using Position = std::pair<std::uint32_t, WaitTicket>;
  struct Queue
  {
    std::map<Position, WaitingRequest> requests_;
    std::deque<TimePoint> starts_; ///< Times of recent starts while requests waited.
    TimePoint waitingSince_;       ///< Start of the current period with waiting requests.
  };

  std::optional<double> RateOf(const Queue& aQueue) const;

  const Clock& clock_;
  std::map<ServiceName, Queue> queues_;
  std::map<WaitTicket, std::pair<ServiceName, Position>> positions_; ///< By ticket.
  WaitTicket nextTicket_ = 1;
};

} // namespace laburnumweir

#endif
