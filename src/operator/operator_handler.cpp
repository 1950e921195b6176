/** @file operator_handler.cpp Operators' HTTP interface. */
#include "operator/operator_handler.h"

#include "peer/wire.pb.h"

#include <boost/json.hpp>

namespace laburnumweir {

namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr Duration kExplainTimeout = 1s;

const HeaderList kJsonHeaders{ { "Content-Type", "application/json" } };
const HeaderList kTextHeaders{ { "Content-Type", "text/plain; version=0.0.4; charset=utf-8" } };

/** Requests here are answered at once or soon; there is nothing to cancel. */
class Uncancellable : public RunningRequest
{
public:
  void Cancel() override {}
};

void
SendJson(const std::shared_ptr<ResponseSink>& aSink, int aStatus, const json::value& aBody)
{
  aSink->Complete(aStatus, kJsonHeaders, json::serialize(aBody));
}

void
SendError(const std::shared_ptr<ResponseSink>& aSink,
          int aStatus,
          std::string aCode,
          std::string aMessage)
{
  CallerError error;
  error.status_ = aStatus;
  error.code_ = std::move(aCode);
  error.message_ = std::move(aMessage);
  aSink->Fail(std::move(error));
}

json::value
RevisionToJson(LogOffset aRevision)
{
  return aRevision == kNoRevision ? json::value(nullptr) : json::value(aRevision);
}

std::string_view
ToText(AcceptanceStatus aStatus)
{
  switch (aStatus) {
    case AcceptanceStatus::Accepted:
      return "accepted";
    case AcceptanceStatus::Rejected:
      return "rejected";
    case AcceptanceStatus::Unknown:
      return "unknown";
    case AcceptanceStatus::Pending:
      break;
  }
  return "pending";
}

std::string_view
ToText(HostChangeStatus aStatus)
{
  switch (aStatus) {
    case HostChangeStatus::Folded:
      return "in force";
    case HostChangeStatus::Lapsed:
      return "admits nothing until it has the change";
    case HostChangeStatus::Waiting:
      break;
  }
  return "waiting";
}

std::string
DetailOf(const AcceptanceResult& aResult)
{
  switch (aResult.status_) {
    case AcceptanceStatus::Accepted:
      return "in force on every host as revision " + std::to_string(aResult.revision_);
    case AcceptanceStatus::Rejected:
      return "the rules were changed first; revision " + std::to_string(aResult.revision_) +
             " is in force";
    default:
      return "not in force everywhere yet";
  }
}

/** Reads the body of POST /v1/rules; on an error says what was expected. */
std::string
ParseChange(const std::string& aBody, ChangeRequest& aRequest)
{
  boost::system::error_code error;
  const json::value value = json::parse(aBody, error);
  const json::object* body = error ? nullptr : value.if_object();
  if (body == nullptr) {
    return "expected a JSON object";
  }
  const auto text = [&](const char* aName, std::string& aTarget) {
    const json::value* member = body->if_contains(aName);
    if (member == nullptr || !member->is_string()) {
      return false;
    }
    aTarget = std::string(member->as_string());
    return true;
  };
  if (!text("id", aRequest.id_) || aRequest.id_.empty() || !text("text", aRequest.text_) ||
      !text("operator", aRequest.operator_)) {
    return "expected the strings id, text and operator";
  }
  if (const json::value* init = body->if_contains("init")) {
    aRequest.isInitial_ = init->is_bool() && init->as_bool();
  }
  if (const json::value* base = body->if_contains("base")) {
    if (base->is_int64() && base->as_int64() >= 0) {
      aRequest.base_ = static_cast<LogOffset>(base->as_int64());
    } else if (!base->is_null()) {
      return "expected base to be a revision or null";
    }
  }
  return {};
}

} // namespace

OperatorHandler::OperatorHandler(OperatorParts aParts)
  : parts_(std::move(aParts))
{
  parts_.router_.Handle(
    wire::Envelope::kExplainQuery,
    [this](const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond) {
      ServePeerExplain(aRequest, aRespond);
    });
}

