/** @file config_codec.cpp JSON text of the records of the configuration stream. */
#include "state/config_codec_func.h"

#include "rules/rule_parser_func.h"
#include "state/state_error_type.h"

#include <array>
#include <boost/json.hpp>

namespace laburnumweir {

namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 3> kMembershipKinds = { "join", "leave", "remove" };

std::string
Text(const json::object& aObject, std::string_view aKey)
{
  return std::string(aObject.at(aKey).as_string());
}

template<typename Number = std::uint64_t>
Number
Count(const json::object& aObject, std::string_view aKey)
{
  return aObject.at(aKey).to_number<Number>();
}

/** Reads a number that earlier releases did not write. */
std::uint64_t
OptionalCount(const json::object& aObject, std::string_view aKey)
{
  return aObject.contains(aKey) ? Count(aObject, aKey) : 0;
}

json::value
RevisionValue(LogOffset aRevision)
{
  return aRevision == kNoRevision ? json::value(nullptr) : json::value(aRevision);
}

LogOffset
Revision(const json::object& aObject, std::string_view aKey)
{
  const json::value& value = aObject.at(aKey);
  return value.is_null() ? kNoRevision : value.to_number<LogOffset>();
}

RuleIdentity
Identity(const json::value& aValue)
{
  RuleIdentity identity;
  if (!RuleIdentity::Parse(std::string_view(aValue.as_string()), identity)) {
    throw std::system_error(make_error_code(StateErrc::MalformedRecord));
  }
  return identity;
}

json::object
LineObject(const RuleIdentity& aIdentity, const std::string& aText)
{
  return { { "rule", aIdentity.ToString() }, { "line", aText } };
}

json::object
MemberObject(const Member& aMember)
{
  return { { "host", aMember.host_.Value() },
           { "incarnation", aMember.incarnation_ },
           { "address", aMember.address_ },
           { "port", aMember.port_ },
           { "datacentre", aMember.dataCentre_.Value() },
           { "joined", aMember.joined_ } };
}

/** Writes the fields of a record. */
struct RecordWriter
{
  json::object& object_; ///< Receives the fields.

