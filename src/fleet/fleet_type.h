/** @file fleet_type.h Configuration of the fleet and entries of upstreams, as the store holds them.
 */
#ifndef LABURNUMWEIR_FLEET_FLEET_TYPE_H
#define LABURNUMWEIR_FLEET_FLEET_TYPE_H

#include "core/clock_base.h"
#include "core/id_type.h"
#include "core/upstream_client_base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnumweir {

/** How often a request of a route may run. */
enum class RepeatRule : std::uint8_t
{
  Repeatable, ///< May run more than once.
  Once,       ///< Runs at most once for each attempt of the caller.
  Stream      ///< Event stream; runs at most once unless the route is resumable.
};

/** A service of a route with its weight. */
struct WeightedService
{
  ServiceName service_;
  std::uint32_t weight_ = 1; ///< Relative to the other services of the route; 0 = no requests.
};

/** Maps requests with a host name and a path prefix to services. */
struct Route
{
  std::string name_;                             ///< Used in log lines.
  std::string host_;                             ///< Value of the Host field, without port.
  std::string prefix_;                           ///< Path prefix; begins and ends with a slash.
  RepeatRule repeat_ = RepeatRule::Once;         ///< How often a request may run.
  std::chrono::milliseconds timeout_{ 0 };       ///< Maximum duration of a request; 0 = no limit.
  std::chrono::milliseconds targetLatency_{ 0 }; ///< Target time to the answer or its first event.
  std::chrono::milliseconds targetPause_{ 0 };   ///< Target for the longest pause between events.
  std::uint32_t priority_ = 0;                   ///< 0 is served first.
  std::uint32_t maxUpstreams_ = 1; ///< Maximum upstreams that a caller's attempt may reach.
  bool isOpen_ = false;            ///< Whether requests need no key.
  bool isResumable_ = false;       ///< Whether streams may continue at another upstream.
  std::vector<WeightedService> services_;
};

/** @return whether a request of a route may run again after it may have run. */
inline bool
MayRepeat(const Route& aRoute)
{
  return aRoute.repeat_ == RepeatRule::Repeatable ||
         (aRoute.repeat_ == RepeatRule::Stream && aRoute.isResumable_);
}

/** A base model of an engine service. */
struct ModelSpec
{
  std::string name_;
  double weightsMb_ = 0; ///< Size of its weights in MB.
  double adapterMb_ = 0; ///< Size of each adapter in MB.
  std::uint32_t adapterCount_ = 0;
};

/** What the engines of a service can hold and run. */
struct EngineSpec
{
  std::uint32_t slots_ = 1;        ///< Maximum number of concurrent requests.
  TokenCount cacheTokens_ = 0;     ///< Memory for running and cached prompts, in tokens.
  double memoryMb_ = 0;            ///< Memory for weights and adapters in MB.
  std::uint32_t adapterSlots_ = 0; ///< Maximum adapters, resident or being loaded.
  double loadsPerSecond_ = 0;      ///< Loads of weights per second that the weight store allows.
  std::vector<ModelSpec> models_;
};

/** A service behind several upstreams. */
struct ServiceSpec
{
  ServiceName name_;
  std::uint32_t maxConnections_ = 0;        ///< Maximum for each upstream; 0 = no limit.
  std::chrono::milliseconds coldTime_{ 0 }; ///< Time for which a new upstream is cold.
  double coldPerSecond_ = 0;         ///< Maximum requests/s to a cold upstream; 0 = no limit.
  std::optional<EngineSpec> engine_; ///< Set for model engines.
};

/** A workspace with its keys and quota. */
struct Workspace
{
  WorkspaceId id_;
  std::vector<std::string> keys_; ///< Valid API keys.
  std::uint32_t priority_ = 0;    ///< 0 is served first; outranks the route's priority.
  TokenCount plainTokens_ = 1;    ///< Charged for a request that states no number of tokens.
  double ratePerSecond_ = 0;      ///< Tokens per second over all hosts; 0 = no limit.
  double burst_ = 0;              ///< Tokens beyond the rate; capacity of the token bucket.
  bool countsTokens_ = true;      ///< Whether the quota counts tokens; otherwise requests.
};

/** Limits on the size and duration of callers' requests. */
struct CallerLimits
{
  std::size_t maxHeadBytes_ = 16384; ///< Request line and header fields.
  std::size_t maxBodyBytes_ = 4194304;
  std::chrono::milliseconds headTimeout_{ 3000 };  ///< From the first byte to the end of the head.
  std::chrono::milliseconds idleTimeout_{ 15000 }; ///< Between requests of a connection.
};

/** Configuration of the fleet, set by operators. */
struct FleetConfig
{
  std::int64_t version_ = 0; ///< Rises with each change.
  std::vector<Route> routes_;
  std::vector<ServiceSpec> services_;
  std::vector<Workspace> workspaces_; ///< If empty, requests need no keys.
  CallerLimits limits_;
};

/** An adapter that is resident at an engine. */
struct ResidentAdapterVersion
{
  std::string name_;         ///< Unique within its model.
  std::int64_t version_ = 0; ///< Version of its weights.

  auto operator<=>(const ResidentAdapterVersion&) const = default;
};

/** A model that is resident at an engine. */
struct ResidentModel
{
  std::string name_;
  std::vector<ResidentAdapterVersion> adapters_;

  auto operator<=>(const ResidentModel&) const = default;
};

/** Orders the entries of an upstream by the time at which they were written. */
struct EntryStamp
{
  std::int64_t startedAt_ = 0;  ///< Start time of the process, Unix ms.
  std::uint64_t heartbeat_ = 0; ///< Rises with each entry of one process instance.

  auto operator<=>(const EntryStamp&) const = default;
};

/** Entry in the store that an upstream writes about itself. */
struct UpstreamEntry
{
  UpstreamId id_;
  ServiceName service_;
  Endpoint endpoint_; ///< Where it listens.
  DataCentreId dataCentre_;
  SoftwareVersion software_; ///< Empty if the entry names none.
  std::uint32_t slots_ = 1;  ///< Maximum number of concurrent requests.
  bool isDraining_ = false;  ///< It leaves the fleet and accepts no new requests.
  std::chrono::milliseconds coldTimeLeft_{ 0 }; ///< Remaining time for which it is cold.
  std::int64_t startedAt_ = 0;  ///< Start time, Unix ms; identifies the process instance.
  std::uint64_t heartbeat_ = 0; ///< Rises with each entry of one process instance.
  std::vector<ResidentModel> models_;
  bool listsModels_ = false; ///< Whether the entry states models_.

  EntryStamp Stamp() const { return { startedAt_, heartbeat_ }; }
};

/** A version of an adapter that operators announced. */
struct AdapterRelease
{
  std::string model_;
  std::string adapter_;
  std::int64_t version_ = 0;
};

} // namespace laburnumweir

#endif
