/** @file config_service.cpp Follows the configuration stream and publishes the agreed state. */
#include "control/config_service.h"

#include "logging/logging_func.h"
#include "peer/wire.pb.h"
#include "state/config_codec_func.h"

#include <algorithm>

namespace laburnumweir {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxReadRecords = 500;
// Shorter than the freshness bound, so that evidence is renewed in time while nothing changes.
constexpr std::chrono::milliseconds kReadWait = 800ms;
constexpr Duration kReadRetry = 200ms;
constexpr Duration kFetchTimeout = 2s;

} // namespace

ConfigService::ConfigService(PeerRouter& aRouter,
                             const Clock& aClock,
                             Scheduler& aScheduler,
                             LogClient& aLog,
                             StatePublisher& aPublisher,
                             Metrics& aMetrics,
                             const FreshnessSettings& aFreshness,
                             const SnapshotSettings& aSnapshots,
                             RandomSource& aRandom)
  : router_(aRouter)
  , clock_(aClock)
  , scheduler_(aScheduler)
  , log_(aLog)
  , publisher_(aPublisher)
  , metrics_(aMetrics)
  , freshness_({ aRouter.Self(), 0 }, aFreshness)
  , freshnessSettings_(aFreshness)
  , snapshots_(aSnapshots)
  , random_(aRandom)
{
  router_.Handle(wire::Envelope::kFetchState,
                 [this](const wire::Envelope&, const PeerTransport::Responder& aRespond) {
                   ServeState(aRespond);
                 });
}

void
ConfigService::Start()
{
  Read();
}

bool
ConfigService::MayAct() const
{
  const ConfigState* state = State();
  return state != nullptr && !isStopped_ && clock_.Now() < freshUntil_ &&
         state->IsMember(router_.Self(), incarnation_);
}

TimePoint
ConfigService::Evidence() const
{
  return freshUntil_ - freshnessSettings_.Within(freshnessSettings_.bound_);
}

bool
ConfigService::IsMembershipKnown(LogOffset aOffset) const
{
  const ConfigState* state = State();
  return state != nullptr &&
         laburnumweir::IsMembershipKnown(
           *state, progress_, SelfLife(), freshnessSettings_, aOffset, clock_.Now());
}

void
ConfigService::SetIncarnation(Incarnation aIncarnation)
{
  incarnation_ = aIncarnation;
  router_.SetIncarnation(aIncarnation);
  freshness_.OnNewLife({ router_.Self(), aIncarnation });
  if (const ConfigState* state = State()) {
    freshness_.OnState(state->NextOffset(), state->Members());
  }
  Publish();
}

void
ConfigService::SetDraining()
{
  isDraining_ = true;
  Publish();
}

void
ConfigService::StopAdmitting()
{
  isStopped_ = true;
  Publish();
}

void
ConfigService::Read()
{
  const TimePoint sentAt = clock_.Now();
  // Without evidence the answer is wanted at once.
  const bool isFresh = clock_.Now() < freshUntil_;
  const auto wait = isFresh ? kReadWait : std::chrono::milliseconds(0);
  log_.Read(
    kConfigStream,
    reader_.WantedOffset(),
    kMaxReadRecords,
    wait,
    [this, weak = weak_from_this(), sentAt](std::error_code aError, const ReadResult& aResult) {
      if (weak.expired()) {
        return;
      }
      if (aError == std::error_code()) {
        if (!isLogReadable_) {
          LogEvent(LogLevel::Info, "log_readable");
        }
        isLogReadable_ = true;
        OnRead(sentAt, aResult);
        Read();
        return;
      }
      if (isLogReadable_) {
        LogEvent(LogLevel::Warn, "log_unreadable", { { "error", aError.message() } });
      }
      isLogReadable_ = false;
      Publish();
      scheduler_.After(kReadRetry, [this, weak] {
        if (!weak.expired()) {
          Read();
        }
      });
    });
}

