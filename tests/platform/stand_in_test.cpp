/** @file stand_in_test.cpp Stand-ins of log, host list, weight store and service over HTTP. */
#include "hostlist/http_host_list.h"
#include "log/http_log_client.h"
#include "platform/platform_fixture.h"
#include "weights/http_weight_store.h"

#include <boost/json.hpp>

namespace laburnumweir {
namespace {

using std::chrono::milliseconds;

class LogStandInTest : public StandInTest
{
protected:
  void StartLog(const std::string& aSettings)
  {
    Start(R"({"standins":[{"kind":"log","name":"log","settings":{)" + aSettings + "}}]}");
    client_ = std::make_unique<HttpLogClient>(context_, Where("log"), milliseconds(600));
  }

  std::error_code Append(const std::vector<std::string>& aIds)
  {
    std::vector<NewRecord> records;
    for (const auto& id : aIds) {
      records.push_back({ id, "data " + id });
    }
    std::error_code result;
    bool isDone = false;
    client_->Append("config", records, [&](std::error_code aError, LogOffset aFirst) {
      result = aError;
      offset_ = aFirst;
      isDone = true;
    });
    EXPECT_TRUE(RunUntil(context_, [&] { return isDone; }));
    return result;
  }

  std::vector<std::string> Ids(LogOffset aFrom, milliseconds aWait = {})
  {
    std::vector<std::string> ids;
    bool isDone = false;
    client_->Read("config", aFrom, 100, aWait, [&](std::error_code aError, ReadResult aRead) {
      error_ = aError;
      for (const auto& record : aRead.records_) {
        EXPECT_EQ("data " + record.id_, record.data_);
        ids.push_back(record.id_);
      }
      read_ = std::move(aRead);
      isDone = true;
    });
    EXPECT_TRUE(RunUntil(context_, [&] { return isDone; }));
    return ids;
  }

