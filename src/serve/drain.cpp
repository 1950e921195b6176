/** @file drain.cpp Graceful shutdown of a host. */
#include "serve/drain.h"

#include "logging/logging_func.h"
#include "serve/drain_sm.h"

namespace laburnumweir {

namespace {

using namespace std::chrono_literals;

// The balancer in front needs time to see that the host is not ready and to send requests
// elsewhere.
constexpr Duration kShortestDrain = 1s;
// The leave record needs the log; without it the membership ends by removal.
constexpr Duration kLeaveLimit = 3s;

} // namespace

struct Drain::Machine
{
  detail::DrainSm machine_; ///< State machine.
};

Drain::Drain(const Clock& aClock, Duration aLimit, DrainActions aActions)
  : clock_(aClock)
  , limit_(aLimit)
  , actions_(std::move(aActions))
  , machine_(std::make_unique<Machine>())
{
  machine_->machine_.start();
}

Drain::~Drain() = default;

DrainStage
Drain::Stage() const
{
  return static_cast<DrainStage>(machine_->machine_.current_state()[0]);
}

void
Drain::Ask()
{
  const DrainStage before = Stage();
  wasCut_ = wasCut_ || (before == DrainStage::Draining && !actions_.isIdle_());
  machine_->machine_.process_event(detail::StopAsked());
  Enter(before);
}

void
Drain::Tick()
{
  const DrainStage before = Stage();
  const Duration elapsed = clock_.Now() - since_;
  if (before == DrainStage::Draining) {
    if (elapsed >= kShortestDrain && actions_.isIdle_()) {
      machine_->machine_.process_event(detail::RequestsEnded());
    } else if (elapsed >= limit_) {
      wasCut_ = true;
      machine_->machine_.process_event(detail::LimitPassed());
    }
  } else if (before == DrainStage::Leaving && elapsed >= kLeaveLimit) {
    machine_->machine_.process_event(detail::LimitPassed());
  }
  Enter(before);
}

void
Drain::Enter(DrainStage aBefore)
{
  const DrainStage now = Stage();
  if (now == aBefore) {
    return;
  }
  since_ = clock_.Now();
  switch (now) {
    case DrainStage::Draining:
      LogEvent(LogLevel::Info, "draining");
      actions_.startDrain_();
      break;
    case DrainStage::Leaving:
      LogEvent(LogLevel::Info, "leaving", { { "requests_cut", wasCut_ ? "yes" : "no" } });
      actions_.leave_([this] {
        const DrainStage before = Stage();
        machine_->machine_.process_event(detail::MembershipEnded());
        Enter(before);
      });
      break;
    case DrainStage::Stopped:
      LogEvent(LogLevel::Info, "stopped");
      actions_.stop_();
      break;
    case DrainStage::Serving:
      break;
  }
}

} // namespace laburnumweir
