/** @file suspect_table_test.cpp Tests of marks and refusals of dangerous requests. */
#include "dispatch/suspect_table.h"

#include "dispatch/fake_clock.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const UpstreamId kFirst("e1");
const UpstreamId kSecond("e2");
const UpstreamId kThird("e3");

RequestDigest
Digest(std::uint64_t aNumber)
{
  return { aNumber, 0 };
}

PinKey
Key(std::uint64_t aNumber)
{
  return { HostId("h1"), RequestId("r" + std::to_string(aNumber)) };
}

class SuspectTableTest : public testing::Test
{
protected:
  void Start(std::uint64_t aNumber, const UpstreamId& aEngine)
  {
    ASSERT_EQ(SuspectVerdict::Allowed, table_.Test(Digest(aNumber), aEngine));
    table_.Start(Key(aNumber), Digest(aNumber), aEngine);
  }
  FakeClock clock_;
  SuspectTable table_{ clock_ };
};

/** Guards against digests that are equal for another workspace or another split of the text. */
TEST(RequestDigest, DependsOnWorkspaceAndBody)
{
  EXPECT_EQ(DigestOf(WorkspaceId("a"), "body"), DigestOf(WorkspaceId("a"), "body"));
  EXPECT_NE(DigestOf(WorkspaceId("a"), "body"), DigestOf(WorkspaceId("b"), "body"));
  EXPECT_NE(DigestOf(WorkspaceId("ab"), "c"), DigestOf(WorkspaceId("a"), "bc"));
}

/** Guards against a second engine lost to a request that ran alone on the first. */
TEST_F(SuspectTableTest, RefusesARequestThatRanAlone)
{
  Start(1, kFirst);
  EXPECT_EQ(1U, table_.OnCrash(kFirst, "epoch-1").size());
  EXPECT_TRUE(table_.IsRefused(Digest(1)));
  EXPECT_EQ(SuspectVerdict::Refused, table_.Test(Digest(1), kSecond));
}

/** Guards against the refusal of all requests that an engine ran when one crashed it. */
TEST_F(SuspectTableTest, DoesNotRefuseCoVictims)
{
  for (std::uint64_t i = 1; i <= 32; ++i) {
    Start(i, kFirst);
  }
  table_.OnCrash(kFirst, "epoch-1");
  for (std::uint64_t i = 1; i <= 32; ++i) {
    EXPECT_FALSE(table_.IsRefused(Digest(i)));
    EXPECT_EQ(SuspectVerdict::NotHere, table_.Test(Digest(i), kFirst));
  }
  // The cause comes back with some co-victims, which must not be named.
  for (std::uint64_t i = 1; i <= kMaxConcurrentOneMark; ++i) {
    Start(i, kSecond);
  }
  EXPECT_EQ(SuspectVerdict::Later, table_.Test(Digest(9), kSecond));
  table_.OnCrash(kSecond, "epoch-1");
  EXPECT_FALSE(table_.IsRefused(Digest(1)));
  EXPECT_FALSE(table_.IsRefused(Digest(2)));
  // Those with two marks run apart, so the third crash names the cause.
  Start(1, kThird);
  EXPECT_EQ(SuspectVerdict::Later, table_.Test(Digest(2), kThird));
  Start(20, kThird);
  table_.OnCrash(kThird, "epoch-1");
  EXPECT_TRUE(table_.IsRefused(Digest(1)));
  EXPECT_FALSE(table_.IsRefused(Digest(2)));
  EXPECT_FALSE(table_.IsRefused(Digest(20)));
}

/** Guards against a repeated offender that is not named because others were in flight too. */
TEST_F(SuspectTableTest, NamesTheOnlyOneThatWasThereBefore)
{
  Start(1, kFirst);
  Start(2, kFirst);
  table_.OnCrash(kFirst, "epoch-1");
  Start(1, kSecond);
  Start(3, kSecond);
  table_.OnCrash(kSecond, "epoch-1");
  EXPECT_TRUE(table_.IsRefused(Digest(1)));
  EXPECT_FALSE(table_.IsRefused(Digest(2)));
  EXPECT_FALSE(table_.IsRefused(Digest(3)));
}

/** Guards against one crash that counts twice because two peers tell of it. */
TEST_F(SuspectTableTest, MergesOneCrashOnce)
{
  Start(1, kFirst);
  Start(2, kFirst);
  const auto marks = table_.OnCrash(kFirst, "epoch-1");
  table_.Merge(marks);
  SuspectTable other(clock_);
  other.Merge(marks);
  other.Merge(table_.Marks());
  EXPECT_EQ(2U, other.Marks().size());
  EXPECT_EQ(SuspectVerdict::NotHere, other.Test(Digest(1), kFirst));
  EXPECT_EQ(SuspectVerdict::Allowed, other.Test(Digest(1), kSecond));
}

/** Guards against refusals without end, also when peers exchange a mark for ever. */
TEST_F(SuspectTableTest, MarksExpireEverywhere)
{
  Start(1, kFirst);
  table_.OnCrash(kFirst, "epoch-1");
  SuspectTable other(clock_);
  clock_.Advance(minutes(9));
  other.Merge(table_.Marks());
  clock_.Advance(seconds(59));
  EXPECT_TRUE(other.IsRefused(Digest(1)));
  clock_.Advance(seconds(1));
  EXPECT_FALSE(other.IsRefused(Digest(1)));
  table_.Merge(other.Marks());
  table_.Tick();
  EXPECT_EQ(0U, table_.Size());
}

/** Guards against memory that grows with the number of crashed requests, and loss of a cause. */
TEST_F(SuspectTableTest, KeepsTheMostDangerousInBoundedMemory)
{
  Start(1, kFirst);
  table_.OnCrash(kFirst, "epoch-1");
  for (std::uint64_t crash = 0; crash < 200; ++crash) {
    for (std::uint64_t i = 0; i < 32; ++i) {
      Start(1000 + crash * 32 + i, kSecond);
    }
    table_.OnCrash(kSecond, "epoch-" + std::to_string(crash));
  }
  EXPECT_EQ(kMaxSuspectEntries, table_.Size());
  EXPECT_TRUE(table_.IsRefused(Digest(1)));
}

/** Guards against marks for requests that had ended before the crash. */
TEST_F(SuspectTableTest, EndedRequestsGetNoMark)
{
  Start(1, kFirst);
  Start(2, kFirst);
  table_.End(Key(1), kFirst);
  EXPECT_EQ(1U, table_.OnCrash(kFirst, "epoch-1").size());
  EXPECT_FALSE(table_.IsRefused(Digest(1)));
}

} // namespace
} // namespace laburnumweir
