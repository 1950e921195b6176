/** @file engine_stand_in.cpp Stand-in of a model engine: requests and answers. */
#include "standin/engine_stand_in.h"

#include "http/json_client.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <unistd.h>

namespace laburnumweir::standin {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 10> kOwnFaults{
  "wrong_request_id", "wrong_version", "no_done", "silent_after_tokens", "end_after_tokens",
  "fail_after_start", "crash_marker",  "cold",    "load_fail",           "load_delay"
};
// Those that concern the answer to one request, chosen when it arrives.
constexpr std::array<std::string_view, 6> kRunFaults{ "wrong_request_id", "wrong_version",
                                                      "no_done",          "silent_after_tokens",
                                                      "end_after_tokens", "fail_after_start" };
constexpr std::array<std::string_view, 1> kMarkerFault{ "crash_marker" };
constexpr std::uint64_t kDefaultTokens = 16;
constexpr std::size_t kBytesPerToken = 4;

EngineLimits
ReadLimits(Settings& aSettings)
{
  EngineLimits limits;
  limits.model_ = aSettings.Text("model", limits.model_);
  limits.slots_ = static_cast<std::uint32_t>(aSettings.Count("slots", limits.slots_));
  limits.maxRunning_ =
    static_cast<std::uint32_t>(aSettings.Count("max_running", limits.maxRunning_));
  limits.overload_ =
    static_cast<std::uint32_t>(aSettings.Count("overload_limit", 2ULL * limits.maxRunning_));
  limits.tokenBase_ = aSettings.Millis("token_ms", 0);
  limits.tokenPerRunning_ = aSettings.Millis("token_ms_per_running", 0);
  limits.coldTime_ = aSettings.Millis("cold_ms", 0);
  limits.coldMaxRunning_ =
    static_cast<std::uint32_t>(aSettings.Count("cold_max_running", limits.coldMaxRunning_));
  const auto fencing = aSettings.Text("fencing", "checked");
  if (fencing != "checked" && fencing != "ignored") {
    aSettings.Fail("fencing", "\"checked\" or \"ignored\"");
  }
  limits.checksFencing_ = fencing == "checked";
  const auto evict = aSettings.Text("evict_in_use", "refuse");
  if (evict != "refuse" && evict != "allow") {
    aSettings.Fail("evict_in_use", "\"refuse\" or \"allow\"");
  }
  limits.allowsEvictInUse_ = evict == "allow";
  return limits;
}

std::size_t
PromptBytes(const json::object& aBody)
{
  std::size_t bytes = 0;
  if (const auto* prompt = aBody.if_contains("prompt")) {
    bytes += prompt->is_string() ? prompt->get_string().size() : json::serialize(*prompt).size();
  }
  const auto* messages = aBody.if_contains("messages");
  if (messages != nullptr && messages->is_array()) {
    for (const auto& message : messages->get_array()) {
      const auto* object = message.if_object();
      const auto* content = object == nullptr ? nullptr : object->if_contains("content");
      if (content != nullptr) {
        bytes +=
          content->is_string() ? content->get_string().size() : json::serialize(*content).size();
      }
    }
  }
  return bytes;
}

std::uint64_t
MaxTokens(const json::object& aBody)
{
  for (const auto* key : { "max_tokens", "max_completion_tokens" }) {
    if (const auto* value = aBody.if_contains(key)) {
      json::error_code error;
      const auto count = value->to_number<std::uint64_t>(error);
      if (!error && count > 0) {
        return count;
      }
    }
  }
  return kDefaultTokens;
}

void
SendNotRun(Reply& aReply, int aStatus, std::string_view aCode, std::string_view aMessage)
{
  aReply.AddHeader("X-Run", "not_run");
  aReply.Send(aStatus, ErrorBody(aCode, aMessage));
}

} // namespace

