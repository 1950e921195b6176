/** @file client_test.cpp Tests of the store and engine clients against scripted servers. */
#include "gateway/store_watch.h"
#include "platform/engine_client.h"
#include "platform/record_codec.h"
#include "platform/store_client.h"
#include "support/net_support.h"

#include <array>
#include <gtest/gtest.h>

namespace laburnumweir::platform {
namespace {

using namespace std::chrono_literals;
using testing_support::Peer;
using testing_support::ScriptedServer;

/** @param aFields header fields, each with its line end. */
std::string
Answer(int aStatus, const std::string& aBody, const std::string& aFields = "")
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
EraField(const std::string& aEra)
{
  return "Store-Era: " + aEra + "\r\n";
}

/** Answers each request with the next scripted text; for an empty text it resets the connection. */
class ClientTest : public testing::Test
{
protected:
  void Serve(std::vector<std::string> aAnswers)
  {
    answers_ = std::move(aAnswers);
    server_ = std::make_unique<ScriptedServer>([this](Peer& aPeer, int) {
      while (const auto request = aPeer.ReadRequest()) {
        const std::lock_guard lock(mutex_);
        targets_.emplace_back(request->target());
        bodies_.push_back(request->body());
        if (answers_.empty()) {
          aPeer.Close();
          return;
        }
        const auto answer = answers_.front();
        answers_.erase(answers_.begin());
        if (answer.empty()) {
          aPeer.Reset();
          return;
        }
        aPeer.Send(answer);
      }
    });
    store_ = std::make_unique<StoreClient>(context_, server_->Address());
  }

  /** Runs the clients until a callback sets the flag; fails after 4 s. */
  void RunUntil(const bool& aIsDone)
  {
    const auto end = std::chrono::steady_clock::now() + 4s;
    while (!aIsDone && std::chrono::steady_clock::now() < end) {
      context_.run_for(10ms);
      context_.restart();
    }
    ASSERT_TRUE(aIsDone);
  }

  std::pair<std::error_code, ChangeBatch> ReadAll(ChangeStream aStream)
  {
    bool isDone = false;
    std::pair<std::error_code, ChangeBatch> result;
    store_->ReadAll(aStream, [&](std::error_code aError, ChangeBatch aBatch) {
      result = { aError, std::move(aBatch) };
      isDone = true;
    });
    RunUntil(isDone);
    return result;
  }

  std::pair<std::error_code, ChangeBatch> ReadChanges(LogOffset aFrom, StoreEra aEra = 0)
  {
    bool isDone = false;
    std::pair<std::error_code, ChangeBatch> result;
    store_->ReadChanges(ChangeStream::Operators,
                        { aEra, aFrom },
                        0ms,
                        [&](std::error_code aError, ChangeBatch aBatch) {
                          result = { aError, std::move(aBatch) };
                          isDone = true;
                        });
    RunUntil(isDone);
    return result;
  }

  std::pair<std::error_code, GroupMembership> Join()
  {
    bool isDone = false;
    std::pair<std::error_code, GroupMembership> result;
    store_->JoinGroup(
      HostId("h#1"), 5, 3000ms, [&](std::error_code aError, GroupMembership aMembership) {
        result = { aError, std::move(aMembership) };
        isDone = true;
      });
    RunUntil(isDone);
    return result;
  }

  OrderAnswer Order()
  {
    EngineClient engines(context_);
    bool isDone = false;
    OrderAnswer result = OrderAnswer::Invalid;
    engines.Send({ { OrderKind::Load, "m", "a1", 2 },
                   UpstreamId("i-1"),
                   server_->Address(),
                   HostId("h"),
                   41,
                   6 },
                 [&](OrderAnswer aAnswer) {
                   result = aAnswer;
                   isDone = true;
                 });
    RunUntil(isDone);
    return result;
  }

