/** @file store_watch.cpp Keeps the state of the fleet current from the store. */
#include "gateway/store_watch.h"

#include "logging/logging_func.h"
#include "table/fleet_const.h"

#include <algorithm>

namespace laburnumweir {

namespace {

// Least time between two polls, in case the store answers at once although nothing is new.
constexpr Duration kLeastPollGap = std::chrono::milliseconds(20);
// Reads that fail for this many intervals are an outage, during which entries may lapse.
constexpr int kOutageIntervals = 3;
// Entries told by a reader may be older than its interval of reading by this time, which covers two
// lost datagrams.
constexpr Duration kRelayDelay = 2 * kGossipInterval;

} // namespace

StoreWatch::StoreWatch(FleetStore& aStore,
                       FleetState& aState,
                       const Clock& aClock,
                       Scheduler& aScheduler,
                       WatchSettings aSettings,
                       std::function<void()> aOnChange)
  : store_(aStore)
  , state_(aState)
  , clock_(aClock)
  , scheduler_(aScheduler)
  , settings_(aSettings)
  , onChange_(std::move(aOnChange))
{
}

void
StoreWatch::Start()
{
  upstreamsRead_ = clock_.Now();
  upstreamsAsked_ = upstreamsRead_;
  PollOperators();
  PollUpstreams();
}

void
StoreWatch::After(Duration aDelay, void (StoreWatch::*aStep)())
{
  scheduler_.After(aDelay, [weak = weak_from_this(), aStep] {
    if (const auto self = weak.lock()) {
      (self.get()->*aStep)();
    }
  });
}

void
StoreWatch::PollOperators()
{
  if (isRelayed_ && operators_ && !isOperatorReadDue_ && state_.ProofAge() <= kRelayedProofAge) {
    // The proof of a reader is not older than a long poll would be at its end.
    wait_ = std::chrono::milliseconds(0);
    After(settings_.relayCheck_, &StoreWatch::PollOperators);
    return;
  }
  isOperatorReadDue_ = false;
  const auto asked = clock_.Now();
  auto callback = [weak = weak_from_this(), asked](std::error_code aError,
                                                   const ChangeBatch& aBatch) {
    if (const auto self = weak.lock()) {
      self->OnOperators(asked, aError, aBatch);
    }
  };
  if (operators_) {
    store_.ReadChanges(ChangeStream::Operators, *operators_, wait_, callback);
  } else {
    store_.ReadAll(ChangeStream::Operators, callback);
  }
}

void
StoreWatch::OnOperators(TimePoint aAsked, std::error_code aError, const ChangeBatch& aBatch)
{
  if (aError == make_error_code(StoreError::HistoryLost)) {
    LogEvent(LogLevel::Info, "history_lost", { { "stream", "operators" } });
    operators_.reset();
    After(kLeastPollGap, &StoreWatch::PollOperators);
    return;
  }
  if (isConnected_ != !aError) {
    isConnected_ = !aError;
    LogEvent(
      isConnected_ ? LogLevel::Info : LogLevel::Warn,
      isConnected_ ? "store_regained" : "store_lost",
      { { "error", aError ? aError.message() : "" },
        { "call_ms", std::to_string((clock_.Now() - aAsked) / std::chrono::milliseconds(1)) } });
  }
  if (aError) {
    After(RetryDelay(), &StoreWatch::PollOperators);
    return;
  }
  // The store answers a poll as soon as there is a record, so one that ends without any proves that
  // there was none during the whole wait.
  const bool isQuiet = operators_ == aBatch.next_ && clock_.Now() - aAsked >= wait_;
  operators_ = aBatch.next_;
  state_.NoteProof(isQuiet ? aAsked + wait_ : aAsked);
  // An answer with records proves only its question, which may be a whole wait ago; the next one
  // proves the present.
  wait_ = isQuiet ? settings_.configWait_ : std::chrono::milliseconds(0);
  state_.ApplyOperators(aBatch);
  onChange_();
  // Without a configuration there is nothing to wait for in the topic, which may not exist yet.
  if (!state_.Routes()) {
    operators_.reset();
    After(settings_.retryDelay_, &StoreWatch::PollOperators);
    return;
  }
  After(kLeastPollGap, &StoreWatch::PollOperators);
}

bool
StoreWatch::AreUpstreamsRelayed() const
{
  return isRelayed_ && upstreams_ && !isUpstreamReadDue_ &&
         clock_.Now() - upstreamsAsked_ <= settings_.upstreamInterval_ + kRelayDelay;
}

void
StoreWatch::PollUpstreams()
{
  if (flushAt_ && clock_.Now() >= *flushAt_) {
    flushAt_.reset();
    state_.FlushRemovals();
    onChange_();
  }
  if (AreUpstreamsRelayed()) {
    After(settings_.relayCheck_, &StoreWatch::PollUpstreams);
    return;
  }
  isUpstreamReadDue_ = false;
  const auto asked = clock_.Now();
  auto callback = [weak = weak_from_this(), asked](std::error_code aError,
                                                   const ChangeBatch& aBatch) {
    if (const auto self = weak.lock()) {
      self->OnUpstreams(asked, aError, aBatch);
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
StoreWatch::OnUpstreams(TimePoint aAsked, std::error_code aError, const ChangeBatch& aBatch)
{
  if (aError == make_error_code(StoreError::HistoryLost)) {
    LogEvent(LogLevel::Info, "history_lost", { { "stream", "upstreams" } });
    upstreams_.reset();
    After(kLeastPollGap, &StoreWatch::PollUpstreams);
    return;
  }
  if (aError) {
    After(RetryDelay(), &StoreWatch::PollUpstreams);
    return;
  }
  FoldUpstreams(aAsked, aBatch);
  After(isRelayed_ ? settings_.relayCheck_ : settings_.upstreamInterval_,
        &StoreWatch::PollUpstreams);
}

void
StoreWatch::FoldUpstreams(TimePoint aAsked, const ChangeBatch& aBatch)
{
  const auto now = clock_.Now();
  if (now - upstreamsRead_ > settings_.upstreamInterval_ * kOutageIntervals) {
    LogEvent(
      LogLevel::Info,
      "upstreams_read_again",
      { { "gap_ms", std::to_string((now - upstreamsRead_) / std::chrono::milliseconds(1)) } });
    flushAt_ = now + settings_.returnGrace_;
  }
  upstreamsRead_ = now;
  upstreamsAsked_ = std::max(upstreamsAsked_, aAsked);
  upstreams_ = aBatch.next_;
  state_.ApplyUpstreams(aBatch, flushAt_.has_value());
  onChange_();
}

void
StoreWatch::OnRelayedProof(TimePoint aAsked, LogOffset aNext, Duration aProofAge)
{
  if (operators_ == aNext) {
    state_.NoteProof(aAsked - aProofAge);
  } else if (operators_ && *operators_ < aNext) {
    isOperatorReadDue_ = true;
  }
}

void
StoreWatch::OnRelayedUpstreams(TimePoint aAsked, const ChangeBatch& aBatch, Duration aAge)
{
  // An answer to an earlier question may come after a read of this host's own.
  if (upstreams_ && aBatch.next_ >= *upstreams_) {
    FoldUpstreams(aAsked - aAge, aBatch);
  }
}

WatchPosition
StoreWatch::Position() const
{
  return { operators_, upstreams_, clock_.Now() - upstreamsAsked_ };
}

} // namespace laburnumweir
