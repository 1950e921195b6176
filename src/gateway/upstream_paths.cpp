/** @file upstream_paths.cpp What this host knows of its own links to the upstreams. */
#include "gateway/upstream_paths.h"

#include "logging/logging_func.h"
#include "table/relay_const.h"

namespace laburnumweir {

namespace {

std::string
AddressText(const Endpoint& aEndpoint)
{
  return aEndpoint.address_ + ":" + std::to_string(aEndpoint.port_);
}

} // namespace

void
UpstreamPaths::OnConnected(const Endpoint& aEndpoint)
{
  lostSinceConnect_.clear();
  unreachable_.erase(aEndpoint);
  if (relayed_.erase(aEndpoint) > 0) {
    LogEvent(LogLevel::Info, "upstream_link_regained", { { "address", AddressText(aEndpoint) } });
  }
  if (lostSince_) {
    const auto lostFor = clock_.Now() - *lostSince_;
    LogEvent(LogLevel::Warn,
             "links_regained",
             { { "lost_ms", std::to_string(lostFor / std::chrono::milliseconds(1)) },
               { "links_lost", std::to_string(relayed_.size()) } });
    lostSince_.reset();
    backSince_ = clock_.Now();
  }
}

void
UpstreamPaths::OnRelayed(const Endpoint& aEndpoint)
{
  const auto now = clock_.Now();
  unreachable_.erase(aEndpoint);
  if (relayed_.insert_or_assign(aEndpoint, now).second) {
    LogEvent(LogLevel::Warn, "upstream_link_lost", { { "address", AddressText(aEndpoint) } });
  }
  lostSinceConnect_.insert(aEndpoint);
  if (!lostSince_ && lostSinceConnect_.size() >= kMinLostUpstreams) {
    lostSince_ = now;
    LogEvent(LogLevel::Warn, "links_lost", { { "links_lost", std::to_string(relayed_.size()) } });
  }
}

void
UpstreamPaths::OnUnreachable(const Endpoint& aEndpoint)
{
  const auto now = clock_.Now();
  std::erase_if(unreachable_,
                [now](const auto& aEntry) { return now - aEntry.second > kUnreachableTtl; });
  unreachable_[aEndpoint] = now;
}

bool
UpstreamPaths::IsLinkLost(const Endpoint& aEndpoint) const
{
  const auto found = unreachable_.find(aEndpoint);
  const bool isUnreachable =
    found != unreachable_.end() && clock_.Now() - found->second <= kUnreachableTtl;
  return IsRelayed(aEndpoint) && !isUnreachable;
}

bool
UpstreamPaths::AreLinksLostForLong()
{
  const auto& since = lostSince_ ? lostSince_ : backSince_;
  if (since && clock_.Now() - *since >= kLinkSettleTime) {
    wasLostForLong_ = lostSince_.has_value();
  }
  return wasLostForLong_;
}

std::optional<Endpoint>
UpstreamPaths::NextProbe()
{
  const auto now = clock_.Now();
  if (!lostSince_) {
    std::erase_if(relayed_,
                  [now](const auto& aLink) { return now - aLink.second > kRelayedUpstreamTtl; });
  }
  if (relayed_.empty()) {
    return std::nullopt;
  }
  auto next = relayed_.upper_bound(lastProbe_);
  if (next == relayed_.end()) {
    next = relayed_.begin();
  }
  lastProbe_ = next->first;
  return lastProbe_;
}

} // namespace laburnumweir
