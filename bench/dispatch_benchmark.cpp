/** @file dispatch_benchmark.cpp Micro-benchmarks of the choice of an engine, of slots and of the
 * queue. */
#include "core/random_base.h"
#include "core/system_clock.h"
#include "dispatch/engine_slots.h"
#include "dispatch/placement_base.h"
#include "dispatch/request_queue.h"

#include <array>
#include <benchmark/benchmark.h>
#include <malloc.h>
#include <string>
#include <vector>

namespace laburnumweir {
namespace {

std::vector<PlacementEngine>
Engines(std::int64_t aCount)
{
  std::vector<PlacementEngine> engines;
  engines.reserve(static_cast<std::size_t>(aCount));
  for (std::int64_t i = 0; i < aCount; ++i) {
    engines.push_back({ UpstreamId("engine-" + std::to_string(i)),
                        "base",
                        true,
                        32,
                        DataCentreId("dc-" + std::to_string(i % 8)) });
  }
  return engines;
}

std::vector<AdapterRef>
Adapters(std::int64_t aCount)
{
  std::vector<AdapterRef> adapters;
  adapters.reserve(static_cast<std::size_t>(aCount));
  for (std::int64_t i = 0; i < aCount; ++i) {
    adapters.push_back({ "workspace-adapter-" + std::to_string(i), "v1" });
  }
  return adapters;
}

/** Choice among engines (first argument) for different adapters (second argument). */
void
Rank(benchmark::State& aState)
{
  SeededRandom random(1);
  const std::size_t before = mallinfo2().uordblks;
  const auto placement = MakePlacement(static_cast<PlacementKind>(aState.range(2)), random);
  placement->SetEngines(Engines(aState.range(0)));
  const std::vector<AdapterRef> adapters = Adapters(aState.range(1));
  const std::size_t list = mallinfo2().uordblks;
  std::array<EngineIndex, 8> result{};
  std::size_t next = 0;
  for (std::size_t i = 0; i < adapters.size(); ++i) {
    placement->NoteResident(adapters[i], static_cast<EngineIndex>(i % placement->Size()), true);
  }
  for (auto _ : aState) {
    next = (next + 7919) % adapters.size();
    benchmark::DoNotOptimize(placement->Rank({ adapters[next], "base", next + 1 }, result));
  }
  // Growth by use; the list of adapters belongs to the benchmark.
  aState.counters["bytes_by_use"] = static_cast<double>(mallinfo2().uordblks - list);
  aState.counters["bytes_fixed"] = static_cast<double>(list - before) -
                                   static_cast<double>(adapters.capacity() * sizeof(AdapterRef));
}
BENCHMARK(Rank)
  ->ArgNames({ "engines", "adapters", "kind" })
  ->Args({ 12, 3000, 0 })
  ->Args({ 12, 180000, 0 })
  ->Args({ 800, 3000, 0 })
  ->Args({ 800, 180000, 0 })
  ->Args({ 800, 180000, 3 })
  ->Args({ 800, 180000, 4 });

/** A grant and its release on a resident adapter. */
void
GrantAndRelease(benchmark::State& aState)
{
  SystemClock clock;
  EngineSlots slots(clock, {});
  const AdapterRef adapter{ "a", "v1" };
  slots.OnReport({ "epoch-1", "base", 8, 0, { { adapter, 0 } } }, clock.Now() + kReportLag);
  const PinKey key{ HostId("host-1"), RequestId("request-1") };
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      slots.Acquire({ key, adapter, clock.Now() + std::chrono::seconds(60) }));
    slots.Release(key, RunEnd::Certain);
  }
}
BENCHMARK(GrantAndRelease);

/** A push and a pop with a backlog of several workspaces. */
void
PushAndPop(benchmark::State& aState)
{
  SystemClock clock;
  RequestQueue queue(clock);
  const std::array<ClassId, 2> order{ ClassId("briefing"), ClassId("lookup") };
  const auto push = [&](std::int64_t aNumber) {
    QueueEntry entry;
    entry.class_ = order[static_cast<std::size_t>(aNumber % 2)];
    entry.workspace_ = WorkspaceId("workspace-" + std::to_string(aNumber % aState.range(0)));
    entry.tokens_ = 100 + aNumber % 1000;
    entry.startBy_ = clock.Now() + std::chrono::hours(1);
    queue.Push(entry, order);
  };
  std::int64_t number = 0;
  for (; number < 500; ++number) {
    push(number);
  }
  for (auto _ : aState) {
    push(number++);
    benchmark::DoNotOptimize(queue.Pop(order));
  }
}
BENCHMARK(PushAndPop)->ArgName("workspaces")->Arg(5)->Arg(100);

} // namespace
} // namespace laburnumweir
