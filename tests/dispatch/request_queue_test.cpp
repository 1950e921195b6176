/** @file request_queue_test.cpp Tests of the queue's order, shares and bounds. */
#include "dispatch/request_queue.h"

#include "dispatch/fake_clock.h"

#include <gtest/gtest.h>
#include <map>

namespace laburnumweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<ClassId> kOrder{ ClassId("briefing"), ClassId("lookup"), ClassId("digest") };

class RequestQueueTest : public testing::Test
{
protected:
  QueueEntry Entry(const char* aClass, const char* aWorkspace, TokenCount aTokens = 100)
  {
    QueueEntry entry;
    entry.class_ = ClassId(aClass);
    entry.workspace_ = WorkspaceId(aWorkspace);
    entry.tokens_ = aTokens;
    entry.startBy_ = clock_.Now() + seconds(1000);
    return entry;
  }
  /** Lets the queue measure 1000 tokens/s. */
  void MeasureRate(RequestQueue& aQueue)
  {
    for (int i = 0; i < 20; ++i) {
      aQueue.Push(Entry("lookup", "w"), kOrder);
    }
    for (int i = 0; i < 20; ++i) {
      clock_.Advance(milliseconds(100));
      ASSERT_TRUE(aQueue.Pop(kOrder));
    }
  }

  FakeClock clock_;
  RequestQueue queue_{ clock_ };
};

/** Guards against a class order that is fixed when a request is queued. */
TEST_F(RequestQueueTest, TakesTheOrderAtEachPop)
{
  queue_.Push(Entry("lookup", "w"), kOrder);
  queue_.Push(Entry("briefing", "w"), kOrder);
  const std::vector<ClassId> reversed{ ClassId("lookup"), ClassId("briefing") };
  EXPECT_EQ("lookup", queue_.Pop(reversed)->class_.Value());
  EXPECT_EQ("briefing", queue_.Pop(kOrder)->class_.Value());
  EXPECT_FALSE(queue_.Pop(kOrder));
}

/** Guards against requests of a class that no order names being kept for ever. */
TEST_F(RequestQueueTest, ServesUnnamedClassesLast)
{
  queue_.Push(Entry("unnamed", "w"), kOrder);
  queue_.Push(Entry("digest", "w"), kOrder);
  EXPECT_EQ("digest", queue_.Pop(kOrder)->class_.Value());
  EXPECT_EQ("unnamed", queue_.Pop(kOrder)->class_.Value());
}

/** Guards against digests that are not there by dawn because briefings always go first. */
TEST_F(RequestQueueTest, RaisesADeadlineClassWhenItsTimeRunsOut)
{
  MeasureRate(queue_);
  QueueEntry digest = Entry("digest", "w", 10000);
  digest.deadline_ = clock_.Now() + seconds(20);
  queue_.Push(digest, kOrder);
  queue_.Push(Entry("briefing", "w"), kOrder);
  EXPECT_FALSE(queue_.IsRaised(ClassId("digest"))); // 20 s left, 1.5 x 10 s needed
  clock_.Advance(milliseconds(5500));
  EXPECT_TRUE(queue_.IsRaised(ClassId("digest")));
  EXPECT_EQ("digest", queue_.Pop(kOrder)->class_.Value());
}

/** Guards against a workspace that gets more starts by sending more, or by smaller requests. */
TEST_F(RequestQueueTest, SharesTokensBetweenBackloggedWorkspaces)
{
  for (int i = 0; i < 200; ++i) {
    queue_.Push(Entry("lookup", "many", 100), kOrder);
    queue_.Push(Entry("lookup", "large", 900), kOrder);
  }
  std::map<std::string, TokenCount> started;
  for (int i = 0; i < 150; ++i) {
    const auto entry = queue_.Pop(kOrder);
    ASSERT_TRUE(entry);
    started[entry->workspace_.Value()] += entry->tokens_;
    const TokenCount difference = started["many"] - started["large"];
    EXPECT_LE(std::abs(difference), kQueueQuantum + 900);
  }
}

