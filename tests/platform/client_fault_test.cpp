/** @file client_fault_test.cpp Contract of the platform clients when answers are lost or invalid.
 */
#include "engine/engine_admin_client.h"
#include "hostlist/http_host_list.h"
#include "log/http_log_client.h"
#include "platform/platform_fixture.h"
#include "standin/http_server.h"
#include "weights/http_weight_store.h"

#include <array>
#include <tuple>

namespace laburnumweir {
namespace {

using standin::HttpServer;
using standin::OutputFault;
using standin::Reply;
using standin::Request;

constexpr std::chrono::milliseconds kTimeout{ 400 };
constexpr std::size_t kOperations = 7;
constexpr std::array<const char*, kOperations> kOperationNames{ "Append", "Read",     "Find",
                                                                "Fetch",  "Announce", "Load",
                                                                "Report" };

/** What the server does to the first request. */
struct Fault
{
  const char* name_;               ///< Name in the test's name.
  bool takesEffect_;               ///< Whether the request is carried out.
  std::function<void(Reply&)> do_; ///< Done to the reply before a request that takes effect.
  std::array<std::error_code, kOperations> expected_; ///< Error of each operation.
};

std::array<std::error_code, kOperations>
Expect(LogError aLog, WeightStoreError aWeights, HostListError aHosts, EngineError aEngine)
{
  return { aLog, aLog, aWeights, aHosts, aHosts, aEngine, aEngine };
}

std::array<std::error_code, kOperations>
ExpectLost()
{
  return Expect(LogError::AnswerLost,
                WeightStoreError::Unreachable,
                HostListError::Unreachable,
                EngineError::AnswerLost);
}

std::array<std::error_code, kOperations>
ExpectInvalid()
{
  return Expect(LogError::InvalidAnswer,
                WeightStoreError::InvalidAnswer,
                HostListError::InvalidAnswer,
                EngineError::InvalidAnswer);
}

std::function<void(Reply&)>
Output(OutputFault aFault)
{
  return [aFault](Reply& aReply) { aReply.SetFault(aFault); };
}

std::function<void(Reply&)>
Answer(int aStatus, std::string aBody)
{
  return [aStatus, aBody = std::move(aBody)](Reply& aReply) { aReply.Send(aStatus, aBody); };
}

const std::vector<Fault>&
Faults()
{
  using Kind = OutputFault::Kind;
  const auto refused = Expect(LogError::Refused,
                              WeightStoreError::Unreachable,
                              HostListError::Unreachable,
                              EngineError::Refused);
  const auto limited = Expect(LogError::Refused,
                              WeightStoreError::RateLimited,
                              HostListError::Unreachable,
                              EngineError::Refused);
  static const std::vector<Fault> kFaults{
    { "None", true, [](Reply&) {}, {} },
    { "LostAfterEffect", true, Output({ .kind_ = Kind::Lose }), ExpectLost() },
    { "SilentAfterEffect", true, Output({ .kind_ = Kind::Swallow }), ExpectLost() },
    { "TooLate", true, Output({ .kind_ = Kind::Late, .delay_ = kTimeout * 2 }), ExpectLost() },
    { "Slow", true, Output({ .kind_ = Kind::Late, .delay_ = kTimeout / 4 }), {} },
    { "Duplicate", true, Output({ .kind_ = Kind::Duplicate }), {} },
    { "Truncated", true, Output({ .kind_ = Kind::Truncate, .bytes_ = 9 }), ExpectLost() },
    { "NoBody", true, Output({ .kind_ = Kind::Truncate }), ExpectLost() },
    { "NotHttp", true, Output({ .kind_ = Kind::InvalidHttp }), ExpectLost() },
    { "Silent", false, [](Reply& aReply) { aReply.Abandon(); }, ExpectLost() },
    { "Reset", false, [](Reply& aReply) { aReply.Reset(); }, ExpectLost() },
    { "Refused", false, Answer(503, "{}"), refused },
    { "RateLimited", false, Answer(429, "{}"), limited },
    { "ServerError", true, Output({ .kind_ = Kind::Status, .status_ = 500 }), ExpectInvalid() },
    { "NotJson", false, Answer(200, "<html>"), ExpectInvalid() },
    { "CutJson", false, Answer(200, R"({"first_offset":0,"hosts":[)"), ExpectInvalid() },
    { "NoObject", false, Answer(200, "[]"), ExpectInvalid() },
  };
  return kFaults;
}

class ClientFault : public ::testing::TestWithParam<std::tuple<std::size_t, std::size_t>>
{
protected:
  ClientFault()
    : server_(context_,
              [this](const Request& aRequest, const std::shared_ptr<Reply>& aReply) {
                Serve(aRequest, *aReply);
              })
    , where_{ "127.0.0.1", server_.Listen("127.0.0.1", 0) }
    , log_(context_, where_, kTimeout)
    , weights_(context_, where_, kTimeout)
    , hosts_(context_, where_, kTimeout)
    , engine_(context_, { kTimeout, kTimeout })
  {
  }

