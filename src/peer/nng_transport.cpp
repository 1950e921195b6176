/** @file nng_transport.cpp Messages between hosts over nng request/reply sockets. */
#include "peer/nng_transport.h"

#include "peer/peer_sm.h"
#include "peer/wire.pb.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <nng/supplemental/util/platform.h>
#include <string>
#include <vector>

namespace laburnumweir {

namespace {

namespace asio = boost::asio;

// Requests that one host answers at the same time; further ones wait in nng. Requests for a slot
// are answered when the load is done, so many can be open.
constexpr int kReplyContexts = 512;
constexpr std::size_t kMaxMessageBytes = 8U << 20;
constexpr nng_duration kReconnectMinMs = 50;
constexpr nng_duration kReconnectMaxMs = 500;

class PeerErrorCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "peer"; }
  std::string message(int aValue) const override
  {
    switch (static_cast<PeerError>(aValue)) {
      case PeerError::UnknownPeer:
        return "no address is known for the host";
      case PeerError::Timeout:
        return "the peer did not answer in time";
      case PeerError::Closed:
        return "the transport is closed";
      case PeerError::InvalidAnswer:
        return "the answer of the peer could not be decoded";
      case PeerError::Unsupported:
        return "the peer does not support the message";
    }
    return "unknown peer error";
  }
};

std::string
Url(const Endpoint& aEndpoint)
{
  return "tcp://" + aEndpoint.address_ + ":" + std::to_string(aEndpoint.port_);
}

void
ThrowIfFailed(int aResult, const std::string& aWhat)
{
  if (aResult != 0) {
    throw std::system_error(std::make_error_code(std::errc::address_not_available),
                            aWhat + ": " + nng_strerror(aResult));
  }
}

/** @return a new nng message with the encoded envelope; owned by the caller. */
nng_msg*
Encode(const wire::Envelope& aMessage)
{
  const std::string bytes = aMessage.SerializeAsString();
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, 0) != 0 || nng_msg_append(message, bytes.data(), bytes.size()) != 0) {
    throw std::bad_alloc();
  }
  return message;
}

bool
Decode(nng_msg* aMessage, wire::Envelope& aResult)
{
  return aResult.ParseFromArray(nng_msg_body(aMessage), static_cast<int>(nng_msg_len(aMessage)));
}

} // namespace

const std::error_category&
PeerCategory()
{
  static const PeerErrorCategory kCategory;
  return kCategory;
}

std::error_code
make_error_code(PeerError aError)
{
  return { static_cast<int>(aError), PeerCategory() };
}

struct NngTransport::Impl : std::enable_shared_from_this<NngTransport::Impl>
{
  /** One peer: a request socket and the state of its connection. */
  struct Peer
  {
    Endpoint endpoint_;            ///< Address of the peer.
    nng_socket socket_{};          ///< Request socket.
    detail::PeerMachine machine_;  ///< State of the connection.
    std::uint64_t generation_ = 0; ///< Distinguishes this socket from earlier ones of the peer.
  };

  /** A request on its way; deleted on the control thread. */
  struct Exchange
  {
    std::shared_ptr<Impl> impl_;   ///< The transport.
    HostId peer_;                  ///< Receiver.
    std::uint64_t generation_ = 0; ///< Socket that it was sent over.
    nng_ctx context_{};            ///< nng request context.
    nng_aio* aio_ = nullptr;       ///< Operation under way.
    bool sent_ = false;            ///< Whether the send is complete.
    AnswerCallback callback_;      ///< Receives the answer.
    nng_time deadline_ = 0;        ///< When to give up, in nng's clock.
  };

  /** One of the contexts that receive requests of peers. */
  struct ReplySlot
  {
    std::weak_ptr<Impl> impl_; ///< The transport.
    nng_ctx context_{};        ///< nng reply context.
    nng_aio* aio_ = nullptr;   ///< Operation under way.
    bool sending_ = false;     ///< Whether the operation is a send.
  };

  explicit Impl(asio::io_context& aControl)
    : control_(aControl)
  {
  }

