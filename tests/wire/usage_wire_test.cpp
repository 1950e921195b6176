/** @file usage_wire_test.cpp Tests of the protocols of the usage reports. */
#include "platform/duty_client.h"
#include "platform/node_settings.h"
#include "platform/record_codec.h"
#include "platform/store_client.h"
#include "platform/usage_codec.h"

#include "support/net_support.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <mutex>

namespace laburnumweir::platform {
namespace {

using namespace std::chrono_literals;
using testing_support::Peer;
using testing_support::ScriptedServer;

const UsageReport kReport{ 353445120,
                           { { WorkspaceId("fida11"), 3 }, { WorkspaceId("hule930"), 412 } } };

class UsageWireTest : public testing::Test
{
protected:
  /** Answers with the given texts; closes the connection for an empty one. */
  void Serve(std::vector<std::string> aAnswers)
  {
    answers_ = std::move(aAnswers);
    server_ = std::make_unique<ScriptedServer>([this](Peer& aPeer, int) {
      while (const auto request = aPeer.ReadRequest()) {
        const std::lock_guard lock(mutex_);
        requests_.push_back(*request);
        const auto answer = answers_.empty() ? std::string() : answers_.front();
        answers_.erase(answers_.begin(), answers_.begin() + (answers_.empty() ? 0 : 1));
        if (answer.empty()) {
          aPeer.Close();
          return;
        }
        aPeer.Send(answer);
      }
    });
  }
  static std::string Text(int aStatus, const std::string& aBody, const std::string& aFields = {})
  {
    return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aFields +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }
  void RunUntil(const bool& aIsDone)
  {
    const auto end = std::chrono::steady_clock::now() + 4s;
    while (!aIsDone && std::chrono::steady_clock::now() < end) {
      context_.run_for(10ms);
      context_.restart();
    }
    ASSERT_TRUE(aIsDone);
  }
  DutyAnswer Call(DutyClient& aClient, std::function<bool()> aMaySend)
  {
    bool isDone = false;
    DutyAnswer result = DutyAnswer::Refused;
    aClient.SendUsage({ HostId("h"), 7, std::move(aMaySend) }, kReport, [&](DutyAnswer aAnswer) {
      result = aAnswer;
      isDone = true;
    });
    RunUntil(isDone);
    return result;
  }
  std::pair<std::error_code, StorePosition> Append(StoreClient& aStore, StorePosition aEnd)
  {
    bool isDone = false;
    std::pair<std::error_code, StorePosition> result;
    aStore.AppendUsage({ 2, kReport, 353445121, 353445119 },
                       aEnd,
                       [&](std::error_code aError, StorePosition aNewEnd) {
                         result = { aError, aNewEnd };
                         isDone = true;
                       });
    RunUntil(isDone);
    return result;
  }

