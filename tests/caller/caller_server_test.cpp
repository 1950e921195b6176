/** @file caller_server_test.cpp Contract of the callers' server: requests and answers. */
#include "caller_support.h"

#include "core/hash_func.h"

namespace laburnumweir {
namespace {

using namespace testing_support;
using testing::HasSubstr;
using testing::Not;

/** Guards against fields of a request being lost on the way to the handler. */
TEST_F(CallerServerTest, HandsARequestOver)
{
  Listen();
  CallerRequest request;
  EXPECT_CALL(handler_, Start).WillOnce([&](CallerRequest aRequest, const SinkPtr& aSink) {
    request = std::move(aRequest);
    aSink->Complete(200, kJsonFields, "{}");
    return nullptr;
  });
  auto caller = Connect();
  caller.Send(Post(kBody,
                   "Authorization: Bearer secret-key\r\nX-Request-Id: id-1\r\nX-Other: 1\r\n"
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
  EXPECT_EQ("1", FindField(request.headers_, "x-other"));
  EXPECT_EQ(kBody, request.body_);
  EXPECT_GT(request.deadline_, clock_.Now());
}

/** Guards against the key, other secrets or hop-by-hop fields being passed on. */
TEST_F(CallerServerTest, PassesNoSecretOn)
{
  Listen();
  HoldSinks();
  auto caller = Connect();
  caller.Send(Post(kBody,
                   "Authorization: bearer secret-key\r\nCookie: a=secret-key\r\nX-Api-Key: b\r\n"
                   "X-Copy: the secret-key again\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
                   "TE: trailers\r\nX-Priority: 0\r\nProxy-Authorization: c\r\n"));
  const auto sink = TakeSink(0);
  ASSERT_TRUE(sink);
  for (const auto& [name, value] : requests_[0].headers_) {
    EXPECT_THAT(value, Not(HasSubstr("secret-key"))) << name;
    EXPECT_THAT(ToLower(name), testing::AnyOf("content-type", "accept"))
      << "unexpected field " << name;
  }
  sink->Complete(200, kJsonFields, "{}");
  EXPECT_TRUE(caller.ReadAnswer());
}

/** Guards against a streamed answer that is changed or not ended. */
TEST_F(CallerServerTest, StreamsAnAnswer)
{
  Listen();
  EXPECT_CALL(handler_, Start)
    .Times(2)
    .WillRepeatedly([](const CallerRequest&, const SinkPtr& aSink) {
      aSink->Started();
      aSink->Begin(200, kEventFields);
      aSink->Chunk("data: a\n\n", [aSink] {
        aSink->Chunk("data: [DONE]\n\n", nullptr);
        aSink->End();
      });
      return nullptr;
    });
  auto caller = Connect();
  for (int i = 0; i < 2; ++i) {
    caller.Send(Post());
    const auto answer = caller.ReadAnswer();
    ASSERT_TRUE(answer);
    EXPECT_EQ("data: a\n\ndata: [DONE]\n\n", answer->body());
    EXPECT_TRUE(answer->chunked());
  }
}

/** Guards against chunks being sent to a caller of HTTP/1.0, who does not know them. */
TEST_F(CallerServerTest, StreamsToHttp10UntilTheEnd)
{
  Listen();
  EXPECT_CALL(handler_, Start).WillOnce([](const CallerRequest&, const SinkPtr& aSink) {
    aSink->Begin(200, kEventFields);
    aSink->Chunk("data: a\n\n", nullptr);
    aSink->End();
    return nullptr;
  });
  auto caller = Connect();
  caller.Send("POST /v1/completions HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: " +
              std::to_string(kBody.size()) + "\r\n\r\n" + kBody);
  const auto answer = caller.ReadAnswer();
  ASSERT_TRUE(answer);
  EXPECT_FALSE(answer->chunked());
  EXPECT_EQ("data: a\n\n", answer->body());
}

/** Guards against an answer that looks complete to an HTTP/1.0 caller although it was broken off: a
 * close in order is the end of its body, so only a reset shows that the rest is missing. */
TEST_F(CallerServerTest, CutAnswerToHttp10EndsInAReset)
{
  Listen();
  EXPECT_CALL(handler_, Start).WillOnce([](const CallerRequest&, const SinkPtr& aSink) {
    aSink->Begin(200, {});
    aSink->Chunk("part", [aSink] {
      aSink->Fail({ 502, "upstream_failed", "cut", RunState::Unknown, {} });
    });
    return nullptr;
  });
  auto caller = Connect();
  caller.Send("GET /x HTTP/1.0\r\n\r\n");
  while (caller.ReadSome(1s)) {
  }
  EXPECT_TRUE(caller.WasReset());
}

/** Guards against a service's answer with a known length being sent in another frame, and against
 * an answer to HEAD that has a body. */
TEST_F(CallerServerTest, KeepsAnAnnouncedLength)
{
  Listen();
  EXPECT_CALL(handler_, Start)
    .Times(2)
    .WillRepeatedly([](const CallerRequest& aRequest, const SinkPtr& aSink) {
      EXPECT_EQ(RequestKind::Service, aRequest.kind_);
      aSink->Begin(200, { { "Content-Length", "4" } });
      if (aRequest.method_ == "GET") {
        aSink->Chunk("ab", nullptr);
        aSink->Chunk("cd", nullptr);
      }
      aSink->End();
      return nullptr;
    });
  auto caller = Connect();
  caller.Send("HEAD /x HTTP/1.1\r\n\r\nGET /x HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(caller.ReadUntil("abcd"));
  EXPECT_THAT(caller.Input(), Not(HasSubstr("chunked")));
  const auto first = caller.Input().find("\r\n\r\n");
  EXPECT_EQ(first + 4, caller.Input().find("HTTP/1.1 200", 1));
}

/** Guards against a body that differs from its announced length and shifts the next answer. */
TEST_F(CallerServerTest, CutsABodyThatDiffersFromItsLength)
{
  Listen();
  EXPECT_CALL(handler_, Start)
    .Times(2)
    .WillRepeatedly([](const CallerRequest& aRequest, const SinkPtr& aSink) {
      aSink->Begin(200, { { "Content-Length", "4" } });
      aSink->Chunk(aRequest.target_ == "/short" ? "ab" : "abcdef", nullptr);
      aSink->End();
      return nullptr;
    });
  for (const std::string target : { "/short", "/long" }) {
    auto caller = Connect();
    caller.Send("GET " + target + " HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(caller.WaitClosed()) << target;
    EXPECT_THAT(caller.Input(), Not(HasSubstr("abcdef")));
  }
}

/** Guards against an error answer without status, run marker, identifier or time to wait. */
TEST_F(CallerServerTest, TellsAnError)
{
  Listen();
  EXPECT_CALL(handler_, Start)
    .WillOnce([](const CallerRequest&, const SinkPtr& aSink) {
      aSink->Fail(
        { 429, "rate_limited", "too \"fast\"", RunState::NotRun, std::chrono::seconds(3) });
      return nullptr;
    })
    .WillOnce([](const CallerRequest&, const SinkPtr& aSink) {
      aSink->Fail({ 504, "timeout", "late", RunState::Unknown, {} });
      return nullptr;
    });
  auto caller = Connect();
  caller.Send(Post(kBody, "X-Request-Id: id-1\r\n"));
  auto answer = caller.ReadAnswer();
  ASSERT_TRUE(answer);
  EXPECT_EQ(429U, answer->result_int());
  EXPECT_EQ("3", (*answer)["retry-after"]);
  EXPECT_EQ("application/json", (*answer)["content-type"]);
  EXPECT_EQ("not_run", ErrorMember(answer->body(), "run"));
  EXPECT_EQ("rate_limited", ErrorMember(answer->body(), "code"));
  EXPECT_EQ("too \"fast\"", ErrorMember(answer->body(), "message"));
  EXPECT_EQ("rate_limit_error", ErrorMember(answer->body(), "type"));
  EXPECT_EQ("id-1", ErrorMember(answer->body(), "request_id"));
  caller.Send(Post());
  answer = caller.ReadAnswer();
  ASSERT_TRUE(answer);
  EXPECT_EQ(504U, answer->result_int());
  EXPECT_EQ("unknown", ErrorMember(answer->body(), "run"));
}

/** Guards against a stream that failed looking complete to the caller. */
TEST_F(CallerServerTest, FailureAfterTheStartOfAStreamIsVisible)
{
  Listen();
  EXPECT_CALL(handler_, Start).WillOnce([](const CallerRequest&, const SinkPtr& aSink) {
    aSink->Begin(200, kEventFields);
    aSink->Chunk("data: a\n\n", nullptr);
    aSink->Fail({ 502, "upstream_lost", "lost", RunState::Unknown, {} });
    return nullptr;
  });
  auto caller = Connect();
  caller.Send(Post());
  EXPECT_TRUE(caller.WaitClosed());
  EXPECT_THAT(caller.Input(), HasSubstr("data: a\n\n"));
  EXPECT_THAT(caller.Input(), HasSubstr("event: error\ndata: {\"error\":{"));
  EXPECT_THAT(caller.Input(), HasSubstr("\"run\":\"unknown\""));
  EXPECT_THAT(caller.Input(), Not(HasSubstr("[DONE]")));
  EXPECT_FALSE(caller.Input().ends_with("0\r\n\r\n"));
}

/** Guards against a second final answer being sent, which the caller would take for the answer to
 * its next request. */
TEST_F(CallerServerTest, SendsExactlyOneFinalAnswer)
{
  Listen();
  HoldSinks();
  auto caller = Connect();
  for (std::size_t i = 0; i < 50; ++i) {
    caller.Send(Post());
    const auto sink = TakeSink(i);
    ASSERT_TRUE(sink);
    std::thread other([&sink] {
      sink->Fail({ 500, "b", "b", RunState::Unknown, {} });
      sink->Complete(201, {}, "second");
    });
    sink->Complete(200, {}, "first");
    sink->Begin(202, {});
    sink->Chunk("third", nullptr);
    sink->End();
    other.join();
    const auto answer = caller.ReadAnswer();
    ASSERT_TRUE(answer);
    EXPECT_THAT(answer->result_int(), testing::AnyOf(200, 201, 202, 500));
  }
  EXPECT_FALSE(caller.ReadSome(50ms));
  EXPECT_EQ("", caller.Input());
}

/** Guards against a caller that waits for ever because the handler lost its request. */
TEST_F(CallerServerTest, AnswersADroppedRequest)
{
  Listen();
  EXPECT_CALL(handler_, Start).WillOnce([](const CallerRequest&, const SinkPtr&) {
    return nullptr;
  });
  auto caller = Connect();
  caller.Send(Post());
  const auto answer = caller.ReadAnswer();
  ASSERT_TRUE(answer);
  EXPECT_EQ(500U, answer->result_int());
  EXPECT_EQ("unknown", ErrorMember(answer->body(), "run"));
}

/** Guards against pipelined requests being served at once or out of order. */
TEST_F(CallerServerTest, ServesPipelinedRequestsOneAtATime)
{
  Listen();
  HoldSinks();
  auto caller = Connect();
  std::string bytes;
  for (int i = 0; i < 5; ++i) {
    bytes += Post(kBody, "X-Request-Id: id-" + std::to_string(i) + "\r\n");
  }
  caller.Send(bytes.substr(0, bytes.size() - 7));
  std::this_thread::sleep_for(20ms);
  caller.Send(bytes.substr(bytes.size() - 7));
  for (std::size_t i = 0; i < 5; ++i) {
    const auto sink = TakeSink(i);
    ASSERT_TRUE(sink);
    std::this_thread::sleep_for(10ms);
    EXPECT_EQ(i + 1, Started());
    sink->Complete(200, {}, std::to_string(i));
    const auto answer = caller.ReadAnswer();
    ASSERT_TRUE(answer);
    EXPECT_EQ(std::to_string(i), answer->body());
    EXPECT_EQ("id-" + std::to_string(i), (*answer)["x-request-id"]);
  }
}

/** Guards against bytes that arrive while the request before is answered being mixed up. */
TEST_F(CallerServerTest, PipelinedBytesInAnyPieces)
{
  Listen();
  AnswerAtOnce();
  auto caller = Connect();
  constexpr int kRequests = 300;
  std::string bytes;
  for (int i = 0; i < kRequests; ++i) {
    const auto body =
      R"({"model":"a@b","prompt":")" + std::string(static_cast<std::size_t>(i * 7), 'x') + "\"}";
    bytes += Post(body, "X-Request-Id: id-" + std::to_string(i) + "\r\n");
  }
  std::thread writer([&] {
    std::size_t piece = 1;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
      piece = piece * 5 % 4093 + 1;
      caller.Send(std::string_view(bytes).substr(at, piece));
    }
  });
  for (int i = 0; i < kRequests; ++i) {
    const auto answer = caller.ReadAnswer();
    EXPECT_TRUE(answer);
    if (!answer) {
      break;
    }
    EXPECT_EQ("\"id-" + std::to_string(i) + "\"", answer->body());
  }
  writer.join();
}

/** Guards against work going on for a caller that went away. */
TEST_F(CallerServerTest, DisconnectCancels)
{
  Listen();
  HoldSinks();
  std::atomic<int> cancels = 0;
  EXPECT_CALL(*running_, Cancel).Times(3).WillRepeatedly([&cancels] { ++cancels; });
  {
    auto caller = Connect();
    caller.Send(Post());
    const auto sink = TakeSink(0);
    caller.Close();
    EXPECT_TRUE(WaitUntil([&cancels] { return cancels == 1; }));
    sink->Complete(200, {}, "late");
  }
  {
    auto caller = Connect();
    caller.Send(Post() + Post());
    const auto sink = TakeSink(1);
    caller.Close();
    EXPECT_TRUE(WaitUntil([&cancels] { return cancels == 2; }));
  }
  {
    auto caller = Connect();
    caller.Send(Post());
    const auto sink = TakeSink(2);
    sink->Begin(200, kEventFields);
    sink->Chunk("data: a\n\n", nullptr);
    ASSERT_TRUE(caller.ReadUntil("data: a"));
    caller.Reset();
    EXPECT_TRUE(WaitUntil([&cancels] { return cancels == 3; }));
    sink->Chunk("data: b\n\n", nullptr);
    sink->End();
  }
}

/** Guards against an identifier that is unsafe in logs and paths, and against none at all. */
TEST_F(CallerServerTest, ReplacesAnInvalidRequestId)
{
  Listen();
  AnswerAtOnce();
  auto caller = Connect();
  for (const std::string field : { "", "X-Request-Id: a b\r\n", "X-Request-Id: ../x\r\n" }) {
    caller.Send(Post(kBody, field));
    const auto answer = caller.ReadAnswer();
    ASSERT_TRUE(answer);
    EXPECT_EQ(32U, (*answer)["x-request-id"].size());
  }
}

/** Guards against the list of models being sent to the handler. */
TEST_F(CallerServerTest, ListsModels)
{
  Listen();
  auto caller = Connect();
  caller.Send("GET /v1/models HTTP/1.1\r\n\r\n");
  const auto answer = caller.ReadAnswer();
  ASSERT_TRUE(answer);
  EXPECT_EQ(R"({"data":[]})", answer->body());
}

/** Guards against a caller that waits for permission to send its body. */
TEST_F(CallerServerTest, AnswersExpectContinue)
{
  Listen();
  AnswerAtOnce();
  auto caller = Connect();
  const auto request = Post(kBody, "Expect: 100-continue\r\n");
  const auto head = request.size() - kBody.size();
  caller.Send(request.substr(0, head));
  ASSERT_TRUE(caller.ReadUntil("HTTP/1.1 100 Continue\r\n\r\n"));
  caller.Input().clear();
  caller.Send(kBody);
  const auto answer = caller.ReadAnswer();
  ASSERT_TRUE(answer);
  EXPECT_EQ(200U, answer->result_int());
}

/** Guards against a drain that cuts requests off, refuses new ones, or leaves connections open. */
TEST_F(CallerServerTest, DrainServesAndClosesConnections)
{
  Listen();
  HoldSinks();
  auto busy = Connect();
  busy.Send(Post());
  const auto sink = TakeSink(0);
  auto idle = Connect();
  EXPECT_TRUE(WaitUntil([this] { return server_->Connections() == 2; }));
  EXPECT_EQ(1U, server_->InFlight());
  server_->StartDrain();
  sink->Complete(200, {}, "one");
  auto answer = busy.ReadAnswer();
  ASSERT_TRUE(answer);
  EXPECT_EQ("close", (*answer)["connection"]);
  EXPECT_TRUE(busy.WaitClosed());
  idle.Send(Post());
  const auto second = TakeSink(1);
  EXPECT_EQ(1U, server_->InFlight());
  second->Complete(200, {}, "two");
  answer = idle.ReadAnswer();
  ASSERT_TRUE(answer);
  EXPECT_EQ("two", answer->body());
  EXPECT_EQ("close", (*answer)["connection"]);
  auto late = Connect();
  late.Send(Post());
  const auto third = TakeSink(2);
  third->Complete(200, {}, "three");
  EXPECT_TRUE(late.ReadAnswer());
  EXPECT_TRUE(WaitUntil([this] { return server_->InFlight() == 0; }));
}

/** Guards against requests that outlive the server. */
TEST_F(CallerServerTest, StopCancelsAndCloses)
{
  Listen();
  HoldSinks();
  EXPECT_CALL(*running_, Cancel).Times(1);
  auto caller = Connect();
  caller.Send(Post());
  const auto sink = TakeSink(0);
  server_->Stop();
  EXPECT_TRUE(caller.WaitClosed());
  sink->Complete(200, {}, "late");
  boost::system::error_code error;
  boost::asio::io_context context;
  tcp::socket socket(context);
  const auto address = server_->LocalEndpoint();
  socket.connect({ boost::asio::ip::make_address(address.address_), address.port_ }, error);
  EXPECT_EQ(boost::asio::error::connection_refused, error);
}

/** Guards against an address in use being taken for success. */
TEST_F(CallerServerTest, ReportsThatItCannotListen)
{
  Listen();
  CallerServer other(io_.Context(), clock_, {}, handler_, nullptr);
  EXPECT_EQ(std::errc::address_in_use, other.Listen(server_->LocalEndpoint()));
}

} // namespace
} // namespace laburnumweir
