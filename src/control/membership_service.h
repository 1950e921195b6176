/** @file membership_service.h Joins the fleet, hears the other members and removes silent ones. */
#ifndef LABURNUMWEIR_CONTROL_MEMBERSHIP_SERVICE_H
#define LABURNUMWEIR_CONTROL_MEMBERSHIP_SERVICE_H

#include "control/config_service.h"
#include "hostlist/host_list_base.h"
#include "state/liveness_tracker.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace laburnumweir {

/** What a member knows of another one. */
struct PeerStatus
{
  HostId host_;          ///< The member.
  bool isHeard_ = false; ///< Whether it answered lately.
  LogOffset folded_ = 0; ///< One past the last offset that it has folded.
  Duration heardAge_{};  ///< Time since its last answer was asked for.
};

/**
 * Appends join and leave records for this host, exchanges heartbeats with the other members, and
 * appends remove records for members that nobody hears. Control thread only.
 */
class MembershipService
  : public ConfigListener
  , public std::enable_shared_from_this<MembershipService>
{
public:
  using PinFiller = std::function<void(const HostId&, wire::Heartbeat&)>;
  using HeartbeatListener = std::function<void(const wire::Envelope&)>;
  using ProgressListener = std::function<void(const HostLife&, LogOffset)>;

  /**
   * @param aRouter messages to peers.
   * @param aConfig the agreed state.
   * @param aClock time source.
   * @param aScheduler control thread.
   * @param aLog the log.
   * @param aHostList the host list.
   * @param aSelf entry of this host in the host list.
   * @param aRandom makes incarnations.
   */
  MembershipService(PeerRouter& aRouter,
                    ConfigService& aConfig,
                    const Clock& aClock,
                    Scheduler& aScheduler,
                    LogClient& aLog,
                    HostListClient& aHostList,
                    ListedHost aSelf,
                    RandomSource& aRandom);

  /** Starts the timers; call once, after the object is owned by a shared pointer. */
  void Start();
  void OnRecord(const ConfigState& aState) override;
  void OnJump(const ConfigState& aState) override;
  /** Sets who lists the pins to renew at a host. */
  void SetPinFiller(PinFiller aFiller) { pinFiller_ = std::move(aFiller); }
  /** Sets who reads the pins in heartbeats of others. */
  void SetHeartbeatListener(HeartbeatListener aListener) { onHeartbeat_ = std::move(aListener); }
  /** Sets who is told how far members have folded. */
  void SetProgressListener(ProgressListener aListener) { onProgress_ = std::move(aListener); }
  /**
   * Ends the membership of this host.
   * @param aDone called when the record is in the log, or when it could not be appended.
   */
  void Leave(std::function<void()> aDone);
  /** @return what this host knows of the other members. */
  std::vector<PeerStatus> Peers() const;
  /** @return the offset that a member has folded as far as known, if it answered lately. */
  std::map<HostId, PeerStatus> PeersByHost() const;

private:
  struct Peer
  {
    Incarnation incarnation_ = 0; ///< Incarnation of the member.
    TimePoint since_;             ///< When it was first known.
    TimePoint heard_;             ///< When the newest answered heartbeat was sent.
    LogOffset folded_ = 0;        ///< One past its last folded offset.
    bool isAsking_ = false;       ///< A heartbeat is under way.
    std::set<HostId> unheard_;    ///< Members that it does not hear.
  };

  void Tick();
  void AskPeer(const HostId& aPeer);
  void OnAnswer(const HostId& aPeer, TimePoint aSentAt, const wire::Envelope& aAnswer);
  void ServeHeartbeat(const wire::Envelope& aRequest, const PeerTransport::Responder& aRespond);
  void JoinIfNeeded();
  void RemoveSilent();
  void Append(std::string aId, std::string aData, std::function<void(std::error_code)> aDone);
  void Announce();
  void FetchHosts();
  void SetMembers(const ConfigState& aState);

  PeerRouter& router_;            ///< Messages to peers.
  ConfigService& config_;         ///< The agreed state.
  const Clock& clock_;            ///< Time source.
  Scheduler& scheduler_;          ///< Control thread.
  LogClient& log_;                ///< The log.
  HostListClient& hostList_;      ///< The host list.
  ListedHost self_;               ///< Entry of this host.
  std::map<HostId, Peer> peers_;  ///< Other members and hosts of the list.
  std::set<HostId> members_;      ///< Other members.
  RandomSource& random_;          ///< Makes incarnations.
  LivenessTracker liveness_;      ///< Decides whom to remove.
  PinFiller pinFiller_;           ///< Lists the pins to renew at a host.
  HeartbeatListener onHeartbeat_; ///< Reads the pins of others.
  ProgressListener onProgress_;   ///< Told how far members have folded.
  bool isJoining_ = false;        ///< A join record is being appended.
  bool isRemoving_ = false;       ///< A remove record is being appended.
  bool isLeaving_ = false;        ///< The host leaves and does not join again.
  Incarnation wanted_ = 0;        ///< Incarnation of the join record.
  TimePoint nextAnnounce_;        ///< When to refresh the entry in the host list.
  TimePoint nextFetch_;           ///< When to read the host list.
};

} // namespace laburnumweir

#endif
