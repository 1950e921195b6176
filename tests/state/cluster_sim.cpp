/** @file cluster_sim.cpp Several hosts in memory with a fake log, a fake clock and an oracle. */
#include "state/cluster_sim.h"

#include "rules/rule_parser_func.h"
#include "state/config_codec_func.h"

#include <algorithm>
#include <stdexcept>

namespace laburnumweir::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kInterval = milliseconds(500);
constexpr Duration kAppendTimeout = seconds(1);

void
Require(bool aHolds, const std::string& aWhat)
{
  if (!aHolds) {
    throw std::runtime_error(aWhat);
  }
}

} // namespace

void
Oracle::OnAppend(const ConfigRecord& aRecord)
{
  const auto* change = std::get_if<ChangeRecord>(&aRecord);
  if (change != nullptr && !verdicts_.contains(change->id_)) {
    const std::optional<LogOffset> base =
      change->base_ == kNoRevision ? std::nullopt : std::optional(change->base_);
    verdicts_[change->id_] = std::nullopt;
    if (base == revision_) {
      ++winners_[base];
      verdicts_[change->id_] = next_;
      revision_ = next_;
      for (const RuleIdentity& identity : change->removed_) {
        lines_.erase(identity);
      }
      for (const RecordedLine& line : change->set_) {
        lines_[line.identity_] = line.text_;
      }
    }
  }
  ++next_;
  std::string text;
  for (const auto& [identity, line] : lines_) {
    text += line + "\n";
  }
  texts_.push_back(std::move(text));
}

std::optional<LogOffset>
Oracle::ValidAt(const std::string& aId) const
{
  const auto found = verdicts_.find(aId);
  return found == verdicts_.end() ? std::nullopt : found->second;
}

bool
Oracle::IsRejected(const std::string& aId) const
{
  const auto found = verdicts_.find(aId);
  return found != verdicts_.end() && !found->second;
}

int
Oracle::MostWinners() const
{
  int most = 0;
  for (const auto& [base, count] : winners_) {
    most = std::max(most, count);
  }
  return most;
}

Cluster::Cluster(std::uint64_t aSeed)
  : random_(aSeed)
{
  settings_.outageBound_ = seconds(8);
  for (int i = 0; i < kHosts; ++i) {
    hosts_.at(i).id_ = HostId("h" + std::to_string(i));
    // Two clocks differ by at most 4.1% in rate, within the error bound of 5%.
    hosts_.at(i).rate_ = 0.98 + 0.01 * static_cast<double>(random_.Below(5));
  }
}

TimePoint
Cluster::Local(const Host& aHost) const
{
  const auto ticks = static_cast<double>(now_.time_since_epoch().count()) * aHost.rate_;
  return TimePoint(Duration(static_cast<Duration::rep>(ticks)));
}

Duration
Cluster::Delay()
{
  const std::uint64_t most = random_.Below(16) == 0 ? 1500 : 25;
  return milliseconds(1 + random_.Below(most));
}

void
Cluster::Post(Duration aDelay, int aHost, std::function<void()> aAction)
{
  const std::uint64_t process = aHost < 0 ? 0 : hosts_.at(aHost).process_;
  events_.emplace(now_ + aDelay, Event{ aHost, process, std::move(aAction) });
}

void
Cluster::Run(Event aEvent)
{
  if (aEvent.host_ >= 0) {
    Host& host = hosts_.at(aEvent.host_);
    if (!host.isUp_ || host.process_ != aEvent.process_) {
      return;
    }
    if (host.pausedUntil_ > now_) {
      const TimePoint resume = host.pausedUntil_;
      events_.emplace(resume, std::move(aEvent));
      return;
    }
    aEvent.action_();
    Evaluate(aEvent.host_);
  } else {
    aEvent.action_();
  }
  CheckAdmissions();
}

