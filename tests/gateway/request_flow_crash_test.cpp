/** @file request_flow_crash_test.cpp Tests of RequestFlow with requests that crash their upstreams.
 */
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

// Guards against engines that crash one after the other on requests that share a part of their
// prompt and nothing else.
TEST_F(RequestFlowTest, PromptPartThatCrashesEnginesIsNotSentToFurtherEngines)
{
  constexpr int kRequests = 8;
  constexpr int kMaxCrashes = 5;
  std::atomic<int> crashes = 0;
  ScriptedServer server([&](Peer& aPeer, int) {
    while (const auto request = aPeer.ReadRequest()) {
      const auto prompt = std::string((*request)["X-Prompt-Prefix"]);
      const auto id = std::string((*request)["X-Attempt-Id"]);
      aPeer.Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                 "\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n");
      if (prompt.find("bad:") != std::string::npos) {
        ++crashes;
        aPeer.Close();
        return;
      }
      aPeer.Send(Chunk("id: 1\ndata: a\n\n") + Chunk("id: 2\ndata: b\n\n") + Chunk(""));
    }
  });
  repeat_ = RepeatRule::Stream;
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    // Each crash ends the process of an engine; the next request finds another one at this address.
    startedAt_ = i + 1;
    SetUpstreams({ server.Address() });
    for (const auto* part : { "good", "bad" }) {
      answer_ = std::make_shared<FakeAnswer>();
      id_ = part + std::to_string(i);
      prompt_ = std::string("common:100,") + part + ":50,own" + std::to_string(i) + ":9";
      body_ = id_;
      Start();
      Finish();
      served += answer_->status_ == 200 ? 1 : 0;
    }
    std::this_thread::sleep_for(120ms);
  }
  EXPECT_LE(crashes, kMaxCrashes);
  EXPECT_EQ(served, kRequests);
  EXPECT_EQ(answer_->status_, 503U) << "a request that is refused for its content has not run";
}

} // namespace
} // namespace laburnumweir
