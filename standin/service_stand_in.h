/** @file service_stand_in.h Stand-in of a plain service. */
#ifndef LABURNUMWEIR_STANDIN_SERVICE_STAND_IN_H
#define LABURNUMWEIR_STANDIN_SERVICE_STAND_IN_H

#include "standin/stand_in.h"

namespace laburnumweir::standin {

/** Answers any path and method, and counts runs. */
class ServiceStandIn : public StandIn
{
public:
  ServiceStandIn(boost::asio::io_context& aContext, std::string aName, Settings& aSettings);

protected:
  void Handle(const Request& aRequest, const std::shared_ptr<Reply>& aReply) override;
  void Prepare(const Request& aRequest, Reply& aReply) override;
  void Refuse(Reply& aReply, int aStatus) override;
  void AddStats(boost::json::object& aStats) const override;

private:
  std::chrono::nanoseconds latency_; ///< Time that a run takes.
  std::uint64_t runs_ = 0;           ///< Runs.
};

} // namespace laburnumweir::standin

#endif
