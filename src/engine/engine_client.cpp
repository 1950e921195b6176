/** @file engine_client.cpp Sends requests to model engines. */
#include "engine/engine_client.h"

#include "engine/answer_check.h"
#include "http/header_func.h"

#include <cctype>

namespace laburnumweir {

namespace {

constexpr std::chrono::seconds kCancelTimeout{ 2 };

/** Accepts any answer; the answer to a cancel order is of no further use. */
class AnyAnswer : public AnswerCheck
{
public:
  HeadVerdict CheckHead(int, const HeaderList&, AttemptResult&) override { return {}; }
  std::error_code CheckWhole(std::string_view, AttemptResult&) override { return {}; }
  std::error_code CheckPart(std::string&, AttemptResult&) override { return {}; }
  std::error_code CheckEnd(std::string&) override { return {}; }
};

class IgnoreAnswer : public UpstreamSink
{
public:
  void OnHead(int, HeaderList) override {}
  void OnData(std::string, std::function<void()> aContinue) override { aContinue(); }
  void OnEnd(const AttemptResult&) override {}
};

/** @return whether the identifier can stand in a path as it is. */
bool
IsPathSafe(std::string_view aId)
{
  for (const char c : aId) {
    if (std::isalnum(static_cast<unsigned char>(c)) == 0 && c != '-' && c != '_' && c != '.') {
      return false;
    }
  }
  return !aId.empty();
}

} // namespace

struct EngineRequestClient::Impl
{
  Impl(boost::asio::io_context& aContext, const Clock& aClock, ExchangeSettings aSettings)
    : clock_(aClock)
    , exchange_(aContext, aClock, aSettings)
  {
  }

  void SendCancel(const Endpoint& aEndpoint, const RequestId& aId)
  {
    if (!IsPathSafe(aId.Value())) {
      return;
    }
    UpstreamRequest request;
    request.id_ = aId;
    request.method_ = "POST";
    request.target_ = "/admin/requests/" + aId.Value() + "/cancel";
    request.deadline_ = clock_.Now() + kCancelTimeout;
    request.progressTimeout_ = kCancelTimeout;
    exchange_.Send({ aEndpoint,
                     std::move(request),
                     std::make_shared<AnyAnswer>(),
                     std::make_shared<IgnoreAnswer>(),
                     nullptr });
  }

  const Clock& clock_;        ///< For deadlines.
  UpstreamExchange exchange_; ///< Connections.
};

EngineRequestClient::EngineRequestClient(boost::asio::io_context& aContext,
                                         const Clock& aClock,
                                         ExchangeSettings aSettings)
  : impl_(std::make_shared<Impl>(aContext, aClock, aSettings))
{
}

EngineRequestClient::~EngineRequestClient() = default;

std::shared_ptr<Attempt>
EngineRequestClient::Send(const Endpoint& aEndpoint,
                          UpstreamRequest aRequest,
                          std::shared_ptr<UpstreamSink> aSink)
{
  std::erase_if(aRequest.headers_, [](const auto& aField) {
    return EqualsIgnoreCase(aField.first, "x-priority") ||
           EqualsIgnoreCase(aField.first, "accept-encoding");
  });
  aRequest.headers_.emplace_back("X-Priority", std::to_string(aRequest.priority_));
  auto check = MakeEngineAnswerCheck(aRequest.id_, aRequest.adapter_, aRequest.stream_);
  auto onAbandon = [impl = std::weak_ptr(impl_), aEndpoint, id = aRequest.id_] {
    if (const auto client = impl.lock()) {
      client->SendCancel(aEndpoint, id);
    }
  };
  return impl_->exchange_.Send(
    { aEndpoint, std::move(aRequest), std::move(check), std::move(aSink), std::move(onAbandon) });
}

} // namespace laburnumweir
