/** @file request_flow_silence_test.cpp Tests of RequestFlow with upstreams that pause, and with
 * streams that have begun while no other upstream takes them.
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
const std::string kSigned = "X-Attempt-Id: r1\r\nX-Server-Stamp: s\r\n";
const std::string kStreamHead = "HTTP/1.1 200 OK\r\n" + kSigned +
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";
const std::string kRefusal =
  "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n" + kSigned + "Content-Length: 0\r\n\r\n";
const std::string kLastChunk = "0\r\n\r\n";

class SilenceTest : public RequestFlowTest
{
protected:
  SilenceTest()
  {
    repeat_ = RepeatRule::Stream;
    isResumable_ = true;
    timeout_ = 6s;
  }

  /** Expects the whole stream of two events. */
  void ExpectWhole() const
  {
    EXPECT_EQ(answer_->status_, 200U);
    EXPECT_EQ(answer_->body_, std::string(kEvent1) + kEvent2);
    EXPECT_TRUE(answer_->isComplete_);
  }
};

// Sends the first event, and the second one after a pause that is longer than the limit of 1.2 s.
void
SendWithPause(Peer& aPeer)
{
  aPeer.ReadRequest();
  aPeer.Send(kStreamHead + Chunk(kEvent1));
  std::this_thread::sleep_for(1600ms);
  aPeer.Send(Chunk(kEvent2) + kLastChunk);
  aPeer.ReadSome(200ms);
}

void
BreakOffAfterFirstEvent(Peer& aPeer)
{
  aPeer.ReadRequest();
  aPeer.Send(kStreamHead + Chunk(kEvent1));
  std::this_thread::sleep_for(50ms);
  aPeer.Close();
}

void
SendSecondEvent(Peer& aPeer)
{
  aPeer.Send(kStreamHead + Chunk(kEvent2) + kLastChunk);
  aPeer.ReadSome(200ms);
}

// Guards against a stream that its host ends because its upstream pauses, while the other upstream
// is full.
TEST_F(SilenceTest, StreamGoesOnIfTheOtherUpstreamRefusesIt)
{
  ScriptedServer slow([](Peer& aPeer, int) { SendWithPause(aPeer); });
  ScriptedServer full([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(kRefusal);
    aPeer.ReadSome(200ms);
  });
  SetUpstreams({ slow.Address(), full.Address() });
  Start();
  Finish(7s);
  ExpectWhole();
}

// Guards against a stream that its host ends because its upstream pauses, while the retry budget is
// used up.
TEST_F(SilenceTest, StreamGoesOnWithoutRetryBudget)
{
  retries_.SetBounds({ 0, 0, 10s });
  ScriptedServer slow([](Peer& aPeer, int) { SendWithPause(aPeer); });
  ScriptedServer idle([](Peer& aPeer, int) { aPeer.ReadSome(200ms); });
  SetUpstreams({ slow.Address(), idle.Address() });
  Start();
  Finish(7s);
  ExpectWhole();
  EXPECT_EQ(idle.Accepted(), 0);
}

// Guards against a stream that its host ends because its upstream pauses, while there is no other
// upstream.
TEST_F(SilenceTest, StreamGoesOnWithoutAnotherUpstream)
{
  ScriptedServer slow([](Peer& aPeer, int) { SendWithPause(aPeer); });
  SetUpstreams({ slow.Address() });
  Start();
  Finish(7s);
  ExpectWhole();
}

// Guards against a stream whose upstream has stopped for good and that is not continued.
TEST_F(SilenceTest, StreamContinuesAtTheUpstreamThatTakesIt)
{
  ScriptedServer stopped([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(kStreamHead + Chunk(kEvent1));
    aPeer.WaitClosed(5s);
  });
  std::string continuedAfter;
  ScriptedServer sound([&](Peer& aPeer, int) {
    if (const auto request = aPeer.ReadRequest()) {
      continuedAfter = std::string((*request)["Last-Event-Id"]);
    }
    SendSecondEvent(aPeer);
  });
  SetUpstreams({ stopped.Address(), sound.Address() });
  Start();
  Finish(4s);
  ExpectWhole();
  EXPECT_EQ(continuedAfter, "1");
}

// Guards against events that are missing or come twice when a paused upstream goes on while another
// one has been asked to continue.
TEST_F(SilenceTest, EventsOfTwoUpstreamsAreNotMixed)
{
  ScriptedServer slow([](Peer& aPeer, int) { SendWithPause(aPeer); });
  ScriptedServer slower([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    std::this_thread::sleep_for(600ms); // longer than the pause of the first upstream
    SendSecondEvent(aPeer);
  });
  SetUpstreams({ slow.Address(), slower.Address() });
  Start();
  Finish(7s);
  ExpectWhole();
}

