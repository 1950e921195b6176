/** @file peer_sm.h Transition table of the connection to a peer. Include in .cpp files only. */
#ifndef LABURNUMWEIR_PEER_PEER_SM_H
#define LABURNUMWEIR_PEER_PEER_SM_H

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace laburnumweir::detail {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

/** A connection was made. */
struct PipeOpened
{};
/** The connection ended. */
struct PipeClosed
{};
/** An answer arrived. */
struct AnswerArrived
{};
/** No answer came in time. */
struct AnswerMissing
{};

/** Connection to one peer; the states stand in the sequence of PeerState. */
struct PeerMachineDef : msm::front::state_machine_def<PeerMachineDef>
{
  struct Dialing : msm::front::state<>
  {};
  struct Connected : msm::front::state<>
  {};
  struct Silent : msm::front::state<>
  {};

  using initial_state = Dialing; // NOLINT(readability-identifier-naming)

  // clang-format off
  struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
    //  from       event          to
    Row<Dialing,   PipeOpened,    Connected, none, none>,
    Row<Dialing,   PipeClosed,    none,      none, none>,
    Row<Dialing,   AnswerMissing, none,      none, none>,
    Row<Dialing,   AnswerArrived, Connected, none, none>,
    Row<Connected, PipeOpened,    none,      none, none>,
    Row<Connected, AnswerArrived, none,      none, none>,
    Row<Connected, AnswerMissing, Silent,    none, none>,
    Row<Connected, PipeClosed,    Dialing,   none, none>,
    // A silent connection is closed and dialed anew.
    Row<Silent,    PipeClosed,    Dialing,   none, none>,
    Row<Silent,    PipeOpened,    Connected, none, none>,
    Row<Silent,    AnswerArrived, Connected, none, none>,
    Row<Silent,    AnswerMissing, none,      none, none>
  > {};
  // clang-format on
};

using PeerMachine = msm::back::state_machine<PeerMachineDef>;

} // namespace laburnumweir::detail

#endif
