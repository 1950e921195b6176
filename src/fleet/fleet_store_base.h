/** @file fleet_store_base.h Interface to the platform's store. */
#ifndef LABURNUMWEIR_FLEET_FLEET_STORE_BASE_H
#define LABURNUMWEIR_FLEET_FLEET_STORE_BASE_H

#include "fleet/fleet_type.h"
#include "fleet/quarantine.h"
#include "fleet/stream_origin.h"

#include <chrono>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace laburnumweir {

/** Errors of the store. */
enum class StoreError
{
  Unreachable = 1, ///< No answer; a write may have taken effect or may still do so.
  Refused,         ///< Refused without effect (store is busy or over its rate limit).
  HistoryLost,     ///< The requested records are deleted; the caller must read all again.
  Unreadable,      ///< The answer violates the protocol.
  NotMember,       ///< This host is not a member of the group.
  Outdated,        ///< The answer is of an earlier era than one that this host has seen.
  Conflict         ///< A conditional append had no effect: the stream ends elsewhere.
};

const std::error_category&
StoreCategory();
/** Converts the enum to std::error_code; the name is required by the standard library. */
std::error_code
make_error_code(StoreError aError);

/** Rises when the store loses acknowledged records and returns from an older copy of itself. The
 * offsets of lost records are given out again. */
using StoreEra = std::uint64_t;

/** Offset in a stream of the store, with the era in which it was given out. */
struct StorePosition
{
  StoreEra era_ = 0;
  LogOffset next_ = 0; ///< Offset of the next record.

  auto operator<=>(const StorePosition&) const = default;
};

/** A configuration that is in force at a host. */
struct ConfigInForce
{
  std::int64_t version_ = 0; ///< 0 before the first configuration.
  StorePosition next_;       ///< Position in the operators' stream after the read that brought it.
};

/** A return of the store from an older copy, as a host has seen it. */
struct StoreRestore
{
  StoreEra era_ = 0;                   ///< Era after it.
  std::chrono::milliseconds age_{ 0 }; ///< Time since the host saw that era.
};

/** Evacuation of a data centre, or the end of one. */
struct EvacuationChange
{
  DataCentreId dataCentre_;
  bool isEvacuated_ = false; ///< Whether its upstreams get no requests.
};

/** A new entry of an upstream, or the removal of its entry. */
struct UpstreamChange
{
  UpstreamId id_;                      ///< Empty if the record concerns no upstream.
  std::optional<UpstreamEntry> entry_; ///< Empty if the entry was removed.
  EntryStamp lastStamp_ = {};          ///< Of the last entry before a removal, if known.
};

/** One change in a stream of the store. */
using FleetChange = std::variant<FleetConfig, AdapterRelease, EvacuationChange, UpstreamChange>;

/** Changes in the order of the store. */
struct ChangeBatch
{
  bool isSnapshot_ = false; ///< Whether it is the whole state, so that absent items are gone.
  std::vector<FleetChange> changes_; ///< Oldest first.
  StoreEra era_ = 0;                 ///< Era of the store that answered.
  LogOffset next_ = 0;               ///< Offset at which the next read starts.
  std::size_t unreadable_ = 0;       ///< Records that were skipped as undecodable.
  /** Whether each record up to next_ gave one change, so that the offset of each change follows
   * from its position. */
  bool isGapless_ = false;
  /** Whether it reaches the end that the stream had when the store answered. A long stream is read
   * in parts. */
  bool isComplete_ = true;

  StorePosition Next() const { return { era_, next_ }; }
  /** @return offset after the record of a change; next_ if its record is not known. */
  LogOffset OffsetAfter(std::size_t aIndex) const
  {
    return isGapless_ ? next_ - (changes_.size() - 1 - aIndex) : next_;
  }
};

/** Streams of changes in the store. */
enum class ChangeStream : std::uint8_t
{
  Operators, ///< Configuration, releases and evacuations.
  Upstreams  ///< Entries of upstreams.
};

/** Record of a host in the store. */
struct HostRecord
{
  HostId id_;
  Endpoint gossip_; ///< Where it receives gossip.
  DataCentreId dataCentre_;

  auto operator<=>(const HostRecord&) const = default;
};

/** Record of a quarantine in the store, from which hosts that start learn of it. */
struct QuarantineRecord
{
  std::vector<ContentId> contents_;
  WallTime until_; ///< When it ends.
};

/** Software versions of the upstreams of a service that may have begun streams which callers
 * resume, from which hosts that start learn of them. */
