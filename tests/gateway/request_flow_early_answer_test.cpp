/** @file request_flow_early_answer_test.cpp Tests of RequestFlow with upstreams that answer while
 * the request is still being written.
 */
#include "gateway/request_flow_support.h"

namespace laburnumweir {
namespace {

using namespace testing_support;

constexpr const char* kEvent = "id: 1\ndata: a\n\n";
// No socket buffers hold it, so that the write stands still until the upstream reads.
constexpr std::size_t kUploadBytes = std::size_t{ 32 } << 20;

/** What an upstream does once it has sent a body that ends with the connection. */
struct EarlyEnd
{
  const char* name_;
  std::function<void(Peer&)> end_;
};

void
PrintTo(const EarlyEnd& aEnd, std::ostream* aStream)
{
  *aStream << aEnd.name_;
}

std::function<void(Peer&)>
ResetAfter(std::chrono::milliseconds aDelay)
{
  return [aDelay](Peer& aPeer) {
    std::this_thread::sleep_for(aDelay);
    aPeer.Reset();
  };
}

class EarlyAnswerTest
  : public RequestFlowTest
  , public testing::WithParamInterface<EarlyEnd>
{
protected:
  /** Sends a request over a new connection, or one that has carried another request. */
  void Exchange(RouteKind aKind, bool aIsKept)
  {
    const auto head = [](const std::string& aStatus, const std::string& aId) {
      return "HTTP/1.1 " + aStatus + "\r\nX-Attempt-Id: " + aId + "\r\nX-Server-Stamp: s\r\n";
    };
    ScriptedServer server([&](Peer& aPeer, int aNumber) {
      if (aIsKept && aNumber == 0) {
        aPeer.ReadRequest();
        aPeer.Send(Answer(kEvent, head("200 OK", "r0")));
      }
      if (aPeer.ReadUntil("\r\n\r\n")) {
        aPeer.Send(head(status_, "r1") + "\r\n" + kEvent);
        GetParam().end_(aPeer);
      }
    });
    SetRoute(aKind);
    SetUpstreams({ server.Address() });
    if (aIsKept) {
      body_ = "question";
      Call("r0");
      ASSERT_EQ(answer_->body_, kEvent);
    }
    body_ = std::string(kUploadBytes, 'x');
    Call("r1", 7s);
    ++startedAt_;
  }

  std::string status_ = "200 OK"; ///< Of the early answer.
};

class LostEarlyAnswerTest : public EarlyAnswerTest
{};

// Guards against the part of an answer that reaches the caller as a whole one: the connection is
// lost while the request is written, the write receives the error of the socket, and the read that
// follows finds an end like that of an orderly close.
TEST_P(LostEarlyAnswerTest, IsNotComplete)
{
  for (const auto kind : kRouteKinds) {
    for (const bool isKept : { false, true }) {
      Exchange(kind, isKept);
      EXPECT_TRUE(HasFailed()) << int(kind) << isKept << " " << answer_->status_;
    }
  }
}

// Guards against the same with the part of an error, which the caller would take for all of it.
TEST_P(LostEarlyAnswerTest, IsNoCompleteError)
{
  timeout_ = 6s;
  for (const std::string status : { "404 None", "500 Error" }) {
    status_ = status;
    Exchange(RouteKind::Unsafe, false);
    EXPECT_EQ(answer_->status_, 502U) << status;
  }
}

INSTANTIATE_TEST_SUITE_P(Ends,
                         LostEarlyAnswerTest,
                         testing::Values(EarlyEnd{ "ResetAtOnce", ResetAfter(0ms) },
                                         EarlyEnd{ "ResetSoon", ResetAfter(50ms) },
                                         EarlyEnd{ "ResetLater", ResetAfter(400ms) },
                                         EarlyEnd{ "CloseWithUnreadBytes",
                                                   [](Peer& aPeer) {
                                                     std::this_thread::sleep_for(50ms);
                                                     aPeer.Close();
                                                   } }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

class StalledEarlyAnswerTest : public EarlyAnswerTest
{};

// Guards against the same without a reset: the upstream reads nothing more, and the own limit for
// bytes that are not acknowledged ends the connection.
TEST_P(StalledEarlyAnswerTest, IsNotComplete)
{
  timeout_ = 6s;
  Exchange(RouteKind::Unsafe, false);
  EXPECT_TRUE(HasFailed()) << answer_->status_;
}

INSTANTIATE_TEST_SUITE_P(
  Ends,
  StalledEarlyAnswerTest,
  testing::Values(EarlyEnd{ "NothingIsRead", [](Peer&) { std::this_thread::sleep_for(4s); } }),
  [](const auto& aInfo) { return aInfo.param.name_; });

class OrderlyEarlyAnswerTest : public EarlyAnswerTest
{};

// Guards against a sound answer that is refused since its upstream does not read the whole request.
TEST_P(OrderlyEarlyAnswerTest, IsServed)
{
  timeout_ = 6s;
  for (const auto kind : kRouteKinds) {
    for (const bool isKept : { false, true }) {
      Exchange(kind, isKept);
      EXPECT_EQ(answer_->status_, 200U);
      EXPECT_EQ(answer_->body_, kEvent);
      EXPECT_TRUE(answer_->isComplete_);
    }
  }
}

void
EndOutput(Peer& aPeer)
{
  boost::system::error_code ignored;
  aPeer.Socket().shutdown(tcp::socket::shutdown_send, ignored);
}

INSTANTIATE_TEST_SUITE_P(Ends,
                         OrderlyEarlyAnswerTest,
                         testing::Values(EarlyEnd{ "HalfClose",
                                                   [](Peer& aPeer) {
                                                     EndOutput(aPeer);
                                                     aPeer.WaitClosed();
                                                   } },
                                         EarlyEnd{ "HalfCloseLater",
                                                   [](Peer& aPeer) {
                                                     std::this_thread::sleep_for(100ms);
                                                     EndOutput(aPeer);
                                                     std::this_thread::sleep_for(100ms);
                                                   } },
                                         EarlyEnd{ "HalfCloseBeforeReset",
                                                   [](Peer& aPeer) {
                                                     EndOutput(aPeer);
                                                     aPeer.Reset();
                                                   } }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace laburnumweir
