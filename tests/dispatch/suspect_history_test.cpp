/** @file suspect_history_test.cpp Random histories of a request that crashes engines. */
#include "dispatch/placement_base.h"
#include "dispatch/suspect_table.h"

#include "dispatch/fake_clock.h"
#include "dispatch/history.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace laburnumweir {
namespace {

using std::chrono::seconds;

constexpr std::size_t kEngines = 8;
constexpr std::size_t kHosts = 4;
constexpr std::uint64_t kCause =
  1; ///< Number of the request that crashes every engine that runs it.

/**
 * Four hosts, each the owner of two engines, let callers send one request that crashes engines, and
 * others, again and again and at the same moment. @p kSlowNews: marks reach the peers late.
 * @p kTogether: a request is sent again while it still runs.
 */
template<bool kSlowNews, bool kTogether>
class CrashWorld
{
public:
  static constexpr std::uint32_t kActions = 10;
  static std::string NameOf(std::uint32_t aAction) { return "action-" + std::to_string(aAction); }

  CrashWorld()
  {
    std::vector<PlacementEngine> engines;
    for (std::size_t i = 0; i < kEngines; ++i) {
      engines.push_back({ UpstreamId("e" + std::to_string(i)),
                          "base",
                          true,
                          8,
                          DataCentreId("dc-" + std::to_string(i % 3)) });
    }
    for (std::size_t i = 0; i < kHosts; ++i) {
      tables_.push_back(std::make_unique<SuspectTable>(clock_));
      placements_.push_back(MakePlacement(PlacementKind::BoundedRendezvous, random_));
      placements_.back()->SetEngines(engines);
    }
  }

  void Run(std::uint32_t aAction, std::uint32_t aFirst, std::uint32_t aSecond)
  {
    switch (aAction) {
      case 0:
      case 1:
        Send(aFirst % kHosts, kCause, aSecond);
        break;
      case 2:
      case 3:
      case 4:
        Send(aFirst % kHosts, 2 + aFirst / kHosts % 12, aSecond);
        break;
      case 5:
        End(aFirst);
        break;
      case 6:
        Crash(aFirst % kEngines);
        break;
      case 7:
        Deliver(aFirst);
        break;
      case 8:
        // Hosts differ in what they take for healthy and how loaded they think engines are.
        placements_[aFirst % kHosts]->SetHealthy(aSecond % kEngines, aSecond / kEngines % 4 != 0);
        placements_[aFirst % kHosts]->SetLoad(aSecond % kEngines, aSecond / kEngines % 9);
        break;
      default:
        clock_.Advance(seconds(aFirst % 8));
    }
  }
  void Finish() {}

private:
  struct Running
  {
    std::uint64_t request_;
    std::size_t engine_;
    PinKey key_;
  };
  static RequestDigest Digest(std::uint64_t aRequest) { return { aRequest, aRequest * 7919 }; }
  static std::size_t OwnerOf(std::size_t aEngine) { return aEngine % kHosts; }
  UpstreamId IdOf(std::size_t aEngine) const { return UpstreamId("e" + std::to_string(aEngine)); }

  void Send(std::size_t aHost, std::uint64_t aRequest, std::uint32_t aChoice)
  {
    const RequestDigest digest = Digest(aRequest);
    if (tables_[aHost]->IsRefused(digest)) {
      // Another request is refused only if it was in flight in all three crashes, so that nothing
      // tells it from the cause. That needs copies that start before the first mark is known.
      const bool wasInAll = crashesOf_[aRequest] == kMaxSuspectEngines;
      RC_ASSERT(aRequest == kCause || (wasInAll && (kSlowNews || kTogether)));
      return;
    }
    const bool runs = std::any_of(running_.begin(), running_.end(), [&](const Running& aRun) {
      return aRun.request_ == aRequest;
    });
    if (runs && !kTogether) {
      return;
    }
    std::array<EngineIndex, 8> ranked{};
    const std::size_t count =
      placements_[aHost]->Rank({ { "adapter", "v1" }, "base", digest.low_ }, ranked);
    if (count == 0) {
      return;
    }
    // The first ones may answer busy.
    const std::size_t engine = ranked[aChoice % count];
    SuspectTable& owner = *tables_[OwnerOf(engine)];
    if (owner.Test(digest, IdOf(engine)) == SuspectVerdict::Allowed) {
      const PinKey key{ HostId("h"), RequestId(std::to_string(next_++)) };
      owner.Start(key, digest, IdOf(engine));
      running_.push_back({ aRequest, engine, key });
    }
  }
  void End(std::uint32_t aWhich)
  {
    if (!running_.empty()) {
      const auto run = running_.begin() + static_cast<std::ptrdiff_t>(aWhich % running_.size());
      tables_[OwnerOf(run->engine_)]->End(run->key_, IdOf(run->engine_));
      running_.erase(run);
    }
  }
  void Crash(std::size_t aEngine)
  {
    std::set<std::uint64_t> victims;
    for (const Running& run : running_) {
      if (run.engine_ == aEngine) {
        victims.insert(run.request_);
      }
    }
    if (!victims.contains(kCause)) {
      return;
    }
    std::erase_if(running_, [&](const Running& aRun) { return aRun.engine_ == aEngine; });
    for (const std::uint64_t victim : victims) {
      ++crashesOf_[victim];
    }
    RC_ASSERT(crashesOf_[kCause] <= kMaxSuspectEngines);
    const std::size_t owner = OwnerOf(aEngine);
    const auto marks =
      tables_[owner]->OnCrash(IdOf(aEngine), "epoch-" + std::to_string(epochs_[aEngine]++));
    for (const SuspectMark& mark : marks) {
      RC_ASSERT(!mark.isCause_ || mark.digest_ == Digest(kCause));
    }
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (host != owner) {
        news_.push_back({ host, marks });
        if (!kSlowNews) {
          Deliver(0);
        }
      }
    }
  }
  void Deliver(std::uint32_t aWhich)
  {
    if (!news_.empty()) {
      const auto item = news_.begin() + static_cast<std::ptrdiff_t>(aWhich % news_.size());
      tables_[item->first]->Merge(item->second);
      news_.erase(item);
    }
  }

  FakeClock clock_;
  SeededRandom random_{ 1 };
  std::vector<std::unique_ptr<SuspectTable>> tables_;
  std::vector<std::unique_ptr<Placement>> placements_;
  std::vector<Running> running_;
  std::vector<std::pair<std::size_t, std::vector<SuspectMark>>> news_;
  std::map<std::uint64_t, std::size_t> crashesOf_;
  std::array<int, kEngines> epochs_{};
  int next_ = 0;
};

/** Guards against a fourth engine lost to a request that many callers send at one moment. */
TEST(SuspectHistory, OneRequestCostsThreeEnginesAtMost)
{
  RunHistories<CrashWorld<false, true>>(700, 20240604, 150);
}

/** Guards against a bound that holds only while marks reach the peers at once. */
TEST(SuspectHistory, HoldsWhileMarksAreUnderWay)
{
  RunHistories<CrashWorld<true, true>>(700, 20240605, 150);
}

/** Guards against the refusal of requests that were only there when another crashed an engine. */
TEST(SuspectHistory, RefusesNoCoVictim)
{
  RunHistories<CrashWorld<false, false>>(600, 20240607, 150);
}

} // namespace
} // namespace laburnumweir