struct SoftwareRecord
{
  ServiceName service_;
  std::vector<SoftwareVersion> versions_; ///< Sorted.
  bool isComplete_ = false;               ///< Whether no such version is missing.
  StoreEra era_ = 0;                      ///< Era in which it was written.

  auto operator<=>(const SoftwareRecord&) const = default;
};

/** Records that hosts wrote for other hosts. */
struct HostTopicRecords
{
  StoreEra era_ = 0;                          ///< Era in which they were read.
  std::vector<HostRecord> hosts_;             ///< Some may be gone.
  std::vector<QuarantineRecord> quarantines_; ///< Some may have ended.
  std::vector<SoftwareRecord> software_;      ///< Some may be of an earlier era.
};

/** Origins of streams in the order of the store. */
struct StreamOriginBatch
{
  std::vector<StreamOriginRecord> records_;
  StorePosition next_;     ///< Where the next read starts.
  bool isComplete_ = true; ///< Whether it reaches the end that the stream had.
};

/** Partitions that the group assigned to a member. */
struct GroupMembership
{
  std::uint64_t generation_ = 0;          ///< Rises with each change of the group.
  std::vector<std::uint32_t> partitions_; ///< Partitions of this member.
  /** Rises each time that the store is restored from a copy; generations count within an era. */
  StoreEra era_ = 0;
};

/** Asynchronous calls to the store; callbacks run on the control thread. */
class FleetStore
{
public:
  using ChangesCallback = std::function<void(std::error_code, ChangeBatch)>;
  using MembershipCallback = std::function<void(std::error_code, GroupMembership)>;
  using RecordsCallback = std::function<void(std::error_code, HostTopicRecords)>;
  using OriginsCallback = std::function<void(std::error_code, StreamOriginBatch)>;
  using DoneCallback = std::function<void(std::error_code)>;

  virtual ~FleetStore() = default;
  /** Reads the whole state of a stream; the batch is a snapshot. */
  virtual void ReadAll(ChangeStream aStream, ChangesCallback aCallback) = 0;
  /**
   * Reads changes of a stream. Fails with HistoryLost if the store is in another era than that of
   * the position.
   * @param aFrom position of the first change.
   * @param aWait maximum wait for a change; zero returns at once.
   * @param aCallback receives the changes, perhaps none.
   */
  virtual void ReadChanges(ChangeStream aStream,
                           StorePosition aFrom,
                           std::chrono::milliseconds aWait,
                           ChangesCallback aCallback) = 0;
  /**
   * Joins the group of hosts that hold engines, or renews the membership.
   * @param aMember name of this host and its process instance.
   * @param aGeneration last received generation of the current era; 0 if none.
   * @param aTimeout time after which the group removes a member that did not renew.
   * @param aCallback receives the partitions of this member; with an error only the era, which is
   * 0 without an answer.
   */
  virtual void JoinGroup(const HostId& aMember,
                         std::uint64_t aGeneration,
                         std::chrono::milliseconds aTimeout,
                         MembershipCallback aCallback) = 0;
  virtual void LeaveGroup(const HostId& aMember, DoneCallback aCallback) = 0;
  /** Writes the record of this host. */
  virtual void PublishHost(const HostRecord& aRecord, DoneCallback aCallback) = 0;
  /** Writes a quarantine. */
  virtual void WriteQuarantine(const QuarantineRecord& aRecord, DoneCallback aCallback) = 0;
  /** Removes the record of the quarantine of these contents. */
  virtual void RemoveQuarantine(std::span<const ContentId> aContents, DoneCallback aCallback) = 0;
  /** Writes the software versions of a service. */
  virtual void WriteSoftware(const SoftwareRecord& aRecord, DoneCallback aCallback) = 0;
  /** Adds origins of streams, which the store keeps for some time. */
  virtual void AppendOrigins(std::span<const StreamOriginRecord> aRecords,
                             DoneCallback aCallback) = 0;
  /** Reads origins of streams. @param aFrom position of the first one; none for the oldest. Fails
   * with HistoryLost if the store is in another era than that of the position. */
  virtual void ReadOrigins(std::optional<StorePosition> aFrom, OriginsCallback aCallback) = 0;
  /** Reads all records that hosts wrote. */
  virtual void ReadHostTopic(RecordsCallback aCallback) = 0;
};

} // namespace laburnumweir

template<>
struct std::is_error_code_enum<laburnumweir::StoreError> : std::true_type
{
};

#endif