  /** Carries out any request of the platform's protocols, with the fault on the first one. */
  void Serve(const Request& aRequest, Reply& aReply)
  {
    const bool isFirst = requests_++ == 0;
    if (isFirst) {
      fault_.do_(aReply);
      if (!fault_.takesEffect_) {
        return;
      }
    }
    const auto number = std::to_string(effects_++);
    if (aRequest.path_ == "/streams/s/records" && aRequest.method_ == "POST") {
      aReply.Send(200,
                  R"({"first_offset":)" + number + R"(,"end":)" + std::to_string(effects_) + "}");
    } else if (aRequest.path_ == "/streams/s/records") {
      aReply.Send(200,
                  R"({"first":0,"end":100,"records":[{"offset":)" + aRequest.query_.at("from") +
                    R"(,"time_ms":1,"id":"i","data":"d"}]})");
    } else if (aRequest.segments_[0] == "adapters") {
      aReply.Send(200,
                  R"({"name":"a","version":")" + aRequest.segments_[2] +
                    R"(","model":"base","bytes":1})");
    } else if (aRequest.path_ == "/hosts") {
      aReply.Send(200,
                  R"({"hosts":[{"id":"h)" + number +
                    R"(","address":"127.0.0.1","port":1,"datacentre":"dc","leaving":true}]})");
    } else if (aRequest.path_ == "/admin/load") {
      boost::json::object body;
      ParseJsonObject(aRequest.body_, body);
      aReply.Send(200, R"({"adapter":"a@)" + std::string(body.at("version").as_string()) + R"("})");
    } else if (aRequest.path_ == "/admin/state") {
      aReply.Send(200,
                  R"({"epoch":"e)" + number +
                    R"(","model":"base","slots":8,"running":0,"resident":[]})");
    } else {
      aReply.Send(200, R"({"ok":true})");
    }
  }

  /** Runs an operation. @param aSalt differs by call, and is found again in a right answer. */
  std::error_code Run(std::size_t aOperation, std::uint64_t aSalt, bool& aIsOwnAnswer)
  {
    bool isDone = false;
    std::error_code result;
    const auto finish = [&](std::error_code aError, bool aIsOwn) {
      EXPECT_FALSE(isDone) << "the callback ran twice";
      result = aError;
      aIsOwnAnswer = aIsOwn;
      isDone = true;
    };
    const AdapterRef adapter{ "a", "v" + std::to_string(aSalt) };
    const auto number = std::to_string(effects_);
    switch (aOperation) {
      case 0:
        log_.Append("s", { { "id", "data" } }, [&](std::error_code aError, LogOffset aFirst) {
          finish(aError, std::to_string(aFirst) == number);
        });
        break;
      case 1:
        log_.Read("s", aSalt, 10, {}, [&](std::error_code aError, const ReadResult& aRead) {
          finish(aError, aRead.records_.size() == 1 && aRead.records_[0].offset_ == aSalt);
        });
        break;
      case 2:
        weights_.Find(adapter, [&](std::error_code aError, const AdapterInfo& aInfo) {
          finish(aError, aInfo.adapter_ == adapter && aInfo.bytes_ == 1);
        });
        break;
      case 3:
        hosts_.Fetch([&](std::error_code aError, const std::vector<ListedHost>& aHosts) {
          finish(aError, aHosts.size() == 1 && aHosts[0].id_.Value() == "h" + number);
        });
        break;
      case 4:
        hosts_.Announce({ HostId("h/1"), { "127.0.0.1", 1 }, DataCentreId("dc"), false },
                        [&](std::error_code aError) { finish(aError, true); });
        break;
      case 5:
        engine_.Load(where_, adapter, {}, 1, [&](std::error_code aError) { finish(aError, true); });
        break;
      default:
        engine_.Report(where_, [&](std::error_code aError, const EngineReport& aReport) {
          finish(aError, aReport.epoch_ == "e" + number);
        });
    }
    EXPECT_TRUE(RunUntil(context_, [&] { return isDone; }));
    return result;
  }

  boost::asio::io_context context_;                 ///< Runs server and clients.
  Fault fault_ = Faults()[std::get<0>(GetParam())]; ///< Fault under test.
  int requests_ = 0;                                ///< Requests received.
  int effects_ = 0;                                 ///< Requests carried out.
  HttpServer server_;                               ///< Answers all protocols.
  Endpoint where_;                                  ///< Where it listens.
  HttpLogClient log_;                               ///< Client under test.
  HttpWeightStoreClient weights_;                   ///< Client under test.
  HttpHostListClient hosts_;                        ///< Client under test.
  EngineAdminClient engine_;                        ///< Client under test.
};

