/** @file gossip_message.cpp Messages between hosts, and their encoding. */
#include "gateway/gossip_message.h"

#include "gateway/slot_message.h"

#include "core/hash_func.h"
#include "http/json_field.h"
#include "http/json_row.h"
#include "table/fleet_const.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

namespace laburnumweir {

namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

// Keys are single letters because traffic between data centres is charged by the byte.
// h host, a address, p port, z data centre, n message number, l start time of the process,
// c has a load report, d demand by workspace, r running requests by upstream, g generation,
// o partitions, e engines with their adapters, u uses that started, k uses that still run,
// w load requests, q query, s answer, x changed upstreams, m live hosts, f crash suspects,
// b contents that have begun, y quarantines, j permit requests, i permit answers, v configuration
// in force, t restore of the store, R origins of streams, Q queries for such, U unknown ones,
// N number and time of a message with usage counts, C these counts, A their confirmation,
// D demands of slots, O offers of slots.

LoadPriority
DecodeReason(int aNumber)
{
  return aNumber == 0   ? LoadPriority::InTime
         : aNumber == 1 ? LoadPriority::Late
                        : LoadPriority::Replica;
}

/** Calls a function for each row of an array of arrays; skips values of other types. */
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

json::array
EncodeHost(const HostPartitions& aHost)
{
  json::array row{ aHost.host_.id_.Value(),
                   aHost.host_.gossip_.address_,
                   aHost.host_.gossip_.port_,
                   aHost.host_.dataCentre_.Value(),
                   aHost.generation_ };
  for (const auto partition : aHost.partitions_) {
    row.emplace_back(partition);
  }
  return row;
}

HostPartitions
DecodeHost(const json::array& aRow)
{
  HostPartitions host{ { HostId(TextAt(aRow, 0)),
                         { TextAt(aRow, 1), NumberAt<std::uint16_t>(aRow, 2) },
                         DataCentreId(TextAt(aRow, 3)) },
                       NumberAt<std::uint64_t>(aRow, 4),
                       {} };
  for (std::size_t i = 5; i < aRow.size(); ++i) {
    host.partitions_.push_back(NumberAt<std::uint32_t>(aRow, i));
  }
  return host;
}

/** @return row of the upstream; without an endpoint if the upstream was removed. */
json::array
EncodeUpstream(const UpstreamChange& aChange)
{
  json::array row{ aChange.id_.Value() };
  if (const auto& entry = aChange.entry_) {
    row.emplace_back(entry->service_.Value());
    row.emplace_back(entry->endpoint_.address_);
    row.emplace_back(entry->endpoint_.port_);
    row.emplace_back(entry->dataCentre_.Value());
    row.emplace_back(entry->slots_);
    row.emplace_back(entry->isDraining_ ? 1 : 0);
    row.emplace_back(entry->coldTimeLeft_.count());
    row.emplace_back(entry->startedAt_);
    row.emplace_back(entry->heartbeat_);
    if (entry->listsModels_) {
      row.emplace_back(EncodeModels(entry->models_));
    } else if (!entry->software_.IsEmpty()) {
      row.emplace_back(nullptr);
    }
    if (!entry->software_.IsEmpty()) {
      row.emplace_back(entry->software_.Value());
    }
  } else {
    row.emplace_back(aChange.lastStamp_.startedAt_);
    row.emplace_back(aChange.lastStamp_.heartbeat_);
  }
  return row;
}

UpstreamChange
DecodeUpstream(const json::array& aRow)
{
  constexpr std::size_t kModelsColumn = 10;
  UpstreamChange change{ UpstreamId(TextAt(aRow, 0)), std::nullopt };
  if (aRow.size() >= kModelsColumn) {
    UpstreamEntry entry;
    entry.id_ = change.id_;
    entry.service_ = ServiceName(TextAt(aRow, 1));
    entry.endpoint_ = { TextAt(aRow, 2), NumberAt<std::uint16_t>(aRow, 3) };
    entry.dataCentre_ = DataCentreId(TextAt(aRow, 4));
    entry.slots_ = NumberAt<std::uint32_t>(aRow, 5);
    entry.isDraining_ = NumberAt<int>(aRow, 6) != 0;
    entry.coldTimeLeft_ =
      std::clamp(std::chrono::milliseconds(NumberAt<std::int64_t>(aRow, 7)), 0ms, kMaxColdTime);
    entry.startedAt_ = NumberAt<std::int64_t>(aRow, 8);
    entry.heartbeat_ = NumberAt<std::uint64_t>(aRow, 9);
    entry.listsModels_ = aRow.size() > kModelsColumn && aRow[kModelsColumn].is_array();
    if (entry.listsModels_) {
      entry.models_ = DecodeModels(aRow[kModelsColumn]);
    }
    entry.software_ = SoftwareVersion(TextAt(aRow, kModelsColumn + 1));
    change.entry_ = std::move(entry);
  } else {
    change.lastStamp_ = { NumberAt<std::int64_t>(aRow, 1), NumberAt<std::uint64_t>(aRow, 2) };
  }
  return change;
}

json::value
EncodeOffset(const std::optional<StorePosition>& aPosition)
{
  return aPosition ? json::value(aPosition->next_) : json::value(nullptr);
}

/** @return position whose offset and era are in these cells; none if there is no offset. Hosts that
 * know no eras send none. */
std::optional<StorePosition>
DecodePosition(const json::array& aRow, std::size_t aOffsetIndex, std::size_t aEraIndex)
{
  if (aOffsetIndex >= aRow.size() || !aRow[aOffsetIndex].is_number()) {
    return std::nullopt;
  }
  return StorePosition{ NumberAt<StoreEra>(aRow, aEraIndex),
                        NumberAt<LogOffset>(aRow, aOffsetIndex) };
}

void
EncodeReply(const RelayReply& aAnswer, json::object& aObject)
{
  aObject["s"] = json::array{ aAnswer.query_,
                              EncodeOffset(aAnswer.operators_),
                              aAnswer.configAge_.count(),
                              EncodeOffset(aAnswer.upstreams_),
                              aAnswer.upstreamAge_.count(),
                              aAnswer.hostsDigest_,
                              aAnswer.operators_.value_or(StorePosition()).era_,
                              aAnswer.upstreams_.value_or(StorePosition()).era_ };
  if (aAnswer.changes_) {
    json::array changes;
    for (const auto& change : *aAnswer.changes_) {
      changes.emplace_back(EncodeUpstream(change));
    }
    aObject["x"] = std::move(changes);
  }
}

RelayReply
DecodeReply(const json::array& aRow, const json::object& aObject)
{
  RelayReply answer;
  answer.query_ = NumberAt<std::uint64_t>(aRow, 0);
  answer.operators_ = DecodePosition(aRow, 1, 6);
  answer.configAge_ = std::chrono::milliseconds(NumberAt<std::int64_t>(aRow, 2));
  answer.upstreams_ = DecodePosition(aRow, 3, 7);
  answer.upstreamAge_ = std::chrono::milliseconds(NumberAt<std::int64_t>(aRow, 4));
  answer.hostsDigest_ = NumberAt<std::uint64_t>(aRow, 5);
  if (aObject.contains("x")) {
    answer.changes_.emplace();
    ForRows(aObject, "x", [&](const json::array& aChange) {
      answer.changes_->push_back(DecodeUpstream(aChange));
    });
  }
  return answer;
}

void
EncodeHostLoad(const HostLoad& aLoad, json::object& aObject)
{
  aObject["c"] = true;
  json::array demand;
  for (const auto& entry : aLoad.demand_) {
    // Whole tokens per second are precise enough and halve the length of the text.
    demand.emplace_back(json::array{ entry.workspace_.Value(),
                                     std::llround(entry.requestedPerSecond_),
                                     std::llround(entry.grantedPerSecond_),
                                     std::llround(entry.recentPerSecond_) });
  }
  json::array running;
  for (const auto& entry : aLoad.load_) {
    json::array row{ entry.upstream_.Value(), entry.running_ };
    if (entry.requestLimit_) {
      row.emplace_back(*entry.requestLimit_);
    }
    running.emplace_back(std::move(row));
  }
  aObject["d"] = std::move(demand);
  aObject["r"] = std::move(running);
  if (aLoad.config_.version_ > 0) {
    const auto& [version, next] = aLoad.config_;
    aObject["v"] = json::array{ version, next.next_, next.era_ };
  }
  if (aLoad.restore_) {
    aObject["t"] = json::array{ aLoad.restore_->era_, aLoad.restore_->age_.count() };
  }
}

HostLoad
DecodeHostLoad(const json::object& aObject)
{
  HostLoad counts;
  ForRows(aObject, "d", [&](const json::array& aRow) {
    counts.demand_.push_back({ WorkspaceId(TextAt(aRow, 0)),
                               NumberAt<double>(aRow, 1),
                               NumberAt<double>(aRow, 2),
                               NumberAt<double>(aRow, 3) });
  });
  ForRows(aObject, "r", [&](const json::array& aRow) {
    UpstreamLoad load{ UpstreamId(TextAt(aRow, 0)), NumberAt<std::uint32_t>(aRow, 1) };
    if (aRow.size() > 2) {
      load.requestLimit_ = NumberAt<double>(aRow, 2);
    }
    counts.load_.push_back(std::move(load));
  });
  if (const auto* value = aObject.if_contains("v"); value != nullptr && value->is_array()) {
    const auto& row = value->get_array();
    counts.config_ = { NumberAt<std::int64_t>(row, 0),
                       { NumberAt<StoreEra>(row, 2), NumberAt<LogOffset>(row, 1) } };
  }
  if (const auto* value = aObject.if_contains("t"); value != nullptr && value->is_array()) {
    const auto& row = value->get_array();
    counts.restore_ = { NumberAt<StoreEra>(row, 0),
                        std::chrono::milliseconds(NumberAt<std::int64_t>(row, 1)) };
  }
  return counts;
}

void
AppendContents(const std::vector<ContentId>& aContents, json::array& aRow)
{
  for (const auto& content : aContents) {
    aRow.emplace_back(content.Value());
  }
}

/** @return the contents in the cells from the given column on. */
std::vector<ContentId>
ContentsFrom(const json::array& aRow, std::size_t aFirstColumn)
{
  std::vector<ContentId> contents;
  for (std::size_t i = aFirstColumn; i < aRow.size(); ++i) {
    contents.emplace_back(TextAt(aRow, i));
  }
  return contents;
}

std::chrono::milliseconds
MillisecondsAt(const json::array& aRow, std::size_t aIndex)
{
  return std::chrono::milliseconds(NumberAt<std::int64_t>(aRow, aIndex));
}

void
EncodeQuarantine(const QuarantineReport& aReport, json::object& aObject)
{
  json::array suspects;
  for (const auto& suspect : aReport.suspects_) {
    const auto& [upstream, startedAt] = suspect.process_;
    json::array row{
      upstream.Value(), startedAt, suspect.age_.count(), suspect.contents_.request_.Value()
    };
    AppendContents(suspect.contents_.parts_, row);
    suspects.emplace_back(std::move(row));
  }
  json::array begun;
  for (const auto& content : aReport.begun_) {
    begun.emplace_back(json::array{ content.content_.Value(), content.age_.count() });
  }
  json::array entries;
  for (const auto& entry : aReport.entries_) {
    json::array row{ entry.age_.count(), entry.left_.count() };
    AppendContents(entry.contents_, row);
    entries.emplace_back(std::move(row));
  }
  for (auto [key, rows] :
       { std::pair("f", &suspects), std::pair("b", &begun), std::pair("y", &entries) }) {
    if (!rows->empty()) {
      aObject[key] = std::move(*rows);
    }
  }
}

QuarantineReport
DecodeQuarantine(const json::object& aObject)
{
  QuarantineReport report;
  ForRows(aObject, "f", [&](const json::array& aRow) {
    report.suspects_.push_back({ { UpstreamId(TextAt(aRow, 0)), NumberAt<std::int64_t>(aRow, 1) },
                                 { ContentsFrom(aRow, 4), ContentId(TextAt(aRow, 3)) },
                                 MillisecondsAt(aRow, 2) });
  });
  ForRows(aObject, "b", [&](const json::array& aRow) {
    report.begun_.push_back({ ContentId(TextAt(aRow, 0)), MillisecondsAt(aRow, 1) });
  });
  ForRows(aObject, "y", [&](const json::array& aRow) {
    report.entries_.push_back(
      { ContentsFrom(aRow, 2), MillisecondsAt(aRow, 0), MillisecondsAt(aRow, 1) });
  });
  return report;
}

json::array
EncodeAttempts(const std::vector<RequestId>& aAttempts)
{
  json::array rows;
  for (const auto& attempt : aAttempts) {
    rows.emplace_back(json::array{ attempt.Value() });
  }
  return rows;
}

void
EncodeOrigins(const StreamOriginMessage& aOrigins, json::object& aObject)
{
  json::array records;
  for (const auto& [attempt, origin] : aOrigins.records_) {
    records.emplace_back(json::array{ attempt.Value(),
                                      origin.service_.Value(),
                                      origin.software_.Value(),
                                      origin.isAmbiguous_ ? 1 : 0 });
  }
  auto queries = EncodeAttempts(aOrigins.queries_);
  auto unknown = EncodeAttempts(aOrigins.unknown_);
  for (auto [key, rows] :
       { std::pair("R", &records), std::pair("Q", &queries), std::pair("U", &unknown) }) {
    if (!rows->empty()) {
      aObject[key] = std::move(*rows);
    }
  }
}

StreamOriginMessage
DecodeOrigins(const json::object& aObject)
{
  StreamOriginMessage origins;
  ForRows(aObject, "R", [&](const json::array& aRow) {
    origins.records_.push_back({ RequestId(TextAt(aRow, 0)),
                                 { ServiceName(TextAt(aRow, 1)),
                                   SoftwareVersion(TextAt(aRow, 2)),
                                   NumberAt<int>(aRow, 3) != 0 } });
  });
  ForRows(
    aObject, "Q", [&](const json::array& aRow) { origins.queries_.emplace_back(TextAt(aRow, 0)); });
  ForRows(
    aObject, "U", [&](const json::array& aRow) { origins.unknown_.emplace_back(TextAt(aRow, 0)); });
  return origins;
}

void
EncodeUsage(const UsageMessage& aUsage, json::object& aObject)
{
  if (aUsage.number_ > 0) {
    const auto time = std::chrono::floor<std::chrono::milliseconds>(aUsage.wallTime_);
    json::array head{ aUsage.number_, time.time_since_epoch().count() };
    if (aUsage.isBackup_ || aUsage.origin_) {
      head.emplace_back(aUsage.isBackup_ ? 1 : 0);
    }
    if (const auto& origin = aUsage.origin_) {
      head.emplace_back(origin->host_.Value());
      head.emplace_back(origin->startedAt_);
    }
    aObject["N"] = std::move(head);
    // Each row is a window with its workspaces and counts.
    json::array rows;
    for (const auto& cell : aUsage.cells_) {
      if (rows.empty() || rows.back().get_array()[0] != cell.window_) {
        rows.emplace_back(json::array{ cell.window_ });
      }
      rows.back().get_array().emplace_back(cell.workspace_.Value());
      rows.back().get_array().emplace_back(cell.count_);
    }
    aObject["C"] = std::move(rows);
  }
  if (const auto& confirmation = aUsage.confirmation_) {
    aObject["A"] =
      json::array{ confirmation->number_, confirmation->term_, confirmation->firstOpen_ };
  }
}

std::optional<UsageMessage>
DecodeUsage(const json::object& aObject)
{
  UsageMessage usage;
  if (const auto* value = aObject.if_contains("N"); value != nullptr && value->is_array()) {
    const auto& row = value->get_array();
    usage.number_ = NumberAt<std::uint64_t>(row, 0);
    usage.wallTime_ = WallTime(MillisecondsAt(row, 1));
    usage.isBackup_ = NumberAt<int>(row, 2) != 0;
    if (auto origin = HostId(TextAt(row, 3)); !origin.IsEmpty()) {
      usage.origin_ = UsageProcess{ std::move(origin), NumberAt<std::int64_t>(row, 4) };
    }
    ForRows(aObject, "C", [&](const json::array& aRow) {
      const auto window = NumberAt<WindowId>(aRow, 0);
      for (std::size_t i = 1; i + 1 < aRow.size(); i += 2) {
        usage.cells_.push_back(
          { window, WorkspaceId(TextAt(aRow, i)), NumberAt<std::uint64_t>(aRow, i + 1) });
      }
    });
  }
  if (const auto* value = aObject.if_contains("A"); value != nullptr && value->is_array()) {
    const auto& row = value->get_array();
    usage.confirmation_ = UsageConfirmation{ NumberAt<std::uint64_t>(row, 0),
                                             NumberAt<std::uint64_t>(row, 1),
                                             NumberAt<WindowId>(row, 2) };
  }
  return usage.number_ > 0 || usage.confirmation_ ? std::optional(std::move(usage)) : std::nullopt;
}

} // namespace

