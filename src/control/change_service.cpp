/** @file change_service.cpp Appends changes of the rules and follows them until they are in force.
 */
#include "control/change_service.h"

#include "logging/logging_func.h"
#include "rules/rule_parser_func.h"
#include "state/config_codec_func.h"

namespace laburnumweir {

namespace {

using namespace std::chrono_literals;

constexpr Duration kAppendFor = 30s;
constexpr Duration kAppendRetry = 300ms;
constexpr Duration kTrackFor = 1h;
constexpr std::size_t kMaxTrackers = 256;

} // namespace

ChangeService::ChangeService(ConfigService& aConfig,
                             const Clock& aClock,
                             Scheduler& aScheduler,
                             LogClient& aLog,
                             FreshnessSettings aSettings)
  : config_(aConfig)
  , clock_(aClock)
  , scheduler_(aScheduler)
  , log_(aLog)
  , settings_(aSettings)
{
}

ChangeReply
ChangeService::Submit(const ChangeRequest& aRequest)
{
  if (aRequest.isInitial_) {
    return SubmitInitial(aRequest);
  }
  const ConfigState* state = config_.State();
  if (state == nullptr) {
    return { StateErrc::NotAMember, config_.NotReadyReason(), false };
  }
  const RuleParseResult parsed = ParseAndCheckRules(aRequest.text_);
  if (!parsed.errors_.empty()) {
    return { StateErrc::InvalidRules, parsed.errors_.front().ToString("rules"), false };
  }
  const ChangePlan plan =
    PlanChange(*state, parsed.book_, aRequest.base_, aRequest.id_, aRequest.operator_);
  if (plan.error_ == StateErrc::NoChange) {
    return { {}, "these rules are in force", true };
  }
  if (plan.error_) {
    return { plan.error_, plan.error_.message(), false };
  }
  LogEvent(LogLevel::Info,
           "change_submitted",
           { { "change", aRequest.id_ }, { "operator", aRequest.operator_ } });
  Append("change/" + aRequest.id_, EncodeRecord(plan.record_), clock_.Now() + kAppendFor);
  return { {}, "appending", false };
}

ChangeReply
ChangeService::SubmitInitial(const ChangeRequest& aRequest)
{
  if (!config_.LacksSnapshot()) {
    return { StateErrc::NoChange, "the configuration can be read; apply without --init", false };
  }
  const RuleParseResult parsed = ParseAndCheckRules(aRequest.text_);
  if (!parsed.errors_.empty()) {
    return { StateErrc::InvalidRules, parsed.errors_.front().ToString("rules"), false };
  }
  LogEvent(LogLevel::Warn, "initial_snapshot", { { "operator", aRequest.operator_ } });
  Append("init/" + aRequest.id_,
         EncodeRecord(MakeInitialSnapshot(config_.StreamEnd(), parsed.book_)),
         clock_.Now() + kAppendFor);
  return { {}, "appending", false };
}

void
ChangeService::Append(const std::string& aId, const std::string& aData, TimePoint aUntil)
{
  std::vector<NewRecord> records;
  records.push_back({ aId, aData });
  log_.Append(
    kConfigStream,
    std::move(records),
    [this, weak = weak_from_this(), aId, aData, aUntil](std::error_code aError, LogOffset) {
      // A record with the same identifier is folded once, so that an append whose answer
      // was lost can be sent again.
      if (weak.expired() || !aError || clock_.Now() >= aUntil) {
        return;
      }
      scheduler_.After(kAppendRetry, [this, weak, aId, aData, aUntil] {
        if (!weak.expired()) {
          Append(aId, aData, aUntil);
        }
      });
    });
}

AcceptanceResult
ChangeService::Query(const std::string& aId)
{
  auto found = trackers_.find(aId);
  if (found == trackers_.end()) {
    if (trackers_.size() >= kMaxTrackers) {
      trackers_.erase(trackers_.begin());
    }
    found =
      trackers_
        .emplace(aId,
                 AcceptanceTracker(aId, config_.SelfLife(), settings_, clock_.Now() + kTrackFor))
        .first;
  }
  const ConfigState* state = config_.State();
  return found->second.Update(state, config_.Progress(), clock_.Now());
}

} // namespace laburnumweir