/**
 * Guards against a fault reported as another one, a request sent twice by the client on its own, a
 * connection in a bad state that is used again, and an answer taken for that of a later request.
 */
TEST_P(ClientFault, IsReportedOnceAndDoesNotHarmTheNextRequest)
{
  const auto operation = std::get<1>(GetParam());
  const auto expected = fault_.expected_[operation];
  bool isOwn = false;
  const auto first = Run(operation, 3, isOwn);
  EXPECT_EQ(expected, first) << first.message();
  EXPECT_TRUE(isOwn || first);
  EXPECT_EQ(1, requests_);
  const auto second = Run(operation, 4, isOwn);
  EXPECT_FALSE(second) << second.message();
  EXPECT_TRUE(isOwn);
  EXPECT_EQ(2, requests_);
}

class ClientWithoutServer : public ClientFault
{};

/** Guards against a refused connection reported as if the request might have taken effect. */
TEST_P(ClientWithoutServer, IsUnreachable)
{
  server_.TakeDown();
  const auto expected = Expect(LogError::Unreachable,
                               WeightStoreError::Unreachable,
                               HostListError::Unreachable,
                               EngineError::Unreachable);
  bool isOwn = false;
  const auto operation = std::get<1>(GetParam());
  EXPECT_EQ(expected[operation], Run(operation, 1, isOwn));
  EXPECT_EQ(0, requests_);
}

std::string
NameOf(const ::testing::TestParamInfo<std::tuple<std::size_t, std::size_t>>& aInfo)
{
  return std::string(Faults()[std::get<0>(aInfo.param)].name_) + "_" +
         kOperationNames[std::get<1>(aInfo.param)];
}

INSTANTIATE_TEST_SUITE_P(All,
                         ClientWithoutServer,
                         ::testing::Combine(::testing::Values<std::size_t>(0),
                                            ::testing::Range<std::size_t>(0, kOperations)),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(All,
                         ClientFault,
                         ::testing::Combine(::testing::Range<std::size_t>(0, Faults().size()),
                                            ::testing::Range<std::size_t>(0, kOperations)),
                         NameOf);

} // namespace
} // namespace laburnumweir
