/** @file upstream_table.cpp Upstreams with the load, health and resident adapters that are known to
 * this host.
 */
#include "fleet/upstream_table.h"

#include "core/hash_func.h"
#include "logging/logging_func.h"
#include "table/fleet_const.h"
#include "table/limit_const.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace laburnumweir {

namespace {

// Weights of the cost by which upstreams are compared. The load of a full upstream costs 1.
constexpr double kFailurePenalty = 3.0;     // a fraction of failed answers costs more than any load
constexpr double kOtherCentrePenalty = 0.1; // breaks ties; traffic between data centres is charged
// Connections are charged and take a round trip; between upstreams of about the same load, one with
// an idle connection is preferred.
constexpr double kNewConnectionPenalty = 0.05;
// An engine is busy if its running requests exceed kBusyFactor times the mean of its service plus
// kBusySlack: processing prompts then takes so much of its time that the pauses between events
// grow. An adapter whose engines are all busy is loaded at one more engine.
constexpr double kBusyFactor = 1.4;
constexpr double kBusySlack = 3.0;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** Copies the pauses that a process asked for itself, before its entry was read. */
void
CopyPausesSince(std::int64_t aStartedAt, const UpstreamNotice& aLast, UpstreamNotice& aNotice)
{
  aNotice.pauses_ = aLast.pauses_;
  std::erase_if(aNotice.pauses_,
                [aStartedAt](const UpstreamPause& aPause) { return aPause.heardAt_ < aStartedAt; });
  if (!aNotice.pauses_.empty()) {
    aNotice.pausedUntil_ = aNotice.pauses_.front().until_;
  }
}

} // namespace

UpstreamTable::UpstreamTable(const Clock& aClock, HostId aHost, DataCentreId aDataCentre)
  : clock_(aClock)
  , host_(std::move(aHost))
  , dataCentre_(std::move(aDataCentre))
  , hosts_{ host_ }
{
}

bool
UpstreamTable::OnEntry(const UpstreamEntry& aEntry)
{
  const auto now = clock_.Now();
  auto [position, isNew] = upstreams_.try_emplace(aEntry.id_);
  auto& upstream = position->second;
  const auto& known = upstream.entry_;
  if (!isNew && (aEntry.startedAt_ < known.startedAt_ ||
                 (aEntry.startedAt_ == known.startedAt_ && aEntry.heartbeat_ < known.heartbeat_))) {
    return false; // written before the known entry
  }
  const bool isNewProcess = isNew || known.startedAt_ != aEntry.startedAt_;
  // An entry that is read again was written before it was first read, which the remaining time in
  // it does not show.
  const bool isReadAgain = !isNewProcess && known.heartbeat_ == aEntry.heartbeat_;
  if (isNewProcess) {
    const auto last =
      isNew ? removed_.Take(aEntry.id_, now) : RemovedUpstreams::StateOf(upstream, now);
    const auto peers = upstream.peersRunning_;
    upstream = {};
    // The ends of attempts that were sent to an earlier process are still to be subtracted.
    upstream.running_ = last.running_;
    upstream.peersRunning_ = peers;
    upstream.coldTokensAt_ = now;
    upstream.entry_ = aEntry;
    if (last.startedAt_ == aEntry.startedAt_) {
      static_cast<UpstreamNotice&>(upstream) = last.notice_;
    } else if (last.startedAt_ < aEntry.startedAt_ && last.endpoint_ == aEntry.endpoint_) {
      CopyPausesSince(aEntry.startedAt_, last.notice_, upstream);
    }
  } else {
    // The residency that the holder sent after an order is newer than an entry written before it.
    const bool keepsModels =
      !aEntry.listsModels_ ||
      (upstream.residencyReceivedAt_ && now - *upstream.residencyReceivedAt_ < kMaxEntryAge);
    auto models = std::move(upstream.entry_.models_);
    upstream.entry_ = aEntry;
    if (keepsModels) {
      upstream.entry_.models_ = std::move(models);
    } else if (upstream.residencyReceivedAt_ && upstream.entry_.models_ != models) {
      // After an outage of the store even the newest entry may be older than the last orders. The
      // flag makes the holder request a report from the engine.
      upstream.differsFromHolder_ = true;
    }
    upstream.isMisdirected_ = false;
  }
  if (!isReadAgain) {
    // The entry may have been written before an answer that named a later end.
    ExtendColdPhase(upstream, aEntry.coldTimeLeft_, now);
  }
  return isNewProcess;
}

