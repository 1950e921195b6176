/** @file overload_policy.cpp Decides which waiting requests are served first and which are refused.
 */
#include "fleet/overload_policy.h"

#include "table/overload_const.h"

#include <algorithm>
#include <tuple>

namespace laburnumweir {

namespace {

// Groups of the order by worth: requests that have begun, then two groups for each rank.
constexpr std::uint64_t kGroupsPerRank = 2;

std::uint64_t
GroupOf(std::uint32_t aRank, bool aIsLate)
{
  return 1 + kGroupsPerRank * aRank + (aIsLate ? 1 : 0);
}

Duration
ToDuration(double aSeconds)
{
  // Longer than any wait; a larger number would exceed the range of a duration.
  constexpr double kMaxSeconds = 1e6;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(aSeconds, kMaxSeconds)));
}

/**
 * Estimates the wait of a request at the known rate of starts.
 * @param aAhead requests before it that new requests do not go ahead of.
 * @param aLateAhead the other requests before it.
 * @param aLateRate starts per second that new requests leave to a late request; none for others.
 */
Duration
WaitOf(const OverloadState& aState,
       double aAhead,
       double aLateAhead,
       std::optional<double> aLateRate)
{
  const double rate = *aState.startRate_;
  return ToDuration(aAhead / rate + aLateAhead / aLateRate.value_or(rate));
}

/** A request with the values by which the order by worth sorts it. */
struct Candidate
{
  std::size_t index_ = 0;
  const WaitingRequest* request_ = nullptr;
  TimePoint turn_; ///< Arrival, corrected by its worth per unit of work.
  std::uint64_t group_ = 0;
  bool isLate_ = false;
  std::optional<double> rate_;
};

/** @return arrival minus the advantage that the worth per unit of work gives. */
TimePoint
TurnOf(const WaitingRequest& aRequest, double aMeanWork)
{
  if (aRequest.work_ <= 0 || aMeanWork <= 0) {
    return aRequest.arrived_;
  }
  // The worth per unit of work is (kFixedWorth + (1 - kFixedWorth) x) / x, from 1 - kFixedWorth for
  // the largest requests to infinity; its variable part is mapped to 0 to 1.
  const double size = aRequest.work_ / aMeanWork;
  const double advantage = kFixedWorth / (kFixedWorth + size);
  const auto target = std::max(aRequest.target_ - aRequest.arrived_, TimePoint::duration::zero());
  return aRequest.arrived_ -
         std::chrono::duration_cast<Duration>(kOvertakeFraction * advantage * target);
}

/** Orders the requests of a service by worth. */
class WorthOrder
{
public:
  explicit WorthOrder(const OverloadState& aState)
    : state_(aState)
  {
    std::map<std::uint32_t, std::pair<double, double>> work; // sum and number by rank
    for (const auto& request : state_.requests_) {
      if (request.work_ > 0) {
        work[request.rank_].first += request.work_;
        work[request.rank_].second += 1;
      }
    }
    candidates_.reserve(state_.requests_.size());
    for (std::size_t i = 0; i < state_.requests_.size(); ++i) {
      const auto& request = state_.requests_[i];
      const auto& [sum, number] = work[request.rank_];
      Candidate candidate;
      candidate.index_ = i;
      candidate.request_ = &request;
      candidate.turn_ = TurnOf(request, number > 0 ? sum / number : 0);
      candidates_.push_back(candidate);
    }
  }

  std::vector<ServicePlace> Run()
  {
    std::sort(candidates_.begin(), candidates_.end(), [](const auto& aLeft, const auto& aRight) {
      const auto key = [](const Candidate& aEntry) {
        const auto& request = *aEntry.request_;
        return std::tuple(!request.mayBeLate_, request.rank_, aEntry.turn_, aEntry.index_);
      };
      return key(aLeft) < key(aRight);
    });
    FindLate();
    std::sort(candidates_.begin(), candidates_.end(), [](const auto& aLeft, const auto& aRight) {
      const auto key = [](const Candidate& aEntry) {
        const auto& request = *aEntry.request_;
        // A late answer earns the same at any time, so the first that would be lost comes first.
        const auto time = aEntry.isLate_ ? request.latestStart_ : aEntry.turn_;
        return std::tuple(aEntry.group_, request.rank_, time, aEntry.index_);
      };
      return key(aLeft) < key(aRight);
    });
    std::vector<ServicePlace> places;
    places.reserve(candidates_.size());
    for (const auto& candidate : candidates_) {
      places.push_back({ candidate.index_, candidate.isLate_, candidate.group_, candidate.rate_ });
    }
    return places;
  }

private:
  /** Finds the requests that cannot be answered within their target, each behind those that can. */
  void FindLate()
  {
    std::optional<std::uint32_t> rank;
    for (auto& candidate : candidates_) {
      const auto& request = *candidate.request_;
      const double slots = request.isBlocked_ ? 0 : 1;
      if (request.mayBeLate_) {
        ahead_ += slots;
        continue;
      }
      if (rank != request.rank_) {
        rank = request.rank_;
        BeginRank(request.rank_);
      }
      candidate.isLate_ = !IsInTime(request);
      candidate.group_ = GroupOf(request.rank_, candidate.isLate_);
      (candidate.isLate_ ? late_ : ahead_) += slots;
      if (candidate.isLate_ && state_.startRate_) {
        // New requests of its rank and of more urgent ones, which are in time, go before it.
        candidate.rate_ = std::max(*state_.startRate_ - arrivals_, kMinLateRate);
      }
    }
  }

