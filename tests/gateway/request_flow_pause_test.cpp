/** @file request_flow_pause_test.cpp Tests of RequestFlow with upstreams that ask for a pause. */
#include "gateway/request_flow_support.h"

#include <thread>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::Answer;
using testing_support::FakeAnswer;
using testing_support::Peer;
using testing_support::RequestFlowTest;
using testing_support::ScriptedServer;
using SteadyClock = std::chrono::steady_clock;

/** @return a refusal that asks for a pause of some seconds. */
std::string
PauseRefusal(const std::string& aSeconds)
{
  return "HTTP/1.1 503 Busy\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: s\r\nX-Not-Executed: 1\r\n"
         "Retry-After: " +
         aSeconds + "\r\nContent-Length: 0\r\n\r\n";
}

/** @return the wall-clock time, Unix ms. */
std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

class PausedUpstreamTest : public RequestFlowTest
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

  std::atomic<int> received_ = 0; ///< Requests that pausing_ has received.
  std::string refusal_;           ///< Answer of pausing_ to its first requests.
  std::atomic<int> refusals_ = 1; ///< Requests that it still refuses.
  /** Preferred upstream `u64`. */
  ScriptedServer pausing_{ [this](Peer& aPeer, int) {
    while (aPeer.ReadRequest()) {
      ++received_;
      aPeer.Send(refusals_-- > 0 ? refusal_ : Answer("pausing"));
    }
  } };
  ScriptedServer other_{ [](Peer& aPeer, int) {
    while (aPeer.ReadRequest()) {
      aPeer.Send(Answer("other"));
    }
  } };
};

// Guards against requests that an upstream asked not to get: the backoff after a refusal is of one
// request, and the following requests of the host are sent to the same upstream.
TEST_F(PausedUpstreamTest, GetsNoRequestsOfTheHostUntilTheEndOfThePause)
{
  constexpr auto kPause = 600ms;
  refusal_ = PauseRefusal("0.6");
  SetUpstreams({ pausing_.Address(), other_.Address() });
  const auto start = SteadyClock::now();
  while (SteadyClock::now() - start < kPause - 100ms) {
    EXPECT_EQ(Ask(), "other");
    std::this_thread::sleep_for(20ms);
  }
  EXPECT_EQ(received_, 1);
  std::this_thread::sleep_until(start + kPause + 100ms);
  EXPECT_EQ(Ask(), "pausing");
}

// Guards against an upstream that gets fewer requests after a pause than before it, since its
// answer was counted as a failure: a signed 503 that does not say that the request was not run.
TEST_F(PausedUpstreamTest, IsNotLessHealthy)
{
  refusal_ = "HTTP/1.1 503 Busy\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: s\r\nRetry-After: 0.2\r\n"
             "Content-Length: 0\r\n\r\n";
  repeat_ = RepeatRule::Repeatable;
  SetUpstreams({ pausing_.Address(), other_.Address() });
  EXPECT_EQ(Ask(), "other");
  EXPECT_EQ(Ask(), "other");
  EXPECT_EQ(received_, 1);
  EXPECT_EQ(fleet_.Upstreams().Find(UpstreamId("u64"))->attempts_.failureAverage_, 0);
  std::this_thread::sleep_for(250ms);
  EXPECT_EQ(Ask(), "pausing");
}

// Guards against a pause that another process asks for in the name of the upstream.
TEST_F(PausedUpstreamTest, IsPausedOnlyByItsOwnAnswers)
{
  refusal_ =
    "HTTP/1.1 503 Busy\r\nX-Attempt-Id: r1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n";
  SetUpstreams({ pausing_.Address(), other_.Address() });
  Ask();
  EXPECT_EQ(answer_->status_, 502U);
  EXPECT_TRUE(fleet_.Upstreams().IsUsable(*fleet_.Upstreams().Find(UpstreamId("u64"))));
}

