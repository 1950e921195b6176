/** @file gossip_service.h Exchanges load reports, live hosts and store changes between hosts. */
#ifndef LABURNUMWEIR_GATEWAY_GOSSIP_SERVICE_H
#define LABURNUMWEIR_GATEWAY_GOSSIP_SERVICE_H

#include "core/scheduler_base.h"
#include "fleet/count_table.h"
#include "fleet/fleet_state.h"
#include "fleet/peer_table.h"
#include "fleet/quarantine.h"
#include "fleet/quota_share.h"
#include "fleet/retry_share.h"
#include "gateway/gossip_link.h"
#include "gateway/gossip_message.h"
#include "gateway/holder_service.h"
#include "gateway/shared_slots.h"
#include "gateway/store_watch.h"
#include "gateway/stream_origin_service.h"
#include "gateway/usage_service.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>

namespace laburnumweir {

/** State that gossip reads and updates. All references must outlive the service. */
struct GossipContext
{
  const Clock& clock_;
  Scheduler& scheduler_;
  FleetState& fleet_;
  QuotaShare& quota_;
  RetryShare& retries_;
  PeerTable& peers_;
  Quarantine& quarantine_;
};

/**
 * Gossip of one host. A few hosts of each data centre, the store readers, read the store for the
 * others. A store reader sends the sum of its own load report and those of the hosts that query it
 * to the other store readers. Any other host sends its load report to one store reader, whose
 * answer holds the sum of the load reports of all other hosts, the live hosts and the changes of
 * the store.
 */
class GossipService
  : public StreamOriginSender
  , public UsageSender
  , public SlotSender
  , public std::enable_shared_from_this<GossipService>
{
public:
  /**
   * @param aSelf this host.
   * @param aStartTime start time of this process, Unix ms.
   * @param aOnChange called when requests that wait may be able to start: an adapter is resident,
   * or a permit was granted.
   */
  GossipService(const GossipContext& aContext,
                HostRecord aSelf,
                std::int64_t aStartTime,
                std::function<void()> aOnChange);

  /** Sets the objects that gossip works with. Must be called before Start(); all objects must
   * outlive the service. */
  void Connect(DatagramSender& aLink, HolderService& aHolder, StoreWatch& aWatch);
  /** Sets the function that receives the messages on origins of streams. */
  void SetOnOrigins(std::function<void(const HostRecord&, const StreamOriginMessage&)> aFunction)
  {
    onOrigins_ = std::move(aFunction);
  }
  void SendOrigins(const Endpoint& aTo, const StreamOriginMessage& aMessage) override;
  /** Function that receives the messages on usage, with their sender and its start time. */
  using UsageFunction = std::function<void(const HostRecord&, std::int64_t, const UsageMessage&)>;
  /** Sets the function that receives the messages on usage. */
  void SetOnUsage(UsageFunction aFunction) { onUsage_ = std::move(aFunction); }
  void SendUsage(const Endpoint& aTo, const UsageMessage& aMessage) override;
  /** Sets the slots that messages of other hosts are passed to; nullptr for none. */
  void SetSlots(std::shared_ptr<SharedSlots> aSlots) { slots_ = std::move(aSlots); }
  HostRecord SlotIssuerOf(const ServiceName& aService) const override;
  bool HasLivePeers() const override { return issuers_.size() > 1; }
  void SendSlots(const Endpoint& aTo, const SlotDemand& aDemand) override;
  void SendSlots(const Endpoint& aTo, const SlotOffer& aOffer) override;
  /** Starts to send at each gossip interval. */
  void Start();
  /** Processes the payload of a received datagram. */
  void OnPayload(std::string_view aPayload);
  /** Sends a load request to the holder of an engine. */
  void RequestLoad(const UpstreamId& aEngine, const LoadRequest& aRequest);
  /**
   * Requests a permit to send a request to an upstream that limits them, from the host that issues
   * its permits. The answer is applied to the upstreams and reported with the function for changes.
   * @return whether this host is the issuer and the permit is granted.
   */
  bool RequestPermit(const UpstreamId& aUpstream);
  /** Records that a request with an adapter started; reported to the holder of the engine. */
  void OnUseStarted(const AdapterUse& aUse);
  /** Records that a request with an adapter ended. */
  void OnUseEnded(const AdapterUse& aUse);
  /** Sends the resident adapters of an engine to the peers that requested a load and to the store
   * readers. The other hosts receive the change with the engine's entry. */
  void SendResidency(const EngineResidency& aResidency);

private:
  /** A query that may still be answered. */
  struct OpenQuery
  {
    HostId reader_; ///< Store reader that it was sent to.
    TimePoint sentAt_;
  };

  /** Where the permits of an upstream are requested. */
  struct PermitSource
  {
    HostId issuer_;                   ///< Host that was last asked.
    std::optional<TimePoint> sentAt_; ///< When the request was sent that is not answered yet.
  };

  /** @return the host that issues the permits of an upstream; all hosts that know the same hosts
   * agree. */
  HostRecord IssuerOf(std::string_view aKey) const;
  void OnPermitMessage(const GossipMessage& aMessage);
  void OnSlotMessage(const GossipMessage& aMessage);
  GossipMessage NewMessage();
  GossipMessage NewLoadMessage(HostLoad aLoad);
  HostLoad OwnLoad() const;
  HostPartitions OwnPartitions() const;
  void Send(const Endpoint& aTo, const GossipMessage& aMessage);
  void SendRound();
  void ApplyLoad();
  void SendToReaders();
  void SendQuery(const HostRecord& aReader);
  void CheckReader(const HostRecord& aReader);
  void SendUses();
  void SendAnswer(const GossipMessage& aQuery);
  void OnReply(const GossipMessage& aMessage);
  void OnHostLoad(const GossipMessage& aMessage);
  /** Sends the live hosts to a host that regards itself as a store reader but is not one. */
  void SendLiveHosts(const HostRecord& aHost);

  GossipContext context_;
  const HostRecord self_;
  const std::int64_t startTime_;   ///< Start time of this process, Unix ms.
  std::function<void()> onChange_; ///< Called when requests that wait may be able to start.
  std::function<void(const HostRecord&, const StreamOriginMessage&)> onOrigins_;
  std::shared_ptr<SharedSlots> slots_; ///< May be empty.
  UsageFunction onUsage_;
  DatagramSender* link_ = nullptr;
  HolderService* holder_ = nullptr;
  StoreWatch* watch_ = nullptr;
  HostLoadTable hostLoads_;                        ///< Load reports of the other hosts.
  std::uint64_t lastNumber_ = 0;                   ///< Number of the last message sent.
  std::map<std::uint64_t, OpenQuery> openQueries_; ///< By message number, oldest first.
  HostId reader_;                 ///< Store reader that is queried; empty if this host is one.
  TimePoint readerAnsweredAt_;    ///< When the store reader last answered, or was chosen.
  bool hasAnswer_ = false;        ///< The store reader has answered since it was chosen.
  std::uint64_t hostsDigest_ = 0; ///< Digest of receivedHosts_; 0 if the store reader sent none.
  std::vector<HostPartitions> receivedHosts_; ///< Live hosts that the store reader sent last.
  std::map<UpstreamId, std::set<Endpoint>> loadWaiters_; ///< Peers that requested loads, by engine.
  std::set<AdapterUse> unsentUses_;                      ///< Uses that were not sent yet.
  PermitIssuer issuer_;
  std::vector<HostRecord> issuers_;                   ///< Live hosts, this one included.
  std::map<UpstreamId, PermitSource> permitRequests_; ///< Upstreams that had a limit.
  std::map<AdapterUse, std::uint32_t> runningUses_;   ///< Number of running requests of this host.
};

} // namespace laburnumweir

#endif
