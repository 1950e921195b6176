/** @file gateway_test.cpp Tests that a running gateway keeps the bounds of its settings. */
#include "gateway/gateway.h"

#include "fleet/fleet_support.h"
#include "gateway/gateway_support.h"
#include "platform/message_codec.h"
#include "support/net_support.h"

#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <future>
#include <gtest/gtest.h>
#include <map>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;

/** Runs a gateway on loopback with a mock store that answers at once, apart from long polls. */
class GatewayTest : public testing::Test
{
protected:
  GatewayTest()
  {
    config_.version_ = 1;
    config_.services_ = { testing_support::MakeService() };
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
        ChangeBatch batch;
        batch.isSnapshot_ = true;
        if (aStream == ChangeStream::Operators) {
          batch.changes_ = { config_ };
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

  /**
   * Sends a request while the gateway runs.
   * @param aDeadline in milliseconds; 0 for none.
   * @return status of the answer; 0 if there is none.
   */
  unsigned StatusOf(const std::string& aTarget, const std::string& aKey, int aDeadline = 0) const
  {
    auto peer = testing_support::ConnectTo(settings_.callerEndpoint_);
    peer.Send("GET " + aTarget + " HTTP/1.1\r\nHost: a\r\nAuthorization: Token " + aKey + "\r\n" +
              (aDeadline > 0 ? "X-Deadline-Ms: " + std::to_string(aDeadline) + "\r\n" : "") +
              "\r\n");
    const auto answer = peer.ReadAnswer(5s);
    return answer ? answer->result_int() : 0;
  }

  boost::asio::io_context context_;
  testing::NiceMock<testing_support::MockStore> store_;
  testing::NiceMock<testing_support::MockEngines> engines_;
  platform::PlatformMessageCodec codec_;
  GatewaySettings settings_;
  FleetConfig config_;
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

// Guards against a key or a route that is refused for good by a host that has not learned of it,
// since the store has turned away the host for longer than a configuration may take to be in force.
TEST_F(GatewayTest, WhatIsUnknownIsNotRefusedForGoodWithoutAProvenConfiguration)
{
  settings_.callerEndpoint_ = testing_support::RefusingEndpoint();
  settings_.bounds_.maxConfigDelay_ = 600ms;
  Route route;
  route.host_ = "a";
  route.prefix_ = "/known/";
  config_.routes_ = { route };
  config_.workspaces_ = { testing_support::MakeWorkspace(0, 0) };
  using Statuses = std::vector<unsigned>;
  std::future<Statuses> early;
  std::future<Statuses> late;
  const auto ask = [this] {
    return Statuses{ StatusOf("/other/", "key-1"), StatusOf("/known/", "key-2") };
  };
  After(100ms, [&] { early = std::async(std::launch::async, ask); });
  After(900ms, [&] { late = std::async(std::launch::async, ask); });
  Run(200ms, 1300ms);
  EXPECT_EQ(early.get(), (Statuses{ 404, 401 }));
  EXPECT_EQ(late.get(), (Statuses{ 503, 503 }));
}

// Guards against requests, some of which may not be repeated, that a host takes in the grace period
// of a planned stop, and then cuts at its end without an answer.
TEST_F(GatewayTest, EachRequestOfAPlannedStopIsAnswered)
{
  testing_support::ScriptedServer silent([](testing_support::Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.ReadSome(5s);
  });
  settings_.callerEndpoint_ = testing_support::RefusingEndpoint();
  settings_.bounds_.shutdownGrace_ = 3500ms;
  for (const auto rule : { RepeatRule::Once, RepeatRule::Repeatable }) {
    Route route;
    route.host_ = "a";
    route.prefix_ = rule == RepeatRule::Once ? "/once/" : "/safe/";
    route.repeat_ = rule;
    route.services_ = { { engine_.service_, 1 } };
    config_.routes_.push_back(route);
  }
  config_.services_.front().engine_.reset();
  engine_.endpoint_ = silent.Address();
  std::map<std::string, std::future<unsigned>> statuses;
  const auto ask = [&](const std::string& aName, const std::string& aTarget, int aDeadline) {
    statuses[aName] = std::async(
      std::launch::async, [this, aTarget, aDeadline] { return StatusOf(aTarget, "", aDeadline); });
  };
  After(100ms, [&] { ask("before the stop", "/once/", 60000); });
  After(300ms, [] { std::raise(SIGTERM); });
  After(500ms, [&] {
    ask("too long", "/once/", 2700);
    ask("without a deadline", "/once/", 0);
    ask("too long, repeatable", "/safe/", 60000);
    ask("in time", "/once/", 1500);
  });
  After(3000ms, [&] { ask("late", "/safe/", 700); });
  const GatewayPorts ports{ store_, engines_, codec_, [this] { return settings_; } };
  ASSERT_TRUE(RunGateway(context_, GatewaySettings(settings_), ports));
  EXPECT_EQ(statuses["before the stop"].get(), 502U);
  EXPECT_EQ(statuses["too long"].get(), 503U);
  EXPECT_EQ(statuses["without a deadline"].get(), 503U);
  EXPECT_EQ(statuses["too long, repeatable"].get(), 502U);
  EXPECT_EQ(statuses["in time"].get(), 504U);
  EXPECT_EQ(statuses["late"].get(), 503U);
  EXPECT_EQ(silent.Accepted(), 3);
}

} // namespace
} // namespace laburnumweir
