/** @file once_world.cpp Hosts, readers, a faulty log and an upstream that counts runs. */
#include "once/once_world.h"

#include <algorithm>
#include <utility>

namespace laburnumweir::testing {

using std::chrono::milliseconds;

namespace {

constexpr Duration kTick = milliseconds(20);
/** The log keeps records for the dedupe window and a margin. */
constexpr Duration kMargin = std::chrono::seconds(3);
/** Most appends in a second. */
constexpr std::size_t kAppendRate = 40;
const WallTime kStart{ std::chrono::hours(1000) };

WallTime
WallAt(Duration aTime)
{
  return kStart + std::chrono::duration_cast<WallTime::duration>(aTime);
}

class HostClock : public Clock
{
public:
  HostClock(const Duration& aNow, Duration aWallError)
    : now_(aNow)
    , wallError_(aWallError)
  {
  }
  TimePoint Now() const override { return TimePoint(now_ + std::chrono::hours(1)); }
  WallTime WallNow() const override { return WallAt(now_ + wallError_); }

private:
  const Duration& now_; ///< True time.
  Duration wallError_;  ///< Error of the wall clock.
};

} // namespace

/** A host and its process. */
struct OnceWorld::Host
{
  /** A call without an end. */
  struct Open
  {
    std::size_t call_ = 0;          ///< Call.
    Duration thinks_{};             ///< Time between permit and sending.
    RunEnd end_ = RunEnd::Answered; ///< What the upstream does.
  };

  HostId name_;                              ///< Name.
  std::uint64_t life_ = 1;                   ///< Incarnation.
  Duration pausedUntil_{};                   ///< End of a pause.
  std::vector<std::function<void()>> inbox_; ///< What arrived during a pause.
  std::unique_ptr<HostClock> clock_;         ///< Clock.
  std::unique_ptr<OnceRequester> requester_; ///< Side of the callers.
  std::unique_ptr<OnceReader> owned_;        ///< Reader, if the host believes to be it.
  std::uint64_t folded_ = 0;                 ///< Newest change of the reader that it learned.
  std::size_t view_ = 0;                     ///< Host that it believes to be the reader.
  bool isAppending_ = false;                 ///< Whether an append is under way.
  bool isReading_ = false;                   ///< Whether a read is under way.
  std::map<OnceTicket, Open> open_;          ///< Calls without a verdict.
};

OnceWorld::OnceWorld(std::size_t aHosts, const OnceSettings& aSettings, std::uint64_t aSeed)
  : settings_(aSettings)
  , random_(aSeed)
{
  for (std::size_t i = 0; i < aHosts; ++i) {
    auto host = std::make_unique<Host>();
    host->name_ = HostId("host-" + std::to_string(i));
    const auto error = static_cast<std::int64_t>(random_.Below(1001)) - 500;
    host->clock_ = std::make_unique<HostClock>(now_, milliseconds(error));
    hosts_.push_back(std::move(host));
  }
  for (std::size_t i = 0; i < aHosts; ++i) {
    Host& host = *hosts_[i];
    host.requester_ =
      std::make_unique<OnceRequester>(host.name_, host.life_, *host.clock_, settings_);
    host.view_ = aHosts;
    Learn(i, reader_);
    At(kTick, [this, i] { TickHost(i, 1); });
  }
}

OnceWorld::~OnceWorld() = default;

void
OnceWorld::At(Duration aTime, std::function<void()> aAction)
{
  events_.emplace(std::pair(aTime, nextEvent_++), std::move(aAction));
}

void
OnceWorld::Run(Duration aTime)
{
  const Duration end = now_ + aTime;
  while (!events_.empty() && events_.begin()->first.first <= end) {
    auto event = events_.extract(events_.begin());
    now_ = std::max(now_, event.key().first);
    event.mapped()();
  }
  now_ = end;
}

void
OnceWorld::Deliver(std::size_t aHost, std::uint64_t aLife, const std::function<void()>& aAction)
{
  Host& host = *hosts_[aHost];
  if (host.life_ != aLife) {
    return;
  }
  if (host.pausedUntil_ > now_) {
    host.inbox_.push_back([this, aHost, aLife, aAction] {
      if (hosts_[aHost]->life_ == aLife) {
        aAction();
      }
    });
    return;
  }
  aAction();
}

void
OnceWorld::Transmit(std::size_t aTo, const std::function<void()>& aAction)
{
  if (Hits(faults_.messageLost_)) {
    return;
  }
  const int copies = Hits(faults_.messageDuplicated_) ? 2 : 1;
  const std::uint64_t life = hosts_[aTo]->life_;
  for (int i = 0; i < copies; ++i) {
    Duration delay = milliseconds(1 + random_.Below(3));
    if (Hits(faults_.messageDelayed_)) {
      delay += milliseconds(random_.Below(3000));
    }
    At(now_ + delay, [this, aTo, life, aAction] { Deliver(aTo, life, aAction); });
  }
}

void
OnceWorld::Pause(std::size_t aHost, Duration aTime)
{
  Host& host = *hosts_[aHost];
  if (host.pausedUntil_ > now_) {
    return;
  }
  host.pausedUntil_ = now_ + aTime;
  At(host.pausedUntil_, [this, aHost] {
    for (auto& action : std::exchange(hosts_[aHost]->inbox_, {})) {
      action();
    }
  });
}

void
OnceWorld::Restart(std::size_t aHost)
{
  Host& host = *hosts_[aHost];
  wasInterrupted_ = true;
  ++host.life_;
  host.inbox_.clear();
  host.pausedUntil_ = {};
  host.open_.clear();
  host.owned_.reset();
  host.isAppending_ = false;
  host.isReading_ = false;
  host.requester_ =
    std::make_unique<OnceRequester>(host.name_, host.life_, *host.clock_, settings_);
  host.view_ = hosts_.size();
  host.folded_ = changes_;
  Learn(aHost, reader_);
  const std::uint64_t life = host.life_;
  At(now_ + kTick, [this, aHost, life] { TickHost(aHost, life); });
}

void
OnceWorld::Learn(std::size_t aHost, std::size_t aReader)
{
  Host& host = *hosts_[aHost];
  if (host.view_ == aReader) {
    return;
  }
  host.view_ = aReader;
  if (aReader == aHost) {
    const ReaderId id(host.name_.Value() + "/" + std::to_string(nextReader_++));
    host.owned_ = std::make_unique<OnceReader>(id, *host.clock_, settings_);
    host.isAppending_ = false;
    host.isReading_ = false;
  } else {
    host.owned_.reset();
  }
}

void
OnceWorld::MoveReader(std::size_t aHost, Duration aLongest)
{
  reader_ = aHost;
  const std::uint64_t change = ++changes_;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const auto most = static_cast<std::uint64_t>(aLongest / milliseconds(1)) + 1;
    const std::uint64_t life = hosts_[i]->life_;
    At(now_ + milliseconds(random_.Below(most)), [this, i, life, aHost, change] {
      Deliver(i, life, [this, i, aHost, change] {
        if (hosts_[i]->folded_ < change) {
          hosts_[i]->folded_ = change;
          Learn(i, aHost);
        }
      });
    });
  }
}

