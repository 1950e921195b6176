/** @file load_budget.h Share of one host in the adapter loads in flight across the fleet. */
#ifndef LABURNUMWEIR_DISPATCH_LOAD_BUDGET_H
#define LABURNUMWEIR_DISPATCH_LOAD_BUDGET_H

#include "core/clock_base.h"
#include "core/id_type.h"
#include "table/dispatch_const.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace laburnumweir {

/** A load of an adapter on an engine. */
struct LoadKey
{
  UpstreamId engine_;  ///< Engine.
  AdapterRef adapter_; ///< Adapter.

  auto operator<=>(const LoadKey&) const = default;
};

/** Why an adapter is loaded. */
enum class LoadKind : std::uint8_t
{
  Demand,     ///< A request waits for it.
  Speculative ///< It may be asked for.
};

/**
 * Loads that the engines owned by this host may start. The weight store serves a number of loads at
 * full speed; each owner gets a share of it by its rank, so that no message is needed. With more
 * owners than loads, a share is less than one load; then a host runs one load at a time and starts
 * them at its share of the rate. Loads that requests wait for go first, and no speculative load
 * starts while one of them waits. Not thread-safe.
 */
class LoadBudget
{
public:
  /** @param aClock time source; must outlive the budget. @param aFleetLoads loads at full speed. */
  explicit LoadBudget(const Clock& aClock, std::uint32_t aFleetLoads = kMaxFullSpeedLoads);

  /** Sets the share. @param aRank rank of this host among the owners. @param aOwners their number.
   */
  void SetShare(std::uint32_t aRank, std::uint32_t aOwners);
  /** Asks for a load; asking again changes its kind only from speculative to demand. */
  void Request(const LoadKey& aKey, LoadKind aKind);
  /** Withdraws a load that was not started. */
  void Cancel(const LoadKey& aKey);
  /** @return the next load to start now, which then counts as in flight; none if there is none. */
  std::optional<LoadKey> Next();
  /** Gives a load back that could not be started yet; it keeps its place. */
  void Postpone(const LoadKey& aKey, Duration aWait);
  /** Notes that a load ended, in whatever way. */
  void Finished(const LoadKey& aKey) { inFlight_.erase(aKey); }

  /** @return loads in flight. */
  std::size_t InFlight() const { return inFlight_.size(); }
  /** @return most loads that this host may have in flight. */
  std::uint32_t Limit() const { return limit_; }
  /** @return loads that wait. */
  std::size_t Waiting() const { return waiting_.size(); }

private:
  struct Entry
  {
    LoadKey key_;                      ///< The load.
    LoadKind kind_ = LoadKind::Demand; ///< Why.
    std::uint64_t sequence_ = 0;       ///< Place among the others.
    TimePoint notBefore_;              ///< Not tried again until then.
  };

  const Clock& clock_;                ///< Time source.
  std::uint32_t fleetLoads_;          ///< Loads at full speed across the fleet.
  std::uint32_t limit_ = 1;           ///< Most loads in flight here.
  Duration gap_{};                    ///< Least time between starts, for a share below one.
  TimePoint nextStart_;               ///< Earliest next start.
  std::uint64_t nextSequence_ = 1;    ///< Place of the next load.
  std::deque<Entry> waiting_;         ///< Loads that wait, by place.
  std::map<LoadKey, Entry> inFlight_; ///< Loads in flight.
};

} // namespace laburnumweir

#endif
