/** @file gateway_support.h Mocks and a simulated scheduler for tests of the gateway. */
#ifndef LABURNUMWEIR_TESTS_GATEWAY_GATEWAY_SUPPORT_H
#define LABURNUMWEIR_TESTS_GATEWAY_GATEWAY_SUPPORT_H

#include "core/scheduler_base.h"
#include "dispatch/fake_clock.h"
#include "fleet/engine_control_base.h"
#include "fleet/fleet_store_base.h"

#include <gmock/gmock.h>
#include <map>

namespace laburnumweir::testing_support {

/** Scheduler with simulated time. Not thread-safe. */
class FakeScheduler : public Scheduler
{
public:
  explicit FakeScheduler(FakeClock& aClock)
    : clock_(aClock)
  {
  }
  void Post(std::function<void()> aTask) override { After(Duration::zero(), std::move(aTask)); }
  void After(Duration aDelay, std::function<void()> aTask) override
  {
    tasks_.emplace(clock_.Now() + aDelay, std::move(aTask));
  }
  /** Advances the clock and runs the tasks that become due, in the order of their due times. */
  void Run(Duration aTime)
  {
    const auto end = clock_.Now() + aTime;
    while (!tasks_.empty() && tasks_.begin()->first <= end) {
      if (tasks_.begin()->first > clock_.Now()) {
        clock_.Advance(tasks_.begin()->first - clock_.Now());
      }
      const auto task = std::move(tasks_.begin()->second);
      tasks_.erase(tasks_.begin());
      task();
    }
    clock_.Advance(end - clock_.Now());
  }

private:
  FakeClock& clock_;
  std::multimap<TimePoint, std::function<void()>> tasks_; ///< Tasks by due time.
};

class MockStore : public FleetStore
{
public:
  MOCK_METHOD(void, ReadAll, (ChangeStream, ChangesCallback), (override));
  MOCK_METHOD(void,
              ReadChanges,
              (ChangeStream, StorePosition, std::chrono::milliseconds, ChangesCallback),
              (override));
  MOCK_METHOD(void,
              JoinGroup,
              (const HostId&, std::uint64_t, std::chrono::milliseconds, MembershipCallback),
              (override));
  MOCK_METHOD(void, LeaveGroup, (const HostId&, DoneCallback), (override));
  MOCK_METHOD(void, PublishHost, (const HostRecord&, DoneCallback), (override));
  MOCK_METHOD(void, WriteQuarantine, (const QuarantineRecord&, DoneCallback), (override));
  MOCK_METHOD(void, RemoveQuarantine, (std::span<const ContentId>, DoneCallback), (override));
  MOCK_METHOD(void, WriteSoftware, (const SoftwareRecord&, DoneCallback), (override));
  MOCK_METHOD(void, AppendOrigins, (std::span<const StreamOriginRecord>, DoneCallback), (override));
  MOCK_METHOD(void, ReadOrigins, (std::optional<StorePosition>, OriginsCallback), (override));
  MOCK_METHOD(void, ReadHostTopic, (RecordsCallback), (override));
};

class MockEngines : public EngineControl
{
public:
  MOCK_METHOD(void, Send, (const FencedOrder&, OrderCallback), (override));
  MOCK_METHOD(void, RequestReport, (const Endpoint&, ReportCallback), (override));
};

} // namespace laburnumweir::testing_support

#endif
