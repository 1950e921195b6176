/** @file wait_queue.cpp Requests that wait for a place or an adapter. */
#include "fleet/wait_queue.h"

namespace laburnumweir {

namespace {

// Starts are counted over this time; shorter follows single long requests.
constexpr Duration kRateWindow = std::chrono::seconds(2);
// A line must have waited this long before its rate means anything.
constexpr Duration kRateNeeds = std::chrono::milliseconds(500);
// Rate assumed when nothing started in the window: one request in the window.
constexpr double kLeastStarts = 1.0;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

WaitTicket
WaitQueue::Push(const WaitingRequest& aRequest)
{
  const auto ticket = next_++;
  auto& line = lines_[aRequest.service_];
  if (line.requests_.empty()) {
    line.waitsSince_ = clock_.Now();
    line.starts_.clear();
  }
  const Place place{ aRequest.rank_, ticket };
  line.requests_.emplace(place, aRequest);
  places_.emplace(ticket, std::pair(aRequest.service_, place));
  return ticket;
}

void
WaitQueue::Remove(WaitTicket aTicket, bool aHasStarted)
{
  const auto found = places_.find(aTicket);
  if (found == places_.end()) {
    return;
  }
  auto& line = lines_[found->second.first];
  line.requests_.erase(found->second.second);
  places_.erase(found);
  const auto now = clock_.Now();
  if (aHasStarted) {
    line.starts_.push_back(now);
  }
  while (!line.starts_.empty() && line.starts_.front() < now - kRateWindow) {
    line.starts_.pop_front();
  }
}

void
WaitQueue::SetWaitsForLoad(WaitTicket aTicket, bool aWaitsForLoad)
{
  if (const auto found = places_.find(aTicket); found != places_.end()) {
    lines_[found->second.first].requests_[found->second.second].waitsForLoad_ = aWaitsForLoad;
  }
}

std::vector<WaitTicket>
WaitQueue::InOrder(const ServiceName& aService) const
{
  std::vector<WaitTicket> result;
  if (const auto line = lines_.find(aService); line != lines_.end()) {
    for (const auto& [place, request] : line->second.requests_) {
      result.push_back(place.second);
    }
  }
  return result;
}

std::vector<ServiceName>
WaitQueue::Services() const
{
  std::vector<ServiceName> result;
  for (const auto& [service, line] : lines_) {
    if (!line.requests_.empty()) {
      result.push_back(service);
    }
  }
  return result;
}

std::optional<double>
WaitQueue::RateOf(const Line& aLine) const
{
  const auto now = clock_.Now();
  const auto waited = now - aLine.waitsSince_;
  if (aLine.requests_.empty() || waited < kRateNeeds) {
    return std::nullopt;
  }
  double starts = 0;
  for (const auto& start : aLine.starts_) {
    starts += start >= now - kRateWindow ? 1 : 0;
  }
  return std::max(starts, kLeastStarts) / Seconds(std::min<Duration>(waited, kRateWindow));
}

std::vector<WaitTicket>
WaitQueue::Hopeless() const
{
  std::vector<WaitTicket> result;
  const auto now = clock_.Now();
  for (const auto& [service, line] : lines_) {
    const auto rate = RateOf(line);
    double ahead = 0;
    for (const auto& [place, request] : line.requests_) {
      const bool isLate = request.latestStart_ <= now;
      // A request that waits for an adapter is served when that is loaded, whoever waits before it.
      const bool isBehind =
        !request.waitsForLoad_ && rate &&
        now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ahead / *rate)) >=
          request.latestStart_;
      if (isLate || isBehind) {
        result.push_back(place.second);
      } else if (!request.waitsForLoad_) {
        ++ahead;
      }
    }
  }
  return result;
}

std::optional<Duration>
WaitQueue::EstimateWait(const ServiceName& aService, std::uint32_t aRank) const
{
  const auto found = lines_.find(aService);
  if (found == lines_.end()) {
    return std::nullopt;
  }
  const auto rate = RateOf(found->second);
  if (!rate) {
    return std::nullopt;
  }
  double ahead = 0;
  for (const auto& [place, request] : found->second.requests_) {
    ahead += place.first <= aRank && !request.waitsForLoad_ ? 1 : 0;
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ahead / *rate));
}

} // namespace laburnumweir
