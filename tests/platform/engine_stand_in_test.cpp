/** @file engine_stand_in_test.cpp The stand-in engine over HTTP: answers, orders and faults. */
#include "engine/engine_admin_client.h"
#include "platform/platform_fixture.h"

#include <boost/json.hpp>

namespace laburnumweir {
namespace {

namespace json = boost::json;

class EngineStandInTest : public StandInTest
{
protected:
  /** Starts engine e1 with a weight store. @param aSettings further settings, with a comma first.
   */
  void StartEngine(const std::string& aSettings = {})
  {
    Start(R"({"control":{},"standins":[{"kind":"weights","name":"ws","settings":{"load_ms":20}},
      {"kind":"engine","name":"e1","settings":{"weight_store":"ws","slots":2,"down_ms":300)" +
          aSettings + "}}]}");
  }

  std::error_code Load(const std::string& aName, std::uint64_t aFencing = 1, AdapterRef aEvict = {})
  {
    EngineAdminClient client(context_);
    std::error_code result;
    bool isDone = false;
    client.Load(Where("e1"), { aName, "1" }, aEvict, aFencing, [&](std::error_code aError) {
      result = aError;
      isDone = true;
    });
    EXPECT_TRUE(RunUntil(context_, [&] { return isDone; }));
    return result;
  }

  EngineReport Report()
  {
    EngineAdminClient client(context_);
    EngineReport result;
    bool isDone = false;
    client.Report(Where("e1"), [&](std::error_code aError, EngineReport aReport) {
      EXPECT_FALSE(aError) << aError.message();
      result = std::move(aReport);
      isDone = true;
    });
    EXPECT_TRUE(RunUntil(context_, [&] { return isDone; }));
    return result;
  }

  static std::string Body(const std::string& aName,
                          int aTokens,
                          bool aIsStream,
                          const std::string& aPrompt = "12345678")
  {
    return json::serialize(json::object{ { "model", aName + "@1" },
                                         { "prompt", aPrompt },
                                         { "max_tokens", aTokens },
                                         { "stream", aIsStream } });
  }

  /** Sends a completion and waits for its end. */
  HttpAnswer Complete(const std::string& aBody, const std::string& aId = "r1")
  {
    return Exchange("e1", "POST", "/v1/completions", aBody, { { "X-Request-Id", aId } });
  }

  /** Sends a completion without waiting. @param aAnswer receives the answer; -1 = none came. */
  void Send(const std::string& aBody,
            const std::string& aId,
            const std::string& aPriority,
            HttpAnswer& aAnswer)
  {
    HttpExchange exchange{ "POST",
                           "/v1/completions",
                           { { "X-Request-Id", aId }, { "X-Priority", aPriority } },
                           aBody,
                           std::chrono::seconds(5) };
    clients_.push_back(std::make_unique<JsonClient>(context_, Where("e1")));
    clients_.back()->Send(std::move(exchange), [&](std::error_code aError, HttpAnswer aResult) {
      aAnswer = std::move(aResult);
      if (aError) {
        aAnswer.status_ = -1;
      }
      order_.push_back(&aAnswer);
    });
  }

  static std::string Field(const HttpAnswer& aAnswer, const std::string& aName)
  {
    for (const auto& [name, value] : aAnswer.headers_) {
      if (name == aName) {
        return value;
      }
    }
    return {};
  }

  /** @return the events of a stream. @param aBody the body. */
  static std::vector<std::string> Events(const std::string& aBody)
  {
    std::vector<std::string> events;
    std::size_t start = 0;
    for (auto end = aBody.find("\n\n"); end != std::string::npos; end = aBody.find("\n\n", start)) {
      events.push_back(aBody.substr(start, end - start));
      start = end + 2;
    }
    return events;
  }

  std::vector<std::unique_ptr<JsonClient>> clients_; ///< Clients of requests under way.
  std::vector<const HttpAnswer*> order_;             ///< Answers in the sequence they came in.
};

/** Guards against an answer without the fields by which a client checks that it is its own. */
TEST_F(EngineStandInTest, AnswersNameRequestAdapterAndEpoch)
{
  StartEngine();
  ASSERT_FALSE(Load("a"));
  const auto answer = Complete(Body("a", 3, false));
  EXPECT_EQ(200, answer.status_);
  EXPECT_EQ("r1", Field(answer, "x-request-id"));
  EXPECT_EQ(Report().epoch_, Field(answer, "x-engine-epoch"));
  const auto body = json::parse(answer.body_).as_object();
  EXPECT_EQ("cmpl-r1", body.at("id").as_string());
  EXPECT_EQ("a@1", body.at("model").as_string());
  EXPECT_EQ(" t0 t1 t2", body.at("choices").at(0).at("text").as_string());
  EXPECT_EQ(2, body.at("usage").at("prompt_tokens").to_number<int>());
  EXPECT_EQ(3, body.at("usage").at("completion_tokens").to_number<int>());
  EXPECT_EQ(1, Stats("e1").at("runs_by_request_id").at("r1").to_number<int>());
}

/** Guards against a stream without an event for each token, the usage or the end mark. */
TEST_F(EngineStandInTest, StreamsOneEventForEachToken)
{
  StartEngine(R"(,"token_ms":1)");
  ASSERT_FALSE(Load("a"));
  const auto answer = Complete(Body("a", 3, true));
  EXPECT_EQ("text/event-stream", Field(answer, "content-type"));
  const auto events = Events(answer.body_);
  ASSERT_EQ(4U, events.size());
  for (std::size_t i = 0; i < 3; ++i) {
    const auto event = json::parse(events[i].substr(6));
    EXPECT_EQ("a@1", event.at("model").as_string());
    EXPECT_EQ("cmpl-r1", event.at("id").as_string());
    EXPECT_EQ(" t" + std::to_string(i), event.at("choices").at(0).at("text").as_string());
  }
  EXPECT_EQ(3, json::parse(events[2].substr(6)).at("usage").at("completion_tokens").as_int64());
  EXPECT_EQ("data: [DONE]", events[3]);
  const auto chat = Exchange("e1",
                             "POST",
                             "/v1/chat/completions",
                             R"({"model":"a@1","messages":[{"role":"user","content":"hi"}],
                               "max_tokens":1,"stream":true})");
  ASSERT_EQ(2U, Events(chat.body_).size());
  EXPECT_EQ(" t0",
            json::parse(Events(chat.body_)[0].substr(6))
              .at("choices")
              .at(0)
              .at("delta")
              .at("content")
              .as_string());
}

/** Guards against a refusal that claims "not run" of a request that was counted as a run. */
TEST_F(EngineStandInTest, RefusalsAreNotRuns)
{
  StartEngine(R"(,"max_running":1,"overload_limit":2,"token_ms":120)");
  const auto missing = Complete(Body("a", 1, false), "r0");
  EXPECT_EQ(409, missing.status_);
  EXPECT_EQ("not_run", Field(missing, "x-run"));
  EXPECT_NE(std::string::npos, missing.body_.find("\"adapter_not_loaded\""));
  ASSERT_FALSE(Load("a"));
  HttpAnswer first;
  HttpAnswer second;
  Send(Body("a", 2, false), "r1", "0", first);
  Send(Body("a", 2, false), "r2", "0", second);
  Pass(std::chrono::milliseconds(20));
  const auto busy = Complete(Body("a", 1, false), "r3");
  EXPECT_EQ(503, busy.status_);
  EXPECT_EQ("not_run", Field(busy, "x-run"));
  EXPECT_NE(std::string::npos, busy.body_.find("\"overloaded\""));
  EXPECT_TRUE(RunUntil(context_, [&] { return order_.size() == 2; }));
  SetFaults("e1", R"({"kind":"refuse","count":1})");
  const auto refused = Complete(Body("a", 1, false), "r4");
  EXPECT_EQ(503, refused.status_);
  EXPECT_EQ("not_run", Field(refused, "x-run"));
  EXPECT_EQ(R"({"r1":1,"r2":1})", json::serialize(Stats("e1").at("runs_by_request_id")));
}

/** Guards against a waiting request of high priority behind one of low priority. */
TEST_F(EngineStandInTest, HonoursPriority)
{
  StartEngine(R"(,"max_running":1,"overload_limit":9,"token_ms":120)");
  ASSERT_FALSE(Load("a"));
  HttpAnswer running;
  HttpAnswer low;
  HttpAnswer high;
  Send(Body("a", 2, false), "r1", "5", running);
  Pass(std::chrono::milliseconds(10));
  Send(Body("a", 1, false), "r2", "7", low);
  Pass(std::chrono::milliseconds(10));
  Send(Body("a", 1, false), "r3", "1", high);
  EXPECT_TRUE(RunUntil(context_, [&] { return order_.size() == 3; }));
  EXPECT_EQ((std::vector<const HttpAnswer*>{ &running, &high, &low }), order_);
}

/** Guards against a batch whose size does not slow its tokens down. */
TEST_F(EngineStandInTest, TokensTakeLongerInALargerBatch)
{
  StartEngine(R"(,"max_running":8,"token_ms":2,"token_ms_per_running":2)");
  ASSERT_FALSE(Load("a"));
  const auto start = std::chrono::steady_clock::now();
  Complete(Body("a", 10, false));
  const auto alone = std::chrono::steady_clock::now() - start;
  EXPECT_GE(alone, std::chrono::milliseconds(40));
  std::array<HttpAnswer, 4> answers;
  for (auto& answer : answers) {
    Send(Body("a", 10, false), "r", "0", answer);
  }
  const auto startBatch = std::chrono::steady_clock::now();
  EXPECT_TRUE(RunUntil(context_, [&] { return order_.size() == answers.size(); }));
  EXPECT_GE(std::chrono::steady_clock::now() - startBatch, std::chrono::milliseconds(90));
}

/** Guards against a fault of an answer that the stand-in does not produce as described. */
TEST_F(EngineStandInTest, ScriptedFaultsOfAnswers)
{
  StartEngine();
  ASSERT_FALSE(Load("a"));
  const auto run = [&](const std::string& aFault, bool aIsStream) {
    SetFaults("e1", aFault);
    return Complete(Body("a", 4, aIsStream));
  };
  auto answer = run(R"({"kind":"wrong_request_id","text":"r9"})", false);
  EXPECT_EQ("r9", Field(answer, "x-request-id"));
  EXPECT_NE(std::string::npos, answer.body_.find("cmpl-r9"));
  answer = run(R"({"kind":"wrong_version","text":"2"})", false);
  EXPECT_NE(std::string::npos, answer.body_.find("a@2"));
  answer = run(R"({"kind":"wrong_version"})", true);
  EXPECT_NE(std::string::npos, answer.body_.find("a@another-version"));
  answer = run(R"({"kind":"no_done"})", true);
  EXPECT_EQ(4U, Events(answer.body_).size());
  EXPECT_EQ(std::string::npos, answer.body_.find("[DONE]"));
  answer = run(R"({"kind":"fail_after_start","tokens":2})", true);
  EXPECT_EQ(200, answer.status_);
  ASSERT_EQ(3U, Events(answer.body_).size()) << answer.body_;
  EXPECT_EQ(0U, Events(answer.body_)[2].find("data: {\"error\""));
  answer = run(R"({"kind":"fail_after_start"})", true);
  EXPECT_EQ(500, answer.status_);
  EXPECT_EQ("", Field(answer, "x-run"));
  for (const auto* lost : { R"({"kind":"end_after_tokens","tokens":2})",
                            R"({"kind":"truncate","bytes":20})",
                            R"({"kind":"invalid_http"})",
                            R"({"kind":"lose_answer"})" }) {
    for (const bool isStream : { false, true }) {
      run(lost, isStream);
      EXPECT_EQ(HttpError::AnswerLost, error_) << lost << isStream;
    }
  }
  EXPECT_EQ(14, Stats("e1").at("runs_by_request_id").at("r1").to_number<int>());
  EXPECT_EQ(0, Stat("e1", "running"));
}

/** Guards against a run that goes on, or keeps its place, after its caller or an order ended it. */
TEST_F(EngineStandInTest, EndsRunsOnOrderOrWhenThePeerLeaves)
{
  StartEngine(R"(,"max_running":1,"token_ms":5)");
  ASSERT_FALSE(Load("a"));
  HttpAnswer first;
  HttpAnswer second;
  Send(Body("a", 4000, true), "r1", "0", first);
  Pass(std::chrono::milliseconds(20));
  Send(Body("a", 1, false), "r2", "0", second);
  Pass(std::chrono::milliseconds(20));
  EXPECT_EQ(200, Exchange("e1", "POST", "/admin/requests/r2/cancel").status_);
  EXPECT_EQ(200, Exchange("e1", "POST", "/admin/requests/r1/cancel").status_);
  EXPECT_TRUE(RunUntil(context_, [&] { return order_.size() == 2; }));
  EXPECT_EQ(409, second.status_);
  EXPECT_EQ("not_run", Field(second, "x-run"));
  EXPECT_NE(std::string::npos, first.body_.find("\"cancelled\""));
  EXPECT_EQ(404, Exchange("e1", "POST", "/admin/requests/r1/cancel").status_);

  SetFaults("e1", R"({"kind":"silent_after_tokens","tokens":2})");
  JsonClient client(context_, Where("e1"));
  bool isDone = false;
  client.Send({ "POST", "/v1/completions", {}, Body("a", 9, true), std::chrono::milliseconds(500) },
              [&](std::error_code aError, const HttpAnswer&) {
                EXPECT_EQ(HttpError::AnswerLost, aError);
                isDone = true;
              });
  Pass(std::chrono::milliseconds(50));
  EXPECT_EQ(1, Stat("e1", "running")) << "a silent request keeps its place";
  EXPECT_TRUE(RunUntil(context_, [&] { return isDone; }));
  EXPECT_TRUE(RunUntil(context_, [&] { return Stat("e1", "running") == 0; }));
  EXPECT_EQ(1, Stat("e1", "disconnected"));
}

/** Guards against a cold engine that survives full load, and a crash that leaves anything behind.
 */
TEST_F(EngineStandInTest, ColdEngineCrashesUnderLoad)
{
  StartEngine(R"(,"token_ms":200,"cold_ms":60000,"cold_max_running":1)");
  ASSERT_FALSE(Load("a"));
  const auto epoch = Report().epoch_;
  HttpAnswer first;
  HttpAnswer second;
  Send(Body("a", 2, true), "r1", "0", first);
  Pass(std::chrono::milliseconds(10));
  EXPECT_TRUE(order_.empty());
  Send(Body("a", 2, true), "r2", "0", second);
  EXPECT_TRUE(RunUntil(context_, [&] { return order_.size() == 2; }));
  EXPECT_EQ(-1, first.status_);
  EXPECT_EQ(-1, second.status_);
  EXPECT_EQ(EngineError::Unreachable, Load("a"));
  Pass(std::chrono::milliseconds(450));
  const auto report = Report();
  EXPECT_NE(epoch, report.epoch_);
  EXPECT_TRUE(report.resident_.empty());
  EXPECT_EQ(0U, report.running_);
  EXPECT_EQ(1, Stat("e1", "overload_crashes"));
}

/** Guards against a fault that cannot make a running engine cold without warning. */
TEST_F(EngineStandInTest, FaultMakesAnEngineCold)
{
  StartEngine();
  ASSERT_FALSE(Load("a"));
  SetFaults("e1", R"({"kind":"cold","ms":60000,"limit":0})");
  Complete(Body("a", 1, false));
  EXPECT_EQ(HttpError::AnswerLost, error_);
  Pass(std::chrono::milliseconds(450));
  EXPECT_EQ(1, Stat("e1", "overload_crashes"));
}

/** Guards against a dangerous request that does not crash each engine that runs it. */
TEST_F(EngineStandInTest, MarkedPromptCrashesTheEngine)
{
  StartEngine();
  SetFaults("e1", R"({"kind":"crash_marker","match":{"body":"poison"}})");
  for (int i = 1; i <= 2; ++i) {
    ASSERT_FALSE(Load("a"));
    EXPECT_EQ(200, Complete(Body("a", 1, false)).status_);
    Complete(Body("a", 1, false, "some poison here"));
    EXPECT_EQ(HttpError::AnswerLost, error_);
    Pass(std::chrono::milliseconds(450));
    EXPECT_EQ(i, Stat("e1", "marker_crashes"));
  }
}

/** Guards against orders whose outcome the client cannot tell from the answer. */
TEST_F(EngineStandInTest, OrdersFollowTheSlotsAndTheFencingToken)
{
  StartEngine(R"(,"token_ms":100)");
  EXPECT_FALSE(Load("a", 5));
  EXPECT_FALSE(Load("a", 5));
  EXPECT_FALSE(Load("b", 6));
  EXPECT_EQ(EngineError::StaleFencing, Load("c", 5, { "a", "1" }));
  EXPECT_EQ(EngineError::NoSlot, Load("c", 6));
  HttpAnswer answer;
  Send(Body("a", 3, false), "r1", "0", answer);
  Pass(std::chrono::milliseconds(10));
  EXPECT_EQ(1U, Report().resident_.at(0).running_);
  EXPECT_EQ(EngineError::InUse, Load("c", 6, { "a", "1" }));
  EXPECT_TRUE(RunUntil(context_, [&] { return order_.size() == 1; }));
  SetFaults("e1", R"({"kind":"load_fail","count":1})");
  EXPECT_EQ(EngineError::LoadFailed, Load("c", 6, { "a", "1" }));
  EXPECT_FALSE(Load("c", 6));
  const auto report = Report();
  ASSERT_EQ(2U, report.resident_.size());
  EXPECT_EQ("b", report.resident_[0].adapter_.name_);
  EXPECT_EQ("c", report.resident_[1].adapter_.name_);
  EXPECT_EQ(0, Stat("e1", "evictions_in_use"));
  EXPECT_EQ(1, Stat("e1", "stale_orders_refused"));
  const auto events = json::parse(Exchange("e1", "GET", "/admin/events?from=2").body_);
  EXPECT_EQ(R"([{"sequence":2,"kind":"evicted","adapter":"a@1"},)"
            R"({"sequence":3,"kind":"loaded","adapter":"c@1"}])",
            json::serialize(events.at("events")));
}

/** Guards against reports and events that are never late or complete, unlike those of engines. */
TEST_F(EngineStandInTest, ReportsAndEventsLag)
{
  StartEngine(R"(,"state_lag_ms":700,"event_lag_ms":700,"event_drop_every":2)");
  ASSERT_FALSE(Load("a"));
  ASSERT_FALSE(Load("b"));
  EXPECT_TRUE(Report().resident_.empty());
  const auto early = json::parse(Exchange("e1", "GET", "/admin/events?from=0").body_);
  EXPECT_TRUE(early.at("events").as_array().empty());
  Pass(std::chrono::milliseconds(800));
  EXPECT_EQ(2U, Report().resident_.size());
  const auto late = json::parse(Exchange("e1", "GET", "/admin/events?from=0").body_);
  EXPECT_EQ(1U, late.at("events").as_array().size()) << "every second event is lost";
  EXPECT_EQ(2, late.at("next").as_int64());
}

/** Guards against calls into a stand-in that ends while requests are under way. */
TEST_F(EngineStandInTest, EndsWithRequestsUnderWay)
{
  auto program = std::make_unique<standin::Program>(context_);
  std::ostringstream output;
  program->Start(R"({"standins":[{"kind":"engine","name":"e2","settings":{"token_ms":10000,
    "load_ms":0}},{"kind":"log","name":"log"},{"kind":"weights","name":"ws"}]})",
                 output);
  const auto send = [&](const std::string& aName, HttpExchange aExchange) {
    clients_.push_back(
      std::make_unique<JsonClient>(context_, Endpoint{ "127.0.0.1", program->Port(aName) }));
    clients_.back()->Send(std::move(aExchange), [&](std::error_code aError, const HttpAnswer&) {
      error_ = aError;
      order_.push_back(nullptr);
    });
  };
  send("e2", { "POST", "/admin/load", {}, R"({"adapter":"a","version":"1","fencing":1})" });
  EXPECT_TRUE(RunUntil(context_, [&] { return order_.size() == 1; }));
  EXPECT_FALSE(error_);
  send("e2", { "POST", "/v1/completions", {}, Body("a", 9, true) });
  send("log", { "GET", "/streams/s/records?wait_ms=1000", {}, {} });
  send("ws", { "POST", "/loads", {}, R"({"id":"1","adapter":"a@1"})" });
  Pass(std::chrono::milliseconds(50));
  EXPECT_EQ(1U, order_.size());
  program.reset();
  EXPECT_TRUE(RunUntil(
    context_, [&] { return order_.size() == 4; }, std::chrono::milliseconds(500)));
  EXPECT_EQ(HttpError::AnswerLost, error_);
  Pass(std::chrono::milliseconds(300));
}

