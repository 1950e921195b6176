/** @file host_table.h Entries of the stand-in host list, with lag and expiry. */
#ifndef LABURNUMWEIR_STANDIN_HOST_TABLE_H
#define LABURNUMWEIR_STANDIN_HOST_TABLE_H

#include "core/clock_base.h"
#include "hostlist/host_list_base.h"

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace laburnumweir::standin {

/** Hosts as they were some time ago. */
class HostTable
{
public:
  /** @param aLag age of what is listed. @param aExpiry time after which an entry ends. */
  HostTable(std::chrono::nanoseconds aLag, std::chrono::nanoseconds aExpiry);

  /** Registers or refreshes a host. */
  void Put(const ListedHost& aHost, TimePoint aNow);
  /** Marks a host as leaving, whatever it says of itself. @return false if it is not known. */
  bool MarkLeaving(const std::string& aId, bool aLeaving, TimePoint aNow);
  /** Removes a host. @return false if it is not known. */
  bool Remove(const std::string& aId, TimePoint aNow);
  /** @return the hosts as of the lag before now. */
  std::vector<ListedHost> List(TimePoint aNow);

private:
  struct Update
  {
    TimePoint time_;               ///< When it was made.
    TimePoint refreshed_;          ///< When the host last refreshed its entry.
    ListedHost host_;              ///< The entry.
    bool isRemoved_ = false;       ///< Whether the entry was removed.
    bool isMarkedLeaving_ = false; ///< Whether the platform marked it as leaving.
  };
  Update* Latest(const std::string& aId);

  std::chrono::nanoseconds lag_;                      ///< Age of what is listed.
  std::chrono::nanoseconds expiry_;                   ///< Time after which an entry ends.
  std::map<std::string, std::deque<Update>> updates_; ///< By host, oldest first.
};

} // namespace laburnumweir::standin

#endif
