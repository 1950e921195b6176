/** @file caller_connection.cpp One connection of a caller. */
#include "caller/caller_connection.h"

#include "caller/answer_func.h"
#include "caller/request_head.h"
#include "caller/request_lifecycle.h"
#include "http/header_func.h"
#include "http/message_framing.h"
#include "http/message_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <vector>

namespace laburnumweir {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using BoostError = boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kHeadReadBytes = std::size_t{ 4 } << 10;
constexpr std::size_t kBodyReadBytes = std::size_t{ 64 } << 10;
// The start of each body is not counted against the limit of all bodies: callers with large bodies
// must not make this host refuse the short ones of others.
constexpr std::size_t kFreeBodyBytes = std::size_t{ 16 } << 10;
// Bytes of pipelined requests that are read while one is served; more wait in the kernel.
constexpr std::size_t kPipelineBytes = std::size_t{ 16 } << 10;

class Connection;

/** Sink of one request; passes each call on to the connection's strand. */
class ConnectionSink : public ResponseSink
{
public:
  ConnectionSink(std::shared_ptr<Connection> aConnection, std::uint64_t aSequence)
    : connection_(std::move(aConnection))
    , sequence_(aSequence)
  {
  }
  ~ConnectionSink() override;
  ConnectionSink(const ConnectionSink&) = delete;
  ConnectionSink& operator=(const ConnectionSink&) = delete;

  void Started() override;
  void Complete(int aStatus, HeaderList aHeaders, std::string aBody) override;
  void Begin(int aStatus, HeaderList aHeaders) override;
  void Chunk(std::string aBytes, std::function<void()> aWritten) override;
  void End() override;
  void Fail(CallerError aError) override;

private:
  std::shared_ptr<Connection> connection_; ///< Where the answer goes.
  const std::uint64_t sequence_;           ///< Number of the request on its connection.
  std::atomic<bool> isEnded_ = false;      ///< A final answer was given.
};

class Connection
  : public CallerConnection
  , public std::enable_shared_from_this<Connection>
{
public:
  Connection(std::shared_ptr<CallerShared> aShared, tcp::socket aSocket, bool aIsRefused)
    : shared_(std::move(aShared))
    , socket_(std::move(aSocket))
    , writer_(socket_, shared_->settings_.sendBufferBytes_)
    , timer_(socket_.get_executor())
    , isRefused_(aIsRefused)
  {
  }
  ~Connection() override { ReleaseBody(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Start()
  {
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      BoostError ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->BeginIdle();
    });
  }

  void Stop() override
  {
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->Close(); });
  }

  template<class Function>
  void Post(std::uint64_t aSequence, Function aFunction)
  {
    asio::post(socket_.get_executor(),
               [self = shared_from_this(), aSequence, run = std::move(aFunction)]() mutable {
                 if (aSequence == self->sequence_) {
                   run(*self);
                 }
               });
  }

  void OnStarted() { lifecycle_.Apply(RequestEvent::Sent); }

  void OnComplete(int aStatus, const HeaderList& aHeaders, std::string aBody)
  {
    if (!lifecycle_.Apply(RequestEvent::Complete)) {
      return;
    }
    const bool hasBody = !EndsWithHead(false, static_cast<unsigned>(aStatus));
    AnswerFrame frame{ id_, std::nullopt, false, IsClosing() };
    if (isHead_) {
      frame.contentLength_ = AnnouncedLength(aHeaders);
    }
    if (hasBody && !frame.contentLength_) {
      frame.contentLength_ = aBody.size();
    }
    writer_.Enqueue(AnswerHead(aStatus, aHeaders, frame));
    if (hasBody && !isHead_) {
      writer_.Enqueue(std::move(aBody));
    }
    FinishAnswer();
  }

  void OnBegin(int aStatus, const HeaderList& aHeaders)
  {
    if (!lifecycle_.Apply(RequestEvent::Begin)) {
      return;
    }
    isEventStream_ = ToLower(FindField(aHeaders, "content-type")).starts_with("text/event-stream");
    isBodiless_ = EndsWithHead(isHead_, static_cast<unsigned>(aStatus));
    remaining_ = AnnouncedLength(aHeaders);
    isChunked_ = !isBodiless_ && !remaining_ && isHttp11_;
    if (!isChunked_ && !remaining_ && !isBodiless_) {
      mustClose_ = true;
    }
    AnswerFrame frame{ id_, remaining_, isChunked_, IsClosing() };
    writer_.Enqueue(AnswerHead(aStatus, aHeaders, frame));
    Write();
  }

  void OnChunk(std::string aBytes, std::function<void()> aWritten)
  {
    if (lifecycle_.Stage() != RequestStage::Streaming) {
      return;
    }
    if (!isBodiless_ && !aBytes.empty()) {
      if (remaining_ && aBytes.size() > *remaining_) {
        // More than was announced would be read as the start of another answer.
        Cut();
        return;
      }
      EnqueueChunk(std::move(aBytes));
    }
    if (writer_.UnsentBytes() > shared_->settings_.maxUnsentBytes_) {
      Close();
      return;
    }
    if (aWritten) {
      writer_.NotifyWhenBuffered(std::move(aWritten));
    }
    Write();
  }

  void OnEnd()
  {
    if (lifecycle_.Stage() == RequestStage::Streaming && !isBodiless_ && remaining_ &&
        *remaining_ > 0) {
      Cut();
      return;
    }
    if (!lifecycle_.Apply(RequestEvent::End)) {
      return;
    }
    if (isChunked_) {
      writer_.Enqueue("0\r\n\r\n");
    }
    FinishAnswer();
  }

  void OnFail(const CallerError& aError)
  {
    if (lifecycle_.Stage() == RequestStage::Streaming) {
      if (isEventStream_ && !remaining_ && !isBodiless_) {
        EnqueueChunk("event: error\ndata: " + ErrorBody(aError, id_) + "\n\n");
      }
      Cut();
      return;
    }
    if (lifecycle_.Apply(RequestEvent::Fail)) {
      EnqueueError(aError);
      FinishAnswer();
    }
  }

