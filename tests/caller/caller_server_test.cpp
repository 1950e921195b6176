/** @file caller_server_test.cpp Contract of the callers' server. */
#include "caller/caller_server.h"

#include "core/hash_func.h"
#include "http/header_func.h"
#include "support/net_support.h"

#include <boost/json.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace testing_support;
using testing::_;
using SinkPtr = std::shared_ptr<ResponseSink>;

struct MockRunning : RunningRequest
{
  MOCK_METHOD(void, Cancel, (), (override));
};

struct MockHandler : RequestHandler
{
  MOCK_METHOD(std::shared_ptr<RunningRequest>,
              Start,
              (CallerRequest aRequest, std::shared_ptr<ResponseSink> aSink),
              (override));
};

const std::string kBody = R"({"model":"kite@v3","prompt":"hello","max_tokens":16})";

std::string
Post(const std::string& aBody, const std::string& aFields = "")
{
  return "POST /v1/completions HTTP/1.1\r\nHost: a\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

struct CallerServerTest : testing::Test
{
  void Listen(CallerSettings aSettings = {})
  {
    server_ = std::make_unique<CallerServer>(
      io_.Context(), clock_, aSettings, handler_, [](const CallerRequest&, const SinkPtr& aSink) {
        aSink->Complete(200, { { "Content-Type", "application/json" } }, R"({"data":[]})");
      });
    ASSERT_FALSE(server_->Listen({ "127.0.0.1", 0 }));
  }
  void TearDown() override
  {
    if (server_) {
      server_->Stop();
      EXPECT_TRUE(WaitUntil([this] { return server_->Connections() == 0; }));
      EXPECT_EQ(0U, server_->InFlight());
    }
    io_.Stop();
  }
  Peer Connect() const { return ConnectTo(server_->LocalEndpoint()); }

  SystemClock clock_;
  testing::StrictMock<MockHandler> handler_;
  IoThreads io_;
  std::unique_ptr<CallerServer> server_;
};

/** Guards against fields of a request being lost on the way to the handler. */
TEST_F(CallerServerTest, HandsARequestOver)
{
  Listen();
  CallerRequest request;
  EXPECT_CALL(handler_, Start(_, _)).WillOnce([&](CallerRequest aRequest, const SinkPtr& aSink) {
    request = std::move(aRequest);
    aSink->Complete(200, { { "Content-Type", "application/json" } }, "{}");
    return nullptr;
  });
  auto caller = Connect();
  caller.Send(Post(kBody,
                   "Authorization: Bearer secret-key\r\nX-Request-Id: id-1\r\n"
                   "X-Request-Class: briefing\r\nIdempotency-Key: once\r\n"));
  const auto answer = caller.ReadAnswer();
  ASSERT_TRUE(answer);
  EXPECT_EQ(200U, answer->result_int());
  EXPECT_EQ("{}", answer->body());
  EXPECT_EQ("id-1", (*answer)["x-request-id"]);
  EXPECT_EQ(RequestKind::Completion, request.kind_);
  EXPECT_EQ("kite@v3", request.adapter_.ToString());
  EXPECT_EQ(Sha256Hex("secret-key"), request.keyDigest_.Value());
  EXPECT_EQ("once", request.idempotencyKey_);
  EXPECT_EQ("briefing", request.class_.Value());
  EXPECT_EQ(16, request.maxTokens_);
  EXPECT_GE(request.promptTokens_, 5);
  EXPECT_EQ(kBody, request.body_);
  EXPECT_EQ("", FindField(request.headers_, "authorization"));
}

/** Guards against a streamed answer that is changed or not ended. */
TEST_F(CallerServerTest, StreamsAnAnswer)
{
  Listen();
  EXPECT_CALL(handler_, Start(_, _)).WillOnce([](const CallerRequest&, const SinkPtr& aSink) {
    aSink->Started();
    aSink->Begin(200, { { "Content-Type", "text/event-stream" } });
    aSink->Chunk("data: a\n\n", [aSink] {
      aSink->Chunk("data: [DONE]\n\n", nullptr);
      aSink->End();
    });
    return nullptr;
  });
  auto caller = Connect();
  caller.Send(Post(kBody));
  const auto answer = caller.ReadAnswer();
  ASSERT_TRUE(answer);
  EXPECT_EQ("data: a\n\ndata: [DONE]\n\n", answer->body());
}

} // namespace
} // namespace laburnumweir
