/** @file gateway_benchmark.cpp Processor time of the parts of a gateway, at the size of the grown
 * deployments. */
#include "core/system_clock.h"
#include "fleet/event_cutter.h"
#include "fleet/quota_share.h"
#include "fleet/upstream_table.h"
#include "fleet/wait_queue.h"
#include "gateway/gossip_message.h"
#include "logging/logging_func.h"

#include <benchmark/benchmark.h>
#include <boost/beast/http.hpp>
#include <string>

namespace laburnumweir {
namespace {

namespace http = boost::beast::http;

constexpr int kEngines = 140;
constexpr int kAdapters = 12; // on each engine
constexpr int kWorkspaces = 16;

UpstreamEntry
MakeEntry(int aNumber)
{
  UpstreamEntry entry;
  entry.id_ = UpstreamId("i-7f3a91c" + std::to_string(aNumber));
  entry.service_ = ServiceName("llm");
  entry.endpoint_ = { "10.4.64.27", 8629 };
  entry.dataCentre_ = DataCentreId("dc" + std::to_string(aNumber % 5));
  entry.slots_ = 16;
  entry.startedAt_ = 1788024815016;
  entry.listsModels_ = true;
  entry.models_ = { { "model510000", {} } };
  for (int i = 0; i < kAdapters; ++i) {
    entry.models_[0].adapters_.push_back({ "a" + std::to_string(aNumber * kAdapters + i), 1 });
  }
  return entry;
}

GossipMessage
MakeSum()
{
  GossipMessage message;
  message.host_ = { HostId("edge-1"), { "10.0.0.1", 7600 }, DataCentreId("dc1") };
  message.hostLoad_.emplace();
  for (int i = 0; i < kWorkspaces; ++i) {
    message.hostLoad_->demand_.push_back(
      { WorkspaceId("workspace" + std::to_string(i)), 44960, 44960, 51000 });
  }
  for (int i = 0; i < kEngines; ++i) {
    message.hostLoad_->load_.push_back({ MakeEntry(i).id_, 7 });
  }
  return message;
}

/** One pass over a queue of the given length: the order of service and the search for refusals. */
void
OrderQueue(benchmark::State& aState, const char* aPolicy)
{
  const SystemClock clock;
  WaitQueue queue(clock, MakeOverloadPolicy(aPolicy));
  const ServiceName service("llm");
  const auto now = clock.Now();
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    const auto arrived = now - std::chrono::milliseconds(i % 700);
    queue.Push({ service,
                 static_cast<std::uint32_t>(i % 3),
                 now + std::chrono::hours(1),
                 i % 3 != 0,
                 false,
                 arrived,
                 arrived + std::chrono::milliseconds(500),
                 static_cast<double>(100 + i * 37 % 5000) });
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(queue.TicketsInOrder(service));
    benchmark::DoNotOptimize(queue.CannotStartInTime());
  }
}
BENCHMARK_CAPTURE(OrderQueue, arrival, "arrival")->Arg(100)->Arg(400);
BENCHMARK_CAPTURE(OrderQueue, worth, "worth")->Arg(100)->Arg(400);

void
ParseRequest(benchmark::State& aState)
{
  const std::string text = "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
                           "X-Attempt-Id: 9c41d07be2a35f68\r\nX-Model: daka510000/a17\r\n"
                           "X-Deadline-Ms: 12000\r\nAuthorization: key\r\n"
                           "Content-Length: 830\r\n\r\n" +
                           std::string(830, 'x');
  for (auto _ : aState) {
    http::request_parser<http::string_body> parser;
    boost::beast::error_code error;
    parser.eager(true);
    parser.put(boost::asio::buffer(text), error);
    benchmark::DoNotOptimize(parser.get());
  }
}
BENCHMARK(ParseRequest);

void
CutEvent(benchmark::State& aState)
{
  const std::string event = "id: 17\ndata: " + std::string(60, 'x') + "\n\n";
  EventSplitter cutter;
  for (auto _ : aState) {
    std::string whole;
    cutter.Add(event, whole);
    benchmark::DoNotOptimize(whole);
  }
}
BENCHMARK(CutEvent);

void
ChooseEngine(benchmark::State& aState)
{
  const SystemClock clock;
  UpstreamTable table(clock, HostId("edge-1"), DataCentreId("dc1"));
  for (int i = 0; i < kEngines; ++i) {
    table.OnEntry(MakeEntry(i));
  }
  const bool isResident = aState.range(0) != 0;
  UpstreamNeed need;
  need.service_ = ServiceName("llm");
  need.model_ = "model510000";
  need.adapter_ = isResident ? "a300" : "a99999";
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table.Choose(need));
  }
}
BENCHMARK(ChooseEngine)->ArgName("resident")->Arg(1)->Arg(0);

void
EncodeSum(benchmark::State& aState)
{
  const auto message = MakeSum();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(EncodeGossip(message));
  }
}
BENCHMARK(EncodeSum);

void
DecodeSum(benchmark::State& aState)
{
  const auto payload = EncodeGossip(MakeSum());
  for (auto _ : aState) {
    benchmark::DoNotOptimize(DecodeGossip(payload));
  }
}
BENCHMARK(DecodeSum);

/** A reader's answer with the changes of a part of the engines. */
void
DecodeChanges(benchmark::State& aState)
{
  auto message = MakeSum();
  RelayReply answer;
  answer.upstreams_ = StorePosition{ 0, 7 };
  answer.changes_.emplace();
  for (int i = 0; i < aState.range(0); ++i) {
    answer.changes_->push_back({ MakeEntry(i).id_, MakeEntry(i) });
  }
  message.reply_ = std::move(answer);
  const auto payload = EncodeGossip(message);
  aState.counters["bytes"] = static_cast<double>(payload.size());
  for (auto _ : aState) {
    benchmark::DoNotOptimize(DecodeGossip(payload));
  }
}
BENCHMARK(DecodeChanges)->ArgName("entries")->Arg(0)->Arg(10)->Arg(40);

void
TakeQuota(benchmark::State& aState)
{
  const SystemClock clock;
  QuotaShare quota(clock);
  quota.OnPeerDemand(HostId("others"), MakeSum().hostLoad_->demand_);
  Workspace workspace;
  workspace.id_ = WorkspaceId("workspace3");
  workspace.ratePerSecond_ = 1e9;
  workspace.burst_ = 1e9;
  for (auto _ : aState) {
    quota.RecordDemand(workspace, 1700);
    benchmark::DoNotOptimize(quota.TryTake(workspace, 1700));
  }
}
BENCHMARK(TakeQuota);

/** Formats a line of the length of `request_sent` and writes it. */
void
WriteLogLine(benchmark::State& aState)
{
  StartLogging("info", "/dev/null", "edge-1");
  for (auto _ : aState) {
    LogEvent(LogLevel::Info,
             "request_sent",
             { { "id", "9c41d07be2a35f68" },
               { "route", "r-5rmmvtd" },
               { "upstream", "i-7f3a91c2" },
               { "attempt", std::to_string(1) },
               { "waited_ms", std::to_string(17) },
               { "left_ms", std::to_string(9983) },
               { "running", std::to_string(3) },
               { "peers_running", std::to_string(9) },
               { "config", std::to_string(14) },
               { "proof_ms", std::to_string(1369) } });
  }
}
BENCHMARK(WriteLogLine);

} // namespace
} // namespace laburnumweir
