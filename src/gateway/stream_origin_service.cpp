/** @file stream_origin_service.cpp Shares the origins of streams between hosts. */
#include "gateway/stream_origin_service.h"

#include "core/hash_func.h"
#include "logging/logging_func.h"
#include "table/stream_const.h"

#include <algorithm>
#include <utility>

namespace laburnumweir {

StreamOriginService::StreamOriginService(const StreamOriginContext& aContext, HostRecord aSelf)
  : context_(aContext)
  , self_(std::move(aSelf))
  , origins_(aContext.clock_)
  , ownOrigins_(aContext.clock_)
{
}

void
StreamOriginService::Start()
{
  RepeatWhileAlive(
    context_.scheduler_, kOriginWriteInterval, weak_from_this(), [this] { StoreOrigins(); });
  RepeatWhileAlive(context_.scheduler_, kStreamOriginTtl / 10, weak_from_this(), [this] {
    origins_.Expire();
    ownOrigins_.Expire();
  });
}

std::vector<HostRecord>
StreamOriginService::HostsOf(const RequestId& aAttempt, std::size_t aCount) const
{
  std::vector<std::pair<std::uint64_t, HostRecord>> ranked;
  ranked.emplace_back(RendezvousWeight(self_.id_.Value(), aAttempt.Value()), self_);
  for (const auto& peer : context_.peers_.LivePeers()) {
    ranked.emplace_back(RendezvousWeight(peer.host_.id_.Value(), aAttempt.Value()), peer.host_);
  }
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(aCount, ranked.size()));
  std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
  std::vector<HostRecord> hosts;
  for (auto position = ranked.begin(); position != end; ++position) {
    hosts.push_back(std::move(position->second));
  }
  return hosts;
}

void
StreamOriginService::Record(const RequestId& aAttempt, const StreamOrigin& aOrigin)
{
  origins_.Record(aAttempt, aOrigin);
  const auto* origin = origins_.Find(aAttempt);
  if (origin == nullptr) {
    return;
  }
  ownOrigins_.Record(aAttempt, *origin);
  if (storedServices_.contains(aOrigin.service_)) {
    unstored_.push_back({ aAttempt, *origin });
  }
  for (const auto& host : HostsOf(aAttempt, kStreamOriginHosts)) {
    if (host.id_ != self_.id_) {
      context_.sender_.SendOrigins(host.gossip_, { { { aAttempt, *origin } }, {}, {} });
    }
  }
}

void
StreamOriginService::StoreOrigins()
{
  for (const auto& service : context_.history_.Services()) {
    if (OnlyVersion(service)) {
      storedServices_.erase(service);
    } else if (storedServices_.insert(service).second) {
      for (const auto& record : ownOrigins_.Recent(kStreamOriginTtl)) {
        if (record.origin_.service_ == service) {
          unstored_.push_back(record);
        }
      }
    }
  }
  if (isStoring_ || unstored_.empty()) {
    return;
  }
  isStoring_ = true;
  const auto count = std::min(unstored_.size(), kMaxStoredOrigins);
  context_.store_.AppendOrigins(std::span(unstored_).first(count),
                                [weak = weak_from_this(), count](std::error_code aError) {
                                  if (const auto self = weak.lock()) {
                                    self->OnStored(count, aError);
                                  }
                                });
}

void
StreamOriginService::OnStored(std::size_t aCount, std::error_code aError)
{
  isStoring_ = false;
  if (aError) {
    LogEvent(LogLevel::Warn, "origins_not_stored", { { "error", aError.message() } });
    aCount = unstored_.size() - std::min(unstored_.size(), kMaxStreamOrigins);
  }
  unstored_.erase(unstored_.begin(), unstored_.begin() + static_cast<std::ptrdiff_t>(aCount));
}

void
StreamOriginService::Find(const RequestId& aAttempt,
                          const ServiceName& aService,
                          Callback aCallback)
{
  const auto search = std::make_shared<Search>();
  search->attempt_ = aAttempt;
  search->service_ = aService;
  search->callback_ = std::move(aCallback);
  search->startedAt_ = context_.clock_.Now();
  searches_.push_back(search);
  Check(search);
}

bool
StreamOriginService::AskHosts(Search& aSearch)
{
  if (aSearch.attempt_.IsEmpty()) {
    return true;
  }
  const auto now = context_.clock_.Now();
  const bool isDue = !aSearch.queriedAt_ || now - *aSearch.queriedAt_ >= kOriginRepeatInterval;
  std::size_t asked = 0;
  std::size_t unaware = 0;
  for (const auto& host : HostsOf(aSearch.attempt_, kStreamOriginAskedHosts)) {
    if (host.id_ == self_.id_) {
      continue;
    }
    ++asked;
    if (aSearch.unaware_.contains(host.id_)) {
      ++unaware;
    } else if (isDue) {
      context_.sender_.SendOrigins(host.gossip_, { {}, { aSearch.attempt_ }, {} });
    }
  }
  if (isDue) {
    aSearch.queriedAt_ = now;
  }
  // A host that has just started does not know its peers yet.
  return asked > 0 && unaware == asked;
}