/** Guards against a crash that leaves its loads at the weight store and slows others down. */
TEST_F(EngineStandInTest, CrashEndsLoadsAtTheWeightStore)
{
  Start(R"({"standins":[{"kind":"weights","name":"ws","settings":{"load_ms":60000}},
    {"kind":"engine","name":"e1","settings":{"weight_store":"ws"}}]})");
  JsonClient client(context_, Where("e1"));
  bool isDone = false;
  client.Send({ "POST",
                "/admin/load",
                {},
                R"({"adapter":"a","version":"1","fencing":1})",
                std::chrono::seconds(5) },
              [&](std::error_code aError, const HttpAnswer&) {
                EXPECT_EQ(HttpError::AnswerLost, aError);
                isDone = true;
              });
  EXPECT_TRUE(RunUntil(context_, [&] { return Stat("ws", "loads_in_flight") == 1; }));
  EXPECT_EQ(200, Exchange("e1", "POST", "/control/restart", R"({"down_ms":10})").status_);
  EXPECT_TRUE(RunUntil(context_, [&] { return isDone; }));
  EXPECT_TRUE(RunUntil(context_, [&] { return Stat("ws", "loads_in_flight") == 0; }));
  EXPECT_EQ(1, Stat("ws", "loads_aborted"));
}

} // namespace
} // namespace laburnumweir
