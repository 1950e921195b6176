/** @file gossip_service.h Tells the peers what they need of this host, and takes in what they tell.
 */
#ifndef LABURNUMWEIR_GATEWAY_GOSSIP_SERVICE_H
#define LABURNUMWEIR_GATEWAY_GOSSIP_SERVICE_H

#include "core/scheduler_base.h"
#include "fleet/fleet_state.h"
#include "fleet/peer_table.h"
#include "fleet/quota_share.h"
#include "gateway/gossip_link.h"
#include "gateway/gossip_message.h"
#include "gateway/holder_service.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>

namespace laburnumweir {

/** Gossip of one host. */
class GossipService : public std::enable_shared_from_this<GossipService>
{
public:
  /** All must outlive this. @param aOnNews called when adapters of an engine changed. */
  GossipService(FleetState& aFleet,
                QuotaShare& aQuota,
                PeerTable& aPeers,
                Scheduler& aScheduler,
                HostId aHost,
                Endpoint aReply,
                std::int64_t aLife,
                std::function<void()> aOnNews);

  /** Sets what sends datagrams and who orders; before Start(). */
  void Connect(GossipLink& aLink, HolderService& aHolder);
  /** Starts to tell the peers. */
  void Start();
  /** Takes in a datagram. */
  void OnPayload(std::string_view aPayload);
  /** Tells the holder of an engine what requests wait for. */
  void Want(const UpstreamId& aEngine, const AdapterWant& aWant);
  /** Notes that a request with an adapter starts, for the holder of the engine. */
  void Used(const AdapterUse& aUse);
  /** Notes that a request with an adapter ended. */
  void Released(const AdapterUse& aUse);
  /** Tells peers that adapters of an engine changed: those that wait for it, and some others; the
   * rest hears of it from the engine's entry. */
  void TellResidency(const EngineResidency& aResidency);

private:
  GossipMessage NewMessage();
  void Tell();
  void TellUses();

  FleetState& fleet_;                                ///< Fleet.
  QuotaShare& quota_;                                ///< Quotas.
  PeerTable& peers_;                                 ///< Peers.
  Scheduler& scheduler_;                             ///< Delays.
  const HostId host_;                                ///< This host.
  const Endpoint reply_;                             ///< Where it receives gossip.
  const std::int64_t life_;                          ///< Start of the process, Unix ms.
  std::function<void()> onNews_;                     ///< Told of changed adapters.
  GossipLink* link_ = nullptr;                       ///< Sends datagrams.
  HolderService* holder_ = nullptr;                  ///< Orders to engines.
  std::uint64_t number_ = 0;                         ///< Number of the last message.
  std::map<UpstreamId, std::set<Endpoint>> waiting_; ///< Peers that wait for loads, by engine.
  std::set<AdapterUse> uses_;                        ///< Uses that were not told yet.
  std::map<AdapterUse, std::uint32_t> running_;      ///< Uses that run, with their number.
};

} // namespace laburnumweir

#endif
