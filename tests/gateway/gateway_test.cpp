/** @file gateway_test.cpp Tests that a running gateway keeps the bounds of its settings when they
 * are reloaded. */
#include "gateway/gateway.h"

#include "fleet/fleet_support.h"
#include "gateway/gateway_support.h"
#include "platform/message_codec.h"

#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;

/** Runs a gateway on loopback with a mock store that answers at once, apart from long polls. */
class GatewayTest : public testing::Test
{
protected:
  GatewayTest()
  {
    settings_.host_ = HostId("h1");
    settings_.dataCentre_ = DataCentreId("dc1");
    for (auto* endpoint : { &settings_.callerEndpoint_,
                            &settings_.readinessEndpoint_,
                            &settings_.gossipEndpoint_,
                            &settings_.metricsEndpoint_ }) {
      *endpoint = { "127.0.0.1", 0 };
    }
    settings_.groupPartitions_ = 1;
    ON_CALL(store_, ReadAll)
      .WillByDefault([this](ChangeStream aStream, const FleetStore::ChangesCallback& aCallback) {
        FleetConfig config;
        config.version_ = 1;
        config.services_ = { testing_support::MakeService() };
        ChangeBatch batch;
        batch.isSnapshot_ = true;
        if (aStream == ChangeStream::Operators) {
          batch.changes_ = { config };
        } else {
          batch.changes_ = { UpstreamChange{ engine_.id_, engine_ } };
        }
        aCallback({}, std::move(batch));
      });
    ON_CALL(store_, ReadChanges)
      .WillByDefault([this](ChangeStream aStream,
                            StorePosition aFrom,
                            std::chrono::milliseconds,
                            const FleetStore::ChangesCallback& aCallback) {
        if (aStream == ChangeStream::Upstreams) {
          ++upstreamReads_;
          ChangeBatch batch;
          batch.era_ = aFrom.era_;
          batch.next_ = aFrom.next_;
          aCallback({}, std::move(batch));
        }
      });
    ON_CALL(store_, JoinGroup)
      .WillByDefault([](const HostId&,
                        std::uint64_t,
                        std::chrono::milliseconds,
                        const FleetStore::MembershipCallback& aCallback) {
        aCallback({}, { 1, { 0 } });
      });
    ON_CALL(engines_, RequestReport)
      .WillByDefault(
        [this](const Endpoint&, const EngineControl::ReportCallback&) { ++reportRequests_; });
  }

  /** Calls a function while the gateway runs, a time after its start. */
  void After(std::chrono::milliseconds aDelay, std::function<void()> aFunction)
  {
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, aDelay);
    timer->async_wait([timer, function = std::move(aFunction)](auto) { function(); });
  }
  /** Runs the gateway, which reloads its settings after a time, until the end of another one. */
  void Run(std::chrono::milliseconds aReload, std::chrono::milliseconds aEnd)
  {
    After(aReload, [] { std::raise(SIGHUP); });
    After(aEnd, [this] { context_.stop(); });
    const GatewayPorts ports{ store_, engines_, codec_, [this] { return settings_; } };
    ASSERT_TRUE(RunGateway(context_, GatewaySettings(settings_), ports));
  }

  boost::asio::io_context context_;
  testing::NiceMock<testing_support::MockStore> store_;
  testing::NiceMock<testing_support::MockEngines> engines_;
  platform::PlatformMessageCodec codec_;
  GatewaySettings settings_;
  UpstreamEntry engine_ = testing_support::MakeEngine("e1");
  int upstreamReads_ = 0;  ///< Reads of the upstreams' changes.
  int reportRequests_ = 0; ///< Reports requested from engines, which precede the first order.
};

// Guards against requests to an upstream that drains for longer than a bound that was lowered while
// the gateway runs: the entries were still read at the interval of the former one.
TEST_F(GatewayTest, ALowerDrainBoundIsKeptAfterAReload)
{
  settings_.bounds_.maxDrainDelay_ = 10s;
  After(300ms, [this] {
    EXPECT_EQ(upstreamReads_, 0);
    settings_.bounds_.maxDrainDelay_ = 500ms;
  });
  Run(320ms, 1500ms);
  EXPECT_GE(upstreamReads_, 3) << "one read in 200 ms";
}

// Guards against an order that follows that of the previous holder too closely: a longer lease did
// not hold for the partitions that a host had just got.
TEST_F(GatewayTest, ALongerLeaseHoldsAfterAReload)
{
  settings_.bounds_.lease_ = 3s;
  After(300ms, [this] { settings_.bounds_.lease_ = 10s; });
  engine_.models_.clear(); // gets an order as soon as the lease permits
  Run(320ms, 4s);
  EXPECT_EQ(reportRequests_, 0);
}

} // namespace
} // namespace laburnumweir
