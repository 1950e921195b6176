/** @file rendezvous_placement.cpp Placement by rendezvous ranking with bounded load. */
#define XXH_INLINE_ALL
#include "dispatch/rendezvous_placement.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <xxhash.h>

namespace laburnumweir {

namespace {

struct Ranked
{
  std::uint64_t weight_ = 0; ///< Rendezvous weight.
  EngineIndex engine_ = 0;   ///< Engine.
};

/** Keeps the engines of highest weight, in descending order, without a sort of all of them. */
class TopRanks
{
public:
  /** @return weight below which nothing is kept. */
  std::uint64_t Least() const { return size_ < ranks_.size() ? 0 : ranks_.back().weight_; }
  void Add(std::uint64_t aWeight, EngineIndex aEngine)
  {
    if (size_ == ranks_.size() && aWeight <= ranks_.back().weight_) {
      return;
    }
    std::size_t place = size_ < ranks_.size() ? size_++ : size_ - 1;
    for (; place > 0 && ranks_[place - 1].weight_ < aWeight; --place) {
      ranks_[place] = ranks_[place - 1];
    }
    ranks_[place] = { aWeight, aEngine };
  }
  std::span<const Ranked> Get() const { return { ranks_.data(), size_ }; }
  /** Keeps the three engines of a digest: the first, one in another data centre, one of the rest.
   */
  template<typename DataCentreOf>
  void Restrict(std::uint64_t aDigest, DataCentreOf aDataCentreOf)
  {
    if (size_ <= kMaxSuspectEngines) {
      return;
    }
    const auto isElsewhere = [&](const Ranked& aRank) {
      return aDataCentreOf(aRank.engine_) != aDataCentreOf(ranks_[0].engine_);
    };
    const auto end = ranks_.begin() + static_cast<std::ptrdiff_t>(size_);
    const auto second = std::find_if(ranks_.begin() + 1, end, isElsewhere);
    if (second != end) {
      std::rotate(ranks_.begin() + 1, second, second + 1);
    }
    ranks_[2] = ranks_[2 + aDigest % (size_ - 2)];
    size_ = kMaxSuspectEngines;
  }

private:
  std::array<Ranked, kPlacementCandidates> ranks_; ///< Highest weights.
  std::size_t size_ = 0;                           ///< Entries used.
};

constexpr std::size_t kNoGroup = SIZE_MAX;
constexpr std::size_t kHintWays = 2;

} // namespace

RendezvousPlacement::RendezvousPlacement()
  : hints_(kPlacementResidencyHints)
{
}

std::uint64_t
RendezvousPlacement::HashOf(const AdapterRef& aAdapter)
{
  const std::uint64_t name = XXH3_64bits(aAdapter.name_.data(), aAdapter.name_.size());
  return XXH3_64bits_withSeed(aAdapter.version_.data(), aAdapter.version_.size(), name);
}

void
RendezvousPlacement::UpdateAvailability()
{
  bool hasReturned = false;
  for (const State& state : engines_) {
    auto [position, isNew] = availability_.try_emplace(state.seed_);
    auto& known = position->second;
    const bool isUsable = state.CanTakeWork();
    if (isUsable && !known.isUsable_ && !isNew) {
      known.returnedIn_ = returns_ + 1;
      hasReturned = true;
    }
    known.isUsable_ = isUsable;
  }
  returns_ += hasReturned ? 1 : 0;
  if (availability_.size() > 2 * engines_.size()) {
    std::erase_if(availability_, [this](const auto& aEntry) {
      return std::none_of(engines_.begin(), engines_.end(), [&](const State& aState) {
        return aState.seed_ == aEntry.first;
      });
    });
  }
}

void
RendezvousPlacement::OnChange()
{
  UpdateAvailability();
  groups_.clear();
  groupOf_.assign(engines_.size(), kNoGroup);
  for (EngineIndex i = 0; i < engines_.size(); ++i) {
    const State& state = engines_[i];
    if (!state.engine_.takesNewWork_) {
      continue;
    }
    auto group = std::find_if(groups_.begin(), groups_.end(), [&](const Group& aGroup) {
      return aGroup.model_ == state.engine_.model_;
    });
    if (group == groups_.end()) {
      group = groups_.insert(groups_.end(), Group{ state.engine_.model_, {}, {}, 0, 0 });
    }
    groupOf_[i] = static_cast<std::size_t>(group - groups_.begin());
    group->engines_.push_back(i);
    group->seeds_.push_back(state.seed_);
    group->load_ += state.isHealthy_ ? state.Load() : 0.0;
    group->healthy_ += state.isHealthy_ ? 1 : 0;
  }
}

void
RendezvousPlacement::SetLoad(EngineIndex aEngine, std::uint32_t aRunning)
{
  const double before = engines_[aEngine].Load();
  Placement::SetLoad(aEngine, aRunning);
  if (groupOf_[aEngine] != kNoGroup && engines_[aEngine].isHealthy_) {
    double& load = groups_[groupOf_[aEngine]].load_;
    load = std::max(0.0, load + engines_[aEngine].Load() - before);
  }
}

void
RendezvousPlacement::NoteResident(const AdapterRef& aAdapter, EngineIndex aEngine, bool aIsResident)
{
  const std::uint64_t adapter = HashOf(aAdapter);
  const std::uint64_t engine = engines_[aEngine].seed_;
  Hint* const set = &hints_[adapter % (hints_.size() / kHintWays) * kHintWays];
  const auto isSame = [&](const Hint& aHint) {
    return aHint.adapter_ == adapter && aHint.engine_ == engine;
  };
  Hint* const found = std::find_if(set, set + kHintWays, isSame);
  if (!aIsResident) {
    if (found != set + kHintWays) {
      *found = Hint{};
    }
    return;
  }
  // The newest hint of a set stands first; the oldest one is dropped.
  std::rotate(set, found == set + kHintWays ? set + kHintWays - 1 : found, set + kHintWays);
  set[0] = { adapter, engine, returns_ };
}

std::size_t
RendezvousPlacement::Rank(const PlacementQuery& aQuery, std::span<EngineIndex> aResult)
{
  const auto group = std::find_if(groups_.begin(), groups_.end(), [&](const Group& aGroup) {
    return aGroup.model_ == aQuery.model_;
  });
  if (group == groups_.end()) {
    return 0;
  }
  const std::uint64_t adapter = HashOf(aQuery.adapter_);
  TopRanks top;
  const bool isFixed = aQuery.digest_ != 0;
  const std::span<const std::uint64_t> seeds(group->seeds_);
  std::uint64_t least = 0;
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    // Both are hashes already, so mixing them is enough.
    const std::uint64_t weight = XXH64_avalanche(adapter ^ seeds[i]);
    if (weight < least) {
      continue;
    }
    const EngineIndex engine = group->engines_[i];
    if (isFixed || engines_[engine].isHealthy_) {
      top.Add(weight, engine);
      least = top.Least();
    }
  }
  if (aQuery.digest_ != 0) {
    top.Restrict(aQuery.digest_, [&](EngineIndex aEngine) -> const DataCentreId& {
      return engines_[aEngine].engine_.dataCentre_;
    });
  }
  const auto healthy = static_cast<double>(std::max<std::size_t>(group->healthy_, 1));
  const double mean = group->load_ / healthy;
  const Hint* const set = &hints_[adapter % (hints_.size() / kHintWays) * kHintWays];
  const auto first = top.Get().empty()
                       ? availability_.end()
                       : availability_.find(engines_[top.Get().front().engine_].seed_);
  const std::uint64_t firstReturnedIn =
    first == availability_.end() ? 0 : first->second.returnedIn_;
  const auto tier = [&](EngineIndex aEngine) {
    const State& state = engines_[aEngine];
    // One request more than the bound lets an idle fleet place its first requests by rank.
    const double bound = kPlacementLoadBound * (mean + 1.0 / state.engine_.capacity_);
    const bool hasRoom = state.running_ < state.engine_.capacity_;
    const bool isResident = std::any_of(set, set + kHintWays, [&](const Hint& aHint) {
      return aHint.adapter_ == adapter && aHint.engine_ == state.seed_ &&
             aHint.round_ >= firstReturnedIn;
    });
    if (!state.isHealthy_) {
      return 3;
    }
    if (isResident && hasRoom) {
      return 0;
    }
    return state.Load() < bound ? 1 : 2;
  };
  std::size_t written = 0;
  for (int wanted = 0; wanted < 3; ++wanted) {
    for (const Ranked& rank : top.Get()) {
      if (written < aResult.size() && tier(rank.engine_) == wanted) {
        aResult[written++] = rank.engine_;
      }
    }
  }
  return written;
}

} // namespace laburnumweir
