/** @file once_history_test.cpp Random histories of faults against "at most once, and told truly".
 */
#include "once/once_world.h"

#include <gtest/gtest.h>
#include <ostream>
#include <rapidcheck.h>
#include <sstream>
#include <tuple>

namespace laburnumweir::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Kind of a step of a history. */
enum class StepKind : std::uint8_t
{
  Call,
  CallTwice,
  Run,
  Wait,
  Restart,
  Pause,
  Move,
  Outage,
  Faults
};

/** A step of a history; what the numbers mean depends on the kind. */
struct Step
{
  StepKind kind_ = StepKind::Run; ///< Kind.
  std::size_t host_ = 0;          ///< Host.
  int first_ = 0;                 ///< 0 to 999.
  int second_ = 0;                ///< 0 to 999.
};

std::ostream&
operator<<(std::ostream& aStream, const Step& aStep)
{
  static constexpr const char* kNames[] = { "call",  "call-twice", "run",    "wait",  "restart",
                                            "pause", "move",       "outage", "faults" };
  return aStream << kNames[static_cast<std::size_t>(aStep.kind_)] << '(' << aStep.host_ << ", "
                 << aStep.first_ << ", " << aStep.second_ << ')';
}

constexpr std::size_t kHosts = 3;
constexpr std::size_t kKeys = 4;

rc::Gen<Step>
AnyStep()
{
  auto kinds = rc::gen::weightedElement<StepKind>({ { 10, StepKind::Call },
                                                    { 4, StepKind::CallTwice },
                                                    { 6, StepKind::Run },
                                                    { 2, StepKind::Wait },
                                                    { 2, StepKind::Restart },
                                                    { 2, StepKind::Pause },
                                                    { 3, StepKind::Move },
                                                    { 1, StepKind::Outage },
                                                    { 3, StepKind::Faults } });
  const auto number = rc::gen::inRange(0, 1000);
  return rc::gen::map(
    rc::gen::tuple(kinds, rc::gen::inRange<std::size_t>(0, kHosts), number, number),
    [](const std::tuple<StepKind, std::size_t, int, int>& aParts) {
      return Step{
        std::get<0>(aParts), std::get<1>(aParts), std::get<2>(aParts), std::get<3>(aParts)
      };
    });
}

RunEnd
EndOf(int aNumber)
{
  return aNumber % 10 < 6 ? RunEnd::Answered : aNumber % 10 < 8 ? RunEnd::Lost : RunEnd::Refused;
}

void
Execute(OnceWorld& aWorld, const Step& aStep)
{
  const std::size_t key = static_cast<std::size_t>(aStep.first_) % kKeys;
  // One call in ten shows the key with another body; some think longer than the permit is valid.
  const int request = aStep.second_ % 10 == 9 ? 1 : 0;
  const Duration thinks = milliseconds(aStep.second_ % 5 == 0 ? aStep.second_ * 4 : 5);
  switch (aStep.kind_) {
    case StepKind::Call:
      aWorld.Call(aStep.host_, key, request, thinks, EndOf(aStep.first_));
      aWorld.Run(milliseconds(aStep.second_ % 60));
      break;
    case StepKind::CallTwice:
      aWorld.Call(aStep.host_, key, request, thinks, EndOf(aStep.first_));
      aWorld.Call((aStep.host_ + 1) % kHosts, key, request, milliseconds(5), RunEnd::Answered);
      aWorld.Run(milliseconds(aStep.second_ % 60));
      break;
    case StepKind::Run:
      aWorld.Run(milliseconds(aStep.first_ * 2));
      break;
    case StepKind::Wait:
      aWorld.Run(milliseconds(aStep.first_ * 12));
      break;
    case StepKind::Restart:
      aWorld.Restart(aStep.host_);
      break;
    case StepKind::Pause:
      aWorld.Pause(aStep.host_, milliseconds(aStep.first_ * 6));
      break;
    case StepKind::Move:
      aWorld.MoveReader(aStep.host_, milliseconds(aStep.first_ * 4));
      break;
    case StepKind::Outage:
      aWorld.LogOutage(milliseconds(aStep.first_ * 4));
      break;
    case StepKind::Faults:
      aWorld.SetFaults(OnceFaults{ aStep.first_ % 30,
                                   aStep.second_ % 30,
                                   (aStep.first_ + aStep.second_) % 30,
                                   aStep.first_ / 10 % 30,
                                   aStep.second_ / 10 % 30,
                                   aStep.first_ % 50 });
      break;
  }
}