  /** @return whether a report of an engine could be read. */
  bool ReadReport()
  {
    EngineClient engines(context_);
    bool isDone = false;
    bool result = false;
    engines.RequestReport(server_->Address(), [&](bool aIsRead, const EngineStateReport&) {
      result = aIsRead;
      isDone = true;
    });
    RunUntil(isDone);
    return result;
  }

  std::mutex mutex_;
  std::vector<std::string> answers_;
  std::vector<std::string> targets_;
  std::vector<std::string> bodies_;
  std::unique_ptr<ScriptedServer> server_;
  boost::asio::io_context context_;
  std::unique_ptr<StoreClient> store_;
};

// Guards against a change that is missed because its key was on a page that had already been read.
TEST_F(ClientTest, ReadsAllPagesAndContinuesFromTheEndOfTheFirst)
{
  // "e30=" is {} in base64; "!!" is not base64.
  Serve({ Answer(200, R"({"items":[{"key":"evacuate/z1","value":"e30=","offset":1}],"has_more":true,
                       "end_offset":6})"),
          Answer(200, R"({"items":[{"key":"evacuate/z2","value":"e30=","offset":2},
                       {"key":"config","value":"!!","offset":3},7],"has_more":false,"end_offset":9})") });
  const auto [error, batch] = ReadAll(ChangeStream::Operators);
  EXPECT_FALSE(error);
  EXPECT_TRUE(batch.isSnapshot_);
  EXPECT_EQ(batch.next_, 6U) << "changes made while the pages were read must be read again";
  EXPECT_EQ(batch.changes_.size(), 2U);
  EXPECT_NE(targets_.at(1).find("after=evacuate%2Fz1"), std::string::npos) << targets_.at(1);
}

// Guards against an answer of an earlier era that is taken as the newest state: a snapshot that was
// sent before the store came back from an older copy may arrive after an answer of the new era.
TEST_F(ClientTest, ReadsTheEraOfEachAnswer)
{
  const std::string page = R"({"items":[],"has_more":false,"end_offset":6})";
  Serve({ Answer(200, page, EraField("2")),
          Answer(200, page, EraField("1")),
          Answer(200, page),
          Answer(503, "", EraField("3")),
          Answer(200, page, EraField("2")),
          Answer(200, page, "store-era: 3\r\n"),
          Answer(200, page, EraField("4x")) });
  const auto [error, batch] = ReadAll(ChangeStream::Operators);
  EXPECT_FALSE(error);
  EXPECT_EQ(batch.Next(), (StorePosition{ 2, 6 }));
  EXPECT_EQ(ReadAll(ChangeStream::Operators).first, make_error_code(StoreError::Outdated));
  EXPECT_EQ(ReadAll(ChangeStream::Operators).first, make_error_code(StoreError::Outdated))
    << "an answer without the field is of era 0";
  EXPECT_EQ(ReadAll(ChangeStream::Operators).first, make_error_code(StoreError::Refused));
  EXPECT_EQ(ReadAll(ChangeStream::Operators).first, make_error_code(StoreError::Outdated))
    << "a refusal named a newer era";
  EXPECT_EQ(ReadAll(ChangeStream::Operators).second.Next(), (StorePosition{ 3, 6 }));
  EXPECT_EQ(ReadAll(ChangeStream::Operators).first, make_error_code(StoreError::Unreadable));
}

// Guards against a snapshot whose pages are of two eras: records of the first pages may be lost in
// the second era, and its changes would be read from an offset of the first one.
TEST_F(ClientTest, PagesOfTwoErasAreNoSnapshot)
{
  Serve({ Answer(200,
                 R"({"items":[{"key":"evacuate/z1","value":"e30=","offset":1}],"has_more":true,
                     "end_offset":6})",
                 EraField("1")),
          Answer(200, R"({"items":[],"has_more":false,"end_offset":4})", EraField("2")) });
  EXPECT_EQ(ReadAll(ChangeStream::Operators).first, make_error_code(StoreError::HistoryLost));
}