  using Names = std::vector<std::string>;
  std::unique_ptr<HttpLogClient> client_; ///< Client under test.
  LogOffset offset_ = 0;                  ///< Offset of the last append.
  ReadResult read_;                       ///< Last read.
};

/** Guards against a lost answer whose effect the client cannot find again in the stream. */
TEST_F(LogStandInTest, LostAppendIsFoundOnceInTheStream)
{
  StartLog("");
  EXPECT_FALSE(Append({ "a" }));
  SetFaults("log", R"({"kind":"lose_answer","count":1,"match":{"method":"POST"}})");
  EXPECT_EQ(LogError::AnswerLost, Append({ "b", "c" }));
  EXPECT_EQ((Names{ "a", "b", "c" }), Ids(0));
  EXPECT_FALSE(Append({ "d" }));
  EXPECT_EQ(3U, offset_);
}

/** Guards against a refusal that appended something, for each way in which the log can refuse. */
TEST_F(LogStandInTest, RefusedAppendsLeaveNothing)
{
  StartLog(R"("appends_per_s":1,"append_burst":2)");
  EXPECT_FALSE(Append({ "a" }));
  EXPECT_FALSE(Append({ "b" }));
  EXPECT_EQ(LogError::Refused, Append({ "c" })) << "over the append rate";
  SetFaults("log", R"({"kind":"refuse","match":{"method":"POST"}})");
  EXPECT_EQ(LogError::Refused, Append({ "d" })) << "outage";
  SetFaults("log", R"({"kind":"silent","match":{"method":"POST"}})");
  EXPECT_EQ(LogError::AnswerLost, Append({ "e" })) << "silent outage";
  SetFaults("log", "");
  EXPECT_EQ((Names{ "a", "b" }), Ids(0));
  EXPECT_EQ(1, Stat("log", "rate_limited"));
}

/** Guards against an append that takes effect after its writer gave it up being impossible to test.
 */
TEST_F(LogStandInTest, DelayedAppendTakesEffectLate)
{
  StartLog("");
  SetFaults("log", R"({"kind":"delay","ms":900,"count":1})");
  EXPECT_EQ(LogError::AnswerLost, Append({ "a" }));
  EXPECT_EQ(Names(), Ids(0));
  Pass(milliseconds(500));
  EXPECT_EQ(Names{ "a" }, Ids(0));
}

/** Guards against a long poll that misses an append, or answers before there is anything. */
TEST_F(LogStandInTest, LongPollEndsWithTheAppend)
{
  StartLog("");
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(Names(), Ids(0, milliseconds(150)));
  EXPECT_GE(std::chrono::steady_clock::now() - start, milliseconds(150));
  HttpLogClient writer(context_, Where("log"));
  JsonClient trigger(context_, Where("log"));
  trigger.Send({ "GET", "/control/stats", {}, {}, milliseconds(1000) },
               [&](std::error_code, const HttpAnswer&) {
                 writer.Append("config", { { "a", "data a" } }, [](std::error_code, LogOffset) {});
               });
  EXPECT_EQ(Names{ "a" }, Ids(0, milliseconds(5000)));
  EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds(2000));
}

/** Guards against a reader that is not told that records it needs have expired. */
TEST_F(LogStandInTest, ReadsReportTheEarliestOffset)
{
  StartLog(R"("retain_records":2)");
  Append({ "a", "b", "c" });
  EXPECT_EQ((Names{ "b", "c" }), Ids(0));
  EXPECT_EQ(1U, read_.first_);
  EXPECT_EQ(3U, read_.end_);
  EXPECT_EQ(Names(), Ids(7));
  EXPECT_FALSE(error_);
}

/** Guards against streams that do not survive a restart of the log. */
TEST_F(LogStandInTest, KeepsItsRecordsOverARestart)
{
  StartLog("");
  Append({ "a" });
  EXPECT_EQ(200, Exchange("log", "POST", "/control/restart", R"({"down_ms":400})").status_);
  Pass(milliseconds(30));
  EXPECT_EQ(LogError::Unreachable, Append({ "b" }));
  Pass(milliseconds(600));
  EXPECT_EQ(Names{ "a" }, Ids(0));
}

/** Guards against a service that does not count an effect whose answer was lost. */
TEST_F(StandInTest, ServiceCountsRunsByIdAndKey)
{
  Start(R"({"standins":[{"kind":"service","name":"b1"}]})");
  const auto book = [&](const std::string& aId) {
    return Exchange("b1",
                    "POST",
                    "/bookings/7?x=1",
                    "{}",
                    { { "X-Request-Id", aId }, { "Idempotency-Key", "k" } });
  };
  EXPECT_EQ(200, book("r1").status_);
  SetFaults("b1", R"({"kind":"refuse","count":1})");
  EXPECT_EQ(503, book("r2").status_);
  SetFaults("b1", R"({"kind":"lose_answer","count":1})");
  book("r3");
  EXPECT_EQ(HttpError::AnswerLost, error_);
  SetFaults("b1", R"({"kind":"reset","count":1})");
  book("r4");
  EXPECT_EQ(HttpError::AnswerLost, error_);
  const auto stats = Stats("b1");
  EXPECT_EQ(R"({"r1":1,"r3":1})", boost::json::serialize(stats.at("runs_by_request_id")));
  EXPECT_EQ(R"({"k":2})", boost::json::serialize(stats.at("runs_by_idempotency_key")));
  EXPECT_EQ(4U, stats.at("recorded").as_array().size());
  EXPECT_EQ("/bookings/7?x=1", stats.at("recorded").at(0).at("target").as_string());
}

/** Guards against a host list that forgets to expire, or a leaving mark that does not show. */
TEST_F(StandInTest, HostListShowsAnnouncedAndLeavingHosts)
{
  Start(R"({"standins":[{"kind":"hostlist","name":"hosts","settings":{"expiry_ms":1000}}]})");
  HttpHostListClient client(context_, Where("hosts"));
  bool isDone = false;
  client.Announce({ HostId("h 1"), { "127.0.0.1", 7 }, DataCentreId("dc"), false },
                  [&](std::error_code aError) {
                    EXPECT_FALSE(aError);
                    isDone = true;
                  });
  EXPECT_TRUE(RunUntil(context_, [&] { return isDone; }));
  EXPECT_EQ(200, Exchange("hosts", "PUT", "/hosts/h%201/leaving").status_);
  const auto fetch = [&] {
    std::vector<ListedHost> result;
    bool isFetched = false;
    client.Fetch([&](std::error_code aError, std::vector<ListedHost> aHosts) {
      EXPECT_FALSE(aError);
      result = std::move(aHosts);
      isFetched = true;
    });
    EXPECT_TRUE(RunUntil(context_, [&] { return isFetched; }));
    return result;
  };
  const auto hosts = fetch();
  ASSERT_EQ(1U, hosts.size());
  EXPECT_EQ("h 1", hosts[0].id_.Value());
  EXPECT_TRUE(hosts[0].isLeaving_);
  Pass(milliseconds(1100));
  EXPECT_TRUE(fetch().empty());
}

/** Guards against a weight store without a catalogue or a rate limit. */
TEST_F(StandInTest, WeightStoreKnowsItsAdaptersAndLimitsLookups)
{
  Start(R"({"standins":[{"kind":"weights","name":"ws",
    "settings":{"adapters":["a@1"],"lookups_per_s":1,"lookup_burst":3,"bytes":9}}]})");
  HttpWeightStoreClient client(context_, Where("ws"));
  const auto find = [&](const AdapterRef& aAdapter) {
    std::error_code result;
    bool isDone = false;
    client.Find(aAdapter, [&](std::error_code aError, const AdapterInfo& aInfo) {
      EXPECT_TRUE(aError || aInfo.bytes_ == 9);
      result = aError;
      isDone = true;
    });
    EXPECT_TRUE(RunUntil(context_, [&] { return isDone; }));
    return result;
  };
  EXPECT_FALSE(find({ "a", "1" }));
  EXPECT_EQ(WeightStoreError::NotFound, find({ "a", "2" }));
  EXPECT_EQ(WeightStoreError::NotFound, find({ "b", "1" }));
  EXPECT_EQ(WeightStoreError::RateLimited, find({ "a", "1" }));
}

