/** @file request_flow_software_test.cpp Tests which upstreams continue a stream while several
 * software versions serve.
 */
#include "gateway/request_flow_support.h"

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::Chunk;
using testing_support::Peer;
using testing_support::RequestFlowTest;
using testing_support::ScriptedServer;

constexpr const char* kEvent1 = "id: 1\ndata: a\n\n";
constexpr const char* kEvent2 = "id: 2\ndata: b\n\n";
constexpr const char* kStreamHead =
  "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: s\r\n"
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Streams of upstreams that the table prefers in this order; the first one breaks off. */
class SoftwareTest : public RequestFlowTest
{
protected:
  SoftwareTest()
  {
    repeat_ = RepeatRule::Stream;
    isResumable_ = true;
  }
  /** Serves a request from the three upstreams. */
  void Serve()
  {
    SetUpstreams({ first_.Address(), second_.Address(), third_.Address() });
    Start();
    Finish();
  }
  static void SendRest(Peer& aPeer)
  {
    const auto request = aPeer.ReadRequest();
    const bool hasFirst = request && (*request)["Last-Event-Id"] == "1";
    aPeer.Send(kStreamHead + (hasFirst ? "" : Chunk(kEvent1)) + Chunk(kEvent2) + "0\r\n\r\n");
    aPeer.ReadSome(100ms);
  }

  std::string firstChunks_ = Chunk(kEvent1); ///< What the first upstream sends before it ends.
  ScriptedServer first_{ [this](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(kStreamHead + firstChunks_);
    std::this_thread::sleep_for(50ms); // a close may discard bytes that were not read yet
    aPeer.Close();
  } };
  ScriptedServer second_{ [](Peer& aPeer, int) { SendRest(aPeer); } };
  ScriptedServer third_{ [](Peer& aPeer, int) { SendRest(aPeer); } };
};

// Guards against a stream that is joined within one answer from events of two software versions.
TEST_F(SoftwareTest, StreamGoesOnAtTheVersionThatBeganIt)
{
  software_ = { "v1", "v2", "v1" };
  Serve();
  EXPECT_TRUE(answer_->isComplete_);
  EXPECT_EQ(answer_->body_, std::string(kEvent1) + kEvent2);
  EXPECT_EQ(second_.Accepted(), 0);
  EXPECT_EQ(third_.Accepted(), 1);
}

// Guards against a caller that waits until its deadline for a version of which no upstream is left.
TEST_F(SoftwareTest, StreamIsBrokenOffAtOnceIfNoOtherUpstreamRunsItsVersion)
{
  timeout_ = 3s;
  software_ = { "v1", "v2", "v2" };
  const auto start = std::chrono::steady_clock::now();
  Serve();
  EXPECT_TRUE(answer_->isAborted_);
  EXPECT_EQ(answer_->body_, kEvent1);
  EXPECT_EQ(second_.Accepted() + third_.Accepted(), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 1s);
}

// Guards against a stream that is lost without need: before its first event any version may begin
// it.
TEST_F(SoftwareTest, StreamWithoutAnEventMayBeginAtAnotherVersion)
{
  firstChunks_ = Chunk("id: 1\nda");
  software_ = { "v1", "v2", "v1" };
  Serve();
  EXPECT_TRUE(answer_->isComplete_);
  EXPECT_EQ(answer_->body_, std::string(kEvent1) + kEvent2);
  EXPECT_EQ(second_.Accepted(), 1);
}

// Guards against a stream that goes on at the version of an entry although the upstream had been
// started anew, with other software, before it got the request.
TEST_F(SoftwareTest, StreamOfAnUpstreamThatWasReplacedInPlaceIsNotContinued)
{
  software_ = { "v1", "v1", "v1" };
  startedAt_ = 1;
  boost::asio::steady_timer timer(context_, 20ms);
  timer.async_wait([this](auto) {
    auto entry = fleet_.Upstreams().Find(UpstreamId("u64"))->entry_;
    entry.startedAt_ = 1000 * std::time(nullptr);
    entry.software_ = SoftwareVersion("v2");
    fleet_.Upstreams().OnEntry(entry);
  });
  Serve();
  EXPECT_TRUE(answer_->isAborted_);
  EXPECT_EQ(second_.Accepted() + third_.Accepted(), 0);
}

} // namespace
} // namespace laburnumweir
