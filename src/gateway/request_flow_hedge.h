/** @file request_flow_hedge.h Second attempt of a request whose running attempt is silent. */
#ifndef LABURNUMWEIR_GATEWAY_REQUEST_FLOW_HEDGE_H
#define LABURNUMWEIR_GATEWAY_REQUEST_FLOW_HEDGE_H

#include "gateway/request_flow.h"

#include <memory>
#include <string>
#include <string_view>

namespace laburnumweir {

/**
 * Handler of the call of a hedge. Until its answer has begun (a stream with its first event), the
 * flow decides between its attempts; from then on the calls are those of the only attempt. Keeps
 * its flow alive while the call runs.
 */
class RequestFlow::Hedge : public CallHandler
{
public:
  explicit Hedge(std::shared_ptr<RequestFlow> aFlow)
    : flow_(std::move(aFlow))
  {
  }

  void OnSending() override { flow_->OnHedgeSending(); }
  HeadAction OnHead(unsigned aStatus,
                    std::string_view aReason,
                    const boost::beast::http::fields& aFields,
                    std::optional<std::uint64_t> aLength) override
  {
    return isTaken_ ? flow_->OnHead(aStatus, aReason, aFields, aLength)
                    : flow_->OnHedgeHead(aStatus, aReason, aFields, aLength);
  }
  bool OnBody(std::string_view aBytes) override
  {
    return isTaken_ ? flow_->OnBody(aBytes) : flow_->OnHedgeBody(aBytes);
  }
  void OnEnd(CallEnd aEnd) override { isTaken_ ? flow_->OnEnd(aEnd) : flow_->OnHedgeEnd(aEnd); }

  /** @return when the hedge is given up unless its answer begins. */
  TimePoint EndsAt() const;

  UpstreamAttempt attempt_;
  AnswerHead head_;                     ///< Of its answer.
  unsigned status_ = 0;                 ///< HTTP status of its answer.
  std::string reason_;                  ///< HTTP reason phrase of its answer.
  boost::beast::http::fields fields_;   ///< Header fields of its answer.
  std::optional<std::uint64_t> length_; ///< Content-Length of its answer; none if not announced.
  std::string body_;                    ///< Start of a stream without a complete event.
  std::shared_ptr<UpstreamCall> call_;  ///< Empty once the call belongs to the flow.
  bool isTaken_ = false;                ///< It is the only attempt of the flow.

private:
  const std::shared_ptr<RequestFlow> flow_;
};

} // namespace laburnumweir

#endif
