/** @file request_flow_resume_test.cpp Tests of RequestFlow with streams that break off and
 * upstreams that do not continue them.
 */
#include "gateway/request_flow_support.h"

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::Answer;
using testing_support::Chunk;
using testing_support::Peer;
using testing_support::RequestFlowTest;
using testing_support::ScriptedServer;

constexpr const char* kEvent1 = "id: 1\ndata: a\n\n";
constexpr const char* kEvent2 = "id: 2\ndata: b\n\n";
constexpr const char* kLength = "Content-Length: 300\r\n\r\n";
constexpr const char* kUnframed = "Connection: close\r\n\r\n";
const std::string kSigned = "X-Attempt-Id: r1\r\nX-Server-Stamp: s\r\n";
const std::string kStreamHead =
  "HTTP/1.1 200 OK\r\n" + kSigned + "Content-Type: text/event-stream\r\n";
const std::string kChunkedHead = kStreamHead + "Transfer-Encoding: chunked\r\n\r\n";

/** How a stream breaks off. */
struct StreamStart
{
  const char* name_;
  std::string text_;
  bool isReset_; ///< By a reset instead of a close.
};

/** Answer of an upstream that should continue a stream and does not. */
struct NoContinuation
{
  const char* name_;
  std::string answer_;
};

void
PrintTo(const StreamStart& aStart, std::ostream* aStream)
{
  *aStream << aStart.name_;
}

void
PrintTo(const NoContinuation& aAnswer, std::ostream* aStream)
{
  *aStream << aAnswer.name_;
}

using SpoiltEventTest = RequestFlowTest;

// Guards against a process that ends with all its requests when it continues a stream after an
// event whose id is longer than a header field can be.
TEST_F(SpoiltEventTest, StreamContinuesAfterTheLastEventWithAValidId)
{
  repeat_ = RepeatRule::Stream;
  isResumable_ = true;
  ScriptedServer faulty([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(kChunkedHead + Chunk(kEvent1));
    aPeer.Send(Chunk("id: " + std::string(66000, '2') + "\ndata: b\n\n") + Chunk("id: 3\nda"));
    std::this_thread::sleep_for(50ms);
    aPeer.Close();
  });
  std::string continuedAfter;
  ScriptedServer sound([&](Peer& aPeer, int) {
    if (const auto request = aPeer.ReadRequest()) {
      continuedAfter = std::string((*request)["Last-Event-Id"]);
    }
    aPeer.Send(kChunkedHead + Chunk(kEvent2) + "0\r\n\r\n");
    aPeer.ReadSome(100ms);
  });
  SetUpstreams({ faulty.Address(), sound.Address() });
  Start();
  Finish();
  EXPECT_EQ(continuedAfter, "1");
  EXPECT_EQ(answer_->body_, std::string(kEvent1) + kEvent2);
  EXPECT_TRUE(answer_->isComplete_);
}

class ResumeTest
  : public RequestFlowTest
  , public testing::WithParamInterface<std::tuple<StreamStart, NoContinuation>>
{};

// Guards against an error in the middle of a stream, and against a stream that ends as if it were
// complete: it breaks off, and the next upstream does not continue it. After a reset, a third
// upstream does.
TEST_P(ResumeTest, StreamHasWholeEventsInOrderAndLooksBrokenOffIfItIs)
{
  const auto& [start, continuation] = GetParam();
  repeat_ = RepeatRule::Stream;
  isResumable_ = true;
  if (start.isReset_) {
    timeout_ = 5s; // the stream must be complete
  }
  ScriptedServer first([&](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(start.text_);
    std::this_thread::sleep_for(50ms); // a reset discards bytes that were not read yet
    start.isReset_ ? aPeer.Reset() : aPeer.Close();
  });
  ScriptedServer second([&](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(continuation.answer_);
    std::this_thread::sleep_for(20ms);
  });
  ScriptedServer third([](Peer& aPeer, int) {
    const auto request = aPeer.ReadRequest();
    const bool hasFirst = request && (*request)["Last-Event-Id"] == "1";
    aPeer.Send(kChunkedHead + (hasFirst ? "" : Chunk(kEvent1)) + Chunk(kEvent2) + "0\r\n\r\n");
    aPeer.ReadSome(100ms);
  });
  std::vector<Endpoint> endpoints{ first.Address(), second.Address() };
  if (start.isReset_) {
    endpoints.push_back(third.Address());
  }
  SetUpstreams(endpoints);
  Start();
  Finish(6s);
  const std::string whole = std::string(kEvent1) + kEvent2;
  const bool hasBegun = start.text_.find(kEvent1) != std::string::npos;
  if (hasBegun) {
    EXPECT_EQ(answer_->status_, 200U);
    EXPECT_TRUE(whole.starts_with(answer_->body_)) << answer_->body_;
    EXPECT_EQ(answer_->isComplete_, answer_->body_ == whole) << answer_->body_;
    EXPECT_EQ(answer_->isComplete_, start.isReset_) << answer_->body_;
  } else if (answer_->fields_["Content-Type"] == "text/event-stream") {
    EXPECT_TRUE(whole.starts_with(answer_->body_)) << answer_->body_;
  }
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  ResumeTest,
  testing::Combine(
    testing::Values(
      StreamStart{ "InAnEvent", kChunkedHead + Chunk(kEvent1) + Chunk("id: 2\nda"), false },
      StreamStart{ "BetweenEvents", kChunkedHead + Chunk(kEvent1), true },
      StreamStart{ "AfterTheHead", kChunkedHead, false },
      StreamStart{ "InAnEventWithLength",
                   kStreamHead + kLength + kEvent1 + "id: 2\ndata: b\n",
                   true },
      StreamStart{ "BetweenEventsWithLength", kStreamHead + kLength + kEvent1, false },
      StreamStart{ "InAnEventUnframed", kStreamHead + kUnframed + kEvent1 + "id: 2", false }),
    testing::Values(
      NoContinuation{ "Error500", Answer("failed\n\n", "HTTP/1.1 500 Error\r\n" + kSigned) },
      NoContinuation{ "Unsigned500", Answer("failed\n\n", "HTTP/1.1 500 Error\r\n") },
      NoContinuation{ "Error404", Answer("unknown\n\n", "HTTP/1.1 404 None\r\n" + kSigned) },
      NoContinuation{ "Busy503", Answer("busy\n\n", "HTTP/1.1 503 Busy\r\n" + kSigned) },
      NoContinuation{ "NotRun503",
                      Answer("busy\n\n", "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n" + kSigned) },
      NoContinuation{ "Wrong421", Answer("no\n\n", "HTTP/1.1 421 Wrong\r\n" + kSigned) },
      NoContinuation{
        "PlainText",
        Answer("data: failed\n\n", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + kSigned) },
      NoContinuation{ "NoContent", "HTTP/1.1 204 None\r\n" + kSigned + "\r\n" },
      NoContinuation{ "FromTheStart", kChunkedHead + Chunk(kEvent1) + "0\r\n\r\n" },
      NoContinuation{ "TextWithoutFields",
                      kChunkedHead + Chunk("failed\nserver error\n\n") + "0\r\n\r\n" },
      NoContinuation{ "HeadInTheBody",
                      kStreamHead + kUnframed + Answer("failed", "HTTP/1.1 500 Error\r\n") },
      NoContinuation{ "CutHead", kStreamHead },
      NoContinuation{ "Nothing", "" })),
  [](const auto& aInfo) {
    return std::string(std::get<0>(aInfo.param).name_) + std::get<1>(aInfo.param).name_;
  });

} // namespace
} // namespace laburnumweir
