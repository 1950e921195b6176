/** @file http_host_list.h Client of the host list over its HTTP protocol. */
#ifndef LABURNUMWEIR_HOSTLIST_HTTP_HOST_LIST_H
#define LABURNUMWEIR_HOSTLIST_HTTP_HOST_LIST_H

#include "hostlist/host_list_base.h"
#include "http/json_client.h"

#include <chrono>

namespace laburnumweir {

/** Reads the host list and registers this host in it. */
class HttpHostListClient : public HostListClient
{
public:
  /**
   * @param aContext runs the client; must outlive it.
   * @param aEndpoint where the list listens.
   * @param aTimeout longest time for an answer.
   */
  HttpHostListClient(boost::asio::io_context& aContext,
                     Endpoint aEndpoint,
                     std::chrono::milliseconds aTimeout = std::chrono::milliseconds(2000));

  void Fetch(Callback aCallback) override;
  void Announce(const ListedHost& aHost, std::function<void(std::error_code)> aCallback) override;

private:
  JsonClient client_;                 ///< Connections.
  std::chrono::milliseconds timeout_; ///< Longest time for an answer.
};

} // namespace laburnumweir

#endif
