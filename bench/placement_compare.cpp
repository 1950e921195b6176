/** @file placement_compare.cpp Compares placements and evictions on seeded arrival traces. */
#include "core/random_base.h"
#include "dispatch/engine_slots.h"
#include "dispatch/load_budget.h"
#include "dispatch/placement_base.h"
#include "dispatch/request_queue.h"

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <string>
#include <vector>

namespace laburnumweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Size and load of a site. */
struct Site
{
  std::string name_;         ///< Name.
  std::size_t engines_ = 12; ///< Engines.
  std::uint32_t slots_ = 8;  ///< Slots of an engine.
  int adapters_ = 3000;      ///< Adapters.
  double rate_ = 40;         ///< Requests/s.
  double zipf_ = 1.1;        ///< Exponent of the popularity.
  double seconds_ = 600;     ///< Length of the trace.
  bool hasDigests_ = true;   ///< Whether requests have digests, which fix three engines for each.
  double flood_ = 1;         ///< Multiple of its rate that the first workspace sends.
  Duration halfLife_ = kPopularityHalfLife; ///< Half-life of popularity.
};

struct Arrival
{
  TimePoint at_;          ///< Time.
  int adapter_ = 0;       ///< Adapter.
  int workspace_ = 0;     ///< Workspace.
  TokenCount tokens_ = 0; ///< Prompt and answer.
  std::size_t next_ = 0;  ///< Next arrival for the adapter, for the clairvoyant bound.
};

struct Setup
{
  std::string name_;        ///< Name in the table.
  PlacementKind placement_; ///< Placement.
  EvictionKind eviction_;   ///< Eviction.
};

struct Figures
{
  std::size_t loads_ = 0;   ///< Loads.
  double loadWaitP99_ = 0;  ///< p99 of the wait for a load in s, over all requests.
  double batch_ = 0;        ///< Mean number of requests that run with a starting one.
  double worstP95_ = 0;     ///< Worst workspace's p95 time to the start over the median one's.
  double jain_ = 0;         ///< Jain index of served over asked tokens, workspaces in their rate.
  std::size_t refused_ = 0; ///< Refused requests of workspaces within their rate.
  std::size_t refusedFlood_ = 0; ///< Refused requests of the flooding workspace.
  std::size_t served_ = 0;       ///< Served requests.
};

constexpr int kWorkspaces = 5;
constexpr Duration kMaxWait = seconds(10);
constexpr Duration kBaseTime = milliseconds(200);
constexpr Duration kTokenTime = milliseconds(20);
/** Growth of the service time for each request that runs at the same time. */
constexpr double kBatchSlope = 0.01;

class SimulatedClock : public Clock
{
public:
  TimePoint Now() const override { return now_; }
  WallTime WallNow() const override { return WallTime{}; }
  TimePoint now_{ std::chrono::hours(1) }; ///< Current time.
};

double
Uniform(RandomSource& aRandom)
{
  return (static_cast<double>(aRandom.Below(1ULL << 53)) + 0.5) / static_cast<double>(1ULL << 53);
}

std::vector<Arrival>
MakeTrace(const Site& aSite, std::uint64_t aSeed)
{
  SeededRandom random(aSeed);
  std::vector<double> sums(static_cast<std::size_t>(aSite.adapters_));
  double sum = 0;
  for (std::size_t i = 0; i < sums.size(); ++i) {
    sum += 1.0 / std::pow(static_cast<double>(i + 1), aSite.zipf_);
    sums[i] = sum;
  }
  // Workspaces are a few large ones and smaller ones; an adapter belongs to one workspace.
  const std::array<double, kWorkspaces> shares{ 0.3, 0.3, 0.2, 0.1, 0.1 };
  std::vector<int> owners(sums.size());
  std::vector<std::vector<int>> adaptersOf(kWorkspaces);
  for (std::size_t i = 0; i < owners.size(); ++i) {
    owners[i] = static_cast<int>(random.Below(kWorkspaces));
    adaptersOf[static_cast<std::size_t>(owners[i])].push_back(static_cast<int>(i));
  }
  std::vector<Arrival> trace;
  const TimePoint start{ std::chrono::hours(1) };
  for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
    const double factor = workspace == 0 ? aSite.flood_ : 1;
    const double rate = aSite.rate_ * shares[static_cast<std::size_t>(workspace)] * factor;
    const std::vector<int>& own = adaptersOf[static_cast<std::size_t>(workspace)];
    double at = 0;
    while ((at += -std::log(Uniform(random)) / rate) < aSite.seconds_) {
      const double pick = Uniform(random) * sums[own.size() - 1];
      auto rank = static_cast<std::size_t>(
        std::lower_bound(
          sums.begin(), sums.begin() + static_cast<std::ptrdiff_t>(own.size()), pick) -
        sums.begin());
      // In the middle of the trace a fifth of the ranks change their adapters.
      if (at > aSite.seconds_ / 2 && rank % 5 == 0) {
        rank = (rank + own.size() / 2) % own.size();
      }
      const auto tokens = static_cast<TokenCount>(50 + random.Below(450));
      trace.push_back({ start + duration_cast<Duration>(std::chrono::duration<double>(at)),
                        own[rank],
                        workspace,
                        tokens,
                        0 });
    }
  }
  std::sort(trace.begin(), trace.end(), [](const Arrival& aLeft, const Arrival& aRight) {
    return aLeft.at_ < aRight.at_;
  });
  std::vector<std::size_t> next(sums.size(), SIZE_MAX);
  for (std::size_t i = trace.size(); i-- > 0;) {
    trace[i].next_ = next[static_cast<std::size_t>(trace[i].adapter_)];
    next[static_cast<std::size_t>(trace[i].adapter_)] = i;
  }
  return trace;
}

