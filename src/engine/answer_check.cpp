/** @file answer_check.cpp Checks of the answers of model engines. */
#include "engine/answer_check.h"

#include "http/header_func.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <optional>

namespace laburnumweir {

namespace {

namespace json = boost::json;

constexpr std::size_t kMaxEventBytes = std::size_t{ 1 } << 20;
constexpr std::size_t kParseBytes = 8192; // Typical answers and events parse without allocation.
constexpr std::string_view kIdPrefix = "cmpl-";
constexpr std::string_view kDone = "[DONE]";

/** @return the end of the first event (after its blank line); npos if it is not complete. */
std::size_t
EventEnd(std::string_view aText, std::size_t aFrom)
{
  for (auto at = aText.find('\n', aFrom); at != std::string_view::npos;
       at = aText.find('\n', at + 1)) {
    auto next = at + 1;
    if (next < aText.size() && aText[next] == '\r') {
      ++next;
    }
    if (next < aText.size() && aText[next] == '\n') {
      return next + 1;
    }
  }
  return std::string_view::npos;
}

/** @return the data lines of an event, joined; empty optional if it has none (a comment). */
std::optional<std::string>
EventData(std::string_view aEvent)
{
  std::optional<std::string> data;
  while (!aEvent.empty()) {
    const auto end = std::min(aEvent.find('\n'), aEvent.size());
    auto line = aEvent.substr(0, end);
    aEvent.remove_prefix(std::min(end + 1, aEvent.size()));
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (!line.starts_with("data:")) {
      continue;
    }
    line.remove_prefix(5);
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (data) {
      data->push_back('\n');
      data->append(line);
    } else {
      data.emplace(line);
    }
  }
  return data;
}

TokenCount
Count(const json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_int64() ? std::max<TokenCount>(value->get_int64(), 0) : 0;
}

class EngineAnswerCheck : public AnswerCheck
{
public:
  EngineAnswerCheck(RequestId aId, const AdapterRef& aAdapter, bool aStream)
    : id_(std::move(aId))
    , model_(aAdapter.ToString())
    , stream_(aStream)
  {
  }

  HeadVerdict CheckHead(int aStatus, const HeaderList& aHeaders, AttemptResult& aResult) override
  {
    if (FindField(aHeaders, "x-request-id") != id_.Value()) {
      return { UpstreamError::WrongAnswer };
    }
    aResult.engineEpoch_ = FindField(aHeaders, "x-engine-epoch");
    status_ = aStatus;
    refused_ = EqualsIgnoreCase(FindField(aHeaders, "x-run"), "not_run");
    if (refused_ && aStatus < 400) {
      return { UpstreamError::InvalidAnswer };
    }
    if (refused_ || aStatus >= 400) {
      return { {}, BodyMode::Hold, refused_ };
    }
    const bool isEvents =
      ToLower(FindField(aHeaders, "content-type")).starts_with("text/event-stream");
    if (aStatus != 200 || isEvents != stream_) {
      return { UpstreamError::InvalidAnswer };
    }
    return { {}, isEvents ? BodyMode::Pass : BodyMode::Hold };
  }

  std::error_code CheckWhole(std::string_view aBody, AttemptResult& aResult) override
  {
    if (refused_) {
      return RefusalError(aBody, status_);
    }
    if (status_ >= 500 || status_ == 429) {
      return UpstreamError::Failed;
    }
    if (status_ != 200) {
      // The engine's verdict on the request itself, for example a prompt that is too long.
      return {};
    }
    return CheckObject(aBody, aResult);
  }

  std::error_code CheckPart(std::string& aBytes, AttemptResult& aResult) override
  {
    const auto scanned = pending_.size();
    pending_ += aBytes;
    aBytes.clear();
    std::size_t start = 0;
    // A blank line may straddle the parts: look again at the last two bytes.
    std::size_t from = scanned < 2 ? 0 : scanned - 2;
    for (;;) {
      const auto end = EventEnd(pending_, from);
      if (end == std::string::npos) {
        break;
      }
      const auto event = std::string_view(pending_).substr(start, end - start);
      if (const auto error = CheckEvent(event, aResult)) {
        return error;
      }
      (isDone_ ? done_ : aBytes).append(event);
      start = from = end;
    }
    pending_.erase(0, start);
    return pending_.size() > kMaxEventBytes ? UpstreamError::InvalidAnswer : std::error_code{};
  }

