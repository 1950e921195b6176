/** @file gateway_settings.h Settings of a gateway. */
#ifndef LABURNUMWEIR_GATEWAY_GATEWAY_SETTINGS_H
#define LABURNUMWEIR_GATEWAY_GATEWAY_SETTINGS_H

#include "core/clock_base.h"
#include "core/id_type.h"
#include "core/upstream_client_base.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace laburnumweir {

/**
 * Limits that hold over all hosts, and time limits that other processes rely on. A reload may
 * change them.
 */
struct GatewayBounds
{
  /** Maximum time from the withdrawal of a key until no host uses it any more. */
  std::chrono::milliseconds maxRevocationDelay_{ 5000 };
  /** Whether maxRevocationDelay_ also holds while the store cannot be reached, by refusing
   * requests. */
  bool isRevocationStrict_ = true;
  /** Maximum time from the acknowledgement of a configuration until all hosts act on it. */
  std::chrono::milliseconds maxConfigDelay_{ 2000 };
  /** Time by which an outage of the store may extend maxConfigDelay_. */
  std::chrono::milliseconds maxOutageExtension_{ 5000 };
  /** Maximum time from the start of an upstream's drain until no host sends it requests. */
  std::chrono::milliseconds maxDrainDelay_{ 2000 };
  /** Maximum time from the release of an adapter version until no host uses an older one. */
  std::chrono::milliseconds maxVersionDelay_{ 5000 };
  /** Time from SIGTERM to SIGKILL of this process. */
  std::chrono::milliseconds shutdownGrace_{ 8000 };
  /** Minimum time between the orders of two successive holders of an engine. */
  std::chrono::milliseconds lease_{ 3000 };
  /** Retries allowed for each request of a service. */
  double retryRatio_ = 0.2;
  /** Retries allowed beyond the ratio in one window, over all hosts. */
  double retrySlack_ = 50;
  /** Length of the sliding window in which requests and retries are counted. */
  std::chrono::milliseconds retryWindow_{ 10000 };
  /** Length of the windows for which the usage is reported. Not changed by a reload. */
  std::chrono::milliseconds reportWindow_{ 5000 };
  /** Time from the end of a window until its usage report is due. Not changed by a reload. */
  std::chrono::milliseconds usageDueTime_{ 10000 };
  /** Whether the platform checks the fencing tokens of duties. Not changed by a reload. */
  bool isFencingEnforced_ = true;
};

/** Settings of a gateway. */
struct GatewaySettings
{
  HostId host_; ///< Id of this host; unique among all hosts.
  DataCentreId dataCentre_;
  Endpoint callerEndpoint_;    ///< Listens for callers.
  Endpoint readinessEndpoint_; ///< Listens for readiness checks of the balancer.
  Endpoint gossipEndpoint_;    ///< Receives datagrams of peers (UDP).
  Endpoint metricsEndpoint_;   ///< Listens for scrapers of metrics.
  Endpoint relayEndpoint_;     ///< Relays connections of other hosts; port 0 for none.
  /** Data centres of the region of this host; connections are relayed only within a region. */
  std::set<DataCentreId> regionDataCentres_;
  Endpoint storeEndpoint_;            ///< Address of the platform's store.
  std::size_t maxDescriptors_ = 4096; ///< Limit of file descriptors of the process.
  std::size_t memoryMb_ = 256;        ///< Memory limit of the process in MB.
  /** Minimum timeout after which the store removes a silent host from its group. */
  std::chrono::milliseconds minMemberTimeout_{ 1000 };
  bool isFirstStart_ = false;          ///< The whole system starts for the first time.
  std::uint32_t groupPartitions_ = 12; ///< Partitions of the group's topic, divided among members.
  bool reportsUsage_ = false;          ///< Whether this host takes part in the usage reports.
  Endpoint dutyEndpoint_;              ///< Address of the platform's API for duties.
  double dutyCallsPerSecond_ = 50; ///< Calls of duties that the platform accepts from all hosts.
  GatewayBounds bounds_;
  /** Order of service while requests exceed the capacity; see MakeOverloadPolicy(). Fixed for the
   * lifetime of the process. */
  std::string overloadPolicy_ = "arrival";
};

} // namespace laburnumweir

#endif