  void operator()(const ChangeRecord& aRecord) const
  {
    json::array set;
    for (const RecordedLine& line : aRecord.set_) {
      set.push_back(LineObject(line.identity_, line.text_));
    }
    json::array removed;
    for (const RuleIdentity& identity : aRecord.removed_) {
      removed.emplace_back(identity.ToString());
    }
    object_["kind"] = "change";
    object_["id"] = aRecord.id_;
    object_["base"] = RevisionValue(aRecord.base_);
    object_["operator"] = aRecord.operator_;
    object_["set"] = std::move(set);
    object_["remove"] = std::move(removed);
  }
  void operator()(const JoinRecord& aRecord) const
  {
    object_["kind"] = "join";
    object_["host"] = aRecord.host_.Value();
    object_["incarnation"] = aRecord.incarnation_;
    object_["address"] = aRecord.address_;
    object_["port"] = aRecord.port_;
    object_["datacentre"] = aRecord.dataCentre_.Value();
  }
  void operator()(const LeaveRecord& aRecord) const
  {
    object_["kind"] = "leave";
    object_["host"] = aRecord.host_.Value();
    object_["incarnation"] = aRecord.incarnation_;
  }
  void operator()(const RemoveRecord& aRecord) const
  {
    object_["kind"] = "remove";
    object_["host"] = aRecord.host_.Value();
    object_["incarnation"] = aRecord.incarnation_;
    object_["by"] = aRecord.by_.Value();
    object_["by_incarnation"] = aRecord.byIncarnation_;
    object_["heard_next"] = aRecord.heardNext_;
  }
  void operator()(const SnapshotRecord& aRecord) const
  {
    const ConfigImage& image = aRecord.image_;
    json::array lines;
    for (const auto& [identity, line] : image.book_.Lines()) {
      lines.push_back(LineObject(identity, line.text_));
    }
    json::array members;
    for (const auto& [host, member] : image.members_) {
      members.push_back(MemberObject(member));
    }
    json::array history;
    for (const MembershipEvent& event : image.history_) {
      history.push_back(
        json::object{ { "offset", event.offset_ },
                      { "kind", kMembershipKinds[static_cast<std::size_t>(event.kind_)] },
                      { "host", event.host_.Value() },
                      { "incarnation", event.incarnation_ },
                      { "joined", event.joined_ },
                      { "size", event.size_ },
                      { "heard_next", event.heardNext_ } });
    }
    json::array changes;
    for (const ChangeVerdict& verdict : image.changes_) {
      changes.push_back(json::object{ { "id", verdict.id_ },
                                      { "offset", verdict.offset_ },
                                      { "valid", verdict.isValid_ },
                                      { "revision", RevisionValue(verdict.revision_) },
                                      { "operator", verdict.operator_ } });
    }
    object_["kind"] = "snapshot";
    object_["written"] = aRecord.written_.count();
    object_["snapshot"] =
      image.snapshot_
        ? json::value(json::object{ { "offset", image.snapshot_->offset_ },
                                    { "written", image.snapshot_->written_.count() } })
        : json::value(nullptr);
    object_["next"] = image.next_;
    object_["revision"] = RevisionValue(image.revision_);
    object_["membership"] =
      image.membership_ ? json::value(*image.membership_) : json::value(nullptr);
    object_["lines"] = std::move(lines);
    object_["members"] = std::move(members);
    object_["history"] = std::move(history);
    object_["changes"] = std::move(changes);
  }
  void operator()(const UnknownRecord& aRecord) const { object_["kind"] = aRecord.kind_; }
};

ChangeRecord
ReadChange(const json::object& aObject)
{
  ChangeRecord record;
  record.id_ = Text(aObject, "id");
  record.base_ = Revision(aObject, "base");
  record.operator_ = Text(aObject, "operator");
  for (const json::value& value : aObject.at("set").as_array()) {
    const json::object& line = value.as_object();
    record.set_.push_back(RecordedLine{ Identity(line.at("rule")), Text(line, "line") });
  }
  for (const json::value& value : aObject.at("remove").as_array()) {
    record.removed_.push_back(Identity(value));
  }
  return record;
}

Member
ReadMember(const json::object& aObject)
{
  return Member{ HostId(Text(aObject, "host")),
                 Count(aObject, "incarnation"),
                 Text(aObject, "address"),
                 Count<std::uint16_t>(aObject, "port"),
                 DataCentreId(Text(aObject, "datacentre")),
                 Count(aObject, "joined") };
}

MembershipEvent
ReadEvent(const json::object& aObject)
{
  const std::string kind = Text(aObject, "kind");
  std::size_t index = 0;
  while (index < kMembershipKinds.size() && kMembershipKinds[index] != kind) {
    ++index;
  }
  if (index == kMembershipKinds.size()) {
    throw std::system_error(make_error_code(StateErrc::MalformedRecord));
  }
  return MembershipEvent{ Count(aObject, "offset"),
                          static_cast<MembershipKind>(index),
                          HostId(Text(aObject, "host")),
                          Count(aObject, "incarnation"),
                          Count(aObject, "joined"),
                          Count(aObject, "size"),
                          OptionalCount(aObject, "heard_next") };
}

SnapshotRecord
ReadSnapshot(const json::object& aObject)
{
  SnapshotRecord record;
  ConfigImage& image = record.image_;
  record.written_ = std::chrono::milliseconds(Count<std::int64_t>(aObject, "written"));
  if (!aObject.at("snapshot").is_null()) {
    const json::object& mark = aObject.at("snapshot").as_object();
    image.snapshot_ =
      SnapshotMark{ Count(mark, "offset"),
                    std::chrono::milliseconds(Count<std::int64_t>(mark, "written")) };
  }
  image.next_ = Count(aObject, "next");
  image.revision_ = Revision(aObject, "revision");
  if (!aObject.at("membership").is_null()) {
    image.membership_ = Count(aObject, "membership");
  }
  for (const json::value& value : aObject.at("lines").as_array()) {
    const json::object& line = value.as_object();
    image.book_.Set(RestoreRuleLine(Identity(line.at("rule")), Text(line, "line")));
  }
  for (const json::value& value : aObject.at("members").as_array()) {
    Member member = ReadMember(value.as_object());
    HostId host = member.host_;
    image.members_.insert_or_assign(std::move(host), std::move(member));
  }
  for (const json::value& value : aObject.at("history").as_array()) {
    image.history_.push_back(ReadEvent(value.as_object()));
  }
  for (const json::value& value : aObject.at("changes").as_array()) {
    const json::object& change = value.as_object();
    image.changes_.push_back(ChangeVerdict{ Text(change, "id"),
                                            Count(change, "offset"),
                                            change.at("valid").as_bool(),
                                            Revision(change, "revision"),
                                            Text(change, "operator") });
  }
  return record;
}

ConfigRecord
ReadRecord(const json::object& aObject)
{
  const std::string kind = Text(aObject, "kind");
  if (kind == "change") {
    return ReadChange(aObject);
  }
  if (kind == "join") {
    return JoinRecord{ HostId(Text(aObject, "host")),
                       Count(aObject, "incarnation"),
                       Text(aObject, "address"),
                       Count<std::uint16_t>(aObject, "port"),
                       DataCentreId(Text(aObject, "datacentre")) };
  }
  if (kind == "leave") {
    return LeaveRecord{ HostId(Text(aObject, "host")), Count(aObject, "incarnation") };
  }
  if (kind == "remove") {
    return RemoveRecord{ HostId(Text(aObject, "host")),
                         Count(aObject, "incarnation"),
                         HostId(Text(aObject, "by")),
                         Count(aObject, "by_incarnation"),
                         OptionalCount(aObject, "heard_next") };
  }
  if (kind == "snapshot") {
    return ReadSnapshot(aObject);
  }
  return UnknownRecord{ kind };
}

} // namespace

std::string
EncodeRecord(const ConfigRecord& aRecord)
{
  json::object object{ { "v", kConfigSchema } };
  std::visit(RecordWriter{ object }, aRecord);
  return json::serialize(object);
}

std::error_code
DecodeRecord(std::string_view aText, ConfigRecord& aRecord)
{
  try {
    const json::value value = json::parse(json::string_view(aText.data(), aText.size()));
    const json::object& object = value.as_object();
    if (Count(object, "v") > kConfigSchema) {
      return StateErrc::NewerSchema;
    }
    aRecord = ReadRecord(object);
    return {};
  } catch (const std::exception&) {
    return StateErrc::MalformedRecord;
  }
}

} // namespace laburnumweir
