/** @file engine_model.h State of a stand-in engine: adapter slots, running requests, cold start. */
#ifndef LABURNUMWEIR_STANDIN_ENGINE_MODEL_H
#define LABURNUMWEIR_STANDIN_ENGINE_MODEL_H

#include "core/clock_base.h"
#include "engine/engine_admin_base.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace laburnumweir::standin {

/** Limits and behaviour of an engine. */
struct EngineLimits
{
  std::string model_ = "base";       ///< Base model.
  std::uint32_t slots_ = 8;          ///< Adapter slots.
  std::uint32_t maxRunning_ = 32;    ///< Requests that run at once.
  std::uint32_t overload_ = 64;      ///< Requests that run or wait; more are refused.
  Duration tokenBase_{};             ///< Time of a token.
  Duration tokenPerRunning_{};       ///< Added to it for each running request.
  Duration coldTime_{};              ///< Length of the cold state after a start.
  std::uint32_t coldMaxRunning_ = 4; ///< Running requests that a cold engine can handle.
  bool checksFencing_ = true;        ///< Whether stale orders are refused.
  bool allowsEvictInUse_ = false;    ///< Whether an adapter in use may be evicted.
};

/** Result of the admission of a request. */
enum class Admission
{
  Started,    ///< It runs.
  Queued,     ///< It waits for a place in the batch.
  NotLoaded,  ///< Refused: the adapter is not resident.
  Overloaded, ///< Refused: too many requests run or wait.
};

/** Result of the test of a load order. */
enum class LoadTest
{
  Ok,              ///< A load can start.
  AlreadyResident, ///< The adapter is resident.
  AlreadyLoading,  ///< A load of the adapter is under way.
  StaleFencing,    ///< A higher fencing token was seen.
  InUse,           ///< The adapter to evict runs requests or is being loaded.
  NoSlot,          ///< All slots are taken and no resident adapter to evict was named.
};

/** An order to load an adapter. */
struct LoadOrder
{
  AdapterRef adapter_;        ///< Adapter to load.
  AdapterRef evict_;          ///< Adapter to evict first; empty names none.
  std::uint64_t fencing_ = 0; ///< Fencing token of the sender.
};

/** Counts of what must not happen, and of events. */
struct EngineCounts
{
  std::uint64_t overloadCrashes_ = 0;     ///< Crashes because of load in the cold state.
  std::uint64_t markerCrashes_ = 0;       ///< Crashes because of a marked request.
  std::uint64_t evictionsInUse_ = 0;      ///< Evictions of adapters that ran requests.
  std::uint64_t staleOrdersAccepted_ = 0; ///< Orders accepted after one with a higher token.
  std::uint64_t staleOrdersRefused_ = 0;  ///< Orders refused for their token.
  std::uint64_t loads_ = 0;               ///< Loads started.
  std::uint64_t evictions_ = 0;           ///< Evictions.
  std::uint64_t starts_ = 0;              ///< Requests started.
  std::uint32_t maxRunning_ = 0;          ///< Most requests that ran at once.
  std::uint32_t maxRunningCold_ = 0;      ///< Most requests that ran at once in the cold state.
};

/** An engine without sockets or timers. */
class EngineModel
{
public:
  using RunId = std::uint64_t;

  /** @param aLimits limits. @param aEpoch epoch of the first process. @param aNow time of start. */
  EngineModel(EngineLimits aLimits, std::string aEpoch, TimePoint aNow);

  /**
   * Admits a request.
   * @param aRun identifies it. @param aAdapter adapter. @param aPriority lower runs first.
   * @param aNow now.
   */
  Admission Admit(RunId aRun, const AdapterRef& aAdapter, int aPriority, TimePoint aNow);
  /** Ends a request that runs or waits. @return a waiting request that starts in its place. */
  std::optional<RunId> Finish(RunId aRun, TimePoint aNow);
  /** @return whether more requests run than the engine can handle in its cold state. */
  bool IsOverloadedCold(TimePoint aNow) const;

  /** Tests a load order. */
  LoadTest TestLoad(const LoadOrder& aOrder) const;
  /** Executes a load order: counts it, evicts, and takes a slot. @return result of the test. */
  LoadTest ExecLoad(const LoadOrder& aOrder);
  /** Ends a load. @param aIsLoaded whether the adapter is now resident. */
  void FinishLoad(const AdapterRef& aAdapter, bool aIsLoaded);

  /** Loses all state. @param aEpoch epoch of the new process. @param aNow time of its start. */
  void Reset(std::string aEpoch, TimePoint aNow);
  /** Puts the engine into the cold state. */
  void SetCold(TimePoint aUntil, std::uint32_t aMaxRunning);

  /** @return time until the next token of a request, at the present batch size. */
  Duration TokenTime() const;
  /** @return the state as the engine reports it. */
  EngineReport Report() const;
  /** @return the epoch. */
  const std::string& Epoch() const { return epoch_; }
  /** @return the counts. */
  const EngineCounts& Counts() const { return counts_; }
  EngineCounts& Counts() { return counts_; }
  /** @return requests that wait. */
  std::size_t Waiting() const { return waiting_.size(); }

private:
  struct Resident
  {
    bool isLoading_ = false;  ///< Whether the load is under way.
    std::uint32_t inUse_ = 0; ///< Requests that run or wait.
  };
  struct Place
  {
    AdapterRef adapter_;     ///< Adapter of the request.
    int priority_ = 0;       ///< Lower runs first.
    bool isRunning_ = false; ///< Whether it runs.
  };
  void Start(Place& aPlace, TimePoint aNow);

  EngineLimits limits_;                      ///< Limits.
  std::string epoch_;                        ///< Identifies the process.
  TimePoint coldUntil_;                      ///< End of the cold state.
  std::uint32_t coldMaxRunning_;             ///< Limit in the cold state.
  std::map<AdapterRef, Resident> residents_; ///< Adapters that take a slot.
  std::unordered_map<RunId, Place> places_;  ///< Requests that run or wait.
  std::set<std::tuple<int, RunId>> waiting_; ///< Requests that wait, first one first.
  std::uint32_t running_ = 0;                ///< Requests that run.
  std::uint64_t highestFencing_ = 0;         ///< Seen by this process.
  std::uint64_t highestFencingEver_ = 0;     ///< Seen by any process of this engine.
  EngineCounts counts_;                      ///< Counts.
};

} // namespace laburnumweir::standin

#endif
