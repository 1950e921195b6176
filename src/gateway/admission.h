/** @file admission.h Decides which requests of callers are admitted. */
#ifndef LABURNUMWEIR_GATEWAY_ADMISSION_H
#define LABURNUMWEIR_GATEWAY_ADMISSION_H

#include "core/random_base.h"
#include "gateway/request_flow.h"

#include <optional>
#include <string_view>

namespace laburnumweir {

/** What an Admission works with. All references must outlive it. */
struct AdmissionContext
{
  const Clock& clock_;
  const MessageCodec& codec_;
  const FleetState& fleet_; ///< Routes and workspaces, and the age of the configuration.
  QuotaShare& quota_;
  RetryShare& retries_;         ///< Told of each admitted request.
  RandomSource& random_;        ///< Draws the service of a request by weight.
  const GatewayBounds& bounds_; ///< May change on a reload.
  Metrics& metrics_;
};

/** Checks route, key and quota of a request, and refuses it where they forbid it. */
class Admission
{
public:
  explicit Admission(const AdmissionContext& aContext)
    : context_(aContext)
  {
  }

  /**
   * Admits or refuses a request.
   * @param aRequest request with its body; moved into the result if it is admitted.
   * @param aAnswer receives the refusal.
   * @return the admitted request; none if it was refused.
   */
  std::optional<AdmittedRequest> Admit(HttpRequest& aRequest, AnswerStream& aAnswer);
  /** From now on, only requests that are answered before the process stops are admitted. */
  void StartDrain() { drainStart_ = context_.clock_.Now(); }

private:
  /** @return whether there is a configuration that this host may act on; refuses otherwise. */
  bool CheckConfiguration(const AdmittedRequest& aRequest, AnswerStream& aAnswer);
  /** Sets route and workspace. @return whether they allow the request; refuses otherwise. */
  bool CheckRouteAndKey(const HttpRequest& aMessage,
                        AdmittedRequest& aRequest,
                        AnswerStream& aAnswer);
  /** Takes the tokens of a request. @return whether the quota allows it; refuses otherwise. */
  bool TakeTokens(AdmittedRequest& aRequest, AnswerStream& aAnswer);
  /** @return whether peers have had a newer configuration for so long that no host may act on
   * an older one any more. */
  bool IsBehindPeersTooLong() const;
  /**
   * @return whether a request that arrives during a drain may be accepted: it is answered before
   * this host stops, or the balancer may not yet have noticed the drain and the caller may repeat
   * what is cut.
   */
  bool MayAcceptInDrain(const AdmittedRequest& aRequest) const;
  void Refuse(AnswerStream& aAnswer,
              const AdmittedRequest& aRequest,
              unsigned aStatus,
              std::string_view aReason,
              std::optional<Duration> aRetryAfter);
  /** Refuses a request for something that is not in the configuration. Callers take that for final,
   * so it must not come from an older configuration than the newest one that is in force. */
  void RefuseUnknown(AnswerStream& aAnswer,
                     const AdmittedRequest& aRequest,
                     unsigned aStatus,
                     std::string_view aReason);

  const AdmissionContext context_;
  std::optional<TimePoint> drainStart_; ///< None unless this host drains.
};

} // namespace laburnumweir

#endif
