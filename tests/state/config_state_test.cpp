/** @file config_state_test.cpp Tests of the records, the fold and the start from a snapshot. */
#include "state/bootstrap.h"
#include "state/config_codec_func.h"
#include "state/config_state.h"

#include "rules/rule_parser_func.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

std::string
Change(const std::string& aId, LogOffset aBase, const std::string& aName, bool aIsIn = true)
{
  ChangeRecord record;
  record.id_ = aId;
  record.base_ = aBase;
  record.operator_ = "ana";
  record.set_.push_back(RecordedLine{
    { "datacentre", aName }, "datacentre " + aName + (aIsIn ? " in # Ana" : " out # Ana") });
  return EncodeRecord(record);
}

std::string
Join(const std::string& aHost, Incarnation aIncarnation)
{
  return EncodeRecord(
    JoinRecord{ HostId(aHost), aIncarnation, "127.0.0.1", 7000, DataCentreId("dc-a") });
}

std::string
Remove(const std::string& aHost,
       Incarnation aIncarnation,
       const std::string& aBy,
       LogOffset aHeardNext = 0)
{
  return EncodeRecord(RemoveRecord{ HostId(aHost), aIncarnation, HostId(aBy), 1, aHeardNext });
}

/** A stream with every kind of record, also with ones that have no effect. */
std::vector<std::string>
MixedStream()
{
  return { Join("a", 1),
           Change("c1", kNoRevision, "dc-a"),
           Join("b", 1),
           Change("c2", 1, "dc-b"),
           Change("c3", 1, "dc-b", false),
           R"({"v":1,"kind":"later"})",
           "no json",
           Change("c2", 1, "dc-b"),
           Remove("b", 1, "a", 7),
           Join("b", 1),
           Join("b", 2),
           Change("c4", 3, "dc-a", false),
           EncodeRecord(LeaveRecord{ HostId("b"), 2 }) };
}

/** Guards against a field that is lost or renamed on the way through the log. */
TEST(ConfigCodec, ReadsBackWhatItWrote)
{
  ConfigState state;
  const std::vector<std::string> stream = MixedStream();
  for (LogOffset offset = 0; offset < stream.size(); ++offset) {
    state.Fold(offset, stream[offset]);
  }
  const std::vector<ConfigRecord> records = {
    ChangeRecord{
      "id", 7, { { { "order", "default" }, "order default a # x" } }, { { "class", "b" } }, "ana" },
    ChangeRecord{ "id", kNoRevision, {}, {}, "" },
    JoinRecord{ HostId("h"), 1ULL << 63, "::1", 65535, DataCentreId("dc") },
    LeaveRecord{ HostId("h"), 3 },
    RemoveRecord{ HostId("h"), 3, HostId("i"), 4 },
    RemoveRecord{ HostId("h"), 3, HostId("i"), 4, 5 },
    SnapshotRecord{ state.Image(), std::chrono::milliseconds(1'700'000'000'123) },
    SnapshotRecord{},
  };
  for (const ConfigRecord& record : records) {
    ConfigRecord again;
    ASSERT_FALSE(DecodeRecord(EncodeRecord(record), again)) << EncodeRecord(record);
    EXPECT_EQ(record, again) << EncodeRecord(record);
  }
}

/** Guards against a stream of an earlier release that cannot be folded any more. */
TEST(ConfigCodec, ReadsARemovalWithoutTheLastPosition)
{
  ConfigRecord record;
  ASSERT_FALSE(DecodeRecord(
    R"({"v":1,"kind":"remove","host":"h","incarnation":3,"by":"i","by_incarnation":4})", record));
  EXPECT_EQ(ConfigRecord(RemoveRecord{ HostId("h"), 3, HostId("i"), 4 }), record);
  ConfigState state;
  state.Fold(0, Join("a", 1));
  state.Fold(1, Join("b", 1));
  state.Fold(2, Remove("b", 1, "a"));
  std::string text = EncodeRecord(SnapshotRecord{ state.Image() });
  const std::string field = R"(,"heard_next":0)";
  for (auto at = text.find(field); at != std::string::npos; at = text.find(field)) {
    text.erase(at, field.size());
  }
  ASSERT_FALSE(DecodeRecord(text, record));
  EXPECT_EQ(ConfigRecord(SnapshotRecord{ state.Image() }), record);
}

/** Guards against a record of unexpected form that is read as something else or ends the process.
 */
TEST(ConfigCodec, RefusesMalformedRecords)
{
  for (const char* text : { "",
                            "[]",
                            "{}",
                            R"({"kind":"leave"})",
                            R"({"v":1,"kind":"leave","host":"h"})",
                            R"({"v":1,"kind":"leave","host":"h","incarnation":-1})",
                            R"({"v":1,"kind":"leave","host":5,"incarnation":1})",
                            R"({"v":1,"kind":"change","id":"i","base":1,"operator":"o",)"
                            R"("set":[],"remove":["x"]})" }) {
    ConfigRecord record;
    EXPECT_EQ(make_error_code(StateErrc::MalformedRecord), DecodeRecord(text, record)) << text;
  }
  ConfigRecord record;
  EXPECT_EQ(make_error_code(StateErrc::NewerSchema),
            DecodeRecord(R"({"v":2,"kind":"leave"})", record));
}

