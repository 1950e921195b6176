/** @file slot_issuer.h Assigns the slots of a service to the requests of all hosts. */
#ifndef LABURNUMWEIR_FLEET_SLOT_ISSUER_H
#define LABURNUMWEIR_FLEET_SLOT_ISSUER_H

#include "core/clock_base.h"
#include "fleet/slot_type.h"

#include <map>
#include <span>
#include <vector>

namespace laburnumweir {

/** An upstream whose slots are assigned. */
struct SlotUpstream
{
  UpstreamId id_;
  std::uint32_t slots_ = 0;
};

/**
 * Assigns the slots of services whose requests are shorter than the age of load reports: hosts that
 * choose an upstream by such reports all choose the same one, and it refuses most of them. Knows
 * each slot in use, and serves the waiting requests of all hosts by rank, then those that can be
 * answered within their target, then the others. All of its state can be lost: hosts repeat what
 * they hold and want, and until then the upstreams refuse what they cannot take. Not thread-safe.
 */
class SlotIssuer
{
public:
  /** @param aClock must outlive this. @param aFirstId first id of a grant; unique to this process.
   */
  SlotIssuer(const Clock& aClock, SlotGrantId aFirstId)
    : clock_(aClock)
    , nextId_(aFirstId)
  {
  }

  /** Sets the upstreams that may get requests of a service. */
  void SetUpstreams(const ServiceName& aService, std::span<const SlotUpstream> aUpstreams);
  /**
   * Applies the state of a host, which may use slots of an earlier issuer.
   * @param aStartedAt start time of the host's process, Unix ms; a newer process uses no slots.
   * @param aNumber increases with each message of the process.
   * @return false if a newer message was applied before.
   */
  bool OnDemand(const HostId& aHost,
                std::int64_t aStartedAt,
                std::uint64_t aNumber,
                const SlotDemand& aDemand);
  /** Assigns free slots. @return offers with grants, by host. */
  std::map<HostId, SlotOffer> Assign(const ServiceName& aService);
  /** Frees the slots of silent hosts. @return services with state. */
  std::vector<ServiceName> Expire();

private:
  struct Grant
  {
    HostId host_;
    UpstreamId upstream_;
    TimePoint grantedAt_;
  };
  struct Wish
  {
    std::uint32_t rank_ = 0;
    TimePoint target_;
    TimePoint latest_;
  };
  struct Host
  {
    std::int64_t startedAt_ = 0; ///< Of its process.
    std::uint64_t number_ = 0;   ///< Of its newest message.
    TimePoint heardAt_;
    std::vector<Wish> wishes_;
  };
  struct Use
  {
    std::uint32_t slots_ = 0;
    std::uint32_t used_ = 0;
    std::vector<TimePoint> unknownUntil_; ///< Slots that others seem to use, after refusals.
    double failures_ = 0;                 ///< Moving average of the fraction of failures.
  };
  struct Service
  {
    std::map<UpstreamId, Use> upstreams_;
    std::map<SlotGrantId, Grant> grants_;
    std::map<HostId, Host> hosts_;
  };
  /** A wish with its place in the host's list. */
  struct Place
  {
    const HostId* host_;
    std::size_t index_;
    Wish wish_;
  };

  void Free(Service& aService, SlotGrantId aId);
  std::vector<Place> Order(const Service& aService) const;
  /** @return the upstream with the smallest part of its slots in use; nullptr if all are full. */
  Use* FindFree(Service& aService, UpstreamId& aId) const;

  const Clock& clock_;
  SlotGrantId nextId_;
  std::map<ServiceName, Service> services_;
};

} // namespace laburnumweir

#endif
