/** @file engine_client.h Sends requests to model engines. */
#ifndef LABURNUMWEIR_ENGINE_ENGINE_CLIENT_H
#define LABURNUMWEIR_ENGINE_ENGINE_CLIENT_H

#include "http/upstream_exchange.h"

#include <memory>

namespace laburnumweir {

/**
 * Sends requests to model engines and checks each answer before it is passed on.
 *
 * An answer with an error status but without `X-Run: not_run` is Failed (run unknown) for 5xx and
 * 429; any other 4xx is the engine's verdict on the request and is passed on as an answer. An
 * attempt that is cancelled, passes its deadline or goes silent after its bytes were written is
 * followed by `POST /admin/requests/{id}/cancel`, so that the engine does not run it for nobody.
 */
class EngineRequestClient : public UpstreamClient
{
public:
  /** @param aContext runs the client. @param aClock for deadlines. Both must outlive this. */
  EngineRequestClient(boost::asio::io_context& aContext,
                      const Clock& aClock,
                      ExchangeSettings aSettings = {});
  ~EngineRequestClient() override;

  std::shared_ptr<Attempt> Send(const Endpoint& aEndpoint,
                                UpstreamRequest aRequest,
                                std::shared_ptr<UpstreamSink> aSink) override;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_; ///< Connections.
};

} // namespace laburnumweir

#endif
