/** @file service_client.cpp Sends requests to plain services. */
#include "service/service_client.h"

#include "http/header_func.h"

namespace laburnumweir {

namespace {

class ServiceAnswerCheck : public AnswerCheck
{
public:
  explicit ServiceAnswerCheck(RequestId aId)
    : id_(std::move(aId))
  {
  }

  HeadVerdict CheckHead(int aStatus, const HeaderList& aHeaders, AttemptResult&) override
  {
    const auto id = FindField(aHeaders, "x-request-id");
    if (!id.empty() && id != id_.Value()) {
      return { UpstreamError::WrongAnswer };
    }
    if (EqualsIgnoreCase(FindField(aHeaders, "x-run"), "not_run")) {
      if (aStatus < 400) {
        return { UpstreamError::InvalidAnswer };
      }
      refusal_ = aStatus == 503 ? UpstreamError::Overloaded : UpstreamError::RefusedNotRun;
      return { {}, BodyMode::Hold, true, !id.empty() };
    }
    return { {}, BodyMode::Pass };
  }

  std::error_code CheckWhole(std::string_view, AttemptResult&) override { return refusal_; }
  std::error_code CheckPart(std::string&, AttemptResult&) override { return {}; }
  std::error_code CheckEnd(std::string&) override { return {}; }

private:
  RequestId id_;            ///< Request that must be answered.
  std::error_code refusal_; ///< Refusal before the start.
};

} // namespace

ServiceClient::ServiceClient(boost::asio::io_context& aContext,
                             const Clock& aClock,
                             ExchangeSettings aSettings)
  : exchange_(aContext, aClock, aSettings)
{
}

std::shared_ptr<Attempt>
ServiceClient::Send(const Endpoint& aEndpoint,
                    UpstreamRequest aRequest,
                    std::shared_ptr<UpstreamSink> aSink)
{
  auto check = std::make_shared<ServiceAnswerCheck>(aRequest.id_);
  return exchange_.Send(
    { aEndpoint, std::move(aRequest), std::move(check), std::move(aSink), nullptr });
}

} // namespace laburnumweir
