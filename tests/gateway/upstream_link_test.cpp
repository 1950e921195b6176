/** @file upstream_link_test.cpp Tests of the idle connections of UpstreamLink. */
#include "gateway/upstream_link.h"

#include "support/net_support.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;
using testing::_;
using testing::NiceMock;
using testing::Return;
using testing_support::Peer;
using testing_support::ScriptedServer;
using testing_support::tcp;

struct MockCallHandler : CallHandler
{
  MOCK_METHOD(void, OnSending, (), (override));
  MOCK_METHOD(
    HeadAction,
    OnHead,
    (unsigned, std::string_view, const boost::beast::http::fields&, std::optional<std::uint64_t>),
    (override));
  MOCK_METHOD(bool, OnBody, (std::string_view), (override));
  MOCK_METHOD(void, OnEnd, (CallEnd), (override));
};

/** How a connection becomes unusable while it is idle. */
struct IdleEnd
{
  const char* name_;
  const char* field_;
  std::function<void(Peer&)> end_; ///< What the upstream does after its answer.
};

class IdleConnectionTest
  : public testing::Test
  , public testing::WithParamInterface<IdleEnd>
{};

// Guards against a host that runs out of descriptors, as connections to upstreams that have left
// stay open until the next request to their address, which never comes.
TEST_P(IdleConnectionTest, IsClosedSoonAfterItIsUnusable)
{
  boost::asio::io_context context;
  UpstreamLink link(context);
  std::atomic<bool> isClosed = false;
  ScriptedServer server([&](Peer& aPeer, int) {
    aPeer.ReadRequest();
    aPeer.Send(std::string("HTTP/1.1 200 OK\r\n") + GetParam().field_ +
               "Content-Length: 0\r\n\r\n");
    std::this_thread::sleep_for(50ms);
    GetParam().end_(aPeer);
    isClosed = aPeer.WaitClosed(4s);
  });
  const auto handler = std::make_shared<NiceMock<MockCallHandler>>();
  ON_CALL(*handler, OnHead(_, _, _, _)).WillByDefault(Return(HeadAction::Accept));
  EXPECT_CALL(*handler, OnEnd(CallEnd::Complete));
  HttpRequest request;
  request.method(boost::beast::http::verb::get);
  request.target("/");
  const auto call = link.Send(server.Address(), request, handler, ConnectionReuse::Allowed);
  context.run_for(3s);
  EXPECT_TRUE(testing_support::WaitUntil([&] { return isClosed.load(); }, 2s));
}

INSTANTIATE_TEST_SUITE_P(
  Ends,
  IdleConnectionTest,
  testing::Values(IdleEnd{ "Timeout", "Keep-Alive: timeout=1\r\n", [](Peer&) {} },
                  IdleEnd{ "Bytes",
                           "Keep-Alive: timeout=60\r\n",
                           [](Peer& aPeer) { aPeer.Send("HTTP/1.1 200 OK\r\n\r\n"); } },
                  IdleEnd{
                    "HalfClose",
                    "Keep-Alive: timeout=60\r\n",
                    [](Peer& aPeer) { aPeer.Socket().shutdown(tcp::socket::shutdown_send); } }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace laburnumweir
