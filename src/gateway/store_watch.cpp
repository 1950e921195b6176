/** @file store_watch.cpp Updates the state of the fleet from the store. */
#include "gateway/store_watch.h"

#include "gateway/gossip_message.h"
#include "logging/logging_func.h"
#include "table/fleet_const.h"

#include <algorithm>

namespace laburnumweir {

namespace {

// Minimum time between two polls, in case the store answers at once although nothing is new.
constexpr Duration kMinPollInterval = std::chrono::milliseconds(20);
// Reads that fail for this many intervals count as an outage, during which entries may expire.
constexpr int kOutageIntervals = 3;
// Relayed entries may be older than the read interval of the store reader by this time, which
// covers two lost datagrams.
constexpr Duration kMaxRelayDelay = 2 * kGossipInterval;

/** @return whether an era is newer than the one known before, if there was one. */
bool
EnterEra(std::optional<StoreEra>& aKnown, StoreEra aEra)
{
  const bool isNewer = aKnown && *aKnown < aEra;
  aKnown = std::max(aKnown.value_or(aEra), aEra);
  return isNewer;
}

} // namespace

StoreWatch::StoreWatch(FleetStore& aStore,
                       FleetState& aState,
                       const Clock& aClock,
                       Scheduler& aScheduler,
                       WatchSettings aSettings,
                       std::function<void()> aOnChange,
                       std::function<void()> aOnRestored)
  : store_(aStore)
  , state_(aState)
  , clock_(aClock)
  , scheduler_(aScheduler)
  , settings_(aSettings)
  , longestInterval_(aSettings.upstreamInterval_)
  , onChange_(std::move(aOnChange))
  , onRestored_(std::move(aOnRestored))
{
}

void
StoreWatch::Start()
{
  upstreamsRequestedAt_ = clock_.Now();
  PollOperators();
  PollUpstreams();
}

void
StoreWatch::SetUpstreamInterval(std::chrono::milliseconds aInterval)
{
  settings_.upstreamInterval_ = aInterval;
  longestInterval_ = std::max(longestInterval_, aInterval);
}

void
StoreWatch::RunAfter(Duration aDelay, void (StoreWatch::*aFunction)())
{
  scheduler_.After(aDelay, [weak = weak_from_this(), aFunction] {
    if (const auto self = weak.lock()) {
      (self.get()->*aFunction)();
    }
  });
}

void
StoreWatch::PollOperatorsAfter(Duration aDelay)
{
  scheduler_.After(aDelay, [weak = weak_from_this(), poll = operatorsPoll_] {
    if (const auto self = weak.lock(); self && self->operatorsPoll_ == poll) {
      self->PollOperators();
    }
  });
}

void
StoreWatch::ReadOperatorsInNewEra(StoreEra aEra)
{
  if (!operatorsEra_ || aEra <= *operatorsEra_ || aEra <= announcedEra_) {
    return;
  }
  announcedEra_ = aEra;
  ++operatorsPoll_;
  pollWait_ = std::chrono::milliseconds(0);
  ReadOperators();
}

void
StoreWatch::PollOperators()
{
  const bool isReadDue =
    isOperatorReadDue_ && clock_.Now() - operatorsReadAt_ >= settings_.relayedReadInterval_;
  if (isRelayed_ && operators_ && !isReadDue && state_.ConfigAge() <= kMaxRelayedConfigAge) {
    // The relayed configuration was confirmed recently enough: while a long poll of this host
    // waits, the configuration also stays unconfirmed for up to the whole wait.
    pollWait_ = std::chrono::milliseconds(0);
    PollOperatorsAfter(settings_.relayCheckInterval_);
    return;
  }
  ReadOperators();
}

void
StoreWatch::ReadOperators()
{
  const auto sentAt = clock_.Now();
  isOperatorReadDue_ = false;
  operatorsReadAt_ = sentAt;
  auto callback =
    [weak = weak_from_this(), sentAt, poll = operatorsPoll_, knownNext = relayedOperators_](
      std::error_code aError, const ChangeBatch& aBatch) {
      if (const auto self = weak.lock(); self && self->operatorsPoll_ == poll) {
        self->OnOperators(sentAt, knownNext, aError, aBatch);
      }
    };
  if (operators_) {
    store_.ReadChanges(ChangeStream::Operators, *operators_, pollWait_, callback);
  } else {
    store_.ReadAll(ChangeStream::Operators, callback);
  }
}

void
StoreWatch::OnOperators(TimePoint aSentAt,
                        StorePosition aKnownNext,
                        std::error_code aError,
                        const ChangeBatch& aBatch)
{
  if (aError == make_error_code(StoreError::HistoryLost)) {
    LogEvent(LogLevel::Info, "history_lost", { { "stream", "operators" } });
    operators_.reset();
    PollOperatorsAfter(kMinPollInterval);
    return;
  }
  if (isConnected_ != !aError) {
    isConnected_ = !aError;
    LogEvent(
      isConnected_ ? LogLevel::Info : LogLevel::Warn,
      isConnected_ ? "store_regained" : "store_lost",
      { { "error", aError ? aError.message() : "" },
        { "call_ms", std::to_string((clock_.Now() - aSentAt) / std::chrono::milliseconds(1)) } });
  }
  if (aError) {
    // The store may come back in another era, where a long poll from an offset that was given out
    // again would learn of that only at its end.
    pollWait_ = std::chrono::milliseconds(0);
    PollOperatorsAfter(RetryDelay());
    return;
  }
  if (aBatch.Next() < aKnownNext) {
    // Applying it could restore a withdrawn key or end an evacuation that is in force.
    LogEvent(LogLevel::Warn,
             "store_answer_stale",
             { { "stream", "operators" },
               { "offset", std::to_string(aBatch.next_) },
               { "era", std::to_string(aBatch.era_) },
               { "known_offset", std::to_string(aKnownNext.next_) },
               { "known_era", std::to_string(aKnownNext.era_) } });
    PollOperatorsAfter(RetryDelay());
    return;
  }
  // The store answers a long poll as soon as there is a record, so a poll that ends without one
  // confirms that there was no record during the whole wait.
  const bool hasNoRecords = operators_ == aBatch.Next() && clock_.Now() - aSentAt >= pollWait_;
  operators_ = aBatch.Next();
  if (EnterEra(operatorsEra_, aBatch.era_)) {
    endEvacuationsAt_ = clock_.Now() + settings_.removalHoldTime_;
    RunAfter(settings_.removalHoldTime_, &StoreWatch::EndUnnamedEvacuations);
  }
  state_.ApplyOperators(aBatch, endEvacuationsAt_.has_value());
  if (aBatch.isComplete_) {
    state_.OnConfigConfirmed(hasNoRecords ? aSentAt + pollWait_ : aSentAt);
  } else {
    isOperatorReadDue_ = true;
  }
  // An answer with records confirms only the time at which the poll was sent, up to a whole wait
  // ago. The next poll does not wait, so that it confirms the current time.
  pollWait_ = hasNoRecords ? settings_.configWait_ : std::chrono::milliseconds(0);
  OnEra(aBatch.era_);
  onChange_();
  // Without a configuration, everything is read again later: a long poll has nothing to wait for in
  // the topic, which may not exist yet.
  if (!state_.Routes()) {
    operators_.reset();
    PollOperatorsAfter(settings_.noConfigDelay_);
    return;
  }
  PollOperatorsAfter(kMinPollInterval);
}

void
StoreWatch::OnEra(StoreEra aEra)
{
  const auto before = era_;
  if (!EnterEra(era_, aEra)) {
    return;
  }
  restoredAt_ = clock_.Now();
  LogEvent(LogLevel::Warn,
           "store_restored",
           { { "era", std::to_string(aEra) }, { "era_before", std::to_string(*before) } });
  if (onRestored_) {
    onRestored_();
  }
}

void
StoreWatch::EndUnnamedEvacuations()
{
  if (endEvacuationsAt_ && clock_.Now() >= *endEvacuationsAt_) {
    endEvacuationsAt_.reset();
    state_.EndUnnamedEvacuations();
    onChange_();
  }
}

bool
StoreWatch::AreUpstreamsRelayed() const
{
  const auto now = clock_.Now();
  const bool isHoldOver = removalHoldEnd_ && now >= *removalHoldEnd_;
  return isRelayed_ && upstreams_ && !isUpstreamReadDue_ && !isHoldOver &&
         now - upstreamsRequestedAt_ <= settings_.upstreamInterval_ + kMaxRelayDelay;
}

void
StoreWatch::PollUpstreams()
{
  if (AreUpstreamsRelayed()) {
    RunAfter(settings_.relayCheckInterval_, &StoreWatch::PollUpstreams);
    return;
  }
  isUpstreamReadDue_ = false;
  const auto sentAt = clock_.Now();
  auto callback = [weak = weak_from_this(), sentAt](std::error_code aError,
                                                    const ChangeBatch& aBatch) {
    if (const auto self = weak.lock()) {
      self->OnUpstreams(sentAt, aError, aBatch);
    }
  };
  if (upstreams_) {
    store_.ReadChanges(
      ChangeStream::Upstreams, *upstreams_, std::chrono::milliseconds(0), callback);
  } else {
    store_.ReadAll(ChangeStream::Upstreams, callback);
  }
}

void
StoreWatch::OnUpstreams(TimePoint aSentAt, std::error_code aError, const ChangeBatch& aBatch)
{
  if (aError == make_error_code(StoreError::HistoryLost)) {
    LogEvent(LogLevel::Info, "history_lost", { { "stream", "upstreams" } });
    upstreams_.reset();
    RunAfter(kMinPollInterval, &StoreWatch::PollUpstreams);
    return;
  }
  if (aError) {
    RunAfter(RetryDelay(), &StoreWatch::PollUpstreams);
    return;
  }
  if (!aBatch.isComplete_) {
    ApplyUpstreams(std::nullopt, aBatch);
    RunAfter(kMinPollInterval, &StoreWatch::PollUpstreams);
    return;
  }
  ApplyUpstreams(aSentAt, aBatch);
  upstreamsReadAt_ = clock_.Now();
  if (isRelayed_) {
    RunAfter(settings_.relayCheckInterval_, &StoreWatch::PollUpstreams);
  } else {
    AwaitUpstreamRead();
  }
}

void
StoreWatch::AwaitUpstreamRead()
{
  auto dueAt = upstreamsReadAt_ + settings_.upstreamInterval_;
  if (isUpstreamReadDue_) {
    dueAt = upstreamsReadAt_ + kMinPollInterval;
  } else if (removalHoldEnd_) {
    dueAt = std::min(dueAt, std::max(*removalHoldEnd_, upstreamsReadAt_ + kMinPollInterval));
  }
  const Duration left = dueAt - clock_.Now();
  if (left > settings_.relayCheckInterval_) {
    // The interval may become shorter during the wait.
    RunAfter(settings_.relayCheckInterval_, &StoreWatch::AwaitUpstreamRead);
  } else {
    RunAfter(std::max(left, Duration::zero()), &StoreWatch::PollUpstreams);
  }
}

void
StoreWatch::HoldRemovals(TimePoint aRequestedAt, StoreEra aEra)
{
  const auto gap = aRequestedAt - upstreamsRequestedAt_;
  const bool wasAway = gap > longestInterval_ * kOutageIntervals;
  if (wasAway) {
    LogEvent(LogLevel::Info,
             "upstreams_read_again",
             { { "gap_ms", std::to_string(gap / std::chrono::milliseconds(1)) } });
  }
  if (EnterEra(upstreamsEra_, aEra) || wasAway) {
    removalHoldEnd_ = clock_.Now() + settings_.removalHoldTime_;
  }
}

void
StoreWatch::ApplyUpstreams(std::optional<TimePoint> aRequestedAt, const ChangeBatch& aBatch)
{
  bool mayFollowOutage = false;
  if (aRequestedAt) {
    HoldRemovals(*aRequestedAt, aBatch.era_);
    longestInterval_ = settings_.upstreamInterval_;
    upstreamsRequestedAt_ = std::max(upstreamsRequestedAt_, *aRequestedAt);
  } else {
    mayFollowOutage = clock_.Now() - upstreamsRequestedAt_ > longestInterval_ * kOutageIntervals;
  }
  upstreams_ = aBatch.Next();
  state_.ApplyUpstreams(aBatch, removalHoldEnd_ || mayFollowOutage);
  if (aRequestedAt && (!removalHoldEnd_ || *aRequestedAt >= *removalHoldEnd_)) {
    // Without a hold time, what an incomplete state deferred was removed before any outage.
    removalHoldEnd_.reset();
    state_.ApplyDeferredRemovals();
  }
  OnEra(aBatch.era_);
  ReadOperatorsInNewEra(aBatch.era_);
  onChange_();
}

void
StoreWatch::OnRelayedConfigAge(TimePoint aSentAt, StorePosition aNext, Duration aConfigAge)
{
  relayedOperators_ = std::max(relayedOperators_, aNext);
  OnPeerEra(aNext.era_);
  if (operators_ == aNext) {
    state_.OnConfigConfirmed(aSentAt - aConfigAge);
  } else if (operators_ && *operators_ < aNext) {
    isOperatorReadDue_ = true;
  }
}

void
StoreWatch::OnRelayedUpstreams(TimePoint aSentAt, const ChangeBatch& aBatch, Duration aAge)
{
  // An answer to an earlier query may arrive after this host has read the store itself, perhaps in
  // another era.
  if (upstreams_ && aBatch.era_ == upstreams_->era_ && aBatch.next_ >= upstreams_->next_) {
    const bool isComplete = aAge < kIncompletePageAge;
    ApplyUpstreams(isComplete ? std::optional(aSentAt - aAge) : std::nullopt, aBatch);
  }
}

void
StoreWatch::OnPeerEra(StoreEra aEra)
{
  if (upstreams_ && upstreams_->era_ < aEra) {
    isUpstreamReadDue_ = true;
  }
  ReadOperatorsInNewEra(aEra);
}

void
StoreWatch::OnPeerRestore(const StoreRestore& aRestore)
{
  state_.OnPeerRestore(aRestore.era_, clock_.Now() - aRestore.age_, settings_.removalHoldTime_);
}

std::optional<StoreRestore>
StoreWatch::Restore() const
{
  if (!restoredAt_ || clock_.Now() - *restoredAt_ >= settings_.removalHoldTime_) {
    return std::nullopt;
  }
  return StoreRestore{
    *era_, std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now() - *restoredAt_)
  };
}

WatchPosition
StoreWatch::Position() const
{
  return { operators_, upstreams_, clock_.Now() - upstreamsRequestedAt_ };
}

} // namespace laburnumweir
