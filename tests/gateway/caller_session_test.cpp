/** @file caller_session_test.cpp Tests of HttpListener during a planned stop and against callers
 * that flood it.
 */
#include "gateway/caller_session.h"

#include "http/message_parser.h"
#include "support/net_support.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::ConnectTo;
using testing_support::Peer;

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/** Answers each request at once. */
class EchoHandler : public HttpHandler
{
public:
  void OnRequest(HttpRequest aRequest, std::shared_ptr<AnswerStream> aAnswer) override
  {
    ++requests_;
    const std::string body(aRequest.target());
    aAnswer->Begin(200, {}, {}, body.size());
    aAnswer->Data(body);
    aAnswer->End();
  }
  int requests_ = 0;
};

class CallerSessionTest : public testing::Test
{
protected:
  CallerSessionTest()
  {
    endpoint_ = testing_support::RefusingEndpoint();
    EXPECT_FALSE(listener_.Listen(endpoint_));
  }
  void Run(std::chrono::milliseconds aTime = 50ms)
  {
    context_.run_for(aTime);
    context_.restart();
  }

  boost::asio::io_context context_;
  EchoHandler handler_;
  HttpListener listener_{ context_, handler_, SessionLimits() };
  Endpoint endpoint_;
};

// Guards against a planned stop that resets a connection whose next request has been received but
// not read yet.
TEST_F(CallerSessionTest, DrainAnswersARequestThatWasReceivedOnAKeptConnection)
{
  Peer caller = ConnectTo(endpoint_);
  Peer idle = ConnectTo(endpoint_);
  caller.Send(kRequest);
  Run();
  ASSERT_TRUE(caller.ReadAnswer());
  caller.Send(kRequest);
  std::this_thread::sleep_for(20ms);
  listener_.StartDrain();
  EXPECT_TRUE(listener_.HasUnreadInput());
  Run();
  const auto answer = caller.ReadAnswer(100ms);
  ASSERT_TRUE(answer);
  EXPECT_EQ((*answer)[boost::beast::http::field::connection], "close");
  EXPECT_TRUE(idle.WaitClosed(100ms)) << "an idle connection is closed at once";
}

// Guards against a process that ends although a connection with a request waits to be accepted.
TEST_F(CallerSessionTest, SeesAConnectionThatWaitsToBeAccepted)
{
  EXPECT_FALSE(listener_.HasUnreadInput());
  Peer caller = ConnectTo(endpoint_);
  caller.Send(kRequest);
  std::this_thread::sleep_for(20ms);
  listener_.StartDrain();
  EXPECT_TRUE(listener_.HasUnreadInput());
  Run();
  EXPECT_FALSE(listener_.HasUnreadInput());
  ASSERT_TRUE(caller.ReadAnswer(100ms));
  EXPECT_EQ(handler_.requests_, 1);
}

/** Breaks each answer off after some bytes. */
class AbortingHandler : public HttpHandler
{
public:
  void OnRequest(HttpRequest, std::shared_ptr<AnswerStream> aAnswer) override
  {
    aAnswer->Begin(200, {}, {}, std::nullopt);
    aAnswer->Data("part");
    answer_ = std::move(aAnswer);
  }
  std::shared_ptr<AnswerStream> answer_; ///< Of the last request.
};

// Guards against an answer that looks complete to an HTTP/1.0 caller although it was broken off: a
// close in order is the end of its body, so only a reset shows that the rest is missing.
TEST_F(CallerSessionTest, AbortResetsTheConnectionOfAnHttp10Caller)
{
  AbortingHandler handler;
  HttpListener listener(context_, handler, SessionLimits());
  const auto endpoint = testing_support::RefusingEndpoint();
  ASSERT_FALSE(listener.Listen(endpoint));
  Peer caller = ConnectTo(endpoint);
  caller.Send("GET / HTTP/1.0\r\nHost: a\r\n\r\n");
  for (int i = 0; i < 1000 && caller.Input().find("part") == std::string::npos; ++i) {
    Run(1ms);
    caller.ReadSome(1ms);
  }
  ASSERT_TRUE(handler.answer_);
  handler.answer_->Abort();
  while (caller.ReadSome(1s)) {
  }
  EXPECT_TRUE(caller.WasReset());
}

