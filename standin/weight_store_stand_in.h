/** @file weight_store_stand_in.h Stand-in of the weight store. */
#ifndef LABURNUMWEIR_STANDIN_WEIGHT_STORE_STAND_IN_H
#define LABURNUMWEIR_STANDIN_WEIGHT_STORE_STAND_IN_H

#include "core/system_clock.h"
#include "standin/load_share.h"
#include "standin/log_store.h"
#include "standin/stand_in.h"

#include <map>
#include <set>

namespace laburnumweir::standin {

/** Serves the catalogue of adapters, and the transfers of weights to engines. */
class WeightStoreStandIn : public StandIn
{
public:
  WeightStoreStandIn(boost::asio::io_context& aContext, std::string aName, Settings& aSettings);

protected:
  void Handle(const Request& aRequest, const std::shared_ptr<Reply>& aReply) override;
  void AddStats(boost::json::object& aStats) const override;

private:
  void Find(const std::string& aName, const std::string& aVersion, Reply& aReply);
  void StartLoad(const Request& aRequest, const std::shared_ptr<Reply>& aReply);
  void AbortLoad(const std::string& aId, Reply& aReply);
  void Update();
  bool Exists(const std::string& aRef) const;

  SystemClock clock_;                                     ///< Time.
  RateLimit lookups_;                                     ///< Rate of lookups.
  LoadShare loads_;                                       ///< Loads in flight.
  std::map<std::string, std::shared_ptr<Reply>> waiting_; ///< Answers owed, by load.
  std::map<std::string, TimePoint> started_;              ///< Start times, by load.
  std::string model_;                                     ///< Base model of all adapters.
  std::uint64_t bytes_;                                   ///< Size of all adapters.
  std::set<std::string> known_;                           ///< Adapters; empty = any exists.
  std::set<std::string> missing_;                         ///< Adapters that do not exist.
  std::uint64_t generation_ = 0;                          ///< Counts timers, to ignore old ones.
  std::uint64_t found_ = 0;                               ///< Lookups answered.
  std::uint64_t limited_ = 0;                             ///< Lookups refused by the rate limit.
  std::uint64_t loadCount_ = 0;                           ///< Loads started.
  std::uint64_t aborted_ = 0;                             ///< Loads that ended early.
  std::size_t maxInFlight_ = 0;                           ///< Most loads in flight so far.
};

} // namespace laburnumweir::standin

#endif
