/** @file caller_support.h Fixture for tests of the callers' server. */
#ifndef LABURNUMWEIR_TESTS_CALLER_CALLER_SUPPORT_H
#define LABURNUMWEIR_TESTS_CALLER_CALLER_SUPPORT_H

#include "caller/caller_server.h"
#include "http/header_func.h"
#include "support/memory_support.h"
#include "support/net_support.h"

#include <boost/json.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace laburnumweir::testing_support {

using SinkPtr = std::shared_ptr<ResponseSink>;
using RunningPtr = std::shared_ptr<RunningRequest>;

const std::string kBody = R"({"model":"kite@v3","prompt":"hello","max_tokens":16})";
const HeaderList kJsonFields{ { "Content-Type", "application/json" } };
const HeaderList kEventFields{ { "Content-Type", "text/event-stream" } };

struct MockRunning : RunningRequest
{
  MOCK_METHOD(void, Cancel, (), (override));
};

struct MockHandler : RequestHandler
{
  MOCK_METHOD(RunningPtr, Start, (CallerRequest aRequest, SinkPtr aSink), (override));
};

/** A request for a completion. */
inline std::string
Post(const std::string& aBody = kBody,
     const std::string& aFields = "",
     const std::string& aTarget = "/v1/completions")
{
  return "POST " + aTarget + " HTTP/1.1\r\nHost: a\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** @return a member of the error in an answer's body, or why there is none. */
inline std::string
ErrorMember(const std::string& aBody, const std::string& aMember)
{
  boost::json::error_code error;
  const auto value = boost::json::parse(aBody, error);
  if (error || !value.is_object() || !value.as_object().contains("error")) {
    return "no error: " + aBody;
  }
  const auto& members = value.at("error").as_object();
  return members.contains(aMember) ? std::string(members.at(aMember).as_string()) : "no member";
}

/** Runs a server with a mock handler. After each test, nothing may be left open. */
struct CallerServerTest : testing::Test
{
  void Listen(CallerSettings aSettings = {})
  {
    server_ = std::make_unique<CallerServer>(
      io_.Context(), clock_, aSettings, handler_, [](const CallerRequest&, const SinkPtr& aSink) {
        aSink->Complete(200, kJsonFields, R"({"data":[]})");
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

  /** Makes the handler answer every request at once. */
  void AnswerAtOnce()
  {
    EXPECT_CALL(handler_, Start)
      .WillRepeatedly([](const CallerRequest& aRequest, const SinkPtr& aSink) {
        aSink->Complete(200, kJsonFields, "\"" + aRequest.id_.Value() + "\"");
        return nullptr;
      });
  }
  /** Makes the handler keep each sink in sinks_ and return running_. */
  void HoldSinks()
  {
    EXPECT_CALL(handler_, Start)
      .WillRepeatedly([this](CallerRequest aRequest, const SinkPtr& aSink) {
        const std::lock_guard lock(mutex_);
        requests_.push_back(std::move(aRequest));
        sinks_.push_back(aSink);
        return running_;
      });
  }
  /** Waits for a sink. */
  SinkPtr TakeSink(std::size_t aNumber)
  {
    EXPECT_TRUE(WaitUntil([this, aNumber] {
      const std::lock_guard lock(mutex_);
      return sinks_.size() > aNumber;
    }));
    const std::lock_guard lock(mutex_);
    return aNumber < sinks_.size() ? std::exchange(sinks_[aNumber], nullptr) : nullptr;
  }
  std::size_t Started()
  {
    const std::lock_guard lock(mutex_);
    return sinks_.size();
  }

  SystemClock clock_;
  testing::StrictMock<MockHandler> handler_;
  std::shared_ptr<testing::StrictMock<MockRunning>> running_ =
    std::make_shared<testing::StrictMock<MockRunning>>();
  std::mutex mutex_;
  std::vector<CallerRequest> requests_;
  std::vector<SinkPtr> sinks_;
  IoThreads io_;
  std::unique_ptr<CallerServer> server_;
};

} // namespace laburnumweir::testing_support

#endif
