/** @file request_queue.cpp Queue of requests by class and workspace. */
#include "dispatch/request_queue.h"

#include <algorithm>
#include <cmath>

namespace laburnumweir {

namespace {

constexpr double kMinRatedSeconds = 0.5; ///< Backlogged time before a measured rate is used.

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

Duration
FromSeconds(double aSeconds)
{
  constexpr double kLongest = 1e8; // about three years; keeps the conversion within its range
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(aSeconds, kLongest)));
}

} // namespace

RequestQueue::RequestQueue(const Clock& aClock, QueueSettings aSettings)
  : clock_(aClock)
  , settings_(aSettings)
  , measured_(aClock.Now())
{
}

double
RequestQueue::Rate() const
{
  return ratedSeconds_ >= kMinRatedSeconds && ratedTokens_ > 0 ? ratedTokens_ / ratedSeconds_
                                                               : settings_.initialRate_;
}

void
RequestQueue::Measure(TokenCount aStarted)
{
  // Only time with a backlog counts; otherwise the rate would be that of the arrivals.
  const TimePoint now = clock_.Now();
  const double elapsed = size_ > 0 ? Seconds(now - measured_) : 0.0;
  measured_ = now;
  const double keep = std::exp2(-elapsed / Seconds(kQueueRateHalfLife));
  ratedTokens_ = ratedTokens_ * keep + static_cast<double>(aStarted);
  ratedSeconds_ = ratedSeconds_ * keep + elapsed;
}

RequestQueue::WorkspaceQueue&
RequestQueue::WorkspaceOf(ClassQueue& aClass, const WorkspaceId& aId)
{
  const auto found = std::find_if(aClass.round_.begin(),
                                  aClass.round_.end(),
                                  [&](const WorkspaceQueue& aQueue) { return aQueue.id_ == aId; });
  if (found != aClass.round_.end()) {
    return *found;
  }
  aClass.round_.emplace_back().id_ = aId;
  return aClass.round_.back();
}

void
RequestQueue::Account(ClassQueue& aClass,
                      WorkspaceQueue& aWorkspace,
                      const QueueEntry& aEntry,
                      int aSign)
{
  const TokenCount tokens = aSign * aEntry.tokens_;
  aClass.tokens_ += tokens;
  aWorkspace.tokens_ += tokens;
  tokens_ += tokens;
  size_ = aSign > 0 ? size_ + 1 : size_ - 1;
  if (aEntry.deadline_) {
    const auto due = aClass.due_.try_emplace(*aEntry.deadline_, 0).first;
    due->second += tokens;
    if (due->second == 0) {
      aClass.due_.erase(due);
    }
  }
}

bool
RequestQueue::IsRaised(const ClassQueue& aClass) const
{
  const TimePoint now = clock_.Now();
  TokenCount work = 0;
  for (const auto& [deadline, tokens] : aClass.due_) {
    work += tokens;
    const double needed = kDeadlineMargin * static_cast<double>(work) / Rate();
    if (Seconds(deadline - now) < needed) {
      return true;
    }
  }
  return false;
}

bool
RequestQueue::IsRaised(const ClassId& aClass) const
{
  const auto found = classes_.find(aClass);
  return found != classes_.end() && IsRaised(found->second);
}

std::vector<ClassId>
RequestQueue::ServingOrder(std::span<const ClassId> aOrder) const
{
  std::vector<std::pair<TimePoint, ClassId>> raised;
  std::vector<ClassId> order;
  for (const auto& [id, queue] : classes_) {
    if (IsRaised(queue)) {
      raised.emplace_back(queue.due_.begin()->first, id);
    }
  }
  std::sort(raised.begin(), raised.end());
  order.reserve(raised.size() + aOrder.size() + classes_.size());
  for (auto& [deadline, id] : raised) {
    order.push_back(id);
  }
  const auto add = [&](const ClassId& aId) {
    if (std::find(order.begin(), order.end(), aId) == order.end()) {
      order.push_back(aId);
    }
  };
  std::for_each(aOrder.begin(), aOrder.end(), add);
  for (const auto& [id, queue] : classes_) {
    add(id);
  }
  return order;
}

