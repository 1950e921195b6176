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
  Repeatable, ///< It may run more than once.
  Once,       ///< It runs at most once for each attempt of the caller.
  Stream      ///< Event stream; runs at most once unless the route is resumable.
};

/** A service of a route with its share of the route's requests. */
struct WeightedService
{
  ServiceName service_;      ///< Service.
  std::uint32_t weight_ = 1; ///< Share relative to the other services of the route.
};

/** A route from a host name and a path prefix to services. */
struct Route
{
  std::string name_;                             ///< Name for logs.
  std::string host_;                             ///< Value of the Host field, without port.
  std::string prefix_;                           ///< Path prefix; begins and ends with a slash.
  RepeatRule repeat_ = RepeatRule::Once;         ///< How often a request may run.
  std::chrono::milliseconds timeout_{ 0 };       ///< Longest time a caller is kept; 0 = no limit.
  std::chrono::milliseconds targetLatency_{ 0 }; ///< Time to the answer or its first event.
  std::chrono::milliseconds targetPause_{ 0 };   ///< Longest pause between events.
  std::uint32_t priority_ = 0;                   ///< Rank; 0 is served first.
  std::uint32_t maxUpstreams_ = 1;               ///< Upstreams that one caller attempt may reach.
  bool isOpen_ = false;                          ///< Needs no key.
  bool isResumable_ = false;                     ///< A stream may go on elsewhere.
  std::vector<WeightedService> services_;        ///< Where its requests go.
};

/** A base model of an engine service. */
struct ModelSpec
{
  std::string name_;           ///< Name.
  double weightsMb_ = 0;       ///< Size of its weights in MB.
  double adapterMb_ = 0;       ///< Size of each adapter in MB.
  std::uint32_t adapters_ = 0; ///< Number of adapters.
};

/** What the engines of a service can hold and run. */
struct EngineSpec
{
  std::uint32_t slots_ = 1;        ///< Requests that run at once.
  TokenCount cacheTokens_ = 0;     ///< Tokens in the memory of running and cached prompts.
  double weightsMb_ = 0;           ///< Memory for weights and adapters in MB.
  std::uint32_t adapterSlots_ = 0; ///< Most adapters resident or on their way.
  double loadsPerSecond_ = 0;      ///< Loads of weights that the weight store allows.
  std::vector<ModelSpec> models_;  ///< Models.
};

/** A service behind several upstreams. */
struct ServiceSpec
{
  ServiceName name_;                        ///< Name.
  std::uint32_t maxConnections_ = 0;        ///< Connections an upstream accepts; 0 = no limit.
  std::chrono::milliseconds coldTime_{ 0 }; ///< Time for which a new upstream is cold.
  double coldPerSecond_ = 0;         ///< Requests/s that a cold upstream bears; 0 = no limit.
  std::optional<EngineSpec> engine_; ///< Set for model engines.
};

/** A workspace with its keys and quota. */
struct Workspace
{
  WorkspaceId id_;                ///< Name.
  std::vector<std::string> keys_; ///< Keys in force.
  std::uint32_t priority_ = 0;    ///< Rank; goes before the route's.
  TokenCount plainTokens_ = 1;    ///< Charge for a request that states no tokens.
  double ratePerSecond_ = 0;      ///< Tokens per second over all hosts; 0 = no limit.
  double burst_ = 0;              ///< Tokens beyond the rate.
  bool countsTokens_ = true;      ///< Whether the quota counts tokens, or else requests.
};

/** What a caller may send and how long it may take. */
struct CallerLimits
{
  std::size_t maxHeadBytes_ = 16384;               ///< Request line and fields.
  std::size_t maxBodyBytes_ = 4194304;             ///< Body.
  std::chrono::milliseconds headTimeout_{ 3000 };  ///< From the first byte to the whole head.
  std::chrono::milliseconds idleTimeout_{ 15000 }; ///< Without a request.
};

/** Everything that operators set. */
struct FleetConfig
{
  std::int64_t version_ = 0;          ///< Version; rises with each change.
  std::vector<Route> routes_;         ///< Routes.
  std::vector<ServiceSpec> services_; ///< Services.
  std::vector<Workspace> workspaces_; ///< Workspaces; empty if no keys are used.
  CallerLimits limits_;               ///< Limits of callers.
};

/** An adapter that an engine holds. */
struct ResidentAdapter
{
  std::string name_;         ///< Name within its model.
  std::int64_t version_ = 0; ///< Version of its weights.

  auto operator<=>(const ResidentAdapter&) const = default;
};

/** A model that an engine holds. */
struct ResidentModel
{
  std::string name_;                      ///< Name.
  std::vector<ResidentAdapter> adapters_; ///< Adapters of it.

  auto operator<=>(const ResidentModel&) const = default;
};

/** What an upstream says of itself. */
struct UpstreamEntry
{
  UpstreamId id_;                          ///< Identifies the upstream.
  ServiceName service_;                    ///< Service it belongs to.
  Endpoint endpoint_;                      ///< Where it listens.
  DataCentreId dataCentre_;                ///< Where it stands.
  std::uint32_t slots_ = 1;                ///< Requests that run at once.
  bool isDraining_ = false;                ///< It leaves and takes no new requests.
  std::chrono::milliseconds coldFor_{ 0 }; ///< How much longer it is cold.
  std::int64_t startedAt_ = 0;             ///< Start of its process, Unix ms; tells lives apart.
  std::uint64_t heartbeat_ = 0;            ///< Rises with each entry of one life.
  std::vector<ResidentModel> models_;      ///< Models it holds.
  bool listsModels_ = false;               ///< Whether models_ was given.
};

/** A version of an adapter that operators announced. */
struct AdapterRelease
{
  std::string model_;        ///< Model.
  std::string adapter_;      ///< Adapter.
  std::int64_t version_ = 0; ///< Version.
};

} // namespace laburnumweir

#endif