/** Ends all faults and lets what is under way come to its end. */
void
Heal(OnceWorld& aWorld)
{
  aWorld.SetFaults(OnceFaults());
  aWorld.LogOutage(Duration::zero());
  aWorld.MoveReader(0, Duration::zero());
  aWorld.Run(seconds(12));
}

/** Checks that a key is not blocked when every call for it was told "not run". */
std::string
CheckFreeKeys(OnceWorld& aWorld)
{
  for (std::size_t key = 0; key < kKeys; ++key) {
    bool isFree = !aWorld.WasInterrupted();
    for (const OnceCall& call : aWorld.Calls()) {
      isFree =
        isFree && (call.key_ != key || call.isReleased_ || call.decision_ == OnceDecision::NotRun);
    }
    if (!isFree) {
      continue;
    }
    aWorld.Call(1, key, 0, milliseconds(5), RunEnd::Answered);
    aWorld.Run(seconds(3));
    if (aWorld.Calls().back().decision_ != OnceDecision::Permit) {
      const auto& last = aWorld.Calls().back().decision_;
      return "key " + std::to_string(key) + " is blocked although nothing ran: " +
             (last ? std::to_string(static_cast<int>(*last)) : "no answer");
    }
  }
  return aWorld.Check();
}

struct HistoryCase
{
  const char* name_;   ///< Name.
  std::uint64_t seed_; ///< Seed.
  int histories_;      ///< Number of histories.
  seconds window_;     ///< Dedupe window.
};

class OnceHistory : public ::testing::TestWithParam<HistoryCase>
{};

/**
 * Guards against a booking that runs twice within the window, an answer that is not true, and a
 * call without an answer.
 */
TEST_P(OnceHistory, RunsAtMostOnceAndTellsTruly)
{
  const HistoryCase& parameters = GetParam();
  rc::detail::TestParams params;
  params.seed = parameters.seed_;
  params.maxSuccess = parameters.histories_;
  std::size_t runs = 0;
  std::size_t calls = 0;
  std::map<OnceDecision, int> decisions;
  const auto result = rc::detail::checkTestable(
    [&] {
      const auto count = *rc::gen::inRange<std::size_t>(10, 40);
      const auto steps = *rc::gen::container<std::vector<Step>>(count, AnyStep());
      OnceSettings settings;
      settings.window_ = parameters.window_;
      OnceWorld world(kHosts, settings, *rc::gen::arbitrary<std::uint32_t>());
      world.Run(milliseconds(200));
      for (const Step& step : steps) {
        Execute(world, step);
      }
      Heal(world);
      std::string wrong = world.Check();
      if (wrong.empty()) {
        wrong = CheckFreeKeys(world);
      }
      runs += world.Runs().size();
      calls += world.Calls().size();
      for (const OnceCall& call : world.Calls()) {
        if (call.decision_) {
          ++decisions[*call.decision_];
        }
      }
      RC_ASSERT(wrong == "");
    },
    rc::detail::TestMetadata(),
    params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << text.str();
  // Histories in which hardly anything runs or is replayed would show nothing.
  EXPECT_GT(runs * 10, calls);
  EXPECT_GT(decisions[OnceDecision::Replay], parameters.histories_ / 10);
  EXPECT_GT(decisions[OnceDecision::Unknown], parameters.histories_ / 10);
  EXPECT_GT(decisions[OnceDecision::OtherRequest], parameters.histories_ / 100);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         OnceHistory,
                         ::testing::Values(HistoryCase{ "Window12s", 21, 4000, seconds(12) },
                                           HistoryCase{ "Window8s", 22, 3000, seconds(8) },
                                           HistoryCase{ "Window1h", 23, 3000, seconds(3600) }),
                         [](const auto& aInfo) { return std::string(aInfo.param.name_); });

} // namespace
} // namespace laburnumweir::testing
