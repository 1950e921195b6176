/** @file weight_store_stand_in.cpp Stand-in of the weight store. */
#include "standin/weight_store_stand_in.h"

#include <algorithm>
#include <boost/json.hpp>

namespace laburnumweir::standin {

namespace json = boost::json;

namespace {

std::set<std::string>
ReadNames(Settings& aSettings, std::string_view aKey)
{
  std::set<std::string> names;
  const auto* value = aSettings.Find(aKey);
  if (value == nullptr) {
    return names;
  }
  if (!value->is_array()) {
    aSettings.Fail(aKey, "an array of name@version strings");
  }
  for (const auto& item : value->get_array()) {
    if (!item.is_string()) {
      aSettings.Fail(aKey, "an array of name@version strings");
    }
    names.emplace(item.get_string());
  }
  return names;
}

} // namespace

WeightStoreStandIn::WeightStoreStandIn(boost::asio::io_context& aContext,
                                       std::string aName,
                                       Settings& aSettings)
  : StandIn(aContext, std::move(aName), aSettings)
  , lookups_(aSettings.Number("lookups_per_s", 200), aSettings.Number("lookup_burst", 50))
  , loads_(aSettings.Millis("load_ms", 250), aSettings.Count("loads_at_full_speed", 8))
  , model_(aSettings.Text("model", "base"))
  , bytes_(aSettings.Count("bytes", 50000000))
  , known_(ReadNames(aSettings, "adapters"))
  , missing_(ReadNames(aSettings, "missing"))
{
}

bool
WeightStoreStandIn::Exists(const std::string& aRef) const
{
  return missing_.count(aRef) == 0 && (known_.empty() || known_.count(aRef) == 1);
}

void
WeightStoreStandIn::Handle(const Request& aRequest, const std::shared_ptr<Reply>& aReply)
{
  const auto& segments = aRequest.segments_;
  if (segments.size() == 3 && segments[0] == "adapters" && aRequest.method_ == "GET") {
    Find(segments[1], segments[2], *aReply);
  } else if (segments.size() == 1 && segments[0] == "loads" && aRequest.method_ == "POST") {
    StartLoad(aRequest, aReply);
  } else if (segments.size() == 2 && segments[0] == "loads" && aRequest.method_ == "DELETE") {
    AbortLoad(segments[1], *aReply);
  } else {
    aReply->Send(404, ErrorBody("not_found", "no such resource"));
  }
}

void
WeightStoreStandIn::Find(const std::string& aName, const std::string& aVersion, Reply& aReply)
{
  if (!lookups_.Take(clock_.Now())) {
    ++limited_;
    aReply.Send(429, ErrorBody("rate_limited", "too many lookups"));
    return;
  }
  if (!Exists(aName + "@" + aVersion)) {
    aReply.Send(404, ErrorBody("not_found", "no such adapter version"));
    return;
  }
  ++found_;
  aReply.Send(
    200,
    json::serialize(json::object{
      { "name", aName }, { "version", aVersion }, { "model", model_ }, { "bytes", bytes_ } }));
}

void
WeightStoreStandIn::StartLoad(const Request& aRequest, const std::shared_ptr<Reply>& aReply)
{
  bool isValid = false;
  const auto object = ParseObject(aRequest.body_, isValid);
  const auto* idField = object.if_contains("id");
  const auto* refField = object.if_contains("adapter");
  if (idField == nullptr || refField == nullptr || !idField->is_string() ||
      !refField->is_string()) {
    aReply->Send(400, ErrorBody("invalid", "expected id and adapter"));
    return;
  }
  const std::string id(idField->get_string());
  if (!Exists(std::string(refField->get_string()))) {
    aReply->Send(404, ErrorBody("not_found", "no such adapter version"));
    return;
  }
  const auto now = clock_.Now();
  if (!loads_.Start(id, now)) {
    aReply->Send(409, ErrorBody("duplicate", "the load id is in use"));
    return;
  }
  ++loadCount_;
  maxInFlight_ = std::max(maxInFlight_, loads_.InFlight());
  waiting_[id] = aReply;
  started_[id] = now;
  aReply->OnClosed([this, id] {
    if (loads_.Abort(id, clock_.Now())) {
      ++aborted_;
      waiting_.erase(id);
      started_.erase(id);
      Update();
    }
  });
  Update();
}

void
WeightStoreStandIn::AbortLoad(const std::string& aId, Reply& aReply)
{
  if (!loads_.Abort(aId, clock_.Now())) {
    aReply.Send(404, ErrorBody("not_found", "no such load"));
    return;
  }
  ++aborted_;
  started_.erase(aId);
  const auto waiting = waiting_.extract(aId);
  if (!waiting.empty()) {
    waiting.mapped()->Send(410, ErrorBody("aborted", "the load was aborted"));
  }
  aReply.Send(200, R"({"ok":true})");
  Update();
}

void
WeightStoreStandIn::Update()
{
  const auto now = clock_.Now();
  for (const auto& id : loads_.TakeComplete(now)) {
    const auto taken = std::chrono::duration<double, std::milli>(now - started_[id]).count();
    started_.erase(id);
    const auto waiting = waiting_.extract(id);
    if (!waiting.empty()) {
      waiting.mapped()->Send(200,
                             json::serialize(json::object{ { "id", id }, { "load_ms", taken } }));
    }
  }
  const auto generation = ++generation_;
  if (const auto next = loads_.NextCompletion()) {
    After(std::max<Duration>(*next - now, Duration::zero()), [this, generation] {
      if (generation == generation_) {
        Update();
      }
    });
  }
}

void
WeightStoreStandIn::AddStats(json::object& aStats) const
{
  aStats["lookups"] = found_;
  aStats["rate_limited"] = limited_;
  aStats["loads"] = loadCount_;
  aStats["loads_aborted"] = aborted_;
  aStats["loads_in_flight"] = loads_.InFlight();
  aStats["max_loads_in_flight"] = maxInFlight_;
}

} // namespace laburnumweir::standin
