/** @file shared_slots.h Use of the slots that the issuer of a service assigns to this host. */
#ifndef LABURNUMWEIR_GATEWAY_SHARED_SLOTS_H
#define LABURNUMWEIR_GATEWAY_SHARED_SLOTS_H

#include "core/clock_base.h"
#include "core/scheduler_base.h"
#include "fleet/fleet_state.h"
#include "fleet/fleet_store_base.h"
#include "fleet/slot_issuer.h"
#include "fleet/wait_queue.h"
#include "gateway/slot_source_base.h"
#include "metrics/metrics.h"

#include <functional>
#include <map>
#include <memory>

namespace laburnumweir {

/** Sends messages about slots to other hosts. */
class SlotSender
{
public:
  virtual ~SlotSender() = default;
  /** @return the host that assigns the slots of a service; this one if it knows no other. */
  virtual HostRecord SlotIssuerOf(const ServiceName& aService) const = 0;
  /** @return whether another host is live. */
  virtual bool HasLivePeers() const = 0;
  virtual void SendSlots(const Endpoint& aTo, const SlotDemand& aDemand) = 0;
  virtual void SendSlots(const Endpoint& aTo, const SlotOffer& aOffer) = 0;
};

/** What the shared slots use and change. All references must outlive them. */
struct SharedSlotsContext
{
  const Clock& clock_;
  Scheduler& scheduler_;
  FleetState& fleet_;
  WaitQueue& queue_;
  Metrics& metrics_;
  SlotSender& sender_;
  std::function<void()> onSlots_; ///< Called when requests that wait may be able to start.
};

/**
 * Asks the issuer of each plain service for slots for the waiting requests of this host, and acts
 * as the issuer of some services. While the issuer does not answer, hosts choose upstreams by
 * themselves. Not thread-safe.
 */
class SharedSlots
  : public SlotSource
  , public std::enable_shared_from_this<SharedSlots>
{
public:
  /** @param aStartTime start time of this process, Unix ms, which makes its grants unique. */
  SharedSlots(SharedSlotsContext aContext, HostRecord aSelf, std::int64_t aStartTime);

  void Start();
  /** Asks for slots, since a request of a service waits. */
  void OnQueued(const ServiceName& aService)
  {
    if (IsShared(aService)) {
      ScheduleDemand(aService);
    }
  }
  /** Applies a message of a host; see SlotIssuer::OnDemand(). */
  void OnDemand(const HostRecord& aFrom,
                std::int64_t aStartedAt,
                std::uint64_t aNumber,
                const SlotDemand& aDemand);
  void OnOffer(const SlotOffer& aOffer);

  bool IsShared(const ServiceName& aService) const override;
  std::optional<SlotGrant> Take(const ServiceName& aService,
                                const std::set<UpstreamId>& aExcluded) override;
  void Return(const ServiceName& aService, SlotReturn aReturn) override;

private:
  struct Unused
  {
    SlotGrant grant_;
    TimePoint receivedAt_;
  };
  struct ServiceState
  {
    std::vector<Unused> unused_;
    std::map<SlotGrantId, UpstreamId> used_;
    std::vector<SlotReturn> returned_;      ///< Not yet told to the issuer.
    std::optional<TimePoint> unansweredAt_; ///< When the first unanswered demand was sent.
    TimePoint sentAt_;
    TimePoint fallbackUntil_; ///< Upstreams are chosen locally until then.
    Duration fallbackTime_{}; ///< Length of the last such period; zero after an offer.
    /** An upstream limits its requests, for which it needs permits. */
    bool hasRequestLimit_ = false;
    bool isScheduled_ = false;
  };

  void ScheduleDemand(const ServiceName& aService);
  void SendDemand(const ServiceName& aService, ServiceState& aState);
  void Tick();
  void UpdateRequestLimits();
  void SendOffers(const std::map<HostId, SlotOffer>& aOffers);

  SharedSlotsContext context_;
  const HostRecord self_;
  const std::int64_t startTime_;
  SlotIssuer issuer_;
  std::map<HostId, Endpoint> clients_; ///< Hosts that have sent a demand.
  std::uint64_t number_ = 0;           ///< Of the last demand of this host to itself.
  std::map<ServiceName, ServiceState> services_;
};

} // namespace laburnumweir

#endif
