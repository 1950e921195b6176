/** @file upstream_paths.h What this host knows of its own links to the upstreams. */
#ifndef LABURNUMWEIR_GATEWAY_UPSTREAM_PATHS_H
#define LABURNUMWEIR_GATEWAY_UPSTREAM_PATHS_H

#include "core/clock_base.h"
#include "core/upstream_client_base.h"

#include <map>
#include <optional>
#include <set>

namespace laburnumweir {

/**
 * Tells a lost link from an upstream that fails: an upstream that this host does not reach while
 * another host does is one whose link is lost. After several of these, without a connection of its
 * own since, the host takes all its links for lost, until one of them works again. Not thread-safe.
 */
class UpstreamPaths
{
public:
  /** @param aClock must outlive this object. */
  explicit UpstreamPaths(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /** Records a new connection over this host's own link. */
  void OnConnected(const Endpoint& aEndpoint);
  /** Records a connection through another host, while the link of this host did not work. */
  void OnRelayed(const Endpoint& aEndpoint);
  /** Records that neither this host nor others reach an upstream. */
  void OnUnreachable(const Endpoint& aEndpoint);

  /** @return whether connections to an upstream go through other hosts. */
  bool IsRelayed(const Endpoint& aEndpoint) const
  {
    return lostSince_.has_value() || relayed_.contains(aEndpoint);
  }
  /** @return whether failures at an upstream are those of this host's link to it. */
  bool IsLinkLost(const Endpoint& aEndpoint) const;
  /** @return whether all links are taken for lost. */
  bool AreLinksLost() const { return lostSince_.has_value(); }
  /** @return whether the links have been lost for kLinkSettleTime, or were so and have not been
   * back for that long. */
  bool AreLinksLostForLong();
  /** @return the upstream whose link should be tried next; none if no link is lost. */
  std::optional<Endpoint> NextProbe();

private:
  const Clock& clock_;
  std::map<Endpoint, TimePoint> relayed_;     ///< Lost links, with their last use.
  std::map<Endpoint, TimePoint> unreachable_; ///< When other hosts did not reach them either.
  std::set<Endpoint> lostSinceConnect_; ///< Lost since the last connection of this host's own.
  std::optional<TimePoint> lostSince_;  ///< When all links were taken for lost.
  std::optional<TimePoint> backSince_;  ///< When a link worked again after that.
  bool wasLostForLong_ = false;         ///< Last result of AreLinksLostForLong().
  Endpoint lastProbe_;
};

} // namespace laburnumweir

#endif
