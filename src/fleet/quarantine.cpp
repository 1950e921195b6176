/** @file quarantine.cpp Requests that crash the upstreams that run them, and their refusal. */
#include "fleet/quarantine.h"

#include "logging/logging_func.h"
#include "table/quarantine_const.h"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <boost/range/adaptor/transformed.hpp>
#include <iterator>
#include <set>
#include <span>

namespace laburnumweir {

namespace {

using Contents = std::vector<ContentId>;
using std::chrono::milliseconds;

Contents
Sorted(std::span<const ContentId> aContents)
{
  Contents result(aContents.begin(), aContents.end());
  std::sort(result.begin(), result.end());
  result.erase(std::unique(result.begin(), result.end()), result.end());
  return result;
}

/** @return the parts and the digest of the request, sorted. */
Contents
AllOf(const RequestContents& aContents)
{
  auto all = aContents.parts_;
  all.push_back(aContents.request_);
  return Sorted(all);
}

bool
Includes(const Contents& aAll, const Contents& aSome)
{
  return std::includes(aAll.begin(), aAll.end(), aSome.begin(), aSome.end());
}

milliseconds
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration);
}

std::string
ToText(const Contents& aContents)
{
  return boost::algorithm::join(
    aContents |
      boost::adaptors::transformed([](const ContentId& aContent) { return aContent.Value(); }),
    ",");
}

void
LogQuarantine(const char* aEvent, const Contents& aContents)
{
  LogEvent(LogLevel::Warn, aEvent, { { "contents", ToText(aContents) } });
}

/** Counts the crashes that are unlikely to have a common cause other than a request. */
class CrashCounter
{
public:
  /** Crashes must be added in the order of their times. */
  void Add(const UpstreamProcess& aProcess, TimePoint aTime)
  {
    last_ = aTime;
    if ((processes_.empty() || aTime - lastCounted_ >= kMinCrashGap) &&
        processes_.insert(aProcess).second) {
      lastCounted_ = aTime;
    }
  }
  std::size_t Count() const { return processes_.size(); }
  /** @return time of the last crash, also of one that was not counted. */
  TimePoint Last() const { return last_; }

private:
  std::set<UpstreamProcess> processes_;
  TimePoint lastCounted_;
  TimePoint last_;
};

} // namespace

bool
Quarantine::IsCleared(const ContentId& aContent, TimePoint aSince) const
{
  const auto found = lastBegun_.find(aContent);
  return found != lastBegun_.end() && found->second > aSince;
}

std::vector<ContentId>
Quarantine::UnclearedParts(const Suspect& aSuspect) const
{
  Contents result;
  std::copy_if(aSuspect.contents_.parts_.begin(),
               aSuspect.contents_.parts_.end(),
               std::back_inserter(result),
               [&](const ContentId& aPart) { return !IsCleared(aPart, aSuspect.at_); });
  return result;
}

bool
Quarantine::IsQuarantined(const Contents& aContents) const
{
  return std::any_of(entries_.begin(), entries_.end(), [&](const Entry& aEntry) {
    return Includes(aContents, aEntry.contents_);
  });
}

bool
Quarantine::IsOfInterest(const ContentId& aContent) const
{
  const auto holds = [&](const Contents& aContents) {
    return std::binary_search(aContents.begin(), aContents.end(), aContent);
  };
  return std::any_of(suspects_.begin(),
                     suspects_.end(),
                     [&](const Suspect& aSuspect) {
                       return aSuspect.contents_.request_ == aContent ||
                              holds(aSuspect.contents_.parts_);
                     }) ||
         std::any_of(entries_.begin(), entries_.end(), [&](const Entry& aEntry) {
           return holds(aEntry.contents_);
         });
}

void
Quarantine::OnCut(const UpstreamProcess& aProcess, const RequestContents& aContents)
{
  if (AddSuspect({ aProcess, { Sorted(aContents.parts_), aContents.request_ }, clock_.Now() })) {
    FindCauses();
  }
}

bool
Quarantine::AddSuspect(Suspect aSuspect)
{
  const auto survived = survived_.find(aSuspect.process_);
  if (survived != survived_.end() && aSuspect.at_ < survived->second &&
      survived->second - aSuspect.at_ < kMinRestartTime) {
    return false;
  }
  const bool isKnown = std::any_of(suspects_.begin(), suspects_.end(), [&](const Suspect& aOther) {
    return aOther.process_ == aSuspect.process_ &&
           aOther.contents_.request_ == aSuspect.contents_.request_;
  });
  if (isKnown) {
    return false;
  }
  const auto isOfProcess = [&](const Suspect& aOther) {
    return aOther.process_ == aSuspect.process_;
  };
  const auto ofProcess = std::count_if(suspects_.begin(), suspects_.end(), isOfProcess);
  const bool hasParts = !aSuspect.contents_.parts_.empty();
  if (static_cast<std::size_t>(ofProcess) >= kMaxSuspectsPerUpstream &&
      !MakeRoom(isOfProcess, hasParts)) {
    return false;
  }
  const auto isAny = [](const Suspect&) { return true; };
  if (suspects_.size() >= kMaxCrashSuspects && !MakeRoom(isAny, hasParts)) {
    return false;
  }
  const auto position = std::upper_bound(
    suspects_.begin(), suspects_.end(), aSuspect.at_, [](TimePoint aTime, const Suspect& aOther) {
      return aTime < aOther.at_;
    });
  suspects_.insert(position, std::move(aSuspect));
  return true;
}

