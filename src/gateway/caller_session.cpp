/** @file caller_session.cpp HTTP/1.1 server of a gateway: listener, connections and answers. */
#include "gateway/caller_session.h"

#include "gateway/answer_head.h"
#include "http/header_func.h"
#include "http/listen_func.h"
#include "http/message_framing.h"
#include "http/message_parser.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <poll.h>
#include <vector>

namespace laburnumweir {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using BoostError = boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kHeadReadBytes = std::size_t{ 4 } << 10;
constexpr std::size_t kBodyReadBytes = std::size_t{ 32 } << 10;
// Bytes of pipelined requests that are read while a request is answered; further bytes stay in the
// kernel's receive buffer.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{ 64 } << 10;
// Unsent bytes below which the function of NotifyWhenSent() is called.
constexpr std::size_t kUnsentLowWaterBytes = std::size_t{ 64 } << 10;
// Interval of checks of the connections' time limits, which are several seconds long.
constexpr std::chrono::milliseconds kTimeoutCheckInterval{ 250 };
// Accepting fails while no file descriptor is free; immediate retries would be a busy loop.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };
// Copies of a request's head: the one that was read and those of two attempts at once.
constexpr std::size_t kHeadCopies = 3;
// Receive buffer of a connection, which the kernel doubles. Without it, the buffer of a connection
// that sends more than is read can grow to several MB.
constexpr int kReceiveBufferBytes = 128 << 10;
// Time and bytes (beside those of a body) for which a connection is read after a rejection. A close
// with unread bytes would be a reset, which can destroy the answer before the caller has read it.
constexpr std::chrono::milliseconds kLingerTime{ 1000 };
constexpr std::size_t kLingerBytes = std::size_t{ 64 } << 10;
// Time after which a caller may repeat a request that was rejected for lack of memory.
constexpr const char* kMemoryRetryAfter = "0.500";

// Reasons in the log and the metrics of rejections.
constexpr std::string_view kReasonMemory = "memory";
constexpr std::string_view kReasonSessions = "too_many_connections";

std::string_view
ReasonOf(unsigned aStatus)
{
  switch (aStatus) {
    case 408:
      return "request_timeout";
    case 413:
      return "body_too_large";
    case 431:
      return "head_too_large";
    default:
      return "malformed";
  }
}

} // namespace

