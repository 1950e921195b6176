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
// A member that is unheard for longer is proposed for removal.
constexpr Duration kRemoveAfter = 1500ms;
constexpr Duration kAnnounceInterval = 2s;
constexpr Duration kFetchInterval = 1s;
constexpr Duration kAppendRetry = 500ms;

} // namespace

MembershipService::MembershipService(PeerRouter& aRouter,
                                     ConfigService& aConfig,
                                     const Clock& aClock,
                                     Scheduler& aScheduler,
                                     LogClient& aLog,
                                     HostListClient& aHostList,
                                     ListedHost aSelf)
  : router_(aRouter)
  , config_(aConfig)
  , clock_(aClock)
  , scheduler_(aScheduler)
  , log_(aLog)
  , hostList_(aHostList)
  , self_(std::move(aSelf))
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
      peer.since_ = clock_.Now();
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
  const Member* own = aState.FindMember(router_.Self());
  if (own != nullptr && own->incarnation_ == wanted_ && config_.SelfIncarnation() != wanted_) {
    config_.SetIncarnation(wanted_);
    LogEvent(LogLevel::Info, "joined", { { "incarnation", std::to_string(wanted_) } });
  }
}

void
MembershipService::Tick()
{
  JoinIfNeeded();
  for (auto& [host, peer] : peers_) {
    if (!peer.isAsking_) {
      AskPeer(host);
    }
  }
  RemoveSilent();
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
                const auto found = weak.expired() ? peers_.end() : peers_.find(aPeer);
                if (weak.expired() || found == peers_.end()) {
                  return;
                }
                Peer& peer = found->second;
                peer.isAsking_ = false;
                if (aError || !aAnswer.has_heartbeat_answer() ||
                    aAnswer.sender() != aPeer.Value()) {
                  return;
                }
                const auto& body = aAnswer.heartbeat_answer();
                // An answer of another life of the host says nothing about this member.
                if (peer.incarnation_ == 0 || aAnswer.incarnation() == peer.incarnation_) {
                  peer.heard_ = std::max(peer.heard_, sentAt);
                  peer.folded_ = body.folded();
                  peer.unheard_.clear();
                  for (const auto& host : body.unheard()) {
                    peer.unheard_.insert(HostId(host));
                  }
                }
                config_.OnHeartbeatAnswer(aPeer, sentAt, body);
              });
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
  for (const auto& [host, peer] : peers_) {
    if (members_.contains(host) && IsUnheard(peer)) {
      body.add_unheard(host.Value());
    }
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
  // After a removal the host joins as a new incarnation, greater than any seen before.
  wanted_ = state->LastIncarnation(router_.Self()) + 1;
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

bool
MembershipService::IsUnheard(const Peer& aPeer) const
{
  return clock_.Now() - std::max(aPeer.heard_, aPeer.since_) > kRemoveAfter;
}

void
MembershipService::RemoveSilent()
{
  const ConfigState* state = config_.State();
  if (isRemoving_ || state == nullptr || !config_.MayAct()) {
    return;
  }
  std::size_t heard = 1;
  for (const HostId& host : members_) {
    heard += IsUnheard(peers_[host]) ? 0 : 1;
  }
  // A host that hears only a minority is more likely to be cut off itself.
  if (heard * 2 <= state->Members().size()) {
    return;
  }
  for (const HostId& host : members_) {
    const Peer& silent = peers_[host];
    if (!IsUnheard(silent)) {
      continue;
    }
    std::size_t agreeing = 1;
    for (const HostId& other : members_) {
      agreeing += other != host && peers_[other].unheard_.contains(host) ? 1 : 0;
    }
    if (agreeing * 2 < heard) {
      continue;
    }
    RemoveRecord record;
    record.host_ = host;
    record.incarnation_ = silent.incarnation_;
    record.by_ = router_.Self();
    record.byIncarnation_ = config_.SelfIncarnation();
    const std::string id = "remove/" + host.Value() + "/" + std::to_string(record.incarnation_) +
                           "/" + record.by_.Value();
    LogEvent(LogLevel::Warn, "member_silent", { { "peer", host.Value() } });
    isRemoving_ = true;
    Append(id, EncodeRecord(record), [this](std::error_code) {
      scheduler_.After(kAppendRetry, [this, weak = weak_from_this()] {
        if (!weak.expired()) {
          isRemoving_ = false;
        }
      });
    });
    return;
  }
}

void
MembershipService::Leave(std::function<void()> aDone)
{
  isLeaving_ = true;
  const ConfigState* state = config_.State();
  if (state == nullptr || !state->IsMember(router_.Self(), config_.SelfIncarnation())) {
    aDone();
    return;
  }
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
    status.isHeard_ = !IsUnheard(found->second);
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
