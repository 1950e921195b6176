/** @file stand_in.cpp Base of the stand-ins: control endpoint, scripted faults and records. */
#include "standin/stand_in.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <stdexcept>

namespace laburnumweir::standin {

namespace json = boost::json;

namespace {

// Applied before the request has any effect.
constexpr std::array<std::string_view, 4> kInputFaults{ "refuse", "silent", "reset", "delay" };
// Applied to the answer, after the request took effect.
constexpr std::array<std::string_view, 7> kOutputFaults{
  "lose_answer", "silent_after", "delay_answer", "truncate", "duplicate", "invalid_http", "status"
};
constexpr std::size_t kMaxRecordedBody = 4096;

OutputFault
MakeOutputFault(const Fault& aFault)
{
  using Kind = OutputFault::Kind;
  static const std::map<std::string_view, Kind> kKinds{
    { "lose_answer", Kind::Lose },    { "silent_after", Kind::Swallow },
    { "delay_answer", Kind::Late },   { "truncate", Kind::Truncate },
    { "duplicate", Kind::Duplicate }, { "invalid_http", Kind::InvalidHttp },
    { "status", Kind::Status },
  };
  OutputFault result;
  result.kind_ = kKinds.at(aFault.kind_);
  result.bytes_ = aFault.bytes_;
  result.delay_ = std::chrono::duration_cast<std::chrono::milliseconds>(aFault.ms_);
  result.status_ = aFault.status_ == 0 ? 500 : aFault.status_;
  return result;
}

json::object
CountsToJson(const std::map<std::string, std::uint64_t>& aCounts)
{
  json::object result;
  for (const auto& [key, count] : aCounts) {
    result[key] = count;
  }
  return result;
}

} // namespace

std::string
ErrorBody(std::string_view aCode, std::string_view aMessage)
{
  return json::serialize(json::object{
    { "error", json::object{ { "message", aMessage }, { "type", "error" }, { "code", aCode } } } });
}

json::object
ParseObject(const std::string& aBody, bool& aIsValid)
{
  json::error_code error;
  auto value = json::parse(aBody, error);
  aIsValid = !error && value.is_object();
  return aIsValid ? std::move(value.get_object()) : json::object{};
}

StandIn::StandIn(boost::asio::io_context& aContext, std::string aName, Settings& aSettings)
  : context_(aContext)
  , name_(std::move(aName))
  , server_(aContext,
            [this](Request aRequest, const std::shared_ptr<Reply>& aReply) {
              Serve(std::move(aRequest), aReply);
            })
  , maxRecorded_(aSettings.Count("record", 1000))
{
}

std::uint16_t
StandIn::Listen(const std::string& aAddress, std::uint16_t aPort)
{
  return server_.Listen(aAddress, aPort);
}

void
StandIn::After(std::chrono::nanoseconds aDelay, std::function<void()> aFunction)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(context_, aDelay);
  timer->async_wait(
    [timer, alive = Alive(), function = std::move(aFunction)](boost::system::error_code aError) {
      if (!aError && !alive.expired()) {
        function();
      }
    });
}

void
StandIn::Serve(Request aRequest, const std::shared_ptr<Reply>& aReply)
{
  if (aRequest.segments_.size() == 2 && aRequest.segments_[0] == "control") {
    Control(aRequest.segments_[1], aRequest, *aReply);
    return;
  }
  Record(aRequest);
  Prepare(aRequest, *aReply);
  const auto fault = faults_.Take(kInputFaults, aRequest);
  if (!fault) {
    ServeNow(aRequest, aReply);
  } else if (fault->kind_ == "refuse") {
    Refuse(*aReply, fault->status_ == 0 ? 503 : fault->status_);
  } else if (fault->kind_ == "silent") {
    aReply->Abandon();
  } else if (fault->kind_ == "reset") {
    aReply->Reset();
  } else {
    // The effect comes also if the client has left by then, as with a request that was queued.
    After(fault->ms_, [this, request = std::move(aRequest), aReply] { ServeNow(request, aReply); });
  }
}

void
StandIn::ServeNow(const Request& aRequest, const std::shared_ptr<Reply>& aReply)
{
  if (const auto fault = faults_.Take(kOutputFaults, aRequest)) {
    aReply->SetFault(MakeOutputFault(*fault));
  }
  Handle(aRequest, aReply);
}

