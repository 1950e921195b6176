/** @file nng_transport_test.cpp Tests of the messages between hosts. */
#include "peer/nng_transport.h"
#include "peer/wire.pb.h"

#include <arpa/inet.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr Duration kTimeout = 500ms;

/** Runs the context until the condition holds or the time is over. */
template<typename Condition>
bool
RunUntil(asio::io_context& aContext, Duration aLimit, Condition aCondition)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition() && std::chrono::steady_clock::now() < end) {
    aContext.restart();
    aContext.run_for(5ms);
  }
  return aCondition();
}

wire::Envelope
MakeHeartbeat()
{
  wire::Envelope message;
  message.set_version(1);
  message.mutable_heartbeat();
  return message;
}

class NngTransportTest : public ::testing::Test
{
protected:
  NngTransportTest()
    : a_(context_, { "127.0.0.1", 0 })
    , b_(context_, { "127.0.0.1", 0 })
  {
    a_.SetPeer(HostId("b"), { "127.0.0.1", b_.ListenPort() });
  }

  std::error_code Ask(NngTransport& aFrom, const HostId& aTo, wire::Envelope& aAnswer)
  {
    bool done = false;
    std::error_code result;
    aFrom.Request(
      aTo, MakeHeartbeat(), kTimeout, [&](std::error_code aError, const wire::Envelope& aMessage) {
        done = true;
        result = aError;
        aAnswer = aMessage;
      });
    EXPECT_TRUE(RunUntil(context_, 5s, [&] { return done; }));
    return result;
  }

  asio::io_context context_; ///< Control thread of both hosts.
  NngTransport a_;           ///< Asks.
  NngTransport b_;           ///< Answers.
};

/** Guards against answers that reach the wrong request. */
TEST_F(NngTransportTest, EachRequestGetsItsOwnAnswer)
{
  b_.SetHandler([](const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond) {
    wire::Envelope answer;
    answer.mutable_explain_answer()->add_lines(aRequest.explain_query().request_id());
    aRespond(answer);
  });
  int done = 0;
  for (int i = 0; i < 200; ++i) {
    wire::Envelope message;
    message.mutable_explain_query()->set_request_id(std::to_string(i));
    a_.Request(HostId("b"), message, 5s, [&done, i](std::error_code aError, const auto& aAnswer) {
      EXPECT_FALSE(aError) << aError.message();
      EXPECT_EQ(std::to_string(i), aAnswer.explain_answer().lines(0));
      ++done;
    });
  }
  EXPECT_TRUE(RunUntil(context_, 10s, [&] { return done == 200; }));
}

/** Guards against a request that waits for ever when the peer never answers. */
TEST_F(NngTransportTest, SilentPeerGivesTimeoutAndRecovers)
{
  bool silent = true;
  b_.SetHandler([&](const wire::Envelope&, const PeerTransport::Responder& aRespond) {
    if (!silent) {
      wire::Envelope answer;
      answer.mutable_done();
      aRespond(answer);
    }
  });
  wire::Envelope answer;
  EXPECT_EQ(PeerError::Timeout, Ask(a_, HostId("b"), answer));
  silent = false;
  EXPECT_FALSE(Ask(a_, HostId("b"), answer));
  EXPECT_TRUE(answer.has_done());
  EXPECT_EQ(PeerState::Connected, a_.State(HostId("b")));
}

/** Guards against a host that hangs on a peer that is gone or unknown. */
TEST_F(NngTransportTest, UnreachablePeers)
{
  wire::Envelope answer;
  EXPECT_EQ(PeerError::UnknownPeer, Ask(a_, HostId("nobody"), answer));
  a_.SetPeer(HostId("gone"), { "127.0.0.1", 1 });
  EXPECT_EQ(PeerError::Timeout, Ask(a_, HostId("gone"), answer));
  EXPECT_EQ(PeerState::Dialing, a_.State(HostId("gone")));
}

/** Guards against a newer release's message stopping an older host. */
TEST_F(NngTransportTest, UnknownBodyIsAnsweredUnsupported)
{
  b_.SetHandler([](const wire::Envelope&, const PeerTransport::Responder&) { FAIL(); });
  wire::Envelope newer;
  // Field 99 does not exist in this release.
  ASSERT_TRUE(newer.ParseFromString("\x98\x06\x01"));
  newer.set_version(2);
  bool done = false;
  a_.Request(HostId("b"), newer, kTimeout, [&](std::error_code aError, const auto&) {
    EXPECT_EQ(PeerError::Unsupported, aError);
    done = true;
  });
  EXPECT_TRUE(RunUntil(context_, 5s, [&] { return done; }));
}

/** Guards against a connection that accepts bytes but never answers being used for good. */
TEST_F(NngTransportTest, ConnectionThatSwallowsBytesIsDialedAnew)
{
  // Accepts connections and never reads: nng's handshake does not complete.
  asio::ip::tcp::acceptor acceptor(context_, { asio::ip::make_address("127.0.0.1"), 0 });
  a_.SetPeer(HostId("b"), { "127.0.0.1", acceptor.local_endpoint().port() });
  wire::Envelope answer;
  EXPECT_EQ(PeerError::Timeout, Ask(a_, HostId("b"), answer));
  b_.SetHandler([](const wire::Envelope&, const PeerTransport::Responder& aRespond) {
    wire::Envelope message;
    message.mutable_done();
    aRespond(message);
  });
  a_.SetPeer(HostId("b"), { "127.0.0.1", b_.ListenPort() });
  EXPECT_FALSE(Ask(a_, HostId("b"), answer));
}

} // namespace
} // namespace laburnumweir
