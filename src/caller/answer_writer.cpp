/** @file answer_writer.cpp Queue of bytes to one caller. */
#include "caller/answer_writer.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <utility>

namespace laburnumweir {

namespace {

namespace asio = boost::asio;
using BoostError = boost::system::error_code;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxGather = 32;
// A stalled caller is noticed between steps, so a step must be small against a large answer.
constexpr std::size_t kWriteStep = std::size_t{ 64 } << 10;

/** @return bytes that the kernel holds for a socket and that its peer has not acknowledged. */
int
UnacknowledgedBytes(CallerSocket& aSocket)
{
  int bytes = 0;
  return ::ioctl(aSocket.native_handle(), SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

} // namespace

AnswerWriter::AnswerWriter(CallerSocket& aSocket, std::size_t aBuffered)
  : socket_(aSocket)
  , buffered_(aBuffered)
{
}

void
AnswerWriter::Enqueue(std::string aBytes)
{
  if (!isClosed_ && !aBytes.empty()) {
    unsentBytes_ += aBytes.size();
    unsent_.push_back(std::move(aBytes));
  }
}

void
AnswerWriter::EnqueueChunk(std::string_view aBytes)
{
  std::array<char, 20> digits{};
  const auto* end =
    std::to_chars(digits.data(), digits.data() + digits.size(), aBytes.size(), 16).ptr;
  const std::string_view size(digits.data(), static_cast<std::size_t>(end - digits.data()));
  std::string chunk;
  chunk.reserve(size.size() + aBytes.size() + 2 * kLineEnd.size());
  chunk.append(size).append(kLineEnd).append(aBytes).append(kLineEnd);
  Enqueue(std::move(chunk));
}

void
AnswerWriter::NotifyWhenBuffered(std::function<void()> aFunction)
{
  if (isClosed_) {
    return;
  }
  if (unsentBytes_ <= buffered_) {
    asio::post(socket_.get_executor(), std::move(aFunction));
  } else {
    waiting_.push_back(std::move(aFunction));
  }
}

void
AnswerWriter::Write(const std::shared_ptr<void>& aOwner, const Done& aDone)
{
  if (isWriting_ || unsent_.empty() || isClosed_) {
    return;
  }
  isWriting_ = true;
  RecordProgress();
  const auto count = std::min(unsent_.size(), kMaxGather);
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    buffers.emplace_back(asio::buffer(unsent_[i]));
  }
  asio::async_write(
    socket_,
    buffers,
    [this, aOwner](BoostError aError, std::size_t) {
      RecordProgress();
      return aError ? 0 : kWriteStep;
    },
    [this, aOwner, aDone, count](BoostError aError, std::size_t) {
      OnWritten(aOwner, aDone, !aError, count);
    });
}

void
AnswerWriter::OnWritten(const std::shared_ptr<void>& aOwner,
                        const Done& aDone,
                        bool aIsWritten,
                        std::size_t aCount)
{
  isWriting_ = false;
  if (isClosed_) {
    unsent_.clear();
    return;
  }
  if (!aIsWritten) {
    aDone(false);
    return;
  }
  for (std::size_t i = 0; i < aCount; ++i) {
    unsentBytes_ -= unsent_.front().size();
    unsent_.pop_front();
  }
  if (unsentBytes_ <= buffered_) {
    for (auto& function : std::exchange(waiting_, {})) {
      asio::post(socket_.get_executor(), std::move(function));
    }
  }
  if (unsent_.empty()) {
    aDone(true);
  } else {
    Write(aOwner, aDone);
  }
}

void
AnswerWriter::Close()
{
  isClosed_ = true;
  waiting_.clear();
  if (!isWriting_) {
    unsent_.clear();
  }
}

std::chrono::steady_clock::time_point
AnswerWriter::WaitingSince() const
{
  return isWriting_ ? progress_ : std::chrono::steady_clock::time_point::max();
}

void
AnswerWriter::RecordProgress()
{
  progress_ = std::chrono::steady_clock::now();
  unacknowledged_ = UnacknowledgedBytes(socket_);
}

bool
AnswerWriter::HasProgressed()
{
  if (isWriting_ && UnacknowledgedBytes(socket_) < unacknowledged_) {
    RecordProgress();
    return true;
  }
  return false;
}

} // namespace laburnumweir
