/** @file request_flow_test.cpp Tests of RequestFlow against scripted and faulty upstreams. */
#include "gateway/request_flow.h"

#include "core/system_clock.h"
#include "fleet/fleet_support.h"
#include "platform/message_codec.h"
#include "support/net_support.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::Peer;
using testing_support::ScriptedServer;

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
  std::size_t UnsentBytes() const override { return 0; }
  void NotifyWhenSent(std::function<void()>) override {}
  void NotifyWhenGone(std::function<void()> aFunction) override
  {
    onDisconnect_ = std::move(aFunction);
  }

  bool IsDone() const { return isComplete_ || isAborted_; }

  unsigned status_ = 0;
  boost::beast::http::fields fields_;
  std::string body_;
  bool isComplete_ = false;
  bool isAborted_ = false;
  std::function<void()> onDisconnect_;
};

constexpr const char* kGoodHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: s\r\n";

std::string
Answer(const std::string& aBody, const std::string& aHead = kGoodHead)
{
  return aHead + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
Chunk(const std::string& aBody)
{
  std::ostringstream size;
  size << std::hex << aBody.size();
  return size.str() + "\r\n" + aBody + "\r\n";
}

class RequestFlowTest : public testing::Test
{
protected:
  /** Configures upstreams with decreasing numbers of slots, so that the first is preferred. */
  void SetUpstreams(const std::vector<Endpoint>& aEndpoints)
  {
    FleetConfig config;
    config.version_ = 1;
    ServiceSpec service;
    service.name_ = ServiceName("app");
    config.services_ = { service };
    Route route;
    route.host_ = "a";
    route.prefix_ = "/";
    route.repeat_ = repeat_;
    route.isResumable_ = isResumable_;
    route.timeout_ = 1500ms;
    route.targetLatency_ = 100ms;
    route.targetPause_ = 100ms;
    route.maxUpstreams_ = 3;
    route.services_ = { { service.name_, 1 } };
    config.routes_ = { route };
    if (hasKey_) {
      config.workspaces_ = { testing_support::MakeWorkspace(0, 0) };
    }
    ChangeBatch batch;
    batch.changes_ = { config };
    fleet_.ApplyOperators(batch);
    fleet_.OnConfigConfirmed(clock_.Now());
    std::uint32_t slots = 64;
    for (const auto& endpoint : aEndpoints) {
      UpstreamEntry entry;
      entry.id_ = UpstreamId("u" + std::to_string(slots));
      entry.service_ = service.name_;
      entry.endpoint_ = endpoint;
      entry.dataCentre_ = DataCentreId("dc1");
      entry.slots_ = slots;
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
    admitted.message_.set("X-Attempt-Id", "r1");
    admitted.message_.set("X-Deadline-Ms", "1500");
    admitted.message_.set(boost::beast::http::field::authorization, "Token key-1");
    admitted.message_.body() = "question";
    admitted.facts_ = codec_.ReadRequest(admitted.message_);
    admitted.routes_ = fleet_.Routes();
    admitted.route_ = admitted.routes_->Find("a", "/x");
    admitted.workspace_ = hasKey_ ? admitted.routes_->FindWorkspace("key-1") : nullptr;
    admitted.service_ = ServiceName("app");
    admitted.arrived_ = clock_.Now();
    std::make_shared<RequestFlow>(flow_, std::move(admitted), answer_)->Start();
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
        waiting_.at(ticket)->RefuseWaiting();
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
  UpstreamLink link_{ context_ };
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
                     link_,
                     metrics_,
                     bounds_,
                     [](const auto&, const auto&) {},
                     [](const auto&) {},
                     [](const auto&) {},
                     [] {},
                     [this](auto aTicket, const auto& aFlow) { waiting_[aTicket] = aFlow; } };
  std::shared_ptr<FakeAnswer> answer_ = std::make_shared<FakeAnswer>();
  RepeatRule repeat_ = RepeatRule::Once;
  bool isResumable_ = false;
  bool hasKey_ = false;
};

TEST_F(RequestFlowTest, PassesTheAnswerOnUnchangedAndHidesTheKey)
{
  std::string received;
  ScriptedServer server([&](Peer& aPeer, int) {
    const auto request = aPeer.ReadRequest();
    std::ostringstream text;
    text << *request;
    received = text.str();
    aPeer.Send(Answer("hello"));
    aPeer.ReadSome(200ms);
  });
  hasKey_ = true;
  SetUpstreams({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 200U);
  EXPECT_EQ(answer_->body_, "hello");
  EXPECT_EQ(answer_->fields_["X-Server-Stamp"], "s");
  EXPECT_EQ(received.find("key-1"), std::string::npos);
  EXPECT_NE(received.find("X-Tenant: w"), std::string::npos);
  EXPECT_NE(received.find("X-Expect-Instance: u64"), std::string::npos);
  EXPECT_NE(received.find("\r\n\r\nquestion"), std::string::npos);
}

// Guards against running a request twice that is not repeatable, such as a booking: after a reset
// of the connection, the first attempt may have run.
TEST_F(RequestFlowTest, NeverRepeatsWhatMayHaveRun)
{
  std::atomic<int> runs = 0;
  const auto script = [&](Peer& aPeer, int) {
    aPeer.ReadRequest();
    ++runs;
    aPeer.Reset();
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  SetUpstreams({ first.Address(), second.Address() });
  Start();
  Finish();
  EXPECT_EQ(runs, 1);
  EXPECT_EQ(answer_->status_, 502U) << "503 would tell the caller that the request did not run";
}

// Guards against a repeatable request that fails although another upstream could serve it.
TEST_F(RequestFlowTest, RepeatsElsewhereWhatMayRunTwice)
{
  repeat_ = RepeatRule::Repeatable;
  ScriptedServer first([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Reset();
  });
  ScriptedServer second([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(Answer("second"));
    aPeer.ReadSome(200ms);
  });
  SetUpstreams({ first.Address(), second.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->body_, "second");
}

// Guards against attempts a few milliseconds apart at an upstream that refuses each of them.
TEST_F(RequestFlowTest, GoesElsewhereAfterARefusalAndPausesThere)
{
  std::atomic<int> requests = 0;
  ScriptedServer only([&](Peer& aPeer, int) {
    while (aPeer.ReadRequest()) {
      ++requests;
      aPeer.Send(
        "HTTP/1.1 503 Busy\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
  });
  SetUpstreams({ only.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 503U) << "no upstream has run the request";
  EXPECT_TRUE(answer_->fields_.count(boost::beast::http::field::retry_after));
  EXPECT_LE(requests, 6) << "attempts in 1.5 s with backoff of 0.1, 0.2, 0.4 and 0.8 s";
}

// Guards against a failed request when an upstream refuses the connection.
TEST_F(RequestFlowTest, TriesAnotherUpstreamWhenThereIsNoConnection)
{
  ScriptedServer second([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(Answer("second"));
    aPeer.ReadSome(200ms);
  });
  SetUpstreams({ testing_support::RefusingEndpoint(), second.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->body_, "second");
}

// Guards against a caller that receives the answer to another request, which may arrive late on a
// reused connection.
TEST_F(RequestFlowTest, SkipsAnswersToOtherRequests)
{
  ScriptedServer server([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(Answer("foreign", "HTTP/1.1 200 OK\r\nX-Attempt-Id: r0\r\nX-Server-Stamp: s\r\n") +
               Answer("own"));
    aPeer.ReadSome(200ms);
  });
  SetUpstreams({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->body_, "own");
}

class InvalidAnswerTest
  : public RequestFlowTest
  , public testing::WithParamInterface<std::string>
{};

// Guards against an unsigned, misattributed, encoded, truncated or malformed answer being
// forwarded.
TEST_P(InvalidAnswerTest, IsNotPassedOn)
{
  ScriptedServer server([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(GetParam());
    aPeer.Close();
  });
  SetUpstreams({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 502U);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  InvalidAnswerTest,
  testing::Values(Answer("unsigned", "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"),
                  Answer("without id", "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"),
                  Answer("encoded", std::string(kGoodHead) + "Content-Encoding: gzip\r\n"),
                  std::string(kGoodHead) + "Content-Length: 100\r\n\r\ntoo short",
                  std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
                  std::string("garbage\r\n\r\n"),
                  std::string("HTTP/1.1 2")));

// Guards against taking a truncated body without a length as complete: only an orderly close of the
// connection ends such a body, while a reset truncates it.
TEST_F(RequestFlowTest, TellsTheEndOfABodyWithoutLengthFromAReset)
{
  ScriptedServer server([](Peer& aPeer, int aNumber) {
    aPeer.ReadRequest();
    aPeer.Send(std::string(kGoodHead) + "Connection: close\r\n\r\nbody");
    std::this_thread::sleep_for(50ms);
    if (aNumber == 0) {
      aPeer.Close();
    } else {
      aPeer.Reset();
    }
  });
  SetUpstreams({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 200U);
  EXPECT_EQ(answer_->body_, "body");
  answer_ = std::make_shared<FakeAnswer>();
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 502U);
}

// Guards against events that are held back until the end of the stream.
TEST_F(RequestFlowTest, PassesEventsOnAsTheyCome)
{
  repeat_ = RepeatRule::Stream;
  ScriptedServer server([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    const auto event = Chunk("id: 1\ndata: a\n\n");
    aPeer.Send(std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n" + event.substr(0, 4));
    std::this_thread::sleep_for(20ms);
    aPeer.Send(event.substr(4));
    aPeer.ReadSome(2s);
  });
  SetUpstreams({ server.Address() });
  Start();
  const auto end = std::chrono::steady_clock::now() + 1s;
  while (answer_->body_.empty() && std::chrono::steady_clock::now() < end) {
    context_.run_for(5ms);
    context_.restart();
  }
  EXPECT_EQ(answer_->body_, "id: 1\ndata: a\n\n");
  EXPECT_FALSE(answer_->IsDone());
  Finish();
  EXPECT_TRUE(answer_->isAborted_) << "the route's timeout has passed";
}

// Guards against lost, repeated or partial events when a stream continues at another upstream.
TEST_F(RequestFlowTest, ResumesAStreamAfterItsLastWholeEvent)
{
  repeat_ = RepeatRule::Stream;
  isResumable_ = true;
  ScriptedServer first([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n" +
               Chunk("id: 1\ndata: a\n\nid: 2\nda"));
    std::this_thread::sleep_for(50ms);
    aPeer.Reset();
  });
  std::string resumedAfter;
  ScriptedServer second([&](Peer& aPeer, int) {
    const auto request = aPeer.ReadRequest();
    resumedAfter = std::string((*request)["Last-Event-Id"]);
    aPeer.Send(std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n" +
               Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    aPeer.ReadSome(200ms);
  });
  SetUpstreams({ first.Address(), second.Address() });
  Start();
  Finish();
  EXPECT_TRUE(answer_->isComplete_);
  EXPECT_EQ(answer_->body_, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_EQ(resumedAfter, "1");
}

// Guards against an error text at the end of a stream, which the caller would take as complete: the
// stream breaks off and cannot resume because the configuration was not confirmed recently enough.
TEST_F(RequestFlowTest, CutsABegunStreamInsteadOfRefusingIt)
{
  repeat_ = RepeatRule::Stream;
  isResumable_ = true;
  hasKey_ = true;
  bounds_.maxRevocationDelay_ = 900ms; // less the margin, a confirmation is valid for 200 ms
  ScriptedServer first([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n" +
               Chunk("id: 1\ndata: a\n\n"));
    std::this_thread::sleep_for(400ms);
    aPeer.Reset();
  });
  ScriptedServer second([](Peer& aPeer, int) { aPeer.ReadRequest(); });
  SetUpstreams({ first.Address(), second.Address() });
  Start();
  Finish();
  EXPECT_TRUE(answer_->isAborted_);
  EXPECT_FALSE(answer_->isComplete_);
  EXPECT_EQ(answer_->body_, "id: 1\ndata: a\n\n");
  EXPECT_EQ(second.Accepted(), 0);
}

// Guards against the use of a key that may have been withdrawn while the store did not confirm the
// configuration.
TEST_F(RequestFlowTest, SendsNothingOnAnOldProof)
{
  hasKey_ = true;
  bounds_.maxRevocationDelay_ = 500ms; // less than the margin, so every confirmation is too old
  ScriptedServer server([](Peer& aPeer, int) { aPeer.ReadRequest(); });
  SetUpstreams({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 503U);
  EXPECT_EQ(server.Accepted(), 0);
}

// Guards against wasted work: a slot becomes free shortly before the caller's deadline, on a host
// that was too busy to refuse the request earlier.
TEST_F(RequestFlowTest, SendsNothingWhenItsCallerIsAboutToLeave)
{
  repeat_ = RepeatRule::Stream;
  ScriptedServer server([](Peer& aPeer, int) { aPeer.ReadRequest(); });
  SetUpstreams({});
  Start();
  ASSERT_EQ(waiting_.size(), 1U);
  std::this_thread::sleep_for(1350ms); // of 1500 ms
  SetUpstreams({ server.Address() });
  Finish();
  EXPECT_EQ(answer_->status_, 503U);
  EXPECT_EQ(server.Accepted(), 0);
}

// Guards against an upstream that continues to work for a caller that has left.
TEST_F(RequestFlowTest, ClosesTheConnectionWhenTheCallerLeaves)
{
  repeat_ = RepeatRule::Repeatable;
  std::atomic<bool> isClosed = false;
  ScriptedServer server([&](Peer& aPeer, int) {
    aPeer.ReadRequest();
    isClosed = aPeer.WaitClosed(1s);
  });
  SetUpstreams({ server.Address() });
  Start();
  context_.run_for(100ms);
  context_.restart();
  answer_->onDisconnect_();
  context_.run_for(100ms);
  EXPECT_TRUE(testing_support::WaitUntil([&] { return isClosed.load(); }));
}

// Guards against status 503, which means not run, for a request that was sent and may have run.
TEST_F(RequestFlowTest, SaysNotRunOnlyIfNothingWasSent)
{
  ScriptedServer server([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.ReadSome(3s);
  });
  SetUpstreams({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 504U);
}

} // namespace
} // namespace laburnumweir
