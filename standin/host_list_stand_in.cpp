/** @file host_list_stand_in.cpp Stand-in of the host list. */
#include "standin/host_list_stand_in.h"

#include <boost/json.hpp>

namespace laburnumweir::standin {

namespace json = boost::json;

HostListStandIn::HostListStandIn(boost::asio::io_context& aContext,
                                 std::string aName,
                                 Settings& aSettings)
  : StandIn(aContext, std::move(aName), aSettings)
  , table_(aSettings.Millis("lag_ms", 0), aSettings.Millis("expiry_ms", 10000))
{
}

void
HostListStandIn::Handle(const Request& aRequest, const std::shared_ptr<Reply>& aReply)
{
  const auto& segments = aRequest.segments_;
  const auto& method = aRequest.method_;
  const bool isHosts = !segments.empty() && segments[0] == "hosts";
  if (isHosts && segments.size() == 1 && method == "GET") {
    List(*aReply);
  } else if (isHosts && segments.size() == 2 && method == "PUT") {
    Put(segments[1], aRequest, *aReply);
  } else if (isHosts && segments.size() == 2 && method == "DELETE") {
    SendFound(table_.Remove(segments[1], clock_.Now()), *aReply);
  } else if (isHosts && segments.size() == 3 && segments[2] == "leaving" &&
             (method == "PUT" || method == "DELETE")) {
    SendFound(table_.MarkLeaving(segments[1], method == "PUT", clock_.Now()), *aReply);
  } else {
    aReply->Send(404, ErrorBody("not_found", "no such resource"));
  }
}

void
HostListStandIn::SendFound(bool aFound, Reply& aReply)
{
  if (aFound) {
    aReply.Send(200, R"({"ok":true})");
  } else {
    aReply.Send(404, ErrorBody("not_found", "no such host"));
  }
}

void
HostListStandIn::List(Reply& aReply)
{
  ++lists_;
  json::array hosts;
  for (const auto& host : table_.List(clock_.Now())) {
    hosts.emplace_back(json::object{ { "id", host.id_.Value() },
                                     { "address", host.peerEndpoint_.address_ },
                                     { "port", host.peerEndpoint_.port_ },
                                     { "datacentre", host.dataCentre_.Value() },
                                     { "leaving", host.isLeaving_ } });
  }
  aReply.Send(200, json::serialize(json::object{ { "hosts", std::move(hosts) } }));
}

void
HostListStandIn::Put(const std::string& aId, const Request& aRequest, Reply& aReply)
{
  try {
    bool isValid = false;
    Settings fields(ParseObject(aRequest.body_, isValid), "host");
    ListedHost host;
    host.id_ = HostId(aId);
    host.peerEndpoint_.address_ = fields.Text("address", "");
    const auto port = fields.Count("port", 0);
    host.dataCentre_ = DataCentreId(fields.Text("datacentre", ""));
    const auto* leaving = fields.Find("leaving");
    host.isLeaving_ = leaving != nullptr && leaving->is_bool() && leaving->get_bool();
    if (!isValid || host.peerEndpoint_.address_.empty() || port == 0 || port > 65535) {
      fields.Fail("address", "an address, with a port from 1 to 65535");
    }
    host.peerEndpoint_.port_ = static_cast<std::uint16_t>(port);
    ++puts_;
    table_.Put(host, clock_.Now());
    aReply.Send(200, R"({"ok":true})");
  } catch (const std::exception& error) {
    aReply.Send(400, ErrorBody("invalid", error.what()));
  }
}

void
HostListStandIn::AddStats(json::object& aStats) const
{
  aStats["lists"] = lists_;
  aStats["puts"] = puts_;
}

} // namespace laburnumweir::standin
