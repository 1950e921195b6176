/** @file gossip_message.cpp What gateways tell each other, and its encoding. */
#include "gateway/gossip_message.h"

#include "http/json_field.h"

#include <boost/json.hpp>
#include <cmath>

namespace laburnumweir {

namespace {

namespace json = boost::json;

// Keys are single letters: bytes between data centres are priced.
// h host, a address, p port, n number, l life, c counts, d demand, r running, g generation,
// o partitions, e engines with adapters, u uses, k uses that still run, w wants.

std::string
TextAt(const json::array& aRow, std::size_t aIndex)
{
  const auto* text = aIndex < aRow.size() ? aRow[aIndex].if_string() : nullptr;
  return text == nullptr ? std::string() : std::string(*text);
}

template<typename Number>
Number
NumberAt(const json::array& aRow, std::size_t aIndex)
{
  json::error_code error;
  if (aIndex >= aRow.size()) {
    return 0;
  }
  const auto number = aRow[aIndex].to_number<Number>(error);
  return error ? Number(0) : number;
}

WantReason
ReasonOf(int aNumber)
{
  return aNumber == 0 ? WantReason::InTime : aNumber == 1 ? WantReason::Late : WantReason::Copy;
}

template<typename Function>
void
ForRows(const json::object& aObject, std::string_view aKey, Function aFunction)
{
  const auto* value = aObject.if_contains(aKey);
  if (const auto* rows = value == nullptr ? nullptr : value->if_array()) {
    for (const auto& row : *rows) {
      if (const auto* cells = row.if_array()) {
        aFunction(*cells);
      }
    }
  }
}

json::array
EncodeModels(const std::vector<ResidentModel>& aModels)
{
  json::array models;
  for (const auto& model : aModels) {
    json::array row{ model.name_ };
    for (const auto& adapter : model.adapters_) {
      row.emplace_back(adapter.name_ + "@" + std::to_string(adapter.version_));
    }
    models.emplace_back(std::move(row));
  }
  return models;
}

std::vector<ResidentModel>
DecodeModels(const json::value& aValue)
{
  std::vector<ResidentModel> models;
  const auto* rows = aValue.if_array();
  for (std::size_t i = 0; rows != nullptr && i < rows->size(); ++i) {
    const auto* cells = (*rows)[i].if_array();
    if (cells == nullptr) {
      continue;
    }
    ResidentModel model{ TextAt(*cells, 0), {} };
    for (std::size_t j = 1; j < cells->size(); ++j) {
      const auto text = TextAt(*cells, j);
      const auto at = text.rfind('@');
      if (at != std::string::npos) {
        model.adapters_.push_back(
          { text.substr(0, at), std::strtoll(text.c_str() + at + 1, nullptr, 10) });
      }
    }
    models.push_back(std::move(model));
  }
  return models;
}

} // namespace

std::string
EncodeGossip(const GossipMessage& aMessage)
{
  json::object object{ { "h", aMessage.host_.Value() },
                       { "a", aMessage.reply_.address_ },
                       { "p", aMessage.reply_.port_ },
                       { "n", aMessage.number_ },
                       { "l", aMessage.life_ } };
  if (aMessage.hasCounts_) {
    object["c"] = true;
    object["g"] = aMessage.generation_;
    json::array demand;
    for (const auto& entry : aMessage.demand_) {
      // Whole tokens per second are exact enough and half as long.
      demand.emplace_back(json::array{ entry.workspace_.Value(),
                                       std::llround(entry.askedPerSecond_),
                                       std::llround(entry.takenPerSecond_) });
    }
    json::array running;
    for (const auto& entry : aMessage.load_) {
      running.emplace_back(json::array{ entry.upstream_.Value(), entry.running_ });
    }
    json::array partitions;
    for (const auto partition : aMessage.partitions_) {
      partitions.emplace_back(json::array{ partition });
    }
    object["d"] = std::move(demand);
    object["r"] = std::move(running);
    object["o"] = std::move(partitions);
  }
  json::array engines;
  for (const auto& entry : aMessage.residency_) {
    engines.emplace_back(json::array{
      entry.engine_.Value(), entry.startedAt_, entry.orders_, EncodeModels(entry.models_) });
  }
  json::array uses;
  for (const auto& use : aMessage.uses_) {
    uses.emplace_back(json::array{ use.engine_.Value(), use.model_, use.adapter_ });
  }
  json::array running;
  for (const auto& use : aMessage.running_) {
    running.emplace_back(json::array{ use.engine_.Value(), use.model_, use.adapter_ });
  }
  json::array wants;
  for (const auto& want : aMessage.wants_) {
    wants.emplace_back(json::array{ want.engine_.Value(),
                                    want.want_.model_,
                                    want.want_.adapter_,
                                    want.want_.version_,
                                    static_cast<int>(want.want_.reason_) });
  }
  if (!engines.empty()) {
    object["e"] = std::move(engines);
  }
  if (!uses.empty()) {
    object["u"] = std::move(uses);
  }
  if (!running.empty()) {
    object["k"] = std::move(running);
  }
  if (!wants.empty()) {
    object["w"] = std::move(wants);
  }
  return json::serialize(object);
}

std::optional<GossipMessage>
DecodeGossip(std::string_view aPayload)
{
  json::object object;
  GossipMessage message;
  std::string host;
  if (!ParseJsonObject(aPayload, object) || !ReadField(object, "h", host) || host.empty() ||
      !ReadField(object, "a", message.reply_.address_) ||
      !ReadField(object, "p", message.reply_.port_) || !ReadField(object, "n", message.number_) ||
      !ReadField(object, "l", message.life_)) {
    return std::nullopt;
  }
  message.host_ = HostId(host);
  ReadField(object, "c", message.hasCounts_);
  ReadField(object, "g", message.generation_);
  ForRows(object, "d", [&](const json::array& aRow) {
    message.demand_.push_back(
      { WorkspaceId(TextAt(aRow, 0)), NumberAt<double>(aRow, 1), NumberAt<double>(aRow, 2) });
  });
  ForRows(object, "r", [&](const json::array& aRow) {
    message.load_.push_back({ UpstreamId(TextAt(aRow, 0)), NumberAt<std::uint32_t>(aRow, 1) });
  });
  ForRows(object, "o", [&](const json::array& aRow) {
    message.partitions_.push_back(NumberAt<std::uint32_t>(aRow, 0));
  });
  ForRows(object, "e", [&](const json::array& aRow) {
    if (aRow.size() >= 4) {
      message.residency_.push_back({ UpstreamId(TextAt(aRow, 0)),
                                     NumberAt<std::int64_t>(aRow, 1),
                                     NumberAt<std::uint64_t>(aRow, 2),
                                     DecodeModels(aRow[3]) });
    }
  });
  ForRows(object, "u", [&](const json::array& aRow) {
    message.uses_.push_back({ UpstreamId(TextAt(aRow, 0)), TextAt(aRow, 1), TextAt(aRow, 2) });
  });
  ForRows(object, "k", [&](const json::array& aRow) {
    message.running_.push_back({ UpstreamId(TextAt(aRow, 0)), TextAt(aRow, 1), TextAt(aRow, 2) });
  });
  ForRows(object, "w", [&](const json::array& aRow) {
    message.wants_.push_back({ UpstreamId(TextAt(aRow, 0)),
                               { TextAt(aRow, 1),
                                 TextAt(aRow, 2),
                                 NumberAt<std::int64_t>(aRow, 3),
                                 ReasonOf(NumberAt<int>(aRow, 4)) } });
  });
  return message;
}

} // namespace laburnumweir
