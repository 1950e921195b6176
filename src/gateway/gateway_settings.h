/** @file gateway_settings.h What a gateway is told at its start. */
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

/** Bounds that hold over all hosts and times that others rely on. */
struct GatewayBounds
{
  std::chrono::milliseconds revocation_{ 5000 }; ///< A withdrawn key must not be used after this.
  bool isRevocationStrict_ = true;               ///< Whether that holds without the store too.
  std::chrono::milliseconds drain_{ 2000 };      ///< A leaving upstream gets nothing after this.
  std::chrono::milliseconds version_{ 5000 };    ///< An old adapter version is not used after this.
  std::chrono::milliseconds grace_{ 8000 };      ///< From SIGTERM to SIGKILL.
  std::chrono::milliseconds lease_{ 3000 };      ///< Time between orders of two holders.
  double retryRatio_ = 0.2;                      ///< Retries for each request of a service.
  double retrySlack_ = 50;                       ///< Retries beyond the ratio in the window.
  std::chrono::milliseconds retryWindow_{ 10000 }; ///< Window in which retries are counted.
};

/** Settings of a gateway. */
struct GatewaySettings
{
  HostId host_;                                    ///< Name of this host.
  DataCentreId dataCentre_;                        ///< Data centre it stands in.
  Endpoint callers_;                               ///< Where callers connect.
  Endpoint readiness_;                             ///< Where readiness is asked for.
  Endpoint gossip_;                                ///< Where peers send gossip (UDP).
  Endpoint metrics_;                               ///< Where metrics are served.
  Endpoint store_;                                 ///< The platform's store.
  std::size_t maxDescriptors_ = 4096;              ///< Descriptors of the process.
  std::size_t memoryMb_ = 256;                     ///< Memory of the process in MB.
  std::chrono::milliseconds groupLifeMin_{ 1000 }; ///< Shortest life of a silent group member.
  std::uint32_t groupPartitions_ = 12; ///< Partitions of a topic that the group deals out.
  GatewayBounds bounds_;               ///< Bounds over all hosts.
};

} // namespace laburnumweir

#endif
