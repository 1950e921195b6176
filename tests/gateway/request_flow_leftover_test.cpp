/** @file request_flow_leftover_test.cpp Tests of RequestFlow against late copies of refusals and
 * against heads of answers that are cut or broken.
 */
#include "gateway/request_flow_support.h"

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::Answer;
using testing_support::Peer;
using testing_support::RequestFlowTest;
using testing_support::ScriptedServer;

using RepeatedRefusalTest = RequestFlowTest;

// Guards against running a booking twice: an upstream that another one replaced at its address
// refuses the request, and a copy of the refusal arrives while the new one runs it.
TEST_F(RepeatedRefusalTest, CopyDoesNotEndAnAttemptAtANewUpstreamOfTheAddress)
{
  const std::string refusal =
    "HTTP/1.1 421 Wrong\r\nX-Attempt-Id: r1\r\nX-Instance-Id: u9\r\nContent-Length: 0\r\n\r\n";
  std::atomic<int> runs = 0;
  ScriptedServer server([&](Peer& aPeer, int aNumber) {
    aPeer.ReadRequest();
    if (aNumber == 0) {
      aPeer.Send(refusal);
      if (!aPeer.ReadRequest()) {
        return;
      }
      aPeer.Send(refusal);
    }
    ++runs;
    aPeer.Send(Answer("booked"));
    aPeer.WaitClosed(500ms);
  });
  SetUpstreams({ server.Address() });
  Start();
  context_.run_for(50ms);
  context_.restart();
  auto entry = fleet_.Upstreams().Find(UpstreamId("u64"))->entry_;
  entry.id_ = UpstreamId("u9");
  fleet_.Upstreams().OnEntry(entry);
  Finish();
  EXPECT_EQ(answer_->body_, "booked") << answer_->status_;
  EXPECT_EQ(runs, 1);
}

} // namespace
} // namespace laburnumweir