bool
Quarantine::MakeRoom(const std::function<bool(const Suspect&)>& aIsCandidate, bool aForParts)
{
  const auto isWithoutParts = [&](const Suspect& aOther) {
    return aIsCandidate(aOther) && aOther.contents_.parts_.empty();
  };
  auto dropped = std::find_if(suspects_.begin(), suspects_.end(), isWithoutParts);
  if (dropped == suspects_.end() && aForParts) {
    dropped = std::find_if(suspects_.begin(), suspects_.end(), aIsCandidate);
  }
  if (dropped == suspects_.end()) {
    return false;
  }
  suspects_.erase(dropped);
  return true;
}

void
Quarantine::OnBegun(const UpstreamProcess& aProcess,
                    TimePoint aSentAt,
                    const RequestContents& aContents)
{
  const auto now = clock_.Now();
  for (const auto& part : aContents.parts_) {
    lastBegun_[part] = now;
  }
  lastBegun_[aContents.request_] = now;
  const auto hasSurvived = [&](const Suspect& aSuspect) {
    return aSuspect.process_ == aProcess && aSuspect.at_ < aSentAt &&
           aSentAt - aSuspect.at_ < kMinRestartTime;
  };
  if (std::erase_if(suspects_, hasSurvived) > 0) {
    survived_[aProcess] = aSentAt;
  }
  NarrowEntries();
}

void
Quarantine::FindCauses()
{
  while (FindParts() || FindRequest()) {
    NarrowEntries();
  }
}

bool
Quarantine::FindRequest()
{
  std::map<ContentId, CrashCounter> crashes;
  for (const auto& suspect : suspects_) {
    const auto& request = suspect.contents_.request_;
    if (!IsCleared(request, suspect.at_) && !IsQuarantined(AllOf(suspect.contents_))) {
      crashes[request].Add(suspect.process_, suspect.at_);
    }
  }
  const auto found = std::find_if(crashes.begin(), crashes.end(), [](const auto& aItem) {
    return aItem.second.Count() >= kMinCrashes;
  });
  if (found == crashes.end()) {
    return false;
  }
  StartQuarantine({ found->first }, found->second.Last(), found->second.Count());
  return true;
}

bool
Quarantine::FindParts()
{
  struct Evidence
  {
    CrashCounter crashes_;
    std::set<ContentId> requests_;
    Contents common_; ///< Uncleared parts that all these requests have in common.
  };
  std::map<ContentId, Evidence> byPart;
  for (const auto& suspect : suspects_) {
    if (IsQuarantined(suspect.contents_.parts_)) {
      continue;
    }
    const auto parts = UnclearedParts(suspect);
    for (const auto& part : parts) {
      auto& evidence = byPart[part];
      evidence.crashes_.Add(suspect.process_, suspect.at_);
      const auto before = evidence.requests_.empty() ? parts : std::exchange(evidence.common_, {});
      evidence.common_.clear();
      std::set_intersection(parts.begin(),
                            parts.end(),
                            before.begin(),
                            before.end(),
                            std::back_inserter(evidence.common_));
      evidence.requests_.insert(suspect.contents_.request_);
    }
  }
  const Evidence* worst = nullptr;
  for (const auto& [part, evidence] : byPart) {
    if (evidence.crashes_.Count() >= kMinCrashes &&
        evidence.requests_.size() >= kMinCrashingRequests &&
        (worst == nullptr || evidence.crashes_.Count() > worst->crashes_.Count())) {
      worst = &evidence;
    }
  }
  if (worst == nullptr) {
    return false;
  }
  StartQuarantine(worst->common_, worst->crashes_.Last(), worst->crashes_.Count());
  return true;
}

void
Quarantine::StartQuarantine(Contents aContents, TimePoint aLastCrash, std::size_t aCrashes)
{
  LogEvent(LogLevel::Warn,
           "quarantine_started",
           { { "contents", ToText(aContents) }, { "crashes", std::to_string(aCrashes) } });
  const auto until = clock_.Now() + kQuarantineTime;
  changes_.push_back({ {}, aContents, until });
  AddEntry({ std::move(aContents), aLastCrash, until });
}

