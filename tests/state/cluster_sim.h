/** @file cluster_sim.h Several hosts in memory with a fake log, a fake clock and an oracle. */
#ifndef LABURNUMWEIR_TESTS_STATE_CLUSTER_SIM_H
#define LABURNUMWEIR_TESTS_STATE_CLUSTER_SIM_H

#include "state/acceptance_tracker.h"
#include "state/bootstrap.h"
#include "state/freshness_tracker.h"
#include "state/liveness_tracker.h"
#include "state/snapshot_scheduler.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnumweir::sim {

constexpr int kHosts = 5;

/** What the log does with the next append. */
enum class LogFault : std::uint8_t
{
  None,       ///< It answers.
  LostAnswer, ///< It appends and the answer is lost.
  Duplicate,  ///< It appends twice.
  Late        ///< The append arrives seconds later.
};

/** Folds changes in the plainest way, independently of the product. */
class Oracle
{
public:
  /** A record was appended. */
  void OnAppend(const ConfigRecord& aRecord);
  /** @return the rule lines after the records before an offset. */
  const std::string& TextAt(LogOffset aNext) const { return texts_.at(aNext); }
  /** @return offset of a change that took effect, or nothing. */
  std::optional<LogOffset> ValidAt(const std::string& aId) const;
  /** @return whether the change was rejected. */
  bool IsRejected(const std::string& aId) const;
  /** @return largest number of valid changes with one base. */
  int MostWinners() const;

private:
  std::vector<std::string> texts_{ "" };                     ///< Rule lines by offset.
  std::map<RuleIdentity, std::string> lines_;                ///< Rule lines now.
  std::optional<LogOffset> revision_;                        ///< Last valid change.
  std::map<std::string, std::optional<LogOffset>> verdicts_; ///< Offset of valid changes.
  std::map<std::optional<LogOffset>, int> winners_;          ///< Valid changes by base.
  LogOffset next_ = 0;                                       ///< Next offset.
};

/** Counts that show that the histories reach what they are meant to test. */
struct SimCounts
{
  std::uint64_t accepted_ = 0; ///< Changes reported as accepted.
  std::uint64_t rejected_ = 0; ///< Changes reported as rejected.
  std::uint64_t unknown_ = 0;  ///< Changes reported as unknown.
  std::uint64_t lapsed_ = 0;   ///< Accepted while a host was passed over as lapsed.
  std::uint64_t outage_ = 0;   ///< Updates in outage mode.
  std::uint64_t removed_ = 0;  ///< Removals appended.
  std::uint64_t gaps_ = 0;     ///< States dropped after a gap.
  std::uint64_t adopted_ = 0;  ///< States taken from a peer.
};

/** The hosts, the log and the network between them. */
class Cluster
{
public:
  explicit Cluster(std::uint64_t aSeed);

