/** @file removed_upstreams.h What is known of upstreams without an entry. */
#ifndef LABURNUMWEIR_FLEET_REMOVED_UPSTREAMS_H
#define LABURNUMWEIR_FLEET_REMOVED_UPSTREAMS_H

#include "fleet/upstream_type.h"

#include <map>

namespace laburnumweir {

/** State of an upstream that is kept in case its entry comes back. */
struct RemovedUpstream
{
  std::int64_t startedAt_ = 0; ///< Start time of its process, Unix ms.
  TimePoint changedAt_;        ///< When the entry was removed.
  Endpoint endpoint_;
  std::uint32_t running_ = 0; ///< As in Upstream.
  UpstreamNotice notice_;
};

/**
 * Upstreams whose entry was removed within kUpstreamNoticeTtl: the requests of this host that still
 * run there, and what their processes have said. Not thread-safe.
 */
class RemovedUpstreams
{
public:
  /** @return the state of an upstream that is to be kept. */
  static RemovedUpstream StateOf(const Upstream& aUpstream, TimePoint aNow);
  /** Keeps the state of an upstream whose entry is removed. */
  void Keep(const Upstream& aUpstream, TimePoint aNow);
  /** @return the state of an upstream that gets an entry, which is not kept any more; empty if
   * nothing is known. */
  RemovedUpstream Take(const UpstreamId& aId, TimePoint aNow);
  /** Counts the end of an attempt that was sent before the removal. */
  void OnAttemptEnded(const UpstreamId& aId);
  /** @return what the process of an upstream has said; nullptr if it is not known. */
  UpstreamNotice* NoticeOf(const UpstreamId& aId, std::int64_t aStartedAt);
  const std::map<UpstreamId, RemovedUpstream>& All() const { return states_; }

private:
  std::map<UpstreamId, RemovedUpstream> states_;
};

} // namespace laburnumweir

#endif
