/** @file engine_client_test.cpp Contract of the client for model engines. */
#include "engine/engine_client.h"

#include "support/upstream_support.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace testing_support;

const std::string kId = "X-Request-Id: req-1\r\n";
const std::string kJson = "Content-Type: application/json\r\n";
const std::string kEvents = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
const std::string kGoodBody =
  R"({"model":"kite@v3","choices":[{"text":"ok"}],"usage":{"prompt_tokens":7,"completion_tokens":3}})";
const std::string kEvent = "data: {\"model\":\"kite@v3\",\"choices\":[{\"text\":\"a\"}]}\n\n";
const std::string kDone = "data: [DONE]\n\n";
const std::string kEventHead = "HTTP/1.1 200 OK\r\n" + kId + kEvents + "\r\n";

UpstreamRequest
MakeRequest(const Clock& aClock, bool aStream)
{
  UpstreamRequest request;
  request.id_ = RequestId("req-1");
  request.method_ = "POST";
  request.target_ = "/v1/completions";
  request.headers_ = { { "Content-Type", "application/json" },
                       { "Authorization", "Bearer secret-key" },
                       { "Connection", "X-Private" },
                       { "X-Private", "1" } };
  request.body_ = R"({"model":"kite@v3","prompt":"hi"})";
  request.adapter_ = { "kite", "v3" };
  request.stream_ = aStream;
  request.priority_ = 4;
  request.deadline_ = aClock.Now() + 3s;
  request.progressTimeout_ = 300ms;
  return request;
}

struct EngineClientTest : testing::Test
{
  /** Sends one request to a server that answers with the given bytes and closes. */
  AttemptResult Exchange(const std::string& aAnswer, bool aStream)
  {
    ScriptedServer server([&aAnswer](Peer& aPeer, int) {
      aPeer.ReadRequest();
      aPeer.Send(aAnswer);
    });
    client_.Send(server.Address(), MakeRequest(clock_, aStream), sink_);
    return sink_->Wait();
  }

  SystemClock clock_;
  IoThreads io_;
  EngineRequestClient client_{ io_.Context(), clock_ };
  std::shared_ptr<MockUpstreamSink> sink_ = std::make_shared<MockUpstreamSink>();
};

/** Guards against a good plain answer being refused, or its counts and epoch being lost. */
TEST_F(EngineClientTest, PassesOnAPlainAnswer)
{
  const auto result =
    Exchange(Answer("200 OK", kId + kJson + "X-Engine-Epoch: e7\r\n", kGoodBody), false);
  EXPECT_FALSE(result.error_) << result.error_.message();
  EXPECT_EQ(RunState::Ran, result.run_);
  EXPECT_EQ(200, sink_->status_);
  EXPECT_EQ(kGoodBody, sink_->body_);
  EXPECT_EQ(7, result.promptTokens_);
  EXPECT_EQ(3, result.completionTokens_);
  EXPECT_EQ("e7", result.engineEpoch_);
}

/** Guards against a good event stream being refused or changed. */
TEST_F(EngineClientTest, PassesOnAStream)
{
  const auto result =
    Exchange(kEventHead + ChunkOf(kEvent) + ChunkOf(kEvent + kDone) + "0\r\n\r\n", true);
  EXPECT_FALSE(result.error_) << result.error_.message();
  EXPECT_EQ(RunState::Ran, result.run_);
  EXPECT_EQ(kEvent + kEvent + kDone, sink_->body_);
  EXPECT_EQ(2, result.completionTokens_);
}

} // namespace
} // namespace laburnumweir
