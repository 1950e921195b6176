/** @file program.cpp Stand-ins of one process, made from a configuration. */
#include "standin/program.h"

#include "standin/engine_stand_in.h"
#include "standin/host_list_stand_in.h"
#include "standin/log_stand_in.h"
#include "standin/service_stand_in.h"
#include "standin/weight_store_stand_in.h"

#include <algorithm>
#include <boost/json.hpp>
#include <ostream>
#include <stdexcept>

namespace laburnumweir::standin {

namespace json = boost::json;

struct Program::Item
{
  std::string kind_;      ///< Kind of stand-in.
  std::string name_;      ///< Name, unique in the process.
  Endpoint endpoint_;     ///< Where it listens.
  json::object settings_; ///< Its settings.
};

namespace {

std::uint16_t
ReadPort(Settings& aSettings)
{
  const auto port = aSettings.Count("port", 0);
  if (port > 65535) {
    aSettings.Fail("port", "a TCP port, or 0 for any");
  }
  return static_cast<std::uint16_t>(port);
}

} // namespace

Program::Program(boost::asio::io_context& aContext)
  : context_(aContext)
{
}

Program::~Program() = default;

void
Program::Start(const std::string& aConfig, std::ostream& aOutput)
{
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  json::error_code error;
  const auto value = json::parse(aConfig, error, {}, options);
  if (error || !value.is_object()) {
    throw std::runtime_error("the configuration is not a JSON object: " + error.message());
  }
  Settings top(value.get_object(), "configuration");
  const auto* list = top.Find("standins");
  const auto* control = top.Find("control");
  top.RequireAllRead();
  if (list == nullptr || !list->is_array()) {
    top.Fail("standins", "an array");
  }
  std::vector<Item> items;
  for (const auto& entry : list->get_array()) {
    Settings fields(entry.is_object() ? entry.get_object() : json::object{}, "stand-in");
    Item item;
    item.kind_ = fields.Text("kind", "");
    item.name_ = fields.Text("name", item.kind_);
    item.endpoint_ = { fields.Text("address", "127.0.0.1"), ReadPort(fields) };
    item.settings_ = fields.Object("settings");
    fields.RequireAllRead();
    items.push_back(std::move(item));
  }
  // Engines come last, because they name a weight store by its name.
  std::stable_sort(items.begin(), items.end(), [](const Item& aA, const Item& aB) {
    return aA.kind_ != "engine" && aB.kind_ == "engine";
  });
  for (const auto& item : items) {
    Make(item, aOutput);
  }
  if (control != nullptr) {
    Settings fields(top.Object("control"), "control");
    const auto address = fields.Text("address", "127.0.0.1");
    const auto port = ReadPort(fields);
    fields.RequireAllRead();
    control_ = std::make_unique<HttpServer>(
      context_, [this](const Request& aRequest, const std::shared_ptr<Reply>& aReply) {
        Control(aRequest, *aReply);
      });
    endpoints_["control"] = { address, control_->Listen(address, port) };
    aOutput << "listening kind=control name=control port=" << control_->Port() << std::endl;
  }
}

Endpoint
Program::WeightStore(Settings& aSettings) const
{
  const auto text = aSettings.Text("weight_store", "");
  if (text.empty()) {
    return {};
  }
  const auto found = endpoints_.find(text);
  if (found != endpoints_.end()) {
    return found->second;
  }
  const auto colon = text.rfind(':');
  const auto port = colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
  if (port <= 0 || port > 65535) {
    aSettings.Fail("weight_store", "the name of a weight store of this process, or address:port");
  }
  return { text.substr(0, colon), static_cast<std::uint16_t>(port) };
}

void
Program::Make(const Item& aItem, std::ostream& aOutput)
{
  if (aItem.name_.empty() || aItem.name_ == "control" || standIns_.count(aItem.name_) != 0) {
    throw std::runtime_error("stand-in: each needs a name of its own, other than \"control\"");
  }
  Settings settings(aItem.settings_, "settings of " + aItem.name_);
  std::unique_ptr<StandIn> standIn;
  if (aItem.kind_ == "log") {
    standIn = std::make_unique<LogStandIn>(context_, aItem.name_, settings);
  } else if (aItem.kind_ == "hostlist") {
    standIn = std::make_unique<HostListStandIn>(context_, aItem.name_, settings);
  } else if (aItem.kind_ == "weights") {
    standIn = std::make_unique<WeightStoreStandIn>(context_, aItem.name_, settings);
  } else if (aItem.kind_ == "service") {
    standIn = std::make_unique<ServiceStandIn>(context_, aItem.name_, settings);
  } else if (aItem.kind_ == "engine") {
    const auto weightStore = WeightStore(settings);
    standIn = std::make_unique<EngineStandIn>(context_, aItem.name_, settings, weightStore);
  } else {
    throw std::runtime_error("stand-in " + aItem.name_ +
                             ": kind must be log, hostlist, weights, service or engine");
  }
  settings.RequireAllRead();
  const auto port = standIn->Listen(aItem.endpoint_.address_, aItem.endpoint_.port_);
  endpoints_[aItem.name_] = { aItem.endpoint_.address_, port };
  standIns_[aItem.name_] = std::move(standIn);
  aOutput << "listening kind=" << aItem.kind_ << " name=" << aItem.name_ << " port=" << port
          << std::endl;
}

std::uint16_t
Program::Port(const std::string& aName) const
{
  const auto found = endpoints_.find(aName);
  return found == endpoints_.end() ? 0 : found->second.port_;
}

void
Program::Control(const Request& aRequest, Reply& aReply)
{
  const auto& segments = aRequest.segments_;
  const auto found = segments.size() == 3 && segments[1] == "control" ? standIns_.find(segments[0])
                                                                      : standIns_.end();
  if (found == standIns_.end()) {
    aReply.Send(404, ErrorBody("not_found", "expected /NAME/control/ACTION"));
    return;
  }
  found->second->Control(segments[2], aRequest, aReply);
}

} // namespace laburnumweir::standin
