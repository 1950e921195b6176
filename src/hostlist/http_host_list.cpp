/** @file http_host_list.cpp Client of the host list over its HTTP protocol. */
#include "hostlist/http_host_list.h"

#include "http/json_field.h"

#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace laburnumweir {

namespace json = boost::json;

namespace {

class HostListErrorCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "hostlist"; }
  std::string message(int aValue) const override
  {
    switch (static_cast<HostListError>(aValue)) {
      case HostListError::Unreachable:
        return "no answer of the host list came";
      case HostListError::InvalidAnswer:
        return "the answer of the host list is invalid";
    }
    return "unknown host list error";
  }
};

std::error_code
CheckExchange(std::error_code aError, const HttpAnswer& aAnswer)
{
  // Entries expire and are refreshed, so a lost answer is no different from no connection.
  if (aError || aAnswer.status_ == 503 || aAnswer.status_ == 429) {
    return HostListError::Unreachable;
  }
  return aAnswer.status_ == 200 ? std::error_code() : HostListError::InvalidAnswer;
}

bool
ParseHost(const json::value& aValue, ListedHost& aHost)
{
  const auto* object = aValue.if_object();
  std::string id;
  std::string dataCentre;
  if (object == nullptr || !ReadField(*object, "id", id) || id.empty() ||
      !ReadField(*object, "address", aHost.peerEndpoint_.address_) ||
      !ReadField(*object, "port", aHost.peerEndpoint_.port_) ||
      !ReadField(*object, "datacentre", dataCentre) ||
      !ReadField(*object, "leaving", aHost.isLeaving_)) {
    return false;
  }
  aHost.id_ = HostId(std::move(id));
  aHost.dataCentre_ = DataCentreId(std::move(dataCentre));
  return true;
}

bool
ParseHosts(const std::string& aBody, std::vector<ListedHost>& aHosts)
{
  json::object object;
  if (!ParseJsonObject(aBody, object)) {
    return false;
  }
  const auto* list = object.if_contains("hosts");
  if (list == nullptr || !list->is_array()) {
    return false;
  }
  for (const auto& item : list->get_array()) {
    if (!ParseHost(item, aHosts.emplace_back())) {
      return false;
    }
  }
  return true;
}

} // namespace

const std::error_category&
HostListCategory()
{
  static const HostListErrorCategory kCategory;
  return kCategory;
}

std::error_code
make_error_code(HostListError aError)
{
  return { static_cast<int>(aError), HostListCategory() };
}

HttpHostListClient::HttpHostListClient(boost::asio::io_context& aContext,
                                       Endpoint aEndpoint,
                                       std::chrono::milliseconds aTimeout)
  : client_(aContext, std::move(aEndpoint))
  , timeout_(aTimeout)
{
}

void
HttpHostListClient::Fetch(Callback aCallback)
{
  HttpExchange exchange;
  exchange.target_ = "/hosts";
  exchange.timeout_ = timeout_;
  client_.Send(
    std::move(exchange),
    [callback = std::move(aCallback)](std::error_code aError, const HttpAnswer& aAnswer) {
      std::vector<ListedHost> hosts;
      auto error = CheckExchange(aError, aAnswer);
      if (!error && !ParseHosts(aAnswer.body_, hosts)) {
        error = HostListError::InvalidAnswer;
      }
      callback(error, error ? std::vector<ListedHost>() : std::move(hosts));
    });
}

void
HttpHostListClient::Announce(const ListedHost& aHost,
                             std::function<void(std::error_code)> aCallback)
{
  HttpExchange exchange;
  exchange.method_ = "PUT";
  exchange.target_ =
    "/hosts/" + boost::urls::encode(aHost.id_.Value(), boost::urls::unreserved_chars);
  exchange.body_ = json::serialize(json::object{ { "address", aHost.peerEndpoint_.address_ },
                                                 { "port", aHost.peerEndpoint_.port_ },
                                                 { "datacentre", aHost.dataCentre_.Value() },
                                                 { "leaving", aHost.isLeaving_ } });
  exchange.timeout_ = timeout_;
  client_.Send(
    std::move(exchange),
    [callback = std::move(aCallback)](std::error_code aError, const HttpAnswer& aAnswer) {
      auto error = CheckExchange(aError, aAnswer);
      json::object object;
      bool isOk = false;
      if (!error &&
          (!ParseJsonObject(aAnswer.body_, object) || !ReadField(object, "ok", isOk) || !isOk)) {
        error = HostListError::InvalidAnswer;
      }
      callback(error);
    });
}

} // namespace laburnumweir
