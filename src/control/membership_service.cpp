/** @file membership_service.cpp Joins the fleet, hears the other members and removes silent ones.
 */
#include "control/membership_service.h"

#include "logging/logging_func.h"
#include "peer/wire.pb.h"
#include "state/config_codec_func.h"

#include <algorithm>

namespace laburnumweir {

namespace {

using namespace std::chrono_literals;

constexpr Duration kHeartbeatInterval = 250ms;
constexpr Duration kHeartbeatTimeout = 1s;
// A member that was not heard for longer is shown as unheard.
constexpr Duration kUnheardAfter = 1500ms;
constexpr Duration kAnnounceInterval = 2s;
constexpr Duration kFetchInterval = 1s;
constexpr Duration kAppendRetry = 500ms;

/**
 * Members answer only for themselves, and a takeover waits until all are known to have folded the
 * change. So each host asks every other one up to this number; a ring needs relayed positions
 * first.
 */
constexpr std::size_t kMeshLimit = 96;

LivenessSettings
MeshSettings()
{
  LivenessSettings settings;
  settings.meshLimit_ = kMeshLimit;
  return settings;
}

} // namespace

MembershipService::MembershipService(PeerRouter& aRouter,
                                     ConfigService& aConfig,
                                     const Clock& aClock,
                                     Scheduler& aScheduler,
                                     LogClient& aLog,
                                     HostListClient& aHostList,
                                     ListedHost aSelf,
                                     RandomSource& aRandom)
  : router_(aRouter)
  , config_(aConfig)
  , clock_(aClock)
  , scheduler_(aScheduler)
  , log_(aLog)
  , hostList_(aHostList)
  , self_(std::move(aSelf))
  , random_(aRandom)
  , liveness_({ aRouter.Self(), 0 }, MeshSettings())
{
  router_.Handle(wire::Envelope::kHeartbeat,
                 [this](const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond) {
                   ServeHeartbeat(aRequest, aRespond);
                 });
}

void
MembershipService::Start()
{
  Tick();
  RepeatWhileAlive(scheduler_, kHeartbeatInterval, weak_from_this(), [this] { Tick(); });
}

void
MembershipService::OnRecord(const ConfigState& aState)
{
  SetMembers(aState);
}

void
MembershipService::OnJump(const ConfigState& aState)
{
  SetMembers(aState);
}

void
MembershipService::SetMembers(const ConfigState& aState)
{
  std::set<HostId> members;
  for (const auto& [host, member] : aState.Members()) {
    if (host == router_.Self()) {
      continue;
    }
    members.insert(host);
    Peer& peer = peers_[host];
    if (peer.incarnation_ != member.incarnation_) {
      peer = Peer();
      peer.incarnation_ = member.incarnation_;
    }
    router_.Transport().SetPeer(host, { member.address_, member.port_ });
  }
  for (const HostId& host : members_) {
    if (!members.contains(host)) {
      router_.Transport().RemovePeer(host);
      peers_.erase(host);
    }
  }
  members_ = std::move(members);
  liveness_.SetMembers(aState.Members(), clock_.Now());
  const Member* own = aState.FindMember(router_.Self());
  if (own != nullptr && own->incarnation_ == wanted_ && config_.SelfIncarnation() != wanted_) {
    config_.SetIncarnation(wanted_);
    liveness_.SetSelf({ router_.Self(), wanted_ });
    LogEvent(LogLevel::Info, "joined", { { "incarnation", std::to_string(wanted_) } });
  }
}

void
MembershipService::Tick()
{
  JoinIfNeeded();
  liveness_.Tick(clock_.Now());
  std::set<HostId> targets;
  for (const HostLife& life : liveness_.Targets()) {
    targets.insert(life.host_);
  }
  for (auto& [host, peer] : peers_) {
    // Hosts of the list are asked too while this host has no state.
    if (!peer.isAsking_ && (targets.contains(host) || !members_.contains(host))) {
      AskPeer(host);
    }
  }
  RemoveSilent();
  config_.Tick();
  if (clock_.Now() >= nextAnnounce_ && !isLeaving_) {
    nextAnnounce_ = clock_.Now() + kAnnounceInterval;
    Announce();
  }
  if (clock_.Now() >= nextFetch_ && config_.State() == nullptr) {
    nextFetch_ = clock_.Now() + kFetchInterval;
    FetchHosts();
  }
}

void
MembershipService::AskPeer(const HostId& aPeer)
{
  peers_[aPeer].isAsking_ = true;
  wire::Envelope message;
  if (pinFiller_) {
    pinFiller_(aPeer, *message.mutable_heartbeat());
  } else {
    message.mutable_heartbeat();
  }
  const TimePoint sentAt = clock_.Now();
  router_.Ask(aPeer,
              std::move(message),
              kHeartbeatTimeout,
              [this, weak = weak_from_this(), aPeer, sentAt](std::error_code aError,
                                                             const wire::Envelope& aAnswer) {
                if (weak.expired() || !peers_.contains(aPeer)) {
                  return;
                }
                peers_[aPeer].isAsking_ = false;
                if (!aError && aAnswer.has_heartbeat_answer() &&
                    aAnswer.sender() == aPeer.Value()) {
                  OnAnswer(aPeer, sentAt, aAnswer);
                }
              });
}

void
MembershipService::OnAnswer(const HostId& aPeer, TimePoint aSentAt, const wire::Envelope& aAnswer)
{
  const auto& body = aAnswer.heartbeat_answer();
  const HostLife life{ aPeer, aAnswer.incarnation() };
  Peer& peer = peers_[aPeer];
  // An answer of another life of the host says nothing about this member.
  if (life.incarnation_ == peer.incarnation_) {
    peer.heard_ = std::max(peer.heard_, aSentAt);
    peer.folded_ = body.folded();
  }
  SilenceReport report;
  for (const auto& silence : body.silences()) {
    report.emplace_back(HostLife{ HostId(silence.host()), silence.incarnation() },
                        Duration(silence.silence_ns()));
  }
  liveness_.OnAnswer(life, aSentAt, report);
  if (onProgress_ && life.incarnation_ != 0 && body.has_state()) {
    onProgress_(life, body.folded());
  }
  config_.OnHeartbeatAnswer(life, aSentAt, body);
}

void
MembershipService::ServeHeartbeat(const wire::Envelope& aRequest,
                                  const PeerTransport::Responder& aRespond)
{
  if (onHeartbeat_) {
    onHeartbeat_(aRequest);
  }
  wire::Envelope answer;
  auto& body = *answer.mutable_heartbeat_answer();
  config_.FillHeartbeatAnswer(body);
  for (const auto& [life, duration] : liveness_.Report(clock_.Now())) {
    auto& silence = *body.add_silences();
    silence.set_host(life.host_.Value());
    silence.set_incarnation(life.incarnation_);
    silence.set_silence_ns(duration.count());
  }
  aRespond(std::move(answer));
}

void
MembershipService::JoinIfNeeded()
{
  const ConfigState* state = config_.State();
  if (state == nullptr || isJoining_ || isLeaving_ || !config_.IsLogReadable()) {
    return;
  }
  const Member* own = state->FindMember(router_.Self());
  if (own != nullptr && own->incarnation_ == wanted_) {
    return;
  }
  // After a removal the host joins as a new incarnation, greater than any seen before. A join whose
  // append failed is tried again with the same one.
  const Incarnation last = state->LastIncarnation(router_.Self());
  if (wanted_ <= last) {
    wanted_ = MakeIncarnation(last, clock_.WallNow(), random_);
  }
  JoinRecord record;
  record.host_ = router_.Self();
  record.incarnation_ = wanted_;
  record.address_ = self_.peerEndpoint_.address_;
  record.port_ = self_.peerEndpoint_.port_;
  record.dataCentre_ = self_.dataCentre_;
  isJoining_ = true;
  const std::string id = "join/" + record.host_.Value() + "/" + std::to_string(wanted_);
  Append(id, EncodeRecord(record), [this](std::error_code) {
    // Whether the append took effect shows in the stream; it is asked for again if it did not.
    scheduler_.After(kAppendRetry, [this, weak = weak_from_this()] {
      if (!weak.expired()) {
        isJoining_ = false;
      }
    });
  });
}

void
MembershipService::RemoveSilent()
{
  if (isRemoving_ || !config_.MayAct() || !config_.IsLogReadable()) {
    return;
  }
  const auto removals = liveness_.Removals(clock_.Now());
  if (removals.empty()) {
    return;
  }
  const HostLife& silent = removals.front();
  RemoveRecord record;
  record.host_ = silent.host_;
  record.incarnation_ = silent.incarnation_;
  record.by_ = router_.Self();
  record.byIncarnation_ = config_.SelfIncarnation();
  const auto peer = peers_.find(silent.host_);
  if (peer != peers_.end() && peer->second.incarnation_ == silent.incarnation_) {
    record.heardNext_ = peer->second.folded_;
  }
  const std::string id = "remove/" + silent.host_.Value() + "/" +
                         std::to_string(silent.incarnation_) + "/" + record.by_.Value();
  LogEvent(LogLevel::Warn, "member_silent", { { "peer", silent.host_.Value() } });
  isRemoving_ = true;
  Append(id, EncodeRecord(record), [this](std::error_code) {
    scheduler_.After(kAppendRetry, [this, weak = weak_from_this()] {
      if (!weak.expired()) {
        isRemoving_ = false;
      }
    });
  });
}

void
MembershipService::Leave(std::function<void()> aDone)
{
  isLeaving_ = true;
  config_.StopAdmitting();
  const ConfigState* state = config_.State();
  if (state == nullptr || !state->IsMember(router_.Self(), config_.SelfIncarnation())) {
    aDone();
    return;
  }
  // Other hosts that are cut off must not go on with the confirmation of a host that has left.
  config_.SetPendingAppend(true);
  LeaveRecord record;
  record.host_ = router_.Self();
  record.incarnation_ = config_.SelfIncarnation();
  const std::string id =
    "leave/" + record.host_.Value() + "/" + std::to_string(record.incarnation_);
  Append(id, EncodeRecord(record), [done = std::move(aDone)](std::error_code) { done(); });
}

void
MembershipService::Append(std::string aId,
                          std::string aData,
                          std::function<void(std::error_code)> aDone)
{
  std::vector<NewRecord> records;
  records.push_back({ std::move(aId), std::move(aData) });
  log_.Append(
    kConfigStream,
    std::move(records),
    [weak = weak_from_this(), done = std::move(aDone)](std::error_code aError, LogOffset) {
      if (!weak.expired()) {
        done(aError);
      }
    });
}

void
MembershipService::Announce()
{
  hostList_.Announce(self_, [](std::error_code) {
    // The entry is refreshed again soon; the list is only a hint.
  });
}

void
MembershipService::FetchHosts()
{
  hostList_.Fetch(
    [this, weak = weak_from_this()](std::error_code aError, const std::vector<ListedHost>& aHosts) {
      // Only a host without a state needs the list: it asks the hosts there for theirs.
      if (weak.expired() || aError || config_.State() != nullptr) {
        return;
      }
      for (const auto& host : aHosts) {
        if (host.id_ != router_.Self() && !host.isLeaving_) {
          peers_.try_emplace(host.id_);
          router_.Transport().SetPeer(host.id_, host.peerEndpoint_);
        }
      }
    });
}

std::map<HostId, PeerStatus>
MembershipService::PeersByHost() const
{
  std::map<HostId, PeerStatus> result;
  for (const HostId& host : members_) {
    const auto found = peers_.find(host);
    if (found == peers_.end()) {
      continue;
    }
    PeerStatus status;
    status.host_ = host;
    status.isHeard_ = clock_.Now() - found->second.heard_ <= kUnheardAfter;
    status.folded_ = found->second.folded_;
    status.heardAge_ = clock_.Now() - found->second.heard_;
    result[host] = status;
  }
  return result;
}

std::vector<PeerStatus>
MembershipService::Peers() const
{
  std::vector<PeerStatus> result;
  for (auto& [host, status] : PeersByHost()) {
    result.push_back(status);
  }
  return result;
}

} // namespace laburnumweir
