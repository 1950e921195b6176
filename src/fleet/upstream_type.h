/** @file upstream_type.h Upstreams as a host knows them, and what requests need of them. */
#ifndef LABURNUMWEIR_FLEET_UPSTREAM_TYPE_H
#define LABURNUMWEIR_FLEET_UPSTREAM_TYPE_H

#include "core/clock_base.h"
#include "fleet/attempt_record.h"
#include "fleet/fleet_type.h"
#include "fleet/permit_issuer.h"

#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace laburnumweir {

/** Number of requests of one host that run at an upstream. */
struct UpstreamLoad
{
  UpstreamId upstream_;
  std::uint32_t running_ = 0; ///< Requests that were sent and have not ended.
  std::optional<double> requestLimit_ = std::nullopt; ///< Named in a recent answer, requests/s.
};

/** Models and adapters resident at an engine after an order, as its holder sends them. */
struct EngineResidency
{
  UpstreamId engine_;
  std::int64_t startedAt_ = 0;   ///< Start time of the engine's process, Unix ms.
  std::uint64_t orderCount_ = 0; ///< Orders that this process has accepted.
  std::vector<ResidentModel> models_;
};

/** A pause that an answer of an upstream asked for. */
struct UpstreamPause
{
  std::int64_t heardAt_ = 0; ///< When the answer was received, Unix ms.
  TimePoint until_;
};

/** What the process of an upstream has told this host, mostly in its answers. */
struct UpstreamNotice
{
  bool isLeaving_ = false;                ///< It leaves the fleet.
  TimePoint pausedUntil_;                 ///< It wants no requests of this host before this time.
  std::vector<UpstreamPause> pauses_;     ///< By time heard; each ends earlier than the one before.
  std::optional<double> requestLimit_;    ///< Requests/s that its last answer allows.
  std::optional<TimePoint> limitHeardAt_; ///< When that answer was received; none if there is none.
  TimePoint coldUntil_;                   ///< End of its cold phase.
};

/** State of an upstream as known to this host. */
struct Upstream : UpstreamNotice
{
  UpstreamEntry entry_;            ///< Its newest entry; the models may be its holder's.
  std::uint32_t running_ = 0;      ///< Running requests of this host.
  std::uint32_t peersRunning_ = 0; ///< Running requests of all peers.
  AttemptRecord attempts_;         ///< Outcome of its last attempts.
  TimePoint coldTokensAt_;         ///< When coldTokens_ was last refilled.
  double coldTokens_ = 0;          ///< Requests this host may send now while it is cold.
  std::uint64_t orderCount_ = 0;   ///< Orders accepted by an engine; from its holder.
  bool differsFromHolder_ = false; ///< Its entry lists other models than its holder sent.
  std::optional<TimePoint> residencyReceivedAt_; ///< When its holder last sent its residency.
  std::optional<double> peersLimit_; ///< Requests/s that peers have reported; none if none did.
  std::vector<TimePoint> permits_;   ///< Ends of its permits, each for one request; in order.
  TimePoint permitDeniedUntil_;      ///< No permit is requested before this time.
  bool isMisdirected_ = false;       ///< Another upstream answers at its endpoint.
};

/** Requirements of a request on an upstream. */
struct UpstreamNeed
{
  ServiceName service_;
  std::string_view model_;                                 ///< Empty for plain services.
  std::string_view adapter_;                               ///< Empty for the base model.
  std::int64_t minVersion_ = 0;                            ///< Minimum version of the adapter.
  std::optional<SoftwareVersion> software_ = std::nullopt; ///< Only upstreams that run it.
  const std::set<UpstreamId>* excluded_ = nullptr;     ///< Upstreams that got the request already.
  const std::set<UpstreamId>* allowed_ = nullptr;      ///< Only these upstreams; nullptr for all.
  const std::set<UpstreamId>* loadTimedOut_ = nullptr; ///< Engines that did not load it in time.
};

/** Result of UpstreamTable::Choose(). */
struct UpstreamChoice
{
  Upstream* upstream_ = nullptr;           ///< Where to send the request; nullptr if it must wait.
  std::int64_t adapterVersion_ = 0;        ///< Version resident there; 0 = no adapter or unknown.
  std::int64_t demandedVersion_ = 0;       ///< Only version with which it may run; 0 = any.
  std::optional<UpstreamId> loadTarget_;   ///< Engine that should load the adapter; may be none.
  bool isReplica_ = false;                 ///< The adapter is resident already, at busy engines.
  std::optional<UpstreamId> permitTarget_; ///< Upstream whose permit would allow to send it.
  bool hasUntried_ = false;                ///< Whether a usable upstream was not tried yet.
};

} // namespace laburnumweir

#endif