void
Quarantine::AddEntry(Entry aEntry)
{
  // The end of a known entry stays: what other hosts report of it is late by the time of a message.
  if (IsQuarantined(aEntry.contents_)) {
    return;
  }
  if (entries_.size() >= kMaxQuarantines) {
    entries_.erase(entries_.begin());
  }
  entries_.push_back(std::move(aEntry));
}

void
Quarantine::NarrowEntries()
{
  bool hasChanged = false;
  for (auto& entry : entries_) {
    const auto before = entry.contents_;
    std::erase_if(entry.contents_,
                  [&](const ContentId& aContent) { return IsCleared(aContent, entry.since_); });
    if (entry.contents_.size() < before.size()) {
      hasChanged = true;
      changes_.push_back({ before, entry.contents_, entry.until_ });
      LogQuarantine(entry.contents_.empty() ? "quarantine_lifted" : "quarantine_narrowed",
                    entry.contents_.empty() ? before : entry.contents_);
    }
  }
  if (hasChanged) {
    std::vector<Entry> entries;
    entries.swap(entries_);
    for (auto& entry : entries) {
      if (!entry.contents_.empty()) {
        AddEntry(std::move(entry));
      }
    }
  }
}

std::optional<Duration>
Quarantine::TimeLeft(const RequestContents& aContents) const
{
  if (entries_.empty()) {
    return std::nullopt;
  }
  const auto now = clock_.Now();
  const auto contents = AllOf(aContents);
  std::optional<Duration> left;
  for (const auto& entry : entries_) {
    if (entry.until_ > now && Includes(contents, entry.contents_)) {
      left = std::max(left.value_or(Duration::zero()), entry.until_ - now);
    }
  }
  return left;
}

QuarantineReport
Quarantine::Report() const
{
  QuarantineReport report;
  const auto now = clock_.Now();
  for (const auto& entry : entries_) {
    if (entry.until_ - now >= kMinReportedQuarantine) {
      report.entries_.push_back({ entry.contents_,
                                  ToMilliseconds(now - entry.since_),
                                  ToMilliseconds(entry.until_ - now) });
    }
  }
  if (suspects_.empty() && entries_.empty()) {
    return report;
  }
  for (const bool hasParts : { true, false }) {
    for (auto suspect = suspects_.rbegin();
         suspect != suspects_.rend() && now - suspect->at_ < kCrashReportTime &&
         report.suspects_.size() < kMaxReportedSuspects;
         ++suspect) {
      if (suspect->contents_.parts_.empty() != hasParts) {
        report.suspects_.push_back(
          { suspect->process_, suspect->contents_, ToMilliseconds(now - suspect->at_) });
      }
    }
  }
  for (const auto& [content, time] : lastBegun_) {
    if (now - time < kCrashReportTime && IsOfInterest(content)) {
      report.begun_.push_back({ content, ToMilliseconds(now - time) });
    }
  }
  return report;
}

void
Quarantine::Merge(const QuarantineReport& aReport)
{
  const auto now = clock_.Now();
  for (const auto& begun : aReport.begun_) {
    auto& last = lastBegun_[begun.content_];
    last = std::max(last, now - begun.age_);
  }
  bool isNew = false;
  for (const auto& suspect : aReport.suspects_) {
    isNew = AddSuspect({ suspect.process_,
                         { Sorted(suspect.contents_.parts_), suspect.contents_.request_ },
                         now - suspect.age_ }) ||
            isNew;
  }
  for (const auto& reported : aReport.entries_) {
    Entry entry{ Sorted(reported.contents_), now - reported.age_, now + reported.left_ };
    std::erase_if(entry.contents_,
                  [&](const ContentId& aContent) { return IsCleared(aContent, entry.since_); });
    if (!entry.contents_.empty() && entry.until_ > now) {
      if (!IsQuarantined(entry.contents_)) {
        LogQuarantine("quarantine_learned", entry.contents_);
      }
      AddEntry(std::move(entry));
    }
  }
  NarrowEntries();
  if (isNew) {
    FindCauses();
  }
}

void
Quarantine::Expire()
{
  const auto now = clock_.Now();
  std::erase_if(suspects_,
                [&](const Suspect& aSuspect) { return now - aSuspect.at_ >= kCrashSuspectTtl; });
  std::erase_if(entries_, [&](const Entry& aEntry) {
    const bool isOver = aEntry.until_ <= now;
    if (isOver) {
      changes_.push_back({ aEntry.contents_, {}, aEntry.until_ });
      LogQuarantine("quarantine_expired", aEntry.contents_);
    }
    return isOver;
  });
  std::erase_if(survived_,
                [&](const auto& aItem) { return now - aItem.second >= kCrashReportTime; });
  std::erase_if(lastBegun_, [&](const auto& aItem) {
    return now - aItem.second >= kCrashReportTime && !IsOfInterest(aItem.first);
  });
}

} // namespace laburnumweir
