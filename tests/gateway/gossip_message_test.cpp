/** @file gossip_message_test.cpp Tests the encoding of gossip and the decoding of malformed
 * datagrams. */
#include "gateway/gossip_message.h"

#include "fleet/fleet_support.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

using namespace std::chrono_literals;

GossipMessage
MakeMessage()
{
  GossipMessage message;
  message.host_ = { HostId("h1"), { "127.0.0.1", 7600 }, DataCentreId("dc1") };
  message.number_ = 12;
  message.startedAt_ = 1791294744026;
  message.hostLoad_ =
    HostLoad{ { { WorkspaceId("w"), 1500, 900, 2100 } }, { { UpstreamId("e1"), 7 } } };
  message.generation_ = 9;
  message.partitions_ = { 0, 11 };
  message.residency_ = { { UpstreamId("e1"), 5, 6, { { "m", { { "a@b", 3 }, { "a2", 1 } } } } } };
  message.startedUses_ = { { UpstreamId("e1"), "m", "a1" } };
  message.runningUses_ = { { UpstreamId("e2"), "m", "a2" } };
  message.loadRequests_ = { { UpstreamId("e2"), { "m", "a3", 4, LoadPriority::Late } } };
  message.quarantine_.suspects_ = { { { UpstreamId("e3"), 1791294744030 },
                                      { { ContentId("p1"), ContentId("p2") }, ContentId("r") },
                                      40ms } };
  message.hostLoad_->load_.push_back({ UpstreamId("e4"), 2, 4.5 });
  message.hostLoad_->config_ = { 17, { 2, 40 } };
  message.hostLoad_->restore_ = { 3, 700ms };
  message.permitRequests_ = { { UpstreamId("e4"), 4.5 } };
  message.permitAnswers_ = { { UpstreamId("e5"), { false, 150ms } } };
  message.origins_ = { { { RequestId("r1"), { ServiceName("s"), SoftwareVersion("v2"), true } } },
                       { RequestId("r2") },
                       { RequestId("r3") } };
  message.quarantine_.begun_ = { { ContentId("p1"), 20ms } };
  message.quarantine_.entries_ = { { { ContentId("p3") }, 70ms, 9s } };
  return message;
}

