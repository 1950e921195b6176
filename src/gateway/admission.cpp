/** @file admission.cpp Decides which requests of callers are admitted. */
#include "gateway/admission.h"

#include "logging/logging_func.h"
#include "table/drain_const.h"
#include "table/flow_const.h"

#include <algorithm>
#include <cmath>

namespace laburnumweir {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace {

constexpr Duration kNotReadyRetryAfter = milliseconds(500);
// A caller that retries reaches another host, which can serve the request.
constexpr Duration kOtherHostRetryAfter = milliseconds(10);
constexpr std::uint64_t kRandomRange = std::uint64_t{ 1 } << 32;

} // namespace

std::optional<AdmittedRequest>
Admission::Admit(HttpRequest& aRequest, AnswerStream& aAnswer)
{
  AdmittedRequest admitted;
  admitted.arrived_ = context_.clock_.Now();
  admitted.facts_ = context_.codec_.ReadRequest(aRequest);
  admitted.routes_ = context_.fleet_.Routes();
  if (!CheckConfiguration(admitted, aAnswer) || !CheckRouteAndKey(aRequest, admitted, aAnswer)) {
    return std::nullopt;
  }
  if (drainStart_ && !MayAcceptInDrain(admitted)) {
    Refuse(aAnswer, admitted, 503, "draining", kOtherHostRetryAfter);
    return std::nullopt;
  }
  admitted.service_ = ChooseService(*admitted.route_, context_.random_.Below(kRandomRange));
  if (!TakeTokens(admitted, aAnswer)) {
    return std::nullopt;
  }
  context_.retries_.OnRequest(admitted.service_);
  admitted.message_ = std::move(aRequest);
  return admitted;
}

bool
Admission::CheckConfiguration(const AdmittedRequest& aRequest, AnswerStream& aAnswer)
{
  if (!aRequest.routes_ || !context_.fleet_.HasUpstreams()) {
    Refuse(aAnswer, aRequest, 503, "no_configuration", kNotReadyRetryAfter);
  } else if (context_.fleet_.IsConfigUnsettled()) {
    Refuse(aAnswer, aRequest, 503, "configuration_unsettled", kNotReadyRetryAfter);
  } else if (IsBehindPeersTooLong()) {
    Refuse(aAnswer, aRequest, 503, "configuration_outdated", kOtherHostRetryAfter);
  } else {
    return true;
  }
  return false;
}

bool
Admission::CheckRouteAndKey(const HttpRequest& aMessage,
                            AdmittedRequest& aRequest,
                            AnswerStream& aAnswer)
{
  const auto host = aMessage[http::field::host];
  const auto target = aMessage.target();
  aRequest.route_ =
    aRequest.routes_->Find({ host.data(), host.size() }, { target.data(), target.size() });
  if (aRequest.route_ == nullptr) {
    RefuseUnknown(aAnswer, aRequest, 404, "no_route");
    return false;
  }
  if (aRequest.routes_->NeedsKeys() && !aRequest.route_->isOpen_) {
    aRequest.workspace_ = aRequest.routes_->FindWorkspace(aRequest.facts_.key_);
    if (aRequest.workspace_ == nullptr) {
      RefuseUnknown(aAnswer, aRequest, 401, "key_unknown");
      return false;
    }
  }
  return true;
}

bool
Admission::TakeTokens(AdmittedRequest& aRequest, AnswerStream& aAnswer)
{
  const auto* workspace = aRequest.workspace_;
  if (workspace == nullptr) {
    return true;
  }
  aRequest.tokens_ =
    workspace->countsTokens_ ? aRequest.facts_.tokens_.value_or(workspace->plainTokens_) : 1;
  context_.quota_.RecordDemand(*workspace, aRequest.tokens_);
  const auto quota = context_.quota_.TryTake(*workspace, aRequest.tokens_);
  if (quota.isGranted_) {
    return true;
  }
  LogEvent(LogLevel::Info,
           "quota_refusal",
           { { "id", aRequest.facts_.id_.Value() },
             { "workspace", workspace->id_.Value() },
             { "contended", quota.isContended_ ? "true" : "false" },
             { "level", std::to_string(std::llround(quota.level_)) },
             { "needed", std::to_string(std::llround(quota.needed_)) },
             { "per_second", std::to_string(std::llround(quota.perSecond_)) },
             { "quota_per_second", std::to_string(std::llround(workspace->ratePerSecond_)) },
             { "burst", std::to_string(std::llround(workspace->burst_)) } });
  Refuse(aAnswer, aRequest, 429, "over_quota", quota.wait_);
  return false;
}

bool
Admission::IsBehindPeersTooLong() const
{
  const auto since = context_.fleet_.BehindPeersSince();
  const auto& bounds = context_.bounds_;
  return since && context_.clock_.Now() - *since >
                    bounds.maxConfigDelay_ + bounds.maxOutageExtension_ - kRevocationMargin;
}

bool
Admission::MayAcceptInDrain(const AdmittedRequest& aRequest) const
{
  const auto elapsed = context_.clock_.Now() - *drainStart_;
  const auto& route = *aRequest.route_;
  auto timeout = aRequest.facts_.callerTimeout_;
  if (route.timeout_.count() > 0) {
    timeout = std::min(timeout.value_or(route.timeout_), route.timeout_);
  }
  const bool isAnsweredInTime = timeout && elapsed + *timeout + kAnswerMargin <
                                             context_.bounds_.shutdownGrace_ - kEndAnswersMargin;
  return isAnsweredInTime || (elapsed <= kDrainNoticeTime && MayRepeat(route));
}

void
Admission::Refuse(AnswerStream& aAnswer,
                  const AdmittedRequest& aRequest,
                  unsigned aStatus,
                  std::string_view aReason,
                  std::optional<Duration> aRetryAfter)
{
  http::fields fields;
  fields.set(http::field::content_type, "text/plain");
  if (aRetryAfter) {
    fields.set(http::field::retry_after,
               std::to_string(std::chrono::duration<double>(*aRetryAfter).count()));
  }
  context_.codec_.MarkOwnAnswer(fields, aRequest.facts_.id_);
  const std::string body = std::string(aReason) + "\n";
  aAnswer.Begin(aStatus, {}, fields, body.size());
  aAnswer.Data(body);
  aAnswer.End();
  const auto configAge = std::min<Duration>(context_.fleet_.ConfigAge(), std::chrono::hours(1));
  LogEvent(
    LogLevel::Info,
    "request_refused",
    { { "id", aRequest.facts_.id_.Value() },
      { "reason", std::string(aReason) },
      { "status", std::to_string(aStatus) },
      { "route", aRequest.route_ == nullptr ? "" : aRequest.route_->name_ },
      { "workspace", aRequest.workspace_ == nullptr ? "" : aRequest.workspace_->id_.Value() },
      { "tokens", std::to_string(aRequest.tokens_) },
      { "config", aRequest.routes_ ? std::to_string(aRequest.routes_->Config().version_) : "none" },
      { "peers_config", std::to_string(context_.fleet_.PeerConfig().version_) },
      { "proof_ms", std::to_string(configAge / milliseconds(1)) } });
  context_.metrics_.GetCounter("laburnumweir_gateway_requests_total", "outcome", aReason).Add();
}

void
Admission::RefuseUnknown(AnswerStream& aAnswer,
                         const AdmittedRequest& aRequest,
                         unsigned aStatus,
                         std::string_view aReason)
{
  if (context_.fleet_.IsConfigOutdated() || context_.fleet_.BehindPeersSince()) {
    Refuse(aAnswer, aRequest, 503, "configuration_outdated", kOtherHostRetryAfter);
  } else if (context_.fleet_.ConfigAge() > context_.bounds_.maxConfigDelay_) {
    Refuse(aAnswer, aRequest, 503, "configuration_not_proven", kOtherHostRetryAfter);
  } else {
    Refuse(aAnswer, aRequest, aStatus, aReason, std::nullopt);
  }
}

} // namespace laburnumweir
