/** @file request_flow_head_test.cpp Tests of RequestFlow with answers whose heads are invalid or
 * unusual.
 */
#include "gateway/request_flow_support.h"
#include "support/answer_support.h"

namespace laburnumweir {
namespace {

using namespace testing_support;

constexpr const char* kEvent = "id: 1\ndata: a\n\n";

class HeadTest
  : public RequestFlowTest
  , public testing::WithParamInterface<HeadCase>
{
protected:
  /** Sends a request over a new connection, or one that has carried another request. */
  void Exchange(RouteKind aKind, bool aIsKept)
  {
    const auto fields = [](const std::string& aId) {
      return "X-Attempt-Id: " + aId + "\r\nX-Server-Stamp: s\r\n";
    };
    ScriptedServer server([&](Peer& aPeer, int) {
      if (aIsKept) {
        aPeer.ReadRequest();
        aPeer.Send(HeadCase{ "" }.Answer(fields("r0"), kEvent));
      }
      if (aPeer.ReadRequest()) {
        aPeer.Send(GetParam().Answer(fields("r1"), kEvent));
        aPeer.WaitClosed(100ms);
      }
    });
    SetRoute(aKind);
    SetUpstreams({ server.Address() });
    if (aIsKept) {
      Call("r0");
      ASSERT_EQ(answer_->body_, kEvent);
    }
    Call("r1");
    EXPECT_EQ(server.Accepted(), 1);
    ++startedAt_;
  }
};

class InvalidHeadTest : public HeadTest
{};

// Guards against an answer that is none in the protocol and reaches the caller: an upstream in
// trouble sent a head with status 000.
TEST_P(InvalidHeadTest, IsNoAnswer)
{
  for (const auto kind : kRouteKinds) {
    for (const bool isKept : { false, true }) {
      Exchange(kind, isKept);
      EXPECT_TRUE(HasFailed()) << int(kind) << isKept << " " << answer_->status_;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(StatusLines,
                         InvalidHeadTest,
                         testing::ValuesIn(InvalidStatusLines()),
                         [](const auto& aInfo) { return aInfo.param.name_; });

INSTANTIATE_TEST_SUITE_P(Fields,
                         InvalidHeadTest,
                         testing::ValuesIn(InvalidFields()),
                         [](const auto& aInfo) { return aInfo.param.name_; });

class InvalidFieldTest : public HeadTest
{};

// Guards against a broken field of a trailer or an interim answer that passes unnoticed.
TEST_P(InvalidFieldTest, OutsideTheHeadSpoilsTheAnswer)
{
  const auto& line = GetParam().field_;
  const std::string chunked = std::string(kGoodHead) + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string trailer = chunked + Chunk(kEvent) + "0\r\n" + line + "\r\n";
  const std::string interim = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n";
  for (const auto& text : { trailer, interim + Answer(kEvent) }) {
    for (const auto kind : { RouteKind::Unsafe, RouteKind::Stream }) {
      ScriptedServer server([&](Peer& aPeer, int) {
        aPeer.ReadRequest();
        aPeer.Send(text);
        aPeer.WaitClosed(100ms);
      });
      SetRoute(kind);
      SetUpstreams({ server.Address() });
      Call("r1");
      EXPECT_TRUE(HasFailed()) << int(kind) << " " << answer_->status_ << " after\n" << text;
      ++startedAt_;
    }
  }
}

/** @return the cases that are a line of their own. */
std::vector<HeadCase>
InvalidLines()
{
  auto cases = InvalidFields();
  std::erase_if(cases, [](const auto& aCase) { return aCase.field_.empty(); });
  return cases;
}

INSTANTIATE_TEST_SUITE_P(Fields,
                         InvalidFieldTest,
                         testing::ValuesIn(InvalidLines()),
                         [](const auto& aInfo) { return aInfo.param.name_; });

class UnusualHeadTest : public HeadTest
{};

// Guards against a sound answer that is refused for its unusual head.
TEST_P(UnusualHeadTest, IsServed)
{
  for (const auto kind : kRouteKinds) {
    Exchange(kind, false);
    EXPECT_EQ(answer_->status_ / 100, 2U);
    EXPECT_EQ(answer_->body_, kEvent);
    EXPECT_TRUE(answer_->isComplete_);
  }
}

INSTANTIATE_TEST_SUITE_P(All,
                         UnusualHeadTest,
                         testing::ValuesIn(UnusualHeads()),
                         [](const auto& aInfo) { return aInfo.param.name_; });

class InterimAnswerTest : public RequestFlowTest
{
protected:
  /** Sends a request that is answered with an interim head and then a whole answer. */
  void Exchange(RouteKind aKind, const std::string& aInterim)
  {
    ScriptedServer server([&](Peer& aPeer, int) {
      aPeer.ReadRequest();
      aPeer.Send(aInterim + Answer(kEvent));
      aPeer.WaitClosed(100ms);
    });
    SetRoute(aKind);
    SetUpstreams({ server.Address() });
    Call("r1");
    ++startedAt_;
  }
};

TEST_F(InterimAnswerTest, AnswerAfterItIsServed)
{
  for (const auto kind : kRouteKinds) {
    Exchange(kind, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
    EXPECT_EQ(answer_->body_, kEvent) << int(kind);
    EXPECT_TRUE(answer_->isComplete_);
  }
}

// Guards against bytes of another protocol that are read as an answer.
TEST_F(InterimAnswerTest, SwitchOfProtocolIsNoAnswer)
{
  for (const auto kind : kRouteKinds) {
    Exchange(kind, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n");
    EXPECT_TRUE(HasFailed()) << int(kind) << " " << answer_->status_;
  }
}

} // namespace
} // namespace laburnumweir
