/** @file request_head.cpp Rules for the heads of callers' requests. */
#include "caller/request_head.h"

#include "core/hash_func.h"
#include "http/header_func.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace laburnumweir {

namespace {

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kMaxKeyBytes = 512;
constexpr std::size_t kGeneratedIdBytes = 16;
constexpr std::string_view kBearer = "bearer ";

/** Fields that this host sets itself or that steer an upstream. */
constexpr std::array<std::string_view, 8> kOwnFields{
  "host",       "content-length", "x-request-id",   "x-request-class",
  "x-priority", "x-run",          "x-engine-epoch", "x-fencing-token",
};

bool
Refuse(CallerError& aError, int aStatus, std::string aCode, std::string aMessage)
{
  aError = { aStatus, std::move(aCode), std::move(aMessage), RunState::NotRun, {} };
  return false;
}

bool
IsPrintable(std::string_view aText)
{
  return std::all_of(
    aText.begin(), aText.end(), [](char aChar) { return aChar > 0x20 && aChar < 0x7f; });
}

/**
 * @return whether a path has one reading only. Dot segments, empty segments, backslashes and
 * encoded forms of them could select another route at the service than here.
 */
bool
IsPlainPath(std::string_view aPath)
{
  const auto lower = ToLower(aPath);
  for (const std::string_view part : { "//", "\\", "%2e", "%2f", "%5c", "%00" }) {
    if (lower.find(part) != std::string::npos) {
      return false;
    }
  }
  std::string_view rest = aPath;
  while (!rest.empty()) {
    rest.remove_prefix(1);
    const auto end = std::min(rest.find('/'), rest.size());
    const auto segment = rest.substr(0, end);
    if (segment == "." || segment == "..") {
      return false;
    }
    rest.remove_prefix(end);
  }
  return true;
}

/** Reads the key. @param aKey receives it; empty without one. */
bool
ReadKey(const HeaderList& aFields, std::string_view& aKey, CallerError& aError)
{
  bool isSeen = false;
  for (const auto& [name, value] : aFields) {
    if (!EqualsIgnoreCase(name, "authorization")) {
      continue;
    }
    if (isSeen) {
      return Refuse(aError, 400, "invalid_header", "there are two Authorization fields");
    }
    isSeen = true;
    if (value.size() < kBearer.size() ||
        !EqualsIgnoreCase(std::string_view(value).substr(0, kBearer.size()), kBearer)) {
      continue;
    }
    aKey = std::string_view(value).substr(kBearer.size());
    if (aKey.empty() || aKey.size() > kMaxKeyBytes || !IsPrintable(aKey)) {
      return Refuse(aError, 401, "invalid_key", "the key in the Authorization field is malformed");
    }
  }
  return true;
}

bool
ReadTarget(CallerRequest& aRequest, CallerError& aError)
{
  const std::string_view target = aRequest.target_;
  const auto path = target.substr(0, target.find('?'));
  if (!path.starts_with('/') || !IsPrintable(target) || !IsPlainPath(path)) {
    return Refuse(aError, 400, "invalid_target", "the request target must be a plain path");
  }
  if (path == "/v1/completions") {
    aRequest.kind_ = RequestKind::Completion;
  } else if (path == "/v1/chat/completions") {
    aRequest.kind_ = RequestKind::ChatCompletion;
  } else {
    aRequest.kind_ = RequestKind::Service;
  }
  const std::string_view expected = path == kModelsPath ? "GET" : "POST";
  if ((aRequest.kind_ != RequestKind::Service || path == kModelsPath) &&
      aRequest.method_ != expected) {
    return Refuse(aError,
                  405,
                  "method_not_allowed",
                  std::string(path) + " accepts only " + std::string(expected));
  }
  if (aRequest.method_ == "CONNECT" || aRequest.method_ == "TRACE") {
    return Refuse(aError, 405, "method_not_allowed", aRequest.method_ + " is not supported");
  }
  return true;
}

} // namespace

bool
IsValidRequestId(std::string_view aId)
{
  return !aId.empty() && aId.size() <= kMaxIdBytes &&
         std::all_of(aId.begin(), aId.end(), [](char aChar) {
           return std::isalnum(static_cast<unsigned char>(aChar)) != 0 || aChar == '.' ||
                  aChar == '_' || aChar == '-';
         });
}

RequestId
RequestIdFrom(std::string_view aField)
{
  return IsValidRequestId(aField) ? RequestId(aField)
                                  : RequestId(SecureRandomHex(kGeneratedIdBytes));
}

bool
ParseHead(const HeaderList& aFields, CallerRequest& aRequest, CallerError& aError)
{
  aRequest.id_ = RequestIdFrom(FindField(aFields, "x-request-id"));
  std::string_view key;
  if (!ReadTarget(aRequest, aError) || !ReadKey(aFields, key, aError)) {
    return false;
  }
  if (!key.empty()) {
    if (aRequest.target_.find(key) != std::string::npos) {
      return Refuse(aError, 400, "invalid_target", "the key must not be part of the target");
    }
    aRequest.keyDigest_ = KeyDigest(Sha256Hex(key));
  }
  aRequest.idempotencyKey_ = FindField(aFields, "idempotency-key");
  if (aRequest.idempotencyKey_.size() > kMaxIdBytes || !IsPrintable(aRequest.idempotencyKey_)) {
    return Refuse(aError,
                  400,
                  "invalid_header",
                  "Idempotency-Key must have at most 128 printable characters without spaces");
  }
  const auto requestClass = FindField(aFields, "x-request-class");
  if (!requestClass.empty() && !IsValidRequestId(requestClass)) {
    return Refuse(
      aError, 400, "invalid_header", "X-Request-Class must be one word of at most 128 characters");
  }
  aRequest.class_ = ClassId(requestClass);
  const auto connection = FindField(aFields, "connection");
  for (const auto& [name, value] : aFields) {
    const bool isOwn =
      std::any_of(kOwnFields.begin(), kOwnFields.end(), [&name = name](std::string_view aOwn) {
        return EqualsIgnoreCase(aOwn, name);
      });
    const bool hasKey = !key.empty() && value.find(key) != std::string::npos;
    if (!isOwn && !hasKey && !IsHopByHop(name, connection) && !IsCallerSecret(name)) {
      aRequest.headers_.emplace_back(name, value);
    }
  }
  return true;
}

} // namespace laburnumweir
