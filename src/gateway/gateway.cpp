/** @file gateway.cpp Wiring of a host's services, admission of requests, readiness and drain. */
#include "gateway/gateway.h"

#include "core/system_clock.h"
#include "gateway/admission.h"
#include "gateway/gossip_service.h"
#include "gateway/holder_service.h"
#include "gateway/host_registration.h"
#include "gateway/page_handler.h"
#include "gateway/quarantine_service.h"
#include "gateway/request_flow.h"
#include "gateway/shared_slots.h"
#include "gateway/software_recorder.h"
#include "gateway/store_watch.h"
#include "gateway/stream_origin_service.h"
#include "gateway/upstream_relay.h"
#include "gateway/usage_duty.h"
#include "http/strand_scheduler.h"
#include "logging/logging_func.h"
#include "table/drain_const.h"
#include "table/fleet_const.h"
#include "table/flow_const.h"
#include "table/relay_const.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <limits>
#include <random>
#include <unordered_map>

namespace laburnumweir {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using BoostError = boost::system::error_code;
using std::chrono::milliseconds;

namespace {

// Interval at which StartQueued() runs in addition to the calls when a slot becomes free. It
// repeats load requests to engines and refuses requests that can no longer start in time.
constexpr Duration kQueueCheckInterval = milliseconds(50);
// Maximum age of the last confirmation of the configuration by the store, as a fraction of the
// revocation limit. Beyond it, this host reports that it is not ready, so that the balancer sends
// it no new connections. While the store answers, the last confirmation is at most two long polls
// old. While it does not answer, the smaller fraction applies, so that callers go to other hosts
// before this one has to refuse their requests.
constexpr double kReadyAgeFraction = 0.7;
constexpr double kStoreLostAgeFraction = 0.4;
// File descriptors reserved for files, the store, peers and orders to engines.
constexpr std::size_t kReservedDescriptors = 400;
// The settings file is read at this interval because it may change without a signal.
constexpr Duration kReloadInterval = std::chrono::seconds(2);
class Gateway
  : public HttpHandler
  , private StreamOrigins
  , private SlotSource
{
public:
  Gateway(asio::io_context& aContext, const GatewaySettings& aSettings, const GatewayPorts& aPorts)
    : context_(aContext)
    , settings_(aSettings)
    , ports_(aPorts)
    , scheduler_(aContext)
    , random_(std::random_device()())
    , life_(std::chrono::duration_cast<milliseconds>(clock_.WallNow().time_since_epoch()).count())
    , fleet_(clock_, settings_.host_, settings_.dataCentre_)
    , quota_(clock_, std::random_device()())
    , retries_(clock_, RetryBoundsOf(settings_.bounds_))
    , queue_(clock_, MakeOverloadPolicy(settings_.overloadPolicy_))
    , self_{ settings_.host_, settings_.gossipEndpoint_, settings_.dataCentre_ }
    , peers_(clock_, self_)
    , quarantine_(clock_)
    , history_(clock_, settings_.isFirstStart_)
    , relay_(aContext, clock_, metrics_, fleet_, peers_, RelaySettings())
    , link_(aContext, relay_.Connector())
    , flowContext_{ aContext,
                    clock_,
                    aPorts.codec_,
                    fleet_,
                    quota_,
                    retries_,
                    queue_,
                    quarantine_,
                    *this,
                    *this,
                    link_,
                    metrics_,
                    settings_.bounds_,
                    [this](const auto& aEngine, const auto& aRequest) {
                      gossip_->RequestLoad(aEngine, aRequest);
                    },
                    [this](const UpstreamId& aUpstream) {
                      return gossip_->RequestPermit(aUpstream);
                    },
                    [this](const AdapterUse& aUse) { gossip_->OnUseStarted(aUse); },
                    [this](const AdapterUse& aUse) { gossip_->OnUseEnded(aUse); },
                    [this] { ScheduleStartQueued(); },
                    [this](WaitTicket aTicket, const std::shared_ptr<RequestFlow>& aFlow) {
                      waiting_[aTicket] = aFlow;
                      slots_->OnQueued(queue_.ServiceOf(aTicket));
                    },
                    [this](const WorkspaceId& aWorkspace) {
                      if (usage_) {
                        usage_->OnBegun(aWorkspace);
                      }
                    } }
    , gossipLink_(aContext, [this](std::string_view aPayload) { gossip_->OnPayload(aPayload); })
    , readyPage_([this] { return ReadyPage(); })
    , metricsPage_([this] { return std::pair(200U, metrics_.Print()); })
    , listenerServices_{ std::make_shared<RequestMemory>(RequestMemoryLimit(settings_.memoryMb_)),
                         std::make_shared<RejectionLog>([this](std::string_view aReason) {
                           metrics_
                             .GetCounter(
                               "laburnumweir_gateway_callers_rejected_total", "reason", aReason)
                             .Add();
                         }) }
    , callers_(aContext, *this, CallerSessionLimits(), listenerServices_)
    , readiness_(aContext, readyPage_, SessionLimits(), listenerServices_)
    , metricsServer_(aContext, metricsPage_, SessionLimits(), listenerServices_)
    , quarantineCharge_(listenerServices_.memory_)
    , signals_(aContext, SIGTERM, SIGHUP, SIGINT)
  {
    flowContext_.memory_ = listenerServices_.memory_;
    gossip_ = std::make_shared<GossipService>(
      GossipContext{ clock_, scheduler_, fleet_, quota_, retries_, peers_, quarantine_ },
      self_,
      life_,
      [this] { ScheduleStartQueued(); });
    fleet_.Upstreams().SetHasIdleConnection(
      [this](const Endpoint& aEndpoint) { return link_.HasIdle(aEndpoint); });
    HolderSettings holder;
    holder.memberId_ = HostId(settings_.host_.Value() + "#" + std::to_string(life_));
    holder.host_ = settings_.host_;
    holder.memberTimeout_ = std::max(holder.memberTimeout_, settings_.minMemberTimeout_);
    holder.lease_ = settings_.bounds_.lease_;
    holder.partitions_ = settings_.groupPartitions_;
    holder_ = std::make_shared<HolderService>(
      ports_.store_,
      ports_.engines_,
      fleet_,
      clock_,
      scheduler_,
      holder,
      [this](const EngineResidency& aResidency) { gossip_->SendResidency(aResidency); },
      [this] { ScheduleRepublish(); });
    WatchSettings watch;
    watch.upstreamInterval_ = UpstreamIntervalOf(settings_.bounds_);
    watch_ = std::make_shared<StoreWatch>(
      ports_.store_,
      fleet_,
      clock_,
      scheduler_,
      watch,
      [this] { OnFleetChange(); },
      [this] { OnStoreRestored(); });
    quarantineService_ = std::make_shared<QuarantineService>(
      ports_.store_, quarantine_, clock_, scheduler_, [this] { return peers_.IsStoreReader(); });
    origins_ = std::make_shared<StreamOriginService>(
      StreamOriginContext{
        ports_.store_, clock_, scheduler_, fleet_, peers_, history_, *watch_, *gossip_ },
      self_);
    gossip_->SetOnOrigins(
      [this](const auto& aFrom, const auto& aMessage) { origins_->OnMessage(aFrom, aMessage); });
    softwareRecorder_ = std::make_shared<SoftwareRecorder>(
      ports_.store_, fleet_, history_, scheduler_, [this] { return peers_.IsStoreReader(); });
    registration_ = std::make_shared<HostRegistration>(
      ports_.store_, scheduler_, self_, [this](const HostTopicRecords& aRecords) {
        for (const auto& host : aRecords.hosts_) {
          peers_.OnStoreRecord(host);
        }
        retries_.OnHostsRead();
        quarantineService_->OnStored(aRecords.quarantines_);
        softwareRecorder_->OnStored(aRecords);
      });
    gossip_->Connect(gossipLink_, *holder_, *watch_);
    slots_ = std::make_shared<SharedSlots>(
      SharedSlotsContext{
        clock_, scheduler_, fleet_, queue_, metrics_, *gossip_, [this] { ScheduleStartQueued(); } },
      self_,
      life_);
    gossip_->SetSlots(slots_);
    if (settings_.reportsUsage_ && ports_.usageLog_ != nullptr && ports_.duties_ != nullptr) {
      usage_ = std::make_unique<UsageDuty>(UsageDutyContext{ clock_,
                                                             scheduler_,
                                                             *ports_.usageLog_,
                                                             *ports_.duties_,
                                                             peers_,
                                                             *holder_,
                                                             *gossip_,
                                                             metrics_ },
                                           UsageProcess{ settings_.host_, life_ },
                                           UsageSettings{ settings_.host_,
                                                          settings_.bounds_.reportWindow_,
                                                          settings_.bounds_.usageDueTime_,
                                                          settings_.dutyCallsPerSecond_,
                                                          settings_.bounds_.isFencingEnforced_ });
    }
  }

  bool Start()
  {
    LogEvent(LogLevel::Info,
             "start",
             { { "data_centre", settings_.dataCentre_.Value() },
               { "life", std::to_string(life_) },
               { "overload_policy", settings_.overloadPolicy_ },
               { "callers", std::to_string(settings_.callerEndpoint_.port_) } });
    for (const auto& [error, name] : {
           std::pair(callers_.Listen(settings_.callerEndpoint_), "callers"),
           std::pair(readiness_.Listen(settings_.readinessEndpoint_), "readiness"),
           std::pair(metricsServer_.Listen(settings_.metricsEndpoint_), "metrics"),
           std::pair(gossipLink_.Open(settings_.gossipEndpoint_), "gossip"),
           std::pair(relay_.Start(), "relay"),
         }) {
      if (error) {
        LogEvent(
          LogLevel::Error, "listen_failed", { { "address", name }, { "error", error.message() } });
        return false;
      }
    }
    metrics_.SetGauge("laburnumweir_gateway_sessions",
                      [this] { return static_cast<double>(callers_.Sessions()); });
    metrics_.SetGauge("laburnumweir_gateway_request_bytes",
                      [this] { return static_cast<double>(listenerServices_.memory_->Held()); });
    metrics_.SetGauge("laburnumweir_gateway_request_bytes_limit",
                      [this] { return static_cast<double>(listenerServices_.memory_->Limit()); });
    metrics_.SetGauge("laburnumweir_gateway_waiting_requests",
                      [this] { return static_cast<double>(queue_.Size()); });
    for (std::uint32_t rank = 0; rank <= kMaxEngineRank; ++rank) {
      const auto last = rank < kMaxEngineRank ? rank : std::numeric_limits<std::uint32_t>::max();
      metrics_.SetGauge(
        "laburnumweir_gateway_waiting_rank_" + std::to_string(rank),
        [this, rank, last] { return static_cast<double>(queue_.Size(rank, last)); });
    }
    metrics_.SetGauge("laburnumweir_gateway_proof_age_seconds", [this] {
      return std::chrono::duration<double>(
               std::min<Duration>(fleet_.ConfigAge(), std::chrono::hours(1)))
        .count();
    });
    metrics_.SetGauge("laburnumweir_gateway_live_peers",
                      [this] { return static_cast<double>(peers_.LivePeers().size()); });
    metrics_.SetGauge("laburnumweir_gateway_is_reader",
                      [this] { return peers_.IsStoreReader() ? 1.0 : 0.0; });
    metrics_.SetGauge("laburnumweir_gateway_upstream_connects",
                      [this] { return static_cast<double>(link_.Connects()); });
    metrics_.SetGauge("laburnumweir_gateway_quarantines",
                      [this] { return static_cast<double>(quarantine_.Size()); });
    AwaitSignal();
    watch_->Start();
    holder_->Start();
    gossip_->Start();
    quarantineService_->Start();
    origins_->Start();
    softwareRecorder_->Start();
    registration_->Start();
    slots_->Start();
    if (usage_) {
      usage_->Start();
    }
    RepeatWhileAlive(scheduler_, kQueueCheckInterval, gossip_, [this] { OnTick(); });
    RepeatWhileAlive(scheduler_, kReloadInterval, gossip_, [this] { Reload("interval"); });
    return true;
  }

  void OnRequest(HttpRequest aRequest, std::shared_ptr<AnswerStream> aAnswer) override
  {
    if (auto admitted = admission_.Admit(aRequest, *aAnswer)) {
      std::make_shared<RequestFlow>(flowContext_, std::move(*admitted), std::move(aAnswer))
        ->Start();
    }
  }

  void OnRejected(const http::fields& aRequest, http::fields& aAnswer) override
  {
    ports_.codec_.MarkOwnAnswer(aAnswer, ports_.codec_.ReadRequest(aRequest).id_);
  }

private:
  static RetryBounds RetryBoundsOf(const GatewayBounds& aBounds)
  {
    return { aBounds.retryRatio_, aBounds.retrySlack_, aBounds.retryWindow_ };
  }

  static milliseconds UpstreamIntervalOf(const GatewayBounds& aBounds)
  {
    return aBounds.maxDrainDelay_ * 2 / 5;
  }

  SessionLimits CallerSessionLimits() const
  {
    SessionLimits limits;
    if (fleet_.Routes()) {
      const auto& callers = fleet_.Routes()->Config().limits_;
      limits.maxHeadBytes_ = callers.maxHeadBytes_;
      limits.maxBodyBytes_ = callers.maxBodyBytes_;
      limits.headTimeout_ = callers.headTimeout_;
      limits.idleTimeout_ = callers.idleTimeout_;
    }
    // Each request may need one descriptor for its caller and one for its upstream.
    const auto relayDescriptors = settings_.maxDescriptors_ / kRelayDescriptorDivisor;
    limits.maxSessions_ =
      settings_.maxDescriptors_ > 2 * kReservedDescriptors + relayDescriptors
        ? (settings_.maxDescriptors_ - kReservedDescriptors - relayDescriptors) / 2
        : kReservedDescriptors / 2;
    return limits;
  }

  UpstreamRelaySettings RelaySettings()
  {
    UpstreamRelaySettings relay;
    relay.self_ = self_;
    relay.endpoint_ = settings_.relayEndpoint_;
    // Each needs a descriptor for the other host and one for the upstream.
    relay.maxConnections_ = settings_.maxDescriptors_ / kRelayDescriptorDivisor / 2;
    relay.regionDataCentres_ = settings_.regionDataCentres_;
    relay.onLinkLost_ = [this](bool aHangs) { OnLinkLost(aHangs); };
    return relay;
  }

  /** @param aHangs whether open connections over lost links hang as well. */
  void OnLinkLost(bool aHangs)
  {
    if (aHangs) {
      link_.DropIdleOverLostLinks();
    }
    fleet_.Upstreams().ForgetFailures(
      [this](const Endpoint& aEndpoint) { return link_.IsLinkLost(aEndpoint); });
    ScheduleStartQueued();
  }

  std::pair<unsigned, std::string> ReadyPage()
  {
    std::string reason;
    if (isDraining_) {
      reason = "draining";
    } else if (!fleet_.Routes() || !fleet_.HasUpstreams()) {
      reason = "no configuration";
    } else if (fleet_.ConfigAge() >
               std::chrono::duration_cast<Duration>(
                 (watch_->IsConnected() ? kReadyAgeFraction : kStoreLostAgeFraction) *
                 settings_.bounds_.maxRevocationDelay_)) {
      reason = "configuration not proven";
    }
    if (isReady_ != reason.empty()) {
      isReady_ = reason.empty();
      LogEvent(LogLevel::Info, isReady_ ? "ready" : "not_ready", { { "reason", reason } });
    }
    return { reason.empty() ? 200 : 503, reason.empty() ? "ready\n" : reason + "\n" };
  }

  // The flows are wired before the service of the origins exists.
  void Record(const RequestId& aAttempt, const StreamOrigin& aOrigin) override
  {
    origins_->Record(aAttempt, aOrigin);
  }
  void Find(const RequestId& aAttempt, const ServiceName& aService, Callback aCallback) override
  {
    origins_->Find(aAttempt, aService, std::move(aCallback));
  }

  bool IsShared(const ServiceName& aService) const override { return slots_->IsShared(aService); }
  std::optional<SlotGrant> Take(const ServiceName& aService,
                                const std::set<UpstreamId>& aExcluded) override
  {
    return slots_->Take(aService, aExcluded);
  }
  void Return(const ServiceName& aService, SlotReturn aReturn) override
  {
    slots_->Return(aService, aReturn);
  }

  void OnStoreRestored()
  {
    metrics_.GetCounter("laburnumweir_gateway_store_restores_total").Add();
    softwareRecorder_->OnRestored(watch_->Restore()->era_);
  }

  void OnFleetChange()
  {
    if (fleet_.HasUpstreams()) {
      history_.OnUpstreams(fleet_.Upstreams(),
                           fleet_.TakeSoftwareSightings(),
                           clock_.Now() - watch_->Position().upstreamAge_);
    }
    callers_.SetLimits(CallerSessionLimits());
    ScheduleStartQueued();
  }

  void ScheduleStartQueued()
  {
    if (isStartPending_ || queue_.Size() == 0) {
      return;
    }
    isStartPending_ = true;
    asio::post(context_, [this] {
      isStartPending_ = false;
      StartQueued();
    });
  }

  /** Writes the records of this host to the store again some time later, so that the hosts of the
   * fleet, which learn of a restore at about the same time, do not all write at once. */
  void ScheduleRepublish()
  {
    const Duration spread = kRestoreWriteInterval * peers_.Hosts().size();
    scheduler_.After(milliseconds(random_.Below(1 + spread / milliseconds(1))), [this] {
      if (!isDraining_) {
        registration_->Publish();
        quarantineService_->WriteAll();
      }
    });
  }

  std::shared_ptr<RequestFlow> FindWaiting(WaitTicket aTicket)
  {
    const auto found = waiting_.find(aTicket);
    return found == waiting_.end() ? nullptr : found->second;
  }

  /** Starts queued requests for which a slot is free and refuses those that can no longer start. */
  void StartQueued()
  {
    for (const auto& service : queue_.Services()) {
      if (queue_.NeedsFreeSlots()) {
        UpstreamNeed need;
        need.service_ = service;
        queue_.SetHasFreeSlot(service, fleet_.Upstreams().Choose(need).upstream_ != nullptr);
      }
      for (const auto ticket : queue_.TicketsInOrder(service)) {
        // Requests further back may need another adapter, so every request is tried.
        if (const auto flow = FindWaiting(ticket)) {
          flow->TryStart();
        }
      }
    }
    for (const auto ticket : queue_.CannotStartInTime()) {
      if (const auto flow = FindWaiting(ticket)) {
        flow->RefuseWaiting();
      }
    }
    std::erase_if(waiting_, [this](const auto& aEntry) { return !queue_.Contains(aEntry.first); });
  }

  void OnTick()
  {
    quarantineCharge_.Set(quarantine_.Bytes());
    if (queue_.Size() > 0 || !waiting_.empty()) {
      StartQueued();
    }
    holder_->SetLinksLost(relay_.Paths().AreLinksLostForLong());
    holder_->Tick();
    if (isDraining_) {
      CheckDrain();
    }
  }

  void AwaitSignal()
  {
    signals_.async_wait([this](BoostError aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        Reload("signal");
      } else if (!isDraining_) {
        StartDrain();
      } else {
        Stop("second signal");
      }
      AwaitSignal();
    });
  }