void
Cluster::Advance(Duration aTime)
{
  const TimePoint end = now_ + aTime;
  while (!events_.empty() && events_.begin()->first <= end) {
    auto node = events_.extract(events_.begin());
    now_ = std::max(now_, node.key());
    Run(std::move(node.mapped()));
  }
  now_ = end;
  CheckAdmissions();
}

void
Cluster::Kill(int aHost)
{
  hosts_.at(aHost).isUp_ = false;
  hosts_.at(aHost).operations_.clear();
}

void
Cluster::Start(int aHost)
{
  Host& host = hosts_.at(aHost);
  host.isUp_ = true;
  ++host.process_;
  host.pausedUntil_ = TimePoint();
  host.incarnation_ = MakeIncarnation(0, WallTime(now_.time_since_epoch()), random_);
  host.reader_ = ConfigReader();
  const HostLife life{ host.id_, host.incarnation_ };
  host.freshness_ = std::make_unique<FreshnessTracker>(life, settings_);
  LivenessSettings liveness;
  liveness.interval_ = kInterval;
  host.liveness_ = std::make_unique<LivenessTracker>(life, liveness);
  SnapshotSettings snapshots;
  snapshots.records_ = 6;
  snapshots.step_ = milliseconds(300);
  host.snapshots_ = std::make_unique<SnapshotScheduler>(snapshots);
  host.progress_ = HostProgress();
  host.operations_.clear();
  host.freshUntil_ = TimePoint::min();
  host.published_ = 0;
  host.joinSent_ = TimePoint::min();
  host.gaps_ = 0;
  Post(Delay(), aHost, [this, aHost] { Tick(aHost); });
}

void
Cluster::Pause(int aHost, Duration aTime)
{
  hosts_.at(aHost).pausedUntil_ = now_ + aTime;
  // The first thing after the pause is an attempt to admit, before any message is read.
  events_.emplace(now_ + aTime, Event{ -1, 0, [] {} });
}

void
Cluster::Leave(int aHost)
{
  Host& host = hosts_.at(aHost);
  host.isUp_ = false;
  host.operations_.clear();
  if (isLogUp_ && !logCut_.at(aHost)) {
    Store(LeaveRecord{ host.id_, host.incarnation_ });
  }
}

void
Cluster::Expire(int aCount)
{
  first_ = std::min(first_ + static_cast<LogOffset>(aCount), std::max(first_, needed_));
}

void
Cluster::Apply(int aHost, std::optional<Duration> aLimit)
{
  Host& host = hosts_.at(aHost);
  const ConfigState* state = host.reader_.State();
  if (!host.isUp_ || host.pausedUntil_ > now_ || state == nullptr) {
    return;
  }
  const std::string id = "c" + std::to_string(++changes_);
  const std::string name = "d" + std::to_string(random_.Below(3));
  RuleBook wanted = state->Book();
  if (random_.Below(4) != 0 || !wanted.Remove({ "datacentre", name })) {
    std::optional<RuleLine> line;
    ParseRuleLine("datacentre " + name + " in # " + id, 1, line);
    wanted.Set(std::move(*line));
  }
  ChangePlan plan = PlanChange(*state, wanted, state->Revision(), id, "ana");
  Require(!plan.error_, "a plan on the newest revision is refused: " + plan.error_.message());
  Operation operation;
  operation.record_ = plan.record_;
  const Duration limit = aLimit.value_or(seconds(4 + random_.Below(21)));
  operation.tracker_ = std::make_unique<AcceptanceTracker>(
    id, HostLife{ host.id_, host.incarnation_ }, settings_, Local(host) + limit);
  operation.sent_ = Local(host);
  host.operations_.push_back(std::move(operation));
  host.freshness_->SetPendingAppend(true);
  Append(aHost, plan.record_, [](bool /*aIsDone*/) {});
}