  /** Runs for some time. @throws std::runtime_error if a property does not hold. */
  void Advance(Duration aTime);
  /** Ends a host without notice. */
  void Kill(int aHost);
  /** Starts a host with empty memory. */
  void Start(int aHost);
  /** Pauses a host; messages wait. */
  void Pause(int aHost, Duration aTime);
  /** Stops admitting, appends `leave` and ends the host. */
  void Leave(int aHost);
  /** Cuts or restores messages in one direction. */
  void SetCut(int aFrom, int aTo, bool aIsCut) { cut_.at(aFrom).at(aTo) = aIsCut; }
  /** Cuts or restores the host's connection to the log. */
  void SetLogCut(int aHost, bool aIsCut) { logCut_.at(aHost) = aIsCut; }
  /** Starts or ends an outage of the log. */
  void SetLogUp(bool aIsUp) { isLogUp_ = aIsUp; }
  /** Decides about the next append. */
  void SetFault(LogFault aFault) { fault_ = aFault; }
  /** Drops old records, but not those that the newest snapshot needs. */
  void Expire(int aCount);
  /** An operator asks a host for a change and waits for some time, or for a random one. */
  void Apply(int aHost, std::optional<Duration> aLimit = std::nullopt);
  /** Repairs everything, waits and checks that all hosts agree and all changes are decided. */
  void Settle();
  /** @return counts of this history. */
  const SimCounts& Counts() const { return counts_; }

private:
  struct Operation
  {
    ChangeRecord record_;                        ///< The change.
    std::unique_ptr<AcceptanceTracker> tracker_; ///< Follows it.
    bool isInDoubt_ = true;                      ///< Whether the outcome of the append is unknown.
    bool isOver_ = false;                        ///< Whether it was reported.
    TimePoint sent_;                             ///< When it was appended last.
  };
  struct Host
  {
    HostId id_;                                    ///< Name.
    bool isUp_ = false;                            ///< Whether it runs.
    std::uint64_t process_ = 0;                    ///< Number of the process.
    TimePoint pausedUntil_;                        ///< End of the pause.
    double rate_ = 1;                              ///< Rate of its clock.
    Incarnation incarnation_ = 0;                  ///< Its life.
    ConfigReader reader_;                          ///< Its state.
    std::unique_ptr<FreshnessTracker> freshness_;  ///< Its evidence.
    std::unique_ptr<LivenessTracker> liveness_;    ///< Whom it hears.
    std::unique_ptr<SnapshotScheduler> snapshots_; ///< When it writes snapshots.
    HostProgress progress_;                        ///< What it knows of others.
    std::vector<Operation> operations_;            ///< Changes asked of it.
    TimePoint freshUntil_ = TimePoint::min();      ///< Until when it admits, by its clock.
    LogOffset published_ = 0;                      ///< Position of the state that it admits under.
    TimePoint joinSent_ = TimePoint::min();        ///< When it appended its join last.
    std::uint64_t gaps_ = 0;                       ///< Gaps counted so far.
  };
  struct Event
  {
    int host_ = -1;                ///< Host that handles it; -1 for the log.
    std::uint64_t process_ = 0;    ///< Process that handles it.
    std::function<void()> action_; ///< What to do.
  };

  TimePoint Local(const Host& aHost) const;
  Duration Delay();
  void Post(Duration aDelay, int aHost, std::function<void()> aAction);
  void Run(Event aEvent);
  void Tick(int aHost);
  void ReadLog(int aHost);
  void OnRead(int aHost,
              TimePoint aAsked,
              LogOffset aFirst,
              LogOffset aFrom,
              const std::vector<std::string>& aRecords);
  void Ask(int aHost, int aPeer);
  void FetchState(int aHost, int aPeer);
  void Append(int aHost, ConfigRecord aRecord, std::function<void(bool)> aAnswer);
  void Store(const ConfigRecord& aRecord);
  void OnState(int aHost);
  void UpdateOperations(int aHost);
  void Evaluate(int aHost);
  void CheckAdmissions() const;

  SeededRandom random_;                                ///< Source of delays.
  TimePoint now_{ std::chrono::hours(24) };            ///< True time.
  std::multimap<TimePoint, Event> events_;             ///< What will happen.
  std::array<Host, kHosts> hosts_;                     ///< The hosts.
  std::array<std::array<bool, kHosts>, kHosts> cut_{}; ///< Cut connections.
  std::array<bool, kHosts> logCut_{};                  ///< Cut connections to the log.
  bool isLogUp_ = true;                                ///< Whether the log answers.
  LogFault fault_ = LogFault::None;                    ///< Fault of the next append.
  LogOffset first_ = 0;                                ///< Earliest retained record.
  std::vector<std::string> log_;                       ///< All records.
  LogOffset needed_ = 0;                               ///< Offset that the newest snapshot needs.
  Oracle oracle_;                                      ///< What must hold.
  std::optional<LogOffset> accepted_;                  ///< Newest change reported as accepted.
  FreshnessSettings settings_;                         ///< Bounds, shorter than the product's.
  int changes_ = 0;                                    ///< Number of changes asked for.
  SimCounts counts_;                                   ///< Counts.
};

} // namespace laburnumweir::sim

#endif
