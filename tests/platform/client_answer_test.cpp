/** @file client_answer_test.cpp Contract of the platform clients: what each answer means. */
#include "engine/engine_admin_client.h"
#include "hostlist/http_host_list.h"
#include "log/http_log_client.h"
#include "platform/platform_fixture.h"
#include "standin/http_server.h"
#include "weights/http_weight_store.h"

namespace laburnumweir {
namespace {

using standin::HttpServer;
using standin::Reply;
using standin::Request;

/** A server with one fixed answer. */
class ClientAnswer : public ::testing::Test
{
protected:
  ClientAnswer()
    : server_(context_,
              [this](Request aRequest, const std::shared_ptr<Reply>& aReply) {
                request_ = std::move(aRequest);
                aReply->Send(status_, body_);
              })
    , where_{ "127.0.0.1", server_.Listen("127.0.0.1", 0) }
  {
  }

  std::error_code Read(LogOffset aFrom, std::size_t aMax)
  {
    HttpLogClient client(context_, where_);
    return Wait([&](const auto& aFinish) {
      client.Read("a/b", aFrom, aMax, {}, [&, aFinish](std::error_code aError, ReadResult aRead) {
        read_ = std::move(aRead);
        aFinish(aError);
      });
    });
  }

  std::error_code Append(std::size_t aCount)
  {
    HttpLogClient client(context_, where_);
    return Wait([&](const auto& aFinish) {
      client.Append("s",
                    std::vector<NewRecord>(aCount, { "i", "d" }),
                    [aFinish](std::error_code aError, LogOffset) { aFinish(aError); });
    });
  }

  std::error_code Find(const AdapterRef& aAdapter)
  {
    HttpWeightStoreClient client(context_, where_);
    return Wait([&](const auto& aFinish) {
      client.Find(aAdapter,
                  [aFinish](std::error_code aError, const AdapterInfo&) { aFinish(aError); });
    });
  }

  std::error_code Fetch()
  {
    HttpHostListClient client(context_, where_);
    return Wait([&](const auto& aFinish) {
      client.Fetch([&, aFinish](std::error_code aError, std::vector<ListedHost> aHosts) {
        hosts_ = std::move(aHosts);
        aFinish(aError);
      });
    });
  }

  std::error_code Load(const AdapterRef& aEvict)
  {
    EngineAdminClient client(context_);
    return Wait([&](const auto& aFinish) {
      client.Load(where_, { "a", "1" }, aEvict, 7, aFinish);
    });
  }

  std::error_code Report()
  {
    EngineAdminClient client(context_);
    return Wait([&](const auto& aFinish) {
      client.Report(where_, [&, aFinish](std::error_code aError, EngineReport aReport) {
        report_ = std::move(aReport);
        aFinish(aError);
      });
    });
  }

  std::error_code Wait(
    const std::function<void(const std::function<void(std::error_code)>&)>& aStart)
  {
    bool isDone = false;
    std::error_code result;
    aStart([&](std::error_code aError) {
      result = aError;
      isDone = true;
    });
    EXPECT_TRUE(RunUntil(context_, [&] { return isDone; }));
    return result;
  }