  void Reload(std::string_view aReason)
  {
    const auto settings = ports_.reload_();
    if (!settings) {
      LogEvent(LogLevel::Warn, "settings_unusable", { { "trigger", std::string(aReason) } });
      return;
    }
    // Addresses and names are fixed for the lifetime of the process; only limits may change.
    settings_.bounds_ = settings->bounds_;
    retries_.SetBounds(RetryBoundsOf(settings_.bounds_));
    holder_->SetLease(settings_.bounds_.lease_);
    watch_->SetUpstreamInterval(UpstreamIntervalOf(settings_.bounds_));
    if (aReason == "signal") {
      LogEvent(LogLevel::Info, "reload", { { "trigger", std::string(aReason) } });
    }
  }

  void StartDrain()
  {
    isDraining_ = true;
    drainStart_ = clock_.Now();
    admission_.StartDrain();
    LogEvent(
      LogLevel::Info, "drain_start", { { "sessions", std::to_string(callers_.Sessions()) } });
    callers_.StartDrain();
    relay_.StartDrain();
    holder_->Leave();
  }

  void CheckDrain()
  {
    const auto elapsed = clock_.Now() - drainStart_;
    const bool isIdle =
      callers_.BusySessions() == 0 && !callers_.HasUnreadInput() && !relay_.IsBusy();
    if (elapsed > settings_.bounds_.shutdownGrace_ - kEndAnswersMargin) {
      callers_.EndAnswers();
    }
    if ((isIdle && elapsed > kDrainNoticeTime) ||
        elapsed > settings_.bounds_.shutdownGrace_ - kStopMargin) {
      Stop(isIdle ? "drained" : "grace period over");
    }
  }