void
ConfigService::OnRead(TimePoint aSentAt, const ReadResult& aResult)
{
  streamEnd_ = aResult.end_;
  if (!reader_.OnExtent(aResult.first_)) {
    metrics_.GetCounter("laburnumweir_config_gaps_total").Add();
    LogEvent(LogLevel::Warn, "config_gap", { { "first", std::to_string(aResult.first_) } });
    freshness_.OnStateLost();
    Publish();
    return;
  }
  if (State() != nullptr && !copy_) {
    AfterJump();
  }
  for (const auto& record : aResult.records_) {
    const bool hadState = State() != nullptr;
    const FoldOutcome outcome = reader_.Add(record.offset_, record.data_);
    metrics_.GetCounter("laburnumweir_config_records_total").Add();
    if (State() == nullptr) {
      continue;
    }
    if (hadState) {
      AfterRecord(record, outcome);
    } else {
      AfterJump();
    }
  }
  if (State() != nullptr) {
    freshness_.OnState(State()->NextOffset(), State()->Members());
    freshness_.OnLogAnswer(aSentAt, aResult.end_);
  }
  Publish();
}

void
ConfigService::NoteProgress()
{
  progress_.OnState(*State(), clock_.Now());
  progress_.OnHeard(SelfLife(), State()->NextOffset());
}

void
ConfigService::AfterRecord(const LogRecord& aRecord, const FoldOutcome& aOutcome)
{
  const ConfigState& state = *State();
  router_.SetOffset(state.NextOffset());
  NoteProgress();
  if (!aOutcome.rulesChanged_ && !aOutcome.membershipChanged_) {
    return;
  }
  freshness_.OnState(state.NextOffset(), state.Members());
  for (ConfigListener* listener : listeners_) {
    listener->OnRecord(state);
  }
  LogEvent(LogLevel::Info,
           aOutcome.rulesChanged_ ? "rules_changed" : "membership_changed",
           { { "offset", std::to_string(aRecord.offset_) },
             { "members", std::to_string(state.Members().size()) } });
}

void
ConfigService::AfterJump()
{
  const ConfigState& state = *State();
  router_.SetOffset(state.NextOffset());
  NoteProgress();
  freshness_.OnState(state.NextOffset(), state.Members());
  for (ConfigListener* listener : listeners_) {
    listener->OnJump(state);
  }
}

void
ConfigService::Tick()
{
  Publish();
  const ConfigState* state = State();
  if (state == nullptr) {
    return;
  }
  for (ConfigListener* listener : listeners_) {
    listener->OnTick(*state);
  }
  if (isSnapshotting_ || isDraining_ || !isLogReadable_ || !MayAct()) {
    return;
  }
  if (snapshots_.ShouldAppend(*state, router_.Self(), clock_.Now(), clock_.WallNow(), random_)) {
    AppendSnapshot();
  }
}

void
ConfigService::AppendSnapshot()
{
  isSnapshotting_ = true;
  const std::string data = EncodeRecord(MakeSnapshot(*State(), clock_.WallNow()));
  std::vector<NewRecord> records;
  records.push_back(
    { "snapshot/" + router_.Self().Value() + "/" + std::to_string(State()->NextOffset()), data });
  LogEvent(LogLevel::Info, "snapshot", { { "through", std::to_string(State()->NextOffset()) } });
  log_.Append(
    kConfigStream, std::move(records), [this, weak = weak_from_this()](std::error_code, LogOffset) {
      if (!weak.expired()) {
        // If it failed it stays due and is appended again.
        isSnapshotting_ = false;
      }
    });
}

void
ConfigService::SetPendingAppend(bool aIsPending)
{
  freshness_.SetPendingAppend(aIsPending);
  hasPendingAppend_ = aIsPending;
}

void
ConfigService::OnHeartbeatAnswer(const HostLife& aPeer,
                                 TimePoint aSentAt,
                                 const wire::HeartbeatAnswer& aAnswer)
{
  PeerAnswer answer;
  answer.life_ = aPeer;
  answer.asked_ = aSentAt;
  answer.hasState_ = aAnswer.has_state();
  answer.next_ = aAnswer.folded();
  answer.hasPendingAppend_ = aAnswer.has_pending_append();
  if (aAnswer.has_log_age()) {
    answer.logAge_ = Duration(aAnswer.log_age_ns());
  }
  freshness_.OnPeerAnswer(answer);
  const ConfigState* state = State();
  const LogOffset own = state == nullptr ? 0 : state->NextOffset();
  // The log gives the records in sequence; the peer's state is needed only if it cannot be read.
  if (aAnswer.has_state() && aAnswer.folded() > own && !isLogReadable_) {
    FetchFrom(aPeer.host_);
  }
  Publish();
}

