/** @file fleet_store_base.h Interface to the platform's store. */
#ifndef LABURNUMWEIR_FLEET_FLEET_STORE_BASE_H
#define LABURNUMWEIR_FLEET_FLEET_STORE_BASE_H

#include "fleet/fleet_type.h"

#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace laburnumweir {

/** Errors of the store. */
enum class StoreError
{
  Unreachable = 1, ///< No answer; a write may have taken effect or may do so later.
  Refused,         ///< The store said that it did nothing (busy or over its rate).
  HistoryLost,     ///< The records asked for are deleted; read the newest ones instead.
  Unreadable,      ///< The answer does not follow the protocol.
  NotMember        ///< The group does not count this host as a member.
};

/** @return the category of StoreError. */
const std::error_category&
StoreCategory();
/** @return the error as a std::error_code. */
std::error_code
make_error_code(StoreError aError);

/** A data centre is to get nothing, or may be used again. */
struct EvacuationChange
{
  DataCentreId dataCentre_;  ///< Data centre.
  bool isEvacuated_ = false; ///< Whether it is to get nothing.
};

/** An upstream wrote its entry, or the entry is gone. */
struct UpstreamChange
{
  UpstreamId id_;                      ///< Upstream.
  std::optional<UpstreamEntry> entry_; ///< Its entry; empty if it is gone.
};

/** One change that was read. */
using FleetChange = std::variant<FleetConfig, AdapterRelease, EvacuationChange, UpstreamChange>;

/** Changes in the sequence of the store. */
struct ChangeBatch
{
  bool isSnapshot_ = false;          ///< Everything that exists; what is missing is gone.
  std::vector<FleetChange> changes_; ///< Changes, oldest first.
  LogOffset next_ = 0;               ///< Where the next read starts.
  std::size_t unreadable_ = 0;       ///< Records that could not be decoded and were left out.
};

/** Which stream of changes to read. */
enum class ChangeStream : std::uint8_t
{
  Operators, ///< Configuration, releases and evacuations.
  Upstreams  ///< Entries of upstreams.
};

/** A gateway as recorded in the store. */
struct HostRecord
{
  HostId id_;               ///< Host.
  Endpoint gossip_;         ///< Where it receives gossip.
  DataCentreId dataCentre_; ///< Where it stands.

  auto operator<=>(const HostRecord&) const = default;
};

/** What a member of the group holds. */
struct GroupMembership
{
  std::uint64_t generation_ = 0;          ///< Rises with each change of the group.
  std::vector<std::uint32_t> partitions_; ///< Partitions of this member.
};

/** Asynchronous calls to the store; callbacks run on the control thread. */
class FleetStore
{
public:
  using ChangesCallback = std::function<void(std::error_code, ChangeBatch)>;
  using MembershipCallback = std::function<void(std::error_code, GroupMembership)>;
  using HostsCallback = std::function<void(std::error_code, std::vector<HostRecord>)>;
  using DoneCallback = std::function<void(std::error_code)>;

  virtual ~FleetStore() = default;
  /** Reads everything that exists. @param aStream which stream. @param aCallback receives it. */
  virtual void ReadAll(ChangeStream aStream, ChangesCallback aCallback) = 0;
  /**
   * Reads changes.
   * @param aStream which stream.
   * @param aFrom where to start.
   * @param aWait longest wait for a change; zero returns at once.
   * @param aCallback receives the changes, perhaps none.
   */
  virtual void ReadChanges(ChangeStream aStream,
                           LogOffset aFrom,
                           std::chrono::milliseconds aWait,
                           ChangesCallback aCallback) = 0;
  /**
   * Joins the group of hosts that hold engines, or stays in it.
   * @param aMember this host and life.
   * @param aGeneration generation received last; 0 at first.
   * @param aLife time after which the group forgets a silent member.
   * @param aCallback receives what this member holds.
   */
  virtual void JoinGroup(const HostId& aMember,
                         std::uint64_t aGeneration,
                         std::chrono::milliseconds aLife,
                         MembershipCallback aCallback) = 0;
  /** Leaves the group. */
  virtual void LeaveGroup(const HostId& aMember, DoneCallback aCallback) = 0;
  /** Records where this host receives gossip. */
  virtual void PublishHost(const HostRecord& aRecord, DoneCallback aCallback) = 0;
  /** Reads the hosts that were recorded; some may be gone. */
  virtual void ReadHosts(HostsCallback aCallback) = 0;
};

} // namespace laburnumweir

template<>
struct std::is_error_code_enum<laburnumweir::StoreError> : std::true_type
{
};

#endif