bool
UpstreamTable::OnRemoved(const UpstreamId& aId)
{
  const auto found = upstreams_.find(aId);
  if (found == upstreams_.end()) {
    return false;
  }
  removed_.Keep(found->second, clock_.Now());
  upstreams_.erase(found);
  return true;
}

void
UpstreamTable::SetServices(std::span<const ServiceSpec> aServices)
{
  services_.clear();
  for (const auto& service : aServices) {
    services_[service.name_] = service;
  }
}

void
UpstreamTable::SetHosts(std::vector<HostId> aHosts)
{
  hosts_ = std::move(aHosts);
}

bool
UpstreamTable::OnResidency(const EngineResidency& aResidency)
{
  auto* upstream = Find(aResidency.engine_);
  if (upstream == nullptr || upstream->entry_.startedAt_ != aResidency.startedAt_ ||
      aResidency.orderCount_ < upstream->orderCount_) {
    return false;
  }
  upstream->entry_.models_ = aResidency.models_;
  upstream->orderCount_ = aResidency.orderCount_;
  upstream->residencyReceivedAt_ = clock_.Now();
  upstream->differsFromHolder_ = false;
  return true;
}

void
UpstreamTable::OnPeerLoad(const HostId& aPeer, std::span<const UpstreamLoad> aLoad)
{
  auto& peer = peers_[aPeer];
  peer.receivedAt_ = clock_.Now();
  peer.loads_.assign(aLoad.begin(), aLoad.end());
  SumPeerLoads();
}

void
UpstreamTable::ExpirePeers()
{
  const auto oldest = clock_.Now() - kPeerLoadTtl;
  if (std::erase_if(
        peers_, [oldest](const auto& aPeer) { return aPeer.second.receivedAt_ < oldest; }) > 0) {
    SumPeerLoads();
  }
}

void
UpstreamTable::SumPeerLoads()
{
  for (auto& [id, upstream] : upstreams_) {
    upstream.peersRunning_ = 0;
    upstream.peersLimit_.reset();
  }
  for (const auto& [host, peer] : peers_) {
    for (const auto& load : peer.loads_) {
      if (auto* upstream = Find(load.upstream_)) {
        upstream->peersRunning_ += load.running_;
        if (load.requestLimit_) {
          upstream->peersLimit_ =
            std::min(*load.requestLimit_, upstream->peersLimit_.value_or(*load.requestLimit_));
        }
      }
    }
  }
}

bool
UpstreamTable::IsUsableAt(const Upstream& aUpstream, TimePoint aNow) const
{
  return !IsLeaving(aUpstream) && !aUpstream.isMisdirected_ &&
         !evacuated_.contains(aUpstream.entry_.dataCentre_) &&
         aUpstream.attempts_.backoffUntil_ <= aNow && aUpstream.pausedUntil_ <= aNow;
}

bool
UpstreamTable::HasFreeSlot(const Upstream& aUpstream) const
{
  return aUpstream.running_ + aUpstream.peersRunning_ < aUpstream.entry_.slots_;
}

void
UpstreamTable::ExtendColdPhase(Upstream& aUpstream, Duration aFor, TimePoint aNow)
{
  if (aNow + aFor <= aUpstream.coldUntil_) {
    return;
  }
  if (aUpstream.coldUntil_ <= aNow) {
    // Otherwise every host could send a request that it saved while the upstream was not cold.
    aUpstream.coldTokens_ = 0;
    aUpstream.coldTokensAt_ = aNow;
  }
  aUpstream.coldUntil_ = aNow + aFor;
}

