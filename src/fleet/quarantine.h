/** @file quarantine.h Requests that crash the upstreams that run them, and their refusal. */
#ifndef LABURNUMWEIR_FLEET_QUARANTINE_H
#define LABURNUMWEIR_FLEET_QUARANTINE_H

#include "core/clock_base.h"
#include "core/id_type.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace laburnumweir {

/** Something that several requests may have in common: a shared part of their prompts, or the whole
 * request if a caller sends it again. */
using ContentId = StringId<struct ContentTag>;

/** The contents of a request. */
struct RequestContents
{
  std::vector<ContentId> parts_; ///< Shared parts of its prompt.
  ContentId request_;            ///< Digest of the whole request; the same if it is sent again.
};

/** One process of an upstream: its id and its start time in Unix ms. */
using UpstreamProcess = std::pair<UpstreamId, std::int64_t>;

/** A request whose connection to an upstream broke while the upstream began to answer it. */
struct CrashSuspect
{
  UpstreamProcess process_;         ///< Process that may have crashed.
  RequestContents contents_;        ///< Without parts if others are as likely to be the cause.
  std::chrono::milliseconds age_{}; ///< Time since the connection broke.
};

/** The answer to a request with a content has begun, so the content does not crash upstreams. */
struct ContentBegun
{
  ContentId content_;
  std::chrono::milliseconds age_{}; ///< Time since the answer began.
};

/** Contents that crash upstreams if one request holds all of them. */
struct QuarantineEntry
{
  std::vector<ContentId> contents_;  ///< Sorted, never empty.
  std::chrono::milliseconds age_{};  ///< Time since the last crash that led to it.
  std::chrono::milliseconds left_{}; ///< Time until it ends.
};

/** What a host tells the others of crashes. */
struct QuarantineReport
{
  std::vector<CrashSuspect> suspects_;
  std::vector<ContentBegun> begun_;
  std::vector<QuarantineEntry> entries_;
};

/** Start, change or end of a quarantine. */
struct QuarantineChange
{
  std::vector<ContentId> before_; ///< Contents before the change; empty if it starts.
  std::vector<ContentId> after_;  ///< Contents after the change; empty if it ends.
  TimePoint until_;               ///< When it ends.
};

/**
 * Finds what the requests have in common that were at the crashes of upstreams, and tells which
 * requests must not run. Each crash has some suspects; a content is cleared of all crashes before
 * the last time at which an answer to a request with it began. A request that was at kMinCrashes
 * crashes without being cleared is quarantined. So are the parts that several requests at
 * kMinCrashes crashes have in common, as one combination, since any of them may be the cause; an
 * entry loses the parts that are cleared later. All hosts merge their reports, in any order and any
 * number of times. Not thread-safe.
 */
class Quarantine
{
public:
  /** @param aClock time source; must outlive this. */
  explicit Quarantine(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /**
   * Records that a connection broke while an upstream began to answer.
   * @param aProcess the upstream. @param aContents contents of the request.
   */
  void OnCut(const UpstreamProcess& aProcess, const RequestContents& aContents);
  /**
   * Records that the answer to a request has begun.
   * @param aProcess upstream that answers. @param aSentAt when the request was sent.
   * @param aContents contents of the request.
   */
  void OnBegun(const UpstreamProcess& aProcess,
               TimePoint aSentAt,
               const RequestContents& aContents);
  /** @return time until a request with these contents may run; none if it may run now. */
  std::optional<Duration> TimeLeft(const RequestContents& aContents) const;

  /** @return the recent suspects and begins, and all quarantines. */
  QuarantineReport Report() const;
  /** Applies the report of another host. */
  void Merge(const QuarantineReport& aReport);
  /** Removes what has expired. */
  void Expire();
  /** @return the changes since the last call. Quarantines that only others found are left out. */
  std::vector<QuarantineChange> TakeChanges() { return std::exchange(changes_, {}); }
  /** @return number of quarantines. */
  std::size_t Size() const { return entries_.size(); }

private:
  struct Suspect
  {
    UpstreamProcess process_;
    RequestContents contents_; ///< Parts are sorted.
    TimePoint at_;             ///< When the connection broke.
  };
  struct Entry
  {
    std::vector<ContentId> contents_; ///< Sorted, never empty.
    TimePoint since_; ///< Last crash that led to it; begins after it clear contents.
    TimePoint until_;
  };

  /** @return false if it is known already or its process has survived. */
  bool AddSuspect(Suspect aSuspect);
  /**
   * Drops the oldest candidate without parts: of the many requests that waited at an upstream, one
   * more or less says little.
   * @param aForParts whether a candidate with parts may be dropped if there is no other.
   * @return false if none was dropped.
   */
  bool MakeRoom(const std::function<bool(const Suspect&)>& aIsCandidate, bool aForParts);
  void AddEntry(Entry aEntry);
  /** Starts the quarantines that the suspects justify. */
  void FindCauses();
  /** Quarantines the request with the most crashes. @return false if none has enough. */
  bool FindRequest();
  /** Quarantines the parts with the most crashes. @return false if none has enough. */
  bool FindParts();
  void StartQuarantine(std::vector<ContentId> aContents,
                       TimePoint aLastCrash,
                       std::size_t aCrashes);
  /** @return the parts that have not begun since the suspected crash. */
  std::vector<ContentId> UnclearedParts(const Suspect& aSuspect) const;
  bool IsCleared(const ContentId& aContent, TimePoint aSince) const;
  /** @return whether a quarantine includes these contents, which are sorted. */
  bool IsQuarantined(const std::vector<ContentId>& aContents) const;
  /** Removes contents that are cleared, and entries that another entry includes. */
  void NarrowEntries();
  /** @return whether a suspect or a quarantine holds the content. */
  bool IsOfInterest(const ContentId& aContent) const;

  const Clock& clock_;
  std::vector<QuarantineChange> changes_;         ///< See TakeChanges().
  std::vector<Suspect> suspects_;                 ///< Oldest first.
  std::vector<Entry> entries_;                    ///< Quarantines, oldest first.
  std::map<ContentId, TimePoint> lastBegun_;      ///< When an answer last began, by content.
  std::map<UpstreamProcess, TimePoint> survived_; ///< When a request was sent that it answered.
};

} // namespace laburnumweir

#endif
