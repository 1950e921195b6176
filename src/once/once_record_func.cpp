/** @file once_record_func.cpp Text form of the records of a `once` stream, keys and partitions. */
#include "once/once_record_func.h"

#include "core/hash_func.h"

#include <boost/json.hpp>
#include <utility>
#include <xxhash.h>

namespace laburnumweir {

namespace {

/** Digits kept of a SHA-256; 128 bits make an accidental collision negligible. */
constexpr std::size_t kDigestDigits = 32;

std::string
ShortDigest(std::string_view aText)
{
  return Sha256Hex(aText).substr(0, kDigestDigits);
}

/** Appends a field with its length, so that different fields never give the same text. */
void
AddField(std::string& aText, std::string_view aField)
{
  aText += std::to_string(aField.size());
  aText += ':';
  aText += aField;
}

std::string
Text(const boost::json::object& aObject, std::string_view aName)
{
  return std::string(aObject.at(aName).as_string());
}

boost::json::array
EncodeHeaders(const HeaderList& aHeaders)
{
  boost::json::array result;
  for (const auto& [name, value] : aHeaders) {
    result.push_back(boost::json::array{ name, value });
  }
  return result;
}

HeaderList
DecodeHeaders(const boost::json::array& aHeaders)
{
  HeaderList result;
  for (const boost::json::value& header : aHeaders) {
    const boost::json::array& pair = header.as_array();
    result.emplace_back(pair.at(0).as_string(), pair.at(1).as_string());
  }
  return result;
}

std::string_view
KindName(OnceRecordKind aKind)
{
  switch (aKind) {
    case OnceRecordKind::Begin:
      return "begin";
    case OnceRecordKind::Outcome:
      return "outcome";
    case OnceRecordKind::Release:
      return "release";
  }
  return "";
}

OnceRecord
Decode(const boost::json::object& aObject)
{
  OnceRecord record;
  record.key_ = OnceKey(Text(aObject, "key"));
  record.attempt_ = AttemptId(Text(aObject, "attempt"));
  const std::string kind = Text(aObject, "type");
  if (kind == "begin") {
    record.requestDigest_ = Text(aObject, "request");
    record.reader_ = ReaderId(Text(aObject, "reader"));
  } else if (kind == "outcome") {
    record.kind_ = OnceRecordKind::Outcome;
    record.outcome_.status_ = static_cast<int>(aObject.at("status").as_int64());
    record.outcome_.headers_ = DecodeHeaders(aObject.at("headers").as_array());
    record.outcome_.isBodyKept_ = aObject.contains("body");
    if (record.outcome_.isBodyKept_) {
      record.outcome_.body_ = Text(aObject, "body");
    }
  } else if (kind == "release") {
    record.kind_ = OnceRecordKind::Release;
  } else {
    throw std::invalid_argument("unknown record type");
  }
  return record;
}

} // namespace

OnceKey
MakeOnceKey(const WorkspaceId& aWorkspace, std::string_view aIdempotencyKey)
{
  std::string text;
  AddField(text, aWorkspace.Value());
  AddField(text, aIdempotencyKey);
  return OnceKey(ShortDigest(text));
}

std::string
MakeRequestDigest(std::string_view aMethod, std::string_view aTarget, std::string_view aBody)
{
  std::string text;
  AddField(text, aMethod);
  AddField(text, aTarget);
  AddField(text, aBody);
  return ShortDigest(text);
}

std::uint32_t
PartitionOf(const OnceKey& aKey, std::uint32_t aPartitions)
{
  const std::string& key = aKey.Value();
  return static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size()) % aPartitions);
}

std::string
OnceStreamName(std::uint32_t aPartition)
{
  return "once-" + std::to_string(aPartition);
}

NewRecord
EncodeOnceRecord(const OnceRecord& aRecord, std::size_t aMaxBody)
{
  boost::json::object object;
  object["type"] = KindName(aRecord.kind_);
  object["key"] = aRecord.key_.Value();
  object["attempt"] = aRecord.attempt_.Value();
  if (aRecord.kind_ == OnceRecordKind::Begin) {
    object["request"] = aRecord.requestDigest_;
    object["reader"] = aRecord.reader_.Value();
  } else if (aRecord.kind_ == OnceRecordKind::Outcome) {
    object["status"] = aRecord.outcome_.status_;
    object["headers"] = EncodeHeaders(aRecord.outcome_.headers_);
    if (aRecord.outcome_.isBodyKept_ && aRecord.outcome_.body_.size() <= aMaxBody) {
      object["body"] = aRecord.outcome_.body_;
    }
  }
  NewRecord result;
  result.id_ = std::string(KindName(aRecord.kind_)) + "/" + aRecord.attempt_.Value();
  result.data_ = boost::json::serialize(object);
  return result;
}

std::optional<OnceRecord>
DecodeOnceRecord(std::string_view aText)
{
  try {
    return Decode(
      boost::json::parse(boost::json::string_view(aText.data(), aText.size())).as_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace laburnumweir
