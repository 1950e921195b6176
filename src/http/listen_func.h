/** @file listen_func.h Opens the listening socket of a server. */
#ifndef LABURNUMWEIR_HTTP_LISTEN_FUNC_H
#define LABURNUMWEIR_HTTP_LISTEN_FUNC_H

#include "core/upstream_client_base.h"

#include <boost/asio/ip/tcp.hpp>
#include <optional>

namespace laburnumweir {

/**
 * Opens an acceptor, binds it to an address and starts to listen.
 * @param aAcceptor a closed acceptor.
 * @param aEndpoint address; port 0 takes any free one.
 * @param aReceiveBufferBytes receive buffer of accepted connections; none for that of the system.
 * @return error of the first socket operation that failed; no error on success.
 */
boost::system::error_code
OpenListener(boost::asio::ip::tcp::acceptor& aAcceptor,
             const Endpoint& aEndpoint,
             std::optional<int> aReceiveBufferBytes = std::nullopt);

} // namespace laburnumweir

#endif
