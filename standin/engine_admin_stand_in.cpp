/** @file engine_admin_stand_in.cpp Stand-in of a model engine: orders, reports and events. */
#include "standin/engine_stand_in.h"

#include "http/json_client.h"

#include <array>
#include <boost/json.hpp>

namespace laburnumweir::standin {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 1> kLoadFail{ "load_fail" };
constexpr std::array<std::string_view, 1> kLoadDelay{ "load_delay" };
constexpr std::size_t kMaxEvents = 1000;
constexpr std::chrono::seconds kLoadTimeout{ 120 };

std::string
TextField(const json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

void
SendOrderError(Reply& aReply, LoadTest aResult)
{
  switch (aResult) {
    case LoadTest::StaleFencing:
      aReply.Send(409, ErrorBody("stale_fencing", "a higher fencing token was seen"));
      break;
    case LoadTest::InUse:
      aReply.Send(409, ErrorBody("in_use", "the adapter to evict is in use"));
      break;
    default:
      aReply.Send(409, ErrorBody("no_slot", "all slots are taken"));
  }
}

} // namespace

void
EngineStandIn::Load(const Request& aRequest, const std::shared_ptr<Reply>& aReply)
{
  bool isValid = false;
  const auto body = ParseObject(aRequest.body_, isValid);
  LoadOrder order;
  order.adapter_ = { TextField(body, "adapter"), TextField(body, "version") };
  const auto evict = TextField(body, "evict");
  const auto* fencing = body.if_contains("fencing");
  json::error_code error;
  order.fencing_ = fencing == nullptr ? 0 : fencing->to_number<std::uint64_t>(error);
  if (order.adapter_.name_.empty() || order.adapter_.version_.empty() || fencing == nullptr ||
      error || (!evict.empty() && !AdapterRef::Parse(evict, order.evict_))) {
    aReply->Send(400, ErrorBody("invalid", "expected adapter, version and fencing"));
    return;
  }
  const auto evictionsBefore = model_.Counts().evictions_;
  const auto result = model_.ExecLoad(order);
  if (result == LoadTest::AlreadyResident) {
    aReply->Send(200, json::serialize(json::object{ { "adapter", order.adapter_.ToString() } }));
  } else if (result == LoadTest::Ok || result == LoadTest::AlreadyLoading) {
    loading_[order.adapter_].push_back(aReply);
    if (model_.Counts().evictions_ != evictionsBefore) {
      AddEvent("evicted", order.evict_);
    }
    if (result == LoadTest::Ok) {
      NoteChange();
      FetchWeights(aRequest, order.adapter_);
    }
  } else {
    SendOrderError(*aReply, result);
  }
}

void
EngineStandIn::FetchWeights(const Request& aRequest, const AdapterRef& aAdapter)
{
  const auto epoch = model_.Epoch();
  const bool isFailing = Faults().Take(kLoadFail, aRequest).has_value();
  const auto delayFault = Faults().Take(kLoadDelay, aRequest);
  const Duration extra = delayFault ? delayFault->ms_ : Duration::zero();
  const auto finish = [this, aAdapter, epoch, extra](bool aIsLoaded) {
    After(extra, [this, aAdapter, epoch, aIsLoaded] { AnswerLoad(aAdapter, epoch, aIsLoaded); });
  };
  if (!weights_) {
    After(loadTime_, [finish, isFailing] { finish(!isFailing); });
    return;
  }
  HttpExchange exchange;
  exchange.method_ = "POST";
  exchange.target_ = "/loads";
  exchange.timeout_ = kLoadTimeout;
  const auto lease = epoch + "-" + std::to_string(model_.Counts().loads_);
  leases_[aAdapter] = lease;
  exchange.body_ =
    json::serialize(json::object{ { "id", lease }, { "adapter", aAdapter.ToString() } });
  weights_->Send(
    std::move(exchange),
    [finish, isFailing, alive = Alive()](std::error_code aError, const HttpAnswer& aAnswer) {
      if (!alive.expired()) {
        finish(!isFailing && !aError && aAnswer.status_ == 200);
      }
    });
}

void
EngineStandIn::AbortLeases()
{
  for (const auto& [adapter, lease] : leases_) {
    HttpExchange exchange;
    exchange.method_ = "DELETE";
    exchange.target_ = "/loads/" + lease;
    weights_->Send(std::move(exchange), [](std::error_code, const HttpAnswer&) {});
  }
  leases_.clear();
}

void
EngineStandIn::AnswerLoad(const AdapterRef& aAdapter, const std::string& aEpoch, bool aIsLoaded)
{
  if (aEpoch != model_.Epoch()) {
    return;
  }
  leases_.erase(aAdapter);
  model_.FinishLoad(aAdapter, aIsLoaded);
  if (aIsLoaded) {
    AddEvent("loaded", aAdapter);
  }
  NoteChange();
  const auto replies = loading_.extract(aAdapter);
  if (replies.empty()) {
    return;
  }
  for (const auto& reply : replies.mapped()) {
    if (aIsLoaded) {
      reply->Send(200, json::serialize(json::object{ { "adapter", aAdapter.ToString() } }));
    } else {
      reply->Send(502, ErrorBody("load_failed", "the weights could not be loaded"));
    }
  }
}

void
EngineStandIn::Cancel(const std::string& aId, Reply& aReply)
{
  std::shared_ptr<Run> target;
  for (const auto& [id, run] : runs_) {
    if (RequestIdOf(*run) == aId) {
      target = run;
      break;
    }
  }
  if (!target) {
    aReply.Send(404, ErrorBody("not_found", "no such request runs or waits"));
    return;
  }
  ++cancelled_;
  CancelRun(target);
  aReply.Send(200, R"({"cancelled":true})");
}

void
EngineStandIn::NoteChange()
{
  const auto now = clock_.Now();
  if (stateLag_ == Duration::zero()) {
    return;
  }
  reports_.emplace_back(now, model_.Report());
  while (reports_.size() > 1 && reports_[1].first <= now - stateLag_) {
    reports_.pop_front();
  }
}

void
EngineStandIn::SendState(Reply& aReply)
{
  auto report = model_.Report();
  if (stateLag_ != Duration::zero()) {
    const auto asOf = clock_.Now() - stateLag_;
    while (reports_.size() > 1 && reports_[1].first <= asOf) {
      reports_.pop_front();
    }
    report = reports_.front().second;
  }
  json::array resident;
  for (const auto& item : report.resident_) {
    resident.emplace_back(json::object{ { "adapter", item.adapter_.name_ },
                                        { "version", item.adapter_.version_ },
                                        { "running", item.running_ } });
  }
  aReply.Send(200,
              json::serialize(json::object{ { "epoch", report.epoch_ },
                                            { "model", report.model_ },
                                            { "slots", report.slots_ },
                                            { "running", report.running_ },
                                            { "resident", std::move(resident) } }));
}

void
EngineStandIn::AddEvent(const char* aKind, const AdapterRef& aAdapter)
{
  events_.push_back({ nextEvent_++, clock_.Now(), aKind, aAdapter.ToString() });
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

void
EngineStandIn::SendEvents(const Request& aRequest, Reply& aReply)
{
  const auto from = aRequest.QueryNumber("from", 0);
  const auto newest = clock_.Now() - eventLag_;
  json::array list;
  std::uint64_t next = from;
  for (const auto& event : events_) {
    if (event.sequence_ < from || event.time_ > newest) {
      continue;
    }
    next = event.sequence_ + 1;
    if (dropEvery_ == 0 || (event.sequence_ + 1) % dropEvery_ != 0) {
      list.emplace_back(json::object{
        { "sequence", event.sequence_ }, { "kind", event.kind_ }, { "adapter", event.adapter_ } });
    }
  }
  aReply.Send(200,
              json::serialize(json::object{
                { "epoch", model_.Epoch() }, { "next", next }, { "events", std::move(list) } }));
}

} // namespace laburnumweir::standin