void
ConfigService::FillHeartbeatAnswer(wire::HeartbeatAnswer& aAnswer) const
{
  const ConfigState* state = State();
  // A host that has stopped admitting must not confirm the state of others: its leave record may be
  // folded elsewhere already.
  aAnswer.set_has_state(state != nullptr && !isStopped_);
  aAnswer.set_folded(state == nullptr ? 0 : state->NextOffset());
  const auto age = freshness_.LogAge(clock_.Now());
  aAnswer.set_has_log_age(age.has_value());
  aAnswer.set_log_age_ns(age.value_or(Duration(0)).count());
  aAnswer.set_has_pending_append(hasPendingAppend_);
  aAnswer.set_is_leaving(isDraining_);
}

void
ConfigService::FetchFrom(const HostId& aPeer)
{
  if (isFetching_) {
    return;
  }
  isFetching_ = true;
  wire::Envelope message;
  message.mutable_fetch_state();
  router_.Ask(
    aPeer,
    std::move(message),
    kFetchTimeout,
    [this, weak = weak_from_this()](std::error_code aError, const wire::Envelope& aAnswer) {
      if (weak.expired()) {
        return;
      }
      isFetching_ = false;
      if (aError || !aAnswer.has_state_answer() || !aAnswer.state_answer().has_state()) {
        return;
      }
      if (reader_.Adopt(aAnswer.state_answer().snapshot())) {
        LogEvent(
          LogLevel::Info,
          "state_fetched",
          { { "peer", aAnswer.sender() }, { "offset", std::to_string(State()->NextOffset()) } });
        AfterJump();
        Publish();
      }
    });
}

void
ConfigService::ServeState(const PeerTransport::Responder& aRespond)
{
  wire::Envelope answer;
  auto& body = *answer.mutable_state_answer();
  const ConfigState* state = State();
  body.set_has_state(state != nullptr);
  if (state != nullptr) {
    body.set_folded(state->NextOffset());
    body.set_snapshot(EncodeRecord(SnapshotRecord{ state->Image() }));
  }
  aRespond(std::move(answer));
}

bool
ConfigService::LacksSnapshot() const
{
  return isLogReadable_ && State() == nullptr && reader_.Status() != ReaderStatus::Unsupported;
}

std::string
ConfigService::NotReadyReason() const
{
  if (isDraining_) {
    return "draining";
  }
  if (reader_.Status() == ReaderStatus::Unsupported) {
    return "the configuration was written by a newer release";
  }
  if (State() == nullptr) {
    return isLogReadable_ ? "the configuration stream holds no snapshot; run rules apply --init"
                          : "the configuration was not read: the log does not answer";
  }
  if (!State()->IsMember(router_.Self(), incarnation_)) {
    return "this host has not joined yet";
  }
  if (!MayAct()) {
    return "the configuration is not fresh (" + std::string(ToString(freshness_.Mode())) +
           "): neither the log nor enough peers confirm it";
  }
  return {};
}

void
ConfigService::Publish()
{
  const ConfigState* state = State();
  freshUntil_ = freshness_.Update(clock_.Now());
  if (state == nullptr) {
    copy_.reset();
  } else if (!copy_ || copy_->NextOffset() != state->NextOffset()) {
    copy_ = std::make_shared<const ConfigState>(*state);
  }
  PublishedState published;
  published.config_ = copy_;
  published.isDraining_ = isDraining_;
  if (state != nullptr && !isStopped_ && state->IsMember(router_.Self(), incarnation_)) {
    published.freshUntil_ = freshUntil_;
    published.evidence_ = Evidence();
  }
  publisher_.Publish(std::move(published));
  const std::string reason = NotReadyReason();
  if (reason.empty() != wasReady_) {
    wasReady_ = reason.empty();
    LogEvent(wasReady_ ? LogLevel::Info : LogLevel::Warn,
             wasReady_ ? "ready" : "not_ready",
             { { "reason", reason } });
  }
}

} // namespace laburnumweir