std::optional<SoftwareVersion>
StreamOriginService::OnlyVersion(const ServiceName& aService) const
{
  const auto& routes = context_.fleet_.Routes();
  const auto period = routes ? StreamPeriod(routes->Config().routes_) : std::nullopt;
  if (!period || !context_.history_.IsComplete(aService, *period)) {
    return std::nullopt;
  }
  const auto versions = context_.history_.Versions(aService, *period);
  return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

void
StreamOriginService::Check(const std::shared_ptr<Search>& aSearch)
{
  const auto elapsed = context_.clock_.Now() - aSearch->startedAt_;
  if (const auto* origin = origins_.Find(aSearch->attempt_)) {
    End(aSearch, { *origin });
    return;
  }
  const bool areHostsUnaware = AskHosts(*aSearch);
  if (areHostsUnaware || elapsed >= kOriginQueryTime) {
    CheckStore(aSearch, areHostsUnaware);
  }
  if (aSearch->callback_ && elapsed >= kOriginSearchTime) {
    End(aSearch, { std::nullopt, false });
  }
  if (!aSearch->callback_) {
    return;
  }
  context_.scheduler_.After(kOriginCheckInterval,
                            [weak = weak_from_this(), search = std::weak_ptr(aSearch)] {
                              const auto self = weak.lock();
                              const auto running = search.lock();
                              if (self && running && running->callback_) {
                                self->Check(running);
                              }
                            });
}

void
StreamOriginService::CheckStore(const std::shared_ptr<Search>& aSearch, bool aIsConclusive)
{
  if (const auto version = OnlyVersion(aSearch->service_)) {
    // Another version may serve since the entries were read, and other hosts may use it.
    if (context_.clock_.Now() - context_.watch_.Position().upstreamAge_ < aSearch->startedAt_) {
      context_.watch_.ReadUpstreamsSoon();
    } else {
      End(aSearch, { StreamOrigin{ aSearch->service_, *version } });
    }
  } else if (aSearch->attempt_.IsEmpty()) {
    End(aSearch, { std::nullopt });
  } else if (!storedReadAt_ || *storedReadAt_ < aSearch->startedAt_) {
    ReadStored();
  } else {
    End(aSearch, { std::nullopt, aIsConclusive });
  }
}

void
StreamOriginService::ReadStored()
{
  if (isReadingStore_) {
    return;
  }
  isReadingStore_ = true;
  context_.store_.ReadOrigins(storedNext_,
                              [weak = weak_from_this(), sentAt = context_.clock_.Now()](
                                std::error_code aError, const StreamOriginBatch& aBatch) {
                                if (const auto self = weak.lock()) {
                                  self->OnStoredRead(sentAt, aError, aBatch);
                                }
                              });
}

void
StreamOriginService::OnStoredRead(TimePoint aSentAt,
                                  std::error_code aError,
                                  const StreamOriginBatch& aBatch)
{
  isReadingStore_ = false;
  if (aError) {
    // The next check of a search reads again, after a loss of history from the start.
    storedNext_.reset();
    LogEvent(LogLevel::Warn, "origins_not_read", { { "error", aError.message() } });
    return;
  }
  for (const auto& [attempt, origin] : aBatch.records_) {
    origins_.Record(attempt, origin);
  }
  storedNext_ = aBatch.next_;
  if (aBatch.isComplete_) {
    storedReadAt_ = aSentAt;
  } else {
    ReadStored();
  }
}

void
StreamOriginService::End(const std::shared_ptr<Search>& aSearch, const OriginResult& aResult)
{
  LogEvent(LogLevel::Info,
           "stream_origin",
           { { "attempt", aSearch->attempt_.Value() },
             { "software", aResult.origin_ ? aResult.origin_->software_.Value() : "" },
             { "known",
               !aResult.origin_                ? "no"
               : aResult.origin_->isAmbiguous_ ? "ambiguous"
                                               : "yes" },
             { "conclusive", aResult.isConclusive_ ? "true" : "false" },
             { "unaware", std::to_string(aSearch->unaware_.size()) },
             { "took_ms",
               std::to_string((context_.clock_.Now() - aSearch->startedAt_) /
                              std::chrono::milliseconds(1)) } });
  searches_.remove(aSearch);
  std::exchange(aSearch->callback_, nullptr)(aResult);
}

void
StreamOriginService::OnMessage(const HostRecord& aFrom, const StreamOriginMessage& aMessage)
{
  for (const auto& [attempt, origin] : aMessage.records_) {
    origins_.Record(attempt, origin);
  }
  StreamOriginMessage answer;
  for (const auto& attempt : aMessage.queries_) {
    if (const auto* origin = origins_.Find(attempt)) {
      answer.records_.push_back({ attempt, *origin });
    } else {
      answer.unknown_.push_back(attempt);
    }
  }
  if (!aMessage.queries_.empty()) {
    context_.sender_.SendOrigins(aFrom.gossip_, answer);
  }
  const std::vector<std::shared_ptr<Search>> searches(searches_.begin(), searches_.end());
  for (const auto& search : searches) {
    for (const auto& attempt : aMessage.unknown_) {
      if (attempt == search->attempt_) {
        search->unaware_.insert(aFrom.id_);
      }
    }
    const auto* origin = origins_.Find(search->attempt_);
    if (origin != nullptr && search->callback_) {
      End(search, { *origin });
    }
  }
}

} // namespace laburnumweir
