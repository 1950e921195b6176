/** @file content_index.cpp Contents of requests that crashes are blamed on, and begins of answers.
 */
#include "fleet/content_index.h"

#include "table/quarantine_const.h"

#include <algorithm>

namespace laburnumweir {

namespace {

// Nodes of the tables with their part of the hash table and of the allocator's overhead.
constexpr std::size_t kHeldBytes = 96;
constexpr std::size_t kRecentBytes = 112;

/** @return bytes that the text takes outside of the identifier. */
std::size_t
LongTextBytes(const ContentId& aContent)
{
  static const std::size_t kInnerBytes = std::string().capacity();
  const auto& text = aContent.Value();
  return text.capacity() > kInnerBytes ? text.capacity() + 1 : 0;
}

std::uint32_t&
HoldersOf(detail::HeldState& aState, ContentHolder aHolder)
{
  return aHolder == ContentHolder::Suspect ? aState.suspects_ : aState.entries_;
}

void
MakeSet(ContentSet& aContents)
{
  std::sort(aContents.begin(), aContents.end(), std::less<>());
  aContents.erase(std::unique(aContents.begin(), aContents.end()), aContents.end());
}

} // namespace

bool
Includes(const ContentSet& aAll, const ContentSet& aSome)
{
  return aSome.size() <= aAll.size() &&
         std::all_of(aSome.begin(), aSome.end(), [&](const HeldContent* aContent) {
           return std::binary_search(aAll.begin(), aAll.end(), aContent, std::less<>());
         });
}

ContentSet
ContentIndex::Hold(std::span<const ContentId> aContents, ContentHolder aHolder)
{
  ContentSet set;
  set.reserve(aContents.size());
  for (const auto& content : aContents) {
    const auto [position, isNew] = held_.try_emplace(content);
    if (isNew) {
      longTextBytes_ += LongTextBytes(position->first);
      const auto& recent = recent_.get<1>();
      if (const auto begun = recent.find(content); begun != recent.end()) {
        position->second.lastBegun_ = begun->begunAt_;
        if (recentOfHeld_.size() < kMaxReportedBegins) {
          recentOfHeld_.emplace(content, begun->begunAt_);
        }
      }
    }
    set.push_back(&*position);
  }
  MakeSet(set);
  for (const auto* content : set) {
    ++HoldersOf(held_.at(content->first), aHolder);
  }
  return set;
}

void
ContentIndex::Release(std::span<const HeldContent* const> aContents, ContentHolder aHolder)
{
  for (const auto* content : aContents) {
    const auto position = held_.find(content->first);
    auto& state = position->second;
    --HoldersOf(state, aHolder);
    if (state.suspects_ == 0 && state.entries_ == 0) {
      longTextBytes_ -= LongTextBytes(position->first);
      recentOfHeld_.erase(position->first);
      held_.erase(position);
    }
  }
}

ContentSet
ContentIndex::FindHeld(std::span<const ContentId> aContents, ContentHolder aHolder) const
{
  ContentSet set;
  for (const auto& content : aContents) {
    const auto* held = Find(content);
    if (held != nullptr &&
        (aHolder == ContentHolder::Suspect ? held->second.suspects_ : held->second.entries_) > 0) {
      set.push_back(held);
    }
  }
  MakeSet(set);
  return set;
}

const HeldContent*
ContentIndex::Find(const ContentId& aContent) const
{
  const auto position = held_.find(aContent);
  return position == held_.end() ? nullptr : &*position;
}

void
ContentIndex::OnBegun(const ContentId& aContent, TimePoint aTime)
{
  if (const auto held = held_.find(aContent); held != held_.end()) {
    auto& last = held->second.lastBegun_;
    last = std::max(last, aTime);
    if (recentOfHeld_.size() < kMaxReportedBegins || recentOfHeld_.contains(aContent)) {
      recentOfHeld_[aContent] = last;
    }
  }
  const auto [position, isNew] = recent_.push_back({ aContent, aTime });
  if (!isNew) {
    recent_.modify(position,
                   [&](Recent& aRecent) { aRecent.begunAt_ = std::max(aRecent.begunAt_, aTime); });
    recent_.relocate(recent_.end(), position);
  } else if (recent_.size() > kMaxRecentBegins) {
    recent_.pop_front();
  }
}

bool
ContentIndex::IsCleared(const ContentId& aContent, TimePoint aSince) const
{
  if (const auto* held = Find(aContent)) {
    return held->second.lastBegun_ > aSince;
  }
  const auto& recent = recent_.get<1>();
  const auto begun = recent.find(aContent);
  return begun != recent.end() && begun->begunAt_ > aSince;
}

void
ContentIndex::Expire()
{
  const auto now = clock_.Now();
  while (!recent_.empty() && now - recent_.front().begunAt_ >= kCrashReportTime) {
    recent_.pop_front();
  }
  std::erase_if(recentOfHeld_,
                [&](const auto& aItem) { return now - aItem.second >= kCrashReportTime; });
}

std::size_t
ContentIndex::Bytes() const
{
  return held_.size() * kHeldBytes + longTextBytes_ + recent_.size() * kRecentBytes;
}

} // namespace laburnumweir