Duration
RequestQueue::EstimateWait(const QueueEntry& aEntry, std::span<const ClassId> aOrder) const
{
  TokenCount ahead = 0;
  for (const ClassId& id : ServingOrder(aOrder)) {
    const auto found = classes_.find(id);
    if (id != aEntry.class_) {
      ahead += found == classes_.end() ? 0 : found->second.tokens_;
      continue;
    }
    if (found == classes_.end()) {
      break;
    }
    TokenCount own = 0;
    for (const WorkspaceQueue& queue : found->second.round_) {
      own += queue.id_ == aEntry.workspace_ ? queue.tokens_ : 0;
    }
    // Round robin lets another workspace start about as much as this one before it, plus a quantum.
    for (const WorkspaceQueue& queue : found->second.round_) {
      ahead += queue.id_ == aEntry.workspace_
                 ? own
                 : std::min(queue.tokens_, own + aEntry.tokens_ + settings_.quantum_);
    }
    break;
  }
  return FromSeconds(static_cast<double>(ahead) / Rate());
}

std::optional<RefusedEntry>
RequestQueue::Displace(const WorkspaceId& aFor)
{
  ClassQueue* longestClass = nullptr;
  std::list<WorkspaceQueue>::iterator longest;
  std::map<WorkspaceId, std::size_t> sizes;
  for (auto& [id, queue] : classes_) {
    for (auto workspace = queue.round_.begin(); workspace != queue.round_.end(); ++workspace) {
      sizes[workspace->id_] += workspace->entries_.size();
      if (longestClass == nullptr || workspace->entries_.size() > longest->entries_.size()) {
        longestClass = &queue;
        longest = workspace;
      }
    }
  }
  if (longestClass == nullptr || sizes[longest->id_] <= sizes[aFor] + 1) {
    return std::nullopt;
  }
  RefusedEntry displaced{ std::move(longest->entries_.back()), QueueRefusal::Displaced };
  longest->entries_.pop_back();
  Account(*longestClass, *longest, displaced.entry_, -1);
  RemoveEmpty(*longestClass);
  return displaced;
}

PushResult
RequestQueue::Push(QueueEntry aEntry, std::span<const ClassId> aOrder)
{
  PushResult result;
  const TimePoint now = clock_.Now();
  aEntry.tokens_ = std::max<TokenCount>(aEntry.tokens_, 1);
  result.estimate_ = EstimateWait(aEntry, aOrder);
  const bool isMeasured = ratedSeconds_ >= kMinRatedSeconds;
  if (now >= aEntry.startBy_ || (isMeasured && now + result.estimate_ >= aEntry.startBy_)) {
    result.refusal_ = QueueRefusal::TooLate;
    return result;
  }
  if (const auto found = classes_.find(aEntry.class_); found != classes_.end()) {
    for (const WorkspaceQueue& queue : found->second.round_) {
      if (queue.id_ == aEntry.workspace_ && queue.entries_.size() >= settings_.maxPerWorkspace_) {
        result.refusal_ = QueueRefusal::WorkspaceFull;
        return result;
      }
    }
  }
  if (size_ >= settings_.maxTotal_) {
    result.displaced_ = Displace(aEntry.workspace_);
    if (!result.displaced_) {
      result.refusal_ = QueueRefusal::QueueFull;
      return result;
    }
  }
  Measure(0);
  aEntry.ticket_ = nextTicket_++;
  aEntry.enqueued_ = now;
  aEntry.notBefore_ = now;
  result.ticket_ = aEntry.ticket_;
  ClassQueue& queue = classes_[aEntry.class_];
  WorkspaceQueue& workspace = WorkspaceOf(queue, aEntry.workspace_);
  Account(queue, workspace, aEntry, +1);
  workspace.entries_.push_back(std::move(aEntry));
  return result;
}

void
RequestQueue::RemoveEmpty(ClassQueue& aClass)
{
  if (!aClass.round_.empty() && aClass.round_.front().entries_.empty()) {
    aClass.turnStarted_ = false;
  }
  aClass.round_.remove_if([](const WorkspaceQueue& aQueue) { return aQueue.entries_.empty(); });
}