struct EngineStandIn::Run
{
  explicit Run(boost::asio::io_context& aContext)
    : timer_(aContext)
  {
  }
  std::uint64_t id_ = 0;            ///< Identifies the run.
  Request request_;                 ///< The request.
  AdapterRef adapter_;              ///< Adapter that runs.
  std::string requestId_;           ///< As the answer names it.
  std::string model_;               ///< As the answer names it.
  bool isChat_ = false;             ///< Whether it is a chat completion.
  bool isStream_ = false;           ///< Whether events are sent.
  bool isStarted_ = false;          ///< Whether it left the queue.
  std::uint64_t promptTokens_ = 0;  ///< Tokens of the prompt.
  std::uint64_t maxTokens_ = 0;     ///< Tokens to generate.
  std::uint64_t tokens_ = 0;        ///< Tokens generated.
  std::string text_;                ///< Text generated, for answers that are not streamed.
  std::optional<Fault> fault_;      ///< Fault of the answer.
  std::shared_ptr<Reply> reply_;    ///< The answer.
  boost::asio::steady_timer timer_; ///< Next token.
};

EngineStandIn::EngineStandIn(boost::asio::io_context& aContext,
                             std::string aName,
                             Settings& aSettings,
                             const Endpoint& aWeightStore)
  : StandIn(aContext, std::move(aName), aSettings)
  , model_(ReadLimits(aSettings), NewEpoch(), clock_.Now())
  , loadTime_(aSettings.Millis("load_ms", 250))
  , prefillTime_(aSettings.Millis("prefill_ms_per_token", 0))
  , downTime_(aSettings.Millis("down_ms", 1000))
  , stateLag_(aSettings.Millis("state_lag_ms", 0))
  , eventLag_(aSettings.Millis("event_lag_ms", 0))
  , dropEvery_(aSettings.Count("event_drop_every", 0))
  , maxTokens_(aSettings.Count("max_tokens", 4096))
{
  if (aWeightStore.port_ != 0) {
    weights_ = std::make_unique<JsonClient>(aContext, aWeightStore);
  }
  NoteChange();
}

EngineStandIn::~EngineStandIn()
{
  for (auto& [id, run] : runs_) {
    run->timer_.cancel();
  }
}

std::string
EngineStandIn::NewEpoch()
{
  const auto now = clock_.WallNow().time_since_epoch();
  return Name() + "-" + std::to_string(::getpid()) + "-" +
         std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(now).count()) + "-" +
         std::to_string(++epochs_);
}

std::span<const std::string_view>
EngineStandIn::OwnFaultKinds() const
{
  return kOwnFaults;
}

void
EngineStandIn::OnFaults()
{
  for (const auto& fault : Faults().Faults()) {
    if (fault.kind_ == "cold") {
      model_.SetCold(clock_.Now() + fault.ms_, static_cast<std::uint32_t>(fault.limit_));
    }
  }
}

void
EngineStandIn::Prepare(const Request& aRequest, Reply& aReply)
{
  aReply.AddHeader("X-Engine-Epoch", model_.Epoch());
  if (auto id = aRequest.Header("x-request-id"); !id.empty()) {
    aReply.AddHeader("X-Request-Id", std::move(id));
  }
}

void
EngineStandIn::Refuse(Reply& aReply, int aStatus)
{
  SendNotRun(aReply, aStatus, "refused", "refused before the request was started");
}

void
EngineStandIn::Handle(const Request& aRequest, const std::shared_ptr<Reply>& aReply)
{
  const auto& path = aRequest.path_;
  const auto& segments = aRequest.segments_;
  const bool isPost = aRequest.method_ == "POST";
  if (isPost && (path == "/v1/completions" || path == "/v1/chat/completions")) {
    Complete(aRequest, aReply, path == "/v1/chat/completions");
  } else if (isPost && path == "/admin/load") {
    Load(aRequest, aReply);
  } else if (isPost && segments.size() == 4 && segments[0] == "admin" &&
             segments[1] == "requests" && segments[3] == "cancel") {
    Cancel(segments[2], *aReply);
  } else if (!isPost && path == "/admin/state") {
    SendState(*aReply);
  } else if (!isPost && path == "/admin/events") {
    SendEvents(aRequest, *aReply);
  } else {
    SendNotRun(*aReply, 404, "not_found", "no such resource");
  }
}

