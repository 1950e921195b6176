/** @file slot_type.h What hosts and the issuer of a service's slots tell each other. */
#ifndef LABURNUMWEIR_FLEET_SLOT_TYPE_H
#define LABURNUMWEIR_FLEET_SLOT_TYPE_H

#include "core/id_type.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace laburnumweir {

/** Identifies a slot that was assigned; unique among all issuers. */
using SlotGrantId = std::uint64_t;

/** A slot at an upstream that a host may use for one request. */
struct SlotGrant
{
  SlotGrantId id_ = 0;
  UpstreamId upstream_;
};

/** How the use of a slot ended. */
enum class SlotOutcome : std::uint8_t
{
  Done,    ///< The request was answered, or the slot was not used.
  Refused, ///< The upstream was full.
  Failed   ///< The upstream failed the request.
};

/** A slot that a host returns. */
struct SlotReturn
{
  SlotGrantId id_ = 0;
  SlotOutcome outcome_ = SlotOutcome::Done;
};

/** A request that waits for a slot. */
struct SlotWish
{
  std::uint32_t rank_ = 0;               ///< Priority; lower values are served first.
  std::chrono::milliseconds toTarget_{}; ///< Time left for an answer in time; may be negative.
  std::chrono::milliseconds toLatest_{}; ///< Time left for a start that is of any use.
};

/** State of a host towards the issuer of a service's slots. */
struct SlotDemand
{
  ServiceName service_;
  std::vector<SlotWish> wishes_;     ///< In the order in which the host would use slots.
  std::vector<SlotGrant> held_;      ///< Slots that it uses or is about to use.
  std::vector<SlotReturn> returned_; ///< Slots that it has returned since the last message.
};

/** Answer of the issuer to a demand, or slots that became free later. */
struct SlotOffer
{
  ServiceName service_;
  std::vector<SlotGrant> grants_;
};

} // namespace laburnumweir

#endif
