/** @file engine_admin_client.h Client for orders to model engines over their HTTP protocol. */
#ifndef LABURNUMWEIR_ENGINE_ENGINE_ADMIN_CLIENT_H
#define LABURNUMWEIR_ENGINE_ENGINE_ADMIN_CLIENT_H

#include "engine/engine_admin_base.h"
#include "http/json_client.h"

#include <chrono>
#include <map>
#include <memory>

namespace laburnumweir {

/** Sends each order once; the caller decides what to do when an answer is lost. */
class EngineAdminClient : public EngineAdmin
{
public:
  /** Longest times for answers. */
  struct Timeouts
  {
    std::chrono::milliseconds load_{ 15000 };  ///< Answer to a load order, which waits for it.
    std::chrono::milliseconds report_{ 2000 }; ///< Answer to a report.
  };

  /** @param aContext runs the client; must outlive it. */
  explicit EngineAdminClient(boost::asio::io_context& aContext);
  /** @param aContext runs the client; must outlive it. @param aTimeouts longest times. */
  EngineAdminClient(boost::asio::io_context& aContext, Timeouts aTimeouts);
  ~EngineAdminClient() override;

  void Load(const Endpoint& aEngine,
            const AdapterRef& aAdapter,
            const AdapterRef& aEvict,
            std::uint64_t aFencing,
            OrderCallback aCallback) override;
  void Report(const Endpoint& aEngine, ReportCallback aCallback) override;
  /** Closes the connections to an engine that is no longer in the rules. */
  void Forget(const Endpoint& aEngine);

private:
  JsonClient& ClientOf(const Endpoint& aEngine);

  boost::asio::io_context& context_;                        ///< Runs the client.
  Timeouts timeouts_;                                       ///< Longest times for answers.
  std::map<Endpoint, std::unique_ptr<JsonClient>> clients_; ///< Connections by engine.
};

} // namespace laburnumweir

#endif
