/** @file quarantine.cpp Requests that crash the upstreams that run them, and their refusal. */
#include "fleet/quarantine.h"

#include "logging/logging_func.h"
#include "table/quarantine_const.h"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <boost/range/adaptor/transformed.hpp>
#include <boost/range/iterator_range.hpp>
#include <iterator>

namespace laburnumweir {

namespace {

using ContentList = std::vector<ContentId>;

// Links of a list node and the allocator's overhead.
constexpr std::size_t kNodeBytes = 48;

/** @return the contents in the order of their names, which is the same on all hosts. */
ContentList
SortedIds(const ContentSet& aContents)
{
  ContentList ids;
  ids.reserve(aContents.size());
  for (const auto* content : aContents) {
    ids.push_back(content->first);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

void
LogQuarantine(const char* aEvent, const ContentList& aContents, std::size_t aCrashes = 0)
{
  const auto end = static_cast<std::ptrdiff_t>(std::min(aContents.size(), kMaxLoggedContents));
  const auto names =
    boost::make_iterator_range(aContents.begin(), aContents.begin() + end) |
    boost::adaptors::transformed([](const ContentId& aContent) { return aContent.Value(); });
  LogEvent(LogLevel::Warn,
           aEvent,
           { { "contents", boost::algorithm::join(names, ",") },
             { "count", std::to_string(aContents.size()) },
             { "crashes", std::to_string(aCrashes) } });
}

} // namespace

bool
Quarantine::IsQuarantined(const ContentSet& aContents) const
{
  return std::any_of(entries_.begin(), entries_.end(), [&](const Entry& aEntry) {
    return Includes(aContents, aEntry.contents_);
  });
}

bool
Quarantine::HasSurvived(const UpstreamProcess& aProcess, TimePoint aTime) const
{
  const auto survived = survived_.find(aProcess);
  return survived != survived_.end() && aTime < survived->second &&
         survived->second - aTime < kMinRestartTime;
}

void
Quarantine::OnCut(const UpstreamProcess& aProcess, const RequestContents& aContents)
{
  const auto now = clock_.Now();
  if (!HasSurvived(aProcess, now) && suspects_.Add(aProcess, aContents, now)) {
    FindCauses(aProcess, aContents.request_);
  }
}

void
Quarantine::OnBegun(const UpstreamProcess& aProcess,
                    TimePoint aSentAt,
                    const RequestContents& aContents)
{
  const auto now = clock_.Now();
  for (const auto& part : aContents.parts_) {
    index_.OnBegun(part, now);
  }
  index_.OnBegun(aContents.request_, now);
  const auto hasSurvived = [&](const HeldSuspect& aSuspect) {
    return aSuspect.process_ == aProcess && aSuspect.at_ < aSentAt &&
           aSentAt - aSuspect.at_ < kMinRestartTime;
  };
  if (suspects_.RemoveIf(hasSurvived) > 0) {
    survived_[aProcess] = aSentAt;
  }
  NarrowEntries(aContents.parts_);
  NarrowEntries(std::span(&aContents.request_, 1));
}

void
Quarantine::FindCauses(const UpstreamProcess& aProcess, const ContentId& aRequest)
{
  const auto isQuarantined = [this](const ContentSet& aContents) {
    return IsQuarantined(aContents);
  };
  const auto suspect = suspects_.Find(aProcess, aRequest);
  if (suspect == suspects_.All().end()) {
    return;
  }
  while (true) {
    auto cause = suspects_.FindParts(*suspect, isQuarantined);
    if (!cause) {
      cause = suspects_.FindRequest(*suspect, isQuarantined);
    }
    if (!cause) {
      return;
    }
    StartQuarantine(*cause);
  }
}

void
Quarantine::StartQuarantine(const CrashCause& aCause)
{
  const auto contents = SortedIds(aCause.contents_);
  LogQuarantine("quarantine_started", contents, aCause.crashes_);
  AddEntry({ index_.Hold(contents, ContentHolder::Entry),
             aCause.lastCrash_,
             clock_.Now() + kQuarantineTime,
             {} });
}

void
Quarantine::AddEntry(Entry aEntry)
{
  // The end of a known entry stays: what other hosts report of it is late by the time of a message.
  if (IsQuarantined(aEntry.contents_)) {
    index_.Release(aEntry.contents_, ContentHolder::Entry);
    return;
  }
  quarantinedContents_ += aEntry.contents_.size();
  entries_.push_back(std::move(aEntry));
  while (entries_.size() > kMaxQuarantines ||
         (quarantinedContents_ > kMaxQuarantinedContents && entries_.size() > 1)) {
    RemoveEntry(entries_.begin());
  }
}

Quarantine::Entries::iterator
Quarantine::RemoveEntry(Entries::iterator aEntry)
{
  quarantinedContents_ -= aEntry->contents_.size();
  index_.Release(aEntry->contents_, ContentHolder::Entry);
  return entries_.erase(aEntry);
}

Quarantine::Entries::iterator
Quarantine::EndEntry(Entries::iterator aEntry)
{
  if (!aEntry->told_.empty()) {
    ends_.push_back({ std::move(aEntry->told_), {}, aEntry->until_ });
  }
  return RemoveEntry(aEntry);
}

void
Quarantine::NarrowEntries(std::span<const ContentId> aBegun)
{
  if (entries_.empty()) {
    return;
  }
  const auto begun = index_.FindHeld(aBegun, ContentHolder::Entry);
  if (begun.empty()) {
    return;
  }
  bool hasChanged = false;
  for (auto& entry : entries_) {
    const auto isCleared = [&](const HeldContent* aContent) {
      return aContent->second.lastBegun_ > entry.since_ &&
             std::binary_search(begun.begin(), begun.end(), aContent, std::less<>());
    };
    const auto cleared =
      std::stable_partition(entry.contents_.begin(),
                            entry.contents_.end(),
                            [&](const HeldContent* aContent) { return !isCleared(aContent); });
    const ContentSet removed(cleared, entry.contents_.end());
    if (removed.empty()) {
      continue;
    }
    hasChanged = true;
    LogQuarantine(cleared == entry.contents_.begin() ? "quarantine_lifted" : "quarantine_narrowed",
                  SortedIds(removed));
    entry.contents_.erase(cleared, entry.contents_.end());
    quarantinedContents_ -= removed.size();
    index_.Release(removed, ContentHolder::Entry);
  }
  for (auto entry = entries_.begin(); hasChanged && entry != entries_.end();) {
    const bool isIncluded = std::any_of(entries_.begin(), entry, [&](const Entry& aEarlier) {
      return Includes(entry->contents_, aEarlier.contents_);
    });
    if (entry->contents_.empty() || isIncluded) {
      entry = EndEntry(entry);
    } else {
      ++entry;
    }
  }
}

std::optional<Duration>
Quarantine::TimeLeft(const RequestContents& aContents) const
{
  if (entries_.empty()) {
    return std::nullopt;
  }
  auto held = index_.FindHeld(aContents.parts_, ContentHolder::Entry);
  const auto* request = index_.Find(aContents.request_);
  if (request != nullptr) {
    held.insert(std::upper_bound(held.begin(), held.end(), request, std::less<>()), request);
  }
  const auto now = clock_.Now();
  std::optional<Duration> left;
  for (const auto& entry : entries_) {
    if (entry.until_ > now && Includes(held, entry.contents_)) {
      left = std::max(left.value_or(Duration::zero()), entry.until_ - now);
    }
  }
  return left;
}

void
Quarantine::Merge(const QuarantineReport& aReport)
{
  const auto now = clock_.Now();
  ContentList begun;
  for (const auto& row : aReport.begun_) {
    index_.OnBegun(row.content_, now - row.age_);
    begun.push_back(row.content_);
  }
  std::vector<const CrashSuspect*> added;
  for (const auto& suspect : aReport.suspects_) {
    const auto at = now - suspect.age_;
    if (!HasSurvived(suspect.process_, at) &&
        suspects_.Add(suspect.process_, suspect.contents_, at)) {
      added.push_back(&suspect);
    }
  }
  for (const auto& reported : aReport.entries_) {
    const auto since = now - reported.age_;
    const auto until = now + reported.left_;
    ContentList contents;
    std::copy_if(reported.contents_.begin(),
                 reported.contents_.end(),
                 std::back_inserter(contents),
                 [&](const ContentId& aContent) { return !index_.IsCleared(aContent, since); });
    if (!contents.empty() && until > now) {
      auto held = index_.Hold(contents, ContentHolder::Entry);
      contents = SortedIds(held);
      if (!IsQuarantined(held)) {
        LogQuarantine("quarantine_learned", contents);
      }
      AddEntry({ std::move(held), since, until, std::move(contents) });
    }
  }
  NarrowEntries(begun);
  for (const auto* suspect : added) {
    FindCauses(suspect->process_, suspect->contents_.request_);
  }
}

std::vector<QuarantineChange>
Quarantine::TakeChanges()
{
  auto changes = std::exchange(ends_, {});
  for (auto& entry : entries_) {
    // Contents are only ever removed.
    if (entry.told_.size() != entry.contents_.size()) {
      auto contents = SortedIds(entry.contents_);
      changes.push_back({ std::exchange(entry.told_, contents), contents, entry.until_ });
    }
  }
  return changes;
}

void
Quarantine::Expire()
{
  const auto now = clock_.Now();
  ++reportTurn_;
  suspects_.RemoveIf(
    [&](const HeldSuspect& aSuspect) { return now - aSuspect.at_ >= kCrashSuspectTtl; });
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (entry->until_ > now) {
      ++entry;
      continue;
    }
    LogQuarantine("quarantine_expired", SortedIds(entry->contents_));
    entry = EndEntry(entry);
  }
  std::erase_if(survived_,
                [&](const auto& aItem) { return now - aItem.second >= kCrashReportTime; });
  index_.Expire();
}

std::size_t
Quarantine::Bytes() const
{
  return index_.Bytes() + suspects_.Bytes() + entries_.size() * (sizeof(Entry) + kNodeBytes) +
         quarantinedContents_ * (sizeof(const HeldContent*) + sizeof(ContentId));
}

} // namespace laburnumweir
