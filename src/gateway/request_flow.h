/** @file request_flow.h Forwarding of one admitted request and its answer. */
#ifndef LABURNUMWEIR_GATEWAY_REQUEST_FLOW_H
#define LABURNUMWEIR_GATEWAY_REQUEST_FLOW_H

#include "fleet/engine_orders.h"
#include "fleet/event_cutter.h"
#include "fleet/fleet_state.h"
#include "fleet/quarantine.h"
#include "fleet/quota_share.h"
#include "fleet/retry_share.h"
#include "fleet/wait_queue.h"
#include "gateway/caller_session.h"
#include "gateway/gateway_settings.h"
#include "gateway/gossip_message.h"
#include "gateway/message_codec_base.h"
#include "gateway/request_memory.h"
#include "gateway/slot_source_base.h"
#include "gateway/stream_origin_base.h"
#include "gateway/upstream_link.h"
#include "metrics/metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace laburnumweir {

namespace detail {

/** @return a duration in whole milliseconds, for log lines. */
inline std::int64_t
Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

} // namespace detail

class RequestFlow;

/** Services that all requests of a host share. All of them must outlive every RequestFlow. */
struct FlowContext
{
  boost::asio::io_context& context_;
  const Clock& clock_;
  const MessageCodec& codec_;
  FleetState& fleet_;      ///< Routes, workspaces, adapters and upstreams.
  QuotaShare& quota_;      ///< This host's share of the workspaces' quotas.
  RetryShare& retries_;    ///< This host's share of the retry budget.
  WaitQueue& queue_;       ///< Order of the requests that wait for a free slot.
  Quarantine& quarantine_; ///< Requests that crash upstreams.
  SlotSource& slots_;      ///< Slots that are assigned to this host.
  StreamOrigins& origins_; ///< What began the streams that callers resume.
  UpstreamLink& link_;
  Metrics& metrics_;
  const GatewayBounds& bounds_; ///< Limits that hold over all hosts; may change on a reload.
  /** Asks an engine to load the model or adapter that a request needs. */
  std::function<void(const UpstreamId&, const LoadRequest&)> requestLoad_;
  /** Requests a permit of an upstream that limits its requests. @return whether there is one now.
   */
  std::function<bool(const UpstreamId&)> requestPermit_;
  /** Called when a request that uses an adapter is sent to an engine. */
  std::function<void(const AdapterUse&)> onUseStarted_;
  /** Called when an attempt with an adapter has ended, whatever its result. */
  std::function<void(const AdapterUse&)> onUseEnded_;
  /** Called when an attempt has ended, so that a slot at an upstream may be free. */
  std::function<void()> onSlotFree_;
  /** Called when a request was queued, with its ticket in the queue. */
  std::function<void(WaitTicket, const std::shared_ptr<RequestFlow>&)> onQueued_;
  /** Called for each attempt that began to run for a workspace: with the first event of a stream,
   * or the head of an answer. May be empty. */
  std::function<void(const WorkspaceId&)> onBegun_ = nullptr;
  /** Account of the bytes of requests; may be empty. */
  std::shared_ptr<RequestMemory> memory_ = nullptr;
};

/** A request that passed the checks of route, key and quota. */
struct AdmittedRequest
{
  HttpRequest message_;
  RequestFacts facts_;                       ///< Values of its header fields.
  std::shared_ptr<const RouteTable> routes_; ///< Owns route_ and workspace_.
  const Route* route_ = nullptr;             ///< Never nullptr in a RequestFlow.
  const Workspace* workspace_ = nullptr;     ///< nullptr if no key is required.
  ServiceName service_;                      ///< Service that was chosen among those of the route.
  TokenCount tokens_ = 0; ///< Charged to the workspace; returned if the request did not run.
  TimePoint arrived_;     ///< When its head and body had been read completely.
};

/** One attempt of a request at an upstream. */
struct UpstreamAttempt
{
  UpstreamId upstream_;
  Endpoint endpoint_;                ///< Address of upstream_.
  std::int64_t startedAt_ = 0;       ///< Start time of its process, Unix ms.
  SoftwareVersion software_;         ///< Software of upstream_, by its entry.
  std::int64_t demandedVersion_ = 0; ///< Adapter version that it demands; 0 = any.
  TimePoint sent_;                   ///< When it started.
  bool hasSent_ = false;             ///< Bytes of it may have reached upstream_.
  std::optional<SlotGrant> slot_;    ///< Assigned slot that it uses; none if it needs none.
  bool isCounted_ = false;           ///< It was counted as begun.
};