void
Cluster::Tick(int aHost)
{
  Host& host = hosts_.at(aHost);
  host.liveness_->Tick(Local(host));
  ReadLog(aHost);
  for (int peer = 0; peer < kHosts; ++peer) {
    if (peer != aHost) {
      Ask(aHost, peer);
    }
  }
  const ConfigState* state = host.reader_.State();
  if (state == nullptr) {
    const auto peer = static_cast<int>(random_.Below(kHosts));
    if (peer != aHost) {
      FetchState(aHost, peer);
    }
  } else {
    if (!state->IsMember(host.id_, host.incarnation_)) {
      if (host.joinSent_ == TimePoint::min() || Local(host) - host.joinSent_ > kAppendTimeout) {
        const Incarnation last = state->LastIncarnation(host.id_);
        if (last >= host.incarnation_) {
          host.incarnation_ = MakeIncarnation(last, WallTime(now_.time_since_epoch()), random_);
          host.freshness_->OnNewLife(HostLife{ host.id_, host.incarnation_ });
          host.liveness_->SetSelf(HostLife{ host.id_, host.incarnation_ });
        }
        host.joinSent_ = Local(host);
        Append(aHost,
               JoinRecord{ host.id_, host.incarnation_, "127.0.0.1", 1, DataCentreId("d0") },
               [](bool /*aIsDone*/) {});
      }
    } else {
      for (const HostLife& life : host.liveness_->Removals(Local(host))) {
        ++counts_.removed_;
        Append(aHost,
               RemoveRecord{ life.host_, life.incarnation_, host.id_, host.incarnation_ },
               [](bool /*aIsDone*/) {});
      }
    }
    if (host.snapshots_->ShouldAppend(
          *state, host.id_, Local(host), WallTime(now_.time_since_epoch()), random_)) {
      Append(
        aHost, MakeSnapshot(*state, WallTime(now_.time_since_epoch())), [](bool /*aIsDone*/) {});
    }
  }
  Post(kInterval, aHost, [this, aHost] { Tick(aHost); });
}

void
Cluster::ReadLog(int aHost)
{
  const TimePoint asked = Local(hosts_.at(aHost));
  const LogOffset wanted = hosts_.at(aHost).reader_.WantedOffset();
  if (logCut_.at(aHost)) {
    return;
  }
  const std::uint64_t process = hosts_.at(aHost).process_;
  Post(Delay(), -1, [this, aHost, asked, wanted, process] {
    if (!isLogUp_ || logCut_.at(aHost) || hosts_.at(aHost).process_ != process) {
      return;
    }
    const LogOffset from = std::min<LogOffset>(std::max(wanted, first_), log_.size());
    std::vector<std::string> records(log_.begin() + static_cast<std::ptrdiff_t>(from), log_.end());
    Post(Delay(), aHost, [this, aHost, asked, first = first_, from, records = std::move(records)] {
      OnRead(aHost, asked, first, from, records);
    });
  });
}

void
Cluster::OnRead(int aHost,
                TimePoint aAsked,
                LogOffset aFirst,
                LogOffset aFrom,
                const std::vector<std::string>& aRecords)
{
  Host& host = hosts_.at(aHost);
  if (!host.reader_.OnExtent(aFirst)) {
    host.freshness_->OnStateLost();
    host.freshUntil_ = TimePoint::min();
  }
  LogOffset offset = aFrom;
  for (const std::string& record : aRecords) {
    if (host.reader_.Add(offset, record).status_ == FoldStatus::Gap) {
      break;
    }
    ++offset;
  }
  counts_.gaps_ += host.reader_.GapCount() - host.gaps_;
  host.gaps_ = host.reader_.GapCount();
  OnState(aHost);
  host.freshness_->OnLogAnswer(aAsked, aFrom + aRecords.size());
  // After a timeout the answer of a later read decides whether the append took effect.
  for (Operation& operation : host.operations_) {
    const ConfigState* state = host.reader_.State();
    if (!operation.isOver_ && operation.isInDoubt_ && state != nullptr &&
        state->FindChange(operation.record_.id_) == nullptr &&
        aAsked - operation.sent_ > kAppendTimeout) {
      operation.sent_ = Local(host);
      Append(aHost, operation.record_, [](bool /*aIsDone*/) {});
    }
  }
}

