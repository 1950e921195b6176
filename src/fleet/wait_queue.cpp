/** @file wait_queue.cpp Queue of requests that wait for a free slot or for an adapter. */
#include "fleet/wait_queue.h"

#include "table/overload_const.h"

#include <algorithm>

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

/** Removes the times before the window over which rates are measured. */
void
DropOld(std::deque<TimePoint>& aTimes, TimePoint aNow)
{
  while (!aTimes.empty() && aTimes.front() < aNow - kRateWindow) {
    aTimes.pop_front();
  }
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
    for (auto& [rank, data] : queue.ranks_) {
      data.arrivals_.clear();
    }
  }
  auto& arrivals = queue.ranks_[aRequest.rank_].arrivals_;
  arrivals.push_back(clock_.Now());
  DropOld(arrivals, clock_.Now());
  const Position position{ aRequest.rank_, ticket };
  queue.requests_.emplace(position, Entry{ aRequest, std::nullopt });
  queue.isOrdered_ = false;
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
  DropOld(queue.starts_, now);
}

void
WaitQueue::SetBlocked(WaitTicket aTicket, bool aIsBlocked)
{
  if (const auto found = positions_.find(aTicket); found != positions_.end()) {
    queues_[found->second.first].requests_[found->second.second].request_.isBlocked_ = aIsBlocked;
  }
}

void
WaitQueue::SetHasFreeSlot(const ServiceName& aService, bool aHasFreeSlot)
{
  if (const auto queue = queues_.find(aService); queue != queues_.end()) {
    queue->second.hasFreeSlot_ = aHasFreeSlot;
  }
}

void
WaitQueue::RecordAnswer(const ServiceName& aService, std::uint32_t aRank, Duration aTime)
{
  auto& mean = queues_[aService].ranks_[aRank].answerTime_;
  const double weight = mean == Duration::zero() ? 1 : kAnswerTimeWeight;
  mean += std::chrono::duration_cast<Duration>(weight * (aTime - mean));
}

OverloadState
WaitQueue::StateOf(const Queue& aQueue) const
{
  OverloadState state;
  state.now_ = clock_.Now();
  state.startRate_ = RateOf(aQueue);
  state.hasFreeSlot_ = aQueue.hasFreeSlot_;
  const auto waited = std::min<Duration>(state.now_ - aQueue.waitingSince_, kRateWindow);
  for (const auto& [rank, data] : aQueue.ranks_) {
    RankRecord record;
    record.answerTime_ = data.answerTime_;
    if (waited >= kMinRateTime) {
      const auto recent =
        std::count_if(data.arrivals_.begin(), data.arrivals_.end(), [&](TimePoint aTime) {
          return aTime >= state.now_ - kRateWindow;
        });
      record.arrivalRate_ = static_cast<double>(recent) / Seconds(waited);
    }
    state.ranks_.emplace(rank, record);
  }
  return state;
}

void
WaitQueue::Order(Queue& aQueue) const
{
  std::vector<Position> positions;
  std::vector<WaitingRequest> requests;
  positions.reserve(aQueue.requests_.size());
  requests.reserve(aQueue.requests_.size());
  for (const auto& [position, entry] : aQueue.requests_) {
    positions.push_back(position);
    requests.push_back(entry.request_);
  }
  auto state = StateOf(aQueue);
  state.requests_ = requests;
  aQueue.order_.clear();
  for (const auto& place : policy_->Order(state)) {
    aQueue.order_.emplace_back(positions[place.index_], place);
    aQueue.requests_.find(positions[place.index_])->second.group_ = place.group_;
  }
  aQueue.isOrdered_ = true;
}

std::vector<WaitTicket>
WaitQueue::TicketsInOrder(const ServiceName& aService)
{
  std::vector<WaitTicket> result;
  if (const auto queue = queues_.find(aService); queue != queues_.end()) {
    Order(queue->second);
    for (const auto& [position, place] : queue->second.order_) {
      result.push_back(position.second);
    }
  }
  return result;
}

std::vector<WaitingRequest>
WaitQueue::FirstInOrder(const ServiceName& aService, std::size_t aMax)
{
  std::vector<WaitingRequest> result;
  if (const auto queue = queues_.find(aService); queue != queues_.end()) {
    Order(queue->second);
    for (const auto& [position, place] : queue->second.order_) {
      const auto found = queue->second.requests_.find(position);
      if (found != queue->second.requests_.end() && result.size() < aMax) {
        result.push_back(found->second.request_);
      }
    }
  }
  return result;
}

std::size_t
WaitQueue::Size(std::uint32_t aFirst, std::uint32_t aLast) const
{
  std::size_t result = 0;
  for (const auto& [service, queue] : queues_) {
    const auto begin = queue.requests_.lower_bound({ aFirst, 0 });
    const auto end = queue.requests_.upper_bound({ aLast, ~WaitTicket{ 0 } });
    result += static_cast<std::size_t>(std::distance(begin, end));
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
WaitQueue::CannotStartInTime()
{
  std::vector<WaitTicket> result;
  for (auto& [service, queue] : queues_) {
    if (queue.requests_.empty()) {
      continue;
    }
    if (!queue.isOrdered_) {
      Order(queue);
    }
    // Requests that have started since the last order are left out; the others keep their places.
    std::vector<WaitingRequest> requests;
    std::vector<ServicePlace> places;
    std::vector<WaitTicket> tickets;
    for (const auto& [position, place] : queue.order_) {
      const auto entry = queue.requests_.find(position);
      if (entry != queue.requests_.end()) {
        places.push_back(place);
        places.back().index_ = requests.size();
        requests.push_back(entry->second.request_);
        tickets.push_back(position.second);
      }
    }
    auto state = StateOf(queue);
    state.requests_ = requests;
    for (const auto index : FindHopeless(state, places, policy_->KeepsWhileSlotsAreFree())) {
      result.push_back(tickets[index]);
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
  const auto& queue = found->second;
  const auto rate = RateOf(queue);
  if (!rate || (queue.hasFreeSlot_ && policy_->KeepsWhileSlotsAreFree())) {
    return std::nullopt;
  }
  const auto group = policy_->GroupOfNew(aRank);
  double ahead = 0;
  for (const auto& [position, entry] : queue.requests_) {
    const auto other = entry.group_.value_or(policy_->GroupOfNew(position.first));
    ahead += other <= group && !entry.request_.isBlocked_ ? 1 : 0;
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ahead / *rate));
}

} // namespace laburnumweir
