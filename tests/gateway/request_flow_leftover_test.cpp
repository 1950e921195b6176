/** @file request_flow_leftover_test.cpp Tests of RequestFlow against late copies of refusals and
 * against heads of answers that are cut or broken.
 */
#include "gateway/request_flow_support.h"

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::Answer;
using testing_support::Chunk;
using testing_support::FakeAnswer;
using testing_support::kGoodHead;
using testing_support::Peer;
using testing_support::RequestFlowTest;
using testing_support::ScriptedServer;

constexpr const char* kSignature = "X-Server-Stamp: s\r\n";
constexpr const char* kNotRun = "X-Not-Executed: 1\r\n";

/** When an upstream sends a late copy on a kept connection. */
enum class Moment : std::uint8_t
{
  WithTheAnswerBefore, ///< In one write with the answer to the request before.
  Idle,                ///< While no request is on the connection.
  HalfIdle,            ///< One half while idle, the other one after the next request.
  Running,             ///< After it received the next request.
  RunningInHalves,     ///< After it received the next request, in two writes.
};

struct LeftoverCase
{
  const char* name_;
  Moment moment_;
  std::string id_; ///< Id of the second request; may be empty.
};

void
PrintTo(const LeftoverCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.name_;
}

class LeftoverTest
  : public RequestFlowTest
  , public testing::WithParamInterface<LeftoverCase>
{
protected:
  /** Runs a request that is answered and then one with a late copy of a refusal on its way. */
  void RunTwo(const std::string& aLeftover)
  {
    const auto moment = GetParam().moment_;
    const auto first = aLeftover.substr(0, aLeftover.size() / 2);
    const auto answerTo = [](const std::string& aId, const std::string& aBody) {
      return Answer(aBody, "HTTP/1.1 200 OK\r\n" + IdField(aId) + kSignature);
    };
    std::atomic<int> runs = 0;
    ScriptedServer server([&](Peer& aPeer, int aNumber) {
      if (!aPeer.ReadRequest()) {
        return;
      }
      if (aNumber == 0) {
        const bool isTogether = moment == Moment::WithTheAnswerBefore;
        aPeer.Send(answerTo("r0", "first") + (isTogether ? aLeftover : ""));
        if (moment == Moment::Idle || moment == Moment::HalfIdle) {
          std::this_thread::sleep_for(5ms);
          aPeer.Send(moment == Moment::Idle ? aLeftover : first);
        }
        if (!aPeer.ReadRequest()) {
          return;
        }
        if (moment == Moment::Running) {
          aPeer.Send(aLeftover);
        } else if (moment == Moment::RunningInHalves) {
          aPeer.Send(first);
          std::this_thread::sleep_for(5ms);
          aPeer.Send(aLeftover.substr(first.size()));
        }
      }
      ++runs;
      aPeer.Send(answerTo(GetParam().id_, "booked"));
      aPeer.WaitClosed(300ms);
    });
    SetUpstreams({ server.Address() });
    answer_ = std::make_shared<FakeAnswer>();
    id_ = "r0";
    Start();
    Finish();
    ASSERT_EQ(answer_->body_, "first") << aLeftover;
    std::this_thread::sleep_for(10ms);
    answer_ = std::make_shared<FakeAnswer>();
    id_ = GetParam().id_;
    Start();
    Finish();
    EXPECT_TRUE(answer_->body_ == "booked" || answer_->status_ == 502)
      << answer_->status_ << " after\n"
      << aLeftover;
    EXPECT_TRUE(testing_support::WaitUntil([&] { return runs == 1; }, 200ms)) << runs;
  }

  static std::string IdField(const std::string& aId)
  {
    return aId.empty() ? "" : "X-Attempt-Id: " + aId + "\r\n";
  }
};

