/** @file service_stand_in.cpp Stand-in of a plain service. */
#include "standin/service_stand_in.h"

#include <boost/json.hpp>

namespace laburnumweir::standin {

namespace json = boost::json;

ServiceStandIn::ServiceStandIn(boost::asio::io_context& aContext,
                               std::string aName,
                               Settings& aSettings)
  : StandIn(aContext, std::move(aName), aSettings)
  , latency_(aSettings.Millis("latency_ms", 0))
{
}

void
ServiceStandIn::Prepare(const Request& aRequest, Reply& aReply)
{
  if (auto id = aRequest.Header("x-request-id"); !id.empty()) {
    aReply.AddHeader("X-Request-Id", std::move(id));
  }
}

void
ServiceStandIn::Refuse(Reply& aReply, int aStatus)
{
  aReply.AddHeader("X-Run", "not_run");
  aReply.Send(aStatus, ErrorBody("refused", "refused before the request was started"));
}

void
ServiceStandIn::Handle(const Request& aRequest, const std::shared_ptr<Reply>& aReply)
{
  // A run goes on when its caller leaves, so that a lost answer does not undo the effect.
  ++runs_;
  CountRun(aRequest);
  auto body = json::serialize(json::object{ { "service", Name() },
                                            { "method", aRequest.method_ },
                                            { "target", aRequest.target_ },
                                            { "request_id", aRequest.Header("x-request-id") },
                                            { "run", runs_ },
                                            { "body_bytes", aRequest.body_.size() } });
  if (latency_ == latency_.zero()) {
    aReply->Send(200, std::move(body));
    return;
  }
  After(latency_, [aReply, body = std::move(body)] { aReply->Send(200, body); });
}

void
ServiceStandIn::AddStats(json::object& aStats) const
{
  aStats["runs"] = runs_;
}

} // namespace laburnumweir::standin