// Guards against requests to a process that restarted in place and asked for a pause before this
// host had read its entry.
TEST_F(PausedUpstreamTest, PauseOfAProcessWhoseEntryIsReadLaterIsKept)
{
  refusal_ = PauseRefusal("30");
  startedAt_ = UnixMs() - 60'000;
  SetUpstreams({ pausing_.Address(), other_.Address() });
  auto entry = fleet_.Upstreams().Find(UpstreamId("u64"))->entry_;
  entry.startedAt_ = UnixMs();
  EXPECT_EQ(Ask(), "other");
  fleet_.Upstreams().OnEntry(entry);
  EXPECT_EQ(Ask(), "other");
  EXPECT_EQ(received_, 1);
  std::this_thread::sleep_for(2ms);
  entry.startedAt_ = UnixMs();
  fleet_.Upstreams().OnEntry(entry);
  EXPECT_EQ(Ask(), "pausing") << "it started after the answer";
}

/** @return seconds in the field Retry-After of an answer; 0 if it has none. */
double
RetryAfter(const FakeAnswer& aAnswer)
{
  const std::string text(aAnswer.fields_[boost::beast::http::field::retry_after]);
  return text.empty() ? 0 : std::stod(text);
}

// Guards against callers that wait until their deadline for an upstream that wants no requests
// until later, and that then come back too early.
TEST_F(PausedUpstreamTest, RequestThatCannotStartInTimeIsRefusedAtOnce)
{
  refusal_ = PauseRefusal("30");
  SetUpstreams({ pausing_.Address() });
  timeout_ = 2s;
  for (int i = 0; i < 3; ++i) {
    const auto start = SteadyClock::now();
    Ask();
    EXPECT_LT(SteadyClock::now() - start, 1s);
    EXPECT_EQ(answer_->status_, 503U);
    EXPECT_NEAR(RetryAfter(*answer_), 30, 2);
  }
  EXPECT_EQ(received_, 1);
}

// Guards against refusing requests that can start after a pause: no request starts during it, which
// the queue took for the rate at which slots become free.
TEST_F(PausedUpstreamTest, RequestsThatCanStartAfterThePauseWaitForIt)
{
  refusal_ = PauseRefusal("1.2");
  SetUpstreams({ pausing_.Address() });
  timeout_ = 5s;
  std::vector<std::shared_ptr<FakeAnswer>> answers;
  const auto begin = [&] {
    answer_ = std::make_shared<FakeAnswer>();
    answers.push_back(answer_);
    Start();
  };
  begin();
  context_.run_for(100ms);
  context_.restart();
  for (int i = 0; i < 12; ++i) {
    begin();
  }
  for (const auto& answer : answers) {
    answer_ = answer;
    Finish(5s);
    EXPECT_EQ(answer->body_, "pausing");
  }
}

// Guards against a failed request whose last upstream is paused for a moment only.
TEST_F(PausedUpstreamTest, RequestThatFailedElsewhereWaitsForTheEndOfThePause)
{
  refusal_ = PauseRefusal("0.5");
  repeat_ = RepeatRule::Repeatable;
  ScriptedServer failing([](Peer& aPeer, int) {
    while (aPeer.ReadRequest()) {
      aPeer.Send(Answer("error", "HTTP/1.1 500 X\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: s\r\n"));
    }
  });
  SetUpstreams({ pausing_.Address(), failing.Address() });
  EXPECT_EQ(Ask(), "pausing");
}

// Guards against refusing a request that an engine can still serve in time once it has loaded the
// adapter, because the engine that holds it is paused.
TEST_F(PausedUpstreamTest, RequestWaitsForALoadAtAnotherEngine)
{
  refusal_ = PauseRefusal("30");
  engineModels_ = { { "m", { { "a1", 1 } } } };
  SetUpstreams({ pausing_.Address(), other_.Address() });
  const UpstreamId other("u32");
  fleet_.Upstreams().OnAdapterMissing(other, "m", "a1");
  Start();
  context_.run_for(300ms);
  context_.restart();
  EXPECT_FALSE(answer_->IsDone());
  fleet_.Upstreams().OnResidency({ other, startedAt_, 1, engineModels_ });
  Finish();
  EXPECT_EQ(answer_->body_, "other");
}

} // namespace
} // namespace laburnumweir
