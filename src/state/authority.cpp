/** @file authority.cpp Decides whether hosts with an older membership can still go on. */
#include "state/authority_func.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <vector>

namespace laburnumweir {

namespace {

/** Positions at which a removed life may stand. */
struct PositionRange
{
  LogOffset from_ = 0; ///< First position.
  LogOffset to_ = 0;   ///< Last position.
};

bool
HaveMembersFolded(const ConfigState& aState,
                  const HostProgress& aProgress,
                  const HostLife& aSelf,
                  LogOffset aOffset)
{
  return std::all_of(aState.Members().begin(), aState.Members().end(), [&](const auto& aEntry) {
    const HostLife life{ aEntry.first, aEntry.second.incarnation_ };
    // A life that joined with the record or later is a member only in states that include it.
    return life == aSelf || aEntry.second.joined_ >= aOffset ||
           aProgress.Find(life).next_ > aOffset;
  });
}

/**
 * @return the greatest position at which every host has certainly lapsed: its newest evidence from
 * the log is older than a record that this host saw longer than the outage bound ago.
 */
LogOffset
LapsedPosition(const ConfigImage& aImage,
               const HostProgress& aProgress,
               const FreshnessSettings& aSettings,
               TimePoint aNow)
{
  LogOffset lapsed = 0;
  for (const MembershipEvent& event : aImage.history_) {
    if (event.kind_ == MembershipKind::Join) {
      continue;
    }
    const auto seen = aProgress.Find({ event.host_, event.incarnation_ }).endSeen_;
    if (seen && aNow >= *seen + aSettings.Beyond(aSettings.outageBound_)) {
      lapsed = event.offset_;
    }
  }
  return lapsed;
}

/** @return where the lives may stand that were removed and may know neither this nor the record. */
std::vector<PositionRange>
RemovedRanges(const ConfigImage& aImage,
              const HostProgress& aProgress,
              LogOffset aOffset,
              LogOffset aLapsed)
{
  std::map<HostId, LogOffset> lastJoins;
  for (const MembershipEvent& event : aImage.history_) {
    if (event.kind_ == MembershipKind::Join) {
      lastJoins[event.host_] = event.offset_;
    }
  }
  std::vector<PositionRange> ranges;
  for (const MembershipEvent& event : aImage.history_) {
    if (event.kind_ != MembershipKind::Remove) {
      continue;
    }
    const auto later = lastJoins.find(event.host_);
    if (later != lastJoins.end() && later->second >= event.offset_) {
      continue;
    }
    const LogOffset heard =
      std::max(event.heardNext_, aProgress.Find({ event.host_, event.incarnation_ }).next_);
    // At positions before its join the life is no member in its own view.
    const PositionRange range{ std::max({ event.joined_ + 1, heard, aLapsed + 1 }),
                               std::min(event.offset_, aOffset) };
    if (range.from_ <= range.to_) {
      ranges.push_back(range);
    }
  }
  return ranges;
}

/** @return whether the lives are more than half of the members at any position of theirs. */
bool
MayBeMajority(const std::vector<PositionRange>& aRanges, const ConfigImage& aImage)
{
  const std::vector<MembershipEvent>& history = aImage.history_;
  // The membership at a position is the one after the last event before it.
  const auto view = [&](LogOffset aPosition) {
    const auto next = std::lower_bound(
      history.begin(),
      history.end(),
      aPosition,
      [](const MembershipEvent& aEvent, LogOffset aOther) { return aEvent.offset_ < aOther; });
    return next - history.begin();
  };
  // Number of lives by membership; index 0 is the membership before the recorded history.
  std::vector<std::ptrdiff_t> changes(history.size() + 2, 0);
  for (const PositionRange& range : aRanges) {
    ++changes[static_cast<std::size_t>(view(range.from_))];
    --changes[static_cast<std::size_t>(view(range.to_)) + 1];
  }
  std::ptrdiff_t count = changes[0];
  if (count > 0) {
    return true; // The size of that membership is not known.
  }
  for (std::size_t i = 0; i < history.size(); ++i) {
    count += changes[i + 1];
    // No host stands between the two events of a join that replaces an earlier life.
    const bool isPassing = i + 1 < history.size() && history[i + 1].offset_ == history[i].offset_;
    if (!isPassing && 2 * static_cast<std::uint64_t>(count) > history[i].size_) {
      return true;
    }
  }
  return false;
}

} // namespace

bool
IsMembershipKnown(const ConfigState& aState,
                  const HostProgress& aProgress,
                  const HostLife& aSelf,
                  const FreshnessSettings& aSettings,
                  LogOffset aOffset,
                  TimePoint aNow)
{
  if (aState.NextOffset() <= aOffset || !HaveMembersFolded(aState, aProgress, aSelf, aOffset)) {
    return false;
  }
  const ConfigImage& image = aState.Image();
  const LogOffset lapsed = LapsedPosition(image, aProgress, aSettings, aNow);
  // Removals that are forgotten matter until all hosts that do not know them have lapsed.
  if (image.history_.size() >= ConfigState::kHistoryMemory &&
      lapsed < image.history_.front().offset_) {
    return false;
  }
  return !MayBeMajority(RemovedRanges(image, aProgress, aOffset, lapsed), image);
}

} // namespace laburnumweir
