/** @file engine_stand_in.h Stand-in of a model engine. */
#ifndef LABURNUMWEIR_STANDIN_ENGINE_STAND_IN_H
#define LABURNUMWEIR_STANDIN_ENGINE_STAND_IN_H

#include "core/system_clock.h"
#include "standin/engine_model.h"
#include "standin/stand_in.h"

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

namespace laburnumweir {
class JsonClient;
}

namespace laburnumweir::standin {

/** Serves completions, orders and reports of an engine over HTTP. */
class EngineStandIn : public StandIn
{
public:
  /** @param aWeightStore where weights come from; port 0 = loads take a fixed time. */
  EngineStandIn(boost::asio::io_context& aContext,
                std::string aName,
                Settings& aSettings,
                const Endpoint& aWeightStore);
  ~EngineStandIn() override;

protected:
  void Handle(const Request& aRequest, const std::shared_ptr<Reply>& aReply) override;
  void Prepare(const Request& aRequest, Reply& aReply) override;
  void Refuse(Reply& aReply, int aStatus) override;
  void AddStats(boost::json::object& aStats) const override;
  void Restart(std::chrono::nanoseconds aDown) override;
  std::span<const std::string_view> OwnFaultKinds() const override;
  void OnFaults() override;

private:
  struct Run;
  struct Event
  {
    std::uint64_t sequence_ = 0; ///< Number of the event.
    TimePoint time_;             ///< When it happened.
    std::string kind_;           ///< "loaded" or "evicted".
    std::string adapter_;        ///< Adapter concerned.
  };
  using Replies = std::vector<std::shared_ptr<Reply>>;

  void Complete(const Request& aRequest, const std::shared_ptr<Reply>& aReply, bool aIsChat);
  void StartRun(const std::shared_ptr<Run>& aRun);
  void ScheduleToken(const std::shared_ptr<Run>& aRun, Duration aDelay);
  void NextToken(const std::shared_ptr<Run>& aRun);
  void FinishRun(const std::shared_ptr<Run>& aRun, std::string_view aReason);
  void EndRun(const std::shared_ptr<Run>& aRun);
  void CancelRun(const std::shared_ptr<Run>& aRun);
  static const std::string& RequestIdOf(const Run& aRun);
  bool ApplyTokenFault(Run& aRun);
  static void SendFailure(Run& aRun);
  std::string EventText(const Run& aRun, std::string_view aText, std::string_view aReason) const;
  std::string AnswerText(const Run& aRun, std::string_view aReason) const;

  void Load(const Request& aRequest, const std::shared_ptr<Reply>& aReply);
  void FetchWeights(const Request& aRequest, const AdapterRef& aAdapter);
  void AbortLeases();
  void AnswerLoad(const AdapterRef& aAdapter, const std::string& aEpoch, bool aIsLoaded);
  void Cancel(const std::string& aId, Reply& aReply);
  void SendState(Reply& aReply);
  void SendEvents(const Request& aRequest, Reply& aReply);
  void Crash(std::chrono::nanoseconds aDown);
  void NoteChange();
  void AddEvent(const char* aKind, const AdapterRef& aAdapter);
  std::string NewEpoch();

  SystemClock clock_;                   ///< Time.
  EngineModel model_;                   ///< Slots, runs and cold state.
  std::unique_ptr<JsonClient> weights_; ///< Weight store; may be null.
  Duration loadTime_;                   ///< Load time without a weight store.
  Duration prefillTime_;                ///< Time of a prompt token.
  Duration downTime_;                   ///< Outage after a crash.
  Duration stateLag_;                   ///< Age of the state reported.
  Duration eventLag_;                   ///< Age at which events are published.
  std::uint64_t dropEvery_;             ///< Every n-th event is lost; 0 = none.
  std::uint64_t maxTokens_;             ///< Most tokens of an answer.
  std::unordered_map<std::uint64_t, std::shared_ptr<Run>> runs_; ///< Requests that run or wait.
  std::uint64_t nextRun_ = 0;                                    ///< Identifies the next request.
  std::map<AdapterRef, std::string> leases_; ///< Loads at the weight store, by adapter.
  std::map<AdapterRef, Replies> loading_;    ///< Answers owed, by adapter that is loaded.
  std::deque<std::pair<TimePoint, EngineReport>> reports_; ///< Recent states, oldest first.
  std::deque<Event> events_;                               ///< Recent events.
  std::uint64_t nextEvent_ = 0;                            ///< Number of the next event.
  std::uint64_t epochs_ = 0;                               ///< Processes so far.
  std::uint64_t cancelled_ = 0;                            ///< Requests cancelled by order.
  std::uint64_t disconnected_ = 0;                         ///< Requests whose peer closed early.
  std::uint64_t notLoaded_ = 0;                            ///< Requests refused: not resident.
  std::uint64_t overloaded_ = 0;                           ///< Requests refused: overloaded.
  std::uint64_t tokens_ = 0;                               ///< Tokens generated.
};

} // namespace laburnumweir::standin

#endif
