/** @file service_client_test.cpp Contract of the client for plain services. */
#include "service/service_client.h"

#include "support/answer_support.h"
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
  request.deadline_ = aClock.Now() + 8s;
  request.progressTimeout_ = kTestTimeout;
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

struct FaultCase
{
  std::string name_;                 ///< Name of the test.
  std::string answer_;               ///< What the service sends before it closes the connection.
  UpstreamError error_;              ///< Error that must be reported.
  RunState run_ = RunState::Unknown; ///< Run state that must be reported.
  std::string body_ = {};            ///< Bytes that may have been passed on.
};

void
PrintTo(const FaultCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.name_;
}

std::vector<FaultCase>
FaultCases()
{
  using enum UpstreamError;
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string notRun = "X-Run: not_run\r\n";
  return {
    { "AnotherRequestsAnswer", Answer("200 OK", "X-Request-Id: req-2\r\n", "x"), WrongAnswer },
    { "TruncatedBody",
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
      Truncated,
      RunState::Unknown,
      "abc" },
    { "ChunksWithoutEnd", chunked + ChunkOf("abc"), Truncated, RunState::Unknown, "abc" },
    { "BodyWithoutLength", "HTTP/1.1 200 OK\r\n\r\nabc", InvalidAnswer },
    { "NoAnswer", "", ConnectionLost },
    { "InvalidHttp", "hello\r\n\r\n", InvalidAnswer },
    { "CutStatusLine", "HTTP/1.1 200 O", Truncated },
    { "CutField", "HTTP/1.1 200 OK\r\nContent-Length: 1", Truncated },
    { "CutBeforeTheEmptyLine", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", Truncated },
    { "LoneLf", "HTTP/1.1 200 OK\nContent-Length: 1\n\nb", InvalidAnswer },
    { "NulInTheHead",
      "HTTP/1.1 200 OK\r\n" + std::string("X-A: \0\r\n", 8) + "Content-Length: 0\r\n\r\n",
      InvalidAnswer },
    { "LargeHead",
      "HTTP/1.1 200 OK\r\nX-A: " + std::string(40000, 'a') + "\r\nContent-Length: 0\r\n\r\n",
      InvalidAnswer },
    { "AnotherAnswerInAField",
      "HTTP/1.1 200 OK\r\nX-A: bHTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
      InvalidAnswer },
    { "Refusal", Answer("409 Conflict", notRun, "no"), RefusedNotRun, RunState::NotRun },
    { "Overload", Answer("503 Busy", notRun, "no"), Overloaded, RunState::NotRun },
    { "RefusalOfAnotherRequest",
      Answer("503 Busy", notRun + "X-Request-Id: req-2\r\n", ""),
      WrongAnswer },
    { "MarkerOnASuccess", Answer("200 OK", notRun, "x"), InvalidAnswer },
    { "LongTrailerField",
      chunked + ChunkOf("abc") + "0\r\nX: " + std::string(65534, 'x') + "\r\n\r\n",
      InvalidAnswer,
      RunState::Unknown,
      "abc" },
    { "ChunkSizeWithoutEnd",
      chunked + ChunkOf("abc") + std::string(200000, '0'),
      InvalidAnswer,
      RunState::Unknown,
      "abc" },
  };
}

struct ServiceFaultTest
  : ServiceClientTest
  , testing::WithParamInterface<FaultCase>
{};

/** Guards against a faulty answer that counts as complete, and against a wrong statement on whether
 * a request ran that may not be repeated. */
TEST_P(ServiceFaultTest, IsReported)
{
  const auto& fault = GetParam();
  std::atomic<int> requests = 0;
  ScriptedServer server([&](Peer& aPeer, int) {
    if (aPeer.ReadRequest()) {
      ++requests;
      aPeer.Send(fault.answer_);
    }
  });
  client_.Send(server.Address(), MakeRequest(clock_), sink_);
  const auto result = sink_->Wait();
  EXPECT_EQ(make_error_code(fault.error_), result.error_) << result.error_.message();
  EXPECT_EQ(fault.run_, result.run_);
  EXPECT_TRUE(fault.body_.starts_with(sink_->body_)) << sink_->body_;
  EXPECT_EQ(1, requests);
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         ServiceFaultTest,
                         testing::ValuesIn(FaultCases()),
                         [](const auto& aInfo) { return aInfo.param.name_; });

struct ServiceHeadTest
  : ServiceClientTest
  , testing::WithParamInterface<HeadCase>
{
  AttemptResult Exchange()
  {
    ScriptedServer server([](Peer& aPeer, int) {
      aPeer.ReadRequest();
      aPeer.Send(GetParam().Answer("X-B: 1\r\n", "body"));
    });
    client_.Send(server.Address(), MakeRequest(clock_), sink_);
    return sink_->Wait();
  }
};

struct ServiceInvalidHeadTest : ServiceHeadTest
{};

/** Guards against a broken answer of a service that reaches the caller. */
TEST_P(ServiceInvalidHeadTest, IsNoAnswer)
{
  EXPECT_EQ(make_error_code(UpstreamError::InvalidAnswer), Exchange().error_);
  EXPECT_EQ(0, sink_->status_);
}

INSTANTIATE_TEST_SUITE_P(StatusLines,
                         ServiceInvalidHeadTest,
                         testing::ValuesIn(InvalidStatusLines()),
                         [](const auto& aInfo) { return aInfo.param.name_; });

INSTANTIATE_TEST_SUITE_P(Fields,
                         ServiceInvalidHeadTest,
                         testing::ValuesIn(InvalidFields()),
                         [](const auto& aInfo) { return aInfo.param.name_; });

struct ServiceUnusualHeadTest : ServiceHeadTest
{};

/** Guards against a sound answer that is refused for its unusual head. */
TEST_P(ServiceUnusualHeadTest, IsPassedOn)
{
  EXPECT_FALSE(Exchange().error_);
  EXPECT_EQ("body", sink_->body_);
}

INSTANTIATE_TEST_SUITE_P(All,
                         ServiceUnusualHeadTest,
                         testing::ValuesIn(UnusualHeads()),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/** Guards against a booking that runs twice: a copy of an earlier refusal without an id arrives on
 * a kept connection, after the next request was received. */
TEST_F(ServiceClientTest, RefusalWithoutAnIdOnAKeptConnectionProvesNothing)
{
  for (const std::string status : { "503 Busy", "429 Busy", "409 Conflict", "408 Slow" }) {
    for (const bool isLate : { false, true }) {
      const auto refusal = Answer(status, "X-Run: not_run\r\n", "no");
      std::atomic<int> runs = 0;
      std::atomic<int> ended = 0;
      ScriptedServer server([&](Peer& aPeer, int aNumber) {
        aPeer.ReadRequest();
        aPeer.Send(Answer("200 OK", "", "first") + (aNumber == 0 && !isLate ? refusal : ""));
        if (aPeer.ReadRequest()) {
          ++runs;
          aPeer.Send(refusal);
        }
        ++ended;
      });
      {
        ServiceClient client(io_.Context(), clock_);
        for (int i = 0; i < 2; ++i) {
          auto sink = std::make_shared<MockUpstreamSink>();
          client.Send(server.Address(), MakeRequest(clock_), sink);
          const auto result = sink->Wait();
          EXPECT_TRUE(i == 1 || !result.error_) << result.error_.message();
          EXPECT_NE(RunState::NotRun, result.run_) << status;
        }
      }
      // The client's end closes its connections, so that no request is counted after the check.
      EXPECT_TRUE(WaitUntil([&] { return ended == (isLate ? 1 : 2); })) << ended;
      EXPECT_EQ(isLate ? 1 : 0, runs);
    }
  }
  client_.Send(RefusingEndpoint(), MakeRequest(clock_), sink_);
  EXPECT_EQ(RunState::NotRun, sink_->Wait().run_);
}

/** Guards against answers without a body being taken for endless ones. */
TEST_F(ServiceClientTest, AnswersWithoutABody)
{
  ScriptedServer server([](Peer& aPeer, int) {
    while (const auto request = aPeer.ReadRequest()) {
      aPeer.Send(request->method_string() == "HEAD"
                   ? "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n"
                   : "HTTP/1.1 204 No Content\r\n\r\n");
    }
  });
  for (const std::string method : { "HEAD", "DELETE", "HEAD" }) {
    auto sink = std::make_shared<MockUpstreamSink>();
    auto request = MakeRequest(clock_);
    request.method_ = method;
    request.body_.clear();
    client_.Send(server.Address(), request, sink);
    EXPECT_FALSE(sink->Wait().error_);
    EXPECT_EQ(method == "HEAD" ? "77" : "", FindField(sink->headers_, "content-length"));
  }
  EXPECT_EQ(1, server.Accepted());
  client_.Send(server.Address(), MakeRequest(clock_), sink_);
  EXPECT_FALSE(sink_->Wait().error_);
}

/** Guards against a server error of a service being hidden from its caller. */
TEST_F(ServiceClientTest, PassesOnAServerError)
{
  ScriptedServer server([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(Answer("500 Oops", "", "why"));
  });
  client_.Send(server.Address(), MakeRequest(clock_), sink_);
  const auto result = sink_->Wait();
  EXPECT_FALSE(result.error_);
  EXPECT_EQ(RunState::Ran, result.run_);
  EXPECT_EQ(500, sink_->status_);
  EXPECT_EQ("why", sink_->body_);
}

/** Guards against a large answer being refused or buffered: 64 MB must pass in small parts. */
TEST_F(ServiceClientTest, StreamsALargeBody)
{
  constexpr std::size_t kPart = std::size_t{ 1 } << 20;
  ScriptedServer server([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(64 * kPart) + "\r\n\r\n");
    const std::string part(kPart, 'x');
    for (int i = 0; i < 64; ++i) {
      aPeer.Send(part);
    }
  });
  std::size_t size = 0;
  std::size_t largest = 0;
  ON_CALL(*sink_, OnData(testing::_, testing::_))
    .WillByDefault([&](const std::string& aBytes, const std::function<void()>& aContinue) {
      size += aBytes.size();
      largest = std::max(largest, aBytes.size());
      aContinue();
    });
  client_.Send(server.Address(), MakeRequest(clock_), sink_);
  EXPECT_FALSE(sink_->Wait().error_);
  EXPECT_EQ(64 * kPart, size);
  EXPECT_LE(largest, std::size_t{ 256 } << 10);
}

/** Sends a request whose body no socket buffer holds to a service that answers before it reads the
 * body. */
struct EarlyAnswerTest : ServiceClientTest
{
  EarlyAnswerTest()
  {
    request_.body_ = std::string(std::size_t{ 64 } << 20, 'x');
    ON_CALL(*sink_, OnData(testing::_, testing::_)).WillByDefault([this](auto&&...) {
      isPassedOn_ = true;
    });
  }

  UpstreamRequest request_ = MakeRequest(clock_);
  std::atomic<bool> isPassedOn_ = false; ///< The client has read the answer.
};

/** Guards against a connection that is not used again because the answer was read before the end of
 * the write. */
TEST_F(EarlyAnswerTest, KeepsTheConnectionIfTheBodyIsReadSoon)
{
  ScriptedServer server([this](Peer& aPeer, int) {
    aPeer.ReadUntil("\r\n\r\n");
    aPeer.Send(Answer("200 OK", "", "early"));
    WaitUntil([this] { return isPassedOn_.load(); });
    if (aPeer.ReadRequest() && aPeer.ReadRequest()) {
      aPeer.Send(Answer("200 OK", "", "second"));
    }
  });
  ExchangeSettings settings;
  settings.maxWriteDelay_ = kTestTimeout;
  ServiceClient client(io_.Context(), clock_, settings);
  client.Send(server.Address(), request_, sink_);
  EXPECT_FALSE(sink_->Wait().error_);
  auto second = std::make_shared<MockUpstreamSink>();
  client.Send(server.Address(), MakeRequest(clock_), second);
  EXPECT_FALSE(second->Wait().error_);
  EXPECT_EQ("second", second->body_);
  EXPECT_EQ(1, server.Accepted());
}

/** Guards against an answer that is held back until a service reads the rest of the body. */
TEST_F(EarlyAnswerTest, EndsThoughTheBodyIsNeverRead)
{
  std::atomic<bool> isEnded = false;
  ScriptedServer server([&](Peer& aPeer, int) {
    aPeer.ReadUntil("\r\n\r\n");
    aPeer.Send(Answer("200 OK", "", "early"));
    WaitUntil([&isEnded] { return isEnded.load(); });
  });
  const auto start = std::chrono::steady_clock::now();
  client_.Send(server.Address(), request_, sink_);
  const auto result = sink_->Wait();
  isEnded = true;
  EXPECT_FALSE(result.error_) << result.error_.message();
  EXPECT_EQ(RunState::Ran, result.run_);
  EXPECT_LT(std::chrono::steady_clock::now() - start, kTestTimeout);
}

/** Guards against a part of a body without a length that counts as a whole one since the connection
 * is reset while the request is written. */
TEST_F(EarlyAnswerTest, ResetAfterAPartIsNoAnswer)
{
  ScriptedServer server([](Peer& aPeer, int) {
    aPeer.ReadUntil("\r\n\r\n");
    aPeer.Send("HTTP/1.1 200 OK\r\n\r\npart");
    std::this_thread::sleep_for(50ms);
    aPeer.Reset();
  });
  client_.Send(server.Address(), request_, sink_);
  const auto result = sink_->Wait();
  EXPECT_TRUE(result.error_);
  EXPECT_EQ(RunState::Unknown, result.run_);
  EXPECT_EQ(0, sink_->status_);
}

/** Guards against a refused connection counting as sent: a booking could not be tried elsewhere. */
TEST_F(ServiceClientTest, RefusedConnectionIsNotRun)
{
  client_.Send(RefusingEndpoint(), MakeRequest(clock_), sink_);
  const auto result = sink_->Wait();
  EXPECT_EQ(UpstreamError::ConnectFailed, result.error_);
  EXPECT_EQ(RunState::NotRun, result.run_);
}

/** Guards against a cancelled attempt that keeps its connection, or counts as not run. */
TEST_F(ServiceClientTest, CancelClosesTheConnection)
{
  std::atomic<bool> isRead = false;
  std::atomic<bool> isClosed = false;
  ScriptedServer server([&](Peer& aPeer, int) {
    aPeer.ReadRequest();
    isRead = true;
    isClosed = aPeer.WaitClosed();
  });
  const auto attempt = client_.Send(server.Address(), MakeRequest(clock_), sink_);
  ASSERT_TRUE(WaitUntil([&isRead] { return isRead.load(); }));
  attempt->Cancel();
  const auto result = sink_->Wait();
  EXPECT_EQ(UpstreamError::Cancelled, result.error_);
  EXPECT_EQ(RunState::Unknown, result.run_);
  EXPECT_TRUE(WaitUntil([&isClosed] { return isClosed.load(); }));
}

} // namespace
} // namespace laburnumweir
