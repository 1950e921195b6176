/** @file upstream_error.cpp Error category of UpstreamError. */
#include "core/upstream_client_base.h"

namespace laburnumweir {

namespace {

class UpstreamErrorCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "upstream"; }
  std::string message(int aValue) const override
  {
    switch (static_cast<UpstreamError>(aValue)) {
      case UpstreamError::ConnectFailed:
        return "no connection to the upstream could be made";
      case UpstreamError::RefusedNotRun:
        return "the upstream refused the request before starting it";
      case UpstreamError::Overloaded:
        return "the upstream refused the request because of load";
      case UpstreamError::AdapterMissing:
        return "the adapter is not loaded on the upstream";
      case UpstreamError::ConnectionLost:
        return "the connection to the upstream ended before the answer was complete";
      case UpstreamError::Silent:
        return "the upstream sent nothing within the progress timeout";
      case UpstreamError::DeadlineExceeded:
        return "the deadline of the request passed";
      case UpstreamError::WrongAnswer:
        return "the answer names another request, adapter or version";
      case UpstreamError::Truncated:
        return "the answer ended before it was complete";
      case UpstreamError::InvalidAnswer:
        return "the answer is not valid HTTP or not a valid event stream";
      case UpstreamError::Cancelled:
        return "the attempt was cancelled";
      case UpstreamError::Failed:
        return "the upstream failed after starting the request";
    }
    return "unknown upstream error";
  }
};

} // namespace

const std::error_category&
UpstreamCategory()
{
  static const UpstreamErrorCategory kCategory;
  return kCategory;
}

std::error_code
make_error_code(UpstreamError aError)
{
  return { static_cast<int>(aError), UpstreamCategory() };
}

} // namespace laburnumweir
