/** @file usage_duty.h Wiring of the usage reports of a host. */
#ifndef LABURNUMWEIR_GATEWAY_USAGE_DUTY_H
#define LABURNUMWEIR_GATEWAY_USAGE_DUTY_H

#include "gateway/gossip_service.h"
#include "gateway/holder_service.h"
#include "gateway/usage_reporter.h"
#include "gateway/usage_service.h"

#include <memory>

namespace laburnumweir {

/** Lease on the duty: that on one partition of the group. */
class PartitionDutyLease : public DutyLease
{
public:
  /** @param aHolder must outlive this object. */
  explicit PartitionDutyLease(HolderService& aHolder)
    : holder_(aHolder)
  {
  }

  std::optional<TimePoint> HeldSince() const override;
  bool MayAct() const override;
  std::optional<std::uint64_t> Token() const override;
  void OnFenced(std::uint64_t aToken) override;

private:
  HolderService& holder_;
};

/** State that the usage reports work with. All references must outlive them. */
struct UsageDutyContext
{
  const Clock& clock_;
  Scheduler& scheduler_;
  UsageLog& log_;
  DutyClient& client_;
  const PeerTable& peers_;
  HolderService& holder_;
  GossipService& gossip_;
  Metrics& metrics_;
};

/** The parts of the usage reports of one host: counting, exchange and reporting. */
class UsageDuty
{
public:
  /** @param aSelf this process. */
  UsageDuty(const UsageDutyContext& aContext,
            const UsageProcess& aSelf,
            const UsageSettings& aSettings);

  void Start();
  /** Counts a request that began to run. */
  void OnBegun(const WorkspaceId& aWorkspace) { service_->OnBegun(aWorkspace); }
  /** Sends the last counts before this process ends. */
  void Stop() { service_->SendCounts(); }

private:
  UsageDutyContext context_;
  PartitionDutyLease lease_;
  UsageCollection counts_;
  FleetTime time_;
  std::shared_ptr<UsageReporter> reporter_;
  std::shared_ptr<UsageService> service_;
};

} // namespace laburnumweir

#endif
