/** @file overload_policy_test.cpp Order of service and refusals while requests exceed the capacity.
 */
#include "dispatch/fake_clock.h"
#include "fleet/overload_policy.h"
#include "fleet/wait_queue.h"

#include <array>
#include <cmath>
#include <gtest/gtest.h>
#include <numeric>
#include <queue>
#include <random>
#include <sstream>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;

class WorthPolicyTest : public testing::Test
{
protected:
  /** Adds a request that arrived some time ago. */
  void Add(std::uint32_t aRank, Duration aAge, double aWork = 1000, Duration aTimeout = 2s)
  {
    const auto arrived = now_ - aAge;
    requests_.push_back({ ServiceName("s"),
                          aRank,
                          arrived + aTimeout,
                          false,
                          false,
                          arrived,
                          arrived + 500ms,
                          aWork });
  }

  OverloadState State(std::optional<double> aRate)
  {
    OverloadState state;
    state.requests_ = requests_;
    state.startRate_ = aRate;
    state.now_ = now_;
    state.ranks_ = ranks_;
    return state;
  }

  std::vector<std::size_t> Order(std::optional<double> aRate)
  {
    std::vector<std::size_t> result;
    for (const auto& place : policy_.Order(State(aRate))) {
      result.push_back(place.index_);
    }
    return result;
  }

  std::vector<std::size_t> Hopeless(const OverloadState& aState)
  {
    return FindHopeless(aState, policy_.Order(aState), policy_.KeepsWhileSlotsAreFree());
  }

  const TimePoint now_{ 1h };
  std::vector<WaitingRequest> requests_;
  std::map<std::uint32_t, RankRecord> ranks_;
  WorthPolicy policy_;
};

// Load: more requests of one kind than its target allows. Guards against service in order of
// arrival, in which every request waits beyond its target.
TEST_F(WorthPolicyTest, ServesInTimeBeforeLateOfOneKind)
{
  Add(0, 900ms);
  Add(0, 200ms);
  Add(0, 100ms);
  EXPECT_EQ(Order(50), (std::vector<std::size_t>{ 1, 2, 0 }));
}

// Load: late urgent requests beside less urgent ones in time. Guards against an inversion of ranks.
TEST_F(WorthPolicyTest, ServesALateRequestBeforeLessUrgentOnes)
{
  Add(0, 700ms);
  Add(1, 100ms);
  EXPECT_EQ(Order(50), (std::vector<std::size_t>{ 0, 1 }));
}

// Load: requests that have begun at an upstream that was lost. Guards against the loss of the work
// that was done.
TEST_F(WorthPolicyTest, ServesWhatHasBegunFirst)
{
  Add(0, 100ms);
  Add(0, 900ms);
  requests_[1].mayBeLate_ = true;
  EXPECT_EQ(Order(50), (std::vector<std::size_t>{ 1, 0 }));
}

// Load: a steady stream of small requests. Guards against the starvation of a large one: small ones
// that arrive more than a tenth of the target later stay behind it.
TEST_F(WorthPolicyTest, OvertakesLargeRequestsOnlyForABoundedTime)
{
  Add(0, 300ms, 20000);
  Add(0, 270ms, 100);
  Add(0, 170ms, 100);
  EXPECT_EQ(Order(50), (std::vector<std::size_t>{ 1, 0, 2 }));
}

// Load: twice the capacity. Guards against refusals of requests that could be in time, and against
// keeping late ones that new requests overtake until their latest start.
TEST_F(WorthPolicyTest, RefusesLateRequestsFirstAndEarly)
{
  Add(0, 700ms);
  Add(0, 690ms);
  Add(0, 10ms);
  ranks_[0] = { 100, 50ms };
  EXPECT_EQ(Hopeless(State(50)), std::vector<std::size_t>{ 1 })
    << "new requests leave one start in two seconds to late ones";
  auto state = State(50);
  state.hasFreeSlot_ = true;
  EXPECT_TRUE(Hopeless(state).empty()) << "nothing is refused while slots are free";
}

// Load: late requests of one kind in a queue of hosts. Guards against a queue that does not pass
// the measured values to its policy.
TEST(WaitQueueWithWorth, OrdersAndRefusesByItsPolicy)
{
  FakeClock clock;
  const ServiceName service("s");
  WaitQueue queue(clock, MakeOverloadPolicy("worth"));
  const auto push = [&] {
    const auto now = clock.Now();
    return queue.Push({ service, 0, now + 1500ms, false, false, now, now + 500ms, 100 });
  };
  const auto old = push();
  clock.Advance(600ms);
  const auto fresh = push();
  EXPECT_EQ(queue.TicketsInOrder(service), (std::vector{ fresh, old }));
  queue.Remove(fresh, true);
  EXPECT_TRUE(queue.CannotStartInTime().empty());
  clock.Advance(900ms);
  EXPECT_EQ(queue.CannotStartInTime(), std::vector{ old });
}

