/** @file request_flow_leaving_test.cpp Tests of RequestFlow with upstreams that leave the fleet. */
#include "gateway/request_flow_support.h"

#include <atomic>
#include <thread>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::Answer;
using testing_support::FakeAnswer;
using testing_support::kGoodHead;
using testing_support::Peer;
using testing_support::RequestFlowTest;
using testing_support::ScriptedServer;

class LeavingUpstreamTest : public RequestFlowTest
{
protected:
  /** Sends one request. @return the body of its answer. */
  std::string Ask()
  {
    answer_ = std::make_shared<FakeAnswer>();
    Start();
    Finish();
    return answer_->body_;
  }

  /** Applies an entry that says that the upstream `u64` is ready. */
  void ReadReadyEntry(std::int64_t aStartedAt)
  {
    auto entry = fleet_.Upstreams().Find(UpstreamId("u64"))->entry_;
    entry.startedAt_ = aStartedAt;
    ++entry.heartbeat_;
    fleet_.Upstreams().OnEntry(entry);
  }

  /** Sends a request to an upstream `u64` that answers it once mayAnswer_ is set. */
  void StartAndWaitUntilReceived()
  {
    SetUpstreams({ slow_.Address(), other_.Address() });
    Start();
    for (int i = 0; i < 200 && !isReceived_; ++i) {
      context_.run_for(5ms);
      context_.restart();
    }
    ASSERT_TRUE(isReceived_);
  }

  std::string answerText_ = Answer("leaving", kGoodHead + std::string("Server-Leaving: 1\r\n"));
  /** Preferred upstream `u64`; sends answerText_. */
  ScriptedServer leaving_{ [this](Peer& aPeer, int) {
    while (aPeer.ReadRequest()) {
      aPeer.Send(answerText_);
    }
  } };
  ScriptedServer other_{ [](Peer& aPeer, int) {
    while (aPeer.ReadRequest()) {
      aPeer.Send(Answer("other"));
    }
  } };
  std::atomic<bool> isReceived_ = false; ///< Whether slow_ has received a request.
  std::atomic<bool> mayAnswer_ = false;  ///< Whether it may answer.
  /** Sends answerText_. */
  ScriptedServer slow_{ [this](Peer& aPeer, int) {
    while (aPeer.ReadRequest()) {
      isReceived_ = true;
      for (int i = 0; i < 2000 && !mayAnswer_; ++i) {
        std::this_thread::sleep_for(1ms);
      }
      aPeer.Send(answerText_);
    }
  } };
};

// Guards against requests to an upstream that leaves, from a host that has not read its new entry
// because it is out of touch with the store: the answers of the upstream say so too.
TEST_F(LeavingUpstreamTest, GetsNoRequestsAfterAnAnswerThatSaysSo)
{
  SetUpstreams({ leaving_.Address(), other_.Address() });
  EXPECT_EQ(Ask(), "leaving") << "it still answers what it has received";
  EXPECT_EQ(Ask(), "other");
  ReadReadyEntry(startedAt_);
  EXPECT_EQ(Ask(), "other") << "the entry was written before the process began to leave";
  ReadReadyEntry(startedAt_ + 1);
  EXPECT_EQ(Ask(), "leaving") << "a new process under the same id";
}

// Guards against requests to an upstream that leaves after its entry expired and was written again
// by the same process, as after an outage of the store.
TEST_F(LeavingUpstreamTest, GetsNoRequestsWhenItsEntryComesBack)
{
  SetUpstreams({ leaving_.Address(), other_.Address() });
  EXPECT_EQ(Ask(), "leaving");
  const auto entry = fleet_.Upstreams().Find(UpstreamId("u64"))->entry_;
  fleet_.Upstreams().OnRemoved(entry.id_);
  fleet_.Upstreams().OnEntry(entry);
  EXPECT_EQ(Ask(), "other");
}

// Guards against requests to an upstream whose entry expired while a request ran there, and whose
// answer said that it leaves.
TEST_F(LeavingUpstreamTest, IsBelievedInAnAnswerAfterItsEntryExpired)
{
  StartAndWaitUntilReceived();
  const auto entry = fleet_.Upstreams().Find(UpstreamId("u64"))->entry_;
  fleet_.Upstreams().OnRemoved(entry.id_);
  mayAnswer_ = true;
  Finish();
  EXPECT_EQ(answer_->body_, "leaving");
  fleet_.Upstreams().OnEntry(entry);
  EXPECT_EQ(Ask(), "other");
}

// Guards against too many requests to a cold process after a late answer of the process before it,
// which was warm.
TEST_F(LeavingUpstreamTest, LateAnswerOfAnEarlierProcessEndsNoColdPhase)
{
  answerText_ = Answer("late", kGoodHead + std::string("X-Cold-Ms: 0\r\n"));
  StartAndWaitUntilReceived();
  auto entry = fleet_.Upstreams().Find(UpstreamId("u64"))->entry_;
  ++entry.startedAt_;
  entry.coldTimeLeft_ = 30s;
  fleet_.Upstreams().OnEntry(entry);
  mayAnswer_ = true;
  Finish();
  EXPECT_EQ(answer_->body_, "late");
  const auto coldUntil = fleet_.Upstreams().Find(entry.id_)->coldUntil_;
  EXPECT_GT(coldUntil - clock_.Now(), 20s);
}

// Guards against an upstream that is taken for leaving because of an answer that another process
// made: it is not signed and does not prove that the request was refused.
TEST_F(LeavingUpstreamTest, IsBelievedOnlyInItsOwnAnswers)
{
  answerText_ = Answer("forged", "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nServer-Leaving: 1\r\n");
  SetUpstreams({ leaving_.Address(), other_.Address() });
  Ask();
  EXPECT_EQ(answer_->status_, 502U);
  EXPECT_TRUE(fleet_.Upstreams().IsUsable(*fleet_.Upstreams().Find(UpstreamId("u64"))));
}

// Guards against a refusal of an upstream that leaves whose field is not read, since the body of
// the refusal is not passed on.
TEST_F(LeavingUpstreamTest, IsBelievedInARefusal)
{
  answerText_ = "HTTP/1.1 503 Leaving\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\n"
                "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n";
  SetUpstreams({ leaving_.Address(), other_.Address() });
  EXPECT_EQ(Ask(), "other");
  answerText_ = Answer("leaving");
  EXPECT_EQ(Ask(), "other");
}

// Guards against an upstream that is excluded for good because another one, which leaves, answers
// at its address.
TEST_F(LeavingUpstreamTest, IsNotAnotherOneThatAnswersAtItsAddress)
{
  answerText_ = "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: r1\r\nX-Instance-Id: u99\r\n"
                "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n";
  SetUpstreams({ leaving_.Address(), other_.Address() });
  EXPECT_EQ(Ask(), "other");
  answerText_ = Answer("ready");
  ReadReadyEntry(startedAt_);
  EXPECT_EQ(Ask(), "ready");
}

} // namespace
} // namespace laburnumweir