/** A chunked request whose body ends with fields. */
std::string
RequestWithTrailer(const std::string& aFields)
{
  return "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" +
         aFields + "\r\n";
}

// Guards against a process that ends because a caller, even one without a key, sends a field that
// is longer than a message can hold, after the last chunk or in a head whose limit is higher.
TEST_F(CallerSessionTest, FieldThatIsTooLongIsRefused)
{
  SessionLimits limits;
  limits.maxHeadBytes_ = 200000;
  HttpListener listener(context_, handler_, limits);
  const auto endpoint = testing_support::RefusingEndpoint();
  ASSERT_FALSE(listener.Listen(endpoint));
  const std::string longText(65534, 'x');
  for (const auto& request : { RequestWithTrailer("X: " + longText + "\r\n"),
                               RequestWithTrailer(longText + ": x\r\n"),
                               "GET / HTTP/1.1\r\nHost: a\r\nX: " + longText + "\r\n\r\n",
                               "GET / HTTP/1.1\r\nHost: a\r\n" + longText + ": x\r\n\r\n" }) {
    Peer caller = ConnectTo(endpoint);
    std::thread writer([&] { caller.Send(request); });
    Run(100ms);
    writer.join();
    const auto answer = caller.ReadAnswer(100ms);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->result_int(), 431U);
  }
  EXPECT_EQ(handler_.requests_, 0);
}

/** Keeps the last request. */
class KeepingHandler : public EchoHandler
{
public:
  void OnRequest(HttpRequest aRequest, std::shared_ptr<AnswerStream> aAnswer) override
  {
    last_ = aRequest;
    EchoHandler::OnRequest(std::move(aRequest), std::move(aAnswer));
  }
  HttpRequest last_;
};

// Guards against a trailer that replaces or adds fields of a request, which choose its route, its
// key and its model.
TEST_F(CallerSessionTest, TrailerFieldsAreNoHeaderFields)
{
  KeepingHandler handler;
  HttpListener listener(context_, handler, SessionLimits());
  const auto endpoint = testing_support::RefusingEndpoint();
  ASSERT_FALSE(listener.Listen(endpoint));
  Peer caller = ConnectTo(endpoint);
  caller.Send(RequestWithTrailer("Host: b\r\nX-Model: m\r\n"));
  Run();
  EXPECT_EQ(handler.requests_, 1);
  EXPECT_EQ(handler.last_.body(), "a");
  EXPECT_EQ(handler.last_.count("X-Model"), 0U);
  EXPECT_EQ(handler.last_.count("Host"), 1U);
}

class UnknownEndTest
  : public CallerSessionTest
  , public testing::WithParamInterface<std::string>
{};

// Guards against a request that is run although it stands in the body of another one, of which the
// host could not tell the end.
TEST_P(UnknownEndTest, IsRefusedAndNothingBehindItsHeadIsRead)
{
  const std::string head = "POST /outside HTTP/1.1\r\nHost: a\r\n" + GetParam() + "\r\n\r\n";
  const std::string request = head + kRequest;
  const std::size_t beforeEnd = head.size() - 1;
  for (const std::size_t cut : { std::size_t{ 0 }, beforeEnd, head.size(), request.size() }) {
    Peer caller = ConnectTo(endpoint_);
    caller.Send(request.substr(0, cut));
    Run();
    caller.Send(request.substr(cut) + kRequest);
    Run();
    const auto answer = caller.ReadAnswer(100ms);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->result_int(), 400U);
    EXPECT_EQ((*answer)[boost::beast::http::field::connection], "close");
    caller.Send(kRequest);
    Run();
    EXPECT_FALSE(caller.ReadAnswer(20ms));
    EXPECT_TRUE(caller.WaitClosed(100ms));
  }
  EXPECT_EQ(handler_.requests_, 0);
}

INSTANTIATE_TEST_SUITE_P(Framings,
                         UnknownEndTest,
                         testing::Values("Transfer-Encoding: gzip",
                                         "Transfer-Encoding: chunked, gzip",
                                         "Transfer-Encoding: gzip, chunked",
                                         "Transfer-Encoding: identity",
                                         "Transfer-Encoding: gzip\r\nContent-Length: 1",
                                         "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
                                         "Content-Length: 1\r\nTransfer-Encoding: chunked"));

