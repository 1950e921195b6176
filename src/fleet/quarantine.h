/** @file quarantine.h Requests that crash the upstreams that run them, and their refusal. */
#ifndef LABURNUMWEIR_FLEET_QUARANTINE_H
#define LABURNUMWEIR_FLEET_QUARANTINE_H

#include "core/clock_base.h"
#include "core/id_type.h"
#include "fleet/content_index.h"
#include "fleet/crash_suspects.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace laburnumweir {

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

namespace detail {

/** A row that may be added to a report. */
struct ReportRow
{
  std::size_t bytes_ = 0; ///< Estimated size in a message.
  std::function<void(QuarantineReport&)> add_;
};

} // namespace detail

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
 * number of times. Memory and time grow with the parts of the requests, up to the limits of
 * quarantine_const.h. Not thread-safe.
 */
class Quarantine
{
public:
  /** @param aClock time source; must outlive this. */
  explicit Quarantine(const Clock& aClock)
    : clock_(aClock)
    , index_(aClock)
    , suspects_(index_)
  {
  }
  Quarantine(const Quarantine&) = delete;
  Quarantine& operator=(const Quarantine&) = delete;

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

  /**
   * @return the recent suspects and begins, and all quarantines. If they exceed a message, the
   * reports between two calls of Expire() hold the same rows, and the others follow later.
   */
  QuarantineReport Report() const;
  /** Applies the report of another host. */
  void Merge(const QuarantineReport& aReport);
  /** Removes what has expired, and ends the turn of the rows that Report() returns. */
  void Expire();
  /** @return the changes since the last call. Quarantines that only others found are left out. */
  std::vector<QuarantineChange> TakeChanges();
  /** @return number of quarantines. */
  std::size_t Size() const { return entries_.size(); }
  /** @return estimated bytes of memory. */
  std::size_t Bytes() const;

private:
  using ContentList = std::vector<ContentId>;
  struct Entry
  {
    ContentSet contents_; ///< Never empty.
    TimePoint since_;     ///< Last crash that led to it; begins after it clear contents.
    TimePoint until_;
    ContentList told_; ///< Contents by the last change of it; empty if there was none.
  };
  using Entries = std::list<Entry>;

  /** Starts the quarantines that a new suspect justifies, together with the others. */
  void FindCauses(const UpstreamProcess& aProcess, const ContentId& aRequest);
  void StartQuarantine(const CrashCause& aCause);
  void AddEntry(Entry aEntry);
  /** Removes an entry without a change. */
  Entries::iterator RemoveEntry(Entries::iterator aEntry);
  /** Removes an entry that has ended. */
  Entries::iterator EndEntry(Entries::iterator aEntry);
  /** @return whether the process was seen to serve after the time. */
  bool HasSurvived(const UpstreamProcess& aProcess, TimePoint aTime) const;
  /** @return whether a quarantine includes these contents. */
  bool IsQuarantined(const ContentSet& aContents) const;
  /** Removes contents that are cleared, and entries that another entry includes. */
  void NarrowEntries(std::span<const ContentId> aBegun);

  /** Appends the rows of the recent suspects. @param aLongRows those of prompts with many parts. */
  void AppendSuspects(std::vector<detail::ReportRow>& aRows,
                      std::vector<detail::ReportRow>& aLongRows) const;

  const Clock& clock_;
  ContentIndex index_; ///< Contents of suspects_ and entries_.
  CrashSuspects suspects_;
  Entries entries_;                               ///< Quarantines, oldest first.
  std::size_t quarantinedContents_ = 0;           ///< Of all entries.
  std::vector<QuarantineChange> ends_;            ///< Ends since the last TakeChanges().
  std::map<UpstreamProcess, TimePoint> survived_; ///< When a request was sent that it answered.
  std::size_t reportTurn_ = 0;                    ///< Chooses the rows of Report().
};

} // namespace laburnumweir

#endif