/** One connection of a caller. Answers one request at a time, in the order of their arrival. */
class CallerSession
  : public AnswerStream
  , private EvictableRequest
  , public std::enable_shared_from_this<CallerSession>
{
public:
  CallerSession(HttpListener& aListener, tcp::socket aSocket)
    : listener_(aListener)
    , socket_(std::move(aSocket))
    , bufferCharge_(aListener.services_.memory_)
    , phaseStart_(SteadyClock::now())
  {
  }

  void Start()
  {
    BoostError ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    Read();
  }

  bool IsBusy() const
  {
    return phase_ == Phase::Head || phase_ == Phase::Body || phase_ == Phase::Answering;
  }

  /** @return whether bytes have been received that were not read yet. */
  bool HasUnreadInput() const
  {
    BoostError error;
    return phase_ != Phase::Lingering && phase_ != Phase::Closed && socket_.available(error) > 0;
  }

  /** Closes an idle connection, or refuses an incomplete request, whose time limit has passed. */
  void CheckTimeout(SteadyClock::time_point aNow)
  {
    const auto& limits = listener_.limits_;
    const auto waited = aNow - phaseStart_;
    if ((phase_ == Phase::Idle && waited > limits.idleTimeout_) ||
        (phase_ == Phase::Lingering && waited > kLingerTime)) {
      Close();
    } else if ((phase_ == Phase::Head || phase_ == Phase::Body) && waited > limits.headTimeout_) {
      Refuse(408, ReasonOf(408));
    }
  }

  void Close()
  {
    if (phase_ == Phase::Closed) {
      return;
    }
    const bool isAnswering = phase_ == Phase::Answering;
    phase_ = Phase::Closed;
    BoostError ignored;
    if (!mustReset_) {
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }
    socket_.close(ignored);
    parser_.reset();
    charge_.reset();
    onSent_ = nullptr;
    onStopping_ = nullptr;
    auto onDisconnect = std::exchange(onDisconnect_, nullptr);
    listener_.sessions_.erase(shared_from_this());
    if (isAnswering && onDisconnect) {
      onDisconnect();
    }
  }

  void Begin(unsigned aStatus,
             std::string_view aReason,
             const http::fields& aFields,
             std::optional<std::uint64_t> aLength) override
  {
    if (phase_ != Phase::Answering || isBegun_) {
      return;
    }
    isBegun_ = true;
    mustClose_ = mustClose_ || listener_.isDraining_;
    const bool isBodiless = EndsWithHead(isHeadRequest_, aStatus);
    isChunked_ = !isBodiless && !aLength && isHttp11_;
    mustClose_ = mustClose_ || (!isBodiless && !aLength && !isHttp11_);
    isBodiless_ = isBodiless;
    remaining_ = aLength;
    auto fields = EndToEndFields(aFields);
    if (isChunked_) {
      fields.set(http::field::transfer_encoding, "chunked");
    } else if (aLength) {
      fields.set(http::field::content_length, std::to_string(*aLength));
    }
    if (mustClose_) {
      fields.set(http::field::connection, "close");
    } else {
      const auto idle =
        std::chrono::duration_cast<std::chrono::seconds>(listener_.limits_.idleTimeout_);
      fields.set(http::field::keep_alive, "timeout=" + std::to_string(idle.count()));
    }
    queued_ += AnswerHeadText(aStatus, aReason, fields);
    Write();
  }

  void Data(std::string_view aBytes) override
  {
    if (phase_ != Phase::Answering || !isBegun_ || isBodiless_ || aBytes.empty()) {
      return;
    }
    if (isChunked_) {
      std::array<char, 16> size{};
      const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
      queued_.append(size.data(), static_cast<std::size_t>(digits)).append(aBytes).append("\r\n");
    } else {
      if (remaining_ && aBytes.size() > *remaining_) {
        // The caller would read the excess bytes as the start of another answer.
        Close();
        return;
      }
      if (remaining_) {
        *remaining_ -= aBytes.size();
      }
      queued_.append(aBytes);
    }
    Write();
  }

  void End() override
  {
    if (phase_ != Phase::Answering || !isBegun_) {
      return;
    }
    if (!isBodiless_ && remaining_ && *remaining_ > 0) {
      Close();
      return;
    }
    if (isChunked_) {
      queued_ += "0\r\n\r\n";
    }
    onDisconnect_ = nullptr;
    onStopping_ = nullptr;
    onSent_ = nullptr;
    isEnded_ = true;
    Write();
  }

  void Abort() override
  {
    if (phase_ == Phase::Answering) {
      onDisconnect_ = nullptr;
      if (!isChunked_ && !remaining_) {
        // Without chunked encoding or a length, only a reset shows the caller that bytes are
        // missing.
        mustReset_ = true;
        BoostError ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
      }
      Close();
    }
  }

  std::size_t UnsentBytes() const override { return queued_.size() + writing_.size(); }
  void NotifyWhenSent(std::function<void()> aFunction) override { onSent_ = std::move(aFunction); }
  void NotifyWhenGone(std::function<void()> aFunction) override
  {
    onDisconnect_ = std::move(aFunction);
  }
  void NotifyWhenStopping(std::function<void()> aFunction) override
  {
    onStopping_ = std::move(aFunction);
  }

  /** Asks for the answer of the running request, unless it has begun. */
  void EndAnswer()
  {
    auto onStopping = std::exchange(onStopping_, nullptr);
    if (phase_ == Phase::Answering && !isBegun_ && onStopping) {
      onStopping();
    }
  }

private:
  enum class Phase : std::uint8_t
  {
    Idle,      ///< No byte of the next request has been received.
    Head,      ///< Reads the request line and header fields.
    Body,      ///< Reads the request body.
    Answering, ///< Waits for the handler or writes the answer.
    Lingering, ///< Discards what follows a rejected request.
    Closed     ///< The socket is closed.
  };

  void Read()
  {
    const std::size_t room = phase_ == Phase::Body ? kBodyReadBytes : kHeadReadBytes;
    if (isReading_ || phase_ == Phase::Closed ||
        (phase_ == Phase::Answering &&
         (buffer_.size() >= kMaxPipelinedBytes ||
          (buffer_.size() > 0 && listener_.services_.memory_->IsFull())))) {
      return;
    }
    isReading_ = true;
    if (buffer_.size() == 0 && buffer_.capacity() > room) {
      buffer_ = {}; // idle and answering connections keep no large buffer
    }
    socket_.async_read_some(
      buffer_.prepare(room), [self = shared_from_this()](BoostError aError, std::size_t aBytes) {
        self->isReading_ = false;
        self->buffer_.commit(aBytes);
        if (aError == asio::error::operation_aborted && self->phase_ != Phase::Closed) {
          self->Read(); // after ReleaseBuffer()
          return;
        }
        if (aError) {
          self->Close();
          return;
        }
        self->OnInput();
      });
  }

  void OnInput()
  {
    if (phase_ == Phase::Lingering) {
      Discard();
      return;
    }
    if (phase_ == Phase::Answering || phase_ == Phase::Closed) {
      Read();
      ChargeBuffer();
      return;
    }
    if (phase_ == Phase::Idle && buffer_.size() > 0) {
      BeginRequest();
    }
    if (phase_ != Phase::Idle) {
      Parse();
    } else {
      Read();
    }
  }

  void BeginRequest()
  {
    phase_ = Phase::Head;
    phaseStart_ = SteadyClock::now();
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(listener_.limits_.maxHeadBytes_));
    parser_->SetBodyLimit(listener_.limits_.maxBodyBytes_);
    bufferCharge_.Set(0);
    charge_ = std::make_shared<MemoryCharge>(listener_.services_.memory_,
                                             static_cast<EvictableRequest*>(this));
    isBegun_ = isEnded_ = isHeadRequest_ = isChunked_ = isBodiless_ = mustClose_ = false;
    isHttp11_ = true;
    remaining_.reset();
  }

  void Parse()
  {
    while (buffer_.size() > 0 && !parser_->is_done()) {
      const auto error = parser_->Parse(buffer_);
      if (error == http::error::need_more) {
        break;
      }
      if (error) {
        const unsigned status = error == http::error::header_limit ? 431
                                : error == http::error::body_limit ? 413
                                                                   : 400;
        Refuse(status, ReasonOf(status));
        return;
      }
    }
    if (!Charge()) {
      return;
    }
    if (phase_ == Phase::Head && parser_->is_header_done()) {
      phase_ = Phase::Body;
      phaseStart_ = SteadyClock::now();
      if (!parser_->is_done() &&
          EqualsIgnoreCase(std::string(parser_->Get()[http::field::expect]), "100-continue")) {
        queued_ += "HTTP/1.1 100 Continue\r\n\r\n";
        Write();
      }
    }
    if (parser_->is_done()) {
      OnRequest();
    } else {
      Read();
    }
  }

  /**
   * Charges the bytes of the request that is being read.
   * @return false if it was rejected because all requests together hold too many bytes.
   */
  bool Charge()
  {
    const auto charge = charge_; // a rejection drops it from this session
    return charge->Set(buffer_.capacity() + kHeadCopies * parser_->HeadBytes() +
                       parser_->BodyBytes());
  }

  /** Charges the bytes that were received behind a complete request. */
  void ChargeBuffer() { bufferCharge_.Set(phase_ == Phase::Answering ? buffer_.capacity() : 0); }

  void OnEvicted() override { Refuse(503, kReasonMemory); }

  /** Answers a request that was not read completely with an error, then closes the connection. */
  void Refuse(unsigned aStatus, std::string_view aReason)
  {
    listener_.services_.rejections_->Record(aReason, SteadyClock::now());
    phase_ = Phase::Answering;
    mustClose_ = true;
    isRefused_ = true;
    http::fields fields;
    if (aStatus == 503) {
      fields.set(http::field::retry_after, kMemoryRetryAfter);
    }
    if (parser_->is_header_done()) {
      listener_.handler_.OnRejected(parser_->Get().base(), fields);
    }
    parser_.reset();
    charge_.reset();
    buffer_.consume(buffer_.size());
    ReleaseBuffer();
    Begin(aStatus, {}, fields, 0);
    End();
  }

  /** Ends the connection after a rejection, so that the caller can still read the answer. */
  void Linger()
  {
    phase_ = Phase::Lingering;
    phaseStart_ = SteadyClock::now();
    lingerBytes_ = listener_.limits_.maxBodyBytes_ + kLingerBytes;
    BoostError ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    Discard();
  }

  void Discard()
  {
    lingerBytes_ -= std::min(lingerBytes_, buffer_.size());
    buffer_.consume(buffer_.size());
    if (lingerBytes_ == 0) {
      Close();
      return;
    }
    Read();
  }

  void OnRequest()
  {
    phase_ = Phase::Answering;
    charge_->Complete();
    charge_->Set(kHeadCopies * parser_->HeadBytes() + parser_->BodyBytes());
    auto message = parser_->Release();
    parser_.reset();
    HttpRequest request(std::move(message.base()));
    request.body() = SharedText(std::move(message.body()), std::exchange(charge_, nullptr));
    isHttp11_ = request.version() >= 11;
    isHeadRequest_ = request.method() == http::verb::head;
    mustClose_ = !request.keep_alive();
    Read(); // a pending read reports when the caller closes the connection
    ChargeBuffer();
    listener_.handler_.OnRequest(std::move(request), shared_from_this());
  }

  void Write()
  {
    if (isWriting_ || phase_ == Phase::Closed) {
      return;
    }
    if (queued_.empty()) {
      if (isEnded_) {
        FinishAnswer();
      }
      return;
    }
    isWriting_ = true;
    writing_.clear();
    std::swap(writing_, queued_);
    asio::async_write(
      socket_, asio::buffer(writing_), [self = shared_from_this()](BoostError aError, std::size_t) {
        self->OnWritten(aError);
      });
  }

  void OnWritten(BoostError aError)
  {
    isWriting_ = false;
    writing_.clear();
    if (aError) {
      Close();
      return;
    }
    Write();
    if (onSent_ && UnsentBytes() < kUnsentLowWaterBytes) {
      auto onSent = std::exchange(onSent_, nullptr);
      onSent();
    }
  }

  void FinishAnswer()
  {
    isEnded_ = false;
    if (std::exchange(isRefused_, false)) {
      Linger();
      return;
    }
    if (mustClose_) {
      Close();
      return;
    }
    phase_ = Phase::Idle;
    phaseStart_ = SteadyClock::now();
    ReleaseBuffer();
    queued_ = {};
    writing_ = {};
    OnInput();
  }

  /** Frees a large read buffer, since the connection is idle or was rejected. */
  void ReleaseBuffer()
  {
    bufferCharge_.Set(0);
    if (isReading_ && buffer_.size() == 0 && buffer_.capacity() > kHeadReadBytes) {
      // The pending read uses the buffer; the next one gets a small buffer.
      BoostError ignored;
      socket_.cancel(ignored);
    }
  }

  HttpListener& listener_; ///< Outlives the session.
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;       ///< Received bytes that have not been parsed.
  std::optional<RequestParser> parser_;    ///< Request being read; empty in other phases.
  std::shared_ptr<MemoryCharge> charge_;   ///< Of the request being read.
  MemoryCharge bufferCharge_;              ///< Of buffer_ while no request is read.
  std::size_t lingerBytes_ = 0;            ///< Bytes that are discarded before the close.
  SteadyClock::time_point phaseStart_;     ///< When the phase started, for its time limit.
  std::string queued_;                     ///< Bytes to write once writing_ is written.
  std::string writing_;                    ///< Bytes of the running write.
  std::function<void()> onSent_;           ///< Set by NotifyWhenSent(); cleared when called.
  std::function<void()> onStopping_;       ///< Set by NotifyWhenStopping(); cleared at the end.
  std::function<void()> onDisconnect_;     ///< Set by NotifyWhenGone(); cleared at the end.
  std::optional<std::uint64_t> remaining_; ///< Announced body bytes that Data() has not received.
  Phase phase_ = Phase::Idle;
  bool isReading_ = false;     ///< A read is pending.
  bool isWriting_ = false;     ///< A write is pending.
  bool isBegun_ = false;       ///< The head of the answer was queued.
  bool isEnded_ = false;       ///< End() was called; the answer may still be unsent.
  bool isHeadRequest_ = false; ///< The request's method is HEAD.
  bool isHttp11_ = true;       ///< The request is HTTP/1.1, so chunked bodies may be sent.
  bool isChunked_ = false;     ///< The body of the answer is sent chunked.
  bool isBodiless_ = false;    ///< The answer has no body: HEAD, 204 or 304.
  bool mustClose_ = false;     ///< The connection is closed after this answer.
  bool isRefused_ = false;     ///< The answer rejects a request that was not read completely.
  bool mustReset_ = false;     ///< The connection is closed by a reset.
};

