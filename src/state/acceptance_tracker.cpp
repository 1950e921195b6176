/** @file acceptance_tracker.cpp Decides when a change is in force everywhere. */
#include "state/acceptance_tracker.h"

#include <algorithm>
#include <set>

namespace laburnumweir {

std::string_view
ToString(AcceptanceStatus aStatus)
{
  switch (aStatus) {
    case AcceptanceStatus::Pending:
      return "pending";
    case AcceptanceStatus::Accepted:
      return "accepted";
    case AcceptanceStatus::Rejected:
      return "rejected";
    case AcceptanceStatus::Unknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view
ToString(HostChangeStatus aStatus)
{
  switch (aStatus) {
    case HostChangeStatus::Folded:
      return "folded";
    case HostChangeStatus::Lapsed:
      return "lapsed";
    case HostChangeStatus::Waiting:
      return "waiting";
  }
  return "unknown";
}

void
HostProgress::OnState(const ConfigState& aState, TimePoint aNow)
{
  const ConfigImage& image = aState.Image();
  if (image.membership_ == seenUntil_) {
    return;
  }
  std::set<HostLife> listed;
  for (const MembershipEvent& event : image.history_) {
    HostLife life{ event.host_, event.incarnation_ };
    Entry& entry = entries_[life];
    if (event.kind_ != MembershipKind::Join && !entry.endSeen_) {
      entry.endSeen_ = aNow;
    }
    listed.insert(std::move(life));
  }
  for (const auto& [host, member] : image.members_) {
    listed.insert(HostLife{ host, member.incarnation_ });
  }
  // Lives that are no longer recorded do not matter any more.
  std::erase_if(entries_, [&](const auto& aEntry) { return !listed.contains(aEntry.first); });
  seenUntil_ = image.membership_;
}

void
HostProgress::OnHeard(const HostLife& aLife, LogOffset aNext)
{
  LogOffset& next = entries_[aLife].next_;
  next = std::max(next, aNext);
}

HostProgress::Entry
HostProgress::Find(const HostLife& aLife) const
{
  const auto found = entries_.find(aLife);
  return found == entries_.end() ? Entry{} : found->second;
}

std::optional<std::uint64_t>
LargestMembership(const ConfigImage& aImage, LogOffset aFrom, LogOffset aTo)
{
  std::optional<std::uint64_t> before;
  std::uint64_t largest = 0;
  for (const MembershipEvent& event : aImage.history_) {
    if (event.offset_ < aFrom) {
      before = event.size_;
    } else if (event.offset_ < aTo) {
      largest = std::max(largest, event.size_);
    }
  }
  if (!before && aImage.history_.size() >= ConfigState::kHistoryMemory) {
    return std::nullopt;
  }
  return std::max(largest, before.value_or(0));
}

AcceptanceTracker::AcceptanceTracker(std::string aChangeId,
                                     HostLife aSelf,
                                     FreshnessSettings aSettings,
                                     TimePoint aLimit)
  : changeId_(std::move(aChangeId))
  , self_(std::move(aSelf))
  , settings_(aSettings)
  , limit_(aLimit)
{
}

AcceptanceResult
AcceptanceTracker::Update(const ConfigState* aState, const HostProgress& aProgress, TimePoint aNow)
{
  if (final_) {
    return *final_;
  }
  AcceptanceResult result;
  const ChangeVerdict* verdict = aState == nullptr ? nullptr : aState->FindChange(changeId_);
  if (verdict != nullptr) {
    result.revision_ = verdict->revision_;
    if (!verdict->isValid_) {
      result.status_ = AcceptanceStatus::Rejected;
      final_ = result;
      return result;
    }
    offset_ = verdict->offset_;
    if (!known_) {
      known_ = aNow;
    }
    const ConfigImage& image = aState->Image();
    const std::vector<Life> lives = ListLives(image);
    NoteAcks(lives, *aState, aProgress, aNow);
    bool isCertain = true;
    for (const Life& life : lives) {
      const auto ended = life.isMember_ ? std::nullopt : aProgress.Find(life.life_).endSeen_;
      if (ended && *known_ >= *ended + settings_.Beyond(settings_.outageBound_)) {
        continue; // Lapsed before the change; operators need not see it.
      }
      result.hosts_.push_back(Judge(life, lives, image, aProgress, aNow));
      isCertain = isCertain && result.hosts_.back().status_ != HostChangeStatus::Waiting;
    }
    // With a full history, hosts that were removed earlier may be forgotten. The oldest entry is
    // newer than their removal.
    if (image.history_.size() >= ConfigState::kHistoryMemory) {
      const MembershipEvent& oldest = image.history_.front();
      const auto seen = aProgress.Find({ oldest.host_, oldest.incarnation_ }).endSeen_;
      const TimePoint since = seen ? std::min(*seen, *known_) : *known_;
      isCertain = isCertain && aNow >= since + settings_.Beyond(settings_.outageBound_);
    }
    if (isCertain) {
      result.status_ = AcceptanceStatus::Accepted;
      final_ = result;
      return result;
    }
  }
  if (aNow >= limit_) {
    result.status_ = AcceptanceStatus::Unknown;
  }
  return result;
}

std::vector<AcceptanceTracker::Life>
AcceptanceTracker::ListLives(const ConfigImage& aImage) const
{
  std::vector<Life> lives;
  for (const auto& [host, member] : aImage.members_) {
    lives.push_back(Life{ { host, member.incarnation_ }, member.joined_, true, std::nullopt });
  }
  for (const MembershipEvent& event : aImage.history_) {
    // A host that left by itself had stopped admitting before its record was appended.
    if (event.kind_ == MembershipKind::Remove) {
      lives.push_back(
        Life{ { event.host_, event.incarnation_ }, event.joined_, false, event.offset_ });
    }
  }
  return lives;
}

void
AcceptanceTracker::NoteAcks(const std::vector<Life>& aLives,
                            const ConfigState& aState,
                            const HostProgress& aProgress,
                            TimePoint aNow)
{
  for (const Life& life : aLives) {
    const LogOffset next =
      life.life_ == self_ ? aState.NextOffset() : aProgress.Find(life.life_).next_;
    // A host admits only after it has folded its own join record.
    if (next > offset_ || life.joined_ > offset_) {
      acks_.emplace(life.life_, aNow);
    }
  }
}

HostChangeLine
AcceptanceTracker::Judge(const Life& aLife,
                         const std::vector<Life>& aLives,
                         const ConfigImage& aImage,
                         const HostProgress& aProgress,
                         TimePoint aNow) const
{
  HostChangeLine line;
  line.life_ = aLife.life_;
  if (acks_.contains(aLife.life_)) {
    line.status_ = HostChangeStatus::Folded;
    return line;
  }
  // Without the change, its newest evidence from the log is older than the change, and older than
  // its removal.
  const HostProgress::Entry entry = aProgress.Find(aLife.life_);
  TimePoint since = *known_;
  if (!aLife.isMember_ && entry.endSeen_) {
    since = std::min(since, *entry.endSeen_);
  }
  line.certainAt_ = since + settings_.Beyond(settings_.outageBound_);
  if (const auto lapse = MajorityLapse(aLife, aLives, aImage, entry.next_)) {
    line.certainAt_ = std::min(line.certainAt_, *lapse);
  }
  line.status_ = aNow >= line.certainAt_ ? HostChangeStatus::Lapsed : HostChangeStatus::Waiting;
  return line;
}

std::optional<TimePoint>
AcceptanceTracker::MajorityLapse(const Life& aLife,
                                 const std::vector<Life>& aLives,
                                 const ConfigImage& aImage,
                                 LogOffset aKnownNext) const
{
  const LogOffset from = std::max(aLife.joined_ + 1, aKnownNext);
  const auto largest = LargestMembership(aImage, from, offset_);
  if (!largest) {
    return std::nullopt;
  }
  // Lives that are members in every state that the host may hold, and that no longer agree with it.
  std::vector<TimePoint> times;
  for (const Life& life : aLives) {
    const auto ack = acks_.find(life.life_);
    const bool isMemberThroughout = life.joined_ < from && (!life.end_ || *life.end_ > offset_);
    if (ack != acks_.end() && isMemberThroughout) {
      times.push_back(ack->second);
    }
  }
  const auto needed = static_cast<std::size_t>((*largest + 1) / 2);
  if (times.size() < needed || needed == 0) {
    return std::nullopt;
  }
  std::sort(times.begin(), times.end());
  return std::max(*known_, times[needed - 1]) + settings_.Beyond(settings_.bound_);
}

} // namespace laburnumweir
