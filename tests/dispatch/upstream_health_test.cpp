/** @file upstream_health_test.cpp Tests of the health of an upstream. */
#include "dispatch/upstream_health.h"

#include "dispatch/fake_clock.h"
#include "table/dispatch_const.h"

#include <gtest/gtest.h>
#include <set>

namespace laburnumweir {
namespace {

using std::chrono::milliseconds;

AttemptResult
Success(const char* aEpoch = "")
{
  AttemptResult result;
  result.run_ = RunState::Ran;
  result.engineEpoch_ = aEpoch;
  return result;
}

AttemptResult
Failure(UpstreamError aError, RunState aRun = RunState::Unknown)
{
  AttemptResult result;
  result.error_ = make_error_code(aError);
  result.run_ = aRun;
  return result;
}

class UpstreamHealthTest : public testing::Test
{
protected:
  /** Brings the upstream into a state on the shortest way. */
  void Reach(HealthState aState)
  {
    const auto repeat = [](std::uint32_t aTimes, auto aAction) {
      for (std::uint32_t i = 0; i < aTimes; ++i) {
        aAction();
      }
    };
    switch (aState) {
      case HealthState::Cold:
        break;
      case HealthState::Warming:
        health_.OnAttempt(Success());
        break;
      case HealthState::Healthy:
        repeat(kWarmSuccesses, [&] { health_.OnAttempt(Success()); });
        break;
      case HealthState::Suspect:
        repeat(kUpstreamSuspectFailures,
               [&] { health_.OnAttempt(Failure(UpstreamError::Silent)); });
        break;
      case HealthState::Down:
        Reach(HealthState::Suspect);
        repeat(kDownProbes, [&] { health_.OnProbe(false); });
        break;
      case HealthState::Leaving:
        health_.SetLeaving(true);
        break;
    }
    ASSERT_EQ(aState, health_.State());
  }