TEST(GossipMessage, PreservesAllFields)
{
  const auto sent = MakeMessage();
  const auto decoded = DecodeGossip(EncodeGossip(sent));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->host_, sent.host_);
  EXPECT_EQ(decoded->number_, 12U);
  EXPECT_EQ(decoded->startedAt_, sent.startedAt_);
  ASSERT_TRUE(decoded->hostLoad_);
  EXPECT_EQ(decoded->hostLoad_->demand_.at(0).workspace_, WorkspaceId("w"));
  EXPECT_EQ(decoded->hostLoad_->demand_.at(0).requestedPerSecond_, 1500);
  EXPECT_EQ(decoded->hostLoad_->demand_.at(0).grantedPerSecond_, 900);
  EXPECT_EQ(decoded->hostLoad_->demand_.at(0).recentPerSecond_, 2100);
  EXPECT_EQ(decoded->hostLoad_->load_.at(0).running_, 7U);
  EXPECT_EQ(decoded->hostLoad_->config_.version_, 17);
  EXPECT_EQ(decoded->hostLoad_->config_.next_, (StorePosition{ 2, 40 }));
  ASSERT_TRUE(decoded->hostLoad_->restore_);
  EXPECT_EQ(decoded->hostLoad_->restore_->era_, 3U);
  EXPECT_EQ(decoded->hostLoad_->restore_->age_, 700ms);
  EXPECT_EQ(decoded->generation_, 9U);
  EXPECT_EQ(decoded->partitions_, sent.partitions_);
  EXPECT_EQ(decoded->residency_.at(0).orderCount_, 6U);
  EXPECT_EQ(decoded->residency_.at(0).startedAt_, 5);
  EXPECT_EQ(decoded->residency_.at(0).models_.at(0).adapters_,
            sent.residency_[0].models_[0].adapters_);
  EXPECT_FALSE(decoded->hostLoad_->load_.at(0).requestLimit_);
  EXPECT_EQ(decoded->hostLoad_->load_.at(1).requestLimit_, 4.5);
  EXPECT_EQ(decoded->permitRequests_.at(0).upstream_, UpstreamId("e4"));
  EXPECT_EQ(decoded->permitRequests_.at(0).limit_, 4.5);
  EXPECT_EQ(decoded->permitAnswers_.at(0).upstream_, UpstreamId("e5"));
  EXPECT_FALSE(decoded->permitAnswers_.at(0).permit_.isGranted_);
  EXPECT_EQ(decoded->permitAnswers_.at(0).permit_.delay_, 150ms);
  EXPECT_EQ(decoded->origins_.records_.at(0).attempt_, RequestId("r1"));
  EXPECT_EQ(decoded->origins_.records_.at(0).origin_, sent.origins_.records_[0].origin_);
  EXPECT_EQ(decoded->origins_.queries_, sent.origins_.queries_);
  EXPECT_EQ(decoded->origins_.unknown_, sent.origins_.unknown_);
  const auto& suspect = decoded->quarantine_.suspects_.at(0);
  EXPECT_EQ(suspect.process_, sent.quarantine_.suspects_[0].process_);
  EXPECT_EQ(suspect.contents_.parts_, sent.quarantine_.suspects_[0].contents_.parts_);
  EXPECT_EQ(suspect.contents_.request_, ContentId("r"));
  EXPECT_EQ(suspect.age_, 40ms);
  EXPECT_EQ(decoded->quarantine_.begun_.at(0).content_, ContentId("p1"));
  EXPECT_EQ(decoded->quarantine_.begun_.at(0).age_, 20ms);
  EXPECT_EQ(decoded->quarantine_.entries_.at(0).contents_, sent.quarantine_.entries_[0].contents_);
  EXPECT_EQ(decoded->quarantine_.entries_.at(0).age_, 70ms);
  EXPECT_EQ(decoded->quarantine_.entries_.at(0).left_, 9s);
  EXPECT_EQ(decoded->startedUses_, sent.startedUses_);
  EXPECT_EQ(decoded->runningUses_, sent.runningUses_);
  EXPECT_EQ(decoded->loadRequests_.at(0).request_.version_, 4);
  EXPECT_EQ(decoded->loadRequests_.at(0).request_.priority_, LoadPriority::Late);
}

// Guards against counts that the receiver adds to those of another process.
TEST(GossipMessage, PreservesCountsAndConfirmationsOfUsage)
{
  GossipMessage message;
  message.host_ = { HostId("h"), { "127.0.0.1", 7 }, DataCentreId("dc") };
  EXPECT_FALSE(DecodeGossip(EncodeGossip(message))->usage_);
  UsageMessage usage;
  usage.number_ = 3;
  usage.wallTime_ = WallTime(1700s);
  usage.cells_ = { { 5, WorkspaceId("a"), 2 },
                   { 5, WorkspaceId("b"), 1 },
                   { 6, WorkspaceId("a"), 9 } };
  message.usage_ = usage;
  auto decoded = DecodeGossip(EncodeGossip(message))->usage_;
  EXPECT_EQ(decoded->number_, 3U);
  EXPECT_EQ(decoded->wallTime_, WallTime(1700s));
  EXPECT_EQ(decoded->cells_, usage.cells_);
  EXPECT_FALSE(decoded->isBackup_ || decoded->origin_ || decoded->confirmation_);
  message.usage_->isBackup_ = true;
  message.usage_->origin_ = UsageProcess{ HostId("g"), 11 };
  message.usage_->confirmation_ = UsageConfirmation{ 8, 2, 353445120 };
  decoded = DecodeGossip(EncodeGossip(message))->usage_;
  EXPECT_TRUE(decoded->isBackup_);
  EXPECT_EQ(decoded->origin_, (UsageProcess{ HostId("g"), 11 }));
  EXPECT_EQ(decoded->confirmation_->number_, 8U);
  EXPECT_EQ(decoded->confirmation_->term_, 2U);
  EXPECT_EQ(decoded->confirmation_->firstOpen_, 353445120);
}

