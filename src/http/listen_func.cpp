/** @file listen_func.cpp Opens the listening socket of a server. */
#include "http/listen_func.h"

namespace laburnumweir {

boost::system::error_code
OpenListener(boost::asio::ip::tcp::acceptor& aAcceptor,
             const Endpoint& aEndpoint,
             std::optional<int> aReceiveBufferBytes)
{
  namespace asio = boost::asio;
  using asio::ip::tcp;
  boost::system::error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(aEndpoint.address_, error), aEndpoint.port_);
  if (!error) {
    aAcceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    aAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error && aReceiveBufferBytes) {
    // Accepted connections inherit it.
    aAcceptor.set_option(asio::socket_base::receive_buffer_size(*aReceiveBufferBytes), error);
  }
  if (!error) {
    aAcceptor.bind(endpoint, error);
  }
  if (!error) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  return error;
}

} // namespace laburnumweir