/** Guards against a request larger than the quantum that never starts or blocks the others. */
TEST_F(RequestQueueTest, StartsRequestsLargerThanTheQuantum)
{
  queue_.Push(Entry("lookup", "large", 100 * kQueueQuantum), kOrder);
  queue_.Push(Entry("lookup", "small", 10), kOrder);
  EXPECT_EQ("small", queue_.Pop(kOrder)->workspace_.Value());
  EXPECT_EQ("large", queue_.Pop(kOrder)->workspace_.Value());
}

/** Guards against queues that grow without bound. */
TEST_F(RequestQueueTest, BoundsLengths)
{
  RequestQueue queue(clock_, { .maxPerWorkspace_ = 3, .maxTotal_ = 5 });
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(QueueRefusal::None, queue.Push(Entry("lookup", "a"), kOrder).refusal_);
  }
  EXPECT_EQ(QueueRefusal::WorkspaceFull, queue.Push(Entry("lookup", "a"), kOrder).refusal_);
  queue.Push(Entry("lookup", "b"), kOrder);
  queue.Push(Entry("lookup", "b"), kOrder);
  const PushResult result = queue.Push(Entry("lookup", "c"), kOrder);
  EXPECT_EQ(QueueRefusal::None, result.refusal_);
  ASSERT_TRUE(result.displaced_);
  EXPECT_EQ("a", result.displaced_->entry_.workspace_.Value());
  EXPECT_EQ(5U, queue.Size());
}

/** Guards against a workspace whose flood makes the queue refuse another one early. */
TEST_F(RequestQueueTest, EstimatesTheWaitByShare)
{
  MeasureRate(queue_);
  for (int i = 0; i < 200; ++i) {
    queue_.Push(Entry("lookup", "flood", 1000), kOrder);
  }
  QueueEntry late = Entry("lookup", "flood", 1000);
  late.startBy_ = clock_.Now() + seconds(20);
  EXPECT_EQ(QueueRefusal::TooLate, queue_.Push(late, kOrder).refusal_);
  late.workspace_ = WorkspaceId("other");
  EXPECT_EQ(QueueRefusal::None, queue_.Push(late, kOrder).refusal_);
}

/** Guards against requests that start after their bound, or that are both refused and started. */
TEST_F(RequestQueueTest, GivesUpExpiredRequests)
{
  QueueEntry entry = Entry("lookup", "w");
  entry.startBy_ = clock_.Now() + seconds(2);
  const QueueTicket ticket = queue_.Push(entry, kOrder).ticket_;
  clock_.Advance(seconds(2));
  EXPECT_FALSE(queue_.Pop(kOrder));
  const auto expired = queue_.TakeExpired();
  ASSERT_EQ(1U, expired.size());
  EXPECT_EQ(ticket, expired[0].entry_.ticket_);
  EXPECT_EQ(0U, queue_.Size());
  EXPECT_EQ(0, queue_.QueuedTokens());
  EXPECT_FALSE(queue_.Cancel(ticket));
}

/** Guards against a request without a free engine blocking those behind it, or losing its place. */
TEST_F(RequestQueueTest, ReturnedRequestKeepsItsPlaceAndLetsOthersPass)
{
  const QueueTicket first = queue_.Push(Entry("lookup", "w"), kOrder).ticket_;
  const QueueTicket second = queue_.Push(Entry("lookup", "w"), kOrder).ticket_;
  queue_.Push(Entry("lookup", "w"), kOrder);
  auto entry = queue_.Pop(kOrder);
  EXPECT_EQ(first, entry->ticket_);
  queue_.Return(*entry, clock_.Now() + milliseconds(50));
  EXPECT_EQ(second, queue_.Pop(kOrder)->ticket_);
  clock_.Advance(milliseconds(50));
  EXPECT_EQ(first, queue_.Pop(kOrder)->ticket_);
}

} // namespace
} // namespace laburnumweir
