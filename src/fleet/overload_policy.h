/** @file overload_policy.h Decides which waiting requests are served first and which are refused.
 */
#ifndef LABURNUMWEIR_FLEET_OVERLOAD_POLICY_H
#define LABURNUMWEIR_FLEET_OVERLOAD_POLICY_H

#include "core/clock_base.h"
#include "core/id_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace laburnumweir {

struct WaitingRequest
{
  ServiceName service_;
  std::uint32_t rank_ = 0; ///< Priority; lower values are served first.
  TimePoint latestStart_;  ///< Deadline for the start; a later start is of no use to the caller.
  bool isBlocked_ = false; ///< Whether it waits for a load or the end of a pause, not for a slot.
  /** Whether it waits until latestStart_, whatever the rate of starts is. */
  bool mayBeLate_ = false;
  TimePoint arrived_{};
  TimePoint target_{}; ///< Latest time of an answer in time.
  double work_ = 0;    ///< Work at an engine, in prompt tokens; 0 if unknown.
};

/** What was measured of the requests of one rank of a service. */
struct RankRecord
{
  double arrivalRate_ = 0; ///< Requests per second that had to wait.
  Duration answerTime_{};  ///< Mean time from the start to the answer or its first event.
};

/** Waiting requests of one service and what was measured of it. */
struct OverloadState
{
  std::span<const WaitingRequest> requests_; ///< By rank, then by arrival.
  std::optional<double> startRate_;          ///< Starts per second; none if not known yet.
  TimePoint now_;
  bool hasFreeSlot_ = false; ///< Whether a usable upstream of the service has a free slot.
  std::map<std::uint32_t, RankRecord> ranks_;
};

/** Place of a request in the order of service. */
struct ServicePlace
{
  std::size_t index_ = 0; ///< In OverloadState::requests_.
  bool isLate_ = false;   ///< It cannot be answered within its target any more.
  /** Place among the groups of requests that new requests go ahead of or behind. */
  std::uint64_t group_ = 0;
  /** Starts per second that new requests leave to it and to the other late ones; none if new
   * requests do not go ahead of it. */
  std::optional<double> rate_;
};

/** Decides the order of service of waiting requests. Implementations have no state. */
class OverloadPolicy
{
public:
  virtual ~OverloadPolicy() = default;
  /** @return places of all requests, in the order of service. */
  virtual std::vector<ServicePlace> Order(const OverloadState& aState) const = 0;
  /** @return the group of a new request that can be answered within its target. */
  virtual std::uint64_t GroupOfNew(std::uint32_t aRank) const = 0;
  /** @return whether early refusals wait while an upstream has a free slot. */
  virtual bool KeepsWhileSlotsAreFree() const = 0;
};

/** Rank, then arrival. */
class ArrivalPolicy : public OverloadPolicy
{
public:
  std::vector<ServicePlace> Order(const OverloadState& aState) const override;
  std::uint64_t GroupOfNew(std::uint32_t aRank) const override { return aRank; }
  bool KeepsWhileSlotsAreFree() const override { return false; }
};

/**
 * Requests that have begun; then by rank, and in a rank those that can be answered within their
 * target before those that cannot. Among the former, arrival counts, with a bounded advantage of
 * those with more worth per unit of work; among the latter, the latest start.
 */
class WorthPolicy : public OverloadPolicy
{
public:
  std::vector<ServicePlace> Order(const OverloadState& aState) const override;
  std::uint64_t GroupOfNew(std::uint32_t aRank) const override;
  bool KeepsWhileSlotsAreFree() const override { return true; }
};

/**
 * Finds the requests to refuse now: those whose latest start has passed, and, from the end of the
 * order of service, those that cannot start in time at the measured rate.
 * @param aPlaces the waiting requests, in the order of service.
 * @return indexes into OverloadState::requests_.
 */
std::vector<std::size_t>
FindHopeless(const OverloadState& aState,
             std::span<const ServicePlace> aPlaces,
             bool aKeepsWhileSlotsAreFree);

/** @return the policy that the setting `overload_policy` names; nullptr for an unknown name. */
std::unique_ptr<const OverloadPolicy>
MakeOverloadPolicy(std::string_view aName);

} // namespace laburnumweir

#endif
