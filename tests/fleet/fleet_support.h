/** @file fleet_support.h Builders of entries and configurations for the fleet tests. */
#ifndef LABURNUMWEIR_TESTS_FLEET_FLEET_SUPPORT_H
#define LABURNUMWEIR_TESTS_FLEET_FLEET_SUPPORT_H

#include "fleet/fleet_state.h"

namespace laburnumweir::testing_support {

/** @return the entry of an engine in data centre `dc1` with the model `m` and no adapters. */
inline UpstreamEntry
MakeEngine(const std::string& aId, std::uint32_t aSlots = 8)
{
  UpstreamEntry entry;
  entry.id_ = UpstreamId(aId);
  entry.service_ = ServiceName("llm");
  entry.endpoint_ = { "127.0.0.1", 9 };
  entry.dataCentre_ = DataCentreId("dc1");
  entry.slots_ = aSlots;
  entry.startedAt_ = 1;
  entry.heartbeat_ = 1;
  entry.models_ = { { "m", {} } };
  entry.listsModels_ = true;
  return entry;
}

/** @return the settings of the service `llm`. */
inline ServiceSpec
MakeService()
{
  ServiceSpec service;
  service.name_ = ServiceName("llm");
  service.coldPerSecond_ = 20;
  EngineSpec engine;
  engine.slots_ = 8;
  engine.memoryMb_ = 1000;
  engine.adapterSlots_ = 3;
  engine.models_ = { { "m", 700, 50, 100 } };
  service.engine_ = engine;
  return service;
}

/** @return the requirements of a request for an adapter of the model `m` at the service `llm`. */
inline UpstreamNeed
NeedOf(std::string_view aAdapter, std::int64_t aVersion = 0)
{
  UpstreamNeed need;
  need.service_ = ServiceName("llm");
  need.model_ = "m";
  need.adapter_ = aAdapter;
  need.minVersion_ = aVersion;
  return need;
}

/** @return a workspace with the key `key-1`. */
inline Workspace
MakeWorkspace(double aRate, double aBurst)
{
  Workspace workspace;
  workspace.id_ = WorkspaceId("w");
  workspace.keys_ = { "key-1" };
  workspace.ratePerSecond_ = aRate;
  workspace.burst_ = aBurst;
  return workspace;
}

} // namespace laburnumweir::testing_support

#endif
