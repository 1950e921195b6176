/** @file count_table.h Load reports of the other hosts, received from peers and store readers. */
#ifndef LABURNUMWEIR_FLEET_COUNT_TABLE_H
#define LABURNUMWEIR_FLEET_COUNT_TABLE_H

#include "core/clock_base.h"
#include "fleet/fleet_store_base.h"
#include "fleet/quota_share.h"
#include "fleet/upstream_table.h"

#include <map>
#include <optional>
#include <vector>

namespace laburnumweir {

/** Load report of one host, or the sum of several. */
struct HostLoad
{
  std::vector<WorkspaceDemand> demand_;
  std::vector<UpstreamLoad> load_; ///< Running requests by upstream.
  ConfigInForce config_ = {};      ///< Newest configuration that is in force at one of the hosts.
  /** The last restore of the store that one of the hosts has seen lately, as the first of them saw
   * it. */
  std::optional<StoreRestore> restore_ = std::nullopt;
};

/**
 * Load reports of all other hosts. A store reader receives the reports of the hosts that query it,
 * and from each other store reader the sum over itself and the hosts that query it. A host that
 * queries a store reader receives one sum over all other hosts. Each host queries one store reader,
 * so no host is counted twice for longer than the time to live of a report. Not thread-safe.
 */
class HostLoadTable
{
public:
  /** @param aClock must outlive this object. */
  explicit HostLoadTable(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /**
   * Records the load report of a peer; replaces its previous report.
   * @param aCounts its own report, or the sum over it and the hosts that query it.
   * @param aIsQuerying whether the peer queries this host, which then includes its report in the
   *        sums that it sends to the other store readers.
   */
  void OnPeerLoad(const HostId& aPeer, HostLoad aCounts, bool aIsQuerying);
  /** @return whether a peer queries this host; none if its last report is older than
   * kPeerLoadTtl. */
  std::optional<bool> IsClient(const HostId& aPeer) const;
  /** Records the sum over all other hosts that a store reader sent. */
  void OnRelayedTotal(HostLoad aCounts);
  /** Removes expired load reports. */
  void Expire();

  /** @param aOwn load report of this host. @return sum over this host and those that query it. */
  HostLoad SumOfClients(const HostLoad& aOwn) const;
  /** @param aOwn load report of this host. @return sum over all hosts except aPeer. */
  HostLoad SumWithout(const HostId& aPeer, const HostLoad& aOwn) const;
  /**
   * @return sum of the load reports of all other hosts. If both a store reader and peers have
   *         reported, as happens while this host becomes a store reader, each value is the higher
   *         one of the two sums.
   */
  HostLoad TotalOfOthers() const;

private:
  struct Entry
  {
    TimePoint receivedAt_; ///< When the report was received.
    HostLoad counts_;
    bool isQuerying_ = false; ///< Whether the peer queries this host.
  };
  class Sum;

  const Clock& clock_;
  std::map<HostId, Entry> peers_; ///< Reports received from peers.
  std::optional<Entry> others_;   ///< Sum over all other hosts, received from a store reader.
};

} // namespace laburnumweir

#endif
