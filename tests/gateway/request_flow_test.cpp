/** @file request_flow_test.cpp Tests of RequestFlow against scripted and faulty upstreams. */
#include "gateway/request_flow_support.h"

#include <thread>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::Answer;
using testing_support::Chunk;
using testing_support::FakeAnswer;
using testing_support::kGoodHead;
using testing_support::Peer;
using testing_support::RequestFlowTest;
using testing_support::ScriptedServer;

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

// Guards against metrics that do not show how many answers miss their target, from which an
// operator judges the order of service.
TEST_F(RequestFlowTest, CountsAnswersInTimeAndLate)
{
  ScriptedServer server([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    std::this_thread::sleep_for(200ms); // the target is 100 ms
    aPeer.Send(Answer("late"));
    aPeer.ReadSome(200ms);
  });
  SetUpstreams({ server.Address() });
  Start();
  Finish();
  const auto count = [this](std::string_view aResult) {
    return metrics_.GetCounter("laburnumweir_gateway_answers_total", "rank_result", aResult)
      .Value();
  };
  EXPECT_EQ(count("0:late"), 1U);
  EXPECT_EQ(count("0:in_time"), 0U);
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
                  std::string("HTTP/1.1 500 Error\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: s\r\n"
                              "Content-Length: 100\r\n\r\ntoo short"),
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
