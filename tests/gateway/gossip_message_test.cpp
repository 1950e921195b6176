/** @file gossip_message_test.cpp Gossip survives its encoding and malformed datagrams. */
#include "gateway/gossip_message.h"

#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

GossipMessage
MakeMessage()
{
  GossipMessage message;
  message.host_ = HostId("h1");
  message.reply_ = { "127.0.0.1", 7600 };
  message.number_ = 12;
  message.life_ = 1791294744026;
  message.hasCounts_ = true;
  message.demand_ = { { WorkspaceId("w"), 1500, 900 } };
  message.load_ = { { UpstreamId("e1"), 7 } };
  message.generation_ = 9;
  message.partitions_ = { 0, 11 };
  message.residency_ = { { UpstreamId("e1"), 5, 6, { { "m", { { "a@b", 3 }, { "a2", 1 } } } } } };
  message.uses_ = { { UpstreamId("e1"), "m", "a1" } };
  message.running_ = { { UpstreamId("e2"), "m", "a2" } };
  message.wants_ = { { UpstreamId("e2"), { "m", "a3", 4, WantReason::Late } } };
  return message;
}

TEST(GossipMessage, SurvivesItsEncoding)
{
  const auto sent = MakeMessage();
  const auto got = DecodeGossip(EncodeGossip(sent));
  ASSERT_TRUE(got);
  EXPECT_EQ(got->host_, sent.host_);
  EXPECT_EQ(got->reply_, sent.reply_);
  EXPECT_EQ(got->number_, 12U);
  EXPECT_EQ(got->life_, sent.life_);
  EXPECT_TRUE(got->hasCounts_);
  EXPECT_EQ(got->demand_.at(0).workspace_, WorkspaceId("w"));
  EXPECT_EQ(got->demand_.at(0).askedPerSecond_, 1500);
  EXPECT_EQ(got->demand_.at(0).takenPerSecond_, 900);
  EXPECT_EQ(got->load_.at(0).running_, 7U);
  EXPECT_EQ(got->generation_, 9U);
  EXPECT_EQ(got->partitions_, sent.partitions_);
  EXPECT_EQ(got->residency_.at(0).orders_, 6U);
  EXPECT_EQ(got->residency_.at(0).startedAt_, 5);
  EXPECT_EQ(got->residency_.at(0).models_.at(0).adapters_, sent.residency_[0].models_[0].adapters_);
  EXPECT_EQ(got->uses_, sent.uses_);
  EXPECT_EQ(got->running_, sent.running_);
  EXPECT_EQ(got->wants_.at(0).want_.version_, 4);
  EXPECT_EQ(got->wants_.at(0).want_.reason_, WantReason::Late);
}

// Counts that are left out must not be taken as zero demand.
TEST(GossipMessage, TellsWhetherCountsAreGiven)
{
  GossipMessage message = MakeMessage();
  message.hasCounts_ = false;
  EXPECT_FALSE(DecodeGossip(EncodeGossip(message))->hasCounts_);
}

TEST(GossipMessage, RejectsWhatIsCutOrOfAnotherType)
{
  const auto whole = EncodeGossip(MakeMessage());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(DecodeGossip(whole.substr(0, size))) << size;
  }
  EXPECT_FALSE(DecodeGossip(R"({"h":7,"a":"1.2.3.4","p":1,"n":1,"l":1})"));
  const auto odd =
    DecodeGossip(R"({"h":"h","a":"1.2.3.4","p":1,"n":1,"l":1,"d":7,"r":[1],"e":[[]]})");
  ASSERT_TRUE(odd);
  EXPECT_TRUE(odd->demand_.empty());
  EXPECT_TRUE(odd->residency_.empty());
}

} // namespace
} // namespace laburnumweir
