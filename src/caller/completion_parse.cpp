/** @file completion_parse.cpp Reads the JSON bodies of the completion endpoints. */
#include "caller/completion_parse.h"

#include "caller/duplicate_key.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace laburnumweir {

namespace {

namespace json = boost::json;

constexpr TokenCount kFrameTokens = 8;
constexpr TokenCount kMaxChoices = 16;
constexpr std::size_t kParseBytes = 16384; // Typical bodies parse without allocation.
constexpr std::array<std::string_view, 3> kTemplateFields{ "tools",
                                                           "functions",
                                                           "response_format" };

/** Reads one body; each method reports the first error. */
class CompletionReader
{
public:
  CompletionReader(const TokenSettings& aSettings, CallerRequest& aRequest, CallerError& aError)
    : settings_(aSettings)
    , request_(aRequest)
    , error_(aError)
  {
  }

  bool Read()
  {
    std::array<unsigned char, kParseBytes> space; // NOLINT: written before it is read
    json::monotonic_resource resource(space.data(), space.size());
    json::error_code parseError;
    const auto value = json::parse(request_.body_, parseError, &resource);
    if (parseError) {
      return Refuse("invalid_json", "the body is not valid JSON: " + parseError.message());
    }
    if (!value.is_object()) {
      return Refuse("invalid_json", "the body must be a JSON object");
    }
    if (const auto name = FindDuplicateKey(request_.body_)) {
      return Refuse("invalid_json", "field \"" + *name + "\" occurs twice");
    }
    const auto& body = value.get_object();
    return ReadModel(body) && ReadStream(body) && ReadPrompt(body) && ReadMaxTokens(body);
  }

private:
  bool Refuse(std::string aCode, std::string aMessage)
  {
    error_ = { 400, std::move(aCode), std::move(aMessage), RunState::NotRun, {} };
    return false;
  }

  bool RefuseField(std::string_view aField, std::string_view aExpected)
  {
    return Refuse("invalid_field",
                  "field \"" + std::string(aField) + "\" must be " + std::string(aExpected));
  }

  bool ReadModel(const json::object& aBody)
  {
    const auto* model = aBody.if_contains("model");
    if (model == nullptr || !model->is_string() ||
        !AdapterRef::Parse(std::string_view(model->get_string()), request_.adapter_)) {
      return RefuseField("model", "a string of the form \"adapter@version\"");
    }
    return true;
  }

  bool ReadStream(const json::object& aBody)
  {
    const auto* stream = aBody.if_contains("stream");
    if (stream == nullptr || stream->is_null()) {
      return true;
    }
    if (!stream->is_bool()) {
      return RefuseField("stream", "true or false");
    }
    request_.stream_ = stream->get_bool();
    return true;
  }

  bool ReadPrompt(const json::object& aBody)
  {
    TokenCount tokens = kFrameTokens;
    const bool isRead = request_.kind_ == RequestKind::ChatCompletion
                          ? ReadMessages(aBody, tokens)
                          : ReadPromptText(aBody, tokens);
    if (!isRead) {
      return false;
    }
    const bool hasTemplate =
      std::any_of(kTemplateFields.begin(),
                  kTemplateFields.end(),
                  [&aBody](std::string_view aField) { return aBody.contains(aField); });
    if (hasTemplate) {
      tokens += TextTokens(request_.body_.size());
    }
    request_.promptTokens_ = tokens;
    return true;
  }

  TokenCount TextTokens(std::size_t aBytes) const
  {
    const auto perToken = std::max<TokenCount>(settings_.promptBytesPerToken_, 1);
    return (static_cast<TokenCount>(aBytes) + perToken - 1) / perToken;
  }