/** A kind of request of the simulation. */
struct Kind
{
  double share_; ///< Of the requests.
  Duration target_;
  Duration latestStart_;
  double worth_;
  double lateWorth_;
  double meanWork_;
};

/** What a kind got in a simulation. */
struct Outcome
{
  double asked_ = 0;
  double served_ = 0;
  double inTime_ = 0;
  double earned_ = 0;
  double offered_ = 0;
  std::vector<std::pair<double, bool>> requests_; ///< Work and whether it was served.

  double Served() const { return served_ / asked_; }
  double Share() const { return earned_ / offered_; }

  /** @return share of the requests that were served, of a range of the order by falling work. */
  double ServedOfLargest(double aFrom, double aTo)
  {
    std::sort(requests_.rbegin(), requests_.rend());
    const auto count = static_cast<double>(requests_.size());
    const auto first = static_cast<std::size_t>(aFrom * count);
    const auto last = static_cast<std::size_t>(aTo * count);
    double served = 0;
    for (auto i = first; i < last; ++i) {
      served += requests_[i].second ? 1 : 0;
    }
    return served / static_cast<double>(last - first);
  }
};

/** Runs one service with three kinds of requests in virtual time. Each caller asks once. */
class Simulation
{
public:
  static constexpr std::array<Kind, 3> kKinds{ {
    { 0.45, 500ms, 1500ms, 2.2, 0.26, 1000 },
    { 0.25, 800ms, 2700ms, 1.7, 0.5, 3000 },
    { 0.30, 2000ms, 7500ms, 0.58, 0.26, 1000 },
  } };

  /** @param aBlocked share of the requests that wait up to 1 s for their adapter first. */
  std::array<Outcome, 3> Run(std::string_view aPolicy,
                             double aLoad,
                             double aBlocked,
                             unsigned aSeed)
  {
    std::mt19937 random(aSeed);
    const auto uniform = [&] {
      return (static_cast<double>(random()) + 0.5) / (static_cast<double>(std::mt19937::max()) + 1);
    };
    FakeClock clock;
    WaitQueue queue(clock, MakeOverloadPolicy(aPolicy));
    const ServiceName service("s");
    std::array<Outcome, 3> outcomes;
    std::map<WaitTicket, std::pair<std::size_t, WaitingRequest>> waiting;
    std::map<WaitTicket, TimePoint> blocked; // until when
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> running;
    constexpr std::size_t kSlots = 32;
    constexpr double kSlotSeconds = 0.4; // of a request of 1,000 units of work
    double meanWork = 0;
    for (const auto& kind : kKinds) {
      meanWork += kind.share_ * kind.meanWork_ / 1000;
    }
    const double rate = aLoad * kSlots / (kSlotSeconds * meanWork);
    const auto end = clock.Now() + 60s;
    auto next = clock.Now();
    while (clock.Now() < end || !waiting.empty()) {
      const auto now = clock.Now();
      while (next <= now && now < end) {
        next += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(-std::log(uniform()) / rate));
        const double draw = uniform();
        const std::size_t kind = draw < kKinds[0].share_                      ? 0
                                 : draw < kKinds[0].share_ + kKinds[1].share_ ? 1
                                                                              : 2;
        const auto& values = kKinds[kind];
        const double work = values.meanWork_ * -std::log(uniform());
        const WaitingRequest request{ service,
                                      static_cast<std::uint32_t>(kind),
                                      now + values.latestStart_,
                                      false,
                                      false,
                                      now,
                                      now + values.target_,
                                      work };
        auto& outcome = outcomes[kind];
        outcome.asked_ += 1;
        outcome.offered_ += Worth(kind, work, true);
        const auto ticket = queue.Push(request);
        waiting.emplace(ticket, std::pair(kind, request));
        if (uniform() < aBlocked) {
          blocked[ticket] = now + std::chrono::duration_cast<Duration>(uniform() * 1s);
          queue.SetBlocked(ticket, true);
        }
      }
      std::erase_if(blocked, [&](const auto& aEntry) {
        if (aEntry.second > now) {
          return false;
        }
        queue.SetBlocked(aEntry.first, false);
        return true;
      });
      while (!running.empty() && running.top() <= now) {
        running.pop();
      }
      for (const auto ticket : queue.TicketsInOrder(service)) {
        if (running.size() >= kSlots) {
          break;
        }
        if (blocked.contains(ticket)) {
          continue;
        }
        const auto [kind, request] = waiting.at(ticket);
        waiting.erase(ticket);
        queue.Remove(ticket, true);
        const double seconds = kSlotSeconds * (0.1 + 0.9 * request.work_ / 1000);
        running.push(now +
                     std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
        const bool isInTime = now + kFirstEvent <= request.target_;
        queue.RecordAnswer(service, request.rank_, kFirstEvent);
        auto& outcome = outcomes[kind];
        outcome.served_ += 1;
        outcome.inTime_ += isInTime ? 1 : 0;
        outcome.earned_ += Worth(kind, request.work_, isInTime);
        outcome.requests_.emplace_back(request.work_, true);
      }
      for (const auto ticket : queue.CannotStartInTime()) {
        const auto [kind, request] = waiting.at(ticket);
        outcomes[kind].requests_.emplace_back(request.work_, false);
        waiting.erase(ticket);
        blocked.erase(ticket);
        queue.Remove(ticket, false);
      }
      clock.Advance(5ms);
    }
    return outcomes;
  }

private:
  static constexpr Duration kFirstEvent = 80ms;