  FakeClock clock_;
  SeededRandom random_{ 1 };
  UpstreamHealth health_{ clock_, random_ };
};

struct HealthCase
{
  HealthState from_;                        ///< State before.
  const char* name_;                        ///< What happens.
  void (*action_)(UpstreamHealth& aHealth); ///< Makes it happen.
  HealthState to_;                          ///< State after.
};

void
PrintTo(const HealthCase& aCase, std::ostream* aStream)
{
  *aStream << NameOf(aCase.from_) << ", " << aCase.name_;
}

class HealthCases
  : public UpstreamHealthTest
  , public testing::WithParamInterface<HealthCase>
{};

/** Guards against a wrong state after an event, and against events that no row was written for. */
TEST_P(HealthCases, ReachTheState)
{
  health_.OnEpoch("epoch-1");
  Reach(GetParam().from_);
  GetParam().action_(health_);
  EXPECT_EQ(GetParam().to_, health_.State());
}

void
Fails(UpstreamHealth& aHealth)
{
  for (std::uint32_t i = 0; i < kUpstreamSuspectFailures; ++i) {
    aHealth.OnAttempt(Failure(UpstreamError::ConnectFailed, RunState::NotRun));
  }
}
void
FailsOnce(UpstreamHealth& aHealth)
{
  aHealth.OnAttempt(Failure(UpstreamError::ConnectionLost));
}
void
Refuses(UpstreamHealth& aHealth)
{
  for (int i = 0; i < 10; ++i) {
    aHealth.OnAttempt(Failure(UpstreamError::Overloaded, RunState::NotRun));
    aHealth.OnAttempt(Failure(UpstreamError::Cancelled));
  }
}
void
ReportsFail(UpstreamHealth& aHealth)
{
  for (std::uint32_t i = 0; i < kUpstreamSuspectReports; ++i) {
    aHealth.OnReport(false);
  }
}
void
ReportIsRead(UpstreamHealth& aHealth)
{
  aHealth.OnReport(true);
}
void
Restarts(UpstreamHealth& aHealth)
{
  aHealth.OnEpoch("epoch-2");
}
void
Slows(UpstreamHealth& aHealth)
{
  aHealth.OnLatencyJump();
}
void
ProbeSucceeds(UpstreamHealth& aHealth)
{
  aHealth.OnProbe(true);
}
void
LateAnswer(UpstreamHealth& aHealth)
{
  aHealth.OnAttempt(Success("epoch-1"));
}
void
Stays(UpstreamHealth& aHealth)
{
  aHealth.SetLeaving(false);
}
void
Leaves(UpstreamHealth& aHealth)
{
  aHealth.SetLeaving(true);
}

INSTANTIATE_TEST_SUITE_P(
  Events,
  HealthCases,
  testing::Values(
    HealthCase{ HealthState::Cold, "answers", LateAnswer, HealthState::Warming },
    HealthCase{ HealthState::Cold, "fails", Fails, HealthState::Suspect },
    HealthCase{ HealthState::Cold, "leaves", Leaves, HealthState::Leaving },
    HealthCase{ HealthState::Warming, "fails once", FailsOnce, HealthState::Warming },
    HealthCase{ HealthState::Warming, "restarts", Restarts, HealthState::Cold },
    HealthCase{ HealthState::Warming, "leaves", Leaves, HealthState::Leaving },
    HealthCase{ HealthState::Healthy, "fails", Fails, HealthState::Suspect },
    HealthCase{ HealthState::Healthy, "refuses", Refuses, HealthState::Healthy },
    HealthCase{ HealthState::Healthy, "reports fail", ReportsFail, HealthState::Suspect },
    HealthCase{ HealthState::Healthy, "restarts", Restarts, HealthState::Cold },
    HealthCase{ HealthState::Healthy, "slows", Slows, HealthState::Cold },
    HealthCase{ HealthState::Healthy, "leaves", Leaves, HealthState::Leaving },
    HealthCase{ HealthState::Healthy, "stays", Stays, HealthState::Healthy },
    HealthCase{ HealthState::Suspect, "probe succeeds", ProbeSucceeds, HealthState::Warming },
    HealthCase{ HealthState::Suspect, "late answer", LateAnswer, HealthState::Suspect },
    HealthCase{ HealthState::Suspect, "report is read", ReportIsRead, HealthState::Suspect },
    HealthCase{ HealthState::Suspect, "restarts", Restarts, HealthState::Cold },
    HealthCase{ HealthState::Suspect, "leaves", Leaves, HealthState::Leaving },
    HealthCase{ HealthState::Down, "probe succeeds", ProbeSucceeds, HealthState::Cold },
    HealthCase{ HealthState::Down, "report is read", ReportIsRead, HealthState::Down },
    HealthCase{ HealthState::Down, "late answer", LateAnswer, HealthState::Down },
    HealthCase{ HealthState::Down, "leaves", Leaves, HealthState::Leaving },
    HealthCase{ HealthState::Leaving, "stays", Stays, HealthState::Cold },
    HealthCase{ HealthState::Leaving, "answers", LateAnswer, HealthState::Leaving },
    HealthCase{ HealthState::Leaving, "fails", Fails, HealthState::Leaving },
    HealthCase{ HealthState::Leaving, "restarts", Restarts, HealthState::Leaving }));

/** Guards against new work for an upstream that fails or leaves. */
TEST_F(UpstreamHealthTest, FailingAndLeavingUpstreamsTakeNoNewWork)
{
  EXPECT_TRUE(health_.TakesNewWork());
  Reach(HealthState::Suspect);
  EXPECT_FALSE(health_.TakesNewWork());
  health_.SetLeaving(true);
  EXPECT_FALSE(health_.TakesNewWork());
}

/** Guards against probes of all hosts that come at one moment, or that hammer a dead upstream. */
TEST_F(UpstreamHealthTest, ProbesHaveJitterAndBecomeRarer)
{
  EXPECT_FALSE(health_.TakeProbe());
  Reach(HealthState::Suspect);
  std::set<Duration> gaps;
  Duration last{};
  Duration gap{};
  for (int i = 0; i < 10000; ++i) {
    clock_.Advance(milliseconds(5));
    gap += milliseconds(5);
    if (health_.TakeProbe()) {
      health_.OnProbe(false);
      gaps.insert(gap);
      last = gap;
      gap = Duration{};
    }
  }
  EXPECT_GE(gaps.size(), 5U);
  EXPECT_GE(last, kProbeIntervalMax / 2);
  EXPECT_LE(last, kProbeIntervalMax * 3 / 2 + milliseconds(5));
}

} // namespace
} // namespace laburnumweir
