/** @file wait_queue.h Queue of requests that wait for a free slot or for an adapter. */
#ifndef LABURNUMWEIR_FLEET_WAIT_QUEUE_H
#define LABURNUMWEIR_FLEET_WAIT_QUEUE_H

#include "core/clock_base.h"
#include "core/id_type.h"
#include "fleet/overload_policy.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace laburnumweir {

/** Identifies a waiting request. */
using WaitTicket = std::uint64_t;

/**
 * Waiting requests in the order of a policy. Measures the rate at which requests of a
 * service start while others wait, and estimates from it which requests cannot start in time. Those
 * are refused early, while their callers can still retry elsewhere, instead of at their
 * deadline. Not thread-safe.
 */
class WaitQueue
{
public:
  /**
   * @param aClock must outlive this object.
   * @param aPolicy order of service; must not be nullptr.
   */
  explicit WaitQueue(
    const Clock& aClock,
    std::unique_ptr<const OverloadPolicy> aPolicy = std::make_unique<ArrivalPolicy>())
    : clock_(aClock)
    , policy_(std::move(aPolicy))
  {
  }

  /** @return ticket of the added request. */
  WaitTicket Push(const WaitingRequest& aRequest);
  /** Removes a request. @param aHasStarted whether it is removed because it started. */
  void Remove(WaitTicket aTicket, bool aHasStarted);
  /** Sets whether a request waits for a load or the end of a pause rather than for a free slot. */
  void SetBlocked(WaitTicket aTicket, bool aIsBlocked);
  /** Sets whether a usable upstream of a service has a free slot. */
  void SetHasFreeSlot(const ServiceName& aService, bool aHasFreeSlot);
  /**
   * Records the begin of an answer.
   * @param aTime from the start of the request to its answer or the first event of its stream.
   */
  void RecordAnswer(const ServiceName& aService, std::uint32_t aRank, Duration aTime);
  /** Orders the waiting requests of a service. @return their tickets, in the order of service. */
  std::vector<WaitTicket> TicketsInOrder(const ServiceName& aService);
  /** @return the first waiting requests of a service in the order of service, at most aMax. */
  std::vector<WaitingRequest> FirstInOrder(const ServiceName& aService, std::size_t aMax);
  /** @return services with waiting requests. */
  std::vector<ServiceName> Services() const;
  /** @return requests whose latest start has passed or cannot be met at the current rate of starts.
   */
  std::vector<WaitTicket> CannotStartInTime();
  /**
   * Estimates the wait of a request that is added now.
   * @return the estimate; none while the rate of starts is not known.
   */
  std::optional<Duration> EstimateWait(const ServiceName& aService, std::uint32_t aRank) const;
  /** @return the service of a waiting request; empty if it does not wait. */
  ServiceName ServiceOf(WaitTicket aTicket) const
  {
    const auto found = positions_.find(aTicket);
    return found == positions_.end() ? ServiceName() : found->second.first;
  }
  /** @return whether a request still waits. */
  bool Contains(WaitTicket aTicket) const { return positions_.contains(aTicket); }
  std::size_t Size() const { return positions_.size(); }
  /** @return number of waiting requests with a rank from aFirst up to aLast. */
  std::size_t Size(std::uint32_t aFirst, std::uint32_t aLast) const;
  /** @return whether early refusals depend on SetHasFreeSlot(). */
  bool NeedsFreeSlots() const { return policy_->KeepsWhileSlotsAreFree(); }

private:
  /** Rank and ticket; tickets increase with arrival. */
  using Position = std::pair<std::uint32_t, WaitTicket>;
  struct Rank
  {
    Duration answerTime_{};          ///< See RankRecord.
    std::deque<TimePoint> arrivals_; ///< Times of recent arrivals while requests waited.
  };
  struct Entry
  {
    WaitingRequest request_;
    std::optional<std::uint64_t> group_; ///< As of the last order; none before it.
  };
  struct Queue
  {
    std::map<Position, Entry> requests_;
    std::map<std::uint32_t, Rank> ranks_;
    std::vector<std::pair<Position, ServicePlace>> order_; ///< Last order; may have gaps.
    bool isOrdered_ = false;                               ///< No request was added since.
    bool hasFreeSlot_ = false;
    std::deque<TimePoint> starts_; ///< Times of recent starts while requests waited.
    TimePoint waitingSince_;       ///< Start of the current period with waiting requests.
  };

  std::optional<double> RateOf(const Queue& aQueue) const;
  /** @return the state of a queue without its requests. */
  OverloadState StateOf(const Queue& aQueue) const;
  void Order(Queue& aQueue) const;

  const Clock& clock_;
  std::unique_ptr<const OverloadPolicy> policy_;
  std::map<ServiceName, Queue> queues_;
  std::map<WaitTicket, std::pair<ServiceName, Position>> positions_; ///< By ticket.
  WaitTicket nextTicket_ = 1;
};

} // namespace laburnumweir

#endif
