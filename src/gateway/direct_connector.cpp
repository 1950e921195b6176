/** @file direct_connector.cpp Connects to upstreams over this host's own link. */
#include "gateway/direct_connector.h"

#include "http/socket_option_func.h"

#include <boost/asio/post.hpp>

namespace laburnumweir {

namespace asio = boost::asio;
using asio::ip::tcp;
using BoostError = boost::system::error_code;

namespace {

class DirectAttempt
  : public ConnectAttempt
  , public std::enable_shared_from_this<DirectAttempt>
{
public:
  DirectAttempt(asio::io_context& aContext, UpstreamConnector::Callback aCallback)
    : context_(aContext)
    , socket_(aContext)
    , callback_(std::move(aCallback))
  {
  }

  void Start(const Endpoint& aEndpoint)
  {
    BoostError error;
    const auto address = asio::ip::make_address(aEndpoint.address_, error);
    if (error) {
      asio::post(context_, [self = shared_from_this(), error] { self->Finish(error); });
      return;
    }
    socket_.async_connect(tcp::endpoint(address, aEndpoint.port_),
                          [self = shared_from_this()](BoostError aError) { self->Finish(aError); });
  }

  void Cancel() override
  {
    callback_ = nullptr;
    BoostError ignored;
    socket_.close(ignored);
  }

private:
  void Finish(BoostError aError)
  {
    const auto callback = std::exchange(callback_, nullptr);
    if (!callback) {
      return;
    }
    if (aError) {
      callback(aError, nullptr);
      return;
    }
    SetLivenessOptions(socket_);
    callback({}, std::make_unique<OpenedConnection>(OpenedConnection{ std::move(socket_), {} }));
  }

  asio::io_context& context_;
  tcp::socket socket_;
  UpstreamConnector::Callback callback_; ///< Empty once called or cancelled.
};

} // namespace

std::shared_ptr<ConnectAttempt>
DirectConnector::Connect(const Endpoint& aEndpoint, Callback aCallback)
{
  auto attempt = std::make_shared<DirectAttempt>(context_, std::move(aCallback));
  attempt->Start(aEndpoint);
  return attempt;
}

} // namespace laburnumweir
