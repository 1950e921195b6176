/** @file message_codec_test.cpp Tests of the header fields of forwarded requests and of answers. */
#include "platform/message_codec.h"

#include "table/fleet_const.h"

#include <gtest/gtest.h>

namespace laburnumweir::platform {
namespace {

using Fields = MessageCodec::Fields;

TEST(MessageCodec, ReadsARequest)
{
  Fields fields;
  fields.set("x-attempt-id", "9c41");
  fields.set("Authorization", "Token key");
  fields.set("X-Model", "m/a1");
  fields.set("X-Token-Usage", "1460,80");
  fields.set("X-Deadline-Ms", "12000");
  fields.set("Resumes", "8b30");
  fields.set("Last-Event-Id", "17");
  const auto facts = PlatformMessageCodec().ReadRequest(fields);
  EXPECT_EQ(facts.id_, RequestId("9c41"));
  EXPECT_EQ(facts.key_, "key");
  EXPECT_EQ(facts.model_, "m");
  EXPECT_EQ(facts.adapter_, "a1");
  EXPECT_EQ(facts.tokens_, 1540);
  EXPECT_EQ(facts.work_, 2260) << "an output token takes ten times the work of a prompt token";
  EXPECT_EQ(facts.callerTimeout_->count(), 12000);
  EXPECT_EQ(facts.resumes_, RequestId("8b30"));
  EXPECT_EQ(facts.lastEventId_, "17");
}

TEST(MessageCodec, TakesMalformedFieldsAsAbsent)
{
  for (const auto* tokens : { "", "12", "a,b", "1,2,3", "-5,7", "99999999999999999999,1" }) {
    Fields fields;
    fields.set("X-Token-Usage", tokens);
    EXPECT_FALSE(PlatformMessageCodec().ReadRequest(fields).tokens_) << tokens;
  }
  Fields fields;
  fields.set("X-Deadline-Ms", "soon");
  fields.set("Authorization", "Bearer key");
  const auto facts = PlatformMessageCodec().ReadRequest(fields);
  EXPECT_FALSE(facts.callerTimeout_);
  EXPECT_TRUE(facts.key_.empty());
}

// Guards against callers who set fields that only a gateway may set, such as the workspace, and
// against forwarding the key or the hop-by-hop fields of the caller to an upstream.
// Guards against a caller that gets tokens beyond its quota, or an upstream that is cold for ever,
// by a number so large that sums with it wrap around.
TEST(MessageCodec, LimitsLargeNumbers)
{
  constexpr const char* kLargest = "9223372036854775807";
  Fields fields;
  fields.set("X-Token-Usage", std::string(kLargest) + "," + kLargest);
  fields.set("X-Deadline-Ms", kLargest);
  fields.set("X-Cold-Ms", kLargest);
  const auto facts = PlatformMessageCodec().ReadRequest(fields);
  EXPECT_EQ(facts.tokens_, kMaxRequestTokens);
  EXPECT_EQ(facts.callerTimeout_, kMaxCallerDeadline);
  EXPECT_EQ(PlatformMessageCodec().ReadAnswer(200, fields).coldTimeLeft_, kMaxColdTime);
}

TEST(MessageCodec, LeavesOutThePartOfAPromptThatIsNotShared)
{
  using Parts = std::vector<std::string>;
  for (const auto& [prompt, parts] : std::map<std::string, Parts>{
         { "5c1e:800,91bd:410,e440:250", { "5c1e", "91bd" } },
         { "5c1e,91bd:410,", { "5c1e", "91bd" } },
         { ",:7,e440:250", {} },
         { "e440:250", {} },
         { "", {} },
       }) {
    Fields fields;
    fields.set("X-Prompt-Prefix", prompt);
    EXPECT_EQ(PlatformMessageCodec().ReadRequest(fields).sharedParts_, parts) << prompt;
  }
}

TEST(MessageCodec, ReadsTheRequestLimitOfAnUpstream)
{
  using Limit = std::optional<double>;
  for (const auto& [text, limit] : std::map<std::string, Limit>{ { "2.5", 2.5 },
                                                                 { "40", 40.0 },
                                                                 { "0", 0.0 },
                                                                 { "-1", {} },
                                                                 { "nan", {} },
                                                                 { "inf", {} },
                                                                 { "1e400", {} },
                                                                 { "2.5/s", {} },
                                                                 { "", {} } }) {
    Fields fields;
    fields.set("Server-Limit", text);
    EXPECT_EQ(PlatformMessageCodec().ReadAnswer(200, fields).requestLimit_, limit) << text;
  }
  EXPECT_FALSE(PlatformMessageCodec().ReadAnswer(200, {}).requestLimit_);
}

TEST(MessageCodec, ReadsWhetherAnUpstreamLeaves)
{
  EXPECT_FALSE(PlatformMessageCodec().ReadAnswer(200, {}).isLeaving_);
  for (const auto& [text, isLeaving] : std::map<std::string, bool>{
         { "1", true }, { "0", false }, { "", false }, { "11", false }, { "yes", false } }) {
    Fields fields;
    fields.set("server-leaving", text);
    EXPECT_EQ(PlatformMessageCodec().ReadAnswer(503, fields).isLeaving_, isLeaving) << text;
  }
}

// Guards against an upstream that gets no requests until its next start because of a wrong value,
// and against one that gets them at once because the value has a fraction or is too large for a
// double.
TEST(MessageCodec, ReadsThePauseThatAnUpstreamAsksFor)
{
  using namespace std::chrono_literals;
  using Pause = std::optional<Duration>;
  for (const auto& [text, pause] :
       std::map<std::string, Pause>{ { "2", 2s },
                                     { "0.25", 250ms },
                                     { "0", 0s },
                                     { "1e12", kMaxUpstreamPause },
                                     { "1e400", kMaxUpstreamPause },
                                     { std::string(400, '9'), kMaxUpstreamPause },
                                     { std::string(400, '0') + "2", 2s },
                                     { "1e-400", 0s },
                                     { "0." + std::string(400, '0') + "1", 0s },
                                     { "-1", {} },
                                     { "-1e400", {} },
                                     { "-1e-400", {} },
                                     { "1e400s", {} },
                                     { " 2", 2s },
                                     { "2 ", 2s },
                                     { " 1e400 ", kMaxUpstreamPause },
                                     { " ", {} },
                                     { "2 s", {} },
                                     { "-inf", {} },
                                     { "nan", {} },
                                     { "inf", {} },
                                     { "soon", {} },
                                     { "Wed, 21 Oct 2026 07:28:00 GMT", {} },
                                     { "", {} } }) {
    Fields fields;
    fields.set("Retry-After", text);
    EXPECT_EQ(PlatformMessageCodec().ReadAnswer(503, fields).pause_, pause) << text;
    EXPECT_FALSE(PlatformMessageCodec().ReadAnswer(429, fields).pause_) << text;
  }
}

TEST(MessageCodec, RemovesWhatCallersMayNotSet)
{
  Fields fields;
  for (const auto* name : { "X-Tenant",
                            "x-expect-instance",
                            "X-Expect-Version",
                            "X-Request-Priority",
                            "X-Hold",
                            "X-Pin-Ms",
                            "X-Kv-Backup",
                            "Kv-From",
                            "kv-fetch",
                            "Authorization",
                            "Keep-Alive",
                            "Transfer-Encoding",
                            "X-Mine" }) {
    fields.insert(name, "forged");
    fields.insert(name, "twice");
  }
  fields.set("Connection", "close, X-Mine");
  fields.set("X-Prompt-Prefix", "5c:800");
  ForwardFacts facts;
  facts.timeLeft_ = std::chrono::milliseconds(777);
  facts.upstream_ = UpstreamId("i-1");
  PlatformMessageCodec().PrepareForward(fields, facts);
  std::map<std::string, std::string> remaining;
  for (const auto& field : fields) {
    remaining[std::string(field.name_string())] = std::string(field.value());
  }
  const std::map<std::string, std::string> expected{ { "X-Prompt-Prefix", "5c:800" },
                                                     { "X-Deadline-Ms", "777" },
                                                     { "X-Expect-Instance", "i-1" } };
  EXPECT_EQ(remaining, expected);
}

TEST(MessageCodec, AddsWhatTheGatewaySets)
{
  Fields fields;
  fields.set("Last-Event-Id", "3");
  ForwardFacts facts;
  facts.workspace_ = WorkspaceId("w");
  facts.priority_ = 4;
  facts.adapterVersion_ = 2;
  PlatformMessageCodec().PrepareForward(fields, facts);
  EXPECT_EQ(fields["X-Tenant"], "w");
  EXPECT_EQ(fields["X-Request-Priority"], "4");
  EXPECT_EQ(fields["X-Expect-Version"], "2");
  EXPECT_EQ(fields["Last-Event-Id"], "3") << "a caller may resume its own stream";
  facts.resumeAfter_ = "9";
  PlatformMessageCodec().PrepareForward(fields, facts);
  EXPECT_EQ(fields["Last-Event-Id"], "9");
}

// Guards against repeating a request that may have run: a status of 429 or 503 alone does not say
// that the upstream did not start it.
TEST(MessageCodec, RecognisesRequestsThatDidNotRun)
{
  const PlatformMessageCodec codec;
  Fields none;
  Fields refused;
  refused.set("X-Not-Executed", "1");
  EXPECT_FALSE(codec.ReadAnswer(503, none).isNotRun_) << "only the field X-Not-Executed says so";
  EXPECT_FALSE(codec.ReadAnswer(429, none).isNotRun_);
  EXPECT_TRUE(codec.ReadAnswer(503, refused).isNotRun_);
  EXPECT_TRUE(codec.ReadAnswer(421, none).isNotRun_);
  Fields cold;
  cold.set("X-Cold-Ms", "250");
  cold.set("X-Instance-Id", "i-9");
  EXPECT_EQ(codec.ReadAnswer(200, cold).coldTimeLeft_->count(), 250);
  EXPECT_EQ(codec.ReadAnswer(200, cold).upstream_, UpstreamId("i-9"));
}

} // namespace
} // namespace laburnumweir::platform
