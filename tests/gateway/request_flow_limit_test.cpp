/** @file request_flow_limit_test.cpp Tests of RequestFlow with upstreams that limit their requests.
 */
#include "gateway/request_flow_support.h"

#include <thread>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::Answer;
using testing_support::FakeAnswer;
using testing_support::Peer;
using testing_support::RequestFlowTest;
using testing_support::ScriptedServer;

// Guards against an upstream in need that gets as many requests as before, though it names in its
// answers how many it takes.
TEST_F(RequestFlowTest, UpstreamGetsNoMoreRequestsThanItsLimit)
{
  constexpr int kLimit = 5; // requests/s
  constexpr auto kTime = 2s;
  std::atomic<int> received = 0;
  ScriptedServer server([&](Peer& aPeer, int) {
    while (aPeer.ReadRequest()) {
      ++received;
      aPeer.Send(
        Answer("fine",
               "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: s\r\nServer-Limit: " +
                 std::to_string(kLimit) + ".0\r\n"));
    }
  });
  SetUpstreams({ server.Address() });
  timeout_ = 100ms;
  const auto end = std::chrono::steady_clock::now() + kTime;
  while (std::chrono::steady_clock::now() < end) {
    answer_ = std::make_shared<FakeAnswer>();
    Start();
    Finish();
    EXPECT_TRUE(answer_->status_ == 200 || answer_->status_ == 503) << answer_->status_;
    std::this_thread::sleep_for(10ms);
  }
  // The same bound as for a fleet: one and a half times the limit, and five requests.
  EXPECT_LE(received, kLimit * kTime / 1s * 3 / 2 + 5);
  EXPECT_GE(received, kLimit * kTime / 1s / 2) << "the upstream is left idle";
}

} // namespace
} // namespace laburnumweir
