/** @file request_flow_test.cpp The path of a request against upstreams that misbehave. */
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

/** Notes what the caller would see. */
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
  void Abort() override { isCut_ = true; }
  std::size_t UnsentBytes() const override { return 0; }
  void NotifyWhenSent(std::function<void()>) override {}
  void NotifyWhenGone(std::function<void()> aFunction) override { gone_ = std::move(aFunction); }

  bool IsDone() const { return isComplete_ || isCut_; }

  unsigned status_ = 0;
  boost::beast::http::fields fields_;
  std::string body_;
  bool isComplete_ = false;
  bool isCut_ = false;
  std::function<void()> gone_;
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
  /** Makes the upstreams known, in the sequence in which they are preferred. */
  void Use(const std::vector<Endpoint>& aEndpoints)
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
    fleet_.NoteProof(clock_.Now());
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

  /** Runs until the answer is complete or cut. */
  void Finish(std::chrono::milliseconds aTime = 3s)
  {
    const auto end = std::chrono::steady_clock::now() + aTime;
    while (!answer_->IsDone() && std::chrono::steady_clock::now() < end) {
      context_.run_for(5ms);
      context_.restart();
      for (const auto& [ticket, flow] : std::map(waiting_)) {
        flow->TryStart();
      }
      for (const auto ticket : queue_.Hopeless()) {
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
  std::string seen;
  ScriptedServer server([&](Peer& aPeer, int) {
    const auto request = aPeer.ReadRequest();
    std::ostringstream text;
    text << *request;
    seen = text.str();
    aPeer.Send(Answer("hello"));
    aPeer.ReadSome(200ms);
  });
  hasKey_ = true;
  Use({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 200U);
  EXPECT_EQ(answer_->body_, "hello");
  EXPECT_EQ(answer_->fields_["X-Server-Stamp"], "s");
  EXPECT_EQ(seen.find("key-1"), std::string::npos);
  EXPECT_NE(seen.find("X-Tenant: w"), std::string::npos);
  EXPECT_NE(seen.find("X-Expect-Instance: u64"), std::string::npos);
  EXPECT_NE(seen.find("\r\n\r\nquestion"), std::string::npos);
}

// Guards against a booking that runs twice: nothing says that the first attempt did not run.
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
  Use({ first.Address(), second.Address() });
  Start();
  Finish();
  EXPECT_EQ(runs, 1);
  EXPECT_EQ(answer_->status_, 502U) << "503 would say that it has not run";
}

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
  Use({ first.Address(), second.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->body_, "second");
}

// Guards against resends some milliseconds apart to an upstream that refuses.
TEST_F(RequestFlowTest, GoesElsewhereAfterARefusalAndPausesThere)
{
  std::atomic<int> asked = 0;
  ScriptedServer only([&](Peer& aPeer, int) {
    while (aPeer.ReadRequest()) {
      ++asked;
      aPeer.Send(
        "HTTP/1.1 503 Busy\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
  });
  Use({ only.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 503U) << "it has not run anywhere";
  EXPECT_TRUE(answer_->fields_.count(boost::beast::http::field::retry_after));
  EXPECT_LE(asked, 6) << "in 1.5 s with pauses of 0.1, 0.2, 0.4 and 0.8 s";
}

TEST_F(RequestFlowTest, TriesAnotherUpstreamWhenThereIsNoConnection)
{
  ScriptedServer second([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(Answer("second"));
    aPeer.ReadSome(200ms);
  });
  Use({ testing_support::RefusingEndpoint(), second.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->body_, "second");
}

// An answer to an earlier request may come late on a kept connection.
TEST_F(RequestFlowTest, SkipsAnswersToOtherRequests)
{
  ScriptedServer server([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(Answer("foreign", "HTTP/1.1 200 OK\r\nX-Attempt-Id: r0\r\nX-Server-Stamp: s\r\n") +
               Answer("own"));
    aPeer.ReadSome(200ms);
  });
  Use({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->body_, "own");
}

class SpoiledAnswerTest
  : public RequestFlowTest
  , public testing::WithParamInterface<std::string>
{};

TEST_P(SpoiledAnswerTest, IsNotPassedOn)
{
  ScriptedServer server([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(GetParam());
    aPeer.Close();
  });
  Use({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 502U);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  SpoiledAnswerTest,
  testing::Values(Answer("unsigned", "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"),
                  Answer("without id", "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"),
                  Answer("encoded", std::string(kGoodHead) + "Content-Encoding: gzip\r\n"),
                  std::string(kGoodHead) + "Content-Length: 100\r\n\r\ntoo short",
                  std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
                  std::string("garbage\r\n\r\n"),
                  std::string("HTTP/1.1 2")));

// A body without a length ends with its connection; one that is reset on the way is not complete.
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
  Use({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 200U);
  EXPECT_EQ(answer_->body_, "body");
  answer_ = std::make_shared<FakeAnswer>();
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 502U);
}

// Guards against a head that is handled only when the whole stream has come.
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
  Use({ server.Address() });
  Start();
  const auto end = std::chrono::steady_clock::now() + 1s;
  while (answer_->body_.empty() && std::chrono::steady_clock::now() < end) {
    context_.run_for(5ms);
    context_.restart();
  }
  EXPECT_EQ(answer_->body_, "id: 1\ndata: a\n\n");
  EXPECT_FALSE(answer_->IsDone());
  Finish();
  EXPECT_TRUE(answer_->isCut_) << "the route's time is over";
}

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
  Use({ first.Address(), second.Address() });
  Start();
  Finish();
  EXPECT_TRUE(answer_->isComplete_);
  EXPECT_EQ(answer_->body_, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_EQ(resumedAfter, "1");
}

// Guards against the text of a refusal at the end of a stream, which the caller takes as complete:
// the stream breaks off, and it cannot go on because the proof of the configuration is too old.
TEST_F(RequestFlowTest, CutsABegunStreamInsteadOfRefusingIt)
{
  repeat_ = RepeatRule::Stream;
  isResumable_ = true;
  hasKey_ = true;
  bounds_.revocation_ = 900ms; // 200 ms of proof, after the margin
  ScriptedServer first([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n" +
               Chunk("id: 1\ndata: a\n\n"));
    std::this_thread::sleep_for(400ms);
    aPeer.Reset();
  });
  ScriptedServer second([](Peer& aPeer, int) { aPeer.ReadRequest(); });
  Use({ first.Address(), second.Address() });
  Start();
  Finish();
  EXPECT_TRUE(answer_->isCut_);
  EXPECT_FALSE(answer_->isComplete_);
  EXPECT_EQ(answer_->body_, "id: 1\ndata: a\n\n");
  EXPECT_EQ(second.Accepted(), 0);
}

// Guards against a request whose key may have been withdrawn: the host has had no word of the
// store.
TEST_F(RequestFlowTest, SendsNothingOnAnOldProof)
{
  hasKey_ = true;
  bounds_.revocation_ = 500ms; // less than the margin: every proof is too old
  ScriptedServer server([](Peer& aPeer, int) { aPeer.ReadRequest(); });
  Use({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 503U);
  EXPECT_EQ(server.Accepted(), 0);
}

// Guards against an upstream that works in vain: a place became free when the caller was about to
// leave, on a host that was too busy to refuse the request in time.
TEST_F(RequestFlowTest, SendsNothingWhenItsCallerIsAboutToLeave)
{
  repeat_ = RepeatRule::Stream;
  ScriptedServer server([](Peer& aPeer, int) { aPeer.ReadRequest(); });
  Use({});
  Start();
  ASSERT_EQ(waiting_.size(), 1U);
  std::this_thread::sleep_for(1350ms); // of 1500 ms
  Use({ server.Address() });
  Finish();
  EXPECT_EQ(answer_->status_, 503U);
  EXPECT_EQ(server.Accepted(), 0);
}

// Work for a caller that has left ends, so that the upstream can serve others.
TEST_F(RequestFlowTest, ClosesTheConnectionWhenTheCallerLeaves)
{
  repeat_ = RepeatRule::Repeatable;
  std::atomic<bool> isClosed = false;
  ScriptedServer server([&](Peer& aPeer, int) {
    aPeer.ReadRequest();
    isClosed = aPeer.WaitClosed(1s);
  });
  Use({ server.Address() });
  Start();
  context_.run_for(100ms);
  context_.restart();
  answer_->gone_();
  context_.run_for(100ms);
  EXPECT_TRUE(testing_support::WaitUntil([&] { return isClosed.load(); }));
}

// A request that is refused at its deadline although it was never sent says so.
TEST_F(RequestFlowTest, SaysNotRunOnlyIfNothingWasSent)
{
  ScriptedServer server([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.ReadSome(3s);
  });
  Use({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 504U);
}

} // namespace
} // namespace laburnumweir
