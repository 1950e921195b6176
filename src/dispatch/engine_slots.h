/** @file engine_slots.h Adapter slots, pins and window of one engine, kept by its owner host. */
#ifndef LABURNUMWEIR_DISPATCH_ENGINE_SLOTS_H
#define LABURNUMWEIR_DISPATCH_ENGINE_SLOTS_H

#include "core/clock_base.h"
#include "dispatch/cold_start_window.h"
#include "dispatch/popularity_estimate.h"
#include "dispatch/slot_type.h"
#include "engine/engine_admin_base.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace laburnumweir {

/**
 * State of one engine at its owner. Every request at the engine needs a grant from here, so the
 * window holds over all hosts. The caller must be fresh (own the engine for certain) before each
 * call that leads to an answer or an order.
 *
 * A granted adapter is pinned until its holder releases the pin. A pin that is not renewed lapses
 * after the lease plus clock error; its adapter and its place in the window are free only when a
 * report of the engine, asked for after that, shows no such run. A new epoch of the engine clears
 * everything; grants that were not returned count against the window until their lease has passed.
 * Not thread-safe.
 */
class EngineSlots
{
public:
  /** @param aClock time source; must outlive the slots. @param aSettings sizes and times. */
  EngineSlots(const Clock& aClock, SlotSettings aSettings);

  /**
   * Starts ownership. Nothing is granted or loaded until a report is read that was asked for after
   * the old owner's authority ended.
   * @param aOldAuthorityEnds when no grant of the old owner can be used any more; a past time if
   * there was none or it handed over.
   */
  void TakeOver(TimePoint aOldAuthorityEnds);
  /** @return whether requests can be granted. */
  bool IsReady() const { return isReady_; }
  /** Applies changed rules. */
  void SetLimits(std::uint32_t aSlots, std::uint32_t aMaxRunning);

  /** Asks to run a request; asking again renews the pin or tells the state of the wait. */
  SlotAnswer Acquire(const SlotRequest& aRequest);
  /** Renews the pins that a host holds and adopts those that an old owner granted. */
  void Renew(const HostId& aHost, std::span<const PinRenewal> aPins);
  /** Gives a pin back, or a place in the wait. */
  void Release(const PinKey& aKey, RunEnd aEnd);

  /** @return adapters that wait for a load to be started, oldest first. */
  std::vector<AdapterRef> PendingLoads() const;
  /**
   * Tests whether an adapter may be loaded before it is asked for: only into a free slot, and never
   * while a request waits for a load.
   */
  bool TestPrefetch(const AdapterRef& aAdapter) const;
  /** Queues a speculative load. @return whether it was queued. */
  bool ExecPrefetch(const AdapterRef& aAdapter);
  /**
   * Starts a pending load; to be called when the fleet's load budget allows one.
   * @return the order, or none: no slot is free now, the first loads after a restart are being
   * spread, or nobody waits any more.
   */
  std::optional<LoadOrder> StartLoad(const AdapterRef& aAdapter);
  /** Notes how an order ended; an order of an earlier epoch is ignored. */
  void LoadFinished(std::uint64_t aNumber, LoadOutcome aOutcome);

  /** Reads a report. @param aReport the report. @param aAskedAt when it was asked for. */
  void OnReport(const EngineReport& aReport, TimePoint aAskedAt);
  /** Notes the epoch in an answer. @param aSentAt when its request was sent. */
  void OnEpoch(const std::string& aEpoch, TimePoint aSentAt);
  /** Notes a complete answer, for the window. @param aLatency time to the first token. */
  void OnSuccess(Duration aLatency);
  /** Notes a refusal for load, a crash or a failure: the window starts again. */
  void OnOverload();
  /** Lets leases and waits end. To be called some times a second. */
  void Tick();
  /** @return waiting requests whose answer changed since the last call. */
  std::vector<SlotNotice> TakeNotices();

