/** @file host.cpp A host: all its parts, its threads and its shutdown. */
#include "serve/host.h"

#include "caller/caller_server.h"
#include "control/change_service.h"
#include "control/config_service.h"
#include "control/explain_log.h"
#include "control/membership_service.h"
#include "control/once_service.h"
#include "control/peer_router.h"
#include "control/slot_service.h"
#include "control/token_service.h"
#include "core/hash_func.h"
#include "core/system_clock.h"
#include "engine/engine_admin_client.h"
#include "engine/engine_client.h"
#include "hostlist/http_host_list.h"
#include "http/strand_scheduler.h"
#include "limits/token_holder.h"
#include "log/http_log_client.h"
#include "logging/logging_func.h"
#include "operator/operator_handler.h"
#include "peer/nng_transport.h"
#include "peer/wire.pb.h"
#include "pipeline/request_pipeline.h"
#include "serve/drain.h"
#include "service/service_client.h"
#include "weights/http_weight_store.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <random>
#include <thread>

namespace laburnumweir {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr Duration kDrainTick = 100ms;

OnceSettings
OnceSettingsOf(const Settings& aSettings)
{
  OnceSettings settings;
  settings.partitions_ = aSettings.oncePartitions_;
  settings.window_ = aSettings.dedupeWindow_;
  return settings;
}

SnapshotSettings
SnapshotSettingsOf(const Settings& aSettings)
{
  SnapshotSettings settings;
  settings.retention_ = aSettings.logRetention_;
  return settings;
}

CallerSettings
CallerSettingsOf(const Settings& aSettings)
{
  CallerSettings settings;
  settings.maxConnections_ = aSettings.maxConnections_;
  settings.requestTime_ = aSettings.requestTimeout_;
  return settings;
}

PlacementKind
PlacementKindOf(const Settings& aSettings)
{
  PlacementKind kind = PlacementKind::BoundedRendezvous;
  ParsePlacementKind(aSettings.placement_, kind);
  return kind;
}

/** Distinguishes the lives of a host in names that are given before it has joined. */
std::uint64_t
RandomLife()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32) | device();
}

void
ListenOrThrow(CallerServer& aServer, const Endpoint& aEndpoint, const char* aWhat)
{
  if (const auto error = aServer.Listen(aEndpoint)) {
    throw std::system_error(error,
                            std::string("cannot listen for ") + aWhat + " at " +
                              aEndpoint.address_ + ":" + std::to_string(aEndpoint.port_));
  }
}

/** Everything that runs on the control thread. */
class ControlSide
{
public:
  explicit ControlSide(const Settings& aSettings)
    : settings_(aSettings)
    , scheduler_(context_)
    , transport_(context_, aSettings.peers_)
    , log_(context_, aSettings.logService_)
    , hostList_(context_, aSettings.hostList_)
    , weights_(context_, aSettings.weightStore_)
    , engineAdmin_(context_)
    , explain_(clock_)
    , router_(aSettings.hostId_, scheduler_, transport_)
    , random_(RandomLife())
    , config_(std::make_shared<ConfigService>(router_,
                                              clock_,
                                              scheduler_,
                                              log_,
                                              publisher_,
                                              metrics_,
                                              freshness_,
                                              SnapshotSettingsOf(aSettings),
                                              random_))
    , membership_(std::make_shared<MembershipService>(
        router_,
        *config_,
        clock_,
        scheduler_,
        log_,
        hostList_,
        ListedHost{ aSettings.hostId_,
                    { aSettings.peers_.address_, transport_.ListenPort() },
                    aSettings.dataCentre_,
                    false },
        random_))
    , changes_(std::make_shared<ChangeService>(*config_, clock_, scheduler_, log_, freshness_))
    , tokens_(router_, *config_, clock_, limits_)
    , slots_(std::make_shared<SlotService>(router_,
                                           *config_,
                                           clock_,
                                           scheduler_,
                                           engineAdmin_,
                                           metrics_,
                                           limits_.WithClockError(limits_.freshnessBound_)))
    , once_(std::make_shared<OnceService>(router_,
                                          *config_,
                                          clock_,
                                          scheduler_,
                                          log_,
                                          OnceSettingsOf(aSettings)))
    , operators_(std::make_shared<OperatorHandler>(OperatorParts{ router_,
                                                                  scheduler_,
                                                                  *config_,
                                                                  *membership_,
                                                                  *changes_,
                                                                  *slots_,
                                                                  tokens_,
                                                                  explain_,
                                                                  metrics_,
                                                                  aSettings.operatorTokenDigest_ }))
    , operatorServer_(context_, clock_, {}, *operators_, RefuseModels)
  {
    config_->AddListener(*membership_);
    config_->AddListener(tokens_);
    config_->AddListener(*slots_);
    config_->AddListener(*once_);
    membership_->SetHeartbeatListener(
      [this](const wire::Envelope& aRequest) { slots_->RenewPins(aRequest); });
    membership_->SetProgressListener(
      [this](const HostLife& aLife, LogOffset aNext) { config_->OnHeard(aLife, aNext); });
    ListenOrThrow(operatorServer_, aSettings.operators_, "operators");
  }

