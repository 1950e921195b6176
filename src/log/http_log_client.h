/** @file http_log_client.h Client of the append-only log over its HTTP protocol. */
#ifndef LABURNUMWEIR_LOG_HTTP_LOG_CLIENT_H
#define LABURNUMWEIR_LOG_HTTP_LOG_CLIENT_H

#include "http/json_client.h"
#include "log/log_client_base.h"

namespace laburnumweir {

/** Sends each append once; the caller decides what to do when an answer is lost. */
class HttpLogClient : public LogClient
{
public:
  /**
   * @param aContext runs the client; must outlive it.
   * @param aEndpoint where the log listens.
   * @param aTimeout longest time for an answer, beside the wait of a read.
   */
  HttpLogClient(boost::asio::io_context& aContext,
                Endpoint aEndpoint,
                std::chrono::milliseconds aTimeout = std::chrono::milliseconds(2000));

  void Append(std::string_view aStream,
              std::vector<NewRecord> aRecords,
              AppendCallback aCallback) override;
  void Read(std::string_view aStream,
            LogOffset aFrom,
            std::size_t aMaxRecords,
            std::chrono::milliseconds aWait,
            ReadCallback aCallback) override;

private:
  JsonClient client_;                 ///< Connections.
  std::chrono::milliseconds timeout_; ///< Longest time for an answer.
};

} // namespace laburnumweir

#endif
