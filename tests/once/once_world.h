/** @file once_world.h Hosts, readers, a faulty log and an upstream that counts runs, in fake time.
 */
#ifndef LABURNUMWEIR_TESTS_ONCE_ONCE_WORLD_H
#define LABURNUMWEIR_TESTS_ONCE_ONCE_WORLD_H

#include "core/clock_base.h"
#include "core/random_base.h"
#include "once/once_reader.h"
#include "once/once_requester.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnumweir::testing {

/** Faults, in percent. */
struct OnceFaults
{
  int messageLost_ = 0;       ///< Messages lost.
  int messageDuplicated_ = 0; ///< Messages delivered twice.
  int messageDelayed_ = 0;    ///< Messages late by up to 3 s.
  int appendLost_ = 0;        ///< Appends without effect and without an answer.
  int answerLost_ = 0;        ///< Appends with effect, now or up to 3 s later, without an answer.
  int readFailed_ = 0;        ///< Reads without an answer.
};

/** How a permitted attempt goes on at the upstream. */
enum class RunEnd : std::uint8_t
{
  Answered, ///< It runs and the answer arrives.
  Lost,     ///< It runs and the answer is lost.
  Refused   ///< The upstream refuses before it starts.
};

/** A request of a caller and what became of it. */
struct OnceCall
{
  std::size_t key_ = 0;                  ///< Key.
  int request_ = 0;                      ///< Which body.
  std::size_t host_ = 0;                 ///< Host.
  std::uint64_t life_ = 0;               ///< Incarnation of the host.
  Duration started_{};                   ///< True time.
  std::optional<OnceDecision> decision_; ///< Verdict.
  OnceOutcome outcome_;                  ///< Replayed outcome.
  int runs_ = 0;                         ///< Times that the upstream ran it.
  bool isReleased_ = false;              ///< Permitted, but certainly not run.
};

/** A run at the upstream. */
struct OnceRun
{
  std::size_t key_ = 0; ///< Key.
  int request_ = 0;     ///< Body.
  Duration at_{};       ///< True time.
  OnceOutcome outcome_; ///< Its answer.
};

/** Simulates one partition and its hosts. */
class OnceWorld
{
public:
  OnceWorld(std::size_t aHosts, const OnceSettings& aSettings, std::uint64_t aSeed);
  ~OnceWorld();

  /** Lets time pass. @param aTime how long. */
  void Run(Duration aTime);
  /**
   * A caller sends a request.
   * @param aHost host.
   * @param aKey key.
   * @param aRequest which body.
   * @param aThinks time between the permit and the sending.
   * @param aEnd what the upstream does.
   */
  void Call(std::size_t aHost, std::size_t aKey, int aRequest, Duration aThinks, RunEnd aEnd);
  /** Ends a host's process; it starts again with empty memory. @param aHost host. */
  void Restart(std::size_t aHost);
  /** Stops a host's process for a time. @param aHost host. @param aTime how long. */
  void Pause(std::size_t aHost, Duration aTime);
  /**
   * Makes a host the reader. Every host learns it after a time of its own.
   * @param aHost host.
   * @param aLongest longest time until a host learns it.
   */
  void MoveReader(std::size_t aHost, Duration aLongest);
  /** Makes the log refuse everything for a time. @param aTime how long. */
  void LogOutage(Duration aTime) { logDownUntil_ = now_ + aTime; }
  /** Sets the faults. @param aFaults faults. */
  void SetFaults(const OnceFaults& aFaults) { faults_ = aFaults; }
  /** @return true time since the start. */
  Duration Now() const { return now_; }
  /** @return all calls. */
  const std::deque<OnceCall>& Calls() const { return calls_; }
  /** @return all runs in sequence. */
  const std::vector<OnceRun>& Runs() const { return runs_; }
  /** @return number of records appended. */
  std::size_t Appended() const { return log_.size(); }
  /** @return whether a host's process ended while it had a call under way. */
  bool WasInterrupted() const { return wasInterrupted_; }
  /** Checks what must hold at any moment. @return what is wrong, or an empty text. */
  std::string Check() const;

private:
  struct Host;

  void At(Duration aTime, std::function<void()> aAction);
  bool Hits(int aPercent) { return random_.Below(100) < static_cast<std::uint64_t>(aPercent); }
  void Deliver(std::size_t aHost, std::uint64_t aLife, const std::function<void()>& aAction);
  void Transmit(std::size_t aTo, const std::function<void()>& aAction);
  void TickHost(std::size_t aHost, std::uint64_t aLife);
  void DriveReader(std::size_t aHost);
  void Learn(std::size_t aHost, std::size_t aReader);
  void Handle(std::size_t aHost, OnceRequesterOutput& aOutput);
  void Handle(std::size_t aHost, const OnceOutput& aOutput);
  void Permitted(std::size_t aHost, OnceVerdict& aVerdict, std::size_t aCall);
  void Append(const std::vector<NewRecord>& aRecords);
  ReadResult Read(LogOffset aFrom) const;

  OnceSettings settings_;       ///< Settings.
  SeededRandom random_;         ///< Latency and faults.
  Duration now_{};              ///< True time.
  std::uint64_t nextEvent_ = 0; ///< Breaks ties.
  std::map<std::pair<Duration, std::uint64_t>, std::function<void()>> events_; ///< Future.
  std::vector<std::unique_ptr<Host>> hosts_;                                   ///< Hosts.
  std::size_t reader_ = 0;       ///< Host that should be the reader.
  std::uint64_t changes_ = 0;    ///< Changes of the reader.
  std::uint64_t nextReader_ = 1; ///< Next tenure.
  std::vector<LogRecord> log_;   ///< Log.
  Duration logDownUntil_{};      ///< End of an outage.
  std::deque<Duration> appends_; ///< Times of appends, for the rate limit.
  OnceFaults faults_;            ///< Faults.
  std::deque<OnceCall> calls_;   ///< Calls.
  std::vector<OnceRun> runs_;    ///< Runs.
  bool wasInterrupted_ = false;  ///< See WasInterrupted().
};

} // namespace laburnumweir::testing

#endif
