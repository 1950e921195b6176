/** @file caller_limit_test.cpp Contract of the callers' server: malformed, large and slow callers.
 */
#include "caller_support.h"

#include "support/upstream_support.h"

#include <array>

namespace laburnumweir {
namespace {

using namespace testing_support;

constexpr std::size_t kMegabyte = std::size_t{ 1 } << 20;

struct RefusedCase
{
  std::string name_;         ///< Name of the test.
  std::string bytes_;        ///< What the caller sends.
  unsigned status_ = 400;    ///< Status of the answer.
  std::string message_ = {}; ///< Part of the error's message.
};

void
PrintTo(const RefusedCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.name_;
}

std::vector<RefusedCase>
RefusedCases()
{
  const auto completion = [](const std::string& aBody) { return Post(aBody); };
  const auto chat = [](const std::string& aBody) {
    return Post(aBody, "", "/v1/chat/completions");
  };
  const std::string model = R"({"model":"a@b",)";
  const std::string inside = "GET /inside HTTP/1.1\r\n\r\n";
  return {
    { "NoHttp", "\x16\x03\x01\x02\r\n\r\n" },
    { "InvalidMethod", "G@T / HTTP/1.1\r\n\r\n" },
    { "InvalidVersion", "GET / HTTP/9.9\r\n\r\n" },
    { "FieldWithoutColon", "GET / HTTP/1.1\r\nabc\r\n\r\n" },
    { "InvalidLength", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n" },
    { "TwoLengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab" },
    { "LengthAndChunks",
      "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
    { "CodedBody", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n" + inside },
    { "CodedChunks", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" },
    { "CodingAfterChunks", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\n" + inside },
    { "IdentityCoding", "POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n" + inside },
    { "CodedBodyAndLength",
      "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\nContent-Length: 1\r\n\r\na" + inside },
    { "ChunksInHttp10", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
    { "InvalidChunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" },
    { "LargeHead", "GET / HTTP/1.1\r\nX: " + std::string(kMegabyte, 'x') + "\r\n\r\n", 431 },
    { "LargeTarget", "GET /" + std::string(kMegabyte, 'x') + " HTTP/1.1\r\n\r\n", 431 },
    { "LargeBody", "POST /v1/completions HTTP/1.1\r\nContent-Length: 104857600\r\n\r\n", 413 },
    { "BodyOverTheLimitByOne",
      "POST /v1/completions HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n",
      413 },
    { "LargeChunkedBody",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
        ChunkOf(std::string(kMegabyte + 1, 'x')),
      413 },
    { "LongTrailerField",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + std::string(65534, 'x') +
        "\r\n\r\n",
      431 },
    { "ChunkExtensionWithoutEnd",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(kMegabyte / 4, 'x') },
    { "TwoKeys", "GET / HTTP/1.1\r\nAuthorization: Bearer a\r\nAuthorization: Bearer b\r\n\r\n" },
    { "MalformedKey", "GET / HTTP/1.1\r\nAuthorization: Bearer a b\r\n\r\n", 401 },
    { "KeyInTarget", "GET /x?k=abcdef HTTP/1.1\r\nAuthorization: Bearer abcdef\r\n\r\n" },
    { "DotSegment", "GET /a/../bookings HTTP/1.1\r\n\r\n" },
    { "EncodedDot", "GET /a/%2E%2e/bookings HTTP/1.1\r\n\r\n" },
    { "EncodedSlash", "GET /a%2fb HTTP/1.1\r\n\r\n" },
    { "EmptySegment", "GET //bookings HTTP/1.1\r\n\r\n" },
    { "AbsoluteTarget", "GET http://x/y HTTP/1.1\r\n\r\n" },
    { "Connect", "CONNECT /a HTTP/1.1\r\n\r\n", 405 },
    { "GetCompletion", "GET /v1/completions HTTP/1.1\r\n\r\n", 405 },
    { "PostModels", "POST /v1/models HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405 },
    { "LongIdempotencyKey",
      "GET / HTTP/1.1\r\nIdempotency-Key: " + std::string(129, 'x') + "\r\n\r\n" },
    { "InvalidClass", "GET / HTTP/1.1\r\nX-Request-Class: a b\r\n\r\n" },
    { "EmptyBody", completion(""), 400, "JSON" },
    { "NoJson", completion("model=a"), 400, "JSON" },
    { "DeepJson", completion(std::string(100000, '[')), 400, "JSON" },
    { "JsonList", completion("[]"), 400, "object" },
    { "NoModel", completion(R"({"prompt":"x"})"), 400, "\"model\"" },
    { "ModelWithoutVersion", completion(R"({"model":"a","prompt":"x"})"), 400, "\"model\"" },
    { "ModelNumber", completion(R"({"model":1,"prompt":"x"})"), 400, "\"model\"" },
    { "NoPrompt", completion(model + R"("x":1})"), 400, "\"prompt\"" },
    { "PromptObject", completion(model + R"("prompt":{}})"), 400, "\"prompt\"" },
    { "PromptList", completion(model + R"("prompt":["a",null]})"), 400, "\"prompt\"" },
    { "StreamText", completion(model + R"("prompt":"x","stream":"yes"})"), 400, "\"stream\"" },
    { "NoTokens", completion(model + R"("prompt":"x","max_tokens":0})"), 400, "\"max_tokens\"" },
    { "NegativeTokens",
      completion(model + R"("prompt":"x","max_tokens":-5})"),
      400,
      "\"max_tokens\"" },
    { "TooManyTokens",
      completion(model + R"("prompt":"x","max_tokens":99999999999999999999})"),
      400,
      "\"max_tokens\"" },
    { "NullTokens",
      completion(model + R"("prompt":"x","max_tokens":null})"),
      400,
      "\"max_tokens\"" },
    { "FractionOfTokens",
      completion(model + R"("prompt":"x","max_tokens":1.5})"),
      400,
      "\"max_tokens\"" },
    { "TooManyChoices", completion(model + R"("prompt":"x","n":1000})"), 400, "\"n\"" },
    { "NoMessages", chat(model + R"("prompt":"x"})"), 400, "\"messages\"" },
    { "EmptyMessages", chat(model + R"("messages":[]})"), 400, "\"messages\"" },
    { "MessageText", chat(model + R"("messages":["x"]})"), 400, "\"messages[0]\"" },
    { "MessageWithoutRole",
      chat(model + R"("messages":[{"role":"user","content":"a"},{"content":"b"}]})"),
      400,
      "\"messages[1].role\"" },
    { "MessageWithoutContent",
      chat(model + R"("messages":[{"role":"user"}]})"),
      400,
      "\"messages[0].content\"" },
    { "TwoModels", completion(R"({"model":"a@b","prompt":"x","model":"a@c"})"), 400, "\"model\"" },
    { "TwoMaxima",
      completion(model + R"("prompt":"x","max_tokens":1,"max\u005ftokens":9})"),
      400,
      "\"max_tokens\"" },
  };
}

struct RefusedTest
  : CallerServerTest
  , testing::WithParamInterface<RefusedCase>
{};

/** Guards against a malformed or too large request reaching the handler, and against an error that
 * does not tell the caller what is wrong. The strict mock fails if the handler is called. */
TEST_P(RefusedTest, IsAnsweredAsNotRun)
{
  Listen();
  auto caller = Connect();
  std::thread writer([&caller] { caller.Send(GetParam().bytes_); });
  const auto answer = caller.ReadAnswer();
  writer.join();
  ASSERT_TRUE(answer);
  EXPECT_EQ(GetParam().status_, answer->result_int()) << answer->body();
  EXPECT_EQ("not_run", ErrorMember(answer->body(), "run"));
  EXPECT_THAT(ErrorMember(answer->body(), "message"), testing::HasSubstr(GetParam().message_));
  EXPECT_NE("", ErrorMember(answer->body(), "request_id"));
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         RefusedTest,
                         testing::ValuesIn(RefusedCases()),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/** Short limits, so that the tests do not wait long. */
CallerSettings
ShortLimits()
{
  CallerSettings settings;
  settings.headTime_ = 150ms;
  settings.bodyTime_ = 150ms;
  settings.idleTime_ = 150ms;
  settings.writeStall_ = 200ms;
  settings.lingerTime_ = 100ms;
  return settings;
}

/** Guards against a caller that sends its head or body slowly and holds a connection for ever. */
TEST_F(CallerServerTest, SlowHeadAndBodyGet408)
{
  Listen(ShortLimits());
  const std::string bodyStart = "POST /v1/completions HTTP/1.1\r\nContent-Length: 1000\r\n\r\n";
  for (const auto& start : { std::string("POST /"), bodyStart }) {
    auto caller = Connect();
    caller.Send(start);
    // Progress does not extend the limit.
    std::thread writer([&caller] {
      for (int i = 0; i < 20 && caller.Send("a"); ++i) {
        std::this_thread::sleep_for(20ms);
      }
    });
    const auto answer = caller.ReadAnswer();
    writer.join();
    ASSERT_TRUE(answer);
    EXPECT_EQ(408U, answer->result_int());
    EXPECT_EQ("not_run", ErrorMember(answer->body(), "run"));
    EXPECT_TRUE(caller.WaitClosed());
  }
}

/** Guards against idle connections that are kept for ever, before and after a request. */
TEST_F(CallerServerTest, IdleConnectionsAreClosed)
{
  Listen(ShortLimits());
  AnswerAtOnce();
  auto silent = Connect();
  auto used = Connect();
  used.Send(Post());
  EXPECT_TRUE(used.ReadAnswer());
  EXPECT_TRUE(silent.WaitClosed());
  EXPECT_TRUE(used.WaitClosed());
  EXPECT_EQ("", silent.Input());
  EXPECT_EQ("", used.Input());
}

/** Guards against a caller that does not read making this host hold its whole answer, and against
 * its request running on. */
TEST_F(CallerServerTest, SlowReaderIsCutOff)
{
  Listen(ShortLimits());
  HoldSinks();
  std::atomic<bool> isCancelled = false;
  EXPECT_CALL(*running_, Cancel).WillOnce([&isCancelled] { isCancelled = true; });
  auto caller = Connect();
  caller.Socket().set_option(boost::asio::socket_base::receive_buffer_size(4096));
  caller.Send(Post());
  const auto sink = TakeSink(0);
  ASSERT_TRUE(sink);
  std::atomic<int> written = 0;
  sink->Begin(200, kEventFields);
  std::function<void()> next = [&] {
    if (++written < 10000) {
      sink->Chunk(std::string(32768, 'x'), next);
    }
  };
  next();
  EXPECT_TRUE(WaitUntil([&isCancelled] { return isCancelled.load(); }));
  // The kernel's send buffer takes some megabytes before the stall.
  EXPECT_LT(written * std::size_t{ 32768 }, 16 * kMegabyte);
  EXPECT_TRUE(WaitUntil([this] { return server_->Connections() == 0; }));
}

/** Guards against a stream that is cut although its caller reads, only slowly. */
TEST_F(CallerServerTest, ReaderWithPausesIsServed)
{
  Listen(ShortLimits());
  EXPECT_CALL(handler_, Start).WillOnce([](const CallerRequest&, const SinkPtr& aSink) {
    aSink->Complete(200, {}, std::string(8 * kMegabyte, 'x'));
    return nullptr;
  });
  auto caller = Connect();
  caller.Send(Post());
  std::size_t size = 0;
  while (size < 8 * kMegabyte && caller.ReadSome()) {
    size += caller.Input().size();
    caller.Input().clear();
    std::this_thread::sleep_for(3ms);
  }
  EXPECT_GE(size, 8 * kMegabyte);
}

/** Guards against cutting a slow but sound reader shortly before the end of its answer: the kernel
 * takes further bytes only when a third of its send buffer is free, and a caller may need longer
 * than the limit of a stall to read so much. */
TEST_F(CallerServerTest, ReaderThatNeedsLongForAThirdOfTheSendBufferIsServed)
{
  constexpr std::size_t kStep = 8192;
  Listen(ShortLimits());
  EXPECT_CALL(handler_, Start).WillOnce([](const CallerRequest&, const SinkPtr& aSink) {
    aSink->Complete(200, {}, std::string(8 * kMegabyte, 'x'));
    return nullptr;
  });
  auto caller = Connect();
  caller.Send(Post());
  std::size_t size = 0;
  while (size < 8 * kMegabyte && caller.ReadSome(kTestTimeout, kStep)) {
    size += caller.Input().size();
    caller.Input().clear();
    std::this_thread::sleep_for(3ms);
  }
  EXPECT_GE(size, 8 * kMegabyte);
}

/** Guards against a handler that ignores aWritten filling the memory. */
TEST_F(CallerServerTest, UnsentBytesAreBounded)
{
  auto settings = ShortLimits();
  settings.maxUnsentBytes_ = kMegabyte;
  settings.writeStall_ = 10s;
  Listen(settings);
  HoldSinks();
  std::atomic<bool> isCancelled = false;
  EXPECT_CALL(*running_, Cancel).WillOnce([&isCancelled] { isCancelled = true; });
  auto caller = Connect();
  caller.Send(Post());
  const auto sink = TakeSink(0);
  ASSERT_TRUE(sink);
  sink->Begin(200, kEventFields);
  for (int i = 0; i < 1000 && !isCancelled; ++i) {
    sink->Chunk(std::string(65536, 'x'), nullptr);
    std::this_thread::sleep_for(1ms);
  }
  EXPECT_TRUE(WaitUntil([&isCancelled] { return isCancelled.load(); }));
}

/** Guards against connections without number. */
TEST_F(CallerServerTest, TooManyConnectionsAreRefused)
{
  CallerSettings settings;
  settings.maxConnections_ = 3;
  Listen(settings);
  AnswerAtOnce();
  std::vector<Peer> callers;
  for (std::size_t i = 0; i < 3; ++i) {
    callers.push_back(Connect());
    EXPECT_TRUE(WaitUntil([&] { return server_->Connections() == callers.size(); }));
  }
  auto fourth = Connect();
  fourth.Send(Post());
  const auto answer = fourth.ReadAnswer();
  ASSERT_TRUE(answer);
  EXPECT_EQ(503U, answer->result_int());
  EXPECT_EQ("not_run", ErrorMember(answer->body(), "run"));
  callers[0].Send(Post());
  const auto served = callers[0].ReadAnswer();
  ASSERT_TRUE(served);
  EXPECT_EQ(200U, served->result_int());
  callers.clear();
  fourth.Close();
  EXPECT_TRUE(WaitUntil([this] { return server_->Connections() == 0; }));
  auto later = Connect();
  later.Send(Post());
  const auto last = later.ReadAnswer();
  ASSERT_TRUE(last);
  EXPECT_EQ(200U, last->result_int());
}

/**
 * Guards against memory that grows with what hostile callers send, and against other callers being
 * delayed by them: 64 callers send bodies of almost 1 MB without an end, 64 send heads without an
 * end, and 64 ask for 4 MB in a stream and do not read.
 */
TEST_F(CallerServerTest, HostileCallersCostLittleMemoryAndDelayNobody)
{
  CallerSettings settings;
  settings.maxBodyBytesInAll_ = 8 * kMegabyte;
  Listen(settings);
  const auto part = std::make_shared<std::string>(32768, 'x');
  EXPECT_CALL(handler_, Start)
    .WillRepeatedly([part](const CallerRequest& aRequest, const SinkPtr& aSink) -> RunningPtr {
      if (!aRequest.stream_) {
        aSink->Complete(200, {}, "ok");
        return nullptr;
      }
      aSink->Begin(200, kEventFields);
      struct Pump : std::enable_shared_from_this<Pump>
      {
        void Run()
        {
          if (++parts_ <= 128) {
            sink_->Chunk(*part_, [self = shared_from_this()] { self->Run(); });
          } else {
            sink_->End();
          }
        }
        SinkPtr sink_;
        std::shared_ptr<std::string> part_;
        int parts_ = 0;
      };
      auto pump = std::make_shared<Pump>();
      pump->sink_ = aSink;
      pump->part_ = part;
      pump->Run();
      return nullptr;
    });
  const std::string body = "POST /v1/completions HTTP/1.1\r\nContent-Length: 1048576\r\n\r\n" +
                           std::string(kMegabyte - 1000, 'x');
  const std::string head = "POST / HTTP/1.1\r\nX: " + std::string(16000, 'x');
  const std::string stream = Post(R"({"model":"a@b","prompt":"x","stream":true})");
  auto friendly = Connect();
  friendly.Send(Post());
  ASSERT_TRUE(friendly.ReadAnswer());
  const auto before = ResidentBytes();
  std::vector<Peer> callers;
  for (int i = 0; i < 64; ++i) {
    for (const auto* bytes : { &body, &head, &stream }) {
      callers.push_back(Connect());
      if (bytes == &stream) {
        callers.back().Socket().set_option(boost::asio::socket_base::receive_buffer_size(4096));
      }
      callers.back().Send(*bytes);
    }
  }
  std::chrono::steady_clock::duration worst{};
  for (int i = 0; i < 100; ++i) {
    const auto start = std::chrono::steady_clock::now();
    friendly.Send(Post());
    const auto answer = friendly.ReadAnswer();
    ASSERT_TRUE(answer);
    EXPECT_EQ(200U, answer->result_int());
    worst = std::max(worst, std::chrono::steady_clock::now() - start);
  }
  EXPECT_LT(worst, 250ms) << "the slowest answer took "
                          << std::chrono::duration<double, std::milli>(worst).count() << " ms";
  const auto after = ResidentBytes();
  // Bodies 8 MB; heads 64 * 16 KB; streams 64 * (64 KB queued + one part); the rest is slack.
  EXPECT_LT(after, before + 32 * kMegabyte)
    << "grew by " << static_cast<double>(after - before) / kMegabyte << " MB";
}

/** What a caller does after it sent a large body. */
enum class AfterBody : std::uint8_t
{
  Idle,   ///< Has its answer and keeps its connection.
  Waits,  ///< Waits for its answer.
  Refused ///< Was refused and keeps its connection.
};

/** @return the name of a case. */
std::string
NameOf(AfterBody aCase)
{
  constexpr std::array kNames{ "Idle", "Waits", "Refused" };
  return kNames.at(static_cast<std::size_t>(aCase));
}

struct AfterBodyTest
  : CallerServerTest
  , testing::WithParamInterface<AfterBody>
{};

/** Guards against connections that keep the buffers of a large body after it was read: assigning an
 * empty list to a vector, and shrinking it with resize(), keeps its memory. */
TEST_P(AfterBodyTest, ReadBuffersAreReleased)
{
  constexpr std::size_t kCallers = 200;
  constexpr std::size_t kFirst = 40; // The heap has its working size after these.
  CallerSettings settings;
  settings.maxBodyBytes_ = std::size_t{ 128 } << 10;
  settings.lingerTime_ = 60s;
  Listen(settings);
  EXPECT_CALL(handler_, Start)
    .WillRepeatedly([this](const CallerRequest&, const SinkPtr& aSink) -> RunningPtr {
      if (GetParam() == AfterBody::Idle) {
        aSink->Complete(200, kJsonFields, "{}");
      }
      const std::lock_guard lock(mutex_);
      sinks_.push_back(aSink);
      return nullptr;
    });
  const auto body =
    R"({"model":"a@b","prompt":")" + std::string(settings.maxBodyBytes_ - 100, 'x') + "\"}";
  const auto request = GetParam() == AfterBody::Refused
                         ? "POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                             ChunkOf(body) + ChunkOf(body)
                         : Post(body);
  std::vector<Peer> callers;
  std::size_t before = 0;
  for (std::size_t i = 0; i < kCallers; ++i) {
    if (i == kFirst) {
      before = ResidentBytes();
    }
    callers.push_back(Connect());
    callers.back().Send(request);
    if (GetParam() == AfterBody::Waits) {
      ASSERT_TRUE(WaitUntil([&] { return Started() > i; }));
    } else {
      const auto answer = callers.back().ReadAnswer();
      ASSERT_TRUE(answer);
      EXPECT_EQ(GetParam() == AfterBody::Idle ? 200U : 413U, answer->result_int());
    }
  }
  const auto after = ResidentBytes();
  EXPECT_EQ(kCallers, server_->Connections());
  // A connection may read as much as a head ahead; the rest is its state.
  EXPECT_LT(after, before + (kCallers - kFirst) * 2 * settings.maxHeadBytes_);
  const std::lock_guard lock(mutex_);
  sinks_.clear();
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         AfterBodyTest,
                         testing::Values(AfterBody::Idle, AfterBody::Waits, AfterBody::Refused),
                         [](const auto& aInfo) { return NameOf(aInfo.param); });

/** Guards against queued parts of a stream that take twice their size: appending the end of a chunk
 * to a string without room doubles its capacity. */
TEST_F(CallerServerTest, QueuedPartsTakeLittleMoreThanTheirSize)
{
  constexpr std::size_t kCallers = 16;
  constexpr std::size_t kPart = 1024;
  CallerSettings settings;
  settings.sendBufferBytes_ = kMegabyte;
  Listen(settings);
  std::atomic<std::size_t> queued = 0;
  std::vector<std::shared_ptr<std::function<void()>>> pumps;
  EXPECT_CALL(handler_, Start).WillRepeatedly([&](const CallerRequest&, const SinkPtr& aSink) {
    aSink->Begin(200, kEventFields);
    auto pump = std::make_shared<std::function<void()>>();
    *pump = [&queued, aSink, next = pump.get()] {
      ++queued;
      aSink->Chunk(std::string(kPart, 'x'), *next);
    };
    (*pump)();
    const std::lock_guard lock(mutex_);
    pumps.push_back(std::move(pump));
    return nullptr;
  });
  const auto before = ResidentBytes();
  std::vector<Peer> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(Connect());
    callers.back().Socket().set_option(boost::asio::socket_base::receive_buffer_size(4096));
    callers.back().Send(Post(R"({"model":"a@b","prompt":"x","stream":true})"));
  }
  std::size_t last = 0;
  EXPECT_TRUE(WaitUntil([&] {
    std::this_thread::sleep_for(200ms);
    const std::size_t now = queued;
    return now * kPart > settings.sendBufferBytes_ * kCallers && std::exchange(last, now) == now;
  }));
  const auto after = ResidentBytes();
  EXPECT_LT(after, before + kCallers * (settings.sendBufferBytes_ * 3 / 2));
  server_->Stop();
  EXPECT_TRUE(WaitUntil([this] { return server_->Connections() == 0; }));
  io_.Stop();
}

/** Guards against the announcement of a large body costing its memory. */
TEST_F(CallerServerTest, AnnouncedBodiesCostNoMemory)
{
  Listen();
  const auto before = ResidentBytes();
  std::vector<Peer> callers;
  for (int i = 0; i < 100; ++i) {
    callers.push_back(Connect());
    callers.back().Send("POST /v1/completions HTTP/1.1\r\nContent-Length: 1048576\r\n\r\nx");
  }
  EXPECT_TRUE(WaitUntil([this] { return server_->InFlight() == 100; }));
  EXPECT_LT(ResidentBytes(), before + 24 * kMegabyte);
}

} // namespace
} // namespace laburnumweir
