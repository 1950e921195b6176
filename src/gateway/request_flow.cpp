/** @file request_flow.cpp Choice of an upstream, queueing and sending of one request. */
#include "gateway/request_flow.h"

#include "gateway/request_contents_func.h"
#include "logging/logging_func.h"
#include "table/fleet_const.h"
#include "table/flow_const.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/join.hpp>
#include <boost/range/adaptor/transformed.hpp>

namespace laburnumweir {

namespace http = boost::beast::http;
using detail::Milliseconds;
using BoostError = boost::system::error_code;
using std::chrono::milliseconds;

namespace {

std::string
Join(const std::vector<ContentId>& aContents)
{
  return boost::algorithm::join(
    aContents |
      boost::adaptors::transformed([](const ContentId& aContent) { return aContent.Value(); }),
    ",");
}

} // namespace

RequestFlow::RequestFlow(FlowContext& aContext,
                         AdmittedRequest aRequest,
                         std::shared_ptr<AnswerStream> aAnswer)
  : context_(aContext)
  , admitted_(std::move(aRequest))
  , answer_(std::move(aAnswer))
  , timer_(aContext.context_)
{
  const auto& route = *admitted_.route_;
  Duration timeout = std::chrono::hours(1);
  if (admitted_.facts_.callerTimeout_) {
    timeout = *admitted_.facts_.callerTimeout_;
  }
  if (route.timeout_.count() > 0) {
    timeout = std::min<Duration>(timeout, route.timeout_);
  }
  deadline_ = admitted_.arrived_ + timeout;
  contents_ =
    ContentsOf(admitted_.message_,
               admitted_.workspace_ == nullptr ? WorkspaceId() : admitted_.workspace_->id_,
               std::exchange(admitted_.facts_.sharedParts_, {}));
  if (context_.memory_) {
    contentsCharge_.emplace(context_.memory_);
    contentsCharge_->Set(BytesOf(contents_));
  }
}

void
RequestFlow::Start()
{
  answer_->NotifyWhenGone([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  answer_->NotifyWhenStopping([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnStopping();
    }
  });
  if (IsResumption()) {
    isFindingOrigin_ = true;
    const auto& services = admitted_.route_->services_;
    const bool isSplit = std::count_if(services.begin(), services.end(), [](const auto& aService) {
                           return aService.weight_ > 0;
                         }) > 1;
    // Until its origin is found, nothing else owns the request.
    context_.origins_.Find(
      admitted_.facts_.resumes_,
      isSplit ? ServiceName() : admitted_.service_,
      [self = shared_from_this()](const OriginResult& aResult) { self->OnOrigin(aResult); });
  } else if (!TryStart() && answer_) {
    Enqueue();
  }
  ArmTimer();
}

bool
RequestFlow::IsResumption() const
{
  return IsStream() && MayRepeat() &&
         !(admitted_.facts_.resumes_.IsEmpty() && admitted_.facts_.lastEventId_.empty());
}

void
RequestFlow::OnOrigin(const OriginResult& aResult)
{
  isFindingOrigin_ = false;
  if (!answer_) {
    return;
  }
  if (!aResult.origin_ || aResult.origin_->isAmbiguous_) {
    // No other host can continue the stream either if the result is conclusive.
    Reply(503,
          "stream_origin_unknown",
          aResult.isConclusive_ ? std::nullopt : std::optional(kDefaultRetryAfter));
    return;
  }
  origin_ = aResult.origin_;
  const auto& services = admitted_.route_->services_;
  const bool isOfRoute =
    std::any_of(services.begin(), services.end(), [this](const auto& aService) {
      return aService.service_ == origin_->service_ && aService.weight_ > 0;
    });
  if (!isOfRoute) {
    Reply(503, "stream_service_replaced", std::nullopt);
    return;
  }
  admitted_.service_ = origin_->service_;
  if (!TryStart() && answer_) {
    Enqueue();
  }
  ArmTimer();
}

bool
RequestFlow::MayRepeat() const
{
  return laburnumweir::MayRepeat(*admitted_.route_);
}

std::uint32_t
RequestFlow::Rank() const
{
  const auto workspace = admitted_.workspace_ == nullptr ? 0 : admitted_.workspace_->priority_;
  return workspace * kRouteRanksPerWorkspaceRank +
         std::min(admitted_.route_->priority_, kRouteRanksPerWorkspaceRank - 1);
}

bool
RequestFlow::IsConfigTooOld() const
{
  return context_.bounds_.isRevocationStrict_ && admitted_.workspace_ != nullptr &&
         context_.fleet_.ConfigAge() > context_.bounds_.maxRevocationDelay_ - kRevocationMargin;
}

Duration
RequestFlow::OldVersionPeriod() const
{
  return std::chrono::duration_cast<Duration>(kOldVersionFraction *
                                              context_.bounds_.maxVersionDelay_);
}

const ReleaseHistory*
RequestFlow::Releases() const
{
  const auto& facts = admitted_.facts_;
  return facts.adapter_.empty() ? nullptr
                                : context_.fleet_.FindReleases(facts.model_, facts.adapter_);
}

bool
RequestFlow::IsVersionTooOld(const UpstreamAttempt& aAttempt) const
{
  const auto* releases = Releases();
  const auto replaced =
    releases == nullptr ? std::nullopt : releases->ReplacedAfter(aAttempt.demandedVersion_);
  const auto period = std::chrono::duration_cast<Duration>(kOldVersionBeginFraction *
                                                           context_.bounds_.maxVersionDelay_);
  return replaced && *replaced + period <= context_.clock_.Now();
}

std::set<UpstreamId>
RequestFlow::UsedUpstreams() const
{
  auto used = ranAt_;
  if (call_ && attempt_.hasSent_) {
    used.insert(attempt_.upstream_);
  }
  return used;
}

UpstreamChoice
RequestFlow::ChooseUpstream()
{
  const auto& facts = admitted_.facts_;
  const auto* service = admitted_.routes_->FindService(admitted_.service_);
  const bool isEngine = service != nullptr && service->engine_.has_value();
  const auto now = context_.clock_.Now();
  usedUpstreams_ = UsedUpstreams();
  const bool isLimited = usedUpstreams_.size() >= admitted_.route_->maxUpstreams_;
  // At the limit, what has begun is continued where it has run, even after a failure there.
  excluded_ = isLimited ? std::set<UpstreamId>() : failed_;
  if (call_) {
    excluded_.insert(attempt_.upstream_);
  }
  for (const auto& [upstream, until] : refusedUntil_) {
    if (now < until) {
      excluded_.insert(upstream);
    }
  }
  if (NeedsSlot()) {
    return ChooseSlot();
  }
  UpstreamNeed need;
  need.service_ = admitted_.service_;
  if (isEngine) {
    need.model_ = facts.model_;
    need.adapter_ = facts.adapter_;
  }
  if (origin_) {
    need.software_ = origin_->software_;
  }
  need.excluded_ = &excluded_;
  need.allowed_ = isLimited ? &usedUpstreams_ : nullptr;
  need.loadTimedOut_ = &loadTimedOut_;
  const auto* releases = Releases();
  const auto newest = releases == nullptr ? 0 : releases->Newest();
  need.minVersion_ = newest;
  auto choice = context_.fleet_.Upstreams().Choose(need);
  if (choice.upstream_ == nullptr && choice.permitTarget_ &&
      context_.requestPermit_(*choice.permitTarget_)) {
    choice = context_.fleet_.Upstreams().Choose(need);
  }
  if (choice.loadTarget_) {
    if (loadingEngine_ != choice.loadTarget_) {
      loadingEngine_ = choice.loadTarget_;
      loadRequestedAt_ = now;
      loadLastRequestedAt_ = {};
      LogEvent(LogLevel::Info,
               "load_wanted",
               { { "id", facts.id_.Value() },
                 { "adapter", facts.model_ + "/" + facts.adapter_ },
                 { "version", std::to_string(need.minVersion_) },
                 { "engine", choice.loadTarget_->Value() },
                 { "copy", choice.isReplica_ ? "true" : "false" },
                 { "left_ms", std::to_string(Milliseconds(TimeLeft())) } });
    }
    if (now - loadLastRequestedAt_ >= kLoadRequestInterval) {
      loadLastRequestedAt_ = now;
      const bool isLate = now - admitted_.arrived_ > admitted_.route_->targetLatency_ / 2;
      const auto reason = choice.isReplica_ ? LoadPriority::Replica
                          : isLate          ? LoadPriority::Late
                                            : LoadPriority::InTime;
      context_.requestLoad_(*choice.loadTarget_,
                            { facts.model_, facts.adapter_, need.minVersion_, reason });
    }
    if (now - loadRequestedAt_ > kLoadTimeout) {
      loadTimedOut_.insert(*choice.loadTarget_);
    }
  } else {
    loadingEngine_.reset();
    if (choice.upstream_ == nullptr) {
      loadTimedOut_.clear();
    }
  }
  if (choice.upstream_ == nullptr && releases != nullptr) {
    need.minVersion_ = releases->OldestUsable(now, OldVersionPeriod());
    if (need.minVersion_ < newest) {
      const auto olderChoice = context_.fleet_.Upstreams().Choose(need);
      choice.upstream_ = olderChoice.upstream_;
      choice.adapterVersion_ = olderChoice.adapterVersion_;
    }
  }
  // If any version may be used, none is demanded: the engine may receive the new one at any moment.
  choice.demandedVersion_ = need.minVersion_ > 0 ? choice.adapterVersion_ : 0;
  return choice;
}

UpstreamChoice
RequestFlow::ChooseSlot()
{
  UpstreamChoice choice;
  slot_ = context_.slots_.Take(admitted_.service_, excluded_);
  if (slot_) {
    choice.upstream_ = context_.fleet_.Upstreams().Find(slot_->upstream_);
  } else {
    UpstreamNeed need;
    need.service_ = admitted_.service_;
    choice.hasUntried_ = context_.fleet_.Upstreams().Choose(need).hasUntried_;
  }
  return choice;
}

bool
RequestFlow::IsSoftwareServed() const
{
  UpstreamNeed need;
  need.service_ = origin_->service_;
  need.software_ = origin_->software_;
  return context_.fleet_.Upstreams().IsServed(need);
}

bool
RequestFlow::MayStartLater() const
{
  if (ranAt_.size() >= admitted_.route_->maxUpstreams_) {
    return true; // where it has run, even after a failure there
  }
  UpstreamNeed need;
  need.service_ = admitted_.service_;
  need.excluded_ = &failed_;
  if (origin_) {
    need.software_ = origin_->software_;
  }
  return context_.fleet_.Upstreams().IsServed(need);
}

void
RequestFlow::SetBlocked(bool aIsBlocked)
{
  isBlocked_ = aIsBlocked;
  if (ticket_) {
    context_.queue_.SetBlocked(*ticket_, isBlocked_);
  }
}

bool
RequestFlow::TryStart()
{
  if (!answer_ || call_ || hedge_) {
    return true;
  }
  if (isFindingOrigin_) {
    return false;
  }
  if (IsConfigTooOld()) {
    if (isBegun_ && context_.clock_.Now() < LatestStart()) {
      SetBlocked(true);
      return false; // the store may confirm the configuration in time
    }
    Reply(503, "configuration_not_proven", kDefaultRetryAfter);
    return true;
  }
  if (context_.clock_.Now() >= LatestStart()) {
    // The caller would leave before the upstream could answer, and the work would be wasted.
    RefuseWaiting();
    return true;
  }
  if (admitted_.workspace_ != nullptr &&
      context_.fleet_.Routes()->FindWorkspace(admitted_.facts_.key_) == nullptr) {
    Reply(401, "key_withdrawn", std::nullopt);
    return true;
  }
  if (const auto timeLeft = context_.quarantine_.TimeLeft(contents_)) {
    Reply(HasRun() ? 502 : 503, "quarantined", timeLeft);
    return true;
  }
  if (needsRetry_ && !context_.retries_.CanTake(admitted_.service_)) {
    if (isBegun_) {
      SetBlocked(true);
      return false;
    }
    LogRetry("retry_budget");
    Reply(HasRun() ? 502 : 503, "retry_budget", RetryDelay());
    return true;
  }
  const auto choice = ChooseUpstream();
  if (choice.upstream_ == nullptr) {
    if (origin_ && !IsSoftwareServed()) {
      Reply(HasRun() ? 502 : 503, "software_version_gone", std::nullopt);
      return true;
    }
    const auto pauseEnd = choice.hasUntried_ ? std::nullopt : PauseEnd();
    if (pauseEnd && *pauseEnd >= LatestStart()) {
      Reply(HasRun() ? 502 : 503, "upstreams_paused", RetryDelay());
      return true;
    }
    const bool isHopeless = !choice.hasUntried_ && !pauseEnd && !failed_.empty();
    if (isHopeless && !(isBegun_ && MayStartLater())) {
      RefuseWaiting();
      return true;
    }
    SetBlocked(loadingEngine_ || pauseEnd || !choice.hasUntried_);
    return false;
  }
  if (std::exchange(needsRetry_, false)) {
    context_.retries_.TakeRetry(admitted_.service_);
    LogRetry({});
  }
  LeaveQueue(true);
  Send(choice);
  return true;
}

TimePoint
RequestFlow::LatestStart() const
{
  if (!IsStream()) {
    return deadline_ - kMinAnswerTime;
  }
  const auto latest = deadline_ - kMinStreamTime;
  if (isBegun_) {
    return latest;
  }
  const auto& route = *admitted_.route_;
  const Duration timeout =
    std::max<Duration>({ kMinCallerTimeout,
                         kCallerTimeoutLatencyMultiple * route.targetLatency_,
                         kCallerTimeoutPauseMultiple * route.targetPause_ });
  return std::min(latest, admitted_.arrived_ + timeout - kRefusalLeadTime);
}

std::optional<TimePoint>
RequestFlow::PauseEnd() const
{
  UpstreamNeed need;
  need.service_ = admitted_.service_;
  need.excluded_ = &failed_;
  if (origin_) {
    need.software_ = origin_->software_;
  }
  return context_.fleet_.Upstreams().PauseEnd(need);
}

void
RequestFlow::Enqueue()
{
  if (ticket_) {
    return;
  }
  const auto latest = LatestStart();
  const auto now = context_.clock_.Now();
  const auto estimate = context_.queue_.EstimateWait(admitted_.service_, Rank());
  const bool isBehind = estimate && now + *estimate >= latest && !isBlocked_;
  if (latest <= now || (isBehind && !isBegun_)) {
    RefuseWaiting();
    return;
  }
  // What has begun goes before new requests: ending it would waste the work that was done.
  const auto rank = isBegun_ ? 0 : Rank();
  const auto target = admitted_.route_->targetLatency_;
  const bool hasTarget = target.count() > 0;
  ticket_ = context_.queue_.Push({ admitted_.service_,
                                   rank,
                                   latest,
                                   isBlocked_,
                                   /*mayBeLate*/ isBegun_,
                                   admitted_.arrived_,
                                   hasTarget ? admitted_.arrived_ + target : latest,
                                   admitted_.facts_.work_ });
  context_.onQueued_(*ticket_, shared_from_this());
}

void
RequestFlow::LeaveQueue(bool aHasStarted)
{
  if (ticket_) {
    context_.queue_.Remove(*ticket_, aHasStarted);
    ticket_.reset();
  }
}

void
RequestFlow::RefuseWaiting()
{
  if (answer_) {
    const auto estimate = context_.queue_.EstimateWait(admitted_.service_, Rank());
    LogEvent(
      LogLevel::Info,
      "wait_refused",
      { { "id", admitted_.facts_.id_.Value() },
        { "rank", std::to_string(Rank()) },
        { "begun", isBegun_ ? "true" : "false" },
        { "past_target",
          context_.clock_.Now() - admitted_.arrived_ > admitted_.route_->targetLatency_ ? "true"
                                                                                        : "false" },
        { "estimate_ms", estimate ? std::to_string(Milliseconds(*estimate)) : "" },
        { "latest_start_ms",
          std::to_string(Milliseconds(LatestStart() - context_.clock_.Now())) } });
    const std::string_view reason =
      loadingEngine_ ? "adapter_not_loaded_in_time" : "cannot_start_in_time";
    context_.metrics_
      .GetCounter("laburnumweir_gateway_wait_refusals_total",
                  "rank_reason",
                  std::to_string(Rank()).append(":").append(reason))
      .Add();
    Reply(HasRun() ? 502 : 503, reason, loadingEngine_ ? kLoadRetryAfter : RetryDelay());
  }
}

Duration
RequestFlow::RetryDelay() const
{
  // The caller's next request may use an upstream that this one may not use again.
  UpstreamNeed need;
  need.service_ = admitted_.service_;
  const auto pauseEnd = context_.fleet_.Upstreams().PauseEnd(need);
  const auto now = context_.clock_.Now();
  if (pauseEnd && *pauseEnd > now) {
    return *pauseEnd - now;
  }
  return context_.queue_.EstimateWait(admitted_.service_, Rank()).value_or(kDefaultRetryAfter);
}

HttpRequest
RequestFlow::BuildRequest(const Upstream& aUpstream, std::int64_t aVersion) const
{
  HttpRequest request = admitted_.message_;
  ForwardFacts facts;
  facts.timeLeft_ = std::chrono::duration_cast<milliseconds>(TimeLeft());
  facts.upstream_ = aUpstream.entry_.id_;
  facts.adapterVersion_ = aVersion;
  if (admitted_.workspace_ != nullptr) {
    facts.workspace_ = admitted_.workspace_->id_;
  }
  if (!admitted_.facts_.model_.empty()) {
    facts.priority_ = std::min(Rank(), kMaxEngineRank);
  }
  if (isBegun_ && !events_.LastEventId().empty()) {
    facts.resumeAfter_ = events_.LastEventId();
  }
  context_.codec_.PrepareForward(request, facts);
  request.version(11);
  request.keep_alive(true);
  const bool hasBody = !request.body().View().empty() || request.method() == http::verb::post ||
                       request.method() == http::verb::put;
  request.content_length(hasBody ? boost::optional<std::uint64_t>(request.body().View().size())
                                 : boost::none);
  return request;
}

void
RequestFlow::Send(const UpstreamChoice& aChoice)
{
  eventsBefore_ = events_.Events();
  firstByte_.reset();
  isSilenceHandled_ = false;
  hasError_ = false;
  answerClass_ = AnswerClass::None;
  body_.clear();
  call_ = StartCall(aChoice, shared_from_this(), attempt_);
  ArmTimer();
}

std::shared_ptr<UpstreamCall>
RequestFlow::StartCall(const UpstreamChoice& aChoice,
                       const std::shared_ptr<CallHandler>& aHandler,
                       UpstreamAttempt& aAttempt)
{
  auto& upstream = *aChoice.upstream_;
  aAttempt = {};
  aAttempt.upstream_ = upstream.entry_.id_;
  aAttempt.endpoint_ = upstream.entry_.endpoint_;
  aAttempt.startedAt_ = upstream.entry_.startedAt_;
  aAttempt.software_ = upstream.entry_.software_;
  aAttempt.demandedVersion_ = aChoice.demandedVersion_;
  aAttempt.sent_ = context_.clock_.Now();
  aAttempt.slot_ = std::exchange(slot_, std::nullopt);
  loadingEngine_.reset();
  ++attempts_;
  const auto* releases = Releases();
  LogEvent(LogLevel::Info,
           "request_sent",
           { { "id", admitted_.facts_.id_.Value() },
             { "route", admitted_.route_->name_ },
             { "upstream", aAttempt.upstream_.Value() },
             { "software", upstream.entry_.software_.Value() },
             { "attempt", std::to_string(attempts_) },
             { "resumes", admitted_.facts_.resumes_.Value() },
             { "after_event", isBegun_ ? events_.LastEventId() : admitted_.facts_.lastEventId_ },
             { "prompt", Join(contents_.parts_) },
             { "version", std::to_string(aChoice.adapterVersion_) },
             { "demanded", std::to_string(aChoice.demandedVersion_) },
             { "released", releases == nullptr ? "none" : std::to_string(releases->Newest()) },
             { "oldest_usable",
               releases == nullptr
                 ? "none"
                 : std::to_string(releases->OldestUsable(aAttempt.sent_, OldVersionPeriod())) },
             { "waited_ms", std::to_string(Milliseconds(aAttempt.sent_ - admitted_.arrived_)) },
             { "left_ms", std::to_string(Milliseconds(TimeLeft())) },
             { "running", std::to_string(upstream.running_) },
             { "peers_running", std::to_string(upstream.peersRunning_) },
             { "config", std::to_string(admitted_.routes_->Config().version_) },
             { "proof_ms", std::to_string(Milliseconds(context_.fleet_.ConfigAge())) } });
  auto request = BuildRequest(upstream, aChoice.demandedVersion_);
  context_.fleet_.Upstreams().OnAttemptSent(aAttempt.upstream_);
  if (!admitted_.facts_.adapter_.empty()) {
    context_.onUseStarted_(
      { aAttempt.upstream_, admitted_.facts_.model_, admitted_.facts_.adapter_ });
  }
  // A late copy of an earlier answer cannot be recognized if it has the id of this request or if
  // the request has no id.
  const bool mayMistakeCopy =
    admitted_.facts_.id_.IsEmpty() || sentTo_.contains(aAttempt.endpoint_);
  const auto reuse = mayMistakeCopy ? ConnectionReuse::Forbidden : ConnectionReuse::Allowed;
  return context_.link_.Send(aAttempt.endpoint_, std::move(request), aHandler, reuse);
}

} // namespace laburnumweir
