/** @file limit_history_test.cpp Random histories of faults against the bound rate*t + burst. */
#include "limits/limit_world.h"

#include <gtest/gtest.h>
#include <optional>
#include <ostream>
#include <rapidcheck.h>
#include <sstream>
#include <tuple>

namespace laburnumweir::testing {
namespace {

using std::chrono::milliseconds;

/** Kind of a step of a history. */
enum class StepKind : std::uint8_t
{
  Load,
  Burst,
  Run,
  Kill,
  Start,
  Pause,
  CutLog,
  CutPeers,
  Remove,
  Faults,
  Rule,
  Drain,
  Depose,
  Isolate,
  Refund
};

/** A step of a history; what the numbers mean depends on the kind. */
struct Step
{
  StepKind kind_ = StepKind::Run; ///< Kind.
  std::size_t host_ = 0;          ///< Host.
  int first_ = 0;                 ///< 0 to 999.
  int second_ = 0;                ///< 0 to 999.
  int third_ = 0;                 ///< 0 to 999.
};

std::ostream&
operator<<(std::ostream& aStream, const Step& aStep)
{
  static constexpr const char* kNames[] = { "load",  "burst",   "run",       "kill",    "start",
                                            "pause", "cut-log", "cut-peers", "remove",  "faults",
                                            "rule",  "drain",   "depose",    "isolate", "refund" };
  return aStream << kNames[static_cast<std::size_t>(aStep.kind_)] << '(' << aStep.host_ << ", "
                 << aStep.first_ << ", " << aStep.second_ << ", " << aStep.third_ << ')';
}

constexpr std::size_t kHosts = 3;

rc::Gen<Step>
AnyStep(bool aHasRules)
{
  using rc::gen::just;
  auto kinds = rc::gen::weightedElement<StepKind>({ { 6, StepKind::Load },
                                                    { 5, StepKind::Burst },
                                                    { 10, StepKind::Run },
                                                    { 2, StepKind::Kill },
                                                    { 2, StepKind::Start },
                                                    { 3, StepKind::Pause },
                                                    { 2, StepKind::CutLog },
                                                    { 2, StepKind::CutPeers },
                                                    { 2, StepKind::Remove },
                                                    { 2, StepKind::Faults },
                                                    { aHasRules ? 2U : 0U, StepKind::Rule },
                                                    { 1, StepKind::Drain },
                                                    { 3, StepKind::Depose },
                                                    { 3, StepKind::Isolate },
                                                    { 3, StepKind::Refund } });
  const auto number = rc::gen::inRange(0, 1000);
  return rc::gen::map(
    rc::gen::tuple(kinds, rc::gen::inRange<std::size_t>(0, kHosts), number, number, number),
    [](const std::tuple<StepKind, std::size_t, int, int, int>& aParts) {
      return Step{ std::get<0>(aParts),
                   std::get<1>(aParts),
                   std::get<2>(aParts),
                   std::get<3>(aParts),
                   std::get<4>(aParts) };
    });
}

/** A fleet under load; most requests go to one host at a time. */
class History
{
public:
  explicit History(const WorldOptions& aOptions)
    : world_(aOptions)
    , random_(aOptions.seed_ + 1)
    , burst_(aOptions.rule_.burst_)
  {
  }

  /** Lets time pass under the load set last. @param aTime how long. */
  void Run(Duration aTime)
  {
    const Duration slice = milliseconds(25);
    for (Duration passed{}; passed < aTime; passed += slice) {
      if (random_.Below(100) < percent_) {
        SubmitAt(random_.Below(4) == 0 ? random_.Below(kHosts) : host_);
      }
      world_.Run(slice);
    }
  }
  /** Executes a step. @param aStep step. */
  void Execute(const Step& aStep);
  /** @return the fleet. */
  LimitWorld& World() { return world_; }

private:
  void Stock(std::size_t aHost);
  void Burst(std::optional<std::size_t> aHost);
  void SubmitAt(std::size_t aHost)
  {
    const auto tokens =
      static_cast<TokenCount>(1 + random_.Below(static_cast<std::uint64_t>(largest_)));
    // Half of the requests spend all, the others less.
    const TokenCount spent = tokens * static_cast<TokenCount>(random_.Below(spends_)) / 100;
    world_.Submit(aHost, 0, tokens, spent, milliseconds(random_.Below(runs_)));
  }

