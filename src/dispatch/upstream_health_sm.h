/** @file upstream_health_sm.h Transition table of an upstream's health; included by one source. */
#ifndef LABURNUMWEIR_DISPATCH_UPSTREAM_HEALTH_SM_H
#define LABURNUMWEIR_DISPATCH_UPSTREAM_HEALTH_SM_H

#include "dispatch/upstream_health.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace laburnumweir::detail {

struct Answered // An attempt or probe succeeded.
{};
struct Warmed // It has answered often enough under load.
{};
struct FailedOften // Several successive attempts or reports failed.
{};
struct Unreachable // Several successive probes failed.
{};
struct Restarted // A new epoch, or a latency jump.
{};
struct LeaveOrdered // A rule says that it leaves.
{};
struct LeaveCancelled // The rule is gone.
{};

struct UpstreamHealthDef : boost::msm::front::state_machine_def<UpstreamHealthDef>
{
  template<HealthState Value>
  struct StateOf : boost::msm::front::state<>
  {
    template<typename Event, typename Machine>
    void on_entry(const Event& /*aEvent*/, Machine& aMachine)
    {
      aMachine.state_ = Value;
    }
  };
  using Cold = StateOf<HealthState::Cold>;
  using Warming = StateOf<HealthState::Warming>;
  using Healthy = StateOf<HealthState::Healthy>;
  using Suspect = StateOf<HealthState::Suspect>;
  using Down = StateOf<HealthState::Down>;
  using Leaving = StateOf<HealthState::Leaving>;
  using initial_state = Cold; // NOLINT(readability-identifier-naming)

  template<typename From, typename Event, typename To>
  using Row = boost::msm::front::Row<From, Event, To>;

  // clang-format off
  struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
    //  from      event           to
    Row<Cold,    Answered,       Warming>,
    Row<Cold,    FailedOften,    Suspect>,
    Row<Cold,    LeaveOrdered,   Leaving>,
    Row<Warming, Warmed,         Healthy>,
    Row<Warming, FailedOften,    Suspect>,
    Row<Warming, Restarted,      Cold>,
    Row<Warming, LeaveOrdered,   Leaving>,
    Row<Healthy, FailedOften,    Suspect>,
    Row<Healthy, Restarted,      Cold>,
    Row<Healthy, LeaveOrdered,   Leaving>,
    Row<Suspect, Answered,       Warming>,
    Row<Suspect, Unreachable,    Down>,
    Row<Suspect, Restarted,      Cold>,
    Row<Suspect, LeaveOrdered,   Leaving>,
    Row<Down,    Answered,       Cold>,
    Row<Down,    Restarted,      Cold>,
    Row<Down,    LeaveOrdered,   Leaving>,
    Row<Leaving, LeaveCancelled, Cold>
  >
  {
  };
  // clang-format on

  /** An event without a row leaves the state as it is. */
  template<typename Machine, typename Event>
  void no_transition(const Event& /*aEvent*/, Machine& /*aMachine*/, int /*aState*/)
  {
  }

  HealthState state_ = HealthState::Cold; ///< State that was entered last.
};

using UpstreamHealthMachine = boost::msm::back::state_machine<UpstreamHealthDef>;

} // namespace laburnumweir::detail

#endif
