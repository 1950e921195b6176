/** @file service_request.h A request to a plain service on its way through the host. */
#ifndef LABURNUMWEIR_PIPELINE_SERVICE_REQUEST_H
#define LABURNUMWEIR_PIPELINE_SERVICE_REQUEST_H

#include "pipeline/pipeline_context.h"
#include "pipeline/service_balancer.h"

#include <memory>
#include <set>

namespace laburnumweir {

/**
 * A request to a plain service: admission, one token, for never-repeat routes a permit, attempts,
 * answer. Runs on the strand of the pipeline.
 */
class ServiceRequest : public std::enable_shared_from_this<ServiceRequest>
{
public:
  /**
   * @param aContext shared parts; must outlive the request.
   * @param aBalancer chooses the upstream; must outlive the request.
   * @param aRequest what the caller asked.
   * @param aSink receives the answer.
   */
  ServiceRequest(PipelineContext& aContext,
                 ServiceBalancer& aBalancer,
                 CallerRequest aRequest,
                 std::shared_ptr<ResponseSink> aSink);

  /** Starts with admission. */
  void Start();
  /** The caller went away. A request that may not be repeated runs on to its end. */
  void Cancel();

private:
  class Relay;

  bool FindRouteRule();
  bool TestNeverRepeat();
  void OnTokens(const LocalReservation& aReservation);
  void AskForPermit();
  void OnVerdict(OnceVerdict aVerdict);
  void Replay(OnceVerdict aVerdict);
  void Send();
  bool CheckBeforeSend();
  void OnHead(int aStatus, HeaderList aHeaders);
  void OnData(std::string aBytes, std::function<void()> aContinue);
  void OnEnd(const AttemptResult& aResult);
  void StoreOutcome();
  void Succeed();
  void RetryOrFail(const AttemptResult& aResult);
  void GivePermitBack();
  void Refuse(int aStatus, std::string aCode, std::string aMessage);
  void Fail(CallerError aError);
  void Finish();
  void Explain(std::string aStep);

  PipelineContext& context_;           ///< Shared parts.
  ServiceBalancer& balancer_;          ///< Chooses the upstream.
  CallerRequest request_;              ///< What the caller asked.
  std::shared_ptr<ResponseSink> sink_; ///< Receives the answer.
  RouteRule route_;                    ///< Route of its path.
  Admission admission_;                ///< Who it runs for.
  ReservationId reservation_ = 0;      ///< Reserved token.
  bool isReserved_ = false;            ///< Whether the reservation was granted.
  bool isOnce_ = false;                ///< Needs a permit.
  OnceKey onceKey_;                    ///< Workspace and idempotency key.
  OnceTicket onceTicket_ = 0;          ///< Request for a permit without a verdict.
  OncePermit permit_;                  ///< Leave to send it once.
  UpstreamRule upstream_;              ///< Upstream of the current attempt.
  std::shared_ptr<Attempt> attempt_;   ///< Current attempt.
  std::uint32_t attempts_ = 0;         ///< Attempts so far.
  std::set<UpstreamId> avoid_;         ///< Upstreams that failed it.
  TimePoint startedAt_;                ///< When the request arrived.
  bool mayHaveRun_ = false;            ///< An attempt may have run.
  bool hasBegun_ = false;              ///< A part of the answer went to the caller.
  bool isDone_ = false;                ///< The caller has its answer or went away.
  int status_ = 0;                     ///< Status of the answer.
  HeaderList headers_;                 ///< Fields of the answer.
  std::string body_;                   ///< Body, if it is kept for a later second try.
};

} // namespace laburnumweir

#endif