void
Cluster::OnState(int aHost)
{
  Host& host = hosts_.at(aHost);
  const ConfigState* state = host.reader_.State();
  if (state == nullptr) {
    host.freshness_->OnStateLost();
    host.freshUntil_ = TimePoint::min();
    return;
  }
  if (state->NextOffset() == host.published_) {
    return;
  }
  Require(state->NextOffset() > host.published_, host.id_.Value() + " went back");
  host.published_ = state->NextOffset();
  Require(state->Book().Print() == oracle_.TextAt(state->NextOffset()),
          host.id_.Value() + " folded other rules at " + std::to_string(state->NextOffset()));
  host.freshness_->OnState(state->NextOffset(), state->Members());
  host.liveness_->SetMembers(state->Members(), Local(host));
  host.progress_.OnState(*state, Local(host));
}

void
Cluster::Ask(int aHost, int aPeer)
{
  const TimePoint asked = Local(hosts_.at(aHost));
  if (cut_.at(aHost).at(aPeer)) {
    return;
  }
  const std::uint64_t process = hosts_.at(aHost).process_;
  Post(Delay(), aPeer, [this, aHost, aPeer, asked, process] {
    const Host& peer = hosts_.at(aPeer);
    if (cut_.at(aPeer).at(aHost) || hosts_.at(aHost).process_ != process) {
      return;
    }
    PeerAnswer answer;
    answer.life_ = HostLife{ peer.id_, peer.incarnation_ };
    answer.asked_ = asked;
    answer.hasState_ = peer.reader_.State() != nullptr;
    answer.next_ = answer.hasState_ ? peer.published_ : 0;
    answer.hasPendingAppend_ =
      std::any_of(peer.operations_.begin(), peer.operations_.end(), [](const Operation& aOne) {
        return aOne.isInDoubt_ && !aOne.isOver_;
      });
    answer.logAge_ = peer.freshness_->LogAge(Local(peer));
    Post(Delay(), aHost, [this, aHost, answer, report = peer.liveness_->Report(Local(peer))] {
      Host& host = hosts_.at(aHost);
      host.freshness_->OnPeerAnswer(answer);
      host.liveness_->OnAnswer(answer.life_, answer.asked_, report);
      if (answer.hasState_) {
        host.progress_.OnHeard(answer.life_, answer.next_);
      }
    });
  });
}

void
Cluster::FetchState(int aHost, int aPeer)
{
  const std::uint64_t process = hosts_.at(aHost).process_;
  if (cut_.at(aHost).at(aPeer)) {
    return;
  }
  Post(Delay(), aPeer, [this, aHost, aPeer, process] {
    const ConfigState* state = hosts_.at(aPeer).reader_.State();
    if (state == nullptr || cut_.at(aPeer).at(aHost) || hosts_.at(aHost).process_ != process) {
      return;
    }
    Post(Delay(), aHost, [this, aHost, data = EncodeRecord(SnapshotRecord{ state->Image(), {} })] {
      if (hosts_.at(aHost).reader_.Adopt(data)) {
        ++counts_.adopted_;
        OnState(aHost);
      }
    });
  });
}

void
Cluster::Append(int aHost, ConfigRecord aRecord, std::function<void(bool)> aAnswer)
{
  if (logCut_.at(aHost)) {
    return;
  }
  const LogFault fault = std::exchange(fault_, LogFault::None);
  const Duration delay = Delay() + (fault == LogFault::Late ? seconds(2) : seconds(0));
  const std::uint64_t process = hosts_.at(aHost).process_;
  Post(delay, -1, [this, aHost, aRecord, aAnswer, fault, process] {
    if (!isLogUp_) {
      return;
    }
    Store(aRecord);
    if (fault == LogFault::Duplicate) {
      Store(aRecord);
    }
    if (fault != LogFault::LostAnswer && !logCut_.at(aHost) &&
        hosts_.at(aHost).process_ == process) {
      Post(Delay(), aHost, [aAnswer] { aAnswer(true); });
    }
  });
}