/** Loads of one pool with all slots that evicts the adapter whose next use is farthest. */
std::size_t
ClairvoyantLoads(const std::vector<Arrival>& aTrace, std::size_t aSlots)
{
  std::map<int, std::size_t> nextUse;
  std::priority_queue<std::pair<std::size_t, int>> farthest;
  std::size_t loads = 0;
  for (const Arrival& arrival : aTrace) {
    if (!nextUse.contains(arrival.adapter_)) {
      ++loads;
      while (nextUse.size() >= aSlots) {
        const auto [use, adapter] = farthest.top();
        farthest.pop();
        const auto found = nextUse.find(adapter);
        if (found != nextUse.end() && found->second == use) {
          nextUse.erase(found);
        }
      }
    }
    nextUse[arrival.adapter_] = arrival.next_;
    farthest.emplace(arrival.next_, arrival.adapter_);
  }
  return loads;
}

double
Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto place = static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(
    aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(place), aValues.end());
  return aValues[place];
}

/** One run of a trace through the classes of the package; engines are slots, loads and runs. */
class Run
{
public:
  Run(const Site& aSite, const Setup& aSetup, const std::vector<Arrival>& aTrace)
    : site_(aSite)
    , trace_(aTrace)
    , random_(7)
    , placement_(MakePlacement(aSetup.placement_, random_))
    , queue_(clock_)
    , budget_(clock_)
    , running_(aSite.engines_)
    , states_(aTrace.size())
  {
    std::vector<PlacementEngine> engines;
    for (std::size_t i = 0; i < aSite.engines_; ++i) {
      engines.push_back({ UpstreamId("e" + std::to_string(i)),
                          "base",
                          true,
                          kMaxRunning,
                          DataCentreId("dc-" + std::to_string(i % 3)) });
      SlotSettings settings;
      settings.slots_ = aSite.slots_;
      settings.maxRunning_ = kMaxRunning;
      settings.windowInitial_ = kMaxRunning; // the cold start is measured elsewhere
      settings.eviction_ = aSetup.eviction_;
      settings.halfLife_ = aSite.halfLife_;
      slots_.push_back(std::make_unique<EngineSlots>(clock_, settings));
      slots_.back()->OnReport({ "epoch-1", "base", aSite.slots_, 0, {} },
                              clock_.Now() + kReportLag);
    }
    placement_->SetEngines(engines);
  }

  Figures Execute()
  {
    for (std::size_t i = 0; i < trace_.size(); ++i) {
      At(trace_[i].at_, [this, i] { Arrive(i); });
    }
    At(clock_.Now(), [this] { Tick(); });
    while (!events_.empty()) {
      // The event is moved out before it runs, since it may add others.
      auto event = events_.begin();
      clock_.now_ = std::max(clock_.now_, event->first);
      const auto action = std::move(event->second);
      events_.erase(event);
      action();
    }
    return Summarize();
  }

private:
  static constexpr std::uint32_t kMaxRunning = 32;

  struct State
  {
    std::size_t engine_ = 0;   ///< Engine that was asked last.
    bool waits_ = false;       ///< Waits there for a load.
    bool isServed_ = false;    ///< It started.
    bool isRefused_ = false;   ///< It was refused.
    Duration loadWait_{};      ///< Time of waiting for a load.
    TimePoint contendedSince_; ///< Start of that.
    Duration startWait_{};     ///< Time from the arrival to the start.
  };