TEST_F(ClientTest, ReadsChanges)
{
  std::string offsets(16, '\0');
  offsets[7] = 12;
  Serve({ Answer(200, offsets + EncodeKeyedRecord("evacuate/z1", "")) });
  const auto [error, batch] = ReadChanges(11);
  EXPECT_FALSE(error);
  EXPECT_EQ(batch.next_, 12U);
  EXPECT_FALSE(std::get<EvacuationChange>(batch.changes_.at(0)).isEvacuated_);
  EXPECT_NE(targets_.at(0).find("from=11"), std::string::npos);
}

// Guards against CONFIG: a host whose store reader has lost the store reads it over a connection
// that went silent while it was idle, and acts on its old configuration until the timeout and a
// retry.
TEST_F(ClientTest, AConnectionThatWentSilentWhileIdleIsNotUsed)
{
  std::string offsets(16, '\0');
  offsets[7] = 7;
  server_ = std::make_unique<ScriptedServer>([offsets](Peer& aPeer, int aNumber) {
    while (aPeer.ReadRequest()) {
      aPeer.Send(Answer(200, offsets));
      if (aNumber == 0) {
        aPeer.WaitClosed(); // reads on without an answer
        return;
      }
    }
  });
  store_ = std::make_unique<StoreClient>(context_, server_->Address());
  EXPECT_FALSE(ReadChanges(7).first);
  std::this_thread::sleep_for(1s);
  EXPECT_FALSE(ReadChanges(7).first);
  EXPECT_EQ(server_->Accepted(), 2);
}

// Guards against CONFIG: the connection of a long poll went silent, and the poll ends so late that
// its repeat misses the time at which the host counts as undisturbed again.
TEST_F(ClientTest, ALongPollWithoutAnswerEndsInTimeForARepeat)
{
  constexpr auto kStableTime = 3000ms; // after which a host counts as undisturbed
  const WatchSettings watch;
  server_ = std::make_unique<ScriptedServer>([](Peer& aPeer, int) { aPeer.WaitClosed(); });
  store_ = std::make_unique<StoreClient>(context_, server_->Address());
  const auto start = std::chrono::steady_clock::now();
  bool isDone = false;
  store_->ReadChanges(ChangeStream::Operators,
                      { 0, 7 },
                      watch.configWait_,
                      [&](std::error_code aError, const ChangeBatch&) {
                        EXPECT_TRUE(aError);
                        isDone = true;
                      });
  RunUntil(isDone);
  EXPECT_LT(std::chrono::steady_clock::now() - start + watch.retryDelay_, kStableTime);
}

// Guards against a part of the changes that counts as the newest state.
TEST_F(ClientTest, TellsWhetherTheChangesAreComplete)
{
  std::string offsets(16, '\0');
  offsets[7] = 14;
  const auto record = EncodeKeyedRecord("evacuate/z1", "");
  Serve({ Answer(200, offsets + record), Answer(200, offsets + record + record) });
  EXPECT_FALSE(ReadChanges(11).second.isComplete_);
  EXPECT_TRUE(ReadChanges(12).second.isComplete_);
}

// Guards against records that are skipped after the store came back from an older copy: an offset
// that was read in the old era is given out again, so that a read from it succeeds although the
// records of the new era before it were not read.
TEST_F(ClientTest, AReadFromAPositionOfAnotherEraLosesItsHistory)
{
  std::string offsets(16, '\0');
  offsets[7] = 12;
  const auto page = offsets + EncodeKeyedRecord("evacuate/z1", "");
  Serve({ Answer(200, page, EraField("1")), Answer(200, page, EraField("2")) });
  const auto [error, batch] = ReadChanges(11, 1);
  EXPECT_FALSE(error);
  EXPECT_EQ(batch.Next(), (StorePosition{ 1, 12 }));
  EXPECT_EQ(ReadChanges(12, 1).first, make_error_code(StoreError::HistoryLost));
}