/**
 * Queues a request until an upstream has a free slot, sends it, checks the answer and forwards it
 * to the caller. A request that is not repeatable is sent again only if it is certain that no
 * upstream has run it. An attempt of a repeatable request that is silent goes on until another
 * upstream has begun to answer. Not thread-safe.
 */
class RequestFlow
  : public CallHandler
  , public std::enable_shared_from_this<RequestFlow>
{
public:
  RequestFlow(FlowContext& aContext,
              AdmittedRequest aRequest,
              std::shared_ptr<AnswerStream> aAnswer);

  /** Sends the request, or queues or refuses it if no upstream has a free slot. */
  void Start();
  /**
   * Tries to send a queued request.
   * @return true if the request was sent, refused or had ended; false if it still waits for a slot.
   */
  bool TryStart();
  /** Refuses a queued request that cannot start before the caller's deadline. */
  void RefuseWaiting();

  void OnSending() override;
  HeadAction OnHead(unsigned aStatus,
                    std::string_view aReason,
                    const boost::beast::http::fields& aFields,
                    std::optional<std::uint64_t> aLength) override;
  bool OnBody(std::string_view aBytes) override;
  void OnEnd(CallEnd aEnd) override;

private:
  enum class AnswerClass : std::uint8_t
  {
    None,   ///< No answer head was received.
    Valid,  ///< Signed answer with a 2xx status; may be forwarded.
    NotRun, ///< The upstream reports that it did not run the request.
    Error,  ///< Signed answer with another status; may be forwarded.
    Invalid ///< Unsigned, for another request, content-encoded or corrupt; must not be forwarded.
  };

  /** The second of two attempts that run at once. */
  class Hedge;

  /** What the head of an answer says. */
  struct AnswerHead
  {
    AnswerFacts facts_;
    AnswerClass class_ = AnswerClass::None;
    bool isForeign_ = false; ///< It belongs to another request.
  };

  /** @return whether an attempt has run or may have run. */
  bool HasRun() const { return !ranAt_.empty(); }
  bool IsStream() const { return admitted_.route_->repeat_ == RepeatRule::Stream; }
  bool MayRepeat() const;
  Duration TimeLeft() const { return deadline_ - context_.clock_.Now(); }
  /** @return the last moment at which an attempt may start, so that its answer is still in time. */
  TimePoint LatestStart() const;
  /** @return time after a release of the adapter in which older versions may still be used. */
  Duration OldVersionPeriod() const;
  /** @return the released versions of the adapter; nullptr if there are none. */
  const ReleaseHistory* Releases() const;
  /** @return whether a version with which an attempt may run was replaced so long ago that the
   * attempt must not begin any more. */
  bool IsVersionTooOld(const UpstreamAttempt& aAttempt) const;
  /** @return whether the caller resumes a stream that another attempt has begun. */
  bool IsResumption() const;
  void OnOrigin(const OriginResult& aResult);
  /** @return whether the attempt may have reached a process that runs other software than the entry
   * that was known when it was sent. */
  bool IsSoftwareUncertain() const;
  /** Records what began the stream when its first events go to the caller, for the case that the
   * caller resumes it at another host. */
  void RecordOrigin();
  /** Records whether the answer, which begins now, is within the target latency. */
  void RecordServed();
  void ShareOrigin();
  /** @return see UpstreamTable::PauseEnd(). */
  std::optional<TimePoint> PauseEnd() const;
  std::uint32_t Rank() const;
  /** @return whether the last confirmation of the configuration is too old to trust the key. */
  bool IsConfigTooOld() const;
  /** @return ranAt_ and the upstream of the running attempt, unless that is a hedge. */
  std::set<UpstreamId> UsedUpstreams() const;
  UpstreamChoice ChooseUpstream();
  /** @return whether the next attempt needs an assigned slot. A repeat chooses by itself, since it
   * must avoid upstreams. */
  bool NeedsSlot() const
  {
    return attempts_ == 0 && !origin_ && context_.slots_.IsShared(admitted_.service_);
  }
  /** @return the upstream of an assigned slot, which is kept in slot_; none if there is none. */
  UpstreamChoice ChooseSlot();
  /** @return whether upstreams still run the software that began the stream. */
  bool IsSoftwareServed() const;
  /** @return whether an upstream may take a request that has begun later, though none can now. */
  bool MayStartLater() const;
  /** Sets whether it waits for something else than a slot, also for its place in the queue. */
  void SetBlocked(bool aIsBlocked);
  void Enqueue();
  void LeaveQueue(bool aHasStarted);
  void Send(const UpstreamChoice& aChoice);
  /** Sends a request to the chosen upstream. @param aAttempt is set to the new attempt. */
  std::shared_ptr<UpstreamCall> StartCall(const UpstreamChoice& aChoice,
                                          const std::shared_ptr<CallHandler>& aHandler,
                                          UpstreamAttempt& aAttempt);
  HttpRequest BuildRequest(const Upstream& aUpstream, std::int64_t aVersion) const;
  /** Checks the head of an answer to an attempt, and records what it says of the upstream. */
  AnswerHead ReadHead(const UpstreamAttempt& aAttempt,
                      const UpstreamCall& aCall,
                      unsigned aStatus,
                      const boost::beast::http::fields& aFields);
  void ArmTimer();
  void OnTimer();
  /** @return when the running attempt counts as silent; none while it cannot be silent. */
  std::optional<TimePoint> SilentAt() const;
  /** @return time without an answer after which an attempt counts as silent. */
  Duration FirstByteLimit() const;
  void OnSilence();
  /** @return whether a second attempt may run beside the silent one. */
  bool MayHedge() const;
  /** Starts a second attempt if an upstream and the retry budget allow it now. */
  void TryHedge();
  void OnHedgeSending();
  HeadAction OnHedgeHead(unsigned aStatus,
                         std::string_view aReason,
                         const boost::beast::http::fields& aFields,
                         std::optional<std::uint64_t> aLength);
  void OnHedgeEnd(CallEnd aEnd);
  /** Gives up the hedge, since it was not connected or not answered in time. */
  void OnHedgeTimeout();
  /** Goes on without the hedge, with another attempt if the first one has ended meanwhile. */
  void OnHedgeGone();
  bool OnHedgeBody(std::string_view aBytes);
  /** Ends the silent attempt in favour of the hedge, whose answer has begun, and passes on what the
   * hedge has received of its head. @return what to do with its answer. */
  HeadAction TakeHedge();
  /** Cancels the hedge. @param aHealth health of its upstream. */
  void DropHedge(AttemptHealth aHealth);
  void EndAttempt(AttemptHealth aHealth);
  /** @param aFirstByte time to its first byte; zero if there was none. */
  void EndAttempt(const UpstreamAttempt& aAttempt, AttemptHealth aHealth, Duration aFirstByte);
  /** @return Lost for a stream that was broken off although its framing is complete; else aEnd, or
   * Complete if that is Closed. */
  CallEnd EndOfContent(CallEnd aEnd) const;
  /** Counts an attempt that began to run, once. */
  void CountBegun(UpstreamAttempt& aAttempt);
  /** Records that the answer of the last attempt shows no crash. */
  void RecordBegun();
  /** Records that the last attempt may have crashed its upstream, unless its answer had begun. */
  void RecordCut();
  /** Closes the connection of an attempt whose answer goes on beyond a limit, and ends the attempt.
   */
  void EndCall(AnswerClass aClass);
  void OnNotRun(std::string_view aReason);
  /** Records that an upstream did not run an attempt, and for how long it is not used again. */
  void RecordNotRun(const UpstreamAttempt& aAttempt,
                    const AnswerFacts& aFacts,
                    std::string_view aReason,
                    unsigned aStatus);
  /** Excludes an upstream for a time that doubles with each attempt. */
  void BackOff(const UpstreamId& aUpstream);
  /** @return whether another attempt can deliver the rest of the answer. */
  bool CanContinue();
  /** Sends the request again after an attempt that ended, or waits until that is possible. */
  void Continue();
  /** @param aIsAnswerComplete whether the answer may be forwarded if there is no other attempt. */
  void OnFailed(std::string_view aReason, bool aIsAnswerComplete);
  /** @return whether an upstream is left at which another attempt may run. What has begun may run
   * again at one where it has run. */
  bool HasUpstreamLeft() const;
  /**
   * Decides whether the request is sent again; the retry is taken from the budget when it is sent.
   * If only the budget forbids it, a request whose answer has begun waits for the budget.
   * @param aHasRun whether the failed attempt may have run; if so, it counts towards
   * maxUpstreams_.
   * @return false if too little time, upstreams or budget is left.
   */
  bool MayRetry(bool aHasRun);
  void LogRetry(std::string_view aDenial);
  void ForwardAnswer();
  void OnCallerGone();
  /** Answers a request whose answer has not begun, since the process stops. */
  void OnStopping();
  void Reply(unsigned aStatus, std::string_view aReason, std::optional<Duration> aRetryAfter);
  void Finish(unsigned aStatus, std::string_view aReason);
  Duration RetryDelay() const;

  FlowContext& context_;
  AdmittedRequest admitted_;
  std::shared_ptr<AnswerStream> answer_;       ///< Empty once the request ended or the caller left.
  boost::asio::steady_timer timer_;            ///< Expires at the next time limit; see ArmTimer().
  TimePoint deadline_;                         ///< When the caller stops waiting.
  RequestContents contents_;                   ///< What it may have in common with other requests.
  std::optional<MemoryCharge> contentsCharge_; ///< Of contents_; none without an account.
  std::shared_ptr<UpstreamCall> call_;         ///< Running attempt; empty if none.
  UpstreamAttempt attempt_;                    ///< Last attempt, except a hedge.
  std::shared_ptr<Hedge> hedge_;               ///< Second running attempt; empty if none.
  std::optional<StreamOrigin> origin_; ///< What began the stream; none before its first event.
  bool isFindingOrigin_ = false; ///< The caller resumes a stream whose origin is not known yet.
  std::optional<TimePoint> firstByte_; ///< When the answer head of the last attempt was received.
  TimePoint lastByte_;                 ///< When bytes of the answer were last received.
  TimePoint lastEvent_; ///< When the head or the last complete event of the answer was received.
  Duration longestPause_{};     ///< Longest time between two reads of the body.
  std::set<Endpoint> sentTo_;   ///< Addresses to which the request was sent.
  std::set<UpstreamId> failed_; ///< Upstreams at which an attempt failed; not used again.
  std::map<UpstreamId, TimePoint> refusedUntil_; ///< End of the backoff after a refusal.
  std::set<UpstreamId> usedUpstreams_;           ///< Result of UsedUpstreams() at the last choice.
  std::set<UpstreamId> excluded_;     ///< failed_ and the refusing upstreams still in backoff.
  std::set<UpstreamId> loadTimedOut_; ///< Engines that did not load the adapter in time.
  std::optional<WaitTicket> ticket_;  ///< Ticket in the queue; empty if not queued.
  bool isBlocked_ = false; ///< It waits for a load or the end of a pause, not for a slot.
  std::optional<UpstreamId> loadingEngine_; ///< Engine that has been requested to load the adapter.
  TimePoint loadRequestedAt_;               ///< When the load was first requested there.
  TimePoint loadLastRequestedAt_;           ///< When the load was last requested there.
  std::set<UpstreamId> ranAt_;              ///< Upstreams at which an attempt ran or may have run.
  std::uint32_t attempts_ = 0;              ///< All attempts, including those that were not run.
  std::optional<SlotGrant> slot_;           ///< Slot of the last choice, for the next attempt.
  bool needsRetry_ = false;                 ///< The next attempt needs a retry of the budget.
  bool isCallerSlow_ = false;     ///< Reading from the upstream pauses until the caller has read.
  bool hasError_ = false;         ///< A complete error is held back while a hedge runs.
  std::size_t eventsBefore_ = 0;  ///< Events of the attempts before the last one.
  bool isSilenceHandled_ = false; ///< The silence of this attempt is recorded.
  AnswerClass answerClass_ = AnswerClass::None; ///< Result of the checks of the answer.
  AnswerFacts answerFacts_;                     ///< Values of the answer's header fields.
  unsigned status_ = 0;                         ///< HTTP status of the last answer.
  std::string reason_;                          ///< HTTP reason phrase of the answer.
  boost::beast::http::fields fields_;           ///< Header fields of the answer.
  std::optional<std::uint64_t> length_;         ///< Content-Length; none if not announced.
  std::string body_;         ///< Start of the body, held back until it can be forwarded.
  EventSplitter events_;     ///< Splits a stream into events.
  bool isStreaming_ = false; ///< The answer is a valid event stream.
  bool isBegun_ = false;     ///< The answer head was sent to the caller.
};

} // namespace laburnumweir

#endif
