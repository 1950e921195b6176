/** @file route_table.cpp Lookup of the route and the workspace of a request. */
#include "fleet/route_table.h"

#include "http/header_func.h"

namespace laburnumweir {

RouteTable::RouteTable(FleetConfig aConfig)
  : config_(std::move(aConfig))
{
  for (const auto& route : config_.routes_) {
    hosts_[ToLower(route.host_)].emplace(route.prefix_, &route);
  }
  for (const auto& workspace : config_.workspaces_) {
    for (const auto& key : workspace.keys_) {
      keys_.emplace(key, &workspace);
    }
  }
  for (const auto& service : config_.services_) {
    services_.emplace(service.name_, &service);
  }
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aTarget) const
{
  const auto host = hosts_.find(ToLower(aHost.substr(0, aHost.find(':'))));
  if (host == hosts_.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so only the parts of the path up to each slash can match, longest
  // first.
  std::string_view path = aTarget.substr(0, aTarget.find_first_of("?#"));
  while (!path.empty()) {
    const auto slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    if (const auto found = host->second.find(path.substr(0, slash + 1));
        found != host->second.end()) {
      return found->second;
    }
    path = path.substr(0, slash);
  }
  return nullptr;
}

const Workspace*
RouteTable::FindWorkspace(std::string_view aKey) const
{
  const auto found = keys_.find(std::string(aKey));
  return found == keys_.end() ? nullptr : found->second;
}

const ServiceSpec*
RouteTable::FindService(const ServiceName& aName) const
{
  const auto found = services_.find(aName);
  return found == services_.end() ? nullptr : found->second;
}

ServiceName
ChooseService(const Route& aRoute, std::uint64_t aDraw)
{
  std::uint64_t weightSum = 0;
  for (const auto& service : aRoute.services_) {
    weightSum += service.weight_;
  }
  if (weightSum == 0) {
    return {};
  }
  std::uint64_t remaining = aDraw % weightSum;
  for (const auto& service : aRoute.services_) {
    if (remaining < service.weight_) {
      return service.service_;
    }
    remaining -= service.weight_;
  }
  return {};
}

} // namespace laburnumweir
