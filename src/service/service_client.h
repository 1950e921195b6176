/** @file service_client.h Sends requests to plain services. */
#ifndef LABURNUMWEIR_SERVICE_SERVICE_CLIENT_H
#define LABURNUMWEIR_SERVICE_SERVICE_CLIENT_H

#include "http/upstream_exchange.h"

namespace laburnumweir {

/**
 * Sends requests to plain services and streams the answers through. An answer is refused if it
 * echoes another X-Request-Id or its end cannot be told from a lost connection. Every status is
 * passed on, except a refusal with the field `X-Run: not_run`.
 */
class ServiceClient : public UpstreamClient
{
public:
  /** @param aContext runs the client. @param aClock for deadlines. Both must outlive this. */
  ServiceClient(boost::asio::io_context& aContext,
                const Clock& aClock,
                ExchangeSettings aSettings = {});

  std::shared_ptr<Attempt> Send(const Endpoint& aEndpoint,
                                UpstreamRequest aRequest,
                                std::shared_ptr<UpstreamSink> aSink) override;

private:
  UpstreamExchange exchange_; ///< Connections.
};

} // namespace laburnumweir

#endif