bool
UpstreamTable::MaySendIfCold(Upstream& aUpstream, TimePoint aNow)
{
  const auto service = services_.find(aUpstream.entry_.service_);
  if (aUpstream.coldUntil_ <= aNow || service == services_.end() ||
      service->second.coldPerSecond_ <= 0) {
    return true;
  }
  const double allowed = service->second.coldPerSecond_ * kColdRateSafetyFactor;
  auto hosts = static_cast<double>(std::max<std::size_t>(hosts_.size(), 1));
  if (allowed < hosts) {
    // The rate is below one request per second for each host: the first hosts by rendezvous weight
    // get one request per second each, the others none.
    const auto ownWeight = RendezvousWeight(host_.Value(), aUpstream.entry_.id_.Value());
    const auto hostsAhead = std::count_if(hosts_.begin(), hosts_.end(), [&](const HostId& aHost) {
      return RendezvousWeight(aHost.Value(), aUpstream.entry_.id_.Value()) > ownWeight;
    });
    if (static_cast<double>(hostsAhead) + 1 > allowed) {
      return false;
    }
    hosts = std::max(allowed, 1.0);
  }
  const double rate = allowed / hosts;
  aUpstream.coldTokens_ =
    std::min(1.0, aUpstream.coldTokens_ + rate * Seconds(aNow - aUpstream.coldTokensAt_));
  aUpstream.coldTokensAt_ = aNow;
  return aUpstream.coldTokens_ >= 1.0;
}

double
UpstreamTable::CostOf(const Upstream& aUpstream) const
{
  const double load =
    static_cast<double>(aUpstream.running_ + aUpstream.peersRunning_ + 1) / aUpstream.entry_.slots_;
  return load * (1.0 + aUpstream.attempts_.latencyAverage_) +
         kFailurePenalty * aUpstream.attempts_.failureAverage_ +
         (aUpstream.entry_.dataCentre_ == dataCentre_ ? 0.0 : kOtherCentrePenalty) +
         (!hasIdleConnection_ || hasIdleConnection_(aUpstream.entry_.endpoint_)
            ? 0.0
            : kNewConnectionPenalty);
}

std::optional<std::int64_t>
UpstreamTable::ResidentVersion(const Upstream& aUpstream,
                               std::string_view aModel,
                               std::string_view aAdapter)
{
  for (const auto& model : aUpstream.entry_.models_) {
    if (model.name_ != aModel) {
      continue;
    }
    if (aAdapter.empty()) {
      return 0;
    }
    for (const auto& adapter : model.adapters_) {
      if (adapter.name_ == aAdapter) {
        return adapter.version_;
      }
    }
  }
  return std::nullopt;
}

double
UpstreamTable::MeanRunning(const ServiceName& aService, TimePoint aNow) const
{
  double running = 0;
  double count = 0;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.entry_.service_ == aService && IsUsableAt(upstream, aNow)) {
      running += upstream.running_ + upstream.peersRunning_;
      ++count;
    }
  }
  return count > 0 ? running / count : 0;
}

