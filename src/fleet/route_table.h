/** @file route_table.h Finds the route and the workspace of a request. */
#ifndef LABURNUMWEIR_FLEET_ROUTE_TABLE_H
#define LABURNUMWEIR_FLEET_ROUTE_TABLE_H

#include "fleet/fleet_type.h"

#include <map>
#include <string_view>
#include <unordered_map>

namespace laburnumweir {

/** Index of a configuration; immutable. */
class RouteTable
{
public:
  /** @param aConfig configuration; is kept. */
  explicit RouteTable(FleetConfig aConfig);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /** @return the configuration. */
  const FleetConfig& Config() const { return config_; }
  /**
   * Finds the route with the longest prefix of a path.
   * @param aHost value of the Host field; a port is ignored.
   * @param aTarget path and query.
   * @return the route, or nullptr.
   */
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;
  /** @param aKey key of a caller. @return its workspace, or nullptr if the key is not in force. */
  const Workspace* FindWorkspace(std::string_view aKey) const;
  /** @param aName name of a service. @return the service, or nullptr. */
  const ServiceSpec* FindService(const ServiceName& aName) const;
  /** @return whether requests need keys unless their route is open. */
  bool NeedsKeys() const { return !config_.workspaces_.empty(); }

private:
  using PrefixMap = std::map<std::string, const Route*, std::less<>>;

  FleetConfig config_;                                           ///< All that is indexed.
  std::map<std::string, PrefixMap, std::less<>> hosts_;          ///< Routes by host and prefix.
  std::unordered_map<std::string, const Workspace*> keys_;       ///< Workspaces by key.
  std::unordered_map<ServiceName, const ServiceSpec*> services_; ///< Services by name.
};

/**
 * Chooses the service of a request.
 * @param aRoute route with one or more services.
 * @param aDraw random number, from which the choice follows by weight.
 * @return the service; empty if the route has none with weight.
 */
ServiceName
ChooseService(const Route& aRoute, std::uint64_t aDraw);

} // namespace laburnumweir

#endif