  void BeginRank(std::uint32_t aRank)
  {
    ahead_ += late_;
    late_ = 0;
    answerTime_ = Duration::zero();
    arrivals_ = 0;
    for (const auto& [rank, record] : state_.ranks_) {
      if (rank <= aRank) {
        arrivals_ += record.arrivalRate_;
        answerTime_ = rank == aRank ? record.answerTime_ : answerTime_;
      }
    }
  }

  bool IsInTime(const WaitingRequest& aRequest) const
  {
    auto answered = state_.now_ + answerTime_;
    if (!aRequest.isBlocked_ && state_.startRate_ && !state_.hasFreeSlot_) {
      answered += ToDuration(ahead_ / *state_.startRate_) +
                  std::chrono::duration_cast<Duration>(kTargetMargin *
                                                       (aRequest.target_ - aRequest.arrived_));
    }
    return answered <= aRequest.target_;
  }

  const OverloadState& state_;
  std::vector<Candidate> candidates_;
  double ahead_ = 0;      ///< Requests before the next one that wait for a slot.
  double late_ = 0;       ///< As ahead_, late requests of the current rank.
  double arrivals_ = 0;   ///< Arrivals per second of the current and more urgent ranks.
  Duration answerTime_{}; ///< Of the current rank.
};

} // namespace

std::vector<ServicePlace>
ArrivalPolicy::Order(const OverloadState& aState) const
{
  std::vector<ServicePlace> places;
  places.reserve(aState.requests_.size());
  for (std::size_t i = 0; i < aState.requests_.size(); ++i) {
    ServicePlace place;
    place.index_ = i;
    place.group_ = aState.requests_[i].rank_;
    places.push_back(place);
  }
  return places;
}

std::vector<ServicePlace>
WorthPolicy::Order(const OverloadState& aState) const
{
  return WorthOrder(aState).Run();
}

std::uint64_t
WorthPolicy::GroupOfNew(std::uint32_t aRank) const
{
  return GroupOf(aRank, /*aIsLate*/ false);
}

std::vector<std::size_t>
FindHopeless(const OverloadState& aState,
             std::span<const ServicePlace> aPlaces,
             bool aKeepsWhileSlotsAreFree)
{
  std::vector<std::size_t> result;
  double ahead = 0;
  double lateAhead = 0;
  const bool mayRefuse = aState.startRate_ && !(aKeepsWhileSlotsAreFree && aState.hasFreeSlot_);
  for (const auto& place : aPlaces) {
    const auto& request = aState.requests_[place.index_];
    const bool isLate = request.latestStart_ <= aState.now_;
    // A blocked request starts when the load is complete or the pause ends, regardless of the
    // requests before it.
    const bool isBehind =
      !request.isBlocked_ && !request.mayBeLate_ && mayRefuse &&
      aState.now_ + WaitOf(aState, ahead, lateAhead, place.rate_) >= request.latestStart_;
    if (isLate || isBehind) {
      result.push_back(place.index_);
    } else if (!request.isBlocked_) {
      ++(place.rate_ ? lateAhead : ahead);
    }
  }
  return result;
}

std::unique_ptr<const OverloadPolicy>
MakeOverloadPolicy(std::string_view aName)
{
  if (aName == "arrival") {
    return std::make_unique<ArrivalPolicy>();
  }
  if (aName == "worth") {
    return std::make_unique<WorthPolicy>();
  }
  return nullptr;
}

} // namespace laburnumweir
