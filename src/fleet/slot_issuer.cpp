/** @file slot_issuer.cpp Assigns the slots of a service to the requests of all hosts. */
#include "fleet/slot_issuer.h"

#include "table/slot_const.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace laburnumweir {

void
SlotIssuer::SetUpstreams(const ServiceName& aService, std::span<const SlotUpstream> aUpstreams)
{
  auto& known = services_[aService].upstreams_;
  for (auto& [id, use] : known) {
    use.slots_ = 0;
  }
  for (const auto& upstream : aUpstreams) {
    known[upstream.id_].slots_ = upstream.slots_;
  }
  std::erase_if(
    known, [](const auto& aItem) { return aItem.second.slots_ == 0 && aItem.second.used_ == 0; });
}

void
SlotIssuer::Free(Service& aService, SlotGrantId aId)
{
  const auto found = aService.grants_.find(aId);
  if (found == aService.grants_.end()) {
    return;
  }
  auto& use = aService.upstreams_[found->second.upstream_];
  use.used_ -= use.used_ > 0 ? 1 : 0;
  aService.grants_.erase(found);
}

bool
SlotIssuer::OnDemand(const HostId& aHost,
                     std::int64_t aStartedAt,
                     std::uint64_t aNumber,
                     const SlotDemand& aDemand)
{
  auto& service = services_[aDemand.service_];
  auto& host = service.hosts_[aHost];
  if (std::pair(aStartedAt, aNumber) <= std::pair(host.startedAt_, host.number_)) {
    return false;
  }
  const auto now = clock_.Now();
  const bool isNewProcess = aStartedAt != host.startedAt_;
  host.startedAt_ = aStartedAt;
  host.number_ = aNumber;
  host.heardAt_ = now;
  for (const auto& returned : aDemand.returned_) {
    const auto found = service.grants_.find(returned.id_);
    if (found == service.grants_.end() || found->second.host_ != aHost) {
      continue;
    }
    auto& use = service.upstreams_[found->second.upstream_];
    const double failure = returned.outcome_ == SlotOutcome::Failed ? 1.0 : 0.0;
    use.failures_ += kSlotFailureWeight * (failure - use.failures_);
    if (returned.outcome_ == SlotOutcome::Refused) {
      use.unknownUntil_.push_back(now + kRefusedSlotTime);
    }
    Free(service, returned.id_);
  }
  for (const auto& held : aDemand.held_) {
    // A slot of an earlier issuer, or one that was taken for lost.
    if (service.grants_.try_emplace(held.id_, Grant{ aHost, held.upstream_, now }).second) {
      ++service.upstreams_[held.upstream_].used_;
    }
  }
  // A grant that the host does not name is lost or was returned, unless it may be on its way.
  std::size_t onTheirWay = 0;
  std::vector<SlotGrantId> lost;
  for (const auto& [id, grant] : service.grants_) {
    const bool isHeld = std::any_of(aDemand.held_.begin(),
                                    aDemand.held_.end(),
                                    [id = id](const SlotGrant& aHeld) { return aHeld.id_ == id; });
    if (grant.host_ != aHost || isHeld) {
      continue;
    }
    if (now - grant.grantedAt_ < kSlotDeliveryTime && !isNewProcess) {
      ++onTheirWay;
    } else {
      lost.push_back(id);
    }
  }
  for (const auto id : lost) {
    Free(service, id);
  }
  host.wishes_.clear();
  const auto count = std::min(aDemand.wishes_.size(), kMaxSlotWishes);
  for (std::size_t i = onTheirWay; i < count; ++i) {
    const auto& wish = aDemand.wishes_[i];
    host.wishes_.push_back({ wish.rank_, now + wish.toTarget_, now + wish.toLatest_ });
  }
  return true;
}

std::vector<SlotIssuer::Place>
SlotIssuer::Order(const Service& aService) const
{
  std::vector<Place> places;
  for (const auto& [id, host] : aService.hosts_) {
    for (std::size_t i = 0; i < host.wishes_.size(); ++i) {
      places.push_back({ &id, i, host.wishes_[i] });
    }
  }
  const auto inTimeUntil = clock_.Now() + kSlotAnswerTime;
  const auto key = [inTimeUntil](const Place& aPlace) {
    const bool isLate = aPlace.wish_.target_ < inTimeUntil;
    return std::tuple(
      aPlace.wish_.rank_, isLate, isLate ? aPlace.wish_.latest_ : aPlace.wish_.target_);
  };
  std::stable_sort(places.begin(), places.end(), [&key](const Place& aLeft, const Place& aRight) {
    return key(aLeft) < key(aRight);
  });
  return places;
}

SlotIssuer::Use*
SlotIssuer::FindFree(Service& aService, UpstreamId& aId) const
{
  Use* best = nullptr;
  double minCost = std::numeric_limits<double>::max();
  const auto now = clock_.Now();
  for (auto& [id, use] : aService.upstreams_) {
    std::erase_if(use.unknownUntil_, [now](TimePoint aUntil) { return aUntil <= now; });
    const auto used = use.used_ + use.unknownUntil_.size();
    if (use.slots_ == 0 || used >= use.slots_ + kQueuedPerUpstream) {
      continue;
    }
    const double cost =
      static_cast<double>(used) / use.slots_ + kSlotFailurePenalty * use.failures_;
    if (cost < minCost) {
      minCost = cost;
      best = &use;
      aId = id;
    }
  }
  return best;
}

std::map<HostId, SlotOffer>
SlotIssuer::Assign(const ServiceName& aService)
{
  std::map<HostId, SlotOffer> offers;
  auto& service = services_[aService];
  const auto now = clock_.Now();
  const auto places = Order(service);
  std::map<HostId, std::vector<std::size_t>> served;
  UpstreamId upstream;
  for (const auto& place : places) {
    auto* use = FindFree(service, upstream);
    if (use == nullptr) {
      break;
    }
    ++use->used_;
    service.grants_[nextId_] = { *place.host_, upstream, now };
    offers[*place.host_].grants_.push_back({ nextId_++, upstream });
    served[*place.host_].push_back(place.index_);
  }
  for (auto& [host, indexes] : served) {
    auto& wishes = service.hosts_[host].wishes_;
    std::sort(indexes.rbegin(), indexes.rend());
    for (const auto index : indexes) {
      wishes.erase(wishes.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }
  for (auto& [host, offer] : offers) {
    offer.service_ = aService;
  }
  return offers;
}

std::vector<ServiceName>
SlotIssuer::Expire()
{
  const auto oldest = clock_.Now() - kSlotHostTtl;
  std::vector<ServiceName> result;
  for (auto& [name, service] : services_) {
    std::vector<SlotGrantId> expired;
    for (const auto& [id, grant] : service.grants_) {
      const auto host = service.hosts_.find(grant.host_);
      if (host == service.hosts_.end() || host->second.heardAt_ < oldest) {
        expired.push_back(id);
      }
    }
    for (const auto id : expired) {
      Free(service, id);
    }
    std::erase_if(service.hosts_,
                  [oldest](const auto& aHost) { return aHost.second.heardAt_ < oldest; });
    if (!service.hosts_.empty() || !service.grants_.empty()) {
      result.push_back(name);
    }
  }
  std::erase_if(services_, [](const auto& aItem) {
    return aItem.second.hosts_.empty() && aItem.second.grants_.empty();
  });
  return result;
}

} // namespace laburnumweir
