/** @file slot_type.h Requests for adapter slots of an engine and their answers. */
#ifndef LABURNUMWEIR_DISPATCH_SLOT_TYPE_H
#define LABURNUMWEIR_DISPATCH_SLOT_TYPE_H

#include "core/clock_base.h"
#include "core/id_type.h"
#include "table/dispatch_const.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnumweir {

/** Identifies a pin: the host and its request, unique for each attempt. */
struct PinKey
{
  HostId host_;       ///< Host that runs the request.
  RequestId request_; ///< The attempt.

  auto operator<=>(const PinKey&) const = default;
};

/** A host asks for leave to run a request. */
struct SlotRequest
{
  PinKey key_;         ///< Who asks; asking again with the same key is harmless.
  AdapterRef adapter_; ///< Adapter and version.
  TimePoint deadline_; ///< End of the request, by the owner's clock.
};

/** Answer to a SlotRequest. */
enum class SlotVerdict : std::uint8_t
{
  Granted, ///< The adapter is resident and pinned; the request may be sent within the lease.
  Load,    ///< The first request that waits for this load; the load is to be started.
  Wait,    ///< A load is under way, or it is done and the window is full.
  Busy,    ///< Try the next candidate.
  Refused, ///< Do not try this engine again for this request.
};

/** Why a request was not granted. */
enum class SlotReason : std::uint8_t
{
  None,        ///< Granted, or waiting for a load.
  WindowFull,  ///< The engine has as many requests as it may have now.
  SlotsInUse,  ///< All slots hold adapters in use.
  WaitersFull, ///< Too many requests wait for loads.
  TakingOver,  ///< The owner has changed and old pins may still be in use.
  TooLate,     ///< It could not start before its deadline.
  LoadBackoff, ///< Loads of this adapter failed; the next one is allowed later.
  KeyInUse,    ///< The key holds a pin on another adapter.
  Restarted,   ///< The engine restarted while the request waited.
};

/** Answer to a SlotRequest. */
struct SlotAnswer
{
  SlotVerdict verdict_ = SlotVerdict::Busy; ///< What to do.
  SlotReason reason_ = SlotReason::None;    ///< Why.
  Duration estimate_{};                     ///< Estimated wait, or time until another try.
};

/** A waiting request whose answer changed. */
struct SlotNotice
{
  PinKey key_;        ///< Who waits.
  SlotAnswer answer_; ///< The new answer.
};

/** A pin as its holder lists it in a heartbeat. */
struct PinRenewal
{
  RequestId request_;  ///< The attempt.
  AdapterRef adapter_; ///< Adapter that is in use.
  std::string epoch_;  ///< Life of the engine that it runs on.
  TimePoint deadline_; ///< End of the request, by the owner's clock.
};

/** What the holder knows of the run when it releases a pin. */
enum class RunEnd : std::uint8_t
{
  Certain,  ///< The run ended or never began: a whole answer, a refusal, or nothing was sent.
  Uncertain ///< The connection was lost or the attempt was cancelled; the run may go on.
};

/** An order to load an adapter. */
struct LoadOrder
{
  std::uint64_t number_ = 0; ///< Number for LoadFinished().
  AdapterRef adapter_;       ///< Adapter to load.
  AdapterRef evict_;         ///< Adapter to evict first; empty name = none.
};

/** How a load order ended. */
enum class LoadOutcome : std::uint8_t
{
  Loaded, ///< The adapter is resident.
  Failed, ///< The engine could not load it.
  InUse,  ///< The engine refused, because the adapter to evict runs requests.
  Unknown ///< No answer; it may have taken effect.
};

/** How victims are chosen. */
enum class EvictionKind : std::uint8_t
{
  FrequencyAware,   ///< The least popular by a decayed count, ties by last use.
  LeastRecentlyUsed ///< The one not used for longest.
};

/** Settings of an engine's slots. */
struct SlotSettings
{
  std::uint32_t slots_ = 8;                              ///< Adapter slots.
  std::uint32_t maxRunning_ = 32;                        ///< Most concurrent requests.
  std::uint32_t windowInitial_ = kColdWindowInitial;     ///< Window after a (re)start.
  EvictionKind eviction_ = EvictionKind::FrequencyAware; ///< How victims are chosen.
  Duration lease_ = kPinLease;                           ///< Lease of a pin.
  Duration reportLag_ = kReportLag;                      ///< Lag of the engine's reports.
  Duration halfLife_ = kPopularityHalfLife;              ///< Half-life of popularity.
};

} // namespace laburnumweir

#endif
