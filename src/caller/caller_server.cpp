/** @file caller_server.cpp HTTP server for callers. */
#include "caller/caller_server.h"

#include "caller/caller_connection.h"
#include "http/listen_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <vector>

namespace laburnumweir {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using BoostError = boost::system::error_code;

// Accepting fails without a free descriptor; trying again at once would spin.
constexpr std::chrono::milliseconds kAcceptDelay{ 100 };

} // namespace

struct CallerServer::Impl : std::enable_shared_from_this<CallerServer::Impl>
{
  Impl(asio::io_context& aContext, std::shared_ptr<CallerShared> aShared)
    : context_(aContext)
    , shared_(std::move(aShared))
    , strand_(asio::make_strand(aContext))
    , acceptor_(strand_)
    , timer_(strand_)
  {
  }

  BoostError Open(const Endpoint& aEndpoint) { return OpenListener(acceptor_, aEndpoint); }

  void Accept()
  {
    acceptor_.async_accept(asio::make_strand(context_),
                           [self = shared_from_this()](BoostError aError, tcp::socket aSocket) {
                             self->OnAccepted(aError, std::move(aSocket));
                           });
  }

  void OnAccepted(BoostError aError, tcp::socket aSocket)
  {
    if (!acceptor_.is_open()) {
      return;
    }
    if (aError) {
      timer_.expires_after(kAcceptDelay);
      timer_.async_wait([self = shared_from_this()](BoostError aTimerError) {
        if (!aTimerError && self->acceptor_.is_open()) {
          self->Accept();
        }
      });
      return;
    }
    const auto open = Connections();
    const auto limit = shared_->settings_.maxConnections_;
    // A tenth more connections are told why they are refused; beyond that they are closed.
    if (open < limit + limit / 10 + 1) {
      ServeConnection(shared_, std::move(aSocket), open >= limit);
    }
    Accept();
  }

  std::size_t Connections() const
  {
    const std::lock_guard lock(shared_->mutex_);
    return shared_->open_.size();
  }

  void Stop()
  {
    asio::post(strand_, [self = shared_from_this()] {
      BoostError ignored;
      self->acceptor_.close(ignored);
      self->timer_.cancel();
      std::vector<std::shared_ptr<CallerConnection>> connections;
      {
        const std::lock_guard lock(self->shared_->mutex_);
        for (const auto& [key, weak] : self->shared_->open_) {
          if (auto connection = weak.lock()) {
            connections.push_back(std::move(connection));
          }
        }
      }
      for (const auto& connection : connections) {
        connection->Stop();
      }
    });
  }

  asio::io_context& context_;                            ///< Runs the server.
  const std::shared_ptr<CallerShared> shared_;           ///< Shared with the connections.
  asio::strand<asio::io_context::executor_type> strand_; ///< Runs the listener.
  tcp::acceptor acceptor_;                               ///< Listener.
  asio::steady_timer timer_;                             ///< Delays the next accept.
  Endpoint local_;                                       ///< Where the server listens.
};

CallerServer::CallerServer(asio::io_context& aContext,
                           const Clock& aClock,
                           CallerSettings aSettings,
                           RequestHandler& aHandler,
                           ModelsCallback aModels)
  : impl_(std::make_shared<Impl>(
      aContext,
      std::make_shared<CallerShared>(aClock, aSettings, aHandler, std::move(aModels))))
{
}

CallerServer::~CallerServer()
{
  Stop();
}

std::error_code
CallerServer::Listen(const Endpoint& aEndpoint)
{
  if (const auto error = impl_->Open(aEndpoint)) {
    return error;
  }
  BoostError error;
  const auto local = impl_->acceptor_.local_endpoint(error);
  impl_->local_ = { local.address().to_string(), local.port() };
  asio::post(impl_->strand_, [impl = impl_] { impl->Accept(); });
  return error;
}

Endpoint
CallerServer::LocalEndpoint() const
{
  return impl_->local_;
}

void
CallerServer::StartDrain()
{
  impl_->shared_->isDraining_ = true;
}

std::size_t
CallerServer::InFlight() const
{
  return impl_->shared_->inFlight_;
}

std::size_t
CallerServer::Connections() const
{
  return impl_->Connections();
}

void
CallerServer::Stop()
{
  impl_->Stop();
}

} // namespace laburnumweir