std::uint64_t
DigestOfHosts(std::span<const HostPartitions> aHosts)
{
  std::string text;
  for (const auto& host : aHosts) {
    text += json::serialize(EncodeHost(host));
  }
  return RendezvousWeight(text, "hosts");
}

std::string
EncodeGossip(const GossipMessage& aMessage)
{
  json::object object{ { "h", aMessage.host_.id_.Value() },
                       { "a", aMessage.host_.gossip_.address_ },
                       { "p", aMessage.host_.gossip_.port_ },
                       { "z", aMessage.host_.dataCentre_.Value() },
                       { "n", aMessage.number_ },
                       { "l", aMessage.startedAt_ } };
  if (aMessage.hostLoad_) {
    EncodeHostLoad(*aMessage.hostLoad_, object);
    object["g"] = aMessage.generation_;
    json::array partitions;
    for (const auto partition : aMessage.partitions_) {
      partitions.emplace_back(json::array{ partition });
    }
    object["o"] = std::move(partitions);
  }
  EncodeQuarantine(aMessage.quarantine_, object);
  EncodeOrigins(aMessage.origins_, object);
  if (!aMessage.slotDemands_.empty()) {
    object["D"] = EncodeSlotDemands(aMessage.slotDemands_);
  }
  if (!aMessage.slotOffers_.empty()) {
    object["O"] = EncodeSlotOffers(aMessage.slotOffers_);
  }
  if (aMessage.usage_) {
    EncodeUsage(*aMessage.usage_, object);
  }
  if (const auto& query = aMessage.query_) {
    object["q"] =
      json::array{ query->upstreams_.next_, query->hostsDigest_, query->upstreams_.era_ };
  }
  if (aMessage.reply_) {
    EncodeReply(*aMessage.reply_, object);
  }
  if (!aMessage.hosts_.empty()) {
    json::array hosts;
    for (const auto& host : aMessage.hosts_) {
      hosts.emplace_back(EncodeHost(host));
    }
    object["m"] = std::move(hosts);
  }
  json::array engines;
  for (const auto& entry : aMessage.residency_) {
    engines.emplace_back(json::array{
      entry.engine_.Value(), entry.startedAt_, entry.orderCount_, EncodeModels(entry.models_) });
  }
  json::array uses;
  for (const auto& use : aMessage.startedUses_) {
    uses.emplace_back(json::array{ use.engine_.Value(), use.model_, use.adapter_ });
  }
  json::array running;
  for (const auto& use : aMessage.runningUses_) {
    running.emplace_back(json::array{ use.engine_.Value(), use.model_, use.adapter_ });
  }
  json::array wants;
  for (const auto& want : aMessage.loadRequests_) {
    wants.emplace_back(json::array{ want.engine_.Value(),
                                    want.request_.model_,
                                    want.request_.adapter_,
                                    want.request_.version_,
                                    static_cast<int>(want.request_.priority_) });
  }
  json::array permitRequests;
  for (const auto& request : aMessage.permitRequests_) {
    permitRequests.emplace_back(json::array{ request.upstream_.Value(), request.limit_ });
  }
  json::array permitAnswers;
  for (const auto& answer : aMessage.permitAnswers_) {
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(answer.permit_.delay_);
    permitAnswers.emplace_back(
      json::array{ answer.upstream_.Value(), answer.permit_.isGranted_ ? 1 : 0, delay.count() });
  }
  if (!permitRequests.empty()) {
    object["j"] = std::move(permitRequests);
  }
  if (!permitAnswers.empty()) {
    object["i"] = std::move(permitAnswers);
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
  std::string dataCentre;
  auto& sender = message.host_;
  if (!ParseJsonObject(aPayload, object) || !ReadField(object, "h", host) || host.empty() ||
      !ReadField(object, "a", sender.gossip_.address_) ||
      !ReadField(object, "p", sender.gossip_.port_) || !ReadField(object, "z", dataCentre) ||
      !ReadField(object, "n", message.number_) || !ReadField(object, "l", message.startedAt_)) {
    return std::nullopt;
  }
  sender.id_ = HostId(host);
  sender.dataCentre_ = DataCentreId(dataCentre);
  bool hasCounts = false;
  if (ReadField(object, "c", hasCounts) && hasCounts) {
    message.hostLoad_ = DecodeHostLoad(object);
  }
  ReadField(object, "g", message.generation_);
  if (const auto* value = object.if_contains("q"); value != nullptr && value->is_array()) {
    const auto& row = value->get_array();
    message.query_ = RelayQuery{ { NumberAt<StoreEra>(row, 2), NumberAt<LogOffset>(row, 0) },
                                 NumberAt<std::uint64_t>(row, 1) };
  }
  if (const auto* value = object.if_contains("s"); value != nullptr && value->is_array()) {
    message.reply_ = DecodeReply(value->get_array(), object);
  }
  ForRows(
    object, "m", [&](const json::array& aRow) { message.hosts_.push_back(DecodeHost(aRow)); });
  message.quarantine_ = DecodeQuarantine(object);
  message.origins_ = DecodeOrigins(object);
  message.usage_ = DecodeUsage(object);
  if (const auto* demands = object.if_contains("D"); demands != nullptr && demands->is_array()) {
    message.slotDemands_ = DecodeSlotDemands(demands->get_array());
  }
  if (const auto* offers = object.if_contains("O"); offers != nullptr && offers->is_array()) {
    message.slotOffers_ = DecodeSlotOffers(offers->get_array());
  }
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
    message.startedUses_.push_back(
      { UpstreamId(TextAt(aRow, 0)), TextAt(aRow, 1), TextAt(aRow, 2) });
  });
  ForRows(object, "k", [&](const json::array& aRow) {
    message.runningUses_.push_back(
      { UpstreamId(TextAt(aRow, 0)), TextAt(aRow, 1), TextAt(aRow, 2) });
  });
  ForRows(object, "w", [&](const json::array& aRow) {
    message.loadRequests_.push_back({ UpstreamId(TextAt(aRow, 0)),
                                      { TextAt(aRow, 1),
                                        TextAt(aRow, 2),
                                        NumberAt<std::int64_t>(aRow, 3),
                                        DecodeReason(NumberAt<int>(aRow, 4)) } });
  });
  ForRows(object, "j", [&](const json::array& aRow) {
    message.permitRequests_.push_back({ UpstreamId(TextAt(aRow, 0)), NumberAt<double>(aRow, 1) });
  });
  ForRows(object, "i", [&](const json::array& aRow) {
    message.permitAnswers_.push_back(
      { UpstreamId(TextAt(aRow, 0)), { NumberAt<int>(aRow, 1) != 0, MillisecondsAt(aRow, 2) } });
  });
  return message;
}

} // namespace laburnumweir
