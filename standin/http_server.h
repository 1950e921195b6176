/** @file http_server.h Small HTTP server for the stand-ins, with faults on the bytes it sends. */
#ifndef LABURNUMWEIR_STANDIN_HTTP_SERVER_H
#define LABURNUMWEIR_STANDIN_HTTP_SERVER_H

#include "core/request_type.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace laburnumweir::standin {

/** A request as received. */
struct Request
{
  std::string method_;                       ///< HTTP method.
  std::string target_;                       ///< Path and query as sent.
  std::string path_;                         ///< Decoded path.
  std::vector<std::string> segments_;        ///< Decoded segments of the path.
  std::map<std::string, std::string> query_; ///< Decoded query parameters.
  HeaderList headers_;                       ///< Header fields, names in lower case.
  std::string body_;                         ///< Body.

  /** @return a field's value, or empty. @param aName name in lower case. */
  std::string Header(std::string_view aName) const;
  /** @return a numeric query parameter. @param aName name. @param aDefault if absent or no number.
   */
  std::uint64_t QueryNumber(const std::string& aName, std::uint64_t aDefault) const;
};

/** What goes wrong with the bytes of an answer. */
struct OutputFault
{
  /** Kinds of output faults. */
  enum class Kind
  {
    None,        ///< The answer is sent as it is.
    Lose,        ///< The connection is closed in place of the answer.
    Swallow,     ///< Nothing is sent; the connection stays open.
    Late,        ///< The answer is sent after a delay.
    Truncate,    ///< The body ends early and the connection is closed.
    Duplicate,   ///< The answer is sent twice.
    InvalidHttp, ///< Bytes that are not HTTP are sent, and the connection is closed.
    Status,      ///< An error with another status is sent.
  };
  Kind kind_ = Kind::None;            ///< What happens.
  std::size_t bytes_ = 0;             ///< Truncate: bytes of the body that are sent.
  std::chrono::milliseconds delay_{}; ///< Late: delay.
  int status_ = 500;                  ///< Status: the status.
};

class Connection;

/** The answer to one request. Calls after the peer closed the connection have no effect. */
class Reply : public std::enable_shared_from_this<Reply>
{
public:
  explicit Reply(std::weak_ptr<Connection> aConnection);

  /** Adds a header field to the answer. @param aName name. @param aValue value. */
  void AddHeader(std::string aName, std::string aValue);
  /** Replaces a header field. @param aName name. @param aValue value. */
  void SetHeader(const std::string& aName, std::string aValue);
  /** Sends a whole answer. @param aStatus status. @param aBody JSON body. */
  void Send(int aStatus, std::string aBody);
  /** Starts a stream of server-sent events. */
  void StartStream();
  /** Sends a part of the stream. @param aData bytes. */
  void Write(std::string aData);
  /** Ends the stream. */
  void End();
  /** Closes the connection at once, with a TCP reset. */
  void Reset();
  /** Leaves the request without an answer and the connection open. */
  void Abandon();
  /** @param aCallback is called if the peer closes before the answer ended. */
  void OnClosed(std::function<void()> aCallback);
  /** @param aFault applied to everything sent from now on. */
  void SetFault(OutputFault aFault);
  /** @return whether the answer was sent whole or the connection is gone. */
  bool IsDone() const { return isDone_; }

private:
  friend class Connection;
  void Emit(const std::string& aBytes, bool aLast);
  void EmitNow(const std::string& aBytes, bool aLast);
  void Close();
  std::string Head(int aStatus, std::size_t aLength, bool aChunked) const;

  std::weak_ptr<Connection> connection_; ///< Where the answer goes.
  HeaderList headers_;                   ///< Fields to send.
  OutputFault fault_;                    ///< Applied to what is sent.
  std::function<void()> onClosed_;       ///< Called if the peer closes early.
  std::string held_;                     ///< Late: bytes that wait for the delay.
  bool heldIsLast_ = false;              ///< Late: whether the held bytes end the answer.
  bool isHolding_ = false;               ///< Late: whether the delay runs.
  bool isDone_ = false;                  ///< Whether nothing more is to be sent.
  std::size_t bodySent_ = 0;             ///< Bytes of the body sent.
};

/** Accepts connections on one port and hands each request to a handler. */
class HttpServer
{
public:
  using Handler = std::function<void(Request, std::shared_ptr<Reply>)>;

  /** @param aContext runs the server; must outlive it. @param aHandler gets each request. */
  HttpServer(boost::asio::io_context& aContext, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /**
   * Starts to listen. Throws boost::system::system_error on failure.
   * @param aAddress IP address. @param aPort TCP port; 0 = any.
   * @return the port.
   */
  std::uint16_t Listen(const std::string& aAddress, std::uint16_t aPort);
  /** Stops listening and resets all connections. */
  void TakeDown();
  /** Listens again on the same port. */
  void BringUp();
  /** @return the port. */
  std::uint16_t Port() const;
  /** @return connections accepted so far. */
  std::uint64_t AcceptedConnections() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_; ///< Acceptor and connections.
};

} // namespace laburnumweir::standin

#endif
