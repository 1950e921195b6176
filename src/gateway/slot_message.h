/** @file slot_message.h Encoding of messages about shared slots. */
#ifndef LABURNUMWEIR_GATEWAY_SLOT_MESSAGE_H
#define LABURNUMWEIR_GATEWAY_SLOT_MESSAGE_H

#include "fleet/slot_type.h"

#include <boost/json/array.hpp>
#include <span>
#include <vector>

namespace laburnumweir {

/** @return rows of service, wishes (rank, ms to the target, ms to the latest start), slots in use
 * (id, upstream), and returned slots (id, outcome). */
boost::json::array
EncodeSlotDemands(std::span<const SlotDemand> aDemands);
/** @return the demands in well-formed rows. */
std::vector<SlotDemand>
DecodeSlotDemands(const boost::json::array& aRows);
/** @return rows of service, and assigned slots (id, upstream). */
boost::json::array
EncodeSlotOffers(std::span<const SlotOffer> aOffers);
/** @return the offers in well-formed rows. */
std::vector<SlotOffer>
DecodeSlotOffers(const boost::json::array& aRows);

} // namespace laburnumweir

#endif
