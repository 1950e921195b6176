/** @file drain_sm.h Transition table of a host's shutdown. Include in .cpp files only. */
#ifndef LABURNUMWEIR_SERVE_DRAIN_SM_H
#define LABURNUMWEIR_SERVE_DRAIN_SM_H

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace laburnumweir::detail {

/** The host is asked to end. */
struct StopAsked
{};
/** No request is open and every report is confirmed. */
struct RequestsEnded
{};
/** The membership was ended. */
struct MembershipEnded
{};
/** The time limit has passed, or the host is asked to end a second time. */
struct LimitPassed
{};

/** Shutdown of a host; the order of the states is that of DrainStage. */
struct DrainSmDef : boost::msm::front::state_machine_def<DrainSmDef>
{
  struct Serving : boost::msm::front::state<>
  {};
  struct Draining : boost::msm::front::state<>
  {};
  struct Leaving : boost::msm::front::state<>
  {};
  struct Stopped : boost::msm::front::state<>
  {};

  using initial_state = Serving; // NOLINT(readability-identifier-naming)

  template<class Source, class Event, class Target>
  using Row = boost::msm::front::Row<Source, Event, Target>;

  // clang-format off
  struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
    //  from      event            to
    Row<Serving,  StopAsked,       Draining>,
    // Requests end first: a host that has left may not use its slots and tokens any more.
    Row<Draining, RequestsEnded,   Leaving>,
    Row<Draining, LimitPassed,     Leaving>,
    Row<Draining, StopAsked,       Leaving>,
    Row<Leaving,  MembershipEnded, Stopped>,
    Row<Leaving,  LimitPassed,     Stopped>
  > {};
  // clang-format on

  template<class Machine, class Event>
  void no_transition(const Event& /*aEvent*/, Machine& /*aMachine*/, int /*aState*/)
  {
  }
};

using DrainSm = boost::msm::back::state_machine<DrainSmDef>;

} // namespace laburnumweir::detail

#endif
