/** @file completion_parse_test.cpp Reading of completion bodies. */
#include "caller/completion_parse.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace laburnumweir {
namespace {

CallerRequest
Parse(const std::string& aBody, RequestKind aKind = RequestKind::Completion)
{
  CallerRequest request;
  request.kind_ = aKind;
  request.body_ = aBody;
  CallerError error;
  EXPECT_TRUE(ParseCompletion({}, request, error)) << error.message_;
  return request;
}

/** Guards against an engine that generates more than was reserved, since the body named no limit.
 */
TEST(ParseCompletion, WritesTheDefaultMaximumIntoTheBody)
{
  const auto request = Parse(R"(  {"model":"a@b","prompt":"x"})");
  EXPECT_EQ(256, request.maxTokens_);
  const auto body = boost::json::parse(request.body_).as_object();
  EXPECT_EQ(256, body.at("max_tokens").as_int64());
  EXPECT_EQ("a@b", body.at("model").as_string());
  EXPECT_EQ("x", body.at("prompt").as_string());
}

/** Guards against choices or prompts that multiply the tokens beyond what was reserved. */
TEST(ParseCompletion, CountsEveryChoiceAndPrompt)
{
  const std::string start = R"({"model":"a@b","max_tokens":10,)";
  EXPECT_EQ(10, Parse(start + R"("prompt":"x"})").maxTokens_);
  EXPECT_EQ(30, Parse(start + R"("prompt":"x","n":3})").maxTokens_);
  EXPECT_EQ(50, Parse(start + R"("prompt":"x","n":3,"best_of":5})").maxTokens_);
  EXPECT_EQ(20, Parse(start + R"("prompt":["x","y"]})").maxTokens_);
  EXPECT_EQ(120, Parse(start + R"("prompt":["x","y"],"n":6})").maxTokens_);
  EXPECT_EQ(10, Parse(start + R"("prompt":[1,2,3]})").maxTokens_);
  EXPECT_EQ(90, Parse(start + R"("prompt":"x","max_completion_tokens":90})").maxTokens_);
  EXPECT_EQ(10, Parse(start + R"("prompt":"x","max_completion_tokens":5})").maxTokens_);
}

/** Guards against an estimate below the tokens of the prompt: a byte-level tokenizer may make one
 * token of each byte. */
TEST(ParseCompletion, EstimateIsAnUpperBound)
{
  const std::string text(1000, 'x');
  const auto chat = RequestKind::ChatCompletion;
  EXPECT_GE(Parse(R"({"model":"a@b","prompt":")" + text + "\"}").promptTokens_, 1000);
  EXPECT_GE(Parse(R"({"model":"a@b","prompt":["x",")" + text + "\"]}").promptTokens_, 1001);
  EXPECT_GE(Parse(R"({"model":"a@b","prompt":"x","suffix":")" + text + "\"}").promptTokens_, 1001);
  EXPECT_GE(Parse(R"({"model":"a@b","prompt":[7,8,9]})").promptTokens_, 3);
  // Three bytes of UTF-8, written as an escape of six.
  EXPECT_GE(Parse(R"({"model":"a@b","prompt":"\u20ac"})").promptTokens_, 3);
  const auto messages = R"("messages":[{"role":"user","content":")" + text + R"("},
    {"role":"user","content":[{"type":"text","text":")" +
                        text + "\"}]}]";
  EXPECT_GE(Parse(R"({"model":"a@b",)" + messages + "}", chat).promptTokens_, 2000);
  const auto tools =
    R"({"model":"a@b","messages":[{"role":"user","content":"x"}],"tools":[{"x":")" + text + "\"}]}";
  EXPECT_GE(Parse(tools, chat).promptTokens_, 1000);
}

/** Guards against an estimate that refuses short requests for a frame far above their text. */
TEST(ParseCompletion, EstimateStaysNearTheText)
{
  EXPECT_LE(Parse(R"({"model":"a@b","prompt":"hello"})").promptTokens_, 5 + 8);
}

/** Guards against `stream` being ignored. */
TEST(ParseCompletion, ReadsStream)
{
  EXPECT_TRUE(Parse(R"({"model":"a@b","prompt":"x","stream":true})").stream_);
  EXPECT_FALSE(Parse(R"({"model":"a@b","prompt":"x","stream":false})").stream_);
  EXPECT_FALSE(Parse(R"({"model":"a@b","prompt":"x"})").stream_);
}

} // namespace
} // namespace laburnumweir
