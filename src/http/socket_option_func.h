/** @file socket_option_func.h Options of TCP connections that detect an unreachable peer. */
#ifndef LABURNUMWEIR_HTTP_SOCKET_OPTION_FUNC_H
#define LABURNUMWEIR_HTTP_SOCKET_OPTION_FUNC_H

#include <boost/asio/ip/tcp.hpp>

namespace laburnumweir {

/**
 * Sets options that end a connection within about two seconds after its peer became unreachable,
 * also while nothing is sent. Disables Nagle's algorithm.
 * @param aSocket a connected socket.
 */
void
SetLivenessOptions(boost::asio::ip::tcp::socket& aSocket);

} // namespace laburnumweir

#endif