std::optional<QueueEntry>
RequestQueue::PopFrom(ClassQueue& aClass)
{
  const TimePoint now = clock_.Now();
  const auto ready = [&](WorkspaceQueue& aQueue) {
    return std::find_if(
      aQueue.entries_.begin(), aQueue.entries_.end(), [&](const QueueEntry& aEntry) {
        return aEntry.notBefore_ <= now && now < aEntry.startBy_;
      });
  };
  // Rounds in which nobody can start are added at once, so that a large request costs no loop.
  TokenCount rounds = -1;
  for (WorkspaceQueue& queue : aClass.round_) {
    const auto entry = ready(queue);
    if (entry != queue.entries_.end()) {
      const TokenCount missing = std::max<TokenCount>(entry->tokens_ - queue.deficit_, 0);
      const TokenCount needed = (missing + settings_.quantum_ - 1) / settings_.quantum_;
      rounds = rounds < 0 ? needed : std::min(rounds, needed);
    }
  }
  if (rounds < 0) {
    return std::nullopt;
  }
  if (rounds > 2) {
    for (WorkspaceQueue& queue : aClass.round_) {
      queue.deficit_ +=
        ready(queue) != queue.entries_.end() ? (rounds - 2) * settings_.quantum_ : 0;
    }
  }
  for (;;) {
    WorkspaceQueue& queue = aClass.round_.front();
    const auto entry = ready(queue);
    if (entry != queue.entries_.end()) {
      if (!aClass.turnStarted_) {
        aClass.turnStarted_ = true;
        queue.deficit_ += settings_.quantum_;
      }
      if (entry->tokens_ <= queue.deficit_) {
        QueueEntry taken = std::move(*entry);
        queue.entries_.erase(entry);
        queue.deficit_ -= taken.tokens_;
        Measure(taken.tokens_);
        Account(aClass, queue, taken, -1);
        RemoveEmpty(aClass);
        return taken;
      }
    }
    aClass.turnStarted_ = false;
    aClass.round_.splice(aClass.round_.end(), aClass.round_, aClass.round_.begin());
  }
}

std::optional<QueueEntry>
RequestQueue::Pop(std::span<const ClassId> aOrder)
{
  for (const ClassId& id : ServingOrder(aOrder)) {
    const auto found = classes_.find(id);
    if (found == classes_.end()) {
      continue;
    }
    if (auto entry = PopFrom(found->second)) {
      return entry;
    }
  }
  return std::nullopt;
}

void
RequestQueue::Return(QueueEntry aEntry, TimePoint aNotBefore)
{
  // The tokens did not start, so they are taken out of the measured rate again.
  Measure(0);
  ratedTokens_ = std::max(0.0, ratedTokens_ - static_cast<double>(aEntry.tokens_));
  aEntry.notBefore_ = aNotBefore;
  ClassQueue& queue = classes_[aEntry.class_];
  WorkspaceQueue& workspace = WorkspaceOf(queue, aEntry.workspace_);
  workspace.deficit_ += aEntry.tokens_;
  Account(queue, workspace, aEntry, +1);
  const auto place =
    std::find_if(workspace.entries_.begin(),
                 workspace.entries_.end(),
                 [&](const QueueEntry& aOther) { return aOther.ticket_ > aEntry.ticket_; });
  workspace.entries_.insert(place, std::move(aEntry));
}

bool
RequestQueue::Cancel(QueueTicket aTicket)
{
  for (auto& [id, queue] : classes_) {
    for (WorkspaceQueue& workspace : queue.round_) {
      const auto entry =
        std::find_if(workspace.entries_.begin(),
                     workspace.entries_.end(),
                     [&](const QueueEntry& aEntry) { return aEntry.ticket_ == aTicket; });
      if (entry != workspace.entries_.end()) {
        Measure(0);
        Account(queue, workspace, *entry, -1);
        workspace.entries_.erase(entry);
        RemoveEmpty(queue);
        return true;
      }
    }
  }
  return false;
}

std::vector<RefusedEntry>
RequestQueue::TakeExpired()
{
  const TimePoint now = clock_.Now();
  std::vector<RefusedEntry> expired;
  Measure(0);
  for (auto& [id, queue] : classes_) {
    for (WorkspaceQueue& workspace : queue.round_) {
      const auto isExpired = [&](const QueueEntry& aEntry) { return now >= aEntry.startBy_; };
      for (QueueEntry& entry : workspace.entries_) {
        if (isExpired(entry)) {
          Account(queue, workspace, entry, -1);
          expired.push_back({ entry, QueueRefusal::Expired });
        }
      }
      std::erase_if(workspace.entries_, isExpired);
    }
    RemoveEmpty(queue);
  }
  std::erase_if(classes_, [](const auto& aItem) { return aItem.second.round_.empty(); });
  return expired;
}

} // namespace laburnumweir
