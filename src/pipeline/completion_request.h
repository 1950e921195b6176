/** @file completion_request.h A completion on its way through the host. */
#ifndef LABURNUMWEIR_PIPELINE_COMPLETION_REQUEST_H
#define LABURNUMWEIR_PIPELINE_COMPLETION_REQUEST_H

#include "pipeline/pipeline_context.h"

#include <memory>
#include <set>

namespace laburnumweir {

/**
 * A completion: admission, tokens, queue, slot of an engine, attempts, answer. Runs on the strand
 * of the pipeline; the object lives as long as a callback or the queue refers to it.
 */
class CompletionRequest : public std::enable_shared_from_this<CompletionRequest>
{
public:
  using BusyCallback = std::function<void(QueueEntry, Duration)>;
  using PushCallback = std::function<void(std::shared_ptr<CompletionRequest>)>;

  /**
   * @param aContext shared parts; must outlive the request.
   * @param aRequest what the caller asked.
   * @param aSink receives the answer.
   * @param aPush hands the request to the queue once it has its tokens.
   */
  CompletionRequest(PipelineContext& aContext,
                    CallerRequest aRequest,
                    std::shared_ptr<ResponseSink> aSink,
                    PushCallback aPush);

  /** Starts with admission. */
  void Start();
  /** @return the entry for the queue. */
  QueueEntry MakeQueueEntry() const;
  /**
   * The queue has its turn: looks for an engine.
   * @param aEntry entry as popped, to put it back if all engines are busy.
   * @param aBusy called with the entry and the time to wait if all engines are busy.
   * @param aSettled called once an engine was found or the request ended.
   */
  void FindEngine(const QueueEntry& aEntry,
                  const BusyCallback& aBusy,
                  const std::function<void()>& aSettled);
  /** The queue refused the request. @param aRefusal why. */
  void Refuse(QueueRefusal aRefusal);
  /** The caller went away. */
  void Cancel();
  /** @return ticket in the queue, 0 if it is not queued. */
  QueueTicket Ticket() const { return ticket_; }
  /** Notes that the request is queued. @param aTicket its ticket; 0 = no longer. */
  void SetTicket(QueueTicket aTicket) { ticket_ = aTicket; }

private:
  class Relay;

  void OnAdapter(std::error_code aError, const AdapterInfo& aInfo);
  void OnTokens(const LocalReservation& aReservation);
  void OnGrant(EngineGrant aGrant);
  void Send();
  void OnHead(int aStatus, HeaderList aHeaders);
  void OnData(std::string aBytes, std::function<void()> aContinue);
  void OnEnd(const AttemptResult& aResult);
  void Succeed(const AttemptResult& aResult);
  void RetryOrFail(const AttemptResult& aResult);
  void Fail(CallerError aError);
  void Finish();
  EngineFeedback FeedbackOf(const AttemptResult& aResult) const;
  void Explain(std::string aStep);
  HeaderList AnswerHeaders() const;
  RunState WorstRun() const { return mayHaveRun_ ? RunState::Unknown : RunState::NotRun; }

  PipelineContext& context_;           ///< Shared parts.
  CallerRequest request_;              ///< What the caller asked.
  std::shared_ptr<ResponseSink> sink_; ///< Receives the answer.
  PushCallback push_;                  ///< Hands the request to the queue.
  Admission admission_;                ///< Who it runs for.
  std::string model_;                  ///< Base model of the adapter.
  ReservationId reservation_ = 0;      ///< Reserved tokens.
  bool isReserved_ = false;            ///< Whether the reservation was granted.
  QueueTicket ticket_ = 0;             ///< Ticket in the queue.
  TimePoint startedAt_;                ///< When the request arrived.
  TimePoint sentAt_;                   ///< When the current attempt was sent.
  TimePoint firstByteAt_;              ///< First byte of the current attempt.
  EngineGrant grant_;                  ///< Slot of the current attempt.
  std::shared_ptr<Attempt> attempt_;   ///< Current attempt.
  std::uint32_t attempts_ = 0;         ///< Attempts so far.
  std::set<UpstreamId> avoid_;         ///< Engines that failed it.
  TokenCount spent_ = 0;               ///< Tokens spent by all attempts.
  bool mayHaveRun_ = false;            ///< An attempt may have run.
  bool hasBegun_ = false;              ///< A part of the answer went to the caller.
  bool isDone_ = false;                ///< The caller has its answer or went away.
  int status_ = 0;                     ///< Status of the engine's answer.
  HeaderList headers_;                 ///< Fields of the engine's answer.
  std::string body_;                   ///< Whole answer, if it is not streamed.
};

} // namespace laburnumweir

#endif