// Guards against a request that is reported as not run, or runs twice, because a late copy of an
// earlier refusal arrives on its kept connection.
TEST_P(LeftoverTest, NeverAnswersTheNextRequest)
{
  for (const std::string status :
       { "503 Busy", "429 Busy", "421 Wrong", "408 Slow", "103 Early" }) {
    for (const auto& fields : { std::string(kNotRun),
                                std::string(kNotRun) + kSignature,
                                std::string(kNotRun) + IdField("r0"),
                                std::string(kSignature),
                                kSignature + IdField("r0") }) {
      const bool isInterim = status.starts_with('1');
      RunTwo("HTTP/1.1 " + status + "\r\n" + fields +
             (isInterim ? "\r\n" : "Content-Length: 2\r\n\r\nno"));
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
  Moments,
  LeftoverTest,
  testing::Values(LeftoverCase{ "WithTheAnswerBefore", Moment::WithTheAnswerBefore, "r1" },
                  LeftoverCase{ "Idle", Moment::Idle, "r1" },
                  LeftoverCase{ "HalfIdle", Moment::HalfIdle, "r1" },
                  LeftoverCase{ "Running", Moment::Running, "r1" },
                  LeftoverCase{ "RunningInHalves", Moment::RunningInHalves, "r1" },
                  LeftoverCase{ "IdleNoId", Moment::Idle, "" },
                  LeftoverCase{ "RunningNoId", Moment::Running, "" },
                  LeftoverCase{ "RunningInHalvesNoId", Moment::RunningInHalves, "" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

class MissingMarkerTest
  : public RequestFlowTest
  , public testing::WithParamInterface<std::tuple<std::string, RepeatRule>>
{};

// Guards against a status that tells the caller to try again although the request has run: the
// upstream answers with it and does not say that it did not run the request.
TEST_P(MissingMarkerTest, StatusIsNotPassedOn)
{
  const auto& [status, repeat] = GetParam();
  repeat_ = repeat;
  const std::string body(std::size_t{ 300 } << 10, 'b');
  ScriptedServer server([&](Peer& aPeer, int aNumber) {
    aPeer.ReadRequest();
    aPeer.Send(Answer(aNumber == 0 ? "no" : body,
                      "HTTP/1.1 " + status + "\r\nX-Attempt-Id: r1\r\n" + kSignature));
    aPeer.WaitClosed(100ms);
  });
  for (int i = 0; i < 2; ++i) {
    SetUpstreams({ server.Address() });
    answer_ = std::make_shared<FakeAnswer>();
    Start();
    Finish();
    EXPECT_EQ(answer_->status_, 502U);
    std::this_thread::sleep_for(120ms);
  }
}

INSTANTIATE_TEST_SUITE_P(All,
                         MissingMarkerTest,
                         testing::Combine(testing::Values("503 Busy", "429 Busy", "408 Slow"),
                                          testing::Values(RepeatRule::Once,
                                                          RepeatRule::Repeatable)));

using RepeatedRefusalTest = RequestFlowTest;

// Guards against running a booking twice: an upstream that another one replaced at its address
// refuses the request, and a copy of the refusal arrives while the new one runs it.
TEST_F(RepeatedRefusalTest, CopyDoesNotEndAnAttemptAtANewUpstreamOfTheAddress)
{
  const std::string refusal =
    "HTTP/1.1 421 Wrong\r\nX-Attempt-Id: r1\r\nX-Instance-Id: u9\r\nContent-Length: 0\r\n\r\n";
  std::atomic<int> runs = 0;
  ScriptedServer server([&](Peer& aPeer, int aNumber) {
    aPeer.ReadRequest();
    if (aNumber == 0) {
      aPeer.Send(refusal);
      if (!aPeer.ReadRequest()) {
        return;
      }
      aPeer.Send(refusal);
    }
    ++runs;
    aPeer.Send(Answer("booked"));
    aPeer.WaitClosed(500ms);
  });
  SetUpstreams({ server.Address() });
  Start();
  context_.run_for(50ms);
  context_.restart();
  auto entry = fleet_.Upstreams().Find(UpstreamId("u64"))->entry_;
  entry.id_ = UpstreamId("u9");
  fleet_.Upstreams().OnEntry(entry);
  Finish();
  EXPECT_EQ(answer_->body_, "booked") << answer_->status_;
  EXPECT_EQ(runs, 1);
}

// Guards against running a booking twice: the caller tries again with the same id, and a copy of
// the first refusal arrives on the kept connection.
TEST_F(RepeatedRefusalTest, CopyDoesNotEndTheNextRequestWithTheSameId)
{
  const std::string refusal = "HTTP/1.1 503 Busy\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\n"
                              "Content-Length: 0\r\n\r\n";
  std::atomic<int> runs = 0;
  std::atomic<bool> mayRun = false;
  ScriptedServer server([&](Peer& aPeer, int) {
    bool hasRefused = false;
    while (aPeer.ReadRequest()) {
      const bool isRun = mayRun;
      if (!isRun || hasRefused) {
        hasRefused = true;
        aPeer.Send(refusal);
      }
      if (isRun) {
        ++runs;
        aPeer.Send(Answer("booked"));
      }
    }
  });
  SetUpstreams({ server.Address() });
  timeout_ = 150ms;
  Start();
  Finish();
  ASSERT_EQ(answer_->status_, 503U);
  mayRun = true;
  timeout_ = 1500ms;
  answer_ = std::make_shared<FakeAnswer>();
  Start();
  Finish();
  EXPECT_EQ(answer_->body_, "booked") << answer_->status_;
  EXPECT_EQ(runs, 1);
}

struct BrokenHead
{
  const char* name_;
  std::string text_; ///< What the upstream sends before it closes the connection.
};

void
PrintTo(const BrokenHead& aHead, std::ostream* aStream)
{
  *aStream << aHead.name_;
}

class BrokenHeadTest
  : public RequestFlowTest
  , public testing::WithParamInterface<BrokenHead>
{
protected:
  /** Sends a text in answer to a request, after some bytes on a kept connection if any are given.
   */
  void Run(const std::string& aText, bool aIsReset, const std::optional<std::string>& aBefore)
  {
    ScriptedServer server([&](Peer& aPeer, int) {
      aPeer.ReadRequest();
      if (aBefore) {
        aPeer.Send(Answer("data: first\n\n",
                          std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: r0\r\n") + kSignature));
        aPeer.ReadRequest();
      }
      aPeer.Send(aBefore.value_or("") + aText);
      std::this_thread::sleep_for(aIsReset ? 10ms : 1ms);
      aIsReset ? aPeer.Reset() : aPeer.Close();
    });
    SetUpstreams({ server.Address() });
    if (aBefore) {
      answer_ = std::make_shared<FakeAnswer>();
      id_ = "r0";
      Start();
      Finish();
      ASSERT_EQ(answer_->body_, "data: first\n\n");
    }
    answer_ = std::make_shared<FakeAnswer>();
    id_ = "r1";
    Start();
    Finish();
    EXPECT_TRUE(answer_->status_ == 502 || (answer_->isAborted_ && !answer_->isComplete_))
      << answer_->status_ << " " << answer_->body_ << " after\n"
      << aText;
    startedAt_ += 1;
  }
};

// Guards against an answer with an empty or short body that looks complete: its head is cut or
// broken.
TEST_P(BrokenHeadTest, IsNoAnswer)
{
  for (const auto repeat : { RepeatRule::Once, RepeatRule::Stream }) {
    repeat_ = repeat;
    Run(GetParam().text_, false, std::nullopt);
    Run(GetParam().text_, true, std::nullopt);
    Run(GetParam().text_, false, "");
    Run(GetParam().text_, false, "rest of a body");
  }
}

INSTANTIATE_TEST_SUITE_P(
  Heads,
  BrokenHeadTest,
  testing::Values(
    BrokenHead{ "StatusLine", "HTTP/1.1 200 OK\r\n" },
    BrokenHead{ "FieldName", std::string(kGoodHead) + "Content-Le" },
    BrokenHead{ "FieldValue", std::string(kGoodHead) + "Content-Length: 1" },
    BrokenHead{ "Field", std::string(kGoodHead) + "Content-Length: 6\r\n" },
    BrokenHead{ "LastLine", std::string(kGoodHead) + "Content-Length: 6\r\n\r" },
    BrokenHead{ "NoFraming", std::string(kGoodHead) + "\r\n" },
    BrokenHead{ "NoBody", std::string(kGoodHead) + "Content-Length: 6\r\n\r\n" },
    BrokenHead{ "LoneLf",
                "HTTP/1.1 200 OK\nX-Attempt-Id: r1\nX-Server-Stamp: s\nContent-Length: 1\n\nb" },
    BrokenHead{ "LoneLfAtTheEnd", std::string(kGoodHead) + "Content-Length: 1\r\n\nb" },
    BrokenHead{ "LoneCr", std::string(kGoodHead) + "X-A: b\rContent-Length: 0\r\n\r\n" },
    BrokenHead{ "Nul",
                std::string(kGoodHead) + std::string("X-A: \0\r\n", 8) +
                  "Content-Length: 0\r\n\r\n" },
    BrokenHead{ "NulInTheReason",
                std::string("HTTP/1.1 200 O\0\r\n", 17) + "X-Attempt-Id: r1\r\n" + kSignature +
                  "Content-Length: 0\r\n\r\n" },
    BrokenHead{ "TooLarge",
                std::string(kGoodHead) + "X-A: " + std::string(40000, 'a') +
                  "\r\nContent-Length: 0\r\n\r\n" },
    BrokenHead{ "ErrorInTheReason",
                "HTTP/1.1 200 HTTP/1.1 500 Error\r\nX-Attempt-Id: r1\r\n" +
                  std::string(kSignature) + "Content-Length: 0\r\n\r\n" },
    BrokenHead{ "ErrorInAField",
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: "
                "sHTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n" },
    BrokenHead{ "ErrorAfterAField",
                std::string(kGoodHead) + "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n" },
    BrokenHead{ "TwoLengths",
                std::string(kGoodHead) + "Content-Length: 0\r\nContent-Length: 6\r\n\r\n" },
    BrokenHead{ "LengthAndChunks",
                std::string(kGoodHead) +
                  "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
    BrokenHead{ "CodedBody",
                std::string(kGoodHead) + "Transfer-Encoding: gzip\r\n\r\ndata: coded\n\n" },
    BrokenHead{ "CodedChunks",
                std::string(kGoodHead) + "Transfer-Encoding: gzip, chunked\r\n\r\n" +
                  Chunk("data: coded\n\n") + "0\r\n\r\n" },
    BrokenHead{ "CodedAfterChunks",
                std::string(kGoodHead) + "Transfer-Encoding: chunked, gzip\r\n\r\n" +
                  Chunk("data: coded\n\n") + "0\r\n\r\n" },
    BrokenHead{ "ChunkedTwice",
                std::string(kGoodHead) + "Transfer-Encoding: chunked, chunked\r\n\r\n" +
                  Chunk("data: coded\n\n") + "0\r\n\r\n" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a refusal that is put together from the start of one head and the rest of another
// one: a copy of a refusal is cut and the answer to a request that ran follows it.
TEST_F(RepeatedRefusalTest, CutHeadBeforeAnAnswerIsNoRefusal)
{
  ScriptedServer server([](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send("HTTP/1.1 503 Busy\r\nX-Not-Executed: 1" + Answer("booked"));
    aPeer.WaitClosed(500ms);
  });
  SetUpstreams({ server.Address() });
  Start();
  Finish();
  EXPECT_EQ(answer_->status_, 502U);
}

} // namespace
} // namespace laburnumweir