void
EngineStandIn::Complete(const Request& aRequest, const std::shared_ptr<Reply>& aReply, bool aIsChat)
{
  bool isValid = false;
  const auto body = ParseObject(aRequest.body_, isValid);
  const auto* model = body.if_contains("model");
  auto run = std::make_shared<Run>(Context());
  if (model == nullptr || !model->is_string() ||
      !AdapterRef::Parse(model->get_string(), run->adapter_)) {
    SendNotRun(*aReply, 400, "invalid", "expected \"model\" as adapter@version");
    return;
  }
  run->id_ = nextRun_++;
  int priority = 0;
  const auto priorityText = aRequest.Header("x-priority");
  std::from_chars(priorityText.data(), priorityText.data() + priorityText.size(), priority);
  const auto admission = model_.Admit(run->id_, run->adapter_, priority, clock_.Now());
  if (admission == Admission::NotLoaded) {
    ++notLoaded_;
    SendNotRun(*aReply, 409, "adapter_not_loaded", "the adapter is not resident");
    return;
  }
  if (admission == Admission::Overloaded) {
    ++overloaded_;
    SendNotRun(*aReply, 503, "overloaded", "too many requests");
    return;
  }
  const auto* stream = body.if_contains("stream");
  run->request_ = aRequest;
  run->requestId_ = aRequest.Header("x-request-id");
  run->model_ = run->adapter_.ToString();
  run->isChat_ = aIsChat;
  run->isStream_ = stream != nullptr && stream->is_bool() && stream->get_bool();
  run->promptTokens_ = (PromptBytes(body) + kBytesPerToken - 1) / kBytesPerToken;
  run->maxTokens_ = std::min(MaxTokens(body), maxTokens_);
  run->reply_ = aReply;
  run->fault_ = Faults().Take(kRunFaults, aRequest);
  runs_[run->id_] = run;
  // Holds no pointer to the run, which holds the reply.
  aReply->OnClosed([this, id = run->id_] {
    const auto found = runs_.find(id);
    if (found != runs_.end()) {
      ++disconnected_;
      EndRun(std::shared_ptr<Run>(found->second));
    }
  });
  if (admission == Admission::Started) {
    StartRun(run);
  }
  NoteChange();
}

void
EngineStandIn::StartRun(const std::shared_ptr<Run>& aRun)
{
  aRun->isStarted_ = true;
  CountRun(aRun->request_);
  if (Faults().Take(kMarkerFault, aRun->request_)) {
    ++model_.Counts().markerCrashes_;
    Crash(downTime_);
    return;
  }
  if (model_.IsOverloadedCold(clock_.Now())) {
    ++model_.Counts().overloadCrashes_;
    Crash(downTime_);
    return;
  }
  if (aRun->fault_ && aRun->fault_->kind_ == "wrong_request_id") {
    aRun->requestId_ = aRun->fault_->text_.empty() ? "another-request" : aRun->fault_->text_;
    aRun->reply_->SetHeader("X-Request-Id", aRun->requestId_);
  }
  if (aRun->fault_ && aRun->fault_->kind_ == "wrong_version") {
    const auto& text = aRun->fault_->text_;
    aRun->model_ = aRun->adapter_.name_ + "@" + (text.empty() ? "another-version" : text);
  }
  const bool failsAtOnce =
    aRun->fault_ && aRun->fault_->kind_ == "fail_after_start" && aRun->fault_->tokens_ == 0;
  if (aRun->isStream_ && !failsAtOnce) {
    aRun->reply_->StartStream();
  }
  ScheduleToken(aRun,
                model_.TokenTime() + prefillTime_ * static_cast<std::int64_t>(aRun->promptTokens_));
}

