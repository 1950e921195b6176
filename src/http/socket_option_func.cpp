/** @file socket_option_func.cpp Options of TCP connections that detect an unreachable peer. */
#include "http/socket_option_func.h"

#include <netinet/tcp.h>

namespace laburnumweir {

namespace {

// Unacknowledged bytes end a connection after this time. With this option, Linux also gives up
// keep-alive probes by it, whatever their count.
constexpr unsigned kTcpUserTimeoutMs = 1500;
// The first keep-alive probe is sent after 1 s without traffic and one more each second.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveProbes = 2;

} // namespace

void
SetLivenessOptions(boost::asio::ip::tcp::socket& aSocket)
{
  namespace asio = boost::asio;
  boost::system::error_code ignored;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int handle = aSocket.native_handle();
  ::setsockopt(
    handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs, sizeof(kTcpUserTimeoutMs));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds, sizeof(int));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIdleSeconds, sizeof(int));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof(int));
}

} // namespace laburnumweir
