/** @file caller_connection.h One connection of a caller. */
#ifndef LABURNUMWEIR_CALLER_CALLER_CONNECTION_H
#define LABURNUMWEIR_CALLER_CALLER_CONNECTION_H

#include "caller/answer_writer.h"
#include "caller/caller_server.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace laburnumweir {

class CallerConnection;

/** What the connections of one server share. */
struct CallerShared
{
  CallerShared(const Clock& aClock,
               CallerSettings aSettings,
               RequestHandler& aHandler,
               CallerServer::ModelsCallback aModels)
    : clock_(aClock)
    , settings_(aSettings)
    , handler_(aHandler)
    , models_(std::move(aModels))
  {
  }

  const Clock& clock_;                        ///< For deadlines of requests.
  const CallerSettings settings_;             ///< Limits.
  RequestHandler& handler_;                   ///< Serves requests.
  const CallerServer::ModelsCallback models_; ///< Lists models.
  std::atomic<bool> isDraining_ = false;      ///< Answers carry `Connection: close`.
  std::atomic<std::size_t> inFlight_ = 0;     ///< Requests being read or answered.
  std::atomic<std::size_t> bodyBytes_ = 0;    ///< Bytes of bodies being read.
  std::mutex mutex_;                          ///< Guards the field below.
  std::unordered_map<CallerConnection*, std::weak_ptr<CallerConnection>> open_; ///< Connections.
};

/** A connection, which keeps itself alive until it is closed. */
class CallerConnection
{
public:
  virtual ~CallerConnection() = default;
  /** Closes the connection; called from any thread. */
  virtual void Stop() = 0;
};

/**
 * Serves a connection.
 * @param aShared what the connections share.
 * @param aSocket an accepted socket, with a strand as its executor.
 * @param aIsRefused whether requests are refused because there are too many connections.
 */
void
ServeConnection(const std::shared_ptr<CallerShared>& aShared,
                CallerSocket aSocket,
                bool aIsRefused);

} // namespace laburnumweir

#endif
