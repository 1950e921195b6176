/** @file freshness_tracker.cpp Decides until when a host may admit requests. */
#include "state/freshness_tracker.h"

#include "state/freshness_sm.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace laburnumweir {

namespace {

/** Evidence that waits for the fold; more would mean that the fold does not keep up anyway. */
constexpr std::size_t kMaxPending = 64;

} // namespace

/** The state machine, kept out of the header. */
struct FreshnessTracker::Machine
{
  Machine() { machine_.start(); }

  freshness_sm::FreshnessMachine machine_; ///< State machine of the mode.
};

std::string_view
ToString(FreshnessMode aMode)
{
  switch (aMode) {
    case FreshnessMode::NoState:
      return "no-state";
    case FreshnessMode::NotAMember:
      return "not-a-member";
    case FreshnessMode::Fresh:
      return "fresh";
    case FreshnessMode::OutageMode:
      return "outage-mode";
    case FreshnessMode::Lapsed:
      return "lapsed";
  }
  return "unknown";
}

FreshnessTracker::FreshnessTracker(HostLife aSelf, FreshnessSettings aSettings)
  : self_(std::move(aSelf))
  , settings_(aSettings)
  , machine_(std::make_unique<Machine>())
{
}

FreshnessTracker::~FreshnessTracker() = default;
FreshnessTracker::FreshnessTracker(FreshnessTracker&&) noexcept = default;
FreshnessTracker&
FreshnessTracker::operator=(FreshnessTracker&&) noexcept = default;

void
FreshnessTracker::OnState(LogOffset aNext, const std::map<HostId, Member>& aMembers)
{
  hasState_ = true;
  next_ = aNext;
  members_.clear();
  for (const auto& [host, member] : aMembers) {
    members_[host] = member.incarnation_;
  }
  std::deque<Pending> waiting;
  waiting.swap(pending_);
  for (const Pending& evidence : waiting) {
    AddLogEvidence(evidence.time_, evidence.next_);
  }
}

void
FreshnessTracker::OnStateLost()
{
  hasState_ = false;
  next_ = 0;
  members_.clear();
  Clear();
}

void
FreshnessTracker::OnNewLife(HostLife aSelf)
{
  self_ = std::move(aSelf);
  Clear();
}

void
FreshnessTracker::OnLogAnswer(TimePoint aAsked, LogOffset aEnd)
{
  AddLogEvidence(aAsked, aEnd);
}

void
FreshnessTracker::OnPeerAnswer(const PeerAnswer& aAnswer)
{
  if (!aAnswer.hasState_) {
    // What the peer said before it lost its state still holds for the time it was said.
    return;
  }
  if (aAnswer.logAge_) {
    AddLogEvidence(aAnswer.asked_ - settings_.Beyond(*aAnswer.logAge_), aAnswer.next_);
  }
  Agreement& agreement = agreements_[aAnswer.life_.host_];
  // Answers can arrive in another sequence than the questions.
  if (agreement.incarnation_ > aAnswer.life_.incarnation_ ||
      (agreement.incarnation_ == aAnswer.life_.incarnation_ && agreement.asked_ > aAnswer.asked_)) {
    return;
  }
  agreement = Agreement{
    aAnswer.life_.incarnation_, aAnswer.asked_, aAnswer.next_, aAnswer.hasPendingAppend_
  };
}

void
FreshnessTracker::AddLogEvidence(TimePoint aTime, LogOffset aNext)
{
  if (hasState_ && aNext <= next_) {
    logTime_ = logTime_ ? std::max(*logTime_, aTime) : aTime;
    return;
  }
  pending_.push_back(Pending{ aTime, aNext });
  if (pending_.size() > kMaxPending) {
    pending_.pop_front();
  }
}

std::optional<TimePoint>
FreshnessTracker::MajorityTime(TimePoint aNow) const
{
  std::vector<TimePoint> times;
  for (const auto& [host, incarnation] : members_) {
    if (host == self_.host_) {
      if (!hasPendingAppend_) {
        times.push_back(aNow);
      }
      continue;
    }
    const auto found = agreements_.find(host);
    // An answer of a later life does not count: it may have taken its state from this host.
    if (found != agreements_.end() && found->second.incarnation_ == incarnation &&
        found->second.next_ <= next_ && !found->second.hasPendingAppend_) {
      times.push_back(found->second.asked_);
    }
  }
  const std::size_t majority = members_.size() / 2 + 1;
  if (times.size() < majority) {
    return std::nullopt;
  }
  std::nth_element(times.begin(),
                   times.begin() + static_cast<std::ptrdiff_t>(majority - 1),
                   times.end(),
                   std::greater<>());
  return times[majority - 1];
}

TimePoint
FreshnessTracker::Update(TimePoint aNow)
{
  auto& machine = machine_->machine_;
  if (!hasState_) {
    machine.process_event(freshness_sm::StateLost{});
    return TimePoint::min();
  }
  const auto self = members_.find(self_.host_);
  if (self == members_.end() || self->second != self_.incarnation_) {
    machine.process_event(freshness_sm::MembershipLost{});
    return TimePoint::min();
  }
  TimePoint logUntil = TimePoint::min();
  TimePoint majorityUntil = TimePoint::min();
  if (logTime_) {
    logUntil = *logTime_ + settings_.Within(settings_.bound_);
    if (const auto majority = MajorityTime(aNow)) {
      majorityUntil = std::min(*majority + settings_.Within(settings_.bound_),
                               *logTime_ + settings_.Within(settings_.outageBound_));
    }
  }
  if (logUntil > aNow) {
    machine.process_event(freshness_sm::LogEvidence{});
  } else if (majorityUntil > aNow) {
    machine.process_event(freshness_sm::MajorityEvidence{});
  } else {
    machine.process_event(freshness_sm::Expired{});
  }
  return std::max(logUntil, majorityUntil);
}

FreshnessMode
FreshnessTracker::Mode() const
{
  return machine_->machine_.mode_;
}

std::optional<Duration>
FreshnessTracker::LogAge(TimePoint aNow) const
{
  if (!hasState_ || !logTime_) {
    return std::nullopt;
  }
  return aNow - *logTime_;
}

void
FreshnessTracker::Clear()
{
  logTime_.reset();
  pending_.clear();
  agreements_.clear();
}

} // namespace laburnumweir
