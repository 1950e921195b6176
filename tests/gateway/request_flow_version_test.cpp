/** @file request_flow_version_test.cpp Tests of RequestFlow with released versions of an adapter.
 */
#include "gateway/request_flow_support.h"

#include <atomic>
#include <thread>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing_support::Answer;
using testing_support::FakeAnswer;
using testing_support::Peer;
using testing_support::RequestFlowTest;
using testing_support::ScriptedServer;

constexpr std::chrono::milliseconds kVersionDelay = 400ms;

/** One engine that holds version 1 of the adapter a1 and answers all requests. */
class ReleaseTest : public RequestFlowTest
{
protected:
  ReleaseTest()
  {
    bounds_.maxVersionDelay_ = kVersionDelay;
    engineModels_ = { { "m", { { "a1", 1 } } } };
    timeout_ = 200ms;
  }

  void Release(std::int64_t aVersion)
  {
    ChangeBatch batch;
    batch.changes_ = { AdapterRelease{ "m", "a1", aVersion } };
    fleet_.ApplyOperators(batch);
    fleet_.OnConfigConfirmed(clock_.Now());
  }

  /** Sends one request. @return the status of its answer. */
  unsigned Request()
  {
    answer_ = std::make_shared<FakeAnswer>();
    Start();
    Finish();
    return answer_->status_;
  }

  ScriptedServer server_{ [](Peer& aPeer, int) {
    while (aPeer.ReadRequest()) {
      aPeer.Send(Answer("fine"));
    }
  } };
};

// Guards against refusals while engines load a version that has just been released.
TEST_F(ReleaseTest, OldVersionServesWhileTheNewOneIsLoaded)
{
  bounds_.maxVersionDelay_ = 5s;
  timeout_ = 5s;
  SetUpstreams({ server_.Address() });
  Release(2);
  EXPECT_EQ(Request(), 200U);
}

// Guards against work on a version that was replaced long ago: a second release, made soon after
// the first, allowed every older version again.
TEST_F(ReleaseTest, SecondReleaseDoesNotExtendThePeriodOfTheFirst)
{
  SetUpstreams({ server_.Address() });
  Release(2);
  std::this_thread::sleep_for(kVersionDelay);
  fleet_.OnConfigConfirmed(clock_.Now());
  Release(3);
  EXPECT_EQ(Request(), 503U) << "version 1 was replaced by version 2 more than the bound ago";
}

// Guards against work on an old version at a host that has just started: it took the time at which
// it read the release for the time at which the release was made.
TEST_F(ReleaseTest, HostThatStartsGrantsNoPeriod)
{
  Release(2);
  SetUpstreams({ server_.Address() });
  EXPECT_EQ(Request(), 503U) << "the release may have been made long before the start";
}

/** Whether the caller of a request stays until its answer. */
enum class Caller
{
  Stays,
  Leaves
};

class WaitingRequestTest
  : public ReleaseTest
  , public testing::WithParamInterface<Caller>
{};

// Guards against work on an old version by a request that was sent before the release was known and
// then waited in the queue of its engine. One that must not be cancelled stays there although its
// caller has left.
TEST_P(WaitingRequestTest, IsWithdrawnFromItsEngine)
{
  std::atomic<bool> isClosed = false;
  ScriptedServer busy([&](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.ReadRequest(); // returns when the connection is closed
    isClosed = true;
  });
  timeout_ = 5s;
  SetUpstreams({ busy.Address() });
  Start();
  context_.run_for(50ms);
  context_.restart();
  Release(2);
  if (GetParam() == Caller::Leaves) {
    answer_->onDisconnect_();
  }
  const auto end = clock_.Now() + kVersionDelay;
  while (!isClosed && clock_.Now() < end) {
    context_.run_for(5ms);
    context_.restart();
  }
  EXPECT_TRUE(isClosed);
}

INSTANTIATE_TEST_SUITE_P(All, WaitingRequestTest, testing::Values(Caller::Stays, Caller::Leaves));

// Guards against a latest begin that counts from the release after the one that matters: where any
// version may still be used, the engine may hold another one than its host believes.
TEST_F(ReleaseTest, RequestThatDemandsNoVersionCountsFromTheFirstRelease)
{
  std::atomic<bool> isClosed = false;
  ScriptedServer busy([&](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.ReadRequest(); // returns when the connection is closed
    isClosed = true;
  });
  engineModels_ = { { "m", { { "a1", 2 } } } };
  timeout_ = 5s;
  SetUpstreams({ busy.Address() });
  Release(2);
  std::this_thread::sleep_for(kVersionDelay / 2);
  fleet_.OnConfigConfirmed(clock_.Now());
  Release(3);
  const auto end = clock_.Now() + kVersionDelay / 2;
  Start();
  while (!isClosed && clock_.Now() < end) {
    context_.run_for(5ms);
    context_.restart();
  }
  EXPECT_TRUE(isClosed) << "version 1 may be what the engine holds";
}

} // namespace
} // namespace laburnumweir
