/** @file gossip_service.cpp Exchanges load reports, live hosts and store changes between hosts. */
#include "gateway/gossip_service.h"

#include "core/hash_func.h"
#include "logging/logging_func.h"
#include "table/fleet_const.h"
#include "table/limit_const.h"

#include <algorithm>

namespace laburnumweir {

using std::chrono::milliseconds;

namespace {

// A host sends four queries per second. An answer to a query that is not among the last eight, and
// thus at least two seconds old, is ignored.
constexpr std::size_t kMaxOpenQueries = 8;

/** @return name of the one peer that stands for all other hosts in quotas and upstream load. */
const HostId&
Others()
{
  static const HostId kOthers("others");
  return kOthers;
}

/** @return newest era in which a host has read the store, as far as a message tells. */
StoreEra
NewestEra(const GossipMessage& aMessage)
{
  StoreEra era = aMessage.hostLoad_ ? aMessage.hostLoad_->config_.next_.era_ : 0;
  if (aMessage.query_) {
    era = std::max(era, aMessage.query_->upstreams_.era_);
  }
  if (aMessage.reply_) {
    era = std::max({ era,
                     aMessage.reply_->operators_.value_or(StorePosition()).era_,
                     aMessage.reply_->upstreams_.value_or(StorePosition()).era_ });
  }
  return era;
}

/** @return estimated size of an upstream's entry in an answer, bytes. */
std::size_t
EstimatedSize(const UpstreamChange& aChange)
{
  constexpr std::size_t kFieldBytes = 120; // numbers, address and separators
  constexpr std::size_t kAdapterBytes = 12;
  std::size_t size = kFieldBytes + aChange.id_.Value().size();
  if (aChange.entry_) {
    for (const auto& model : aChange.entry_->models_) {
      size += model.name_.size() + kAdapterBytes * model.adapters_.size();
    }
  }
  return size;
}

} // namespace

GossipService::GossipService(const GossipContext& aContext,
                             HostRecord aSelf,
                             std::int64_t aStartTime,
                             std::function<void()> aOnChange)
  : context_(aContext)
  , self_(std::move(aSelf))
  , startTime_(aStartTime)
  , onChange_(std::move(aOnChange))
  , hostLoads_(aContext.clock_)
  , issuer_(aContext.clock_)
  , issuers_{ self_ }
{
}

void
GossipService::Connect(DatagramSender& aLink, HolderService& aHolder, StoreWatch& aWatch)
{
  link_ = &aLink;
  holder_ = &aHolder;
  watch_ = &aWatch;
}

void
GossipService::Start()
{
  context_.retries_.OnProcessStart();
  RepeatWhileAlive(context_.scheduler_, kGossipInterval, weak_from_this(), [this] { SendRound(); });
}

GossipMessage
GossipService::NewMessage()
{
  GossipMessage message;
  message.host_ = self_;
  message.startedAt_ = startTime_;
  message.number_ = ++lastNumber_;
  return message;
}

GossipMessage
GossipService::NewLoadMessage(HostLoad aLoad)
{
  auto message = NewMessage();
  message.hostLoad_ = std::move(aLoad);
  message.generation_ = holder_->Lease().Generation();
  message.partitions_ = holder_->Lease().Partitions();
  message.quarantine_ = context_.quarantine_.Report();
  return message;
}

HostLoad
GossipService::OwnLoad() const
{
  return { context_.quota_.Demand(),
           context_.fleet_.Upstreams().OwnLoad(),
           context_.fleet_.Config(),
           watch_->Restore() };
}

HostPartitions
GossipService::OwnPartitions() const
{
  return { self_, holder_->Lease().Generation(), holder_->Lease().Partitions() };
}

void
GossipService::Send(const Endpoint& aTo, const GossipMessage& aMessage)
{
  link_->Send(aTo, EncodeGossip(aMessage));
}

void
GossipService::SendRound()
{
  context_.peers_.Expire();
  context_.quarantine_.Expire();
  issuer_.Expire();
  issuers_ = { self_ };
  for (const auto& peer : context_.peers_.LivePeers()) {
    issuers_.push_back(peer.host_);
  }
  const auto hosts = context_.peers_.Hosts();
  context_.quota_.SetHostCount(hosts.size());
  const auto knownHosts = context_.peers_.KnownHosts();
  context_.retries_.SetHostCount(knownHosts.size());
  holder_->SetHostCount(hosts.size());
  context_.fleet_.Upstreams().SetHosts(knownHosts);
  ApplyLoad();
  if (const auto reader = context_.peers_.AssignedReader()) {
    CheckReader(*reader);
    SendQuery(*reader);
  } else {
    if (!reader_.IsEmpty()) {
      LogEvent(LogLevel::Info, "reader_role_taken", { { "reader_before", reader_.Value() } });
    }
    reader_ = HostId();
    watch_->SetRelayed(false);
    SendToReaders();
  }
  SendUses();
}

void
GossipService::ApplyLoad()
{
  hostLoads_.Expire();
  const auto others = hostLoads_.TotalOfOthers();
  context_.quota_.OnPeerDemand(Others(), others.demand_);
  context_.fleet_.Upstreams().OnPeerLoad(Others(), others.load_);
  context_.fleet_.SetPeerConfig(others.config_);
}

void
GossipService::SendToReaders()
{
  auto message = NewLoadMessage(hostLoads_.SumOfClients(OwnLoad()));
  std::set<Endpoint> targets;
  for (const auto& reader : context_.peers_.OtherStoreReaders()) {
    targets.insert(reader.gossip_);
  }
  for (auto& claim : context_.peers_.LivePeers()) {
    const auto isQuerying = hostLoads_.IsClient(claim.host_.id_);
    if (isQuerying && *isQuerying) {
      message.hosts_.push_back(std::move(claim));
    } else if (isQuerying) {
      // It regards itself as a store reader and sends no query, so it would otherwise receive no
      // load reports of other hosts.
      targets.insert(claim.host_.gossip_);
    }
  }
  const auto payload = EncodeGossip(message);
  for (const auto& target : targets) {
    link_->Send(target, payload);
  }
}

void
GossipService::CheckReader(const HostRecord& aReader)
{
  const auto now = context_.clock_.Now();
  if (reader_ != aReader.id_) {
    LogEvent(LogLevel::Info,
             "reader_chosen",
             { { "reader", aReader.id_.Value() }, { "before", reader_.Value() } });
    reader_ = aReader.id_;
    readerAnsweredAt_ = now;
    hasAnswer_ = false;
    hostsDigest_ = 0;
  }
  const bool isSilent = now - readerAnsweredAt_ > kReaderTimeout;
  if (isSilent) {
    LogEvent(LogLevel::Warn,
             "reader_silent",
             { { "reader", reader_.Value() },
               { "since_ms", std::to_string((now - readerAnsweredAt_) / milliseconds(1)) } });
    context_.peers_.OnNoAnswer(reader_);
  }
  watch_->SetRelayed(hasAnswer_ && !isSilent);
}

void
GossipService::SendQuery(const HostRecord& aReader)
{
  auto message = NewLoadMessage(OwnLoad());
  message.query_ =
    RelayQuery{ watch_->Position().upstreams_.value_or(StorePosition()), hostsDigest_ };
  openQueries_[message.number_] = { aReader.id_, context_.clock_.Now() };
  if (openQueries_.size() > kMaxOpenQueries) {
    openQueries_.erase(openQueries_.begin());
  }
  Send(aReader.gossip_, message);
}

void
GossipService::SendAnswer(const GossipMessage& aQuery)
{
  auto message = NewLoadMessage(hostLoads_.SumWithout(aQuery.host_.id_, OwnLoad()));
  const auto position = watch_->Position();
  RelayReply answer;
  answer.query_ = aQuery.number_;
  const auto proofAge = context_.fleet_.ConfigAge();
  if (proofAge < Duration::max()) {
    answer.operators_ = position.operators_;
    answer.configAge_ = std::chrono::ceil<milliseconds>(proofAge);
  }
  answer.upstreams_ = position.upstreams_;
  answer.upstreamAge_ = std::chrono::ceil<milliseconds>(position.upstreamAge_);
  auto page = position.upstreams_ ? context_.fleet_.Changes().PageSince(
                                      aQuery.query_->upstreams_, kMaxRelayedBytes, EstimatedSize)
                                  : std::nullopt;
  if (page) {
    answer.changes_ = std::move(page->changes_);
    if (page->next_) {
      answer.upstreams_->next_ = *page->next_;
      answer.upstreamAge_ = kIncompletePageAge;
    }
  }
  auto hosts = context_.peers_.LivePeers();
  hosts.push_back(OwnPartitions());
  answer.hostsDigest_ = DigestOfHosts(hosts);
  if (answer.hostsDigest_ != aQuery.query_->hostsDigest_) {
    message.hosts_ = std::move(hosts);
  }
  message.reply_ = std::move(answer);
  Send(aQuery.host_.gossip_, message);
}

void
GossipService::OnReply(const GossipMessage& aMessage)
{
  const auto& answer = *aMessage.reply_;
  const auto query = openQueries_.find(answer.query_);
  if (query == openQueries_.end() || query->second.reader_ != aMessage.host_.id_) {
    return; // already answered, or older than an answered query or than the last eight
  }
  const auto sentAt = query->second.sentAt_;
  openQueries_.erase(openQueries_.begin(), std::next(query));
  if (aMessage.host_.id_ == reader_) {
    readerAnsweredAt_ = context_.clock_.Now();
    hasAnswer_ = true;
  }
  if (answer.operators_) {
    watch_->OnRelayedConfigAge(sentAt, *answer.operators_, answer.configAge_);
  }
  if (answer.upstreams_ && answer.changes_) {
    ChangeBatch batch;
    batch.era_ = answer.upstreams_->era_;
    batch.next_ = answer.upstreams_->next_;
    batch.changes_.assign(answer.changes_->begin(), answer.changes_->end());
    watch_->OnRelayedUpstreams(sentAt, batch, answer.upstreamAge_);
  } else if (answer.upstreams_) {
    watch_->ReadUpstreamsSoon();
  }
  if (const auto reader = context_.peers_.AssignedReader();
      reader && reader->id_ == aMessage.host_.id_ && answer.upstreamAge_ >= kIncompletePageAge) {
    SendQuery(*reader);
  }
  if (!aMessage.hosts_.empty()) {
    hostsDigest_ = answer.hostsDigest_;
    receivedHosts_ = aMessage.hosts_;
  }
  // An equal digest confirms that the hosts received before are still live.
  if (hostsDigest_ == answer.hostsDigest_) {
    context_.peers_.OnRelayedHosts(receivedHosts_);
  }
  hostLoads_.OnRelayedTotal(*aMessage.hostLoad_);
}

void
GossipService::OnHostLoad(const GossipMessage& aMessage)
{
  context_.peers_.OnPartitions(aMessage.host_.id_, aMessage.generation_, aMessage.partitions_);
  watch_->OnPeerEra(NewestEra(aMessage));
  if (const auto& restore = aMessage.hostLoad_->restore_) {
    watch_->OnPeerRestore(*restore);
  }
  if (aMessage.reply_) {
    OnReply(aMessage);
  } else {
    hostLoads_.OnPeerLoad(aMessage.host_.id_, *aMessage.hostLoad_, aMessage.query_.has_value());
    if (aMessage.query_) {
      SendAnswer(aMessage);
    } else {
      SendLiveHosts(aMessage.host_);
    }
  }
  if (aMessage.hostLoad_->config_.version_ > context_.fleet_.Config().version_) {
    ApplyLoad(); // Not only with the next round, as this host may act on a lost configuration.
  }
}

void
GossipService::SendLiveHosts(const HostRecord& aHost)
{
  const auto readers = context_.peers_.OtherStoreReaders();
  const bool isReader = std::any_of(
    readers.begin(), readers.end(), [&](const auto& aReader) { return aReader.id_ == aHost.id_; });
  if (isReader) {
    return;
  }
  // A host that starts knows only the hosts that were recorded before it. If several start at the
  // same time, too many may regard themselves as store readers.
  auto message = NewMessage();
  message.hosts_ = context_.peers_.LivePeers();
  message.hosts_.push_back(OwnPartitions());
  Send(aHost.gossip_, message);
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
    context_.peers_.OnMessage(message->host_, message->startedAt_, message->number_);
  if (isNewest && !message->reply_) {
    context_.peers_.OnRelayedHosts(message->hosts_);
  }
  if (message->hostLoad_ && isNewest) {
    OnHostLoad(*message);
  }
  context_.quarantine_.Merge(message->quarantine_);
  OnPermitMessage(*message);
  OnSlotMessage(*message);
  if (onOrigins_) {
    onOrigins_(message->host_, message->origins_);
  }
  if (onUsage_ && message->usage_) {
    onUsage_(message->host_, message->startedAt_, *message->usage_);
  }
  bool hasChanged = false;
  for (const auto& residency : message->residency_) {
    hasChanged = context_.fleet_.Upstreams().OnResidency(residency) || hasChanged;
  }
  for (const auto& use : message->startedUses_) {
    holder_->RecordUse(use.engine_, use.model_, use.adapter_);
  }
  for (const auto& use : message->runningUses_) {
    holder_->RecordRunningUse(use.engine_, use.model_, use.adapter_);
  }
  for (const auto& want : message->loadRequests_) {
    loadWaiters_[want.engine_].insert(message->host_.gossip_);
    holder_->RequestLoad(want.engine_, want.request_);
  }
  if (hasChanged) {
    onChange_();
  }
}

void
GossipService::SendUses()
{
  std::map<Endpoint, GossipMessage> messages;
  for (const auto& use : unsentUses_) {
    if (const auto target = context_.peers_.HolderOf(holder_->PartitionOfEngine(use.engine_))) {
      messages[*target].startedUses_.push_back(use);
    }
  }
  for (const auto& [use, count] : runningUses_) {
    const auto partition = holder_->PartitionOfEngine(use.engine_);
    if (holder_->Lease().MayOrder(partition)) {
      holder_->RecordRunningUse(use.engine_, use.model_, use.adapter_);
    } else if (const auto target = context_.peers_.HolderOf(partition);
               target && !unsentUses_.contains(use)) {
      messages[*target].runningUses_.push_back(use);
    }
  }
  unsentUses_.clear();
  for (auto& [target, uses] : messages) {
    auto message = NewMessage();
    message.startedUses_ = std::move(uses.startedUses_);
    message.runningUses_ = std::move(uses.runningUses_);
    link_->Send(target, EncodeGossip(message));
  }
}

void
GossipService::RequestLoad(const UpstreamId& aEngine, const LoadRequest& aRequest)
{
  const auto partition = holder_->PartitionOfEngine(aEngine);
  if (holder_->Lease().MayOrder(partition)) {
    holder_->RequestLoad(aEngine, aRequest);
    return;
  }
  if (const auto target = context_.peers_.HolderOf(partition)) {
    auto message = NewMessage();
    message.loadRequests_.push_back({ aEngine, aRequest });
    link_->Send(*target, EncodeGossip(message));
  }
}

HostRecord
GossipService::IssuerOf(std::string_view aKey) const
{
  return *std::max_element(
    issuers_.begin(), issuers_.end(), [&](const HostRecord& aLeft, const HostRecord& aRight) {
      return RendezvousWeight(aLeft.id_.Value(), aKey) < RendezvousWeight(aRight.id_.Value(), aKey);
    });
}

bool
GossipService::RequestPermit(const UpstreamId& aUpstream)
{
  const auto now = context_.clock_.Now();
  auto& upstreams = context_.fleet_.Upstreams();
  const auto limit = upstreams.RequestLimit(aUpstream);
  if (!limit) {
    return false;
  }
  auto& open = permitRequests_[aUpstream];
  if (open.sentAt_ && now - *open.sentAt_ < kPermitTimeout) {
    return false;
  }
  const auto issuer = IssuerOf(aUpstream.Value());
  if (open.issuer_ != issuer.id_) {
    open.issuer_ = issuer.id_;
    LogEvent(LogLevel::Info,
             "permit_issuer_chosen",
             { { "upstream", aUpstream.Value() },
               { "issuer", issuer.id_.Value() },
               { "per_second", std::to_string(*limit) },
               { "hosts", std::to_string(issuers_.size()) } });
  }
  if (issuer.id_ == self_.id_) {
    const auto permit = issuer_.Issue(aUpstream, *limit);
    upstreams.OnPermit(aUpstream, permit);
    return permit.isGranted_;
  }
  if (open.sentAt_) {
    // Another issuer would grant the limit once more while this one, or the datagram, is only late.
    upstreams.OnPermit(aUpstream, { false, kMinPermitDelay });
  }
  open.sentAt_ = now;
  auto message = NewMessage();
  message.permitRequests_.push_back({ aUpstream, *limit });
  Send(issuer.gossip_, message);
  return false;
}

void
GossipService::OnPermitMessage(const GossipMessage& aMessage)
{
  auto answer = NewMessage();
  for (const auto& request : aMessage.permitRequests_) {
    answer.permitAnswers_.push_back(
      { request.upstream_, issuer_.Issue(request.upstream_, request.limit_) });
  }
  if (!answer.permitAnswers_.empty()) {
    Send(aMessage.host_.gossip_, answer);
  }
  bool isGranted = false;
  for (const auto& permit : aMessage.permitAnswers_) {
    permitRequests_[permit.upstream_].sentAt_.reset();
    context_.fleet_.Upstreams().OnPermit(permit.upstream_, permit.permit_);
    isGranted = isGranted || permit.permit_.isGranted_;
  }
  if (isGranted) {
    onChange_();
  }
}

void
GossipService::SendOrigins(const Endpoint& aTo, const StreamOriginMessage& aMessage)
{
  auto message = NewMessage();
  message.origins_ = aMessage;
  Send(aTo, message);
}

void
GossipService::SendUsage(const Endpoint& aTo, const UsageMessage& aMessage)
{
  auto message = NewMessage();
  message.usage_ = aMessage;
  Send(aTo, message);
}

HostRecord
GossipService::SlotIssuerOf(const ServiceName& aService) const
{
  return IssuerOf(aService.Value());
}

void
GossipService::SendSlots(const Endpoint& aTo, const SlotDemand& aDemand)
{
  auto message = NewMessage();
  message.slotDemands_.push_back(aDemand);
  Send(aTo, message);
}

void
GossipService::SendSlots(const Endpoint& aTo, const SlotOffer& aOffer)
{
  auto message = NewMessage();
  message.slotOffers_.push_back(aOffer);
  Send(aTo, message);
}

void
GossipService::OnSlotMessage(const GossipMessage& aMessage)
{
  if (!slots_) {
    return;
  }
  for (const auto& demand : aMessage.slotDemands_) {
    slots_->OnDemand(aMessage.host_, aMessage.startedAt_, aMessage.number_, demand);
  }
  for (const auto& offer : aMessage.slotOffers_) {
    slots_->OnOffer(offer);
  }
}

void
GossipService::OnUseStarted(const AdapterUse& aUse)
{
  ++runningUses_[aUse];
  // Recorded here even if another host holds the engine: if this host becomes its holder, it then
  // knows the uses of its own requests.
  holder_->RecordUse(aUse.engine_, aUse.model_, aUse.adapter_);
  if (!holder_->Lease().MayOrder(holder_->PartitionOfEngine(aUse.engine_))) {
    unsentUses_.insert(aUse);
  }
}

void
GossipService::OnUseEnded(const AdapterUse& aUse)
{
  const auto found = runningUses_.find(aUse);
  if (found != runningUses_.end() && --found->second == 0) {
    runningUses_.erase(found);
  }
}

void
GossipService::SendResidency(const EngineResidency& aResidency)
{
  auto message = NewMessage();
  message.residency_.push_back(aResidency);
  const auto payload = EncodeGossip(message);
  std::set<Endpoint> targets;
  if (const auto waiters = loadWaiters_.extract(aResidency.engine_)) {
    targets = waiters.mapped();
  }
  for (const auto& reader : context_.peers_.OtherStoreReaders()) {
    targets.insert(reader.gossip_);
  }
  for (const auto& target : targets) {
    link_->Send(target, payload);
  }
  onChange_();
}

} // namespace laburnumweir
