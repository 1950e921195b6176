/** @file http_weight_store.h Client of the weight store over its HTTP protocol. */
#ifndef LABURNUMWEIR_WEIGHTS_HTTP_WEIGHT_STORE_H
#define LABURNUMWEIR_WEIGHTS_HTTP_WEIGHT_STORE_H

#include "http/json_client.h"
#include "weights/weight_store_base.h"

namespace laburnumweir {

/** Looks adapters up in the weight store. */
class HttpWeightStoreClient : public WeightStoreClient
{
public:
  /**
   * @param aContext runs the client; must outlive it.
   * @param aEndpoint where the store listens.
   * @param aTimeout longest time for an answer.
   */
  HttpWeightStoreClient(boost::asio::io_context& aContext,
                        Endpoint aEndpoint,
                        std::chrono::milliseconds aTimeout = std::chrono::milliseconds(2000));

  void Find(const AdapterRef& aAdapter, Callback aCallback) override;

private:
  JsonClient client_;                 ///< Connections.
  std::chrono::milliseconds timeout_; ///< Longest time for an answer.
};

} // namespace laburnumweir

#endif
