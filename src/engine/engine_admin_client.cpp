/** @file engine_admin_client.cpp Client for orders to model engines over their HTTP protocol. */
#include "engine/engine_admin_client.h"

#include "http/json_field.h"

#include <boost/json.hpp>

namespace laburnumweir {

namespace json = boost::json;

namespace {

class EngineErrorCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "engine"; }
  std::string message(int aValue) const override
  {
    switch (static_cast<EngineError>(aValue)) {
      case EngineError::Unreachable:
        return "no connection to the engine could be made";
      case EngineError::AnswerLost:
        return "no answer of the engine came; the order may have taken effect";
      case EngineError::StaleFencing:
        return "the engine has seen a higher fencing token";
      case EngineError::InUse:
        return "the adapter to evict is in use";
      case EngineError::LoadFailed:
        return "the adapter could not be loaded";
      case EngineError::InvalidAnswer:
        return "the answer of the engine is invalid";
      case EngineError::NoSlot:
        return "all slots are taken and no resident adapter to evict was named";
      case EngineError::Refused:
        return "the engine refused the order; nothing was done";
    }
    return "unknown engine error";
  }
};

std::error_code
TransportError(std::error_code aError)
{
  return aError == HttpError::ConnectFailed ? EngineError::Unreachable : EngineError::AnswerLost;
}

std::string
ErrorCodeOf(const std::string& aBody)
{
  json::object object;
  std::string code;
  if (ParseJsonObject(aBody, object)) {
    const auto* error = object.if_contains("error");
    if (error != nullptr && error->is_object()) {
      ReadField(error->get_object(), "code", code);
    }
  }
  return code;
}

std::error_code
ParseOrder(std::error_code aError, const HttpAnswer& aAnswer, const AdapterRef& aAdapter)
{
  if (aError) {
    return TransportError(aError);
  }
  if (aAnswer.status_ == 200) {
    json::object object;
    std::string loaded;
    const bool isValid = ParseJsonObject(aAnswer.body_, object) &&
                         ReadField(object, "adapter", loaded) && loaded == aAdapter.ToString();
    return isValid ? std::error_code() : EngineError::InvalidAnswer;
  }
  const auto code = ErrorCodeOf(aAnswer.body_);
  if (code == "stale_fencing") {
    return EngineError::StaleFencing;
  }
  if (code == "in_use") {
    return EngineError::InUse;
  }
  if (code == "no_slot") {
    return EngineError::NoSlot;
  }
  if (code == "load_failed") {
    return EngineError::LoadFailed;
  }
  if (aAnswer.status_ == 503 || aAnswer.status_ == 429) {
    return EngineError::Refused;
  }
  return EngineError::InvalidAnswer;
}

bool
ParseResident(const json::value& aValue, ResidentAdapter& aResident)
{
  const auto* object = aValue.if_object();
  return object != nullptr && ReadField(*object, "adapter", aResident.adapter_.name_) &&
         ReadField(*object, "version", aResident.adapter_.version_) &&
         ReadField(*object, "running", aResident.running_);
}

std::error_code
ParseReport(std::error_code aError, const HttpAnswer& aAnswer, EngineReport& aReport)
{
  if (aError) {
    return TransportError(aError);
  }
  if (aAnswer.status_ == 503 || aAnswer.status_ == 429) {
    return EngineError::Refused;
  }
  json::object object;
  if (aAnswer.status_ != 200 || !ParseJsonObject(aAnswer.body_, object) ||
      !ReadField(object, "epoch", aReport.epoch_) || aReport.epoch_.empty() ||
      !ReadField(object, "model", aReport.model_) || !ReadField(object, "slots", aReport.slots_) ||
      !ReadField(object, "running", aReport.running_)) {
    return EngineError::InvalidAnswer;
  }
  const auto* list = object.if_contains("resident");
  if (list == nullptr || !list->is_array()) {
    return EngineError::InvalidAnswer;
  }
  for (const auto& item : list->get_array()) {
    if (!ParseResident(item, aReport.resident_.emplace_back())) {
      return EngineError::InvalidAnswer;
    }
  }
  return {};
}

} // namespace

const std::error_category&
EngineCategory()
{
  static const EngineErrorCategory kCategory;
  return kCategory;
}

std::error_code
make_error_code(EngineError aError)
{
  return { static_cast<int>(aError), EngineCategory() };
}

EngineAdminClient::EngineAdminClient(boost::asio::io_context& aContext)
  : EngineAdminClient(aContext, Timeouts{})
{
}

EngineAdminClient::EngineAdminClient(boost::asio::io_context& aContext, Timeouts aTimeouts)
  : context_(aContext)
  , timeouts_(aTimeouts)
{
}

EngineAdminClient::~EngineAdminClient() = default;

JsonClient&
EngineAdminClient::ClientOf(const Endpoint& aEngine)
{
  auto& client = clients_[aEngine];
  if (!client) {
    client = std::make_unique<JsonClient>(context_, aEngine);
  }
  return *client;
}

void
EngineAdminClient::Forget(const Endpoint& aEngine)
{
  clients_.erase(aEngine);
}

void
EngineAdminClient::Load(const Endpoint& aEngine,
                        const AdapterRef& aAdapter,
                        const AdapterRef& aEvict,
                        std::uint64_t aFencing,
                        OrderCallback aCallback)
{
  json::object body{ { "adapter", aAdapter.name_ },
                     { "version", aAdapter.version_ },
                     { "fencing", aFencing } };
  if (aEvict != AdapterRef{}) {
    body["evict"] = aEvict.ToString();
  }
  HttpExchange exchange;
  exchange.method_ = "POST";
  exchange.target_ = "/admin/load";
  exchange.body_ = json::serialize(body);
  exchange.timeout_ = timeouts_.load_;
  ClientOf(aEngine).Send(
    std::move(exchange),
    [aAdapter, callback = std::move(aCallback)](std::error_code aError, const HttpAnswer& aAnswer) {
      callback(ParseOrder(aError, aAnswer, aAdapter));
    });
}

void
EngineAdminClient::Report(const Endpoint& aEngine, ReportCallback aCallback)
{
  HttpExchange exchange;
  exchange.target_ = "/admin/state";
  exchange.timeout_ = timeouts_.report_;
  ClientOf(aEngine).Send(
    std::move(exchange),
    [callback = std::move(aCallback)](std::error_code aError, const HttpAnswer& aAnswer) {
      EngineReport report;
      const auto error = ParseReport(aError, aAnswer, report);
      callback(error, error ? EngineReport{} : std::move(report));
    });
}

} // namespace laburnumweir