std::optional<UpstreamId>
UpstreamTable::ChooseEngineToLoad(const UpstreamNeed& aNeed,
                                  double aBusyThreshold,
                                  TimePoint aNow) const
{
  const std::string key = std::string(aNeed.model_) + "/" + std::string(aNeed.adapter_);
  const Upstream* best = nullptr;
  std::pair<int, std::uint64_t> bestRank{ -1, 0 };
  for (const auto& [id, upstream] : upstreams_) {
    if (!MeetsNeed(upstream, aNeed) || !IsUsableAt(upstream, aNow) ||
        (aNeed.excluded_ != nullptr && aNeed.excluded_->contains(id)) ||
        (aNeed.loadTimedOut_ != nullptr && aNeed.loadTimedOut_->contains(id))) {
      continue;
    }
    const auto version = ResidentVersion(upstream, aNeed.model_, aNeed.adapter_);
    if (version && *version >= aNeed.minVersion_) {
      continue;
    }
    // Engines without the model rank last, since loading it takes seconds. Busy engines rank next,
    // then those with an old version of the adapter, which wait for the runs of that version before
    // they load the new one, then cold ones.
    const bool hasModel = ResidentVersion(upstream, aNeed.model_, {}).has_value();
    const bool isCold = upstream.coldUntil_ > aNow;
    const bool isBusy = upstream.running_ + upstream.peersRunning_ > aBusyThreshold ||
                        upstream.permitDeniedUntil_ > aNow;
    const int tier = (hasModel ? 8 : 0) + (isBusy ? 0 : 4) + (version ? 0 : 2) + (isCold ? 0 : 1);
    const std::pair<int, std::uint64_t> rank{ tier, RendezvousWeight(id.Value(), key) };
    if (best == nullptr || rank > bestRank) {
      best = &upstream;
      bestRank = rank;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->entry_.id_);
}

UpstreamChoice
UpstreamTable::Choose(const UpstreamNeed& aNeed)
{
  UpstreamChoice choice;
  const auto now = clock_.Now();
  double minCost = std::numeric_limits<double>::max();
  double minPermitCost = std::numeric_limits<double>::max();
  bool isResident = false;
  double minResidentLoad = std::numeric_limits<double>::max();
  for (auto& [id, upstream] : upstreams_) {
    if (!MeetsNeed(upstream, aNeed)) {
      continue;
    }
    if (!IsUsableAt(upstream, now)) {
      continue;
    }
    if (aNeed.excluded_ != nullptr && aNeed.excluded_->contains(id)) {
      continue;
    }
    choice.hasUntried_ = true;
    std::int64_t version = 0;
    if (!aNeed.model_.empty()) {
      const auto residentVersion = ResidentVersion(upstream, aNeed.model_, aNeed.adapter_);
      if (!residentVersion || *residentVersion < aNeed.minVersion_) {
        continue;
      }
      version = *residentVersion;
      // Where a permit was denied, more requests come for the adapter than its engine may get.
      if (upstream.permitDeniedUntil_ <= now) {
        isResident = true;
        minResidentLoad = std::min(minResidentLoad,
                                   static_cast<double>(upstream.running_ + upstream.peersRunning_));
      }
    }
    if (!HasFreeSlot(upstream) || !MaySendIfCold(upstream, now)) {
      continue;
    }
    const double cost = CostOf(upstream);
    if (NeedsPermit(upstream, now)) {
      if (upstream.permitDeniedUntil_ <= now && cost < minPermitCost) {
        minPermitCost = cost;
        choice.permitTarget_ = id;
      }
      continue;
    }
    if (cost < minCost) {
      minCost = cost;
      choice.upstream_ = &upstream;
      choice.adapterVersion_ = version;
    }
  }
  if (!aNeed.model_.empty()) {
    const double busyThreshold = kBusyFactor * MeanRunning(aNeed.service_, now) + kBusySlack;
    choice.isReplica_ = isResident;
    if (!isResident || minResidentLoad > busyThreshold) {
      choice.loadTarget_ = ChooseEngineToLoad(aNeed, busyThreshold, now);
    }
  }
  return choice;
}

void
UpstreamTable::ForgetFailures(const std::function<bool(const Endpoint&)>& aIsLinkLost)
{
  for (auto& [id, upstream] : upstreams_) {
    if (aIsLinkLost(upstream.entry_.endpoint_)) {
      upstream.attempts_.ForgetFailures();
    }
  }
}

void
UpstreamTable::OnAttemptSent(const UpstreamId& aId)
{
  if (auto* upstream = Find(aId)) {
    ++upstream->running_;
    const auto now = clock_.Now();
    std::erase_if(upstream->permits_, [now](TimePoint aEnd) { return aEnd <= now; });
    if (!upstream->permits_.empty()) {
      upstream->permits_.erase(upstream->permits_.begin());
    }
    if (upstream->coldUntil_ > now) {
      upstream->coldTokens_ = std::max(0.0, upstream->coldTokens_ - 1.0);
    }
  }
}

void
UpstreamTable::OnAttemptEnded(const UpstreamId& aId, AttemptHealth aHealth, Duration aFirstByte)
{
  auto* upstream = Find(aId);
  if (upstream == nullptr) {
    removed_.OnAttemptEnded(aId);
    return;
  }
  upstream->running_ -= upstream->running_ > 0 ? 1 : 0;
  upstream->attempts_.OnEnded(aHealth, aFirstByte, clock_.Now());
}

void
UpstreamTable::OnSilent(const UpstreamId& aId)
{
  if (auto* upstream = Find(aId)) {
    upstream->attempts_.OnFailure(AttemptHealth::Unreachable, clock_.Now());
  }
}

void
UpstreamTable::OnAdapterMissing(const UpstreamId& aId,
                                std::string_view aModel,
                                std::string_view aAdapter)
{
  auto* upstream = Find(aId);
  if (upstream == nullptr) {
    return;
  }
  for (auto& model : upstream->entry_.models_) {
    if (model.name_ == aModel) {
      std::erase_if(model.adapters_,
                    [&](const ResidentAdapterVersion& aEntry) { return aEntry.name_ == aAdapter; });
    }
  }
  if (aAdapter.empty()) {
    std::erase_if(upstream->entry_.models_,
                  [&](const ResidentModel& aEntry) { return aEntry.name_ == aModel; });
  }
}

void
UpstreamTable::OnMisdirected(const UpstreamId& aId)
{
  if (auto* upstream = Find(aId)) {
    upstream->isMisdirected_ = true;
  }
}

void
UpstreamTable::OnColdTime(const UpstreamId& aId, std::int64_t aStartedAt, Duration aFor)
{
  auto* upstream = Find(aId);
  if (upstream != nullptr && upstream->entry_.startedAt_ == aStartedAt) {
    ExtendColdPhase(*upstream, aFor, clock_.Now());
  }
}

UpstreamNotice*
UpstreamTable::NoticeOf(const UpstreamId& aId, std::int64_t aStartedAt)
{
  if (auto* upstream = Find(aId)) {
    return upstream->entry_.startedAt_ == aStartedAt ? upstream : nullptr;
  }
  return removed_.NoticeOf(aId, aStartedAt);
}

void
UpstreamTable::OnRequestLimit(const UpstreamId& aId,
                              std::int64_t aStartedAt,
                              std::optional<double> aLimit)
{
  auto* notice = NoticeOf(aId, aStartedAt);
  if (notice == nullptr) {
    return;
  }
  if (notice->requestLimit_ != aLimit) {
    const auto toText = [](std::optional<double> aRate) {
      return aRate ? std::to_string(*aRate) : "none";
    };
    LogEvent(LogLevel::Info,
             "request_limit",
             { { "upstream", aId.Value() },
               { "per_second", toText(aLimit) },
               { "before", toText(notice->requestLimit_) } });
  }
  notice->requestLimit_ = aLimit;
  notice->limitHeardAt_ = clock_.Now();
}

void
UpstreamTable::OnLeaving(const UpstreamId& aId, std::int64_t aStartedAt)
{
  auto* notice = NoticeOf(aId, aStartedAt);
  if (notice == nullptr || notice->isLeaving_) {
    return;
  }
  notice->isLeaving_ = true;
  LogEvent(LogLevel::Info,
           "upstream_leaving",
           { { "upstream", aId.Value() }, { "life", std::to_string(aStartedAt) } });
}

void
UpstreamTable::OnPause(const UpstreamId& aId, std::int64_t aStartedAt, Duration aFor)
{
  auto* notice = NoticeOf(aId, aStartedAt);
  const auto until = clock_.Now() + aFor;
  if (notice == nullptr || aFor <= Duration::zero()) {
    return;
  }
  const auto wallNow = clock_.WallNow().time_since_epoch();
  std::erase_if(notice->pauses_,
                [until](const UpstreamPause& aPause) { return aPause.until_ <= until; });
  notice->pauses_.push_back(
    { std::chrono::duration_cast<std::chrono::milliseconds>(wallNow).count(), until });
  if (until <= notice->pausedUntil_) {
    return;
  }
  notice->pausedUntil_ = until;
  LogEvent(LogLevel::Info,
           "upstream_paused",
           { { "upstream", aId.Value() },
             { "pause_ms", std::to_string(aFor / std::chrono::milliseconds(1)) } });
}

std::optional<TimePoint>
UpstreamTable::PauseEnd(const UpstreamNeed& aNeed) const
{
  const auto now = clock_.Now();
  std::optional<TimePoint> earliest;
  bool isAnyPaused = false;
  for (const auto& [id, upstream] : upstreams_) {
    if (!MeetsNeed(upstream, aNeed) || IsLeaving(upstream) ||
        evacuated_.contains(upstream.entry_.dataCentre_) ||
        (aNeed.excluded_ != nullptr && aNeed.excluded_->contains(id))) {
      continue;
    }
    if (upstream.isMisdirected_) {
      return std::nullopt; // its next entry may make it usable
    }
    isAnyPaused = isAnyPaused || upstream.pausedUntil_ > now;
    const auto start = std::max({ now, upstream.attempts_.backoffUntil_, upstream.pausedUntil_ });
    earliest = std::min(earliest.value_or(start), start);
  }
  return isAnyPaused ? earliest : std::nullopt;
}

bool
UpstreamTable::IsServed(const UpstreamNeed& aNeed) const
{
  return std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& aUpstream) {
    return MeetsNeed(aUpstream.second, aNeed) && !IsLeaving(aUpstream.second) &&
           !evacuated_.contains(aUpstream.second.entry_.dataCentre_) &&
           (aNeed.excluded_ == nullptr || !aNeed.excluded_->contains(aUpstream.first));
  });
}