  void At(TimePoint aTime, std::function<void()> aAction)
  {
    events_.emplace(aTime, std::move(aAction));
  }
  AdapterRef AdapterOf(std::size_t aRequest) const
  {
    return { "a" + std::to_string(trace_[aRequest].adapter_), "v1" };
  }
  static PinKey KeyOf(std::size_t aRequest)
  {
    return { HostId("h"), RequestId(std::to_string(aRequest)) };
  }

  void Arrive(std::size_t aRequest)
  {
    QueueEntry entry;
    entry.class_ = ClassId("lookup");
    entry.workspace_ = WorkspaceId(std::to_string(trace_[aRequest].workspace_));
    entry.tokens_ = trace_[aRequest].tokens_;
    entry.startBy_ = clock_.Now() + kMaxWait;
    const PushResult result = queue_.Push(entry, {});
    if (result.displaced_) {
      states_[requests_[result.displaced_->entry_.ticket_]].isRefused_ = true;
    }
    states_[aRequest].isRefused_ = result.refusal_ != QueueRefusal::None;
    requests_[result.ticket_] = aRequest;
    Dispatch();
  }
  void Tick()
  {
    for (const RefusedEntry& refused : queue_.TakeExpired()) {
      states_[requests_[refused.entry_.ticket_]].isRefused_ = true;
    }
    for (auto& slots : slots_) {
      slots->Tick();
    }
    // Pins are renewed here in place of heartbeats.
    for (std::size_t i = 0; i < slots_.size(); ++i) {
      std::vector<PinRenewal> pins;
      for (const auto& [request, end] : running_[i]) {
        pins.push_back({ KeyOf(request).request_, AdapterOf(request), "epoch-1", end });
      }
      slots_[i]->Renew(HostId("h"), pins);
      for (std::size_t request : waiting_) {
        if (states_[request].engine_ == i) {
          slots_[i]->Acquire({ KeyOf(request), AdapterOf(request), DeadlineOf(request) });
        }
      }
    }
    Dispatch();
    if (clock_.Now() < trace_.back().at_ + seconds(60)) {
      At(clock_.Now() + milliseconds(100), [this] { Tick(); });
    }
  }
  TimePoint DeadlineOf(std::size_t aRequest) const { return trace_[aRequest].at_ + seconds(60); }

