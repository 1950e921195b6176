/** @file request_memory.cpp Account of the bytes that the requests of a process hold. */
#include "gateway/request_memory.h"

#include <algorithm>
#include <utility>

namespace laburnumweir {

namespace {

// The smallest host has 120 MB. About 15 MB are the program, 32 MB control at 370 hosts; a quarter
// for requests leaves the rest to answers, idle connections, the kernel's receive buffers and the
// fragmentation of the heap.
constexpr std::size_t kMemoryDivisor = 4;
constexpr std::size_t kBytesPerMb = 1000000;

} // namespace

std::size_t
RequestMemoryLimit(std::size_t aMemoryMb)
{
  return aMemoryMb * kBytesPerMb / kMemoryDivisor;
}

void
RequestMemory::Grow(MemoryCharge& aCharge)
{
  if (std::exchange(isEvicting_, true)) {
    return; // a rejection moves bytes between charges; the outer call goes on until the sum fits
  }
  const bool isLarge = aCharge.bytes_ > kLargeRequestBytes;
  const auto limit = isLarge ? limit_ - limit_ / 4 : limit_;
  while (held_ > limit && !aCharge.isEvicted_) {
    auto* largest = FindLargest();
    if (largest == nullptr) {
      break;
    }
    // The rejection may end the charge, so nothing of it is used afterwards.
    auto* request = std::exchange(largest->request_, nullptr);
    incomplete_.erase(largest);
    largest->isEvicted_ = true;
    held_ -= std::exchange(largest->bytes_, 0);
    request->OnEvicted();
  }
  isEvicting_ = false;
}

MemoryCharge*
RequestMemory::FindLargest() const
{
  const auto largest = std::max_element(
    incomplete_.begin(), incomplete_.end(), [](const auto* aOne, const auto* aOther) {
      return aOne->bytes_ < aOther->bytes_;
    });
  return largest == incomplete_.end() ? nullptr : *largest;
}

MemoryCharge::MemoryCharge(std::shared_ptr<RequestMemory> aMemory, EvictableRequest* aRequest)
  : memory_(std::move(aMemory))
  , request_(aRequest)
{
  if (request_ != nullptr) {
    memory_->incomplete_.insert(this);
  }
}

MemoryCharge::~MemoryCharge()
{
  memory_->held_ -= bytes_;
  memory_->incomplete_.erase(this);
}

bool
MemoryCharge::Set(std::size_t aBytes)
{
  if (isEvicted_) {
    return false;
  }
  const bool hasGrown = aBytes > bytes_;
  memory_->held_ += aBytes - bytes_;
  bytes_ = aBytes;
  if (hasGrown) {
    memory_->Grow(*this);
  }
  return !isEvicted_;
}

void
MemoryCharge::Complete()
{
  memory_->incomplete_.erase(this);
  request_ = nullptr;
}

} // namespace laburnumweir