// Guards against a lost history or a lost membership being retried like a store that is overloaded
// or unreachable.
TEST_F(ClientTest, DistinguishesStoreErrors)
{
  Serve({ Answer(410, R"({"first_offset":9})"),
          Answer(503, ""),
          Answer(429, ""),
          Answer(500, ""),
          Answer(200, "short"),
          "HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\ncut",
          "" });
  EXPECT_EQ(ReadChanges(0).first, make_error_code(StoreError::HistoryLost));
  EXPECT_EQ(ReadChanges(0).first, make_error_code(StoreError::Refused));
  EXPECT_EQ(ReadChanges(0).first, make_error_code(StoreError::Refused));
  EXPECT_EQ(ReadChanges(0).first, make_error_code(StoreError::Unreadable));
  EXPECT_EQ(ReadChanges(0).first, make_error_code(StoreError::Unreadable));
  EXPECT_EQ(ReadChanges(0).first, make_error_code(StoreError::Unreachable)) << "truncated answer";
  EXPECT_EQ(ReadChanges(0).first, make_error_code(StoreError::Unreachable))
    << "connection reset before the answer";
}

TEST_F(ClientTest, JoinsTheGroup)
{
  Serve(
    { Answer(200,
             R"({"generation":7,"ttl_ms":3000,"parts":[["t",3,840],["t","x",1],7,["t",11,0]]})"),
      Answer(200, R"({"parts":[]})"),
      Answer(409, R"({"why":"x"})"),
      "" });
  const auto [error, membership] = Join();
  EXPECT_FALSE(error);
  EXPECT_EQ(membership.generation_, 7U);
  EXPECT_EQ(membership.partitions_, (std::vector<std::uint32_t>{ 3, 11 }));
  EXPECT_NE(bodies_.at(0).find("\"generation\":5"), std::string::npos);
  EXPECT_EQ(Join().first, make_error_code(StoreError::Unreadable));
  EXPECT_EQ(Join().first, make_error_code(StoreError::NotMember));
  EXPECT_EQ(Join().first, make_error_code(StoreError::Unreachable));
}

// Guards against fencing tokens that go back when the store is restored from a copy.
TEST_F(ClientTest, ReadsTheEraOfAJoin)
{
  const auto ofEra = [](int aStatus, const std::string& aEra) {
    auto answer = Answer(aStatus, R"({"generation":7})");
    return answer.insert(answer.find("\r\n") + 2, "Store-Era: " + aEra + "\r\n");
  };
  Serve({ Answer(200, R"({"generation":7})"),
          ofEra(200, "3"),
          ofEra(409, "4"),
          ofEra(200, "2097151"),
          ofEra(200, "2097152"),
          ofEra(200, "x"),
          "" });
  EXPECT_EQ(Join().second.era_, 0U);
  EXPECT_EQ(Join().second.era_, 3U);
  const auto [error, membership] = Join();
  EXPECT_EQ(error, make_error_code(StoreError::NotMember));
  EXPECT_EQ(membership.era_, 4U);
  EXPECT_EQ(Join().second.era_, 2097151U);
  EXPECT_EQ(Join().first, make_error_code(StoreError::Unreadable)) << "tokens are below 2^53";
  EXPECT_EQ(Join().first, make_error_code(StoreError::Unreadable));
  EXPECT_EQ(Join().first, make_error_code(StoreError::Unreachable));
}