// Guards against a missing load report that is taken as zero demand.
// Guards against load reports that hosts of a build without restores cannot read, or the reverse.
TEST(GossipMessage, ALoadReportWithoutARestoreHasNone)
{
  auto message = MakeMessage();
  message.hostLoad_->restore_.reset();
  const auto payload = EncodeGossip(message);
  EXPECT_EQ(payload.find("\"t\""), std::string::npos);
  const auto decoded = DecodeGossip(payload);
  ASSERT_TRUE(decoded && decoded->hostLoad_);
  EXPECT_FALSE(decoded->hostLoad_->restore_);
  EXPECT_EQ(decoded->hostLoad_->config_.version_, 17);
}

TEST(GossipMessage, DistinguishesMissingLoadReports)
{
  GossipMessage message = MakeMessage();
  message.hostLoad_.reset();
  EXPECT_FALSE(DecodeGossip(EncodeGossip(message))->hostLoad_);
}

TEST(GossipMessage, PreservesQueriesAndAnswersOfStoreReaders)
{
  GossipMessage message = MakeMessage();
  message.query_ = RelayQuery{ { 3, 77 }, 0xffffffffffffffffULL };
  auto decoded = DecodeGossip(EncodeGossip(message));
  ASSERT_TRUE(decoded && decoded->query_);
  EXPECT_EQ(decoded->query_->upstreams_, (StorePosition{ 3, 77 }));
  EXPECT_EQ(decoded->query_->hostsDigest_, 0xffffffffffffffffULL);
  EXPECT_FALSE(decoded->reply_);

  message.query_.reset();
  RelayReply answer;
  answer.query_ = 5;
  answer.operators_ = StorePosition{ 2, 9 };
  answer.configAge_ = std::chrono::milliseconds(1400);
  answer.upstreamAge_ = std::chrono::milliseconds(300);
  message.reply_ = answer;
  decoded = DecodeGossip(EncodeGossip(message));
  ASSERT_TRUE(decoded && decoded->reply_);
  EXPECT_EQ(decoded->reply_->query_, 5U);
  EXPECT_EQ(decoded->reply_->operators_, (StorePosition{ 2, 9 }));
  EXPECT_EQ(decoded->reply_->configAge_, answer.configAge_);
  EXPECT_FALSE(decoded->reply_->upstreams_) << "an unknown position must not be decoded as 0";
  EXPECT_FALSE(decoded->reply_->changes_) << "unknown changes must not be decoded as an empty list";

  auto entry = testing_support::MakeEngine("e1");
  entry.isDraining_ = true;
  entry.coldTimeLeft_ = std::chrono::milliseconds(900);
  entry.models_ = { { "m", { { "a1", 2 } } } };
  entry.software_ = SoftwareVersion("v2");
  auto plain = testing_support::MakeEngine("p1");
  plain.software_ = SoftwareVersion("v1");
  plain.listsModels_ = false;
  plain.models_.clear();
  message.reply_->upstreams_ = StorePosition{ 3, 80 };
  message.reply_->changes_ = { { entry.id_, entry },
                               { plain.id_, plain },
                               { UpstreamId("gone"), std::nullopt, { 1791294744026, 31 } } };
  message.hosts_ = {
    { { HostId("h2"), { "127.0.0.2", 7600 }, DataCentreId("dc2") }, 4, { 1, 3 } }
  };
  decoded = DecodeGossip(EncodeGossip(message));
  ASSERT_TRUE(decoded && decoded->reply_ && decoded->reply_->changes_);
  EXPECT_EQ(decoded->reply_->upstreams_, (StorePosition{ 3, 80 }));
  const auto& changes = *decoded->reply_->changes_;
  ASSERT_EQ(changes.size(), 3U);
  ASSERT_TRUE(changes[0].entry_ && changes[1].entry_);
  EXPECT_EQ(changes[0].entry_->endpoint_, entry.endpoint_);
  EXPECT_EQ(changes[0].entry_->service_, entry.service_);
  EXPECT_EQ(changes[0].entry_->dataCentre_, entry.dataCentre_);
  EXPECT_EQ(changes[0].entry_->slots_, entry.slots_);
  EXPECT_EQ(changes[0].entry_->software_, entry.software_);
  EXPECT_EQ(changes[1].entry_->software_, plain.software_);
  EXPECT_TRUE(changes[0].entry_->isDraining_);
  EXPECT_EQ(changes[0].entry_->coldTimeLeft_, entry.coldTimeLeft_);
  EXPECT_EQ(changes[0].entry_->startedAt_, entry.startedAt_);
  EXPECT_EQ(changes[0].entry_->heartbeat_, entry.heartbeat_);
  EXPECT_EQ(changes[0].entry_->models_, entry.models_);
  EXPECT_FALSE(changes[1].entry_->listsModels_);
  EXPECT_FALSE(changes[2].entry_);
  EXPECT_EQ(changes[2].lastStamp_, (EntryStamp{ 1791294744026, 31 }));
  ASSERT_EQ(decoded->hosts_.size(), 1U);
  EXPECT_EQ(decoded->hosts_[0].host_, message.hosts_[0].host_);
  EXPECT_EQ(decoded->hosts_[0].generation_, 4U);
  EXPECT_EQ(decoded->hosts_[0].partitions_, message.hosts_[0].partitions_);
}

