/** @file http_weight_store.cpp Client of the weight store over its HTTP protocol. */
#include "weights/http_weight_store.h"

#include "http/json_field.h"

#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace laburnumweir {

namespace {

class WeightStoreErrorCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "weights"; }
  std::string message(int aValue) const override
  {
    switch (static_cast<WeightStoreError>(aValue)) {
      case WeightStoreError::Unreachable:
        return "no answer of the weight store came";
      case WeightStoreError::NotFound:
        return "the adapter version does not exist";
      case WeightStoreError::RateLimited:
        return "the weight store refused the request because of its rate limit";
      case WeightStoreError::InvalidAnswer:
        return "the answer of the weight store is invalid";
    }
    return "unknown weight store error";
  }
};

std::error_code
ParseFind(std::error_code aError,
          const HttpAnswer& aAnswer,
          const AdapterRef& aAdapter,
          AdapterInfo& aInfo)
{
  // A lookup changes nothing, so a lost answer is no different from no connection.
  if (aError || aAnswer.status_ == 503) {
    return WeightStoreError::Unreachable;
  }
  if (aAnswer.status_ == 404) {
    return WeightStoreError::NotFound;
  }
  if (aAnswer.status_ == 429) {
    return WeightStoreError::RateLimited;
  }
  boost::json::object object;
  if (aAnswer.status_ != 200 || !ParseJsonObject(aAnswer.body_, object) ||
      !ReadField(object, "name", aInfo.adapter_.name_) ||
      !ReadField(object, "version", aInfo.adapter_.version_) ||
      !ReadField(object, "model", aInfo.model_) || !ReadField(object, "bytes", aInfo.bytes_) ||
      aInfo.adapter_ != aAdapter) {
    return WeightStoreError::InvalidAnswer;
  }
  return {};
}

} // namespace

const std::error_category&
WeightStoreCategory()
{
  static const WeightStoreErrorCategory kCategory;
  return kCategory;
}

std::error_code
make_error_code(WeightStoreError aError)
{
  return { static_cast<int>(aError), WeightStoreCategory() };
}

HttpWeightStoreClient::HttpWeightStoreClient(boost::asio::io_context& aContext,
                                             Endpoint aEndpoint,
                                             std::chrono::milliseconds aTimeout)
  : client_(aContext, std::move(aEndpoint))
  , timeout_(aTimeout)
{
}

void
HttpWeightStoreClient::Find(const AdapterRef& aAdapter, Callback aCallback)
{
  const auto& safe = boost::urls::unreserved_chars;
  HttpExchange exchange;
  exchange.target_ = "/adapters/" + boost::urls::encode(aAdapter.name_, safe) + "/" +
                     boost::urls::encode(aAdapter.version_, safe);
  exchange.timeout_ = timeout_;
  client_.Send(
    std::move(exchange),
    [aAdapter, callback = std::move(aCallback)](std::error_code aError, const HttpAnswer& aAnswer) {
      AdapterInfo info;
      const auto error = ParseFind(aError, aAnswer, aAdapter, info);
      callback(error, error ? AdapterInfo{} : std::move(info));
    });
}

} // namespace laburnumweir
