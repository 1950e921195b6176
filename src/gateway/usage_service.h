/** @file usage_service.h Counts the requests of this host and exchanges counts with the holder. */
#ifndef LABURNUMWEIR_GATEWAY_USAGE_SERVICE_H
#define LABURNUMWEIR_GATEWAY_USAGE_SERVICE_H

#include "core/scheduler_base.h"
#include "fleet/duty_client_base.h"
#include "fleet/peer_table.h"
#include "fleet/usage_collection.h"
#include "fleet/usage_counter.h"
#include "gateway/gossip_message.h"
#include "gateway/usage_reporter.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace laburnumweir {

/** Sends messages on usage to other hosts. */
class UsageSender
{
public:
  virtual ~UsageSender() = default;
  /** Sends a message that may be lost. */
  virtual void SendUsage(const Endpoint& aTo, const UsageMessage& aMessage) = 0;
};

/** State that the service works with. All references must outlive it. */
struct UsageContext
{
  const Clock& clock_;
  Scheduler& scheduler_;
  const PeerTable& peers_;
  UsageSender& sender_;
  DutyLease& lease_;
  UsageCollection& counts_;
  FleetTime& time_;
  const UsageReporter& reporter_;
};

/**
 * Sends the counts of this host to the holder until it has confirmed them, and collects those of
 * the other hosts while this host is the holder. The holder itself sends its counts to another
 * host, which passes them on to the next holder if this one is killed.
 */
class UsageService : public std::enable_shared_from_this<UsageService>
{
public:
  /** @param aSelf this process. */
  UsageService(const UsageContext& aContext, UsageProcess aSelf);

  /** Starts to send at each interval. */
  void Start();
  /** Counts a request that began to run. */
  void OnBegun(const WorkspaceId& aWorkspace);
  /** Processes a message of another host. @param aStartedAt start time of its process. */
  void OnMessage(const HostRecord& aFrom, std::int64_t aStartedAt, const UsageMessage& aMessage);
  /** Sends the unconfirmed counts now, or collects them if this host is the holder. */
  void SendCounts();

private:
  /** Process that has confirmed counts, which it may lose when its term changes. */
  struct Collector
  {
    UsageProcess process_;
    std::uint64_t term_ = 0;

    bool operator==(const Collector&) const = default;
  };
  /** Counts of one process and where they were sent. */
  struct Source
  {
    explicit Source(WindowScale aScale)
      : counter_(aScale)
    {
    }

    UsageCounter counter_;
    std::optional<Endpoint> origin_;     ///< Address of the process; none for this one.
    std::optional<Endpoint> target_;     ///< Where the counts were sent last.
    std::optional<Collector> collector_; ///< Who confirmed counts last.
    WindowId firstOpen_ = 0;             ///< First window whose counts are still needed.
    std::map<std::uint64_t, std::vector<UsageCell>> open_; ///< Messages that were not confirmed.
  };

  void Collect(const UsageProcess& aProcess, std::span<const UsageCell> aCells);
  /** Keeps counts of the holder. @return whether there is room for them. */
  bool Keep(const UsageProcess& aProcess,
            const HostRecord& aFrom,
            std::span<const UsageCell> aCells);
  /** @return the host that keeps the counts of this one while it is the holder. */
  std::optional<Endpoint> BackupHost() const;
  /** Sends the unconfirmed counts of a process. @param aTarget none if there is nobody. */
  void SendSource(const UsageProcess& aProcess,
                  Source& aSource,
                  const std::optional<Endpoint>& aTarget,
                  bool aIsBackup);
  void OnConfirmed(const Collector& aCollector, const UsageConfirmation& aConfirmation);

  UsageContext context_;
  const UsageProcess self_;
  std::map<UsageProcess, Source> sources_; ///< This process, and those whose counts it keeps.
  std::uint64_t lastNumber_ = 0;           ///< Number of the last message with counts.
};

} // namespace laburnumweir

#endif