void
StandIn::Refuse(Reply& aReply, int aStatus)
{
  aReply.Send(aStatus, ErrorBody("refused", "scripted refusal; nothing was done"));
}

void
StandIn::Record(const Request& aRequest)
{
  ++requests_;
  if (maxRecorded_ == 0) {
    return;
  }
  recorded_.push_back(aRequest);
  recorded_.back().body_.resize(std::min(aRequest.body_.size(), kMaxRecordedBody));
  if (recorded_.size() > maxRecorded_) {
    recorded_.pop_front();
  }
}

void
StandIn::CountRun(const Request& aRequest)
{
  if (auto id = aRequest.Header("x-request-id"); !id.empty()) {
    ++runsById_[std::move(id)];
  }
  if (auto key = aRequest.Header("idempotency-key"); !key.empty()) {
    ++runsByKey_[std::move(key)];
  }
}

void
StandIn::GoDown(std::chrono::nanoseconds aDown)
{
  const auto generation = ++downGeneration_;
  // The caller may be a handler of a connection that is about to be closed.
  After({}, [this, aDown, generation] {
    server_.TakeDown();
    After(aDown, [this, generation] {
      if (generation == downGeneration_) {
        server_.BringUp();
      }
    });
  });
}

void
StandIn::Restart(std::chrono::nanoseconds aDown)
{
  GoDown(aDown);
}

void
StandIn::Control(const std::string& aAction, const Request& aRequest, Reply& aReply)
{
  try {
    if (aAction == "faults" && aRequest.method_ == "PUT") {
      std::vector<std::string_view> kinds(kInputFaults.begin(), kInputFaults.end());
      kinds.insert(kinds.end(), kOutputFaults.begin(), kOutputFaults.end());
      const auto own = OwnFaultKinds();
      kinds.insert(kinds.end(), own.begin(), own.end());
      json::error_code error;
      const auto value = json::parse(aRequest.body_, error);
      if (error) {
        throw std::runtime_error("the body is not JSON: " + error.message());
      }
      auto faults = FaultList::Parse(value, kinds);
      faults.KeepCounts(faults_.Applied());
      faults_ = std::move(faults);
      OnFaults();
      aReply.Send(200, R"({"ok":true})");
    } else if (aAction == "stats" && aRequest.method_ == "GET") {
      aReply.Send(200, StatsText(aRequest.QueryNumber("brief", 0) != 0));
    } else if (aAction == "restart" && aRequest.method_ == "POST") {
      bool isValid = true;
      Settings fields(
        aRequest.body_.empty() ? json::object{} : ParseObject(aRequest.body_, isValid), "restart");
      const auto down = fields.Millis("down_ms", 0);
      fields.RequireAllRead();
      ++restarts_;
      aReply.Send(200, R"({"ok":true})");
      After(std::chrono::milliseconds(1), [this, down] { Restart(down); });
    } else {
      aReply.Send(404, ErrorBody("not_found", "no such control action"));
    }
  } catch (const std::exception& error) {
    aReply.Send(400, ErrorBody("invalid", error.what()));
  }
}

std::string
StandIn::StatsText(bool aBrief) const
{
  json::object stats{ { "name", name_ },
                      { "requests", requests_ },
                      { "connections", server_.AcceptedConnections() },
                      { "restarts", restarts_ },
                      { "faults_applied", CountsToJson(faults_.Applied()) } };
  AddStats(stats);
  if (!aBrief) {
    stats["runs_by_request_id"] = CountsToJson(runsById_);
    stats["runs_by_idempotency_key"] = CountsToJson(runsByKey_);
    json::array recorded;
    for (const auto& request : recorded_) {
      json::array headers;
      for (const auto& [name, value] : request.headers_) {
        headers.emplace_back(json::array{ name, value });
      }
      recorded.emplace_back(json::object{ { "method", request.method_ },
                                          { "target", request.target_ },
                                          { "headers", std::move(headers) },
                                          { "body", request.body_ } });
    }
    stats["recorded"] = std::move(recorded);
  }
  return json::serialize(stats);
}

} // namespace laburnumweir::standin