void
Cluster::Store(const ConfigRecord& aRecord)
{
  log_.push_back(EncodeRecord(aRecord));
  oracle_.OnAppend(aRecord);
  if (const auto* snapshot = std::get_if<SnapshotRecord>(&aRecord)) {
    needed_ = std::max(needed_, snapshot->image_.next_);
  }
  Require(oracle_.MostWinners() <= 1, "two changes with the same base took effect");
}

void
Cluster::UpdateOperations(int aHost)
{
  Host& host = hosts_.at(aHost);
  const ConfigState* state = host.reader_.State();
  bool isInDoubt = false;
  for (Operation& operation : host.operations_) {
    if (operation.isOver_) {
      continue;
    }
    const std::string& id = operation.record_.id_;
    const AcceptanceResult result = operation.tracker_->Update(state, host.progress_, Local(host));
    if (state != nullptr && state->FindChange(id) != nullptr) {
      operation.isInDoubt_ = false;
    }
    operation.isOver_ = result.status_ != AcceptanceStatus::Pending;
    isInDoubt = isInDoubt || (operation.isInDoubt_ && !operation.isOver_);
    if (result.status_ == AcceptanceStatus::Accepted) {
      ++counts_.accepted_;
      const auto valid = oracle_.ValidAt(id);
      Require(valid && *valid == result.revision_, id + " was accepted without taking effect");
      accepted_ = std::max(accepted_.value_or(0), *valid);
      const bool hasLapsed =
        std::any_of(result.hosts_.begin(), result.hosts_.end(), [](const HostChangeLine& aLine) {
          return aLine.status_ == HostChangeStatus::Lapsed;
        });
      counts_.lapsed_ += hasLapsed ? 1 : 0;
    } else if (result.status_ == AcceptanceStatus::Rejected) {
      ++counts_.rejected_;
      Require(oracle_.IsRejected(id), id + " was reported as rejected although it took effect");
    } else if (result.status_ == AcceptanceStatus::Unknown) {
      ++counts_.unknown_;
    }
  }
  host.freshness_->SetPendingAppend(isInDoubt);
}

void
Cluster::Evaluate(int aHost)
{
  Host& host = hosts_.at(aHost);
  UpdateOperations(aHost);
  host.freshUntil_ = host.freshness_->Update(Local(host));
  counts_.outage_ += host.freshness_->Mode() == FreshnessMode::OutageMode ? 1 : 0;
}

void
Cluster::CheckAdmissions() const
{
  if (!accepted_) {
    return;
  }
  for (const Host& host : hosts_) {
    const bool isAdmitting =
      host.isUp_ && host.pausedUntil_ <= now_ && host.freshUntil_ > Local(host);
    Require(!isAdmitting || host.published_ > *accepted_,
            host.id_.Value() + " admits at " + std::to_string(host.published_) +
              " although change " + std::to_string(*accepted_) + " was accepted");
  }
}

void
Cluster::Settle()
{
  isLogUp_ = true;
  fault_ = LogFault::None;
  cut_ = {};
  logCut_ = {};
  for (int i = 0; i < kHosts; ++i) {
    hosts_.at(i).pausedUntil_ = std::min(hosts_.at(i).pausedUntil_, now_);
    if (!hosts_.at(i).isUp_) {
      Start(i);
    }
  }
  Advance(seconds(13));
  for (int i = 0; i < kHosts; ++i) {
    const Host& host = hosts_.at(i);
    Require(host.freshUntil_ > Local(host), host.id_.Value() + " does not become fresh again");
    Require(host.reader_.State()->Book() == hosts_.at(0).reader_.State()->Book(),
            host.id_.Value() + " has other rules");
    for (const Operation& operation : host.operations_) {
      Require(operation.isOver_, operation.record_.id_ + " is not decided");
    }
  }
}

} // namespace laburnumweir::sim