std::optional<double>
UpstreamTable::LimitOf(const Upstream& aUpstream, TimePoint aNow)
{
  const bool isOwnRecent =
    aUpstream.limitHeardAt_ && aNow - *aUpstream.limitHeardAt_ < kOwnLimitTtl;
  // Without news, an old limit still holds: if it just ended, the hosts would all send at once.
  return isOwnRecent || !aUpstream.peersLimit_ ? aUpstream.requestLimit_ : aUpstream.peersLimit_;
}

bool
UpstreamTable::NeedsPermit(const Upstream& aUpstream, TimePoint aNow)
{
  const bool hasPermit = !aUpstream.permits_.empty() && aNow < aUpstream.permits_.back();
  return !hasPermit && LimitOf(aUpstream, aNow);
}

std::optional<double>
UpstreamTable::RequestLimit(const UpstreamId& aId) const
{
  const auto found = upstreams_.find(aId);
  return found == upstreams_.end() ? std::nullopt : LimitOf(found->second, clock_.Now());
}

void
UpstreamTable::OnPermit(const UpstreamId& aId, const Permit& aPermit)
{
  auto* upstream = Find(aId);
  if (upstream == nullptr) {
    return;
  }
  const auto now = clock_.Now();
  if (!aPermit.isGranted_) {
    upstream->permitDeniedUntil_ = now + aPermit.delay_;
    return;
  }
  std::erase_if(upstream->permits_, [now](TimePoint aEnd) { return aEnd <= now; });
  upstream->permits_.push_back(now + kPermitTtl);
}

Upstream*
UpstreamTable::Find(const UpstreamId& aId)
{
  const auto found = upstreams_.find(aId);
  return found == upstreams_.end() ? nullptr : &found->second;
}

std::vector<UpstreamLoad>
UpstreamTable::OwnLoad() const
{
  std::vector<UpstreamLoad> result;
  const auto now = clock_.Now();
  const auto add =
    [&](const UpstreamId& aId, std::uint32_t aRunning, const UpstreamNotice& aNotice) {
      UpstreamLoad load{ aId, aRunning };
      if (aNotice.limitHeardAt_ && now - *aNotice.limitHeardAt_ < kLimitReportTime) {
        load.requestLimit_ = aNotice.requestLimit_;
      }
      if (load.running_ > 0 || load.requestLimit_) {
        result.push_back(load);
      }
    };
  for (const auto& [id, upstream] : upstreams_) {
    add(id, upstream.running_, upstream);
  }
  for (const auto& [id, kept] : removed_.All()) {
    add(id, kept.running_, kept.notice_);
  }
  return result;
}

} // namespace laburnumweir