  /** @return requests that run or may run, over all hosts. */
  std::uint32_t InUse() const;
  /** @return most requests that may run now. */
  std::uint32_t WindowSize() const { return window_.Size(); }
  /** @return requests that wait for a load or for the window. */
  std::uint32_t Waiting() const;
  /** @return epoch of the engine, empty while unknown. */
  const std::string& Epoch() const { return epoch_; }
  /** @return whether an adapter is resident and not being evicted. */
  bool IsResident(const AdapterRef& aAdapter) const { return residents_.contains(aAdapter); }
  /** @return whether an adapter is resident and certainly runs nothing. */
  bool IsEvictable(const AdapterRef& aAdapter) const;
  /** @return number of resident adapters. */
  std::size_t Residents() const { return residents_.size(); }

private:
  enum class PinState : std::uint8_t
  {
    Waiting,   ///< Waits for a load, or after it for the window.
    Granted,   ///< May run.
    Uncertain, ///< Lapsed or given up; the run may go on.
    Ghost      ///< Granted for an earlier epoch; counts against the window until it lapses.
  };
  struct Pin
  {
    PinState state_ = PinState::Waiting; ///< State.
    AdapterRef adapter_;                 ///< Adapter.
    std::string epoch_;                  ///< Epoch it was granted for.
    TimePoint lapses_;                   ///< When the lease has certainly ended at the holder.
    TimePoint since_;                    ///< When it became uncertain.
    TimePoint deadline_;                 ///< End of the request.
    std::uint64_t sequence_ = 0;         ///< Sequence of waiting.
  };
  struct Resident
  {
    TimePoint loadedAt_;        ///< When it was found resident.
    TimePoint keepUntil_;       ///< Grace after the load.
    TimePoint lastUse_;         ///< Last grant.
    TimePoint quietSince_;      ///< Last release of a pin.
    std::uint32_t pins_ = 0;    ///< Pins in any state but Ghost.
    std::uint32_t running_ = 0; ///< As last reported.
    bool hasOrphans_ = false;   ///< May run requests that have no pin.
    /** Latest ends of runs that have no pin; they count against the window. */
    std::vector<TimePoint> orphanEnds_;
    std::deque<TimePoint> releases_; ///< Latest releases, whose runs a report may still show.
  };
  enum class LoadState : std::uint8_t
  {
    Pending, ///< Not ordered yet.
    Ordered, ///< Under way.
    Unknown  ///< The answer was lost.
  };
  struct Load
  {
    LoadState state_ = LoadState::Pending; ///< State.
    std::uint64_t number_ = 0;             ///< Number of the order; sequence while pending.
    AdapterRef evict_;                     ///< Victim.
    TimePoint since_;                      ///< When the state began.
    bool isSpeculative_ = false;           ///< Nobody waits for it.
    bool isOldEpoch_ = false;              ///< Ordered before the present epoch was known.
    std::uint32_t waiters_ = 0;            ///< Requests that wait.
  };
  struct Failure
  {
    std::uint32_t count_ = 0; ///< Successive failures.
    TimePoint retryAt_;       ///< When the next load is allowed.
  };
  struct Evicted
  {
    AdapterRef adapter_; ///< Adapter.
    TimePoint at_;       ///< When the order ended.
  };
  using Pins = std::map<PinKey, Pin>;

  SlotAnswer AcquireAgain(Pins::iterator aPin, const SlotRequest& aRequest);
  SlotAnswer AcquireResident(const SlotRequest& aRequest, Resident& aResident);
  SlotAnswer AcquireLoading(const SlotRequest& aRequest, Load& aLoad);
  SlotAnswer AcquireAbsent(const SlotRequest& aRequest);
  Pin& AddPin(const SlotRequest& aRequest, PinState aState);
  void Grant(Pin& aPin);
  Pins::iterator RemovePin(Pins::iterator aPin);
  void MakeUncertain(Pin& aPin);
  Pins::iterator MakeOrphan(Pins::iterator aPin);
  static void CountRuns(Resident& aResident, std::uint32_t aRunning, TimePoint aNow);
  void Promote();
  void NewEpoch(const std::string& aEpoch);
  void ResetWindow();
  void DropWaiters(const AdapterRef& aAdapter, SlotReason aReason);
  void BecomeResident(const AdapterRef& aAdapter);
  void NoteFailure(const AdapterRef& aAdapter);
  void FinishEviction(const AdapterRef& aVictim);
  void ReadResidents(const EngineReport& aReport, TimePoint aAskedAt);
  void SettleUnknownLoads(const EngineReport& aReport, TimePoint aAskedAt);
  void SettlePins(TimePoint aAskedAt);
  bool IsBeingEvicted(const AdapterRef& aAdapter, TimePoint aAskedAt) const;
  bool HasSlotForLoad() const;
  std::size_t OrderedLoads() const;
  std::size_t FreeSlots() const;
  std::optional<AdapterRef> Victim() const;
  Duration LoadEstimate(const Load& aLoad) const;
  SlotAnswer Busy(SlotReason aReason, Duration aEstimate = {}) const;

  const Clock& clock_;                       ///< Time source.
  SlotSettings settings_;                    ///< Sizes and times.
  ColdStartWindow window_;                   ///< Window of concurrent requests.
  TimePoint growAfter_;                      ///< The window does not grow before.
  PopularityEstimate popularity_;            ///< Popularity of adapters here.
  bool isReady_ = false;                     ///< Whether requests can be granted.
  TimePoint readyAfter_;                     ///< A report asked for from then on ends a takeover.
  TimePoint lastAsked_;                      ///< When the last report that was read was asked for.
  TimePoint epochSince_;                     ///< Latest proof of the current epoch.
  std::string epoch_;                        ///< Life of the engine.
  std::deque<std::string> oldEpochs_;        ///< Earlier ones, whose late answers are ignored.
  Pins pins_;                                ///< Pins.
  std::map<AdapterRef, Resident> residents_; ///< Adapters that may be granted.
  std::map<AdapterRef, Load> loads_;         ///< Loads not finished.
  std::map<AdapterRef, Failure> failures_;   ///< Loads that failed.
  std::vector<Evicted> evicted_;             ///< Evictions that a report may not show yet.
  std::vector<SlotNotice> notices_;          ///< Changed answers.
  std::uint64_t nextNumber_ = 1;             ///< Number of the next order or wait.
};

} // namespace laburnumweir

#endif
