/** @file fault_list.cpp Scripted faults of a stand-in. */
#include "standin/fault_list.h"

#include "standin/settings.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>
#include <stdexcept>

namespace laburnumweir::standin {

namespace {

Fault
ParseFault(const boost::json::value& aValue)
{
  if (!aValue.is_object()) {
    throw std::runtime_error("a fault must be an object");
  }
  Settings fields(aValue.get_object(), "fault");
  Fault fault;
  fault.kind_ = fields.Text("kind", "");
  Settings match(fields.Object("match"), "match");
  fault.method_ = match.Text("method", "");
  fault.pathPrefix_ = match.Text("path", "");
  fault.bodyContains_ = match.Text("body", "");
  fault.requestId_ = match.Text("request_id", "");
  match.RequireAllRead();
  fault.skip_ = fields.Count("skip", 0);
  fault.count_ = fields.Count("count", std::numeric_limits<std::uint64_t>::max());
  fault.ms_ = fields.Millis("ms", 0);
  fault.bytes_ = fields.Count("bytes", 0);
  fault.tokens_ = fields.Count("tokens", 0);
  fault.limit_ = fields.Count("limit", 0);
  fault.status_ = static_cast<int>(fields.Count("status", 0));
  if (fault.status_ != 0 && (fault.status_ < 200 || fault.status_ > 599)) {
    fields.Fail("status", "an HTTP status from 200 to 599");
  }
  fault.text_ = fields.Text("text", "");
  fields.RequireAllRead();
  return fault;
}

bool
Matches(const Fault& aFault, const Request& aRequest)
{
  return (aFault.method_.empty() || aFault.method_ == aRequest.method_) &&
         aRequest.path_.compare(0, aFault.pathPrefix_.size(), aFault.pathPrefix_) == 0 &&
         (aFault.bodyContains_.empty() ||
          aRequest.body_.find(aFault.bodyContains_) != std::string::npos) &&
         (aFault.requestId_.empty() || aFault.requestId_ == aRequest.Header("x-request-id"));
}

} // namespace

FaultList
FaultList::Parse(const boost::json::value& aValue, std::span<const std::string_view> aKinds)
{
  if (!aValue.is_object()) {
    throw std::runtime_error("the body must be an object with the key \"faults\"");
  }
  Settings fields(aValue.get_object(), "faults");
  const auto* list = fields.Find("faults");
  fields.RequireAllRead();
  if (list == nullptr || !list->is_array()) {
    fields.Fail("faults", "an array");
  }
  FaultList result;
  for (const auto& item : list->get_array()) {
    auto fault = ParseFault(item);
    if (std::find(aKinds.begin(), aKinds.end(), fault.kind_) == aKinds.end()) {
      throw std::runtime_error("fault: unknown kind \"" + fault.kind_ + "\"");
    }
    result.faults_.push_back(std::move(fault));
  }
  return result;
}

std::optional<Fault>
FaultList::Take(std::span<const std::string_view> aKinds, const Request& aRequest)
{
  for (auto& fault : faults_) {
    if (fault.count_ == 0 || !Matches(fault, aRequest) ||
        std::find(aKinds.begin(), aKinds.end(), fault.kind_) == aKinds.end()) {
      continue;
    }
    if (fault.skip_ > 0) {
      --fault.skip_;
      continue;
    }
    --fault.count_;
    ++applied_[fault.kind_];
    return fault;
  }
  return std::nullopt;
}

} // namespace laburnumweir::standin