  void Dispatch()
  {
    std::vector<QueueEntry> blocked;
    while (auto entry = queue_.Pop({})) {
      if (!Place(requests_[entry->ticket_])) {
        blocked.push_back(*entry);
        if (blocked.size() >= 16) {
          break;
        }
      }
    }
    for (QueueEntry& entry : blocked) {
      queue_.Return(std::move(entry), clock_.Now() + milliseconds(20));
    }
    if (!blocked.empty() && !isRetryPlanned_) {
      isRetryPlanned_ = true;
      At(clock_.Now() + milliseconds(20), [this] {
        isRetryPlanned_ = false;
        Dispatch();
      });
    }
    StartLoads();
  }
  bool Place(std::size_t aRequest)
  {
    std::array<EngineIndex, kPlacementCandidates> ranked{};
    const AdapterRef adapter = AdapterOf(aRequest);
    const std::uint64_t digest = site_.hasDigests_ ? 1 + aRequest * 0x9e3779b97f4a7c15ULL : 0;
    const std::size_t count = placement_->Rank({ adapter, "base", digest }, ranked);
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t engine = ranked[i];
      const SlotAnswer answer =
        slots_[engine]->Acquire({ KeyOf(aRequest), adapter, DeadlineOf(aRequest) });
      placement_->SetLoad(ranked[i], slots_[engine]->InUse() + slots_[engine]->Waiting());
      if (answer.verdict_ == SlotVerdict::Granted) {
        placement_->NoteResident(adapter, ranked[i], true);
        states_[aRequest].engine_ = engine;
        Start(aRequest);
        return true;
      }
      if (answer.verdict_ == SlotVerdict::Load || answer.verdict_ == SlotVerdict::Wait) {
        placement_->NoteResident(adapter, ranked[i], true);
        states_[aRequest].engine_ = engine;
        states_[aRequest].waits_ = true;
        states_[aRequest].contendedSince_ = clock_.Now();
        waiting_.push_back(aRequest);
        if (answer.verdict_ == SlotVerdict::Load) {
          budget_.Request({ placement_->Engine(ranked[i]).id_, adapter }, LoadKind::Demand);
        }
        return true;
      }
      placement_->NoteResident(adapter, ranked[i], false);
    }
    return false;
  }
  void StartLoads()
  {
    while (const auto key = budget_.Next()) {
      const EngineIndex engine = placement_->IndexOf(key->engine_);
      const auto order = slots_[engine]->StartLoad(key->adapter_);
      if (!order) {
        const auto pending = slots_[engine]->PendingLoads();
        if (std::find(pending.begin(), pending.end(), key->adapter_) != pending.end()) {
          budget_.Postpone(*key, milliseconds(20));
        } else {
          budget_.Finished(*key);
        }
        continue;
      }
      ++loads_;
      if (!order->evict_.name_.empty()) {
        placement_->NoteResident(order->evict_, engine, false);
      }
      At(clock_.Now() + kExpectedLoadTime, [this, key = *key, engine, number = order->number_] {
        budget_.Finished(key);
        slots_[engine]->LoadFinished(number, LoadOutcome::Loaded);
        TakeNotices(engine);
        Dispatch();
      });
    }
  }
  void TakeNotices(std::size_t aEngine)
  {
    for (const SlotNotice& notice : slots_[aEngine]->TakeNotices()) {
      const std::size_t request = std::stoul(notice.key_.request_.Value());
      std::erase(waiting_, request);
      states_[request].loadWait_ += clock_.Now() - states_[request].contendedSince_;
      if (notice.answer_.verdict_ == SlotVerdict::Granted) {
        Start(request);
      } else {
        states_[request].isRefused_ = true;
      }
    }
  }
  void Start(std::size_t aRequest)
  {
    State& state = states_[aRequest];
    const std::size_t engine = state.engine_;
    state.isServed_ = true;
    state.startWait_ = clock_.Now() - trace_[aRequest].at_;
    const std::size_t batch = running_[engine].size() + 1;
    batches_ += static_cast<double>(batch);
    const double slope = 1.0 + kBatchSlope * static_cast<double>(batch);
    const Duration time =
      duration_cast<Duration>((kBaseTime + kTokenTime * trace_[aRequest].tokens_) * slope);
    running_[engine][aRequest] = clock_.Now() + time;
    At(clock_.Now() + time, [this, aRequest, engine] {
      running_[engine].erase(aRequest);
      slots_[engine]->Release(KeyOf(aRequest), RunEnd::Certain);
      TakeNotices(engine);
      placement_->SetLoad(static_cast<EngineIndex>(engine),
                          slots_[engine]->InUse() + slots_[engine]->Waiting());
      Dispatch();
    });
  }
  Figures Summarize() const
  {
    Figures figures;
    figures.loads_ = loads_;
    std::vector<double> loadWaits;
    std::vector<std::vector<double>> starts(kWorkspaces);
    std::vector<double> asked(kWorkspaces);
    std::vector<double> got(kWorkspaces);
    for (std::size_t i = 0; i < trace_.size(); ++i) {
      const auto workspace = static_cast<std::size_t>(trace_[i].workspace_);
      const State& state = states_[i];
      const bool floods = workspace == 0 && site_.flood_ > 1;
      asked[workspace] += static_cast<double>(trace_[i].tokens_);
      if (!state.isServed_) {
        (floods ? figures.refusedFlood_ : figures.refused_) += 1;
        continue;
      }
      ++figures.served_;
      got[workspace] += static_cast<double>(trace_[i].tokens_);
      loadWaits.push_back(std::chrono::duration<double>(state.loadWait_).count());
      // The time to the first token: the wait and the base time of a run.
      starts[workspace].push_back(
        std::chrono::duration<double>(state.startWait_ + kBaseTime).count());
    }
    figures.loadWaitP99_ = Percentile(loadWaits, 0.99);
    figures.batch_ = batches_ / static_cast<double>(std::max<std::size_t>(figures.served_, 1));
    std::vector<double> tails;
    double sum = 0;
    double squares = 0;
    double count = 0;
    for (std::size_t i = site_.flood_ > 1 ? 1 : 0; i < kWorkspaces; ++i) {
      tails.push_back(Percentile(starts[i], 0.95));
      const double share = got[i] / std::max(asked[i], 1.0);
      sum += share;
      squares += share * share;
      ++count;
    }
    figures.worstP95_ = *std::max_element(tails.begin(), tails.end()) / Percentile(tails, 0.5);
    figures.jain_ = sum * sum / std::max(count * squares, 1e-9);
    return figures;
  }

  Site site_;
  const std::vector<Arrival>& trace_;
  SimulatedClock clock_;
  SeededRandom random_;
  std::unique_ptr<Placement> placement_;
  RequestQueue queue_;
  LoadBudget budget_;
  std::vector<std::unique_ptr<EngineSlots>> slots_;
  std::vector<std::map<std::size_t, TimePoint>> running_;
  std::vector<State> states_;
  std::vector<std::size_t> waiting_;
  std::map<QueueTicket, std::size_t> requests_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::size_t loads_ = 0;
  double batches_ = 0;
  bool isRetryPlanned_ = false;
};

