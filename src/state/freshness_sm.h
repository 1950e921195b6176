/** @file freshness_sm.h Transition table of a host's freshness. Included by one source file only,
 * because Boost.MSM takes seconds to compile. */
#ifndef LABURNUMWEIR_STATE_FRESHNESS_SM_H
#define LABURNUMWEIR_STATE_FRESHNESS_SM_H

#include "state/freshness_tracker.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace laburnumweir::freshness_sm {

/** The evidence from the log is new enough. */
struct LogEvidence
{};
/** Only the agreement of a majority is new enough. */
struct MajorityEvidence
{};
/** No evidence is new enough. */
struct Expired
{};
/** The state was dropped. */
struct StateLost
{};
/** The folded state does not have this host as a member. */
struct MembershipLost
{};

/** A state that notes its mode in the machine. */
template<FreshnessMode kMode>
struct ModeState : public boost::msm::front::state<>
{
  template<typename Event, typename Fsm>
  void on_entry(const Event& /*aEvent*/, Fsm& aFsm)
  {
    aFsm.mode_ = kMode;
  }
};

struct NoState : public ModeState<FreshnessMode::NoState>
{};
struct NotAMember : public ModeState<FreshnessMode::NotAMember>
{};
struct Fresh : public ModeState<FreshnessMode::Fresh>
{};
struct OutageMode : public ModeState<FreshnessMode::OutageMode>
{};
struct Lapsed : public ModeState<FreshnessMode::Lapsed>
{};

/** Transitions between the modes. */
struct FreshnessDef : public boost::msm::front::state_machine_def<FreshnessDef>
{
  using initial_state = NoState; // NOLINT(readability-identifier-naming)

  FreshnessMode mode_ = FreshnessMode::NoState; ///< Mode of the present state.

  template<typename Source, typename Event, typename Target>
  using Row = boost::msm::front::Row<Source, Event, Target>;

  // clang-format off
  struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
    Row<NoState,    MembershipLost,   NotAMember>,
    Row<NoState,    LogEvidence,      Fresh>,
    Row<NoState,    Expired,          Lapsed>,
    Row<NotAMember, LogEvidence,      Fresh>,
    Row<NotAMember, MajorityEvidence, OutageMode>,
    Row<NotAMember, Expired,          Lapsed>,
    Row<NotAMember, StateLost,        NoState>,
    Row<Fresh,      MajorityEvidence, OutageMode>,
    Row<Fresh,      Expired,          Lapsed>,
    Row<Fresh,      MembershipLost,   NotAMember>,
    Row<Fresh,      StateLost,        NoState>,
    Row<OutageMode, LogEvidence,      Fresh>,
    Row<OutageMode, Expired,          Lapsed>,
    Row<OutageMode, MembershipLost,   NotAMember>,
    Row<OutageMode, StateLost,        NoState>,
    Row<Lapsed,     LogEvidence,      Fresh>,
    Row<Lapsed,     MajorityEvidence, OutageMode>,
    Row<Lapsed,     MembershipLost,   NotAMember>,
    Row<Lapsed,     StateLost,        NoState>
  > {};
  // clang-format on

  /** An event that repeats the present state changes nothing. */
  template<typename Fsm, typename Event>
  void no_transition(const Event& /*aEvent*/, Fsm& /*aFsm*/, int /*aState*/)
  {
  }
};

using FreshnessMachine = boost::msm::back::state_machine<FreshnessDef>;

} // namespace laburnumweir::freshness_sm

#endif