// Guards against hosts that forget, when all are killed at once, what has crashed upstreams.
TEST_F(ClientTest, WritesReadsAndRemovesQuarantines)
{
  // In base64, the value is {"contents":["p1","p2"],"until":1000}.
  Serve({ Answer(200, R"({"offset":1,"end_offset":2})"),
          Answer(200, R"({"items":[
            {"key":"quarantine/1","value":"eyJjb250ZW50cyI6WyJwMSIsInAyIl0sInVudGlsIjoxMDAwfQ=="},
            {"key":"quarantine/2","value":"b2Rk"}],"has_more":false,"end_offset":2})"),
          Answer(200, R"({"offset":2,"end_offset":3})") });
  bool isDone = false;
  const auto onDone = [&](std::error_code aError) {
    EXPECT_FALSE(aError);
    isDone = true;
  };
  const QuarantineRecord record{ { ContentId("p1"), ContentId("p2") }, WallTime(1s) };
  store_->WriteQuarantine(record, onDone);
  RunUntil(isDone);
  EXPECT_NE(bodies_.at(0).find(R"({"contents":["p1","p2"],"until":1000})"), std::string::npos);
  isDone = false;
  store_->ReadHostTopic([&](std::error_code aError, const HostTopicRecords& aRecords) {
    EXPECT_FALSE(aError);
    ASSERT_EQ(aRecords.quarantines_.size(), 1U);
    EXPECT_EQ(aRecords.quarantines_[0].contents_, record.contents_);
    EXPECT_EQ(aRecords.quarantines_[0].until_, record.until_);
    EXPECT_TRUE(aRecords.hosts_.empty());
    isDone = true;
  });
  RunUntil(isDone);
  isDone = false;
  store_->RemoveQuarantine(record.contents_, onDone);
  RunUntil(isDone);
  const auto key = bodies_.at(0).find("quarantine/");
  ASSERT_NE(key, std::string::npos);
  EXPECT_EQ(bodies_.at(2).size(), bodies_.at(0).find('{')) << "a record without a value";
}

// Guards against streams that are joined from two software versions, or all refused, after all
// hosts were killed: what the store holds of them is not understood.
TEST_F(ClientTest, WritesAndReadsTheSoftwareThatBeganStreams)
{
  const StreamOriginRecord first{ RequestId("r1"), { ServiceName("s"), SoftwareVersion("v1") } };
  const StreamOriginRecord second{ RequestId("r2"),
                                   { ServiceName("s"), SoftwareVersion("v2"), true } };
  const auto written = EncodeRecord(EncodeOrigins(std::array{ first, second }));
  const std::string head{ "\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x06", 16 };
  const SoftwareRecord record{
    ServiceName("s"), { SoftwareVersion("v1"), SoftwareVersion("v2") }, true, 3
  };
  // In base64, the value is that of the record.
  Serve(
    { Answer(200, R"({"offset":1,"end_offset":2})"),
      Answer(410, R"({"first_offset":6})", EraField("3")),
      Answer(200, head + written + EncodeRecord("odd") + written, EraField("3")),
      Answer(
        200,
        R"({"items":[{"key":"software/1","value":"eyJzZXJ2aWNlIjoicyIsInZlcnNpb25zIjpbInYxIiwidjIiXSwiY29tcGxldGUiOnRydWUsImVyYSI6M30="},
            {"key":"software/2","value":"b2Rk"}],"has_more":false,"end_offset":2})",
        EraField("3")) });
  bool isDone = false;
  store_->AppendOrigins(std::array{ first, second }, [&](std::error_code aError) {
    EXPECT_FALSE(aError);
    isDone = true;
  });
  RunUntil(isDone);
  EXPECT_EQ(bodies_.at(0), written);
  isDone = false;
  store_->ReadOrigins(std::nullopt, [&](std::error_code aError, const StreamOriginBatch& aBatch) {
    EXPECT_FALSE(aError);
    ASSERT_EQ(aBatch.records_.size(), 4U);
    EXPECT_EQ(aBatch.records_[1].attempt_, second.attempt_);
    EXPECT_EQ(aBatch.records_[1].origin_, second.origin_);
    EXPECT_EQ(aBatch.next_, (StorePosition{ 3, 9 }));
    EXPECT_TRUE(aBatch.isComplete_);
    isDone = true;
  });
  RunUntil(isDone);
  EXPECT_NE(targets_.at(2).find("from=6"), std::string::npos);
  isDone = false;
  store_->ReadHostTopic([&](std::error_code aError, const HostTopicRecords& aRecords) {
    EXPECT_FALSE(aError);
    EXPECT_EQ(aRecords.software_, std::vector{ record });
    EXPECT_EQ(aRecords.era_, 3U);
    isDone = true;
  });
  RunUntil(isDone);
  EXPECT_EQ(EncodeSoftware(record),
            R"({"service":"s","versions":["v1","v2"],"complete":true,"era":3})");
}

