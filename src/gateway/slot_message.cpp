/** @file slot_message.cpp Encoding of messages about shared slots. */
#include "gateway/slot_message.h"

#include "http/json_row.h"

#include <string>

namespace laburnumweir {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

/** Calls a function for each row of the array in a cell. */
template<typename Function>
void
ForEachRow(const json::array& aRow, std::size_t aIndex, Function aFunction)
{
  const auto* rows = aIndex < aRow.size() ? aRow[aIndex].if_array() : nullptr;
  if (rows == nullptr) {
    return;
  }
  for (const auto& value : *rows) {
    if (const auto* row = value.if_array()) {
      aFunction(*row);
    }
  }
}

json::array
EncodeGrants(std::span<const SlotGrant> aGrants)
{
  json::array rows;
  for (const auto& grant : aGrants) {
    rows.emplace_back(json::array{ grant.id_, grant.upstream_.Value() });
  }
  return rows;
}

std::vector<SlotGrant>
DecodeGrants(const json::array& aRow, std::size_t aIndex)
{
  std::vector<SlotGrant> grants;
  ForEachRow(aRow, aIndex, [&](const json::array& aGrant) {
    grants.push_back({ NumberAt<SlotGrantId>(aGrant, 0), UpstreamId(TextAt(aGrant, 1)) });
  });
  return grants;
}

} // namespace

json::array
EncodeSlotDemands(std::span<const SlotDemand> aDemands)
{
  json::array rows;
  for (const auto& demand : aDemands) {
    json::array wishes;
    for (const auto& wish : demand.wishes_) {
      wishes.emplace_back(
        json::array{ wish.rank_, wish.toTarget_.count(), wish.toLatest_.count() });
    }
    json::array returned;
    for (const auto& slot : demand.returned_) {
      returned.emplace_back(json::array{ slot.id_, static_cast<int>(slot.outcome_) });
    }
    rows.emplace_back(json::array{ demand.service_.Value(),
                                   std::move(wishes),
                                   EncodeGrants(demand.held_),
                                   std::move(returned) });
  }
  return rows;
}

std::vector<SlotDemand>
DecodeSlotDemands(const json::array& aRows)
{
  std::vector<SlotDemand> demands;
  for (const auto& value : aRows) {
    const auto* row = value.if_array();
    if (row == nullptr || TextAt(*row, 0).empty()) {
      continue;
    }
    SlotDemand demand;
    demand.service_ = ServiceName(TextAt(*row, 0));
    ForEachRow(*row, 1, [&](const json::array& aWish) {
      demand.wishes_.push_back({ NumberAt<std::uint32_t>(aWish, 0),
                                 milliseconds(NumberAt<std::int32_t>(aWish, 1)),
                                 milliseconds(NumberAt<std::int32_t>(aWish, 2)) });
    });
    demand.held_ = DecodeGrants(*row, 2);
    ForEachRow(*row, 3, [&](const json::array& aSlot) {
      const auto outcome = NumberAt<int>(aSlot, 1);
      demand.returned_.push_back({ NumberAt<SlotGrantId>(aSlot, 0),
                                   outcome == 1   ? SlotOutcome::Refused
                                   : outcome == 2 ? SlotOutcome::Failed
                                                  : SlotOutcome::Done });
    });
    demands.push_back(std::move(demand));
  }
  return demands;
}

json::array
EncodeSlotOffers(std::span<const SlotOffer> aOffers)
{
  json::array rows;
  for (const auto& offer : aOffers) {
    rows.emplace_back(json::array{ offer.service_.Value(), EncodeGrants(offer.grants_) });
  }
  return rows;
}

std::vector<SlotOffer>
DecodeSlotOffers(const json::array& aRows)
{
  std::vector<SlotOffer> offers;
  for (const auto& value : aRows) {
    const auto* row = value.if_array();
    if (row == nullptr || TextAt(*row, 0).empty()) {
      continue;
    }
    SlotOffer offer;
    offer.service_ = ServiceName(TextAt(*row, 0));
    offer.grants_ = DecodeGrants(*row, 1);
    offers.push_back(std::move(offer));
  }
  return offers;
}

} // namespace laburnumweir