private:
  enum class Phase : std::uint8_t
  {
    Idle,      ///< Waits for a request.
    Head,      ///< Reads a head.
    Body,      ///< Reads a body.
    Answering, ///< A request is served.
    Lingering, ///< The last answer was sent; input is discarded.
    Closed     ///< The end.
  };

  // Reading

  void BeginIdle()
  {
    phase_ = Phase::Idle;
    parser_.reset();
    if (buffer_.size() == 0) {
      buffer_.shrink_to_fit();
      SetLimit(shared_->settings_.idleTime_);
      StartRead();
    } else {
      OnInput();
    }
  }

  void StartRead()
  {
    std::size_t room = kBodyReadBytes;
    if (phase_ == Phase::Answering) {
      room = kPipelineBytes - std::min(kPipelineBytes, buffer_.size());
    } else if (phase_ != Phase::Body) {
      room = kHeadReadBytes;
    }
    if (isReading_ || phase_ == Phase::Closed || room == 0) {
      return;
    }
    isReading_ = true;
    if (input_.size() != room) {
      input_ = std::vector<char>(room); // resize() would keep the memory of a larger read.
    }
    socket_.async_read_some(
      asio::buffer(input_), [self = shared_from_this()](BoostError aError, std::size_t aBytes) {
        self->isReading_ = false;
        self->buffer_.commit(
          asio::buffer_copy(self->buffer_.prepare(aBytes), asio::buffer(self->input_, aBytes)));
        self->OnRead(aError);
      });
  }

  void OnRead(BoostError aError)
  {
    if (phase_ == Phase::Closed) {
      return;
    }
    if (aError) {
      Close();
      return;
    }
    OnInput();
  }

  void OnInput()
  {
    switch (phase_) {
      case Phase::Idle:
        BeginRequest();
        Parse();
        break;
      case Phase::Head:
      case Phase::Body:
        Parse();
        break;
      case Phase::Lingering:
        buffer_.consume(buffer_.size());
        StartRead();
        break;
      case Phase::Answering:
        StartRead();
        break;
      case Phase::Closed:
        break;
    }
  }

  void BeginRequest()
  {
    phase_ = Phase::Head;
    ++sequence_;
    ++shared_->inFlight_;
    isCounted_ = true;
    lifecycle_ = RequestLifecycle();
    id_ = {};
    isHead_ = isHttp11_ = isEventStream_ = isBodiless_ = isChunked_ = false;
    mustClose_ = isRefused_;
    remaining_.reset();
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(shared_->settings_.maxHeadBytes_));
    parser_->body_limit(shared_->settings_.maxBodyBytes_);
    SetLimit(shared_->settings_.headTime_);
  }

  void Parse()
  {
    while (buffer_.size() > 0 && !parser_->is_done()) {
      const auto error = parser_->Parse(buffer_);
      if (error == http::error::need_more) {
        break;
      }
      if (error) {
        RefuseMessage(error);
        return;
      }
    }
    if (phase_ == Phase::Head && parser_->is_header_done()) {
      phase_ = Phase::Body;
      SetLimit(shared_->settings_.bodyTime_);
      if (!parser_->is_done() &&
          beast::iequals(parser_->Get()[http::field::expect], "100-continue")) {
        writer_.Enqueue("HTTP/1.1 100 Continue\r\n\r\n");
        Write();
      }
    }
    if (!AccountBody()) {
      Refuse({ 503, "overloaded", "too many requests are being read", RunState::NotRun, {} });
    } else if (parser_->is_done()) {
      OnRequest();
    } else {
      StartRead();
    }
  }

  /** @return false if all bodies being read together are too large. */
  bool AccountBody()
  {
    const auto size = parser_->Get().body().size();
    const auto counted = size - std::min(size, kFreeBodyBytes);
    shared_->bodyBytes_ += counted - accounted_;
    accounted_ = counted;
    return counted == 0 || shared_->bodyBytes_ <= shared_->settings_.maxBodyBytesInAll_;
  }

  void ReleaseBody()
  {
    shared_->bodyBytes_ -= accounted_;
    accounted_ = 0;
  }

  void RefuseMessage(BoostError aError)
  {
    if (aError == http::error::header_limit) {
      Refuse({ 431, "headers_too_large", "the header fields are too large", RunState::NotRun, {} });
    } else if (aError == http::error::body_limit) {
      Refuse({ 413, "body_too_large", "the body is too large", RunState::NotRun, {} });
    } else {
      Refuse({ 400, "malformed_request", aError.message(), RunState::NotRun, {} });
    }
  }

  /** Answers a request that was not handed over, and ends the connection. */
  void Refuse(const CallerError& aError)
  {
    mustClose_ = true;
    if (lifecycle_.Apply(RequestEvent::Fail)) {
      phase_ = Phase::Answering;
      ReleaseBody();
      const auto id =
        parser_->is_header_done() ? parser_->Get()["X-Request-Id"] : beast::string_view();
      id_ = RequestIdFrom({ id.data(), id.size() });
      EnqueueError(aError);
      FinishAnswer();
    }
  }

  void OnRequest()
  {
    phase_ = Phase::Answering;
    readLimit_ = SteadyClock::time_point::max();
    ReleaseBody();
    buffer_.shrink_to_fit();
    auto message = parser_->Release();
    isHttp11_ = message.version() >= 11;
    isHead_ = message.method() == http::verb::head;
    mustClose_ = mustClose_ || !message.keep_alive();
    CallerRequest request;
    request.method_ = std::string(message.method_string());
    request.target_ = std::string(message.target());
    request.body_ = std::move(message.body());
    HeaderList fields;
    for (const auto& field : message) {
      fields.emplace_back(field.name_string(), field.value());
    }
    lifecycle_.Apply(RequestEvent::Read);
    CallerError error;
    const bool isGood = ParseHead(fields, request, error);
    id_ = request.id_;
    if (isRefused_) {
      OnFail({ 503, "too_many_connections", "too many connections", RunState::NotRun, {} });
    } else if (!isGood || (request.kind_ != RequestKind::Service &&
                           !ParseCompletion(shared_->settings_.tokens_, request, error))) {
      OnFail(error);
    } else {
      HandOver(std::move(request));
    }
  }

  void HandOver(CallerRequest aRequest)
  {
    aRequest.deadline_ = shared_->clock_.Now() + shared_->settings_.requestTime_;
    auto sink = std::make_shared<ConnectionSink>(shared_from_this(), sequence_);
    lifecycle_.Apply(RequestEvent::HandedOver);
    const auto path = std::string_view(aRequest.target_).substr(0, aRequest.target_.find('?'));
    if (path == kModelsPath) {
      shared_->models_(std::move(aRequest), std::move(sink));
    } else {
      running_ = shared_->handler_.Start(std::move(aRequest), std::move(sink));
    }
    StartRead(); // Notices a caller that goes away.
  }

  // Writing

  bool IsClosing() const { return mustClose_ || shared_->isDraining_; }

  void EnqueueError(const CallerError& aError)
  {
    auto body = ErrorBody(aError, id_);
    HeaderList headers{ { "Content-Type", "application/json" } };
    if (aError.retryAfter_.count() > 0) {
      headers.emplace_back("Retry-After", std::to_string(aError.retryAfter_.count()));
    }
    writer_.Enqueue(AnswerHead(aError.status_, headers, { id_, body.size(), false, IsClosing() }));
    if (!isHead_) {
      writer_.Enqueue(std::move(body));
    }
  }

  void EnqueueChunk(std::string aBytes)
  {
    if (remaining_) {
      *remaining_ -= aBytes.size();
    }
    if (!isChunked_) {
      writer_.Enqueue(std::move(aBytes));
      return;
    }
    writer_.EnqueueChunk(aBytes);
  }

  void Write()
  {
    writer_.Write(shared_from_this(), [this](bool aIsWritten) {
      if (!aIsWritten) {
        Close();
      } else if (isAnswered_) {
        OnAnswerSent();
      }
    });
    ArmTimer();
  }

  /** The whole answer is queued. */
  void FinishAnswer()
  {
    running_.reset();
    isAnswered_ = true;
    mustClose_ = IsClosing();
    if (writer_.IsEmpty()) {
      OnAnswerSent();
    } else {
      Write();
    }
  }

  void OnAnswerSent()
  {
    isAnswered_ = false;
    EndRequest();
    BoostError ignored;
    if (mustReset_) {
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
      Close();
      return;
    }
    if (!mustClose_) {
      BeginIdle();
      return;
    }
    // Closing at once would reset the connection while input is unread, and the caller might lose
    // the answer.
    phase_ = Phase::Lingering;
    parser_.reset();
    buffer_.consume(buffer_.size());
    buffer_.shrink_to_fit();
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    SetLimit(shared_->settings_.lingerTime_);
    StartRead();
  }

  /** Ends a streamed answer visibly incomplete. */
  void Cut()
  {
    if (lifecycle_.Apply(RequestEvent::Fail)) {
      mustClose_ = true;
      // Without chunks, a length or an error event, only a reset shows that bytes are missing.
      mustReset_ = !isChunked_ && !remaining_ && !isBodiless_ && !isEventStream_;
      if (running_) {
        running_->Cancel();
      }
      FinishAnswer();
    }
  }

  // Time and end

  void SetLimit(std::chrono::milliseconds aTime)
  {
    readLimit_ = SteadyClock::now() + aTime;
    ArmTimer();
  }

  SteadyClock::time_point WriteLimit() const
  {
    const auto since = writer_.WaitingSince();
    return since == SteadyClock::time_point::max() ? since : since + shared_->settings_.writeStall_;
  }

  /** Makes the timer fire no later than the next limit. A limit that moved away is found out when
   * the timer fires, which saves a system call for each request. */
  void ArmTimer()
  {
    const auto limit = std::min(readLimit_, WriteLimit());
    if (limit >= armedFor_ || phase_ == Phase::Closed) {
      return;
    }
    armedFor_ = limit;
    timer_.expires_at(limit);
    timer_.async_wait([self = shared_from_this()](BoostError aError) {
      if (!aError && self->phase_ != Phase::Closed) {
        self->OnTimer();
      }
    });
  }

  void OnTimer()
  {
    armedFor_ = SteadyClock::time_point::max();
    const auto now = SteadyClock::now();
    if (now >= WriteLimit() && !writer_.HasProgressed()) {
      Close();
      return;
    }
    if (now >= readLimit_) {
      readLimit_ = SteadyClock::time_point::max();
      if (phase_ == Phase::Head || phase_ == Phase::Body) {
        Refuse(
          { 408, "request_timeout", "the request was not sent in time", RunState::NotRun, {} });
      } else {
        Close();
        return;
      }
    }
    ArmTimer();
  }

  /** Ends the connection; the caller went away, does not read, or is not wanted any more. */
  void Close()
  {
    if (phase_ == Phase::Closed) {
      return;
    }
    if (lifecycle_.Apply(RequestEvent::Disconnect) && running_) {
      running_->Cancel();
    }
    phase_ = Phase::Closed;
    running_.reset();
    writer_.Close();
    parser_.reset();
    ReleaseBody();
    EndRequest();
    timer_.cancel();
    BoostError ignored;
    socket_.close(ignored);
    const std::lock_guard lock(shared_->mutex_);
    shared_->open_.erase(this);
  }

  void EndRequest()
  {
    if (isCounted_) {
      isCounted_ = false;
      --shared_->inFlight_;
    }
  }

  const std::shared_ptr<CallerShared> shared_; ///< Shared with other connections.
  tcp::socket socket_;                         ///< The connection.
  AnswerWriter writer_;                        ///< Bytes to the caller.
  asio::steady_timer timer_;                   ///< Next limit.
  std::vector<char> input_;   ///< Receives a read, which may be under way while buffer_ is parsed.
  beast::flat_buffer buffer_; ///< Bytes read but not parsed.
  std::optional<RequestParser> parser_;     ///< Reads the request.
  RequestLifecycle lifecycle_;              ///< Stage of the request.
  std::shared_ptr<RunningRequest> running_; ///< Cancels the request.
  RequestId id_;                            ///< Identifier of the request.
  std::optional<std::uint64_t> remaining_;  ///< Announced bytes that have not come.
  SteadyClock::time_point readLimit_ = SteadyClock::time_point::max(); ///< End of the phase.
  SteadyClock::time_point armedFor_ = SteadyClock::time_point::max();  ///< When the timer fires.
  std::size_t accounted_ = 0;  ///< Bytes counted in shared_->bodyBytes_.
  std::uint64_t sequence_ = 0; ///< Number of the request.
  Phase phase_ = Phase::Idle;  ///< What happens now.
  const bool isRefused_;       ///< There are too many connections.
  bool isCounted_ = false;     ///< Counted in shared_->inFlight_.
  bool isReading_ = false;     ///< A read is under way.
  bool isAnswered_ = false;    ///< The whole answer is queued.
  bool mustClose_ = false;     ///< The connection ends after the answer.
  bool mustReset_ = false;     ///< It ends by a reset.
  bool isHead_ = false;        ///< The method is HEAD.
  bool isHttp11_ = false;      ///< The caller understands chunks.
  bool isChunked_ = false;     ///< The answer is sent in chunks.
  bool isBodiless_ = false;    ///< The answer has no body.
  bool isEventStream_ = false; ///< The answer is an event stream.
};

