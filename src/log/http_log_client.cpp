/** @file http_log_client.cpp Client of the append-only log over its HTTP protocol. */
#include "log/http_log_client.h"

#include "http/json_field.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace laburnumweir {

namespace json = boost::json;

namespace {

class LogErrorCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "log"; }
  std::string message(int aValue) const override
  {
    switch (static_cast<LogError>(aValue)) {
      case LogError::Refused:
        return "the log refused the request; nothing was done";
      case LogError::Unreachable:
        return "no connection to the log could be made";
      case LogError::AnswerLost:
        return "no answer of the log came; the request may have taken effect";
      case LogError::InvalidAnswer:
        return "the answer of the log is invalid; the request may have taken effect";
    }
    return "unknown log error";
  }
};

std::string
RecordsPath(std::string_view aStream)
{
  return "/streams/" + boost::urls::encode(aStream, boost::urls::unreserved_chars) + "/records";
}

/** @return the error of an exchange, or none if it has a body to parse. */
std::error_code
CheckExchange(std::error_code aError, const HttpAnswer& aAnswer)
{
  if (aError) {
    return aError == HttpError::ConnectFailed ? LogError::Unreachable : LogError::AnswerLost;
  }
  if (aAnswer.status_ == 200) {
    return {};
  }
  // By the protocol, 4xx and 503 mean that nothing was done.
  const bool isRefusal =
    (aAnswer.status_ >= 400 && aAnswer.status_ < 500) || aAnswer.status_ == 503;
  return isRefusal ? LogError::Refused : LogError::InvalidAnswer;
}

bool
ParseAppend(const std::string& aBody, std::size_t aCount, LogOffset& aFirst)
{
  json::object object;
  LogOffset end = 0;
  return ParseJsonObject(aBody, object) && ReadField(object, "first_offset", aFirst) &&
         ReadField(object, "end", end) && end >= aCount && end - aCount == aFirst;
}

bool
ParseRecord(const json::value& aValue, LogRecord& aRecord)
{
  const auto* object = aValue.if_object();
  std::int64_t timeMs = 0;
  if (object == nullptr || !ReadField(*object, "offset", aRecord.offset_) ||
      !ReadField(*object, "time_ms", timeMs) || !ReadField(*object, "id", aRecord.id_) ||
      !ReadField(*object, "data", aRecord.data_)) {
    return false;
  }
  aRecord.appended_ = std::chrono::system_clock::time_point(std::chrono::milliseconds(timeMs));
  return true;
}

/** Also checks that the records are those asked for, without gaps inside the retained range. */
bool
ParseRead(const std::string& aBody, LogOffset aFrom, std::size_t aMax, ReadResult& aResult)
{
  json::object object;
  if (!ParseJsonObject(aBody, object) || !ReadField(object, "first", aResult.first_) ||
      !ReadField(object, "end", aResult.end_) || aResult.first_ > aResult.end_) {
    return false;
  }
  const auto* list = object.if_contains("records");
  if (list == nullptr || !list->is_array() || list->get_array().size() > aMax) {
    return false;
  }
  LogOffset expected = std::max(aFrom, aResult.first_);
  for (const auto& item : list->get_array()) {
    LogRecord record;
    if (!ParseRecord(item, record) || record.offset_ != expected || expected >= aResult.end_) {
      return false;
    }
    ++expected;
    aResult.records_.push_back(std::move(record));
  }
  return true;
}

} // namespace

const std::error_category&
LogCategory()
{
  static const LogErrorCategory kCategory;
  return kCategory;
}

std::error_code
make_error_code(LogError aError)
{
  return { static_cast<int>(aError), LogCategory() };
}

HttpLogClient::HttpLogClient(boost::asio::io_context& aContext,
                             Endpoint aEndpoint,
                             std::chrono::milliseconds aTimeout)
  : client_(aContext, std::move(aEndpoint))
  , timeout_(aTimeout)
{
}

void
HttpLogClient::Append(std::string_view aStream,
                      std::vector<NewRecord> aRecords,
                      AppendCallback aCallback)
{
  json::array records;
  for (const auto& record : aRecords) {
    records.emplace_back(json::object{ { "id", record.id_ }, { "data", record.data_ } });
  }
  HttpExchange exchange;
  exchange.method_ = "POST";
  exchange.target_ = RecordsPath(aStream);
  exchange.body_ = json::serialize(json::object{ { "records", std::move(records) } });
  exchange.timeout_ = timeout_;
  client_.Send(std::move(exchange),
               [count = aRecords.size(), callback = std::move(aCallback)](
                 std::error_code aError, const HttpAnswer& aAnswer) {
                 LogOffset first = 0;
                 auto error = CheckExchange(aError, aAnswer);
                 if (!error && !ParseAppend(aAnswer.body_, count, first)) {
                   error = LogError::InvalidAnswer;
                 }
                 callback(error, error ? 0 : first);
               });
}

void
HttpLogClient::Read(std::string_view aStream,
                    LogOffset aFrom,
                    std::size_t aMaxRecords,
                    std::chrono::milliseconds aWait,
                    ReadCallback aCallback)
{
  HttpExchange exchange;
  exchange.target_ = RecordsPath(aStream) + "?from=" + std::to_string(aFrom) +
                     "&max=" + std::to_string(aMaxRecords) +
                     "&wait_ms=" + std::to_string(aWait.count());
  exchange.timeout_ = timeout_ + aWait;
  client_.Send(std::move(exchange),
               [aFrom, aMaxRecords, callback = std::move(aCallback)](std::error_code aError,
                                                                     const HttpAnswer& aAnswer) {
                 ReadResult result;
                 auto error = CheckExchange(aError, aAnswer);
                 if (!error && !ParseRead(aAnswer.body_, aFrom, aMaxRecords, result)) {
                   error = LogError::InvalidAnswer;
                 }
                 callback(error, error ? ReadResult{} : std::move(result));
               });
}

} // namespace laburnumweir