/** Guards against a configuration error that goes unnoticed and leaves a default in force. */
TEST_F(StandInTest, RejectsConfigurationErrors)
{
  for (const auto* text :
       { "[]",
         "{}",
         R"({"standins":[{"kind":"logg"}]})",
         R"({"standins":[{"kind":"log","port":70000}]})",
         R"({"standins":[{"kind":"log","settings":{"append_per_s":1}}]})",
         R"({"standins":[{"kind":"log"},{"kind":"log"}]})",
         R"({"standins":[{"kind":"engine","settings":{"fencing":"maybe"}}]})",
         R"({"standins":[{"kind":"engine","settings":{"weight_store":"none"}}]})",
         R"({"standins":[],"controls":{}})" }) {
    standin::Program program(context_);
    std::ostringstream output;
    EXPECT_THROW(program.Start(text, output), std::runtime_error) << text;
  }
}

/** Guards against a control port that cannot reach a stand-in which is down. */
TEST_F(StandInTest, ControlPortWorksWhileAStandInIsDown)
{
  Start(R"({"control":{},/* comment */"standins":[{"kind":"service","name":"b1"},]})");
  EXPECT_EQ(200,
            Exchange("control", "POST", "/b1/control/restart", R"({"down_ms":60000})").status_);
  Pass(milliseconds(30));
  Exchange("b1", "GET", "/");
  EXPECT_EQ(HttpError::ConnectFailed, error_);
  EXPECT_EQ(200, Exchange("control", "GET", "/b1/control/stats").status_);
  EXPECT_EQ(404, Exchange("control", "GET", "/b2/control/stats").status_);
  EXPECT_EQ(400, Exchange("control", "PUT", "/b1/control/faults", R"({"faults":7})").status_);
}

} // namespace
} // namespace laburnumweir