  void Listen(const Endpoint& aListen)
  {
    ThrowIfFailed(nng_rep0_open(&listener_), "cannot open the peer socket");
    nng_socket_set_size(listener_, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
    nng_listener listener{};
    ThrowIfFailed(nng_listen(listener_, Url(aListen).c_str(), &listener, 0),
                  "cannot listen for peers at " + Url(aListen));
    int port = 0;
    nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    port_ = static_cast<std::uint16_t>(port);
    for (int i = 0; i < kReplyContexts; ++i) {
      auto slot = std::make_unique<ReplySlot>();
      slot->impl_ = weak_from_this();
      ThrowIfFailed(nng_ctx_open(&slot->context_, listener_), "cannot open a reply context");
      ThrowIfFailed(nng_aio_alloc(&slot->aio_, &Impl::OnReplySlot, slot.get()),
                    "cannot allocate a reply operation");
      slots_.push_back(std::move(slot));
    }
    for (auto& slot : slots_) {
      nng_ctx_recv(slot->context_, slot->aio_);
    }
  }

  void Close()
  {
    for (auto& [id, peer] : peers_) {
      nng_close(peer->socket_);
    }
    peers_.clear();
    for (auto& slot : slots_) {
      nng_aio_stop(slot->aio_);
    }
    nng_close(listener_);
    for (auto& slot : slots_) {
      nng_aio_free(slot->aio_);
    }
    slots_.clear();
  }

  static void OnReplySlot(void* aSlot)
  {
    auto* slot = static_cast<ReplySlot*>(aSlot);
    const int result = nng_aio_result(slot->aio_);
    if (result == NNG_ECLOSED || result == NNG_ECANCELED) {
      return;
    }
    if (slot->sending_) {
      if (result != 0) {
        nng_msg_free(nng_aio_get_msg(slot->aio_));
      }
      slot->sending_ = false;
      nng_ctx_recv(slot->context_, slot->aio_);
      return;
    }
    const auto impl = slot->impl_.lock();
    if (result != 0 || !impl) {
      nng_ctx_recv(slot->context_, slot->aio_);
      return;
    }
    nng_msg* message = nng_aio_get_msg(slot->aio_);
    auto request = std::make_shared<wire::Envelope>();
    const bool valid = Decode(message, *request);
    impl->bytes_ += nng_msg_len(message);
    nng_msg_free(message);
    asio::post(impl->control_, [weak = slot->impl_, slot, request, valid] {
      if (const auto self = weak.lock()) {
        self->Serve(*slot, *request, valid);
      }
    });
  }

  void Serve(ReplySlot& aSlot, const wire::Envelope& aRequest, bool aIsValid)
  {
    auto answered = std::make_shared<bool>(false);
    Responder respond =
      [weak = weak_from_this(), slot = &aSlot, answered](const wire::Envelope& aAnswer) {
        const auto self = weak.lock();
        if (!self || *answered) {
          return;
        }
        *answered = true;
        nng_msg* message = Encode(aAnswer);
        self->bytes_ += nng_msg_len(message);
        nng_aio_set_msg(slot->aio_, message);
        slot->sending_ = true;
        nng_ctx_send(slot->context_, slot->aio_);
      };
    if (!aIsValid || !handler_ || aRequest.body_case() == wire::Envelope::BODY_NOT_SET) {
      wire::Envelope answer;
      answer.mutable_unsupported();
      respond(std::move(answer));
      return;
    }
    handler_(aRequest, respond);
  }

  void Open(const HostId& aId, Peer& aPeer)
  {
    aPeer.generation_ = ++lastGeneration_;
    ThrowIfFailed(nng_req0_open(&aPeer.socket_), "cannot open a request socket");
    nng_socket_set_size(aPeer.socket_, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
    nng_socket_set_ms(aPeer.socket_, NNG_OPT_RECONNMINT, kReconnectMinMs);
    nng_socket_set_ms(aPeer.socket_, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
    // The callers decide on repeated sends; nng would send again after a minute by default.
    nng_socket_set_ms(aPeer.socket_, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    auto* watch = new PipeWatch{ weak_from_this(), aId, aPeer.generation_ };
    watches_.emplace_back(watch);
    nng_pipe_notify(aPeer.socket_, NNG_PIPE_EV_ADD_POST, &Impl::OnPipe, watch);
    nng_pipe_notify(aPeer.socket_, NNG_PIPE_EV_REM_POST, &Impl::OnPipe, watch);
    nng_dial(aPeer.socket_, Url(aPeer.endpoint_).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  }

  /** Names the socket that a pipe event belongs to. */
  struct PipeWatch
  {
    std::weak_ptr<Impl> impl_;     ///< The transport.
    HostId peer_;                  ///< The peer.
    std::uint64_t generation_ = 0; ///< The socket.
  };

  static void OnPipe(nng_pipe, nng_pipe_ev aEvent, void* aWatch)
  {
    const auto* watch = static_cast<PipeWatch*>(aWatch);
    const auto impl = watch->impl_.lock();
    if (!impl) {
      return;
    }
    asio::post(impl->control_,
               [weak = watch->impl_,
                id = watch->peer_,
                generation = watch->generation_,
                isAdded = aEvent == NNG_PIPE_EV_ADD_POST] {
                 const auto self = weak.lock();
                 if (!self) {
                   return;
                 }
                 if (Peer* peer = self->Find(id, generation)) {
                   if (isAdded) {
                     peer->machine_.process_event(detail::PipeOpened());
                   } else {
                     peer->machine_.process_event(detail::PipeClosed());
                   }
                 }
               });
  }

  Peer* Find(const HostId& aId, std::uint64_t aGeneration)
  {
    const auto found = peers_.find(aId);
    return found != peers_.end() && found->second->generation_ == aGeneration ? found->second.get()
                                                                              : nullptr;
  }

  void Send(const HostId& aId,
            const wire::Envelope& aMessage,
            Duration aTimeout,
            AnswerCallback aCallback)
  {
    const auto found = peers_.find(aId);
    if (found == peers_.end()) {
      asio::post(control_, [callback = std::move(aCallback)] {
        callback(PeerError::UnknownPeer, wire::Envelope());
      });
      return;
    }
    auto exchange = std::make_unique<Exchange>();
    exchange->impl_ = shared_from_this();
    exchange->peer_ = aId;
    exchange->generation_ = found->second->generation_;
    exchange->callback_ = std::move(aCallback);
    if (nng_ctx_open(&exchange->context_, found->second->socket_) != 0) {
      asio::post(control_, [callback = std::move(exchange->callback_)] {
        callback(PeerError::Closed, wire::Envelope());
      });
      return;
    }
    const auto timeout =
      std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::milliseconds>(aTimeout).count());
    exchange->deadline_ = nng_clock() + static_cast<nng_time>(timeout);
    Exchange* raw = exchange.release();
    if (nng_aio_alloc(&raw->aio_, &Impl::OnExchange, raw) != 0) {
      nng_ctx_close(raw->context_);
      delete raw;
      throw std::bad_alloc();
    }
    nng_msg* message = Encode(aMessage);
    bytes_ += nng_msg_len(message);
    nng_aio_set_timeout(raw->aio_, static_cast<nng_duration>(timeout));
    nng_aio_set_msg(raw->aio_, message);
    nng_ctx_send(raw->context_, raw->aio_);
  }

  static void OnExchange(void* aExchange)
  {
    auto* exchange = static_cast<Exchange*>(aExchange);
    const int result = nng_aio_result(exchange->aio_);
    if (result == 0 && !exchange->sent_) {
      exchange->sent_ = true;
      const nng_time now = nng_clock();
      const nng_time left = exchange->deadline_ > now ? exchange->deadline_ - now : 1;
      nng_aio_set_timeout(exchange->aio_, static_cast<nng_duration>(left));
      nng_ctx_recv(exchange->context_, exchange->aio_);
      return;
    }
    if (result != 0 && !exchange->sent_) {
      nng_msg_free(nng_aio_get_msg(exchange->aio_));
    }
    auto answer = std::make_shared<wire::Envelope>();
    bool valid = false;
    if (result == 0) {
      nng_msg* message = nng_aio_get_msg(exchange->aio_);
      exchange->impl_->bytes_ += nng_msg_len(message);
      valid = Decode(message, *answer);
      nng_msg_free(message);
    }
    asio::post(exchange->impl_->control_,
               [exchange, answer, result, valid] { Finish(exchange, *answer, result, valid); });
  }

  static void Finish(Exchange* aExchange, const wire::Envelope& aAnswer, int aResult, bool aIsValid)
  {
    const std::unique_ptr<Exchange> exchange(aExchange);
    nng_aio_free(exchange->aio_);
    nng_ctx_close(exchange->context_);
    std::error_code error;
    if (aResult == NNG_ETIMEDOUT) {
      error = PeerError::Timeout;
    } else if (aResult != 0) {
      error = PeerError::Closed;
    } else if (!aIsValid) {
      error = PeerError::InvalidAnswer;
    } else if (aAnswer.has_unsupported()) {
      error = PeerError::Unsupported;
    }
    exchange->impl_->NoteAnswer(*exchange, aResult);
    exchange->callback_(error, aAnswer);
  }

  void NoteAnswer(const Exchange& aExchange, int aResult)
  {
    Peer* peer = Find(aExchange.peer_, aExchange.generation_);
    if (peer == nullptr) {
      return;
    }
    if (aResult == 0) {
      peer->machine_.process_event(detail::AnswerArrived());
      return;
    }
    if (aResult != NNG_ETIMEDOUT) {
      return;
    }
    const auto before = static_cast<PeerState>(peer->machine_.current_state()[0]);
    peer->machine_.process_event(detail::AnswerMissing());
    // A connection that is open but silent may be dead for good without notice: replace it.
    if (before == PeerState::Connected && aExchange.sent_) {
      nng_close(peer->socket_);
      peer->machine_.process_event(detail::PipeClosed());
      Open(aExchange.peer_, *peer);
    }
  }

  asio::io_context& control_;                       ///< Context of the control thread.
  Handler handler_;                                 ///< Answers requests of peers.
  nng_socket listener_{};                           ///< Reply socket.
  std::uint16_t port_ = 0;                          ///< Port of the reply socket.
  std::vector<std::unique_ptr<ReplySlot>> slots_;   ///< Reply contexts.
  std::map<HostId, std::unique_ptr<Peer>> peers_;   ///< Peers by name.
  std::vector<std::unique_ptr<PipeWatch>> watches_; ///< Arguments of pipe callbacks.
  std::uint64_t lastGeneration_ = 0;                ///< Number of the newest socket.
  std::atomic<std::uint64_t> bytes_{ 0 };           ///< Bytes of messages.
};

NngTransport::NngTransport(asio::io_context& aControl, const Endpoint& aListen)
  : impl_(std::make_shared<Impl>(aControl))
{
  impl_->Listen(aListen);
}

NngTransport::~NngTransport()
{
  impl_->Close();
}

void
NngTransport::SetHandler(Handler aHandler)
{
  impl_->handler_ = std::move(aHandler);
}

void
NngTransport::SetPeer(const HostId& aPeer, const Endpoint& aEndpoint)
{
  auto& peer = impl_->peers_[aPeer];
  if (peer && peer->endpoint_ == aEndpoint) {
    return;
  }
  if (peer) {
    nng_close(peer->socket_);
  }
  peer = std::make_unique<Impl::Peer>();
  peer->endpoint_ = aEndpoint;
  impl_->Open(aPeer, *peer);
}

void
NngTransport::RemovePeer(const HostId& aPeer)
{
  const auto found = impl_->peers_.find(aPeer);
  if (found != impl_->peers_.end()) {
    nng_close(found->second->socket_);
    impl_->peers_.erase(found);
  }
}

void
NngTransport::Request(const HostId& aPeer,
                      const wire::Envelope& aMessage,
                      Duration aTimeout,
                      AnswerCallback aCallback)
{
  impl_->Send(aPeer, aMessage, aTimeout, std::move(aCallback));
}

PeerState
NngTransport::State(const HostId& aPeer) const
{
  const auto found = impl_->peers_.find(aPeer);
  return found == impl_->peers_.end()
           ? PeerState::Dialing
           : static_cast<PeerState>(found->second->machine_.current_state()[0]);
}

std::uint16_t
NngTransport::ListenPort() const
{
  return impl_->port_;
}

std::uint64_t
NngTransport::MessageBytes() const
{
  return impl_->bytes_;
}

} // namespace laburnumweir
