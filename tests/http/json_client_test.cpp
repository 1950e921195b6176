/** @file json_client_test.cpp Tests of JsonClient with silent connections and invalid answers. */
#include "http/json_client.h"

#include "support/answer_support.h"
#include "support/net_support.h"

#include <future>
#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace testing_support;

constexpr int kConnections = 4;
constexpr std::chrono::milliseconds kTimeout = 300ms;

// Guards against a client that tries one dead connection after another: all idle connections to a
// server go silent at the same moment, and each of them costs a timeout although new ones work.
TEST(JsonClientTest, OneTimeoutSufficesWhenAllIdleConnectionsAreSilent)
{
  std::atomic<int> arrived = 0;
  ScriptedServer server([&](Peer& aPeer, int aNumber) {
    if (!aPeer.ReadRequest()) {
      return;
    }
    ++arrived;
    // The first answers are held back until all requests have arrived, so that each of them needs a
    // connection of its own.
    if (aNumber < kConnections && !WaitUntil([&] { return arrived >= kConnections; })) {
      return;
    }
    aPeer.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    aPeer.WaitClosed(kTestTimeout); // reads on without an answer
  });
  IoThreads io(1);
  JsonClient client(io.Context(), server.Address());
  const auto send = [&] {
    auto result = std::make_shared<std::promise<std::error_code>>();
    HttpExchange exchange;
    exchange.target_ = "/";
    exchange.timeout_ = kTimeout;
    client.Send(std::move(exchange),
                [result](std::error_code aError, const HttpAnswer&) { result->set_value(aError); });
    return result->get_future();
  };
  std::vector<std::future<std::error_code>> first;
  for (int i = 0; i < kConnections; ++i) {
    first.push_back(send());
  }
  for (auto& result : first) {
    ASSERT_FALSE(result.get());
  }
  EXPECT_EQ(send().get(), make_error_code(HttpError::AnswerLost));
  EXPECT_FALSE(send().get());
  EXPECT_EQ(server.Accepted(), kConnections + 1);
  io.Stop();
}

// Guards against a part of an answer that is read as a whole one: the connection is reset after it,
// before or after the request was written.
TEST(JsonClientTest, AResetAfterAPartIsNoAnswer)
{
  for (const std::size_t size : { std::size_t{ 2 }, std::size_t{ 16 } << 20 }) {
    ScriptedServer server([](Peer& aPeer, int) {
      aPeer.ReadUntil("\r\n\r\n");
      aPeer.Send("HTTP/1.1 200 OK\r\n\r\n{}");
      std::this_thread::sleep_for(50ms);
      aPeer.Reset();
    });
    IoThreads io(1);
    JsonClient client(io.Context(), server.Address());
    std::promise<std::error_code> result;
    HttpExchange exchange;
    exchange.method_ = "POST";
    exchange.target_ = "/";
    exchange.body_ = std::string(size, ' ');
    client.Send(std::move(exchange),
                [&](std::error_code aError, const HttpAnswer&) { result.set_value(aError); });
    EXPECT_EQ(result.get_future().get(), make_error_code(HttpError::AnswerLost)) << size;
    io.Stop();
  }
}

class JsonClientInterimTest : public testing::Test
{
protected:
  /** Sends a request that is answered with interim heads and then a whole answer, in two writes.
   * @return how it ended, and the status. */
  std::pair<std::error_code, int> Exchange(const std::string& aInterim)
  {
    ScriptedServer server([&](Peer& aPeer, int) {
      while (aPeer.ReadRequest()) {
        aPeer.Send(aInterim);
        std::this_thread::sleep_for(5ms);
        aPeer.Send("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
      }
    });
    IoThreads io(1);
    JsonClient client(io.Context(), server.Address());
    std::promise<std::pair<std::error_code, int>> result;
    HttpExchange exchange;
    exchange.target_ = "/";
    client.Send(std::move(exchange), [&](std::error_code aError, const HttpAnswer& aAnswer) {
      result.set_value({ aError, aAnswer.status_ });
    });
    const auto pair = result.get_future().get();
    io.Stop();
    return pair;
  }

  const std::string processing_ = "HTTP/1.1 102 Processing\r\n\r\n";
};

// Guards against an interim answer that is read as the answer: a report of usage counted as refused
// for good, and an order as invalid.
TEST_F(JsonClientInterimTest, AnswerAfterItIsRead)
{
  for (const auto& interim :
       { processing_, processing_ + "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" }) {
    EXPECT_EQ(Exchange(interim), std::pair(std::error_code(), 409)) << interim;
  }
}

TEST_F(JsonClientInterimTest, TooManyAreNoAnswer)
{
  std::string interim;
  for (int i = 0; i < 100; ++i) {
    interim += processing_;
  }
  EXPECT_EQ(Exchange(interim).first, make_error_code(HttpError::AnswerLost));
}

TEST_F(JsonClientInterimTest, SwitchOfProtocolIsNoAnswer)
{
  EXPECT_EQ(Exchange("HTTP/1.1 101 Switching Protocols\r\n\r\n").first,
            make_error_code(HttpError::AnswerLost));
}

class JsonClientHeadTest : public testing::TestWithParam<HeadCase>
{
protected:
  /** Sends a request that is answered with a head and a body. @return how it ended. */
  static std::error_code Exchange()
  {
    ScriptedServer server([](Peer& aPeer, int) {
      aPeer.ReadRequest();
      aPeer.Send(GetParam().Answer("X-B: 1\r\n", "{}"));
      aPeer.WaitClosed(kTimeout);
    });
    IoThreads io(1);
    JsonClient client(io.Context(), server.Address());
    std::promise<std::error_code> result;
    HttpExchange exchange;
    exchange.target_ = "/";
    client.Send(std::move(exchange),
                [&](std::error_code aError, const HttpAnswer&) { result.set_value(aError); });
    const auto error = result.get_future().get();
    io.Stop();
    return error;
  }
};

class JsonClientInvalidHeadTest : public JsonClientHeadTest
{};

// Guards against a broken answer of the store or an engine that is read as a refusal or a success.
TEST_P(JsonClientInvalidHeadTest, IsNoAnswer)
{
  EXPECT_EQ(Exchange(), make_error_code(HttpError::AnswerLost));
}

INSTANTIATE_TEST_SUITE_P(StatusLines,
                         JsonClientInvalidHeadTest,
                         testing::ValuesIn(InvalidStatusLines()),
                         [](const auto& aInfo) { return aInfo.param.name_; });

INSTANTIATE_TEST_SUITE_P(Fields,
                         JsonClientInvalidHeadTest,
                         testing::ValuesIn(InvalidFields()),
                         [](const auto& aInfo) { return aInfo.param.name_; });

class JsonClientUnusualHeadTest : public JsonClientHeadTest
{};

TEST_P(JsonClientUnusualHeadTest, IsAnAnswer)
{
  EXPECT_FALSE(Exchange());
}

INSTANTIATE_TEST_SUITE_P(All,
                         JsonClientUnusualHeadTest,
                         testing::ValuesIn(UnusualHeads()),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace laburnumweir