/** Guards against two racing changes that both win, also when they are the first of the stream. */
TEST(ConfigState, ExactlyOneOfTwoRacingChangesWins)
{
  for (const bool isFirst : { true, false }) {
    ConfigState state;
    LogOffset offset = 0;
    LogOffset base = kNoRevision;
    if (!isFirst) {
      base = offset;
      state.Fold(offset++, Change("c0", kNoRevision, "dc-z"));
    }
    EXPECT_TRUE(state.Fold(offset, Change("c1", base, "dc-a")).rulesChanged_);
    const FoldOutcome second = state.Fold(offset + 1, Change("c2", base, "dc-b"));
    EXPECT_FALSE(second.rulesChanged_);
    EXPECT_EQ(make_error_code(StateErrc::StaleBase), second.error_);
    EXPECT_TRUE(state.FindChange("c1")->isValid_);
    EXPECT_FALSE(state.FindChange("c2")->isValid_);
    EXPECT_EQ(offset, state.FindChange("c2")->revision_);
    EXPECT_FALSE(state.Rules()->dataCentres_.contains(DataCentreId("dc-b")));
  }
}

/** Guards against a repeated append that changes the state or the verdict. */
TEST(ConfigState, FoldsARepeatedChangeOnce)
{
  ConfigState state;
  state.Fold(0, Change("c1", kNoRevision, "dc-a"));
  const ConfigImage before = state.Image();
  EXPECT_EQ(make_error_code(StateErrc::DuplicateChange),
            state.Fold(1, Change("c1", kNoRevision, "dc-a")).error_);
  EXPECT_EQ(before.revision_, state.Revision());
  EXPECT_EQ(before.changes_, state.Image().changes_);
}

/** Guards against a late join record that brings an ended incarnation back. */
TEST(ConfigState, DoesNotBringBackAnEndedIncarnation)
{
  ConfigState state;
  state.Fold(0, Join("a", 1));
  state.Fold(1, Join("b", 1));
  state.Fold(2, Remove("b", 1, "a"));
  EXPECT_FALSE(state.Fold(3, Join("b", 1)).membershipChanged_);
  EXPECT_TRUE(state.Fold(4, Join("b", 2)).membershipChanged_);
  EXPECT_FALSE(state.Fold(5, Remove("b", 1, "a")).membershipChanged_);
  EXPECT_TRUE(state.IsMember(HostId("b"), 2));
  EXPECT_EQ(4U, state.FencingToken());
}

/** Guards against two cut-off hosts that remove each other, which would leave no member. */
TEST(ConfigState, ARemovedHostRemovesNobody)
{
  ConfigState state;
  state.Fold(0, Join("a", 1));
  state.Fold(1, Join("b", 1));
  EXPECT_TRUE(state.Fold(2, Remove("b", 1, "a")).membershipChanged_);
  EXPECT_EQ(make_error_code(StateErrc::NotAMember), state.Fold(3, Remove("a", 1, "b")).error_);
  EXPECT_EQ(HostId("a"), state.OwnerOf(WorkspaceId("w")));
}

/** Guards against unknown records that stop the fold or are not seen by the operators. */
TEST(ConfigState, CountsRecordsWithoutEffect)
{
  ConfigState state;
  state.Fold(0, R"({"v":1,"kind":"later"})");
  state.Fold(1, "no json");
  state.Fold(2, Remove("b", 1, "a"));
  EXPECT_EQ(3U, state.NextOffset());
  EXPECT_EQ(1U, state.Counts().unknownKinds_);
  EXPECT_EQ(1U, state.Counts().malformed_);
  EXPECT_EQ(1U, state.Counts().refused_);
}

/** Guards against a state that goes on after missing records, or past a newer schema. */
TEST(ConfigState, StopsAtAGapAndAtANewerSchema)
{
  ConfigState state;
  EXPECT_EQ(FoldStatus::Gap, state.Fold(1, Join("a", 1)).status_);
  EXPECT_EQ(FoldStatus::Unsupported, state.Fold(0, R"({"v":2,"kind":"leave"})").status_);
  EXPECT_EQ(0U, state.NextOffset());
  EXPECT_EQ(FoldStatus::Folded, state.Fold(0, Join("a", 1)).status_);
  EXPECT_EQ(FoldStatus::Known, state.Fold(0, Join("b", 1)).status_);
  EXPECT_EQ(1U, state.Members().size());
}

