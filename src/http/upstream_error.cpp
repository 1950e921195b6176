/** @file upstream_error.cpp Error category of attempts at an upstream. */
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
        return "no connection could be made and nothing was sent";
      case UpstreamError::RefusedNotRun:
        return "the upstream refused the request before starting it";
      case UpstreamError::Overloaded:
        return "the upstream refused the request before starting it because of load";
      case UpstreamError::AdapterMissing:
        return "the upstream refused the request before starting it: the adapter is not loaded";
      case UpstreamError::ConnectionLost:
        return "the connection ended before the answer did";
      case UpstreamError::Silent:
        return "no byte came within the progress timeout";
      case UpstreamError::DeadlineExceeded:
        return "the deadline passed";
      case UpstreamError::WrongAnswer:
        return "the answer names another request, adapter or version";
      case UpstreamError::Truncated:
        return "the answer ended early";
      case UpstreamError::InvalidAnswer:
        return "the answer is no valid HTTP message or event stream";
      case UpstreamError::Cancelled:
        return "the attempt was cancelled";
      case UpstreamError::Failed:
        return "the upstream reported a server error";
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