// Guards against an error for a repeatable request whose upstream is slow, while the other one is
// full.
TEST_F(SilenceTest, SlowAnswerIsDeliveredIfTheOtherUpstreamRefuses)
{
  repeat_ = RepeatRule::Repeatable;
  ScriptedServer slow([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    std::this_thread::sleep_for(800ms); // the limit is 400 ms
    aPeer.Send(Answer("late"));
    aPeer.ReadSome(200ms);
  });
  ScriptedServer full([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(kRefusal);
    aPeer.ReadSome(200ms);
  });
  retries_.SetBounds({ 0, 1.5, 10s }); // a single retry
  SetUpstreams({ slow.Address(), full.Address() });
  Start();
  Finish(7s);
  EXPECT_EQ(answer_->status_, 200U);
  EXPECT_EQ(answer_->body_, "late");
}

// Guards against a stream that its host ends since its upstream broke off while the retry budget is
// used up, though units of it become free soon.
TEST_F(SilenceTest, BrokenStreamWaitsForTheRetryBudget)
{
  retries_.SetBounds({ 1, 0, 10s });
  ScriptedServer broken([](Peer& aPeer, int) { BreakOffAfterFirstEvent(aPeer); });
  ScriptedServer sound([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    SendSecondEvent(aPeer);
  });
  SetUpstreams({ broken.Address(), sound.Address() });
  Start();
  boost::asio::steady_timer timer(context_, 500ms);
  timer.async_wait([this](auto) {
    retries_.OnRequest(ServiceName("app"));
    retries_.OnRequest(ServiceName("app"));
  });
  Finish(7s);
  ExpectWhole();
}

// Guards against a stream that its host ends since its upstream broke off while the only other one
// is full for a moment.
TEST_F(SilenceTest, BrokenStreamWaitsForAFullUpstream)
{
  ScriptedServer broken([](Peer& aPeer, int) { BreakOffAfterFirstEvent(aPeer); });
  ScriptedServer full([](Peer& aPeer, int aNumber) {
    aPeer.ReadRequest();
    if (aNumber < 2) {
      aPeer.Send(kRefusal);
      aPeer.ReadSome(200ms);
    } else {
      SendSecondEvent(aPeer);
    }
  });
  SetUpstreams({ broken.Address(), full.Address() });
  Start();
  Finish(7s);
  ExpectWhole();
}

// Guards against a stream that its host ends since its upstream broke off, because the queue of new
// requests is long.
TEST_F(SilenceTest, BrokenStreamIsNotRefusedForTheQueueOfNewRequests)
{
  ScriptedServer broken([](Peer& aPeer, int) { BreakOffAfterFirstEvent(aPeer); });
  ScriptedServer sound([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    SendSecondEvent(aPeer);
  });
  SetUpstreams({ broken.Address(), sound.Address() });
  const UpstreamLoad full{ UpstreamId("u32"), 32, std::nullopt };
  fleet_.Upstreams().OnPeerLoad(HostId("h2"), std::span(&full, 1));
  for (int i = 0; i < 100; ++i) {
    queue_.Push({ ServiceName("app"), 0, clock_.Now() + 10s, false });
  }
  std::this_thread::sleep_for(600ms); // the queue measures its rate of starts for 500 ms
  Start();
  boost::asio::steady_timer timer(context_, 600ms);
  timer.async_wait([this](auto) { fleet_.Upstreams().OnPeerLoad(HostId("h2"), {}); });
  Finish(7s);
  ExpectWhole();
}

// Guards against a request that is lost without an answer: its first attempt ends while the second
// one is being connected, and the second upstream leaves meanwhile.
TEST_F(SilenceTest, StreamWaitsIfBothUpstreamsAreLostAtOnce)
{
  std::atomic<bool> hasSecond = false;
  ScriptedServer broken([&](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(kStreamHead + Chunk(kEvent1));
    testing_support::WaitUntil([&] { return hasSecond.load(); });
    aPeer.Close();
  });
  ScriptedServer leaving([](Peer& aPeer, int) { aPeer.ReadSome(200ms); });
  ScriptedServer sound([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    SendSecondEvent(aPeer);
  });
  SetUpstreams({ broken.Address(), leaving.Address(), sound.Address() });
  const UpstreamLoad full{ UpstreamId("u16"), 16, std::nullopt };
  fleet_.Upstreams().OnPeerLoad(HostId("h2"), std::span(&full, 1));
  Start();
  const auto end = std::chrono::steady_clock::now() + 4s;
  const auto* second = fleet_.Upstreams().Find(UpstreamId("u32"));
  while (second->running_ == 0 && std::chrono::steady_clock::now() < end) {
    context_.run_one_for(10ms); // one handler, so that the connection is not yet established
    context_.restart();
  }
  ASSERT_EQ(second->running_, 1U);
  hasSecond = true;
  fleet_.Upstreams().OnLeaving(UpstreamId("u32"), startedAt_);
  std::this_thread::sleep_for(100ms); // the first attempt ends before the event loop runs again
  fleet_.Upstreams().OnPeerLoad(HostId("h2"), {});
  Finish(7s);
  ExpectWhole();
}

