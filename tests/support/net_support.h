/** @file net_support.h Blocking peers and threads for tests of network code. */
#ifndef LABURNUMWEIR_TESTS_SUPPORT_NET_SUPPORT_H
#define LABURNUMWEIR_TESTS_SUPPORT_NET_SUPPORT_H

#include "core/system_clock.h"
#include "core/upstream_client_base.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <poll.h>
#include <string>
#include <thread>
#include <vector>

namespace laburnumweir::testing_support {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kTestTimeout = 5s;

/** An io_context that runs on some threads until the end of the test. */
class IoThreads
{
public:
  explicit IoThreads(int aThreads = 2)
    : guard_(boost::asio::make_work_guard(context_))
  {
    for (int i = 0; i < aThreads; ++i) {
      threads_.emplace_back([this] { context_.run(); });
    }
  }
  ~IoThreads() { Stop(); }
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  void Stop()
  {
    context_.stop();
    for (auto& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }
  boost::asio::io_context& Context() { return context_; }

private:
  boost::asio::io_context context_; ///< Runs the code under test.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_; ///< Keeps it on.
  std::vector<std::thread> threads_;                                               ///< Threads.
};

/** Waits until a condition holds. @return whether it did in time. */
template<class Condition>
bool
WaitUntil(Condition aCondition, std::chrono::milliseconds aTimeout = kTestTimeout)
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(1ms);
  }
  return true;
}

/** A blocking socket whose reads end after a time. */
class Peer
{
public:
  /** @param aSocket a connected socket. @param aIsStopped ends reads when it becomes true. */
  explicit Peer(tcp::socket aSocket, const std::atomic<bool>* aIsStopped = nullptr)
    : socket_(std::move(aSocket))
    , isStopped_(aIsStopped)
  {
    socket_.set_option(tcp::no_delay(true));
  }

  /** Sends bytes. @return false if the other side closed the connection. */
  bool Send(std::string_view aBytes)
  {
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(aBytes.data(), aBytes.size()), error);
    return !error;
  }

  /**
   * Reads some bytes into Input().
   * @param aMaxBytes at most this many, and no more than 64 KiB.
   * @return false at the end, on an error, or in silence.
   */
  bool ReadSome(std::chrono::milliseconds aTimeout = kTestTimeout, std::size_t aMaxBytes = 65536)
  {
    isEnded_ = isReset_ = false;
    if (!WaitReadable(aTimeout)) {
      return false;
    }
    char bytes[65536];
    boost::system::error_code error;
    const auto size = socket_.read_some(boost::asio::buffer(bytes, aMaxBytes), error);
    input_.append(bytes, size);
    isEnded_ = error.failed();
    isReset_ = error == boost::asio::error::connection_reset;
    return !error;
  }

  /** Reads until the input holds a text. */
  bool ReadUntil(std::string_view aText, std::chrono::milliseconds aTimeout = kTestTimeout)
  {
    while (input_.find(aText) == std::string::npos) {
      if (!ReadSome(aTimeout)) {
        return false;
      }
    }
    return true;
  }

  /** @return whether the other side closes the connection in time. */
  bool WaitClosed(std::chrono::milliseconds aTimeout = kTestTimeout)
  {
    const auto end = std::chrono::steady_clock::now() + aTimeout;
    while (std::chrono::steady_clock::now() < end) {
      if (!ReadSome(std::chrono::duration_cast<std::chrono::milliseconds>(
            end - std::chrono::steady_clock::now()))) {
        return isEnded_;
      }
    }
    return false;
  }

  /** Takes one message from the input, reading more as needed. */
  template<bool isRequest>
  std::optional<boost::beast::http::message<isRequest, boost::beast::http::string_body>>
  ReadMessage(std::chrono::milliseconds aTimeout = kTestTimeout)
  {
    boost::beast::http::parser<isRequest, boost::beast::http::string_body> parser;
    parser.eager(true);
    parser.body_limit(boost::none);
    for (;;) {
      while (!input_.empty() && !parser.is_done()) {
        boost::system::error_code error;
        const auto used = parser.put(boost::asio::buffer(input_.data(), input_.size()), error);
        input_.erase(0, used);
        if (error == boost::beast::http::error::need_more) {
          break;
        }
        if (error) {
          return std::nullopt;
        }
      }
      if (parser.is_done()) {
        return parser.release();
      }
      if (!ReadSome(aTimeout)) {
        boost::system::error_code error;
        if (isEnded_ && parser.is_header_done() && parser.need_eof()) {
          parser.put_eof(error);
          return parser.release();
        }
        return std::nullopt;
      }
    }
  }
  auto ReadRequest() { return ReadMessage<true>(); }
  auto ReadAnswer(std::chrono::milliseconds aTimeout = kTestTimeout)
  {
    return ReadMessage<false>(aTimeout);
  }

  void Close()
  {
    boost::system::error_code ignored;
    socket_.close(ignored);
  }
  /** Closes the connection so that the other side sees a reset. */
  void Reset()
  {
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }
  std::string& Input() { return input_; }
  bool WasReset() const { return isReset_; }
  tcp::socket& Socket() { return socket_; }

