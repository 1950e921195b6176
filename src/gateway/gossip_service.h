/** @file gossip_service.h Tells the peers what they need of this host, and takes in what they tell.
 */
#ifndef LABURNUMWEIR_GATEWAY_GOSSIP_SERVICE_H
#define LABURNUMWEIR_GATEWAY_GOSSIP_SERVICE_H

#include "core/scheduler_base.h"
#include "fleet/count_table.h"
#include "fleet/fleet_state.h"
#include "fleet/peer_table.h"
#include "fleet/quota_share.h"
#include "fleet/retry_share.h"
#include "gateway/gossip_link.h"
#include "gateway/gossip_message.h"
#include "gateway/holder_service.h"
#include "gateway/store_watch.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>

namespace laburnumweir {

/** What gossip reads and keeps current. Everything outlives the service. */
struct GossipContext
{
  const Clock& clock_;   ///< Time source.
  Scheduler& scheduler_; ///< Delays.
  FleetState& fleet_;    ///< Fleet.
  QuotaShare& quota_;    ///< Quotas.
  RetryShare& retries_;  ///< Retries.
  PeerTable& peers_;     ///< Peers.
};

/**
 * Gossip of one host. A reader tells its counts and the sum over the hosts that ask it to the other
 * readers; any other host tells its counts to a reader, whose answer holds the counts of all
 * others, the live hosts and what changed in the store.
 */
class GossipService : public std::enable_shared_from_this<GossipService>
{
public:
  /**
   * @param aContext what is read and kept current.
   * @param aSelf this host. @param aLife start of the process, Unix ms.
   * @param aOnNews called when adapters of an engine changed.
   */
  GossipService(const GossipContext& aContext,
                HostRecord aSelf,
                std::int64_t aLife,
                std::function<void()> aOnNews);

  /** Sets what sends datagrams, who orders and who reads the store; before Start(). */
  void Connect(DatagramSender& aLink, HolderService& aHolder, StoreWatch& aWatch);
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
  /** Tells peers that adapters of an engine changed: those that wait for it, and the readers; the
   * rest hears of it from the engine's entry. */
  void TellResidency(const EngineResidency& aResidency);

private:
  /** A question that may still be answered. */
  struct Question
  {
    HostId reader_;   ///< Reader that was asked.
    TimePoint asked_; ///< When.
  };

  GossipMessage NewMessage();
  GossipMessage NewCounts(HostCounts aCounts);
  HostCounts OwnCounts() const;
  HostClaim OwnClaim() const;
  void Send(const Endpoint& aTo, const GossipMessage& aMessage);
  void Tell();
  void ApplyCounts();
  void TellReaders();
  void Ask(const HostRecord& aReader);
  void CheckReader(const HostRecord& aReader);
  void TellUses();
  void Answer(const GossipMessage& aQuestion);
  void OnAnswer(const GossipMessage& aMessage);
  void OnCounts(const GossipMessage& aMessage);
  /** Tells a host that counts itself among the readers, and is none, which hosts live. */
  void Introduce(const HostRecord& aHost);

  GossipContext context_;                            ///< What is read and kept current.
  const HostRecord self_;                            ///< This host.
  const std::int64_t life_;                          ///< Start of the process, Unix ms.
  std::function<void()> onNews_;                     ///< Told of changed adapters.
  DatagramSender* link_ = nullptr;                   ///< Sends datagrams.
  HolderService* holder_ = nullptr;                  ///< Orders to engines.
  StoreWatch* watch_ = nullptr;                      ///< Reads the store.
  CountTable counts_;                                ///< Counts of the other hosts.
  std::uint64_t number_ = 0;                         ///< Number of the last message.
  std::map<std::uint64_t, Question> questions_;      ///< Questions by their number.
  HostId reader_;                                    ///< Reader that is asked; empty for a reader.
  TimePoint readerHeard_;                            ///< When it last answered, or was chosen.
  bool hasAnswer_ = false;                           ///< It has answered.
  std::uint64_t hostsDigest_ = 0;                    ///< Digest of the live hosts it told.
  std::vector<HostClaim> toldHosts_;                 ///< Live hosts it told.
  std::map<UpstreamId, std::set<Endpoint>> waiting_; ///< Peers that wait for loads, by engine.
  std::set<AdapterUse> uses_;                        ///< Uses that were not told yet.
  std::map<AdapterUse, std::uint32_t> running_;      ///< Uses that run, with their number.
};

} // namespace laburnumweir

#endif