TEST_F(ClientTest, PublishesAndReadsHosts)
{
  // In base64, MTAuMS4wLjI1Ojc2MDAgZGMx is "10.1.0.25:7600 dc1" and b2Rk is "odd".
  Serve({ Answer(200, R"({"offset":1,"end_offset":2})"),
          Answer(200, R"({"items":[{"key":"h1","value":"MTAuMS4wLjI1Ojc2MDAgZGMx"},
                       {"key":"h2","value":"b2Rk"}],"has_more":false,"end_offset":2})") });
  bool isDone = false;
  const HostRecord host{ HostId("h1"), { "10.1.0.25", 7600 }, DataCentreId("dc1") };
  store_->PublishHost(host, [&](std::error_code aError) {
    EXPECT_FALSE(aError);
    isDone = true;
  });
  RunUntil(isDone);
  EXPECT_NE(bodies_.at(0).find("10.1.0.25:7600 dc1"), std::string::npos);
  isDone = false;
  store_->ReadHostTopic([&](std::error_code aError, const HostTopicRecords& aRecords) {
    EXPECT_FALSE(aError);
    ASSERT_EQ(aRecords.hosts_.size(), 1U);
    EXPECT_EQ(aRecords.hosts_[0], host);
    isDone = true;
  });
  RunUntil(isDone);
}

// Guards against an order without an answer being taken for a refused one.
TEST_F(ClientTest, DistinguishesOrderAnswers)
{
  Serve({ Answer(202, ""),
          Answer(200, ""),
          Answer(409, ""),
          Answer(412, ""),
          Answer(421, ""),
          Answer(400, ""),
          "" });
  EXPECT_EQ(Order(), OrderAnswer::Accepted);
  EXPECT_EQ(Order(), OrderAnswer::AlreadyDone);
  EXPECT_EQ(Order(), OrderAnswer::Conflict);
  EXPECT_EQ(Order(), OrderAnswer::Fenced);
  EXPECT_EQ(Order(), OrderAnswer::OtherEngine);
  EXPECT_EQ(Order(), OrderAnswer::Invalid);
  EXPECT_EQ(Order(), OrderAnswer::NoAnswer) << "the engine may have accepted the order";
  for (const auto* part : { "\"operation\":\"load\"",
                            "\"adapter\":\"a1\"",
                            "\"version\":2",
                            "\"precondition\":6",
                            "\"fencing_token\":41",
                            "\"owner\":\"h\"" }) {
    EXPECT_NE(bodies_.at(0).find(part), std::string::npos) << part;
  }
}