class EndlessRequestTest
  : public CallerSessionTest
  , public testing::WithParamInterface<std::pair<std::string, std::string>>
{};

// Guards against memory that a caller takes by a head, chunk or trailer without end.
TEST_P(EndlessRequestTest, EndsInFewBytes)
{
  constexpr std::size_t kMaxBytes = std::size_t{ 24 } << 20;
  const auto& [start, repeated] = GetParam();
  std::string block;
  while (block.size() < 32768) {
    block += repeated;
  }
  Peer caller = ConnectTo(endpoint_);
  std::atomic<std::size_t> sent = 0;
  std::thread writer([&, first = start] {
    caller.Send(first);
    while (sent < 8 * kMaxBytes && caller.Send(block)) {
      sent += block.size();
    }
  });
  Run(1s);
  listener_.Stop();
  writer.join();
  EXPECT_LT(sent, kMaxBytes);
  EXPECT_EQ(handler_.requests_, 0);
}

INSTANTIATE_TEST_SUITE_P(
  Kinds,
  EndlessRequestTest,
  testing::Values(
    std::pair<std::string, std::string>("GET /", "x"),
    std::pair<std::string, std::string>("GET / HTTP/1.1\r\n", "X-Field: value\r\n"),
    std::pair<std::string, std::string>(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4",
      ";a=b"),
    std::pair<std::string, std::string>(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
      "X-Field: value\r\n")));

/** Takes requests without answering them, and marks rejections. */
class WaitingHandler : public HttpHandler
{
public:
  void OnRequest(HttpRequest aRequest, std::shared_ptr<AnswerStream> aAnswer) override
  {
    requests_.push_back(std::move(aRequest));
    answers_.push_back(std::move(aAnswer));
  }
  void OnRejected(const boost::beast::http::fields& aRequest,
                  boost::beast::http::fields& aAnswer) override
  {
    aAnswer.set("X-Host", aRequest[boost::beast::http::field::host]);
  }
  std::vector<HttpRequest> requests_;
  std::vector<std::shared_ptr<AnswerStream>> answers_;
};

std::string
RequestWithBody(std::size_t aLength, std::size_t aSent)
{
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(aLength) + "\r\n\r\n" +
         std::string(aSent, 'x');
}

class SessionMemoryTest : public CallerSessionTest
{
protected:
  static constexpr std::size_t kBody = 300000;
  static constexpr std::size_t kLimit = 1000000;

  SessionMemoryTest()
  {
    endpoint_ = testing_support::RefusingEndpoint();
    EXPECT_FALSE(limited_.Listen(endpoint_));
  }
  /** Sends while the listener runs. */
  void Send(Peer& aPeer, const std::string& aText)
  {
    std::thread writer([&] { aPeer.Send(aText); });
    Run();
    writer.join();
  }

  std::shared_ptr<RequestMemory> memory_ = std::make_shared<RequestMemory>(kLimit);
  WaitingHandler waiting_;
  HttpListener limited_{ context_,
                         waiting_,
                         { .headTimeout_ = 20s },
                         { memory_, std::make_shared<RejectionLog>() } };
};

// Guards against memory that stalled bodies take together, against a rejection that the caller
// cannot read or not repeat, and against small requests that suffer for large ones.
TEST_F(SessionMemoryTest, StalledBodiesAreRejectedAndSmallRequestsServed)
{
  Peer small = ConnectTo(endpoint_);
  Send(small, RequestWithBody(1000, 900));
  std::vector<Peer> callers;
  for (int i = 0; i < 4; ++i) {
    callers.push_back(ConnectTo(endpoint_));
    Send(callers.back(), RequestWithBody(kBody, kBody - 10 + i));
    EXPECT_LE(memory_->Held(), kLimit);
  }
  int rejected = 0;
  for (auto& caller : callers) {
    if (const auto answer = caller.ReadAnswer(50ms)) {
      ++rejected;
      EXPECT_EQ(answer->result_int(), 503U);
      EXPECT_EQ((*answer)[boost::beast::http::field::retry_after], "0.500");
      EXPECT_EQ((*answer)[boost::beast::http::field::connection], "close");
      EXPECT_EQ((*answer)["X-Host"], "a");
      EXPECT_TRUE(caller.WaitClosed(100ms));
    }
  }
  EXPECT_GE(rejected, 1);
  EXPECT_LE(rejected, 3);
  Send(small, std::string(100, 'x'));
  ASSERT_EQ(waiting_.requests_.size(), 1U);
  EXPECT_EQ(waiting_.requests_[0].body().View().size(), 1000U);
}

