/** @file cold_start_window_test.cpp Tests of the window of an engine that warms up. */
#include "dispatch/cold_start_window.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using std::chrono::milliseconds;

class ColdStartWindowTest : public testing::Test
{
protected:
  void Succeed(int aTimes, Duration aLatency = milliseconds(100))
  {
    for (int i = 0; i < aTimes; ++i) {
      window_.OnSuccess(aLatency, window_.Size());
    }
  }
  ColdStartWindow window_{ { .initial_ = 4, .growth_ = 1, .limit_ = 8 } };
};

/** Guards against full load on an engine that has just started. */
TEST_F(ColdStartWindowTest, GrowsAdditivelyUpToTheLimit)
{
  EXPECT_EQ(4U, window_.Size());
  Succeed(3);
  EXPECT_EQ(4U, window_.Size());
  Succeed(1);
  EXPECT_EQ(5U, window_.Size());
  Succeed(100);
  EXPECT_EQ(8U, window_.Size());
  EXPECT_TRUE(window_.IsFull());
}

/** Guards against growth from answers that show nothing about load. */
TEST_F(ColdStartWindowTest, DoesNotGrowWhenUnused)
{
  for (int i = 0; i < 100; ++i) {
    window_.OnSuccess(milliseconds(100), 1);
  }
  EXPECT_EQ(4U, window_.Size());
}

/** Guards against a full window after an overload, a crash or a new epoch. */
TEST_F(ColdStartWindowTest, StartsAgainAfterAReset)
{
  Succeed(100);
  window_.Reset();
  EXPECT_EQ(4U, window_.Size());
}

/** Guards against an engine that became cold without a new epoch, and against one slow answer. */
TEST_F(ColdStartWindowTest, LatencyJumpResets)
{
  Succeed(100);
  window_.OnSuccess(milliseconds(900), 8);
  Succeed(1);
  EXPECT_EQ(8U, window_.Size());
  EXPECT_FALSE(window_.OnSuccess(milliseconds(900), 8));
  EXPECT_FALSE(window_.OnSuccess(milliseconds(900), 8));
  EXPECT_TRUE(window_.OnSuccess(milliseconds(900), 8));
  EXPECT_EQ(4U, window_.Size());
}

/** Guards against all slots of a restarted engine being loaded at one moment. */
TEST_F(ColdStartWindowTest, SpreadsTheFirstLoads)
{
  TimePoint now{};
  for (std::uint32_t i = 0; i < kColdLoadCount; ++i) {
    EXPECT_TRUE(window_.MayLoad(now));
    window_.OnLoad(now);
    if (i + 1 < kColdLoadCount) {
      EXPECT_FALSE(window_.MayLoad(now + kColdLoadGap - milliseconds(1)));
    }
    now += kColdLoadGap;
  }
  window_.OnLoad(now);
  EXPECT_TRUE(window_.MayLoad(now));
}

/** Guards against a new owner that cuts a warm engine's work, or exceeds its limit. */
TEST_F(ColdStartWindowTest, AdoptsWhatTheEngineCarries)
{
  window_.Adopt(6);
  EXPECT_EQ(6U, window_.Size());
  window_.Adopt(20);
  EXPECT_EQ(8U, window_.Size());
  window_.Adopt(0);
  EXPECT_EQ(4U, window_.Size());
}

} // namespace
} // namespace laburnumweir
