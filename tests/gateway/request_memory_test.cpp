/** @file request_memory_test.cpp Tests of the account of request bytes, without sockets. */
#include "gateway/request_memory.h"

#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace laburnumweir {
namespace {

constexpr std::size_t kSmall = 14000;
constexpr std::size_t kLarge = RequestMemory::kLargeRequestBytes + 1;

/** An incomplete request that frees its charge when it is rejected, as a connection does. */
class Request : public EvictableRequest
{
public:
  explicit Request(const std::shared_ptr<RequestMemory>& aMemory)
    : charge_(std::make_shared<MemoryCharge>(aMemory, this))
  {
  }
  void OnEvicted() override
  {
    isEvicted_ = true;
    charge_.reset();
  }
  bool Set(std::size_t aBytes)
  {
    const auto charge = charge_;
    return charge && charge->Set(aBytes);
  }
  std::shared_ptr<MemoryCharge> charge_;
  bool isEvicted_ = false;
};

class RequestMemoryTest : public testing::Test
{
protected:
  std::shared_ptr<RequestMemory> memory_ = std::make_shared<RequestMemory>(10 * kLarge);
  Request one_{ memory_ };
  Request two_{ memory_ };
  Request three_{ memory_ };
};

// Guards against an account that drifts from what is held.
TEST_F(RequestMemoryTest, CountsWhatIsHeld)
{
  EXPECT_TRUE(one_.Set(100));
  EXPECT_TRUE(two_.Set(kSmall));
  EXPECT_TRUE(one_.Set(60));
  EXPECT_EQ(memory_->Held(), 60 + kSmall);
  two_.charge_->Complete();
  EXPECT_EQ(memory_->Held(), 60 + kSmall);
  two_.charge_.reset();
  one_.charge_.reset();
  EXPECT_EQ(memory_->Held(), 0U);
}

// Guards against a small request that is rejected for the bytes of large ones that stall.
TEST_F(RequestMemoryTest, RejectsTheLargestIncompleteRequest)
{
  EXPECT_TRUE(one_.Set(2 * kLarge));
  EXPECT_TRUE(two_.Set(5 * kLarge));
  EXPECT_TRUE(three_.Set(kSmall));
  EXPECT_TRUE(one_.Set(4 * kLarge));
  EXPECT_TRUE(two_.isEvicted_ && !one_.isEvicted_ && !three_.isEvicted_);
  EXPECT_FALSE(one_.Set(9 * kLarge)) << "it is the largest itself";
  EXPECT_EQ(memory_->Held(), kSmall);
}

// Guards against rejecting a complete request, which may be running: its answer would be lost.
TEST_F(RequestMemoryTest, KeepsCompleteRequestsAndRejectsTheOneThatGrows)
{
  EXPECT_TRUE(one_.Set(7 * kLarge));
  one_.charge_->Complete();
  EXPECT_FALSE(two_.Set(2 * kLarge));
  EXPECT_TRUE(two_.isEvicted_ && !one_.isEvicted_);
  EXPECT_EQ(memory_->Held(), 7 * kLarge);
}

// Guards against large requests that wait for an upstream and leave no room for small ones.
TEST_F(RequestMemoryTest, LeavesRoomForSmallRequestsBesideCompleteLargeOnes)
{
  EXPECT_TRUE(one_.Set(7 * kLarge));
  one_.charge_->Complete();
  EXPECT_FALSE(two_.Set(kLarge));
  EXPECT_TRUE(three_.Set(kSmall));
}

// Guards against bytes that no rejection can free, such as pipelined ones, beyond the limit.
TEST_F(RequestMemoryTest, BytesWithoutARequestRejectOthersAndFillTheAccount)
{
  MemoryCharge buffer(memory_);
  EXPECT_TRUE(one_.Set(5 * kLarge));
  EXPECT_FALSE(memory_->IsFull());
  EXPECT_TRUE(buffer.Set(10 * kLarge)) << "it cannot be rejected";
  EXPECT_TRUE(one_.isEvicted_);
  EXPECT_TRUE(memory_->IsFull());
}

/** A request whose rejection frees nothing, since its buffer stays until the connection closes. */
class BufferedRequest : public Request
{
public:
  explicit BufferedRequest(const std::shared_ptr<RequestMemory>& aMemory)
    : Request(aMemory)
    , buffer_(aMemory)
  {
  }
  void OnEvicted() override
  {
    static int depth = 0;
    EXPECT_EQ(depth++, 0) << "rejections of many connections would use up the stack";
    Request::OnEvicted();
    buffer_.Set(kLarge);
    --depth;
  }
  MemoryCharge buffer_;
};

// Guards against rejections that run within one another, and that do not end while nothing is
// freed.
TEST_F(RequestMemoryTest, RejectsOneRequestAfterTheOther)
{
  std::vector<std::unique_ptr<BufferedRequest>> requests;
  for (int i = 0; i < 7; ++i) {
    requests.push_back(std::make_unique<BufferedRequest>(memory_));
    EXPECT_TRUE(requests.back()->Set(kLarge));
  }
  EXPECT_FALSE(one_.Set(kLarge));
  for (const auto& request : requests) {
    EXPECT_TRUE(request->isEvicted_);
  }
}

// Guards against a limit that usual callers reach on the smallest host: a few hundred requests of
// up to 14,000 bytes, each with a read buffer of 32 KiB and a head.
TEST(RequestMemoryLimitTest, HoldsTheUsualRequestsOfTheSmallestHost)
{
  EXPECT_GE(RequestMemoryLimit(120), 500 * (kSmall + 32768 + 5000));
  EXPECT_LE(RequestMemoryLimit(120), 30000000U);
}

} // namespace
} // namespace laburnumweir