void
EngineStandIn::ScheduleToken(const std::shared_ptr<Run>& aRun, Duration aDelay)
{
  if (aDelay <= Duration::zero()) {
    NextToken(aRun);
    return;
  }
  aRun->timer_.expires_after(aDelay);
  aRun->timer_.async_wait([this, aRun](boost::system::error_code aError) {
    if (!aError && runs_.count(aRun->id_) != 0) {
      NextToken(aRun);
    }
  });
}

bool
EngineStandIn::ApplyTokenFault(Run& aRun)
{
  if (!aRun.fault_ || aRun.tokens_ < aRun.fault_->tokens_) {
    return false;
  }
  const auto& kind = aRun.fault_->kind_;
  if (kind == "silent_after_tokens") {
    aRun.reply_->Abandon();
    return true;
  }
  if (kind == "end_after_tokens") {
    aRun.reply_->SetFault({ .kind_ = OutputFault::Kind::Lose });
    aRun.reply_->Write(" ");
    return true;
  }
  return false;
}

void
EngineStandIn::SendFailure(Run& aRun)
{
  const auto body = ErrorBody("internal", "the request failed after it was started");
  if (aRun.isStream_ && aRun.tokens_ > 0) {
    aRun.reply_->Write("data: " + body + "\n\n");
    aRun.reply_->End();
  } else {
    aRun.reply_->Send(aRun.fault_->status_ == 0 ? 500 : aRun.fault_->status_, body);
  }
}

void
EngineStandIn::NextToken(const std::shared_ptr<Run>& aRun)
{
  // A loop rather than recursion, because an engine without token time has no timer between tokens.
  for (;;) {
    if (ApplyTokenFault(*aRun)) {
      if (aRun->fault_->kind_ == "end_after_tokens") {
        EndRun(aRun);
      }
      return;
    }
    if (aRun->fault_ && aRun->fault_->kind_ == "fail_after_start" &&
        aRun->tokens_ >= aRun->fault_->tokens_) {
      SendFailure(*aRun);
      EndRun(aRun);
      return;
    }
    const auto text = " t" + std::to_string(aRun->tokens_++);
    ++tokens_;
    const bool isLast = aRun->tokens_ >= aRun->maxTokens_;
    if (aRun->isStream_) {
      aRun->reply_->Write(EventText(*aRun, text, isLast ? "length" : ""));
    } else {
      aRun->text_ += text;
    }
    if (isLast) {
      FinishRun(aRun, "length");
      return;
    }
    const auto delay = model_.TokenTime();
    if (delay > Duration::zero()) {
      ScheduleToken(aRun, delay);
      return;
    }
  }
}

void
EngineStandIn::FinishRun(const std::shared_ptr<Run>& aRun, std::string_view aReason)
{
  if (!aRun->isStream_) {
    aRun->reply_->Send(200, AnswerText(*aRun, aReason));
  } else {
    if (!aRun->fault_ || aRun->fault_->kind_ != "no_done") {
      aRun->reply_->Write("data: [DONE]\n\n");
    }
    aRun->reply_->End();
  }
  EndRun(aRun);
}

void
EngineStandIn::EndRun(const std::shared_ptr<Run>& aRun)
{
  aRun->timer_.cancel();
  runs_.erase(aRun->id_);
  const auto next = model_.Finish(aRun->id_, clock_.Now());
  NoteChange();
  if (!next) {
    return;
  }
  const auto found = runs_.find(*next);
  if (found != runs_.end()) {
    // Posted, so that a chain of requests without token time does not recurse.
    After({}, [this, run = found->second] {
      if (runs_.count(run->id_) != 0) {
        StartRun(run);
      }
    });
  }
}

const std::string&
EngineStandIn::RequestIdOf(const Run& aRun)
{
  return aRun.requestId_;
}