void
Compare(const Site& aSite, std::uint64_t aSeed)
{
  const std::vector<Arrival> trace = MakeTrace(aSite, aSeed);
  const std::size_t bound = ClairvoyantLoads(trace, aSite.engines_ * aSite.slots_);
  std::printf("%s: %zu engines, %u slots, %d adapters, %.0f requests/s, flood x%.0f, seed %llu\n",
              aSite.name_.c_str(),
              aSite.engines_,
              aSite.slots_,
              aSite.adapters_,
              aSite.rate_,
              aSite.flood_,
              static_cast<unsigned long long>(aSeed));
  std::printf("%zu requests; clairvoyant loads %zu (%.2f/s)\n",
              trace.size(),
              bound,
              static_cast<double>(bound) / aSite.seconds_);
  std::printf("%-32s %7s %7s %9s %7s %9s %7s %8s %8s\n",
              "placement, eviction",
              "loads",
              "x bound",
              "p99 load",
              "batch",
              "worst p95",
              "Jain",
              "refused",
              "(flood)");
  const std::array<Setup, 7> setups{ {
    { "bounded-rendezvous, frequency",
      PlacementKind::BoundedRendezvous,
      EvictionKind::FrequencyAware },
    { "bounded-rendezvous, lru",
      PlacementKind::BoundedRendezvous,
      EvictionKind::LeastRecentlyUsed },
    { "consistent-hash, lru", PlacementKind::ConsistentHash, EvictionKind::LeastRecentlyUsed },
    { "consistent-hash, frequency", PlacementKind::ConsistentHash, EvictionKind::FrequencyAware },
    { "least-loaded, lru", PlacementKind::LeastLoaded, EvictionKind::LeastRecentlyUsed },
    { "round-robin, lru", PlacementKind::RoundRobin, EvictionKind::LeastRecentlyUsed },
    { "random, lru", PlacementKind::Random, EvictionKind::LeastRecentlyUsed },
  } };
  for (const Setup& setup : setups) {
    const Figures figures = Run(aSite, setup, trace).Execute();
    std::printf("%-32s %7zu %7.2f %8.2fs %7.2f %9.2f %7.3f %8zu %8zu\n",
                setup.name_.c_str(),
                figures.loads_,
                static_cast<double>(figures.loads_) / static_cast<double>(bound),
                figures.loadWaitP99_,
                figures.batch_,
                figures.worstP95_,
                figures.jain_,
                figures.refused_,
                figures.refusedFlood_);
    std::fflush(stdout);
  }
}

} // namespace
} // namespace laburnumweir

int
main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  using laburnumweir::Site;
  std::uint64_t seed = 0;
  double zipf = 0;
  double gustline = 0;
  double thies = 0;
  double length = 0;
  int halfLife = 0;
  options::options_description description("placement_compare");
  description.add_options()("help", "print this")(
    "seed", options::value(&seed)->default_value(1), "seed of the traces")(
    "zipf", options::value(&zipf)->default_value(1.1), "exponent of the popularity")(
    "gustline", options::value(&gustline)->default_value(20), "requests/s of Gustline")(
    "thies", options::value(&thies)->default_value(12), "requests/s of Thiès")(
    "no-digests", "requests may use all candidates instead of three fixed engines")(
    "half-life", options::value(&halfLife)->default_value(120), "half-life of popularity in s")(
    "seconds", options::value(&length)->default_value(600), "length of a trace");
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aArguments, description), values);
  options::notify(values);
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  const bool hasDigests = !values.contains("no-digests");
  for (const double flood : { 1.0, 5.0 }) {
    laburnumweir::Compare({ "Gustline",
                            12,
                            8,
                            3000,
                            gustline,
                            zipf,
                            length,
                            hasDigests,
                            flood,
                            std::chrono::seconds(halfLife) },
                          seed);
    laburnumweir::Compare({ "Thiès",
                            9,
                            8,
                            3000,
                            thies,
                            zipf,
                            length,
                            hasDigests,
                            flood,
                            std::chrono::seconds(halfLife) },
                          seed);
  }
  return 0;
}
