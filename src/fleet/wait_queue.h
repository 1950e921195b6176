/** @file wait_queue.h Requests that wait for a place or an adapter. */
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

/** A request that waits. */
struct WaitingRequest
{
  ServiceName service_;       ///< Service.
  std::uint32_t rank_ = 0;    ///< Rank; lower goes first.
  TimePoint latestStart_;     ///< It is of no use to start it later.
  bool waitsForLoad_ = false; ///< It waits for an adapter, whatever places are free.
};

/**
 * Waiting requests by rank and arrival. Measures how fast requests of a service start while others
 * wait, and from that tells which requests cannot start in time: those are refused while their
 * callers can still go elsewhere, rather than at their deadline. Not thread-safe.
 */
class WaitQueue
{
public:
  /** @param aClock time source; must outlive this. */
  explicit WaitQueue(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /** Adds a request. @return its ticket. */
  WaitTicket Push(const WaitingRequest& aRequest);
  /** Removes a request. @param aHasStarted whether it left because it started. */
  void Remove(WaitTicket aTicket, bool aHasStarted);
  /** Sets whether a request waits for an adapter rather than for a place. */
  void SetWaitsForLoad(WaitTicket aTicket, bool aWaitsForLoad);
  /** @return tickets of a service, first to be served first. */
  std::vector<WaitTicket> InOrder(const ServiceName& aService) const;
  /** @return services with waiting requests. */
  std::vector<ServiceName> Services() const;
  /** @return requests that cannot start in time, by what is known now. */
  std::vector<WaitTicket> Hopeless() const;
  /**
   * @param aService service. @param aRank rank.
   * @return how long a request would wait that joins now; none while the rate is not known.
   */
  std::optional<Duration> EstimateWait(const ServiceName& aService, std::uint32_t aRank) const;
  /** @return whether a request still waits. */
  bool Contains(WaitTicket aTicket) const { return places_.contains(aTicket); }
  /** @return number of waiting requests. */
  std::size_t Size() const { return places_.size(); }

private:
  using Place = std::pair<std::uint32_t, WaitTicket>; ///< Rank and ticket; tickets rise.
  struct Line
  {
    std::map<Place, WaitingRequest> requests_; ///< By place.
    std::deque<TimePoint> starts_;             ///< Starts while requests waited.
    TimePoint waitsSince_;                     ///< Since when requests wait without a break.
  };

  std::optional<double> RateOf(const Line& aLine) const;

  const Clock& clock_;                                         ///< Time source.
  std::map<ServiceName, Line> lines_;                          ///< Lines by service.
  std::map<WaitTicket, std::pair<ServiceName, Place>> places_; ///< Where each request is.
  WaitTicket next_ = 1;                                        ///< Next ticket.
};

} // namespace laburnumweir

#endif
