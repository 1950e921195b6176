/** @file answer_writer.h Queue of bytes to one caller. */
#ifndef LABURNUMWEIR_CALLER_ANSWER_WRITER_H
#define LABURNUMWEIR_CALLER_ANSWER_WRITER_H

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// Asio's headers stay out of this one: only the names of its types are needed.
namespace boost::asio {
template<typename Protocol, typename Executor>
class basic_stream_socket;
class any_io_executor;
namespace ip {
class tcp;
}
}

namespace laburnumweir {

using CallerSocket =
  boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::any_io_executor>;

/** Writes queued bytes to a socket, many pieces in one system call. Runs on the socket's strand. */
class AnswerWriter
{
public:
  using Done = std::function<void(bool aIsWritten)>;

  /**
   * @param aSocket the socket; outlives this.
   * @param aBuffered unsent bytes up to which more are taken without delay.
   */
  AnswerWriter(CallerSocket& aSocket, std::size_t aBuffered);

  /** Queues bytes. */
  void Enqueue(std::string aBytes);
  /** Queues bytes as one chunk of a chunked body. */
  void EnqueueChunk(std::string_view aBytes);
  /** Has a function called once few bytes are unsent. */
  void NotifyWhenBuffered(std::function<void()> aFunction);
  /**
   * Starts to write what is queued, unless a write is under way.
   * @param aOwner kept alive during the write.
   * @param aDone called when the queue is empty, or with false when the connection failed.
   */
  void Write(const std::shared_ptr<void>& aOwner, const Done& aDone);
  /** Drops what is queued, and the functions that wait. */
  void Close();

  /** @return whether nothing is queued or being written. */
  bool IsEmpty() const { return unsent_.empty(); }
  /** @return bytes that the socket has not taken. */
  std::size_t UnsentBytes() const { return unsentBytes_; }
  /** @return when progress was last seen; the maximum if no write is under way. */
  std::chrono::steady_clock::time_point WaitingSince() const;
  /**
   * Checks whether the caller has acknowledged bytes since progress was last seen. The socket takes
   * further bytes only when a third of its send buffer is free, which a slow caller may need long
   * for.
   */
  bool HasProgressed();

private:
  void RecordProgress();
  void OnWritten(const std::shared_ptr<void>& aOwner,
                 const Done& aDone,
                 bool aIsWritten,
                 std::size_t aCount);

  CallerSocket& socket_;                           ///< Where the bytes go.
  const std::size_t buffered_;                     ///< Unsent bytes that delay nothing.
  std::deque<std::string> unsent_;                 ///< Bytes; those being written are in front.
  std::vector<std::function<void()>> waiting_;     ///< Called when few bytes are unsent.
  std::chrono::steady_clock::time_point progress_; ///< When progress was last seen.
  int unacknowledged_ = 0;                         ///< Bytes in the kernel's send buffer then.
  std::size_t unsentBytes_ = 0;                    ///< Size of unsent_.
  bool isWriting_ = false;                         ///< A write is under way.
  bool isClosed_ = false;                          ///< Close() was called.
};

} // namespace laburnumweir

#endif
