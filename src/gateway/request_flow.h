/** @file request_flow.h The path of one request through a gateway. */
#ifndef LABURNUMWEIR_GATEWAY_REQUEST_FLOW_H
#define LABURNUMWEIR_GATEWAY_REQUEST_FLOW_H

#include "fleet/engine_orders.h"
#include "fleet/event_cutter.h"
#include "fleet/fleet_state.h"
#include "fleet/quota_share.h"
#include "fleet/retry_share.h"
#include "fleet/wait_queue.h"
#include "gateway/caller_session.h"
#include "gateway/gateway_settings.h"
#include "gateway/gossip_message.h"
#include "gateway/message_codec_base.h"
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

/** Services that all flows share. Everything outlives the flows. */
struct FlowContext
{
  boost::asio::io_context& context_; ///< Runs the flows.
  const Clock& clock_;               ///< Time source.
  const MessageCodec& codec_;        ///< Fields of messages.
  FleetState& fleet_;                ///< Fleet.
  QuotaShare& quota_;                ///< Quotas.
  RetryShare& retries_;              ///< Retries.
  WaitQueue& queue_;                 ///< Waiting requests.
  UpstreamLink& link_;               ///< Connections to upstreams.
  Metrics& metrics_;                 ///< Counters.
  const GatewayBounds& bounds_;      ///< Bounds over all hosts.
  /** Called when requests wait for a model or adapter at an engine. */
  std::function<void(const UpstreamId&, const AdapterWant&)> want_;
  /** Called when a request with an adapter was sent. */
  std::function<void(const AdapterUse&)> use_;
  /** Called when such a request ended. */
  std::function<void(const AdapterUse&)> release_;
  /** Called when a place became free. */
  std::function<void()> pump_;
  /** Called with the ticket of a request that starts to wait. */
  std::function<void(WaitTicket, const std::shared_ptr<RequestFlow>&)> park_;
};

/** A request that was admitted: its route and what it is charged for. */
struct AdmittedRequest
{
  HttpRequest message_;                      ///< Request as read.
  RequestFacts facts_;                       ///< What its fields tell.
  std::shared_ptr<const RouteTable> routes_; ///< Keeps the route and the workspace alive.
  const Route* route_ = nullptr;             ///< Route.
  const Workspace* workspace_ = nullptr;     ///< Workspace; nullptr on open routes.
  ServiceName service_;                      ///< Service that it goes to.
  TokenCount tokens_ = 0;                    ///< Tokens that its workspace is charged.
  TimePoint arrived_;                        ///< When it was read.
};

/**
 * Waits for a place, sends the request, checks the answer and passes it on. A request that may not
 * be repeated is sent again only if it surely has not run.
 */
class RequestFlow
  : public CallHandler
  , public std::enable_shared_from_this<RequestFlow>
{
public:
  RequestFlow(FlowContext& aContext,
              AdmittedRequest aRequest,
              std::shared_ptr<AnswerStream> aAnswer);

  /** Starts, or waits. */
  void Start();
  /**
   * Tries to start a waiting request.
   * @return false if no place was free for it, so that others of its service need not try.
   */
  bool TryStart();
  /** Refuses a waiting request because it cannot start in time. */
  void RefuseWaiting();

  void OnSending() override;
  HeadAction OnHead(unsigned aStatus,
                    std::string_view aReason,
                    const boost::beast::http::fields& aFields,
                    std::optional<std::uint64_t> aLength) override;
  bool OnBody(std::string_view aBytes) override;
  void OnEnd(CallEnd aEnd) override;

private:
  enum class Verdict : std::uint8_t
  {
    None,   ///< No head came.
    Good,   ///< The answer may be passed on.
    NotRun, ///< The upstream says that it did not run the request.
    Error,  ///< A signed error of the upstream; may be passed on.
    Spoiled ///< Not a proper answer; must not be passed on.
  };

  bool IsStream() const { return admitted_.route_->repeat_ == RepeatRule::Stream; }
  bool MayRepeat() const;
  Duration TimeLeft() const { return deadline_ - context_.clock_.Now(); }
  TimePoint LatestStart() const;
  Duration OldVersionGrace() const;
  std::uint32_t Rank() const;
  bool IsProofTooOld() const;
  UpstreamChoice ChooseUpstream();
  void Wait();
  void LeaveQueue(bool aHasStarted);
  void Send(const UpstreamChoice& aChoice);
  HttpRequest BuildRequest(const Upstream& aUpstream, std::int64_t aVersion) const;
  void ArmTimer();
  void OnTimer();
  void OnSilence();
  void EndAttempt(AttemptHealth aHealth);
  void OnNotRun(std::string_view aWhy);
  void OnFailed(std::string_view aWhy);
  bool MayTryAgain(bool aHasRun);
  void PassOn();
  void OnGone();
  void Reply(unsigned aStatus, std::string_view aWhy, std::optional<Duration> aRetryAfter);
  void Finish(unsigned aStatus, std::string_view aWhy);
  Duration RetryDelay() const;

  FlowContext& context_;                         ///< Shared services.
  AdmittedRequest admitted_;                     ///< The request.
  std::shared_ptr<AnswerStream> answer_;         ///< Where the answer goes; empty after the end.
  boost::asio::steady_timer timer_;              ///< Next time limit.
  TimePoint deadline_;                           ///< When the caller's wait ends.
  std::shared_ptr<UpstreamCall> call_;           ///< Attempt under way.
  UpstreamId upstream_;                          ///< Where it goes.
  Endpoint endpoint_;                            ///< Where that listens.
  TimePoint sent_;                               ///< When the attempt started.
  std::optional<TimePoint> firstByte_;           ///< When its answer started.
  TimePoint lastByte_;                           ///< When bytes last came.
  Duration longestPause_{};                      ///< Longest time between parts of a stream.
  std::set<UpstreamId> failed_;                  ///< Upstreams that failed with it.
  std::map<UpstreamId, TimePoint> refusedUntil_; ///< Upstreams that refused it, with their pause.
  std::set<UpstreamId> tried_;                   ///< Upstreams that do not come into question now.
  std::set<UpstreamId> notLoading_;     ///< Engines that did not load what it needs in time.
  std::optional<WaitTicket> ticket_;    ///< Place in the queue.
  std::optional<UpstreamId> loadingAt_; ///< Engine that was asked to load what it needs.
  TimePoint loadAskedAt_;               ///< When it was asked first.
  TimePoint loadRepeatedAt_;            ///< When it was asked last.
  std::uint32_t runs_ = 0;              ///< Attempts that ran or may have run.
  std::uint32_t attempts_ = 0;          ///< Attempts in all.
  bool hasSent_ = false;                ///< Bytes of this attempt may have reached it.
  bool isSilenceNoted_ = false;         ///< The upstream was noted as silent.
  Verdict verdict_ = Verdict::None;     ///< What the head of the answer tells.
  AnswerFacts answerFacts_;             ///< Facts of the answer.
  unsigned status_ = 0;                 ///< Status of the answer.
  std::string reason_;                  ///< Its reason phrase.
  boost::beast::http::fields fields_;   ///< Its fields.
  std::optional<std::uint64_t> length_; ///< Announced length of its body.
  std::string body_;                    ///< Body that is held.
  EventCutter events_;                  ///< Events of a stream.
  bool isStreaming_ = false;            ///< The answer is an event stream that is passed on.
  bool isBegun_ = false;                ///< The caller has the head.
};

} // namespace laburnumweir

#endif
