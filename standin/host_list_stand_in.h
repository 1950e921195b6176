/** @file host_list_stand_in.h Stand-in of the host list. */
#ifndef LABURNUMWEIR_STANDIN_HOST_LIST_STAND_IN_H
#define LABURNUMWEIR_STANDIN_HOST_LIST_STAND_IN_H

#include "core/system_clock.h"
#include "standin/host_table.h"
#include "standin/stand_in.h"

namespace laburnumweir::standin {

/** Serves the list of hosts over HTTP. */
class HostListStandIn : public StandIn
{
public:
  HostListStandIn(boost::asio::io_context& aContext, std::string aName, Settings& aSettings);

protected:
  void Handle(const Request& aRequest, const std::shared_ptr<Reply>& aReply) override;
  void AddStats(boost::json::object& aStats) const override;

private:
  void List(Reply& aReply);
  void Put(const std::string& aId, const Request& aRequest, Reply& aReply);
  static void SendFound(bool aFound, Reply& aReply);

  SystemClock clock_;       ///< Time.
  HostTable table_;         ///< The hosts.
  std::uint64_t lists_ = 0; ///< Lists answered.
  std::uint64_t puts_ = 0;  ///< Entries registered or refreshed.
};

} // namespace laburnumweir::standin

#endif
