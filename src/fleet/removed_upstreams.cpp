/** @file removed_upstreams.cpp What is known of upstreams without an entry. */
#include "fleet/removed_upstreams.h"

#include "table/fleet_const.h"

namespace laburnumweir {

RemovedUpstream
RemovedUpstreams::StateOf(const Upstream& aUpstream, TimePoint aNow)
{
  const auto& entry = aUpstream.entry_;
  return { entry.startedAt_, aNow, entry.endpoint_, aUpstream.running_, aUpstream };
}

void
RemovedUpstreams::Keep(const Upstream& aUpstream, TimePoint aNow)
{
  std::erase_if(states_, [aNow](const auto& aKept) {
    return aNow - aKept.second.changedAt_ > kUpstreamNoticeTtl;
  });
  states_[aUpstream.entry_.id_] = StateOf(aUpstream, aNow);
}

RemovedUpstream
RemovedUpstreams::Take(const UpstreamId& aId, TimePoint aNow)
{
  const auto kept = states_.extract(aId);
  return kept && aNow - kept.mapped().changedAt_ <= kUpstreamNoticeTtl ? kept.mapped()
                                                                       : RemovedUpstream{};
}

void
RemovedUpstreams::OnAttemptEnded(const UpstreamId& aId)
{
  if (const auto kept = states_.find(aId); kept != states_.end()) {
    kept->second.running_ -= kept->second.running_ > 0 ? 1 : 0;
  }
}

UpstreamNotice*
RemovedUpstreams::NoticeOf(const UpstreamId& aId, std::int64_t aStartedAt)
{
  const auto kept = states_.find(aId);
  return kept != states_.end() && kept->second.startedAt_ == aStartedAt ? &kept->second.notice_
                                                                        : nullptr;
}

} // namespace laburnumweir
