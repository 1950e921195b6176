/** @file count_table.h Demand and running requests of the other hosts, as peers and readers tell
 * them.
 */
#ifndef LABURNUMWEIR_FLEET_COUNT_TABLE_H
#define LABURNUMWEIR_FLEET_COUNT_TABLE_H

#include "core/clock_base.h"
#include "fleet/quota_share.h"
#include "fleet/upstream_table.h"

#include <map>
#include <optional>
#include <vector>

namespace laburnumweir {

/** Counts of one host, or their sum over several. */
struct HostCounts
{
  std::vector<WorkspaceDemand> demand_; ///< Demand by workspace.
  std::vector<PeerLoad> load_;          ///< Running requests by upstream.
};

/**
 * Counts of all other hosts. A reader gets those of the hosts that ask it, and of the other readers
 * the sums over the hosts that ask them; a host that asks a reader gets one sum over all others.
 * Each host asks one reader, so no host is counted twice for longer than a count lives. Not
 * thread-safe.
 */
class CountTable
{
public:
  /** @param aClock time source; must outlive this. */
  explicit CountTable(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /**
   * Notes what a peer tells; replaces what it told before.
   * @param aPeer the peer.
   * @param aCounts its counts, or the sum over it and the hosts that ask it.
   * @param aAsks whether it asks this host, which then tells the other readers of it.
   */
  void OnPeer(const HostId& aPeer, HostCounts aCounts, bool aAsks);
  /** @return whether a peer asks this host; none if it has told nothing lately. */
  std::optional<bool> IsAsking(const HostId& aPeer) const;
  /** Notes the sum over all other hosts that a reader tells. */
  void OnOthers(HostCounts aCounts);
  /** Forgets counts that are too old. */
  void Expire();

  /** @param aOwn counts of this host. @return sum over this host and those that ask it. */
  HostCounts SumOfAsking(const HostCounts& aOwn) const;
  /** @param aPeer a peer. @param aOwn counts of this host. @return sum over all hosts but it. */
  HostCounts SumWithout(const HostId& aPeer, const HostCounts& aOwn) const;
  /**
   * @return counts of all other hosts. Where a reader and peers tell of them, as while a host
   *         becomes a reader, the higher count is taken.
   */
  HostCounts Others() const;

private:
  struct Entry
  {
    TimePoint heard_;   ///< When it was told.
    HostCounts counts_; ///< What was told.
    bool asks_ = false; ///< Whether the peer asks this host.
  };
  class Sum;

  const Clock& clock_;            ///< Time source.
  std::map<HostId, Entry> peers_; ///< Told by peers.
  std::optional<Entry> others_;   ///< Told by a reader.
};

} // namespace laburnumweir

#endif