std::shared_ptr<RunningRequest>
OperatorHandler::Start(CallerRequest aRequest, std::shared_ptr<ResponseSink> aSink)
{
  parts_.scheduler_.Post([self = shared_from_this(),
                          request = std::move(aRequest),
                          sink = std::move(aSink)] { self->Serve(request, sink); });
  return std::make_shared<Uncancellable>();
}

void
OperatorHandler::Serve(const CallerRequest& aRequest, const Sink& aSink)
{
  const std::string path = aRequest.target_.substr(0, aRequest.target_.find('?'));
  if (path == "/healthz") {
    aSink->Complete(200, kTextHeaders, "ok\n");
  } else if (path == "/readyz") {
    ServeReady(aSink);
  } else if (path == "/metrics") {
    aSink->Complete(200, kTextHeaders, parts_.metrics_.Print());
  } else if (aRequest.keyDigest_.Value() != parts_.tokenDigest_) {
    SendError(aSink, 401, "token_invalid", "expected the operators' token as Bearer authorization");
  } else {
    ServeAuthorized(aRequest, path, aSink);
  }
}

void
OperatorHandler::ServeAuthorized(const CallerRequest& aRequest,
                                 const std::string& aPath,
                                 const Sink& aSink)
{
  static const std::string kChanges = "/v1/changes/";
  static const std::string kExplain = "/v1/explain/";
  if (aPath == "/v1/rules" && aRequest.method_ == "GET") {
    ServeRules(aSink);
  } else if (aPath == "/v1/rules" && aRequest.method_ == "POST") {
    ServeApply(aRequest, aSink);
  } else if (aPath.starts_with(kChanges)) {
    ServeChange(aPath.substr(kChanges.size()), aSink);
  } else if (aPath.starts_with(kExplain)) {
    ServeExplain(aPath.substr(kExplain.size()), aSink);
  } else if (aPath == "/v1/status") {
    ServeStatus(aSink);
  } else {
    SendError(aSink, 404, "path_unknown", "no such path");
  }
}

void
OperatorHandler::ServeReady(const Sink& aSink)
{
  const std::string reason = parts_.config_.NotReadyReason();
  if (reason.empty()) {
    aSink->Complete(200, kTextHeaders, "ready\n");
  } else {
    aSink->Complete(503, kTextHeaders, "not ready: " + reason + "\n");
  }
}

void
OperatorHandler::ServeRules(const Sink& aSink)
{
  const ConfigState* state = parts_.config_.State();
  if (state == nullptr) {
    SendError(aSink, 503, "not_ready", parts_.config_.NotReadyReason());
    return;
  }
  SendJson(aSink,
           200,
           json::object{ { "revision", RevisionToJson(state->Revision()) },
                         { "text", state->Book().Print() } });
}

void
OperatorHandler::ServeApply(const CallerRequest& aRequest, const Sink& aSink)
{
  ChangeRequest change;
  const std::string expected = ParseChange(aRequest.body_, change);
  if (!expected.empty()) {
    SendError(aSink, 400, "body_invalid", expected);
    return;
  }
  const ChangeReply reply = parts_.changes_.Submit(change);
  if (reply.isUnchanged_) {
    SendJson(aSink, 200, json::object{ { "id", change.id_ }, { "state", "unchanged" } });
  } else if (!reply.error_) {
    SendJson(aSink, 202, json::object{ { "id", change.id_ }, { "state", "pending" } });
  } else if (reply.error_ == StateErrc::StaleBase || reply.error_ == StateErrc::DuplicateChange) {
    SendError(aSink, 409, "change_rejected", reply.message_);
  } else if (reply.error_ == StateErrc::InvalidRules) {
    SendError(aSink, 400, "rules_invalid", reply.message_);
  } else {
    SendError(aSink, 503, "not_ready", reply.message_);
  }
}

void
OperatorHandler::ServeChange(const std::string& aId, const Sink& aSink)
{
  const AcceptanceResult result = parts_.changes_.Query(aId);
  json::array members;
  for (const auto& line : result.hosts_) {
    members.push_back(json::object{ { "host", line.life_.host_.Value() },
                                    { "incarnation", line.life_.incarnation_ },
                                    { "status", ToText(line.status_) } });
  }
  SendJson(aSink,
           200,
           json::object{ { "id", aId },
                         { "state", ToText(result.status_) },
                         { "detail", DetailOf(result) },
                         { "revision", RevisionToJson(result.revision_) },
                         { "members", std::move(members) } });
}