HttpListener::HttpListener(asio::io_context& aContext,
                           HttpHandler& aHandler,
                           SessionLimits aLimits,
                           ListenerServices aServices)
  : context_(aContext)
  , handler_(aHandler)
  , limits_(aLimits)
  , services_(std::move(aServices))
  , acceptor_(aContext)
  , timer_(aContext)
{
}

HttpListener::~HttpListener()
{
  Stop();
}

std::error_code
HttpListener::Listen(const Endpoint& aEndpoint)
{
  if (const auto error = OpenListener(acceptor_, aEndpoint, kReceiveBufferBytes)) {
    return error;
  }
  Accept();
  CheckTimeouts();
  return {};
}

void
HttpListener::Accept()
{
  acceptor_.async_accept([this](BoostError aError, tcp::socket aSocket) {
    if (isStopped_ || aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      auto delay = std::make_shared<asio::steady_timer>(context_, kAcceptRetryDelay);
      delay->async_wait([this, delay](BoostError aWaitError) {
        if (!aWaitError && !isStopped_) {
          Accept();
        }
      });
      return;
    }
    if (sessions_.size() < limits_.maxSessions_) {
      const auto session = std::make_shared<CallerSession>(*this, std::move(aSocket));
      sessions_.insert(session);
      session->Start();
    } else {
      services_.rejections_->Record(kReasonSessions, SteadyClock::now());
    }
    Accept();
  });
}

