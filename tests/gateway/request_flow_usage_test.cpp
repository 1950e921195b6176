/** @file request_flow_usage_test.cpp Tests of which attempts of RequestFlow count as begun. */
#include "gateway/request_flow_support.h"

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::Answer;
using testing_support::Chunk;
using testing_support::Peer;
using testing_support::RequestFlowTest;
using testing_support::ScriptedServer;

const std::string kSigned = "X-Attempt-Id: r1\r\nX-Server-Stamp: s\r\n";
const std::string kStreamHead = "HTTP/1.1 200 OK\r\n" + kSigned +
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";

class RequestFlowUsageTest : public RequestFlowTest
{
protected:
  RequestFlowUsageTest()
  {
    hasKey_ = true;
    flow_.onBegun_ = [this](const WorkspaceId& aWorkspace) {
      EXPECT_EQ(aWorkspace, WorkspaceId("w"));
      ++begun_;
    };
  }
  /** @return the requests that were counted when the upstreams answered with these texts. */
  int CountOf(const std::string& aFirst, const std::string& aSecond)
  {
    ScriptedServer first([&](Peer& aPeer, int) {
      aPeer.ReadRequest();
      aPeer.Send(aFirst);
      aPeer.Close();
    });
    ScriptedServer second([&](Peer& aPeer, int) {
      aPeer.ReadRequest();
      aPeer.Send(aSecond);
      aPeer.ReadSome(100ms);
    });
    SetUpstreams({ first.Address(), second.Address() });
    Start();
    Finish();
    return begun_;
  }

  int begun_ = 0;
};

// Guards against a continued stream that counts once although it ran at two upstreams.
TEST_F(RequestFlowUsageTest, StreamCountsAtEachUpstreamWithItsFirstEvent)
{
  repeat_ = RepeatRule::Stream;
  isResumable_ = true;
  EXPECT_EQ(
    CountOf(kStreamHead + Chunk("id: 1\ndata: a\n\n"),
            kStreamHead + Chunk("id: 2\ndata: b\n\n") + Chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n"),
    2);
}

// Guards against a stream that counts although no token was generated.
TEST_F(RequestFlowUsageTest, StreamWithoutAnEventDoesNotCount)
{
  repeat_ = RepeatRule::Stream;
  isResumable_ = true;
  EXPECT_EQ(CountOf(kStreamHead, kStreamHead + Chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"), 1);
}

// Guards against refusals that count, and errors of requests that ran that do not.
TEST_F(RequestFlowUsageTest, ErrorCountsAndRefusalDoesNot)
{
  repeat_ = RepeatRule::Repeatable;
  EXPECT_EQ(
    CountOf("HTTP/1.1 503 X\r\n" + kSigned + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 404 X\r\n" + kSigned + "Content-Length: 1\r\n\r\nx"),
    1);
}

// Guards against answers that no upstream signed.
TEST_F(RequestFlowUsageTest, UnsignedAnswerDoesNotCount)
{
  repeat_ = RepeatRule::Repeatable;
  EXPECT_EQ(CountOf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
                    "HTTP/1.1 200 OK\r\n" + kSigned + "Content-Length: 1\r\n\r\nx"),
            1);
}

} // namespace
} // namespace laburnumweir
