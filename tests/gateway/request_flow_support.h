/** @file request_flow_support.h Fixture that runs a RequestFlow against scripted upstreams. */
#ifndef LABURNUMWEIR_TESTS_GATEWAY_REQUEST_FLOW_SUPPORT_H
#define LABURNUMWEIR_TESTS_GATEWAY_REQUEST_FLOW_SUPPORT_H

#include "core/system_clock.h"
#include "fleet/fleet_support.h"
#include "gateway/direct_connector.h"
#include "gateway/request_flow.h"
#include "platform/message_codec.h"
#include "support/net_support.h"

#include <array>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace laburnumweir::testing_support {

/** Records the answer that the caller would receive. */
class FakeAnswer : public AnswerStream
{
public:
  void Begin(unsigned aStatus,
             std::string_view,
             const boost::beast::http::fields& aFields,
             std::optional<std::uint64_t>) override
  {
    status_ = aStatus;
    fields_ = aFields;
  }
  void Data(std::string_view aBytes) override { body_.append(aBytes); }
  void End() override { isComplete_ = true; }
  void Abort() override { isAborted_ = true; }
  std::size_t UnsentBytes() const override { return unsentBytes_; }
  void NotifyWhenSent(std::function<void()> aFunction) override { onSent_ = std::move(aFunction); }
  void NotifyWhenGone(std::function<void()> aFunction) override
  {
    onDisconnect_ = std::move(aFunction);
  }

  void NotifyWhenStopping(std::function<void()> aFunction) override
  {
    onStopping_ = std::move(aFunction);
  }

  bool IsDone() const { return isComplete_ || isAborted_; }

  unsigned status_ = 0;
  boost::beast::http::fields fields_;
  std::string body_;
  bool isComplete_ = false;
  bool isAborted_ = false;
  std::size_t unsentBytes_ = 0; ///< That the caller has not read.
  std::function<void()> onSent_;
  std::function<void()> onDisconnect_;
  std::function<void()> onStopping_;
};

/** Origins of streams, as if they were shared with no other host. */
class FakeOrigins : public StreamOrigins
{
public:
  void Record(const RequestId& aAttempt, const StreamOrigin& aOrigin) override
  {
    records_[aAttempt] = aOrigin;
  }
  void Find(const RequestId& aAttempt, const ServiceName&, Callback aCallback) override
  {
    const auto found = records_.find(aAttempt);
    const OriginResult result{ found == records_.end() ? std::nullopt
                                                       : std::optional(found->second),
                               isConclusive_ };
    if (defer_) {
      defer_([result, callback = std::move(aCallback)] { callback(result); });
    } else {
      aCallback(result);
    }
  }

  std::map<RequestId, StreamOrigin> records_;
  bool isConclusive_ = true;                         ///< Of the results of searches.
  std::function<void(std::function<void()>)> defer_; ///< If set, calls the callbacks.
};

/** Assigns no slots: upstreams are chosen by the host itself. */
class FakeSlots : public SlotSource
{
public:
  bool IsShared(const ServiceName&) const override { return false; }
  std::optional<SlotGrant> Take(const ServiceName&, const std::set<UpstreamId>&) override
  {
    return std::nullopt;
  }
  void Return(const ServiceName&, SlotReturn) override {}
};

/** Connects to all upstreams; some of its links count as lost. */
class LostLinkConnector : public DirectConnector
{
public:
  using DirectConnector::DirectConnector;
  bool IsLinkLost(const Endpoint& aEndpoint) const override
  {
    return lostLinks_.contains(aEndpoint);
  }

  std::set<Endpoint> lostLinks_;
};

inline constexpr const char* kGoodHead =
  "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: s\r\n";