  void Stop(std::string_view aReason)
  {
    LogEvent(LogLevel::Info,
             "stop",
             { { "reason", std::string(aReason) },
               { "cut_requests", std::to_string(callers_.BusySessions()) } });
    if (usage_) {
      usage_->Stop();
    }
    callers_.Stop();
    readiness_.Stop();
    metricsServer_.Stop();
    relay_.Stop();
    gossipLink_.Close();
    context_.stop();
  }

  asio::io_context& context_;
  GatewaySettings settings_; ///< bounds_ may change on a reload.
  GatewayPorts ports_;
  SystemClock clock_;
  StrandScheduler scheduler_;
  SeededRandom random_;     ///< Draws the service of a request by weight.
  const std::int64_t life_; ///< Start time of the process, Unix ms.
  Metrics metrics_;
  FleetState fleet_;      ///< Routes, workspaces, adapters and upstreams.
  QuotaShare quota_;      ///< This host's share of the workspaces' quotas.
  RetryShare retries_;    ///< This host's share of the retry budget.
  WaitQueue queue_;       ///< Order of the requests in waiting_.
  const HostRecord self_; ///< Published to the store and to peers.
  PeerTable peers_;
  Quarantine quarantine_; ///< Requests that crash upstreams.
  SoftwareHistory history_;
  Admission admission_{
    { clock_, ports_.codec_, fleet_, quota_, retries_, random_, settings_.bounds_, metrics_ }
  };
  UpstreamRelay relay_; ///< Reaches upstreams through other hosts where links are lost.
  UpstreamLink link_;
  FlowContext flowContext_; ///< References to the services above.
  std::unordered_map<WaitTicket, std::shared_ptr<RequestFlow>> waiting_; ///< Queued requests.
  std::shared_ptr<GossipService> gossip_;
  std::shared_ptr<QuarantineService> quarantineService_;
  std::shared_ptr<StreamOriginService> origins_;
  std::shared_ptr<SoftwareRecorder> softwareRecorder_; ///< Keeps history_ in the store.
  std::shared_ptr<HostRegistration> registration_;
  std::shared_ptr<SharedSlots> slots_;    ///< Slots that the hosts share.
  std::shared_ptr<HolderService> holder_; ///< Sends orders to engines.
  std::shared_ptr<StoreWatch> watch_;     ///< Reads changes of the store.
  std::unique_ptr<UsageDuty> usage_;      ///< Only where the settings enable it.
  GossipLink gossipLink_;
  PageHandler readyPage_;
  PageHandler metricsPage_;
  ListenerServices listenerServices_;
  HttpListener callers_;   ///< Serves callers.
  HttpListener readiness_; ///< Serves readiness checks of the balancer.
  HttpListener metricsServer_;
  MemoryCharge quarantineCharge_; ///< Of quarantine_.
  asio::signal_set signals_;
  bool isStartPending_ = false; ///< A call of StartQueued() is posted.
  bool isReady_ = false;        ///< Last readiness that was reported to the balancer.
  bool isDraining_ = false;     ///< SIGTERM or SIGINT was received.
  TimePoint drainStart_;        ///< Valid while isDraining_.
};

} // namespace

bool
RunGateway(asio::io_context& aContext, const GatewaySettings& aSettings, const GatewayPorts& aPorts)
{
  Gateway gateway(aContext, aSettings, aPorts);
  if (!gateway.Start()) {
    return false;
  }
  aContext.run();
  return true;
}

} // namespace laburnumweir
