/** @file gossip_service.cpp Tells the peers what they need of this host, and takes in what they
 * tell.
 */
#include "gateway/gossip_service.h"

#include "logging/logging_func.h"
#include "table/fleet_const.h"

namespace laburnumweir {

GossipService::GossipService(FleetState& aFleet,
                             QuotaShare& aQuota,
                             PeerTable& aPeers,
                             Scheduler& aScheduler,
                             HostId aHost,
                             Endpoint aReply,
                             std::int64_t aLife,
                             std::function<void()> aOnNews)
  : fleet_(aFleet)
  , quota_(aQuota)
  , peers_(aPeers)
  , scheduler_(aScheduler)
  , host_(std::move(aHost))
  , reply_(std::move(aReply))
  , life_(aLife)
  , onNews_(std::move(aOnNews))
{
}

void
GossipService::Connect(GossipLink& aLink, HolderService& aHolder)
{
  link_ = &aLink;
  holder_ = &aHolder;
}

void
GossipService::Start()
{
  RepeatWhileAlive(scheduler_, kGossipInterval, weak_from_this(), [this] { Tell(); });
}

GossipMessage
GossipService::NewMessage()
{
  GossipMessage message;
  message.host_ = host_;
  message.reply_ = reply_;
  message.life_ = life_;
  message.number_ = ++number_;
  return message;
}

void
GossipService::Tell()
{
  peers_.Expire();
  fleet_.Upstreams().ExpirePeers();
  const auto hosts = peers_.Hosts();
  quota_.SetHosts(hosts.size());
  holder_->SetHosts(hosts.size());
  fleet_.Upstreams().SetHosts(hosts);
  auto message = NewMessage();
  message.hasCounts_ = true;
  message.demand_ = quota_.Demand();
  message.load_ = fleet_.Upstreams().OwnLoad();
  message.generation_ = holder_->Lease().Token();
  message.partitions_ = holder_->Lease().Partitions();
  const auto payload = EncodeGossip(message);
  for (const auto& target : peers_.NextTargets(kGossipFanOut)) {
    link_->Send(target, payload);
  }
  TellUses();
}

void
GossipService::TellUses()
{
  std::map<Endpoint, GossipMessage> messages;
  for (const auto& use : uses_) {
    if (const auto target = peers_.HolderOf(holder_->PartitionOfEngine(use.engine_))) {
      messages[*target].uses_.push_back(use);
    }
  }
  for (const auto& [use, count] : running_) {
    const auto partition = holder_->PartitionOfEngine(use.engine_);
    if (holder_->Lease().MayOrder(partition)) {
      holder_->StillUsed(use.engine_, use.model_, use.adapter_);
    } else if (const auto target = peers_.HolderOf(partition); target && !uses_.contains(use)) {
      messages[*target].running_.push_back(use);
    }
  }
  uses_.clear();
  for (auto& [target, uses] : messages) {
    auto message = NewMessage();
    message.uses_ = std::move(uses.uses_);
    message.running_ = std::move(uses.running_);
    link_->Send(target, EncodeGossip(message));
  }
}

void
GossipService::OnPayload(std::string_view aPayload)
{
  const auto message = DecodeGossip(aPayload);
  if (!message) {
    LogEvent(LogLevel::Warn, "gossip_unreadable", { { "bytes", std::to_string(aPayload.size()) } });
    return;
  }
  const bool isNewest =
    peers_.OnHeard(message->host_, message->reply_, message->life_, message->number_);
  if (message->hasCounts_ && isNewest) {
    quota_.OnPeerDemand(message->host_, message->demand_);
    fleet_.Upstreams().OnPeerLoad(message->host_, message->load_);
    peers_.OnPartitions(message->host_, message->generation_, message->partitions_);
  }
  bool hasNews = false;
  for (const auto& residency : message->residency_) {
    hasNews = fleet_.Upstreams().OnResidency(residency) || hasNews;
  }
  for (const auto& use : message->uses_) {
    holder_->Used(use.engine_, use.model_, use.adapter_);
  }
  for (const auto& use : message->running_) {
    holder_->StillUsed(use.engine_, use.model_, use.adapter_);
  }
  for (const auto& want : message->wants_) {
    waiting_[want.engine_].insert(message->reply_);
    holder_->Want(want.engine_, want.want_);
  }
  if (hasNews) {
    onNews_();
  }
}

void
GossipService::Want(const UpstreamId& aEngine, const AdapterWant& aWant)
{
  const auto partition = holder_->PartitionOfEngine(aEngine);
  if (holder_->Lease().MayOrder(partition)) {
    holder_->Want(aEngine, aWant);
    return;
  }
  if (const auto target = peers_.HolderOf(partition)) {
    auto message = NewMessage();
    message.wants_.push_back({ aEngine, aWant });
    link_->Send(*target, EncodeGossip(message));
  }
}

void
GossipService::Used(const AdapterUse& aUse)
{
  ++running_[aUse];
  // A host that becomes the holder starts with its own part of the uses.
  holder_->Used(aUse.engine_, aUse.model_, aUse.adapter_);
  if (!holder_->Lease().MayOrder(holder_->PartitionOfEngine(aUse.engine_))) {
    uses_.insert(aUse);
  }
}

void
GossipService::Released(const AdapterUse& aUse)
{
  const auto found = running_.find(aUse);
  if (found != running_.end() && --found->second == 0) {
    running_.erase(found);
  }
}

void
GossipService::TellResidency(const EngineResidency& aResidency)
{
  auto message = NewMessage();
  message.residency_.push_back(aResidency);
  const auto payload = EncodeGossip(message);
  std::set<Endpoint> targets;
  if (const auto waiting = waiting_.extract(aResidency.engine_)) {
    targets = waiting.mapped();
  }
  for (const auto& target : peers_.NextTargets(kGossipFanOut)) {
    targets.insert(target);
  }
  for (const auto& target : targets) {
    link_->Send(target, payload);
  }
  onNews_();
}

} // namespace laburnumweir
