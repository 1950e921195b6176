/** @file service_client_test.cpp Contract of the client for plain services. */
#include "service/service_client.h"

#include "support/upstream_support.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace testing_support;

UpstreamRequest
MakeRequest(const Clock& aClock)
{
  UpstreamRequest request;
  request.id_ = RequestId("req-1");
  request.method_ = "PUT";
  request.target_ = "/bookings/7?x=1";
  request.headers_ = { { "Content-Type", "text/plain" }, { "Authorization", "Bearer secret" } };
  request.body_ = "a body";
  request.deadline_ = aClock.Now() + 3s;
  request.progressTimeout_ = 300ms;
  return request;
}

struct ServiceClientTest : testing::Test
{
  SystemClock clock_;
  IoThreads io_;
  ServiceClient client_{ io_.Context(), clock_ };
  std::shared_ptr<MockUpstreamSink> sink_ = std::make_shared<MockUpstreamSink>();
};

/** Guards against a changed method, path, body or answer, and against a key sent to a service. */
TEST_F(ServiceClientTest, PassesRequestAndAnswerThrough)
{
  std::optional<boost::beast::http::request<boost::beast::http::string_body>> request;
  ScriptedServer server([&request](Peer& aPeer, int) {
    request = aPeer.ReadRequest();
    aPeer.Send("HTTP/1.1 201 Created\r\nX-Kind: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    aPeer.Send(ChunkOf("one ") + ChunkOf("two") + "0\r\n\r\n");
  });
  client_.Send(server.Address(), MakeRequest(clock_), sink_);
  const auto result = sink_->Wait();
  EXPECT_FALSE(result.error_) << result.error_.message();
  EXPECT_EQ(RunState::Ran, result.run_);
  EXPECT_EQ(201, sink_->status_);
  EXPECT_EQ("a", FindField(sink_->headers_, "x-kind"));
  EXPECT_EQ("one two", sink_->body_);
  ASSERT_TRUE(request);
  EXPECT_EQ("PUT", request->method_string());
  EXPECT_EQ("/bookings/7?x=1", request->target());
  EXPECT_EQ("a body", request->body());
  EXPECT_EQ("req-1", (*request)["x-request-id"]);
  EXPECT_EQ("text/plain", (*request)["content-type"]);
  EXPECT_EQ(0U, request->count("authorization"));
}

} // namespace
} // namespace laburnumweir
