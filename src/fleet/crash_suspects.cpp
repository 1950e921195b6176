/** @file crash_suspects.cpp Requests that were at the crashes of upstreams, and what they share. */
#include "fleet/crash_suspects.h"

#include "table/quarantine_const.h"

#include <algorithm>
#include <bitset>
#include <iterator>
#include <set>
#include <unordered_map>

namespace laburnumweir {

namespace {

// Links of a list node and the allocator's overhead.
constexpr std::size_t kNodeBytes = 48;

/** Suspects, by their places in the list. */
using SuspectSet = std::bitset<kMaxCrashSuspects>;

bool
IsWithin(const SuspectSet& aSome, const SuspectSet& aAll)
{
  return (aSome & ~aAll).none();
}

/** Counts the crashes that are unlikely to have a common cause other than a request. */
class CrashCounter
{
public:
  /** Crashes must be added in the order of their times. */
  void Add(const HeldSuspect& aSuspect)
  {
    last_ = aSuspect.at_;
    requests_.insert(aSuspect.request_);
    if ((processes_.empty() || last_ - lastCounted_ >= kMinCrashGap) &&
        processes_.insert(aSuspect.process_).second) {
      lastCounted_ = last_;
    }
  }
  /** @return number of crashes that count. */
  std::size_t Crashes() const { return processes_.size(); }
  /** @return number of different requests. */
  std::size_t Requests() const { return requests_.size(); }
  /** @return time of the last crash, also of one that was not counted. */
  TimePoint Last() const { return last_; }

private:
  std::set<UpstreamProcess> processes_;
  std::set<const HeldContent*> requests_;
  TimePoint lastCounted_;
  TimePoint last_;
};

bool
IsCleared(const HeldContent& aContent, const HeldSuspect& aSuspect)
{
  return aContent.second.lastBegun_ > aSuspect.at_;
}

/** @return the parts and the digest of the request. */
ContentSet
AllOf(const HeldSuspect& aSuspect)
{
  auto all = aSuspect.parts_;
  all.insert(std::upper_bound(all.begin(), all.end(), aSuspect.request_, std::less<>()),
             aSuspect.request_);
  return all;
}

CrashCounter
CountCrashes(const std::list<HeldSuspect>& aSuspects, const SuspectSet& aSet)
{
  CrashCounter counter;
  std::size_t place = 0;
  for (const auto& suspect : aSuspects) {
    if (aSet.test(place++)) {
      counter.Add(suspect);
    }
  }
  return counter;
}

} // namespace

CrashSuspects::~CrashSuspects()
{
  while (!suspects_.empty()) {
    Remove(suspects_.begin());
  }
}

CrashSuspects::Position
CrashSuspects::Find(const UpstreamProcess& aProcess, const ContentId& aRequest) const
{
  return std::find_if(suspects_.begin(), suspects_.end(), [&](const HeldSuspect& aSuspect) {
    return aSuspect.process_ == aProcess && aSuspect.request_->first == aRequest;
  });
}

bool
CrashSuspects::Add(const UpstreamProcess& aProcess, const RequestContents& aContents, TimePoint aAt)
{
  if (const auto known = Find(aProcess, aContents.request_); known != suspects_.end()) {
    return AddParts(suspects_.erase(known, known), aContents.parts_);
  }
  const auto isOfProcess = [&](const HeldSuspect& aOther) { return aOther.process_ == aProcess; };
  const auto ofProcess = std::count_if(suspects_.begin(), suspects_.end(), isOfProcess);
  const bool hasParts = !aContents.parts_.empty();
  if (static_cast<std::size_t>(ofProcess) >= kMaxSuspectsPerUpstream &&
      !MakeRoom(isOfProcess, hasParts)) {
    return false;
  }
  const auto isAny = [](const HeldSuspect&) { return true; };
  if (suspects_.size() >= kMaxCrashSuspects && !MakeRoom(isAny, hasParts)) {
    return false;
  }
  auto place = suspects_.end();
  while (place != suspects_.begin() && std::prev(place)->at_ > aAt) {
    --place;
  }
  const auto added = suspects_.insert(
    place,
    { aProcess,
      index_.Hold(std::span(&aContents.request_, 1), ContentHolder::Suspect).front(),
      index_.Hold(aContents.parts_, ContentHolder::Suspect),
      aAt });
  parts_ += added->parts_.size();
  LimitParts(added);
  return true;
}

bool
CrashSuspects::AddParts(Mutable aSuspect, std::span<const ContentId> aParts)
{
  auto parts = index_.Hold(aParts, ContentHolder::Suspect);
  if (Includes(aSuspect->parts_, parts)) {
    index_.Release(parts, ContentHolder::Suspect);
    return false;
  }
  ContentSet known;
  std::set_intersection(parts.begin(),
                        parts.end(),
                        aSuspect->parts_.begin(),
                        aSuspect->parts_.end(),
                        std::back_inserter(known),
                        std::less<>());
  index_.Release(known, ContentHolder::Suspect);
  ContentSet all;
  std::set_union(parts.begin(),
                 parts.end(),
                 aSuspect->parts_.begin(),
                 aSuspect->parts_.end(),
                 std::back_inserter(all),
                 std::less<>());
  parts_ += all.size() - aSuspect->parts_.size();
  aSuspect->parts_ = std::move(all);
  LimitParts(aSuspect);
  return true;
}

bool
CrashSuspects::MakeRoom(const std::function<bool(const HeldSuspect&)>& aIsCandidate, bool aForParts)
{
  const auto isWithoutParts = [&](const HeldSuspect& aOther) {
    return aIsCandidate(aOther) && aOther.parts_.empty();
  };
  auto dropped = std::find_if(suspects_.begin(), suspects_.end(), isWithoutParts);
  if (dropped == suspects_.end() && aForParts) {
    dropped = std::find_if(suspects_.begin(), suspects_.end(), aIsCandidate);
  }
  if (dropped == suspects_.end()) {
    return false;
  }
  Remove(dropped);
  return true;
}

void
CrashSuspects::LimitParts(Position aKept)
{
  // The others have fewer parts than their share, so that a few long prompts do not replace them.
  constexpr std::size_t kShare = kMaxSuspectParts / kMaxCrashSuspects;
  while (parts_ > kMaxSuspectParts) {
    auto dropped = suspects_.cbegin();
    while (dropped != suspects_.cend() && (dropped == aKept || dropped->parts_.size() <= kShare)) {
      ++dropped;
    }
    if (dropped == suspects_.cend()) {
      return;
    }
    Remove(dropped);
  }
}

void
CrashSuspects::Remove(Position aSuspect)
{
  parts_ -= aSuspect->parts_.size();
  index_.Release(std::span(&aSuspect->request_, 1), ContentHolder::Suspect);
  index_.Release(aSuspect->parts_, ContentHolder::Suspect);
  suspects_.erase(aSuspect);
}

std::size_t
CrashSuspects::RemoveIf(const std::function<bool(const HeldSuspect&)>& aCondition)
{
  std::size_t removed = 0;
  for (auto suspect = suspects_.cbegin(); suspect != suspects_.cend();) {
    const auto next = std::next(suspect);
    if (aCondition(*suspect)) {
      Remove(suspect);
      ++removed;
    }
    suspect = next;
  }
  return removed;
}

std::optional<CrashCause>
CrashSuspects::FindParts(const HeldSuspect& aSuspect, const IsQuarantined& aIsQuarantined) const
{
  if (aSuspect.parts_.empty() || aIsQuarantined(aSuspect.parts_)) {
    return std::nullopt;
  }
  // The suspects that hold each part without its being cleared of their crash.
  std::vector<SuspectSet> holders(aSuspect.parts_.size());
  std::size_t place = 0;
  for (const auto& other : suspects_) {
    if (!other.parts_.empty() && !aIsQuarantined(other.parts_)) {
      auto part = other.parts_.begin();
      for (std::size_t i = 0; i < holders.size(); ++i) {
        while (part != other.parts_.end() && std::less<>()(*part, aSuspect.parts_[i])) {
          ++part;
        }
        if (part != other.parts_.end() && *part == aSuspect.parts_[i] &&
            !IsCleared(**part, other)) {
          holders[i].set(place);
        }
      }
    }
    ++place;
  }
  // Most parts of a prompt have the same holders.
  std::unordered_map<SuspectSet, CrashCounter> byHolders;
  const SuspectSet* worst = nullptr;
  const CrashCounter* crashes = nullptr;
  for (const auto& set : holders) {
    if (set.count() < kMinCrashes || byHolders.contains(set)) {
      continue;
    }
    const auto& [places, counter] = *byHolders.emplace(set, CountCrashes(suspects_, set)).first;
    if (counter.Crashes() >= kMinCrashes && counter.Requests() >= kMinCrashingRequests &&
        (worst == nullptr || counter.Crashes() > crashes->Crashes())) {
      worst = &places;
      crashes = &counter;
    }
  }
  if (worst == nullptr) {
    return std::nullopt;
  }
  CrashCause cause{ {}, crashes->Last(), crashes->Crashes() };
  for (std::size_t i = 0; i < holders.size(); ++i) {
    if (IsWithin(*worst, holders[i])) {
      cause.contents_.push_back(aSuspect.parts_[i]);
    }
  }
  return cause;
}

std::optional<CrashCause>
CrashSuspects::FindRequest(const HeldSuspect& aSuspect, const IsQuarantined& aIsQuarantined) const
{
  CrashCounter counter;
  for (const auto& other : suspects_) {
    if (other.request_ == aSuspect.request_ && !IsCleared(*other.request_, other) &&
        !aIsQuarantined(AllOf(other))) {
      counter.Add(other);
    }
  }
  if (counter.Crashes() < kMinCrashes) {
    return std::nullopt;
  }
  return CrashCause{ { aSuspect.request_ }, counter.Last(), counter.Crashes() };
}

std::size_t
CrashSuspects::Bytes() const
{
  return suspects_.size() * (sizeof(HeldSuspect) + kNodeBytes) +
         parts_ * sizeof(const HeldContent*);
}

} // namespace laburnumweir
