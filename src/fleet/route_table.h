/** @file route_table.h Lookup of the route and the workspace of a request. */
#ifndef LABURNUMWEIR_FLEET_ROUTE_TABLE_H
#define LABURNUMWEIR_FLEET_ROUTE_TABLE_H

#include "fleet/fleet_type.h"

#include <map>
#include <string_view>
#include <unordered_map>

namespace laburnumweir {

/** Immutable index of a configuration. */
class RouteTable
{
public:
  explicit RouteTable(FleetConfig aConfig);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  const FleetConfig& Config() const { return config_; }
  /**
   * Finds the route with the longest matching path prefix.
   * @param aHost value of the Host field; a port is ignored.
   * @param aTarget request target, path with or without query.
   * @return the route, or nullptr if none matches.
   */
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;
  /** @param aKey API key of a caller. @return its workspace, or nullptr if the key is not valid. */
  const Workspace* FindWorkspace(std::string_view aKey) const;
  /** @return the service, or nullptr if the configuration has none of this name. */
  const ServiceSpec* FindService(const ServiceName& aName) const;
  /** @return whether requests need keys unless their route is open. */
  bool NeedsKeys() const { return !config_.workspaces_.empty(); }

private:
  using PrefixMap = std::map<std::string, const Route*, std::less<>>;

  FleetConfig config_;                                     ///< Owns what the maps point to.
  std::map<std::string, PrefixMap, std::less<>> hosts_;    ///< Routes by host and prefix.
  std::unordered_map<std::string, const Workspace*> keys_; ///< By API key.
  std::unordered_map<ServiceName, const ServiceSpec*> services_;
};

/**
 * Chooses one of the services of a route at random, in proportion to their weights.
 * @param aDraw random number that determines the choice.
 * @return the service; empty if no service of the route has a weight above 0.
 */
ServiceName
ChooseService(const Route& aRoute, std::uint64_t aDraw);

} // namespace laburnumweir

#endif