// Guards against new requests that are refused because a stream that has begun waits for the retry
// budget: it holds no slot and delays nobody.
TEST_F(SilenceTest, WaitingStreamDoesNotMakeTheQueueLong)
{
  retries_.SetBounds({ 0, 0, 10s });
  ScriptedServer broken([](Peer& aPeer, int) { BreakOffAfterFirstEvent(aPeer); });
  ScriptedServer sound([](Peer& aPeer, int) { aPeer.ReadSome(200ms); });
  timeout_ = 2s;
  SetUpstreams({ broken.Address(), sound.Address() });
  Start();
  const auto end = std::chrono::steady_clock::now() + 1200ms;
  while (std::chrono::steady_clock::now() < end) {
    context_.run_for(5ms);
    context_.restart();
    for (const auto& [ticket, flow] : std::map(waiting_)) {
      flow->TryStart();
    }
  }
  EXPECT_EQ(queue_.Size(), 1U);
  const auto estimate = queue_.EstimateWait(ServiceName("app"), 5);
  EXPECT_TRUE(!estimate || *estimate == Duration::zero());
}

// Guards against a stream that its host ends since its upstream broke off after a second attempt
// had been dropped: with it, the upstreams of the route are used up.
TEST_F(SilenceTest, StreamContinuesWhereItsSecondAttemptWas)
{
  maxUpstreams_ = 2;
  ScriptedServer pausing([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(kStreamHead + Chunk(kEvent1));
    std::this_thread::sleep_for(1300ms);
    aPeer.Send(Chunk("id: 1a\ndata: x\n\n"));
    std::this_thread::sleep_for(50ms);
    aPeer.Close();
  });
  ScriptedServer second([](Peer& aPeer, int aNumber) {
    aPeer.ReadRequest();
    if (aNumber == 0) {
      aPeer.WaitClosed(1s);
    } else {
      SendSecondEvent(aPeer);
    }
  });
  ScriptedServer third([](Peer& aPeer, int) { aPeer.ReadSome(200ms); });
  SetUpstreams({ pausing.Address(), second.Address(), third.Address() });
  Start();
  Finish(7s);
  EXPECT_TRUE(answer_->isComplete_);
  EXPECT_EQ(answer_->body_, std::string(kEvent1) + "id: 1a\ndata: x\n\n" + kEvent2);
  EXPECT_EQ(third.Accepted(), 0) << "the route allows two upstreams";
}

// Guards against a stream that is given up for the head of another answer, which breaks off before
// its first event.
TEST_F(SilenceTest, HeadWithoutAnEventDoesNotEndTheFirstAttempt)
{
  ScriptedServer slow([](Peer& aPeer, int) { SendWithPause(aPeer); });
  ScriptedServer headOnly([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(kStreamHead);
    std::this_thread::sleep_for(50ms);
    aPeer.Close();
  });
  SetUpstreams({ slow.Address(), headOnly.Address() });
  Start();
  Finish(7s);
  ExpectWhole();
}

// Guards against an answer that is thrown away because the first attempt is silent.
TEST_F(SilenceTest, FinalErrorOfTheSecondAttemptIsDelivered)
{
  repeat_ = RepeatRule::Repeatable;
  timeout_ = 2s;
  ScriptedServer silent([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.WaitClosed(3s);
  });
  ScriptedServer unknown([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(Answer("unknown", "HTTP/1.1 404 Not Found\r\n" + kSigned));
    aPeer.ReadSome(200ms);
  });
  SetUpstreams({ silent.Address(), unknown.Address() });
  Start();
  Finish(4s);
  EXPECT_EQ(answer_->status_, 404U);
  EXPECT_EQ(answer_->body_, "unknown");
}

// Guards against a stream that is not continued because its upstream stopped while the caller did
// not read.
TEST_F(SilenceTest, SilenceAfterASlowCallerIsNoticed)
{
  answer_->unsentBytes_ = std::size_t{ 1 } << 20;
  ScriptedServer stopped([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(kStreamHead + Chunk(kEvent1));
    aPeer.WaitClosed(5s);
  });
  ScriptedServer sound([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    SendSecondEvent(aPeer);
  });
  SetUpstreams({ stopped.Address(), sound.Address() });
  Start();
  boost::asio::steady_timer timer(context_, 1500ms);
  timer.async_wait([this](auto) {
    EXPECT_EQ(fleet_.Upstreams().Find(UpstreamId("u32"))->running_, 0U)
      << "the caller is slow, not the upstream";
    answer_->unsentBytes_ = 0;
    answer_->onSent_();
  });
  Finish(5s);
  ExpectWhole();
}

} // namespace
} // namespace laburnumweir
