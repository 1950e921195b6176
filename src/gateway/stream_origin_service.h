/** @file stream_origin_service.h Shares the origins of streams between hosts. */
#ifndef LABURNUMWEIR_GATEWAY_STREAM_ORIGIN_SERVICE_H
#define LABURNUMWEIR_GATEWAY_STREAM_ORIGIN_SERVICE_H

#include "core/scheduler_base.h"
#include "fleet/fleet_state.h"
#include "fleet/peer_table.h"
#include "fleet/software_history.h"
#include "gateway/gossip_message.h"
#include "gateway/store_watch.h"
#include "gateway/stream_origin_base.h"

#include <list>
#include <memory>
#include <set>
#include <vector>

namespace laburnumweir {

/** Sends messages on origins to other hosts. */
class StreamOriginSender
{
public:
  virtual ~StreamOriginSender() = default;
  /** Sends a message that may be lost. */
  virtual void SendOrigins(const Endpoint& aTo, const StreamOriginMessage& aMessage) = 0;
};

/** State that the service reads. All references must outlive it. */
struct StreamOriginContext
{
  FleetStore& store_;
  const Clock& clock_;
  Scheduler& scheduler_;
  const FleetState& fleet_;
  const PeerTable& peers_;
  const SoftwareHistory& history_;
  StoreWatch& watch_;
  StreamOriginSender& sender_;
};

/**
 * Keeps the origins of streams at a few hosts, which the id of the stream determines, and asks
 * these for the origin of a stream that a caller resumes. If none knows it, it follows from the
 * software history as long as only one version can have begun the stream. While there are several,
 * the origins are also written to the store.
 */
class StreamOriginService
  : public StreamOrigins
  , public std::enable_shared_from_this<StreamOriginService>
{
public:
  /** @param aSelf this host. */
  StreamOriginService(const StreamOriginContext& aContext, HostRecord aSelf);

  /** Starts to store origins and to forget old ones. */
  void Start();
  void Record(const RequestId& aAttempt, const StreamOrigin& aOrigin) override;
  void Find(const RequestId& aAttempt, const ServiceName& aService, Callback aCallback) override;
  /** Processes a message of another host. */
  void OnMessage(const HostRecord& aFrom, const StreamOriginMessage& aMessage);

private:
  /** A search that has not ended. */
  struct Search
  {
    RequestId attempt_;
    ServiceName service_;
    Callback callback_; ///< Empty once the search has ended.
    TimePoint startedAt_;
    std::optional<TimePoint> queriedAt_; ///< When the last queries were sent.
    std::set<HostId> unaware_;           ///< Hosts that have answered that they do not know it.
  };

  /** @return the first hosts by rendezvous weight for a stream, perhaps with this one. */
  std::vector<HostRecord> HostsOf(const RequestId& aAttempt, std::size_t aCount) const;
  void Check(const std::shared_ptr<Search>& aSearch);
  /** @return whether all hosts that may know the origin have answered that they do not. */
  bool AskHosts(Search& aSearch);
  /** @return the only version of a service that can have begun a stream; none if there are several.
   */
  std::optional<SoftwareVersion> OnlyVersion(const ServiceName& aService) const;
  /** Looks where the origin of a stream can be found that no other host knows. */
  void CheckStore(const std::shared_ptr<Search>& aSearch, bool aIsConclusive);
  void ReadStored();
  void OnStoredRead(TimePoint aSentAt, std::error_code aError, const StreamOriginBatch& aBatch);
  /** Stores the origins of new streams, and those of running ones when a second version appears. */
  void StoreOrigins();
  /** @param aCount origins that were to be written. */
  void OnStored(std::size_t aCount, std::error_code aError);
  /** @param aSearch must not be an element of searches_ itself. */
  void End(const std::shared_ptr<Search>& aSearch, const OriginResult& aResult);

  StreamOriginContext context_;
  const HostRecord self_;
  StreamOriginTable origins_;
  StreamOriginTable ownOrigins_;             ///< Of the streams that this host serves.
  std::set<ServiceName> storedServices_;     ///< Services whose origins are written to the store.
  std::vector<StreamOriginRecord> unstored_; ///< To be written.
  bool isStoring_ = false;                   ///< A write is running.
  std::optional<StorePosition> storedNext_;  ///< Where the next read of the store starts.
  std::optional<TimePoint> storedReadAt_;    ///< When the last complete read was requested.
  bool isReadingStore_ = false;
  std::list<std::shared_ptr<Search>> searches_;
};

} // namespace laburnumweir

#endif