ConnectionSink::~ConnectionSink()
{
  if (!isEnded_) {
    connection_->Post(sequence_, [](Connection& aConnection) {
      aConnection.OnFail(
        { 500, "internal_error", "the request was dropped", RunState::Unknown, {} });
    });
  }
}

void
ConnectionSink::Started()
{
  connection_->Post(sequence_, [](Connection& aConnection) { aConnection.OnStarted(); });
}

void
ConnectionSink::Complete(int aStatus, HeaderList aHeaders, std::string aBody)
{
  isEnded_ = true;
  connection_->Post(sequence_,
                    [aStatus, headers = std::move(aHeaders), body = std::move(aBody)](
                      Connection& aConnection) mutable {
                      aConnection.OnComplete(aStatus, headers, std::move(body));
                    });
}

void
ConnectionSink::Begin(int aStatus, HeaderList aHeaders)
{
  connection_->Post(sequence_, [aStatus, headers = std::move(aHeaders)](Connection& aConnection) {
    aConnection.OnBegin(aStatus, headers);
  });
}

void
ConnectionSink::Chunk(std::string aBytes, std::function<void()> aWritten)
{
  connection_->Post(
    sequence_,
    [bytes = std::move(aBytes), written = std::move(aWritten)](Connection& aConnection) mutable {
      aConnection.OnChunk(std::move(bytes), std::move(written));
    });
}

void
ConnectionSink::End()
{
  isEnded_ = true;
  connection_->Post(sequence_, [](Connection& aConnection) { aConnection.OnEnd(); });
}

void
ConnectionSink::Fail(CallerError aError)
{
  isEnded_ = true;
  connection_->Post(
    sequence_, [error = std::move(aError)](Connection& aConnection) { aConnection.OnFail(error); });
}

} // namespace

void
ServeConnection(const std::shared_ptr<CallerShared>& aShared, CallerSocket aSocket, bool aIsRefused)
{
  auto connection = std::make_shared<Connection>(aShared, std::move(aSocket), aIsRefused);
  {
    const std::lock_guard lock(aShared->mutex_);
    aShared->open_.emplace(connection.get(), connection);
  }
  connection->Start();
}

} // namespace laburnumweir