void
OnceWorld::Append(const std::vector<NewRecord>& aRecords)
{
  for (const NewRecord& record : aRecords) {
    log_.push_back(LogRecord{ log_.size(), WallAt(now_), record.id_, record.data_ });
  }
}

ReadResult
OnceWorld::Read(LogOffset aFrom) const
{
  ReadResult result;
  result.end_ = log_.size();
  const WallTime oldest = WallAt(now_ - settings_.window_ - kMargin);
  result.first_ = static_cast<LogOffset>(
    std::partition_point(log_.begin(),
                         log_.end(),
                         [&](const LogRecord& aRecord) { return aRecord.appended_ < oldest; }) -
    log_.begin());
  for (LogOffset i = std::max(aFrom, result.first_); i < log_.size() && result.records_.size() < 8;
       ++i) {
    result.records_.push_back(log_[i]);
  }
  return result;
}

void
OnceWorld::DriveReader(std::size_t aHost)
{
  Host& host = *hosts_[aHost];
  const std::uint64_t life = host.life_;
  const OnceReader* tenure = host.owned_.get();
  const auto isSame = [this, aHost, tenure] { return hosts_[aHost]->owned_.get() == tenure; };
  if (!host.isAppending_) {
    const std::vector<NewRecord> records = host.owned_->TakeAppend();
    if (!records.empty()) {
      host.isAppending_ = true;
      while (!appends_.empty() && appends_.front() + std::chrono::seconds(1) <= now_) {
        appends_.pop_front();
      }
      AppendResult result = AppendResult::Done;
      if (logDownUntil_ > now_ || appends_.size() >= kAppendRate) {
        result = AppendResult::NoEffect;
      } else if (Hits(faults_.appendLost_)) {
        result = AppendResult::InDoubt;
      } else if (Hits(faults_.answerLost_)) {
        result = AppendResult::InDoubt;
        appends_.push_back(now_);
        At(now_ + milliseconds(random_.Below(2) * random_.Below(3000)),
           [this, records] { Append(records); });
      } else {
        appends_.push_back(now_);
        Append(records);
      }
      const Duration delay =
        result == AppendResult::InDoubt ? milliseconds(300) : milliseconds(1 + random_.Below(20));
      At(now_ + delay, [this, aHost, life, isSame, result] {
        Deliver(aHost, life, [this, aHost, isSame, result] {
          if (isSame()) {
            OnceOutput output;
            hosts_[aHost]->isAppending_ = false;
            hosts_[aHost]->owned_->OnAppend(result, output);
            Handle(aHost, output);
          }
        });
      });
    }
  }
  if (!host.isReading_) {
    host.isReading_ = true;
    const bool isFailed = logDownUntil_ > now_ || Hits(faults_.readFailed_);
    const ReadResult result = Read(host.owned_->NextOffset());
    At(now_ + milliseconds(1 + random_.Below(isFailed ? 200 : 20)),
       [this, aHost, life, isSame, isFailed, result] {
         Deliver(aHost, life, [this, aHost, isSame, isFailed, result] {
           if (isSame()) {
             OnceOutput output;
             hosts_[aHost]->isReading_ = false;
             if (!isFailed) {
               hosts_[aHost]->owned_->OnRead(result, output);
             }
             Handle(aHost, output);
           }
         });
       });
  }
}

