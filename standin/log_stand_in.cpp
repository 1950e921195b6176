/** @file log_stand_in.cpp Stand-in of the append-only log. */
#include "standin/log_stand_in.h"

#include <algorithm>
#include <boost/json.hpp>

namespace laburnumweir::standin {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxAppendRecords = 1000;
constexpr std::size_t kMaxAppendBytes = 4U << 20;
constexpr std::size_t kMaxReadRecords = 10000;
constexpr std::uint64_t kMaxWaitMs = 60000;

LogLimits
ReadLimits(Settings& aSettings)
{
  LogLimits limits;
  limits.appendsPerSecond_ = aSettings.Number("appends_per_s", limits.appendsPerSecond_);
  limits.appendBurst_ = aSettings.Number("append_burst", limits.appendsPerSecond_ / 10);
  limits.maxRecords_ = aSettings.Count("retain_records", limits.maxRecords_);
  limits.maxAge_ = aSettings.Millis("retain_ms", 24.0 * 3600 * 1000);
  return limits;
}

bool
ParseRecords(const std::string& aBody, std::vector<NewRecord>& aRecords)
{
  bool isValid = false;
  const auto object = ParseObject(aBody, isValid);
  const auto* list = object.if_contains("records");
  if (list == nullptr || !list->is_array() || list->get_array().empty()) {
    return false;
  }
  for (const auto& item : list->get_array()) {
    const auto* record = item.if_object();
    const auto* id = record == nullptr ? nullptr : record->if_contains("id");
    const auto* data = record == nullptr ? nullptr : record->if_contains("data");
    if (id == nullptr || data == nullptr || !id->is_string() || !data->is_string()) {
      return false;
    }
    aRecords.push_back({ std::string(id->get_string()), std::string(data->get_string()) });
  }
  return true;
}

} // namespace

LogStandIn::LogStandIn(boost::asio::io_context& aContext, std::string aName, Settings& aSettings)
  : StandIn(aContext, std::move(aName), aSettings)
  , store_(ReadLimits(aSettings))
{
}

void
LogStandIn::Handle(const Request& aRequest, const std::shared_ptr<Reply>& aReply)
{
  const auto& segments = aRequest.segments_;
  const bool isRecords =
    segments.size() == 3 && segments[0] == "streams" && segments[2] == "records";
  if (isRecords && aRequest.method_ == "POST") {
    Append(segments[1], aRequest, *aReply);
  } else if (isRecords && aRequest.method_ == "GET") {
    Read(segments[1], aRequest, aReply);
  } else {
    aReply->Send(404, ErrorBody("not_found", "no such resource"));
  }
}

void
LogStandIn::Append(const std::string& aStream, const Request& aRequest, Reply& aReply)
{
  std::vector<NewRecord> records;
  if (aRequest.body_.size() > kMaxAppendBytes) {
    aReply.Send(413, ErrorBody("too_large", "the append is larger than 4 MiB"));
    return;
  }
  if (!ParseRecords(aRequest.body_, records)) {
    aReply.Send(400, ErrorBody("invalid", "expected records with id and data"));
    return;
  }
  if (records.size() > kMaxAppendRecords) {
    aReply.Send(413, ErrorBody("too_large", "the append has more than 1000 records"));
    return;
  }
  const auto count = records.size();
  const auto first = store_.Append(aStream, std::move(records), clock_.Now(), clock_.WallNow());
  if (!first) {
    ++limited_;
    aReply.Send(429, ErrorBody("rate_limited", "too many appends; nothing was appended"));
    return;
  }
  ++appends_;
  records_ += count;
  aReply.Send(
    200, json::serialize(json::object{ { "first_offset", *first }, { "end", *first + count } }));
  Wake(aStream);
}

void
LogStandIn::Read(const std::string& aStream,
                 const Request& aRequest,
                 const std::shared_ptr<Reply>& aReply)
{
  const auto from = aRequest.QueryNumber("from", 0);
  const auto max = std::min<std::uint64_t>(aRequest.QueryNumber("max", 1000), kMaxReadRecords);
  const auto waitMs = std::min(aRequest.QueryNumber("wait_ms", 0), kMaxWaitMs);
  if (waitMs == 0 || from < store_.End(aStream)) {
    SendRecords(aStream, from, max, *aReply);
    return;
  }
  const auto id = nextWaiter_++;
  waiters_[aStream].push_back({ id, from, max, aReply });
  const auto forget = [this, aStream, id] {
    waiters_[aStream].remove_if([&](const Waiter& aWaiter) { return aWaiter.id_ == id; });
  };
  aReply->OnClosed(forget);
  After(std::chrono::milliseconds(waitMs), [this, aStream, from, max, forget, aReply] {
    if (!aReply->IsDone()) {
      forget();
      SendRecords(aStream, from, max, *aReply);
    }
  });
}

void
LogStandIn::SendRecords(const std::string& aStream,
                        LogOffset aFrom,
                        std::size_t aMax,
                        Reply& aReply)
{
  ++reads_;
  const auto result = store_.Read(aStream, aFrom, aMax, clock_.Now());
  json::array records;
  for (const auto& record : result.records_) {
    const auto time =
      std::chrono::duration_cast<std::chrono::milliseconds>(record.appended_.time_since_epoch());
    records.emplace_back(json::object{ { "offset", record.offset_ },
                                       { "time_ms", time.count() },
                                       { "id", record.id_ },
                                       { "data", record.data_ } });
  }
  aReply.Send(200,
              json::serialize(json::object{ { "first", result.first_ },
                                            { "end", result.end_ },
                                            { "records", std::move(records) } }));
}

void
LogStandIn::Wake(const std::string& aStream)
{
  auto& list = waiters_[aStream];
  const auto end = store_.End(aStream);
  for (auto waiter = list.begin(); waiter != list.end();) {
    if (waiter->from_ < end) {
      const auto woken = *waiter;
      waiter = list.erase(waiter);
      SendRecords(aStream, woken.from_, woken.max_, *woken.reply_);
    } else {
      ++waiter;
    }
  }
}

void
LogStandIn::AddStats(json::object& aStats) const
{
  aStats["appends"] = appends_;
  aStats["records"] = records_;
  aStats["reads"] = reads_;
  aStats["rate_limited"] = limited_;
  json::object streams;
  for (const auto& name : store_.Streams()) {
    streams[name] = store_.End(name);
  }
  aStats["stream_ends"] = std::move(streams);
}

} // namespace laburnumweir::standin
