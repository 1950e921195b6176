/** @file settings_type.h Settings of a host. */
#ifndef LABURNUMWEIR_SERVE_SETTINGS_TYPE_H
#define LABURNUMWEIR_SERVE_SETTINGS_TYPE_H

#include "core/upstream_client_base.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace laburnumweir {

/** What a host is told at its start. */
struct Settings
{
  HostId hostId_;           ///< host.id: name of this host.
  DataCentreId dataCentre_; ///< host.data_centre: data centre it stands in.

  Endpoint callers_;   ///< listen.callers: where callers connect.
  Endpoint operators_; ///< listen.operators: where operators and scrapers connect.
  Endpoint peers_;     ///< listen.peers: where other hosts connect.

  Endpoint logService_;  ///< platform.log: the append-only log.
  Endpoint weightStore_; ///< platform.weights: the weight store.
  Endpoint hostList_;    ///< platform.hosts: the host list.

  std::string operatorTokenDigest_;  ///< operators.token_sha256: digest of the operators' token.
  std::uint32_t trafficThreads_ = 2; ///< threads.traffic: threads for callers and upstreams.
  std::string logLevel_ = "info";    ///< logging.level.
  std::string logFile_ = "-";        ///< logging.file: path, or "-" for standard error.
  std::string placement_ = "bounded-rendezvous"; ///< placement.policy.
  std::uint32_t maxConnections_ = 2000;          ///< callers.max_connections.
  std::chrono::seconds requestTimeout_{ 60 };    ///< callers.request_timeout_s.
  std::chrono::seconds drainTimeout_{ 120 };     ///< drain.timeout_s.
  std::chrono::seconds dedupeWindow_{ 86400 };   ///< once.dedupe_window_s.
  std::uint32_t oncePartitions_ = 8;             ///< once.partitions; the same on every host.
  std::chrono::seconds logRetention_{ 604800 }; ///< platform.log_retention_s: retention of the log.
};

} // namespace laburnumweir

#endif