void
OnceWorld::TickHost(std::size_t aHost, std::uint64_t aLife)
{
  Host& host = *hosts_[aHost];
  if (host.life_ != aLife) {
    return;
  }
  if (host.pausedUntil_ <= now_) {
    OnceRequesterOutput output;
    host.requester_->Tick(output);
    Handle(aHost, output);
    if (host.owned_) {
      OnceOutput readerOutput;
      host.owned_->Tick(readerOutput);
      Handle(aHost, readerOutput);
      DriveReader(aHost);
    }
  }
  At(std::max(now_ + kTick, host.pausedUntil_), [this, aHost, aLife] { TickHost(aHost, aLife); });
}

void
OnceWorld::Call(std::size_t aHost, std::size_t aKey, int aRequest, Duration aThinks, RunEnd aEnd)
{
  Host& host = *hosts_[aHost];
  if (host.pausedUntil_ > now_) {
    return;
  }
  calls_.push_back(OnceCall{ aKey, aRequest, aHost, host.life_, now_, {}, {}, 0, false });
  const OnceKey key = MakeOnceKey(WorkspaceId("w"), std::to_string(aKey));
  OnceRequesterOutput output;
  const OnceTicket ticket = host.requester_->Start(
    key, MakeRequestDigest("POST", "/bookings", std::to_string(aRequest)), output);
  host.open_.emplace(ticket, Host::Open{ calls_.size() - 1, aThinks, aEnd });
  Handle(aHost, output);
}

void
OnceWorld::Handle(std::size_t aHost, OnceRequesterOutput& aOutput)
{
  Host& host = *hosts_[aHost];
  for (const OnceMessage& message : aOutput.messages_) {
    const std::size_t to = host.view_;
    Transmit(to, [this, to, message] {
      OnceReader* reader = hosts_[to]->owned_.get();
      if (reader == nullptr) {
        return;
      }
      OnceOutput output;
      if (const auto* begin = std::get_if<OnceBegin>(&message)) {
        reader->Begin(*begin, output);
      } else {
        reader->Report(std::get<OnceReport>(message), output);
      }
      Handle(to, output);
    });
  }
  for (OnceVerdict& verdict : aOutput.verdicts_) {
    const auto open = host.open_.find(verdict.ticket_);
    OnceCall& call = calls_[open->second.call_];
    call.decision_ = verdict.decision_;
    call.outcome_ = verdict.outcome_;
    if (verdict.decision_ == OnceDecision::Permit) {
      Permitted(aHost, verdict, open->second.call_);
    }
    host.open_.erase(verdict.ticket_);
  }
}