void
EngineStandIn::CancelRun(const std::shared_ptr<Run>& aRun)
{
  if (!aRun->isStarted_) {
    SendNotRun(*aRun->reply_, 409, "cancelled", "cancelled before the request was started");
    EndRun(aRun);
    return;
  }
  if (aRun->isStream_) {
    aRun->reply_->Write(EventText(*aRun, "", "cancelled"));
  }
  FinishRun(aRun, "cancelled");
}

std::string
EngineStandIn::EventText(const Run& aRun, std::string_view aText, std::string_view aReason) const
{
  json::object choice{ { "index", 0 } };
  if (aRun.isChat_) {
    choice["delta"] = json::object{ { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  choice["finish_reason"] = aReason.empty() ? json::value(nullptr) : json::value(aReason);
  json::object event{ { "id", "cmpl-" + aRun.requestId_ },
                      { "object", aRun.isChat_ ? "chat.completion.chunk" : "text_completion" },
                      { "model", aRun.model_ },
                      { "choices", json::array{ std::move(choice) } } };
  if (!aReason.empty()) {
    event["usage"] = json::object{ { "prompt_tokens", aRun.promptTokens_ },
                                   { "completion_tokens", aRun.tokens_ },
                                   { "total_tokens", aRun.promptTokens_ + aRun.tokens_ } };
  }
  return "data: " + json::serialize(event) + "\n\n";
}

std::string
EngineStandIn::AnswerText(const Run& aRun, std::string_view aReason) const
{
  json::object choice{ { "index", 0 }, { "finish_reason", aReason } };
  if (aRun.isChat_) {
    choice["message"] = json::object{ { "role", "assistant" }, { "content", aRun.text_ } };
  } else {
    choice["text"] = aRun.text_;
  }
  return json::serialize(
    json::object{ { "id", "cmpl-" + aRun.requestId_ },
                  { "object", aRun.isChat_ ? "chat.completion" : "text_completion" },
                  { "model", aRun.model_ },
                  { "choices", json::array{ std::move(choice) } },
                  { "usage",
                    json::object{ { "prompt_tokens", aRun.promptTokens_ },
                                  { "completion_tokens", aRun.tokens_ },
                                  { "total_tokens", aRun.promptTokens_ + aRun.tokens_ } } } });
}

void
EngineStandIn::Crash(std::chrono::nanoseconds aDown)
{
  for (auto& [id, run] : runs_) {
    run->timer_.cancel();
  }
  runs_.clear();
  AbortLeases();
  loading_.clear();
  reports_.clear();
  events_.clear();
  model_.Reset(NewEpoch(), clock_.Now() + aDown);
  NoteChange();
  GoDown(aDown);
}

void
EngineStandIn::Restart(std::chrono::nanoseconds aDown)
{
  Crash(aDown);
}

void
EngineStandIn::AddStats(json::object& aStats) const
{
  const auto& counts = model_.Counts();
  const auto report = model_.Report();
  aStats["epoch"] = model_.Epoch();
  aStats["running"] = report.running_;
  aStats["waiting"] = model_.Waiting();
  aStats["starts"] = counts.starts_;
  aStats["tokens"] = tokens_;
  aStats["max_running"] = counts.maxRunning_;
  aStats["max_running_cold"] = counts.maxRunningCold_;
  aStats["overload_crashes"] = counts.overloadCrashes_;
  aStats["marker_crashes"] = counts.markerCrashes_;
  aStats["evictions"] = counts.evictions_;
  aStats["evictions_in_use"] = counts.evictionsInUse_;
  aStats["stale_orders_accepted"] = counts.staleOrdersAccepted_;
  aStats["stale_orders_refused"] = counts.staleOrdersRefused_;
  aStats["loads"] = counts.loads_;
  aStats["refused_not_loaded"] = notLoaded_;
  aStats["refused_overloaded"] = overloaded_;
  aStats["cancelled"] = cancelled_;
  aStats["disconnected"] = disconnected_;
}

} // namespace laburnumweir::standin