  void Start()
  {
    config_->Start();
    membership_->Start();
    slots_->Start();
    once_->Start();
  }

  static void RefuseModels(const CallerRequest&, const std::shared_ptr<ResponseSink>& aSink)
  {
    CallerError error;
    error.status_ = 404;
    error.code_ = "path_unknown";
    error.message_ = "no such path";
    aSink->Fail(std::move(error));
  }

  const Settings& settings_;                      ///< Settings.
  SystemClock clock_;                             ///< Time source.
  asio::io_context context_{ 1 };                 ///< Runs the control thread.
  StrandScheduler scheduler_;                     ///< Control thread.
  NngTransport transport_;                        ///< Messages to other hosts.
  HttpLogClient log_;                             ///< The log.
  HttpHostListClient hostList_;                   ///< The host list.
  HttpWeightStoreClient weights_;                 ///< The weight store.
  EngineAdminClient engineAdmin_;                 ///< Orders to engines.
  Metrics metrics_;                               ///< Counters.
  ExplainLog explain_;                            ///< What was decided.
  StatePublisher publisher_;                      ///< Agreed state for the traffic side.
  LimitSettings limits_;                          ///< Settings of the buckets.
  FreshnessSettings freshness_;                   ///< Bounds of freshness.
  PeerRouter router_;                             ///< Routes messages.
  SeededRandom random_;                           ///< Jitter.
  std::shared_ptr<ConfigService> config_;         ///< The agreed state.
  std::shared_ptr<MembershipService> membership_; ///< Other hosts.
  std::shared_ptr<ChangeService> changes_;        ///< Changes of the rules.
  TokenService tokens_;                           ///< Owned buckets.
  std::shared_ptr<SlotService> slots_;            ///< Owned engines.
  std::shared_ptr<OnceService> once_;             ///< Owned partitions.
  std::shared_ptr<OperatorHandler> operators_;    ///< Operators' interface.
  CallerServer operatorServer_;                   ///< Operators' HTTP server.
};