  std::error_code CheckEnd(std::string& aRest) override
  {
    if (!isDone_ || pending_.find_first_not_of("\r\n") != std::string::npos) {
      return UpstreamError::Truncated;
    }
    aRest = std::move(done_);
    return {};
  }

private:
  std::error_code CheckEvent(std::string_view aEvent, AttemptResult& aResult)
  {
    const auto data = EventData(aEvent);
    if (!data) {
      return {};
    }
    if (isDone_) {
      return UpstreamError::InvalidAnswer;
    }
    if (*data == kDone) {
      isDone_ = true;
      return {};
    }
    return CheckObject(*data, aResult);
  }

  /** Checks a JSON body or event. */
  std::error_code CheckObject(std::string_view aText, AttemptResult& aResult)
  {
    std::array<unsigned char, kParseBytes> space; // NOLINT: written before it is read
    json::monotonic_resource resource(space.data(), space.size());
    json::error_code parseError;
    const auto value = json::parse(aText, parseError, &resource);
    const auto* object = parseError ? nullptr : value.if_object();
    if (object == nullptr) {
      return UpstreamError::InvalidAnswer;
    }
    const auto* model = object->if_contains("model");
    if (model == nullptr && object->contains("error")) {
      return UpstreamError::Failed;
    }
    if (model == nullptr || !model->is_string() || model->get_string() != model_) {
      return UpstreamError::WrongAnswer;
    }
    const auto* id = object->if_contains("id");
    if (id != nullptr && (!id->is_string() || !NamesRequest(id->get_string()))) {
      return UpstreamError::WrongAnswer;
    }
    if (IsCancelled(*object)) {
      // The engine ended the run early on someone's order; this is not the whole answer.
      return UpstreamError::Truncated;
    }
    ReadCounts(*object, aResult);
    return {};
  }

  /** @return whether an `id` of a body or event, `cmpl-REQUEST_ID`, names this request. */
  bool NamesRequest(std::string_view aId) const
  {
    return !aId.starts_with(kIdPrefix) || aId.substr(kIdPrefix.size()) == id_.Value();
  }

  /** @return whether any choice was ended by a cancel order. */
  static bool IsCancelled(const json::object& aObject)
  {
    const auto* choices = aObject.if_contains("choices");
    const auto* list = choices != nullptr ? choices->if_array() : nullptr;
    return list != nullptr && std::any_of(list->begin(), list->end(), [](const json::value& aItem) {
             const auto* choice = aItem.if_object();
             const auto* reason =
               choice != nullptr ? choice->if_contains("finish_reason") : nullptr;
             return reason != nullptr && reason->is_string() && reason->get_string() == "cancelled";
           });
  }

  void ReadCounts(const json::object& aObject, AttemptResult& aResult)
  {
    const auto* usage = aObject.if_contains("usage");
    if (usage != nullptr && usage->is_object()) {
      aResult.promptTokens_ = Count(usage->get_object(), "prompt_tokens");
      aResult.completionTokens_ = Count(usage->get_object(), "completion_tokens");
      hasUsage_ = true;
    } else if (stream_ && !hasUsage_) {
      const auto* choices = aObject.if_contains("choices");
      if (choices != nullptr && choices->is_array() && !choices->get_array().empty()) {
        ++aResult.completionTokens_;
      }
    }
  }

  static std::error_code RefusalError(std::string_view aBody, int aStatus)
  {
    json::error_code parseError;
    const auto value = json::parse(aBody, parseError);
    std::string_view code;
    if (!parseError && value.is_object()) {
      const auto* error = value.get_object().if_contains("error");
      if (error != nullptr && error->is_object()) {
        const auto* field = error->get_object().if_contains("code");
        if (field != nullptr && field->is_string()) {
          code = field->get_string();
        }
      }
    }
    if (aStatus == 409 && code == "adapter_not_loaded") {
      return UpstreamError::AdapterMissing;
    }
    if (aStatus == 503 && code == "overloaded") {
      return UpstreamError::Overloaded;
    }
    return UpstreamError::RefusedNotRun;
  }

  RequestId id_;          ///< Request that must be answered.
  std::string model_;     ///< Adapter that must answer, `name@version`.
  std::string pending_;   ///< Start of an event that is not complete.
  std::string done_;      ///< The final event, and what follows it.
  int status_ = 0;        ///< Status of the answer.
  bool stream_ = false;   ///< An event stream is expected.
  bool refused_ = false;  ///< Refused before the start.
  bool isDone_ = false;   ///< The final event was seen.
  bool hasUsage_ = false; ///< The engine counted the tokens.
};

} // namespace

std::shared_ptr<AnswerCheck>
MakeEngineAnswerCheck(RequestId aId, const AdapterRef& aAdapter, bool aStream)
{
  return std::make_shared<EngineAnswerCheck>(std::move(aId), aAdapter, aStream);
}

} // namespace laburnumweir