inline std::string
Answer(const std::string& aBody, const std::string& aHead = kGoodHead)
{
  return aHead + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::string
Chunk(const std::string& aBody)
{
  std::ostringstream size;
  size << std::hex << aBody.size();
  return size.str() + "\r\n" + aBody + "\r\n";
}

/** Kinds of routes, which differ in what becomes of a request after a failed attempt. */
enum class RouteKind : std::uint8_t
{
  Unsafe,
  Safe,
  Stream,
  EngineStream,
};

inline constexpr std::array kRouteKinds{ RouteKind::Unsafe,
                                         RouteKind::Safe,
                                         RouteKind::Stream,
                                         RouteKind::EngineStream };

class RequestFlowTest : public testing::Test
{
protected:
  /** Configures the route, before SetUpstreams(). */
  void SetRoute(RouteKind aKind)
  {
    const bool isEngine = aKind == RouteKind::EngineStream;
    repeat_ = aKind == RouteKind::Unsafe ? RepeatRule::Once
              : aKind == RouteKind::Safe ? RepeatRule::Repeatable
                                         : RepeatRule::Stream;
    isResumable_ = aKind == RouteKind::Stream || isEngine;
    engineModels_.clear();
    if (isEngine) {
      engineModels_ = { { "m", { { "a1", 1 } } } };
    }
  }

  /** @return whether the caller got an error, or an answer that visibly breaks off. */
  bool HasFailed() const
  {
    return answer_->isAborted_ ? !answer_->isComplete_ : answer_->status_ / 100 == 5;
  }

  /** Configures upstreams with decreasing numbers of slots, so that the first is preferred. */
  void SetUpstreams(const std::vector<Endpoint>& aEndpoints)
  {
    FleetConfig config;
    config.version_ = ++configVersion_;
    ServiceSpec service;
    service.name_ = ServiceName("app");
    if (!engineModels_.empty()) {
      service.engine_.emplace();
    }
    config.services_ = { service };
    Route route;
    route.host_ = "a";
    route.prefix_ = "/";
    route.repeat_ = repeat_;
    route.isResumable_ = isResumable_;
    route.timeout_ = timeout_;
    route.targetLatency_ = 100ms;
    route.targetPause_ = 100ms;
    route.maxUpstreams_ = maxUpstreams_;
    route.services_ = { { service.name_, 1 } };
    config.routes_ = { route };
    if (hasKey_) {
      config.workspaces_ = { MakeWorkspace(0, 0) };
    }
    ChangeBatch batch;
    batch.changes_ = { config };
    fleet_.ApplyOperators(batch);
    fleet_.OnConfigConfirmed(clock_.Now());
    std::uint32_t slots = 64;
    for (std::size_t i = 0; i < aEndpoints.size(); ++i) {
      const auto& endpoint = aEndpoints[i];
      UpstreamEntry entry;
      entry.software_ = SoftwareVersion(i < software_.size() ? software_[i] : "");
      entry.id_ = UpstreamId("u" + std::to_string(slots));
      entry.service_ = service.name_;
      entry.endpoint_ = endpoint;
      entry.dataCentre_ = DataCentreId("dc1");
      entry.slots_ = slots;
      entry.models_ = engineModels_;
      entry.listsModels_ = !engineModels_.empty();
      entry.startedAt_ = startedAt_;
      slots /= 2;
      fleet_.Upstreams().OnEntry(entry);
    }
  }

  void Start()
  {
    AdmittedRequest admitted;
    admitted.message_.method(boost::beast::http::verb::post);
    admitted.message_.target("/x");
    admitted.message_.set(boost::beast::http::field::host, "a");
    admitted.message_.set("X-Attempt-Id", id_);
    admitted.message_.set("X-Deadline-Ms", std::to_string(timeout_.count()));
    admitted.message_.set(boost::beast::http::field::authorization, "Token key-1");
    if (!engineModels_.empty()) {
      admitted.message_.set("X-Model", "m/a1");
    }
    if (!prompt_.empty()) {
      admitted.message_.set("X-Prompt-Prefix", prompt_);
    }
    for (const auto& [name, value] : fields_) {
      admitted.message_.set(name, value);
    }
    admitted.message_.body() = body_;
    admitted.facts_ = codec_.ReadRequest(admitted.message_);
    admitted.routes_ = fleet_.Routes();
    admitted.route_ = admitted.routes_->Find("a", "/x");
    admitted.workspace_ = hasKey_ ? admitted.routes_->FindWorkspace("key-1") : nullptr;
    admitted.service_ = ServiceName("app");
    admitted.arrived_ = clock_.Now();
    std::make_shared<RequestFlow>(flow_, std::move(admitted), answer_)->Start();
  }

  /** Sends a request with an id and waits for its answer. */
  void Call(const std::string& aId, std::chrono::milliseconds aTime = 3s)
  {
    answer_ = std::make_shared<FakeAnswer>();
    id_ = aId;
    Start();
    Finish(aTime);
  }

  /** Runs the event loop and queued requests until the answer is complete or aborted. */
  void Finish(std::chrono::milliseconds aTime = 3s)
  {
    const auto end = std::chrono::steady_clock::now() + aTime;
    while (!answer_->IsDone() && std::chrono::steady_clock::now() < end) {
      context_.run_for(5ms);
      context_.restart();
      for (const auto& [ticket, flow] : std::map(waiting_)) {
        flow->TryStart();
      }
      for (const auto ticket : queue_.CannotStartInTime()) {
        if (const auto found = waiting_.find(ticket); found != waiting_.end()) {
          found->second->RefuseWaiting();
        }
      }
    }
    EXPECT_TRUE(answer_->IsDone());
  }

  boost::asio::io_context context_;
  SystemClock clock_;
  platform::PlatformMessageCodec codec_;
  FleetState fleet_{ clock_, HostId("h1"), DataCentreId("dc1") };
  QuotaShare quota_{ clock_ };
  RetryShare retries_{ clock_, { 1, 100, 10s } };
  WaitQueue queue_{ clock_ };
  Quarantine quarantine_{ clock_ };
  PermitIssuer issuer_{ clock_ }; ///< This host issues all permits.
  FakeOrigins origins_;
  FakeSlots slots_;
  LostLinkConnector connector_{ context_ };
  UpstreamLink link_{ context_, connector_ };
  Metrics metrics_;
  GatewayBounds bounds_;
  std::map<WaitTicket, std::shared_ptr<RequestFlow>> waiting_;
  FlowContext flow_{ context_,
                     clock_,
                     codec_,
                     fleet_,
                     quota_,
                     retries_,
                     queue_,
                     quarantine_,
                     slots_,
                     origins_,
                     link_,
                     metrics_,
                     bounds_,
                     [](const auto&, const auto&) {},
                     [this](const UpstreamId& aUpstream) {
                       const auto limit = fleet_.Upstreams().RequestLimit(aUpstream);
                       const auto permit = issuer_.Issue(aUpstream, *limit);
                       fleet_.Upstreams().OnPermit(aUpstream, permit);
                       return permit.isGranted_;
                     },
                     [](const auto&) {},
                     [](const auto&) {},
                     [] {},
                     [this](auto aTicket, const auto& aFlow) { waiting_[aTicket] = aFlow; } };
  std::shared_ptr<FakeAnswer> answer_ = std::make_shared<FakeAnswer>();
  std::string id_ = "r1";                     ///< Id of the next request.
  std::string body_ = "question";             ///< Of the next request.
  std::map<std::string, std::string> fields_; ///< Further header fields of the next request.
  std::string prompt_;                        ///< Parts of its prompt; empty for none.
  std::chrono::milliseconds timeout_{ 1500 }; ///< Of the route and of the caller.
  std::int64_t configVersion_ = 0;
  std::vector<std::string> software_;       ///< Of the upstreams, in their order.
  std::int64_t startedAt_ = 0;              ///< Start time of the processes of the upstreams.
  std::vector<ResidentModel> engineModels_; ///< If set, the upstreams are engines with these.
  RepeatRule repeat_ = RepeatRule::Once;
  std::uint32_t maxUpstreams_ = 3; ///< Of the route.
  bool isResumable_ = false;
  bool hasKey_ = false;
};

} // namespace laburnumweir::testing_support

#endif
