/** @file operator_handler.h Operators' HTTP interface. */
#ifndef LABURNUMWEIR_OPERATOR_OPERATOR_HANDLER_H
#define LABURNUMWEIR_OPERATOR_OPERATOR_HANDLER_H

#include "caller/request_handler_base.h"
#include "control/change_service.h"
#include "control/explain_log.h"
#include "control/membership_service.h"
#include "control/slot_service.h"
#include "control/token_service.h"
#include "metrics/metrics.h"

#include <boost/json/fwd.hpp>
#include <memory>
#include <string>

namespace laburnumweir {

/** Parts of a host that operators look at; all must outlive the handler. */
struct OperatorParts
{
  PeerRouter& router_;            ///< Messages to peers.
  Scheduler& scheduler_;          ///< Control thread.
  ConfigService& config_;         ///< The agreed state.
  MembershipService& membership_; ///< Other hosts.
  ChangeService& changes_;        ///< Changes of the rules.
  SlotService& slots_;            ///< Owned engines.
  TokenService& tokens_;          ///< Owned buckets.
  ExplainLog& explain_;           ///< What was decided.
  Metrics& metrics_;              ///< Counters.
  std::string tokenDigest_;       ///< SHA-256 of the operators' token.
};

/**
 * Answers /healthz, /readyz and /metrics, and with the operators' token /v1/rules, /v1/changes/ID,
 * /v1/status and /v1/explain/ID. Requests may come from any thread; they are answered on the
 * control thread.
 */
class OperatorHandler
  : public RequestHandler
  , public std::enable_shared_from_this<OperatorHandler>
{
public:
  /** @param aParts what operators look at. */
  explicit OperatorHandler(OperatorParts aParts);

  std::shared_ptr<RunningRequest> Start(CallerRequest aRequest,
                                        std::shared_ptr<ResponseSink> aSink) override;

private:
  using Sink = std::shared_ptr<ResponseSink>;

  void Serve(const CallerRequest& aRequest, const Sink& aSink);
  void ServeAuthorized(const CallerRequest& aRequest, const std::string& aPath, const Sink& aSink);
  void ServeReady(const Sink& aSink);
  void ServeRules(const Sink& aSink);
  void ServeApply(const CallerRequest& aRequest, const Sink& aSink);
  void ServeChange(const std::string& aId, const Sink& aSink);
  void ServeStatus(const Sink& aSink);
  void ServeExplain(const std::string& aId, const Sink& aSink);
  void ServePeerExplain(const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond);

  OperatorParts parts_; ///< What operators look at.
};

} // namespace laburnumweir

#endif
