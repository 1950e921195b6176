/** @file pipeline_context.h What the requests of the pipeline share. */
#ifndef LABURNUMWEIR_PIPELINE_PIPELINE_CONTEXT_H
#define LABURNUMWEIR_PIPELINE_PIPELINE_CONTEXT_H

#include "caller/request_handler_base.h"
#include "control/explain_log.h"
#include "control/published_state.h"
#include "core/scheduler_base.h"
#include "core/upstream_client_base.h"
#include "dispatch/request_queue.h"
#include "dispatch/retry_policy.h"
#include "metrics/metrics.h"
#include "pipeline/adapter_catalogue.h"
#include "pipeline/engine_gate.h"
#include "pipeline/once_gate.h"
#include "pipeline/token_gate.h"

#include <memory>
#include <string>

namespace laburnumweir {

/** Shared parts of the pipeline; all are used on its strand only, unless they say otherwise. */
struct PipelineContext
{
  HostId self_;                   ///< This host.
  std::uint64_t incarnation_ = 0; ///< Incarnation of this process.
  const Clock& clock_;            ///< Time source.
  Scheduler& scheduler_;          ///< Strand of the pipeline.
  const StatePublisher& state_;   ///< Agreed state.
  TokenGate& tokens_;             ///< Tokens of workspaces.
  OnceGate& once_;                ///< Leave to run once.
  EngineGate& engines_;           ///< Slots of engines.
  RequestQueue& queue_;           ///< Waiting requests.
  RetryPolicy& retries_;          ///< Decides on retries.
  AdapterCatalogue& adapters_;    ///< Known adapters.
  UpstreamClient& engineClient_;  ///< Sends to engines.
  UpstreamClient& serviceClient_; ///< Sends to plain services.
  ExplainLog& explain_;           ///< What was decided.
  Metrics& metrics_;              ///< Counters.
  std::uint64_t lastAttempt_ = 0; ///< Number of the newest attempt at a plain service.
};

/** Who a request runs for and in which class. */
struct Admission
{
  WorkspaceId workspace_; ///< Workspace; empty on open routes.
  ClassRule class_;       ///< Class; with an empty name if there is none.
  int priority_ = 0;      ///< Position of the class in the order in force.
};

/**
 * Decides whether a request may run now: the state is fresh and the key is valid.
 * @param aState newest state.
 * @param aRequest the request.
 * @param aClass class of its route, used if the request names none.
 * @param aNow monotonic time.
 * @param aWallNow wall-clock time, for the class order.
 * @param aAdmission receives who it runs for.
 * @param aError receives the refusal.
 * @return whether it may run.
 */
bool
Admit(const PublishedState& aState,
      const CallerRequest& aRequest,
      const ClassId& aClass,
      TimePoint aNow,
      WallTime aWallNow,
      Admission& aAdmission,
      CallerError& aError);

/**
 * Finds the route of a path: the longest prefix that ends at a path segment.
 * @param aRules the rules.
 * @param aTarget path and query.
 * @return the route, or nullptr.
 */
const RouteRule*
FindRoute(const RuleSet& aRules, std::string_view aTarget);

/** @param aRefusal why tokens were refused. @return the error for the caller. */
CallerError
ErrorOf(const LocalReservation& aRefusal);
/** @param aRefusal why the queue refused. @return the error for the caller. */
CallerError
ErrorOf(QueueRefusal aRefusal);
/** @param aResult how an attempt ended. @return the error for the caller. */
CallerError
ErrorOf(const AttemptResult& aResult);

} // namespace laburnumweir

#endif
