/** @file gateway_settings.h Settings of a gateway. */
#ifndef LABURNUMWEIR_GATEWAY_GATEWAY_SETTINGS_H
#define LABURNUMWEIR_GATEWAY_GATEWAY_SETTINGS_H

#include "core/clock_base.h"
#include "core/id_type.h"
#include "core/upstream_client_base.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace laburnumweir {

/** Limits over all hosts, and time limits that other processes rely on. May change on a reload. */
struct GatewayBounds
{
  /** From the withdrawal of a key until no host uses it any more. */
  std::chrono::milliseconds revocation_{ 5000 };
  /** Whether revocation_ also holds while the store cannot be reached, by refusing requests. */
  bool isRevocationStrict_ = true;
  /** From the start of an upstream's drain until no host sends it requests any more. */
  std::chrono::milliseconds drain_{ 2000 };
  /** From the release of an adapter version until no host uses an older one any more. */
  std::chrono::milliseconds version_{ 5000 };
  /** From SIGTERM to SIGKILL of this process. */
  std::chrono::milliseconds grace_{ 8000 };
  /** Time between the orders of two successive holders of an engine. */
  std::chrono::milliseconds lease_{ 3000 };
  /** Retries allowed for each request of a service. */
  double retryRatio_ = 0.2;
  /** Retries allowed beyond the ratio in one window, over all hosts. */
  double retrySlack_ = 50;
  /** Length of the sliding window in which requests and retries are counted. */
  std::chrono::milliseconds retryWindow_{ 10000 };
};

/** Settings of a gateway. */
struct GatewaySettings
{
  HostId host_;                       ///< This host; unique among all hosts.
  DataCentreId dataCentre_;           ///< Data centre of this host.
  Endpoint callers_;                  ///< Listens for callers.
  Endpoint readiness_;                ///< Listens for readiness checks of the balancer.
  Endpoint gossip_;                   ///< Receives datagrams of peers (UDP).
  Endpoint metrics_;                  ///< Listens for scrapers of metrics.
  Endpoint store_;                    ///< Address of the platform's store.
  std::size_t maxDescriptors_ = 4096; ///< Limit of file descriptors of the process.
  std::size_t memoryMb_ = 256;        ///< Memory limit of the process in MB.
  /** Minimum timeout after which the store removes a silent member from its group. */
  std::chrono::milliseconds groupLifeMin_{ 1000 };
  std::uint32_t groupPartitions_ = 12; ///< Partitions of a topic, divided among the members.
  GatewayBounds bounds_;
};

} // namespace laburnumweir

#endif