  bool ReadPromptText(const json::object& aBody, TokenCount& aTokens)
  {
    constexpr std::string_view kExpected = "a string, a list of strings or a list of token numbers";
    const auto* prompt = aBody.if_contains("prompt");
    if (prompt != nullptr && prompt->is_string()) {
      aTokens += TextTokens(prompt->get_string().size());
    } else if (prompt != nullptr && prompt->is_array() && !prompt->get_array().empty()) {
      for (const auto& item : prompt->get_array()) {
        if (item.is_string()) {
          aTokens += kFrameTokens + TextTokens(item.get_string().size());
          ++prompts_;
        } else if (item.is_number()) {
          ++aTokens;
        } else {
          return RefuseField("prompt", kExpected);
        }
      }
      prompts_ = std::max<TokenCount>(prompts_ - 1, 1);
    } else {
      return RefuseField("prompt", kExpected);
    }
    if (const auto* suffix = aBody.if_contains("suffix")) {
      if (!suffix->is_string() && !suffix->is_null()) {
        return RefuseField("suffix", "a string");
      }
      aTokens += suffix->is_string() ? TextTokens(suffix->get_string().size()) : 0;
    }
    return true;
  }

  bool ReadMessages(const json::object& aBody, TokenCount& aTokens)
  {
    const auto* messages = aBody.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
      return RefuseField("messages", "a list with at least one message");
    }
    std::size_t index = 0;
    for (const auto& message : messages->get_array()) {
      const auto name = "messages[" + std::to_string(index++) + "]";
      const auto* object = message.if_object();
      if (object == nullptr) {
        return RefuseField(name, "an object");
      }
      const auto* role = object->if_contains("role");
      if (role == nullptr || !role->is_string()) {
        return RefuseField(name + ".role", "a string");
      }
      const auto* content = object->if_contains("content");
      if (content == nullptr || (!content->is_string() && !content->is_array() &&
                                 !(content->is_null() && object->contains("tool_calls")))) {
        return RefuseField(name + ".content", "a string or a list of parts");
      }
      aTokens += kFrameTokens + TextTokens(TextBytes(message));
    }
    return true;
  }

  /** @return number of bytes of all names and strings in a value. */
  static std::size_t TextBytes(const json::value& aValue)
  {
    std::size_t bytes = 0;
    if (aValue.is_string()) {
      bytes = aValue.get_string().size();
    } else if (aValue.is_array()) {
      for (const auto& item : aValue.get_array()) {
        bytes += TextBytes(item);
      }
    } else if (aValue.is_object()) {
      for (const auto& member : aValue.get_object()) {
        bytes += member.key().size() + TextBytes(member.value());
      }
    } else {
      bytes = 8; // A number or a literal.
    }
    return bytes;
  }

  /** Reads a whole number from 1 to a limit. @param aValue is left alone if the field is absent. */
  bool ReadCount(const json::object& aBody,
                 std::string_view aField,
                 TokenCount aLimit,
                 TokenCount& aValue)
  {
    const auto* field = aBody.if_contains(aField);
    if (field == nullptr || field->is_null()) {
      return true;
    }
    if (!field->is_int64() || field->get_int64() < 1 || field->get_int64() > aLimit) {
      return RefuseField(aField, "a whole number from 1 to " + std::to_string(aLimit));
    }
    aValue = std::max(aValue, field->get_int64());
    return true;
  }

  bool ReadMaxTokens(const json::object& aBody)
  {
    TokenCount tokens = 0;
    TokenCount choices = 1;
    if (!ReadCount(aBody, "max_tokens", settings_.maxTokensLimit_, tokens) ||
        !ReadCount(aBody, "max_completion_tokens", settings_.maxTokensLimit_, tokens) ||
        !ReadCount(aBody, "n", kMaxChoices, choices) ||
        !ReadCount(aBody, "best_of", kMaxChoices, choices)) {
      return false;
    }
    if (tokens == 0) {
      if (aBody.contains("max_tokens") || aBody.contains("max_completion_tokens")) {
        return RefuseField("max_tokens", "a whole number, not null");
      }
      tokens = settings_.defaultMaxTokens_;
      request_.body_.insert(request_.body_.find('{') + 1,
                            "\"max_tokens\":" + std::to_string(tokens) + ",");
    }
    request_.maxTokens_ = tokens * choices * prompts_;
    return true;
  }

  const TokenSettings& settings_; ///< Limits.
  CallerRequest& request_;        ///< Receives the fields.
  CallerError& error_;            ///< Receives the error.
  TokenCount prompts_ = 1;        ///< Prompts that are each completed.
};

} // namespace

bool
ParseCompletion(const TokenSettings& aSettings, CallerRequest& aRequest, CallerError& aError)
{
  return CompletionReader(aSettings, aRequest, aError).Read();
}

} // namespace laburnumweir
