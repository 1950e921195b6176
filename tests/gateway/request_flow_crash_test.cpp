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

// Guards against messages that no host can read: callers may send any bytes as the id of a part,
// and what was at a crash is passed on.
TEST_F(RequestFlowTest, AnyIdOfAPromptPartThatCrashesEnginesFitsIntoMessages)
{
  std::atomic<int> crashes = 0;
  ScriptedServer server([&](Peer& aPeer, int) {
    while (const auto request = aPeer.ReadRequest()) {
      ++crashes;
      aPeer.Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + std::string((*request)["X-Attempt-Id"]) +
                 "\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n");
      aPeer.Close();
      return;
    }
  });
  repeat_ = RepeatRule::Stream;
  for (int i = 0; i < 6; ++i) {
    startedAt_ = i + 1;
    SetUpstreams({ server.Address() });
    answer_ = std::make_shared<FakeAnswer>();
    id_ = body_ = "r" + std::to_string(i);
    prompt_ = "\xff\xfe:100," + std::string(3000, 'f') + ":50,own" + std::to_string(i) + ":9";
    Start();
    Finish();
    std::this_thread::sleep_for(120ms);
    GossipMessage message;
    message.host_ = { HostId("h1"), { "10.0.0.1", 7600 }, DataCentreId("dc1") };
    message.startedAt_ = message.number_ = 1;
    message.quarantine_ = quarantine_.Report();
    const auto payload = EncodeGossip(message);
    EXPECT_TRUE(DecodeGossip(payload));
    EXPECT_LT(payload.size(), 2000U);
  }
  EXPECT_LE(crashes, 3);
}

// Guards against a host that exceeds its memory by the parts of many prompts: they take several
// times the bytes of the head that lists them.
TEST_F(RequestFlowTest, PartsOfPromptsAreCounted)
{
  constexpr std::size_t kParts = 2000;
  flow_.memory_ = std::make_shared<RequestMemory>();
  ScriptedServer server([](Peer& aPeer, int) { aPeer.ReadRequest(); });
  SetUpstreams({ server.Address() });
  for (std::size_t i = 0; i <= kParts; ++i) {
    prompt_ += (i == 0 ? "" : ",") + std::to_string(i) + ":1";
  }
  Start();
  EXPECT_GE(flow_.memory_->Held(), kParts * sizeof(ContentId));
  Finish();
  EXPECT_EQ(flow_.memory_->Held(), 0U);
}

// Guards against an identical request of a caller that crashes each service it is repeated at.
TEST_F(RequestFlowTest, RepeatedRequestThatCrashesServicesIsNotSentToFurtherOnes)
{
  std::atomic<int> crashes = 0;
  ScriptedServer server([&](Peer& aPeer, int) {
    while (const auto request = aPeer.ReadRequest()) {
      if (request->body() == "deadly") {
        ++crashes;
        aPeer.Close();
        return;
      }
      aPeer.Send(Answer("fine", "HTTP/1.1 200 OK\r\nX-Attempt-Id: sound\r\nX-Server-Stamp: s\r\n"));
    }
  });
  for (int i = 0; i < 6; ++i) {
    startedAt_ = i + 1;
    SetUpstreams({ server.Address() });
    for (const auto* body : { "question", "deadly" }) {
      answer_ = std::make_shared<FakeAnswer>();
      id_ = body == std::string("deadly") ? "r" + std::to_string(i) : "sound";
      body_ = body;
      Start();
      Finish();
      if (id_ == "sound") {
        EXPECT_EQ(answer_->body_, "fine");
      }
    }
    std::this_thread::sleep_for(120ms);
  }
  EXPECT_EQ(crashes, 3);
}

/** An answer with neither a length nor chunks. */
struct UnframedAnswer
{
  std::string body_;
  RepeatRule repeat_ = RepeatRule::Stream;
  bool isComplete_ = false; ///< Whether the caller may take it as complete.
};

class UnframedAnswerTest
  : public RequestFlowTest
  , public testing::WithParamInterface<UnframedAnswer>
{};

// Guards against a stream that was broken off and reaches the caller as a complete success: its end
// is that of the connection.
TEST_P(UnframedAnswerTest, IsCompleteOnlyIfItEndsBetweenEvents)
{
  const auto& answer = GetParam();
  ScriptedServer server([&](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(kGoodHead + std::string("\r\n") + answer.body_);
    aPeer.Close();
  });
  SetUpstreams({ server.Address() });
  repeat_ = answer.repeat_;
  SetUpstreams({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->isComplete_ && answer_->status_ == 200, answer.isComplete_);
  if (answer.isComplete_) {
    EXPECT_EQ(answer_->body_, answer.body_);
  }
}

INSTANTIATE_TEST_SUITE_P(
  All,
  UnframedAnswerTest,
  testing::Values(
    UnframedAnswer{ "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", RepeatRule::Stream, true },
    UnframedAnswer{ "id: 1\ndata: a\n\nid: 2\nda", RepeatRule::Stream, false },
    UnframedAnswer{ "id: 1\nda", RepeatRule::Stream, false },
    UnframedAnswer{ "", RepeatRule::Stream, false },
    UnframedAnswer{ ": comment\n\n", RepeatRule::Stream, false },
    UnframedAnswer{ "booked", RepeatRule::Once, true }));

} // namespace
} // namespace laburnumweir