/** Guards against a state that depends on the snapshot that a host started from. */
TEST(ConfigReader, EndsInTheSameStateFromEverySnapshot)
{
  const std::vector<std::string> stream = MixedStream();
  for (LogOffset next = 0; next <= stream.size(); ++next) {
    ConfigState state;
    for (LogOffset offset = 0; offset < next; ++offset) {
      state.Fold(offset, stream[offset]);
    }
    std::vector<std::string> extended = stream;
    extended.push_back(EncodeRecord(SnapshotRecord{ state.Image(), std::chrono::milliseconds(5) }));
    ConfigState reference;
    for (LogOffset offset = 0; offset < extended.size(); ++offset) {
      reference.Fold(offset, extended[offset]);
    }
    for (LogOffset first = 0; first <= stream.size(); ++first) {
      ConfigReader reader;
      EXPECT_TRUE(reader.OnExtent(first));
      EXPECT_EQ(first, reader.WantedOffset());
      for (LogOffset offset = first; offset < extended.size(); ++offset) {
        reader.Add(offset, extended[offset]);
      }
      if (first > next) {
        EXPECT_EQ(nullptr, reader.State()) << first << " " << next;
        EXPECT_EQ(ReaderStatus::NoSnapshot, reader.Status());
        continue;
      }
      ASSERT_NE(nullptr, reader.State()) << first << " " << next;
      EXPECT_EQ(reference.Image(), reader.State()->Image()) << first << " " << next;
    }
  }
}

/** Guards against a host that goes on with an incomplete state after the retention passed it. */
TEST(ConfigReader, DropsItsStateAfterAGap)
{
  ConfigReader reader;
  reader.OnExtent(0);
  reader.Add(0, Join("a", 1));
  EXPECT_EQ(ReaderStatus::Ready, reader.Status());
  EXPECT_FALSE(reader.OnExtent(5));
  EXPECT_EQ(nullptr, reader.State());
  EXPECT_EQ(5U, reader.WantedOffset());
  EXPECT_EQ(1U, reader.GapCount());
}

/** Guards against a host that answers peers with a state older than one it had acknowledged. */
TEST(ConfigReader, NeverGoesBack)
{
  ConfigState old;
  old.Fold(0, Join("a", 1));
  ConfigReader reader;
  reader.OnExtent(0);
  reader.Add(0, Join("a", 1));
  reader.Add(1, Change("c1", kNoRevision, "dc-a"));
  EXPECT_FALSE(reader.Adopt(EncodeRecord(SnapshotRecord{ old.Image() })));
  reader.OnExtent(9);
  EXPECT_FALSE(reader.Adopt(EncodeRecord(SnapshotRecord{ old.Image() })));
  EXPECT_EQ(nullptr, reader.State());
  ConfigReader restarted;
  EXPECT_TRUE(restarted.Adopt(EncodeRecord(SnapshotRecord{ old.Image() })));
  EXPECT_EQ(1U, restarted.WantedOffset());
}

/** Guards against a change that puts contradicting rules into the log. */
TEST(PlanChange, RefusesWhatTheFoldWouldNotCheck)
{
  ConfigState state;
  state.Fold(0, Change("c1", kNoRevision, "dc-a"));
  const RuleBook wanted = ParseRules("datacentre dc-b in # Mor").book_;
  EXPECT_EQ(make_error_code(StateErrc::StaleBase),
            PlanChange(state, wanted, kNoRevision, "c2", "mor").error_);
  EXPECT_EQ(make_error_code(StateErrc::DuplicateChange),
            PlanChange(state, wanted, 0, "c1", "mor").error_);
  EXPECT_EQ(make_error_code(StateErrc::NoChange),
            PlanChange(state, state.Book(), 0, "c2", "mor").error_);
  const ChangePlan invalid =
    PlanChange(state, ParseRules("route /b service=s # Mor").book_, 0, "c2", "mor");
  EXPECT_EQ(make_error_code(StateErrc::InvalidRules), invalid.error_);
  EXPECT_EQ(1U, invalid.ruleErrors_.size());
  const ChangePlan plan = PlanChange(state, wanted, 0, "c2", "mor");
  ASSERT_FALSE(plan.error_);
  EXPECT_TRUE(state.Fold(1, EncodeRecord(plan.record_)).rulesChanged_);
  EXPECT_EQ(wanted, state.Book());
}

/** Guards against a stream whose old records are gone for good, and against old changes on it. */
TEST(MakeInitialSnapshot, StartsAStreamWithoutItsOldRecords)
{
  const RuleBook book = ParseRules("datacentre dc-b in # Mor").book_;
  ConfigReader reader;
  reader.OnExtent(40);
  reader.Add(40, Change("c1", 33, "dc-a"));
  EXPECT_EQ(ReaderStatus::NoSnapshot, reader.Status());
  reader.Add(41, EncodeRecord(MakeInitialSnapshot(41, book)));
  ASSERT_NE(nullptr, reader.State());
  EXPECT_EQ(book, reader.State()->Book());
  EXPECT_FALSE(reader.Add(42, Change("c2", 33, "dc-a")).rulesChanged_);
  EXPECT_TRUE(reader.Add(43, Change("c3", 41, "dc-a")).rulesChanged_);
}

} // namespace
} // namespace laburnumweir
