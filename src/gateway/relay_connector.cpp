/** @file relay_connector.cpp Connects to upstreams through other hosts where the own link is lost.
 */
#include "gateway/relay_connector.h"

#include "table/relay_const.h"

#include <boost/asio/post.hpp>

namespace laburnumweir {

namespace asio = boost::asio;
using BoostError = boost::system::error_code;

namespace {

/** Opens a connection over the own link and through other hosts; the first one is used. */
class RaceAttempt
  : public detail::TimedConnectAttempt
  , public std::enable_shared_from_this<RaceAttempt>
{
public:
  RaceAttempt(RelayContext& aContext, Endpoint aEndpoint, UpstreamConnector::Callback aCallback)
    : TimedConnectAttempt(aContext, std::move(aEndpoint), std::move(aCallback))
  {
  }

  void Start()
  {
    if (context_.paths_.IsRelayed(endpoint_)) {
      StartRelay();
      return;
    }
    StartDirect();
    timer_.expires_after(kRelayDelay);
    timer_.async_wait([weak = weak_from_this()](BoostError aError) {
      if (const auto self = weak.lock(); self && !aError) {
        self->StartRelay();
      }
    });
  }

  void Cancel() override
  {
    Drop();
    Stop();
  }

private:
  void StartDirect()
  {
    hasDirect_ = true;
    direct_ =
      context_.direct_.Connect(endpoint_,
                               [self = shared_from_this()](
                                 BoostError aError, std::unique_ptr<OpenedConnection> aConnection) {
                                 self->OnDirect(aError, std::move(aConnection));
                               });
  }

  void StartRelay()
  {
    if (hasRelay_ || IsOver()) {
      return;
    }
    hasRelay_ = true;
    const auto relay = std::make_shared<RelayAttempt>(
      context_,
      endpoint_,
      [self = shared_from_this()](BoostError aError,
                                  std::unique_ptr<OpenedConnection> aConnection) {
        self->OnRelay(aError, std::move(aConnection));
      });
    relay_ = relay;
    // Not during Connect(), since it may fail at once.
    asio::post(context_.context_, [relay] { relay->Start(); });
  }

  void OnDirect(BoostError aError, std::unique_ptr<OpenedConnection> aConnection)
  {
    direct_.reset();
    if (IsOver()) {
      return;
    }
    if (!aError) {
      context_.paths_.OnConnected(endpoint_);
      Finish({}, std::move(aConnection));
      return;
    }
    isRefused_ = true;
    StartRelay();
    FinishIfFailed(aError);
  }

  void OnRelay(BoostError aError, std::unique_ptr<OpenedConnection> aConnection)
  {
    relay_.reset();
    hasRelayFailed_ = aError.failed();
    if (IsOver()) {
      return;
    }
    if (!aError) {
      const bool wasKnown = context_.paths_.IsRelayed(endpoint_);
      context_.paths_.OnRelayed(endpoint_);
      if (!wasKnown && context_.onLinkLost_) {
        context_.onLinkLost_(/*hangs*/ !isRefused_);
      }
      Finish({}, std::move(aConnection));
      return;
    }
    if (aError == asio::error::host_unreachable) {
      context_.paths_.OnUnreachable(endpoint_);
    } else if (!hasDirect_) {
      StartDirect(); // no other host relays now
    }
    FinishIfFailed(aError);
  }

  void FinishIfFailed(BoostError aError)
  {
    if (!direct_ && hasRelayFailed_) {
      Finish(aError, nullptr);
    }
  }

  void Finish(BoostError aError, std::unique_ptr<OpenedConnection> aConnection)
  {
    Stop();
    Report(aError, std::move(aConnection));
  }

  void Stop()
  {
    timer_.cancel();
    if (const auto direct = std::exchange(direct_, nullptr)) {
      direct->Cancel();
    }
    if (const auto relay = std::exchange(relay_, nullptr)) {
      relay->Cancel();
    }
  }

  std::shared_ptr<ConnectAttempt> direct_; ///< Empty unless the own link is being tried.
  std::shared_ptr<ConnectAttempt> relay_;  ///< Empty unless other hosts are being asked.
  bool hasDirect_ = false;                 ///< The own link is being or was tried.
  bool hasRelay_ = false;                  ///< Other hosts are being or were asked.
  bool hasRelayFailed_ = false;            ///< No other host connects.
  bool isRefused_ = false;                 ///< The own link has failed, rather than being silent.
};

} // namespace

RelayConnector::RelayConnector(RelayContext aContext)
  : context_(std::move(aContext))
  , probeTimer_(context_.context_)
{
}

RelayConnector::~RelayConnector()
{
  if (probe_) {
    probe_->Cancel();
  }
}

void
RelayConnector::Start()
{
  probeTimer_.expires_after(kLinkProbeInterval);
  probeTimer_.async_wait([this](BoostError aError) {
    if (!aError) {
      Probe();
      Start();
    }
  });
}

std::shared_ptr<ConnectAttempt>
RelayConnector::Connect(const Endpoint& aEndpoint, Callback aCallback)
{
  auto attempt = std::make_shared<RaceAttempt>(context_, aEndpoint, std::move(aCallback));
  attempt->Start();
  return attempt;
}

void
RelayConnector::Probe()
{
  if (probe_) {
    std::exchange(probe_, nullptr)->Cancel();
  }
  if (const auto endpoint = context_.paths_.NextProbe()) {
    probe_ = context_.direct_.Connect(
      *endpoint, [this, endpoint](BoostError aError, std::unique_ptr<OpenedConnection>) {
        probe_.reset();
        if (!aError) {
          context_.paths_.OnConnected(*endpoint);
          Probe(); // the other links may be back as well
        }
      });
  }
}

} // namespace laburnumweir