private:
  bool WaitReadable(std::chrono::milliseconds aTimeout)
  {
    const auto end = std::chrono::steady_clock::now() + aTimeout;
    while (std::chrono::steady_clock::now() < end &&
           (isStopped_ == nullptr || !isStopped_->load())) {
      pollfd wait{ socket_.native_handle(), POLLIN, 0 };
      if (::poll(&wait, 1, 20) > 0) {
        return true;
      }
    }
    return false;
  }

  tcp::socket socket_;                 ///< The connection.
  const std::atomic<bool>* isStopped_; ///< Ends reads; may be null.
  std::string input_;                  ///< Bytes read but not taken.
  bool isEnded_ = false;               ///< The last read found the end or an error.
  bool isReset_ = false;               ///< The last read found a reset.
};

/** Connects to a server on loopback. */
inline Peer
ConnectTo(const Endpoint& aEndpoint)
{
  static boost::asio::io_context context;
  tcp::socket socket(context);
  socket.connect({ boost::asio::ip::make_address(aEndpoint.address_), aEndpoint.port_ });
  return Peer(std::move(socket));
}

/** TCP server that runs a script for each connection, on a thread of its own. */
class ScriptedServer
{
public:
  using Script = std::function<void(Peer&, int)>;

  /** @param aScript is given the connection and its number from 0. */
  explicit ScriptedServer(Script aScript)
    : script_(std::move(aScript))
    , acceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , thread_([this] { Run(); })
  {
  }
  ~ScriptedServer()
  {
    isStopped_ = true;
    thread_.join();
    for (auto& thread : connections_) {
      thread.join();
    }
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  Endpoint Address() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }
  int Accepted() const { return accepted_; }

private:
  void Run()
  {
    while (!isStopped_) {
      pollfd wait{ acceptor_.native_handle(), POLLIN, 0 };
      if (::poll(&wait, 1, 10) <= 0) {
        continue;
      }
      connections_.emplace_back(
        [this, number = accepted_++, peer = Peer(acceptor_.accept(), &isStopped_)]() mutable {
          script_(peer, number);
        });
    }
  }

  const Script script_;                  ///< What a connection does.
  boost::asio::io_context context_;      ///< Owns the sockets.
  tcp::acceptor acceptor_;               ///< Listener.
  std::atomic<bool> isStopped_ = false;  ///< Ends the accept loop.
  std::atomic<int> accepted_ = 0;        ///< Connections so far.
  std::vector<std::thread> connections_; ///< One for each connection.
  std::thread thread_;                   ///< Accepts.
};

/** @return a port of loopback that refuses connections. */
inline Endpoint
RefusingEndpoint()
{
  boost::asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return { "127.0.0.1", acceptor.local_endpoint().port() };
}

} // namespace laburnumweir::testing_support

#endif
