/** @file usage_duty.cpp Wiring of the usage reports of a host. */
#include "gateway/usage_duty.h"

#include "table/usage_const.h"

namespace laburnumweir {

std::optional<TimePoint>
PartitionDutyLease::HeldSince() const
{
  return holder_.Lease().HeldSince(kUsagePartition);
}

bool
PartitionDutyLease::MayAct() const
{
  return holder_.Lease().MayOrder(kUsagePartition);
}

std::optional<std::uint64_t>
PartitionDutyLease::Token() const
{
  return holder_.Lease().TokenOf(kUsagePartition);
}

void
PartitionDutyLease::OnFenced(std::uint64_t aToken)
{
  holder_.OnFenced(kUsagePartition, aToken);
}

UsageDuty::UsageDuty(const UsageDutyContext& aContext,
                     const UsageProcess& aSelf,
                     const UsageSettings& aSettings)
  : context_(aContext)
  , lease_(aContext.holder_)
  , time_(aContext.clock_)
  , reporter_(std::make_shared<UsageReporter>(UsageReporterContext{ aContext.clock_,
                                                                    aContext.scheduler_,
                                                                    aContext.log_,
                                                                    aContext.client_,
                                                                    lease_,
                                                                    counts_,
                                                                    time_,
                                                                    aContext.metrics_ },
                                              aSettings))
  , service_(std::make_shared<UsageService>(UsageContext{ aContext.clock_,
                                                          aContext.scheduler_,
                                                          aContext.peers_,
                                                          aContext.gossip_,
                                                          lease_,
                                                          counts_,
                                                          time_,
                                                          *reporter_ },
                                            aSelf))
{
}

void
UsageDuty::Start()
{
  context_.metrics_.SetGauge("laburnumweir_gateway_usage_pending",
                             [this] { return static_cast<double>(reporter_->Pending()); });
  context_.gossip_.SetOnUsage(
    [this](const HostRecord& aFrom, std::int64_t aStartedAt, const UsageMessage& aMessage) {
      service_->OnMessage(aFrom, aStartedAt, aMessage);
    });
  reporter_->Start();
  service_->Start();
}

} // namespace laburnumweir
