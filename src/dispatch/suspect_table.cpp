/** @file suspect_table.cpp Requests that were in flight when engines crashed. */
#include "dispatch/suspect_table.h"

#include "core/hash_func.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <tuple>

namespace laburnumweir {

RequestDigest
DigestOf(const WorkspaceId& aWorkspace, std::string_view aBody)
{
  // The length separates the two parts, so that no two requests give the same text.
  std::string text = std::to_string(aWorkspace.Value().size()) + ":" + aWorkspace.Value();
  text.append(aBody);
  const std::string hex = Sha256Hex(text);
  RequestDigest digest;
  std::from_chars(hex.data(), hex.data() + 16, digest.high_, 16);
  std::from_chars(hex.data() + 16, hex.data() + 32, digest.low_, 16);
  return digest;
}

std::size_t
SuspectTable::MarksOf(const RequestDigest& aDigest) const
{
  const auto found = suspects_.find(aDigest);
  if (found == suspects_.end()) {
    return 0;
  }
  const TimePoint now = clock_.Now();
  return static_cast<std::size_t>(
    std::count_if(found->second.marks_.begin(), found->second.marks_.end(), [&](const Mark& aMark) {
      return now < aMark.expires_;
    }));
}

bool
SuspectTable::IsRefused(const RequestDigest& aDigest) const
{
  const auto found = suspects_.find(aDigest);
  if (found == suspects_.end()) {
    return false;
  }
  const TimePoint now = clock_.Now();
  return MarksOf(aDigest) >= kMaxSuspectEngines ||
         std::any_of(found->second.marks_.begin(),
                     found->second.marks_.end(),
                     [&](const Mark& aMark) { return aMark.isCause_ && now < aMark.expires_; });
}

SuspectVerdict
SuspectTable::Test(const RequestDigest& aDigest, const UpstreamId& aEngine) const
{
  const std::size_t marks = MarksOf(aDigest);
  if (marks == 0) {
    return SuspectVerdict::Allowed;
  }
  if (IsRefused(aDigest)) {
    return SuspectVerdict::Refused;
  }
  const TimePoint now = clock_.Now();
  const Suspect& suspect = suspects_.at(aDigest);
  if (std::any_of(suspect.marks_.begin(), suspect.marks_.end(), [&](const Mark& aMark) {
        return aMark.engine_ == aEngine && now < aMark.expires_;
      })) {
    return SuspectVerdict::NotHere;
  }
  const auto running = running_.find(aEngine);
  if (running == running_.end()) {
    return SuspectVerdict::Allowed;
  }
  std::set<RequestDigest> same;
  for (const auto& [key, digest] : running->second) {
    if (digest != aDigest && MarksOf(digest) >= marks) {
      same.insert(digest);
    }
  }
  const std::size_t together = marks == 1 ? kMaxConcurrentOneMark : kMaxConcurrentTwoMarks;
  return same.size() < together ? SuspectVerdict::Allowed : SuspectVerdict::Later;
}

void
SuspectTable::Start(const PinKey& aKey, const RequestDigest& aDigest, const UpstreamId& aEngine)
{
  running_[aEngine][aKey] = aDigest;
}

void
SuspectTable::End(const PinKey& aKey, const UpstreamId& aEngine)
{
  const auto running = running_.find(aEngine);
  if (running != running_.end()) {
    running->second.erase(aKey);
    if (running->second.empty()) {
      running_.erase(running);
    }
  }
}

std::vector<SuspectMark>
SuspectTable::OnCrash(const UpstreamId& aEngine, const std::string& aEpoch)
{
  std::vector<SuspectMark> marks;
  const auto running = running_.find(aEngine);
  if (running == running_.end()) {
    return marks;
  }
  std::set<RequestDigest> digests;
  for (const auto& [key, digest] : running->second) {
    digests.insert(digest);
  }
  running_.erase(running);
  std::size_t most = 0;
  std::size_t withMost = 0;
  for (const RequestDigest& digest : digests) {
    const std::size_t count = MarksOf(digest);
    withMost = count > most ? 1 : withMost + (count == most ? 1 : 0);
    most = std::max(most, count);
  }
  const bool namesCause = digests.size() == 1 || (most > 0 && withMost == 1);
  for (const RequestDigest& digest : digests) {
    marks.push_back({ digest, aEngine, aEpoch, namesCause && MarksOf(digest) == most, {} });
  }
  Merge(marks);
  return marks;
}

void
SuspectTable::Merge(std::span<const SuspectMark> aMarks)
{
  for (const SuspectMark& mark : aMarks) {
    if (mark.age_ < kSuspectMarkTtl) {
      Add(mark);
    }
  }
}

void
SuspectTable::Add(const SuspectMark& aMark)
{
  if (!suspects_.contains(aMark.digest_)) {
    MakeRoom();
  }
  std::vector<Mark>& marks = suspects_[aMark.digest_].marks_;
  const auto known = std::find_if(marks.begin(), marks.end(), [&](const Mark& aKnown) {
    return aKnown.engine_ == aMark.engine_ && aKnown.epoch_ == aMark.epoch_;
  });
  if (known != marks.end()) {
    known->isCause_ = known->isCause_ || aMark.isCause_;
    return;
  }
  // The marks beyond the bound add nothing: the request is refused already.
  if (marks.size() < 2 * kMaxSuspectEngines) {
    marks.push_back(
      { aMark.engine_, aMark.epoch_, clock_.Now() + kSuspectMarkTtl - aMark.age_, aMark.isCause_ });
  }
}

void
SuspectTable::MakeRoom()
{
  if (suspects_.size() < kMaxSuspectEntries) {
    return;
  }
  // The least dangerous goes first: fewest marks, then the oldest.
  const auto danger = [](const Suspect& aSuspect) {
    const bool isCause = std::any_of(aSuspect.marks_.begin(),
                                     aSuspect.marks_.end(),
                                     [](const Mark& aMark) { return aMark.isCause_; });
    return std::make_tuple(isCause, aSuspect.marks_.size(), aSuspect.marks_.back().expires_);
  };
  suspects_.erase(std::min_element(
    suspects_.begin(), suspects_.end(), [&](const auto& aLeft, const auto& aRight) {
      return danger(aLeft.second) < danger(aRight.second);
    }));
}

std::vector<SuspectMark>
SuspectTable::Marks() const
{
  const TimePoint now = clock_.Now();
  std::vector<SuspectMark> marks;
  for (const auto& [digest, suspect] : suspects_) {
    for (const Mark& mark : suspect.marks_) {
      if (now < mark.expires_) {
        marks.push_back({ digest,
                          mark.engine_,
                          mark.epoch_,
                          mark.isCause_,
                          now + kSuspectMarkTtl - mark.expires_ });
      }
    }
  }
  return marks;
}

void
SuspectTable::Tick()
{
  const TimePoint now = clock_.Now();
  for (auto& [digest, suspect] : suspects_) {
    std::erase_if(suspect.marks_, [&](const Mark& aMark) { return now >= aMark.expires_; });
  }
  std::erase_if(suspects_, [](const auto& aItem) { return aItem.second.marks_.empty(); });
}

} // namespace laburnumweir