/** Everything that runs on the traffic threads. */
class TrafficSide
{
public:
  TrafficSide(ControlSide& aControl, const Settings& aSettings)
    : control_(aControl)
    , scheduler_(pipelineContext_)
    , random_(RandomLife())
    , life_(RandomLife())
    , port_(aControl.router_, aControl.scheduler_, scheduler_)
    , holder_({ aSettings.hostId_, life_ }, aControl.clock_, aControl.limits_)
    , tokens_(holder_, port_)
    , requester_(aSettings.hostId_, life_, aControl.clock_, OnceSettingsOf(aSettings))
    , once_(requester_, port_, aSettings.oncePartitions_)
    , engines_(aSettings.hostId_,
               aControl.clock_,
               MakePlacement(PlacementKindOf(aSettings), random_),
               port_)
    , queue_(aControl.clock_)
    , retries_(aControl.clock_, random_)
    , adapters_(aControl.weights_, aControl.clock_, scheduler_)
    , engineClient_(pipelineContext_, aControl.clock_)
    , serviceClient_(pipelineContext_, aControl.clock_)
    , pipelineParts_{ aSettings.hostId_,
                      life_,
                      aControl.clock_,
                      scheduler_,
                      aControl.publisher_,
                      tokens_,
                      once_,
                      engines_,
                      queue_,
                      retries_,
                      adapters_,
                      engineClient_,
                      serviceClient_,
                      aControl.explain_,
                      aControl.metrics_ }
    , pipeline_(std::make_shared<RequestPipeline>(pipelineParts_, random_))
    , server_(callerContext_,
              aControl.clock_,
              CallerSettingsOf(aSettings),
              *pipeline_,
              [this](const CallerRequest& aRequest, const std::shared_ptr<ResponseSink>& aSink) {
                ListModels(aRequest, aSink);
              })
  {
    ListenOrThrow(server_, aSettings.callers_, "callers");
    control_.membership_->SetPinFiller(
      [this](const HostId& aHost, wire::Heartbeat& aHeartbeat) { FillPins(aHost, aHeartbeat); });
  }

  void Start(std::uint32_t aThreads)
  {
    pipeline_->StartTimers();
    RepeatWhileAlive(scheduler_, 100ms, pipeline_, [this] { PublishPins(); });
    threads_.emplace_back([this] { pipelineContext_.run(); });
    for (std::uint32_t i = 1; i < std::max(2U, aThreads); ++i) {
      threads_.emplace_back([this] { callerContext_.run(); });
    }
  }

  void Stop()
  {
    server_.Stop();
    callerWork_.reset();
    pipelineWork_.reset();
    callerContext_.stop();
    pipelineContext_.stop();
    for (auto& thread : threads_) {
      thread.join();
    }
  }

  bool IsIdle() const { return server_.InFlight() == 0 && openEnds_ == 0; }

  CallerServer& Server() { return server_; }

  /** Gives unspent tokens back on the strand. */
  void Drain()
  {
    scheduler_.Post([this] { tokens_.Drain(); });
  }

private:
  /** Lists the adapters of the rules' base models that were used lately; the store has the rest. */
  void ListModels(const CallerRequest& aRequest, const std::shared_ptr<ResponseSink>& aSink)
  {
    const auto state = control_.publisher_.Get();
    Admission admission;
    CallerError error;
    CallerRequest request;
    request.keyDigest_ = aRequest.keyDigest_;
    if (!Admit(*state,
               request,
               ClassId(),
               control_.clock_.Now(),
               control_.clock_.WallNow(),
               admission,
               error)) {
      aSink->Fail(std::move(error));
      return;
    }
    std::set<std::string> models;
    for (const auto& [id, upstream] : state->config_->Rules()->upstreams_) {
      if (upstream.kind_ == UpstreamKind::Engine) {
        models.insert(upstream.model_);
      }
    }
    boost::json::array data;
    for (const auto& model : models) {
      data.push_back(boost::json::object{ { "id", model }, { "object", "model" } });
    }
    aSink->Complete(200,
                    { { "Content-Type", "application/json" } },
                    boost::json::serialize(
                      boost::json::object{ { "object", "list" }, { "data", std::move(data) } }));
  }

  /** Copies the pins to renew, so that the control thread can send them in heartbeats. */
  void PublishPins()
  {
    auto renewals = std::make_shared<Renewals>(engines_.Renewals());
    openEnds_ = once_.Unconfirmed() + engines_.HeldCount();
    control_.scheduler_.Post([this, renewals] { renewals_ = renewals; });
  }

