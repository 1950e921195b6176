/** @file request_flow_fault_test.cpp Tests of RequestFlow against upstreams that copy, drip, flood
 * or break off their answers.
 */
#include "gateway/request_flow_support.h"
#include "support/memory_support.h"

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

/** @return a refusal that says that the request was not run. */
std::string
Refusal(const std::string& aIdField)
{
  return "HTTP/1.1 503 Busy\r\n" + aIdField + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

using RequestFlowFaultTest = RequestFlowTest;

// Guards against running a booking twice: its first attempt is refused, and a second copy of the
// refusal arrives on the same connection while the second attempt runs.
TEST_F(RequestFlowFaultTest, CopyOfAnEarlierRefusalDoesNotEndTheNextAttempt)
{
  const auto refusal = Refusal("X-Attempt-Id: r1\r\n");
  std::atomic<int> runs = 0;
  ScriptedServer server([&](Peer& aPeer, int aNumber) {
    if (!aPeer.ReadRequest()) {
      return;
    }
    if (aNumber == 0) {
      aPeer.Send(refusal);
      if (!aPeer.ReadRequest()) {
        return;
      }
      aPeer.Send(refusal);
    }
    ++runs;
    aPeer.Send(Answer("booked"));
    aPeer.ReadSome(500ms);
  });
  SetUpstreams({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->body_, "booked");
  EXPECT_EQ(runs, 1);
}

// Guards against running a booking twice: a late copy of another request's refusal, without an id,
// arrives on a kept connection.
TEST_F(RequestFlowFaultTest, RefusalWithoutAnIdOnAKeptConnectionProvesNothing)
{
  std::atomic<int> runs = 0;
  ScriptedServer server([&](Peer& aPeer, int aNumber) {
    aPeer.ReadRequest();
    if (aNumber == 0) {
      aPeer.Send(Answer("first", "HTTP/1.1 200 OK\r\nX-Attempt-Id: r0\r\nX-Server-Stamp: s\r\n"));
      aPeer.ReadRequest();
      aPeer.Send(Refusal(""));
    }
    ++runs;
    aPeer.Send(Answer("booked"));
    aPeer.ReadSome(500ms);
  });
  SetUpstreams({ server.Address() });
  id_ = "r0";
  Start();
  Finish();
  ASSERT_EQ(answer_->body_, "first");
  answer_ = std::make_shared<FakeAnswer>();
  id_ = "r1";
  Start();
  Finish();
  EXPECT_NE(answer_->status_, 503U) << "503 says that the request did not run";
  EXPECT_TRUE(testing_support::WaitUntil([&] { return runs == 1; }));
}

/** An answer that begins with one text and goes on with another one without end. */
struct EndlessAnswer
{
  const char* name_;
  std::string start_;
  std::string repeated_;
  RepeatRule repeat_ = RepeatRule::Once;
};

class EndlessAnswerTest
  : public RequestFlowTest
  , public testing::WithParamInterface<EndlessAnswer>
{};

// Guards against memory, connections and callers that an upstream holds by bytes without end that
// are no answer.
TEST_P(EndlessAnswerTest, EndsEarlyInFewBytes)
{
  // Buffers of both sockets hold some megabytes that the upstream writes before it is closed.
  constexpr std::size_t kMaxBytes = std::size_t{ 24 } << 20;
  std::atomic<std::size_t> sent = 0;
  std::string block;
  while (block.size() < 32768) {
    block += GetParam().repeated_;
  }
  ScriptedServer server([&](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(GetParam().start_);
    while (sent < 8 * kMaxBytes && aPeer.Send(block)) {
      sent += block.size();
    }
    aPeer.ReadSome(10s);
  });
  timeout_ = 6s;
  repeat_ = GetParam().repeat_;
  SetUpstreams({ server.Address() });
  const auto start = std::chrono::steady_clock::now();
  Start();
  Finish(8s);
  EXPECT_TRUE(answer_->status_ == 502 || answer_->isAborted_) << answer_->status_;
  EXPECT_LT(std::chrono::steady_clock::now() - start, 3s) << "the route's timeout is 6 s";
  EXPECT_LT(sent, kMaxBytes);
}

INSTANTIATE_TEST_SUITE_P(
  Kinds,
  EndlessAnswerTest,
  testing::Values(
    EndlessAnswer{ "StatusLine", "HTTP/1.1 200 ", "OK" },
    EndlessAnswer{ "HeaderFields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n" },
    EndlessAnswer{ "InterimAnswers", "", "HTTP/1.1 102 Processing\r\n\r\n" },
    EndlessAnswer{ "NoHttp", "", "garbage" },
    EndlessAnswer{ "UnsignedBody",
                   "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nConnection: close\r\n\r\n",
                   "bytes" },
    EndlessAnswer{ "ForeignBody",
                   "HTTP/1.1 200 OK\r\nX-Attempt-Id: r0\r\nTransfer-Encoding: chunked\r\n\r\n",
                   "4\r\nabcd\r\n" },
    EndlessAnswer{ "RefusalBody",
                   "HTTP/1.1 503 Busy\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n",
                   "4\r\nabcd\r\n" },
    EndlessAnswer{ "ErrorBody",
                   "HTTP/1.1 500 Error\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: s\r\n"
                   "Connection: close\r\n\r\n",
                   "bytes",
                   RepeatRule::Repeatable },
    EndlessAnswer{ "ChunkSize",
                   std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n",
                   "0" },
    EndlessAnswer{ "ChunkExtension",
                   std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n4",
                   ";a=b" },
    EndlessAnswer{ "Trailer",
                   std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
                   "X-Field: value\r\n" },
    EndlessAnswer{ "Event",
                   std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n",
                   "4\r\nabcd\r\n",
                   RepeatRule::Stream }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/** Trailer fields after the last chunk of an answer. */
struct Trailer
{
  const char* name_;
  std::string fields_;
};

class LongTrailerTest
  : public RequestFlowTest
  , public testing::WithParamInterface<Trailer>
{};

// Guards against a process that ends with all its requests because one upstream sends a field after
// the last chunk that is longer than a message can hold.
TEST_P(LongTrailerTest, OnlyFailsTheAttempt)
{
  repeat_ = RepeatRule::Repeatable;
  ScriptedServer faulty([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n" + Chunk("spoilt") +
               "0\r\n" + GetParam().fields_ + "\r\n");
    aPeer.ReadSome(500ms);
  });
  ScriptedServer sound([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(Answer("sound"));
    aPeer.ReadSome(500ms);
  });
  SetUpstreams({ faulty.Address(), sound.Address() });
  Start();
  Finish();
  EXPECT_EQ(faulty.Accepted(), 1);
  EXPECT_EQ(answer_->status_, 200U);
  EXPECT_EQ(answer_->body_, "sound");
}

INSTANTIATE_TEST_SUITE_P(
  Fields,
  LongTrailerTest,
  testing::Values(Trailer{ "Value", "X: " + std::string(65534, 'x') + "\r\n" },
                  Trailer{ "Name", std::string(65534, 'x') + ": x\r\n" },
                  Trailer{ "ValueOverTheUnparsedLimit", "X: " + std::string(80000, 'x') + "\r\n" },
                  Trailer{ "Unended", "X: " + std::string(66000, 'x') }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against an answer that is judged by its trailer: fields after the last chunk may neither
// sign it nor state that the request was not run, and they do not reach the caller.
TEST_F(RequestFlowFaultTest, TrailerFieldsAreNoHeaderFields)
{
  const auto answer = [](const std::string& aHead, const std::string& aTrailer) {
    return aHead + "Transfer-Encoding: chunked\r\n\r\n" + Chunk("body") + "0\r\n" + aTrailer +
           "\r\n";
  };
  const std::string unsignedHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n";
  std::vector<std::string> answers{ answer(kGoodHead, "X-Not-Executed: 1\r\nX-Late: 1\r\n"),
                                    answer(unsignedHead, "X-Server-Stamp: s\r\n") };
  ScriptedServer server([&](Peer& aPeer, int aNumber) {
    aPeer.ReadRequest();
    aPeer.Send(answers.at(aNumber));
    aPeer.Close();
  });
  SetUpstreams({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 200U);
  EXPECT_EQ(answer_->body_, "body");
  EXPECT_EQ(answer_->fields_.count("X-Late"), 0U);
  EXPECT_EQ(server.Accepted(), 1) << "the request has run";
  answer_ = std::make_shared<FakeAnswer>();
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 502U);
}

// Guards against a host that runs out of memory because faulty upstreams send bytes without end
// where events are due, on all of the requests that they run for it.
TEST_F(RequestFlowFaultTest, EndlessEventsOfManyStreamsTakeLittleMemory)
{
  constexpr std::size_t kMaxBytes = std::size_t{ 80 } << 20; // half of the smallest host's
  constexpr std::size_t kSentBytes = std::size_t{ 1000 } << 10;
  const std::string block = Chunk(std::string(8000, 'x'));
  std::atomic<int> begun = 0;
  const auto script = [&](Peer& aPeer, int) {
    const auto request = aPeer.ReadRequest();
    aPeer.Send("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: " +
               std::string(request ? (*request)["X-Attempt-Id"] : "") +
               "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    ++begun;
    for (std::size_t sent = 0; sent < kSentBytes && aPeer.Send(block); sent += block.size()) {
    }
    aPeer.WaitClosed();
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  ScriptedServer third(script);
  constexpr int kStreams = 64 + 32 + 16; // the slots of the three
  repeat_ = RepeatRule::Stream;
  timeout_ = 10s;
  SetUpstreams({ first.Address(), second.Address(), third.Address() });
  const auto before = testing_support::ResidentBytes();
  std::vector<std::shared_ptr<FakeAnswer>> answers;
  for (int i = 0; i < kStreams; ++i) {
    answer_ = std::make_shared<FakeAnswer>();
    answers.push_back(answer_);
    id_ = "r" + std::to_string(i);
    Start();
  }
  std::size_t most = 0;
  for (int i = 0; i < 400; ++i) {
    context_.run_for(5ms);
    context_.restart();
    most = std::max(most, testing_support::ResidentBytes());
  }
  EXPECT_EQ(begun, kStreams);
  EXPECT_LT(most, before + kMaxBytes);
  for (const auto& answer : answers) {
    EXPECT_TRUE(answer->isAborted_ || answer->status_ == 502) << answer->status_;
  }
}

class BrokenStreamTest
  : public RequestFlowTest
  , public testing::WithParamInterface<std::string>
{};

// Guards against a stream that breaks off and reaches the caller as complete.
TEST_P(BrokenStreamTest, NeverEndsAsComplete)
{
  repeat_ = RepeatRule::Stream;
  ScriptedServer server([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(std::string(kGoodHead) + GetParam());
    std::this_thread::sleep_for(20ms);
    aPeer.Close();
  });
  SetUpstreams({ server.Address() });
  Start();
  Finish();
  EXPECT_TRUE(answer_->isAborted_ || answer_->status_ == 502) << answer_->status_;
}

INSTANTIATE_TEST_SUITE_P(
  Parts,
  BrokenStreamTest,
  testing::Values("",
                  "Transfer-Encoding: chunked\r\n",
                  "Transfer-Encoding: chunked\r\n\r\n",
                  "Transfer-Encoding: chunked\r\n\r\n1",
                  "Transfer-Encoding: chunked\r\n\r\n" + Chunk("id: 1\nda"),
                  "Transfer-Encoding: chunked\r\n\r\n" + Chunk("id: 1\ndata: a\n\n"),
                  "Transfer-Encoding: chunked\r\n\r\n" + Chunk("id: 1\ndata: a\n\n") + "0\r\n",
                  "Transfer-Encoding: chunked\r\n\r\n" + Chunk("id: 1\ndata: a\n\nid") +
                    "0\r\n\r\n",
                  "Content-Length: 30\r\n\r\nid: 1\ndata: a\n\n",
                  "Connection: close\r\n\r\nid: 1\ndata: a\n"));

// Guards against a stalled stream that is kept until the caller's deadline because of a byte, or an
// empty comment, that arrives now and then.
TEST_F(RequestFlowFaultTest, ContinuesAStreamElsewhereWhenOnlyDripsArrive)
{
  repeat_ = RepeatRule::Stream;
  isResumable_ = true;
  timeout_ = 6s;
  ScriptedServer first([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n" +
               Chunk("id: 1\ndata: a\n\n"));
    for (int i = 0; i < 60 && aPeer.Send(Chunk(i % 2 == 0 ? ":\n\n" : "d")); ++i) {
      std::this_thread::sleep_for(100ms);
    }
  });
  ScriptedServer second([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n" +
               Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    aPeer.ReadSome(200ms);
  });
  SetUpstreams({ first.Address(), second.Address() });
  const auto start = std::chrono::steady_clock::now();
  Start();
  Finish(7s);
  EXPECT_TRUE(answer_->isComplete_);
  EXPECT_NE(answer_->body_.find("id: 2\ndata: b\n\n"), std::string::npos);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 3s) << "a silent stream continues in 1.2 s";
}

// Guards against cutting a slow but sound stream, resumable or not.
TEST_F(RequestFlowFaultTest, DoesNotCutASlowStream)
{
  repeat_ = RepeatRule::Stream;
  timeout_ = 6s;
  ScriptedServer server([](Peer& aPeer, int) {
    while (aPeer.ReadRequest()) {
      aPeer.Send(std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n");
      for (int i = 1; i <= 3; ++i) {
        aPeer.Send(Chunk("id: " + std::to_string(i) + "\ndata: a\n\n"));
        std::this_thread::sleep_for(700ms);
      }
      aPeer.Send("0\r\n\r\n");
    }
  });
  for (const bool isResumable : { false, true }) {
    isResumable_ = isResumable;
    SetUpstreams({ server.Address() });
    answer_ = std::make_shared<FakeAnswer>();
    Start();
    Finish(7s);
    EXPECT_TRUE(answer_->isComplete_) << isResumable;
    EXPECT_EQ(answer_->body_, "id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: a\n\n");
  }
}

// Guards against a crash, and against a connection that is kept for good: the caller of a booking
// leaves, the request must not be cancelled, and its answer is large or never ends.
TEST_F(RequestFlowFaultTest, EndsACallWhoseCallerLeftAndWhoseAnswerDoesNotEnd)
{
  for (const std::string head : { kGoodHead, "" }) {
    std::atomic<bool> isClosed = false;
    ScriptedServer server([&](Peer& aPeer, int) {
      aPeer.ReadRequest();
      std::this_thread::sleep_for(100ms);
      if (!head.empty()) {
        aPeer.Send(head + "Connection: close\r\n\r\n");
        const std::string block(32768, 'b');
        while (aPeer.Send(block)) {
        }
      }
      isClosed = aPeer.WaitClosed(4s) || !head.empty();
    });
    SetUpstreams({ server.Address() });
    answer_ = std::make_shared<FakeAnswer>();
    Start();
    context_.run_for(50ms);
    context_.restart();
    answer_->onDisconnect_();
    context_.run_for(2s);
    context_.restart();
    EXPECT_TRUE(testing_support::WaitUntil([&] { return isClosed.load(); }, 500ms)) << head;
  }
}

// Guards against a request that reaches an upstream that left while the connection was established.
TEST_F(RequestFlowFaultTest, SendsNothingToAnUpstreamThatLeftMeanwhile)
{
  std::atomic<int> requests = 0;
  ScriptedServer leaving([&](Peer& aPeer, int) { requests += aPeer.ReadRequest() ? 1 : 0; });
  ScriptedServer second([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(Answer("second"));
    aPeer.ReadSome(200ms);
  });
  SetUpstreams({ leaving.Address(), second.Address() });
  Start();
  auto entry = fleet_.Upstreams().Find(UpstreamId("u64"))->entry_;
  entry.isDraining_ = true;
  fleet_.Upstreams().OnEntry(entry);
  Finish();
  EXPECT_EQ(answer_->body_, "second");
  EXPECT_EQ(requests, 0);
}

// Guards against a run that begins on an old version of its adapter long after the release: the
// request was sent while old versions may be used, and waits in the queue of its engine.
TEST_F(RequestFlowFaultTest, WithdrawsARequestThatDoesNotBeginOnAnOldVersionInTime)
{
  repeat_ = RepeatRule::Stream;
  timeout_ = 6s;
  bounds_.maxVersionDelay_ = 1s;
  std::atomic<std::chrono::milliseconds> closedAfter{ 0ms };
  ScriptedServer server([&](Peer& aPeer, int) {
    aPeer.ReadRequest();
    const auto start = std::chrono::steady_clock::now();
    if (aPeer.WaitClosed(3s)) {
      closedAfter = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - start);
    }
  });
  engineModels_ = { { "m", { { "a1", 1 } } } };
  SetUpstreams({ server.Address() });
  ChangeBatch batch;
  batch.changes_ = { AdapterRelease{ "m", "a1", 2 } };
  fleet_.ApplyOperators(batch);
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 502U) << "it may have begun";
  EXPECT_TRUE(testing_support::WaitUntil([&] { return closedAfter.load() > 0ms; }));
  EXPECT_LT(closedAfter.load(), 900ms);
}

} // namespace
} // namespace laburnumweir
