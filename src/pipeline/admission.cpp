/** @file admission.cpp Decides whether a request may run, and words refusals. */
#include "pipeline/pipeline_context.h"

#include "rules/class_order_func.h"

#include <algorithm>

namespace laburnumweir {

namespace {

CallerError
Refuse(int aStatus, std::string aCode, std::string aMessage)
{
  CallerError error;
  error.status_ = aStatus;
  error.code_ = std::move(aCode);
  error.message_ = std::move(aMessage);
  error.run_ = RunState::NotRun;
  return error;
}

std::chrono::seconds
RoundUp(Duration aDuration)
{
  return std::max(std::chrono::seconds(1), std::chrono::ceil<std::chrono::seconds>(aDuration));
}

bool
FindWorkspace(const RuleSet& aRules,
              const CallerRequest& aRequest,
              Admission& aAdmission,
              CallerError& aError)
{
  if (aRequest.keyDigest_.IsEmpty()) {
    aError = Refuse(401, "key_missing", "the request shows no key; expected Authorization: Bearer");
    return false;
  }
  const auto key = aRules.keys_.find(aRequest.keyDigest_);
  if (key == aRules.keys_.end()) {
    aError = Refuse(401, "key_invalid", "the key is unknown or was withdrawn");
    return false;
  }
  aAdmission.workspace_ = key->second.workspace_;
  return true;
}

bool
FindClass(const RuleSet& aRules,
          const ClassId& aWanted,
          WallTime aNow,
          Admission& aAdmission,
          CallerError& aError)
{
  const auto order = ClassOrderAt(aRules, aNow);
  aAdmission.priority_ = static_cast<int>(order.size());
  if (aWanted.IsEmpty()) {
    return true;
  }
  const auto found = aRules.classes_.find(aWanted);
  if (found == aRules.classes_.end()) {
    aError = Refuse(400, "class_unknown", "no rule names the class \"" + aWanted.Value() + "\"");
    return false;
  }
  aAdmission.class_ = found->second;
  aAdmission.priority_ =
    static_cast<int>(std::find(order.begin(), order.end(), aWanted) - order.begin());
  return true;
}

} // namespace

bool
Admit(const PublishedState& aState,
      const CallerRequest& aRequest,
      const ClassId& aClass,
      TimePoint aNow,
      WallTime aWallNow,
      Admission& aAdmission,
      CallerError& aError)
{
  if (!aState.MayAdmit(aNow)) {
    aError = Refuse(503, "not_ready", "this host has no fresh configuration");
    aError.retryAfter_ = std::chrono::seconds(1);
    return false;
  }
  const RuleSet& rules = *aState.config_->Rules();
  bool isOpen = false;
  if (aRequest.kind_ == RequestKind::Service) {
    const RouteRule* route = FindRoute(rules, aRequest.target_);
    isOpen = route != nullptr && route->isOpen_;
  }
  if (!isOpen && !FindWorkspace(rules, aRequest, aAdmission, aError)) {
    return false;
  }
  const ClassId& wanted = aRequest.class_.IsEmpty() ? aClass : aRequest.class_;
  return FindClass(rules, wanted, aWallNow, aAdmission, aError);
}

const RouteRule*
FindRoute(const RuleSet& aRules, std::string_view aTarget)
{
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  const RouteRule* best = nullptr;
  for (const auto& [prefix, route] : aRules.routes_) {
    const bool isMatch =
      path.starts_with(prefix) &&
      (path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/');
    if (isMatch && (best == nullptr || prefix.size() > best->prefix_.size())) {
      best = &route;
    }
  }
  return best;
}

CallerError
ErrorOf(const LocalReservation& aRefusal)
{
  const bool isRate =
    aRefusal.refusal_ == LimitRefusal::OverRate || aRefusal.refusal_ == LimitRefusal::QueueFull;
  CallerError error = Refuse(isRate ? 429 : 503, "tokens_unavailable", aRefusal.message_);
  if (isRate) {
    error.code_ = "rate_limited";
  }
  if (aRefusal.refusal_ == LimitRefusal::LargerThanBurst) {
    error.status_ = 400;
    error.code_ = "larger_than_burst";
    return error;
  }
  error.retryAfter_ = RoundUp(aRefusal.retryAfter_);
  return error;
}

CallerError
ErrorOf(QueueRefusal aRefusal)
{
  std::string message = "the request could not start in time";
  switch (aRefusal) {
    case QueueRefusal::WorkspaceFull:
      message = "too many requests of the workspace wait in this class";
      break;
    case QueueRefusal::QueueFull:
    case QueueRefusal::Displaced:
      message = "too many requests wait";
      break;
    case QueueRefusal::TooLate:
      message = "the queue is too long for the request to start within its class's bound";
      break;
    default:
      break;
  }
  CallerError error = Refuse(503, "queue_refused", message);
  error.retryAfter_ = std::chrono::seconds(1);
  return error;
}

CallerError
ErrorOf(const AttemptResult& aResult)
{
  CallerError error;
  const bool isLate =
    aResult.error_ == UpstreamError::DeadlineExceeded || aResult.error_ == UpstreamError::Silent;
  error.status_ = isLate ? 504 : 502;
  error.code_ = isLate ? "upstream_timeout" : "upstream_failed";
  error.message_ = aResult.error_.message();
  error.run_ = aResult.run_;
  if (aResult.run_ == RunState::NotRun) {
    error.status_ = 503;
    error.code_ = "upstream_unavailable";
    error.retryAfter_ = std::chrono::seconds(1);
  }
  return error;
}

} // namespace laburnumweir
