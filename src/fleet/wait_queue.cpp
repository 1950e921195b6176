/** @file wait_queue.cpp Queue of requests that wait for a free slot or for an adapter. */
#include "fleet/wait_queue.h"

namespace laburnumweir {

namespace {

// Time over which starts are counted. In a shorter window, a single long request would change the
// rate noticeably.
constexpr Duration kRateWindow = std::chrono::seconds(2);
// The rate is not estimated until requests have waited this long, as too few starts have been
// counted before.
constexpr Duration kMinRateTime = std::chrono::milliseconds(500);
// Number of starts that is assumed if no request started in the window.
constexpr double kMinStarts = 1.0;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

WaitTicket
WaitQueue::Push(const WaitingRequest& aRequest)
{
  const auto ticket = nextTicket_++;
  auto& queue = queues_[aRequest.service_];
  if (queue.requests_.empty()) {
    queue.waitingSince_ = clock_.Now();
    queue.starts_.clear();
  }
  const Position position{ aRequest.rank_, ticket };
  queue.requests_.emplace(position, aRequest);
  positions_.emplace(ticket, std::pair(aRequest.service_, position));
  return ticket;
}

void
WaitQueue::Remove(WaitTicket aTicket, bool aHasStarted)
{
  const auto found = positions_.find(aTicket);
  if (found == positions_.end()) {
    return;
  }
  auto& queue = queues_[found->second.first];
  queue.requests_.erase(found->second.second);
  positions_.erase(found);
  const auto now = clock_.Now();
  if (aHasStarted) {
    queue.starts_.push_back(now);
  }
  while (!queue.starts_.empty() && queue.starts_.front() < now - kRateWindow) {
    queue.starts_.pop_front();
  }
}

void
WaitQueue::SetBlocked(WaitTicket aTicket, bool aIsBlocked)
{
  if (const auto found = positions_.find(aTicket); found != positions_.end()) {
    queues_[found->second.first].requests_[found->second.second].isBlocked_ = aIsBlocked;
  }
}

std::vector<WaitTicket>
WaitQueue::TicketsInOrder(const ServiceName& aService) const
{
  std::vector<WaitTicket> result;
  if (const auto queue = queues_.find(aService); queue != queues_.end()) {
    for (const auto& [position, request] : queue->second.requests_) {
      result.push_back(position.second);
    }
  }
  return result;
}

std::vector<ServiceName>
WaitQueue::Services() const
{
  std::vector<ServiceName> result;
  for (const auto& [service, queue] : queues_) {
    if (!queue.requests_.empty()) {
      result.push_back(service);
    }
  }
  return result;
}

std::optional<double>
WaitQueue::RateOf(const Queue& aQueue) const
{
  const auto now = clock_.Now();
  const auto waited = now - aQueue.waitingSince_;
  if (aQueue.requests_.empty() || waited < kMinRateTime) {
    return std::nullopt;
  }
  double starts = 0;
  for (const auto& start : aQueue.starts_) {
    starts += start >= now - kRateWindow ? 1 : 0;
  }
  return std::max(starts, kMinStarts) / Seconds(std::min<Duration>(waited, kRateWindow));
}

std::vector<WaitTicket>
WaitQueue::CannotStartInTime() const
{
  std::vector<WaitTicket> result;
  const auto now = clock_.Now();
  for (const auto& [service, queue] : queues_) {
    const auto rate = RateOf(queue);
    double ahead = 0;
    for (const auto& [position, request] : queue.requests_) {
      const bool isLate = request.latestStart_ <= now;
      // A blocked request starts when the load is complete or the pause ends, regardless of the
      // requests before it.
      const bool isBehind =
        !request.isBlocked_ && !request.mayBeLate_ && rate &&
        now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ahead / *rate)) >=
          request.latestStart_;
      if (isLate || isBehind) {
        result.push_back(position.second);
      } else if (!request.isBlocked_) {
        ++ahead;
      }
    }
  }
  return result;
}

std::optional<Duration>
WaitQueue::EstimateWait(const ServiceName& aService, std::uint32_t aRank) const
{
  const auto found = queues_.find(aService);
  if (found == queues_.end()) {
    return std::nullopt;
  }
  const auto rate = RateOf(found->second);
  if (!rate) {
    return std::nullopt;
  }
  double ahead = 0;
  for (const auto& [position, request] : found->second.requests_) {
    ahead += position.first <= aRank && !request.isBlocked_ ? 1 : 0;
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ahead / *rate));
}

} // namespace laburnumweir