// Guards against bytes that are freed in the account while a copy of the request still holds them,
// and against copies of the text of a body.
TEST_F(SessionMemoryTest, RequestIsChargedUntilItsLastCopyIsGone)
{
  {
    Peer caller = ConnectTo(endpoint_);
    Send(caller, RequestWithBody(kBody, kBody));
    ASSERT_EQ(waiting_.requests_.size(), 1U);
  }
  Run();
  EXPECT_EQ(limited_.Sessions(), 0U) << "the caller has gone";
  EXPECT_GE(memory_->Held(), kBody);
  EXPECT_LT(memory_->Held(), 2 * kBody);
  HttpRequest copy = waiting_.requests_[0];
  EXPECT_EQ(copy.body().View().data(), waiting_.requests_[0].body().View().data());
  waiting_.requests_.clear();
  EXPECT_GE(memory_->Held(), kBody);
  copy = {};
  waiting_.answers_.clear();
  EXPECT_EQ(memory_->Held(), 0U);
}

// Guards against the many small fields of a head, each of which takes more memory than it has
// bytes, and against idle connections that stay charged.
TEST_F(SessionMemoryTest, HeadsAreChargedWithTheirFieldsAndIdleConnectionsAreNot)
{
  std::string head = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 1000; ++i) {
    head += "a:\r\n";
  }
  Peer caller = ConnectTo(endpoint_);
  Send(caller, head + "\r\n");
  ASSERT_EQ(waiting_.answers_.size(), 1U);
  EXPECT_GE(memory_->Held(), 1000 * RequestParser::kFieldOverheadBytes);
  waiting_.requests_.clear();
  waiting_.answers_[0]->Begin(204, {}, {}, 0);
  waiting_.answers_[0]->End();
  Run();
  EXPECT_EQ(limited_.BusySessions(), 0U);
  EXPECT_EQ(memory_->Held(), 0U);
}

// Guards against a rejection that frees nothing, so that all others are rejected too: a trailer
// without end is not parsed, but stays in the buffer of a read that is pending.
TEST_F(SessionMemoryTest, RejectionFreesTheReadBuffer)
{
  Peer small = ConnectTo(endpoint_);
  Send(small, RequestWithBody(1000, 900));
  std::vector<Peer> callers;
  for (int i = 0; i < 30; ++i) {
    callers.push_back(ConnectTo(endpoint_));
    auto request = RequestWithTrailer("X: " + std::string(50000, 'x'));
    request.resize(request.size() - 4);
    Send(callers.back(), request);
  }
  EXPECT_LE(memory_->Held(), kLimit);
  Send(small, std::string(100, 'x'));
  EXPECT_EQ(waiting_.requests_.size(), 1U);
}

// Guards against a connection that is cut when its large read buffer is replaced while it is idle.
TEST_F(SessionMemoryTest, ConnectionIsServedAfterItsBufferWasReleased)
{
  Peer caller = ConnectTo(endpoint_);
  Send(caller, RequestWithBody(kBody, kBody) + RequestWithBody(10000, 10000));
  for (int i = 0; i < 2; ++i) {
    ASSERT_EQ(waiting_.answers_.size(), i + 1U);
    waiting_.answers_[i]->Begin(204, {}, {}, 0);
    waiting_.answers_[i]->End();
    Run();
    EXPECT_TRUE(caller.ReadAnswer(100ms));
  }
  waiting_.requests_.clear();
  EXPECT_EQ(memory_->Held(), 0U);
  Send(caller, kRequest);
  EXPECT_EQ(waiting_.requests_.size(), 1U);
}

} // namespace
} // namespace laburnumweir
