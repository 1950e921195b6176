/** @file log_stand_in.h Stand-in of the append-only log. */
#ifndef LABURNUMWEIR_STANDIN_LOG_STAND_IN_H
#define LABURNUMWEIR_STANDIN_LOG_STAND_IN_H

#include "core/system_clock.h"
#include "standin/log_store.h"
#include "standin/stand_in.h"

#include <list>
#include <map>

namespace laburnumweir::standin {

/** Serves streams of records over HTTP. Its streams survive a restart. */
class LogStandIn : public StandIn
{
public:
  LogStandIn(boost::asio::io_context& aContext, std::string aName, Settings& aSettings);

protected:
  void Handle(const Request& aRequest, const std::shared_ptr<Reply>& aReply) override;
  void AddStats(boost::json::object& aStats) const override;

private:
  struct Waiter
  {
    std::uint64_t id_ = 0;         ///< Identifies the wait.
    LogOffset from_ = 0;           ///< First offset wanted.
    std::size_t max_ = 0;          ///< Most records.
    std::shared_ptr<Reply> reply_; ///< Receives the records.
  };
  void Append(const std::string& aStream, const Request& aRequest, Reply& aReply);
  void Read(const std::string& aStream,
            const Request& aRequest,
            const std::shared_ptr<Reply>& aReply);
  void SendRecords(const std::string& aStream, LogOffset aFrom, std::size_t aMax, Reply& aReply);
  void Wake(const std::string& aStream);

  SystemClock clock_;                                ///< Time.
  LogStore store_;                                   ///< The streams.
  std::map<std::string, std::list<Waiter>> waiters_; ///< Reads that wait, by stream.
  std::uint64_t nextWaiter_ = 0;                     ///< Identifies the next wait.
  std::uint64_t appends_ = 0;                        ///< Appends done.
  std::uint64_t records_ = 0;                        ///< Records appended.
  std::uint64_t reads_ = 0;                          ///< Reads answered.
  std::uint64_t limited_ = 0;                        ///< Appends refused by the rate limit.
};

} // namespace laburnumweir::standin

#endif
