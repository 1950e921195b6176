/** @file once_requester.h A host's side of requests that may not be repeated. */
#ifndef LABURNUMWEIR_ONCE_ONCE_REQUESTER_H
#define LABURNUMWEIR_ONCE_ONCE_REQUESTER_H

#include "once/once_permit.h"
#include "once/once_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace laburnumweir {

/** Number of a request at its host. */
using OnceTicket = std::uint64_t;

/** Result for one request. */
struct OnceVerdict
{
  OnceTicket ticket_ = 0;                        ///< Request.
  OnceDecision decision_ = OnceDecision::NotRun; ///< Permit, Replay, Unknown, OtherRequest, NotRun.
  OncePermit permit_;                            ///< Permit, to be used right before sending.
  OnceOutcome outcome_;                          ///< Replay: the outcome.
  std::string message_;                          ///< NotRun: reason.
};

/** A message to the reader of the partition of its key. */
using OnceMessage = std::variant<OnceBegin, OnceReport>;

/** What a call led to. */
struct OnceRequesterOutput
{
  std::vector<OnceMessage> messages_; ///< To send.
  std::vector<OnceVerdict> verdicts_; ///< Requests that were decided.
};

/**
 * Asks readers for permits, asks again when answers are lost, and reports how attempts ended until
 * the report is confirmed. An attempt that was given up is never sent, even if its permit arrives
 * later; so "not run" is true for every request that ends without a permit. Not thread-safe.
 */
class OnceRequester
{
public:
  /**
   * @param aHost this host.
   * @param aIncarnation its incarnation; attempts of another one are never continued.
   * @param aClock time source.
   * @param aSettings settings.
   */
  OnceRequester(HostId aHost,
                std::uint64_t aIncarnation,
                const Clock& aClock,
                const OnceSettings& aSettings);

  /**
   * Asks to run a request.
   * @param aKey workspace and idempotency key.
   * @param aRequestDigest digest of the request.
   * @param aOutput receives the message; the verdict comes from a later call.
   * @return the request.
   */
  OnceTicket Start(const OnceKey& aKey, std::string aRequestDigest, OnceRequesterOutput& aOutput);
  /**
   * Gives a request up that has no verdict yet, for example because its caller went away.
   * @param aTicket request.
   * @param aOutput receives messages.
   */
  void Cancel(OnceTicket aTicket, OnceRequesterOutput& aOutput);
  /**
   * Reports how a permitted request ended. An end without an answer of the upstream after sending
   * is not reported: it stays unknown.
   * @param aKey workspace and idempotency key.
   * @param aAttempt attempt from the permit.
   * @param aOutcome what the upstream answered, or nothing if the request was certainly not sent or
   * was refused before it started.
   * @param aOutput receives messages.
   */
  void Finish(const OnceKey& aKey,
              const AttemptId& aAttempt,
              std::optional<OnceOutcome> aOutcome,
              OnceRequesterOutput& aOutput);
  /**
   * Takes a reader's answer.
   * @param aAnswer answer.
   * @param aOutput receives verdicts and messages.
   */
  void Receive(const OnceAnswer& aAnswer, OnceRequesterOutput& aOutput);
  /**
   * Takes a reader's confirmation.
   * @param aStored confirmation.
   */
  void Receive(const OnceStored& aStored);
  /**
   * Does what is due. To be called about every 20 ms.
   * @param aOutput receives verdicts and messages.
   */
  void Tick(OnceRequesterOutput& aOutput);
  /** @return reports that are not confirmed yet; a drain waits for 0. */
  std::size_t Unconfirmed() const { return reports_.size(); }

private:
  /** A request without a verdict. */
  struct Request
  {
    OnceBegin begin_;     ///< Newest attempt.
    TimePoint since_;     ///< Start of the request.
    TimePoint firstSent_; ///< First sending of the newest attempt.
    TimePoint lastSent_;  ///< Last sending of it.
  };
  /** A report that is not confirmed. */
  struct Unstored
  {
    OnceReport report_;  ///< Report.
    TimePoint since_;    ///< Start.
    TimePoint lastSent_; ///< Last sending.
  };

  AttemptId NewAttempt();
  void Send(Request& aRequest, OnceRequesterOutput& aOutput);
  void SendReport(OnceReport aReport, OnceRequesterOutput& aOutput);
  void GiveUp(const OnceBegin& aBegin, OnceRequesterOutput& aOutput);

  HostId host_;                               ///< This host.
  std::uint64_t incarnation_;                 ///< Its incarnation.
  const Clock& clock_;                        ///< Time source.
  OnceSettings settings_;                     ///< Settings.
  std::uint64_t nextAttempt_ = 1;             ///< Next attempt.
  OnceTicket nextTicket_ = 1;                 ///< Next request.
  std::map<OnceTicket, Request> requests_;    ///< Requests without a verdict.
  std::map<AttemptId, OnceTicket> byAttempt_; ///< Newest attempt of each.
  std::map<AttemptId, Unstored> reports_;     ///< Reports that are not confirmed.
};

} // namespace laburnumweir

#endif
