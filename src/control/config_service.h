/** @file config_service.h Follows the configuration stream and publishes the agreed state. */
#ifndef LABURNUMWEIR_CONTROL_CONFIG_SERVICE_H
#define LABURNUMWEIR_CONTROL_CONFIG_SERVICE_H

#include "control/config_view_base.h"
#include "control/peer_router.h"
#include "control/published_state.h"
#include "log/log_client_base.h"
#include "metrics/metrics.h"
#include "peer/wire.pb.h"
#include "state/acceptance_tracker.h"
#include "state/authority_func.h"
#include "state/bootstrap.h"
#include "state/freshness_tracker.h"
#include "state/snapshot_scheduler.h"

#include <memory>
#include <string>
#include <vector>

namespace laburnumweir {

/** Name of the stream with rules and membership. */
constexpr std::string_view kConfigStream = "config";

/**
 * Reads the configuration stream, folds it, takes newer states from peers while the log cannot be
 * read, and publishes the result with the time until which it may be acted on. Control thread only.
 */
class ConfigService
  : public ConfigView
  , public std::enable_shared_from_this<ConfigService>
{
public:
  /**
   * @param aRouter messages to peers.
   * @param aClock time source.
   * @param aScheduler control thread.
   * @param aLog the log.
   * @param aPublisher receives the states.
   * @param aMetrics counts folds and gaps.
   * @param aFreshness bounds of freshness.
   * @param aSnapshots when snapshots are appended.
   * @param aRandom source of jitter.
   */
  ConfigService(PeerRouter& aRouter,
                const Clock& aClock,
                Scheduler& aScheduler,
                LogClient& aLog,
                StatePublisher& aPublisher,
                Metrics& aMetrics,
                const FreshnessSettings& aFreshness,
                const SnapshotSettings& aSnapshots,
                RandomSource& aRandom);

  /** Adds a listener; call before Start(). */
  void AddListener(ConfigListener& aListener) { listeners_.push_back(&aListener); }
  /** Starts to read the stream; call once, after the object is owned by a shared pointer. */
  void Start();
  const ConfigState* State() const override { return reader_.State(); }
  bool MayAct() const override;
  TimePoint Evidence() const override;
  bool IsMembershipKnown(LogOffset aOffset) const override;
  /** A member said how far it has folded. */
  void OnHeard(const HostLife& aLife, LogOffset aNext) { progress_.OnHeard(aLife, aNext); }
  /** @return what is known of the progress of all hosts. */
  const HostProgress& Progress() const { return progress_; }
  /** @return this life of this host. */
  HostLife SelfLife() const { return { router_.Self(), incarnation_ }; }
  /** Sets the incarnation with which this host is a member; 0 = none. */
  void SetIncarnation(Incarnation aIncarnation);
  /** @return the incarnation with which this host is a member. */
  Incarnation SelfIncarnation() const { return incarnation_; }
  /** Notes that the host is being shut down; it goes on until its requests have ended. */
  void SetDraining();
  /** Ends admission for good; a host stops admitting before it appends its leave record. */
  void StopAdmitting();
  /** @return whether the host is being shut down. */
  bool IsDraining() const { return isDraining_; }
  /**
   * Takes the answer of a peer to a heartbeat.
   * @param aPeer the peer and its incarnation.
   * @param aSentAt when the heartbeat was sent.
   * @param aAnswer the answer.
   */
  void OnHeartbeatAnswer(const HostLife& aPeer,
                         TimePoint aSentAt,
                         const wire::HeartbeatAnswer& aAnswer);
  /** Evaluates freshness and appends a snapshot if one is due; called with each heartbeat. */
  void Tick();
  /** An append of this host has, or no longer has, an unknown outcome. */
  void SetPendingAppend(bool aIsPending);
  /** Describes the state of this host for a peer. @param aAnswer receives it. */
  void FillHeartbeatAnswer(wire::HeartbeatAnswer& aAnswer) const;
  /** @return why this host is not ready; empty if it is. */
  std::string NotReadyReason() const;
  /** @return whether the last read of the log succeeded. */
  bool IsLogReadable() const { return isLogReadable_; }
  /** @return end of the stream as last read, for `apply --init`. */
  LogOffset StreamEnd() const { return streamEnd_; }
  /** @return whether the stream was read and holds no usable snapshot. */
  bool LacksSnapshot() const;
  /** @return how the state is known to be the newest. */
  FreshnessMode Freshness() const { return freshness_.Mode(); }

private:
  void Read();
  void OnRead(TimePoint aSentAt, const ReadResult& aResult);
  void FetchFrom(const HostId& aPeer);
  void ServeState(const PeerTransport::Responder& aRespond);
  void NoteProgress();
  void AfterJump();
  void AfterRecord(const LogRecord& aRecord, const FoldOutcome& aOutcome);
  void AppendSnapshot();
  void Publish();

  PeerRouter& router_;                      ///< Messages to peers.
  const Clock& clock_;                      ///< Time source.
  Scheduler& scheduler_;                    ///< Control thread.
  LogClient& log_;                          ///< The log.
  StatePublisher& publisher_;               ///< Receives the states.
  Metrics& metrics_;                        ///< Counts folds and gaps.
  std::vector<ConfigListener*> listeners_;  ///< Told of each record.
  ConfigReader reader_;                     ///< Folds the stream.
  std::shared_ptr<const ConfigState> copy_; ///< State as published.
  HostProgress progress_;                   ///< How far the hosts have folded.
  FreshnessTracker freshness_;              ///< Evidence that the state is the newest.
  FreshnessSettings freshnessSettings_;     ///< Bounds of freshness.
  SnapshotScheduler snapshots_;             ///< When to append a snapshot.
  RandomSource& random_;                    ///< Source of jitter.
  TimePoint freshUntil_;                    ///< Until when the state may be acted on.
  Incarnation incarnation_ = 0;             ///< Incarnation of this host.
  LogOffset streamEnd_ = 0;                 ///< End of the stream as last read.
  bool isLogReadable_ = false;              ///< Whether the last read succeeded.
  bool isFetching_ = false;                 ///< A peer was asked for its state.
  bool hasPendingAppend_ = false;           ///< An own append has no known outcome.
  bool isSnapshotting_ = false;             ///< A snapshot is being appended.
  bool isDraining_ = false;                 ///< The host is being shut down.
  bool isStopped_ = false;                  ///< The host admits nothing any more.
  bool wasReady_ = false;                   ///< For the log line when it changes.
};

} // namespace laburnumweir

#endif
