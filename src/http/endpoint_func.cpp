/** @file endpoint_func.cpp Text form of endpoints. */
#include "http/endpoint_func.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string>

namespace laburnumweir {

bool
ParseEndpoint(std::string_view aText, Endpoint& aResult)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  std::string address(aText.substr(0, colon));
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(address, error);
  const auto portText = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(portText.data(), portText.data() + portText.size(), port);
  if (error || parsed.ec != std::errc() || parsed.ptr != portText.data() + portText.size()) {
    return false;
  }
  aResult = { address, port };
  return true;
}

} // namespace laburnumweir
