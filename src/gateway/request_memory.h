/** @file request_memory.h Account of the bytes that the requests of a process hold. */
#ifndef LABURNUMWEIR_GATEWAY_REQUEST_MEMORY_H
#define LABURNUMWEIR_GATEWAY_REQUEST_MEMORY_H

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <unordered_set>

namespace laburnumweir {

/** Holds an incomplete request whose bytes can be freed by rejecting it. */
class EvictableRequest
{
public:
  virtual ~EvictableRequest() = default;
  /** Rejects the request and frees its bytes. Called at most once, while the charge of any request
   * grows. */
  virtual void OnEvicted() = 0;
};

class MemoryCharge;

/**
 * Sum of the bytes that all requests hold, with a limit. If a request grows beyond it, the
 * incomplete requests with the most bytes are rejected until the sum fits, the growing one
 * included. Complete requests are never rejected, since they may be running. Not thread-safe.
 */
class RequestMemory
{
public:
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
  /**
   * A request with more bytes is large. Large requests grow only within three quarters of the
   * limit, so that complete ones, which cannot be rejected, leave room for usual requests: these
   * have bodies of up to 14,000 bytes.
   */
  static constexpr std::size_t kLargeRequestBytes = std::size_t{ 64 } << 10;

  explicit RequestMemory(std::size_t aLimit = kUnlimited)
    : limit_(aLimit)
  {
  }
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  /** @return limit of Held(). */
  std::size_t Limit() const { return limit_; }
  /** @return bytes of all charges. */
  std::size_t Held() const { return held_; }
  /** @return whether no further bytes should be read for a request that cannot be rejected. */
  bool IsFull() const { return held_ >= limit_; }

private:
  friend class MemoryCharge;

  void Grow(MemoryCharge& aCharge);
  MemoryCharge* FindLargest() const;

  const std::size_t limit_;
  std::size_t held_ = 0;
  bool isEvicting_ = false;                      ///< Grow() is running.
  std::unordered_set<MemoryCharge*> incomplete_; ///< Charges of requests that can be rejected.
};

/** Bytes of one request in the account; returned to it by the destructor. */
class MemoryCharge
{
public:
  /**
   * @param aMemory the account.
   * @param aRequest incomplete request that the bytes belong to; nullptr if the bytes cannot be
   * freed by a rejection. Must live until Complete() or the end of the charge.
   */
  explicit MemoryCharge(std::shared_ptr<RequestMemory> aMemory,
                        EvictableRequest* aRequest = nullptr);
  ~MemoryCharge();
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  /**
   * Sets the bytes that the request holds. May reject requests, this one included.
   * @return false if this request was rejected by this call or before it.
   */
  bool Set(std::size_t aBytes);
  /** Ends the possibility to reject the request. */
  void Complete();
  /** @return bytes in the account. */
  std::size_t Bytes() const { return bytes_; }

private:
  friend class RequestMemory;

  std::shared_ptr<RequestMemory> memory_;
  EvictableRequest* request_; ///< nullptr if it cannot be rejected (any more).
  std::size_t bytes_ = 0;
  bool isEvicted_ = false;
};

/**
 * @param aMemoryMb memory limit of the process in MB.
 * @return limit of the bytes of all requests: a quarter of the memory.
 */
std::size_t
RequestMemoryLimit(std::size_t aMemoryMb);

} // namespace laburnumweir

#endif
