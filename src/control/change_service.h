/** @file change_service.h Appends changes of the rules and follows them until they are in force. */
#ifndef LABURNUMWEIR_CONTROL_CHANGE_SERVICE_H
#define LABURNUMWEIR_CONTROL_CHANGE_SERVICE_H

#include "control/config_service.h"
#include "state/acceptance_tracker.h"

#include <map>
#include <memory>
#include <string>

namespace laburnumweir {

/** A wanted change of the rules. */
struct ChangeRequest
{
  std::string id_;               ///< Identifies the change, chosen by the operator's command.
  std::string text_;             ///< The whole wanted rule file.
  LogOffset base_ = kNoRevision; ///< Revision that the operator saw.
  std::string operator_;         ///< Who ran the command.
  bool isInitial_ = false;       ///< Write a first snapshot, if the log lost all of them.
};

/** Answer to a wanted change. */
struct ChangeReply
{
  std::error_code error_;    ///< Set if it was refused; nothing was appended then.
  std::string message_;      ///< Why it was refused, or what happens now.
  bool isUnchanged_ = false; ///< The wanted rules are in force.
};

/** Appends changes and evaluates their acceptance. Control thread only. */
class ChangeService : public std::enable_shared_from_this<ChangeService>
{
public:
  /**
   * @param aConfig the agreed state.
   * @param aClock time source.
   * @param aScheduler control thread.
   * @param aLog the log.
   * @param aSettings bounds of freshness.
   */
  ChangeService(ConfigService& aConfig,
                const Clock& aClock,
                Scheduler& aScheduler,
                LogClient& aLog,
                FreshnessSettings aSettings);

  /** Checks a change and appends it. @param aRequest the change. @return whether it was taken. */
  ChangeReply Submit(const ChangeRequest& aRequest);
  /** Evaluates a change. @param aId its identifier. @return what became of it so far. */
  AcceptanceResult Query(const std::string& aId);

private:
  ChangeReply SubmitInitial(const ChangeRequest& aRequest);
  void Append(const std::string& aId, const std::string& aData, TimePoint aUntil);

  ConfigService& config_;                             ///< The agreed state.
  const Clock& clock_;                                ///< Time source.
  Scheduler& scheduler_;                              ///< Control thread.
  LogClient& log_;                                    ///< The log.
  FreshnessSettings settings_;                        ///< Bounds of freshness.
  std::map<std::string, AcceptanceTracker> trackers_; ///< Changes asked about lately.
};

} // namespace laburnumweir

#endif