  LimitWorld world_;           ///< Fleet.
  SeededRandom random_;        ///< Load.
  TokenCount burst_;           ///< Burst at the start.
  std::size_t host_ = 0;       ///< Host that gets most of the load.
  std::uint64_t percent_ = 60; ///< Requests for each 100 slices.
  TokenCount largest_ = 80;    ///< Largest request.
  std::uint64_t spends_ = 101; ///< Largest part that is spent, in percent, exclusive.
  std::uint64_t runs_ = 1000;  ///< Longest run in ms, exclusive.
};

/** Lets the bucket fill and a host stock tokens; its load stays below the rate. */
void
History::Stock(std::size_t aHost)
{
  percent_ = 0;
  Run(milliseconds(2000));
  host_ = aHost;
  percent_ = 60;
  largest_ = 50;
  Run(milliseconds(700));
}

/** Takes all that can be had at the same moment, at one host or at all. */
void
History::Burst(std::optional<std::size_t> aHost)
{
  for (TokenCount asked = 0; asked < burst_ * 2; asked += largest_ / 2) {
    SubmitAt(aHost ? *aHost : random_.Below(kHosts));
  }
  world_.Run(milliseconds(5));
}

void
History::Execute(const Step& aStep)
{
  const Duration time = milliseconds(aStep.first_ * 4);
  switch (aStep.kind_) {
    case StepKind::Load:
      host_ = aStep.host_;
      // Silence lets the bucket fill; 100% asks for up to 4 times the rate.
      percent_ = aStep.first_ % 3 == 0 ? 0 : static_cast<std::uint64_t>(aStep.first_ % 101);
      largest_ = 20 + aStep.second_ % 180;
      spends_ = aStep.third_ % 2 == 0 ? 101 : 1;
      runs_ = 100 + static_cast<std::uint64_t>(aStep.third_) * 4;
      break;
    case StepKind::Burst:
      Burst(aStep.first_ % 2 == 0 ? std::optional(aStep.host_) : std::nullopt);
      break;
    case StepKind::Run:
      Run(time);
      break;
    case StepKind::Kill:
      world_.Kill(aStep.host_);
      break;
    case StepKind::Start:
      world_.Start(aStep.host_);
      break;
    case StepKind::Pause:
      world_.Pause(aStep.host_, time * 2);
      break;
    case StepKind::CutLog:
      world_.CutLog(aStep.host_, time * 2);
      break;
    case StepKind::CutPeers:
      world_.CutPeers(aStep.host_, time * 2);
      break;
    case StepKind::Remove:
      world_.Remove(aStep.host_);
      break;
    case StepKind::Faults:
      world_.SetFaults(NetworkFaults{ aStep.first_ % 30, aStep.second_ % 30, aStep.third_ % 30 });
      break;
    case StepKind::Rule:
      world_.SetRule(BucketRule{ 200 + aStep.first_ * 2, 800 + aStep.second_ * 5 });
      break;
    case StepKind::Drain:
      world_.Drain(aStep.host_);
      break;
    case StepKind::Depose: {
      // The owner is replaced while it and its chunks live on, cut off from the log.
      const std::size_t owner = world_.OwnerOf(0);
      Stock(owner);
      Run(milliseconds(aStep.third_));
      world_.CutLog(owner, time * 2);
      world_.Remove(owner);
      Run(milliseconds(1500 + aStep.second_ * 3));
      Burst(std::nullopt);
      break;
    }
    case StepKind::Isolate:
      // A holder spends its stock where the owner cannot hear of it.
      Stock(aStep.host_);
      percent_ = 0;
      world_.CutPeers(aStep.host_, time * 2);
      Run(milliseconds(aStep.second_ * 2));
      spends_ = 101;
      if (aStep.first_ % 2 == 0) {
        Burst(aStep.host_);
      }
      Run(milliseconds(500 + aStep.third_ * 3));
      Burst(std::nullopt);
      break;
    case StepKind::Refund: {
      // Tokens come back when the bucket has already been refilled and used again.
      const std::uint64_t gap = 300 + static_cast<std::uint64_t>(aStep.first_) * 2;
      percent_ = 0;
      spends_ = 1;
      runs_ = gap * 2;
      Burst(std::nullopt);
      world_.Run(milliseconds(gap));
      spends_ = 101;
      Burst(std::nullopt);
      world_.Run(milliseconds(gap));
      Burst(std::nullopt);
      break;
    }
  }
}

struct HistoryCase
{
  const char* name_;   ///< Name.
  std::uint64_t seed_; ///< Seed.
  int histories_;      ///< Number of histories.
  bool hasRules_;      ///< Whether rules change.
  LimitWay way_;       ///< Way to limit.
};

class LimitHistory : public ::testing::TestWithParam<HistoryCase>
{};

/**
 * Guards against tokens over rate*t + burst in any window, whatever is lost, late, repeated,
 * paused, killed, cut off or replaced.
 */
TEST_P(LimitHistory, StaysWithinRateAndBurst)
{
  const HistoryCase& parameters = GetParam();
  rc::detail::TestParams params;
  params.seed = parameters.seed_;
  params.maxSuccess = parameters.histories_;
  params.maxSize = 60;
  std::uint64_t granted = 0;
  std::uint64_t submitted = 0;
  const auto result = rc::detail::checkTestable(
    [&] {
      const auto count = *rc::gen::inRange<std::size_t>(10, 42);
      const auto steps =
        *rc::gen::container<std::vector<Step>>(count, AnyStep(parameters.hasRules_));
      WorldOptions options;
      options.hosts_ = kHosts;
      options.way_ = parameters.way_;
      options.clockError_ = 0.02;
      options.seed_ = *rc::gen::arbitrary<std::uint32_t>();
      options.tick_ = milliseconds(50);
      options.rule_ = BucketRule{ 1000, *rc::gen::element<TokenCount>(1000, 2000, 6000) };
      // With a short lease more chunks lapse while their holders are paused or cut off.
      options.settings_.lease_ = milliseconds(*rc::gen::element(1000, 1500, 5000));
      History history(options);
      LimitWorld& world = history.World();
      history.Run(milliseconds(3000));
      for (const Step& step : steps) {
        history.Execute(step);
      }
      history.Run(milliseconds(1000));
      granted += world.Counts().granted_;
      submitted += world.Counts().submitted_;
      RC_ASSERT(world.Overspend() <= 0.0);
    },
    rc::detail::TestMetadata(),
    params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << text.str();
  // Nothing is shown by histories in which hardly a request is admitted.
  EXPECT_GT(granted * 20, submitted) << granted << " of " << submitted;
}

INSTANTIATE_TEST_SUITE_P(
  Seeds,
  LimitHistory,
  ::testing::Values(HistoryCase{ "Chunks1", 11, 3000, false, LimitWay::Chunks },
                    HistoryCase{ "Chunks2", 12, 3000, false, LimitWay::Chunks },
                    HistoryCase{ "Rules1", 13, 2000, true, LimitWay::Chunks },
                    HistoryCase{ "Rules2", 14, 2000, true, LimitWay::Chunks },
                    HistoryCase{ "Single", 15, 1000, false, LimitWay::Single }),
  [](const auto& aInfo) { return std::string(aInfo.param.name_); });

} // namespace
} // namespace laburnumweir::testing