// Guards against a message of a host that knows no eras yet being taken as unreadable, or its
// offsets being taken as unknown.
TEST(GossipMessage, OffsetsWithoutAnEraAreOfEraZero)
{
  const auto decoded =
    DecodeGossip(R"({"h":"h","a":"1.2.3.4","p":1,"z":"d","n":1,"l":1,"q":[77,5],)"
                 R"("s":[1,9,1400,80,300,6]})");
  ASSERT_TRUE(decoded && decoded->query_ && decoded->reply_);
  EXPECT_EQ(decoded->query_->upstreams_, (StorePosition{ 0, 77 }));
  EXPECT_EQ(decoded->reply_->operators_, (StorePosition{ 0, 9 }));
  EXPECT_EQ(decoded->reply_->upstreams_, (StorePosition{ 0, 80 }));
}

// Guards against truncated messages, or fields of other types, that are decoded as valid values.
TEST(GossipMessage, RejectsTruncatedAndMistypedMessages)
{
  const auto whole = EncodeGossip(MakeMessage());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(DecodeGossip(whole.substr(0, size))) << size;
  }
  EXPECT_FALSE(DecodeGossip(R"({"h":7,"a":"1.2.3.4","p":1,"z":"d","n":1,"l":1})"));
  const auto mistyped = DecodeGossip(
    R"({"h":"h","a":"1.2.3.4","p":1,"z":"d","n":1,"l":1,"c":true,"d":7,"r":[1],"e":[[]],)"
    R"("q":3,"s":[],"x":[[]],"m":[4]})");
  ASSERT_TRUE(mistyped && mistyped->hostLoad_);
  EXPECT_TRUE(mistyped->hostLoad_->demand_.empty());
  EXPECT_TRUE(mistyped->hosts_.empty());
  EXPECT_FALSE(mistyped->query_);
  EXPECT_TRUE(mistyped->residency_.empty());
}

} // namespace
} // namespace laburnumweir