void
OperatorHandler::ServeStatus(const Sink& aSink)
{
  const ConfigState* state = parts_.config_.State();
  const std::string reason = parts_.config_.NotReadyReason();
  json::object body{ { "host", parts_.router_.Self().Value() },
                     { "incarnation", parts_.config_.SelfIncarnation() },
                     { "ready", reason.empty() },
                     { "reason", reason },
                     { "log_readable", parts_.config_.IsLogReadable() } };
  if (state != nullptr) {
    body["revision"] = RevisionToJson(state->Revision());
    body["offset"] = state->NextOffset();
    body["rules"] = state->Book().Lines().size();
    json::array members;
    const auto peers = parts_.membership_.PeersByHost();
    for (const auto& [host, member] : state->Members()) {
      const auto peer = peers.find(host);
      const bool isSelf = host == parts_.router_.Self();
      members.push_back(json::object{
        { "host", host.Value() },
        { "incarnation", member.incarnation_ },
        { "data_centre", member.dataCentre_.Value() },
        { "heard", isSelf || (peer != peers.end() && peer->second.isHeard_) },
        { "offset",
          isSelf ? state->NextOffset() : (peer == peers.end() ? 0 : peer->second.folded_) } });
    }
    body["members"] = std::move(members);
  }
  json::array engines;
  for (const auto& engine : parts_.slots_.Status()) {
    engines.push_back(json::object{ { "upstream", engine.id_.Value() },
                                    { "ready", engine.isReady_ },
                                    { "epoch", engine.epoch_ },
                                    { "in_use", engine.inUse_ },
                                    { "window", engine.window_ },
                                    { "waiting", engine.waiting_ },
                                    { "adapters", engine.residents_ } });
  }
  body["owned_engines"] = std::move(engines);
  json::array buckets;
  for (const WorkspaceId& id : parts_.tokens_.Owned()) {
    buckets.emplace_back(id.Value());
  }
  body["owned_buckets"] = std::move(buckets);
  SendJson(aSink, 200, body);
}

void
OperatorHandler::ServeExplain(const std::string& aId, const Sink& aSink)
{
  /** Collects the answers of all hosts. */
  struct Collection
  {
    json::array hosts_;    ///< Hosts that know the request.
    std::size_t open_ = 0; ///< Hosts that did not answer yet.
    Sink sink_;            ///< Receives the result.
  };
  const auto collection = std::make_shared<Collection>();
  collection->sink_ = aSink;
  std::vector<HostId> hosts{ parts_.router_.Self() };
  for (const auto& peer : parts_.membership_.Peers()) {
    hosts.push_back(peer.host_);
  }
  collection->open_ = hosts.size();
  for (const HostId& host : hosts) {
    wire::Envelope query;
    query.mutable_explain_query()->set_request_id(aId);
    parts_.router_.Ask(
      host,
      std::move(query),
      kExplainTimeout,
      [collection, host, aId](std::error_code aError, const wire::Envelope& aAnswer) {
        if (!aError && aAnswer.has_explain_answer() && aAnswer.explain_answer().lines_size() > 0) {
          json::array lines;
          for (const auto& line : aAnswer.explain_answer().lines()) {
            lines.emplace_back(line);
          }
          collection->hosts_.push_back(
            json::object{ { "host", host.Value() }, { "lines", std::move(lines) } });
        }
        if (--collection->open_ > 0) {
          return;
        }
        if (collection->hosts_.empty()) {
          SendError(collection->sink_, 404, "request_unknown", "no host knows the request " + aId);
          return;
        }
        SendJson(collection->sink_,
                 200,
                 json::object{ { "request_id", aId }, { "hosts", std::move(collection->hosts_) } });
      });
  }
}

void
OperatorHandler::ServePeerExplain(const wire::Envelope& aRequest,
                                  const PeerTransport::Responder& aRespond)
{
  wire::Envelope answer;
  auto& body = *answer.mutable_explain_answer();
  for (auto& line : parts_.explain_.Find(RequestId(aRequest.explain_query().request_id()))) {
    body.add_lines(std::move(line));
  }
  aRespond(std::move(answer));
}

} // namespace laburnumweir