void
HttpListener::CheckTimeouts()
{
  timer_.expires_after(kTimeoutCheckInterval);
  timer_.async_wait([this](BoostError aError) {
    if (aError || isStopped_) {
      return;
    }
    const auto now = SteadyClock::now();
    services_.rejections_->Flush(now);
    const std::vector<std::shared_ptr<CallerSession>> sessions(sessions_.begin(), sessions_.end());
    for (const auto& session : sessions) {
      session->CheckTimeout(now);
    }
    CheckTimeouts();
  });
}

void
HttpListener::Stop()
{
  if (isStopped_) {
    return;
  }
  isStopped_ = true;
  BoostError ignored;
  acceptor_.close(ignored);
  timer_.cancel();
  const std::vector<std::shared_ptr<CallerSession>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) {
    session->Close();
  }
}

void
HttpListener::StartDrain()
{
  isDraining_ = true;
  const std::vector<std::shared_ptr<CallerSession>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) {
    if (!session->IsBusy() && !session->HasUnreadInput()) {
      session->Close();
    }
  }
}

void
HttpListener::EndAnswers()
{
  const std::vector<std::shared_ptr<CallerSession>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) {
    session->EndAnswer();
  }
}

bool
HttpListener::HasUnreadInput()
{
  pollfd waiting{ acceptor_.native_handle(), POLLIN, 0 };
  return ::poll(&waiting, 1, 0) > 0 ||
         std::any_of(sessions_.begin(), sessions_.end(), [](const auto& aSession) {
           return aSession->HasUnreadInput();
         });
}

std::size_t
HttpListener::BusySessions() const
{
  return static_cast<std::size_t>(std::count_if(
    sessions_.begin(), sessions_.end(), [](const auto& aSession) { return aSession->IsBusy(); }));
}

} // namespace laburnumweir