  std::mutex mutex_;
  std::vector<std::string> answers_;
  std::vector<boost::beast::http::request<boost::beast::http::string_body>> requests_;
  std::unique_ptr<ScriptedServer> server_;
  boost::asio::io_context context_;
};

// Guards against an answer that is taken for another one: a refused token ends all calls with it.
TEST_F(UsageWireTest, SendsReportsAndReadsTheAnswers)
{
  Serve({ Text(200, ""), Text(409, ""), Text(429, ""), Text(500, ""), Text(400, ""), "" });
  HttpDutyClient client(context_, server_->Address());
  const auto always = [] { return true; };
  EXPECT_EQ(Call(client, always), DutyAnswer::Accepted);
  EXPECT_EQ(requests_.at(0).target(), "/usage");
  EXPECT_EQ(requests_.at(0)["X-Duty-Holder"], "h");
  EXPECT_EQ(requests_.at(0)["X-Fencing-Token"], "7");
  EXPECT_EQ(requests_.at(0)["Content-Type"], "application/json");
  EXPECT_EQ(requests_.at(0).body(),
            R"({"window_id":353445120,"counts":{"fida11":3,"hule930":412}})");
  EXPECT_EQ(Call(client, always), DutyAnswer::Fenced);
  EXPECT_EQ(Call(client, always), DutyAnswer::Busy);
  EXPECT_EQ(Call(client, always), DutyAnswer::Busy);
  EXPECT_EQ(Call(client, always), DutyAnswer::Refused);
  EXPECT_EQ(Call(client, always), DutyAnswer::NoAnswer);
}

// Guards against a report that is dropped as refused because of a broken answer to it.
TEST_F(UsageWireTest, AnInvalidStatusIsNoAnswer)
{
  Serve({ "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n" });
  HttpDutyClient client(context_, server_->Address());
  EXPECT_EQ(Call(client, [] { return true; }), DutyAnswer::NoAnswer);
}

// Guards against a call of a process that was suspended between the start of the call and the
// connection.
TEST_F(UsageWireTest, WithdrawnCallIsNotSent)
{
  Serve({ Text(200, "") });
  HttpDutyClient client(context_, server_->Address());
  EXPECT_EQ(Call(client, [] { return false; }), DutyAnswer::NotSent);
  EXPECT_TRUE(requests_.empty());
}

// Guards against an append that takes effect at another end than the one that was read.
TEST_F(UsageWireTest, AppendsAtTheKnownEndOnly)
{
  Serve({ Text(200, R"({"offset":5,"end_offset":6})", "Store-Era: 2\r\n"),
          Text(412, R"({"end_offset":8})", "Store-Era: 2\r\n") });
  StoreClient store(context_, server_->Address());
  EXPECT_EQ(Append(store, { 2, 5 }), std::pair(std::error_code(), StorePosition{ 2, 6 }));
  EXPECT_EQ(requests_.at(0).target(), "/api/log-append?topic=usage-reports&part=0&at=5");
  EXPECT_EQ(Append(store, { 2, 6 }).first, make_error_code(StoreError::Conflict));
}

// Guards against records that are read as those of another era, or read from an offset that has
// expired.
TEST_F(UsageWireTest, ReadsRecordsFromTheOldestOne)
{
  const UsageLogRecord record{ 2, kReport, 353445121, 353445119 };
  const UsageLogRecord passed{ 2, std::nullopt, 353445200, 0 };
  const std::string head{ "\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x06", 16 };
  Serve({ Text(410, R"({"first_offset":6})", "Store-Era: 2\r\n"),
          Text(200,
               head + EncodeRecord(EncodeUsageRecord(record)) + EncodeRecord("odd") +
                 EncodeRecord(EncodeUsageRecord(passed)),
               "Store-Era: 2\r\n"),
          Text(200, head, "Store-Era: 3\r\n") });
  StoreClient store(context_, server_->Address());
  bool isDone = false;
  store.ReadUsage(std::nullopt, [&](std::error_code aError, const UsageLogBatch& aBatch) {
    EXPECT_FALSE(aError);
    EXPECT_EQ(aBatch.records_, (std::vector{ record, passed }));
    EXPECT_EQ(aBatch.next_, (StorePosition{ 2, 9 }));
    EXPECT_TRUE(aBatch.isComplete_);
    isDone = true;
  });
  RunUntil(isDone);
  EXPECT_EQ(requests_.at(1).target(), "/api/log-read?topic=usage-reports&part=0&from=6");
  isDone = false;
  store.ReadUsage(StorePosition{ 2, 9 }, [&](std::error_code aError, const UsageLogBatch&) {
    EXPECT_EQ(aError, make_error_code(StoreError::HistoryLost));
    isDone = true;
  });
  RunUntil(isDone);
}

// Guards against reports from deployments that do not list the duty.
TEST(NodeSettings, EnablesUsageReportsOnlyIfTheDutyIsListed)
{
  const std::string start = R"({"node_name":"n1","zone":"z1","ip":"10.1.0.25",
    "listen_addresses":{"frontend":"10.1.0.25:8221","ready":"10.1.0.25:8224"},
    "internal_port_range":[7600,7615],"platform":{"address":"10.200.1.7:8225"},
    "bounds":{"report_window_s":4,"usage_late_s":9,"fencing_enforced":false})";
  GatewaySettings settings;
  EXPECT_TRUE(DecodeSettings(start + "}", settings).empty());
  EXPECT_TRUE(
    DecodeSettings(start + R"(,"cloud_api":{"address":"10.0.0.1:1","duties":["x"]}})", settings)
      .empty());
  EXPECT_FALSE(settings.reportsUsage_);
  EXPECT_EQ(DecodeSettings(start + R"(,"cloud_api":{"duties":["usage"]}})", settings).size(), 1U);
  EXPECT_TRUE(DecodeSettings(start + R"(,"cloud_api":{"address":"10.0.0.1:1","duties":["x","usage"],
                                         "duty_per_s":20.0}})",
                             settings)
                .empty());
  EXPECT_TRUE(settings.reportsUsage_);
  EXPECT_EQ(settings.dutyEndpoint_, (Endpoint{ "10.0.0.1", 1 }));
  EXPECT_EQ(settings.dutyCallsPerSecond_, 20);
  EXPECT_EQ(settings.bounds_.reportWindow_, 4000ms);
  EXPECT_EQ(settings.bounds_.usageDueTime_, 9000ms);
  EXPECT_FALSE(settings.bounds_.isFencingEnforced_);
}

} // namespace
} // namespace laburnumweir::platform