// Guards against memory that an engine in trouble takes by an answer without end.
TEST_F(ClientTest, AnOrderAnswerWithoutEndIsNoAnswer)
{
  std::atomic<std::size_t> sent = 0;
  ScriptedServer server([&](Peer& aPeer, int) {
    constexpr std::size_t kMaxBytes = std::size_t{ 256 } << 20;
    aPeer.ReadRequest();
    aPeer.Send("HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string block = "8000\r\n" + std::string(0x8000, 'x') + "\r\n";
    while (sent < kMaxBytes && aPeer.Send(block)) {
      sent += block.size();
    }
  });
  EngineClient engine(context_);
  bool isDone = false;
  OrderAnswer answer = OrderAnswer::Accepted;
  FencedOrder order;
  order.endpoint_ = server.Address();
  engine.Send(order, [&](OrderAnswer aAnswer) {
    answer = aAnswer;
    isDone = true;
  });
  RunUntil(isDone);
  EXPECT_EQ(answer, OrderAnswer::NoAnswer);
  EXPECT_LT(sent, std::size_t{ 24 } << 20) << "buffers of both sockets hold some megabytes";
}

// Guards against memory that a faulty answer without end takes in place of one of the store.
TEST_F(ClientTest, AnAnswerWithoutEndIsNoAnswerOfTheStore)
{
  std::atomic<std::size_t> sent = 0;
  ScriptedServer server([&](Peer& aPeer, int) {
    constexpr std::size_t kMaxBytes = std::size_t{ 256 } << 20;
    aPeer.ReadRequest();
    aPeer.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string block = "8000\r\n" + std::string(0x8000, 'x') + "\r\n";
    while (sent < kMaxBytes && aPeer.Send(block)) {
      sent += block.size();
    }
  });
  store_ = std::make_unique<StoreClient>(context_, server.Address());
  EXPECT_EQ(ReadAll(ChangeStream::Upstreams).first, StoreError::Unreachable);
  EXPECT_LT(sent, std::size_t{ 24 } << 20) << "buffers of both sockets hold some megabytes";
}

/** Trailer fields after the last chunk of an answer. */
class LongTrailerTest
  : public ClientTest
  , public testing::WithParamInterface<std::string>
{};

// Guards against a process that ends with all its requests because an engine or the store sends a
// field after the last chunk that is longer than a message can hold.
TEST_P(LongTrailerTest, IsNoAnswer)
{
  const std::string answer = "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "2\r\n{}\r\n0\r\n" +
                             GetParam() + "\r\n";
  Serve({ answer, answer, answer });
  EXPECT_EQ(Order(), OrderAnswer::NoAnswer);
  EXPECT_EQ(ReadAll(ChangeStream::Upstreams).first, StoreError::Unreachable);
  EXPECT_FALSE(ReadReport());
}

INSTANTIATE_TEST_SUITE_P(Fields,
                         LongTrailerTest,
                         testing::Values("X: " + std::string(65534, 'x') + "\r\n",
                                         std::string(65534, 'x') + ": x\r\n",
                                         "X: " + std::string(300000, 'x') + "\r\n"));

// Guards against a broken answer of an engine or the store that is read as a refusal: the order or
// the call may have taken effect.
TEST_F(ClientTest, AnInvalidStatusIsNoAnswer)
{
  const std::string answer = "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}";
  Serve({ answer, answer, answer });
  EXPECT_EQ(Order(), OrderAnswer::NoAnswer);
  EXPECT_EQ(ReadAll(ChangeStream::Upstreams).first, StoreError::Unreachable);
  EXPECT_FALSE(ReadReport());
}

// Guards against an answer of the store whose era is replaced by a field after its last chunk.
TEST_F(ClientTest, TrailerFieldsAreNoHeaderFields)
{
  const auto answer = [](const std::string& aFields) {
    const std::string body = R"({"items":[],"has_more":false,"end_offset":7 })";
    EXPECT_EQ(body.size(), 0x2dU);
    return "HTTP/1.1 200 OK\r\n" + aFields + "Transfer-Encoding: chunked\r\n\r\n2d\r\n" + body +
           "\r\n0\r\n" + EraField("9") + "\r\n";
  };
  Serve({ answer(EraField("3")), answer("") });
  const auto [error, batch] = ReadAll(ChangeStream::Operators);
  EXPECT_FALSE(error) << error.message();
  EXPECT_EQ(batch.era_, 3U);
  EXPECT_EQ(ReadAll(ChangeStream::Operators).first, StoreError::Outdated)
    << "an answer without the field has era 0";
}

} // namespace
} // namespace laburnumweir::platform