  boost::asio::io_context context_; ///< Runs server and client.
  int status_ = 200;                ///< Status of the answer.
  std::string body_;                ///< Body of the answer.
  Request request_;                 ///< Last request.
  HttpServer server_;               ///< The server.
  Endpoint where_;                  ///< Where it listens.
  ReadResult read_;                 ///< Last records read.
  std::vector<ListedHost> hosts_;   ///< Last hosts read.
  EngineReport report_;             ///< Last report read.
};

std::string
Record(int aOffset)
{
  return R"({"offset":)" + std::to_string(aOffset) + R"(,"time_ms":1500,"id":"i","data":"d"})";
}

std::string
Records(int aFirst, int aEnd, const std::vector<int>& aOffsets)
{
  std::string list;
  for (const int offset : aOffsets) {
    list += (list.empty() ? "" : ",") + Record(offset);
  }
  return R"({"first":)" + std::to_string(aFirst) + R"(,"end":)" + std::to_string(aEnd) +
         R"(,"records":[)" + list + "]}";
}

/** Guards against records folded at wrong offsets: a gap or an old answer must not be accepted. */
TEST_F(ClientAnswer, ReadAcceptsOnlyTheRecordsAskedFor)
{
  struct Case
  {
    const char* name_;
    std::string body_;
    std::error_code expected_;
  };
  const std::error_code invalid = LogError::InvalidAnswer;
  const std::vector<Case> cases{
    { "as asked", Records(0, 9, { 5, 6 }), {} },
    { "nothing new", Records(0, 5, {}), {} },
    { "older ones expired", Records(7, 9, { 7, 8 }), {} },
    { "end behind the reader", Records(0, 3, {}), {} },
    { "gap", Records(0, 9, { 5, 7 }), invalid },
    { "older than asked", Records(0, 9, { 4, 5 }), invalid },
    { "starts later", Records(0, 9, { 6 }), invalid },
    { "behind the end", Records(0, 6, { 5, 6 }), invalid },
    { "more than asked", Records(0, 9, { 5, 6, 7 }), invalid },
    { "end before first", Records(6, 5, {}), invalid },
    { "negative offset", R"({"first":-1,"end":5,"records":[]})", invalid },
    { "fractional offset", R"({"first":0.5,"end":5,"records":[]})", invalid },
    { "record without data",
      R"({"first":0,"end":9,"records":[{"offset":5,"time_ms":1,"id":"i"}]})",
      invalid },
  };
  for (const auto& item : cases) {
    body_ = item.body_;
    EXPECT_EQ(item.expected_, Read(5, 2)) << item.name_;
    EXPECT_TRUE(!item.expected_ || read_.records_.empty()) << item.name_;
  }
  EXPECT_EQ("/streams/a%2Fb/records?from=5&max=2&wait_ms=0", request_.target_);
  body_ = Records(0, 9, { 5 });
  Read(5, 2);
  EXPECT_EQ(WallTime(std::chrono::milliseconds(1500)), read_.records_.at(0).appended_);
}

/** Guards against an append that took another number of records being reported as done. */
TEST_F(ClientAnswer, AppendChecksTheRange)
{
  body_ = R"({"first_offset":4,"end":6})";
  EXPECT_FALSE(Append(2));
  EXPECT_EQ(LogError::InvalidAnswer, Append(3));
  body_ = R"({"first_offset":"4","end":6})";
  EXPECT_EQ(LogError::InvalidAnswer, Append(2));
  for (const int status : { 400, 404, 413, 429, 503 }) {
    status_ = status;
    EXPECT_EQ(LogError::Refused, Append(2)) << status;
  }
  for (const int status : { 201, 302, 500, 502, 504 }) {
    status_ = status;
    EXPECT_EQ(LogError::InvalidAnswer, Append(2)) << status;
  }
}

/** Guards against the size of one adapter being used for another. */
TEST_F(ClientAnswer, FindAcceptsOnlyTheAdapterAskedFor)
{
  body_ = R"({"name":"a","version":"1","model":"base","bytes":5})";
  EXPECT_FALSE(Find({ "a", "1" }));
  EXPECT_EQ(WeightStoreError::InvalidAnswer, Find({ "a", "2" }));
  EXPECT_EQ(WeightStoreError::InvalidAnswer, Find({ "b", "1" }));
  EXPECT_EQ("/adapters/b/1", request_.target_);
  Find({ "b/../c", "1?" });
  EXPECT_EQ("/adapters/b%2F..%2Fc/1%3F", request_.target_);
  status_ = 404;
  EXPECT_EQ(WeightStoreError::NotFound, Find({ "a", "1" }));
}

/** Guards against a host list entry that cannot be dialled, and against half of a list. */
TEST_F(ClientAnswer, FetchChecksEachEntry)
{
  const std::string good =
    R"({"id":"h","address":"127.0.0.1","port":9,"datacentre":"dc","leaving":true})";
  body_ = R"({"hosts":[)" + good + "]}";
  EXPECT_FALSE(Fetch());
  ASSERT_EQ(1U, hosts_.size());
  EXPECT_EQ(HostId("h"), hosts_[0].id_);
  EXPECT_EQ((Endpoint{ "127.0.0.1", 9 }), hosts_[0].peerEndpoint_);
  EXPECT_EQ(DataCentreId("dc"), hosts_[0].dataCentre_);
  EXPECT_TRUE(hosts_[0].isLeaving_);
  for (const auto* bad :
       { R"({"id":"","address":"127.0.0.1","port":9,"datacentre":"dc","leaving":true})",
         R"({"id":"g","address":"127.0.0.1","port":70000,"datacentre":"dc","leaving":true})",
         R"({"id":"g","address":"127.0.0.1","port":9,"leaving":true})",
         R"({"id":"g","address":"127.0.0.1","port":9,"datacentre":"dc"})",
         "7" }) {
    body_ = R"({"hosts":[)" + good + "," + bad + "]}";
    EXPECT_EQ(HostListError::InvalidAnswer, Fetch()) << bad;
    EXPECT_TRUE(hosts_.empty());
  }
}

/** Guards against an order reported as done, or as failed in another way than it did. */
TEST_F(ClientAnswer, LoadTranslatesEachOutcome)
{
  struct Case
  {
    int status_;
    std::string body_;
    std::error_code expected_;
  };
  const auto error = [](const std::string& aCode) {
    return R"({"error":{"code":")" + aCode + R"(","message":"m"}})";
  };
  const std::vector<Case> cases{
    { 200, R"({"adapter":"a@1"})", {} },
    { 200, R"({"adapter":"a@2"})", EngineError::InvalidAnswer },
    { 200, "{}", EngineError::InvalidAnswer },
    { 409, error("stale_fencing"), EngineError::StaleFencing },
    { 409, error("in_use"), EngineError::InUse },
    { 409, error("no_slot"), EngineError::NoSlot },
    { 409, "{}", EngineError::InvalidAnswer },
    { 502, error("load_failed"), EngineError::LoadFailed },
    { 503, error("refused"), EngineError::Refused },
    { 500, "{}", EngineError::InvalidAnswer },
    { 400, error("invalid"), EngineError::InvalidAnswer },
  };
  for (const auto& item : cases) {
    status_ = item.status_;
    body_ = item.body_;
    EXPECT_EQ(item.expected_, Load({})) << item.status_ << item.body_;
  }
  boost::json::object order;
  ASSERT_TRUE(ParseJsonObject(request_.body_, order));
  EXPECT_FALSE(order.contains("evict"));
  Load({ "old", "3" });
  ASSERT_TRUE(ParseJsonObject(request_.body_, order));
  EXPECT_EQ((boost::json::object{
              { "adapter", "a" }, { "version", "1" }, { "evict", "old@3" }, { "fencing", 7 } }),
            order);
}

/** Guards against a report that lacks the adapters in use, which would allow their eviction. */
TEST_F(ClientAnswer, ReportNeedsEveryField)
{
  const std::string head = R"({"epoch":"e","model":"m","slots":4,"running":2)";
  body_ = head + R"(,"resident":[{"adapter":"a","version":"1","running":2}]})";
  EXPECT_FALSE(Report());
  EXPECT_EQ("e", report_.epoch_);
  EXPECT_EQ("m", report_.model_);
  EXPECT_EQ(4U, report_.slots_);
  EXPECT_EQ(2U, report_.running_);
  ASSERT_EQ(1U, report_.resident_.size());
  EXPECT_EQ((AdapterRef{ "a", "1" }), report_.resident_[0].adapter_);
  EXPECT_EQ(2U, report_.resident_[0].running_);
  for (const auto* rest : { "}",
                            R"(,"resident":7})",
                            R"(,"resident":[{"adapter":"a","version":"1"}]})",
                            R"(,"resident":[{"adapter":"a","running":1}]})",
                            R"(,"resident":[{"adapter":"a","version":"1","running":-1}]})" }) {
    body_ = head + rest;
    EXPECT_EQ(EngineError::InvalidAnswer, Report()) << rest;
  }
}

/** Guards against an error without a text in logs. */
TEST(PlatformErrors, HaveDistinctTexts)
{
  const auto check = [](const std::error_category& aCategory, int aCount) {
    std::set<std::string> texts;
    for (int value = 1; value <= aCount + 1; ++value) {
      texts.insert(aCategory.message(value));
    }
    EXPECT_EQ(static_cast<std::size_t>(aCount) + 1, texts.size()) << aCategory.name();
  };
  check(LogCategory(), 4);
  check(WeightStoreCategory(), 4);
  check(HostListCategory(), 2);
  check(EngineCategory(), 8);
}

} // namespace
} // namespace laburnumweir
