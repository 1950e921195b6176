/** @file request_sm.h Transition table of a caller's request. */
#ifndef LABURNUMWEIR_CALLER_REQUEST_SM_H
#define LABURNUMWEIR_CALLER_REQUEST_SM_H

// The table has more rows than the default limit of mpl::vector.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#define BOOST_MPL_LIMIT_MAP_SIZE 30

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace laburnumweir::detail {

struct HeadAndBodyRead
{};
struct HandedOver
{};
struct SentUpstream
{};
struct AnswerBegun
{};
struct AnswerEnded
{};
struct AnswerCompleted
{};
struct AnswerFailed
{};
struct CallerLeft
{};

/**
 * Lifecycle of a request. The last three states have no way out, so a second final answer finds no
 * transition and is dropped. The order of the states is that of RequestStage.
 */
struct RequestSmDef : boost::msm::front::state_machine_def<RequestSmDef>
{
  struct Reading : boost::msm::front::state<>
  {};
  struct Admitting : boost::msm::front::state<>
  {};
  struct Queued : boost::msm::front::state<>
  {};
  struct Running : boost::msm::front::state<>
  {};
  struct Streaming : boost::msm::front::state<>
  {};
  struct Done : boost::msm::front::state<>
  {};
  struct Failed : boost::msm::front::state<>
  {};
  struct Cancelled : boost::msm::front::state<>
  {};

  using initial_state = Reading; // NOLINT(readability-identifier-naming)

  template<class Source, class Event, class Target>
  using Row = boost::msm::front::Row<Source, Event, Target>;

  // clang-format off
  struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
    Row<Reading,   HeadAndBodyRead, Admitting>,
    Row<Reading,   AnswerFailed,    Failed>,
    Row<Reading,   CallerLeft,      Cancelled>,
    Row<Admitting, HandedOver,      Queued>,
    Row<Admitting, AnswerFailed,    Failed>,
    Row<Admitting, CallerLeft,      Cancelled>,
    Row<Queued,    SentUpstream,    Running>,
    Row<Queued,    AnswerBegun,     Streaming>,
    Row<Queued,    AnswerCompleted, Done>,
    Row<Queued,    AnswerFailed,    Failed>,
    Row<Queued,    CallerLeft,      Cancelled>,
    Row<Running,   AnswerBegun,     Streaming>,
    Row<Running,   AnswerCompleted, Done>,
    Row<Running,   AnswerFailed,    Failed>,
    Row<Running,   CallerLeft,      Cancelled>,
    Row<Streaming, AnswerEnded,     Done>,
    Row<Streaming, AnswerFailed,    Failed>,
    Row<Streaming, CallerLeft,      Cancelled>
  > {};
  // clang-format on

  template<class Machine, class Event>
  void no_transition(const Event& /*aEvent*/, Machine& /*aMachine*/, int /*aState*/)
  {
  }
};

using RequestSm = boost::msm::back::state_machine<RequestSmDef>;

} // namespace laburnumweir::detail

#endif