  static double Worth(std::size_t aKind, double aWork, bool aIsInTime)
  {
    const auto& kind = kKinds[aKind];
    return (0.3 + 0.7 * aWork / kind.meanWork_) * (aIsInTime ? kind.worth_ : kind.lateWorth_);
  }
};

double
Total(const std::array<Outcome, 3>& aOutcomes)
{
  return std::accumulate(
    aOutcomes.begin(), aOutcomes.end(), 0.0, [](double aSum, const Outcome& aOutcome) {
      return aSum + aOutcome.earned_;
    });
}

// Load: a mix of three kinds at 0.8, 1.2 and 2 times the capacity of one service, at 1.2 times with
// requests that wait for adapters, and at 4 times, where the most urgent kind alone exceeds the
// capacity. Guards against a policy that earns less than the order of arrival, serves an urgent
// kind less than others, or starves large requests.
TEST(OverloadSimulation, EarnsMoreThanArrivalWithinTheTerms)
{
  for (const auto& [load, blocked] :
       { std::pair(0.8, 0.0), { 1.2, 0.0 }, { 2.0, 0.0 }, { 1.2, 0.4 }, { 4.0, 0.0 } }) {
    std::array<Outcome, 3> all;
    for (unsigned seed = 1; seed <= 3; ++seed) {
      auto byArrival = Simulation().Run("arrival", load, blocked, seed);
      auto byWorth = Simulation().Run("worth", load, blocked, seed);
      std::ostringstream trace;
      trace << "load " << load << " blocked " << blocked << " seed " << seed << " worth "
            << Total(byArrival) << " | " << Total(byWorth);
      for (std::size_t i = 0; i < 3; ++i) {
        for (auto* outcome : { &byArrival[i], &byWorth[i] }) {
          trace << (outcome == &byWorth[i] ? " | " : "\n  kind ") << outcome->Served() << " "
                << outcome->Share() << " " << outcome->ServedOfLargest(0, 0.1);
        }
      }
      SCOPED_TRACE(trace.str());
      EXPECT_GE(Total(byWorth), load < 1 ? 0.995 * Total(byArrival) : Total(byArrival));
      for (std::size_t urgent = 0; urgent < 3; ++urgent) {
        for (std::size_t other = urgent + 1; other < 3; ++other) {
          EXPECT_GE(byWorth[urgent].Served(), byWorth[other].Served() - 0.05);
          EXPECT_GE(byWorth[urgent].Share(), byWorth[other].Share() - 0.15);
        }
        all[urgent].asked_ += byWorth[urgent].asked_;
        all[urgent].served_ += byWorth[urgent].served_;
        all[urgent].requests_.insert(all[urgent].requests_.end(),
                                     byWorth[urgent].requests_.begin(),
                                     byWorth[urgent].requests_.end());
      }
    }
    // Of all runs, since one run serves only one or two of the largest requests of a kind of which
    // one in a hundred is served.
    for (auto& outcome : all) {
      EXPECT_GE(outcome.ServedOfLargest(0, 0.1), outcome.Served() / 2);
      EXPECT_GE(outcome.ServedOfLargest(0.1, 0.3), outcome.Served() / 2);
    }
  }
}

} // namespace
} // namespace laburnumweir