  /** On the control thread: lists the pins of the engines that a host owns. */
  void FillPins(const HostId& aHost, wire::Heartbeat& aHeartbeat) const
  {
    if (!renewals_ || !renewals_->contains(aHost)) {
      return;
    }
    const TimePoint now = control_.clock_.Now();
    for (const auto& [upstream, renewal] : renewals_->at(aHost)) {
      auto& pin = *aHeartbeat.add_pins();
      pin.set_upstream(upstream.Value());
      pin.set_request(renewal.request_.Value());
      pin.set_adapter(renewal.adapter_.ToString());
      pin.set_engine_epoch(renewal.epoch_);
      pin.set_time_left_ns((renewal.deadline_ - now).count());
    }
  }

  using Renewals = std::map<HostId, std::vector<std::pair<UpstreamId, PinRenewal>>>;
  using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

  ControlSide& control_;                  ///< Control thread.
  asio::io_context pipelineContext_{ 1 }; ///< Runs the pipeline and the upstream clients.
  asio::io_context callerContext_;        ///< Runs the connections of callers.
  WorkGuard pipelineWork_{ pipelineContext_.get_executor() }; ///< Keeps the thread running.
  WorkGuard callerWork_{ callerContext_.get_executor() };     ///< Keeps the threads running.
  StrandScheduler scheduler_;                                 ///< Strand of the pipeline.
  SeededRandom random_;                                       ///< Jitter and ties.
  std::uint64_t life_;                                        ///< Names this process in messages.
  RouterPort port_;                                           ///< Messages to other hosts.
  TokenHolder holder_;                                        ///< Tokens of this host.
  TokenGate tokens_;                                          ///< Carries the holder's messages.
  OnceRequester requester_;                   ///< Requests that may not be repeated.
  OnceGate once_;                             ///< Carries the requester's messages.
  EngineGate engines_;                        ///< Slots of engines.
  RequestQueue queue_;                        ///< Waiting requests.
  RetryPolicy retries_;                       ///< Decides on retries.
  AdapterCatalogue adapters_;                 ///< Known adapters.
  EngineRequestClient engineClient_;          ///< Sends to engines.
  ServiceClient serviceClient_;               ///< Sends to plain services.
  PipelineContext pipelineParts_;             ///< Shared parts of the pipeline.
  std::shared_ptr<RequestPipeline> pipeline_; ///< Path of requests.
  CallerServer server_;                       ///< Callers' HTTP server.
  std::shared_ptr<Renewals> renewals_;        ///< Pins to renew; control thread only.
  std::atomic<std::size_t> openEnds_{ 0 };    ///< Unconfirmed reports and pins.
  std::vector<std::thread> threads_;          ///< Traffic threads.
};

} // namespace

bool
RunHost(const Settings& aSettings)
{
  ControlSide control(aSettings);
  TrafficSide traffic(control, aSettings);
  DrainActions actions;
  actions.startDrain_ = [&] {
    control.config_->SetDraining();
    traffic.Server().StartDrain();
  };
  actions.isIdle_ = [&] { return traffic.IsIdle(); };
  actions.leave_ = [&](std::function<void()> aDone) {
    traffic.Drain();
    control.membership_->Leave(std::move(aDone));
  };
  actions.stop_ = [&] { control.context_.stop(); };
  Drain drain(control.clock_, aSettings.drainTimeout_, std::move(actions));
  const auto alive = std::make_shared<int>(0);
  RepeatWhileAlive(control.scheduler_, kDrainTick, alive, [&drain] { drain.Tick(); });

  asio::signal_set signals(control.context_, SIGTERM, SIGINT);
  std::function<void()> awaitSignal = [&] {
    signals.async_wait([&](boost::system::error_code aError, int) {
      if (!aError) {
        drain.Ask();
        awaitSignal();
      }
    });
  };
  awaitSignal();

  control.Start();
  traffic.Start(aSettings.trafficThreads_);
  LogEvent(LogLevel::Info,
           "started",
           { { "callers", std::to_string(traffic.Server().LocalEndpoint().port_) },
             { "operators", std::to_string(control.operatorServer_.LocalEndpoint().port_) },
             { "peers", std::to_string(control.transport_.ListenPort()) } });
  control.context_.run();
  traffic.Stop();
  return !drain.WasCut();
}

} // namespace laburnumweir
