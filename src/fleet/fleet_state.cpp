/** @file fleet_state.cpp State of the fleet that this host has read from the store. */
#include "fleet/fleet_state.h"

#include "logging/logging_func.h"
#include "table/fleet_const.h"

namespace laburnumweir {

FleetState::FleetState(const Clock& aClock, const HostId& aHost, const DataCentreId& aDataCentre)
  : clock_(aClock)
  , upstreams_(aClock, aHost, aDataCentre)
  , changes_(aClock)
{
}

bool
FleetState::ApplyOperators(const ChangeBatch& aBatch, bool aKeepEvacuations)
{
  const FleetConfig* newest = nullptr;
  if (!firstEra_) {
    firstEra_ = aBatch.era_;
    firstReadAt_ = clock_.Now();
  }
  operatorsNext_ = aBatch.Next();
  auto evacuated = evacuated_;
  if (aBatch.isSnapshot_ && aKeepEvacuations) {
    unnamedEvacuations_ = evacuated_;
  } else if (aBatch.isSnapshot_) {
    evacuated.clear();
    unnamedEvacuations_.clear();
  }
  for (const auto& change : aBatch.changes_) {
    if (const auto* config = std::get_if<FleetConfig>(&change)) {
      newest = config;
    } else if (const auto* release = std::get_if<AdapterRelease>(&change)) {
      OnRelease(*release);
    } else if (const auto* evacuation = std::get_if<EvacuationChange>(&change)) {
      unnamedEvacuations_.erase(evacuation->dataCentre_);
      if (evacuation->isEvacuated_) {
        evacuated.insert(evacuation->dataCentre_);
      } else {
        evacuated.erase(evacuation->dataCentre_);
      }
    }
  }
  if (aBatch.unreadable_ > 0) {
    LogEvent(LogLevel::Warn,
             "operator_records_unreadable",
             { { "count", std::to_string(aBatch.unreadable_) } });
  }
  SetEvacuated(std::move(evacuated));
  const bool isNewer =
    newest != nullptr && (!routes_ || routes_->Config().version_ < newest->version_);
  if (isNewer) {
    LogEvent(LogLevel::Info,
             "configuration_in_force",
             { { "version", std::to_string(newest->version_) },
               { "routes", std::to_string(newest->routes_.size()) },
               { "workspaces", std::to_string(newest->workspaces_.size()) } });
    routes_ = std::make_shared<const RouteTable>(*newest);
    config_ = { newest->version_, aBatch.Next() };
    upstreams_.SetServices(routes_->Config().services_);
  }
  DropReadConfigs();
  return isNewer;
}

void
FleetState::OnRelease(const AdapterRelease& aRelease)
{
  // A host that has just started does not know how long ago the release was made.
  const auto after = confirmedAt_.value_or(TimePoint::min());
  if (!releases_[{ aRelease.model_, aRelease.adapter_ }].OnReleased(aRelease.version_, after)) {
    return;
  }
  LogEvent(LogLevel::Info,
           "release_learned",
           { { "model", aRelease.model_ },
             { "adapter", aRelease.adapter_ },
             { "version", std::to_string(aRelease.version_) },
             { "max_age_ms",
               confirmedAt_ ? std::to_string((clock_.Now() - after) / std::chrono::milliseconds(1))
                            : "unknown" } });
}

void
FleetState::SetEvacuated(std::set<DataCentreId> aEvacuated)
{
  if (aEvacuated == evacuated_) {
    return;
  }
  std::string names;
  for (const auto& dataCentre : aEvacuated) {
    names += (names.empty() ? "" : ",") + dataCentre.Value();
  }
  LogEvent(LogLevel::Info, "evacuation_changed", { { "data_centres", names } });
  evacuated_ = aEvacuated;
  upstreams_.SetEvacuated(std::move(aEvacuated));
}

void
FleetState::EndUnnamedEvacuations()
{
  auto evacuated = evacuated_;
  for (const auto& dataCentre : unnamedEvacuations_) {
    evacuated.erase(dataCentre);
  }
  unnamedEvacuations_.clear();
  SetEvacuated(std::move(evacuated));
}

EntryStamp
FleetState::LastStamp(const UpstreamId& aId) const
{
  EntryStamp stamp;
  if (const auto known = upstreams_.All().find(aId); known != upstreams_.All().end()) {
    stamp = known->second.entry_.Stamp();
  }
  if (const auto removed = removed_.find(aId); removed != removed_.end()) {
    stamp = std::max(stamp, removed->second.stamp_);
  }
  if (const auto deferred = deferredRemovals_.find(aId); deferred != deferredRemovals_.end()) {
    stamp = std::max(stamp, deferred->second);
  }
  return stamp;
}

void
FleetState::Remove(const UpstreamId& aId, EntryStamp aLastStamp, std::string_view aReason)
{
  removed_[aId] = { std::max(aLastStamp, LastStamp(aId)), clock_.Now() };
  if (upstreams_.OnRemoved(aId)) {
    LogEvent(LogLevel::Info,
             "upstream_gone",
             { { "upstream", aId.Value() }, { "reason", std::string(aReason) } });
  }
}

void
FleetState::ApplyUpstream(const UpstreamChange& aChange, LogOffset aNext, bool aDeferRemovals)
{
  if (aChange.id_.IsEmpty()) {
    return;
  }
  if (!aChange.entry_) {
    const auto stamp = std::max(aChange.lastStamp_, LastStamp(aChange.id_));
    changes_.OnRemoved(aChange.id_, aNext, stamp);
    if (aDeferRemovals && upstreams_.Find(aChange.id_) != nullptr) {
      deferredRemovals_[aChange.id_] = stamp;
    } else {
      deferredRemovals_.erase(aChange.id_);
      Remove(aChange.id_, stamp, "entry removed");
    }
    return;
  }
  changes_.OnEntry(*aChange.entry_, aNext);
  const auto deferred = deferredRemovals_.find(aChange.id_);
  if (deferred != deferredRemovals_.end()) {
    if (aChange.entry_->Stamp() <= deferred->second) {
      return; // of a copy from before the removal; a running upstream writes a newer one
    }
    deferredRemovals_.erase(deferred);
  }
  const auto removed = removed_.find(aChange.id_);
  if (removed != removed_.end() && aChange.entry_->Stamp() <= removed->second.stamp_) {
    return; // written before the removal, which the store has lost
  }
  const auto* known = upstreams_.Find(aChange.id_);
  const bool wasDraining = known != nullptr && known->entry_.isDraining_;
  const bool isNewProcess = upstreams_.OnEntry(*aChange.entry_);
  if (isNewProcess || wasDraining != aChange.entry_->isDraining_) {
    LogEvent(LogLevel::Info,
             "upstream_entry",
             { { "upstream", aChange.id_.Value() },
               { "service", aChange.entry_->service_.Value() },
               { "data_centre", aChange.entry_->dataCentre_.Value() },
               { "state", aChange.entry_->isDraining_ ? "draining" : "ready" },
               { "new_life", isNewProcess ? "true" : "false" },
               { "software", aChange.entry_->software_.Value() },
               { "cold_ms", std::to_string(aChange.entry_->coldTimeLeft_.count()) } });
  }
}

void
FleetState::SightSoftware(const ChangeBatch& aBatch)
{
  const bool isNewEra = hasUpstreams_ && aBatch.isSnapshot_ && aBatch.era_ != upstreamsEra_;
  upstreamsEra_ = aBatch.era_;
  sightings_.coverage_ = std::max(sightings_.coverage_,
                                  aBatch.isSnapshot_  ? ChangeCoverage::NewestState
                                  : aBatch.isGapless_ ? ChangeCoverage::AllRecords
                                                      : ChangeCoverage::NewestChanges);
  sightings_.hasUnseenUpstream_ = sightings_.hasUnseenUpstream_ || isNewEra;
  for (const auto& change : aBatch.changes_) {
    const auto* upstream = std::get_if<UpstreamChange>(&change);
    if (upstream == nullptr || upstream->id_.IsEmpty()) {
      continue;
    }
    if (upstream->entry_) {
      sightings_.versions_.emplace(upstream->entry_->service_, upstream->entry_->software_);
    } else if (!aBatch.isGapless_ && upstreams_.Find(upstream->id_) == nullptr &&
               !removed_.contains(upstream->id_)) {
      sightings_.hasUnseenUpstream_ = true;
    }
  }
}

void
FleetState::ApplyUpstreams(const ChangeBatch& aBatch, bool aDeferRemovals)
{
  SightSoftware(aBatch);
  if (aBatch.isSnapshot_) {
    changes_.OnSnapshot(aBatch.Next());
  }
  std::set<UpstreamId> seen;
  for (std::size_t i = 0; i < aBatch.changes_.size(); ++i) {
    if (const auto* upstream = std::get_if<UpstreamChange>(&aBatch.changes_[i])) {
      ApplyUpstream(*upstream, aBatch.OffsetAfter(i), aDeferRemovals);
      if (upstream->entry_) {
        seen.insert(upstream->id_);
      }
    }
  }
  if (aBatch.unreadable_ > 0) {
    LogEvent(LogLevel::Warn,
             "upstream_entries_unreadable",
             { { "count", std::to_string(aBatch.unreadable_) } });
  }
  if (aBatch.isSnapshot_) {
    std::vector<UpstreamId> missing;
    for (const auto& [id, upstream] : upstreams_.All()) {
      if (!seen.contains(id)) {
        missing.push_back(id);
      }
    }
    for (const auto& id : missing) {
      ApplyUpstream({ id, std::nullopt }, aBatch.next_, aDeferRemovals);
    }
  }
  // Expires them only with a batch, so that an outage does not use up their time to live.
  std::erase_if(removed_, [oldest = clock_.Now() - kRemovedUpstreamTtl](const auto& aRemoved) {
    return aRemoved.second.removedAt_ < oldest;
  });
  hasUpstreams_ = true;
}

void
FleetState::ApplyDeferredRemovals()
{
  for (const auto& [id, stamp] : deferredRemovals_) {
    Remove(id, stamp, "entry missing after the store returned");
  }
  deferredRemovals_.clear();
}

void
FleetState::SetPeerConfig(const ConfigInForce& aConfig)
{
  if (aConfig.version_ != peerConfig_.version_) {
    peerConfigSince_ = clock_.Now();
  }
  peerConfig_ = aConfig;
  if (unreadConfigs_.empty() || unreadConfigs_.back().config_.version_ < aConfig.version_) {
    unreadConfigs_.push_back({ aConfig, clock_.Now() });
    DropReadConfigs();
  }
}

void
FleetState::DropReadConfigs()
{
  std::erase_if(unreadConfigs_, [this](const UnreadConfig& aUnread) {
    return aUnread.config_.version_ <= config_.version_ || aUnread.config_.next_ <= operatorsNext_;
  });
}

std::optional<TimePoint>
FleetState::BehindPeersSince() const
{
  return unreadConfigs_.empty() ? std::nullopt : std::optional(unreadConfigs_.front().reportedAt_);
}

bool
FleetState::IsConfigOutdated() const
{
  return config_.version_ < peerConfig_.version_ && operatorsNext_ >= peerConfig_.next_ &&
         clock_.Now() - peerConfigSince_ < kLostConfigTtl;
}

void
FleetState::OnPeerRestore(StoreEra aEra, TimePoint aSeenAt, Duration aHoldTime)
{
  const bool isLatest = !peerRestore_ || peerRestore_->era_ <= aEra;
  if (isLatest && (!firstEra_ || *firstEra_ >= aEra)) {
    peerRestore_ = { aEra, aSeenAt, aHoldTime };
  }
}

bool
FleetState::IsConfigUnsettled() const
{
  // A peer that was out of touch with the store may have seen the era later than this host.
  return peerRestore_ && firstEra_ && *firstEra_ >= peerRestore_->era_ &&
         clock_.Now() < std::min(peerRestore_->seenAt_, firstReadAt_) + peerRestore_->holdTime_;
}

Duration
FleetState::ConfigAge() const
{
  return confirmedAt_ && !IsConfigOutdated() && !IsConfigUnsettled() ? clock_.Now() - *confirmedAt_
                                                                     : Duration::max();
}

const ReleaseHistory*
FleetState::FindReleases(const std::string& aModel, const std::string& aAdapter) const
{
  const auto found = releases_.find({ aModel, aAdapter });
  return found == releases_.end() ? nullptr : &found->second;
}

} // namespace laburnumweir