void
OnceWorld::Permitted(std::size_t aHost, OnceVerdict& aVerdict, std::size_t aCall)
{
  const Host::Open open = hosts_[aHost]->open_.at(aVerdict.ticket_);
  const std::uint64_t life = hosts_[aHost]->life_;
  const auto permit = std::make_shared<OncePermit>(std::move(aVerdict.permit_));
  At(now_ + open.thinks_, [this, aHost, aCall, life, open, permit] {
    Deliver(aHost, life, [this, aHost, aCall, life, open, permit] {
      Host& host = *hosts_[aHost];
      OnceCall& call = calls_[aCall];
      const OnceKey key = MakeOnceKey(WorkspaceId("w"), std::to_string(call.key_));
      std::optional<OnceOutcome> outcome;
      if (permit->Use(*host.clock_, host.life_) && open.end_ != RunEnd::Refused) {
        ++call.runs_;
        outcome = OnceOutcome{ 201, { { "X-Run", std::to_string(runs_.size()) } }, "booked", true };
        runs_.push_back(OnceRun{ call.key_, call.request_, now_, *outcome });
        if (open.end_ == RunEnd::Lost) {
          return;
        }
      } else {
        call.isReleased_ = true;
      }
      At(now_ + milliseconds(50), [this, aHost, life, key, permit, outcome] {
        Deliver(aHost, life, [this, aHost, key, permit, outcome] {
          OnceRequesterOutput output;
          hosts_[aHost]->requester_->Finish(key, permit->Attempt(), outcome, output);
          Handle(aHost, output);
        });
      });
    });
  });
}

void
OnceWorld::Handle(std::size_t /*aHost*/, const OnceOutput& aOutput)
{
  const auto hostOf = [this](const AttemptId& aAttempt) {
    const std::string name = aAttempt.Value().substr(0, aAttempt.Value().find('/'));
    std::size_t i = 0;
    while (hosts_[i]->name_.Value() != name) {
      ++i;
    }
    return i;
  };
  for (const OnceAnswer& answer : aOutput.answers_) {
    const std::size_t to = hostOf(answer.attempt_);
    Transmit(to, [this, to, answer] {
      OnceRequesterOutput output;
      hosts_[to]->requester_->Receive(answer, output);
      Handle(to, output);
    });
  }
  for (const OnceStored& stored : aOutput.stored_) {
    const std::size_t to = hostOf(stored.attempt_);
    Transmit(to, [this, to, stored] { hosts_[to]->requester_->Receive(stored); });
  }
}

std::string
OnceWorld::Check() const
{
  std::map<std::size_t, Duration> last;
  for (const OnceRun& run : runs_) {
    const auto [previous, isFirst] = last.emplace(run.key_, run.at_);
    if (!isFirst) {
      // A run may start as late as the permit allows, so two runs can be closer by that much.
      if (run.at_ - previous->second < settings_.window_ - settings_.permitValidity_) {
        return "key " + std::to_string(run.key_) + " ran twice within the window";
      }
      previous->second = run.at_;
    }
  }
  for (const OnceCall& call : calls_) {
    const std::string name = "call for key " + std::to_string(call.key_);
    const bool isPermitted = call.decision_ == OnceDecision::Permit;
    if (call.runs_ > (isPermitted ? 1 : 0)) {
      return name + " ran " + std::to_string(call.runs_) + " times";
    }
    const Host& host = *hosts_[call.host_];
    const bool isAlive = host.life_ == call.life_ && host.pausedUntil_ <= now_;
    if (isAlive && !call.decision_ &&
        call.started_ + settings_.maxWait_ + milliseconds(40) < now_) {
      return name + " has no answer";
    }
    if (call.decision_ == OnceDecision::Replay) {
      const bool isTrue = std::any_of(runs_.begin(), runs_.end(), [&](const OnceRun& aRun) {
        return aRun.key_ == call.key_ && aRun.request_ == call.request_ &&
               aRun.outcome_ == call.outcome_;
      });
      if (!isTrue) {
        return name + " was told of a run that did not happen";
      }
    }
    if (call.decision_ == OnceDecision::Unknown || call.decision_ == OnceDecision::OtherRequest) {
      const bool hasOther = std::any_of(calls_.begin(), calls_.end(), [&](const OnceCall& aOther) {
        return &aOther != &call && aOther.key_ == call.key_;
      });
      if (!hasOther) {
        return name + " was told of another request, and there was none";
      }
    }
  }
  return {};
}

} // namespace laburnumweir::testing
